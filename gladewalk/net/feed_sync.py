"""Decides when a director has applied all events that the coordinator had for it at the start. No I/O.

A director that serves before that may send requests to caches that are draining, or accept copies from before
a purge. Events arrive one after another, slowly from a coordinator with many followers, so that neither the
first line nor a fixed time shows that they are complete. Only a heartbeat does, which has the number of the
last event. A coordinator that numbers its heartbeats by what it has sent also writes them between two events
of a backlog; therefore no event may arrive shortly before or after the one that counts.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SyncLimits:
    """How long a director waits, in milliseconds.

    Attributes:
        max_wait_ms: From the start until the director serves in any case.
        max_unconnected_ms: From the start without a connection to the coordinator.
        max_silence_ms: Without a line on a connection.
        quiet_ms: Without an event before or after a heartbeat for it to end the backlog.
    """

    max_wait_ms: float
    max_unconnected_ms: float
    max_silence_ms: float
    quiet_ms: float


SYNC_LIMITS = SyncLimits(
    max_wait_ms=5_000.0,  # the platform expects a new process to be ready within 6 s
    max_unconnected_ms=1_000.0,
    max_silence_ms=2_500.0,  # a heartbeat is due each second
    quiet_ms=250.0,
)
"""The limits of a director whose clients have nobody else to serve them."""

UPGRADE_SYNC_LIMITS = SyncLimits(
    SYNC_LIMITS.max_wait_ms, SYNC_LIMITS.max_wait_ms, SYNC_LIMITS.max_wait_ms, SYNC_LIMITS.quiet_ms
)
"""The limits of a director that inherits its listener: another process may serve until this one is ready."""


class FeedSync:
    """The state of the wait for the coordinator's events; times are milliseconds of the caller's clock."""

    def __init__(self, started_ms: float, limits: SyncLimits = SYNC_LIMITS) -> None:
        self.started_ms, self.limits = started_ms, limits
        self.event_count = 0  # applied since the start
        self._last_activity_ms: float | None = None  # of a connection: its begin or its last valid line
        self._last_event_ms = -math.inf
        self._heartbeat_ms: float | None = None  # of the last heartbeat, unless an event has followed it

    def connected(self, now_ms: float) -> None:
        """Records that a connection to the coordinator has begun."""
        self._last_activity_ms = now_ms

    def event_applied(self, now_ms: float) -> None:
        """Records that an event was received which had not been applied before."""
        self.event_count += 1
        self._last_activity_ms = self._last_event_ms = now_ms
        self._heartbeat_ms = None

    def heartbeat_received(self, now_ms: float) -> None:
        """Records a heartbeat with the number of the last applied event, or a lower one."""
        self._last_activity_ms = self._heartbeat_ms = now_ms

    def is_complete(self, now_ms: float) -> bool:
        """Whether all events that the coordinator had have been applied."""
        return now_ms >= self._complete_at_ms()

    def has_given_up(self, now_ms: float) -> bool:
        """Whether the director serves although events may be missing."""
        return now_ms >= self._give_up_at_ms()

    def next_check_ms(self) -> float:
        """When the answers change if nothing is received until then."""
        return min(self._complete_at_ms(), self._give_up_at_ms())

    def _complete_at_ms(self) -> float:
        if self._heartbeat_ms is None:
            return math.inf
        was_quiet = self._heartbeat_ms - self._last_event_ms >= self.limits.quiet_ms
        return self._heartbeat_ms if was_quiet else self._heartbeat_ms + self.limits.quiet_ms

    def _give_up_at_ms(self) -> float:
        latest_ms = self.started_ms + self.limits.max_wait_ms
        if self._last_activity_ms is None:
            return min(latest_ms, self.started_ms + self.limits.max_unconnected_ms)
        return min(latest_ms, self._last_activity_ms + self.limits.max_silence_ms)
