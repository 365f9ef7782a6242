"""A new version under load while discovery is slow: see claim.txt."""

from __future__ import annotations

import asyncio
import itertools
import json
import signal
import socket
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import (  # noqa: E402
    BROKEN, HELD, Coordinator, Director, Record, ask, encode, free_port, read_message, run_case, start_director,
    unix_ms,
)  # fmt: skip
from world import Origin, World, configuration, settings, start_servers  # noqa: E402

OBEY_MS = 500.0 + 50.0  # obey_after_ms of the settings, and what sockets add to each limit
BINDS_AFTER_YES_MS = 2000.0  # "From 2 s after the yes, news of the coordinator binds."
YES_LIMIT_S = 6.0  # "The new process is given 6 s to say yes."
KILL_AFTER_S = 3.0 + 0.7
GROUP, OTHER_GROUP = 17, 90
OBJECTS = [f"{0x7F3A9C21E0B40000 + 977 * number:016x}" for number in range(60)]
INTERVAL_S = 0.1  # between requests, which take the objects in turn: each is asked for every 6 s
EARLIER_EVENTS = 45  # purges of other objects since the first process started
SLOW_PACE_S = 0.1  # the slow coordinator sends the events that a new follower lacks at ten a second


async def is_ready(admin: str) -> bool:
    """The answer to the front's question at a director's second address."""
    host, _, port = admin.rpartition(":")
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode("GET /ops/readiness HTTP/1.1", {"Host": "app.svc"}))
            status = (await read_message(reader)).status
            writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return False
    return 200 <= status < 300


async def wait_ready(admin: str, director: Director, limit_s: float) -> bool:
    """Asks every 0.1 s, until the first yes or the end of the time."""
    end_ms = unix_ms() + limit_s * 1000.0
    while unix_ms() < end_ms:
        if director.process.returncode is not None:
            raise RuntimeError("the director ended")
        if await is_ready(admin):
            return True
        await asyncio.sleep(0.1)
    return False


async def case(record: Record, scratch: Path, trouble: bool) -> int:
    coordinator = await Coordinator(record).start()
    world = World(record)
    servers = await start_servers(world, Origin(world))
    coordinator.publish_list([server.target() for server in servers.values()], is_all=True)
    listener = socket.create_server(("127.0.0.1", 0), backlog=512)  # the platform holds it
    listen, file = f"127.0.0.1:{listener.getsockname()[1]}", scratch / "config.json"
    file.write_text(json.dumps(configuration(listen, coordinator.address, coordinator.known(), settings())))
    admins = [f"127.0.0.1:{free_port()}" for _ in range(2)]

    async def start(number: int) -> Director:
        return await start_director(
            record, file, inherited=listener, NODE_LISTEN=listen, NODE_ADMIN_ADDR=admins[number]
        )

    old = await start(0)
    assert await wait_ready(admins[0], old, 30.0), "the first process was not ready"
    answers = []

    async def request(key: str) -> None:
        path = f"/invoke/lot-video/{key}?nth=0"
        answers.append(await ask(record, listen, path, wait_ms=2500, X_Batch=GROUP, Reserve_Kb=600))

    async def clients() -> None:
        for key in itertools.cycle(OBJECTS):
            running.add(task := asyncio.create_task(request(key)))
            task.add_done_callback(running.discard)
            await asyncio.sleep(INTERVAL_S)

    running: set[asyncio.Task[None]] = set()
    traffic = asyncio.create_task(clients())
    for number in range(EARLIER_EVENTS):
        coordinator.publish(evict={"ref": f"{0x1111000000000000 + number:016x}", "unix_ms": round(unix_ms())})
        await asyncio.sleep(7.0 / EARLIER_EVENTS)

    # The upgrade: `run` once more, with a new second address and everything else the same.
    coordinator.pace_s = SLOW_PACE_S if trouble else 0.0
    began_ms = unix_ms()
    new = await start(1)
    await asyncio.sleep(0.3)
    for key in OBJECTS:
        purged_ms = world.purge(key)
    coordinator.publish(evict={"shard": GROUP, "unix_ms": round(purged_ms)})
    said_yes = await wait_ready(admins[1], new, YES_LIMIT_S - (unix_ms() - began_ms) / 1000.0)
    yes_ms = unix_ms()
    record.note(f"the new process said {'yes' if said_yes else 'nothing'} {yes_ms - began_ms:.0f} ms after its start")
    old.send(signal.SIGTERM)

    async def end_old() -> None:
        try:
            async with asyncio.timeout(KILL_AFTER_S):
                await old.process.wait()
        except TimeoutError:
            old.process.kill()

    ending = asyncio.create_task(end_old())
    await asyncio.sleep(max(0.0, (purged_ms + 6500.0 - unix_ms()) / 1000.0))
    traffic.cancel()
    await asyncio.gather(*running)
    await ending
    await new.stop()
    await coordinator.stop()
    listener.close()
    for server in servers.values():
        await server.stop()

    binds_ms = max(purged_ms, yes_ms + BINDS_AFTER_YES_MS)
    sent = {}
    for server in servers.values():
        for call in server.calls:
            sent.setdefault(call.headers["x-ticket"], []).append(call)
    old_copies = 0
    for answer in answers:
        if answer.status != 200 or answer.sent_ms < purged_ms:
            continue
        name, _, version = answer.body.decode().splitlines()[0].split(" ")
        if int(version) == world.versions[name.split("/")[1]]:
            continue
        last = max(call.read_ms for call in sent[answer.trace])
        if last > binds_ms + OBEY_MS:
            old_copies += 1
            record.note(
                f"{answer.trace}: {name} as of before the purge, by a request that reached the cache "
                f"{last - purged_ms:.0f} ms after the purge, {last - yes_ms:.0f} ms after the yes"
            )
    served = sum(answer.status == 200 for answer in answers)
    record.note(f"{len(answers)} requests, {served} served, {old_copies} of them with a purged copy (allowed: 0)")
    if not served or (not trouble and not said_yes):
        raise RuntimeError("nothing was served, or no yes")
    return BROKEN if old_copies else HELD


run_case(HERE, case)
