"""Shared duties on loopback: what boxes see of the probing, and how soon a dead one's share is taken over.

    python -m benchmarks.duties [--directors 4] [--boxes 12] [--kills 100] [--interval 500] [--loss 0]

Every director is a process of its own. First they are left alone for a while: suspicions and deaths of
members that live, and bytes a second, as each tells at its control socket. Then comes one kill after the
other. Probes a box and interval are counted over all of that, kills, takeovers and restarts among it. A
takeover is the time from SIGKILL to the first probe of a box by another director than the killed one, which
is known by its connection. `--loss` is the part of all datagrams that is lost. 100 kills take eight minutes.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import secrets
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from gladewalk.control.client import query_director
from gladewalk.faultnet.relay import free_port
from gladewalk.rehearsal.peers import Coordinator, Heard, ScriptedPeer, config_for

QUIET_S = 30.0
SETTLE_S = 3.0  # after a start, until all know one another and each duty has one owner


class Watch:
    """What the boxes have heard: when, and from which connection."""

    def __init__(self) -> None:
        self.probes: dict[str, list[tuple[float, asyncio.StreamWriter]]] = {}

    async def answer(self, heard: Heard) -> None:
        self.probes.setdefault(heard.peer.uid, []).append((time.monotonic(), heard.writer))
        await heard.answer(200, X_Meter="util:0.2")


class Fleet:
    def __init__(self, folder: Path, config: dict[str, object], interval_ms: float, loss: float) -> None:
        self.folder, self.config, self.interval_ms, self.loss = folder, config, interval_ms, loss
        (folder / "keys").write_text(secrets.token_hex(32))
        (folder / "keys").chmod(0o600)
        self.running: dict[int, asyncio.subprocess.Process] = {}
        self.ports: list[int] = []

    async def start(self, number: int) -> None:
        """A director, at the same address each time: the first start of each chooses its port."""
        if len(self.ports) <= number:
            self.ports.append(free_port())
        seeds = json.dumps([f"127.0.0.1:{port}" for port in self.ports[:2]])
        own, path = self.folder / f"n{number}.toml", self.folder / f"n{number}.json"
        own.write_text(
            f"[members]\nlisten = '127.0.0.1:{self.ports[number]}'\nkeys = 'keys'\nseeds = {seeds}\n"
            f"[duties]\nprobe_ms = {self.interval_ms}\ncheck_ms = 0.0\n"
            f"[control]\nsocket = 'n{number}.sock'\n"
        )
        path.write_text(json.dumps({**self.config, "name": f"n{number}"}))
        lossy = ["benchmarks.lossy_director", str(self.loss)]
        words = lossy if self.loss else ["gladewalk", "run", "--config"]
        self.running[number] = await asyncio.create_subprocess_exec(
            sys.executable, "-m", *words, str(own),
            env={**os.environ, "NODE_CONFIG": str(path)}, stderr=asyncio.subprocess.DEVNULL,
        )  # fmt: skip

    async def kill(self, number: int) -> None:
        process = self.running.pop(number)
        process.kill()
        await process.wait()

    async def counters(self) -> Counter[str]:
        """What all of them have counted together."""
        total: Counter[str] = Counter()
        for number in self.running:
            told = await asyncio.to_thread(query_director, self.folder / f"n{number}.sock", "members")
            total.update(told["counters"])
        return total

    def sockets(self, number: int) -> set[int]:
        """The local ports of a director's TCP connections."""
        pid, inodes, found = self.running[number].pid, set(), set()
        for entry in Path(f"/proc/{pid}/fd").iterdir():
            link = os.readlink(entry)
            if link.startswith("socket:["):
                inodes.add(link[8:-1])
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            words = line.split()
            if words[9] in inodes:
                found.add(int(words[1].split(":")[1], 16))
        return found


def port_of(writer: asyncio.StreamWriter) -> int:
    return int(writer.get_extra_info("peername")[1])


async def takeover(fleet: Fleet, watch: Watch, victim: int, interval_s: float) -> list[float]:
    """Kill one; for each box that it probed, how long until another did, in ms."""
    ports = fleet.sockets(victim)
    owned = [uid for uid, probes in watch.probes.items() if port_of(probes[-1][1]) in ports]
    # By the connection itself: on loopback another director may soon be given the same port.
    last = {uid: watch.probes[uid][-1][1] for uid in owned}
    killed = time.monotonic()
    await fleet.kill(victim)
    found: dict[str, float] = {}
    while len(found) < len(owned) and time.monotonic() < killed + 20.0:
        await asyncio.sleep(0.005)
        for uid in owned:
            later = [at for at, writer in watch.probes[uid] if at > killed and writer is not last[uid]]
            if later and uid not in found:
                found[uid] = (later[0] - killed) * 1_000.0
    return [found.get(uid, 20_000.0) for uid in owned]


async def quiet(fleet: Fleet, seconds: float) -> None:
    """Nothing happens: what members do to one another all the same."""
    before, started = await fleet.counters(), time.monotonic()
    await asyncio.sleep(seconds)
    after, spent = await fleet.counters(), time.monotonic() - started
    after.subtract(before)
    member_seconds = spent * len(fleet.running)
    minutes = member_seconds / 60.0
    print(
        f"{fleet.loss:.0%} lost, {spent:.0f} s: each member sees a minute "
        f"{after['members.suspected'] / minutes:.2f} suspicions and "
        f"{after['members.died'] / minutes:.2f} deaths of members that live; "
        f"{after['members.sent_bytes'] / member_seconds:.0f} bytes/s and "
        f"{after['members.sent'] / member_seconds:.1f} messages/s a member",
        flush=True,
    )


async def play(directors: int, boxes: int, kills: int, interval_ms: float, loss: float) -> None:
    watch, coordinator = Watch(), await Coordinator().start()
    peers = [await ScriptedPeer(watch.answer, f"c{n}").start() for n in range(boxes)]
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), config_for(peers, coordinator), interval_ms, loss)
        times: list[float] = []
        try:
            for number in range(directors):
                await fleet.start(number)
            await asyncio.sleep(SETTLE_S + interval_ms / 1_000.0)
            started, before = time.monotonic(), {uid: len(probes) for uid, probes in watch.probes.items()}
            await quiet(fleet, QUIET_S)
            for round_ in range(kills):
                victim = round_ % directors
                times += await takeover(fleet, watch, victim, interval_ms / 1_000.0)
                await fleet.start(victim)
                await asyncio.sleep(SETTLE_S)
            spent = (time.monotonic() - started) * 1_000.0 / interval_ms
            rates = sorted((len(probes) - before[uid]) / spent for uid, probes in watch.probes.items())
        finally:
            for number in list(fleet.running):
                await fleet.kill(number)
    for peer in peers:
        peer.stop()
    coordinator.stop()
    times.sort()
    print(f"{directors} directors, {boxes} boxes, {kills} kills, {len(times)} duties taken over")
    print(f"probes a box and interval: {rates[0]:.3f} to {rates[-1]:.3f}, mean {sum(rates) / len(rates):.3f}")
    if times:
        p50, p99 = times[len(times) // 2], times[min(len(times) - 1, int(len(times) * 0.99))]
        print(f"takeover ms: p50 {p50:.0f}, p99 {p99:.0f}, max {times[-1]:.0f}")


def main() -> int:
    parser = argparse.ArgumentParser(description="Shared duties on loopback.")
    parser.add_argument("--directors", type=int, default=4)
    parser.add_argument("--boxes", type=int, default=12)
    parser.add_argument("--kills", type=int, default=100)
    parser.add_argument("--interval", type=float, default=500.0)
    parser.add_argument("--loss", type=float, default=0.0)
    given = parser.parse_args()
    asyncio.run(play(given.directors, given.boxes, given.kills, given.interval, given.loss))
    return 0


if __name__ == "__main__":
    sys.exit(main())
