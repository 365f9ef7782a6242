"""The retry budget: tries after failures, and second copies, in proportion to requests."""

from __future__ import annotations

RETRY_RATE = 0.15  # tries after failures or second copies that one request pays for: no feedback (ours)
RETRY_MOST = 12.0  # such tries that may be saved up (ours)


class RetryBudget:
    def __init__(self) -> None:
        self.left = RETRY_MOST

    def earn(self) -> None:
        """A request has come."""
        self.left = min(RETRY_MOST, self.left + RETRY_RATE)

    def take(self) -> bool:
        """Whether one more try is paid for; it counts as made."""
        paid = self.left >= 1.0
        self.left -= paid
        return paid
