"""Row codecs: which state of a director is stored, in which form, and when it is restored. No I/O.

    space     key                 value                       expires
    purge     o:OBJECT, g:GROUP   time of it, Unix ms         once settled, and older locations have expired
    server    uid                 event number, endpoint      after a day; see `encode_event`
    feed      last                the last event's number     never (only stored with `resume`)
    feed      epoch               which numbers belong together (`epochs.py`)   never

A stored server is restored only if its event has a number of the epoch in force and is later than those that
the configuration includes; the coordinator's feed continues from that event and overrides what was restored.
With `resume` the feed is only requested from the last event on. This setting is for coordinators whose event
numbers continue while a director restarts, and which need not keep older events.

A row of epoch 0 has the form that versions without epochs wrote, and that they can read.
"""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping
from typing import Any

import msgspec

from .. import interface as api
from ..config.platform import ENDPOINT_STATES
from .key_index import NEVER_EXPIRES

PURGE_SPACE, SERVER_SPACE, FEED_SPACE = "purge", "server", "feed"
FEED_POSITION_KEY = "last"
OBJECT_PREFIX, GROUP_PREFIX = "o:", "g:"
NO_GROUP = -1  # the group of a purge of all objects
PURGE_MARGIN_MS = 1_000.0  # a purge is stored for this much longer than it takes to settle
# How long a holder's location is kept. A purge is stored at least as long: no older location outlasts it.
MAX_LOCATION_AGE_MS = 30_000.0
SERVER_LIFETIME_MS = 86_400_000.0
LISTED_STATES = frozenset(
    name for name, state in ENDPOINT_STATES.items() if state is not api.ServerState.GONE
)


class ServerRow(msgspec.Struct, frozen=True, array_like=True):
    """A server's entry in the endpoint list, from the event of number `event_index` in its epoch."""

    event_index: int
    endpoint: dict[str, Any]
    epoch: int = 0


class FeedPosition(msgspec.Struct, frozen=True, array_like=True):
    """The number of the last applied event, and of the last one with the full endpoint list (0: none)."""

    event_index: int
    full_list_index: int = 0
    epoch: int = 0


_encoder = msgspec.msgpack.Encoder()
_server_decoder = msgspec.msgpack.Decoder(ServerRow)
_time_decoder = msgspec.msgpack.Decoder(float)
_position_decoder = msgspec.msgpack.Decoder(FeedPosition)


class Row(msgspec.Struct, frozen=True):
    """One change of the store; a deletion if `value` is None."""

    space: str
    key: str
    value: bytes | None
    expires_at_ms: float = NEVER_EXPIRES


def encode_event(
    event_index: int,
    event: Mapping[str, Any],
    settle_ms: float,
    now_ms: float,
    resumes_feed: bool = False,
    epoch: int = 0,
    configured: Container[str] = (),
) -> list[Row]:
    """Returns the rows of a valid event of the feed: its purge and its endpoints.

    `settle_ms` is how long a purge takes to settle. With `resumes_feed` the feed doesn't send a server again
    after a restart, so that a server is stored for as long as it is listed, and for good if it is gone while
    the configuration lists it (`configured`), which would bring it back.
    """
    rows = []
    if "evict" in event:
        rows.append(encode_purge(event["evict"], settle_ms, now_ms))
    if "endpoints" in event:
        for endpoint in event["endpoints"]["targets"]:
            uid = str(endpoint["uid"])
            is_kept = resumes_feed and (endpoint.get("state") in LISTED_STATES or uid in configured)
            expires_at_ms = NEVER_EXPIRES if is_kept else now_ms + SERVER_LIFETIME_MS
            value = _encode_with_epoch((event_index, dict(endpoint)), epoch)
            rows.append(Row(SERVER_SPACE, uid, value, expires_at_ms))
    return rows


def _encode_with_epoch(fields: tuple[Any, ...], epoch: int) -> bytes:
    return _encoder.encode((*fields, epoch) if epoch else fields)


def encode_purge(evict: Mapping[str, Any], settle_ms: float, now_ms: float) -> Row:
    """Returns the row of a valid purge, which expires once older locations have and the purge has settled."""
    purged_at_ms = min(now_ms, float(evict["unix_ms"]))
    if "ref" in evict:
        key = f"{OBJECT_PREFIX}{int(evict['ref'], 16):x}"
    else:
        key = f"{GROUP_PREFIX}{int(evict.get('shard', NO_GROUP))}"
    lifetime_ms = max(settle_ms + PURGE_MARGIN_MS, MAX_LOCATION_AGE_MS)
    return Row(PURGE_SPACE, key, _encoder.encode(purged_at_ms), purged_at_ms + lifetime_ms)


def merge_purge(row: Row, stored: bytes | None) -> Row:
    """Returns the row of the later one of two purges, as one that is told later may be older.

    `row` is the one to be stored, `stored` the value that its key has.
    """
    if row.value is None or stored is None:
        return row
    try:
        lead_ms = _time_decoder.decode(stored) - _time_decoder.decode(row.value)
    except msgspec.MsgspecError:  # written by another version
        return row
    return Row(row.space, row.key, stored, row.expires_at_ms + lead_ms) if lead_ms > 0.0 else row


def uids_in(events: Iterable[Mapping[str, Any]]) -> set[str]:
    """Returns the uids of all servers that events of a configuration name; unusable parts are skipped."""
    changes = [event["endpoints"] for event in events if isinstance(event.get("endpoints"), dict)]
    targets = [change["targets"] for change in changes if isinstance(change.get("targets"), list)]
    entries = [entry for listed in targets for entry in listed if isinstance(entry, dict)]
    return {str(entry["uid"]) for entry in entries if "uid" in entry}


def has_full_list(event: Mapping[str, Any]) -> bool:
    """Returns whether an event has the full endpoint list."""
    return bool(event.get("endpoints", {}).get("all"))


def delete_unlisted(event: Mapping[str, Any], stored: Iterable[str]) -> list[Row]:
    """Returns deletions of the stored servers that are not in an event's full endpoint list."""
    listed = {str(endpoint["uid"]) for endpoint in event["endpoints"]["targets"]}
    return [Row(SERVER_SPACE, uid, None) for uid in stored if uid not in listed]


def next_position(event_index: int, event: Mapping[str, Any], previous: FeedPosition) -> FeedPosition:
    """Returns the position after an event."""
    full_list_index = event_index if has_full_list(event) else previous.full_list_index
    return FeedPosition(event_index, full_list_index, previous.epoch)


def encode_position(position: FeedPosition) -> Row:
    """Returns the position's row, which is written last, so that the event's other rows are durable first."""
    value = _encode_with_epoch((position.event_index, position.full_list_index), position.epoch)
    return Row(FEED_SPACE, FEED_POSITION_KEY, value)


def decode_position(rows: Mapping[str, bytes], epoch: int = 0) -> FeedPosition:
    """Returns the stored position in an epoch; 0 if there is none, or if another version wrote it."""
    try:
        position = _position_decoder.decode(rows[FEED_POSITION_KEY])
    except (KeyError, msgspec.MsgspecError):
        return FeedPosition(0, epoch=epoch)
    return position if position.epoch == epoch else FeedPosition(0, epoch=epoch)


def decode_purges(rows: Mapping[str, bytes], now_ms: float) -> list[api.Purge]:
    """Returns the stored purges with their ages; the age is 0 if the clock has been set back since.

    Rows that another version wrote, and that can't be decoded, are skipped.
    """
    purges = []
    for key, value in rows.items():
        try:
            purged_at_ms = _time_decoder.decode(value)
            target, group = _decode_purge_key(key)
        except (msgspec.MsgspecError, ValueError):
            continue
        purges.append(api.Purge(target, group, max(0.0, now_ms - purged_at_ms)))
    return purges


def _decode_purge_key(key: str) -> tuple[int | None, int]:
    """Returns the object and the group of a purge's key. Raises `ValueError`."""
    prefix, number = key[:2], key[2:]
    target = int(number, 16) if prefix == OBJECT_PREFIX else None
    group = int(number) if prefix == GROUP_PREFIX else NO_GROUP
    return target, group


def decode_servers(rows: Mapping[str, bytes]) -> dict[str, ServerRow]:
    """Returns the stored servers by uid.

    Rows that another version wrote, and that can't be decoded, are skipped.
    """
    servers = {}
    for uid, value in rows.items():
        try:
            servers[uid] = _server_decoder.decode(value)
        except msgspec.MsgspecError:
            continue
    return servers


def newer_servers(
    servers: Iterable[ServerRow], epoch: int, known_index: int, full_list_index: int = 0
) -> list[ServerRow]:
    """Returns the servers of an epoch's events after `known_index`, the configuration's last, by event.

    Servers of events before the last full list are no longer listed, and are left out.
    """
    newer = [
        row
        for row in servers
        if row.epoch == epoch and row.event_index > known_index and row.event_index >= full_list_index
    ]
    return sorted(newer, key=lambda row: row.event_index)
