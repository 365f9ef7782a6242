"""`python -m gladewalk`: without arguments one director, as the platform runs it; else the command line."""

from __future__ import annotations

import sys

from . import signals


def main() -> int:
    """Runs a director or a command; returns the exit code."""
    if len(sys.argv) == 1:  # the platform's way: the command line's library is not even imported
        signals.block()  # before all that takes time to import
        from .core.memory_tuning import block_rich_import

        block_rich_import()
        from .daemon import run

        return run()
    from .cli.commands import main as command_line

    return command_line()


if __name__ == "__main__":
    sys.exit(main())
