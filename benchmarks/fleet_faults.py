"""Leases across processes under seeded faults: overlaps, stale tokens, longest time without a holder.

    python -m benchmarks.fleet_faults [--quick] [--directors 3 5 7] [--runs N] [--seed S] [--plot FILE.png]

Each run starts its directors on loopback with relays between every ordered pair and waits for a holder. Then
it injects one fault after another from a seeded schedule (pause, kill, clean stop, one-way cuts, a minority
partition, loss, delay), with a pause after each. During each fault, it orders a purge at a director that the
fault does not affect. It checks the records of the fenced resources, and that every acknowledged purge was
performed at every hub. It prints a line for each run, then the handover times by kind of fault and number of
directors: from the fault until another director operates under the lease. A director that stops cleanly hands
its lease over at once. The last line is a summary. `--quick` is 2 runs of 6 faults with 3 and 5 directors.
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
WAIT_S = 10.0  # for the first holder, and at the end until every purge is performed
Times = dict[tuple[str, int], list[float]]  # (kind of fault, directors) -> handover times, ms


def holder_of(fleet: Fleet) -> str:
    """Returns the holder of the last operation that the first hub accepted; empty if there is none."""
    accepted = [record for record in fleet.hubs[0].fence.records if record.is_accepted]
    return accepted[-1].holder if accepted else ""


async def handover_ms(fleet: Fleet, since_ms: float, victim: str) -> float:
    """Returns the ms from `since_ms` until a director other than `victim` uses the purge lease, or nan."""
    deadline = time.monotonic() + 6.0
    while time.monotonic() < deadline:
        for record in fleet.hubs[0].fence.records:  # in the order they arrived
            if record.is_accepted and record.holder != victim and record.received_at_ms > since_ms:
                return record.received_at_ms - since_ms
        await asyncio.sleep(0.02)
    return float("nan")


async def order_purge(fleet: Fleet, name: str) -> str:
    """Orders a purge at a director; returns its id, or an empty string if it is not acknowledged in 5 s."""
    try:
        id = str((await fleet.query(name, "purge", what="o:1"))["id"])
        for _ in range(100):
            if (await fleet.query(name, "order", id=id))["acknowledged"]:
                return id
            await asyncio.sleep(0.05)
    except ControlError:
        pass
    return ""


async def run_fault(fleet: Fleet, fault: Fault, times: Times, acknowledged: list[str]) -> None:
    """Injects one fault into the holder, orders a purge meanwhile, and waits until the fleet has settled."""
    holder = holder_of(fleet)
    targets = fault.targets
    if fault.kind is not FaultKind.PARTITION or holder not in targets:
        targets = (holder, *targets[1:])
    fault = msgspec.structs.replace(fault, at_ms=0.0, duration_ms=FAULT_MS, targets=targets)
    begun = time.time() * 1000.0
    applied = asyncio.ensure_future(inject_fault(fleet, fault))
    unaffected = next(name for name in fleet.names if name not in targets)
    ordered = asyncio.ensure_future(order_purge(fleet, unaffected))
    if fault.kind not in (FaultKind.LOSS, FaultKind.DELAY):
        times[fault.kind, len(fleet.names)].append(await handover_ms(fleet, begun, holder))
    await applied
    acknowledged.append(await ordered)
    await asyncio.sleep(SETTLE_S)


async def run_fleet(count: int, seed: int, faults: int, times: Times) -> Verdict:
    """Runs a fleet of `count` directors under seeded faults; adds handover times to `times`."""
    coordinator = await Coordinator().start()
    names = tuple(f"n{i}" for i in range(count))
    acknowledged: list[str] = []
    with tempfile.TemporaryDirectory() as folder:
        fleet = await Fleet(Path(folder), names, config_for([], coordinator), seed, {}).open()
        try:
            for name in names:
                await fleet.start(name)
            deadline = time.monotonic() + WAIT_S
            while not holder_of(fleet) and time.monotonic() < deadline:
                await asyncio.sleep(0.05)
            await asyncio.sleep(1.0)
            for fault in generate_schedule(seed, names, 60_000.0, faults):
                await run_fault(fleet, fault, times, acknowledged)
            verdict = fleet.verdict(time.time() * 1000.0)
            ids = {id for id in acknowledged if id}
            deadline = time.monotonic() + WAIT_S
            while lost_ids := [id for id in ids if any(id not in hub.purges for hub in fleet.hubs)]:
                if time.monotonic() > deadline:
                    break
                await asyncio.sleep(0.05)
        finally:
            await fleet.close()
            coordinator.stop()
    print(f"{count} directors seed {seed}: {verdict.summary(1)} acts={verdict.operations} "
          f"refused={verdict.rejections} purges={len(acknowledged)} "
          f"acknowledged={len(ids)} lost={len(lost_ids)}", flush=True)  # fmt: skip
    return verdict


async def main_async(sizes: list[int], runs: int, seed: int, faults: int, plot: str | None) -> None:
    """Executes all runs and prints their measurements."""
    times: Times = defaultdict(list)
    verdicts = [await run_fleet(count, seed + run, faults, times) for count in sizes for run in range(runs)]
    for (kind, count), all_ms in sorted(times.items()):
        measured_ms = sorted(time_ms for time_ms in all_ms if time_ms == time_ms)
        times_text = (
            f"median {measured_ms[len(measured_ms) // 2]:.0f} most {measured_ms[-1]:.0f}"
            if measured_ms
            else "none"
        )
        print(f"handover after {kind} at {count}: {len(measured_ms)} of {len(all_ms)} done, ms {times_text}")
    if plot:
        plot_handovers(times, plot)
    overlaps, stale = sum(v.overlaps for v in verdicts), sum(v.stale_accepted for v in verdicts)
    orphan = max(v.max_gap_ms for v in verdicts)
    print(f"overlaps={overlaps} stale_accepted={stale} orphan_max_ms={orphan:.0f} runs={len(verdicts)}")


def plot_handovers(times: Times, path: str) -> None:
    """Plots handover times by kind of fault and number of directors."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    kinds = sorted({kind for kind, _ in times})
    sizes = sorted({count for _, count in times})
    figure, axes = pyplot.subplots(figsize=(9, 4))
    for offset, count in enumerate(sizes):
        for index, kind in enumerate(kinds):
            measured_ms = [time_ms for time_ms in times.get((kind, count), []) if time_ms == time_ms]
            x_position = index + 0.22 * (offset - (len(sizes) - 1) / 2)
            label = f"{count} directors" if index == 0 else None
            axes.plot(
                [x_position] * len(measured_ms), measured_ms, "o", color=f"C{offset}", alpha=0.6, label=label
            )
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
    options = parser.parse_args()
    sizes = [3, 5] if options.quick else options.directors
    runs, faults = (2, 6) if options.quick else (options.runs, options.faults)
    asyncio.run(main_async(sizes, runs, options.seed, faults, options.plot))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
