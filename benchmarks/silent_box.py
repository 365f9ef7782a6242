"""Requests sent to a cache that stops responding under light traffic, with and without shared health checks.

    python -m benchmarks.silent_box [--rounds 10] [--directors 4] [--rate 4] [--seed 1]

Four directors run in one process, with twelve caches; each director gets `rate` requests a second for objects
of its own. At a random time one cache stops responding but still accepts connections. From then on, with
shared tasks and without, it counts the attempts sent to this cache, the requests that are served late or not
served, and the time of the last attempt. With shared tasks, one of the directors checks each cache every
250 ms.
"""

from __future__ import annotations

import argparse
import asyncio
import logging
import random
import statistics
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import structlog

from gladewalk.config.options import build_options, read_option_tables
from gladewalk.config.platform import read_config
from gladewalk.director import Director
from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import config_for, wait_until
from gladewalk.rehearsal.http_messages import encode_request, read_message
from gladewalk.rehearsal.scripted_servers import ReceivedRequest, ScriptedServer

CACHE_COUNT = 12
LATENCY_OBJECTIVE_MS = 250.0  # of `lot-page` in the rehearsal's settings
OBSERVED_SECONDS = 8.0
STALL_SECONDS = 60.0  # an unresponsive cache keeps a request for this long
COUNTS = ("requests", "attempts", "late", "failed", "last_attempt_seconds", "health_checks")


@dataclass(slots=True)
class Round:
    """One round, with counts from the time when one cache stopped responding.

    Attributes:
        is_shared: Whether the directors share health checks.
        unresponsive: The name of the cache that stopped responding; empty before.
        unresponsive_since: When it stopped responding, monotonic seconds.
        attempts: Attempts sent to the unresponsive cache, without health checks.
        last_attempt_seconds: Seconds from then until the last of these attempts.
        late: Requests that were served after their latency objective.
        failed: Requests that were not served.
    """

    is_shared: bool
    directors: list[Director] = field(default_factory=list)
    unresponsive: str = ""
    unresponsive_since: float = 0.0
    attempts: int = 0
    last_attempt_seconds: float = 0.0
    late: int = 0
    failed: int = 0
    requests: int = 0
    health_checks: int = 0

    async def serve(self, request: ReceivedRequest) -> None:
        """Responds to a request at a cache, unless that cache is unresponsive."""
        if request.path == "/load":
            self.health_checks += 1
        if request.server.uid != self.unresponsive:
            return await request.respond(200, b"page", X_Remark="mem", X_Meter="util:0.1;x0:0.9")
        if request.path != "/load":
            self.attempts += 1
            self.last_attempt_seconds = time.monotonic() - self.unresponsive_since
        await asyncio.sleep(STALL_SECONDS)


async def start_directors(
    round_: Round, count: int, caches: list[ScriptedServer], coordinator: Coordinator
) -> None:
    """Starts the directors; if they share tasks, waits until they are members of one fleet."""
    folder = Path(tempfile.mkdtemp())
    (folder / "keys").write_text("ab" * 32)
    (folder / "keys").chmod(0o600)
    seeds: list[str] = []
    for number in range(count):
        options = None
        if round_.is_shared:
            options = build_options(read_option_tables({
                "members": {"listen": "127.0.0.1:0", "seeds": seeds, "keys": "keys"},
                "duties": {"probe_ms": 250.0, "check_ms": 0.0},
            }), "t", folder)  # fmt: skip
        raw = {**config_for(caches, coordinator), "name": f"n{number}", "seed": f"{number + 1:x}"}
        director = Director(read_config(raw, {}), asyncio.get_running_loop(), None, options)
        await director.start()
        if director.members is not None:
            seeds = [f"127.0.0.1:{director.members.core.local.port}"]
        round_.directors.append(director)
    if round_.is_shared:
        fleet = [director.members.core for director in round_.directors if director.members is not None]
        await wait_until(lambda: all(len(core.live_weights()) == count for core in fleet))


async def send_request(round_: Round, director: Director, key: int) -> None:
    """Sends one request for an object and counts its outcome."""
    started = time.monotonic()
    reader, writer = await asyncio.open_connection(*director.front.address)
    try:
        writer.write(encode_request(f"/invoke/lot-page/{key:x}?nth=0", trace=f"{key:016x}"))
        status_line, _, _ = await read_message(reader)
        status = int(status_line.split(" ")[1])
    except (OSError, asyncio.IncompleteReadError):
        status = 0
    finally:
        writer.close()
    if round_.unresponsive:
        is_late = time.monotonic() - started > LATENCY_OBJECTIVE_MS / 1_000.0
        round_.requests += 1
        round_.failed += status != 200
        round_.late += status == 200 and is_late


async def send_load(round_: Round, rng: random.Random, rate: float) -> None:
    """Sends requests to each director by a Poisson process of this rate; each object is requested once."""
    tasks = set()
    while True:
        for director in round_.directors:
            task = asyncio.create_task(send_request(round_, director, rng.getrandbits(63)))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.sleep(rng.expovariate(rate))


async def run_round(is_shared: bool, director_count: int, rate: float, seed: int) -> Round:
    """Runs one round and returns its counts."""
    rng, round_ = random.Random(seed), Round(is_shared)
    coordinator = await Coordinator().start()
    caches = [await ScriptedServer(round_.serve, f"c{number}").start() for number in range(CACHE_COUNT)]
    await start_directors(round_, director_count, caches, coordinator)
    load = asyncio.create_task(send_load(round_, rng, rate))
    await asyncio.sleep(2.0 + rng.random())
    round_.unresponsive_since, round_.unresponsive = time.monotonic(), f"c{rng.randrange(CACHE_COUNT)}"
    await asyncio.sleep(OBSERVED_SECONDS)
    load.cancel()
    for director in round_.directors:
        director.front.close()
        director.coordinator_watch.close()
        if director.members is not None:
            director.members.leave()
    for server in caches:
        server.stop()
    coordinator.stop()
    return round_


def main() -> int:
    """Runs the benchmark; returns the exit code."""
    parser = argparse.ArgumentParser(description="A silent cache, with shared health checks and without.")
    parser.add_argument("--rounds", type=int, default=10)
    parser.add_argument("--directors", type=int, default=4)
    parser.add_argument("--rate", type=float, default=4.0)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))
    rounds = [
        asyncio.run(run_round(is_shared, arguments.directors, arguments.rate, arguments.seed + number))
        for number in range(arguments.rounds)
        for is_shared in (False, True)
    ]
    print(f"{arguments.rounds} rounds each; {OBSERVED_SECONDS:.0f} s after the fault; means of a round")
    for is_shared in (False, True):
        selected = [round_ for round_ in rounds if round_.is_shared is is_shared]
        mean = {name: statistics.mean(getattr(round_, name) for round_ in selected) for name in COUNTS}
        print(
            f"{'shared tasks' if is_shared else 'each alone':>14}: {mean['requests']:.0f} requests, "
            f"{mean['attempts']:.1f} attempts at the silent cache, the last after "
            f"{mean['last_attempt_seconds']:.2f} s; {mean['late']:.1f} late, {mean['failed']:.2f} failed; "
            f"{mean['health_checks']:.0f} health checks"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
