"""Kills while a box is cold: over all runs of its director it is named and sent no more than its budget.

    python -m benchmarks.lease_kills [--kills 200] [--seed 1] [--forget]

A box has just started, cold. A director with a DNS front and a store is asked for names by resolvers and for
objects by clients, and killed with SIGKILL at a drawn moment; its next run goes on, four runs to a round.
Counted are the answers that resolvers heard, which they hold for minutes, and the requests that the box
heard: in no window of the settings' length may both together be more than `fall_multiple` times what the box
can do then. `--forget` empties the store between the runs: then answers are given anew by each run, and the
check has to find rounds over the budget.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import random
import shutil
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

from gladewalk.rehearsal.peers import SETTINGS, Coordinator, Heard, ScriptedPeer, config_for
from gladewalk.rehearsal.resolver import Resolver

from .director_process import DirectorProcess

RUNS = 4  # in a round
SIZE, WORK_MS = 64.0, 20.0  # transfers at a time of the box when warm, and how long each takes
COLD = "127.0.0.2"
RULES = SETTINGS["invariants"]
DNS = "[dns]\nlisten = '127.0.0.1:0'\nzone = 'cdn.example.'\nown_address = '127.0.0.1'\n"


@dataclass(slots=True)
class Box:
    """The cold box: since when it runs, and what it was asked for."""

    since_ms: float
    sent_ms: list[float] = field(default_factory=list)
    named_ms: dict[tuple[str, str], float] = field(default_factory=dict)  # by resolver and name: held once

    async def serve(self, heard: Heard) -> None:
        self.sent_ms.append(time.time() * 1_000.0)
        await asyncio.sleep(WORK_MS / 1_000.0)
        await heard.answer(200, b"copy", X_Remark="mem")

    def fullest(self) -> float:
        """The fullest window, as a part of its budget."""
        window, multiple = RULES["tip_after_ms"], RULES["fall_multiple"]
        worst = 0.0
        for end in sorted([*self.sent_ms, *self.named_ms.values()]):
            sends = sum(end - window < at <= end for at in self.sent_ms) * WORK_MS
            held = sum(at <= end for at in self.named_ms.values()) * window
            age = max(0.0, end - window - self.since_ms)
            part = min(1.0, RULES["cold_from"] + (1.0 - RULES["cold_from"]) * age / RULES["ramp_time_ms"])
            worst = max(worst, (sends + held) / (multiple * part * SIZE * window))
        return worst


async def warm(heard: Heard) -> None:
    await asyncio.sleep(WORK_MS / 1_000.0)
    await heard.answer(200, b"copy", X_Remark="mem")


async def resolve(run: DirectorProcess, box: Box, draw: random.Random, source: str) -> None:
    """One resolver that holds whatever it hears; it asks for ever new names."""
    resolver = Resolver(run.dns, hold_s=3_600.0, source=source)
    while run.is_up:
        name = f"0.{draw.getrandbits(40):x}.lot-page.cdn.example."
        with contextlib.suppress(OSError, TimeoutError):
            if COLD in await resolver.resolve(name):
                box.named_ms[source, name] = time.time() * 1_000.0
        await asyncio.sleep(0.002)


async def ask(run: DirectorProcess, draw: random.Random) -> None:
    while run.is_up:
        await run.request_object(f"{draw.getrandbits(40):x}", draw.getrandbits(60))


async def play_round(folder: Path, draw: random.Random, runs: int, forget: bool) -> Box:
    box, coordinator = Box(time.time() * 1_000.0), await Coordinator().start()
    cold = await ScriptedPeer(box.serve, "c0", size=SIZE, host=COLD, boot_ms=box.since_ms).start()
    others = [await ScriptedPeer(warm, f"c{n}", size=SIZE, host=f"127.0.0.{n + 2}").start() for n in (1, 2)]
    others.append(await ScriptedPeer(warm, "p1", "parent", "north", SIZE).start())
    config = json.loads(json.dumps(config_for([cold, *others], coordinator, SETTINGS)))
    run = DirectorProcess(folder, "each")
    own = folder / "own.toml"
    own.write_text(own.read_text() + DNS)
    for _ in range(runs):
        await run.start(config)
        tasks = [
            asyncio.create_task(resolve(run, box, random.Random(draw.random()), f"127.0.1.{n}"))
            for n in range(1, 5)
        ]
        tasks += [asyncio.create_task(ask(run, random.Random(draw.random()))) for _ in range(4)]
        await asyncio.sleep(0.2 + draw.random() * 0.4)
        await run.kill()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if forget:
            shutil.rmtree(folder / "store")
    coordinator.stop()
    for peer in (cold, *others):
        peer.stop()
    return box


async def play(kills: int, seed: int, forget: bool) -> int:
    draw, boxes = random.Random(seed), []
    for _ in range(-(-kills // RUNS)):
        with tempfile.TemporaryDirectory() as folder:
            boxes.append(await play_round(Path(folder), draw, RUNS, forget))
    fullest = sorted(box.fullest() for box in boxes)
    over = sum(part > 1.0 for part in fullest)
    print(
        f"{len(boxes) * RUNS} kills in {len(boxes)} rounds, seed {seed}: a cold box was named "
        f"{sum(len(box.named_ms) for box in boxes) / len(boxes):.1f} times a round and sent "
        f"{sum(len(box.sent_ms) for box in boxes) / len(boxes):.0f} requests; its fullest window was "
        f"{fullest[len(fullest) // 2]:.2f} of its budget at the median, {fullest[-1]:.2f} at the most; "
        f"{over} rounds over it"
    )
    return 1 if over else 0


def main() -> int:
    parser = argparse.ArgumentParser(description="Cold budgets over kills.")
    parser.add_argument("--kills", type=int, default=200)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--forget", action="store_true")
    given = parser.parse_args()
    return asyncio.run(play(given.kills, given.seed, given.forget))


if __name__ == "__main__":
    sys.exit(main())
