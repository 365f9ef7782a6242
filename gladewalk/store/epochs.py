"""Epochs of the coordinator's event numbers: which stored numbers may be compared with new ones. No I/O.

The coordinator counts its events from 1 at every start of a director, so a number says nothing without the
count that it belongs to. As with the terms of Raft or the epochs of ZooKeeper, each count has an epoch here,
and numbers are compared within one epoch only. An epoch lasts over a restart in two cases:

- The director starts with the very configuration that the last run had: that file lists the servers as they
  were before the stored events. A new start is given a new file, with another seed.
- The operator has set `resume`, by which the coordinator's numbers outlast a director.

In all other cases the list of the new configuration holds, and what an earlier run stored does not.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Mapping, Sequence
from typing import Any

import msgspec

from .row_codecs import FEED_SPACE, Row

EPOCH_KEY = "epoch"
UNKNOWN_EPOCH = 0  # of rows that a version without epochs wrote
NO_EVENT = 0  # the number of the first event if there is none

Event = Mapping[str, Any]


class KnownEvents(msgspec.Struct, frozen=True, array_like=True):
    """What a configuration says of the coordinator's events, as far as a later start has to know it.

    `identity` is a digest of the configuration's seed and events, `events_digest` one of the events alone,
    which are those from number `first_index` on; `last_index` is the last number that the file includes.
    """

    identity: bytes
    first_index: int
    last_index: int
    events_digest: bytes


class Epoch(msgspec.Struct, frozen=True, array_like=True):
    """The stored epoch, with the events of the configuration that was in force in it last."""

    number: int
    known: KnownEvents


def describe_events(seed: int, last_index: int, events: Sequence[Event]) -> KnownEvents:
    """Describes the events of a configuration."""
    first_index = _index_of(events[0]) if events else NO_EVENT
    identity = _digest([str(seed), last_index, events])
    return KnownEvents(identity, first_index, last_index, _digest(events))


def begins_epoch(stored: Epoch | None, known: KnownEvents, *, resumes_feed: bool) -> bool:
    """Returns whether the numbers of a configuration are those of a new epoch; `stored` is the last one."""
    if stored is not None and stored.known.identity == known.identity:
        return False
    return not resumes_feed


def encode_epoch(epoch: Epoch) -> Row:
    """Returns the row of an epoch."""
    return Row(FEED_SPACE, EPOCH_KEY, msgspec.msgpack.encode(epoch))


def decode_epoch(rows: Mapping[str, bytes]) -> Epoch | None:
    """Returns the stored epoch; None if there is none, or if another version wrote it."""
    try:
        return msgspec.msgpack.decode(rows[EPOCH_KEY], type=Epoch)
    except (KeyError, msgspec.MsgspecError):
        return None


def _index_of(event: Event) -> int:
    index = event.get("index")
    return index if type(index) is int else NO_EVENT


def _digest(content: Any) -> bytes:
    return hashlib.sha256(json.dumps(content, sort_keys=True).encode()).digest()
