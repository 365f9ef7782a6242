"""gladewalk: cooperative caching decisions for dispatchers in front of caches of large objects."""

from .logic import Dispatcher

__all__ = ["Dispatcher"]
