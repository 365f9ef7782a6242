"""Gain of a warm start: where misses go, and what parents must fetch, in the first 30 s after a restart.

    python -m benchmarks.warm_start [--objects 300] [--keeps 40] [--zipf 0] [--parent-keeps 60]

A location with small caches has neighbours that hold most objects. Which neighbour holds what, a director
finds by trials, a few of its misses, and remembers for 30 s since it last saw a copy there; what no holder is
known for goes to a parent. The director is killed and starts again, twice from one seed, side by side: with
its store, and with an emptied one. Caches are scripted; what each holds is a set, the location's own ones
evict the least recently used object, and so does the parent, which fetches from the origin what it lacks. A
parent that was seen to hold an object is a holder, too, so that `--parent-keeps 300` leaves little to gain.
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

NEIGHBOUR_HIT_RATIO = 0.8  # of all objects, each at its home by the same hash
PARENT = "p1"
PARENT_DELAY_SECONDS = 0.02
CACHE_COUNT = 4  # in each of the two locations
SNAPSHOT_INTERVAL_MS = 1000.0

SITE = {
    **SETTINGS,
    "zones": ["north", "edge-1", "edge-2"],
    "specifics": {  # the parent is of another hub
        **SETTINGS["specifics"], "lateral": "any", "hub_of": [0, 1, 1], "instances_by_zone": [0, 1, 1],
    },
}  # fmt: skip


@dataclass(slots=True)
class SimulatedCaches:
    """What each cache holds, and what was asked of it while `is_counting`."""

    capacity: int  # objects in one of the location's caches
    parent_capacity: int
    held: dict[str, dict[str, None]] = field(default_factory=dict)  # the least recently used first
    is_counting: bool = False
    seen: Counter[str] = field(default_factory=Counter)

    async def serve_cache(self, heard: ReceivedRequest) -> None:
        """Answers a cache's request from its own objects or, where it is told one, from a source."""
        name, own = heard.path, self.held.setdefault(heard.server.uid, {})
        source = heard.headers.get("miss-to")
        if name in own:
            self._keep(own, name, self.capacity)
            await self._answer(heard, "hit", "mem")
        elif source is None:
            await self._answer(heard, "lookups", status=404)
        elif source == PARENT:
            await self._fill_from_parent(heard, name, own)
        elif self._does_neighbour_hold(source, name):
            self._keep(own, name, self.capacity)
            await self._answer(heard, "from a holder", "parent")
        else:
            await self._answer(heard, "holder lacks", "absent", 404)

    async def _fill_from_parent(self, heard: ReceivedRequest, name: str, own: dict[str, None]) -> None:
        await asyncio.sleep(PARENT_DELAY_SECONDS)
        parent = self.held.setdefault(PARENT, {})
        is_held = name in parent
        self._keep(parent, name, self.parent_capacity)
        self._keep(own, name, self.capacity)
        self.seen["by the origin"] += self.is_counting and not is_held
        await self._answer(heard, "from a parent", "parent" if is_held else "origin")

    def _keep(self, objects: dict[str, None], name: str, capacity: int) -> None:
        """Notes a use; the least recently used object is evicted."""
        objects.pop(name, None)
        objects[name] = None
        if len(objects) > capacity:
            del objects[next(iter(objects))]

    def _does_neighbour_hold(self, source: str, name: str) -> bool:
        """A neighbour holds most objects, and whatever it holds, it goes on holding."""
        if source.startswith("c"):
            return name in self.held.get(source, ())
        return random.Random(name).random() < NEIGHBOUR_HIT_RATIO

    async def serve_parent(self, heard: ReceivedRequest) -> None:
        """Answers a request sent straight to the parent, where no cache could take it."""
        await self._answer(heard, "passed by to a parent", "mem")

    async def _answer(self, heard: ReceivedRequest, what: str, remark: str = "", status: int = 200) -> None:
        self.seen[what] += self.is_counting
        if remark:
            body = b"copy" if status == 200 else b""
            await heard.respond(status, body, X_Remark=remark, Fill_Wait="1.0")
        else:
            await heard.respond(status)


async def send_load(
    director: DirectorProcess, arguments: argparse.Namespace, draw: random.Random, seconds: float
) -> None:
    """Sends requests at a rate, however long each takes; objects by Zipf's law."""
    rate = arguments.rate
    weights = [1.0 / (rank + 1) ** arguments.zipf for rank in range(arguments.objects)]
    names = draw.choices(range(arguments.objects), weights, k=int(rate * seconds))
    began = time.monotonic()
    async with asyncio.TaskGroup() as tasks:
        for number, name in enumerate(names):
            await asyncio.sleep(max(0.0, began + number / rate - time.monotonic()))
            tasks.create_task(director.request_object(f"{name:x}", draw.getrandbits(60)))


async def start_peers(caches: SimulatedCaches) -> list[ScriptedServer]:
    """The location's caches, its neighbours' and the parent."""
    own = [await ScriptedServer(caches.serve_cache, f"c{n}").start() for n in range(CACHE_COUNT)]
    neighbours = [
        await ScriptedServer(caches.serve_cache, f"d{n}", zone="edge-2").start() for n in range(CACHE_COUNT)
    ]
    parent = await ScriptedServer(caches.serve_parent, PARENT, "parent", "north").start()
    return [*own, *neighbours, parent]


async def play(is_warm: bool, arguments: argparse.Namespace, directory: Path) -> Counter[str]:
    """Plays one director's load, kill and restart; what was asked of the caches after it."""
    draw = random.Random(arguments.seed)
    caches = SimulatedCaches(arguments.keeps, arguments.parent_keeps)
    coordinator = await Coordinator().start()
    peers = await start_peers(caches)
    director = DirectorProcess(directory, "group")
    options = (directory / "own.toml").read_text()
    snapshots = f"[store]\nwarm_ms = {SNAPSHOT_INTERVAL_MS}"
    (directory / "own.toml").write_text(options.replace("[store]", snapshots))
    config: dict[str, Any] = json.loads(json.dumps(config_for(peers, coordinator, SITE)))
    await director.start(config)
    await send_load(director, arguments, draw, arguments.before)
    await director.kill()
    if not is_warm:
        shutil.rmtree(directory / "store")
    await director.start(config)
    caches.is_counting = True
    await send_load(director, arguments, draw, arguments.seconds)
    caches.is_counting = False
    await director.kill()
    coordinator.stop()
    for peer in peers:
        peer.stop()
    return caches.seen


async def compare(arguments: argparse.Namespace) -> None:
    """Plays both directors side by side and prints what was asked after the restart."""
    with tempfile.TemporaryDirectory() as warm, tempfile.TemporaryDirectory() as cold:
        both = await asyncio.gather(play(True, arguments, Path(warm)), play(False, arguments, Path(cold)))
    for kind, seen in zip(("warm", "cold"), both, strict=True):
        holders, parents = seen["from a holder"], seen["from a parent"] + seen["passed by to a parent"]
        counts = ", ".join(f"{what} {count}" for what, count in sorted(seen.items()))
        print(
            f"{kind}: of {holders + parents} fills {holders / max(1, holders + parents):.1%} from a "
            f"neighbour; parents were asked {parents} times, "
            f"{parents / arguments.seconds:.1f} a second, "
            f"the origin {seen['by the origin']} ({counts})",
            flush=True,
        )


def main() -> int:
    """Parses the command line and runs the benchmark; its exit code."""
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
