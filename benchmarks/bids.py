"""Bids against boxes that break connections at random, over HTTP/2 and HTTP/1.1: what was saved.

    python -m benchmarks.bids [--seeds 20] [--count 2500] [--part 0.1]

20 seeds of 2,500 bids are the 50,000 of the design note; they take some two minutes. Exit 1 if a rule broke.
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
from gladewalk.rehearsal.bidsoak import Report, play_h2, play_http1
from gladewalk.streams.stream_tracker import UNPROCESSED_REASONS


def options() -> Options:
    tables = read_option_tables({"http2": {"mode": "h2c"}})
    return build_options(tables, "benchmark", Path("."))


def play(run: Coroutine[Any, Any, Report]) -> Report:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(run)


def show(name: str, reports: list[Report]) -> bool:
    statuses: Counter[int] = Counter()
    findings: Counter[str] = Counter()
    met: Counter[str] = Counter()
    for report in reports:
        statuses.update(report.statuses.values())
        findings.update(report.findings)
        met.update(report.met)
    broken, saved = sum(r.broken for r in reports), sum(r.saved for r in reports)
    wrong = [report.seed for report in reports if not report.kept]
    print(f"{name}: {sum(statuses.values())} bids over {len(reports)} seeds")
    print(f"  answers: {dict(sorted(statuses.items()))} (0: begun and cut)")
    print(f"  ran twice {sum(len(r.run_twice) for r in reports)}, resent without proof "
          f"{sum(len(r.resent_unproved) for r in reports)}, served but not run "
          f"{sum(len(r.served_unrun) for r in reports)}, streams over a limit "
          f"{sum(r.over_limit for r in reports)}, breaches "
          f"{sum(len(r.breaches) for r in reports)}")  # fmt: skip
    print(f"  met a break: {broken}; served all the same: {saved} ({saved / max(1, broken):.1%})")
    if findings:
        proved = sum(findings[reason.value] for reason in UNPROCESSED_REASONS)
        print(f"  streams lost {sum(findings.values())}, of these with proof {proved}: {dict(findings)}")
    if met:
        print(f"  troubles: {dict(sorted(met.items()))}")
    if wrong:
        print(f"  RULES BROKEN with the seeds {wrong}")
    return not wrong


def main() -> int:
    parser = argparse.ArgumentParser(description="Bids against boxes that break their connections.")
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--count", type=int, default=2_500)
    parser.add_argument("--part", type=float, default=0.1, help="of the requests that meet a trouble")
    given = parser.parse_args()
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    seeds = range(1, given.seeds + 1)
    shared = [play(play_h2(seed, given.count, given.part, options())) for seed in seeds]
    single = [play(play_http1(seed, given.count, given.part)) for seed in seeds]
    kept = [show("HTTP/2", shared), show("HTTP/1.1", single)]
    return 0 if all(kept) else 1


if __name__ == "__main__":
    sys.exit(main())
