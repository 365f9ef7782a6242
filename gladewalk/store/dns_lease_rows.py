"""Stored rows of DNS leases: which resolver may cache which answer until when. No I/O.

Leases limit how many resolvers may send requests to a server that is warming up, and the limit includes the
answers of earlier runs of the director. An answer is sent only after its lease is durable: otherwise a
director could, after a restart, name the server to as many resolvers again.
"""

from __future__ import annotations

import msgspec

from .. import interface as api
from ..policy import Dispatcher
from ..policy.dns_placement import DNS_LEASE_MS

LEASE_SPACE = "lease"
MAX_WEIGHT = 1e9  # concurrent transfers; a stored lease of this weight or more is invalid


class DnsLease(msgspec.Struct, frozen=True, array_like=True):
    """`holder` may use the answer that names `place` for part `part` of object `key` until `expires_at_ms`.

    `weight` is how many concurrent transfers the answer may cause at the place.
    """

    place: str
    holder: str
    key: int
    part: int
    expires_at_ms: float
    weight: float

    @property
    def row_key(self) -> str:
        """The row's key, which is unique for each place, holder, object and part."""
        return f"{self.place}|{self.holder}|{self.key:x}.{self.part}"


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(DnsLease)


def find_lease(core: Dispatcher, question: api.ResolveRequest, server: str) -> DnsLease | None:
    """Returns the lease that the policy module has counted for an answer; None if there is none."""
    server_record = core.state.registry.servers.get(server)
    if server_record is None or core.state.dns_leases is None:
        return None
    place = server_record.address
    expiry_and_weight = core.state.dns_leases.find(place, question.resolver, (question.key, question.part))
    if expiry_and_weight is None:
        return None
    return DnsLease(place, question.resolver, question.key, question.part, *expiry_and_weight)


def encode_lease(lease: DnsLease) -> bytes:
    """Encodes a lease as a msgpack array."""
    return _encoder.encode(lease)


def restore_leases(core: Dispatcher, rows: dict[str, bytes], now_ms: float) -> int:
    """Adds the stored leases that have not expired to the policy module; returns how many.

    An expiry further ahead than the longest lease is reduced to that. Rows that another version wrote, and
    that can't be decoded, are skipped.
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
