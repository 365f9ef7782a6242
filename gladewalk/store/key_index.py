"""In-memory index of the store: the latest value of each key until it expires. No I/O.

A key consists of a space and a text; values are bytes. All keys are in memory, as in Bitcask (Sheehy and
Smith, 2010), and here the values are in memory as well. Records may be applied in any order: of two records
of one key, the one with the higher sequence number is in force. Besides key and value, the index uses about
400 bytes of memory a key (`benchmarks/store.py`).
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
    """A record's payload. `expires_at_ms` is in Unix milliseconds, or `NEVER_EXPIRES`."""

    space: str
    key: str
    value: bytes = b""
    expires_at_ms: float = NEVER_EXPIRES

    def is_expired(self, now_ms: float) -> bool:
        """Returns whether the value has expired."""
        return self.expires_at_ms != NEVER_EXPIRES and now_ms >= self.expires_at_ms


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(KeyValue)


def encode_key_value(key_value: KeyValue) -> bytes:
    """Encodes a record's payload as a msgpack array."""
    return _encoder.encode(key_value)


def decode_key_value(record: Record, file: str, offset: int) -> KeyValue:
    """Decodes a record's payload.

    Raises `UnsupportedFormatError` if it can't be decoded: as the checksum is valid, the record is not
    corrupt, and another version wrote it.
    """
    try:
        key_value: KeyValue = _decoder.decode(record.payload)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise UnsupportedFormatError(file, offset, f"a record in an unknown format: {error}") from error
    return key_value


class Change(NamedTuple):
    """A record and its decoded payload."""

    record: Record
    key_value: KeyValue


@dataclass(slots=True)
class IndexEntry:
    """The latest change of a key, the segment with its record, and the record's size."""

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
        # A heap of expiry times and keys. A key may have changed since: `drop_expired` checks its entry.
        self._expirations: list[tuple[float, tuple[str, str]]] = []

    def apply(self, change: Change, segment: int, size_bytes: int) -> bool:
        """Applies a change, which may be repeated; returns whether it is the latest of its key."""
        record, key_value = change.record, change.key_value
        self.last_sequence = max(self.last_sequence, record.sequence)
        index_key = (key_value.space, key_value.key)
        previous = self.entries.get(index_key)
        if previous is not None and previous.sequence > record.sequence:
            return False
        if previous is not None:
            self._add_live_bytes(previous.segment, -previous.size_bytes)
        is_deleted = record.kind == RecordKind.DELETE
        self.entries[index_key] = IndexEntry(key_value, record.sequence, segment, size_bytes, is_deleted)
        self._add_live_bytes(segment, size_bytes)
        is_new = previous is None or previous.sequence != record.sequence
        if key_value.expires_at_ms != NEVER_EXPIRES and not is_deleted and is_new:
            heapq.heappush(self._expirations, (key_value.expires_at_ms, index_key))
        return True

    def _add_live_bytes(self, segment: int, size_bytes: int) -> None:
        self.live_bytes[segment] = self.live_bytes.get(segment, 0) + size_bytes

    def move(self, change: Change, segment: int, size_bytes: int) -> None:
        """Records that a change was rewritten into another segment, if it is still the latest of its key."""
        entry = self.entries.get((change.key_value.space, change.key_value.key))
        if entry is not None and entry.sequence == change.record.sequence:
            entry.segment, entry.size_bytes = segment, size_bytes
            self._add_live_bytes(segment, size_bytes)

    def get(self, space: str, key: str, now_ms: float) -> bytes | None:
        """Returns the value of a key; None if there is none, or if it has expired."""
        entry = self.entries.get((space, key))
        if entry is None or entry.is_deleted or entry.key_value.is_expired(now_ms):
            return None
        return entry.key_value.value

    def items(self, space: str, now_ms: float) -> dict[str, bytes]:
        """Returns all values of a space by key, without expired ones."""
        return {
            key: entry.key_value.value
            for (entry_space, key), entry in self.entries.items()
            if entry_space == space and not entry.is_deleted and not entry.key_value.is_expired(now_ms)
        }

    def value_entries(self) -> list[IndexEntry]:
        """Returns the entries with a value, including expired ones, in ascending order of sequence."""
        entries = [entry for entry in self.entries.values() if not entry.is_deleted]
        return sorted(entries, key=lambda entry: entry.sequence)

    def drop_expired(self, now_ms: float) -> int:
        """Removes expired entries, whose records are garbage from then on; returns how many.

        A deletion stays as long as an older segment may have a record of its key; `remove_deletions` removes
        it.
        """
        count = 0
        while self._expirations and self._expirations[0][0] <= now_ms:
            _, index_key = heapq.heappop(self._expirations)
            entry = self.entries.get(index_key)
            if entry is not None and not entry.is_deleted and entry.key_value.is_expired(now_ms):
                del self.entries[index_key]
                self._add_live_bytes(entry.segment, -entry.size_bytes)
                count += 1
        return count

    def live_changes(self, through_segment: int, now_ms: float) -> list[Change]:
        """Returns the changes that a compaction up to a segment rewrites, in ascending order of sequence.

        Deletions are left out: no older segment remains that could have a record of their key.
        """
        return [
            Change(
                Record(RecordKind.PUT, entry.sequence, 0, encode_key_value(entry.key_value)), entry.key_value
            )
            for entry in self.value_entries()
            if entry.segment <= through_segment and not entry.key_value.is_expired(now_ms)
        ]

    def remove_deletions(self, through_segment: int) -> None:
        """Removes the deletions in compacted segments: no older record of their keys is left."""
        obsolete_keys = [
            index_key
            for index_key, entry in self.entries.items()
            if entry.is_deleted and entry.segment <= through_segment
        ]
        for index_key in obsolete_keys:
            del self.entries[index_key]
