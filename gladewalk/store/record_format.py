"""How records lie in a segment, and what can be read of one that was cut or spoilt. No I/O.

    segment:  magic (8)  version (2)  flags (2)  number (8)  covers (8)  first (8)  count (8)  CRC32C (4)
    record:   mark (2)  kind (1)  length (4)  sequence (8)  durable (8)  CRC32C (4)  payload

All little-endian. A CRC is over all that stands before it and, for a record, the payload. `durable` is the
highest sequence that was known to be on the disk when the record was written, `first` the sequence that a
segment's records begin at: by these `recovery` tells what was acknowledged and lost from what never was.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass

import crc32c

MAGIC = b"GLWSTORE"
VERSION = 1  # written; each segment has its own, so that a store turns into the next by compaction
READS = frozenset((1,))  # a later program goes on reading these, and their records by these rules
HEADER = struct.Struct("<8sHHQQQQI")
HEADER_BODY = struct.Struct("<8sHHQQQQ")
RECORD = struct.Struct("<2sBIQQI")
BODY = struct.Struct("<2sBIQQ")
MARK = b"\xa7\x5c"
PAYLOAD_MOST = 1024 * 1024  # bytes
PUT, DELETE = 1, 2
KINDS = (PUT, DELETE)


class Fault(Exception):
    """The store's own error: a file that can't be believed, with its name and offset."""

    def __init__(self, file: str, offset: int, why: str) -> None:
        super().__init__(f"{file}: at byte {offset}: {why}")
        self.file, self.offset, self.why = file, offset, why


class BadHead(Fault):
    """A header that is none: of a segment that was just being created, or of one that has rotted."""


@dataclass(slots=True, frozen=True)
class Head:
    """A segment's header.

    `covers`: compacted, it stands for all segments up to this number, with `count` records, and `first` is
    the sequence behind all that it stands for. 0: a plain one, whose records begin at `first`.
    """

    number: int
    covers: int = 0
    first: int = 1
    count: int = 0


@dataclass(slots=True, frozen=True)
class Record:
    kind: int
    sequence: int
    durable: int
    payload: bytes


@dataclass(slots=True)
class Scanned:
    """What a segment holds: records with the offsets behind them, and where its good part ends."""

    head: Head
    records: list[tuple[Record, int]]
    good: int  # bytes that can be read
    dropped: int  # bytes behind them
    known_behind: int  # the highest `durable` of good records somewhere in these; 0: there are none


def write_head(head: Head) -> bytes:
    body = HEADER_BODY.pack(MAGIC, VERSION, 0, head.number, head.covers, head.first, head.count)
    return body + struct.pack("<I", crc32c.crc32c(body))


def write_record(record: Record) -> bytes:
    if len(record.payload) > PAYLOAD_MOST:
        raise ValueError(f"a payload of {len(record.payload)} bytes")
    body = BODY.pack(MARK, record.kind, len(record.payload), record.sequence, record.durable)
    return body + struct.pack("<I", crc32c.crc32c(record.payload, crc32c.crc32c(body))) + record.payload


def read_head(data: bytes, file: str) -> Head | None:
    """A segment's header; None where the file ends within it. `Fault` for another version, or for rot."""
    if len(data) < HEADER.size:
        if not MAGIC.startswith(data[: len(MAGIC)]):
            raise BadHead(file, 0, "no segment of a store")
        return None
    magic, version, _, number, covers, first, count, crc = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise BadHead(file, 0, "no segment of a store")
    if crc32c.crc32c(data[: HEADER.size - 4]) != crc:
        raise BadHead(file, 0, "its header is spoilt")
    if version not in READS:
        reads = ", ".join(map(str, sorted(READS)))
        raise Fault(file, 8, f"written in format {version}, this program reads {reads}")
    return Head(number, covers, first, count)


def read_record(data: bytes, offset: int) -> tuple[Record, int] | None:
    """The record at an offset and the offset behind it; None where there is no whole, good one."""
    if offset + RECORD.size > len(data):
        return None
    mark, kind, length, sequence, durable, crc = RECORD.unpack_from(data, offset)
    end = offset + RECORD.size + length
    if mark != MARK or kind not in KINDS or length > PAYLOAD_MOST or end > len(data):
        return None
    payload = data[offset + RECORD.size : end]
    if crc32c.crc32c(payload, crc32c.crc32c(data[offset : offset + BODY.size])) != crc:
        return None
    return Record(kind, sequence, durable, payload), end


def records_behind(data: bytes, offset: int) -> Iterator[Record]:
    """Whatever good records lie somewhere behind a bad one: sought by their mark."""
    place = data.find(MARK, offset + 1) if offset < len(data) else -1
    while place >= 0:
        found = read_record(data, place)
        if found is None:
            place = data.find(MARK, place + 1)
        else:
            yield found[0]
            place = data.find(MARK, found[1])


def scan(data: bytes, file: str) -> Scanned | None:
    """A segment's records in order, up to the first that can't be read; None: it ends within its header."""
    head = read_head(data, file)
    if head is None:
        return None
    found: list[tuple[Record, int]] = []
    offset = HEADER.size
    while offset < len(data):
        next_one = read_record(data, offset)
        if next_one is None:
            break
        found.append(next_one)
        offset = next_one[1]
    known = max((record.durable for record in records_behind(data, offset)), default=0)
    return Scanned(head, found, offset, len(data) - offset, known)
