"""Fault injection for the store: an in-memory disk that loses, tears and rejects writes.

Model: a kill of the process loses no written data. After a power loss, each file has its synced content and
an arbitrary subset of the blocks written later; the directory has the synced names and an arbitrary subset of
the later creations, renames and removals. After a failed sync the operating system considers the data clean,
so no later sync writes it.
"""

from __future__ import annotations

import errno
import random
from collections.abc import Callable
from dataclasses import dataclass, field

BLOCK_BYTES = 64  # bytes written atomically; small, so that small stores are torn in many ways
LOSS_PROBABILITY = 0.5  # probability that an unsynced block, file length or name is lost

# Takes an operation (by its name in the fault point catalogue), its file and the number of the call; returns
# the errno to fail with, or 0.
FaultRule = Callable[[str, str, int], int]


@dataclass(slots=True, eq=False)
class FaultyFile:
    """A file's content, and the durable part, which survives a power loss."""

    data: bytearray = field(default_factory=bytearray)
    durable: bytes = b""
    is_sync_lost: bool = False  # a sync has failed: no later sync makes the data durable

    def after_power_loss(self, rng: random.Random) -> FaultyFile:
        """Returns the file that a restart finds after a power loss."""
        kept = bytearray(self.data)
        for start in range(0, len(kept), BLOCK_BYTES):
            end = min(start + BLOCK_BYTES, len(kept))
            durable = self.durable[start:end]
            if bytes(kept[start:end]) != durable and rng.random() < LOSS_PROBABILITY:
                kept[start:end] = durable + bytes(end - start - len(durable))
        # The file's new length was not written, or only an intermediate one.
        if rng.random() < LOSS_PROBABILITY:
            min_length = len(self.durable)
            length = rng.randint(min(min_length, len(kept)), max(min_length, len(kept)))
            kept = kept[: max(min_length, length)]
        kept[: len(self.durable)] = self.durable  # synced data is kept even if a later sync failed
        return FaultyFile(bytearray(kept), bytes(kept))


def never_fail(operation: str, name: str, number: int) -> int:
    """Fault rule of a disk without faults; always returns 0."""
    return 0


class FaultyDisk:
    """An in-memory `FileSystem`; `fault_rule` is called before each operation."""

    def __init__(self) -> None:
        self.files: dict[str, FaultyFile] = {}
        self.durable_names: dict[str, FaultyFile] = {}
        self.call_count = self.sync_count = 0
        self.fault_rule: FaultRule = never_fail

    def _call(self, operation: str, name: str = "") -> None:
        self.call_count += 1
        code = self.fault_rule(operation, name, self.call_count)
        if code:
            if operation == "sync" and name in self.files:
                self.files[name].is_sync_lost = True
            raise OSError(code, errno.errorcode[code])

    def list_names(self) -> list[str]:
        """Returns the files' names in ascending order."""
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        """Returns a file's content."""
        self._call("read", name)
        return bytes(self.files[name].data)

    def create(self, name: str) -> None:
        """Creates an empty file; replaces an existing file with this name."""
        self._call("create", name)
        self.files[name] = FaultyFile()

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file; a call that fails writes half of the data first."""
        try:
            self._call("append", name)
        except OSError:
            self.files[name].data += data[: len(data) // 2]
            raise
        self.files[name].data += data

    def sync(self, name: str) -> None:
        """Makes a file's content durable, unless an earlier sync of it has failed."""
        self._call("sync", name)
        self.sync_count += 1
        file = self.files[name]
        if not file.is_sync_lost:
            file.durable = bytes(file.data)

    def truncate(self, name: str, size_bytes: int) -> None:
        """Truncates a file to a size."""
        self._call("cut", name)
        del self.files[name].data[size_bytes:]

    def rename(self, old: str, new: str) -> None:
        """Renames a file."""
        self._call("rename", new)
        self.files[new] = self.files.pop(old)

    def remove(self, name: str) -> None:
        """Removes a file if it exists."""
        self._call("remove", name)
        self.files.pop(name, None)

    def sync_directory(self) -> None:
        """Makes all names durable."""
        self._call("sync_names")
        self.durable_names = dict(self.files)

    def after_kill(self) -> FaultyDisk:
        """Returns the disk that a restarted process finds after a kill: no data is lost."""
        disk = FaultyDisk()
        disk.files = {
            name: FaultyFile(bytearray(file.data), file.durable, file.is_sync_lost)
            for name, file in self.files.items()
        }
        disk.durable_names = {
            name: disk.files[name]
            for name, file in self.durable_names.items()
            if self.files.get(name) is file
        }
        return disk

    def after_power_loss(self, seed: int) -> FaultyDisk:
        """Returns the disk that a restarted machine finds after a power loss; `seed` draws the losses."""
        rng = random.Random(seed)
        names = dict(self.durable_names)
        for name in sorted(set(self.files) | set(self.durable_names)):
            is_durable = self.files.get(name) is self.durable_names.get(name)
            if not is_durable and rng.random() < LOSS_PROBABILITY:
                if name in self.files:
                    names[name] = self.files[name]
                else:
                    del names[name]
        disk = FaultyDisk()
        disk.files = {name: file.after_power_loss(rng) for name, file in names.items()}
        disk.durable_names = dict(disk.files)
        return disk
