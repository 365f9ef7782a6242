"""Kills under load: no request reaches a server without the bound of a purge that was acknowledged before.

    python -m benchmarks.store_kills [--kills 200] [--policy each] [--seed 1]

A director with a store follows a coordinator's purges while clients ask for objects; as soon as its control
socket says that some are durable, it is killed with SIGKILL at a drawn moment. Its next run has a coordinator
that is out of reach: all that it knows of those purges is in its store. Clients ask for the purged objects,
and each request that a server receives must carry a bound younger than the purge. Then that run is killed,
too. `--forget` empties the store between the runs: then the check has to find violations.
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

UNREACHABLE_COORDINATOR = "127.0.0.1:9"  # nobody listens at the discard port
OBJECT_COUNT = 64
SERVER_COUNT = 3
MAX_PURGES = 8  # in one round, exclusive


@dataclass(slots=True)
class PurgeCheck:
    """The servers' side: requests for purged objects, and those without the purge's bound."""

    purged_at_ms: dict[str, float] = field(default_factory=dict)  # by object, as acknowledged
    request_count: int = 0
    violation_count: int = 0

    async def serve(self, heard: ReceivedRequest) -> None:
        """Answers a request after a look at its bound."""
        name = heard.path.split("/")[3] if heard.path.count("/") > 3 else ""
        if name in self.purged_at_ms:
            self.request_count += 1
            max_age_ms = float(heard.headers.get("no-older-than", "1e12"))
            # The oldest copy that will do, by the server's clock, must not be from before the purge.
            self.violation_count += time.time() * 1000.0 - max_age_ms < self.purged_at_ms[name]
        await heard.respond(200, b"copy", X_Remark="mem")


async def send_load(director: DirectorProcess, draw: random.Random) -> None:
    """Sends requests for drawn objects, one after another, while the director is up."""
    number = draw.getrandbits(40)
    while director.is_up:
        number += 1
        await director.request_object(f"{draw.randrange(OBJECT_COUNT):x}", number)


@contextmanager
def clients(director: DirectorProcess, count: int, draw: random.Random) -> Iterator[None]:
    """Load from so many clients at a time."""
    tasks = [asyncio.create_task(send_load(director, draw)) for _ in range(count)]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()


class KillRounds:
    """Rounds of two kills each, on one store."""

    def __init__(self, director: DirectorProcess, draw: random.Random, is_forgetting: bool) -> None:
        self.director, self.draw, self.is_forgetting = director, draw, is_forgetting
        self.check = PurgeCheck()
        self.restart_seconds: list[float] = []
        self.acknowledged_count = 0

    async def play(self, peers: list[ScriptedServer]) -> None:
        """Plays one round."""
        coordinator = await Coordinator().start()
        config = json.loads(json.dumps(config_for(peers, coordinator, SETTINGS)))  # as before any purge
        self.check.purged_at_ms.clear()
        await self.director.start(config)
        with clients(self.director, 4, self.draw):
            purges = await self._purge(coordinator)
            await self.director.kill()
        coordinator.stop()
        self.check.purged_at_ms = purges
        self.acknowledged_count += len(purges)
        if self.is_forgetting:
            shutil.rmtree(self.director.directory / "store")
        await self._restart({**config, "coordinator": UNREACHABLE_COORDINATOR})

    async def _purge(self, coordinator: Coordinator) -> dict[str, float]:
        """Purges objects until some are durable; when each of these was purged."""
        purged_at_ms: dict[str, float] = {}
        for _ in range(self.draw.randrange(1, MAX_PURGES)):
            name = f"{self.draw.randrange(OBJECT_COUNT):x}"
            purged_at_ms[name] = time.time() * 1000.0
            coordinator.publish(evict={"ref": name, "unix_ms": purged_at_ms[name]})
            await asyncio.sleep(self.draw.random() * 0.03)
        durable: set[str] = set()
        while not durable & set(purged_at_ms):
            durable = await self.director.durable_purges()
        await asyncio.sleep(self.draw.random() * 0.05)
        return {name: at_ms for name, at_ms in purged_at_ms.items() if name in durable}

    async def _restart(self, config: dict[str, Any]) -> None:
        """Starts it again, asks for the purged objects and kills it once more."""
        self.restart_seconds.append(await self.director.start(config))
        with clients(self.director, 2, self.draw):
            for number, name in enumerate(self.check.purged_at_ms):
                await self.director.request_object(name, number + 1)
            await asyncio.sleep(self.draw.random() * 0.1)
            await self.director.kill()


async def run_rounds(kills: int, policy: str, seed: int, directory: Path, is_forgetting: bool) -> int:
    """Runs the benchmark and prints its result; its exit code."""
    rounds = KillRounds(DirectorProcess(directory, policy), random.Random(seed), is_forgetting)
    peers = [await ScriptedServer(rounds.check.serve, f"c{number}").start() for number in range(SERVER_COUNT)]
    for _ in range(kills // 2):
        await rounds.play(peers)
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
    """Parses the command line and runs the benchmark; its exit code."""
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
