"""The root of the command line: `gladewalk`, its commands, and the process's exit code.

Exit codes: 0 success, 1 success with a finding, 2 the arguments or files cannot be used (one line says why).
Commands that query a running director: 3 no director is running, 4 it has another version of the protocol,
5 it did not respond in time.
"""

from __future__ import annotations

import sys

import click

from .common import FILE, config_option
from .dns_commands import dns_group
from .lease_commands import hand_on_command, leases_command, purge_command
from .member_commands import members_command
from .nginx_commands import import_command, rehearse_command, route_command
from .rehearsal_commands import hunt_command, play_command
from .run_commands import check_command, run_command, run_director
from .store_commands import store_group

CONTEXT = {"help_option_names": ["-h", "--help"], "max_content_width": 100}


@click.group(invoke_without_command=True, context_settings=CONTEXT)
@config_option
@click.option("--dns", "dns_path", type=FILE, help="Turn the DNS front on, configured by this file.")
@click.version_option(package_name="gladewalk", message="%(version)s")
@click.pass_context
def gladewalk(context: click.Context, options_path: str | None, dns_path: str | None) -> None:
    """Request router in front of caches. Without a command: run one director.

    NODE_CONFIG names the JSON file with the director's name, address, servers and classes; NODE_NAME and
    NODE_LISTEN override it.
    """
    if context.invoked_subcommand is None:
        run_director(options_path, dns_path)
    if options_path or dns_path:
        raise click.UsageError("--config and --dns stand behind the command")


for command in (
    run_command,
    check_command,
    members_command,
    leases_command,
    hand_on_command,
    purge_command,
    import_command,
    route_command,
    rehearse_command,
    play_command,
    hunt_command,
    store_group,
    dns_group,
):
    gladewalk.add_command(command)


def main() -> int:
    """Runs the command line with the process's arguments and returns the exit code."""
    try:
        result = gladewalk.main(prog_name="gladewalk", standalone_mode=False)
    except click.exceptions.Exit as done:
        return done.exit_code
    except click.Abort:
        return 1
    except click.ClickException as error:
        error.show(sys.stderr)
        return error.exit_code
    return result if isinstance(result, int) else 0
