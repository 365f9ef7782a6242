"""Datagrams of the lease protocol, encoded as tagged msgpack arrays.

Directors exchange election messages, purge requests and metrics; directors and fenced resources exchange
fenced operations and their responses. The tags and the order of the fields are the wire format and must
not change. Each message is one datagram, signed by `members.authenticator`.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

MAX_BODY_BYTES = 1_024  # of a fenced operation, so that a signed one fits into a datagram
MAX_TARGET_CHARACTERS = 200  # of a purge request's target
MAX_SYNC_REQUESTS = 8  # purge requests in one synchronisation response, at most
Name = Annotated[str, Meta(min_length=1, max_length=64)]
Number = Annotated[int, Meta(ge=0, le=2**63 - 1)]


class VoteRequest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Requests a voter's grant of the lease of `task` under `term`; a holder sends it to renew its lease."""

    task: str
    term: int
    candidate: str
    round_number: int  # responses repeat it, so that those to older rounds are recognised


class PreVoteRequest(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Queries whether a vote request would be granted; binds no voter (Ongaro, 2014, section 9.6)."""

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


class _VoterResponse(msgspec.Struct, frozen=True, array_like=True):
    """A voter's promise when it responded: only a hint, since time passes until it is received."""

    task: str
    round_number: int
    voter: str
    highest_term: int
    holder: str
    remaining_ms: float


class VoteDenied(_VoterResponse, frozen=True, array_like=True, tag=3):
    """A voter's denial, with the highest term it granted, that term's holder and the remaining time."""


class PreVoteResponse(_VoterResponse, frozen=True, array_like=True, tag=14):
    """Response to a pre-vote; if `remaining_ms` is 0, a term above `highest_term` would be granted."""


class LeaseRelease(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The lease under `term` has ended, in favour of `successor` if one is named; sent to every director.

    A candidate sends it too, to the voters that may have granted a round which it abandoned.
    """

    task: str
    term: int
    holder: str
    successor: str = ""


class FencedOperation(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """An operation on a fenced resource; with `number` 0 it only announces the token."""

    task: Name
    token: Number
    holder: Name
    performed_at_ms: float  # wall time at the holder
    number: Number = 0  # of the holder's operation; the response repeats it
    operation_id: Annotated[str, Meta(max_length=64)] = ""  # idempotency key
    body: Annotated[bytes, Meta(max_length=MAX_BODY_BYTES)] = b""


class OperationResponse(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """A fenced resource's response: accepted, or rejected since it accepted `highest_token` before."""

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
    """The lease holder requests a replica's open purge requests with ids above `after_id`."""

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
    """Decodes a payload; raises `msgspec.DecodeError` or `ValueError` if it is not a message."""
    message: Message = _decoder.decode(payload)
    return message
