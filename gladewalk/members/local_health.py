"""Local health: how likely a missing response is the local member's own fault (Lifeguard's LHA-Probe)."""

from __future__ import annotations

MAX_HEALTH_SCORE = 8  # bounds how far a member that misses responses may extend its own timeouts
UNHEALTHY_SCORE = 4  # from this score on, a member's suspicions and death reports have less weight


class LocalHealth:
    """Lifeguard's local health multiplier: 0 is healthy, `MAX_HEALTH_SCORE` the worst.

    Missed responses and refuted suspicions raise the score, timely responses lower it. Timeouts of direct
    pings are multiplied by 1 + `score`, so that a slow member suspects others later.
    """

    def __init__(self) -> None:
        self.score = 0

    def worsen(self, by: int = 1) -> None:
        """Raises the score, up to `MAX_HEALTH_SCORE`."""
        self.score = min(MAX_HEALTH_SCORE, self.score + by)

    def improve(self) -> None:
        """Lowers the score by 1, down to 0."""
        self.score = max(0, self.score - 1)
