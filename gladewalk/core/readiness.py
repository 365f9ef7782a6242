"""Decides whether a director is ready, and how draining and shutdown proceed; no I/O, times in Unix ms."""

from __future__ import annotations

from dataclasses import dataclass

IDLE_CLOSE_GRACE_MS = 100.0
"""An idle connection this long into a drain is closed if no byte of it waits to be read."""

MAX_IDLE_DRAIN_MS = 2_500.0
"""This long into a drain every idle connection is closed, even with bytes that wait to be read."""

SHUTDOWN_ACCEPT_MS = 700.0
"""After SIGTERM new requests keep arriving, and are accepted, for this long."""

MAX_SIGKILL_DELAY_MS = 3_000.0
"""SIGKILL follows so long after that, or after the longest deadline of a class if that is shorter."""

SIGKILL_MARGIN_MS = 80.0
"""The last answers are given this long before SIGKILL, so that they are sent and the process exits."""

MAX_SYNC_WAIT_MS = 1_000.0
"""A coordinator that has not answered this long after the start is not waited for any longer."""


def shutdown_deadline_ms(sigterm_ms: float, longest_deadline_ms: float) -> float:
    """Returns by when every accepted request must have its final answer, after a SIGTERM at `sigterm_ms`.

    A request whose own deadline is later than the platform's SIGKILL would otherwise never be answered.
    """
    kill_delay_ms = min(longest_deadline_ms, MAX_SIGKILL_DELAY_MS)
    return sigterm_ms + SHUTDOWN_ACCEPT_MS + kill_delay_ms - SIGKILL_MARGIN_MS


@dataclass(slots=True)
class Readiness:
    """The state that the readiness endpoint answers from.

    Attributes:
        is_started: The director serves.
        is_synced: The coordinator has answered once, or was waited for `MAX_SYNC_WAIT_MS`.
        drain_since_ms: When the drain began, None while there is none.
        is_stopping: SIGTERM was received; never becomes false again.
    """

    is_started: bool = False
    is_synced: bool = True
    drain_since_ms: float | None = None
    is_stopping: bool = False

    @property
    def is_ready(self) -> bool:
        """Whether new traffic is wanted: started, synced, and neither draining nor stopping.

        Without `is_synced`, a director whose configuration file is older than the endpoint list would send
        requests to caches that have begun to drain in the meantime.
        """
        return self.is_started and self.is_synced and not self.is_draining

    @property
    def is_draining(self) -> bool:
        """Whether answers close their connections: during a drain, and after SIGTERM."""
        return self.drain_since_ms is not None or self.is_stopping

    def start_drain(self, now_ms: float) -> None:
        """Begins a drain; one that is on keeps its beginning, so that repeated calls do not prolong it."""
        if self.drain_since_ms is None:
            self.drain_since_ms = now_ms

    def stop_drain(self) -> None:
        """Ends a drain. After SIGTERM the director stays unready all the same."""
        self.drain_since_ms = None

    def may_close_idle(self, now_ms: float, is_input_empty: bool) -> bool:
        """Returns whether an idle connection may be closed now.

        Args:
            now_ms: The present time.
            is_input_empty: The connection has no unread input from the client. Together with the grace period
                this makes it unlikely that the client sends a request while the connection is being closed.

        Returns:
            During a drain, true after `IDLE_CLOSE_GRACE_MS` for a quiet connection and after
            `MAX_IDLE_DRAIN_MS` for any; otherwise false.
        """
        if self.drain_since_ms is None:
            return False
        drained_for_ms = now_ms - self.drain_since_ms
        if drained_for_ms >= MAX_IDLE_DRAIN_MS:
            return True
        return is_input_empty and drained_for_ms >= IDLE_CLOSE_GRACE_MS
