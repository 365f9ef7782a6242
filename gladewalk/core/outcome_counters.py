"""Counters of final answers, by class and outcome."""

from __future__ import annotations

from enum import StrEnum

OUTCOME_PREFIX = "downstream_requests."


class Outcome(StrEnum):
    """How a client's request ends; the values are part of the names of counters and metrics."""

    COMPLETED = "completed"
    REJECTED = "rejected"
    FAILED = "failed"


def outcome_counter(class_name: str, outcome: Outcome) -> str:
    """Returns the name of the counter of a class's requests that have this outcome."""
    return OUTCOME_PREFIX + class_name + "." + outcome  # runs for every request; formatting an Enum is slow
