"""Recovers a store from the bytes of its files, and salvages what it can of a damaged one. No I/O.

Sequences run without a gap, and each plain segment names the one at which its records begin. So of a segment
that ends early or holds a corrupt record it is known whether anything acknowledged is missing:

- If no record behind the corruption names a sequence there as durable, and the next segment begins where the
  valid part ends, the loss was never acknowledged: a torn write, or one that the disk rejected and that was
  written again elsewhere. It is dropped and listed.
- Otherwise an acknowledged record is lost, and recovery raises the file and the offset.

A compacted segment replaces all segments up to its number, whether their files are still there or not.
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
    """The file name of a segment; a compacted one never has the name of a plain one that it replaces."""
    return f"{number:016x}{'.c' if is_compacted else ''}.seg"


@dataclass(slots=True)
class Segment:
    """A segment in force: its file, its valid bytes and the sequence at which its records begin."""

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
    """What the files hold: all keys, the segments in force in ascending order, and what may be removed."""

    index: KeyIndex = field(default_factory=KeyIndex)
    segments: dict[int, Segment] = field(default_factory=dict)
    dropped: list[DroppedTail] = field(default_factory=list)
    obsolete_files: list[str] = field(default_factory=list)
    next_number: int = 1

    @property
    def newest(self) -> Segment | None:
        """The newest segment in force, which has to be synced before anything builds on it."""
        return self.segments[max(self.segments)] if self.segments else None


@dataclass(slots=True, frozen=True, order=True)
class _SegmentFile:
    number: int
    is_compacted: bool
    name: str


def recover_store(files: Mapping[str, bytes]) -> RecoveredStore:
    """Recovers a store from its files' bytes by name.

    Raises `AcknowledgedLossError` if an acknowledged record is lost, `SegmentHeaderError` or
    `UnsupportedFormatError` if a file can't be read at all.
    """
    found = RecoveredStore()
    segment_files = _select_files(files, found)
    sequence = 0
    for file in segment_files:
        scan = _scan(file, files[file.name], found)
        if scan is not None:
            sequence = _add_segment(found, file, scan, sequence)
    found.index.last_sequence = max(found.index.last_sequence, sequence)
    return found


def _select_files(files: Mapping[str, bytes], found: RecoveredStore) -> list[_SegmentFile]:
    """The segments in force, in ascending order; all other files are listed as obsolete."""
    segment_files: list[_SegmentFile] = []
    for name in sorted(files):
        match = SEGMENT_FILE.match(name)
        if match is None:
            found.obsolete_files.append(name)  # a compaction that was interrupted
        else:
            segment_files.append(_SegmentFile(int(match[1], 16), match[2] is not None, name))
    covered = max((file.number for file in segment_files if file.is_compacted), default=0)
    found.next_number = max((file.number for file in segment_files), default=0) + 1
    in_force = []
    for file in sorted(segment_files):
        if file.number > covered or (file.number == covered and file.is_compacted):
            in_force.append(file)
        else:
            found.obsolete_files.append(file.name)
    return in_force


def _scan(file: _SegmentFile, data: bytes, found: RecoveredStore) -> SegmentScan | None:
    """Scans a segment; None, and dropped, if its creation was interrupted."""
    scan = None
    try:
        scan = scan_segment(data, file.name)
    except SegmentHeaderError:
        # A header is durable before any record is written behind it: with one there, it was valid once.
        if file.is_compacted or any(find_records_after(data, -1)):
            raise
    if scan is None and file.is_compacted:
        raise AcknowledgedLossError(file.name, len(data), "ends within its header, and stands for others")
    if scan is None:  # the next segment's first sequence shows whether anything is missing
        found.dropped.append(DroppedTail(file.name, 0, len(data)))
        found.obsolete_files.append(file.name)
    return scan


def _add_segment(found: RecoveredStore, file: _SegmentFile, scan: SegmentScan, sequence: int) -> int:
    """Applies a segment's records behind those up to `sequence`; returns the highest sequence known now."""
    header = scan.header
    _check_header(found, file, scan, sequence)
    offset = 0
    for record, end in scan.records:
        change = Change(record, decode_key_value(record, file.name, offset))
        found.index.apply(change, file.number, end - offset)
        sequence = max(sequence, record.sequence)
        offset = end
    if file.is_compacted:
        sequence = max(sequence, header.first_sequence - 1)
    if scan.durable_sequence_in_dropped > sequence:
        reason = f"a bad record that was acknowledged: {scan.durable_sequence_in_dropped} was on the disk"
        raise AcknowledgedLossError(file.name, scan.valid_bytes, reason)
    if scan.dropped_bytes:
        found.dropped.append(DroppedTail(file.name, scan.valid_bytes, scan.dropped_bytes))
    found.segments[file.number] = Segment(file.number, file.name, scan.valid_bytes, header.first_sequence)
    return sequence


def _check_header(found: RecoveredStore, file: _SegmentFile, scan: SegmentScan, sequence: int) -> None:
    """Raises if the segment isn't the one that its name says, or if records before or in it are missing."""
    header, previous = scan.header, found.newest
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
    """A segment's header as text for operators. Raises what `decode_header` does."""
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
    """All that can still be read of a damaged store, and one line for each place where something can't."""

    index: KeyIndex = field(default_factory=KeyIndex)
    record_count: int = 0
    losses: list[str] = field(default_factory=list)


def salvage_records(files: Mapping[str, bytes]) -> SalvagedRecords:
    """Reads every valid record, wherever it lies, and lists each loss.

    A key whose last record is lost gets its older value back; whether that is acceptable is for an operator
    to decide.
    """
    found = SalvagedRecords()
    for file in sorted(name for name in files if SEGMENT_FILE.match(name)):
        for record in _readable_records(files[file], file, found.losses):
            try:
                change = Change(record, decode_key_value(record, file, 0))
            except StoreFileError as error:
                found.losses.append(str(error))
                continue
            found.index.apply(change, 0, 0)
            found.record_count += 1
    return found


def _readable_records(data: bytes, file: str, losses: list[str]) -> list[Record]:
    """The valid records of one segment, also behind corrupt ones; adds what is lost to `losses`."""
    try:
        scan = scan_segment(data, file)
    except StoreFileError as error:
        losses.append(str(error))
        scan = None
    if scan is None:
        return list(find_records_after(data, 0))
    records = [located.record for located in scan.records]
    if scan.dropped_bytes:
        behind = list(find_records_after(data, scan.valid_bytes))
        rest = f"{scan.dropped_bytes} bytes can't be read, {len(behind)} whole records behind them"
        losses.append(f"{file}: at byte {scan.valid_bytes}: {rest}")
        records += behind
    return records
