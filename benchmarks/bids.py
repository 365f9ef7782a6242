"""Write soak benchmark: bids against servers that break connections at random, over HTTP/2 and HTTP/1.1.

    python -m benchmarks.bids [--seeds 20] [--count 2500] [--part 0.1]

The default is 50,000 bids, 20 seeds with 2,500 each, which take some two minutes. The exit code is 1 if a
rule was broken.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
from collections import Counter
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import structlog
import uvloop

from gladewalk.config.options import Options, build_options, read_option_tables
from gladewalk.rehearsal.write_soak import SoakReport, run_http1_soak, run_http2_soak
from gladewalk.streams.stream_tracker import UNPROCESSED_REASONS


def h2c_options() -> Options:
    """Returns options with HTTP/2 without TLS."""
    tables = read_option_tables({"http2": {"mode": "h2c"}})
    return build_options(tables, "benchmark", Path("."))


def run_soak(run: Coroutine[Any, Any, SoakReport]) -> SoakReport:
    """Runs one soak on an event loop of its own."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(run)


def print_summary(name: str, reports: list[SoakReport]) -> bool:
    """Prints the outcomes of one protocol's writes; returns whether no rule was broken."""
    statuses: Counter[int] = Counter()
    findings: Counter[str] = Counter()
    faults: Counter[str] = Counter()
    for report in reports:
        statuses.update(report.statuses.values())
        findings.update(report.findings)
        faults.update(report.faults)
    interrupted = sum(report.interrupted_count for report in reports)
    recovered = sum(report.recovered_count for report in reports)
    violating_seeds = [report.seed for report in reports if report.has_violation]
    print(f"{name}: {sum(statuses.values())} bids over {len(reports)} seeds")
    print(f"  answers: {dict(sorted(statuses.items()))} (0: begun and cut)")
    print(f"  {violations_line(reports)}")
    recovery_ratio = recovered / max(1, interrupted)
    print(f"  interrupted: {interrupted}; served after that: {recovered} ({recovery_ratio:.1%})")
    if findings:
        proved = sum(findings[reason.value] for reason in UNPROCESSED_REASONS)
        print(f"  streams lost {sum(findings.values())}, of these with proof {proved}: {dict(findings)}")
    if faults:
        print(f"  troubles: {dict(sorted(faults.items()))}")
    if violating_seeds:
        print(f"  RULES BROKEN with the seeds {violating_seeds}")
    return not violating_seeds


def violations_line(reports: list[SoakReport]) -> str:
    """Returns the line with the number of violations of each rule; all have to be 0."""
    return (
        f"ran twice {sum(len(report.executed_twice) for report in reports)}, "
        f"resent without proof {sum(len(report.retried_without_proof) for report in reports)}, "
        f"served but not run {sum(len(report.acknowledged_unexecuted) for report in reports)}, "
        f"streams over a limit {sum(report.streams_over_limit for report in reports)}, "
        f"breaches {sum(len(report.protocol_violations) for report in reports)}"
    )


def main() -> int:
    """Runs the benchmark; returns the exit code."""
    parser = argparse.ArgumentParser(description="Bids against boxes that break their connections.")
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--count", type=int, default=2_500)
    parser.add_argument("--part", type=float, default=0.1, help="of the requests that meet a trouble")
    arguments = parser.parse_args()
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    seeds, count, part = range(1, arguments.seeds + 1), arguments.count, arguments.part
    h2_reports = [run_soak(run_http2_soak(seed, count, part, h2c_options())) for seed in seeds]
    http1_reports = [run_soak(run_http1_soak(seed, count, part)) for seed in seeds]
    results = [print_summary("HTTP/2", h2_reports), print_summary("HTTP/1.1", http1_reports)]
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
