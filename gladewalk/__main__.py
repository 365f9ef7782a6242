"""Entry point of `python -m gladewalk`: runs one director without arguments, else the command line."""

from __future__ import annotations

import sys

from . import signals


def main() -> int:
    """Runs a director or a command; returns the exit code."""
    if len(sys.argv) == 1:  # the platform starts a director like this; click is not imported, to save memory
        signals.block()  # before the slow imports, during which a signal would end the process
        from .core.memory_tuning import block_rich_import

        block_rich_import()
        from .daemon import run

        return run()
    from .cli.commands import main as command_line

    return command_line()


if __name__ == "__main__":
    sys.exit(main())
