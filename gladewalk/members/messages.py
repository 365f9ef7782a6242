"""Messages between members, encoded as msgpack arrays, with the bounds that every field is checked against.

Datagrams carry the SWIM protocol (Das et al., 2002) with Lifeguard's extensions (Dadgar et al., 2017); TCP
streams carry state synchronization and confirmation probes. The order of the fields and the integer tags are
part of the wire format. A message with an unknown tag, an extra field or a value out of bounds is malformed.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated, TypeVar

import msgspec
import xxhash
from msgspec import Meta

from .errors import MalformedMessageError

MAX_STREAM_MESSAGE_BYTES = 2 * 1024 * 1024  # enough for 2,048 members and 8,192 user events
MAX_DATAGRAM_BYTES = 1_400  # including authentication; below the MTU of all usual paths
MemberName = Annotated[str, Meta(min_length=1, max_length=64)]
Host = Annotated[str, Meta(max_length=64)]
Port = Annotated[int, Meta(ge=0, le=65_535)]
WireInteger = Annotated[int, Meta(ge=0, le=2**63 - 1)]


class MemberState(IntEnum):
    """State of a member; at the same incarnation, the higher value supersedes the lower one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # it announced its departure, which is not a failure


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """State of one member, as spread by gossip.

    `run_id` identifies a run of the member's process and rises from start to start; the member raises
    `incarnation` to refute a suspicion. `weight` is its relative share of the periodic tasks; `suspected_by`
    is the name of the member that raised a suspicion.
    """

    name: MemberName
    host: Host
    port: Port
    run_id: WireInteger
    incarnation: WireInteger
    state: MemberState
    weight: Annotated[float, Meta(ge=0.0, le=1e6)] = 1.0
    suspected_by: Annotated[str, Meta(max_length=64)] = ""


class UserEvent(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Application payload spread by gossip: a periodic task's result, or a claim to own it (empty `status`).

    `epoch` is the epoch of the ownership claim under which the owner performed the task; `executed_at_ms` is
    the Unix time on the owner's clock at which it did.
    """

    task: Annotated[str, Meta(min_length=1, max_length=96)]
    owner: MemberName
    epoch: WireInteger
    executed_at_ms: Annotated[float, Meta(ge=0.0, le=1e15)]
    status: Annotated[str, Meta(max_length=16)] = ""
    duration_ms: Annotated[float, Meta(ge=0.0, le=1e9)] = 0.0
    load: Annotated[dict[Annotated[str, Meta(max_length=16)], float], Meta(max_length=8)] | None = None

    @property
    def precedence(self) -> tuple[int, str, float]:
        """Sort key among the events of one task: by claim, then by time among the results under one claim."""
        return self.epoch, self.owner, self.executed_at_ms


class Message(
    msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True, tag_field="kind", kw_only=True
):
    """Fields common to all messages.

    `sender` and `run_id` identify the sending process; `health_score` is its local health (0: healthy, see
    `local_health`). `updates` and `events` are the gossip that the message carries. `sequence` matches a
    response with its ping; 0 means that no response is expected.
    """

    sender: MemberName
    run_id: WireInteger
    sequence: WireInteger = 0
    health_score: Annotated[int, Meta(ge=0, le=64)] = 0
    updates: list[MemberUpdate] = []
    events: list[UserEvent] = []


class Ping(Message, frozen=True, array_like=True, tag=1, kw_only=True):
    """Direct ping; only the process with the target's name and run id responds to it."""

    target: MemberName
    target_run_id: WireInteger


class Ack(Message, frozen=True, array_like=True, tag=2, kw_only=True):
    """Response to a ping, or to a ping request after its target has responded."""


class Nack(Message, frozen=True, array_like=True, tag=3, kw_only=True):
    """Response to a ping request whose target has not responded in time (Lifeguard's LHA-Probe)."""


class PingRequest(Message, frozen=True, array_like=True, tag=4, kw_only=True):
    """Requests the receiver to ping a target on the sender's behalf: SWIM's ping-req (section 3.1)."""

    target: MemberName
    target_run_id: WireInteger
    host: Host
    port: Port


class Join(Message, frozen=True, array_like=True, tag=5, kw_only=True):
    """Requests the receiver's member list, which is returned as a `PartialState`."""


class PartialState(Message, frozen=True, array_like=True, tag=6, kw_only=True):
    """As much of the sender's member list as fits into a datagram, in `updates`.

    `wants_reply` requests the receiver's `PartialState` in return. `is_complete` is false if members were
    left out; the receiver may then request the rest by a state synchronization over a stream.
    """

    wants_reply: bool = False
    is_complete: bool = True


class Digest(Message, frozen=True, array_like=True, tag=7, kw_only=True):
    """Starts a state synchronization with a hash of the sender's state. The response is a `FullState`."""

    digest: WireInteger


class FullState(Message, frozen=True, array_like=True, tag=8, kw_only=True):
    """The sender's whole state in `updates` and `events`.

    If both digests are the same, `is_identical` is true and both lists are empty.
    """

    is_identical: bool = False


class ConfirmationProbe(Message, frozen=True, array_like=True, tag=9, kw_only=True):
    """Sent over a stream to a suspected member, with the suspicion in `updates`."""


class ConfirmationAck(Message, frozen=True, array_like=True, tag=10, kw_only=True):
    """Response to a `ConfirmationProbe`; its `updates` refute the suspicion."""


DatagramMessage = Ping | Ack | Nack | PingRequest | Join | PartialState
StreamMessage = Digest | FullState | ConfirmationProbe | ConfirmationAck
AnyMessage = TypeVar("AnyMessage")
_datagram_decoder: msgspec.msgpack.Decoder[DatagramMessage] = msgspec.msgpack.Decoder(DatagramMessage)
_stream_decoder: msgspec.msgpack.Decoder[StreamMessage] = msgspec.msgpack.Decoder(StreamMessage)
_encoder = msgspec.msgpack.Encoder()


def encode(message: DatagramMessage | StreamMessage) -> bytes:
    """Encodes a message as a msgpack array."""
    return _encoder.encode(message)


def decode(data: bytes) -> DatagramMessage:
    """Decodes a datagram's message; raises `MalformedMessageError` if it is malformed."""
    return _decode(_datagram_decoder, data)


def decode_streamed(data: bytes) -> StreamMessage:
    """Decodes a stream's message; raises `MalformedMessageError` if it is malformed."""
    return _decode(_stream_decoder, data)


def _decode(decoder: msgspec.msgpack.Decoder[AnyMessage], data: bytes) -> AnyMessage:
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:  # ValueError: invalid UTF-8
        raise MalformedMessageError(str(error)) from error


def stable_hash(values: tuple[object, ...]) -> int:
    """63-bit hash of values with a stable `repr`; all members compute the same hash."""
    return xxhash.xxh3_64_intdigest(repr(values).encode()) >> 1


def encoded_size_bytes(item: MemberUpdate | UserEvent) -> int:
    """Encoded size of the item in a message."""
    return len(_encoder.encode(item))
