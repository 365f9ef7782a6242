"""Datagrams of the lease protocol, encoded as tagged msgpack arrays.

Directors exchange election messages, purge requests and metrics; directors and fenced resources exchange
fenced operations and their responses. The tags and the order of fields are the wire format: neither may
change. Each message is one datagram, sealed by `members.seal`.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

MAX_BODY_BYTES = 1_024  # of a fenced operation: it fits into a datagram with its seal
MAX_TARGET_CHARACTERS = 200  # of what a purge request names
MAX_SYNC_REQUESTS = 8  # purge requests in one synchronisation response, at most
Name = Annotated[str, Meta(min_length=1, max_length=64)]
Number = Annotated[int, Meta(ge=0, le=2**63 - 1)]


class VoteRequest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks a voter to grant the lease of `task` under `term`; the holder renews with its own term."""

    task: str
    term: int
    candidate: str
    round_number: int  # answers carry it, so that those to older rounds are recognised


class PreVoteRequest(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Asks whether a vote request would be granted, without binding the voter (Ongaro, 2014, section 9.6)."""

    task: str
    candidate: str
    round_number: int


class VoteGranted(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A voter's promise of `task` to `candidate` under `term`."""

    task: str
    term: int
    candidate: str
    round_number: int
    voter: str


class _VoterAnswer(msgspec.Struct, frozen=True, array_like=True):
    """What a voter tells of its promise: hints only, since time passes on the way."""

    task: str
    round_number: int
    voter: str
    highest_term: int
    holder: str
    remaining_ms: float


class VoteDenied(_VoterAnswer, frozen=True, array_like=True, tag=3):
    """A voter's refusal, with the highest term it granted, its holder and the time left."""


class PreVoteResponse(_VoterAnswer, frozen=True, array_like=True, tag=14):
    """Answer to a pre-vote; with `remaining_ms` 0 a term above `highest_term` would be granted."""


class LeaseRelease(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The holder of `term` has stopped, in favour of `successor` if one is named; sent to every director."""

    task: str
    term: int
    holder: str
    successor: str = ""


class FencedOperation(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """An operation on a fenced resource; with `number` 0 it announces the token and does nothing else."""

    task: Name
    token: Number
    holder: Name
    performed_at_ms: float  # wall time at the holder
    number: Number = 0  # of the holder's operation: the response carries it
    operation_id: Annotated[str, Meta(max_length=64)] = ""  # idempotency key
    body: Annotated[bytes, Meta(max_length=MAX_BODY_BYTES)] = b""


class OperationResponse(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """A fenced resource's answer: accepted, or rejected since it has accepted `highest_token` before."""

    task: Name
    token: Number
    number: Number
    is_accepted: bool
    highest_token: Number


class PurgeRequest(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """An operator's purge, sent by the director that received it until every other has replicated it."""

    request_id: Name
    target: Annotated[str, Meta(min_length=1, max_length=MAX_TARGET_CHARACTERS)]
    received_by: Name
    received_at_ms: float  # wall time


class Replicated(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """The purge request is durable at `replica`."""

    request_id: Name
    replica: Name


class Completed(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Every hub cache has accepted the purge request under `token`: replicas may delete it."""

    request_id: Name
    token: Number


class SyncRequest(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """The lease holder asks a replica for its open purge requests with ids above `after_id`."""

    requester: Name
    round_number: Number
    after_id: Annotated[str, Meta(max_length=64)] = ""


class SyncResponse(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """One page of a replica's open purge requests in the order of their ids."""

    replica: Name
    round_number: Number
    requests: Annotated[list[PurgeRequest], Meta(max_length=MAX_SYNC_REQUESTS)]
    has_more: bool = False


class DirectorMetrics(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """One director's counts since its start, for the fleet report."""

    director: Name
    incarnation: Number
    recorded_at_ms: float  # wall time
    counts: Annotated[dict[Annotated[str, Meta(max_length=32)], int], Meta(max_length=16)]


ElectionMessage = VoteRequest | PreVoteRequest | VoteGranted | VoteDenied | PreVoteResponse | LeaseRelease
Message = (
    ElectionMessage
    | FencedOperation
    | OperationResponse
    | PurgeRequest
    | Replicated
    | Completed
    | SyncRequest
    | SyncResponse
    | DirectorMetrics
)
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encodes a message as the payload of one datagram."""
    return _encoder.encode(message)


def decode(payload: bytes) -> Message:
    """Decodes a payload; raises `msgspec.DecodeError` or `ValueError` for anything that is no message."""
    message: Message = _decoder.decode(payload)
    return message
