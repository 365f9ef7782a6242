"""A fleet of directors as processes on loopback, with relays between each ordered pair of them.

A director sends to every other one through the relay of that ordered pair, so that each direction can be cut,
made lossy or slowed on its own. One path applies to lease messages, membership datagrams and membership's
exchanges over TCP. The processes get real signals: SIGSTOP and SIGCONT, SIGKILL, SIGTERM. A restarted
director keeps its name, ports and store. Each director's lease clock may run fast or slow (`clock_rate`).
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import secrets
import signal
import sys
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import tomli_w

from ..config.platform import Address
from ..control.client import query_director
from ..leases.history import Verdict, check_resources
from ..members.authenticator import load_key_ring
from ..members.history import ObservedChange, changes_from_log
from .fenced_resource import FencedResource
from .relay import LOOPBACK, DatagramRelay, NetworkPath, StreamRelay, free_port
from .schedule import Pair

LEASE_NAMES = ("purge", "report")
HUB_COUNT = 2
SEED_COUNT = 2
KEY_BYTES = 32


@dataclass(slots=True)
class Link:
    """The network path of one ordered pair, and the relays that apply its effects."""

    path: NetworkPath = field(default_factory=NetworkPath)
    leases: DatagramRelay | None = None
    members: DatagramRelay | None = None
    streams: StreamRelay | None = None
    leases_address: Address = ("", 0)
    members_address: Address = ("", 0)

    def close(self) -> None:
        """Closes the relays."""
        for relay in (self.leases, self.members, self.streams):
            if relay is not None:
                relay.close()


class Fleet:
    """Starts, signals and queries directors that run as processes with their files in one folder.

    Args:
        folder: The folder of the directors' option files, logs, sockets and stores.
        names: The directors' names.
        config: The platform configuration (`NODE_CONFIG`) without the name.
        seed: The seed of the relays' random draws.
        leases: Settings of the table `leases`, added to those that the fleet sets; None: leases are off.
        members: The same for the table `members`.
        extra_tables: Further tables of the directors' settings.
    """

    def __init__(
        self,
        folder: Path,
        names: tuple[str, ...],
        config: dict[str, Any],
        seed: int,
        leases: dict[str, Any] | None,
        members: dict[str, Any] | None = None,
        extra_tables: dict[str, Any] | None = None,
    ) -> None:
        self.folder, self.names = folder, names
        self._config = config
        self._leases_table, self._members_table, self._extra_tables = leases, members, extra_tables or {}
        self._rng = random.Random(seed)
        keys_path = folder / "keys"
        keys_path.write_text(secrets.token_hex(KEY_BYTES))
        keys_path.chmod(0o600)
        self._lease_ports = {name: free_port() for name in names}
        self._member_ports = {name: free_port() for name in names}
        self.links = {
            (sender, receiver): Link() for sender in names for receiver in names if sender != receiver
        }
        keys = load_key_ring(keys_path)
        self.hubs = [FencedResource(keys) for _ in range(HUB_COUNT)]
        self.collector = FencedResource(keys)
        self._hub_addresses: list[Address] = []
        self._collector_address: Address = (LOOPBACK, 0)
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self._clock_rates: dict[str, float] = {}

    async def open(self) -> Fleet:
        """Opens the fenced resources and all relays; no director is started."""
        if self._leases_table is not None:
            self._hub_addresses = [await hub.open() for hub in self.hubs]
            self._collector_address = await self.collector.open()
        for pair, link in self.links.items():
            if self._leases_table is not None:
                await self._open_lease_relay(pair, link)
            if self._members_table is not None:
                await self._open_member_relays(pair, link)
        return self

    async def _open_lease_relay(self, pair: Pair, link: Link) -> None:
        target = (LOOPBACK, self._lease_ports[pair[1]])
        link.leases = DatagramRelay(target, self._new_rng(), link.path)
        link.leases_address = await link.leases.open()

    async def _open_member_relays(self, pair: Pair, link: Link) -> None:
        sender, receiver = pair
        target = (LOOPBACK, self._member_ports[receiver])
        link.members = DatagramRelay(target, self._new_rng(), link.path)
        link.members_address = await link.members.open(free_port())
        backward_path = self.links[receiver, sender].path
        link.streams = StreamRelay(target, link.path, backward_path, self._new_rng())
        await link.streams.open(link.members_address[1])

    def _new_rng(self) -> random.Random:
        return random.Random(self._rng.random())

    # Directors.

    def build_options(self, name: str, clock_rate: float) -> dict[str, Any]:
        """Returns the tables of a director's option file."""
        options: dict[str, Any] = {"control": {"socket": f"{name}.sock"}, **self._extra_tables}
        if self._leases_table is not None:
            options["store"] = {"folder": f"{name}.store", "warm_ms": 0.0}
            options["leases"] = self._build_leases_table(name, clock_rate)
        if self._members_table is not None:
            options["members"] = self._build_members_table(name)
        return options

    def _build_leases_table(self, name: str, clock_rate: float) -> dict[str, Any]:
        peers = {
            other: format_address(self.links[name, other].leases_address)
            for other in self.names
            if other != name
        }
        own_address = format_address((LOOPBACK, self._lease_ports[name]))
        return {
            "listen": own_address,
            "keys": "keys",
            "clock_rate": clock_rate,
            "act_ms": 50.0,
            "report_ms": 200.0,
            "peers": {**peers, name: own_address},
            "hubs": [format_address(address) for address in self._hub_addresses],
            "report_to": format_address(self._collector_address),
            **(self._leases_table or {}),
        }

    def _build_members_table(self, name: str) -> dict[str, Any]:
        own_addresses = {
            member: format_address((LOOPBACK, port)) for member, port in self._member_ports.items()
        }
        dial = {}
        for other in self.names:
            if other != name:
                relay_address = format_address(self.links[name, other].members_address)
                dial[own_addresses[other]] = relay_address
                # A response to a message from a relay is sent through the relay of the other direction.
                dial[format_address(self.links[other, name].members_address)] = relay_address
        return {
            "listen": own_addresses[name],
            "keys": "keys",
            "dial": dial,
            "seeds": [own_addresses[seed] for seed in self.names[:SEED_COUNT]],
            **(self._members_table or {}),
        }

    async def start(self, name: str, clock_rate: float | None = None) -> None:
        """Starts a director whose lease clock has rate `clock_rate`; None: its last rate, at first 1."""
        clock_rate = self._clock_rates.get(name, 1.0) if clock_rate is None else clock_rate
        self._clock_rates[name] = clock_rate
        options_path, config_path = self.folder / f"{name}.toml", self.folder / f"{name}.json"
        options_path.write_text(tomli_w.dumps(self.build_options(name, clock_rate)))
        config_path.write_text(json.dumps({**self._config, "name": name}))
        with (self.folder / f"{name}.log").open("ab") as log:
            self._processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                *("-m", "gladewalk", "run", "--config", str(options_path)),
                env={**os.environ, "NODE_CONFIG": str(config_path)},
                stderr=log,
                stdout=asyncio.subprocess.DEVNULL,
            )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a director if it runs."""
        process = self._processes.get(name)
        if process is not None and process.returncode is None:
            process.send_signal(number)

    async def kill(self, name: str) -> None:
        """Ends a director by SIGKILL."""
        process = self._processes.pop(name, None)
        if process is not None:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)  # so that a stopped process ends, too
                process.kill()
            await process.wait()

    async def stop(self, name: str) -> int:
        """Ends a director by SIGTERM and returns its exit code."""
        process = self._processes.pop(name)
        process.terminate()
        return await process.wait()

    async def query(self, name: str, view: str, **arguments: Any) -> Any:
        """Returns the response of a director's control socket; raises `ControlError` if there is none."""
        return await asyncio.to_thread(query_director, self.folder / f"{name}.sock", view, **arguments)

    def read_log(self, name: str) -> list[dict[str, Any]]:
        """Returns all events of a director's log, those of its earlier runs included."""
        lines = (self.folder / f"{name}.log").read_text(encoding="utf-8", errors="replace").splitlines()
        events = []
        for line in lines:
            try:
                events.append(json.loads(line))
            except ValueError:  # a line that a kill has truncated
                continue
        return events

    # Paths.

    def select_paths(self, pairs: Iterable[Pair]) -> list[NetworkPath]:
        """Returns the paths of those pairs that belong to the fleet, in a fixed order."""
        return [self.links[pair].path for pair in sorted(pairs) if pair in self.links]

    # Observations.

    @property
    def resources(self) -> tuple[FencedResource, ...]:
        """All fenced resources: the hubs, then the collector of reports."""
        return (*self.hubs, self.collector)

    def verdict(self, end_ms: float | None = None, excused: tuple[tuple[float, float], ...] = ()) -> Verdict:
        """Checks the operations that the fenced resources recorded (see `check_resources`)."""
        return check_resources([resource.fence.records for resource in self.resources], end_ms, excused)

    def observed_changes(self) -> list[ObservedChange]:
        """Returns the changes of one another's state that the directors have logged."""
        return [change for name in self.names for change in changes_from_log(name, self.read_log(name))]

    async def close(self) -> None:
        """Kills all directors and closes relays and resources."""
        for name in list(self._processes):
            await self.kill(name)
        for link in self.links.values():
            link.close()
        for resource in self.resources:
            resource.close()


def format_address(address: Address) -> str:
    """Renders an address as `host:port`."""
    return f"{address[0]}:{address[1]}"
