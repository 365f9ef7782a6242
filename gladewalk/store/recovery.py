"""Recovers a store from the bytes of its files, and salvages readable records of a damaged one. No I/O.

Sequence numbers have no gaps, and each plain segment's header has that of its first record. So if a segment
ends early or has a corrupt record, recovery can determine whether an acknowledged record is missing:

- No acknowledged record is missing if no later record has a durable sequence number within the corrupt part,
  and the next segment begins where the valid part ends. The corrupt bytes are from a torn write, or from a
  write that the disk rejected and that was repeated in another segment. They are dropped and listed.
- Otherwise an acknowledged record is lost, and recovery raises an error with the file and the offset.

A compacted segment replaces all segments up to its number, even if their files still exist.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass, field

from .errors import AcknowledgedLossError, SegmentHeaderError, StoreFileError
from .key_index import Change, KeyIndex, decode_key_value
from .record_format import Record, SegmentHeader, SegmentScan, decode_header, find_records_after, scan_segment

SEGMENT_FILE = re.compile(r"([0-9a-f]{16})(\.c)?\.seg\Z")


def segment_file_name(number: int, is_compacted: bool = False) -> str:
    """Returns a segment's file name; a compacted and a plain segment of one number have different names."""
    return f"{number:016x}{'.c' if is_compacted else ''}.seg"


@dataclass(slots=True)
class Segment:
    """A segment in use: its file, its valid bytes and the sequence number of its first record."""

    number: int
    file: str
    size_bytes: int
    first_sequence: int


@dataclass(slots=True, frozen=True)
class DroppedTail:
    """Bytes of a torn write, which was never acknowledged."""

    file: str
    offset: int
    size_bytes: int


@dataclass(slots=True)
class RecoveredStore:
    """The content of the files: all keys, the segments in use in ascending order, and obsolete files."""

    index: KeyIndex = field(default_factory=KeyIndex)
    segments: dict[int, Segment] = field(default_factory=dict)
    dropped: list[DroppedTail] = field(default_factory=list)
    obsolete_files: list[str] = field(default_factory=list)
    next_number: int = 1

    @property
    def newest(self) -> Segment | None:
        """The newest segment in use, which has to be synced before any further record is written."""
        return self.segments[max(self.segments)] if self.segments else None


@dataclass(slots=True, frozen=True, order=True)
class _SegmentFile:
    number: int
    is_compacted: bool
    name: str


def recover_store(files: Mapping[str, bytes]) -> RecoveredStore:
    """Recovers a store from the content of its files, which are given by name.

    Raises `AcknowledgedLossError` if an acknowledged record is lost, `SegmentHeaderError` or
    `UnsupportedFormatError` if a file can't be read.
    """
    recovered = RecoveredStore()
    segment_files = _select_files(files, recovered)
    sequence = 0
    for file in segment_files:
        scan = _scan(file, files[file.name], recovered)
        if scan is not None:
            sequence = _add_segment(recovered, file, scan, sequence)
    recovered.index.last_sequence = max(recovered.index.last_sequence, sequence)
    return recovered


def _select_files(files: Mapping[str, bytes], recovered: RecoveredStore) -> list[_SegmentFile]:
    """Returns the segments in use, in ascending order; lists all other files as obsolete."""
    segment_files: list[_SegmentFile] = []
    for name in sorted(files):
        match = SEGMENT_FILE.match(name)
        if match is None:
            recovered.obsolete_files.append(name)  # left by an interrupted compaction
        else:
            segment_files.append(_SegmentFile(int(match[1], 16), match[2] is not None, name))
    covered = max((file.number for file in segment_files if file.is_compacted), default=0)
    recovered.next_number = max((file.number for file in segment_files), default=0) + 1
    segments_in_use = []
    for file in sorted(segment_files):
        if file.number > covered or (file.number == covered and file.is_compacted):
            segments_in_use.append(file)
        else:
            recovered.obsolete_files.append(file.name)
    return segments_in_use


def _scan(file: _SegmentFile, data: bytes, recovered: RecoveredStore) -> SegmentScan | None:
    """Scans a segment; returns None and drops it if its creation was interrupted."""
    scan = None
    try:
        scan = scan_segment(data, file.name)
    except SegmentHeaderError:
        # A header is durable before any record is written: if there are records, the header was valid once.
        if file.is_compacted or any(find_records_after(data, -1)):
            raise
    if scan is None and file.is_compacted:
        raise AcknowledgedLossError(file.name, len(data), "ends within its header, but replaces others")
    if scan is None:  # the next segment's first sequence shows whether anything is missing
        recovered.dropped.append(DroppedTail(file.name, 0, len(data)))
        recovered.obsolete_files.append(file.name)
    return scan


def _add_segment(recovered: RecoveredStore, file: _SegmentFile, scan: SegmentScan, sequence: int) -> int:
    """Applies a segment's records after `sequence`; returns the highest sequence number so far."""
    header = scan.header
    _check_header(recovered, file, scan, sequence)
    offset = 0
    for record, end in scan.records:
        change = Change(record, decode_key_value(record, file.name, offset))
        recovered.index.apply(change, file.number, end - offset)
        sequence = max(sequence, record.sequence)
        offset = end
    if file.is_compacted:
        sequence = max(sequence, header.first_sequence - 1)
    if scan.durable_sequence_in_dropped > sequence:
        reason = f"a bad record that was acknowledged: {scan.durable_sequence_in_dropped} was on the disk"
        raise AcknowledgedLossError(file.name, scan.valid_bytes, reason)
    if scan.dropped_bytes:
        recovered.dropped.append(DroppedTail(file.name, scan.valid_bytes, scan.dropped_bytes))
    recovered.segments[file.number] = Segment(file.number, file.name, scan.valid_bytes, header.first_sequence)
    return sequence


def _check_header(recovered: RecoveredStore, file: _SegmentFile, scan: SegmentScan, sequence: int) -> None:
    """Raises an error if header and file name differ, or if records before or in the segment are missing."""
    header, previous = scan.header, recovered.newest
    if header.number != file.number or header.is_compacted != file.is_compacted:
        raise SegmentHeaderError(file.name, 0, f"its header says that it is segment {header.number}")
    if not file.is_compacted and header.first_sequence > sequence + 1:
        reason = f"records {sequence + 1} to {header.first_sequence - 1} were acknowledged and are missing"
        if previous is not None:
            raise AcknowledgedLossError(previous.file, previous.size_bytes, reason)
        raise AcknowledgedLossError(file.name, 0, reason)
    if file.is_compacted and (len(scan.records) != header.record_count or scan.dropped_bytes):
        reason = f"{header.record_count} records were written, {len(scan.records)} are left"
        raise AcknowledgedLossError(file.name, scan.valid_bytes, reason)


def describe_header(data: bytes, file: str) -> str:
    """Returns a segment's header as text for operators. Raises the errors of `decode_header`."""
    header = decode_header(data, file)
    if header is None:
        return "ends within its header"
    if not header.is_compacted:
        return f"segment {header.number}, from sequence {header.first_sequence}"
    return _describe_compacted(header)


def _describe_compacted(header: SegmentHeader) -> str:
    covered = f"up to sequence {header.first_sequence - 1}"
    return f"segment {header.number}, compacted, {header.record_count} records, {covered}"


@dataclass(slots=True)
class SalvagedRecords:
    """The readable records of a damaged store, and one line of text for each loss."""

    index: KeyIndex = field(default_factory=KeyIndex)
    record_count: int = 0
    losses: list[str] = field(default_factory=list)


def salvage_records(files: Mapping[str, bytes]) -> SalvagedRecords:
    """Reads every valid record, also after corrupt ones, and lists each loss.

    A key whose last record is lost gets an older value back; the operator has to decide whether that is
    acceptable.
    """
    salvaged = SalvagedRecords()
    for file in sorted(name for name in files if SEGMENT_FILE.match(name)):
        for record in _readable_records(files[file], file, salvaged.losses):
            try:
                change = Change(record, decode_key_value(record, file, 0))
            except StoreFileError as error:
                salvaged.losses.append(str(error))
                continue
            salvaged.index.apply(change, 0, 0)
            salvaged.record_count += 1
    return salvaged


def _readable_records(data: bytes, file: str, losses: list[str]) -> list[Record]:
    """Returns the valid records of one segment, also after corrupt ones; adds each loss to `losses`."""
    try:
        scan = scan_segment(data, file)
    except StoreFileError as error:
        losses.append(str(error))
        scan = None
    if scan is None:
        return list(find_records_after(data, 0))
    records = [located.record for located in scan.records]
    if scan.dropped_bytes:
        later_records = list(find_records_after(data, scan.valid_bytes))
        loss = f"{scan.dropped_bytes} bytes can't be read, {len(later_records)} whole records behind them"
        losses.append(f"{file}: at byte {scan.valid_bytes}: {loss}")
        records += later_records
    return records
