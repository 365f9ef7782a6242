"""Binary format of segment files: headers, records and the scan of a truncated or corrupt file. No I/O.

    header:  magic (8)  version (2)  flags (2)  number (8)  covers through (8)  first sequence (8)
             record count (8)  CRC32C (4)
    record:  marker (2)  kind (1)  payload length (4)  sequence (8)  durable sequence (8)  CRC32C (4)  payload

Sizes are in bytes, and all integers are little-endian. A CRC32C (RFC 3720, appendix B.4) covers everything
before it and, for a record, the payload. `durable sequence` is the highest sequence number that was known to
be durable when the record was written, and `first sequence` is that of a segment's first record. With these
two `recovery` distinguishes the loss of an acknowledged record from that of an unacknowledged one.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

import crc32c

from .errors import PayloadTooLargeError, SegmentHeaderError, UnsupportedFormatError

MAGIC = b"GLWSTORE"
FORMAT_VERSION = 1  # of new segments; an older segment keeps its version until a compaction rewrites it
READABLE_VERSIONS = frozenset((1,))
HEADER = struct.Struct("<8sHHQQQQI")
RECORD = struct.Struct("<2sBIQQI")
RECORD_MARKER = b"\xa7\x5c"
MAX_PAYLOAD_BYTES = 1024 * 1024
_HEADER_WITHOUT_CRC = struct.Struct("<8sHHQQQQ")
_RECORD_WITHOUT_CRC = struct.Struct("<2sBIQQ")
_CRC = struct.Struct("<I")
_VERSION_OFFSET = 8  # of the version in the header, after the magic


class RecordKind(IntEnum):
    """What a record does to its key; the numbers are part of the file format."""

    PUT = 1
    DELETE = 2


_STORED_KINDS = frozenset(kind.value for kind in RecordKind)


@dataclass(slots=True, frozen=True)
class SegmentHeader:
    """A segment's header.

    A compacted segment replaces all segments up to `covers_through` and has `record_count` records; its
    `first_sequence` is the sequence number after all records that it replaces. A plain segment has
    `covers_through` 0, and `first_sequence` is that of its first record.
    """

    number: int
    covers_through: int = 0
    first_sequence: int = 1
    record_count: int = 0

    @property
    def is_compacted(self) -> bool:
        """Whether the segment replaces older segments."""
        return self.covers_through != 0


class Record(NamedTuple):
    """One change of a key. `kind` is the stored integer of a `RecordKind`."""

    kind: int
    sequence: int
    durable_sequence: int
    payload: bytes


class LocatedRecord(NamedTuple):
    """A record and the offset in its file at which it ends."""

    record: Record
    end_offset: int


@dataclass(slots=True)
class SegmentScan:
    """The records of a segment up to the first one that can't be read."""

    header: SegmentHeader
    records: list[LocatedRecord]
    valid_bytes: int
    dropped_bytes: int  # all bytes after the valid ones
    durable_sequence_in_dropped: int  # the highest in valid records among the dropped bytes; 0 without any


def encode_header(header: SegmentHeader) -> bytes:
    """Encodes a header in the current format version."""
    body = _HEADER_WITHOUT_CRC.pack(
        MAGIC, FORMAT_VERSION, 0, header.number, header.covers_through, header.first_sequence,
        header.record_count,
    )  # fmt: skip
    return body + _CRC.pack(crc32c.crc32c(body))


def encode_record(record: Record) -> bytes:
    """Encodes a record. Raises `PayloadTooLargeError` if its payload exceeds `MAX_PAYLOAD_BYTES`."""
    if len(record.payload) > MAX_PAYLOAD_BYTES:
        raise PayloadTooLargeError(f"a payload of {len(record.payload)} bytes")
    body = _RECORD_WITHOUT_CRC.pack(
        RECORD_MARKER, record.kind, len(record.payload), record.sequence, record.durable_sequence
    )
    return body + _CRC.pack(crc32c.crc32c(record.payload, crc32c.crc32c(body))) + record.payload


def decode_header(data: bytes, file: str) -> SegmentHeader | None:
    """Decodes a segment's header; None if the file ends within it.

    Raises `SegmentHeaderError` if the header is corrupt, `UnsupportedFormatError` for an unknown version.
    """
    if len(data) < HEADER.size:
        if not MAGIC.startswith(data[: len(MAGIC)]):
            raise SegmentHeaderError(file, 0, "not a segment of a store")
        return None
    magic, version, _, number, covers_through, first_sequence, record_count, crc = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise SegmentHeaderError(file, 0, "not a segment of a store")
    if crc32c.crc32c(data[: _HEADER_WITHOUT_CRC.size]) != crc:
        raise SegmentHeaderError(file, 0, "its header is spoilt")
    if version not in READABLE_VERSIONS:
        readable = ", ".join(map(str, sorted(READABLE_VERSIONS)))
        reason = f"written in format {version}, this program reads {readable}"
        raise UnsupportedFormatError(file, _VERSION_OFFSET, reason)
    return SegmentHeader(number, covers_through, first_sequence, record_count)


def decode_record(data: bytes, offset: int) -> LocatedRecord | None:
    """Decodes the record at an offset; None if there is no complete and valid record."""
    if offset + RECORD.size > len(data):
        return None
    marker, kind, length, sequence, durable_sequence, crc = RECORD.unpack_from(data, offset)
    end = offset + RECORD.size + length
    if marker != RECORD_MARKER or kind not in _STORED_KINDS:
        return None
    if length > MAX_PAYLOAD_BYTES or end > len(data):
        return None
    payload = data[offset + RECORD.size : end]
    body_crc = crc32c.crc32c(data[offset : offset + _RECORD_WITHOUT_CRC.size])
    if crc32c.crc32c(payload, body_crc) != crc:
        return None
    return LocatedRecord(Record(kind, sequence, durable_sequence, payload), end)


def find_records_after(data: bytes, offset: int) -> Iterator[Record]:
    """Yields all valid records after a corrupt one, which are found by their marker."""
    marker_offset = data.find(RECORD_MARKER, offset + 1) if offset < len(data) else -1
    while marker_offset >= 0:
        found = decode_record(data, marker_offset)
        if found is None:
            marker_offset = data.find(RECORD_MARKER, marker_offset + 1)
        else:
            yield found.record
            marker_offset = data.find(RECORD_MARKER, found.end_offset)


def scan_segment(data: bytes, file: str) -> SegmentScan | None:
    """Reads a segment's records up to the first invalid one; None if the file ends within its header.

    Raises the errors of `decode_header`.
    """
    header = decode_header(data, file)
    if header is None:
        return None
    records: list[LocatedRecord] = []
    offset = HEADER.size
    while offset < len(data):
        located = decode_record(data, offset)
        if located is None:
            break
        records.append(located)
        offset = located.end_offset
    durable = max((record.durable_sequence for record in find_records_after(data, offset)), default=0)
    return SegmentScan(header, records, offset, len(data) - offset, durable)
