"""What a schedule of faults accounts for: who may rightly find whom dead, and when. No I/O."""

from __future__ import annotations

from collections.abc import Sequence

from ..members.history import ExpectedFailure
from .schedule import Fault

SLACK_MS = 2_500.0  # after a fault's end: a suspicion that runs out just then, and the last words of it


def causes_of(
    faults: Sequence[Fault], names: tuple[str, ...], begun_ms: float, stall_ms: float
) -> list[ExpectedFailure]:
    """`begun_ms`: when the schedule's time 0 was. Loss, delay, doubling and faults on one link between two
    account for nothing, nor does a pause shorter than `stall_ms`."""
    everybody, causes = frozenset(names), []
    for fault in faults:
        who, begin = frozenset(fault.who), begun_ms + fault.at_ms
        others, end = everybody - who, begun_ms + fault.at_ms + fault.ms + SLACK_MS
        if fault.kind in ("kill", "stop"):
            causes.append(ExpectedFailure(begin, end, others, who))
        elif fault.kind == "pause" and fault.ms > stall_ms:
            causes.append(ExpectedFailure(begin + stall_ms, end, others, who))
        elif fault.kind in ("cut_out", "cut_in", "partition"):
            causes += [ExpectedFailure(begin, end, others, who), ExpectedFailure(begin, end, who, others)]
    return causes
