"""What a director leaves out of its memory: it may have as little as 32 MB."""

from __future__ import annotations

import sys


def block_rich_import() -> None:
    """Guards against structlog, which imports rich wherever it is: only the command line's tables need it.

    To be called by a process that becomes a director, before anything imports structlog.
    """
    sys.modules.setdefault("rich", None)  # type: ignore[arg-type]
