"""Commands `leases`, `hand-on` and `purge`: tasks that one director alone does at a time."""

from __future__ import annotations

import time
from typing import Any

import click

from ..control.queries import Query
from .common import DirectorQuery, ExitCode, exit_with, queries_director

POLL_INTERVAL_SECONDS = 0.05


@click.command("leases")
@queries_director
def leases_command(director: DirectorQuery) -> None:
    """Show which duties a running director holds under which token, and what its elector promised.

    \b
    Example:
      gladewalk leases --config deploy/gladewalk.toml
    """
    director.show(director.query(Query.LEASES), _print_leases)


def _print_leases(answer: dict[str, Any]) -> None:
    from .terminal_output import print_leases

    print_leases(answer)


@click.command("hand-on")
@click.argument("duty")
@click.option("--to", default="", metavar="NAME", help="Who may take it first; anybody if not given.")
@queries_director
def hand_on_command(director: DirectorQuery, duty: str, to: str) -> None:
    """Make a running director give up DUTY now, so that another takes it. Exit code 2: it does not hold it.

    \b
    Example:
      gladewalk hand-on purge --to n2 --config deploy/gladewalk.toml
    """
    answer = director.query(Query.HAND_ON, duty=duty, to=to)
    text = f"{duty}: given up at term {answer['term']}, to {to or 'anybody'}"
    director.show(answer, lambda _: click.echo(text))


@click.command("purge")
@click.argument("what")
@click.option("--wait-s", default=3.0, show_default=True, help="How long to wait for a majority to keep it.")
@queries_director
def purge_command(director: DirectorQuery, what: str, wait_s: float) -> None:
    """Order a purge of WHAT at every hub cache, forwarded by whichever director holds that duty.

    It is acknowledged once a majority of the directors keeps it: then it is forwarded whoever dies. Exit code
    1: no majority has said so in time; it is tried further, and may be lost with this director.

    \b
    Example:
      gladewalk purge o:7f3a9c21e0b4d655 --config deploy/gladewalk.toml
    """
    request_id = director.query(Query.PURGE, what=what)["id"]
    status = _await_acknowledgement(director, request_id, wait_s)
    director.show(status, lambda _: click.echo(_describe_purge(request_id, status)))
    exit_with(ExitCode.DONE if status["acknowledged"] else ExitCode.FINDING)


def _await_acknowledgement(
    director: DirectorQuery, request_id: str, timeout_seconds: float
) -> dict[str, Any]:
    """Polls until the purge is acknowledged or the time is up; returns its last status."""
    ends = time.monotonic() + timeout_seconds
    while True:
        status = director.query(Query.PURGE_STATUS, id=request_id)
        if status["acknowledged"] or time.monotonic() > ends:
            return status
        time.sleep(POLL_INTERVAL_SECONDS)


def _describe_purge(request_id: str, status: dict[str, Any]) -> str:
    if status["state"] == "finished":
        return f"{request_id}: every hub has taken it, under token {status['token']}"
    return f"{request_id}: kept by {', '.join(status['keepers']) or 'nobody'}, on its way to the hubs"
