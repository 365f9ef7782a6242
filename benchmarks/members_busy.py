"""The fault cases of membership between processes, with every core kept busy beside them.

    python -m benchmarks.members_busy --runs 20

Each run plays all cases side by side, each to five directors of its own with relays between them, while one
spinning process for each core takes its time. The last line is `wrong_deaths=N runs=N`.
"""

from __future__ import annotations

import argparse
import asyncio
import multiprocessing
import os
import sys
import time

from gladewalk.faultnet.membership_cases import CASES
from tests.test_fleet_members import run_case

MAX_RUN_SECONDS = 240.0


def spin(until: float, parent: int) -> None:
    """Keeps a core busy until a time, and for no longer than its parent lives."""
    while time.time() < until and os.getppid() == parent:
        sum(range(10_000))


async def play_all_cases() -> list[str]:
    """Plays all cases side by side; returns what went wrong."""
    return [failure for failure in await asyncio.gather(*map(run_case, CASES)) if failure]


def play_runs(runs: int) -> int:
    """Plays and prints so many runs; returns the number of failures."""
    failures = 0
    for run in range(1, runs + 1):
        started = time.time()
        wrong = asyncio.run(play_all_cases())
        failures += len(wrong)
        print(f"run {run}: {'; '.join(wrong) or 'none'} ({time.time() - started:.0f} s)", flush=True)
    return failures


def main() -> int:
    """Runs the benchmark; returns the exit code: 1 if anything went wrong."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--beside", type=int, default=os.cpu_count() or 1, help="spinning processes")
    options = parser.parse_args()
    ends = time.time() + options.runs * MAX_RUN_SECONDS
    busy = [
        multiprocessing.Process(target=spin, args=(ends, os.getpid()), daemon=True)
        for _ in range(options.beside)
    ]
    for process in busy:
        process.start()
    try:
        failures = play_runs(options.runs)
    finally:
        for process in busy:
            process.terminate()
    print(f"wrong_deaths={failures} runs={options.runs}")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
