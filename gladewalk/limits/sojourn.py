"""Work grown too old: while most fills come late, one is cut where its answer is worth next to nothing.

Guards against congestion collapse: a source that is asked for more than it gives serves all a little, and
each request waits until its client leaves, holding the source's link for an answer that nobody takes in time.
As CoDel does in queues, age counts only while a queue stands; in calm every fill may take its time.
"""

from __future__ import annotations

SMOOTH = 0.15  # weight of one fill's end (ours)
STANDING = 0.5  # part of the fills that come late, from which on a queue is held to stand (ours)
AIMS = 2.0  # times its aim that a fill may then take, the request's wait before it included (ours)
LEAST_MS = 400.0  # what any fill is given (ours)


class Ageing:
    def __init__(self) -> None:
        self.late = 0.0  # part of the fills that came late, lately

    def ended(self, late: bool) -> None:
        """A fill came, or was given up for its age."""
        self.late += SMOOTH * (late - self.late)

    def cap_ms(self, aim_ms: float, arrived_ms: float, deadline_ms: float, now_ms: float) -> float:
        """How long a fill may take that begins now; 0: until its client gives up, at `deadline_ms`."""
        cap = max(LEAST_MS, AIMS * aim_ms - (now_ms - arrived_ms))
        return cap if self.late > STANDING and cap < deadline_ms - now_ms - LEAST_MS / 4.0 else 0.0
