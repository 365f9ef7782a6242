"""Membership under its hard cases: wrong deaths, times to detect and to agree, between processes, in memory.

    python -m benchmarks.members_faults [--quick] [--directors 3 5 7] [--runs N] [--plot FILE.png]
    python -m benchmarks.members_faults --memory 64,256,1024 [--plot FILE.png]

Each case of `faultnet/membership_cases.py` is played to a fleet of processes with relays between every
ordered pair, four fleets at a time; `--quick` is 5 directors once. A line a case: deaths that nothing
accounts for, the times until each other member held a victim dead, until all held all for members again once
the fault was over (0: nobody was ever lost), and bytes and datagrams a second for each member while it was
played. The last line sums up: `converge_max_ms` is the partition's. `--memory` plays the same schedules
without processes, in virtual time; 1,024 members take some minutes a case.
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

from gladewalk.faultnet.causes import causes_of
from gladewalk.faultnet.fleet import Fleet
from gladewalk.faultnet.membership_cases import CASES, Case
from gladewalk.faultnet.nemesis import play
from gladewalk.members.config import MembershipConfig
from gladewalk.members.history import Seen, agreed_ms, detected_ms, wrong_deaths
from gladewalk.rehearsal.member_network import cluster
from gladewalk.rehearsal.member_network import play as play_in_memory
from gladewalk.rehearsal.peers import Coordinator, config_for

STALL_MS = MembershipConfig().max_stall_ms
AT_A_TIME = 4
SETTLE_S = 2.0
WAIT_S = 20.0  # for a fleet to meet, and to agree again


@dataclass(slots=True, frozen=True)
class Result:
    case: Case
    members: int
    wrong: int
    detect_ms: tuple[float, ...]
    converge_ms: float  # inf: they did not
    bytes_per_s: float
    datagrams_per_s: float

    def line(self) -> str:
        times = sorted(self.detect_ms)
        found = f"{times[len(times) // 2]:.0f}, {times[-1]:.0f}" if times else "-"
        return (f"{self.case.name:20} {self.members:5}  wrong {self.wrong}  detect p50, max {found:12} "
                f"converge {self.converge_ms:6.0f}  {self.bytes_per_s:7.0f} bytes/s "
                f"{self.datagrams_per_s:5.1f} datagrams/s")  # fmt: skip


def judged(
    case: Case, names: tuple[str, ...], seen: list[Seen], begun_ms: float, traffic: tuple[float, float]
) -> Result:
    faults = case.faults(names)
    ended = begun_ms + max(fault.at_ms + fault.ms for fault in faults)
    wrong = wrong_deaths(seen, causes_of(faults, names, begun_ms, STALL_MS))
    times: tuple[float, ...] = ()
    if case.found_dead:
        victim = faults[0].who[0]
        found = detected_ms(seen, victim, begun_ms, set(names) - {victim})
        times = (*found.values(), *[math.inf] * (len(names) - 1 - len(found)))
    agreed = agreed_ms(seen, ended, names)
    return Result(case, len(names), len(wrong), times, math.inf if agreed is None else agreed, *traffic)


def counted(fleet: Fleet) -> tuple[float, int, int]:
    """Time, and bytes and datagrams that directors have sent, as the relays saw them."""
    relays = [link.members for link in fleet.links.values() if link.members is not None]
    return time.monotonic(), sum(one.bytes for one in relays), sum(one.taken for one in relays)


async def met(fleet: Fleet, within_s: float) -> bool:
    ends = time.monotonic() + within_s
    while agreed_ms(fleet.members_seen(), 0.0, fleet.names) is None:
        if time.monotonic() > ends:
            return False
        await asyncio.sleep(0.1)
    return True


async def across_processes(case: Case, n: int, seed: int, gate: asyncio.Semaphore) -> Result:
    names = tuple(f"n{i}" for i in range(n))
    async with gate:
        coordinator = await Coordinator().start()
        with tempfile.TemporaryDirectory() as folder:
            fleet = await Fleet(Path(folder), names, config_for([], coordinator), seed, None, {}).open()
            try:
                for name in names:
                    await fleet.start(name)
                await met(fleet, WAIT_S)
                await asyncio.sleep(SETTLE_S)
                before, begun = counted(fleet), time.time() * 1000.0
                await play(fleet, case.faults(names))
                after = counted(fleet)
                await met(fleet, WAIT_S)
                await asyncio.sleep(SETTLE_S)
                seen = fleet.members_seen()
            finally:
                await fleet.close()
                coordinator.stop()
        span = (after[0] - before[0]) * n
        traffic = (after[1] - before[1]) / span, (after[2] - before[2]) / span
        result = judged(case, names, seen, begun, traffic)
        print(result.line(), flush=True)
        return result


def in_memory(case: Case, size: int, seed: int) -> Result:
    net = cluster(size, seed, settle_ms=8_000.0)
    begun, names = net.now, tuple(net.nodes)
    before, sent = sum(net.bytes.values()), sum(net.sent.values())
    play_in_memory(net, case.faults(names))
    span = (net.now - begun) / 1_000.0 * size
    traffic = (sum(net.bytes.values()) - before) / span, (sum(net.sent.values()) - sent) / span
    net.run(10_000.0)
    result = judged(case, names, net.seen, begun, traffic)
    print(result.line(), flush=True)
    return result


def summary(results: list[Result]) -> str:
    times = sorted(ms for r in results if r.case.kind == "kill" for ms in r.detect_ms)
    p99 = times[min(len(times) - 1, math.ceil(0.99 * len(times)) - 1)] if times else math.nan
    converge = max((r.converge_ms for r in results if r.case.kind == "partition"), default=math.nan)
    return (f"wrong_deaths={sum(r.wrong for r in results)} detect_p99_ms={p99:.0f} "
            f"converge_max_ms={converge:.0f} runs={len(results)}")  # fmt: skip


def draw(results: list[Result], path: str) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    by_case: dict[str, list[Result]] = defaultdict(list)
    for result in results:
        by_case[result.case.name].append(result)
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(11, 4))
    for name, some in by_case.items():
        points = [(r.members, max(r.detect_ms)) for r in some if r.detect_ms and max(r.detect_ms) < math.inf]
        if points:
            left.plot(*zip(*sorted(points), strict=True), "o-", label=name, alpha=0.7)
        agreed = [(r.members, r.converge_ms) for r in some if 0.0 < r.converge_ms < math.inf]
        if agreed:
            right.plot(*zip(*sorted(agreed), strict=True), "o-", label=name, alpha=0.7)
    left.set(xlabel="members", ylabel="ms until all others hold it dead", xscale="log", ylim=(0, None))
    right.set(xlabel="members", ylabel="ms from the fault's end to one roster", xscale="log", ylim=(0, None))
    for axes in (left, right):
        axes.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=110)


async def all_across(sizes: list[int], runs: int) -> list[Result]:
    gate = asyncio.Semaphore(AT_A_TIME)
    work = [across_processes(case, n, run, gate) for n in sizes for run in range(runs) for case in CASES
            if n > max(case.who, default=0)]  # fmt: skip
    return list(await asyncio.gather(*work))


def main() -> int:
    parser = argparse.ArgumentParser(description="Membership under its hard cases.")
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--directors", type=int, nargs="+", default=[3, 5, 7])
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--memory", help="sizes, in virtual time and without processes")
    parser.add_argument("--jobs", type=int, default=4, help="cases in memory at a time")
    parser.add_argument("--plot")
    given = parser.parse_args()
    if given.memory:
        large = map(int, given.memory.split(","))
        with ProcessPoolExecutor(max_workers=given.jobs) as pool:
            works = [pool.submit(in_memory, case, size, 1) for size in large for case in CASES]
            results = [work.result() for work in works]
    else:
        sizes, runs = ([5], 1) if given.quick else (given.directors, given.runs)
        results = asyncio.run(all_across(sizes, runs))
    if given.plot:
        draw(results, given.plot)
    print(summary(results))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
