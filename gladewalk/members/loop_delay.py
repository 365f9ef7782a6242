"""How late this member's own timers have run lately, and what that says of its word. No I/O; times are ms.

A host that is short of time reads late what came in time. A member on it that counts only silences finds the
living dead: the answer lay unread while its timer ran. It can know, since it knows when its timers were due.
"""

from __future__ import annotations

import math

FELT_MS = 15.0  # a timer that ran later than this was held up; a quiet loop is some milliseconds late
READ_MS = 5.0  # after a late timer what has come meanwhile is read for this long before anybody is judged
HALF_MS = 2_000.0  # a delay counts for half after this long
HOPS = 1.0  # of these, how much longer a suspicion is given: the word that refutes it is read as late (ours)


class Lateness:
    def __init__(self, most_ms: float) -> None:
        """`most_ms`: what is later than this was no busy host but a stop, of which nothing is learned."""
        self.most_ms = most_ms
        self.worst_ms, self.at_ms = 0.0, -math.inf
        self.reading = False  # the last timer ran late, and was put off

    def ms(self, now_ms: float) -> float:
        """The worst of late, fading."""
        faded = self.worst_ms * 0.5 ** (max(0.0, now_ms - self.at_ms) / HALF_MS)
        return faded if faded >= 1.0 else 0.0

    def grace_ms(self, now_ms: float) -> float:
        """How much longer a suspicion is given."""
        return HOPS * self.ms(now_ms)

    def puts_off(self, due_ms: float, now_ms: float) -> bool:
        """Whether a timer that was due then waits until what has come is read. Never twice in a row."""
        late_ms = min(now_ms - due_ms, self.most_ms)
        if late_ms > max(FELT_MS, self.ms(now_ms)):
            self.worst_ms, self.at_ms = late_ms, now_ms
        self.reading = late_ms > FELT_MS and not self.reading
        return self.reading
