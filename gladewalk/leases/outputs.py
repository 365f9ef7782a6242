"""Outputs of the lease state machines, which their driver carries out: sends, saves and log events."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import msgspec

from .messages import Message

GRANT_SPACE, PURGE_SPACE = "grant", "order"  # key spaces of the embedded store


class GrantRecord(msgspec.Struct, frozen=True, array_like=True):
    """Stored row of a voter, keyed by task: the highest term that it granted, and to whom."""

    term: int
    holder: str


_encoder = msgspec.msgpack.Encoder()
_grant_decoder = msgspec.msgpack.Decoder(GrantRecord)


def encode_row(record: msgspec.Struct) -> bytes:
    """Encodes a record as a stored row."""
    return _encoder.encode(record)


def decode_grant(row: bytes) -> GrantRecord:
    """Decodes a stored grant; raises `msgspec.MsgspecError` if the row has another form."""
    record: GrantRecord = _grant_decoder.decode(row)
    return record


class EventKind(Enum):
    """Events of leases and purge requests; each value is the name of its log event."""

    GRANTED = "lease_granted"
    REFUSED = "lease_refused"
    WON = "lease_won"
    RAISED = "lease_raised"
    EXPIRED = "lease_expired"
    RELEASED = "lease_released"
    FENCED = "lease_fenced"
    PURGE_RECEIVED = "lease_ordered"
    PURGE_REFUSED = "lease_order_refused"
    PURGE_COMPLETED = "lease_forwarded"

    @property
    def counter(self) -> str:
        """Name of the counter that counts this kind."""
        return "leases." + self.value.removeprefix("lease_")


@dataclass(slots=True, frozen=True)
class Send:
    """A message to send; the driver knows the recipient's address."""

    recipient: str  # a director's name, or a fenced resource's ("@task/index")
    message: Message


@dataclass(slots=True, frozen=True)
class LeaseEvent:
    """An event to log and count."""

    kind: EventKind
    subject: str  # name of a task, or id of a purge request
    term: int  # 0 for purge requests that are not completed
    director: str


@dataclass(slots=True, frozen=True)
class Save:
    """A row to write, or to delete if `value` is None; `on_durable` is carried out once that is durable."""

    space: str
    key: str
    value: bytes | None
    on_durable: tuple[Output, ...] = ()


Output = Send | Save | LeaseEvent
