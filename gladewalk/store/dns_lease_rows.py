"""Rows of DNS leases: which resolver may hold which answer until when, over a restart. No I/O.

Leases bound how many resolvers may send to a server that is warming up, whichever run gave the answer. An
answer leaves once its lease is durable: else a director that restarts would name the server again to as many
resolvers as before.
"""

from __future__ import annotations

import msgspec

from .. import interface as api
from ..policy import Dispatcher
from ..policy.dns_placement import DNS_LEASE_MS

LEASE_SPACE = "lease"
MAX_WEIGHT = 1e9  # transfers at a time; a stored weight from here on is none


class DnsLease(msgspec.Struct, frozen=True, array_like=True):
    """`holder` may use the answer that names `place` for part `part` of object `key` until `expires_at_ms`.

    `weight` is how many transfers at a time the answer may bring to the place.
    """

    place: str
    holder: str
    key: int
    part: int
    expires_at_ms: float
    weight: float

    @property
    def row_key(self) -> str:
        """The row's key, one for each place, holder, object and part."""
        return f"{self.place}|{self.holder}|{self.key:x}.{self.part}"


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(DnsLease)


def find_lease(core: Dispatcher, question: api.ResolveRequest, server: str) -> DnsLease | None:
    """The lease that the policy module has counted for an answer; None if there is none."""
    known = core.state.registry.servers.get(server)
    if known is None or core.state.dns_leases is None:
        return None
    place = known.address
    held = core.state.dns_leases.find(place, question.resolver, (question.key, question.part))
    if held is None:
        return None
    return DnsLease(place, question.resolver, question.key, question.part, *held)


def encode_lease(lease: DnsLease) -> bytes:
    """Encodes a lease as a msgpack array."""
    return _encoder.encode(lease)


def restore_leases(core: Dispatcher, rows: dict[str, bytes], now_ms: float) -> int:
    """Counts the stored leases that are still in force into the policy module; returns how many.

    An expiry too far ahead is cut to the longest lease. Rows of another version are skipped.
    """
    count = 0
    for value in rows.values():
        try:
            lease = _decoder.decode(value)
        except msgspec.MsgspecError:
            continue
        expires_at_ms = min(lease.expires_at_ms, now_ms + DNS_LEASE_MS)
        if expires_at_ms <= now_ms or not 0.0 < lease.weight < MAX_WEIGHT:
            continue
        object_id = lease.key, lease.part
        table = core.state.dns_lease_table()
        table.grant(lease.place, lease.holder, object_id, expires_at_ms, lease.weight)
        count += 1
    return count
