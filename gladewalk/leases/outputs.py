"""What the lease core asks its driver to do: sends, saves with what may follow them, events for the log."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from .messages import Message

GRANTS, ORDERS = "grant", "order"  # the spaces of the embedded store that leases use


class Granted(msgspec.Struct, frozen=True, array_like=True):
    """What an elector must not forget of a duty (its key): the highest term granted, and to whom."""

    term: int
    holder: str


_encoder = msgspec.msgpack.Encoder()
_granted = msgspec.msgpack.Decoder(Granted)


def pack(value: msgspec.Struct) -> bytes:
    return _encoder.encode(value)


def granted_of(row: bytes) -> Granted:
    """`msgspec.DecodeError` for what is none."""
    granted: Granted = _granted.decode(row)
    return granted


@dataclass(slots=True, frozen=True)
class Send:
    to: str  # a director's name, or a sink's ("@duty/n"); where it is dialled is the driver's business
    message: Message


@dataclass(slots=True, frozen=True)
class Event:
    """For the log: granted, refused, won, raised, expired, released, fenced, and what befalls orders."""

    kind: str
    duty: str
    term: int
    who: str


@dataclass(slots=True, frozen=True)
class Save:
    """Make a row durable (None: take it out); `then` is done once it lasts, and never if it does not."""

    space: str
    key: str
    value: bytes | None
    then: tuple[Out, ...] = field(default=())


Out = Send | Save | Event
