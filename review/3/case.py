"""A purge under a configuration file that lacks a key: see claim.txt."""

from __future__ import annotations

import asyncio
import itertools
import json
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import BROKEN, HELD, Coordinator, Record, ask, free_port, run_case, start_director, unix_ms  # noqa: E402
from world import Origin, World, configuration, settings, start_servers  # noqa: E402

OBEY_MS = 500.0 + 50.0  # obey_after_ms of the settings, and what sockets add to each limit
GROUP = 17
OBJECTS = [f"{0x7F3A9C21E0B40000 + 977 * number:016x}" for number in range(40)]
INTERVAL_S = 0.1  # between requests, which take the objects in turn: each is asked for every 4 s


async def case(record: Record, scratch: Path, trouble: bool) -> int:
    coordinator = await Coordinator(record).start()
    world = World(record)
    servers = await start_servers(world, Origin(world))
    coordinator.publish_list([server.target() for server in servers.values()], is_all=True)
    listen, file = f"127.0.0.1:{free_port()}", scratch / "config.json"
    good = configuration(listen, coordinator.address, coordinator.known(), settings())
    file.write_text(json.dumps(good))
    director = await start_director(record, file, NODE_LISTEN=listen)
    await director.wait_event("serving")
    await asyncio.sleep(1.2)
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
    await asyncio.sleep(5.0)
    # The file of the new configuration: broken (the key `specifics` is missing), or whole.
    new = {**good, "settings": {key: value for key, value in good["settings"].items() if key != "specifics" or not trouble}}
    file.write_text(json.dumps(new))
    position = len(director.log)
    director.send(signal.SIGHUP)
    await asyncio.sleep(1.5)
    kept, taken = director.event("configuration kept", position), director.event("configuration taken", position)
    record.note(f"after SIGHUP: kept={kept is not None} taken={taken is not None}")
    for key in OBJECTS:
        at_ms = world.purge(key)
    coordinator.publish(evict={"shard": GROUP, "unix_ms": round(at_ms)})
    told_ms = unix_ms()
    await asyncio.sleep(6.5)
    traffic.cancel()
    await asyncio.gather(*running)
    await director.stop()
    await coordinator.stop()
    for server in servers.values():
        await server.stop()

    # What clients got, joined with what reached the servers by its ticket.
    sent = {}
    for server in servers.values():
        for call in server.calls:
            sent.setdefault(call.headers["x-ticket"], []).append(call)
    old = 0
    for answer in answers:
        if answer.status != 200:
            continue
        name, _, version = answer.body.decode().splitlines()[0].split(" ")
        key = name.split("/")[1]
        if int(version) == world.versions[key]:
            continue
        last = max(call.read_ms for call in sent[answer.trace])
        if last > told_ms + OBEY_MS:
            old += 1
            record.note(
                f"{answer.trace}: {key} as of before the purge, by a request that reached the cache "
                f"{last - told_ms:.0f} ms after the director was told of the purge"
            )
    served = sum(answer.status == 200 for answer in answers)
    record.note(f"{len(answers)} requests, {served} served, {old} of them with a purged copy (allowed: 0)")
    if not served:
        raise RuntimeError("nothing was served")
    return BROKEN if old else HELD


run_case(HERE, case)
