"""Directors as processes on loopback, each pair of them joined by a relay in each direction.

A director dials every other at the relay of that ordered pair, so each direction can be cut, made lossy or
slow alone. Signals are real: SIGSTOP and SIGCONT, SIGKILL, SIGTERM; a start again keeps the name, the
port and the file of saves. Each director's lease clock may run fast or slow (`clock_rate`).
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import secrets
import signal
import sys
from pathlib import Path
from typing import Any

from .relay import Address, Relay, free_port
from .sink import Sink

DUTIES = ("purge", "report")


class Fleet:
    """`names` directors in `folder`; `config` is the director's own file (`NODE_CONFIG`) less its name."""

    def __init__(self, folder: Path, names: tuple[str, ...], config: dict[str, Any], seed: int,
                 lease_ms: float = 1_000.0) -> None:  # fmt: skip
        self.folder, self.names, self.config, self.lease_ms = folder, names, config, lease_ms
        self.random = random.Random(seed)
        (folder / "keys").write_text(secrets.token_hex(32))
        (folder / "keys").chmod(0o600)
        self.ports = {name: free_port() for name in names}
        self.relays: dict[tuple[str, str], Relay] = {}
        self.relay_at: dict[tuple[str, str], Address] = {}
        self.sink = Sink()
        self.sink_at: Address = ("127.0.0.1", 0)
        self.running: dict[str, asyncio.subprocess.Process] = {}

    async def open(self) -> Fleet:
        self.sink_at = await self.sink.open()
        for source in self.names:
            for target in self.names:
                if source != target:
                    relay = Relay(("127.0.0.1", self.ports[target]), random.Random(self.random.random()))
                    self.relays[source, target] = relay
                    self.relay_at[source, target] = await relay.open()
        return self

    def options_of(self, name: str, clock_rate: float) -> Path:
        peers = {other: f"127.0.0.1:{self.relay_at[name, other][1]}" for other in self.names if other != name}
        peers[name] = f"127.0.0.1:{self.ports[name]}"
        sink = f"127.0.0.1:{self.sink_at[1]}"
        lines = [
            "[leases]", f"listen = '127.0.0.1:{self.ports[name]}'", "keys = 'keys'",
            f"saves = '{name}.saves'", f"lease_ms = {self.lease_ms}", f"clock_rate = {clock_rate}",
            "act_ms = 50.0", "[leases.peers]", *(f"{peer} = '{at}'" for peer, at in sorted(peers.items())),
            "[leases.duties]", *(f"{duty} = '{sink}'" for duty in DUTIES),
            "[control]", f"socket = '{name}.sock'",
        ]  # fmt: skip
        path = self.folder / f"{name}.toml"
        path.write_text("\n".join(lines) + "\n")
        return path

    async def start(self, name: str, clock_rate: float = 1.0) -> None:
        options = self.options_of(name, clock_rate)
        config = self.folder / f"{name}.json"
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

    def paths(self, pairs: set[tuple[str, str]]) -> list[Relay]:
        return [self.relays[pair] for pair in pairs if pair in self.relays]

    def cut_out(self, name: str) -> set[tuple[str, str]]:
        """It hears all, nobody hears it."""
        return {(name, other) for other in self.names if other != name}

    def cut_in(self, name: str) -> set[tuple[str, str]]:
        return {(other, name) for other in self.names if other != name}

    def parted(self, side: tuple[str, ...]) -> set[tuple[str, str]]:
        return {(a, b) for a in self.names for b in self.names if a != b and (a in side) != (b in side)}

    def every(self) -> set[tuple[str, str]]:
        return set(self.relays)

    async def close(self) -> None:
        for name in list(self.running):
            await self.kill(name)
        for relay in self.relays.values():
            relay.close()
        self.sink.close()
