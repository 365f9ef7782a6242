"""Membership under its fault cases: unexpected deaths, detection, convergence; in processes or simulated.

    python -m benchmarks.members_faults [--quick] [--directors 3 5 7] [--runs N] [--plot FILE.png]
    python -m benchmarks.members_faults --memory 64,256,1024 [--plot FILE.png]

Each case of `faultnet/membership_cases.py` is run on a fleet of processes with relays between every ordered
pair, four fleets at a time; `--quick` is one run with 5 directors. It prints a line for each case: unexpected
deaths, the times until each other member declared a victim dead, the time from the end of the fault until
every member listed all others again (0: no member was removed), and bytes and datagrams a second for each
member during the case. The last line is a summary, where `converge_max_ms` is that of the partition.
`--memory` runs the same schedules without processes, in virtual time; 1,024 members take some minutes a case.
"""

from __future__ import annotations

import argparse
import asyncio
import math
import tempfile
import time
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from benchmarks.member_traffic import Traffic, TrafficCount, count_simulated
from gladewalk.faultnet.expected_failures import expected_failures
from gladewalk.faultnet.fleet import Fleet
from gladewalk.faultnet.membership_cases import CASES, FaultCase
from gladewalk.faultnet.nemesis import run_schedule
from gladewalk.faultnet.schedule import FaultKind
from gladewalk.members.config import MembershipConfig
from gladewalk.members.history import (
    ObservedChange,
    convergence_time_ms,
    detection_times_ms,
    unexpected_deaths,
)
from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import config_for
from gladewalk.rehearsal.member_faults import run_schedule as run_simulated_schedule
from gladewalk.rehearsal.member_network import cluster

MAX_STALL_MS = MembershipConfig().max_stall_ms
MAX_CONCURRENT_FLEETS = 4
SETTLE_SECONDS = 2.0
MAX_CONVERGE_SECONDS = 20.0  # until all members know each other, at first and after a fault
SIMULATED_SETTLE_MS = 8_000.0
SIMULATED_CONVERGE_MS = 10_000.0


@dataclass(slots=True, frozen=True)
class Result:
    """Outcome of one case in one fleet; a time is infinite if the event did not happen."""

    case: FaultCase
    members: int
    unexpected_deaths: int
    detection_ms: tuple[float, ...]
    convergence_ms: float
    traffic: Traffic

    def line(self) -> str:
        """Returns the line that is printed for this result."""
        times_ms = sorted(self.detection_ms)
        measured = f"{times_ms[len(times_ms) // 2]:.0f}, {times_ms[-1]:.0f}" if times_ms else "-"
        return (
            f"{self.case.name:20} {self.members:5}  wrong {self.unexpected_deaths}  "
            f"detect p50, max {measured:12} converge {self.convergence_ms:6.0f}  "
            f"{self.traffic.bytes_per_second:7.0f} bytes/s "
            f"{self.traffic.datagrams_per_second:5.1f} datagrams/s"
        )


def evaluate(
    case: FaultCase,
    names: tuple[str, ...],
    changes: list[ObservedChange],
    started_ms: float,
    traffic: Traffic,
) -> Result:
    """Checks the history of a fleet on which a case was run from `started_ms` on."""
    faults = case.faults(names)
    ended_ms = started_ms + max(fault.at_ms + fault.duration_ms for fault in faults)
    expected = expected_failures(faults, names, started_ms, MAX_STALL_MS)
    detection_ms: tuple[float, ...] = ()
    if case.must_be_declared_dead:
        victim = faults[0].targets[0]
        observers = set(names) - {victim}
        measured = detection_times_ms(changes, victim, started_ms, observers)
        detection_ms = (*measured.values(), *[math.inf] * (len(observers) - len(measured)))
    convergence_ms = convergence_time_ms(changes, ended_ms, names)
    return Result(
        case,
        len(names),
        len(unexpected_deaths(changes, expected)),
        detection_ms,
        math.inf if convergence_ms is None else convergence_ms,
        traffic,
    )


def count_traffic(fleet: Fleet) -> TrafficCount:
    """Counts the bytes and datagrams of the directors that reached the relays."""
    relays = [link.members for link in fleet.links.values() if link.members is not None]
    sent_bytes = sum(relay.received_bytes for relay in relays)
    return TrafficCount(time.monotonic(), sent_bytes, sum(relay.received_datagrams for relay in relays))


async def has_converged(fleet: Fleet, within_seconds: float) -> bool:
    """Waits until every member lists all others; returns whether that happens in time."""
    deadline = time.monotonic() + within_seconds
    while convergence_time_ms(fleet.observed_changes(), 0.0, fleet.names) is None:
        if time.monotonic() > deadline:
            return False
        await asyncio.sleep(0.1)
    return True


async def run_on_processes(
    case: FaultCase, members: int, seed: int, concurrency: asyncio.Semaphore
) -> Result:
    """Runs a case on a fleet of processes and prints its result."""
    names = tuple(f"n{index}" for index in range(members))
    async with concurrency:
        coordinator = await Coordinator().start()
        with tempfile.TemporaryDirectory() as folder:
            config = config_for([], coordinator)
            fleet = await Fleet(Path(folder), names, config, seed, None, {}).open()
            try:
                result = await run_case(fleet, case)
            finally:
                await fleet.close()
                coordinator.stop()
        print(result.line(), flush=True)
        return result


async def run_case(fleet: Fleet, case: FaultCase) -> Result:
    """Starts a fleet, runs a case on it and waits until every member lists all others again."""
    for name in fleet.names:
        await fleet.start(name)
    await has_converged(fleet, MAX_CONVERGE_SECONDS)
    await asyncio.sleep(SETTLE_SECONDS)
    before, started_ms = count_traffic(fleet), time.time() * 1000.0
    await run_schedule(fleet, case.faults(fleet.names))
    traffic = before.rate_until(count_traffic(fleet), len(fleet.names))
    await has_converged(fleet, MAX_CONVERGE_SECONDS)
    await asyncio.sleep(SETTLE_SECONDS)
    return evaluate(case, fleet.names, fleet.observed_changes(), started_ms, traffic)


def run_in_simulation(case: FaultCase, size: int, seed: int) -> Result:
    """Runs a case on a simulated network and prints its result."""
    net = cluster(size, seed, settle_ms=SIMULATED_SETTLE_MS)
    names, started_ms, before = tuple(net.nodes), net.now_ms, count_simulated(net)
    run_simulated_schedule(net, case.faults(names))
    traffic = before.rate_until(count_simulated(net), size)
    net.run(SIMULATED_CONVERGE_MS)
    result = evaluate(case, names, net.observed, started_ms, traffic)
    print(result.line(), flush=True)
    return result


def summary(results: list[Result]) -> str:
    """Returns the last line of the output."""
    times_ms = sorted(
        ms for result in results if result.case.kind == FaultKind.KILL for ms in result.detection_ms
    )
    p99_ms = times_ms[min(len(times_ms) - 1, math.ceil(0.99 * len(times_ms)) - 1)] if times_ms else math.nan
    partitions_ms = (result.convergence_ms for result in results if result.case.kind == FaultKind.PARTITION)
    return (
        f"wrong_deaths={sum(result.unexpected_deaths for result in results)} detect_p99_ms={p99_ms:.0f} "
        f"converge_max_ms={max(partitions_ms, default=math.nan):.0f} runs={len(results)}"
    )


def plot_results(results: list[Result], path: str) -> None:
    """Plots detection and convergence over the fleet size, a line for each case."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    by_case: dict[str, list[Result]] = defaultdict(list)
    for result in results:
        by_case[result.case.name].append(result)
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(11, 4))
    for name, case_results in by_case.items():
        slowest = [(r.members, max(r.detection_ms)) for r in case_results if r.detection_ms]
        detections = [point for point in slowest if point[1] < math.inf]
        if detections:
            left.plot(*zip(*sorted(detections), strict=True), "o-", label=name, alpha=0.7)
        converged = [(r.members, r.convergence_ms) for r in case_results]
        convergences = [point for point in converged if 0.0 < point[1] < math.inf]
        if convergences:
            right.plot(*zip(*sorted(convergences), strict=True), "o-", label=name, alpha=0.7)
    left.set(xlabel="members", ylabel="ms until all others declare it dead", xscale="log", ylim=(0, None))
    right.set(xlabel="members", ylabel="ms from the fault's end to convergence", xscale="log", ylim=(0, None))
    for axes in (left, right):
        axes.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=110)


async def run_all_on_processes(sizes: list[int], runs: int) -> list[Result]:
    """Runs every case on fleets of each size that is large enough for its targets."""
    concurrency = asyncio.Semaphore(MAX_CONCURRENT_FLEETS)
    runs_of_cases = [
        run_on_processes(case, size, run, concurrency)
        for size in sizes
        for run in range(runs)
        for case in CASES
        if size > max(case.target_indexes, default=0)
    ]
    return list(await asyncio.gather(*runs_of_cases))


def run_all_in_simulation(sizes: list[int], jobs: int) -> list[Result]:
    """Runs every case on simulated networks of each size, `jobs` at a time."""
    with ProcessPoolExecutor(max_workers=jobs) as pool:
        runs_of_cases = [pool.submit(run_in_simulation, case, size, 1) for size in sizes for case in CASES]
        return [future.result() for future in runs_of_cases]


def main() -> int:
    """Runs the benchmark; returns the exit code."""
    parser = argparse.ArgumentParser(description="Membership under its fault cases.")
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--directors", type=int, nargs="+", default=[3, 5, 7])
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--memory", help="sizes, in virtual time and without processes")
    parser.add_argument("--jobs", type=int, default=4, help="cases in memory at a time")
    parser.add_argument("--plot")
    options = parser.parse_args()
    if options.memory:
        results = run_all_in_simulation([int(size) for size in options.memory.split(",")], options.jobs)
    else:
        sizes, runs = ([5], 1) if options.quick else (options.directors, options.runs)
        results = asyncio.run(run_all_on_processes(sizes, runs))
    if options.plot:
        plot_results(results, options.plot)
    print(summary(results))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
