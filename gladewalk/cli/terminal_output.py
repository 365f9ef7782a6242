"""Prints the output of commands as tables, with rich; never imported by a running director."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from rich.console import Console
from rich.table import Table
from rich.text import Text

if TYPE_CHECKING:
    from ..duties.status import MembershipStatus
    from ..leases.status import PromiseStatus, ServiceStatus
    from ..store.status import StoreStatus

MEMBER_STYLES = {
    "alive": "green",
    "self": "bold green",
    "suspect": "yellow",
    "dead": "red",
    "left": "dim",
    "stalled": "bold yellow",
    "name taken": "bold red",
}
OUTCOMES = ("served", "late", "refused", "failed", "broken", "lost")
MAX_VIOLATIONS_SHOWN = 20
MAX_MS_SHOWN = 1_000.0
MAX_SECONDS_SHOWN = 100.0


def format_duration(duration_ms: float) -> str:
    """Formats a duration in ms, s or min, depending on its length."""
    if duration_ms < MAX_MS_SHOWN:
        return f"{max(0.0, duration_ms):.0f} ms"
    seconds = duration_ms / 1_000.0
    return f"{seconds:.1f} s" if seconds < MAX_SECONDS_SHOWN else f"{seconds / 60.0:.0f} min"


def print_members(status: MembershipStatus) -> None:
    """Prints the members, the tasks, and any fault of the director's own membership."""
    console = Console(highlight=False)
    console.print(_build_members_table(status))
    tasks = ", ".join(f"{count} {kind}" for kind, count in status.task_counts.items()) or "none"
    owned, stretch = len(status.owned_tasks), status.interval_stretch
    console.print(f"duties: {tasks}; held here: {owned}; intervals stretched {stretch:g} times")
    if status.health_score:
        factor = status.health_score + 1
        console.print(f"it misses answers and doubts itself: its times are {factor}-fold", style="yellow")
    if not status.is_active:
        text = "another director runs under this name: this one takes no part"
        console.print(text, style="bold red")


def _build_members_table(status: MembershipStatus) -> Table:
    table = Table(title=f"members, as {status.director} sees them", title_justify="left")
    for name in ("member", "address", "state"):
        table.add_column(name)
    for name in ("incarnation", "doubts itself", "weight", "duties", "heard"):
        table.add_column(name, justify="right")
    for member in status.members:
        state = "stalled" if member.is_stalled else member.state
        table.add_row(
            member.name,
            member.address,
            Text(state, MEMBER_STYLES.get(state, "")),
            str(member.incarnation),
            str(member.health_score or ""),
            f"{member.weight:g}",
            str(member.task_count),
            "" if member.state == "self" else format_duration(member.since_heard_ms),
        )
    return table


def print_leases(status: ServiceStatus) -> None:
    """Prints each lease with its token and the director's promise, and the numbers of open tasks."""
    console = Console(highlight=False)
    console.print(_build_leases_table(status))
    tasks = status.tasks
    console.print(
        f"orders: {tasks.open_purges} open, {tasks.completed_purges} finished; "
        f"acts that wait for their sinks: {tasks.pending_operations}"
    )


def _build_leases_table(status: ServiceStatus) -> Table:
    table = Table(title=f"duties, as {status.director} sees them", title_justify="left")
    table.add_column("duty")
    for name in ("token held here", "left", "highest term"):
        table.add_column(name, justify="right")
    table.add_column("promised here to")
    for task, lease in status.leases.items():
        table.add_row(
            task,
            Text(str(lease.token), "bold green") if lease.token else Text("-", "dim"),
            format_duration(lease.remaining_ms) if lease.token else "",
            str(lease.highest_term),
            _describe_promise(status.promises.get(task)),
        )
    return table


def _describe_promise(promise: PromiseStatus | None) -> str:
    if promise is None:
        return "-, term 0, lapsed"
    holder = f"{promise.holder or '-'}, term {promise.term}"
    if not promise.remaining_ms:
        return f"{holder}, lapsed"
    return f"{holder}, {format_duration(promise.remaining_ms)} left"


def print_store(status: StoreStatus) -> None:
    """Prints the store's metrics, and a warning if the disk rejects writes."""
    console = Console(highlight=False)
    table = Table(title="store", title_justify="left", show_header=False)
    table.add_column("what")
    table.add_column("figure", justify="right")
    for name, value in (
        ("acknowledged when", status.policy),
        ("records written", status.last_sequence),
        ("not durable yet", status.last_sequence - status.durable_sequence),
        ("keys", status.key_count),
        ("bytes on disk", status.size_bytes),
        ("segments", status.segment_count),
        ("compactions", status.compaction_count),
        ("purges in force", len(status.purges)),
        ("feed kept up to event", status.feed_index or "not kept"),
    ):
        table.add_row(name, str(value))
    console.print(table)
    if status.is_disk_failing:
        text = "the disk refuses: nothing new outlives a restart until it has room"
        console.print(text, style="bold red")


def print_verdict(report: dict[str, Any]) -> None:
    """Prints the outcomes of a scenario by class, and the rules that were violated."""
    console = Console(highlight=False)
    title = f"{report['virtual_s']:.0f} s in {report['wall_s']:g} s"
    table = Table(title=title, title_justify="left")
    table.add_column("class")
    for outcome in OUTCOMES:
        table.add_column(outcome, justify="right")
    for class_name, counts in report["outcomes"].items():
        table.add_row(class_name, *(str(counts.get(outcome, 0)) for outcome in OUTCOMES))
    console.print(table)
    console.print(f"trace {report['trace'][:16]} over {report['events']} events")
    if report["passed"]:
        console.print("no rule broken", style="bold green")
    else:
        console.print(_build_violations_table(report["broken"]))


def _build_violations_table(violations: list[dict[str, Any]]) -> Table:
    table = Table(title=f"{len(violations)} violations", title_justify="left")
    for name in ("rule", "request", "at", "why"):
        table.add_column(name)
    for violation in violations[:MAX_VIOLATIONS_SHOWN]:
        at_ms = f"{violation['at_ms']:.0f}"
        table.add_row(violation["rule"], violation["request"], at_ms, violation["why"])
    return table
