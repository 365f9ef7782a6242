"""Warm-start snapshot: the policy module's estimates, stored in partitions and restored by age. No I/O.

These are restored after a restart:

- An object's location, if it has not expired. The policy module itself checks at each use that the location
  is later than the last purge of the object or group, and than the holder's last start.
- A server's limit of concurrent cache fills and its time to first byte, if the server is listed and has not
  started since.
- Transfer times of objects: they stand for the sizes, which don't change.

The snapshot is written one partition at a time, so that no single event-loop iteration encodes all of it.
Each object belongs to one partition.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from ..limits.backoff import MAX_FILL_QUOTA, MIN_FILL_QUOTA
from ..policy import Dispatcher
from ..registry.object_locations import LOCATION_TTL_MS

PARTITION_COUNT = 16
SNAPSHOT_SPACE = "warm"
OBJECTS_KEY = "objects"  # followed by "-" and the partition's number
SERVERS_KEY = "sources"
MAX_SNAPSHOT_AGE_MS = 600_000.0  # older limits and transfer times are ignored: load may have changed since
MAX_FIRST_BYTE_MS = 10_000.0


class ObjectsPartition(msgspec.Struct, frozen=True, array_like=True):
    """The objects of one partition, each with its key and part.

    `locations` has the time at which each holder was last seen with the object; `transfer_times` are in ms.
    """

    taken_at_ms: float
    locations: list[tuple[int, int, dict[str, float]]]
    transfer_times: list[tuple[int, int, float]]


class ServerEstimate(msgspec.Struct, frozen=True, array_like=True):
    """The measurements of one server since its last start."""

    name: str
    started_ms: float
    fill_quota: float
    first_byte_ms: float


class ServerEstimates(msgspec.Struct, frozen=True, array_like=True):
    """The estimates of all servers at one time."""

    taken_at_ms: float
    servers: list[ServerEstimate]


class RestoredCounts(NamedTuple):
    """How many objects and servers of a snapshot were restored."""

    objects: int
    servers: int


_encoder = msgspec.msgpack.Encoder()
_objects_decoder = msgspec.msgpack.Decoder(ObjectsPartition)
_servers_decoder = msgspec.msgpack.Decoder(ServerEstimates)


def partition_of(object_id: tuple[int, int]) -> int:
    """Returns the partition of an object, which is given by key and part."""
    return (object_id[0] ^ object_id[1]) % PARTITION_COUNT


def encode_objects(core: Dispatcher, partition: int, now_ms: float) -> bytes:
    """Encodes one partition's locations that have not expired, and its transfer times."""
    locations = []
    for object_id, holders in core.state.locations.items():
        recent = {name: seen_at for name, seen_at in holders.items() if now_ms - seen_at < LOCATION_TTL_MS}
        if recent and partition_of(object_id) == partition:
            locations.append((*object_id, recent))
    times = [
        (*object_id, transfer_ms)
        for object_id, transfer_ms in core.state.estimates.by_object.items()
        if partition_of(object_id) == partition
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
    """Restores recent rows into the policy module; rows that can't be decoded are skipped."""
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
    """Returns whether a time is recent; a future one, from before the clock was set back, is not."""
    return 0.0 <= now_ms - taken_at_ms < max_age_ms


def _restore_objects(core: Dispatcher, partition: ObjectsPartition, now_ms: float) -> int:
    count = 0
    for key, part, holders in partition.locations:
        recent = {
            name: seen_at
            for name, seen_at in holders.items()
            if name in core.state.registry.servers and _is_recent(seen_at, now_ms, LOCATION_TTL_MS)
        }
        if recent:
            core.state.locations[key, part] = {**recent, **core.state.locations.get((key, part), {})}
            count += 1
    if _is_recent(partition.taken_at_ms, now_ms, MAX_SNAPSHOT_AGE_MS):
        for key, part, transfer_ms in partition.transfer_times:
            if 0.0 < transfer_ms < MAX_SNAPSHOT_AGE_MS:
                core.state.estimates.by_object.setdefault((key, part), transfer_ms)
    return count


def _restore_servers(core: Dispatcher, estimates: ServerEstimates, now_ms: float) -> int:
    if not _is_recent(estimates.taken_at_ms, now_ms, MAX_SNAPSHOT_AGE_MS):
        return 0
    count = 0
    for estimate in estimates.servers:
        server = core.state.registry.servers.get(estimate.name)
        if server is None or server.started_ms > estimate.started_ms:  # it is from before a restart
            continue
        server.fill_quota = min(MAX_FILL_QUOTA, max(MIN_FILL_QUOTA, estimate.fill_quota))
        server.first_byte_ms = min(MAX_FIRST_BYTE_MS, max(0.0, estimate.first_byte_ms))
        count += 1
    return count
