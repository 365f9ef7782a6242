"""Plays seeds of stops and upgrades: `python -m benchmarks.lifecycle [--seeds N] [--first N] [--jobs N]`.

The last lines have the number of runs, and of those that broke a rule.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import sys

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


def main() -> int:
    """Plays the seeds of the command line; returns 0 if none broke a rule."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.lifecycle")
    parser.add_argument("--seeds", type=int, default=SEEDS)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=JOBS)
    options = parser.parse_args()
    seeds = range(options.first, options.first + options.seeds)
    with concurrent.futures.ProcessPoolExecutor(options.jobs) as pool:
        broken = [name for play in (play_stop, play_upgrade) for name in pool.map(play, seeds) if name]
    print(f"stops={options.seeds} upgrades={options.seeds} broken={len(broken)}", *broken)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
