"""Faults of system calls in real processes: a C library, loaded into a director, and its schedule.

uvloop makes its system calls in C, so that they can't be replaced from Python. The library
(`syscall_faults.c`) is built with the machine's compiler and loaded with `LD_PRELOAD`. A schedule sets which
calls fail when, and each injected fault is logged with its time.
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
    """There is no C compiler to build the library, so that no fault can be injected into system calls."""


class FaultKind(Enum):
    """The kind of a fault. `SyscallFault.number` is an errno, unless a comment or `SyscallFault` differs."""

    CLOCK_STEP = "clock_step"  # moves the wall clock by `number` ms
    ACCEPT = "accept"
    SOCKET = "socket"
    CONNECT = "connect"
    WAIT = "wait"  # epoll_wait and epoll_pwait
    READ = "read"  # from a connection that the process has opened itself
    WRITE = "write"  # to a connection that the process has opened itself
    READ_SHORT = "read_short"  # reads fewer bytes than requested
    WRITE_SHORT = "write_short"
    DISK_WRITE = "disk_write"
    DISK_SHORT = "disk_short"
    DISK_SYNC = "disk_sync"
    DISK_RENAME = "disk_rename"
    DISK_TRUNCATE = "disk_truncate"
    DISK_KILL = "disk_kill"  # SIGKILL after half of a write


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
"""The errors that Linux documents for each call that the director makes; the tests have a case for each."""


@dataclass(slots=True, frozen=True)
class SyscallFault:
    """One fault.

    Attributes:
        begin_ms: Its start, in ms since the schedule's epoch.
        end_ms: Its end, in ms since the schedule's epoch.
        kind: The call that fails, or a step of the clock.
        number: The errno, or the clock's step in ms; unused for short reads and writes.
        percent: How many percent of the calls fail.
        folder: Only calls on files below this folder fail; empty: calls on any file.
    """

    begin_ms: int
    end_ms: int
    kind: FaultKind
    number: int = 0
    percent: int = 100
    folder: str = ""

    def line(self) -> str:
        """Returns the fault's line of the schedule file."""
        folder = self.folder or NO_FOLDER
        return f"{self.begin_ms} {self.end_ms} {self.kind.value} {self.number} {self.percent} {folder}"


def build_library(folder: Path) -> Path:
    """Builds the library in a folder and returns its path.

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
        folder: The folder of the schedule and its log.
        name: The first part of their file names.
        seed: The seed of the random choice of the calls that fail.
        faults: The faults.
        epoch_ns: The origin of the faults' times, a reading of the monotonic clock.
    """

    folder: Path
    name: str
    seed: int
    faults: tuple[SyscallFault, ...]
    epoch_ns: int

    @property
    def log_file(self) -> Path:
        """The file in which the library logs each fault that it injects."""
        return self.folder / f"{self.name}.faults.log"

    def environment(self, library: Path) -> dict[str, str]:
        """Writes the schedule; returns the environment variables for a process that loads it."""
        path = self.folder / f"{self.name}.faults"
        lines = [f"{self.epoch_ns} {self.seed}", *(fault.line() for fault in self.faults)]
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        return {
            **os.environ,
            "LD_PRELOAD": str(library),
            "GLADEWALK_FAULT_SCHEDULE": str(path),
            "GLADEWALK_FAULT_LOG": str(self.log_file),
        }

    def injected_faults(self) -> list[str]:
        """Returns the lines of the log: time in ms, kind, number and descriptor of each injected fault."""
        if not self.log_file.exists():
            return []
        return self.log_file.read_text(encoding="utf-8").splitlines()


def current_epoch_ns() -> int:
    """Returns the current time as the epoch of a schedule."""
    return time.monotonic_ns()
