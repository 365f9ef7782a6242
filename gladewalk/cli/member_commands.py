"""Command `members`: the group of directors as known to one of them."""

from __future__ import annotations

from typing import Any

import click

from ..control.queries import Query
from .common import DirectorQuery, decode, examples, queries_director


@click.command("members")
@queries_director
@examples("gladewalk members --config deploy/gladewalk.toml --json")
def members_command(director: DirectorQuery) -> None:
    """Show the members that a running director knows, and the tasks that each of them owns."""
    director.show(director.query(Query.MEMBERS), _print_members)


def _print_members(data: dict[str, Any]) -> None:
    from ..duties.status import MembershipStatus
    from .terminal_output import print_members

    print_members(decode(data, MembershipStatus))
