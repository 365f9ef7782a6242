"""Commands `import`, `route` and `rehearse`: routing tables translated from nginx's configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING, NoReturn, TextIO

import click

from ..config.platform import ConfigError
from .common import FILE, ExitCode, examples, exit_with

if TYPE_CHECKING:
    from ..nginx.table import Site


@click.command("import")
@click.argument("nginx_conf", type=FILE)
@click.option(
    "--allow", multiple=True, metavar="DIRECTIVE", help="Ignore a directive that cannot be translated."
)
@click.option("--diff", "old", type=FILE, help="A table (or nginx's file) to compare with; needs --uris.")
@click.option("--uris", type=click.File(), help="Lines of the form [METHOD] [HOST] URI.")
@examples(
    "gladewalk import /etc/nginx/nginx.conf > site.toml",
    "gladewalk import new.conf --diff site.toml --uris seen.txt",
)
def import_command(nginx_conf: str, allow: tuple[str, ...], old: str | None, uris: TextIO | None) -> None:
    """Translate nginx's routing into a table for [front.http], on standard output.

    A directive that cannot be translated faithfully is an error, file:line: directive: why, and nothing is
    written. With --diff, only the requests of --uris that the table routes elsewhere are printed; exit code 1
    if there are any.
    """
    from ..nginx.errors import NginxConfigError
    from ..nginx.table import write_site
    from ..nginx.translate import import_site

    if (old is None) != (uris is None):
        raise click.UsageError("--diff and --uris go together")
    try:
        site = import_site(nginx_conf, allow)
        if old is not None and uris is not None:
            _print_differences(old, site, uris)
            return
    except (NginxConfigError, ConfigError) as error:
        _fail_with(error)
    for line in (*site.losses, *site.notes):
        click.echo(line, err=True)
    click.echo(write_site(site), nl=False)


def _print_differences(old: str, site: Site, uris: TextIO) -> None:
    """Prints the requests that the new table routes differently; ends the command, with 1 if any exist."""
    from ..nginx.explain import load_site_or_import, moved_requests, parse_requests
    from ..nginx.router import Router

    moved = moved_requests(Router(load_site_or_import(old)), Router(site), parse_requests(uris))
    for change in moved:
        click.echo(f"{change.request}: {change.previous} -> {change.current}")
    exit_with(ExitCode.FINDING if moved else ExitCode.DONE)


@click.command("route")
@click.argument("file", type=FILE)
@click.argument("uri")
@click.option("--host", default="", help="The Host field.")
@click.option("--method", default="GET", show_default=True)
@click.option("--from", "client", default="127.0.0.1", show_default=True, help="The client's address.")
@click.option("--listen", default="", help="The listen directive that it arrives at; the first by default.")
@examples("gladewalk route site.conf /lots/7/a.mp4 --host auction.example")
def route_command(file: str, uri: str, host: str, method: str, client: str, listen: str) -> None:
    """Show where a request is routed, and by which lines; FILE is nginx's own or a table (.toml)."""
    from ..nginx.explain import RequestDescription, explain, load_site_or_import
    from ..nginx.router import Router

    try:
        request = RequestDescription(uri, host, method.upper(), client, listen)
        lines = explain(Router(load_site_or_import(file)), request)
    except (ConfigError, ValueError) as error:
        _fail_with(error)
    click.echo("\n".join(lines))


@click.command("rehearse")
@click.argument("file", type=FILE)
@click.argument("uris", nargs=-1, required=True, metavar="URI...")
@click.option("--host", default="", help="The Host field.")
def rehearse_command(file: str, uris: tuple[str, ...], host: str) -> None:
    """Simulate every server of a site on loopback, with the front before them, and request each URI.

    FILE is nginx's own or a table (.toml). Exit code 1: an answer came from another server than it says.
    """
    from ..nginx.explain import RequestDescription, load_site_or_import
    from ..rehearsal.site_check import check_site

    try:
        lines, passed = check_site(load_site_or_import(file), [RequestDescription(uri, host) for uri in uris])
    except ConfigError as error:
        _fail_with(error)
    click.echo("\n".join(lines))
    exit_with(ExitCode.DONE if passed else ExitCode.FINDING)


def _fail_with(error: Exception) -> NoReturn:
    """Prints an error whose text begins with its file and line, and ends the command."""
    click.echo(str(error), err=True)
    exit_with(ExitCode.UNUSABLE)
