"""How many processes serve as one director: during a handover of an inherited listener there are two.

Each process leaves a name in a folder that all of them share, a symbolic link with its process id. A name of
a process that has ended is removed by whoever sees it.
"""

from __future__ import annotations

import contextlib
import os
from collections.abc import Callable
from pathlib import Path

from .counters import Counters

NAME_PREFIX = "process-"


def is_process_alive(pid: int) -> bool:
    """Whether a process of this user runs (kill(2) with signal 0)."""
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    except PermissionError:
        pass  # it is another user's, so it runs
    return True


class ProcessPresence:
    """Names this process in the shared folder and counts the others there.

    Args:
        folder: The shared folder; made if it does not exist. An unusable one is counted.
        counters: Counts `processes.unknown` for a folder that cannot be used.
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
        try:
            folder.mkdir(mode=0o700, exist_ok=True)
            with contextlib.suppress(FileExistsError):  # of a process that had the same id
                os.symlink("1", folder / f"{NAME_PREFIX}{pid}")
        except OSError:
            counters.add("processes.unknown")

    def count(self) -> int:
        """Returns how many processes serve, this one included."""
        try:
            names = os.listdir(self._folder)
        except OSError:
            return 1
        pids = {name.removeprefix(NAME_PREFIX) for name in names if name.startswith(NAME_PREFIX)}
        others = {int(text) for text in pids if text.isdigit()} - {self._pid}
        return 1 + sum(self._is_present(pid) for pid in others)

    def _is_present(self, pid: int) -> bool:
        if self._is_alive(pid):
            return True
        with contextlib.suppress(OSError):
            os.unlink(self._folder / f"{NAME_PREFIX}{pid}")
        return False
