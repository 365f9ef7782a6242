"""Retry budget: limits retries and hedges in proportion to requests, to prevent retry amplification."""

from __future__ import annotations

RETRIES_PER_REQUEST = 0.15
MAX_SAVED_RETRIES = 12.0


class RetryBudget:
    """A token bucket: every request adds a fraction of a token, every retry or hedge takes one.

    Processes that serve as one director divide the tokens that it may save up.
    """

    def __init__(self) -> None:
        self.tokens = MAX_SAVED_RETRIES

    def deposit(self, share: float = 1.0) -> None:
        """Add a request's fraction of a token; `share` is this process's part of the saved tokens."""
        self.tokens = min(MAX_SAVED_RETRIES * share, self.tokens + RETRIES_PER_REQUEST)

    def withdraw(self) -> bool:
        """Take the token of one retry; False if there is none."""
        has_token = self.tokens >= 1.0
        self.tokens -= has_token
        return has_token
