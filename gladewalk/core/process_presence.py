"""Which processes serve as one director: during a handover of an inherited listener there are two.

Each process leaves a name in a folder that all of them share, a symbolic link with its process id that points
to its claim to the director's budgets. A name of a process that has ended is removed by whoever sees it.
"""

from __future__ import annotations

import contextlib
import math
import os
from collections.abc import Callable
from pathlib import Path

from ..limits.process_share import ProcessClaim
from .counters import Counters

NAME_PREFIX = "process-"
TEMPORARY_SUFFIX = ".new"
# Of a process whose claim cannot be read, such as one of an earlier version: half of the budgets.
UNKNOWN_CLAIM = ProcessClaim(requests_per_s=0.0, share=0.5)


def is_process_alive(pid: int) -> bool:
    """Whether a process runs: it has an id (kill(2) with signal 0) and is no zombie."""
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    except PermissionError:
        pass  # it is another user's, so it runs
    return not _is_zombie(pid)


def _is_zombie(pid: int) -> bool:
    """Whether a process has ended but its parent has not waited for it yet (proc_pid_stat(5))."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_text(encoding="latin-1")
    except OSError:
        return False
    state = stat.rpartition(")")[2].split()[0]  # after the name, which may contain anything
    return state == "Z"


class ProcessPresence:
    """Names this process in the shared folder, publishes its claim there and reads the others'.

    Args:
        folder: The shared folder; made if it does not exist. In an unusable one this process seems alone.
        counters: Counts `processes.unknown` for a folder that cannot be used, and `processes.unpublished` for
            a claim that could not be written.
        pid: The id of this process.
        is_alive: Whether the process with an id runs.
    """

    def __init__(
        self,
        folder: Path,
        counters: Counters,
        pid: int,
        is_alive: Callable[[int], bool] = is_process_alive,
    ) -> None:
        self._folder, self._pid, self._is_alive = folder, pid, is_alive
        self._counters = counters
        try:
            folder.mkdir(mode=0o700, exist_ok=True)
            with contextlib.suppress(FileExistsError):  # of a process that had the same id
                os.symlink("0 0", self._path(pid))  # no claim before the first `publish`
        except OSError:
            counters.add("processes.unknown")

    def count(self) -> int:
        """Returns how many processes serve, this one included."""
        return 1 + len(self._others())

    def claims_of_others(self) -> list[ProcessClaim]:
        """Returns the claim of each other process."""
        return [self._read_claim(pid) for pid in self._others()]

    def publish(self, claim: ProcessClaim) -> None:
        """Replaces this process's claim, so that others read either the former or the new one."""
        path = self._path(self._pid)
        temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
        try:
            with contextlib.suppress(FileExistsError):
                os.symlink(f"{claim.requests_per_s:.3f} {claim.share:.4f}", temporary)
            os.replace(temporary, path)
        except OSError:
            self._counters.add("processes.unpublished")

    def leave(self) -> None:
        """Removes this process's name: it serves no more, and the others may use all of the budgets."""
        self._remove(self._pid)

    def _path(self, pid: int) -> Path:
        return self._folder / f"{NAME_PREFIX}{pid}"

    def _others(self) -> list[int]:
        try:
            names = os.listdir(self._folder)
        except OSError:
            return []
        texts = {name.removeprefix(NAME_PREFIX) for name in names if name.startswith(NAME_PREFIX)}
        pids = {int(text) for text in texts if text.isdigit()} - {self._pid}
        return [pid for pid in sorted(pids) if self._is_present(pid)]

    def _is_present(self, pid: int) -> bool:
        if self._is_alive(pid):
            return True
        self._remove(pid)
        return False

    def _remove(self, pid: int) -> None:
        with contextlib.suppress(OSError):
            os.unlink(self._path(pid))

    def _read_claim(self, pid: int) -> ProcessClaim:
        try:
            rate, share = map(float, os.readlink(self._path(pid)).split(" "))
        except (OSError, ValueError):
            return UNKNOWN_CLAIM
        is_valid = 0.0 <= rate < math.inf and 0.0 <= share <= 1.0
        return ProcessClaim(rate, share) if is_valid else UNKNOWN_CLAIM
