"""What a store's files hold, decided from their bytes alone. No I/O.

Sequences run without a gap, and each plain segment says at which its records begin. So of a segment that ends
early, or has a bad record in it, it is known whether anything that was acknowledged is missing:

- Nothing behind the spot knows a record there as durable, and the next segment goes on where the good part
  ends: what is lost was never acknowledged (a write that was cut, or one that the disk refused and that was
  written again elsewhere). It is dropped and told.
- Otherwise an acknowledged record is gone. That is never passed over: `Fault` names the file and the offset.

A compacted segment takes the place of all up to its number, whether these are still there or not.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass, field

from .key_index import State, unpack
from .record_format import BadHead, Fault, Scanned, read_head, records_behind, scan

NAME = re.compile(r"([0-9a-f]{16})(\.c)?\.seg\Z")


def name_of(number: int, compacted: bool = False) -> str:
    return f"{number:016x}{'.c' if compacted else ''}.seg"


@dataclass(slots=True)
class Recovered:
    """`state` with all that counts; `last` is the newest file, to be synced before anything builds on it."""

    state: State = field(default_factory=State)
    sizes: dict[int, int] = field(default_factory=dict)  # of each segment that counts
    names: dict[int, str] = field(default_factory=dict)
    firsts: dict[int, int] = field(default_factory=dict)  # the sequence that each begins at
    dropped: list[tuple[str, int, int]] = field(
        default_factory=list
    )  # file, offset, bytes never acknowledged
    useless: list[str] = field(default_factory=list)  # files that can go
    last: tuple[str, int] | None = None  # the newest file that counts, and its good bytes
    next_number: int = 1


def recover(files: Mapping[str, bytes]) -> Recovered:
    """`Fault` if anything that was acknowledged can't be read, or a file is of another format."""
    found = Recovered()
    numbers: dict[tuple[int, bool], str] = {}
    for name in sorted(files):
        match = NAME.match(name)
        if match is None:
            found.useless.append(name)  # a compaction that was not finished
        else:
            numbers[int(match[1], 16), match[2] is not None] = name
    covered = max((number for number, compacted in numbers if compacted), default=0)
    found.next_number = max((number for number, _ in numbers), default=0) + 1
    counting = []
    for (number, compacted), name in sorted(numbers.items()):
        if number > covered or (number == covered and compacted):
            counting.append((number, compacted, name))
        else:
            found.useless.append(name)
    sequence, before = 0, ("", 0)
    for number, compacted, name in counting:
        scanned = None
        try:
            scanned = scan(files[name], name)
        except BadHead:
            # A header is durable before any record is written behind it: with one there, it was good once.
            if compacted or any(records_behind(files[name], -1)):
                raise
        if scanned is None and compacted:
            raise Fault(name, len(files[name]), "ends within its header, and stands for others")
        if scanned is None:  # it was being created; the next one shows whether anything is missing
            found.dropped.append((name, 0, len(files[name])))
            found.useless.append(name)
            continue
        sequence = _take(found, number, compacted, name, scanned, sequence, before)
        before = (name, scanned.good)
        found.last = before
    found.state.sequence = max(found.state.sequence, sequence)
    return found


def _take(
    found: Recovered, number: int, compacted: bool, name: str, scanned: Scanned, sequence: int,
    before: tuple[str, int],
) -> int:  # fmt: skip
    head = scanned.head
    if head.number != number or bool(head.covers) != compacted:
        raise Fault(name, 0, f"its header says that it is segment {head.number}")
    if not compacted and head.first > sequence + 1:
        where = before if before[0] else (name, 0)
        raise Fault(*where, f"records {sequence + 1} to {head.first - 1} were acknowledged and are missing")
    if compacted and (len(scanned.records) != head.count or scanned.dropped):
        raise Fault(name, scanned.good, f"{head.count} records were written, {len(scanned.records)} are left")
    offset = 0
    for record, end in scanned.records:
        found.state.apply(record, unpack(record, name, offset), number, end - offset)
        sequence = max(sequence, record.sequence)
        offset = end
    if compacted:
        sequence = max(sequence, head.first - 1)
    if scanned.known_behind > sequence:
        why = f"a bad record that was acknowledged: {scanned.known_behind} was on the disk"
        raise Fault(name, scanned.good, why)
    if scanned.dropped:
        found.dropped.append((name, scanned.good, scanned.dropped))
    found.sizes[number], found.names[number], found.firsts[number] = scanned.good, name, head.first
    return sequence


def read_only_head(data: bytes, name: str) -> str:
    """For a look at a file: what its header says, in words."""
    head = read_head(data, name)
    if head is None:
        return "ends within its header"
    if head.covers:
        return f"segment {head.number}, compacted, {head.count} records, up to sequence {head.first - 1}"
    return f"segment {head.number}, from sequence {head.first}"


@dataclass(slots=True)
class Salvaged:
    """All that can still be read of a damaged store, and where something can't."""

    state: State = field(default_factory=State)
    records: int = 0
    losses: list[str] = field(default_factory=list)  # `file: at byte N: why`


def salvage(files: Mapping[str, bytes]) -> Salvaged:
    """Every record that is whole, wherever it lies; what was lost is named and never guessed at.

    An old value may come back where the record that replaced it is gone: whether that will do is for an
    operator to say, not for a program.
    """
    found = Salvaged()
    for name in sorted(name for name in files if NAME.match(name)):
        data = files[name]
        try:
            scanned = scan(data, name)
        except Fault as fault:
            found.losses.append(str(fault))
            scanned = None
        records = [record for record, _ in scanned.records] if scanned is not None else []
        good = scanned.good if scanned is not None else 0
        behind = list(records_behind(data, good)) if scanned is None or scanned.dropped else []
        if scanned is not None and scanned.dropped:
            rest = f"{scanned.dropped} bytes can't be read, {len(behind)} whole records behind them"
            found.losses.append(f"{name}: at byte {good}: {rest}")
        for record in (*records, *behind):
            try:
                item = unpack(record, name, 0)
            except Fault as fault:
                found.losses.append(str(fault))
                continue
            found.state.apply(record, item, 0, 0)
            found.records += 1
    return found
