"""Status of leases at the control socket; the JSON keys are part of the control protocol."""

from __future__ import annotations

from enum import Enum

import msgspec


class PurgeState(Enum):
    """Progress of a purge request."""

    OPEN = "open"
    COMPLETED = "finished"
    UNKNOWN = "unknown"


class PurgeStatus(
    msgspec.Struct,
    frozen=True,
    rename={"request_id": "id", "replicas": "keepers", "is_acknowledged": "acknowledged"},
):
    """One purge request, as one director knows it."""

    request_id: str
    state: PurgeState
    replicas: list[str]  # sorted; empty once it is completed
    token: int  # under which it was completed, 0 if it is not
    is_acknowledged: bool


class PromiseStatus(msgspec.Struct, frozen=True, rename={"remaining_ms": "left_ms"}):
    """A voter's last promise of one task's lease."""

    term: int
    holder: str
    remaining_ms: float  # 0 if it has ended


class LeaseStatus(
    msgspec.Struct,
    frozen=True,
    rename={"remaining_ms": "left_ms", "highest_term": "highest", "in_state_ms": "for_ms"},
):
    """One task's lease at a candidate or holder."""

    token: int  # 0 if it is not held
    remaining_ms: float
    highest_term: int  # seen in any message
    in_state_ms: float  # since the lease was won or lost


class HolderTasksStatus(
    msgspec.Struct,
    frozen=True,
    rename={
        "open_purges": "orders_open",
        "completed_purges": "orders_finished",
        "pending_operations": "acts_waiting",
    },
):
    """Counts of purge requests and fenced operations."""

    open_purges: int
    completed_purges: int
    pending_operations: int


class ServiceStatus(
    msgspec.Struct,
    frozen=True,
    rename={"director": "name", "leases": "holding", "promises": "granting", "tasks": "works"},
):
    """All leases of one director, by task."""

    director: str
    leases: dict[str, LeaseStatus]
    promises: dict[str, PromiseStatus]
    tasks: HolderTasksStatus


class HandOnResult(msgspec.Struct, frozen=True, rename={"task": "duty", "successor": "to"}):
    """A lease that its holder released."""

    task: str
    term: int  # under which it was held
    successor: str  # empty: any director


class PurgeReceipt(msgspec.Struct, frozen=True, rename={"request_id": "id"}):
    """A purge that was accepted; its status is queried by the id."""

    request_id: str
