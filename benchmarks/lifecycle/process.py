"""A director as a process, started as the platform starts it."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

START_TIMEOUT_S = 30.0
INHERITED_FD = 3


@dataclass(slots=True, eq=False)
class LoggedProcess:
    """A running director.

    Attributes:
        process: The process.
        serving: The `serving` event of its log.
        log: The lines of its log after that event.
    """

    process: asyncio.subprocess.Process
    serving: dict[str, Any]
    log: list[str] = field(default_factory=list)
    _reading: asyncio.Task[None] | None = None

    async def finish(self) -> int:
        """Waits for the end of the process; returns its exit code, negative for a signal."""
        code = await self.process.wait()
        if self._reading is not None:
            await self._reading
        return code

    def has_traceback(self) -> bool:
        """Whether an exception was logged so far."""
        return any("Traceback" in line for line in self.log)

    async def _read_log(self) -> None:
        assert self.process.stderr is not None
        async for line in self.process.stderr:
            self.log.append(line.decode("utf-8", "replace"))


async def start_director(
    config_file: Path,
    *arguments: str,
    environ: dict[str, str] | None = None,
    listener: socket.socket | None = None,
) -> LoggedProcess:
    """Starts a director and waits until it serves; `listener` is passed as descriptor 3 (`NODE_FD`).

    Raises:
        TimeoutError: It does not serve in time.
        asyncio.IncompleteReadError: It ended before.
    """
    variables = {**os.environ, **(environ or {}), "NODE_CONFIG": str(config_file)}
    if listener is not None:
        variables["NODE_FD"] = str(INHERITED_FD)

    def pass_listener() -> None:
        if listener is not None:
            os.dup2(listener.fileno(), INHERITED_FD)

    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "gladewalk", *arguments,
        env=variables, stderr=asyncio.subprocess.PIPE, close_fds=listener is None, preexec_fn=pass_listener,
    )  # fmt: skip
    assert process.stderr is not None
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            event = json.loads(await process.stderr.readuntil(b"\n"))
            if event["event"] == "serving":
                started = LoggedProcess(process, event)
                started._reading = asyncio.create_task(started._read_log())
                return started
