"""Kills under load: no request goes to a box without the bound of a purge that was acknowledged before.

    python -m benchmarks.store_kills [--kills 200] [--policy each] [--seed 1]

A director with a store is told purges by a coordinator while clients ask for objects; as soon as its control
socket says that some are durable, it is killed with SIGKILL at a drawn moment. Its next run has a coordinator
that is out of reach: all that it knows of those purges is in its store. Clients ask for the purged objects,
and each request that a box hears must carry a bound younger than the purge. Then that run is killed, too.
`--forget` empties the store between the runs: then the check has to find broken requests.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import random
import shutil
import statistics
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

from gladewalk.control.client import ControlError, query_director
from gladewalk.rehearsal.peers import (
    SETTINGS,
    Coordinator,
    Heard,
    ScriptedPeer,
    config_for,
    read_message,
    request,
)

NOWHERE = "127.0.0.1:9"  # nobody listens at the discard port
OBJECTS = 64


@dataclass(slots=True)
class Boxes:
    purged: dict[str, float] = field(default_factory=dict)  # object -> when, as acknowledged
    seen: int = 0
    broken: int = 0

    async def serve(self, heard: Heard) -> None:
        name = heard.path.split("/")[3] if heard.path.count("/") > 3 else ""
        if name in self.purged:
            self.seen += 1
            bound = float(heard.headers.get("no-older-than", "1e12"))
            # The oldest copy that will do, by the box's clock: from before the purge it must not be.
            self.broken += time.time() * 1000.0 - bound < self.purged[name]
        await heard.answer(200, b"copy", X_Remark="mem")


class Run:
    """One run of the director, on the same folder each time."""

    def __init__(self, folder: Path, policy: str) -> None:
        self.folder = folder
        (folder / "own.toml").write_text(
            f"[store]\nfolder = 'store'\npolicy = '{policy}'\n[control]\nsocket = 'control'\n"
        )
        self.process: asyncio.subprocess.Process | None = None
        self.address = self.dns = self.dns_tls = ("", 0)
        self.up = False  # who loops on it looks here: a cancelled wait can end well at the same moment

    async def start(self, config: dict[str, object]) -> float:
        (self.folder / "node.json").write_text(json.dumps(config))
        began = time.monotonic()
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "gladewalk", "run", "--config", str(self.folder / "own.toml"),
            env={**os.environ, "NODE_CONFIG": str(self.folder / "node.json")}, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        assert self.process.stderr is not None
        while line := await self.process.stderr.readline():
            said = json.loads(line)
            if said["event"] == "serving":
                self.address, self.dns = tuple(said["listen"]), tuple(said["dns"] or ("", 0))
                self.dns_tls = tuple(said.get("dns_tls") or ("", 0))
                self.up = True
                return time.monotonic() - began
        raise RuntimeError("the director did not start")

    async def kill(self) -> None:
        assert self.process is not None
        self.up = False
        self.process.kill()
        await self.process.wait()

    async def durable(self) -> set[str]:
        """The objects whose purges the store has acknowledged."""
        with contextlib.suppress(ControlError):
            told = await asyncio.to_thread(query_director, self.folder / "control", "store")
            return {key[2:] for key in told["purges"]}
        return set()

    async def ask(self, name: str, number: int) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
            reader, writer = await asyncio.open_connection(*self.address)
            try:
                writer.write(request(f"/invoke/lot-page/{name}?nth=0", trace=f"{number:016x}", wait_ms=500.0))
                await asyncio.wait_for(read_message(reader), 2.0)
            finally:
                writer.close()


async def load(run: Run, draw: random.Random) -> None:
    number = draw.getrandbits(40)
    while run.up:
        number += 1
        await run.ask(f"{draw.randrange(OBJECTS):x}", number)


async def play(kills: int, policy: str, seed: int, folder: Path, forget: bool) -> int:
    draw, boxes = random.Random(seed), Boxes()
    peers = [await ScriptedPeer(boxes.serve, f"c{n}").start() for n in range(3)]
    run, restarts, acknowledged = Run(folder, policy), [], 0
    for _ in range(kills // 2):
        coordinator = await Coordinator().start()
        config = json.loads(json.dumps(config_for(peers, coordinator, SETTINGS)))  # as it is before any purge
        boxes.purged.clear()
        await run.start(config)
        clients = [asyncio.create_task(load(run, draw)) for _ in range(4)]
        told: dict[str, float] = {}
        for _ in range(draw.randrange(1, 8)):
            name = f"{draw.randrange(OBJECTS):x}"
            told[name] = time.time() * 1000.0
            coordinator.tell(evict={"ref": name, "unix_ms": told[name]})
            await asyncio.sleep(draw.random() * 0.03)
        known: set[str] = set()
        while not known & set(told):
            known = await run.durable()
        await asyncio.sleep(draw.random() * 0.05)
        await run.kill()
        for client in clients:
            client.cancel()
        coordinator.stop()
        boxes.purged = {name: at for name, at in told.items() if name in known}
        acknowledged += len(boxes.purged)
        if forget:
            shutil.rmtree(folder / "store")
        restarts.append(await run.start({**config, "coordinator": NOWHERE}))
        clients = [asyncio.create_task(load(run, draw)) for _ in range(2)]
        for number, name in enumerate(boxes.purged):
            await run.ask(name, number + 1)
        await asyncio.sleep(draw.random() * 0.1)
        await run.kill()
        for client in clients:
            client.cancel()
    for peer in peers:
        peer.stop()
    restarts.sort()
    print(
        f"{kills} kills, policy {policy}, seed {seed}: {acknowledged} purges acknowledged before them; "
        f"{boxes.seen} requests for purged objects after, {boxes.broken} without their bound; "
        f"restarts {statistics.median(restarts):.2f} s at the median, {restarts[-1]:.2f} s at the most"
    )
    return 1 if boxes.broken else 0


def main() -> int:
    parser = argparse.ArgumentParser(description="Kills under load.")
    parser.add_argument("--kills", type=int, default=200)
    parser.add_argument("--policy", default="each")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--forget", action="store_true")
    given = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(play(given.kills, given.policy, given.seed, Path(folder), given.forget))


if __name__ == "__main__":
    sys.exit(main())
