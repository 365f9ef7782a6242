"""Decides whether a director is ready and how it drains and shuts down. No I/O; times are in Unix ms."""

from __future__ import annotations

from dataclasses import dataclass

IDLE_CLOSE_GRACE_MS = 100.0
"""From this long after the start of a drain, idle connections without unread input are closed."""

MAX_IDLE_DRAIN_MS = 2_500.0
"""From this long after the start of a drain, every idle connection is closed, even with unread input."""

SHUTDOWN_ACCEPT_MS = 700.0
"""For this long after SIGTERM new requests are still received and accepted."""

MAX_SIGKILL_DELAY_MS = 3_000.0
"""SIGKILL is sent this long after `SHUTDOWN_ACCEPT_MS` has passed.

The delay is the longest deadline of a class if that is shorter.
"""

SIGKILL_MARGIN_MS = 80.0
"""Final answers are due this long before SIGKILL, so that they can be sent and the process can exit."""


def shutdown_deadline_ms(sigterm_ms: float, longest_deadline_ms: float) -> float:
    """Returns the time by which every accepted request must have its final answer after a SIGTERM.

    Without this limit, a request whose own deadline is later than the platform's SIGKILL would never get its
    final answer. `sigterm_ms` is the time of the SIGTERM.
    """
    kill_delay_ms = min(longest_deadline_ms, MAX_SIGKILL_DELAY_MS)
    return sigterm_ms + SHUTDOWN_ACCEPT_MS + kill_delay_ms - SIGKILL_MARGIN_MS


@dataclass(slots=True)
class Readiness:
    """The state that the readiness endpoint reports.

    Attributes:
        is_started: The director accepts and serves requests.
        is_synced: All events that the coordinator had at the start are applied, or the wait for them was
            given up.
        drain_since_ms: When the current drain began; None without a drain.
        is_stopping: SIGTERM was received; never becomes false again.
    """

    is_started: bool = False
    is_synced: bool = True
    drain_since_ms: float | None = None
    is_stopping: bool = False

    @property
    def is_ready(self) -> bool:
        """Whether the director should receive new requests: started, synced, not draining, not stopping.

        `is_synced` is required because a director whose configuration file is older than the endpoint list
        would send requests to caches that have begun to drain in the meantime.
        """
        return self.is_started and self.is_synced and not self.is_draining

    @property
    def is_draining(self) -> bool:
        """Whether responses close their connections: during a drain and after SIGTERM."""
        return self.drain_since_ms is not None or self.is_stopping

    def start_drain(self, now_ms: float) -> None:
        """Begins a drain; one in progress keeps its start time, so that repeated calls do not prolong it."""
        if self.drain_since_ms is None:
            self.drain_since_ms = now_ms

    def stop_drain(self) -> None:
        """Ends a drain. After SIGTERM the director stays unready nevertheless."""
        self.drain_since_ms = None

    def may_close_idle(self, now_ms: float, is_input_empty: bool) -> bool:
        """Returns whether an idle connection may be closed now.

        Args:
            now_ms: The current time.
            is_input_empty: The connection has no unread input from the client. Together with the grace period
                this makes it unlikely that the client sends a request while the connection is being closed.

        Returns:
            During a drain, true after `IDLE_CLOSE_GRACE_MS` for a connection without unread input and after
            `MAX_IDLE_DRAIN_MS` for any connection; otherwise false.
        """
        if self.drain_since_ms is None:
            return False
        drained_for_ms = now_ms - self.drain_since_ms
        if drained_for_ms >= MAX_IDLE_DRAIN_MS:
            return True
        return is_input_empty and drained_for_ms >= IDLE_CLOSE_GRACE_MS
