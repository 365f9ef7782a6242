"""gladewalk: request routing and cooperative caching for directors in front of caches of large objects."""

from .policy import Dispatcher

__all__ = ["Dispatcher"]
