"""Status of members and their tasks, as sent over the control socket. The JSON keys are part of its protocol.

A field that has another JSON key than its name is listed in `rename`.
"""

from __future__ import annotations

import msgspec


class MemberStatus(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={
        "run_id": "run",
        "since_heard_ms": "heard_ms",
        "task_count": "duties",
        "health_score": "health",
        "is_stalled": "stalled",
        "probe_outcome": "knocked",
    },
):
    """One member, as one director knows it.

    Attributes:
        name: The member's name.
        address: `HOST:PORT` that it announces.
        state: `self`, `name taken`, or the member's state in the failure detector, in lower case.
        incarnation: Its latest incarnation number (Das et al., 2002).
        run_id: Identifies the run of its process.
        weight: Its share of the tasks, relative to the other members.
        since_heard_ms: Time since the last message from it was received; 0 for the director itself.
        task_count: Number of tasks that it owns, by the best known claims.
        health_score: Its local health score (Lifeguard); 0 is healthy.
        is_stalled: Its host accepts connections, but its process has stopped responding.
        probe_outcome: Outcome of the last confirmation probe of a suspected member; None without one.
    """

    name: str
    address: str
    state: str
    incarnation: int
    run_id: int
    weight: float
    since_heard_ms: float
    task_count: int
    health_score: int
    is_stalled: bool
    probe_outcome: str | None


class OwnedTaskStatus(msgspec.Struct, frozen=True, rename={"task": "duty", "due_in_ms": "due_ms"}):
    """A task that the director owns: type and target, epoch of its claim, and time until it is due in ms."""

    task: str
    epoch: int
    due_in_ms: float


class MembershipStatus(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={
        "director": "name",
        "is_active": "active",
        "health_score": "health",
        "interval_stretch": "stretch",
        "owned_tasks": "owned",
        "task_counts": "duties",
    },
):
    """One director's view of the members and of the tasks that are divided among them.

    Attributes:
        director: The name of this director.
        is_active: False if another director runs with its name; then it does not participate.
        health_score: Its own local health score.
        interval_stretch: Factor by which the rate limit extends the intervals of all tasks.
        members: Sorted by name, including the director itself.
        owned_tasks: Sorted by task.
        task_counts: Number of tasks by type.
        counters: The director's counters of membership and tasks, by name.
    """

    director: str
    is_active: bool
    health_score: int
    interval_stretch: float
    members: list[MemberStatus]
    owned_tasks: list[OwnedTaskStatus]
    task_counts: dict[str, int]
    counters: dict[str, int]
