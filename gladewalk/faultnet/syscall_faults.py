"""Faults of system calls in real processes: a C library, loaded into a director, and its schedule.

uvloop's calls do not pass through Python, so that they can only be failed below it. The library
(`syscall_faults.c`) is built with the machine's compiler and loaded with `LD_PRELOAD`; a schedule says what
fails when, and each fault that was injected is logged with its time.
"""

from __future__ import annotations

import errno
import os
import shutil
import subprocess
import time
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

from ..errors import GladewalkError

SOURCE = Path(__file__).with_name("syscall_faults.c")
COMPILERS = ("cc", "gcc", "clang")
BUILD_TIMEOUT_S = 60.0
NO_FOLDER = "-"


class CompilerMissingError(GladewalkError):
    """No C compiler is to be had, so that no system call can be failed."""


class FaultKind(Enum):
    """What a fault does; `number` of a `SyscallFault` is an errno unless said otherwise."""

    CLOCK_STEP = "clock_step"  # moves the wall clock by `number` ms
    ACCEPT = "accept"
    SOCKET = "socket"
    CONNECT = "connect"
    WAIT = "wait"  # of epoll
    READ = "read"  # from a connection that the process has made
    WRITE = "write"  # to such a one
    READ_SHORT = "read_short"  # a part of what is there
    WRITE_SHORT = "write_short"
    DISK_WRITE = "disk_write"
    DISK_SHORT = "disk_short"
    DISK_SYNC = "disk_sync"
    DISK_RENAME = "disk_rename"
    DISK_TRUNCATE = "disk_truncate"
    DISK_KILL = "disk_kill"  # SIGKILL with half of a write done


ERRORS_BY_KIND: dict[FaultKind, tuple[int, ...]] = {
    FaultKind.ACCEPT: (
        errno.ECONNABORTED, errno.EINTR, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPERM,
        errno.EPROTO, errno.ENETDOWN, errno.ENETUNREACH, errno.EHOSTUNREACH,
    ),
    FaultKind.SOCKET: (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM),
    FaultKind.CONNECT: (
        errno.EADDRNOTAVAIL, errno.ECONNREFUSED, errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ETIMEDOUT,
        errno.ENOBUFS, errno.EAGAIN,
    ),
    FaultKind.WAIT: (errno.EINTR,),
    FaultKind.READ: (errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.EINTR),
    FaultKind.WRITE: (errno.EPIPE, errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.EINTR),
    FaultKind.DISK_WRITE: (errno.ENOSPC, errno.EIO, errno.EDQUOT),
    FaultKind.DISK_SYNC: (errno.ENOSPC, errno.EIO),
    FaultKind.DISK_RENAME: (errno.ENOSPC, errno.EIO),
    FaultKind.DISK_TRUNCATE: (errno.EIO,),
}  # fmt: skip
"""The errors that Linux documents for each call the director makes: the numbered cases of the tests."""


@dataclass(slots=True, frozen=True)
class SyscallFault:
    """One fault.

    Attributes:
        begin_ms: From when, ms since the schedule's epoch.
        end_ms: Until when.
        kind: The call, or the clock.
        number: The errno; the step in ms for the clock; unused for short reads and writes.
        percent: Of the calls that are hit.
        folder: Below which files are meant; empty: any.
    """

    begin_ms: int
    end_ms: int
    kind: FaultKind
    number: int = 0
    percent: int = 100
    folder: str = ""

    def line(self) -> str:
        """Returns the fault's line of the schedule."""
        folder = self.folder or NO_FOLDER
        return f"{self.begin_ms} {self.end_ms} {self.kind.value} {self.number} {self.percent} {folder}"


def build_library(folder: Path) -> Path:
    """Builds the library in a folder and returns its file.

    Raises:
        CompilerMissingError: The machine has no C compiler, or it rejects the source.
    """
    compiler = next((found for name in COMPILERS if (found := shutil.which(name))), None)
    if compiler is None:
        raise CompilerMissingError("no C compiler (cc, gcc or clang) to build syscall_faults.c with")
    library = folder / "syscall_faults.so"
    command = [compiler, "-O1", "-fPIC", "-shared", "-o", str(library), str(SOURCE), "-ldl"]
    result = subprocess.run(command, capture_output=True, text=True, timeout=BUILD_TIMEOUT_S, check=False)
    if result.returncode != 0:
        raise CompilerMissingError(f"{compiler} rejects syscall_faults.c: {result.stderr.strip()}")
    return library


@dataclass(slots=True)
class FaultSchedule:
    """The faults of one process.

    Attributes:
        folder: Where the schedule and its log are.
        name: Of their files.
        seed: Of the draws among the calls.
        faults: What fails when.
        epoch_ns: The origin of their times, a reading of the monotonic clock.
    """

    folder: Path
    name: str
    seed: int
    faults: tuple[SyscallFault, ...]
    epoch_ns: int

    @property
    def log_file(self) -> Path:
        """Where the library logs each fault that it injects."""
        return self.folder / f"{self.name}.faults.log"

    def environment(self, library: Path) -> dict[str, str]:
        """Writes the schedule; returns the variables with which a process is started under it."""
        path = self.folder / f"{self.name}.faults"
        lines = [f"{self.epoch_ns} {self.seed}", *(fault.line() for fault in self.faults)]
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        return {
            **os.environ,
            "LD_PRELOAD": str(library),
            "GLADEWALK_FAULT_SCHEDULE": str(path),
            "GLADEWALK_FAULT_LOG": str(self.log_file),
        }

    def injected(self) -> list[str]:
        """Returns the lines of the log: ms, kind, number and descriptor of each fault that was injected."""
        if not self.log_file.exists():
            return []
        return self.log_file.read_text(encoding="utf-8").splitlines()


def present_epoch_ns() -> int:
    """Returns the present as an epoch of a schedule."""
    return time.monotonic_ns()
