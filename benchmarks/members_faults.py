"""Membership under its fault cases: unexpected deaths, detection, convergence; in processes or simulated.

    python -m benchmarks.members_faults [--quick] [--directors 3 5 7] [--runs N] [--plot FILE.png]
    python -m benchmarks.members_faults --memory 64,256,1024 [--plot FILE.png]

Each case of `faultnet/membership_cases.py` is played to a fleet of processes with relays between every
ordered pair, four fleets at a time; `--quick` is 5 directors once. A line a case: unexpected deaths, times
until each other member declared a victim dead, until all held all for members again after the fault
(0: nobody was ever lost), and bytes and datagrams a second for each member while it was played. The last line
sums up: `converge_max_ms` is the partition's. `--memory` plays the same schedules without processes, in
virtual time; 1,024 members take some minutes a case.
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
from gladewalk.rehearsal.member_faults import run_schedule as play_simulated
from gladewalk.rehearsal.member_network import cluster

MAX_STALL_MS = MembershipConfig().max_stall_ms
MAX_CONCURRENT_FLEETS = 4
SETTLE_SECONDS = 2.0
MAX_CONVERGE_SECONDS = 20.0  # for a fleet to meet, and to agree again
SIMULATED_SETTLE_MS = 8_000.0
SIMULATED_CONVERGE_MS = 10_000.0


@dataclass(slots=True, frozen=True)
class Result:
    """Outcome of one case in one fleet; an infinite time stands for one that never came."""

    case: FaultCase
    members: int
    unexpected_deaths: int
    detection_ms: tuple[float, ...]
    convergence_ms: float
    traffic: Traffic

    def line(self) -> str:
        """Text of one line of the output."""
        times_ms = sorted(self.detection_ms)
        found = f"{times_ms[len(times_ms) // 2]:.0f}, {times_ms[-1]:.0f}" if times_ms else "-"
        return (
            f"{self.case.name:20} {self.members:5}  wrong {self.unexpected_deaths}  "
            f"detect p50, max {found:12} converge {self.convergence_ms:6.0f}  "
            f"{self.traffic.bytes_per_second:7.0f} bytes/s "
            f"{self.traffic.datagrams_per_second:5.1f} datagrams/s"
        )


def evaluate(
    case: FaultCase,
    names: tuple[str, ...],
    changes: list[ObservedChange],
    begun_ms: float,
    traffic: Traffic,
) -> Result:
    """Checks the history of a fleet to which a case was played from `begun_ms` on."""
    faults = case.faults(names)
    ended_ms = begun_ms + max(fault.at_ms + fault.duration_ms for fault in faults)
    expected = expected_failures(faults, names, begun_ms, MAX_STALL_MS)
    detection_ms: tuple[float, ...] = ()
    if case.must_be_declared_dead:
        victim = faults[0].targets[0]
        observers = set(names) - {victim}
        found = detection_times_ms(changes, victim, begun_ms, observers)
        detection_ms = (*found.values(), *[math.inf] * (len(observers) - len(found)))
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
    """Counts what directors have sent, as the relays saw it."""
    relays = [link.members for link in fleet.links.values() if link.members is not None]
    sent_bytes = sum(relay.received_bytes for relay in relays)
    return TrafficCount(time.monotonic(), sent_bytes, sum(relay.received_datagrams for relay in relays))


async def has_converged(fleet: Fleet, within_seconds: float) -> bool:
    """Waits until all hold all for members; returns whether they do in time."""
    ends = time.monotonic() + within_seconds
    while convergence_time_ms(fleet.observed_changes(), 0.0, fleet.names) is None:
        if time.monotonic() > ends:
            return False
        await asyncio.sleep(0.1)
    return True


async def play_to_processes(
    case: FaultCase, members: int, seed: int, concurrency: asyncio.Semaphore
) -> Result:
    """Plays a case to a fleet of processes and prints its result."""
    names = tuple(f"n{index}" for index in range(members))
    async with concurrency:
        coordinator = await Coordinator().start()
        with tempfile.TemporaryDirectory() as folder:
            config = config_for([], coordinator)
            fleet = await Fleet(Path(folder), names, config, seed, None, {}).open()
            try:
                result = await play_case(fleet, case)
            finally:
                await fleet.close()
                coordinator.stop()
        print(result.line(), flush=True)
        return result


async def play_case(fleet: Fleet, case: FaultCase) -> Result:
    """Starts a fleet, plays a case to it and waits until its members agree again."""
    for name in fleet.names:
        await fleet.start(name)
    await has_converged(fleet, MAX_CONVERGE_SECONDS)
    await asyncio.sleep(SETTLE_SECONDS)
    before, begun_ms = count_traffic(fleet), time.time() * 1000.0
    await run_schedule(fleet, case.faults(fleet.names))
    traffic = before.rate_until(count_traffic(fleet), len(fleet.names))
    await has_converged(fleet, MAX_CONVERGE_SECONDS)
    await asyncio.sleep(SETTLE_SECONDS)
    return evaluate(case, fleet.names, fleet.observed_changes(), begun_ms, traffic)


def play_to_simulation(case: FaultCase, size: int, seed: int) -> Result:
    """Plays a case to a simulated network and prints its result."""
    net = cluster(size, seed, settle_ms=SIMULATED_SETTLE_MS)
    names, begun_ms, before = tuple(net.nodes), net.now_ms, count_simulated(net)
    play_simulated(net, case.faults(names))
    traffic = before.rate_until(count_simulated(net), size)
    net.run(SIMULATED_CONVERGE_MS)
    result = evaluate(case, names, net.observed, begun_ms, traffic)
    print(result.line(), flush=True)
    return result


def summary(results: list[Result]) -> str:
    """Text of the last line."""
    times_ms = sorted(
        ms for result in results if result.case.kind == FaultKind.KILL for ms in result.detection_ms
    )
    p99_ms = times_ms[min(len(times_ms) - 1, math.ceil(0.99 * len(times_ms)) - 1)] if times_ms else math.nan
    partitions_ms = (result.convergence_ms for result in results if result.case.kind == FaultKind.PARTITION)
    return (
        f"wrong_deaths={sum(result.unexpected_deaths for result in results)} detect_p99_ms={p99_ms:.0f} "
        f"converge_max_ms={max(partitions_ms, default=math.nan):.0f} runs={len(results)}"
    )


def draw(results: list[Result], path: str) -> None:
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


async def play_all_to_processes(sizes: list[int], runs: int) -> list[Result]:
    """Plays every case to fleets of each size that have all its victims."""
    concurrency = asyncio.Semaphore(MAX_CONCURRENT_FLEETS)
    plays = [
        play_to_processes(case, size, run, concurrency)
        for size in sizes
        for run in range(runs)
        for case in CASES
        if size > max(case.target_indexes, default=0)
    ]
    return list(await asyncio.gather(*plays))


def play_all_to_simulations(sizes: list[int], jobs: int) -> list[Result]:
    """Plays every case to simulated networks of each size, so many at a time."""
    with ProcessPoolExecutor(max_workers=jobs) as pool:
        plays = [pool.submit(play_to_simulation, case, size, 1) for size in sizes for case in CASES]
        return [play.result() for play in plays]


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
        results = play_all_to_simulations([int(size) for size in options.memory.split(",")], options.jobs)
    else:
        sizes, runs = ([5], 1) if options.quick else (options.directors, options.runs)
        results = asyncio.run(play_all_to_processes(sizes, runs))
    if options.plot:
        draw(results, options.plot)
    print(summary(results))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
