"""Log-structured store: changes are appended to segments, made durable, and only then acknowledged.

The calls are synchronous, and all are made in one thread. An `OSError` of the disk loses no change: changes
that were not acknowledged are written again, into a new segment. A file whose sync failed is never written or
synced again, since it is unknown which of its data are on the disk (Rebello et al., "Can Applications Recover
from fsync Failures?", 2020).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from .compaction_policy import SegmentUsage, choose_compaction_prefix, is_segment_full
from .disk_writes import Compaction, WriteBatch
from .errors import StoreFullError
from .file_system import FileSystem
from .key_index import NEVER_EXPIRES, Change, KeyValue, encode_key_value
from .record_format import HEADER, Record, RecordKind, SegmentHeader, encode_header, encode_record
from .recovery import RecoveredStore, Segment, recover_store, segment_file_name

MAX_PENDING_BYTES = 4 * 1024 * 1024  # limit of payloads that are not yet written, which bounds memory
_NO_SEGMENT = -1  # the segment number of changes that are not yet written


@dataclass(slots=True, frozen=True)
class LogConfig:
    """Size limits in bytes: a segment that reaches its limit is sealed; compaction keeps the total limit."""

    max_segment_bytes: int = 1024 * 1024
    max_total_bytes: int = 64 * 1024 * 1024


class SegmentedLog:
    """One store in one directory: `put` and `delete` change memory at once; `commit` writes to the disk.

    `clock` returns Unix milliseconds. Opening raises the errors of `recover_store`, and `OSError`.
    """

    def __init__(
        self, file_system: FileSystem, clock: Callable[[], float], config: LogConfig | None = None
    ) -> None:
        self.file_system, self.clock, self.config = file_system, clock, config or LogConfig()
        contents = {name: file_system.read(name) for name in file_system.list_names()}
        self.recovered: RecoveredStore = recover_store(contents)
        self.index, self.segments = self.recovered.index, dict(self.recovered.segments)
        self.next_number = self.recovered.next_number
        self.durable_sequence = self.index.last_sequence
        self.pending: list[Change] = []
        self.in_flight: WriteBatch | None = None
        self.compaction_count = self.written_bytes = 0
        self._pending_bytes = 0
        self._open_segment: int | None = None  # the segment that is appended to; all others are sealed
        self._finish_recovery()

    def _finish_recovery(self) -> None:
        """Makes the recovered records durable before any further write, and removes obsolete files."""
        newest = self.recovered.newest
        if newest is not None:
            if any(tail.file == newest.file for tail in self.recovered.dropped):
                self.file_system.truncate(newest.file, newest.size_bytes)
            self.file_system.sync(newest.file)
        for name in self.recovered.obsolete_files:
            self.file_system.remove(name)
        self.file_system.sync_directory()

    # Reads and changes.

    def put(self, space: str, key: str, value: bytes, expires_at_ms: float = NEVER_EXPIRES) -> int:
        """Sets a value; returns the sequence number that has to be durable for the value to be so.

        Raises `StoreFullError` if more than `MAX_PENDING_BYTES` would be pending.
        """
        return self._add(RecordKind.PUT, KeyValue(space, key, value, expires_at_ms))

    def delete(self, space: str, key: str) -> int:
        """Removes a value; returns and raises the same as `put`."""
        return self._add(RecordKind.DELETE, KeyValue(space, key))

    def _add(self, kind: RecordKind, key_value: KeyValue) -> int:
        payload = encode_key_value(key_value)
        if self._pending_bytes + len(payload) > MAX_PENDING_BYTES:
            raise StoreFullError(f"{len(self.pending)} records are not yet written to the disk")
        change = Change(Record(kind, self.index.last_sequence + 1, 0, payload), key_value)
        self.pending.append(change)
        self._pending_bytes += len(payload)
        self.index.apply(change, _NO_SEGMENT, 0)
        return change.record.sequence

    def get(self, space: str, key: str) -> bytes | None:
        """Returns the value of a key; None if there is none, or if it has expired."""
        return self.index.get(space, key, self.clock())

    def items(self, space: str) -> dict[str, bytes]:
        """Returns all values of a space by key, without expired ones."""
        return self.index.items(space, self.clock())

    # Commits. `WriteBatch.write` may run in another thread; all other calls are made in the caller's thread.

    def prepare_batch(self, is_synced: bool = True) -> WriteBatch | None:
        """Returns a batch of all pending changes, encoded; None if there are none.

        There is at most one batch at a time; the caller ends it with `complete_batch` or `fail_batch`.
        """
        assert self.in_flight is None
        if not self.pending:
            return None
        segment, new_header = self._segment_to_append()
        encoded = self._encode(self.pending)
        self.in_flight = WriteBatch(
            segment.number, segment.file, new_header, encoded, self.pending, is_synced
        )
        self.pending, self._pending_bytes = [], 0
        return self.in_flight

    def _segment_to_append(self) -> tuple[Segment, bytes | None]:
        """Returns the open segment, or a new one and its header."""
        if self._open_segment is not None:
            segment = self.segments[self._open_segment]
            if not is_segment_full(segment.size_bytes, self.config.max_segment_bytes):
                return segment, None
        number = self.next_number
        self.next_number += 1  # even if the batch fails: a number is never used twice
        first_sequence = self.durable_sequence + 1
        segment = Segment(number, segment_file_name(number), HEADER.size, first_sequence)
        self.segments[number], self._open_segment = segment, number
        return segment, encode_header(SegmentHeader(number, first_sequence=first_sequence))

    def _encode(self, changes: list[Change]) -> list[bytes]:
        durable = self.durable_sequence
        return [encode_record(change.record._replace(durable_sequence=durable)) for change in changes]

    def complete_batch(self, batch: WriteBatch) -> int:
        """Records that a batch is on the disk; returns the highest durable sequence number."""
        self.in_flight = None
        segment = self.segments[batch.segment]
        for change, encoded in zip(batch.changes, batch.encoded, strict=True):
            self.index.apply(change, batch.segment, len(encoded))
            segment.size_bytes += len(encoded)
            self.written_bytes += len(encoded)
        self.durable_sequence = batch.changes[-1].record.sequence
        return self.durable_sequence

    def fail_batch(self, batch: WriteBatch) -> None:
        """Records that the disk rejected a batch: its changes are pending again, for another segment."""
        self.in_flight, self._open_segment = None, None
        self.pending = batch.changes + self.pending
        self._pending_bytes = sum(len(change.record.payload) for change in self.pending)
        if batch.new_header is not None:  # the disk may not even have its header
            del self.segments[batch.segment]

    def commit(self) -> int:
        """Writes and syncs all pending changes; returns the highest durable sequence number.

        Raises `OSError`; the changes are then still pending.
        """
        batch = self.prepare_batch()
        if batch is None:
            return self.durable_sequence
        try:
            batch.write(self.file_system)
        except OSError:
            self.fail_batch(batch)
            raise
        return self.complete_batch(batch)

    # Compaction.

    @property
    def total_bytes(self) -> int:
        """Bytes on disk of all segments in use."""
        return sum(segment.size_bytes for segment in self.segments.values())

    def choose_compaction(self) -> int | None:
        """Drops expired entries, and returns the number of the last segment to compact now, or None."""
        self.index.drop_expired(self.clock())
        sealed = [
            SegmentUsage(number, segment.size_bytes, self.index.live_bytes.get(number, 0))
            for number, segment in sorted(self.segments.items())
            if number != self._open_segment
        ]
        return choose_compaction_prefix(sealed, self.total_bytes, self.config.max_total_bytes)

    def compact(self, through_segment: int) -> None:
        """Commits, and rewrites all segments up to `through_segment` into one. Raises `OSError`."""
        self.commit()
        compaction = self.prepare_compaction(through_segment)
        compaction.write(self.file_system)
        self.install_compaction(compaction)
        compaction.remove_replaced(self.file_system)

    def prepare_compaction(self, through_segment: int) -> Compaction:
        """Returns the compaction to write; until `install_compaction` the old segments stay in use.

        No change may be pending: the index has only the latest change of a key, so that a pending one hides
        the key's last durable record, which has to be kept until the pending one is durable.
        """
        assert not self.pending and self.in_flight is None
        changes = self.index.live_changes(through_segment, self.clock())
        later = [number for number in self.segments if number > through_segment]
        first_sequence = self.segments[min(later)].first_sequence if later else self.durable_sequence + 1
        header = SegmentHeader(through_segment, through_segment, first_sequence, len(changes))
        file = segment_file_name(through_segment, is_compacted=True)
        replaced = [number for number in sorted(self.segments) if number <= through_segment]
        replaced_files = [self.segments[number].file for number in replaced]
        return Compaction(
            through_segment, file, first_sequence, encode_header(header), self._encode(changes), changes,
            replaced, [name for name in replaced_files if name != file],
        )  # fmt: skip

    def install_compaction(self, compaction: Compaction) -> None:
        """Uses the written segment from now on; changes made since its preparation are in later segments."""
        through_segment = compaction.through_segment
        for number in compaction.replaced_segments:
            del self.segments[number]
            self.index.live_bytes.pop(number, None)
        segment = Segment(through_segment, compaction.file, len(compaction.header), compaction.first_sequence)
        self.segments[through_segment] = segment
        for change, encoded in zip(compaction.changes, compaction.encoded, strict=True):
            segment.size_bytes += len(encoded)
            self.index.move(change, through_segment, len(encoded))
        if self._open_segment is not None and self._open_segment <= through_segment:
            self._open_segment = None
        self.index.remove_deletions(through_segment)
        self.compaction_count += 1
        self.written_bytes += segment.size_bytes
