"""Client of the control socket: sends one query and returns the answer, or raises the kind of failure."""

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
    """A query got no data; the text is one line for the operator.

    Attributes:
        exit_code: What a command that fails for this reason exits with.
    """

    exit_code: ClassVar[int] = 2


class QueryRejectedError(ControlError):
    """The director answered that it does not support the query, or why it cannot answer it."""


class DirectorNotRunningError(ControlError):
    """No director listens at the socket, or it closed the connection."""

    exit_code = 3


class VersionMismatchError(ControlError):
    """What answers speaks another version of the protocol, or another protocol."""

    exit_code = 4


class DirectorTimeoutError(ControlError):
    """The director accepted the connection and did not answer in time."""

    exit_code = 5


def query_director(
    path: Path, query: Query | str, timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS, **arguments: Any
) -> Any:
    """Sends a query to the director behind a socket and returns the data of its answer.

    Raises:
        ControlError: There is no data; its subclasses say why.
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
    parts: list[bytes] = []
    received_bytes = 0
    while received_bytes <= MAX_RESPONSE_BYTES:
        part = connection.recv(RECEIVE_BYTES)
        if not part:
            raise ConnectionResetError(None, "it closed without an answer")
        parts.append(part)
        received_bytes += len(part)
        if part.endswith(b"\n"):
            break
    return b"".join(parts)


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
