"""A store on a disk: puts are written, made durable, and only then acknowledged; old segments are compacted.

Synchronous, and called from one thread. An `OSError` of the disk ends nothing: what was not acknowledged
stays to be written again, into a new segment. A file whose sync has failed is never written or synced again,
since nobody knows what of it is on the disk.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from .compaction_policy import Segment, prefix_to_compact, wants_new_segment
from .file_system import Disk
from .key_index import FOREVER, Item, State, pack
from .record_format import DELETE, HEADER, PUT, Head, Record, write_head, write_record
from .recovery import Recovered, name_of, recover

PENDING_MOST = 4 * 1024 * 1024  # bytes that wait for a disk: more are refused, which bounds memory
TEMPORARY = "compacting.tmp"


class StoreFull(Exception):
    """Too much waits for a disk that takes nothing; the put was not taken."""


@dataclass(slots=True)
class Terms:
    segment_most: int = 1024 * 1024  # bytes, after which a new segment is begun
    limit: int = 64 * 1024 * 1024  # bytes on disk that compaction keeps the store under


@dataclass(slots=True)
class Batch:
    """Records on their way to a segment. `write` is all that is done to the disk; it touches nothing else."""

    number: int
    name: str
    create: bytes | None  # the header of a segment that is begun with it
    data: list[bytes]
    records: list[tuple[Record, Item]]
    sync: bool = True

    def write(self, disk: Disk) -> None:
        if self.create is not None:
            disk.create(self.name)
            disk.append(self.name, self.create)
            disk.sync(self.name)  # a header that is torn shows that nothing was ever behind it
            disk.sync_names()  # before anything in it is acknowledged
        disk.append(self.name, b"".join(self.data))
        if self.sync:
            disk.sync(self.name)


@dataclass(slots=True)
class Compaction:
    """A segment that takes the place of others."""

    upto: int
    name: str
    first: int
    head: bytes
    data: list[bytes]
    kept: list[tuple[Record, Item]]
    old: list[int]
    gone: list[str]

    def write(self, disk: Disk) -> None:
        disk.create(TEMPORARY)
        disk.append(TEMPORARY, self.head + b"".join(self.data))
        disk.sync(TEMPORARY)
        disk.rename(TEMPORARY, self.name)
        disk.sync_names()  # before anything that it stands for is removed

    def clear_away(self, disk: Disk) -> None:
        for name in self.gone:
            disk.remove(name)
        disk.sync_names()


class Log:
    """`put` and `delete` take effect in memory at once; `commit` makes them last."""

    def __init__(self, disk: Disk, clock: Callable[[], float], terms: Terms | None = None) -> None:
        self.disk, self.clock, self.terms = disk, clock, terms or Terms()
        self.recovered: Recovered = recover({name: disk.read(name) for name in disk.names()})
        self.state: State = self.recovered.state
        self.sizes, self.names = dict(self.recovered.sizes), dict(self.recovered.names)
        self.firsts = dict(self.recovered.firsts)
        self.next_number = self.recovered.next_number
        self.durable = self.state.sequence
        self.pending: list[tuple[Record, Item]] = []
        self.flying: Batch | None = None
        self.waiting = 0  # bytes of these
        self.open: int | None = None  # the segment that is written to
        self.compactions = self.written = 0
        self._settle()

    def _settle(self) -> None:
        """Make what was found durable before anything builds on it, and clear away what nothing needs."""
        if self.recovered.last is not None:
            name, good = self.recovered.last
            if any(file == name for file, _, _ in self.recovered.dropped):
                self.disk.cut(name, good)
            self.disk.sync(name)
        for name in self.recovered.useless:
            self.disk.remove(name)
        self.disk.sync_names()

    # What is told.

    def put(self, space: str, key: str, value: bytes, until_ms: float = FOREVER) -> int:
        """The sequence that `commit` must reach for it to last."""
        return self._add(PUT, Item(space, key, value, until_ms))

    def delete(self, space: str, key: str) -> int:
        return self._add(DELETE, Item(space, key))

    def _add(self, kind: int, item: Item) -> int:
        payload = pack(item)
        if self.waiting + len(payload) > PENDING_MOST:
            raise StoreFull(f"{len(self.pending)} records wait for the disk")
        record = Record(kind, self.state.sequence + 1, 0, payload)
        self.pending.append((record, item))
        self.waiting += len(payload)
        # Its segment is known when it is written; until then it counts nowhere.
        self.state.apply(record, item, -1, 0)
        return record.sequence

    def get(self, space: str, key: str) -> bytes | None:
        return self.state.get(space, key, self.clock())

    def items(self, space: str) -> dict[str, bytes]:
        return self.state.items(space, self.clock())

    # What lasts. A batch is prepared and ended here; what it does to the disk may run in another thread.

    def prepare(self, sync: bool = True) -> Batch | None:
        """All that waits, ready to be written. One batch at a time, to be ended by `done` or `failed`."""
        assert self.flying is None
        if not self.pending:
            return None
        create = None
        if self.open is None or wants_new_segment(self.sizes[self.open], self.terms.segment_most):
            self.open = self.next_number
            self.next_number += 1  # even if this fails: a number is used once
            self.names[self.open], self.sizes[self.open] = name_of(self.open), HEADER.size
            self.firsts[self.open] = self.durable + 1
            create = write_head(Head(self.open, first=self.durable + 1))
        data = [write_record(replace(record, durable=self.durable)) for record, _ in self.pending]
        self.flying = Batch(self.open, self.names[self.open], create, data, self.pending, sync)
        self.pending, self.waiting = [], 0
        return self.flying

    def done(self, batch: Batch) -> int:
        """It is on the disk: the highest durable sequence."""
        self.flying = None
        for (record, item), written in zip(batch.records, batch.data, strict=True):
            self.state.apply(record, item, batch.number, len(written))
            self.sizes[batch.number] += len(written)
            self.written += len(written)
        self.durable = batch.records[-1][0].sequence
        return self.durable

    def failed(self, batch: Batch) -> None:
        """The disk refused: all of it waits again, for another segment. What is in this one stays."""
        self.flying, self.open = None, None
        self.pending = batch.records + self.pending
        self.waiting = sum(len(record.payload) for record, _ in self.pending)
        if batch.create is not None:  # perhaps not even its header is there
            del self.sizes[batch.number], self.names[batch.number], self.firsts[batch.number]

    def commit(self) -> int:
        """Write and sync all that waits: the highest durable sequence. An `OSError` leaves it waiting."""
        batch = self.prepare()
        if batch is None:
            return self.durable
        try:
            batch.write(self.disk)
        except OSError:
            self.failed(batch)
            raise
        return self.done(batch)

    # Compaction.

    @property
    def size(self) -> int:
        return sum(self.sizes.values())

    def wanted(self) -> int | None:
        """The number up to which to compact now, if it is worth it."""
        self.state.drop_over(self.clock())
        sealed = [
            Segment(number, size, self.state.live.get(number, 0))
            for number, size in sorted(self.sizes.items())
            if number != self.open
        ]
        return prefix_to_compact(sealed, self.size, self.terms.limit)

    def compact(self, upto: int) -> None:
        """Write what of the segments up to this one still counts into one that takes their place."""
        self.commit()
        compaction = self.prepare_compaction(upto)
        compaction.write(self.disk)
        self.compacted(compaction)
        compaction.clear_away(self.disk)

    def prepare_compaction(self, upto: int) -> Compaction:
        """What a compaction writes. Nothing may wait: a put that does stands for a record here in memory,
        which counts until that put is durable.

        A crash at any step leaves the old segments, or the new one beside some of them: `recovery` takes the
        new one for all that it covers. An `OSError` before `compacted` leaves the old ones in force.
        """
        assert not self.pending and self.flying is None
        kept = self.state.kept_of(upto, self.clock())
        later = [number for number in self.sizes if number > upto]
        first = self.firsts[min(later)] if later else self.durable + 1
        data = [write_record(replace(record, durable=self.durable)) for record, _ in kept]
        head = write_head(Head(upto, upto, first, len(kept)))
        name = name_of(upto, compacted=True)
        old = [number for number in sorted(self.sizes) if number <= upto]
        gone = [self.names[number] for number in old if self.names[number] != name]
        return Compaction(upto, name, first, head, data, kept, old, gone)

    def compacted(self, done: Compaction) -> None:
        """The new segment is in force; puts that came meanwhile are in later ones."""
        upto = done.upto
        for number in done.old:
            del self.sizes[number], self.names[number], self.firsts[number]
            self.state.live.pop(number, None)
        self.sizes[upto], self.names[upto], self.firsts[upto] = len(done.head), done.name, done.first
        for (record, item), written in zip(done.kept, done.data, strict=True):
            held = self.state.held.get((item.space, item.key))
            self.sizes[upto] += len(written)
            if held is not None and held.sequence == record.sequence:
                held.segment, held.size = upto, len(written)
                self.state.live[upto] = self.state.live.get(upto, 0) + len(written)
        if self.open is not None and self.open <= upto:
            self.open = None
        self.state.forget_deleted(upto)
        self.compactions += 1
        self.written += self.sizes[upto]
