"""What members say to one another, as msgpack arrays within the bounds of a datagram.

An unknown kind, a field too many of a known one and a text beyond its bound are all malformed: the sender is
of another version or no member at all.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated, Any

import msgspec
import xxhash
from msgspec import Meta

STREAM_MOST = 2 * 1024 * 1024  # bytes of a message over a stream: 2,048 members and 8,192 duties fit
DATAGRAM_MOST = 1_400  # bytes, the seal among them: under every usual path's limit
Name = Annotated[str, Meta(min_length=1, max_length=64)]
Number = Annotated[int, Meta(ge=0, le=2**63 - 1)]


class State(IntEnum):
    """Of a member, in the order in which one outweighs another at the same incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # it said so itself: not a failure


class Rumour(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """What is said of a member. `run` is another with each start, `incarnation` is the member's own count."""

    name: Name
    host: Annotated[str, Meta(max_length=64)]
    port: Annotated[int, Meta(ge=0, le=65_535)]
    run: Number
    incarnation: Number
    state: State
    weight: Annotated[float, Meta(ge=0.0, le=1e6)] = 1.0
    by: Annotated[str, Meta(max_length=64)] = ""  # who suspects it


class News(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """What the owner of a duty found, or that it claims the duty (`status` empty).

    `done_ms` is when, by the owner's Unix clock; `epoch` the claim it was made under.
    """

    duty: Annotated[str, Meta(min_length=1, max_length=96)]
    owner: Name
    epoch: Number
    done_ms: Annotated[float, Meta(ge=0.0, le=1e15)]
    status: Annotated[str, Meta(max_length=16)] = ""
    took_ms: Annotated[float, Meta(ge=0.0, le=1e9)] = 0.0
    load: Annotated[dict[Annotated[str, Meta(max_length=16)], float], Meta(max_length=8)] | None = None

    @property
    def rank(self) -> tuple[int, str, float]:
        """The later claim first, then the later finding under it."""
        return self.epoch, self.owner, self.done_ms


class Message(
    msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True, tag_field="kind", kw_only=True
):
    """`sender` and `run` tell who speaks, `health` how far it doubts itself; `gossip` rides along."""

    sender: Name
    run: Number
    number: Number = 0
    health: Annotated[int, Meta(ge=0, le=64)] = 0
    gossip: list[Rumour] = []
    news: list[News] = []


class Ping(Message, frozen=True, array_like=True, tag=1, kw_only=True):
    """Are you there? `target_run` keeps a newcomer at an old address from answering for who was there."""

    target: Name
    target_run: Number


class Ack(Message, frozen=True, array_like=True, tag=2, kw_only=True):
    """I am; or, from a go-between, it is."""


class Nack(Message, frozen=True, array_like=True, tag=3, kw_only=True):
    """A go-between's word that it heard the request and, in time, nothing from the target (Lifeguard)."""


class PingFor(Message, frozen=True, array_like=True, tag=4, kw_only=True):
    """Ask this member for me."""

    target: Name
    target_run: Number
    host: Annotated[str, Meta(max_length=64)]
    port: Annotated[int, Meta(ge=0, le=65_535)]


class Join(Message, frozen=True, array_like=True, tag=5, kw_only=True):
    """I am new here: tell me all you know. The answer is a `Roster`."""


class Roster(Message, frozen=True, array_like=True, tag=6, kw_only=True):
    """A part of all that the sender knows, in its gossip.

    `reply`: the same is wanted back. `whole`: false where more is known than this datagram holds; who gets it
    may ask for the rest by a full exchange.
    """

    reply: bool = False
    whole: bool = True


class Digest(Message, frozen=True, array_like=True, tag=7, kw_only=True):
    """Over a stream: what I know, as a hash. The answer is a `Whole`."""

    digest: Number


class Whole(Message, frozen=True, array_like=True, tag=8, kw_only=True):
    """Over a stream: all that I know, in gossip and news; or that it is the `same` as the digest says."""

    same: bool = False


class Knock(Message, frozen=True, array_like=True, tag=9, kw_only=True):
    """Over a stream, to one that is suspected, which `gossip` tells it. The answer is a `Here`."""


class Here(Message, frozen=True, array_like=True, tag=10, kw_only=True):
    """I am, and this refutes it."""


Said = Ping | Ack | Nack | PingFor | Join | Roster
Streamed = Digest | Whole | Knock | Here
_decoder = msgspec.msgpack.Decoder(Said)
_streamed = msgspec.msgpack.Decoder(Streamed)
_encoder = msgspec.msgpack.Encoder()


class Malformed(ValueError):
    """No message of ours."""


def encode(message: Said | Streamed) -> bytes:
    return _encoder.encode(message)


def decode(data: bytes) -> Said:
    """A datagram's message, or `Malformed`."""
    return _decode(_decoder, data)  # type: ignore[no-any-return]


def decode_streamed(data: bytes) -> Streamed:
    """A stream's message, or `Malformed`."""
    return _decode(_streamed, data)  # type: ignore[no-any-return]


def _decode(decoder: msgspec.msgpack.Decoder[Any], data: bytes) -> Any:
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:  # ValueError: a text that is no UTF-8
        raise Malformed(str(error)) from error


def digest_of_one(said: tuple[object, ...]) -> int:
    """63 bits of one thing that two members must agree on: `Number` goes no further."""
    return xxhash.xxh3_64_intdigest(repr(said).encode()) >> 1


def size_of(item: Rumour | News) -> int:
    """Bytes that it takes in a message."""
    return len(_encoder.encode(item))
