"""`python -m gladewalk` as a process, as the platform starts it, with its log read line by line."""

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
        """The log, not read yet."""
        assert self.process.stderr is not None
        return self.process.stderr

    async def event(self, name: str) -> dict[str, Any]:
        """Reads the log up to the next event of this name."""
        while (line := json.loads(await self.log.readline()))["event"] != name:
            pass
        return dict(line)

    def send(self, *signals: signal.Signals) -> None:
        """Sends signals, one after another."""
        for number in signals:
            self.process.send_signal(number)

    async def finish(self) -> tuple[int | None, list[str]]:
        """Waits for the process to end; returns its exit code and the rest of its log."""
        _, rest = await self.process.communicate()
        return self.process.returncode, rest.decode().splitlines()

    async def stop(self) -> int | None:
        """Ends it by SIGTERM; returns its exit code."""
        self.send(signal.SIGTERM)
        return (await self.finish())[0]


async def start_program(
    config_file: Path | str,
    *words: str,
    listener_fd: int | None = None,
    environ: Mapping[str, str] | None = None,
) -> DirectorProgram:
    """Starts a director with this file as `NODE_CONFIG`; a listener given is its descriptor 3 (`NODE_FD`)."""
    environ = {**(environ or os.environ), "NODE_CONFIG": str(config_file)}
    hand_over = None
    if listener_fd is not None:
        environ["NODE_FD"] = str(INHERITED_FD)

        def hand_over() -> None:
            os.dup2(listener_fd, INHERITED_FD)

    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "gladewalk", *words,
        cwd=ROOT, env=environ, stderr=asyncio.subprocess.PIPE,
        close_fds=listener_fd is None, preexec_fn=hand_over,
    )  # fmt: skip
    return DirectorProgram(process)
