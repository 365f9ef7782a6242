"""Runs this build beside another one: the same commands, a store that the other wrote, and a mixed fleet.

    python -m benchmarks.two_builds --other WORK_TREE

The other build runs from its own work tree, with this interpreter. Three checks, one line each; the exit code
is 1 if any of them finds a difference:

- commands: `check` and `import` print the same text and exit with the same code in both builds.
- store: a store written by a director of the other build is dumped alike by both, served by this build, and
  served by the other build again (a rollback).
- fleet: directors of both builds share members, leases and tasks. Purges requested at each director reach
  every hub, the purge lease is handed on between the builds, the commands of each build read the control
  sockets of all. Then each director of the other build is replaced by one of this build, on its store and
  settings.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from gladewalk.control.client import ControlError
from gladewalk.faultnet.fleet import Fleet
from gladewalk.members.history import convergence_time_ms
from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import SETTINGS, config_for
from gladewalk.rehearsal.scripted_servers import ReceivedRequest, ScriptedServer

from .director_process import DirectorProcess

THIS_TREE = Path(__file__).resolve().parent.parent
OTHER_NAMES, THIS_NAMES = ("n0", "n1"), ("n2", "n3")
COMMAND_TIMEOUT_SECONDS = 60
WAIT_SECONDS = 30.0
POLL_SECONDS = 0.05
CHECK_INTERVAL_MS = 300.0
CHECKED_WITHIN_SECONDS = 2.0  # each cache is checked several times in it
CACHES = 8
OBJECTS = 64
REQUIRED_KEYS = OBJECTS // 2  # purges alone; learned locations and positions come on top


def run_command(tree: Path, *words: str, environ: dict[str, str] | None = None) -> tuple[int, str]:
    """Runs a command of the build in a work tree; returns its exit code and its output."""
    done = subprocess.run(
        [sys.executable, "-m", "gladewalk", *words],
        cwd=tree, env={**os.environ, **(environ or {})}, capture_output=True, text=True,
        timeout=COMMAND_TIMEOUT_SECONDS, check=False,
    )  # fmt: skip
    return done.returncode, done.stdout + done.stderr


async def wait_for(holds: Callable[[], bool]) -> bool:
    """Whether a condition comes to hold within `WAIT_SECONDS`."""
    end = time.monotonic() + WAIT_SECONDS
    while not holds():
        if time.monotonic() > end:
            return False
        await asyncio.sleep(POLL_SECONDS)
    return True


async def answer_found(received: ReceivedRequest) -> None:
    """Responds as a cache that has every object."""
    await received.respond(200, b"copy", X_Remark="mem")


def compare_commands(other: Path, folder: Path) -> list[str]:
    """Returns the commands whose output or exit code differs between the builds."""
    node = folder / "node.json"
    node.write_text(json.dumps(config_for([], Coordinator(address="127.0.0.1:9"), SETTINGS)))
    options, dns = str(THIS_TREE / "deploy/gladewalk.toml"), str(THIS_TREE / "deploy/dns.toml")
    rows: list[tuple[str, ...]] = [
        ("check", "--json", "--config", options),
        ("check", "--json", "--dns", dns),
        ("check", "--config", options, "--dns", dns),
        ("check", "--config", str(node)),  # not TOML: one line that says so
    ]
    rows += [("import", str(path)) for path in sorted((THIS_TREE / "corpus/nginx").glob("*.conf"))]
    environ = {"NODE_CONFIG": str(node)}
    different = [
        " ".join(row)
        for row in rows
        if run_command(other, *row, environ=environ) != run_command(THIS_TREE, *row, environ=environ)
    ]
    print(f"commands: {len(rows)} compared, {len(different)} differ", flush=True)
    return different


async def serve_store(tree: Path, directory: Path, config: dict[str, Any], coordinator: Coordinator) -> int:
    """Runs a build's director on a store, with requests and purges; returns how many keys it has then."""
    director = DirectorProcess(directory, "each")
    with contextlib.chdir(tree):
        await director.start(config)
    for number in range(OBJECTS):
        await director.request_object(f"{number:x}", number)
    for number in range(REQUIRED_KEYS):
        name = f"{number:x}"
        coordinator.publish(evict={"ref": name, "unix_ms": time.time() * 1000.0})
    end = time.monotonic() + WAIT_SECONDS
    keys = 0
    while time.monotonic() < end and keys < REQUIRED_KEYS:
        await asyncio.sleep(POLL_SECONDS)
        keys = len(await director.durable_purges())
    await director.kill()
    coordinator.disconnect()  # its feed's connection has no reader any more
    return keys


async def compare_stores(other: Path, directory: Path) -> list[str]:
    """Returns what went wrong with a store that both builds use in turn."""
    coordinator = await Coordinator().start()
    caches = [await ScriptedServer(answer_found, f"c{number}").start() for number in range(4)]
    config = config_for(caches, coordinator, SETTINGS)
    problems, store = [], str(directory / "store")
    for tree in (other, THIS_TREE, other, THIS_TREE):
        keys = await serve_store(tree, directory, config, coordinator)
        if keys < REQUIRED_KEYS:
            problems.append(f"store: {keys} of {REQUIRED_KEYS} purges are durable after {tree}")
        for words in (("store", "check", store), ("store", "dump", store)):
            if run_command(other, *words) != run_command(THIS_TREE, *words):
                problems.append(f"store: {words[1]} differs after {tree}")
    lines = len(run_command(THIS_TREE, "store", "dump", store)[1].splitlines())
    coordinator.stop()
    for cache in caches:
        cache.stop()
    print(f"store: 4 runs in turn, {lines} keys at the end, {len(problems)} problems", flush=True)
    return problems


class MixedFleet(Fleet):
    """A fleet whose directors run from the work tree that `trees` names for each."""

    trees: dict[str, Path]

    async def start(self, name: str, clock_rate: float | None = None) -> None:
        """Starts a director of the build in its work tree."""
        with contextlib.chdir(self.trees[name]):
            await super().start(name, clock_rate)


async def request_purges(fleet: Fleet, round_number: int) -> list[str]:
    """Requests a purge at each director; returns the directors whose purge did not reach every hub."""
    ids = {}
    for name in fleet.names:
        with contextlib.suppress(ControlError):
            ids[name] = str((await fleet.query(name, "purge", what=f"o:{round_number}"))["id"])
    await wait_for(lambda: all(set(ids.values()) <= set(hub.purges) for hub in fleet.hubs))
    return [name for name in fleet.names if any(ids.get(name, "") not in hub.purges for hub in fleet.hubs)]


async def next_purge_holder(fleet: Fleet, since_ms: float) -> str:
    """Waits for an accepted operation at the first hub; returns its holder, empty if there is none."""

    def holders() -> list[str]:
        records = fleet.hubs[0].fence.records
        return [one.holder for one in records if one.is_accepted and one.received_at_ms > since_ms]

    await wait_for(lambda: holders() != [])
    return "".join(holders()[-1:])


async def hand_on(fleet: Fleet, successor: str) -> bool:
    """Hands the purge lease on to a director; False if another one holds it in the end."""
    for _ in range(5):  # the lease may end or move in between, and a vote may split
        holder = await next_purge_holder(fleet, time.time() * 1000.0)
        if holder == successor:
            return True
        with contextlib.suppress(ControlError):
            await fleet.query(holder, "hand_on", duty="purge", to=successor)
            await asyncio.sleep(1.0)
    return False


async def read_control(fleet: Fleet, trees: tuple[Path, Path]) -> list[str]:
    """Returns what the commands of either build can't read from the control sockets."""
    problems = []
    for name in fleet.names:
        for tree in trees:
            for view in ("members", "leases"):
                config = str(fleet.folder / f"{name}.toml")
                code, output = await asyncio.to_thread(run_command, tree, view, "--json", "--config", config)
                names = {row["name"] for row in json.loads(output)["members"]} if view == "members" else set()
                if code != 0 or (view == "members" and names != set(fleet.names)):
                    problems.append(f"{view} of {name} read from {tree}: {code} {output[:200]}")
    return problems


class FleetRun:
    """A mixed fleet with its caches, and the problems found so far."""

    def __init__(self, other: Path, folder: Path, coordinator: Coordinator) -> None:
        self.other, self.problems = other, list[str]()
        self.checks: dict[str, int] = {}  # health checks that each cache has received
        self.caches = [ScriptedServer(self._count_check, uid=f"c{number}") for number in range(CACHES)]
        self._folder, self._coordinator = folder, coordinator

    async def open(self) -> None:
        """Starts caches and directors."""
        for cache in self.caches:
            await cache.start()
        names = OTHER_NAMES + THIS_NAMES
        more = {"duties": {"probe_ms": CHECK_INTERVAL_MS, "check_ms": 0.0}}
        config = config_for(self.caches, self._coordinator)
        self.fleet = MixedFleet(self._folder, names, config, 1, {}, {}, more)
        self.fleet.trees = {name: self.other if name in OTHER_NAMES else THIS_TREE for name in names}
        await self.fleet.open()
        for name in names:
            await self.fleet.start(name)

    async def close(self) -> None:
        """Ends directors and caches."""
        await self.fleet.close()
        for cache in self.caches:
            cache.stop()

    async def _count_check(self, received: ReceivedRequest) -> None:
        self.checks[received.server.uid] = self.checks.get(received.server.uid, 0) + 1
        await received.respond(200, b"", X_Load="util=0.1")

    async def check(self, round_number: int) -> None:
        """Checks members, purges, the handing on of a lease, control sockets and health checks."""
        fleet, found = self.fleet, []
        if not await wait_for(
            lambda: convergence_time_ms(fleet.observed_changes(), 0.0, fleet.names) is not None
        ):
            found.append("members did not converge")
        found += [f"a purge at {name} is lost" for name in await request_purges(fleet, round_number)]
        for successor in (fleet.names[0], fleet.names[-1], fleet.names[1], fleet.names[2]):
            if not await hand_on(fleet, successor):
                found.append(f"{successor} did not get the lease")
        found += await read_control(fleet, (self.other, THIS_TREE))
        before = dict(self.checks)
        await asyncio.sleep(CHECKED_WITHIN_SECONDS)
        found += [
            f"{uid} is not checked" for uid, count in self.checks.items() if count <= before.get(uid, 0)
        ]
        if len(self.checks) < CACHES:
            found.append(f"{len(self.checks)} of {CACHES} caches are checked")
        self.problems += [f"fleet, round {round_number}: {problem}" for problem in found]

    async def replace(self, name: str) -> None:
        """Stops a director and starts this build on its store and settings."""
        if await self.fleet.stop(name) != 0:
            self.problems.append(f"fleet: {name} did not end with exit code 0")
        self.fleet.trees[name] = THIS_TREE
        await self.fleet.start(name)


async def run_fleet(other: Path, folder: Path) -> list[str]:
    """Returns what went wrong in a fleet of both builds."""
    coordinator = await Coordinator().start()
    run = FleetRun(other, folder, coordinator)
    await run.open()
    try:
        await run.check(0)
        for round_number, name in enumerate(OTHER_NAMES, 1):
            await run.replace(name)
            await run.check(round_number)
        verdict = run.fleet.verdict()
        if not verdict.is_safe:
            run.problems.append(f"fleet: {verdict}")
    finally:
        await run.close()
        coordinator.stop()
    print(f"fleet: {verdict.operations} operations, {len(run.problems)} problems", flush=True)
    return run.problems


async def run_all(other: Path) -> list[str]:
    """Runs the three checks; returns all problems."""
    with tempfile.TemporaryDirectory() as name:
        folders = [Path(name) / check for check in ("commands", "store", "fleet")]
        for folder in folders:
            folder.mkdir()
        problems = compare_commands(other, folders[0])
        problems += await compare_stores(other, folders[1])
        return problems + await run_fleet(other, folders[2])


def main() -> int:
    """Parses the command line and runs the checks; its exit code."""
    parser = argparse.ArgumentParser(description="This build beside another one.")
    parser.add_argument("--other", type=Path, required=True, help="the work tree of the other build")
    problems = asyncio.run(run_all(parser.parse_args().other.resolve()))
    for problem in problems:
        print(problem)
    print("same" if not problems else f"{len(problems)} problems")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
