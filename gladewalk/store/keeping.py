"""What of a director's knowledge outlives its restart, and how far it is believed then. No I/O.

    space     key                 value                       until
    purge     o:OBJECT, g:GROUP   when, Unix ms               it is settled, and older memories have faded
    server    uid                 state, start, event number  a day; with `resume` for as long as it is listed
    feed      last                the last event's number     never (with `resume` alone)

A stored server is believed only where its event is later than those that the configuration already has: the
coordinator's feed goes on from there and has the last word. With `resume` the feed is asked only for what
comes after the last event: for coordinators whose numbering outlives a director, and whose log need not.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

import msgspec

from .. import interface as api
from ..config.platform import ENDPOINT_STATES

PURGES, SERVERS, FEED = "purge", "server", "feed"
LAST = "last"
SETTLE_MORE_MS = 1_000.0  # the module remembers a purge for so much longer than it takes to settle
MEMORY_MS = 30_000.0  # and a holder for so long: what was seen before a purge must not count after a restart
SERVER_MS = 86_400_000.0
STATES_HELD = frozenset(name for name, state in ENDPOINT_STATES.items() if state is not api.ServerState.GONE)


class ServerRow(msgspec.Struct, frozen=True, array_like=True):
    """What the coordinator last told of a server. `entry` is its entry in the list."""

    index: int
    entry: dict[str, Any]


_encoder = msgspec.msgpack.Encoder()
_rows = msgspec.msgpack.Decoder(ServerRow)
_times = msgspec.msgpack.Decoder(float)


class Position(msgspec.Struct, frozen=True, array_like=True):
    """How far the feed was followed, and the last event that told the whole list (0: none did)."""

    index: int
    whole: int = 0


_positions = msgspec.msgpack.Decoder(Position)


class Row(msgspec.Struct, frozen=True):
    """One put; `value` None stands for a deletion."""

    space: str
    key: str
    value: bytes | None
    until_ms: float = 0.0


def rows_of(
    index: int, event: Mapping[str, Any], settle_ms: float, now_ms: float, lasting: bool = False
) -> list[Row]:
    """What to keep of an event of the feed. The event is of a form that was already found to be good.

    `lasting`: the feed won't tell of a server again, so that it is kept for as long as it is listed.
    """
    rows = []
    if "evict" in event:
        rows.append(purge_row(event["evict"], settle_ms, now_ms))
    if "endpoints" in event:
        for entry in event["endpoints"]["targets"]:
            rows.append(server_row(index, entry, now_ms, lasting and entry.get("state") in STATES_HELD))
    return rows


def purge_row(evict: Mapping[str, Any], settle_ms: float, now_ms: float) -> Row:
    at = min(now_ms, float(evict["unix_ms"]))
    key = f"o:{int(evict['ref'], 16):x}" if "ref" in evict else f"g:{int(evict.get('shard', -1))}"
    until = at + max(settle_ms + SETTLE_MORE_MS, MEMORY_MS)
    return Row(PURGES, key, _encoder.encode(at), until)


def server_row(index: int, entry: Mapping[str, Any], now_ms: float, lasting: bool = False) -> Row:
    value = _encoder.encode(ServerRow(index, dict(entry)))
    return Row(SERVERS, str(entry["uid"]), value, 0.0 if lasting else now_ms + SERVER_MS)


def is_whole(event: Mapping[str, Any]) -> bool:
    return bool(event.get("endpoints", {}).get("all"))


def unlisted(event: Mapping[str, Any], held: Iterable[str]) -> list[Row]:
    """Deletions of the servers that a whole list no longer has."""
    listed = {str(entry["uid"]) for entry in event["endpoints"]["targets"]}
    return [Row(SERVERS, uid, None) for uid in held if uid not in listed]


def position_row(index: int, event: Mapping[str, Any], before: Position) -> tuple[Row, Position]:
    """To be put after all else of the event: what is durable is then known up to there."""
    position = Position(index, index if is_whole(event) else before.whole)
    return Row(FEED, LAST, _encoder.encode(position)), position


def position_of(rows: Mapping[str, bytes]) -> Position:
    try:
        return _positions.decode(rows[LAST]) if LAST in rows else Position(0)
    except msgspec.MsgspecError:
        return Position(0)  # of another version: everything is asked for again


def purges_of(rows: Mapping[str, bytes], now_ms: float) -> list[api.Purge]:
    """The purges in force again, with their age; one from a clock that went back is taken as of now."""
    found = []
    for key, value in rows.items():
        try:
            at = _times.decode(value)
            kind, number = key[:2], key[2:]
            target = int(number, 16) if kind == "o:" else None
            group = int(number) if kind == "g:" else -1
        except (msgspec.MsgspecError, ValueError):
            continue  # a row of another version: its CRC was good, so it is none of ours
        found.append(api.Purge(target, group, max(0.0, now_ms - at)))
    return found


def servers_of(rows: Mapping[str, bytes], known_index: int, whole: int = 0) -> list[dict[str, Any]]:
    """The entries to be taken over those of the configuration, in the order of their events.

    `whole`: the event that told the whole list; what is older than it is no longer listed.
    """
    found: list[ServerRow] = []
    for value in rows.values():
        try:
            row = _rows.decode(value)
        except msgspec.MsgspecError:
            continue
        if row.index > known_index and row.index >= whole:
            found.append(row)
    return [row.entry for row in sorted(found, key=lambda row: row.index)]
