"""Divides a director's budgets among the processes that serve as it, several times a second."""

from __future__ import annotations

from collections.abc import Callable

from .. import interface as api
from ..limits.process_share import ProcessShare
from .counters import Counters
from .deadlines import DeadlineKey, Deadlines
from .process_presence import ProcessPresence

CHECK_INTERVAL_MS = 200.0


class ProcessSharing:
    """Publishes this process's claim and passes its share on.

    Args:
        presence: Where the processes publish their claims.
        clock: The current time in milliseconds.
        deadlines: Schedules the checks.
        counters: Its `requests.taken` is how many requests this process has received.
        on_change: Called with each change of the number of processes or of this one's share.
    """

    def __init__(
        self,
        presence: ProcessPresence,
        clock: Callable[[], float],
        deadlines: Deadlines,
        counters: Counters,
        on_change: Callable[[api.ProcessShareChanged], None],
    ) -> None:
        self._presence, self._clock, self._deadlines = presence, clock, deadlines
        self._counters, self._on_change = counters, on_change
        self._process_share = ProcessShare()
        self._current = api.ProcessShareChanged(1, 1.0)
        self._has_published_all = False  # that this process claims all of the budgets, as it is alone
        self._timer: DeadlineKey | None = None

    def check(self) -> None:
        """Reads the others' claims, publishes this process's and schedules the next check."""
        others = self._presence.claims_of_others()
        claim = self._process_share.update(self._clock(), self._counters["requests.taken"], others)
        if others or not self._has_published_all:
            self._presence.publish(claim)
        self._has_published_all = not others
        latest = api.ProcessShareChanged(self._process_share.process_count, claim.share)
        if latest != self._current:
            self._current = latest
            self._on_change(latest)
        self._deadlines.drop(self._timer)
        self._timer = self._deadlines.add(self._clock() + CHECK_INTERVAL_MS, self.check)

    def leave(self) -> None:
        """Ends the checks; the other processes may use all of the budgets."""
        self._deadlines.drop(self._timer)
        self._presence.leave()
