"""Row codecs: which state of a director is stored, in which form, and when it is restored. No I/O.

    space     key                 value                       expires
    purge     o:OBJECT, g:GROUP   time of it, Unix ms         once settled, and older locations have expired
    server    uid                 event number, endpoint      after a day; with `resume` once unlisted
    feed      last                the last event's number     never (only stored with `resume`)

A stored server is restored only if its event is later than those that the configuration includes; the
coordinator's feed continues from that event and overrides what was restored. With `resume` the feed is only
requested from the last event on. This setting is for coordinators whose event numbers continue while a
director restarts, and which need not keep older events.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
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
    """A server's entry in the endpoint list, from the event of number `event_index`."""

    event_index: int
    endpoint: dict[str, Any]


class FeedPosition(msgspec.Struct, frozen=True, array_like=True):
    """The number of the last applied event, and of the last one with the full endpoint list (0: none)."""

    event_index: int
    full_list_index: int = 0


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
    event_index: int, event: Mapping[str, Any], settle_ms: float, now_ms: float, resumes_feed: bool = False
) -> list[Row]:
    """Returns the rows of a valid event of the feed: its purge and its endpoints.

    `settle_ms` is how long a purge takes to settle. With `resumes_feed` the feed doesn't send a server again
    after a restart, so that a server is stored for as long as it is listed.
    """
    rows = []
    if "evict" in event:
        rows.append(_encode_purge(event["evict"], settle_ms, now_ms))
    if "endpoints" in event:
        for endpoint in event["endpoints"]["targets"]:
            is_kept = resumes_feed and endpoint.get("state") in LISTED_STATES
            expires_at_ms = NEVER_EXPIRES if is_kept else now_ms + SERVER_LIFETIME_MS
            value = _encoder.encode(ServerRow(event_index, dict(endpoint)))
            rows.append(Row(SERVER_SPACE, str(endpoint["uid"]), value, expires_at_ms))
    return rows


def _encode_purge(evict: Mapping[str, Any], settle_ms: float, now_ms: float) -> Row:
    purged_at_ms = min(now_ms, float(evict["unix_ms"]))
    if "ref" in evict:
        key = f"{OBJECT_PREFIX}{int(evict['ref'], 16):x}"
    else:
        key = f"{GROUP_PREFIX}{int(evict.get('shard', NO_GROUP))}"
    lifetime_ms = max(settle_ms + PURGE_MARGIN_MS, MAX_LOCATION_AGE_MS)
    return Row(PURGE_SPACE, key, _encoder.encode(purged_at_ms), purged_at_ms + lifetime_ms)


def has_full_list(event: Mapping[str, Any]) -> bool:
    """Returns whether an event has the full endpoint list."""
    return bool(event.get("endpoints", {}).get("all"))


def delete_unlisted(event: Mapping[str, Any], stored: Iterable[str]) -> list[Row]:
    """Returns deletions of the stored servers that are not in an event's full endpoint list."""
    listed = {str(endpoint["uid"]) for endpoint in event["endpoints"]["targets"]}
    return [Row(SERVER_SPACE, uid, None) for uid in stored if uid not in listed]


def next_position(event_index: int, event: Mapping[str, Any], previous: FeedPosition) -> FeedPosition:
    """Returns the position after an event."""
    return FeedPosition(event_index, event_index if has_full_list(event) else previous.full_list_index)


def encode_position(position: FeedPosition) -> Row:
    """Returns the position's row, which is written last, so that the event's other rows are durable first."""
    return Row(FEED_SPACE, FEED_POSITION_KEY, _encoder.encode(position))


def decode_position(rows: Mapping[str, bytes]) -> FeedPosition:
    """Returns the stored position; position 0 if there is none, or if another version wrote it."""
    try:
        return _position_decoder.decode(rows[FEED_POSITION_KEY])
    except (KeyError, msgspec.MsgspecError):
        return FeedPosition(0)


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


def decode_servers(
    rows: Mapping[str, bytes], known_index: int, full_list_index: int = 0
) -> list[dict[str, Any]]:
    """Returns the endpoints that are newer than event `known_index`, the configuration's last, by event.

    Endpoints of events before the last full list are no longer listed, and are left out. Rows that another
    version wrote, and that can't be decoded, are skipped.
    """
    newer: list[ServerRow] = []
    for value in rows.values():
        try:
            row = _server_decoder.decode(value)
        except msgspec.MsgspecError:
            continue
        if row.event_index > known_index and row.event_index >= full_list_index:
            newer.append(row)
    newer.sort(key=lambda row: row.event_index)
    return [row.endpoint for row in newer]
