"""What two processes of a handover know of each other's writes: names in a folder that both can reach.

While a new process takes over an inherited listener, both serve as one director. A write that comes to one
may come again to the other, which then has to know that it may have run. The platform gives both the same
`$TMPDIR`, which counts as memory. A name there is a symbolic link, which takes one system call to make, fails
if another process has made it first, and holds its few bytes without a data block.

What this cannot know: a send of a process whose folder is another one, or could not be written to.
"""

from __future__ import annotations

import contextlib
import hashlib
import os
import time
from collections import OrderedDict
from collections.abc import Callable
from pathlib import Path

from .. import interface as api
from ..interface import Idempotency
from .counters import Counters
from .exchange_types import ClientRequest

FOLDER_PREFIX = "gladewalk-"
NAME_LENGTH = 32  # hexadecimal digits
MAX_NAMES = 4_096  # that one process makes; some 0.7 KB of memory each
CLEANUP_INTERVAL_MS = 30_000.0  # between removals of names that processes left which have ended


def read_monotonic_ms() -> float:
    """Returns a clock that all processes of a machine share, in milliseconds."""
    return time.monotonic() * 1000.0


class SharedExecutions:
    """Names of writes that may have run, in a folder shared by the processes of a handover.

    Args:
        folder: Made if it does not exist; an unusable one is counted, and this process's own memory remains.
        counters: Counts `executions.elsewhere` and `executions.share_failed`.
        monotonic_ms: A clock that all processes of the machine share.
    """

    def __init__(
        self, folder: Path, counters: Counters, monotonic_ms: Callable[[], float] = read_monotonic_ms
    ) -> None:
        self._folder, self._counters, self._now_ms = folder, counters, monotonic_ms
        self._own: OrderedDict[str, float] = OrderedDict()  # when each name of this process expires
        self._next_cleanup_ms = monotonic_ms()
        try:
            folder.mkdir(mode=0o700, exist_ok=True)
        except OSError:
            counters.add("executions.share_failed")

    def find(
        self, request: ClientRequest, request_class: api.RequestClass | None
    ) -> api.EarlierExecution | None:
        """Returns what another process has recorded of a write; None if nothing."""
        name = _name(request, request_class)
        if not name or name in self._own:
            return None
        try:
            expires_ms, sent_ms, server = os.readlink(self._folder / name).split(" ", 2)
        except (OSError, ValueError):
            return None
        now_ms = self._now_ms()
        if float(expires_ms) < now_ms:
            return None
        self._counters.add("executions.elsewhere")
        return api.EarlierExecution(now_ms - float(sent_ms), server)

    def claim(self, request: ClientRequest, request_class: api.RequestClass | None, server: str) -> bool:
        """Records that this process sends a write now; False if another one may have sent it."""
        name = _name(request, request_class)
        now_ms = self._now_ms()
        self._remove_expired(now_ms)
        if not name or request_class is None or name in self._own or len(self._own) >= MAX_NAMES:
            return True
        retention_ms = request_class.deduplication_window_ms + request_class.deadline_ms
        expires_ms = now_ms + retention_ms
        try:
            os.symlink(f"{expires_ms:.0f} {now_ms:.0f} {server}", self._folder / name)
        except FileExistsError:
            is_valid = self._check_validity(name, now_ms)
            is_keyed = request_class.idempotency is Idempotency.KEYED  # its repeats are dropped
            return is_keyed or not is_valid
        except OSError:
            self._counters.add("executions.share_failed")
            return True
        self._own[name] = expires_ms
        return True

    def withdraw(self, request: ClientRequest, request_class: api.RequestClass | None) -> None:
        """Removes the name of a write of which no attempt has run; a key's first send stays recorded."""
        name = _name(request, request_class)
        is_keyed = request_class is not None and request_class.idempotency is Idempotency.KEYED
        if name in self._own and not is_keyed:
            del self._own[name]
            self._remove(name)

    def _check_validity(self, name: str, now_ms: float) -> bool:
        """Returns whether a name that exists is still valid; an expired one is removed."""
        try:
            is_valid = float(os.readlink(self._folder / name).split(" ", 1)[0]) >= now_ms
        except (OSError, ValueError):
            is_valid = False
        if not is_valid:
            self._remove(name)
        return is_valid

    def _remove_expired(self, now_ms: float) -> None:
        while self._own and next(iter(self._own.values())) < now_ms:
            self._remove(self._own.popitem(last=False)[0])
        if now_ms < self._next_cleanup_ms:
            return
        self._next_cleanup_ms = now_ms + CLEANUP_INTERVAL_MS
        with contextlib.suppress(OSError):
            for name in os.listdir(self._folder):
                if name not in self._own and len(name) == NAME_LENGTH:
                    self._check_validity(name, now_ms)

    def _remove(self, name: str) -> None:
        with contextlib.suppress(OSError):
            os.unlink(self._folder / name)


def _name(request: ClientRequest, request_class: api.RequestClass | None) -> str:
    """Returns the name of a write in the folder; empty for a request that may be repeated."""
    match request_class.idempotency if request_class is not None else None:
        case Idempotency.KEYED if request.idempotency_key:
            identity = f"key {request.idempotency_key}"
        case Idempotency.NON_IDEMPOTENT if request.trace_id:
            identity = f"id {request.trace_id} {request.key:x} {request.part}"
        case _:
            return ""
    return hashlib.blake2b(identity.encode("latin-1", "replace"), digest_size=NAME_LENGTH // 2).hexdigest()
