"""In-memory index of the store: the latest value of each key until it expires. No I/O.

A key is a space and a text; values are bytes. As in Bitcask (Sheehy and Smith, 2010) all keys are in memory;
here the values are, too. Records may be applied in any order: of two for one key the one with the higher
sequence counts. Memory: some 400 bytes a key beside key and value (measured by `benchmarks/store.py`).
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from .errors import UnsupportedFormatError
from .record_format import Record, RecordKind

NEVER_EXPIRES = 0.0


class KeyValue(msgspec.Struct, frozen=True, array_like=True):
    """A record's payload. `expires_at_ms` in Unix milliseconds; `NEVER_EXPIRES` if it doesn't."""

    space: str
    key: str
    value: bytes = b""
    expires_at_ms: float = NEVER_EXPIRES

    def is_expired(self, now_ms: float) -> bool:
        """Whether the value no longer counts."""
        return self.expires_at_ms != NEVER_EXPIRES and now_ms >= self.expires_at_ms


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(KeyValue)


def encode_key_value(key_value: KeyValue) -> bytes:
    """Encodes a record's payload as a msgpack array."""
    return _encoder.encode(key_value)


def decode_key_value(record: Record, file: str, offset: int) -> KeyValue:
    """Decodes a record's payload.

    Raises `UnsupportedFormatError`: the checksum was valid, so another version wrote what can't be decoded.
    """
    try:
        key_value: KeyValue = _decoder.decode(record.payload)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise UnsupportedFormatError(file, offset, f"a record of another form: {error}") from error
    return key_value


class Change(NamedTuple):
    """A record and its decoded payload."""

    record: Record
    key_value: KeyValue


@dataclass(slots=True)
class IndexEntry:
    """The latest change of a key: the segment that its record lies in, and the record's bytes there."""

    key_value: KeyValue
    sequence: int
    segment: int
    size_bytes: int
    is_deleted: bool = False


class KeyIndex:
    """The latest entry of each key, and how many bytes of each segment are still live."""

    def __init__(self) -> None:
        self.entries: dict[tuple[str, str], IndexEntry] = {}
        self.live_bytes: dict[int, int] = {}  # by segment
        self.last_sequence = 0
        self._expirations: list[
            tuple[float, tuple[str, str]]
        ] = []  # a heap; entries replaced since are stale

    def apply(self, change: Change, segment: int, size_bytes: int) -> bool:
        """Takes a change in, again without an effect; whether it is the latest of its key."""
        record, key_value = change.record, change.key_value
        self.last_sequence = max(self.last_sequence, record.sequence)
        slot = (key_value.space, key_value.key)
        before = self.entries.get(slot)
        if before is not None and before.sequence > record.sequence:
            return False
        if before is not None:
            self._add_live_bytes(before.segment, -before.size_bytes)
        is_deleted = record.kind == RecordKind.DELETE
        self.entries[slot] = IndexEntry(key_value, record.sequence, segment, size_bytes, is_deleted)
        self._add_live_bytes(segment, size_bytes)
        is_new = before is None or before.sequence != record.sequence
        if key_value.expires_at_ms != NEVER_EXPIRES and not is_deleted and is_new:
            heapq.heappush(self._expirations, (key_value.expires_at_ms, slot))
        return True

    def _add_live_bytes(self, segment: int, size_bytes: int) -> None:
        self.live_bytes[segment] = self.live_bytes.get(segment, 0) + size_bytes

    def move(self, change: Change, segment: int, size_bytes: int) -> None:
        """Notes that a change was rewritten into another segment, if it still is the latest of its key."""
        entry = self.entries.get((change.key_value.space, change.key_value.key))
        if entry is not None and entry.sequence == change.record.sequence:
            entry.segment, entry.size_bytes = segment, size_bytes
            self._add_live_bytes(segment, size_bytes)

    def get(self, space: str, key: str, now_ms: float) -> bytes | None:
        """The value of a key; None if it has none, or an expired one."""
        entry = self.entries.get((space, key))
        if entry is None or entry.is_deleted or entry.key_value.is_expired(now_ms):
            return None
        return entry.key_value.value

    def items(self, space: str, now_ms: float) -> dict[str, bytes]:
        """All values of a space by key."""
        return {
            key: entry.key_value.value
            for (entry_space, key), entry in self.entries.items()
            if entry_space == space and not entry.is_deleted and not entry.key_value.is_expired(now_ms)
        }

    def present(self) -> list[IndexEntry]:
        """The entries that aren't deletions, expired ones included, in ascending order of sequences."""
        entries = [entry for entry in self.entries.values() if not entry.is_deleted]
        return sorted(entries, key=lambda entry: entry.sequence)

    def drop_expired(self, now_ms: float) -> int:
        """Removes expired entries, whose records are garbage from then on; returns how many.

        Deletions stay while an older segment may hold what they delete: `forget_deletions` removes them.
        """
        count = 0
        while self._expirations and self._expirations[0][0] <= now_ms:
            _, slot = heapq.heappop(self._expirations)
            entry = self.entries.get(slot)
            if entry is not None and not entry.is_deleted and entry.key_value.is_expired(now_ms):
                del self.entries[slot]
                self._add_live_bytes(entry.segment, -entry.size_bytes)
                count += 1
        return count

    def live_changes(self, through_segment: int, now_ms: float) -> list[Change]:
        """What a compaction of all segments up to one has to rewrite, in ascending order of sequences.

        Deletions are left out: no older segment remains that could hold what they delete.
        """
        return [
            Change(
                Record(RecordKind.PUT, entry.sequence, 0, encode_key_value(entry.key_value)), entry.key_value
            )
            for entry in self.present()
            if entry.segment <= through_segment and not entry.key_value.is_expired(now_ms)
        ]

    def forget_deletions(self, through_segment: int) -> None:
        """Removes the deletions in compacted segments, which have nothing left to delete."""
        obsolete = [
            slot
            for slot, entry in self.entries.items()
            if entry.is_deleted and entry.segment <= through_segment
        ]
        for slot in obsolete:
            del self.entries[slot]
