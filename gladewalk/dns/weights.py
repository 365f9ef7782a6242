"""How many concurrent transfers one answer to a resolver may bring, estimated from its own queries. No I/O.

A resolver asks for a name again once its answer has expired and one of its clients wants the name. So of the
time in which a name was *not* cached, the part that passes until it is asked for again tells how often
clients want it: repeated queries over uncached time is the rate (for a Poisson stream the maximum-likelihood
estimate; names that are not asked for again count with all their time). By Little's law the rate times the
duration of a transfer is the number of concurrent transfers. A farm of resolvers behind one address asks
again while an answer is cached: the uncached time is then zero, and the weight rises, as it should.

A resolver that caches answers for minutes shows little by its queries: so no resolver weighs less than the
configured weight of an unknown one.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

MAX_WATCHED_NAMES = 65_536  # pairs of resolver and name; evicted by their last answer
MAX_RESOLVERS = 4_096
WATCH_MS = 60_000.0  # for how long a name that is not asked for again counts
HALF_LIFE_MS = 300_000.0  # after which an observation counts half
PRIOR_QUERIES = 4.0  # repeated queries that the configured weight counts as


@dataclass(slots=True)
class QueryStatistics:
    """What one resolver's queries showed, with exponential decay.

    Attributes:
        repeated_queries: Queries for a name that it had asked for before.
        uncached_ms: Time in which names were not cached.
        updated_ms: When the two were last decayed.
    """

    repeated_queries: float = 0.0
    uncached_ms: float = 0.0
    updated_ms: float = 0.0

    def decay(self, now_ms: float) -> None:
        """Reduces both figures by the time since the last call."""
        factor = 0.5 ** (max(0.0, now_ms - self.updated_ms) / HALF_LIFE_MS)
        self.repeated_queries *= factor
        self.uncached_ms *= factor
        self.updated_ms = now_ms


class ResolverWeights:
    """Estimates each resolver's weight: the concurrent transfers that one answer to it brings.

    Args:
        min_weight: Of a resolver that nothing is known of, and of any other at least.
        max_weight: Whatever is measured.
    """

    def __init__(self, min_weight: float, max_weight: float) -> None:
        self.min_weight, self.max_weight = min_weight, max(min_weight, max_weight)
        self._statistics: OrderedDict[str, QueryStatistics] = OrderedDict()
        # When each name's answer expires; ordered by the time of the answer.
        self.expiry_by_name: OrderedDict[tuple[str, int], float] = OrderedDict()

    def record_query(self, resolver: str, name_hash: int, now_ms: float) -> None:
        """Records that a resolver has asked for a name."""
        expires_ms = self.expiry_by_name.get((resolver, name_hash))
        if expires_ms is not None:
            self._count(resolver, 1.0, _uncached_ms(expires_ms, now_ms), now_ms)

    def record_answer(self, resolver: str, name_hash: int, ttl_ms: float, now_ms: float) -> None:
        """Records an answer, and ends the watch of names that were not asked for again."""
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
        # The configured weight counts as if it had been observed: so few queries decide little.
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
