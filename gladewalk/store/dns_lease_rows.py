"""Answers that resolvers hold, over a restart: they bound what a cold box may be sent, whoever gave them out.

No I/O. An answer is given once its lease is durable: else a director that restarts would name the box again
to as many resolvers as before.
"""

from __future__ import annotations

import msgspec

from .. import interface as api
from ..policy import Dispatcher
from ..policy.known import place_of
from ..policy.naming import LEASE_MS

SPACE = "lease"


class Lease(msgspec.Struct, frozen=True, array_like=True):
    place: str
    holder: str
    key: int
    part: int
    until_ms: float
    weight: float


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Lease)


def lease_of(core: Dispatcher, question: api.Locate, server: str) -> Lease | None:
    """The lease that the core has counted for an answer; None if there is none."""
    known = core.servers.get(server)
    if known is None or core.ledger is None:
        return None
    place = place_of(known)
    held = core.ledger.find(place, question.holder, (question.key, question.part))
    if held is None:
        return None
    return Lease(place, question.holder, question.key, question.part, *held)


def key_of(lease: Lease) -> str:
    return f"{lease.place}|{lease.holder}|{lease.key:x}.{lease.part}"


def pack(lease: Lease) -> bytes:
    return _encoder.encode(lease)


def restore(core: Dispatcher, rows: dict[str, bytes], now_ms: float) -> int:
    """Count again what may still be held: how many. A time too far ahead is cut to what a lease may be."""
    count = 0
    for value in rows.values():
        try:
            lease = _decoder.decode(value)
        except msgspec.MsgspecError:
            continue
        until = min(lease.until_ms, now_ms + LEASE_MS)
        if until <= now_ms or not 0.0 < lease.weight < 1e9:
            continue
        core.names().hold(lease.place, lease.holder, (lease.key, lease.part), until, lease.weight)
        count += 1
    return count
