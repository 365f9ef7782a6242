"""What directors and sinks say of leases, as msgpack arrays (one datagram each, sealed as members' are).

Between directors: asks and their answers, releases, an operator's orders and each director's figures. To a
sink and back: acts with their token, and the sink's word on each.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

BODY_MOST = 1_024  # bytes of an act's body: a datagram holds it with its seal
WHAT_MOST = 200  # bytes of what an order names
Name = Annotated[str, Meta(min_length=1, max_length=64)]
Number = Annotated[int, Meta(ge=0, le=2**63 - 1)]


class Ask(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A candidate asks an elector for `duty` under `term`; a holder renews so, with its own term."""

    duty: str
    term: int
    candidate: str
    number: int  # of the candidate's round: answers to older rounds are ignored


class Sound(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Would you grant me `duty`? Asked before an `Ask`, and promises nothing; the answer is a `Standing`."""

    duty: str
    candidate: str
    number: int


class Grant(msgspec.Struct, frozen=True, array_like=True, tag=2):
    duty: str
    term: int
    candidate: str
    number: int
    elector: str


class Refuse(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """No, with what the elector knows: its highest term, who has it, for how much longer (a hint only)."""

    duty: str
    number: int
    elector: str
    highest: int
    holder: str
    left_ms: float


class Standing(Refuse, frozen=True, array_like=True, tag=14):
    """An elector's answer to `Sound`; `left_ms` 0: it would grant the duty to who asked, under a term above
    `highest`."""


class Release(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The holder of `term` gives the duty up, to `to` if it names one; sent to every director."""

    duty: str
    term: int
    holder: str
    to: str = ""


class Act(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Something done under a duty, at its sink. `number` 0: nothing but the token, which raises the fence."""

    duty: Name
    token: Number
    actor: Name
    done_ms: float  # wall time at the actor
    number: Number = 0  # of the actor's act: the sink's answer carries it
    id: Annotated[str, Meta(max_length=64)] = ""  # of what is done: the same again is done once
    body: Annotated[bytes, Meta(max_length=BODY_MOST)] = b""


class Acked(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """The sink's word: taken, or refused because it has accepted `highest` before."""

    duty: Name
    token: Number
    number: Number
    accepted: bool
    highest: Number


class Order(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """An operator's purge, from the director that took it to every other, until each has said `Kept`."""

    id: Name
    what: Annotated[str, Meta(min_length=1, max_length=WHAT_MOST)]
    by: Name
    at_ms: float  # wall time at which it was given


class Kept(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """The order lasts at `keeper`, over its restart too."""

    id: Name
    keeper: Name


class Finished(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Every hub has taken this order under `token`: it need not be kept any more."""

    id: Name
    token: Number


class Wanted(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """A holder asks for the open orders whose ids come after `after`."""

    asker: Name
    number: Number
    after: Annotated[str, Meta(max_length=64)] = ""


class Open(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Some of the open orders, in the order of their ids; `more`: there are further ones."""

    keeper: Name
    number: Number
    orders: Annotated[list[Order], Meta(max_length=8)]
    more: bool = False


class Figures(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """One director's counts since its start, for the fleet's report."""

    name: Name
    run: Number
    at_ms: float
    counts: Annotated[dict[Annotated[str, Meta(max_length=32)], int], Meta(max_length=16)]


Vote = Ask | Sound | Grant | Refuse | Standing | Release
Message = Vote | Act | Acked | Order | Kept | Finished | Wanted | Open | Figures
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """`msgspec.DecodeError` (a ValueError) for what is no message."""
    message: Message = _decoder.decode(data)
    return message
