"""What an error of `accept` speaks of: one connection, or the whole process (Linux, accept(2)); no I/O."""

from __future__ import annotations

import errno
from dataclasses import dataclass

CONNECTION_ERRORS = frozenset(
    {
        errno.ECONNABORTED,
        errno.EINTR,
        errno.EPERM,  # a firewall rejects the connection
        errno.EPROTO,
        errno.ENOPROTOOPT,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.ENONET,
        errno.EOPNOTSUPP,
        errno.ETIMEDOUT,
        errno.ECONNRESET,
    }
)
"""Errors that were pending on the new connection: the next one may be accepted at once."""

MAX_CONNECTION_ERRORS = 32
"""So many in one turn of the loop; more are taken for an error of the process: the loop must not spin."""

MIN_BACKOFF_MS = 5.0
MAX_BACKOFF_MS = 80.0


@dataclass(slots=True)
class AcceptBackoff:
    """Decides after an error of `accept` whether to go on at once, and else how long to wait."""

    turn_errors: int = 0
    backoff_ms: float = MIN_BACKOFF_MS

    def start_turn(self) -> None:
        """A turn of the loop begins in which connections are accepted."""
        self.turn_errors = 0

    def accepted(self) -> None:
        """A connection was accepted: errors of the process, if there were any, are over."""
        self.backoff_ms = MIN_BACKOFF_MS

    def pause_ms(self, error: OSError) -> float:
        """Returns how long to wait before the next call; 0: it may be made at once."""
        self.turn_errors += 1
        if error.errno in CONNECTION_ERRORS and self.turn_errors <= MAX_CONNECTION_ERRORS:
            return 0.0
        pause_ms, self.backoff_ms = self.backoff_ms, min(MAX_BACKOFF_MS, 2.0 * self.backoff_ms)
        return pause_ms


def error_name(error: OSError) -> str:
    """Returns an error's symbolic name, such as `EMFILE`, for counters."""
    return errno.errorcode.get(error.errno or 0, "unknown")
