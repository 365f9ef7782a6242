"""Shared tasks on loopback: health checks that servers receive, and takeovers of a killed director's tasks.

    python -m benchmarks.duties [--directors 4] [--boxes 12] [--kills 100] [--interval 500] [--loss 0]

Every director is a process. First all of them run undisturbed: it prints suspicions and deaths of live
members, and bytes a second, from the directors' control sockets. Then they are killed and restarted, one
after another. The number of checks per server and interval covers all of that time, including kills,
takeovers and restarts. A takeover is the time from SIGKILL until a server receives its first check on a
connection that is not the killed director's. `--loss` is the fraction of all datagrams that is lost. 100
kills take eight minutes.
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
from dataclasses import dataclass
from pathlib import Path

from gladewalk.control.client import query_director
from gladewalk.faultnet.relay import free_port
from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import config_for
from gladewalk.rehearsal.scripted_servers import ReceivedRequest, ScriptedServer

QUIET_SECONDS = 30.0
SETTLE_SECONDS = 3.0  # after a start, until all members know each other and each task has one owner
MAX_TAKEOVER_SECONDS = 20.0
SEED_COUNT = 2
MS = 1_000.0  # in a second


@dataclass(slots=True, frozen=True)
class ReceivedCheck:
    """A health check that a server received; the connection identifies the sender."""

    at_seconds: float  # monotonic
    connection: asyncio.StreamWriter


class CheckRecorder:
    """The health checks that the servers received."""

    def __init__(self) -> None:
        self.checks: dict[str, list[ReceivedCheck]] = {}  # by server

    async def serve(self, request: ReceivedRequest) -> None:
        """Records a check and responds to it."""
        check = ReceivedCheck(time.monotonic(), request.writer)
        self.checks.setdefault(request.server.uid, []).append(check)
        await request.respond(200, X_Meter="util:0.2")


class Fleet:
    """Directors as processes, by number."""

    def __init__(self, folder: Path, config: dict[str, object], interval_ms: float, loss: float) -> None:
        self.folder, self.config, self.interval_ms, self.loss = folder, config, interval_ms, loss
        (folder / "keys").write_text(secrets.token_hex(32))
        (folder / "keys").chmod(0o600)
        self.running: dict[int, asyncio.subprocess.Process] = {}
        self.ports: list[int] = []

    async def start(self, number: int) -> None:
        """Starts a director; it keeps the port of its first start."""
        if len(self.ports) <= number:
            self.ports.append(free_port())
        seeds = json.dumps([f"127.0.0.1:{port}" for port in self.ports[:SEED_COUNT]])
        options_path, config_path = self.folder / f"n{number}.toml", self.folder / f"n{number}.json"
        options_path.write_text(
            f"[members]\nlisten = '127.0.0.1:{self.ports[number]}'\nkeys = 'keys'\nseeds = {seeds}\n"
            f"[duties]\nprobe_ms = {self.interval_ms}\ncheck_ms = 0.0\n"
            f"[control]\nsocket = 'n{number}.sock'\n"
        )
        config_path.write_text(json.dumps({**self.config, "name": f"n{number}"}))
        lossy = ["benchmarks.lossy_director", str(self.loss)]
        module_arguments = lossy if self.loss else ["gladewalk", "run", "--config"]
        self.running[number] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *module_arguments,
            str(options_path),
            env={**os.environ, "NODE_CONFIG": str(config_path)},
            stderr=asyncio.subprocess.DEVNULL,
        )

    async def kill(self, number: int) -> None:
        """Kills a director with SIGKILL and waits for its end."""
        process = self.running.pop(number)
        process.kill()
        await process.wait()

    async def counters(self) -> Counter[str]:
        """Returns the sum of all running directors' counters."""
        total: Counter[str] = Counter()
        for number in self.running:
            view = await asyncio.to_thread(query_director, self.folder / f"n{number}.sock", "members")
            total.update(view["counters"])
        return total

    def tcp_ports(self, number: int) -> set[int]:
        """Returns the local ports of a director's TCP connections."""
        inodes = set()
        for entry in Path(f"/proc/{self.running[number].pid}/fd").iterdir():
            link = os.readlink(entry)
            if link.startswith("socket:["):
                inodes.add(link.removeprefix("socket:[").removesuffix("]"))
        ports = set()
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            if fields[9] in inodes:
                ports.add(int(fields[1].split(":")[1], 16))
        return ports


def port_of(connection: asyncio.StreamWriter) -> int:
    """Returns the port at the other end of a connection."""
    return int(connection.get_extra_info("peername")[1])


async def measure_takeover(fleet: Fleet, recorder: CheckRecorder, victim: int) -> list[float]:
    """Kills a director; returns the ms until another one checks each server that it checked."""
    ports = fleet.tcp_ports(victim)
    # By the connection itself: on loopback another director may soon be given the same port.
    last_connections = {
        server: checks[-1].connection
        for server, checks in recorder.checks.items()
        if port_of(checks[-1].connection) in ports
    }
    killed = time.monotonic()
    await fleet.kill(victim)
    takeovers_by_server: dict[str, float] = {}
    while (
        len(takeovers_by_server) < len(last_connections) and time.monotonic() < killed + MAX_TAKEOVER_SECONDS
    ):
        await asyncio.sleep(0.005)
        for server, last_connection in last_connections.items():
            later_seconds = [
                check.at_seconds
                for check in recorder.checks[server]
                if check.at_seconds > killed and check.connection is not last_connection
            ]
            if later_seconds:
                takeovers_by_server.setdefault(server, (later_seconds[0] - killed) * MS)
    return [takeovers_by_server.get(server, MAX_TAKEOVER_SECONDS * MS) for server in last_connections]


async def measure_quiet(fleet: Fleet, seconds: float) -> None:
    """Prints false suspicions, false deaths and traffic of members while no director is killed."""
    before, started = await fleet.counters(), time.monotonic()
    await asyncio.sleep(seconds)
    after, elapsed = await fleet.counters(), time.monotonic() - started
    after.subtract(before)
    member_seconds = elapsed * len(fleet.running)
    member_minutes = member_seconds / 60.0
    print(
        f"{fleet.loss:.0%} lost, {elapsed:.0f} s: each member sees a minute "
        f"{after['members.suspected'] / member_minutes:.2f} suspicions and "
        f"{after['members.died'] / member_minutes:.2f} deaths of members that live; "
        f"{after['members.sent_bytes'] / member_seconds:.0f} bytes/s and "
        f"{after['members.sent'] / member_seconds:.1f} messages/s a member",
        flush=True,
    )


async def run_benchmark(directors: int, servers: int, kills: int, interval_ms: float, loss: float) -> None:
    """Starts the fleet, measures it without and with kills, and prints the measurements."""
    recorder, coordinator = CheckRecorder(), await Coordinator().start()
    peers = [await ScriptedServer(recorder.serve, f"c{number}").start() for number in range(servers)]
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), config_for(peers, coordinator), interval_ms, loss)
        takeovers_ms: list[float] = []
        try:
            for number in range(directors):
                await fleet.start(number)
            await asyncio.sleep(SETTLE_SECONDS + interval_ms / MS)
            started = time.monotonic()
            before = {server: len(checks) for server, checks in recorder.checks.items()}
            await measure_quiet(fleet, QUIET_SECONDS)
            for number in range(kills):
                victim = number % directors
                takeovers_ms += await measure_takeover(fleet, recorder, victim)
                await fleet.start(victim)
                await asyncio.sleep(SETTLE_SECONDS)
            intervals = (time.monotonic() - started) * MS / interval_ms
            rates = sorted(
                (len(checks) - before[server]) / intervals for server, checks in recorder.checks.items()
            )
        finally:
            for number in list(fleet.running):
                await fleet.kill(number)
    for peer in peers:
        peer.stop()
    coordinator.stop()
    takeovers_ms.sort()
    print(f"{directors} directors, {servers} boxes, {kills} kills, {len(takeovers_ms)} duties taken over")
    print(f"probes a box and interval: {rates[0]:.3f} to {rates[-1]:.3f}, mean {sum(rates) / len(rates):.3f}")
    if takeovers_ms:
        p50 = takeovers_ms[len(takeovers_ms) // 2]
        p99 = takeovers_ms[min(len(takeovers_ms) - 1, int(len(takeovers_ms) * 0.99))]
        print(f"takeover ms: p50 {p50:.0f}, p99 {p99:.0f}, max {takeovers_ms[-1]:.0f}")


def main() -> int:
    """Runs the benchmark; returns the exit code."""
    parser = argparse.ArgumentParser(description="Shared tasks on loopback.")
    parser.add_argument("--directors", type=int, default=4)
    parser.add_argument("--boxes", type=int, default=12)
    parser.add_argument("--kills", type=int, default=100)
    parser.add_argument("--interval", type=float, default=500.0)
    parser.add_argument("--loss", type=float, default=0.0)
    arguments = parser.parse_args()
    asyncio.run(
        run_benchmark(
            arguments.directors, arguments.boxes, arguments.kills, arguments.interval, arguments.loss
        )
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
