"""The command line: `gladewalk run | check | members | leases | hand-on | purge | import | route | rehearse |
play | hunt | store | dns`.

Exit codes: 0 done, 1 done with a finding, 2 what was given cannot be used (one line says why). Of a running
director: 3 there is none, 4 it is of another version, 5 it hangs.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, NoReturn, TextIO, TypeVar

import click

from ..config.platform import ConfigError

FILE = click.Path(dir_okay=False)
CONTEXT = {"help_option_names": ["-h", "--help"], "max_content_width": 100}

Command = TypeVar("Command", bound=Callable[..., Any])


def of_running(command: Command) -> Command:
    """Where a running director is, and how its answer is to be shown."""
    command = click.option("--json", "as_json", is_flag=True, help="One JSON object.")(command)
    where = "Its control socket, in place of --config."
    command = click.option("--socket", "socket_path", type=FILE, help=where)(command)
    return click.option("--config", "options_path", type=FILE, help="The director's settings, in TOML.")(
        command
    )


@click.group(invoke_without_command=True, context_settings=CONTEXT)
@click.option("--config", "options_path", type=FILE, help="Our own settings, in TOML.")
@click.option("--dns", "dns_path", type=FILE, help="Turn the DNS front on as this file says.")
@click.version_option(package_name="gladewalk", message="%(version)s")
@click.pass_context
def gladewalk(context: click.Context, options_path: str | None, dns_path: str | None) -> None:
    """A director in front of caches. Without a command: run one.

    The director's name, address, servers and classes are in the JSON file at NODE_CONFIG; NODE_NAME and
    NODE_LISTEN go before what it says.
    """
    if context.invoked_subcommand is None:
        run_director(context, options_path, dns_path)
    if options_path or dns_path:
        raise click.UsageError("--config and --dns stand behind the command")


@gladewalk.command("run")
@click.option("--config", "options_path", type=FILE, help="Our own settings, in TOML.")
@click.option("--dns", "dns_path", type=FILE, help="Turn the DNS front on as this file says.")
@click.pass_context
def run_command(context: click.Context, options_path: str | None, dns_path: str | None) -> None:
    """Run one director until SIGTERM."""
    run_director(context, options_path, dns_path)


def run_director(context: click.Context, options_path: str | None, dns_path: str | None) -> None:
    from ..core.memory_tuning import without_tables

    without_tables()
    from ..daemon import run

    context.exit(run(options_path, dns_path))


@gladewalk.command("check")
@click.option("--config", "options_path", type=FILE, help="Our own settings, in TOML.")
@click.option("--dns", "dns_path", type=FILE, help="A file with the settings of the DNS front alone.")
@click.option("--json", "as_json", is_flag=True, help="What was read, as one JSON object.")
@click.pass_context
def check_command(
    context: click.Context, options_path: str | None, dns_path: str | None, as_json: bool
) -> None:
    """Read all that a director would be told and say whether it can be used; nothing is started."""
    from ..daemon import load_configuration

    try:
        config, options, dns = load_configuration(options_path, dns_path)
    except ConfigError as error:
        refuse(context, error)
    said = {
        "name": config.name,
        "listen": list(config.listen),
        "classes": [cls.name for cls in config.settings.classes],
        "events": config.known_index,
        "dns": list(dns.listen) if dns is not None else None,
        "members": options.members.listen if options is not None and options.members is not None else None,
        "control": options.control.socket if options is not None and options.control is not None else None,
        "store": options.store.folder if options is not None and options.store is not None else None,
        "http2": options.http2.mode if options is not None and options.http2.used else "off",
    }
    if as_json:
        click.echo(json.dumps(said))
    else:
        for name, value in said.items():
            click.echo(f"{name}: {value}")


@gladewalk.command("members")
@of_running
@click.pass_context
def members_command(
    context: click.Context, options_path: str | None, socket_path: str | None, as_json: bool
) -> None:
    """Show whom a running director takes for members, and who holds which duties.

    \b
    Example:
      gladewalk members --config deploy/gladewalk.toml --json
    """
    told = ask_director(context, options_path, socket_path, "members")
    if as_json:
        click.echo(json.dumps(told))
        return
    from .terminal_output import members_table

    members_table(told)


@gladewalk.command("leases")
@of_running
@click.pass_context
def leases_command(
    context: click.Context, options_path: str | None, socket_path: str | None, as_json: bool
) -> None:
    """Show which duties a running director holds under which token, and what its elector promised.

    \b
    Example:
      gladewalk leases --config deploy/gladewalk.toml
    """
    told = ask_director(context, options_path, socket_path, "leases")
    if as_json:
        click.echo(json.dumps(told))
        return
    from .terminal_output import leases_table

    leases_table(told)


@gladewalk.command("hand-on")
@click.argument("duty")
@click.option("--to", default="", metavar="NAME", help="Who may take it first; anybody if not given.")
@of_running
@click.pass_context
def hand_on_command(
    context: click.Context, duty: str, to: str, options_path: str | None, socket_path: str | None,
    as_json: bool,
) -> None:  # fmt: skip
    """Make a running director give up DUTY now, so that another takes it. Exit code 2: it does not hold it.

    \b
    Example:
      gladewalk hand-on purge --to n2 --config deploy/gladewalk.toml
    """
    told = ask_director(context, options_path, socket_path, "hand_on", duty=duty, to=to)
    said = f"{duty}: given up at term {told['term']}, to {to or 'anybody'}"
    click.echo(json.dumps(told) if as_json else said)


@gladewalk.command("purge")
@click.argument("what")
@click.option("--wait-s", default=3.0, show_default=True, help="How long to wait for a majority to keep it.")
@of_running
@click.pass_context
def purge_command(
    context: click.Context, what: str, wait_s: float, options_path: str | None, socket_path: str | None,
    as_json: bool,
) -> None:  # fmt: skip
    """Order a purge of WHAT at every hub cache, forwarded by whichever director holds that duty.

    It is acknowledged once a majority of the directors keeps it: then it is forwarded whoever dies. Exit code
    1: no majority has said so in time; it is tried further, and may be lost with this director.

    \b
    Example:
      gladewalk purge o:7f3a9c21e0b4d655 --config deploy/gladewalk.toml
    """
    import time

    id = ask_director(context, options_path, socket_path, "purge", what=what)["id"]
    ends = time.monotonic() + wait_s
    while True:
        told = ask_director(context, options_path, socket_path, "order", id=id)
        if told["acknowledged"] or time.monotonic() > ends:
            break
        time.sleep(0.05)
    if as_json:
        click.echo(json.dumps(told))
    elif told["state"] == "finished":
        click.echo(f"{id}: every hub has taken it, under token {told['token']}")
    else:
        click.echo(f"{id}: kept by {', '.join(told['keepers']) or 'nobody'}, on its way to the hubs")
    context.exit(0 if told["acknowledged"] else 1)


def refuse(context: click.Context, error: Exception) -> NoReturn:
    """One line, and 2 for what cannot be used, or the code that the error has of its own."""
    click.echo(f"gladewalk: {error}", err=True)
    context.exit(getattr(error, "code", 2))


def ask_director(
    context: click.Context, options_path: str | None, socket_path: str | None, view: str, **given: Any
) -> dict[str, Any]:
    """A running director's answer; whatever keeps it from us is one line and an exit code of its own."""
    from ..control.client import ControlError, ask

    try:
        told: dict[str, Any] = ask(control_path(options_path, socket_path), view, **given)
    except (ConfigError, ControlError) as error:
        refuse(context, error)
    return told


def control_path(options_path: str | None, socket_path: str | None) -> Path:
    """The socket that is named, or that of the settings; `ConfigError` if neither tells."""
    from ..config.options import load_options

    if socket_path:
        return Path(socket_path)
    if not options_path:
        raise ConfigError("--config or --socket: one of them says where the director is")
    options = load_options(options_path)
    if options.control is None:
        raise ConfigError(f"{options_path}: control.socket: is missing")
    return options.file(options.control.socket)


@gladewalk.command("import")
@click.argument("nginx_conf", type=FILE)
@click.option("--allow", multiple=True, metavar="DIRECTIVE", help="Accept the loss of a directive.")
@click.option("--diff", "old", type=FILE, help="A table (or nginx's file) to compare with; needs --uris.")
@click.option("--uris", type=click.File(), help="Lines of the form [METHOD] [HOST] URI.")
@click.pass_context
def import_command(
    context: click.Context, nginx_conf: str, allow: tuple[str, ...], old: str | None, uris: TextIO | None
) -> None:
    """Turn nginx's routing into a table for [front.http], on standard output.

    What cannot be carried over faithfully is refused as file:line: directive: why, and nothing is written.
    With --diff, only the requests of --uris that would land elsewhere than before are told; exit code 1 if
    there are any.

    \b
    Examples:
      gladewalk import /etc/nginx/nginx.conf > site.toml
      gladewalk import new.conf --diff site.toml --uris seen.txt
    """
    from ..nginx.explain import diff, load_any, read_requests
    from ..nginx.reading import NginxError
    from ..nginx.router import Router
    from ..nginx.table import write_site
    from ..nginx.translate import import_site

    if (old is None) != (uris is None):
        raise click.UsageError("--diff and --uris go together")
    try:
        site = import_site(nginx_conf, allow)
        if old is not None and uris is not None:
            moved = diff(Router(load_any(old)), Router(site), read_requests(uris))
            for asked, was, now in moved:
                click.echo(f"{asked}: {was} -> {now}")
            context.exit(1 if moved else 0)
    except (NginxError, ConfigError) as error:
        click.echo(str(error), err=True)
        context.exit(2)
    for line in (*site.losses, *site.notes):
        click.echo(line, err=True)
    click.echo(write_site(site), nl=False)


@gladewalk.command("route")
@click.argument("file", type=FILE)
@click.argument("uri")
@click.option("--host", default="", help="The Host field.")
@click.option("--method", default="GET", show_default=True)
@click.option("--from", "client", default="127.0.0.1", show_default=True, help="The client's address.")
@click.option(
    "--listen", default="", help="The listen of the file that it comes in at; the first if not given."
)
@click.pass_context
def route_command(
    context: click.Context, file: str, uri: str, host: str, method: str, client: str, listen: str
) -> None:
    """Say where a request lands, and by which lines: FILE is nginx's own or a table (.toml).

    \b
    Example:
      gladewalk route site.conf /lots/7/a.mp4 --host auction.example
    """
    from ..nginx.explain import Asked, explain, load_any
    from ..nginx.router import Router

    try:
        lines = explain(Router(load_any(file)), Asked(uri, host, method.upper(), client, listen))
    except (ConfigError, ValueError) as error:
        click.echo(str(error), err=True)
        context.exit(2)
    click.echo("\n".join(lines))


@gladewalk.command("rehearse")
@click.argument("file", type=FILE)
@click.argument("uris", nargs=-1, required=True, metavar="URI...")
@click.option("--host", default="", help="The Host field.")
@click.pass_context
def rehearse_command(context: click.Context, file: str, uris: tuple[str, ...], host: str) -> None:
    """Play every server of an imported site on loopback, with the front before them, and ask for each URI.

    FILE is nginx's own or a table (.toml). Exit code 1 if an answer comes from elsewhere than the table says.
    """
    from ..nginx.explain import Asked, load_any
    from ..rehearsal.__main__ import run

    try:
        lines, good = run(load_any(file), [Asked(uri, host) for uri in uris])
    except ConfigError as error:
        click.echo(str(error), err=True)
        context.exit(2)
    click.echo("\n".join(lines))
    context.exit(0 if good else 1)


@gladewalk.command("play")
@click.argument("file", type=FILE)
@click.option("--seed", default=1, show_default=True, help="The same seed plays the same morning.")
@click.option("--explain", default="", metavar="ID", help="All that befell one request, by its id.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object.")
@click.pass_context
def play_command(context: click.Context, file: str, seed: int, explain: str, as_json: bool) -> None:
    """Play a scenario to the real director in virtual time. Exit code 1: a rule was broken.

    \b
    Example:
      gladewalk play scenarios/morning-auction.toml --seed 7
    """
    from ..rehearsal.virtual.play import CLASSES, play
    from ..rehearsal.virtual.quiet import quiet
    from ..rehearsal.virtual.rules import story
    from ..rehearsal.virtual.scenario import load

    quiet()
    try:
        scenario = load(Path(file), tuple(CLASSES))
    except ConfigError as error:
        refuse(context, error)
    verdict = play(scenario, seed)
    if explain:
        click.echo("\n".join(story(verdict.record, explain)) or f"no request {explain}")
    elif as_json:
        click.echo(json.dumps(verdict.report()))
    else:
        from .terminal_output import verdict_table

        verdict_table(verdict.report())
    context.exit(0 if verdict.passed else 1)


@gladewalk.command("hunt")
@click.option("--first", default=1, show_default=True, help="The first seed.")
@click.option("--count", default=100, show_default=True, help="How many scenarios are drawn.")
@click.option("--folder", default=".", show_default=True, type=click.Path(file_okay=False, exists=True),
              help="Where a failing scenario is written, shrunk.")  # fmt: skip
@click.pass_context
def hunt_command(context: click.Context, first: int, count: int, folder: str) -> None:
    """Draw scenarios and keep those that break a rule, shrunk to the fewest faults. Exit code 1: some do.

    \b
    Example:
      gladewalk hunt --first 1000 --count 200 --folder scenarios
    """
    from ..rehearsal.virtual.hunt import hunt
    from ..rehearsal.virtual.quiet import quiet
    from ..rehearsal.virtual.scenario import dump

    quiet()
    found = hunt(range(first, first + count))
    for one in found:
        path = Path(folder) / f"hunt-{one.seed}.toml"
        path.write_text(dump(one.shrunk), encoding="utf-8")
        faults = len(one.shrunk.fault)
        click.echo(f"seed {one.seed}: {one.rule}; {faults} of {len(one.drawn.fault)} faults: {path}")
    click.echo(f"{count} scenarios, {len(found)} that break a rule")
    context.exit(1 if found else 0)


FOLDER = click.Path(exists=True, file_okay=False, path_type=Path)


@gladewalk.group("store")
def store_group() -> None:
    """Ask a running director for its store; look at one that nobody has open, compact it, repair it."""


@store_group.command("status")
@of_running
@click.pass_context
def store_status(
    context: click.Context, options_path: str | None, socket_path: str | None, as_json: bool
) -> None:
    """Show what a running director keeps and whether its disk takes it. Exit code 1: it does not."""
    told = ask_director(context, options_path, socket_path, "store")
    if as_json:
        click.echo(json.dumps(told))
    else:
        from .terminal_output import store_table

        store_table(told)
    context.exit(1 if told["refused_by_disk"] else 0)


@store_group.command("check")
@click.argument("folder", type=FOLDER)
@click.pass_context
def store_check(context: click.Context, folder: Path) -> None:
    """Tell what each file holds. Exit code 1: a write was cut; 2: damaged."""
    from ..store.maintenance import check_store

    context.exit(on_store(lambda: check_store(folder, click.echo)))


@store_group.command("dump")
@click.argument("folder", type=FOLDER)
@click.pass_context
def store_dump(context: click.Context, folder: Path) -> None:
    """Print every key as one JSON object a line."""
    from ..store.maintenance import dump_store

    def tell() -> int:
        for line in dump_store(folder):
            click.echo(line)
        return 0

    context.exit(on_store(tell))


@store_group.command("compact")
@click.argument("folder", type=FOLDER)
@click.pass_context
def store_compact(context: click.Context, folder: Path) -> None:
    """Write all that counts into one segment."""
    from ..store.maintenance import compact_store

    context.exit(on_store(lambda: compact_store(folder, click.echo)))


@store_group.command("repair")
@click.argument("folder", type=FOLDER)
@click.option(
    "--accept-loss", is_flag=True, help="Make a store of what is left; the old files are kept beside."
)
@click.pass_context
def store_repair(context: click.Context, folder: Path, accept_loss: bool) -> None:
    """Tell what a damaged store has lost and what is left of it."""
    from ..store.maintenance import repair_store

    context.exit(on_store(lambda: repair_store(folder, accept_loss, click.echo)))


@gladewalk.group("dns")
def dns_group() -> None:
    """The DNS front, and others like it."""


@dns_group.command("conform")
@click.argument("address")
@click.argument("zone")
@click.option("--class", "class_name", required=True, help="A class of its names: 0.OBJECT.CLASS.ZONE.")
@click.option("--object", "object_name", default="a1", show_default=True, help="An object, in hexadecimal.")
@click.option("--tls", default="", help="HOST:PORT for DNS over TLS.")
@click.option("--only", multiple=True, metavar="NAME", help="Cases of this name, or that begin so.")
@click.option("--list", "as_list", is_flag=True, help="Name the cases and run none.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object a line.")
@click.pass_context
def dns_conform(
    context: click.Context, address: str, zone: str, class_name: str, object_name: str, tls: str,
    only: tuple[str, ...], as_list: bool, as_json: bool,
) -> None:  # fmt: skip
    """Put a server to the RFCs' test. Exit code 1: a case failed.

    \b
    Example:
      gladewalk dns conform 127.0.0.1:5353 cdn.example. --class lot-page
    """
    from ..dns.conform.report import told_by, told_of
    from ..dns.conform.suite import Verdict, run_cases, the_cases

    if as_list:
        for one in the_cases(only):
            click.echo(f"{one.name}: RFC {one.rfc} {one.section}: {one.says}")
        return
    try:
        target = told_of(address, zone, class_name, object_name, tls)
    except (ConfigError, ValueError) as error:
        refuse(context, error)
    results = run_cases(target, only)
    for line in told_by(results, as_json):
        click.echo(line)
    context.exit(1 if any(result.verdict is Verdict.FAILED for result in results) else 0)


def on_store(call: Callable[[], int]) -> int:
    """Whatever a store can't do is one line and exit code 2."""
    from ..store.errors import StoreFileError

    try:
        return call()
    except (StoreFileError, OSError) as error:
        click.echo(f"gladewalk: {error}", err=True)
        return 2


def main() -> int:
    """The command line as a process: its exit code."""
    try:
        code = gladewalk.main(prog_name="gladewalk", standalone_mode=False)
    except click.exceptions.Exit as done:
        return done.exit_code
    except click.Abort:
        return 1
    except click.ClickException as error:
        error.show(sys.stderr)
        return error.exit_code
    return code if isinstance(code, int) else 0
