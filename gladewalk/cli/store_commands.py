"""Commands `store ...`: status of a running director's store, and maintenance of a store that is not open."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from ..control.queries import Query
from .common import FOLDER, DirectorQuery, ExitCode, decode, exit_with, fail, queries_director


@click.group("store")
def store_group() -> None:
    """Show the store of a running director; check, dump, compact or repair one that is not open."""


@store_group.command("status")
@queries_director
def store_status(director: DirectorQuery) -> None:
    """Show the store of a running director. Exit code 1: its disk rejects writes."""
    data = director.query(Query.STORE)
    director.show(data, _print_store)
    exit_with(ExitCode.FINDING if data["refused_by_disk"] else ExitCode.DONE)


def _print_store(data: dict[str, Any]) -> None:
    from ..store.status import StoreStatus
    from .terminal_output import print_store

    print_store(decode(data, StoreStatus))


@store_group.command("check")
@click.argument("folder", type=FOLDER)
def store_check(folder: Path) -> None:
    """Check every file of a store. Exit code 1: a write was cut short; 2: it is damaged."""
    from ..store.maintenance import check_store

    _maintain(lambda: check_store(folder, click.echo))


@store_group.command("dump")
@click.argument("folder", type=FOLDER)
def store_dump(folder: Path) -> None:
    """Print every key as one JSON object a line."""
    from ..store.maintenance import dump_store

    def print_lines() -> int:
        for line in dump_store(folder):
            click.echo(line)
        return ExitCode.DONE

    _maintain(print_lines)


@store_group.command("compact")
@click.argument("folder", type=FOLDER)
def store_compact(folder: Path) -> None:
    """Rewrite the live records of a store into one segment."""
    from ..store.maintenance import compact_store

    _maintain(lambda: compact_store(folder, click.echo))


@store_group.command("repair")
@click.argument("folder", type=FOLDER)
@click.option(
    "--accept-loss", is_flag=True, help="Make a store of what is left; the old files are set aside."
)
def store_repair(folder: Path, accept_loss: bool) -> None:
    """Show what a damaged store has lost, and what is left of it."""
    from ..store.maintenance import repair_store

    _maintain(lambda: repair_store(folder, accept_loss, click.echo))


def _maintain(operation: Callable[[], int]) -> None:
    """Ends the command with an operation's exit code; a store's error is one line and exit code 2."""
    from ..store.errors import StoreFileError

    try:
        exit_code = operation()
    except (StoreFileError, OSError) as error:
        fail(error)
    exit_with(exit_code)
