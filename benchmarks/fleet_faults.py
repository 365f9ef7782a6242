"""Exclusive duties across processes under seeded faults: overlaps, stale tokens, longest orphaned span.

    python -m benchmarks.fleet_faults [--quick] [--directors 3 5 7] [--runs N] [--seed S] [--plot FILE.png]

Each run starts its directors on loopback with relays between every ordered pair, waits for a holder, then
plays one fault after the other from a seeded schedule (pause, kill, clean stop, one-way cuts, a minority
side, loss, delay), each followed by a pause to settle, and orders a purge at a director that is not hit while
each fault lasts. The resources' records are checked; every acknowledged purge must be done at every hub. A
line a run; then the handover time of each kind of fault at each size (from the fault until another acts; a
clean stop is handed on at once); the last line sums up. `--quick` is 2 runs of 6 faults at 3 and 5.
"""

from __future__ import annotations

import argparse
import asyncio
import tempfile
import time
from collections import defaultdict
from pathlib import Path

import msgspec

from gladewalk.control.client import ControlError
from gladewalk.faultnet.fleet import Fleet
from gladewalk.faultnet.nemesis import inject_fault
from gladewalk.faultnet.schedule import Fault, FaultKind, generate_schedule
from gladewalk.leases.history import Verdict
from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import config_for

SETTLE_S = 2.0
FAULT_MS = 2_500.0
WAIT_S = 10.0  # for a first holder, and for every purge at the end
Times = dict[tuple[str, int], list[float]]  # (kind, directors) -> handover times, ms


def holder_of(fleet: Fleet) -> str:
    """Returns the holder of the last operation that the first hub accepted; empty without one."""
    accepted = [record for record in fleet.hubs[0].fence.records if record.is_accepted]
    return accepted[-1].holder if accepted else ""


async def handover_ms(fleet: Fleet, since_ms: float, victim: str) -> float:
    """From `since_ms` until another than `victim` operates under the purge lease, or nan."""
    ends = time.monotonic() + 6.0
    while time.monotonic() < ends:
        for record in fleet.hubs[0].fence.records:  # in the order they arrived
            if record.is_accepted and record.holder != victim and record.received_at_ms > since_ms:
                return record.received_at_ms - since_ms
        await asyncio.sleep(0.02)
    return float("nan")


async def order(fleet: Fleet, name: str) -> str:
    """A purge's id once it is acknowledged; empty if it is not in time."""
    try:
        id = str((await fleet.query(name, "purge", what="o:1"))["id"])
        for _ in range(100):
            if (await fleet.query(name, "order", id=id))["acknowledged"]:
                return id
            await asyncio.sleep(0.05)
    except ControlError:
        pass
    return ""


async def play_one(fleet: Fleet, fault: Fault, times: Times, acknowledged: list[str]) -> None:
    """One fault on the holder, for its whole length."""
    holder = holder_of(fleet)
    targets = fault.targets
    if fault.kind is not FaultKind.PARTITION or holder not in targets:
        targets = (holder, *targets[1:])
    fault = msgspec.structs.replace(fault, at_ms=0.0, duration_ms=FAULT_MS, targets=targets)
    begun = time.time() * 1000.0
    applied = asyncio.ensure_future(inject_fault(fleet, fault))
    well = next(name for name in fleet.names if name not in targets)
    ordered = asyncio.ensure_future(order(fleet, well))
    if fault.kind not in (FaultKind.LOSS, FaultKind.DELAY):
        times[fault.kind, len(fleet.names)].append(await handover_ms(fleet, begun, holder))
    await applied
    acknowledged.append(await ordered)
    await asyncio.sleep(SETTLE_S)


async def one(n: int, seed: int, faults: int, times: Times) -> Verdict:
    """Plays one fleet of `n` directors under drawn faults; handover times go into `times`."""
    coordinator = await Coordinator().start()
    names = tuple(f"n{i}" for i in range(n))
    acknowledged: list[str] = []
    with tempfile.TemporaryDirectory() as folder:
        fleet = await Fleet(Path(folder), names, config_for([], coordinator), seed, {}).open()
        try:
            for name in names:
                await fleet.start(name)
            ends = time.monotonic() + WAIT_S
            while not holder_of(fleet) and time.monotonic() < ends:
                await asyncio.sleep(0.05)
            await asyncio.sleep(1.0)
            for fault in generate_schedule(seed, names, 60_000.0, faults):
                await play_one(fleet, fault, times, acknowledged)
            verdict = fleet.verdict(time.time() * 1000.0)
            ids = {id for id in acknowledged if id}
            ends = time.monotonic() + WAIT_S
            while lost := [id for id in ids if any(id not in hub.purges for hub in fleet.hubs)]:
                if time.monotonic() > ends:
                    break
                await asyncio.sleep(0.05)
        finally:
            await fleet.close()
            coordinator.stop()
    print(f"{n} directors seed {seed}: {verdict.summary(1)} acts={verdict.operations} "
          f"refused={verdict.rejections} purges={len(acknowledged)} "
          f"acknowledged={len(ids)} lost={len(lost)}", flush=True)  # fmt: skip
    return verdict


async def main_async(sizes: list[int], runs: int, seed: int, faults: int, plot: str | None) -> None:
    """Plays all runs and prints their figures."""
    times: Times = defaultdict(list)
    verdicts = [await one(n, seed + run, faults, times) for n in sizes for run in range(runs)]
    for (kind, n), all_of_them in sorted(times.items()):
        got = sorted(t for t in all_of_them if t == t)
        told = f"median {got[len(got) // 2]:.0f} most {got[-1]:.0f}" if got else "none"
        print(f"handover after {kind} at {n}: {len(got)} of {len(all_of_them)} taken on, ms {told}")
    if plot:
        draw(times, plot)
    overlaps, stale = sum(v.overlaps for v in verdicts), sum(v.stale_accepted for v in verdicts)
    orphan = max(v.max_gap_ms for v in verdicts)
    print(f"overlaps={overlaps} stale_accepted={stale} orphan_max_ms={orphan:.0f} runs={len(verdicts)}")


def draw(times: Times, path: str) -> None:
    """Plots handover times by kind of fault and number of directors."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    kinds = sorted({kind for kind, _ in times})
    sizes = sorted({n for _, n in times})
    figure, axes = pyplot.subplots(figsize=(9, 4))
    for offset, n in enumerate(sizes):
        for at, kind in enumerate(kinds):
            got = [t for t in times.get((kind, n), []) if t == t]
            place = at + 0.22 * (offset - (len(sizes) - 1) / 2)
            label = f"{n} directors" if at == 0 else None
            axes.plot([place] * len(got), got, "o", color=f"C{offset}", alpha=0.6, label=label)
    axes.axhline(2_000.0, color="grey", linestyle=":")
    axes.set_xticks(range(len(kinds)), kinds)
    axes.set(ylabel="ms until another acts", ylim=(0, None))
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def main() -> int:
    """Runs the benchmark; returns its exit code."""
    parser = argparse.ArgumentParser(description="Exclusive duties across processes under seeded faults.")
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--directors", type=int, nargs="+", default=[3, 5, 7])
    parser.add_argument("--runs", type=int, default=4)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--faults", type=int, default=12)
    parser.add_argument("--plot")
    given = parser.parse_args()
    sizes = [3, 5] if given.quick else given.directors
    runs, faults = (2, 6) if given.quick else (given.runs, given.faults)
    asyncio.run(main_async(sizes, runs, given.seed, faults, given.plot))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
