"""Limits on the load by clients: query budgets, response rate limiting and a budget of loop time. No I/O.

Response rate limiting (as in BIND and NSD) counts similar responses to one network, because an attacker that
forges source addresses uses those of its victim. Responses over the rate are dropped; every few of them is
sent truncated instead ("slip"), so that a genuine client in that network retries over TCP, whose source
addresses cannot be forged.
"""

from __future__ import annotations

import ipaddress
from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass
from enum import Enum
from functools import lru_cache

MAX_BUCKETS = 16_384  # one by network, or by network and response; the least recently used is evicted
NETWORK_BITS_V4, NETWORK_BITS_V6 = 24, 56


@lru_cache(4_096)
def client_network(address: str, v4_bits: int = NETWORK_BITS_V4, v6_bits: int = NETWORK_BITS_V6) -> str:
    """Returns the network that an address counts toward: one client can have many addresses in it."""
    parsed = ipaddress.ip_address(address)
    bits = v4_bits if parsed.version == 4 else v6_bits
    return str(ipaddress.ip_network((parsed, bits), strict=False))


@dataclass(slots=True)
class TokenBucket:
    """The tokens of one key.

    Attributes:
        tokens: Tokens available at `updated_ms`.
        updated_ms: When `tokens` was last updated.
        refused_count: Requests refused since the last one that got a token.
    """

    tokens: float
    updated_ms: float
    refused_count: int = 0


class TokenBuckets:
    """Token buckets by key, each refilled at a rate up to a burst; the least recently used are evicted.

    Args:
        tokens_per_s: Refill rate of each bucket.
        burst: Capacity of each bucket; at least 1.
        max_buckets: Number of keys that are tracked at a time.
    """

    def __init__(self, tokens_per_s: float, burst: float, max_buckets: int = MAX_BUCKETS) -> None:
        self.tokens_per_s, self.burst, self.max_buckets = tokens_per_s, max(1.0, burst), max_buckets
        self.buckets: OrderedDict[Hashable, TokenBucket] = OrderedDict()

    def try_take(self, key: Hashable, now_ms: float) -> bool:
        """Takes one token; returns False if there is none."""
        bucket = self._bucket(key, now_ms)
        elapsed_s = max(0.0, now_ms - bucket.updated_ms) / 1_000.0  # no tokens if the clock was set back
        bucket.tokens = min(self.burst, bucket.tokens + elapsed_s * self.tokens_per_s)
        bucket.updated_ms = now_ms
        if bucket.tokens < 1.0:
            bucket.refused_count += 1
            return False
        bucket.tokens -= 1.0
        bucket.refused_count = 0
        return True

    def refused_count(self, key: Hashable) -> int:
        """Returns how many requests of a key were refused since it last got a token."""
        return self.buckets[key].refused_count

    def _bucket(self, key: Hashable, now_ms: float) -> TokenBucket:
        bucket = self.buckets.get(key)
        if bucket is not None:
            self.buckets.move_to_end(key)
            return bucket
        bucket = self.buckets[key] = TokenBucket(self.burst, now_ms)
        if len(self.buckets) > self.max_buckets:
            self.buckets.popitem(last=False)
        return bucket


class RateDecision(Enum):
    """How response rate limiting treats a response."""

    SEND = "send"
    SLIP = "slip"  # sent truncated
    DROP = "drop"


class ResponseRateLimiter:
    """Limits similar responses to one network to a rate, with a burst of one second at that rate.

    Args:
        responses_per_s: The rate.
        slip: Every `slip`-th response over the rate is sent truncated; 0: none.
    """

    def __init__(self, responses_per_s: float, slip: int) -> None:
        self._buckets, self._slip = TokenBuckets(responses_per_s, responses_per_s), slip

    def decide(self, network: str, response_key: Hashable, now_ms: float) -> RateDecision:
        """Counts a response to a network; responses with equal keys share one limit."""
        key = (network, response_key)
        if self._buckets.try_take(key, now_ms):
            return RateDecision.SEND
        is_slipped = self._slip and self._buckets.refused_count(key) % self._slip == 0
        return RateDecision.SLIP if is_slipped else RateDecision.DROP


class LoopTimeBudget:
    """Limits the event-loop time of one kind of work: a bucket of ms, refilled at a fraction of real time.

    Protects against a flood of queries that are cheap individually: other work on the loop keeps the
    remaining time, whatever a query costs on this machine.

    Args:
        fraction: Share of the loop's time, over 0 and up to 1.
        burst_ms: Capacity of the bucket.
    """

    def __init__(self, fraction: float, burst_ms: float = 10.0) -> None:
        self.fraction = fraction
        self._burst_ms = self._available_ms = burst_ms
        self._updated_ms = 0.0

    def charge(self, duration_ms: float, now_ms: float) -> float:
        """Charges work that has just ended; returns for how many ms no further work may start."""
        elapsed_ms = max(0.0, now_ms - self._updated_ms)
        refilled_ms = min(self._burst_ms, self._available_ms + elapsed_ms * self.fraction)
        self._available_ms = refilled_ms - duration_ms
        self._updated_ms = now_ms
        return max(0.0, -self._available_ms / self.fraction)

    def clear_debt(self) -> None:
        """Cancels overspent time; for when no other work needed it."""
        self._available_ms = max(0.0, self._available_ms)
