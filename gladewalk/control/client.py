"""Client of the control socket: sends one query and returns the response's data, or raises an error."""

from __future__ import annotations

import os
import socket
from pathlib import Path
from typing import Any, ClassVar

import msgspec

from ..errors import GladewalkError
from .messages import (
    MAX_RESPONSE_BYTES,
    PROTOCOL_VERSION,
    ControlRequest,
    ControlResponse,
    encoder,
    response_decoder,
)
from .queries import Query

DEFAULT_TIMEOUT_SECONDS = 3.0
RECEIVE_BYTES = 65_536


class ControlError(GladewalkError):
    """A query returned no data; the text is one line for the operator.

    Attributes:
        exit_code: The exit code of a command that fails for this reason.
    """

    exit_code: ClassVar[int] = 2


class QueryRejectedError(ControlError):
    """The director responded with an error: it does not support the query or cannot carry it out."""


class DirectorNotRunningError(ControlError):
    """No director listens at the socket, or the director closed the connection without a response."""

    exit_code = 3


class VersionMismatchError(ControlError):
    """The process at the socket uses another version of the protocol, or another protocol."""

    exit_code = 4


class DirectorTimeoutError(ControlError):
    """The director did not respond in time."""

    exit_code = 5


def query_director(
    path: Path, query: Query | str, timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS, **arguments: Any
) -> Any:
    """Sends a query to the director at a control socket and returns the data of its response.

    Raises:
        ControlError: The query returned no data; the subclass tells the reason.
    """
    request = ControlRequest(version=PROTOCOL_VERSION, query=query, arguments=arguments)
    line = _exchange(path, encoder.encode(request) + b"\n", timeout_seconds)
    response = _decode(path, line)
    if response.error:
        raise QueryRejectedError(f"{path}: {response.error}")
    return response.data


def _exchange(path: Path, request: bytes, timeout_seconds: float) -> bytes:
    with socket.socket(socket.AF_UNIX) as connection:
        connection.settimeout(timeout_seconds)
        try:
            connection.connect(os.fspath(path))
            connection.sendall(request)
            return _read_line(connection)
        except TimeoutError as error:
            raise DirectorTimeoutError(
                f"{path}: the director does not answer within {timeout_seconds:g} s"
            ) from error
        except OSError as error:
            reason = error.strerror or str(error)
            raise DirectorNotRunningError(f"{path}: no director listens there: {reason}") from error


def _read_line(connection: socket.socket) -> bytes:
    chunks: list[bytes] = []
    received_bytes = 0
    while received_bytes <= MAX_RESPONSE_BYTES:
        chunk = connection.recv(RECEIVE_BYTES)
        if not chunk:
            raise ConnectionResetError(None, "it closed without an answer")
        chunks.append(chunk)
        received_bytes += len(chunk)
        if chunk.endswith(b"\n"):
            break
    return b"".join(chunks)


def _decode(path: Path, line: bytes) -> ControlResponse:
    try:
        response = response_decoder.decode(line)
    except msgspec.MsgspecError as error:
        raise VersionMismatchError(f"{path}: not an answer of version {PROTOCOL_VERSION}") from error
    if response.version != PROTOCOL_VERSION:
        raise VersionMismatchError(
            f"{path}: the director speaks version {response.version}, not {PROTOCOL_VERSION}"
        )
    return response
