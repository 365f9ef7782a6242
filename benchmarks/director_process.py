"""A director with a store as a process, which can be killed and restarted on the same directory."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import sys
import time
from pathlib import Path
from typing import Any

from gladewalk.control.client import ControlError, query_director
from gladewalk.rehearsal.http_messages import encode_request, read_message

CLIENT_TIMEOUT_SECONDS = 2.0
REQUEST_TIMEOUT_MS = 500.0
NO_ADDRESS = ("", 0)


class DirectorStartError(Exception):
    """A director ended before it was ready to serve."""


class DirectorProcess:
    """One director; it listens on new ports after each start."""

    def __init__(self, directory: Path, policy: str) -> None:
        self.directory = directory
        (directory / "own.toml").write_text(
            f"[store]\nfolder = 'store'\npolicy = '{policy}'\n[control]\nsocket = 'control'\n"
        )
        self.address = self.dns = self.dns_tls = NO_ADDRESS
        self.is_up = False  # client loops check this: a wait may succeed just as it is cancelled
        self._process: asyncio.subprocess.Process | None = None

    async def start(self, config: dict[str, Any]) -> float:
        """Starts the process and waits until it serves; returns the seconds that this took.

        Raises:
            DirectorStartError: The process ended before.
        """
        config_path = self.directory / "node.json"
        config_path.write_text(json.dumps(config))
        started = time.monotonic()
        self._process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "gladewalk", "run", "--config", str(self.directory / "own.toml"),
            env={**os.environ, "NODE_CONFIG": str(config_path)}, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        assert self._process.stderr is not None
        while line := await self._process.stderr.readline():
            logged = json.loads(line)
            if logged["event"] == "serving":
                self.address, self.dns = tuple(logged["listen"]), tuple(logged["dns"] or NO_ADDRESS)
                self.dns_tls = tuple(logged.get("dns_tls") or NO_ADDRESS)
                self.is_up = True
                return time.monotonic() - started
        raise DirectorStartError(f"the director on {self.directory} did not start")

    async def kill(self) -> None:
        """Kills the process with SIGKILL and waits for its end."""
        assert self._process is not None
        self.is_up = False
        self._process.kill()
        await self._process.wait()

    async def store_status(self) -> dict[str, Any]:
        """Returns the status of its store from its control socket.

        Raises:
            ControlError: The control socket does not respond.
        """
        status: dict[str, Any] = await asyncio.to_thread(query_director, self.directory / "control", "store")
        return status

    async def durable_purges(self) -> set[str]:
        """Returns the objects whose purges are durable in its store; empty while it can't be queried."""
        with contextlib.suppress(ControlError):
            status = await self.store_status()
            return {key.partition(":")[2] for key in status["purges"]}
        return set()

    async def request_object(self, name: str, number: int) -> None:
        """Sends one request as a client and ignores its outcome."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
            reader, writer = await asyncio.open_connection(*self.address)
            try:
                path, trace = f"/invoke/lot-page/{name}?nth=0", f"{number:016x}"
                writer.write(encode_request(path, trace=trace, wait_ms=REQUEST_TIMEOUT_MS))
                await asyncio.wait_for(read_message(reader), CLIENT_TIMEOUT_SECONDS)
            finally:
                writer.close()
