"""What the command line prints for people: tables, by rich. Not imported by a director."""

from __future__ import annotations

from typing import Any

from rich.console import Console
from rich.table import Table
from rich.text import Text

STATES = {"alive": "green", "self": "bold green", "suspect": "yellow", "dead": "red", "left": "dim",
          "stalled": "bold yellow", "name taken": "bold red"}  # fmt: skip


def ago(ms: float) -> str:
    """A time before now, as short as it may be."""
    if ms < 1_000.0:
        return f"{max(0.0, ms):.0f} ms"
    return f"{ms / 1_000.0:.1f} s" if ms < 100_000.0 else f"{ms / 60_000.0:.0f} min"


def members_table(told: dict[str, Any]) -> None:
    console = Console(highlight=False)
    table = Table(title=f"members, as {told['name']} sees them", title_justify="left")
    for name in ("member", "address", "state"):
        table.add_column(name)
    for name in ("incarnation", "doubts itself", "weight", "duties", "heard"):
        table.add_column(name, justify="right")
    for row in told["members"]:
        state = "stalled" if row["stalled"] else row["state"]
        table.add_row(
            row["name"], row["address"], Text(state, STATES.get(state, "")),
            str(row["incarnation"]), str(row["health"] or ""), f"{row['weight']:g}", str(row["duties"]),
            "" if row["state"] == "self" else ago(row["heard_ms"]),
        )  # fmt: skip
    console.print(table)
    kinds = ", ".join(f"{count} {kind}" for kind, count in told["duties"].items()) or "none"
    held = len(told["owned"])
    console.print(f"duties: {kinds}; held here: {held}; intervals stretched {told['stretch']:g} times")
    if told["health"]:
        times = told["health"] + 1
        console.print(f"it misses answers and doubts itself: its times are {times}-fold", style="yellow")
    if not told["active"]:
        console.print("another director runs under this name: this one takes no part", style="bold red")


def leases_table(told: dict[str, Any]) -> None:
    console = Console(highlight=False)
    table = Table(title=f"duties, as {told['name']} sees them", title_justify="left")
    table.add_column("duty")
    for name in ("token held here", "left", "highest term"):
        table.add_column(name, justify="right")
    table.add_column("promised here to")
    for duty, held in told["holding"].items():
        granted = told["granting"].get(duty, {"holder": "", "term": 0, "left_ms": 0.0})
        whose = f"{granted['holder'] or '-'}, term {granted['term']}"
        table.add_row(
            duty, Text(str(held["token"]), "bold green") if held["token"] else Text("-", "dim"),
            ago(held["left_ms"]) if held["token"] else "", str(held["highest"]),
            f"{whose}, {ago(granted['left_ms'])} left" if granted["left_ms"] else f"{whose}, lapsed",
        )  # fmt: skip
    console.print(table)
    works = told["works"]
    console.print(
        f"orders: {works['orders_open']} open, {works['orders_finished']} finished; "
        f"acts that wait for their sinks: {works['acts_waiting']}"
    )


def store_table(told: dict[str, Any]) -> None:
    console = Console(highlight=False)
    table = Table(title="store", title_justify="left", show_header=False)
    table.add_column("what")
    table.add_column("figure", justify="right")
    behind = told["sequence"] - told["durable"]
    for what, figure in (
        ("acknowledged when", told["policy"]),
        ("records written", str(told["sequence"])),
        ("not durable yet", str(behind)),
        ("keys", str(told["keys"])),
        ("bytes on disk", str(told["bytes"])),
        ("segments", str(told["segments"])),
        ("compactions", str(told["compactions"])),
        ("purges in force", str(len(told["purges"]))),
        ("feed kept up to event", str(told["feed"]) if told["feed"] else "not kept"),
    ):
        table.add_row(what, figure)
    console.print(table)
    if told["refused_by_disk"]:
        console.print("the disk refuses: nothing new outlives a restart until it has room", style="bold red")


def verdict_table(told: dict[str, Any]) -> None:
    console = Console(highlight=False)
    kinds = ("served", "late", "refused", "failed", "broken", "lost")
    table = Table(title=f"{told['virtual_s']:.0f} s in {told['wall_s']:g} s", title_justify="left")
    table.add_column("class")
    for kind in kinds:
        table.add_column(kind, justify="right")
    for cls, ends in told["outcomes"].items():
        table.add_row(cls, *(str(ends.get(kind, 0)) for kind in kinds))
    console.print(table)
    console.print(f"trace {told['trace'][:16]} over {told['events']} events")
    if told["passed"]:
        console.print("no rule broken", style="bold green")
        return
    broken = Table(title=f"{len(told['broken'])} violations", title_justify="left")
    for name in ("rule", "request", "at", "why"):
        broken.add_column(name)
    for one in told["broken"][:20]:
        broken.add_row(one["rule"], one["request"], f"{one['at_ms']:.0f}", one["why"])
    console.print(broken)
