"""Latency of served requests while the store compacts, compared with a director whose store never compacts.

    python -m benchmarks.store_served [--seconds 6] [--rate 1000] [--rounds 3]

Two directors run as processes, in turn. Both receive purges at the same rate and write each one to their
store. One store has segments of 64 KB, which soon consist of obsolete records and are compacted repeatedly;
the other has one segment that never fills up. Meanwhile, clients request other objects. It prints p50 and p99
of their latencies and the number of compactions.
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
from dataclasses import dataclass
from pathlib import Path

from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import SETTINGS, config_for
from gladewalk.rehearsal.scripted_servers import ReceivedRequest, ScriptedServer

from .director_process import DirectorProcess
from .store_kills import OBJECT_COUNT, SERVER_COUNT

SEGMENT_BYTES = {"compacting": 65_536, "not": 1 << 30}
CLIENT_COUNT = 4
FIRST_PURGED_OBJECT, PURGED_OBJECT_COUNT = 4_096, 500  # no client requests these
TICK_SECONDS = 0.01
TICKS_PER_SECOND = 100


@dataclass(slots=True, frozen=True)
class RoundResult:
    """The latencies of one round in milliseconds, and its number of compactions."""

    p50_ms: float
    p99_ms: float
    compactions: int


async def serve(request: ReceivedRequest) -> None:
    """Responds as a cache that has every object."""
    await request.respond(200, b"copy", X_Remark="mem")


async def send_requests(
    director: DirectorProcess, rng: random.Random, waits_ms: list[float], until: float
) -> None:
    """Sends requests one after another until a time of the monotonic clock."""
    while time.monotonic() < until:
        began = time.perf_counter()
        await director.request_object(f"{rng.randrange(OBJECT_COUNT):x}", rng.getrandbits(60))
        waits_ms.append((time.perf_counter() - began) * 1_000.0)


async def send_purges(
    coordinator: Coordinator, purges_per_second: float, rng: random.Random, until: float
) -> None:
    """Sends purges at a rate until a time of the monotonic clock."""
    while time.monotonic() < until:
        for _ in range(max(1, int(purges_per_second / TICKS_PER_SECOND))):
            name = f"{FIRST_PURGED_OBJECT + rng.randrange(PURGED_OBJECT_COUNT):x}"
            coordinator.publish(evict={"ref": name, "unix_ms": time.time() * 1000.0})
        await asyncio.sleep(TICK_SECONDS)


async def run_round(kind: str, seconds: float, purges_per_second: float, directory: Path) -> RoundResult:
    """Runs one director and measures it."""
    coordinator, rng = await Coordinator().start(), random.Random(1)
    peers = [await ScriptedServer(serve, f"c{number}").start() for number in range(SERVER_COUNT)]
    director = DirectorProcess(directory, "each")
    options = (directory / "own.toml").read_text()
    segment_bytes = f"segment_bytes = {SEGMENT_BYTES[kind]}\npolicy"
    (directory / "own.toml").write_text(options.replace("policy", segment_bytes))
    await director.start(json.loads(json.dumps(config_for(peers, coordinator, SETTINGS))))
    waits_ms: list[float] = []
    until = time.monotonic() + seconds
    clients = [
        send_requests(director, random.Random(number), waits_ms, until) for number in range(CLIENT_COUNT)
    ]
    await asyncio.gather(send_purges(coordinator, purges_per_second, rng, until), *clients)
    status = await director.store_status()
    await director.kill()
    coordinator.stop()
    for peer in peers:
        peer.stop()
    waits_ms.sort()
    p50_ms, p99_ms = waits_ms[len(waits_ms) // 2], waits_ms[int(len(waits_ms) * 0.99)]
    return RoundResult(p50_ms, p99_ms, int(status["compactions"]))


async def run_rounds(seconds: float, purges_per_second: float, rounds: int) -> None:
    """Runs the benchmark and prints its result."""
    results: dict[str, list[RoundResult]] = {kind: [] for kind in SEGMENT_BYTES}
    for _ in range(rounds):
        for kind in SEGMENT_BYTES:
            with tempfile.TemporaryDirectory() as directory:
                results[kind].append(await run_round(kind, seconds, purges_per_second, Path(directory)))
    for kind, rows in results.items():
        p50_ms = statistics.median(row.p50_ms for row in rows)
        p99_ms = statistics.median(row.p99_ms for row in rows)
        compactions = sum(row.compactions for row in rows)
        print(f"{kind:10}: p50 {p50_ms:.2f} ms, p99 {p99_ms:.2f} ms, {compactions} compactions")
    pairs = zip(results["compacting"], results["not"], strict=True)
    ratios = ", ".join(f"{compacting.p99_ms / other.p99_ms:.2f}" for compacting, other in pairs)
    print(f"p99, compacting over not: {ratios}")


def main() -> int:
    """Runs the benchmark; returns the exit code."""
    parser = argparse.ArgumentParser(description="Served requests while the store compacts.")
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--rate", type=float, default=1_000.0, help="purges a second")
    parser.add_argument("--rounds", type=int, default=3)
    arguments = parser.parse_args()
    asyncio.run(run_rounds(arguments.seconds, arguments.rate, arguments.rounds))
    return 0


if __name__ == "__main__":
    sys.exit(main())
