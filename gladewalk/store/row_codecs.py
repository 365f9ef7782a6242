"""Row codecs: what of a director's state is stored, how, and how far it counts after a restart. No I/O.

    space     key                 value                       expires
    purge     o:OBJECT, g:GROUP   when, Unix ms               once settled, and older locations have faded
    server    uid                 event number, endpoint      after a day; with `resume` once unlisted
    feed      last                the last event's number     never (with `resume` alone)

A stored server counts only where its event is later than those that the configuration already has: the
coordinator's feed continues from there and has the last word. With `resume` the feed is requested only from
the last event on: for coordinators whose event numbers outlast a director, and whose log need not.
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
NO_GROUP = -1  # of a purge of everything
PURGE_MARGIN_MS = 1_000.0  # purges are remembered so much longer than they take to settle
MAX_LOCATION_AGE_MS = 30_000.0  # of a remembered holder: one seen before a purge must not outlast it
SERVER_LIFETIME_MS = 86_400_000.0
LISTED_STATES = frozenset(
    name for name, state in ENDPOINT_STATES.items() if state is not api.ServerState.GONE
)


class ServerRow(msgspec.Struct, frozen=True, array_like=True):
    """A server's entry in the endpoint list, as the event of this number had it."""

    event_index: int
    endpoint: dict[str, Any]


class FeedPosition(msgspec.Struct, frozen=True, array_like=True):
    """The last event that was followed, and the last one with the full endpoint list (0: none)."""

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
    event_index: int, event: Mapping[str, Any], settle_ms: float, now_ms: float, is_resumed: bool = False
) -> list[Row]:
    """The rows of a valid event of the feed: its purge and its endpoints.

    `settle_ms` is how long a purge takes to settle. With `is_resumed` the feed won't repeat a server, which
    is stored for as long as it is listed.
    """
    rows = []
    if "evict" in event:
        rows.append(_encode_purge(event["evict"], settle_ms, now_ms))
    if "endpoints" in event:
        for endpoint in event["endpoints"]["targets"]:
            is_kept = is_resumed and endpoint.get("state") in LISTED_STATES
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
    """Whether an event carries the full endpoint list."""
    return bool(event.get("endpoints", {}).get("all"))


def delete_unlisted(event: Mapping[str, Any], stored: Iterable[str]) -> list[Row]:
    """Deletions of the stored servers that a full endpoint list no longer has."""
    listed = {str(endpoint["uid"]) for endpoint in event["endpoints"]["targets"]}
    return [Row(SERVER_SPACE, uid, None) for uid in stored if uid not in listed]


def next_position(event_index: int, event: Mapping[str, Any], before: FeedPosition) -> FeedPosition:
    """The position behind an event."""
    return FeedPosition(event_index, event_index if has_full_list(event) else before.full_list_index)


def encode_position(position: FeedPosition) -> Row:
    """The position's row, to be written after the event's other rows: what is durable then includes them."""
    return Row(FEED_SPACE, FEED_POSITION_KEY, _encoder.encode(position))


def decode_position(rows: Mapping[str, bytes]) -> FeedPosition:
    """The stored position; the beginning if there is none, or one that another version wrote."""
    try:
        return _position_decoder.decode(rows[FEED_POSITION_KEY])
    except (KeyError, msgspec.MsgspecError):
        return FeedPosition(0)


def decode_purges(rows: Mapping[str, bytes], now_ms: float) -> list[api.Purge]:
    """The purges in force, with their age; one from a clock that was set back since has the age 0.

    Rows of another version are skipped.
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
    """The object and the group that a purge's key names. Raises `ValueError`."""
    prefix, number = key[:2], key[2:]
    target = int(number, 16) if prefix == OBJECT_PREFIX else None
    group = int(number) if prefix == GROUP_PREFIX else NO_GROUP
    return target, group


def decode_servers(
    rows: Mapping[str, bytes], known_index: int, full_list_index: int = 0
) -> list[dict[str, Any]]:
    """The endpoints newer than the configuration, which knows events up to `known_index`, in event order.

    Endpoints from before the last full list are no longer listed. Rows of another version are skipped.
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
