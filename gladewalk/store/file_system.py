"""The file layer: the few calls that a store makes of a disk, and nothing decided.

`Disk` is what stand-ins replace: they lose, tear and refuse as disks do (`rehearsal/baddisk.py`).
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Protocol

from .record_format import Fault


class Disk(Protocol):
    """One folder. Every call may raise `OSError`; names are plain file names."""

    def names(self) -> list[str]: ...
    def read(self, name: str) -> bytes: ...
    def create(self, name: str) -> None:
        """A new, empty file; what stood there before is gone."""

    def append(self, name: str, data: bytes) -> None: ...
    def sync(self, name: str) -> None:
        """On return all that was appended outlives a loss of power. After a failure nothing is known."""

    def cut(self, name: str, size: int) -> None: ...
    def rename(self, old: str, new: str) -> None: ...
    def remove(self, name: str) -> None: ...
    def sync_names(self) -> None:
        """On return creations, renames and removals outlive a loss of power."""


class Folder:
    """A folder of the real file system, held by one process at a time."""

    def __init__(self, path: Path) -> None:
        self.path = path
        path.mkdir(parents=True, exist_ok=True)
        self.open: dict[str, int] = {}
        self.lock = os.open(path / "lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self.lock)
            raise Fault(str(path), 0, "another process holds this store") from error

    def names(self) -> list[str]:
        return sorted(entry.name for entry in self.path.iterdir() if entry.is_file() and entry.name != "lock")

    def read(self, name: str) -> bytes:
        return (self.path / name).read_bytes()

    def _descriptor(self, name: str) -> int:
        if name not in self.open:
            self.open[name] = os.open(self.path / name, os.O_WRONLY | os.O_APPEND)
        return self.open[name]

    def create(self, name: str) -> None:
        self.forget(name)
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND
        self.open[name] = os.open(self.path / name, flags, 0o600)

    def append(self, name: str, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[os.write(self._descriptor(name), view) :]

    def sync(self, name: str) -> None:
        os.fsync(self._descriptor(name))

    def cut(self, name: str, size: int) -> None:
        os.ftruncate(self._descriptor(name), size)

    def rename(self, old: str, new: str) -> None:
        self.forget(old)
        os.rename(self.path / old, self.path / new)

    def remove(self, name: str) -> None:
        self.forget(name)
        (self.path / name).unlink(missing_ok=True)

    def sync_names(self) -> None:
        descriptor = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def forget(self, name: str) -> None:
        descriptor = self.open.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    def close(self) -> None:
        for name in list(self.open):
            self.forget(name)
        os.close(self.lock)
