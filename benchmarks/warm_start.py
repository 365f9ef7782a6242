"""What a warm start gains: where misses go, and what parents must fetch, in the first 30 s after a restart.

    python -m benchmarks.warm_start [--objects 300] [--keeps 40] [--zipf 0] [--parent-keeps 60]

A location with small boxes has neighbours that hold most objects. Which neighbour holds what, a director
finds by trials, a few of its misses, and remembers for 30 s since it last saw a copy there; what no holder is
known for goes to a parent. The director is killed and starts again, twice from one seed, side by side: with
its store, and with an emptied one. Boxes are scripted; what each holds is a set, the location's own ones drop
what was not asked for longest, and so does the parent, which fetches from the origin what it lacks. A parent
that was seen to hold an object is a holder, too, so that `--parent-keeps 300` leaves little to gain.
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

from gladewalk.rehearsal.peers import SETTINGS, Coordinator, Heard, ScriptedPeer, config_for

from .store_kills import Run

NEIGHBOURS_HOLD = 0.8  # of all objects, each at its home by the same hash


SITE = {
    **SETTINGS,
    "zones": ["north", "edge-1", "edge-2"],
    "specifics": {  # the parent is of another hub
        **SETTINGS["specifics"], "lateral": "any", "hub_of": [0, 1, 1], "instances_by_zone": [0, 1, 1],
    },
}  # fmt: skip


@dataclass(slots=True)
class World:
    """What each box holds, and what was asked of it since the restart."""

    keeps: int
    parent_keeps: int
    held: dict[str, dict[str, None]] = field(default_factory=dict)  # the longest unasked first
    counting: bool = False
    seen: Counter[str] = field(default_factory=Counter)

    async def cache(self, heard: Heard) -> None:
        name, mine = heard.path, self.held.setdefault(heard.peer.uid, {})
        source = heard.headers.get("miss-to")
        if name in mine:
            del mine[name]
            mine[name] = None
            return await self._say(heard, "hit", "mem")
        if source is None:
            return await self._say(heard, "lookups", status=404)
        if source != "p1":
            if not self._holds(source, name):
                return await self._say(heard, "holder lacks", "absent", 404)
            self._keep(mine, name)
            return await self._say(heard, "from a holder", "parent")
        await asyncio.sleep(0.02)  # the way to the parent
        parent = self.held.setdefault(source, {})
        known = name in parent
        self._keep(parent, name, self.parent_keeps)
        self._keep(mine, name)
        self.seen["by the origin"] += self.counting and not known
        return await self._say(heard, "from a parent", "parent" if known else "origin")

    def _keep(self, mine: dict[str, None], name: str, most: int = 0) -> None:
        mine.pop(name, None)
        mine[name] = None
        if len(mine) > (most or self.keeps):
            del mine[next(iter(mine))]

    def _holds(self, source: str, name: str) -> bool:
        """A neighbour holds most; whatever it holds, it goes on holding."""
        if source.startswith("c"):
            return name in self.held.get(source, ())
        return random.Random(name).random() < NEIGHBOURS_HOLD

    async def above(self, heard: Heard) -> None:
        """A parent that is asked straight, where no cache could take a request."""
        await self._say(heard, "passed by to a parent", "mem")

    async def _say(self, heard: Heard, what: str, remark: str = "", status: int = 200) -> None:
        self.seen[what] += self.counting
        if remark:
            await heard.answer(status, b"copy" if status == 200 else b"", X_Remark=remark, Fill_Wait="1.0")
        else:
            await heard.answer(status)


async def load(run: Run, given: argparse.Namespace, draw: random.Random, seconds: float) -> None:
    """Requests at a rate, however long each takes; objects by Zipf's law."""
    rate, weights = given.rate, [1.0 / (n + 1) ** given.zipf for n in range(given.objects)]
    names = draw.choices(range(given.objects), weights, k=int(rate * seconds))
    begun, tasks = time.monotonic(), set()
    for n, name in enumerate(names):
        await asyncio.sleep(max(0.0, begun + n / rate - time.monotonic()))
        task = asyncio.create_task(run.ask(f"{name:x}", draw.getrandbits(60)))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)


async def play(kind: str, given: argparse.Namespace, folder: Path) -> Counter[str]:
    draw, world = random.Random(given.seed), World(given.keeps, given.parent_keeps)
    coordinator = await Coordinator().start()
    peers = [await ScriptedPeer(world.cache, f"c{n}").start() for n in range(4)]
    peers += [await ScriptedPeer(world.cache, f"d{n}", zone="edge-2").start() for n in range(4)]
    peers.append(await ScriptedPeer(world.above, "p1", "parent", "north").start())
    run = Run(folder, "group")
    own = (folder / "own.toml").read_text()
    (folder / "own.toml").write_text(own.replace("[store]", "[store]\nwarm_ms = 1000.0"))
    config: dict[str, Any] = json.loads(json.dumps(config_for(peers, coordinator, SITE)))
    await run.start(config)
    await load(run, given, draw, given.before)
    await run.kill()
    if kind == "cold":
        shutil.rmtree(folder / "store")
    await run.start(config)
    world.counting = True
    await load(run, given, draw, given.seconds)
    world.counting = False
    await run.kill()
    coordinator.stop()
    for peer in peers:
        peer.stop()
    return world.seen


async def compare(given: argparse.Namespace) -> None:
    with tempfile.TemporaryDirectory() as one, tempfile.TemporaryDirectory() as other:
        both = await asyncio.gather(play("warm", given, Path(one)), play("cold", given, Path(other)))
    for kind, seen in zip(("warm", "cold"), both, strict=True):
        holders, parents = seen["from a holder"], seen["from a parent"] + seen["passed by to a parent"]
        told = ", ".join(f"{what} {count}" for what, count in sorted(seen.items()))
        print(
            f"{kind}: of {holders + parents} fills {holders / max(1, holders + parents):.1%} from a "
            f"neighbour; parents were asked {parents} times, "
            f"{parents / given.seconds:.1f} a second, "
            f"the origin {seen['by the origin']} ({told})",
            flush=True,
        )


def main() -> int:
    parser = argparse.ArgumentParser(description="What a warm start gains.")
    parser.add_argument("--objects", type=int, default=300)
    parser.add_argument("--keeps", type=int, default=40, help="objects in one of the location's boxes")
    parser.add_argument("--zipf", type=float, default=0.0, help="exponent: 0, all asked for alike")
    parser.add_argument("--before", type=float, default=60.0, help="seconds of load before the kill")
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--parent-keeps", type=int, default=60, help="objects in the parent")
    parser.add_argument("--rate", type=float, default=200.0, help="requests a second")
    parser.add_argument("--seed", type=int, default=1)
    given = parser.parse_args()
    asyncio.run(compare(given))
    return 0


if __name__ == "__main__":
    sys.exit(main())
