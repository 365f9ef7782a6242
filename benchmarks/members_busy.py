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
    """Keeps a core busy until a time or the end of the parent process."""
    while time.time() < until and os.getppid() == parent:
        sum(range(10_000))


async def run_all_cases() -> list[str]:
    """Runs all cases concurrently; returns their failures."""
    return [failure for failure in await asyncio.gather(*map(run_case, CASES)) if failure]


def execute_runs(runs: int) -> int:
    """Executes this number of runs and prints each; returns the number of failures."""
    failures = 0
    for run in range(1, runs + 1):
        started = time.time()
        failed_cases = asyncio.run(run_all_cases())
        failures += len(failed_cases)
        print(f"run {run}: {'; '.join(failed_cases) or 'none'} ({time.time() - started:.0f} s)", flush=True)
    return failures


def main() -> int:
    """Runs the benchmark; returns the exit code: 1 if a case failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--beside", type=int, default=os.cpu_count() or 1, help="spinning processes")
    options = parser.parse_args()
    deadline = time.time() + options.runs * MAX_RUN_SECONDS
    busy = [
        multiprocessing.Process(target=spin, args=(deadline, os.getpid()), daemon=True)
        for _ in range(options.beside)
    ]
    for process in busy:
        process.start()
    try:
        failures = execute_runs(options.runs)
    finally:
        for process in busy:
            process.terminate()
    print(f"wrong_deaths={failures} runs={options.runs}")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
