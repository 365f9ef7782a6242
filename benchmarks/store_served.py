"""Served requests while the store compacts, beside the same director whose store never has to.

    python -m benchmarks.store_served [--seconds 6] [--rate 1000] [--rounds 3]

Two directors as processes, in turn: both are told purges at the same rate and write each to their store; one
has segments of 64 KB, which are full of garbage soon and compacted again and again, the other one segment
that is never full. Clients ask for other objects all the while; printed are p50 and p99 of their waits, and
how often was compacted.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import statistics
import sys
import tempfile
import time
from pathlib import Path

from gladewalk.control.client import query_director
from gladewalk.rehearsal.peers import SETTINGS, Coordinator, Heard, ScriptedPeer, config_for

from .store_kills import OBJECTS, Run

KINDS = {"compacting": 65_536, "not": 1 << 30}


async def serve(heard: Heard) -> None:
    await heard.answer(200, b"copy", X_Remark="mem")


async def client(run: Run, draw: random.Random, waits: list[float], until: float) -> None:
    while time.monotonic() < until:
        began = time.perf_counter()
        await run.ask(f"{draw.randrange(OBJECTS):x}", draw.getrandbits(60))
        waits.append((time.perf_counter() - began) * 1_000.0)


async def tell(coordinator: Coordinator, rate: float, draw: random.Random, until: float) -> None:
    while time.monotonic() < until:
        for _ in range(max(1, int(rate / 100))):
            coordinator.tell(
                evict={"ref": f"{4_096 + draw.randrange(500):x}", "unix_ms": time.time() * 1000.0}
            )
        await asyncio.sleep(0.01)


async def turn(kind: str, seconds: float, rate: float, folder: Path) -> tuple[list[float], int]:
    coordinator, draw = await Coordinator().start(), random.Random(1)
    peers = [await ScriptedPeer(serve, f"c{n}").start() for n in range(3)]
    run = Run(folder, "each")
    text = (folder / "own.toml").read_text().replace("policy", f"segment_bytes = {KINDS[kind]}\npolicy")
    (folder / "own.toml").write_text(text)
    await run.start(json.loads(json.dumps(config_for(peers, coordinator, SETTINGS))))
    waits: list[float] = []
    until = time.monotonic() + seconds
    clients = [client(run, random.Random(n), waits, until) for n in range(4)]
    await asyncio.gather(tell(coordinator, rate, draw, until), *clients)
    told = await asyncio.to_thread(query_director, folder / "control", "store")
    await run.kill()
    coordinator.stop()
    for peer in peers:
        peer.stop()
    return waits, int(told["compactions"])


async def play(seconds: float, rate: float, rounds: int) -> None:
    found: dict[str, list[tuple[float, float, int]]] = {kind: [] for kind in KINDS}
    for _ in range(rounds):
        for kind in KINDS:
            with tempfile.TemporaryDirectory() as folder:
                waits, compactions = await turn(kind, seconds, rate, Path(folder))
            waits.sort()
            found[kind].append((waits[len(waits) // 2], waits[int(len(waits) * 0.99)], compactions))
    for kind, rows in found.items():
        p50, p99 = (statistics.median(row[n] for row in rows) for n in (0, 1))
        print(f"{kind:10}: p50 {p50:.2f} ms, p99 {p99:.2f} ms, {sum(row[2] for row in rows)} compactions")
    ratios = [a[1] / b[1] for a, b in zip(found["compacting"], found["not"], strict=True)]
    print(f"p99, compacting over not: {', '.join(f'{ratio:.2f}' for ratio in ratios)}")


def main() -> int:
    parser = argparse.ArgumentParser(description="Served requests while the store compacts.")
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--rate", type=float, default=1_000.0, help="purges a second")
    parser.add_argument("--rounds", type=int, default=3)
    given = parser.parse_args()
    asyncio.run(play(given.seconds, given.rate, given.rounds))
    return 0


if __name__ == "__main__":
    sys.exit(main())
