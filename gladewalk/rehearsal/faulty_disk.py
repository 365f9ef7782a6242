"""A disk in memory that loses what was not synced, tears writes and refuses calls: the store's stand-in.

A process that is killed loses nothing that was written. A loss of power keeps of each file what was synced,
and of the rest whichever blocks it likes, later ones without earlier ones too; of names it keeps those that
were synced, and of later creations, renames and removals some. A sync that failed has told the system that
its data is clean: no later sync writes it.
"""

from __future__ import annotations

import errno
import random
from collections.abc import Callable
from dataclasses import dataclass, field

BLOCK = 64  # bytes that reach the disk together: small, so that small stores tear in many ways


@dataclass(slots=True, eq=False)
class File:
    data: bytearray = field(default_factory=bytearray)
    safe: bytes = b""  # as of the last sync
    lost: bool = False  # a sync has failed: what was not safe then never will be

    def after_power_loss(self, draw: random.Random) -> File:
        """What a restart finds."""
        kept = bytearray(self.data)
        for start in range(0, len(kept), BLOCK):
            end = min(start + BLOCK, len(kept))
            same = bytes(kept[start:end]) == self.safe[start:end]
            if not same and draw.random() < 0.5:
                safe = self.safe[start:end]
                kept[start:end] = safe + bytes(end - start - len(safe))
        if draw.random() < 0.5:  # its length was not written either, or only in part
            least = len(self.safe)
            kept = kept[: max(least, draw.randint(min(least, len(kept)), max(least, len(kept))))]
        kept[: len(self.safe)] = self.safe  # whatever was synced is there, though a later sync failed
        return File(bytearray(kept), bytes(kept))


class BadDisk:
    """`fail` is asked before each call, with its name and its file: the errno to fail with, or 0."""

    def __init__(self) -> None:
        self.files: dict[str, File] = {}
        self.safe_names: dict[str, File] = {}
        self.calls = 0
        self.fail: Callable[[str, str, int], int] = lambda call, name, number: 0
        self.syncs = 0

    def _call(self, call: str, name: str = "") -> None:
        self.calls += 1
        code = self.fail(call, name, self.calls)
        if code:
            if call == "sync" and name in self.files:
                self.files[name].lost = True
            raise OSError(code, errno.errorcode[code])

    def names(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        self._call("read", name)
        return bytes(self.files[name].data)

    def create(self, name: str) -> None:
        self._call("create", name)
        self.files[name] = File()

    def append(self, name: str, data: bytes) -> None:
        try:
            self._call("append", name)
        except OSError:
            self.files[name].data += data[: len(data) // 2]  # as much as there was room for
            raise
        self.files[name].data += data

    def sync(self, name: str) -> None:
        self._call("sync", name)
        self.syncs += 1
        file = self.files[name]
        if not file.lost:
            file.safe = bytes(file.data)

    def cut(self, name: str, size: int) -> None:
        self._call("cut", name)
        del self.files[name].data[size:]

    def rename(self, old: str, new: str) -> None:
        self._call("rename", new)
        self.files[new] = self.files.pop(old)

    def remove(self, name: str) -> None:
        self._call("remove", name)
        self.files.pop(name, None)

    def sync_names(self) -> None:
        self._call("sync_names")
        self.safe_names = dict(self.files)

    # What happens to it.

    def after_kill(self) -> BadDisk:
        """The process is gone, the machine is not."""
        disk = BadDisk()
        disk.files = {name: File(bytearray(f.data), f.safe, f.lost) for name, f in self.files.items()}
        disk.safe_names = {n: disk.files[n] for n, f in self.safe_names.items() if self.files.get(n) is f}
        return disk

    def after_power_loss(self, seed: int) -> BadDisk:
        draw = random.Random(seed)
        names = dict(self.safe_names)
        for name in sorted(set(self.files) | set(self.safe_names)):
            if self.files.get(name) is not self.safe_names.get(name) and draw.random() < 0.5:
                if name in self.files:
                    names[name] = self.files[name]
                else:
                    del names[name]
        disk = BadDisk()
        disk.files = {name: file.after_power_loss(draw) for name, file in names.items()}
        disk.safe_names = dict(disk.files)
        return disk
