"""A warm start: what the module has learned, kept now and then, and believed only as far as its age allows.

No I/O. What may be believed after a restart:

- a remembered holder, if it was seen lately enough to count still (the module's own fading), after the last
  purge of its object or group, and after the holder's own last start: the module checks the last two at each
  use, since purges and starts are restored before this is;
- a source's share and time to its first byte, if the server is listed and has not started since;
- sizes of objects, which don't change.

All of it is kept in parts, one part at a time, so that no moment writes all: an object belongs to one part.
"""

from __future__ import annotations

from typing import Any

import msgspec

from ..limits.recovery import SHARE_FLOOR, SHARE_MOST
from ..policy import Dispatcher
from ..remembered import MEMORY_MS

PARTS = 16
OBJECTS = "objects"
SOURCES = "sources"
SPACE = "warm"
FRESH_MS = 600_000.0  # shares and sizes older than this are not believed: a night may lie between


class Objects(msgspec.Struct, frozen=True, array_like=True):
    """One part of the objects: holders with when each was last seen, and sending times."""

    at_ms: float
    holders: list[tuple[int, int, dict[str, float]]]
    sizes: list[tuple[int, int, float]]


class Source(msgspec.Struct, frozen=True, array_like=True):
    name: str
    started_ms: float
    share: float
    first_byte_ms: float


class Sources(msgspec.Struct, frozen=True, array_like=True):
    at_ms: float
    sources: list[Source]


_encoder = msgspec.msgpack.Encoder()
_objects = msgspec.msgpack.Decoder(Objects)
_sources = msgspec.msgpack.Decoder(Sources)


def part_of(obj: tuple[int, int]) -> int:
    return (obj[0] ^ obj[1]) % PARTS


def objects_row(core: Dispatcher, part: int, now_ms: float) -> bytes:
    """What is remembered of one part's objects and has not faded."""
    holders = []
    for obj, seen in core.memory.items():
        lately = {name: at for name, at in seen.items() if now_ms - at < MEMORY_MS}
        if lately and part_of(obj) == part:
            holders.append((*obj, lately))
    sizes = [(*obj, took) for obj, took in core.sizes.items() if part_of(obj) == part]
    return _encoder.encode(Objects(now_ms, holders, sizes))


def sources_row(core: Dispatcher, now_ms: float) -> bytes:
    rows = [
        Source(name, server.started_ms, server.share, server.first_byte_ms)
        for name, server in core.servers.items()
    ]
    return _encoder.encode(Sources(now_ms, rows))


def restore(core: Dispatcher, rows: dict[str, bytes], now_ms: float) -> tuple[int, int]:
    """Put back what may be believed: how many objects and how many sources. Rows of another form are none."""
    objects = sources = 0
    for key, value in sorted(rows.items()):
        try:
            if key == SOURCES:
                sources += _restore_sources(core, _sources.decode(value), now_ms)
            else:
                objects += _restore_objects(core, _objects.decode(value), now_ms)
        except (msgspec.MsgspecError, ValueError):
            continue
    return objects, sources


def _restore_objects(core: Dispatcher, row: Objects, now_ms: float) -> int:
    count = 0
    for key, part, seen in row.holders:
        # A time ahead of ours is of a clock that went back: it would never fade.
        lately = {n: at for n, at in seen.items() if n in core.servers and 0.0 <= now_ms - at < MEMORY_MS}
        if lately:
            core.memory[key, part] = {**lately, **core.memory.get((key, part), {})}
            count += 1
    if 0.0 <= now_ms - row.at_ms < FRESH_MS:
        for key, part, took in row.sizes:
            if 0.0 < took < FRESH_MS:
                core.sizes.setdefault((key, part), took)
    return count


def _restore_sources(core: Dispatcher, row: Sources, now_ms: float) -> int:
    if not 0.0 <= now_ms - row.at_ms < FRESH_MS:
        return 0
    count = 0
    for source in row.sources:
        server: Any = core.servers.get(source.name)
        if server is None or server.started_ms > source.started_ms:  # it has started since: as good as new
            continue
        server.share = min(SHARE_MOST, max(SHARE_FLOOR, source.share))
        server.first_byte_ms = min(10_000.0, max(0.0, source.first_byte_ms))
        count += 1
    return count
