"""Keeps unneeded libraries out of a director's memory, which may be limited to as little as 32 MB."""

from __future__ import annotations

import sys


def block_rich_import() -> None:
    """Prevents structlog from importing rich, which it does if rich is installed.

    Only the tables of the command line need rich. A process that runs a director calls this before anything
    imports structlog.
    """
    sys.modules.setdefault("rich", None)  # type: ignore[arg-type]
