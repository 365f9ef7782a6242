"""Estimates from a resolver's queries how many concurrent transfers one answer to it causes. No I/O.

A resolver queries a name again when its cached answer has expired and a client needs the name. The time from
the expiry to that query, in which the name is *not* cached, therefore shows how often clients need it: the
number of repeated queries divided by the uncached time is their rate (for a Poisson stream, the
maximum-likelihood estimate; a name that is not queried again adds its whole uncached time). By Little's law,
the rate times the duration of a transfer is the number of concurrent transfers. A farm of resolvers behind
one address queries a name again while an answer is cached: the uncached time is then zero, and the weight
rises, as it should.

The queries of a resolver that caches answers for minutes show little of its clients' demand, so that no
resolver has a lower weight than the configured one of an unknown resolver.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

MAX_WATCHED_NAMES = 65_536  # pairs of resolver and name; evicted by their last answer
MAX_RESOLVERS = 4_096
WATCH_MS = 60_000.0  # most uncached time that one answer adds; the name is watched for that long
HALF_LIFE_MS = 300_000.0  # time after which an observation counts half
PRIOR_QUERIES = 4.0  # the configured weight counts as much as this many repeated queries


@dataclass(slots=True)
class QueryStatistics:
    """Statistics of one resolver's queries, with exponential decay.

    Attributes:
        repeated_queries: Queries for names that it had queried before.
        uncached_ms: Time in which names were not cached.
        updated_ms: When the two were last decayed.
    """

    repeated_queries: float = 0.0
    uncached_ms: float = 0.0
    updated_ms: float = 0.0

    def decay(self, now_ms: float) -> None:
        """Reduces both values by the time since the last call."""
        factor = 0.5 ** (max(0.0, now_ms - self.updated_ms) / HALF_LIFE_MS)
        self.repeated_queries *= factor
        self.uncached_ms *= factor
        self.updated_ms = now_ms


class ResolverWeights:
    """Estimates each resolver's weight: the concurrent transfers that one answer to it causes.

    Args:
        min_weight: Weight of an unknown resolver, and lower bound for any other.
        max_weight: Upper bound for all resolvers.
    """

    def __init__(self, min_weight: float, max_weight: float) -> None:
        self.min_weight, self.max_weight = min_weight, max(min_weight, max_weight)
        self._statistics: OrderedDict[str, QueryStatistics] = OrderedDict()
        # When each name's answer expires; ordered by the time of the answer.
        self.expiry_by_name: OrderedDict[tuple[str, int], float] = OrderedDict()

    def record_query(self, resolver: str, name_hash: int, now_ms: float) -> None:
        """Records a query of a resolver for a name."""
        expires_ms = self.expiry_by_name.get((resolver, name_hash))
        if expires_ms is not None:
            self._count(resolver, 1.0, _uncached_ms(expires_ms, now_ms), now_ms)

    def record_answer(self, resolver: str, name_hash: int, ttl_ms: float, now_ms: float) -> None:
        """Records an answer, and stops watching names that were not queried again in time."""
        self.expiry_by_name.pop((resolver, name_hash), None)
        self.expiry_by_name[resolver, name_hash] = now_ms + ttl_ms
        while self.expiry_by_name:
            oldest, expires_ms = next(iter(self.expiry_by_name.items()))
            if len(self.expiry_by_name) <= MAX_WATCHED_NAMES and now_ms - expires_ms < WATCH_MS:
                break
            del self.expiry_by_name[oldest]
            self._count(oldest[0], 0.0, _uncached_ms(expires_ms, now_ms), now_ms)

    def weight(self, resolver: str, transfer_ms: float, now_ms: float) -> float:
        """Returns the weight of one answer for a class whose transfers take `transfer_ms`."""
        statistics = self._statistics.get(resolver)
        if statistics is None:
            return self.min_weight
        statistics.decay(now_ms)
        # The configured weight counts like earlier observations, so that a few queries change little.
        prior_ms = PRIOR_QUERIES * transfer_ms / self.min_weight
        rate_per_ms = (statistics.repeated_queries + PRIOR_QUERIES) / (statistics.uncached_ms + prior_ms)
        return max(self.min_weight, min(self.max_weight, rate_per_ms * transfer_ms))

    def _count(self, resolver: str, repeated_queries: float, uncached_ms: float, now_ms: float) -> None:
        statistics = self._statistics.get(resolver)
        if statistics is None:
            statistics = self._statistics[resolver] = QueryStatistics(updated_ms=now_ms)
            if len(self._statistics) > MAX_RESOLVERS:
                self._statistics.popitem(last=False)
        self._statistics.move_to_end(resolver)
        statistics.decay(now_ms)
        statistics.repeated_queries += repeated_queries
        statistics.uncached_ms += uncached_ms


def _uncached_ms(expires_ms: float, now_ms: float) -> float:
    return max(0.0, min(now_ms - expires_ms, WATCH_MS))
