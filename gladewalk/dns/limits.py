"""Bounds on what askers may cost, by network: budgets of questions, response rate limiting. No I/O.

Response rate limiting (as BIND and NSD have it): like answers to one network are counted, since a forger
names its victim as the asker. Above the rate answers are dropped; each few of them is sent cut to its head
instead ("slip"), so that a real asker of that network comes back by TCP, where nobody can forge.
"""

from __future__ import annotations

import ipaddress
from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass
from enum import Enum
from functools import lru_cache

KEYS_MOST = 16_384  # networks, or network and answer, that are counted at a time; the longest unseen go first


@lru_cache(4_096)
def network_of(address: str, v4_bits: int = 24, v6_bits: int = 56) -> str:
    """The network that an address is counted by: one client can have many addresses of it."""
    at = ipaddress.ip_address(address)
    bits = v4_bits if at.version == 4 else v6_bits
    return str(ipaddress.ip_network((at, bits), strict=False))


@dataclass(slots=True)
class Bucket:
    left: float
    at_ms: float
    refused: int = 0  # since it last gave a token


class Buckets:
    """Token buckets by key, each filled at a rate up to a burst; those unseen for longest are forgotten."""

    def __init__(self, per_s: float, burst: float, most: int = KEYS_MOST) -> None:
        self.per_s, self.burst, self.most = per_s, max(1.0, burst), most
        self.buckets: OrderedDict[Hashable, Bucket] = OrderedDict()

    def take(self, key: Hashable, now_ms: float) -> bool:
        """One token; False if there is none."""
        bucket = self.buckets.get(key)
        if bucket is None:
            bucket = self.buckets[key] = Bucket(self.burst, now_ms)
            if len(self.buckets) > self.most:
                self.buckets.popitem(last=False)
        else:
            self.buckets.move_to_end(key)
        gone_s = max(0.0, now_ms - bucket.at_ms) / 1_000.0  # a clock that was set back earns nothing
        bucket.left, bucket.at_ms = min(self.burst, bucket.left + gone_s * self.per_s), now_ms
        if bucket.left < 1.0:
            bucket.refused += 1
            return False
        bucket.left, bucket.refused = bucket.left - 1.0, 0
        return True


class Fate(Enum):
    """Of an answer."""

    SEND = "send"
    SLIP = "slip"  # its head alone, cut
    DROP = "drop"


class ResponseLimit:
    """Like answers to one network: so many a second, with a burst of one second's worth."""

    def __init__(self, per_s: float, slip: int) -> None:
        self.buckets, self.slip = Buckets(per_s, per_s), slip

    def judge(self, network: str, what: Hashable, now_ms: float) -> Fate:
        key = (network, what)
        if self.buckets.take(key, now_ms):
            return Fate.SEND
        count = self.buckets.buckets[key].refused
        return Fate.SLIP if self.slip and count % self.slip == 0 else Fate.DROP


class TimeShare:
    """How much of the loop's time one kind of work may take: a bucket of ms, filled at a share of time.

    Guards against a flood that costs little each and much together: whoever else lives on the loop keeps the
    rest of it, whatever a question costs on this machine.
    """

    def __init__(self, share: float, burst_ms: float = 10.0) -> None:
        self.share, self.burst_ms = share, burst_ms
        self.left_ms, self.at_ms = burst_ms, 0.0

    def spend(self, took_ms: float, now_ms: float) -> float:
        """Note some work that has just ended; for how many ms there may be no more of it."""
        gone = max(0.0, now_ms - self.at_ms)
        self.left_ms = min(self.burst_ms, self.left_ms + gone * self.share) - took_ms
        self.at_ms = now_ms
        return max(0.0, -self.left_ms / self.share)

    def forgive(self) -> None:
        """Nobody else wanted that time."""
        self.left_ms = max(0.0, self.left_ms)
