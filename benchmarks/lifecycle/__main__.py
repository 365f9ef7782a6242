"""Plays seeds of stops, upgrades and restarts.

    python -m benchmarks.lifecycle [--seeds N] [--first N] [--jobs N] [--only KIND]

The last line has the number of runs of each kind, and those that broke a rule.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import sys

from .restarts import run_restarts
from .stops import run_stop
from .upgrades import run_upgrade

SEEDS, JOBS = 50, 3


def play_stop(seed: int) -> str:
    """Plays a stop; returns what it broke, empty if nothing."""
    answered, violations = run_stop(seed)
    print(
        f"stop {seed}: answered={answered} broken={len(violations)}", *violations[:5], sep="\n  ", flush=True
    )
    return f"stop {seed}" if violations else ""


def play_upgrade(seed: int) -> str:
    """Plays an upgrade; returns what it broke, empty if nothing."""
    statuses, ratio = run_upgrade(seed)
    print(f"upgrade {seed}: worst window {ratio:.2f} of the fall, answers {statuses}", flush=True)
    return f"upgrade {seed}" if ratio > 1.0 else ""


def play_restarts(seed: int) -> str:
    """Plays kills and restarts; returns what they broke, empty if nothing."""
    observed = run_restarts(seed)
    violations = observed.violations
    print(
        f"restarts {seed}: requests={observed.requests} broken={len(violations)}",
        *violations[:5],
        sep="\n  ",
        flush=True,
    )
    return f"restarts {seed}" if violations else ""


PLAYS = {"stops": play_stop, "upgrades": play_upgrade, "restarts": play_restarts}


def main() -> int:
    """Plays the seeds of the command line; returns 0 if none broke a rule."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.lifecycle")
    parser.add_argument("--seeds", type=int, default=SEEDS)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=JOBS)
    parser.add_argument("--only", choices=PLAYS)
    options = parser.parse_args()
    plays = [play for name, play in PLAYS.items() if options.only in (None, name)]
    seeds = range(options.first, options.first + options.seeds)
    with concurrent.futures.ProcessPoolExecutor(options.jobs) as pool:
        broken = [name for play in plays for name in pool.map(play, seeds) if name]
    print(f"{options.only or 'each'}={options.seeds} broken={len(broken)}", *broken)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
