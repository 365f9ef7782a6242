"""Commands `run` and `check`: start a director, or only check its configuration."""

from __future__ import annotations

import json
from typing import Any

import click

from ..config.platform import ConfigError
from .common import FILE, config_option, exit_with, fail


@click.command("run")
@config_option
@click.option("--dns", "dns_path", type=FILE, help="Turn the DNS front on, configured by this file.")
def run_command(options_path: str | None, dns_path: str | None) -> None:
    """Run one director until SIGTERM."""
    run_director(options_path, dns_path)


def run_director(options_path: str | None, dns_path: str | None) -> None:
    """Runs a director in this process and ends the command with its exit code."""
    from ..core.memory_tuning import block_rich_import

    block_rich_import()
    from ..daemon import run

    exit_with(run(options_path, dns_path))


@click.command("check")
@config_option
@click.option("--dns", "dns_path", type=FILE, help="The file of the DNS front alone.")
@click.option("--json", "as_json", is_flag=True, help="Print a summary as one JSON object.")
def check_command(options_path: str | None, dns_path: str | None, as_json: bool) -> None:
    """Check the configuration that a director would start with; nothing is started."""
    try:
        summary = _summarize(options_path, dns_path)
    except ConfigError as error:
        fail(error)
    if as_json:
        click.echo(json.dumps(summary))
        return
    for name, value in summary.items():
        click.echo(f"{name}: {value}")


def _summarize(options_path: str | None, dns_path: str | None) -> dict[str, Any]:
    """Loads and checks the configuration and returns a summary; raises `ConfigError` if it cannot be used."""
    from ..daemon import load_configuration

    loaded = load_configuration(options_path, dns_path)
    config, options, dns = loaded.config, loaded.options, loaded.dns
    members = options.members if options is not None else None
    control = options.control if options is not None else None
    store = options.store if options is not None else None
    return {
        "name": config.name,
        "listen": list(config.listen),
        "classes": [request_class.name for request_class in config.settings.classes],
        "events": config.initial_event_index,
        "dns": list(dns.listen) if dns is not None else None,
        "members": members.listen if members is not None else None,
        "control": control.socket if control is not None else None,
        "store": store.folder if store is not None else None,
        "http2": options.http2.mode if options is not None and options.http2.is_used else "off",
    }
