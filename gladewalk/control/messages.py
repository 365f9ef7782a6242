"""Messages of the control protocol: one JSON object per line over a Unix socket, each with a version."""

from __future__ import annotations

from typing import Any

import msgspec

PROTOCOL_VERSION = 1
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
MAX_REQUEST_BYTES = 64 * 1024


class ControlRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A query with its arguments.

    Attributes:
        version: The sender's `PROTOCOL_VERSION`; a director rejects any version but its own.
        query: A value of `Query`; a director rejects names that it does not support.
        arguments: The arguments that the query's handler is called with.
    """

    version: int = msgspec.field(name="v")
    query: str = msgspec.field(name="ask")
    arguments: dict[str, Any] = msgspec.field(name="given", default_factory=dict)


class ControlResponse(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The response to a request.

    Attributes:
        version: The director's `PROTOCOL_VERSION`.
        data: The return value of the query's handler; None if there is an error.
        error: One line that says why the query failed; empty if it succeeded.
    """

    version: int = msgspec.field(name="v")
    data: Any = None
    error: str = ""


encoder = msgspec.json.Encoder()
request_decoder = msgspec.json.Decoder(ControlRequest)
response_decoder = msgspec.json.Decoder(ControlResponse)
