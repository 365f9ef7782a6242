"""Commands `play` and `hunt`: run scenarios against the real director in virtual time."""

from __future__ import annotations

import json
from pathlib import Path

import click

from ..config.platform import ConfigError
from .common import FILE, ExitCode, examples, exit_with, fail


@click.command("play")
@click.argument("file", type=FILE)
@click.option(
    "--seed", default=1, show_default=True, help="Seed of the random numbers; the same seed repeats the run."
)
@click.option("--explain", default="", metavar="ID", help="Print the history of one request, by its id.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@examples("gladewalk play scenarios/morning-auction.toml --seed 7")
def play_command(file: str, seed: int, explain: str, as_json: bool) -> None:
    """Run a scenario against the real director in virtual time. Exit code 1: a rule was violated."""
    from ..rehearsal.virtual.clients import REQUEST_CLASSES
    from ..rehearsal.virtual.rules import describe_request
    from ..rehearsal.virtual.scenario import load_scenario
    from ..rehearsal.virtual.scenario_run import run_scenario

    try:
        scenario = load_scenario(Path(file), tuple(REQUEST_CLASSES))
    except ConfigError as error:
        fail(error)
    verdict = run_scenario(scenario, seed)
    if explain:
        click.echo("\n".join(describe_request(verdict.history, explain)) or f"no request {explain}")
    elif as_json:
        click.echo(json.dumps(verdict.report()))
    else:
        from .terminal_output import print_verdict

        print_verdict(verdict.report())
    exit_with(ExitCode.DONE if verdict.passed else ExitCode.FINDING)


@click.command("hunt")
@click.option("--first", default=1, show_default=True, help="The first seed.")
@click.option("--count", default=100, show_default=True, help="How many scenarios are generated.")
@click.option(
    "--folder",
    default=".",
    show_default=True,
    type=click.Path(file_okay=False, exists=True),
    help="Where a failing scenario is written, minimized.",
)
@examples("gladewalk hunt --first 1000 --count 200 --folder scenarios")
def hunt_command(first: int, count: int, folder: str) -> None:
    """Generate scenarios and write those that violate a rule, minimized. Exit code 1: some do."""
    from ..rehearsal.virtual.scenario import encode_scenario
    from ..rehearsal.virtual.scenario_search import find_failing_scenarios

    findings = find_failing_scenarios(range(first, first + count))
    for finding in findings:
        path = Path(folder) / f"hunt-{finding.seed}.toml"
        path.write_text(encode_scenario(finding.minimized), encoding="utf-8")
        faults = f"{len(finding.minimized.faults)} of {len(finding.generated.faults)} faults"
        click.echo(f"seed {finding.seed}: {finding.rule}; {faults}: {path}")
    click.echo(f"{count} scenarios, {len(findings)} that break a rule")
    exit_with(ExitCode.FINDING if findings else ExitCode.DONE)
