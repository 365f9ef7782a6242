"""Derives from a fault schedule which members may be declared dead, by whom and when. No I/O."""

from __future__ import annotations

from collections.abc import Sequence

from ..members.history import ExpectedFailure
from .schedule import Fault, FaultKind

SLACK_MS = 2_500.0  # at a fault's end a suspicion may expire, and its gossip is received later


def expected_failures(
    faults: Sequence[Fault], names: tuple[str, ...], started_at_ms: float, max_stall_ms: float
) -> list[ExpectedFailure]:
    """Returns the failures that a schedule may cause.

    Loss, delay, duplication and faults on one link may cause none, and a pause of at most `max_stall_ms` may
    not either.

    Args:
        faults: The schedule.
        names: All members of the fleet.
        started_at_ms: When the schedule began, on the clock of the observations.
        max_stall_ms: How long a member may be unresponsive without being declared dead.
    """
    expected: list[ExpectedFailure] = []
    for fault in faults:
        targets = frozenset(fault.targets)
        others = frozenset(names) - targets
        begin_ms = started_at_ms + fault.at_ms
        end_ms = begin_ms + fault.duration_ms + SLACK_MS
        match fault.kind:
            case FaultKind.KILL | FaultKind.STOP:
                expected.append(ExpectedFailure(begin_ms, end_ms, others, targets))
            case FaultKind.PAUSE if fault.duration_ms > max_stall_ms:
                expected.append(ExpectedFailure(begin_ms + max_stall_ms, end_ms, others, targets))
            case FaultKind.CUT_OUT | FaultKind.CUT_IN | FaultKind.PARTITION:
                expected.append(ExpectedFailure(begin_ms, end_ms, others, targets))
                expected.append(ExpectedFailure(begin_ms, end_ms, targets, others))
    return expected
