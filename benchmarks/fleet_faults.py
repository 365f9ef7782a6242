"""Exclusive duties across processes under seeded faults: overlaps, stale tokens, longest orphaned span.

    python -m benchmarks.fleet_faults [--quick] [--directors 3 5] [--runs N] [--seed S]

Each run starts its directors on loopback with relays between every ordered pair, waits for a holder, then
plays one fault after the other from a seeded schedule (pause, kill, clean stop, one-way cuts, a minority
side, loss, delay), each followed by a pause to settle, and checks the sink's record. A line a run with its
figures and the handover time of each fault kind; the last line sums them up. `--quick` is 2 runs a size.
"""

from __future__ import annotations

import argparse
import asyncio
import tempfile
import time
from collections import defaultdict
from pathlib import Path

from gladewalk.faultnet.fleet import Fleet
from gladewalk.faultnet.nemesis import apply, generate
from gladewalk.leases.history import check
from gladewalk.rehearsal.peers import Coordinator, config_for

SETTLE_S = 2.0
FAULT_MS = 2_500.0


async def handover_ms(fleet: Fleet, since_ms: float, victim: str) -> float:
    """From `since_ms` until another than `victim` acts under the first duty, or nan."""
    ends = time.monotonic() + 6.0
    while time.monotonic() < ends:
        for act in fleet.sink.fence.acts:
            if act.duty == "purge" and act.accepted and act.at_ms > since_ms and act.actor != victim:
                return act.at_ms - since_ms
        await asyncio.sleep(0.02)
    return float("nan")


async def one(n: int, seed: int, faults: int, by_kind: dict[str, list[float]]) -> tuple[int, int, float]:
    coordinator = await Coordinator().start()
    names = tuple(f"n{i}" for i in range(n))
    with tempfile.TemporaryDirectory() as folder:
        fleet = await Fleet(Path(folder), names, config_for([], coordinator), seed).open()
        try:
            for name in names:
                await fleet.start(name)
            await asyncio.sleep(4.0)
            for fault in generate(seed, names, 60_000.0, faults):
                acts = [a for a in fleet.sink.fence.acts if a.duty == "purge" and a.accepted]
                holder = acts[-1].actor if acts else ""
                who = (holder,) if holder and fault.kind != "partition" else fault.who
                if fault.kind == "partition" and holder and holder not in who:
                    who = (holder, *who[1:])
                fault = type(fault)(0.0, FAULT_MS, fault.kind, who, fault.amount)
                begun = time.time() * 1000.0
                applied = asyncio.ensure_future(apply(fleet, fault))
                if fault.kind not in ("loss", "delay"):
                    by_kind[fault.kind].append(await handover_ms(fleet, begun, holder))
                await applied
                await asyncio.sleep(SETTLE_S)
            verdict = check(fleet.sink.fence.acts, time.time() * 1000.0)
        finally:
            await fleet.close()
            coordinator.stop()
    print(
        f"{n} directors seed {seed}: {verdict.line(1)} acts={verdict.acts} refused={verdict.refused}",
        flush=True,
    )
    return verdict.overlaps, verdict.stale_accepted, verdict.orphan_max_ms


async def main_async(sizes: list[int], runs: int, seed: int, faults: int) -> None:
    by_kind: dict[str, list[float]] = defaultdict(list)
    overlaps = stale = 0
    orphan = 0.0
    for n in sizes:
        for run in range(runs):
            o, s, gap = await one(n, seed + run, faults, by_kind)
            overlaps, stale, orphan = overlaps + o, stale + s, max(orphan, gap)
    for kind, times in sorted(by_kind.items()):
        got = sorted(t for t in times if t == t)
        told = f"median {got[len(got) // 2]:.0f} most {got[-1]:.0f}" if got else "none"
        print(f"handover after {kind}: {len(got)} of {len(times)} taken on, ms {told}")
    print(f"overlaps={overlaps} stale_accepted={stale} orphan_max_ms={orphan:.0f} runs={runs * len(sizes)}")


def main() -> int:
    parser = argparse.ArgumentParser(description="Exclusive duties across processes under seeded faults.")
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--directors", type=int, nargs="+", default=[3, 5, 7])
    parser.add_argument("--runs", type=int, default=4)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--faults", type=int, default=12)
    given = parser.parse_args()
    sizes = [3, 5] if given.quick else given.directors
    runs, faults = (2, 6) if given.quick else (given.runs, given.faults)
    asyncio.run(main_async(sizes, runs, given.seed, faults))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
