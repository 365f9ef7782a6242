"""What an elector must not forget over a start: each duty's highest term granted, and to whom.

One JSON line a save, written and flushed to the disk before the grant it stands for is sent; read back at a
start, the last line of a duty counts. A torn last line is what a crash between write and sync leaves: it
is skipped, and the grant it was for was never sent.
"""

from __future__ import annotations

import json
import os
from pathlib import Path


def restore(path: Path) -> dict[str, tuple[int, str]]:
    kept: dict[str, tuple[int, str]] = {}
    try:
        text = path.read_text(encoding="utf-8")
    except FileNotFoundError:
        return kept
    for line in text.splitlines():
        try:
            duty, term, holder = json.loads(line)
            kept[str(duty)] = max(kept.get(str(duty), (0, "")), (int(term), str(holder)))
        except (ValueError, TypeError):
            continue
    return kept


class Keep:
    """An open file of saves; `save` returns once the line is on the disk."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("a", encoding="utf-8")

    def save(self, duty: str, term: int, holder: str) -> None:
        self.file.write(json.dumps([duty, term, holder]) + "\n")
        self.file.flush()
        os.fsync(self.file.fileno())

    def close(self) -> None:
        self.file.close()
