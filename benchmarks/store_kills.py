"""Kills under load: after an acknowledged purge, every request to a server must carry the purge's age bound.

    python -m benchmarks.store_kills [--kills 200] [--policy each] [--seed 1]

A director with a store receives purges from a coordinator while clients request objects. When its control
socket reports that some purges are durable, it is killed with SIGKILL at a random time. Its next run can't
reach the coordinator, so it knows those purges only from its store. Clients request the purged objects, and
each request that a server receives must exclude copies from before the purge (`No-Older-Than`). Then that run
is killed, too. `--forget` empties the store between the runs: then the check has to find violations.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import shutil
import statistics
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import SETTINGS, config_for
from gladewalk.rehearsal.scripted_servers import ReceivedRequest, ScriptedServer

from .director_process import DirectorProcess

UNREACHABLE_COORDINATOR = "127.0.0.1:9"  # nothing listens on the discard port
OBJECT_COUNT = 64
SERVER_COUNT = 3
MAX_PURGES = 8  # in one round, exclusive


@dataclass(slots=True)
class PurgeCheck:
    """Counts the requests for purged objects at the servers, and those without the purge's age bound."""

    purged_at_ms: dict[str, float] = field(default_factory=dict)  # by object; acknowledged purges only
    request_count: int = 0
    violation_count: int = 0

    async def serve(self, request: ReceivedRequest) -> None:
        """Checks the age bound of a request and responds to it."""
        name = request.path.split("/")[3] if request.path.count("/") > 3 else ""
        if name in self.purged_at_ms:
            self.request_count += 1
            max_age_ms = float(request.headers.get("no-older-than", "1e12"))
            # By the server's clock, the oldest copy that the bound allows must not be from before the purge.
            self.violation_count += time.time() * 1000.0 - max_age_ms < self.purged_at_ms[name]
        await request.respond(200, b"copy", X_Remark="mem")


async def send_load(director: DirectorProcess, rng: random.Random) -> None:
    """Sends requests for random objects, one after another, while the director is up."""
    number = rng.getrandbits(40)
    while director.is_up:
        number += 1
        await director.request_object(f"{rng.randrange(OBJECT_COUNT):x}", number)


@contextmanager
def client_load(director: DirectorProcess, count: int, rng: random.Random) -> Iterator[None]:
    """Runs this number of clients concurrently."""
    tasks = [asyncio.create_task(send_load(director, rng)) for _ in range(count)]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()


class KillRounds:
    """Rounds of two kills each, with one store."""

    def __init__(self, director: DirectorProcess, rng: random.Random, is_forgetting: bool) -> None:
        self.director, self.rng, self.is_forgetting = director, rng, is_forgetting
        self.check = PurgeCheck()
        self.restart_seconds: list[float] = []
        self.acknowledged_count = 0

    async def execute(self, peers: list[ScriptedServer]) -> None:
        """Executes one round."""
        coordinator = await Coordinator().start()
        # A copy of the configuration, without the purges that follow.
        config = json.loads(json.dumps(config_for(peers, coordinator, SETTINGS)))
        self.check.purged_at_ms.clear()
        await self.director.start(config)
        with client_load(self.director, 4, self.rng):
            purges = await self._purge(coordinator)
            await self.director.kill()
        coordinator.stop()
        self.check.purged_at_ms = purges
        self.acknowledged_count += len(purges)
        if self.is_forgetting:
            shutil.rmtree(self.director.directory / "store")
        await self._restart({**config, "coordinator": UNREACHABLE_COORDINATOR})

    async def _purge(self, coordinator: Coordinator) -> dict[str, float]:
        """Purges objects until some purges are durable; returns the times of the durable ones."""
        purged_at_ms: dict[str, float] = {}
        for _ in range(self.rng.randrange(1, MAX_PURGES)):
            name = f"{self.rng.randrange(OBJECT_COUNT):x}"
            purged_at_ms[name] = time.time() * 1000.0
            coordinator.publish(evict={"ref": name, "unix_ms": purged_at_ms[name]})
            await asyncio.sleep(self.rng.random() * 0.03)
        durable: set[str] = set()
        while not durable & set(purged_at_ms):
            durable = await self.director.durable_purges()
        await asyncio.sleep(self.rng.random() * 0.05)
        return {name: at_ms for name, at_ms in purged_at_ms.items() if name in durable}

    async def _restart(self, config: dict[str, Any]) -> None:
        """Starts the director again, requests the purged objects and kills it once more."""
        self.restart_seconds.append(await self.director.start(config))
        with client_load(self.director, 2, self.rng):
            for number, name in enumerate(self.check.purged_at_ms):
                await self.director.request_object(name, number + 1)
            await asyncio.sleep(self.rng.random() * 0.1)
            await self.director.kill()


async def run_rounds(kills: int, policy: str, seed: int, directory: Path, is_forgetting: bool) -> int:
    """Runs the benchmark and prints its result; returns the exit code."""
    rounds = KillRounds(DirectorProcess(directory, policy), random.Random(seed), is_forgetting)
    peers = [await ScriptedServer(rounds.check.serve, f"c{number}").start() for number in range(SERVER_COUNT)]
    for _ in range(kills // 2):
        await rounds.execute(peers)
    for peer in peers:
        peer.stop()
    check, restarts = rounds.check, rounds.restart_seconds
    print(
        f"{kills} kills, policy {policy}, seed {seed}: {rounds.acknowledged_count} purges acknowledged "
        f"before them; {check.request_count} requests for purged objects after, {check.violation_count} "
        f"without their bound; restarts {statistics.median(restarts):.2f} s at the median, "
        f"{max(restarts):.2f} s at the most"
    )
    return 1 if check.violation_count else 0


def main() -> int:
    """Runs the benchmark; returns the exit code."""
    parser = argparse.ArgumentParser(description="Kills under load.")
    parser.add_argument("--kills", type=int, default=200)
    parser.add_argument("--policy", default="each")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--forget", action="store_true")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        return asyncio.run(
            run_rounds(arguments.kills, arguments.policy, arguments.seed, Path(directory), arguments.forget)
        )


if __name__ == "__main__":
    sys.exit(main())
