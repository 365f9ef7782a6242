"""Backoff of failed servers, silence detection, and AIMD of a source's fill quota. Times are milliseconds."""

from __future__ import annotations

BACKOFF_MS = 400.0  # after the first failure, doubled with each further one in a row
MAX_BACKOFF_MS = 4_000.0
MAX_BACKOFF_DOUBLINGS = 8
MIN_UNRESPONSIVE_MS = 700.0  # without an answer, with attempts in flight
MIN_UNRESPONSIVE_GAPS = 8.0  # or this many mean gaps between answers, where that is longer
INITIAL_RESPONSE_GAP_MS = 300.0
INITIAL_FILL_QUOTA = 2.0  # concurrent fills; given by the design page
MIN_FILL_QUOTA = 1.0  # one trial is always allowed; given by the design page
MAX_FILL_QUOTA = 64.0  # keeps a quota from growing past what one decrease can undo


def backoff_ms(consecutive_failures: int) -> float:
    """Exponential backoff after at least one failure."""
    doublings = min(consecutive_failures - 1, MAX_BACKOFF_DOUBLINGS)
    return min(MAX_BACKOFF_MS, BACKOFF_MS * 2.0**doublings)


def unresponsive_timeout_ms(response_gap_ms: float, in_flight: int) -> float:
    """Time without an answer that counts as a failure; a single attempt gets twice it."""
    return max(MIN_UNRESPONSIVE_MS, MIN_UNRESPONSIVE_GAPS * response_gap_ms) * (1.0 if in_flight > 1 else 2.0)


def decrease_quota(quota: float) -> float:
    """Multiplicative decrease, after a fill that was rejected, failed or timed out."""
    return max(MIN_FILL_QUOTA, quota / 2.0)


def increase_quota(quota: float) -> float:
    """Additive increase, after a fill in time with at least half of the quota in use."""
    return min(MAX_FILL_QUOTA, quota + 1.0)
