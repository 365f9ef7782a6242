"""Runs `python -m gladewalk` as a process, as the platform does, and reads its log line by line."""

import asyncio
import json
import os
import signal
import sys
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .server_scripts import ROOT

INHERITED_FD = 3


@dataclass(slots=True, eq=False)
class DirectorProgram:
    """A running director; its log is standard error."""

    process: asyncio.subprocess.Process

    @property
    def log(self) -> asyncio.StreamReader:
        """The unread part of the log."""
        assert self.process.stderr is not None
        return self.process.stderr

    async def event(self, name: str) -> dict[str, Any]:
        """Reads the log up to the next event with this name and returns that event."""
        while (line := json.loads(await self.log.readline()))["event"] != name:
            pass
        return dict(line)

    def send(self, *signals: signal.Signals) -> None:
        """Sends signals to the process, one after another."""
        for number in signals:
            self.process.send_signal(number)

    async def finish(self) -> tuple[int | None, list[str]]:
        """Waits for the process to end; returns its exit code and the rest of its log."""
        _, rest = await self.process.communicate()
        return self.process.returncode, rest.decode().splitlines()

    async def stop(self) -> int | None:
        """Sends SIGTERM and waits for the process to end; returns its exit code."""
        self.send(signal.SIGTERM)
        return (await self.finish())[0]


async def start_program(
    config_file: Path | str,
    *arguments: str,
    listener_fd: int | None = None,
    environ: Mapping[str, str] | None = None,
) -> DirectorProgram:
    """Starts a director with this file as `NODE_CONFIG` and a given listener as descriptor 3 (`NODE_FD`)."""
    environ = {**(environ or os.environ), "NODE_CONFIG": str(config_file)}
    pass_listener = None
    if listener_fd is not None:
        environ["NODE_FD"] = str(INHERITED_FD)

        def pass_listener() -> None:
            os.dup2(listener_fd, INHERITED_FD)

    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "gladewalk", *arguments,
        cwd=ROOT, env=environ, stderr=asyncio.subprocess.PIPE,
        close_fds=listener_fd is None, preexec_fn=pass_listener,
    )  # fmt: skip
    return DirectorProgram(process)
