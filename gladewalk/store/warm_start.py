"""Warm-start snapshot: what the policy module has learned, stored in parts and restored by its age. No I/O.

What counts after a restart:

- A location of an object, if it was seen recently enough not to have faded. The module itself checks at each
  use that it is later than the last purge of the object or group, and than the holder's last start.
- A server's limit of concurrent cache fills and its time to first byte, if it is listed and has not started
  since.
- Sizes of objects, as transfer times, which don't change.

The snapshot is written one partition at a time, so that no turn of the event loop encodes all of it; an
object belongs to one partition.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from ..limits.backoff import MAX_FILL_QUOTA, MIN_FILL_QUOTA
from ..policy import Dispatcher
from ..registry.object_locations import LOCATION_TTL_MS

PARTITION_COUNT = 16
SNAPSHOT_SPACE = "warm"
OBJECTS_KEY = "objects"  # with the partition's number behind it
SERVERS_KEY = "sources"
MAX_SNAPSHOT_AGE_MS = 600_000.0  # of limits and sizes: load may have changed since
MAX_FIRST_BYTE_MS = 10_000.0


class ObjectsPartition(msgspec.Struct, frozen=True, array_like=True):
    """The objects of one partition, each by key and part.

    `locations` has when each holder was last seen, `transfer_times` milliseconds.
    """

    taken_at_ms: float
    locations: list[tuple[int, int, dict[str, float]]]
    transfer_times: list[tuple[int, int, float]]


class ServerEstimate(msgspec.Struct, frozen=True, array_like=True):
    """What was measured of one server since its last start."""

    name: str
    started_ms: float
    fill_quota: float
    first_byte_ms: float


class ServerEstimates(msgspec.Struct, frozen=True, array_like=True):
    """The estimates of all servers at one time."""

    taken_at_ms: float
    servers: list[ServerEstimate]


class RestoredCounts(NamedTuple):
    """How much of a snapshot was restored."""

    objects: int
    servers: int


_encoder = msgspec.msgpack.Encoder()
_objects_decoder = msgspec.msgpack.Decoder(ObjectsPartition)
_servers_decoder = msgspec.msgpack.Decoder(ServerEstimates)


def partition_of(obj: tuple[int, int]) -> int:
    """The partition that an object's key and part belong to."""
    return (obj[0] ^ obj[1]) % PARTITION_COUNT


def encode_objects(core: Dispatcher, partition: int, now_ms: float) -> bytes:
    """Encodes one partition's locations that have not faded, and its transfer times."""
    locations = []
    for obj, seen in core.state.locations.items():
        recent = {name: seen_at for name, seen_at in seen.items() if now_ms - seen_at < LOCATION_TTL_MS}
        if recent and partition_of(obj) == partition:
            locations.append((*obj, recent))
    times = [
        (*obj, took_ms)
        for obj, took_ms in core.state.estimates.by_object.items()
        if partition_of(obj) == partition
    ]
    return _encoder.encode(ObjectsPartition(now_ms, locations, times))


def encode_servers(core: Dispatcher, now_ms: float) -> bytes:
    """Encodes the estimates of all servers."""
    estimates = [
        ServerEstimate(name, server.started_ms, server.fill_quota, server.first_byte_ms)
        for name, server in core.state.registry.servers.items()
    ]
    return _encoder.encode(ServerEstimates(now_ms, estimates))


def restore_snapshot(core: Dispatcher, rows: dict[str, bytes], now_ms: float) -> RestoredCounts:
    """Puts what still counts back into the policy module. Rows of another version are skipped."""
    objects = servers = 0
    for key, value in sorted(rows.items()):
        try:
            if key == SERVERS_KEY:
                servers += _restore_servers(core, _servers_decoder.decode(value), now_ms)
            else:
                objects += _restore_objects(core, _objects_decoder.decode(value), now_ms)
        except (msgspec.MsgspecError, ValueError):
            continue
    return RestoredCounts(objects, servers)


def _is_recent(taken_at_ms: float, now_ms: float, max_age_ms: float) -> bool:
    """Whether a time is young enough; one ahead of ours, from a clock set back, would never age."""
    return 0.0 <= now_ms - taken_at_ms < max_age_ms


def _restore_objects(core: Dispatcher, partition: ObjectsPartition, now_ms: float) -> int:
    count = 0
    for key, part, seen in partition.locations:
        recent = {
            name: seen_at
            for name, seen_at in seen.items()
            if name in core.state.registry.servers and _is_recent(seen_at, now_ms, LOCATION_TTL_MS)
        }
        if recent:
            core.state.locations[key, part] = {**recent, **core.state.locations.get((key, part), {})}
            count += 1
    if _is_recent(partition.taken_at_ms, now_ms, MAX_SNAPSHOT_AGE_MS):
        for key, part, took_ms in partition.transfer_times:
            if 0.0 < took_ms < MAX_SNAPSHOT_AGE_MS:
                core.state.estimates.by_object.setdefault((key, part), took_ms)
    return count


def _restore_servers(core: Dispatcher, estimates: ServerEstimates, now_ms: float) -> int:
    if not _is_recent(estimates.taken_at_ms, now_ms, MAX_SNAPSHOT_AGE_MS):
        return 0
    count = 0
    for estimate in estimates.servers:
        server = core.state.registry.servers.get(estimate.name)
        if server is None or server.started_ms > estimate.started_ms:  # restarted: nothing of it counts
            continue
        server.fill_quota = min(MAX_FILL_QUOTA, max(MIN_FILL_QUOTA, estimate.fill_quota))
        server.first_byte_ms = min(MAX_FIRST_BYTE_MS, max(0.0, estimate.first_byte_ms))
        count += 1
    return count
