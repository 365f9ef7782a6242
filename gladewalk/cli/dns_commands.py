"""Commands `dns ...`: conformance tests of DNS servers, the DNS front included."""

from __future__ import annotations

import click

from ..config.platform import ConfigError
from .common import ExitCode, examples, exit_with, fail


@click.group("dns")
def dns_group() -> None:
    """DNS servers."""


@dns_group.command("conform")
@click.argument("address")
@click.argument("zone")
@click.option("--class", "class_name", required=True, help="A class among its names, 0.OBJECT.CLASS.ZONE.")
@click.option("--object", "object_name", default="a1", show_default=True, help="An object, in hexadecimal.")
@click.option("--tls", default="", help="HOST:PORT for DNS over TLS.")
@click.option("--only", multiple=True, metavar="NAME", help="Cases whose name begins so.")
@click.option("--list", "as_list", is_flag=True, help="List the cases and run none.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object a line.")
@examples("gladewalk dns conform 127.0.0.1:5353 cdn.example. --class lot-page")
def dns_conform(
    address: str,
    zone: str,
    class_name: str,
    object_name: str,
    tls: str,
    only: tuple[str, ...],
    as_list: bool,
    as_json: bool,
) -> None:
    """Test the conformance of a DNS server to the RFCs. Exit code 1: a case failed."""
    from ..dns.conform.report import format_results, make_target
    from ..dns.conform.suite import Verdict, run_cases, select_cases

    if as_list:
        for case in select_cases(only):
            click.echo(f"{case.name}: RFC {case.rfc} {case.section}: {case.description}")
        return
    try:
        target = make_target(address, zone, class_name, object_name, tls)
    except (ConfigError, ValueError) as error:
        fail(error)
    results = run_cases(target, only)
    for line in format_results(results, as_json):
        click.echo(line)
    has_failures = any(result.verdict is Verdict.FAILED for result in results)
    exit_with(ExitCode.FINDING if has_failures else ExitCode.DONE)
