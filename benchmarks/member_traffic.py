"""Traffic of members, for the benchmarks of membership."""

from __future__ import annotations

from dataclasses import dataclass

from gladewalk.rehearsal.member_network import MemberNetwork


@dataclass(slots=True, frozen=True)
class Traffic:
    """Traffic of one member: bytes and datagrams a second."""

    bytes_per_second: float
    datagrams_per_second: float


@dataclass(slots=True, frozen=True)
class TrafficCount:
    """Bytes and datagrams that a whole fleet had sent by a time in seconds."""

    at_seconds: float
    sent_bytes: int
    datagrams: int

    def rate_until(self, later: TrafficCount, members: int) -> Traffic:
        """Returns the traffic of one member between two counts."""
        member_seconds = (later.at_seconds - self.at_seconds) * members
        return Traffic(
            (later.sent_bytes - self.sent_bytes) / member_seconds,
            (later.datagrams - self.datagrams) / member_seconds,
        )


def count_simulated(net: MemberNetwork) -> TrafficCount:
    """Counts the bytes and datagrams that members of a simulated network have sent so far."""
    return TrafficCount(net.now_ms / 1_000.0, sum(net.sent_bytes.values()), sum(net.sent_datagrams.values()))
