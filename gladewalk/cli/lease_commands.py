"""Commands `leases`, `hand-on` and `purge`: tasks that only one director performs at a time."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import click

from ..control.queries import Query
from .common import DirectorQuery, ExitCode, decode, examples, exit_with, queries_director

if TYPE_CHECKING:
    from ..leases.status import PurgeStatus

POLL_INTERVAL_SECONDS = 0.05


@click.command("leases")
@queries_director
@examples("gladewalk leases --config deploy/gladewalk.toml")
def leases_command(director: DirectorQuery) -> None:
    """Show the leases of a running director with their tokens, and the promises of its voter."""
    director.show(director.query(Query.LEASES), _print_leases)


def _print_leases(data: dict[str, Any]) -> None:
    from ..leases.status import ServiceStatus
    from .terminal_output import print_leases

    print_leases(decode(data, ServiceStatus))


@click.command("hand-on")
@click.argument("duty")
@click.option("--to", default="", metavar="NAME", help="The preferred successor; any director by default.")
@queries_director
@examples("gladewalk hand-on purge --to n2 --config deploy/gladewalk.toml")
def hand_on_command(director: DirectorQuery, duty: str, to: str) -> None:
    """Make a running director release the lease of DUTY, so that another acquires it.

    Exit code 2: it does not hold the lease.
    """
    data = director.query(Query.HAND_ON, duty=duty, to=to)
    text = f"{duty}: given up at term {data['term']}, to {to or 'anybody'}"
    director.show(data, lambda _: click.echo(text))


@click.command("purge")
@click.argument("what")
@click.option("--wait-s", default=3.0, show_default=True, help="How long to wait for a majority to store it.")
@queries_director
@examples("gladewalk purge o:7f3a9c21e0b4d655 --config deploy/gladewalk.toml")
def purge_command(director: DirectorQuery, what: str, wait_s: float) -> None:
    """Request a purge of WHAT at every hub cache, forwarded by the director that holds the purge lease.

    It is acknowledged once a majority of the directors has stored it: then it is forwarded even if some fail.
    Exit code 1: no majority has stored it in time; it is retried, and may be lost with this director.
    """
    request_id = director.query(Query.PURGE, what=what)["id"]
    data, status = _await_acknowledgement(director, request_id, wait_s)
    director.show(data, lambda _: click.echo(_describe_purge(status)))
    exit_with(ExitCode.DONE if status.is_acknowledged else ExitCode.FINDING)


def _await_acknowledgement(
    director: DirectorQuery, request_id: str, timeout_seconds: float
) -> tuple[dict[str, Any], PurgeStatus]:
    """Polls until the purge is acknowledged or a timeout; returns the last response's data and status."""
    from ..leases.status import PurgeStatus

    deadline = time.monotonic() + timeout_seconds
    while True:
        data = director.query(Query.PURGE_STATUS, id=request_id)
        status = decode(data, PurgeStatus)
        if status.is_acknowledged or time.monotonic() > deadline:
            return data, status
        time.sleep(POLL_INTERVAL_SECONDS)


def _describe_purge(status: PurgeStatus) -> str:
    from ..leases.status import PurgeState

    if status.state is PurgeState.COMPLETED:
        return f"{status.request_id}: every hub has taken it, under token {status.token}"
    replicas = ", ".join(status.replicas) or "nobody"
    return f"{status.request_id}: kept by {replicas}, on its way to the hubs"
