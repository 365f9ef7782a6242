"""Distinguishes `accept` errors of one connection from those of the process (accept(2)); no I/O."""

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
"""Errors that were pending on the new connection; the next connection may be accepted at once."""

MAX_CONNECTION_ERRORS = 32
"""Per event-loop iteration. More are treated as an error of the process, so that the loop does not spin."""

MIN_BACKOFF_MS = 5.0
MAX_BACKOFF_MS = 80.0


@dataclass(slots=True)
class AcceptBackoff:
    """Decides how long to wait after an error of `accept` before the next call."""

    iteration_errors: int = 0
    backoff_ms: float = MIN_BACKOFF_MS

    def start_iteration(self) -> None:
        """Resets the count of errors at the start of an event-loop iteration that accepts connections."""
        self.iteration_errors = 0

    def accepted(self) -> None:
        """Resets the backoff after a connection was accepted: errors of the process have passed."""
        self.backoff_ms = MIN_BACKOFF_MS

    def pause_ms(self, error: OSError) -> float:
        """Returns how long to wait before the next call of `accept`; 0 if it may be made at once."""
        self.iteration_errors += 1
        if error.errno in CONNECTION_ERRORS and self.iteration_errors <= MAX_CONNECTION_ERRORS:
            return 0.0
        pause_ms, self.backoff_ms = self.backoff_ms, min(MAX_BACKOFF_MS, 2.0 * self.backoff_ms)
        return pause_ms


def error_name(error: OSError) -> str:
    """Returns an error's symbolic name, such as `EMFILE`, for counters."""
    return errno.errorcode.get(error.errno or 0, "unknown")
