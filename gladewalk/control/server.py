"""The director's side of the control socket: questions in, views out, nothing decided.

A view is a function of what was given with the question; it raises `Unanswerable` with the line to say.
"""

from __future__ import annotations

import asyncio
import os
import socket
import stat
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from ..config.platform import ConfigError
from ..core.counters import Counters
from .messages import QUESTION_MOST, VERSION, Asked, Told, asked_decoder, encoder

View = Callable[[dict[str, Any]], Any]
PATH_MOST = 107  # bytes of a Unix socket's path (unix(7))
OPEN_MOST = 16  # command lines at a time
IDLE_S = 30.0


class Unanswerable(Exception):
    """There is no such thing to be told of; the text is one line for the operator."""


def check_path(path: Path) -> None:
    """Guards against a path that can't be bound, at the start and not in the middle of the night."""
    if len(os.fsencode(path)) > PATH_MOST:
        raise ConfigError(f"control.socket: a path of more than {PATH_MOST} bytes: {path}")
    if not path.parent.is_dir():
        raise ConfigError(f"control.socket: no such folder: {path.parent}")
    try:
        if not stat.S_ISSOCK(path.lstat().st_mode):
            raise ConfigError(f"control.socket: {path} is there and no socket")
    except FileNotFoundError:
        return
    with socket.socket(socket.AF_UNIX) as probe:
        probe.settimeout(1.0)
        try:
            probe.connect(os.fspath(path))
        except OSError:
            return  # left behind by one that was killed
    raise ConfigError(f"control.socket: another director listens at {path}")


class Control:
    """The socket and its views."""

    def __init__(self, path: Path, counters: Counters) -> None:
        self.path, self.counters = path, counters
        self.views: dict[str, View] = {"views": lambda given: sorted(self.views)}
        self.server: asyncio.Server | None = None
        self.open: set[asyncio.StreamWriter] = set()

    async def listen(self) -> None:
        self.path.unlink(missing_ok=True)  # `check_path` found nobody behind it
        before = os.umask(0o177)  # readable for nobody else from its first moment
        try:
            self.server = await asyncio.start_unix_server(self._serve, self.path, limit=QUESTION_MOST)
        finally:
            os.umask(before)

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
            self.path.unlink(missing_ok=True)
        for writer in self.open:
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self.open) >= OPEN_MOST:
            self.counters.add("control.crowded")
            return writer.close()
        self.open.add(writer)
        try:
            while True:
                async with asyncio.timeout(IDLE_S):
                    line = await reader.readuntil(b"\n")
                    writer.write(encoder.encode(self.answer(line)) + b"\n")
                    await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass  # it has gone, says nothing or says too much
        finally:
            self.open.discard(writer)
            writer.close()

    def answer(self, line: bytes) -> Told:
        self.counters.add("control.asked")
        try:
            asked: Asked = asked_decoder.decode(line)
        except msgspec.MsgspecError as error:
            self.counters.add("control.malformed")
            return Told(v=VERSION, error=f"no question: {error}")
        if asked.v != VERSION:
            return Told(v=VERSION, error=f"asked in version {asked.v}, this director speaks {VERSION}")
        view = self.views.get(asked.ask)
        if view is None:
            return Told(v=VERSION, error=f"no view {asked.ask!r}: it is off here, or of another version")
        try:
            return Told(v=VERSION, data=view(asked.given))
        except Unanswerable as why:
            return Told(v=VERSION, error=str(why))
