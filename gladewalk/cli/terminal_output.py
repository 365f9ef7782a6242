"""Prints answers for people, as tables by rich; not imported by a running director.

The functions take an answer of the control socket, or a report, as the JSON object that `--json` shows.
"""

from __future__ import annotations

from typing import Any

from rich.console import Console
from rich.table import Table
from rich.text import Text

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
    """Renders a time span in ms, s or min, whichever is short."""
    if duration_ms < MAX_MS_SHOWN:
        return f"{max(0.0, duration_ms):.0f} ms"
    seconds = duration_ms / 1_000.0
    return f"{seconds:.1f} s" if seconds < MAX_SECONDS_SHOWN else f"{seconds / 60.0:.0f} min"


def print_members(answer: dict[str, Any]) -> None:
    """Prints the members, the tasks, and what is wrong with the director's own membership."""
    console = Console(highlight=False)
    console.print(_build_members_table(answer))
    tasks = ", ".join(f"{count} {kind}" for kind, count in answer["duties"].items()) or "none"
    owned, stretch = len(answer["owned"]), answer["stretch"]
    console.print(f"duties: {tasks}; held here: {owned}; intervals stretched {stretch:g} times")
    if answer["health"]:
        times = answer["health"] + 1
        console.print(f"it misses answers and doubts itself: its times are {times}-fold", style="yellow")
    if not answer["active"]:
        text = "another director runs under this name: this one takes no part"
        console.print(text, style="bold red")


def _build_members_table(answer: dict[str, Any]) -> Table:
    table = Table(title=f"members, as {answer['name']} sees them", title_justify="left")
    for name in ("member", "address", "state"):
        table.add_column(name)
    for name in ("incarnation", "doubts itself", "weight", "duties", "heard"):
        table.add_column(name, justify="right")
    for member in answer["members"]:
        state = "stalled" if member["stalled"] else member["state"]
        table.add_row(
            member["name"],
            member["address"],
            Text(state, MEMBER_STYLES.get(state, "")),
            str(member["incarnation"]),
            str(member["health"] or ""),
            f"{member['weight']:g}",
            str(member["duties"]),
            "" if member["state"] == "self" else format_duration(member["heard_ms"]),
        )
    return table


def print_leases(answer: dict[str, Any]) -> None:
    """Prints each lease with its token and the director's promise, and the operations that are open."""
    console = Console(highlight=False)
    console.print(_build_leases_table(answer))
    tasks = answer["works"]
    console.print(
        f"orders: {tasks['orders_open']} open, {tasks['orders_finished']} finished; "
        f"acts that wait for their sinks: {tasks['acts_waiting']}"
    )


def _build_leases_table(answer: dict[str, Any]) -> Table:
    table = Table(title=f"duties, as {answer['name']} sees them", title_justify="left")
    table.add_column("duty")
    for name in ("token held here", "left", "highest term"):
        table.add_column(name, justify="right")
    table.add_column("promised here to")
    no_promise = {"holder": "", "term": 0, "left_ms": 0.0}
    for name, lease in answer["holding"].items():
        token = lease["token"]
        table.add_row(
            name,
            Text(str(token), "bold green") if token else Text("-", "dim"),
            format_duration(lease["left_ms"]) if token else "",
            str(lease["highest"]),
            _describe_promise(answer["granting"].get(name, no_promise)),
        )
    return table


def _describe_promise(promise: dict[str, Any]) -> str:
    holder = f"{promise['holder'] or '-'}, term {promise['term']}"
    if not promise["left_ms"]:
        return f"{holder}, lapsed"
    return f"{holder}, {format_duration(promise['left_ms'])} left"


def print_store(answer: dict[str, Any]) -> None:
    """Prints the store's figures, and whether the disk takes no writes."""
    console = Console(highlight=False)
    table = Table(title="store", title_justify="left", show_header=False)
    table.add_column("what")
    table.add_column("figure", justify="right")
    for name, value in (
        ("acknowledged when", answer["policy"]),
        ("records written", answer["sequence"]),
        ("not durable yet", answer["sequence"] - answer["durable"]),
        ("keys", answer["keys"]),
        ("bytes on disk", answer["bytes"]),
        ("segments", answer["segments"]),
        ("compactions", answer["compactions"]),
        ("purges in force", len(answer["purges"])),
        ("feed kept up to event", answer["feed"] or "not kept"),
    ):
        table.add_row(name, str(value))
    console.print(table)
    if answer["refused_by_disk"]:
        text = "the disk refuses: nothing new outlives a restart until it has room"
        console.print(text, style="bold red")


def print_verdict(report: dict[str, Any]) -> None:
    """Prints the outcomes of a scenario by class, and the rules that it broke."""
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
