"""Retry budget: retries and hedged requests in proportion to requests, so that they cannot amplify."""

from __future__ import annotations

RETRIES_PER_REQUEST = 0.15
MAX_SAVED_RETRIES = 12.0


class RetryBudget:
    """A token bucket that every request fills a little and every retry or hedge empties by one."""

    def __init__(self) -> None:
        self.tokens = MAX_SAVED_RETRIES

    def deposit(self) -> None:
        """Count a request."""
        self.tokens = min(MAX_SAVED_RETRIES, self.tokens + RETRIES_PER_REQUEST)

    def withdraw(self) -> bool:
        """Take the token of one retry; False if there is none."""
        has_token = self.tokens >= 1.0
        self.tokens -= has_token
        return has_token
