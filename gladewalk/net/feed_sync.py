"""Decides when a director has applied all events that the coordinator had for it at the start. No I/O.

A director that serves before that may send requests to caches that are draining, or accept copies from before
a purge. Events arrive one after another, slowly from a coordinator with many followers, so that neither the
first line nor a fixed time shows that they are complete. A heartbeat does, which has the number of the last
event. It is sent each second, which is long for clients whose requests wait: for them a pause ends the
backlog as well, if it is long compared with all pauses before it. Where nobody waits, a heartbeat counts only
if no event follows it as events followed one another, since a coordinator may number it by what it has sent.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

PAUSE_FACTOR = 4.0  # by which a pause that ends the backlog exceeds the longest one within it


@dataclass(frozen=True, slots=True)
class SyncLimits:
    """How long a director waits, in milliseconds.

    Attributes:
        max_wait_ms: From the start until the director serves in any case.
        max_unconnected_ms: From the start without a connection to the coordinator.
        max_silence_ms: Without a line on a connection.
        min_pause_ms: The shortest pause after events that ends the backlog without a heartbeat.
        heartbeat_factor: Times the longest pause between events, the pause that a heartbeat needs after it.
    """

    max_wait_ms: float
    max_unconnected_ms: float
    max_silence_ms: float
    min_pause_ms: float
    heartbeat_factor: float


SYNC_LIMITS = SyncLimits(
    max_wait_ms=4_800.0,  # the platform expects a process to be ready 6 s after its start began
    max_unconnected_ms=1_000.0,
    max_silence_ms=2_500.0,  # a heartbeat is due each second
    min_pause_ms=250.0,  # longer than the system waits before it sends a lost segment again
    heartbeat_factor=0.0,
)
"""The limits of a director whose clients have nobody else to serve them."""

UPGRADE_SYNC_LIMITS = SyncLimits(
    max_wait_ms=SYNC_LIMITS.max_wait_ms,
    max_unconnected_ms=SYNC_LIMITS.max_wait_ms,
    max_silence_ms=SYNC_LIMITS.max_wait_ms,
    min_pause_ms=math.inf,
    heartbeat_factor=1.5,
)
"""The limits of a director that inherits its listener: another process may serve until this one is ready."""


class FeedSync:
    """The state of the wait for the coordinator's events; times are milliseconds of the caller's clock."""

    def __init__(self, started_ms: float, limits: SyncLimits = SYNC_LIMITS) -> None:
        self.started_ms, self.limits = started_ms, limits
        self._connected_ms = started_ms
        self.event_count = 0  # applied since the start
        self._heartbeat_ms: float | None = None  # of the last heartbeat, unless an event has followed it
        self._is_line_open = False  # the last data ended within a line
        # Of the current connection: the last data, the last event, the longest pause before an event.
        self._last_data_ms: float | None = None
        self._last_event_ms: float | None = None
        self._longest_pause_ms = 0.0

    def connected(self, now_ms: float) -> None:
        """Records that a connection to the coordinator has begun."""
        self._last_data_ms, self._last_event_ms, self._heartbeat_ms = now_ms, None, None
        self._is_line_open, self._connected_ms, self._longest_pause_ms = False, now_ms, 0.0

    def data_received(self, now_ms: float, is_line_open: bool) -> None:
        """Records data of the current connection, before its lines; it ends within a line or with one."""
        self._last_data_ms, self._is_line_open = now_ms, is_line_open

    def event_applied(self, now_ms: float) -> None:
        """Records that an event was received which had not been applied before."""
        before_ms = self._connected_ms if self._last_event_ms is None else self._last_event_ms
        self._longest_pause_ms = max(self._longest_pause_ms, now_ms - before_ms)
        self.event_count += 1
        self._last_event_ms, self._heartbeat_ms = now_ms, None

    def heartbeat_received(self, now_ms: float) -> None:
        """Records a heartbeat with the number of the last applied event, or a lower one."""
        self._heartbeat_ms = now_ms

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
        if self._is_line_open:
            return math.inf
        if self._heartbeat_ms is not None:
            return self._heartbeat_ms + self.limits.heartbeat_factor * self._longest_pause_ms
        if self._last_event_ms is None:
            return math.inf
        return self._last_event_ms + max(self.limits.min_pause_ms, PAUSE_FACTOR * self._longest_pause_ms)

    def _give_up_at_ms(self) -> float:
        latest_ms = self.started_ms + self.limits.max_wait_ms
        if self._last_data_ms is None:
            return min(latest_ms, self.started_ms + self.limits.max_unconnected_ms)
        return min(latest_ms, self._last_data_ms + self.limits.max_silence_ms)
