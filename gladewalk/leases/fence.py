"""Fencing of a resource: operations with a token below the highest accepted one are rejected.

Each resource keeps one `Fence` per process, and a record of every operation with the time it was performed
(the holder's wall clock) and received (the resource's own), for the history checker (`history.py`).
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class OperationRecord:
    """One operation as the resource received it."""

    task: str
    token: int
    holder: str
    performed_at_ms: float  # wall time at the holder
    received_at_ms: float  # wall time at the resource
    is_accepted: bool


class Fence:
    """Highest accepted token of each task, and the first `max_records` operations as they were received."""

    def __init__(self, max_records: int = 1_000_000) -> None:
        self.highest_tokens: dict[str, int] = {}
        self.records: list[OperationRecord] = []
        self.max_records = max_records
        self.rejected_count = 0

    def admit(
        self, task: str, token: int, holder: str, performed_at_ms: float, received_at_ms: float
    ) -> bool:
        """Records an operation and returns whether its token is accepted; rejections are counted."""
        is_accepted = token >= self.highest_tokens.get(task, 0)
        if is_accepted:
            self.highest_tokens[task] = token
        else:
            self.rejected_count += 1
        if len(self.records) < self.max_records:
            self.records.append(
                OperationRecord(task, token, holder, performed_at_ms, received_at_ms, is_accepted)
            )
        return is_accepted
