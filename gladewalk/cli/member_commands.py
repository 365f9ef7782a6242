"""Command `members`: the group of directors as one of them sees it."""

from __future__ import annotations

from typing import Any

import click

from ..control.queries import Query
from .common import DirectorQuery, queries_director


@click.command("members")
@queries_director
def members_command(director: DirectorQuery) -> None:
    """Show whom a running director takes for members, and who holds which duties.

    \b
    Example:
      gladewalk members --config deploy/gladewalk.toml --json
    """
    director.show(director.query(Query.MEMBERS), _print_members)


def _print_members(answer: dict[str, Any]) -> None:
    from .terminal_output import print_members

    print_members(answer)
