"""File system access of the store: the calls on one directory, without any decision.

Tests replace `FileSystem` by one that loses, tears and rejects writes (`rehearsal/faulty_disk.py`).
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path
from typing import Protocol

from .errors import StoreLockedError

LOCK_FILE = "lock"
_FILE_MODE = 0o600


class FileSystem(Protocol):
    """The calls on one directory. Every call may raise `OSError`; names are file names without a path."""

    def list_names(self) -> list[str]:
        """Returns the names of the store's files in ascending order."""

    def read(self, name: str) -> bytes:
        """Returns a file's content."""

    def create(self, name: str) -> None:
        """Creates an empty file, replacing any file of this name."""

    def append(self, name: str, data: bytes) -> None:
        """Writes all of `data` at a file's end."""

    def sync(self, name: str) -> None:
        """Makes all appended data durable; after an error it is unknown which of it is durable."""

    def truncate(self, name: str, size_bytes: int) -> None:
        """Truncates a file to a size."""

    def rename(self, old: str, new: str) -> None:
        """Renames a file, replacing any file of the new name."""

    def remove(self, name: str) -> None:
        """Removes a file if it exists."""

    def sync_directory(self) -> None:
        """Makes creations, renames and removals of files durable."""


class StoreDirectory:
    """A directory on disk, which one process at a time has locked.

    Raises `StoreLockedError` if another process holds the lock.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        path.mkdir(parents=True, exist_ok=True)
        self._descriptors: dict[str, int] = {}
        self._lock = os.open(path / LOCK_FILE, os.O_RDWR | os.O_CREAT, _FILE_MODE)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._lock)
            raise StoreLockedError(str(path), 0, "another process holds this store") from error

    def list_names(self) -> list[str]:
        """Returns the names of the regular files except the lock, in ascending order."""
        return sorted(
            entry.name for entry in self.path.iterdir() if entry.is_file() and entry.name != LOCK_FILE
        )

    def read(self, name: str) -> bytes:
        """Returns a file's content."""
        return (self.path / name).read_bytes()

    def create(self, name: str) -> None:
        """Creates an empty file, replacing any file of this name, and keeps it open."""
        self._close_file(name)
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND
        self._descriptors[name] = os.open(self.path / name, flags, _FILE_MODE)

    def append(self, name: str, data: bytes) -> None:
        """Writes all of `data` at a file's end."""
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(self._descriptor(name), remaining) :]

    def sync(self, name: str) -> None:
        """Calls fsync(2) on a file."""
        os.fsync(self._descriptor(name))

    def truncate(self, name: str, size_bytes: int) -> None:
        """Truncates a file to a size."""
        os.ftruncate(self._descriptor(name), size_bytes)

    def rename(self, old: str, new: str) -> None:
        """Renames a file, replacing any file of the new name."""
        self._close_file(old)
        os.rename(self.path / old, self.path / new)

    def remove(self, name: str) -> None:
        """Removes a file if it exists."""
        self._close_file(name)
        (self.path / name).unlink(missing_ok=True)

    def sync_directory(self) -> None:
        """Calls fsync(2) on the directory."""
        descriptor = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self) -> None:
        """Closes all files and releases the lock."""
        for name in list(self._descriptors):
            self._close_file(name)
        os.close(self._lock)

    def _descriptor(self, name: str) -> int:
        if name not in self._descriptors:
            self._descriptors[name] = os.open(self.path / name, os.O_WRONLY | os.O_APPEND)
        return self._descriptors[name]

    def _close_file(self, name: str) -> None:
        descriptor = self._descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)
