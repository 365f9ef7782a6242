"""Measures how fast scenarios run in virtual time, and their memory.

    python -m benchmarks.rehearsal_speed [--sizes 3x17,30x200] [--seconds 10] [--per-director 20]

Each size is DIRECTORSxCACHES, with a parent cache for every four caches; every director gets `--per-director`
requests a second. Each size runs in a process of its own, so that the process's peak memory is the run's.
"""

from __future__ import annotations

import argparse
import resource
import sys
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from typing import NamedTuple

from gladewalk.rehearsal.virtual.scenario import FleetTable, Scenario, TrafficTable
from gladewalk.rehearsal.virtual.scenario_run import run_scenario

CACHES_PER_PARENT = 4
OBJECTS_PER_CACHE = 50


class Measurement(NamedTuple):
    """One run; the speed is in virtual seconds per second."""

    speed: float
    request_count: int
    violation_count: int
    peak_memory_mb: float


def measure(directors: int, caches: int, duration_s: float, requests_per_director_s: float) -> Measurement:
    """Runs a scenario without faults; measures its speed and the peak memory of this process."""
    fleet = FleetTable(directors=directors, caches=caches, parents=max(1, caches // CACHES_PER_PARENT))
    requests_per_s = requests_per_director_s * directors
    traffic = TrafficTable(requests_per_s=requests_per_s, objects=OBJECTS_PER_CACHE * caches)
    verdict = run_scenario(Scenario(duration_s=duration_s, fleet=fleet, traffic=traffic), 1)
    return Measurement(
        speed=verdict.virtual_s / verdict.wall_s,
        request_count=len(verdict.history.requests),
        violation_count=len(verdict.violations),
        peak_memory_mb=resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0,
    )


def measure_in_process(size: str, duration_s: float, requests_per_director_s: float) -> str:
    """Measures one size in a process of its own and returns its row of the table."""
    directors, caches = map(int, size.split("x"))
    with ProcessPoolExecutor(1, mp_context=get_context("spawn")) as pool:
        result = pool.submit(measure, directors, caches, duration_s, requests_per_director_s).result()
    return (
        f"{directors:9}  {caches:5}  {result.speed:18.2f}  {result.request_count:8}  "
        f"{result.violation_count:10}  {result.peak_memory_mb:4.0f}"
    )


def main() -> int:
    """Prints a table with a row for each size."""
    parser = argparse.ArgumentParser(description="Speed of scenarios in virtual time.")
    parser.add_argument("--sizes", default="3x17,30x200")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--per-director", type=float, default=20.0)
    arguments = parser.parse_args()
    print("directors  boxes  virtual s a second  requests  violations  MB")
    for size in arguments.sizes.split(","):
        print(measure_in_process(size, arguments.seconds, arguments.per_director), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
