"""DNS leases over kills: a server in slow start gets no more DNS answers and requests than its budget allows.

    python -m benchmarks.lease_kills [--kills 200] [--seed 1] [--forget]

A server has just started. Resolvers query a director with a DNS server and a store for names, and clients
request objects from it. It is killed with SIGKILL at a random time and started again, four runs to a round.
The load is that of the DNS answers that resolvers received, which they cache for minutes, and of the requests
that the server received. In no window of `tip_after_ms` may it exceed `fall_multiple` times the server's
capacity at that time. `--forget` empties the store between the runs: each run then gives DNS answers without
knowledge of earlier ones, and the check has to find rounds over the budget.
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

from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import SETTINGS, config_for
from gladewalk.rehearsal.resolver import StubResolver
from gladewalk.rehearsal.scripted_servers import ReceivedRequest, ScriptedServer

from .director_process import DirectorProcess

RUNS_PER_ROUND = 4
CAPACITY = 64.0  # concurrent transfers of a warm server
TRANSFER_MS = 20.0
SLOW_START_HOST = "127.0.0.2"
RESOLVER_COUNT, CLIENT_COUNT = 4, 4
RULES = SETTINGS["invariants"]
DNS = "[dns]\nlisten = '127.0.0.1:0'\nzone = 'cdn.example.'\nown_address = '127.0.0.1'\n"


def wall_ms() -> float:
    """Returns the time in Unix ms."""
    return time.time() * 1_000.0


@dataclass(slots=True)
class SlowStartServer:
    """The server in slow start: when it started, and the requests and DNS answers that name it."""

    started_at_ms: float
    requests_ms: list[float] = field(default_factory=list)
    answers_ms: dict[tuple[str, str], float] = field(default_factory=dict)  # by resolver and name

    async def serve(self, request: ReceivedRequest) -> None:
        """Records a request and responds to it."""
        self.requests_ms.append(wall_ms())
        await serve_warm(request)

    def max_load(self) -> float:
        """Returns the load of the window with the highest load, as a fraction of its budget."""
        window_ms, multiple = RULES["tip_after_ms"], RULES["fall_multiple"]
        initial = RULES["cold_from"]
        highest = 0.0
        for end_ms in sorted([*self.requests_ms, *self.answers_ms.values()]):
            sent = sum(end_ms - window_ms < at_ms <= end_ms for at_ms in self.requests_ms) * TRANSFER_MS
            cached = sum(at_ms <= end_ms for at_ms in self.answers_ms.values()) * window_ms
            age_ms = max(0.0, end_ms - window_ms - self.started_at_ms)
            fraction = min(1.0, initial + (1.0 - initial) * age_ms / RULES["ramp_time_ms"])
            highest = max(highest, (sent + cached) / (multiple * fraction * CAPACITY * window_ms))
        return highest


async def serve_warm(request: ReceivedRequest) -> None:
    """Responds as a server at full capacity does."""
    await asyncio.sleep(TRANSFER_MS / 1_000.0)
    await request.respond(200, b"copy", X_Remark="mem")


async def resolve(run: DirectorProcess, server: SlowStartServer, rng: random.Random, source: str) -> None:
    """Queries a new name each time until the run ends, as a resolver that caches every answer."""
    resolver = StubResolver(run.dns, min_cache_s=3_600.0, source_host=source)
    while run.is_up:
        name = f"0.{rng.getrandbits(40):x}.lot-page.cdn.example."
        with contextlib.suppress(OSError, TimeoutError):
            if SLOW_START_HOST in await resolver.resolve(name):
                server.answers_ms[source, name] = wall_ms()
        await asyncio.sleep(0.002)


async def send_requests(run: DirectorProcess, rng: random.Random) -> None:
    """Requests a new object each time as a client, until the run ends."""
    while run.is_up:
        await run.request_object(f"{rng.getrandbits(40):x}", rng.getrandbits(60))


async def run_until_kill(run: DirectorProcess, server: SlowStartServer, rng: random.Random) -> None:
    """Runs resolvers and clients against a director, and kills it at a random time."""
    tasks = [
        asyncio.create_task(resolve(run, server, random.Random(rng.random()), f"127.0.1.{number}"))
        for number in range(1, RESOLVER_COUNT + 1)
    ]
    tasks += [
        asyncio.create_task(send_requests(run, random.Random(rng.random()))) for _ in range(CLIENT_COUNT)
    ]
    await asyncio.sleep(0.2 + rng.random() * 0.4)
    await run.kill()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def run_round(folder: Path, rng: random.Random, runs: int, forget: bool) -> SlowStartServer:
    """Executes some runs of one director during one slow start of a server."""
    server, coordinator = SlowStartServer(wall_ms()), await Coordinator().start()
    starting_server = ScriptedServer(
        server.serve, "c0", capacity=CAPACITY, host=SLOW_START_HOST, boot_ms=server.started_at_ms
    )
    peers = [await starting_server.start()]
    for number in (1, 2):
        host = f"127.0.0.{number + 2}"
        peers.append(await ScriptedServer(serve_warm, f"c{number}", capacity=CAPACITY, host=host).start())
    peers.append(await ScriptedServer(serve_warm, "p1", "parent", "north", CAPACITY).start())
    config = json.loads(json.dumps(config_for(peers, coordinator, SETTINGS)))
    run = DirectorProcess(folder, "each")
    options_path = folder / "own.toml"
    options_path.write_text(options_path.read_text() + DNS)
    for _ in range(runs):
        await run.start(config)
        await run_until_kill(run, server, rng)
        if forget:
            shutil.rmtree(folder / "store")
    coordinator.stop()
    for peer in peers:
        peer.stop()
    return server


async def run_rounds(kills: int, seed: int, forget: bool) -> int:
    """Executes all rounds and prints the measurements; returns 1 if a round was over its budget."""
    rng, servers = random.Random(seed), []
    for _ in range(-(-kills // RUNS_PER_ROUND)):
        with tempfile.TemporaryDirectory() as folder:
            servers.append(await run_round(Path(folder), rng, RUNS_PER_ROUND, forget))
    loads = sorted(server.max_load() for server in servers)
    rounds_over = sum(load > 1.0 for load in loads)
    print(
        f"{len(servers) * RUNS_PER_ROUND} kills in {len(servers)} rounds, seed {seed}: a cold box was named "
        f"{sum(len(server.answers_ms) for server in servers) / len(servers):.1f} times a round and sent "
        f"{sum(len(server.requests_ms) for server in servers) / len(servers):.0f} requests; its fullest "
        f"window was {loads[len(loads) // 2]:.2f} of its budget at the median, {loads[-1]:.2f} at the most; "
        f"{rounds_over} rounds over it"
    )
    return 1 if rounds_over else 0


def main() -> int:
    """Runs the benchmark; returns the exit code."""
    parser = argparse.ArgumentParser(description="DNS leases over kills.")
    parser.add_argument("--kills", type=int, default=200)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--forget", action="store_true")
    arguments = parser.parse_args()
    return asyncio.run(run_rounds(arguments.kills, arguments.seed, arguments.forget))


if __name__ == "__main__":
    sys.exit(main())
