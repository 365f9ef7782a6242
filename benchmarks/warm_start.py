"""Gain of a warm start: which servers fill misses, and what parents must fetch, in the 30 s after a restart.

    python -m benchmarks.warm_start [--objects 300] [--keeps 40] [--zipf 0] [--parent-keeps 60]

A location with small caches has neighbours that cache most objects. A director sends a few of its misses to
neighbours as trials, and remembers a neighbour's copy for 30 s after it last saw it. A miss without a known
copy goes to a parent. The director is killed and started again, twice concurrently from one seed: with its
store, and with an emptied one. The caches are scripted. Those of the location and the parent evict the least
recently used object; the parent fetches objects that it lacks from the origin. A parent in which the director
saw an object also counts as a known copy, so `--parent-keeps 300` leaves little to gain.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import shutil
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import SETTINGS, config_for
from gladewalk.rehearsal.scripted_servers import ReceivedRequest, ScriptedServer

from .director_process import DirectorProcess

NEIGHBOUR_HIT_RATIO = 0.8  # the fraction of the objects that neighbours have, each at its home cache
PARENT = "p1"
PARENT_DELAY_SECONDS = 0.02
CACHE_COUNT = 4  # in each of the two locations
SNAPSHOT_INTERVAL_MS = 1000.0

SITE = {
    **SETTINGS,
    "zones": ["north", "edge-1", "edge-2"],
    "specifics": {  # the parent belongs to another hub
        **SETTINGS["specifics"], "lateral": "any", "hub_of": [0, 1, 1], "instances_by_zone": [0, 1, 1],
    },
}  # fmt: skip


@dataclass(slots=True)
class SimulatedCaches:
    """The copies in each cache, and counts of their responses while `is_counting`."""

    capacity: int  # objects in one of the location's caches
    parent_capacity: int
    copies: dict[str, dict[str, None]] = field(default_factory=dict)  # the least recently used first
    is_counting: bool = False
    response_counts: Counter[str] = field(default_factory=Counter)

    async def serve_cache(self, request: ReceivedRequest) -> None:
        """Responds as a cache: from its own objects or else from the source that the request names."""
        name, own = request.path, self.copies.setdefault(request.server.uid, {})
        source = request.headers.get("miss-to")
        if name in own:
            self._touch(own, name, self.capacity)
            await self._respond(request, "hit", "mem")
        elif source is None:
            await self._respond(request, "lookups", status=404)
        elif source == PARENT:
            await self._fill_from_parent(request, name, own)
        elif self._has_neighbour_copy(source, name):
            self._touch(own, name, self.capacity)
            await self._respond(request, "from a holder", "parent")
        else:
            await self._respond(request, "holder lacks", "absent", 404)

    async def _fill_from_parent(self, request: ReceivedRequest, name: str, own: dict[str, None]) -> None:
        await asyncio.sleep(PARENT_DELAY_SECONDS)
        parent = self.copies.setdefault(PARENT, {})
        is_cached = name in parent
        self._touch(parent, name, self.parent_capacity)
        self._touch(own, name, self.capacity)
        self.response_counts["by the origin"] += self.is_counting and not is_cached
        await self._respond(request, "from a parent", "parent" if is_cached else "origin")

    def _touch(self, objects: dict[str, None], name: str, capacity: int) -> None:
        """Records a use of an object; evicts the least recently used one if the cache is full."""
        objects.pop(name, None)
        objects[name] = None
        if len(objects) > capacity:
            del objects[next(iter(objects))]

    def _has_neighbour_copy(self, source: str, name: str) -> bool:
        """Returns whether a source has an object; neighbours have most objects and evict none."""
        if source.startswith("c"):
            return name in self.copies.get(source, ())
        return random.Random(name).random() < NEIGHBOUR_HIT_RATIO

    async def serve_parent(self, request: ReceivedRequest) -> None:
        """Responds to a request that the director sent to the parent because no cache could take it."""
        await self._respond(request, "passed by to a parent", "mem")

    async def _respond(
        self, request: ReceivedRequest, outcome: str, remark: str = "", status: int = 200
    ) -> None:
        self.response_counts[outcome] += self.is_counting
        if remark:
            body = b"copy" if status == 200 else b""
            await request.respond(status, body, X_Remark=remark, Fill_Wait="1.0")
        else:
            await request.respond(status)


async def send_load(
    director: DirectorProcess, arguments: argparse.Namespace, rng: random.Random, seconds: float
) -> None:
    """Sends requests at a fixed rate without waiting for responses; objects follow Zipf's law."""
    rate = arguments.rate
    weights = [1.0 / (rank + 1) ** arguments.zipf for rank in range(arguments.objects)]
    names = rng.choices(range(arguments.objects), weights, k=int(rate * seconds))
    began = time.monotonic()
    async with asyncio.TaskGroup() as tasks:
        for number, name in enumerate(names):
            await asyncio.sleep(max(0.0, began + number / rate - time.monotonic()))
            tasks.create_task(director.request_object(f"{name:x}", rng.getrandbits(60)))


async def start_peers(caches: SimulatedCaches) -> list[ScriptedServer]:
    """Starts the caches of the location and of its neighbour, and the parent."""
    own = [await ScriptedServer(caches.serve_cache, f"c{n}").start() for n in range(CACHE_COUNT)]
    neighbours = [
        await ScriptedServer(caches.serve_cache, f"d{n}", zone="edge-2").start() for n in range(CACHE_COUNT)
    ]
    parent = await ScriptedServer(caches.serve_parent, PARENT, "parent", "north").start()
    return [*own, *neighbours, parent]


async def run_director(is_warm: bool, arguments: argparse.Namespace, directory: Path) -> Counter[str]:
    """Runs a director under load, kills and restarts it; returns the caches' counts after the restart."""
    rng = random.Random(arguments.seed)
    caches = SimulatedCaches(arguments.keeps, arguments.parent_keeps)
    coordinator = await Coordinator().start()
    peers = await start_peers(caches)
    director = DirectorProcess(directory, "group")
    options = (directory / "own.toml").read_text()
    snapshots = f"[store]\nwarm_ms = {SNAPSHOT_INTERVAL_MS}"
    (directory / "own.toml").write_text(options.replace("[store]", snapshots))
    config: dict[str, Any] = json.loads(json.dumps(config_for(peers, coordinator, SITE)))
    await director.start(config)
    await send_load(director, arguments, rng, arguments.before)
    await director.kill()
    if not is_warm:
        shutil.rmtree(directory / "store")
    await director.start(config)
    caches.is_counting = True
    await send_load(director, arguments, rng, arguments.seconds)
    caches.is_counting = False
    await director.kill()
    coordinator.stop()
    for peer in peers:
        peer.stop()
    return caches.response_counts


async def compare(arguments: argparse.Namespace) -> None:
    """Runs both directors concurrently and prints the counts after the restart."""
    with tempfile.TemporaryDirectory() as warm, tempfile.TemporaryDirectory() as cold:
        both = await asyncio.gather(
            run_director(True, arguments, Path(warm)), run_director(False, arguments, Path(cold))
        )
    for kind, responses in zip(("warm", "cold"), both, strict=True):
        holders, parents = (
            responses["from a holder"],
            responses["from a parent"] + responses["passed by to a parent"],
        )
        counts = ", ".join(f"{outcome} {count}" for outcome, count in sorted(responses.items()))
        print(
            f"{kind}: of {holders + parents} fills {holders / max(1, holders + parents):.1%} from a "
            f"neighbour; parents were asked {parents} times, "
            f"{parents / arguments.seconds:.1f} a second, "
            f"the origin {responses['by the origin']} ({counts})",
            flush=True,
        )


def main() -> int:
    """Runs the benchmark; returns the exit code."""
    parser = argparse.ArgumentParser(description="What a warm start gains.")
    parser.add_argument("--objects", type=int, default=300)
    parser.add_argument("--keeps", type=int, default=40, help="objects in one of the location's boxes")
    parser.add_argument("--zipf", type=float, default=0.0, help="exponent: 0, all asked for alike")
    parser.add_argument("--before", type=float, default=60.0, help="seconds of load before the kill")
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--parent-keeps", type=int, default=60, help="objects in the parent")
    parser.add_argument("--rate", type=float, default=200.0, help="requests a second")
    parser.add_argument("--seed", type=int, default=1)
    asyncio.run(compare(parser.parse_args()))
    return 0


if __name__ == "__main__":
    sys.exit(main())
