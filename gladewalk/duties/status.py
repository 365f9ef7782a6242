"""Members and their tasks as the control socket shows them; the JSON keys are part of its protocol."""

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
        state: `self`, `name taken`, or the state that the failure detector holds, in lower case.
        incarnation: Its latest incarnation number (Das et al., 2002).
        run_id: Tells one run of its process from another.
        weight: Its part of the tasks, relative to the other members.
        since_heard_ms: Time since it was last heard of; 0 for the director itself.
        task_count: Tasks that it owns, by the best claims known.
        health_score: Its local health score (Lifeguard); 0 is healthy.
        is_stalled: It was heard of, but for a long time does nothing.
        probe_outcome: How the confirmation probe of a suspected member ended; None without one.
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
    """A task that the director owns: its type and target, the epoch of its claim, and when it is next due."""

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
    """All that one director knows of the members and of the tasks divided among them.

    Attributes:
        director: The director that answers.
        is_active: False if another director runs under its name: it then takes no part.
        health_score: Its own local health score.
        interval_stretch: Factor on the tasks' intervals that the rate limit takes.
        members: Sorted by name, the director itself among them.
        owned_tasks: Sorted by task.
        task_counts: Number of tasks by type.
        counters: The director's counters of membership and tasks.
    """

    director: str
    is_active: bool
    health_score: int
    interval_stretch: float
    members: list[MemberStatus]
    owned_tasks: list[OwnedTaskStatus]
    task_counts: dict[str, int]
    counters: dict[str, int]
