"""DNS answers that resolvers may still have cached, by the address that they name. No I/O.

The leases on an address are bounded, as they are load that can't be taken from a restarted cache: no answer
can be revoked, and resolvers keep answers past their time to live, so that each counts for the full duration
of a lease. The total weight is maintained incrementally and leases expire in groups of one second, so that an
answer costs the same at ten leases and at a million. A lease is identified by a 64-bit hash of resolver and
object (`benchmarks/leases.py` measures the memory).

A director that starts without a record of the leases of its last run assumes, for as long as a lease may
last, that the bound is used up. Times are Unix milliseconds.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass, field
from typing import NamedTuple

import xxhash

from .object_locations import ObjectId

SECOND_MS = 1_000.0
DEFAULT_MIN_TTL_MS = 1_000.0
DEFAULT_MAX_TTL_MS = 2_000.0


class DnsLease(NamedTuple):
    """Until when one answer counts, and how many concurrent transfers it may cause."""

    until_ms: float
    weight: float


def lease_hash(resolver: str, object_id: ObjectId) -> int:
    """The 64-bit identity of a resolver's lease on an object."""
    return xxhash.xxh3_64_intdigest(f"{resolver}|{object_id[0]:x}.{object_id[1]}".encode())


@dataclass(slots=True)
class AddressLeases:
    """The leases on one address. Consecutive ones with the same expiry and weight share one tuple."""

    leases: dict[int, DnsLease] = field(default_factory=dict)
    total_weight: float = 0.0


class DnsLeaseTable:
    """Leases by address, with their total weight."""

    def __init__(self) -> None:
        self.addresses: defaultdict[str, AddressLeases] = defaultdict(AddressLeases)
        self.min_ttl_ms, self.max_ttl_ms = DEFAULT_MIN_TTL_MS, DEFAULT_MAX_TTL_MS
        self._expiring: dict[int, list[tuple[str, int]]] = {}  # by second: the leases that may expire then
        self._next_expiry: float = math.inf  # in seconds
        self._unknown_until_ms = 0.0
        self._shared = DnsLease(0.0, 0.0)

    def __len__(self) -> int:
        return sum(len(entry.leases) for entry in self.addresses.values())

    def assume_full(self, until_ms: float) -> None:
        """Count every bound as used up until `until_ms`, as the leases of an earlier run are unknown."""
        self._unknown_until_ms = until_ms

    def total_weight(self, address: str, bound: float, now_ms: float) -> float:
        """The weight of an address's leases; at least the bound while earlier leases are unknown."""
        self._expire(now_ms)
        known = self.addresses[address].total_weight if address in self.addresses else 0.0
        return max(known, bound) if now_ms < self._unknown_until_ms else known

    def available_weight(
        self, address: str, resolver: str, object_id: ObjectId, bound: float, now_ms: float
    ) -> float:
        """The weight that one lease may have in addition to all other leases of its address."""
        own = self.find(address, resolver, object_id)
        available = bound - self.total_weight(address, bound, now_ms)
        return available + (own.weight if own is not None else 0.0)

    def grant(self, address: str, resolver: str, object_id: ObjectId, until_ms: float, weight: float) -> None:
        """Record a lease or its renewal; it counts until the end of the second in which it expires."""
        identity, entry = lease_hash(resolver, object_id), self.addresses[address]
        second = math.ceil(until_ms / SECOND_MS)
        before = entry.leases.get(identity)
        if (second * SECOND_MS, weight) != self._shared:
            self._shared = DnsLease(second * SECOND_MS, weight)
        entry.leases[identity] = self._shared
        entry.total_weight += weight - (before.weight if before is not None else 0.0)
        if before is None or before.until_ms != self._shared.until_ms:
            self._expiring.setdefault(second, []).append((address, identity))
            self._next_expiry = min(self._next_expiry, second)

    def find(self, address: str, resolver: str, object_id: ObjectId) -> DnsLease | None:
        """A resolver's lease on an object at an address."""
        entry = self.addresses.get(address)
        return entry.leases.get(lease_hash(resolver, object_id)) if entry is not None else None

    def ttl_ms(self, address: str, bound: float, is_warming_up: bool, now_ms: float) -> float:
        """The time to live of an answer: the closer its address is to its bound, the shorter.

        The state of a server that is warming up, or whose bound is used up, changes within seconds. An answer
        that names the director itself is always valid and may be cached for `max_ttl_ms`.
        """
        utilization = 1.0
        if not is_warming_up and bound > 0.0:
            utilization = min(1.0, self.total_weight(address, bound, now_ms) / bound)
        return self.max_ttl_ms - utilization * (self.max_ttl_ms - self.min_ttl_ms)

    def _expire(self, now_ms: float) -> None:
        """Drop expired leases; checks each second once. A renewed lease is also entered at a later second."""
        now_second = now_ms // SECOND_MS
        while self._next_expiry <= now_second:
            second = int(self._next_expiry)
            for address, identity in self._expiring.pop(second):
                entry = self.addresses[address]
                lease = entry.leases.get(identity)
                if lease is not None and lease.until_ms <= second * SECOND_MS:
                    del entry.leases[identity]
                    # Without leases the sum is set to exactly 0, as subtraction leaves a rounding error.
                    entry.total_weight = entry.total_weight - lease.weight if entry.leases else 0.0
            self._next_expiry = min(self._expiring, default=math.inf)
