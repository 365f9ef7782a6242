"""Backoff of failed servers, timeout of unresponsive ones, and AIMD of a source's fill quota.

Times are milliseconds.
"""

from __future__ import annotations

BACKOFF_MS = 400.0  # after the first failure; doubled with each further failure in a row
MAX_BACKOFF_MS = 4_000.0
MAX_BACKOFF_DOUBLINGS = 8
MIN_UNRESPONSIVE_MS = 700.0  # time without a response, with attempts in flight, that counts as a failure
MIN_UNRESPONSIVE_GAPS = 8.0  # or this many mean intervals between responses, if that is longer
INITIAL_RESPONSE_GAP_MS = 300.0
INITIAL_FILL_QUOTA = 2.0  # concurrent fills; specified by the design
MIN_FILL_QUOTA = 1.0  # one trial fill is always allowed; specified by the design
MAX_FILL_QUOTA = 64.0  # a larger quota could not be corrected by a single decrease


def backoff_ms(consecutive_failures: int) -> float:
    """The backoff after this many failures in a row, at least one: exponential up to the maximum."""
    doublings = min(consecutive_failures - 1, MAX_BACKOFF_DOUBLINGS)
    return min(MAX_BACKOFF_MS, BACKOFF_MS * 2.0**doublings)


def unresponsive_timeout_ms(response_gap_ms: float, in_flight: int) -> float:
    """Time without a response that counts as a failure; doubled if only one attempt is in flight."""
    return max(MIN_UNRESPONSIVE_MS, MIN_UNRESPONSIVE_GAPS * response_gap_ms) * (1.0 if in_flight > 1 else 2.0)


def decrease_quota(quota: float) -> float:
    """Multiplicative decrease after a fill that was rejected, failed or timed out."""
    return max(MIN_FILL_QUOTA, quota / 2.0)


def increase_quota(quota: float) -> float:
    """Additive increase after a fill that met its objective while at least half of the quota was in use."""
    return min(MAX_FILL_QUOTA, quota + 1.0)
