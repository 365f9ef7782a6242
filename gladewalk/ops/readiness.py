"""Whether a director is ready, and how a drain ends its kept connections; no I/O, time given in Unix ms."""

from __future__ import annotations

from dataclasses import dataclass

KEPT_GRACE_MS = 100.0  # a connection resting this long into a drain is closed once nothing lies unread
KEPT_LAST_MS = 2_500.0  # after this long into a drain no resting connection is kept, read or not
ACCEPT_MS = 700.0  # after SIGTERM requests keep coming for this long
KILL_MOST_MS = 3_000.0  # SIGKILL may come that much later, or after the longest deadline if that is shorter
KILL_SPARE_MS = 80.0  # the last answers are given this long before, so that they leave and the process ends
SYNC_MOST_MS = 1_000.0  # a coordinator that has not answered by this long after the start is not waited for


def answered_by_ms(stop_ms: float, longest_ms: float) -> float:
    """By when all that was taken has its final answer, after a SIGTERM at `stop_ms`.

    Guards against requests with more patience than the platform, whose SIGKILL would find them unanswered.
    """
    return stop_ms + ACCEPT_MS + min(longest_ms, KILL_MOST_MS) - KILL_SPARE_MS


@dataclass(slots=True)
class Readiness:
    """The state that readiness answers from.

    `started`: the director serves. `synced`: the coordinator has answered once, or was waited for long
    enough. `drain_since_ms`: when the drain began, None while there is none. `stopping`: SIGTERM was heard;
    it never ends.
    """

    started: bool = False
    synced: bool = True
    drain_since_ms: float | None = None
    stopping: bool = False

    def ready(self) -> bool:
        """Yes only for a process that has started and heard the coordinator, and neither drains nor stops.

        Guards against a start whose configuration is older than the coordinator: what it told meanwhile, a
        cache that drains among it, counts as told, and comes with the coordinator's first answer.
        """
        return self.started and self.synced and self.drain_since_ms is None and not self.stopping

    def start_drain(self, now_ms: float) -> None:
        """A drain that is already on keeps its beginning: the front's clock for it does not start again."""
        if self.drain_since_ms is None:
            self.drain_since_ms = now_ms

    def stop_drain(self) -> None:
        self.drain_since_ms = None

    @property
    def draining(self) -> bool:
        """Whether answers close their connections: in a drain, and after SIGTERM."""
        return self.drain_since_ms is not None or self.stopping

    def closes_resting(self, now_ms: float, quiet: bool) -> bool:
        """Whether a resting connection is closed now: in a drain, once quiet after a grace; all at last.

        Guards against a close over a request already on its way, which the grace and `quiet` make rare, and
        against a connection held idle when the front stops coming.
        """
        if self.drain_since_ms is None:
            return False
        into = now_ms - self.drain_since_ms
        return into >= KEPT_LAST_MS or (into >= KEPT_GRACE_MS and quiet)
