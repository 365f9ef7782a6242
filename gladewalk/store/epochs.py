"""Epochs of the coordinator's event numbers: which stored numbers may be compared with new ones. No I/O.

The coordinator counts its events from 1 at every start of a director, so a number says nothing without the
count that it belongs to. As with the terms of Raft or the epochs of ZooKeeper, each count has an epoch here,
and numbers are compared within one epoch only. An epoch lasts over a restart in two cases:

- The director starts with the very configuration that the last run had: that file lists the servers as they
  were before the stored events. A new start is given a new file, with another seed.
- The operator has set `resume`, by which the coordinator's numbers outlast a director, and nothing in the
  new configuration contradicts it: its last number is not lower, and no event differs from the one that had
  the same number before.

In all other cases the list of the new configuration holds, and what an earlier run stored does not.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import msgspec

from .row_codecs import FEED_SPACE, Row, ServerRow

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


def begins_epoch(
    stored: Epoch | None,
    rows: Iterable[ServerRow],
    known: KnownEvents,
    events: Sequence[Event],
    *,
    resumes_feed: bool,
) -> bool:
    """Returns whether the numbers of a configuration, whose events are `events`, are those of a new epoch.

    `stored` and `rows` are the last run's epoch and its servers, None and empty without one.
    """
    if stored is not None and stored.known.identity == known.identity:
        return False
    if not resumes_feed:
        return True
    if stored is not None and not _can_continue(stored.known, known, events):
        return True
    return _contradicts(rows, events)


def _can_continue(earlier: KnownEvents, known: KnownEvents, events: Sequence[Event]) -> bool:
    """Returns whether the events of a configuration can be those of an earlier one and later ones."""
    if known.last_index < earlier.last_index or known.first_index < earlier.first_index:
        return False
    if known.first_index > earlier.first_index:  # the coordinator no longer has the earlier events
        return True
    common = [event for event in events if _index_of(event) <= earlier.last_index]
    return _digest(common) == earlier.events_digest


def _contradicts(rows: Iterable[ServerRow], events: Sequence[Event]) -> bool:
    """Returns whether an event has the number of a stored one that said something else of a server."""
    events_by_index = {_index_of(event): event for event in events}
    for row in rows:
        event = events_by_index.get(row.event_index)
        if event is not None and row.endpoint not in _targets_of(event):
            return True
    return False


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


def _targets_of(event: Event) -> Sequence[Any]:
    endpoints = event.get("endpoints")
    targets = endpoints.get("targets") if isinstance(endpoints, dict) else None
    return targets if isinstance(targets, list) else ()


def _digest(content: Any) -> bytes:
    return hashlib.sha256(json.dumps(content, sort_keys=True).encode()).digest()
