"""Directors as processes on loopback, each pair of them joined by relays in each direction.

A director dials every other at the relay of that ordered pair, so each direction can be cut, made lossy or
slow alone; leases, members' datagrams and their exchanges over TCP obey one path. Signals are real: SIGSTOP
and SIGCONT, SIGKILL, SIGTERM; a start again keeps the name, the ports and the embedded store. Each director's
lease clock may run fast or slow (`clock_rate`).
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import secrets
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import tomli_w

from ..control.client import query_director
from ..leases.history import Verdict, check_resources
from ..members.authenticator import load_key_ring
from ..members.history import ObservedChange, changes_from_log
from . import relay
from .fenced_resource import FencedResource
from .relay import Address, Relay, StreamRelay, free_port
from .schedule import Pair

DUTIES = ("purge", "report")
HUBS = 2


@dataclass(slots=True)
class Link:
    """One ordered pair: its path, and the relays that obey it."""

    path: relay.Path = field(default_factory=relay.Path)
    leases: Relay | None = None
    members: Relay | None = None
    streams: StreamRelay | None = None
    leases_at: Address = ("", 0)
    members_at: Address = ("", 0)

    def close(self) -> None:
        for one in (self.leases, self.members, self.streams):
            if one is not None:
                one.close()


class Fleet:
    """`names` directors in `folder`; `config` is the director's own file (`NODE_CONFIG`) less its name.

    `leases` and `members` are what their tables get beside what the fleet sets itself; None: that is off.
    `more`: further tables of the directors' settings, as they are.
    """

    def __init__(
        self, folder: Path, names: tuple[str, ...], config: dict[str, Any], seed: int,
        leases: dict[str, Any] | None, members: dict[str, Any] | None = None,
        more: dict[str, Any] | None = None,
    ) -> None:  # fmt: skip
        self.folder, self.names, self.config = folder, names, config
        self.leases, self.members, self.more = leases, members, more or {}
        self.random = random.Random(seed)
        (folder / "keys").write_text(secrets.token_hex(32))
        (folder / "keys").chmod(0o600)
        self.lease_port = {name: free_port() for name in names}
        self.member_port = {name: free_port() for name in names}
        self.links = {(a, b): Link() for a in names for b in names if a != b}
        keys = load_key_ring(folder / "keys")
        self.hubs = [FencedResource(keys) for _ in range(HUBS)]
        self.collector = FencedResource(keys)
        self.hubs_at: list[Address] = []
        self.collector_at: Address = ("127.0.0.1", 0)
        self.running: dict[str, asyncio.subprocess.Process] = {}
        self.rates: dict[str, float] = {}

    async def open(self) -> Fleet:
        if self.leases is not None:
            self.hubs_at = [await hub.open() for hub in self.hubs]
            self.collector_at = await self.collector.open()
        for (source, target), link in self.links.items():
            if self.leases is not None:
                at = ("127.0.0.1", self.lease_port[target])
                link.leases = Relay(at, random.Random(self.random.random()), link.path)
                link.leases_at = await link.leases.open()
            if self.members is not None:
                at = ("127.0.0.1", self.member_port[target])
                link.members = Relay(at, random.Random(self.random.random()), link.path)
                link.members_at = await link.members.open(free_port())
                back = self.links[target, source].path
                link.streams = StreamRelay(at, link.path, back, random.Random(self.random.random()))
                await link.streams.open(link.members_at[1])
        return self

    # Directors.

    def build_options(self, name: str, clock_rate: float) -> dict[str, Any]:
        options: dict[str, Any] = {"control": {"socket": f"{name}.sock"}, **self.more}
        if self.leases is not None:
            options["store"] = {"folder": f"{name}.store", "warm_ms": 0.0}
            options["leases"] = self._leases_of(name, clock_rate)
        if self.members is not None:
            options["members"] = self._members_of(name)
        return options

    def _leases_of(self, name: str, clock_rate: float) -> dict[str, Any]:
        peers = {other: shown(self.links[name, other].leases_at) for other in self.names if other != name}
        own = f"127.0.0.1:{self.lease_port[name]}"
        return {
            "listen": own, "keys": "keys", "clock_rate": clock_rate, "act_ms": 50.0, "report_ms": 200.0,
            "peers": {**peers, name: own}, "hubs": [shown(at) for at in self.hubs_at],
            "report_to": shown(self.collector_at), **(self.leases or {}),
        }  # fmt: skip

    def _members_of(self, name: str) -> dict[str, Any]:
        dial = {}
        for other in self.names:
            if other != name:
                there = shown(self.links[name, other].members_at)
                dial[f"127.0.0.1:{self.member_port[other]}"] = there
                dial[shown(self.links[other, name].members_at)] = there  # to answer what came by a relay
        return {
            "listen": f"127.0.0.1:{self.member_port[name]}", "keys": "keys", "dial": dial,
            "seeds": [f"127.0.0.1:{self.member_port[seed]}" for seed in self.names[:2]],
            **(self.members or {}),
        }  # fmt: skip

    async def start(self, name: str, clock_rate: float | None = None) -> None:
        """Its clock runs at `clock_rate`, and after a restart as before."""
        clock_rate = self.rates[name] = self.rates.get(name, 1.0) if clock_rate is None else clock_rate
        options, config = self.folder / f"{name}.toml", self.folder / f"{name}.json"
        options.write_text(tomli_w.dumps(self.build_options(name, clock_rate)))
        config.write_text(json.dumps({**self.config, "name": name}))
        log = (self.folder / f"{name}.log").open("ab")
        self.running[name] = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "gladewalk", "run", "--config", str(options),
            env={**os.environ, "NODE_CONFIG": str(config)}, stderr=log, stdout=asyncio.subprocess.DEVNULL,
        )  # fmt: skip
        log.close()

    def signal(self, name: str, number: signal.Signals) -> None:
        process = self.running.get(name)
        if process is not None and process.returncode is None:
            process.send_signal(number)

    async def kill(self, name: str) -> None:
        process = self.running.pop(name, None)
        if process is not None:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)  # a stopped one dies as well
                process.kill()
            await process.wait()

    async def stop(self, name: str) -> int:
        """SIGTERM, and the exit code."""
        process = self.running.pop(name)
        process.terminate()
        return await process.wait()

    async def ask(self, name: str, view: str, **given: Any) -> Any:
        """What a director's control socket tells; `ControlError` where it tells nothing."""
        return await asyncio.to_thread(query_director, self.folder / f"{name}.sock", view, **given)

    def log_of(self, name: str) -> list[dict[str, Any]]:
        """All lines of a director's log, of its earlier runs too."""
        lines = (self.folder / f"{name}.log").read_text(encoding="utf-8", errors="replace").splitlines()
        told = []
        for line in lines:
            try:
                told.append(json.loads(line))
            except ValueError:  # a line that a kill has cut short
                continue
        return told

    # Paths.

    def paths(self, pairs: set[Pair]) -> list[relay.Path]:
        return [self.links[pair].path for pair in sorted(pairs) if pair in self.links]

    # What is to be seen.

    @property
    def resources(self) -> tuple[FencedResource, ...]:
        return (*self.hubs, self.collector)

    def verdict(self, end_ms: float | None = None, excused: tuple[tuple[float, float], ...] = ()) -> Verdict:
        return check_resources([resource.fence.records for resource in self.resources], end_ms, excused)

    def members_seen(self) -> list[ObservedChange]:
        """What all directors noted of one another, out of their logs."""
        return [one for name in self.names for one in changes_from_log(name, self.log_of(name))]

    async def close(self) -> None:
        for name in list(self.running):
            await self.kill(name)
        for link in self.links.values():
            link.close()
        for resource in self.resources:
            resource.close()


def shown(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
