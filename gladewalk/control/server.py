"""Server of the control socket: decodes queries, calls their handlers and encodes the responses."""

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
from ..errors import GladewalkError
from .messages import (
    MAX_REQUEST_BYTES,
    PROTOCOL_VERSION,
    ControlRequest,
    ControlResponse,
    encoder,
    request_decoder,
)
from .queries import Query

QueryHandler = Callable[[dict[str, Any]], Any]
"""Takes the request's arguments and returns the response's data, or raises `UnsupportedQueryError`."""

MAX_SOCKET_PATH_BYTES = 107
"""Maximum length of a Unix socket's path, see unix(7)."""

MAX_CONNECTIONS = 16
IDLE_TIMEOUT_SECONDS = 30.0
PROBE_TIMEOUT_SECONDS = 1.0
OWNER_ONLY_UMASK = 0o177


class UnsupportedQueryError(GladewalkError):
    """A query has no handler, or its arguments name something unknown; the text is one line."""


def check_socket_path(path: Path) -> None:
    """Checks that a control socket can be bound at this path; called before a director starts.

    Raises:
        ConfigError: The path is too long, its folder is missing, a file that is not a socket has this path,
            or another director listens there.
    """
    if len(os.fsencode(path)) > MAX_SOCKET_PATH_BYTES:
        raise ConfigError(f"control.socket: a path of more than {MAX_SOCKET_PATH_BYTES} bytes: {path}")
    if not path.parent.is_dir():
        raise ConfigError(f"control.socket: no such folder: {path.parent}")
    try:
        mode = path.lstat().st_mode
    except FileNotFoundError:
        return
    if not stat.S_ISSOCK(mode):
        raise ConfigError(f"control.socket: {path} is there and no socket")
    if _has_listener(path):
        raise ConfigError(f"control.socket: another director listens at {path}")


def _has_listener(path: Path) -> bool:
    """Returns whether a process listens at the socket; a killed process leaves its socket file behind."""
    with socket.socket(socket.AF_UNIX) as probe:
        probe.settimeout(PROBE_TIMEOUT_SECONDS)
        try:
            probe.connect(os.fspath(path))
        except OSError:
            return False
    return True


class ControlServer:
    """Listens at the control socket and handles the queries of each connection one after another.

    Attributes:
        path: The socket's path; the socket is accessible only by its owner.
        handlers: Handlers by query name; each enabled part of a director adds its own.
        connections: Open connections.
    """

    def __init__(self, path: Path, counters: Counters) -> None:
        self.path, self.counters = path, counters
        self.handlers: dict[str, QueryHandler] = {Query.LIST_QUERIES: lambda _: sorted(self.handlers)}
        self.connections: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Binds the socket; replaces a socket file without a listener, as checked by `check_socket_path`."""
        self.path.unlink(missing_ok=True)
        previous_umask = os.umask(OWNER_ONLY_UMASK)  # the socket is created without access for other users
        try:
            self._server = await asyncio.start_unix_server(self._serve, self.path, limit=MAX_REQUEST_BYTES)
        finally:
            os.umask(previous_umask)

    def close(self) -> None:
        """Stops listening, removes the socket and closes all connections."""
        if self._server is not None:
            self._server.close()
            self.path.unlink(missing_ok=True)
        for writer in self.connections:
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self.connections) >= MAX_CONNECTIONS:
            self.counters.add("control.crowded")
            writer.close()
            return
        self.connections.add(writer)
        try:
            while True:
                async with asyncio.timeout(IDLE_TIMEOUT_SECONDS):
                    line = await reader.readuntil(b"\n")
                    writer.write(encoder.encode(self.handle_line(line)) + b"\n")
                    await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass  # the client closed the connection, was idle for too long or sent a line that is too long
        finally:
            self.connections.discard(writer)
            writer.close()

    def handle_line(self, line: bytes) -> ControlResponse:
        """Handles one line; returns the data of its query, or an error that says why there is none."""
        self.counters.add("control.asked")
        try:
            request = request_decoder.decode(line)
        except msgspec.MsgspecError as error:
            self.counters.add("control.malformed")
            return ControlResponse(version=PROTOCOL_VERSION, error=f"no question: {error}")
        try:
            return ControlResponse(version=PROTOCOL_VERSION, data=self._dispatch(request))
        except UnsupportedQueryError as error:
            return ControlResponse(version=PROTOCOL_VERSION, error=str(error))

    def _dispatch(self, request: ControlRequest) -> Any:
        if request.version != PROTOCOL_VERSION:
            raise UnsupportedQueryError(
                f"asked in version {request.version}, this director speaks {PROTOCOL_VERSION}"
            )
        handler = self.handlers.get(request.query)
        if handler is None:
            raise UnsupportedQueryError(f"no view {request.query!r}: it is off here, or of another version")
        return handler(request.arguments)
