"""What the decisions gain by shared probes: a box goes silent under light traffic.

    python -m benchmarks.silent_box [--rounds 10] [--directors 4] [--rate 4] [--seed 1]

Four directors in one process, twelve boxes; each director is asked `rate` times a second for objects of its
own. At a drawn moment one box takes connections and answers nothing any more. Counted from then on, with
shared duties and without, in turn: attempts sent to the silent box, requests answered late or not at all, and
when a director last sent it any. Boxes are probed each 250 ms by one director of all.
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

BOXES = 12
AIM_MS = 250.0  # as the rehearsal's settings have it for `lot-page`
WATCH_S = 8.0


@dataclass(slots=True)
class Round:
    shared: bool
    directors: list[Director] = field(default_factory=list)
    silent: str = ""
    since: float = 0.0
    sent: int = 0
    sent_last: float = 0.0
    late: int = 0
    lost: int = 0
    asked: int = 0
    probes: int = 0

    async def script(self, heard: ReceivedRequest) -> None:
        if heard.path == "/load":
            self.probes += 1
        if heard.server.uid != self.silent:
            return await heard.answer(200, b"page", X_Remark="mem", X_Meter="util:0.1;x0:0.9")
        if heard.path != "/load":
            self.sent += 1
            self.sent_last = time.monotonic() - self.since
        await asyncio.sleep(60.0)  # it took the request and says nothing


async def start(round_: Round, count: int, peers: list[ScriptedServer], coordinator: Coordinator) -> None:
    folder = Path(tempfile.mkdtemp())
    (folder / "keys").write_text("ab" * 32)
    (folder / "keys").chmod(0o600)
    seeds: list[str] = []
    for number in range(count):
        options = None
        if round_.shared:
            options = build_options(read_option_tables({
                "members": {"listen": "127.0.0.1:0", "seeds": seeds, "keys": "keys"},
                "duties": {"probe_ms": 250.0, "check_ms": 0.0},
            }), "t", folder)  # fmt: skip
        raw = {**config_for(peers, coordinator), "name": f"n{number}", "seed": f"{number + 1:x}"}
        director = Director(read_config(raw, {}), asyncio.get_running_loop(), None, options)
        await director.start()
        if director.members is not None:
            seeds = [f"127.0.0.1:{director.members.core.local.port}"]
        round_.directors.append(director)
    if round_.shared:
        everywhere = [d.members.core for d in round_.directors if d.members is not None]
        await wait_until(lambda: all(len(core.live_weights()) == count for core in everywhere))


async def ask(round_: Round, director: Director, key: int) -> None:
    began = time.monotonic()
    reader, writer = await asyncio.open_connection(*director.front.address)
    try:
        writer.write(encode_request(f"/invoke/lot-page/{key:x}?nth=0", trace=f"{key:016x}"))
        first, _, _ = await read_message(reader)
        status = int(first.split(" ")[1])
    except (OSError, asyncio.IncompleteReadError):
        status = 0
    finally:
        writer.close()
    if round_.silent:
        round_.asked += 1
        round_.lost += status != 200
        round_.late += status == 200 and time.monotonic() - began > AIM_MS / 1_000.0


async def load(round_: Round, draw: random.Random, rate: float) -> None:
    """Open arrivals at each director in turn; each object is asked for once."""
    tasks = set()
    while True:
        for director in round_.directors:
            task = asyncio.create_task(ask(round_, director, draw.getrandbits(63)))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.sleep(draw.expovariate(rate))


async def play(shared: bool, directors: int, rate: float, seed: int) -> Round:
    draw, round_ = random.Random(seed), Round(shared)
    coordinator = await Coordinator().start()
    peers = [await ScriptedServer(round_.script, f"c{n}").start() for n in range(BOXES)]
    await start(round_, directors, peers, coordinator)
    traffic = asyncio.create_task(load(round_, draw, rate))
    await asyncio.sleep(2.0 + draw.random())
    round_.since, round_.silent = time.monotonic(), f"c{draw.randrange(BOXES)}"
    await asyncio.sleep(WATCH_S)
    traffic.cancel()
    for director in round_.directors:
        director.front.close()
        director.coordinator_watch.close()
        if director.members is not None:
            director.members.leave()
    for peer in peers:
        peer.stop()
    coordinator.stop()
    return round_


def main() -> int:
    parser = argparse.ArgumentParser(description="A silent box, with shared probes and without.")
    parser.add_argument("--rounds", type=int, default=10)
    parser.add_argument("--directors", type=int, default=4)
    parser.add_argument("--rate", type=float, default=4.0)
    parser.add_argument("--seed", type=int, default=1)
    given = parser.parse_args()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))
    rounds = [
        asyncio.run(play(shared, given.directors, given.rate, given.seed + number))
        for number in range(given.rounds)
        for shared in (False, True)
    ]
    print(f"{given.rounds} rounds each; {WATCH_S:.0f} s from the silence on; a round's mean")
    for shared in (False, True):
        part = [r for r in rounds if r.shared is shared]
        mean = {name: statistics.mean(getattr(r, name) for r in part)
                for name in ("asked", "sent", "late", "lost", "sent_last", "probes")}  # fmt: skip
        print(
            f"{'shared duties' if shared else 'each alone':>14}: asked {mean['asked']:.0f}, "
            f"sent to the silent box {mean['sent']:.1f}, late {mean['late']:.1f}, lost {mean['lost']:.2f}, "
            f"last sent to it after {mean['sent_last']:.2f} s; {mean['probes']:.0f} probes"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
