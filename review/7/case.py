"""A new version takes over under load while the location's cache is still cold.

The platform holds the clients' listening socket. The location's one cache has come back cold; the first process was
told by an event, the second by its configuration. Clients read pages at a steady rate, each on a new connection.
"""

import asyncio
import json
import math
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stage import HOST, TROUBLE, Cache, Coordinator, Stage, director_config, exchange, free_port, main, settings, unix_ms

READS_PER_S = 200
SIZE_KB, CLIENT_KB_PER_S = 500.0, 10_000.0
MEAN_MS = SIZE_KB / CLIENT_KB_PER_S * 1000.0  # a read's mean sending time
CAPACITY = 4  # transfers at full speed
COLD_FROM, RAMP_MS, MULTIPLE, WINDOW_MS = 0.16, 18_000.0, 3.0, 2_000.0
LOAD_S = 9.0
BINDS_AFTER_S = 2.0  # from this long after the second process's yes, news binds it


def allowed(since_start_ms: float) -> float:
    """Returns how many mean requests the settings allow in the window that ends then, without the slack for chance."""
    steps = 40
    total = 0.0
    for step in range(steps):
        age_ms = since_start_ms - WINDOW_MS + (step + 0.5) * WINDOW_MS / steps
        fraction = min(1.0, COLD_FROM + (1.0 - COLD_FROM) * max(0.0, age_ms) / RAMP_MS)
        total += MULTIPLE * CAPACITY * fraction * WINDOW_MS / steps
    return total / MEAN_MS


def bound(count: float) -> float:
    """Returns the number of requests above which a cold cache falls (STANDING.md)."""
    return count + 3 * math.sqrt(count) + 3 if count < 30 else count + 2 * math.sqrt(count) + 2


async def case(stage: Stage) -> list[str]:
    cold = await Cache(stage, "c1").start()
    parent = await Cache(stage, "p1", model="parent", zone="north").start()
    origin = await Cache(stage, "o1", model="origin", zone="north").start()
    coordinator = await Coordinator(stage).start()
    sources = parent.target(capacity_hint=40), origin.target(capacity_hint=40)
    coordinator.publish_list(cold.target(capacity_hint=CAPACITY), *sources, whole=True)
    chosen = settings(me=0)
    chosen["specifics"]["client_kb_per_s"] = CLIENT_KB_PER_S
    listener = socket.create_server((HOST, free_port()), backlog=512)
    address = f"{HOST}:{listener.getsockname()[1]}"
    config = director_config(coordinator, listen=address, settings=chosen)

    async def start(name: str) -> tuple[subprocess.Popen[bytes], str]:
        admin = f"{HOST}:{free_port()}"
        text = {**config, "admin_addr": admin, "known": coordinator.known(), "seed": f"{len(name)}f"}
        scratch = stage.folder / "shared"
        scratch.mkdir(exist_ok=True)
        process = stage.start_director(text, name, inherited=listener, NODE_ADMIN_ADDR=admin, TMPDIR=str(scratch))
        return process, admin

    async def is_ready(admin: str) -> bool:
        return (await exchange(admin, "GET /ops/readiness HTTP/1.1\r\nHost: a\r\n\r\n", 1.0))[0] == 200

    first, admin = await start("first")
    await stage.until("the first process is ready", lambda: is_ready(admin))

    answers: dict[int, int] = {}

    async def read(key: int) -> None:
        ticket = int.from_bytes(os.urandom(8))
        message = (
            f"GET /invoke/lot-page/{key:016x}?nth=0 HTTP/1.1\r\nHost: app.svc\r\nTrace-Id: {ticket:016x}\r\n"
            f"Max-Wait-Ms: 3000\r\nX-Batch: {key % 256}\r\nReserve-Kb: {SIZE_KB}\r\n\r\n"
        )
        status = (await exchange(address, message, 4.0))[0]
        answers[status] = answers.get(status, 0) + 1

    async def load(seconds: float) -> None:
        begin, sent = time.monotonic(), 0
        tasks = []
        while time.monotonic() < begin + seconds:
            while sent < (time.monotonic() - begin) * READS_PER_S:
                tasks.append(asyncio.create_task(read(1000 + sent)))
                sent += 1
            await asyncio.sleep(0.005)
        await asyncio.gather(*tasks)

    await load(3.0)  # what a request takes is learned
    started_ms = unix_ms()
    start_s = time.monotonic()
    coordinator.publish_list(cold.target(capacity_hint=CAPACITY, boot_ms=started_ms))
    loading = asyncio.create_task(load(LOAD_S))
    await asyncio.sleep(0.3)
    counts_from_s = start_s
    if TROUBLE:
        upgrade_s = time.monotonic()
        _, admin = await start("second")
        await stage.until("the second process is ready", lambda: is_ready(admin), 6.0)
        counts_from_s = time.monotonic() + BINDS_AFTER_S
        await asyncio.sleep(max(0.0, upgrade_s + 6.0 - time.monotonic()))
        first.send_signal(signal.SIGTERM)
        stage.note("SIGTERM to the first process")
    await loading
    stage.note(f"answers {json.dumps(answers)}")
    times = [at_s for at_s, _ in cold.received if at_s >= counts_from_s]
    most, worst = 0.0, ""
    for index, end_s in enumerate(times):
        if end_s < counts_from_s + WINDOW_MS / 1000.0:
            continue
        age_ms = (end_s - start_s) * 1000.0
        count = sum(at_s > end_s - WINDOW_MS / 1000.0 for at_s in times[: index + 1])
        limit = bound(allowed(age_ms))
        if count / limit > most:
            most, worst = count / limit, f"{count} requests in 2 s, falls above {limit:.0f}, {age_ms:.0f} ms after its start"
    stage.note(f"c1: at the most {worst}")
    return [f"c1 falls over: {worst}"] if most > 1.0 else []


main(case, __file__)
