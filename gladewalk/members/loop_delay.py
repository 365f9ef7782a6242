"""Delay of the local event loop, measured by how late the protocol's own timers run.

On a busy host, responses that arrived in time are read late. If the protocol only counted missing responses,
it would declare live members dead whose response was still unread in the socket when the timer ran. All times
are in ms.
"""

from __future__ import annotations

import math

MIN_DELAY_MS = 15.0  # shorter delays are ignored: even an idle loop runs its timers a few ms late
DEFERRAL_MS = 5.0  # after a late timer, pending datagrams are read for this long before members are suspected
HALF_LIFE_MS = 2_000.0  # a measured delay decays to half after this long
GRACE_FACTOR = 1.0  # times the delay: extends a suspicion, since its refutation is read with the same delay


class LoopDelay:
    """Worst recent delay of the event loop, decaying with `HALF_LIFE_MS`.

    `max_delay_ms` caps a single measurement: a longer delay means that the process was stopped, not that its
    host is busy.
    """

    def __init__(self, max_delay_ms: float) -> None:
        self.max_delay_ms = max_delay_ms
        self.is_deferring = False  # the last timer ran late and was deferred
        self._worst_ms, self._measured_at_ms = 0.0, -math.inf

    def current_ms(self, now_ms: float) -> float:
        """Decayed delay at this time; 0 if it is less than one millisecond."""
        decayed_ms = self._worst_ms * 0.5 ** (max(0.0, now_ms - self._measured_at_ms) / HALF_LIFE_MS)
        return decayed_ms if decayed_ms >= 1.0 else 0.0

    def grace_ms(self, now_ms: float) -> float:
        """Time by which a suspicion is extended because of the delay."""
        return GRACE_FACTOR * self.current_ms(now_ms)

    def defers(self, due_ms: float, now_ms: float) -> bool:
        """Measures a timer that was due at `due_ms`; returns whether its work is deferred by `DEFERRAL_MS`.

        The work is never deferred twice in a row.
        """
        delay_ms = min(now_ms - due_ms, self.max_delay_ms)
        if delay_ms > max(MIN_DELAY_MS, self.current_ms(now_ms)):
            self._worst_ms, self._measured_at_ms = delay_ms, now_ms
        self.is_deferring = delay_ms > MIN_DELAY_MS and not self.is_deferring
        return self.is_deferring
