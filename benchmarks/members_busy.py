"""The hard cases of membership between processes, with every core kept busy beside them.

    python -m benchmarks.members_busy --runs 20

Each run plays all twelve cases side by side, each to five directors of its own with relays between them,
while one spinning process for each core takes its time. The last line is `wrong_deaths=N runs=N`.
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


def spin(until: float, parent: int) -> None:
    while time.time() < until and os.getppid() == parent:  # never on its own
        sum(range(10_000))


async def all_cases() -> list[str]:
    return [wrong for wrong in await asyncio.gather(*map(run_case, CASES)) if wrong]


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--beside", type=int, default=os.cpu_count() or 1, help="spinning processes")
    options = parser.parse_args()
    wrong_runs, most_s = 0, options.runs * 240.0
    ends = time.time() + most_s
    spinning = {"target": spin, "args": (ends, os.getpid()), "daemon": True}
    busy = [multiprocessing.Process(**spinning) for _ in range(options.beside)]  # type: ignore[arg-type]
    for process in busy:
        process.start()
    try:
        for run in range(1, options.runs + 1):
            began = time.time()
            wrong = asyncio.run(all_cases())
            wrong_runs += len(wrong)
            print(f"run {run}: {'; '.join(wrong) or 'none'} ({time.time() - began:.0f} s)", flush=True)
    finally:
        for process in busy:
            process.terminate()
    print(f"wrong_deaths={wrong_runs} runs={options.runs}")
    return 1 if wrong_runs else 0


if __name__ == "__main__":
    sys.exit(main())
