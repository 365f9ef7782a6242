"""Messages of the control protocol: JSON over a Unix socket, one object a line, each with a version."""

from __future__ import annotations

from typing import Any

import msgspec

PROTOCOL_VERSION = 1
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
MAX_REQUEST_BYTES = 64 * 1024


class ControlRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A query with its arguments.

    Attributes:
        version: The sender's `PROTOCOL_VERSION`; a director rejects another than its own.
        query: A value of `Query`, or a name that this version does not know.
        arguments: What the query's handler is called with.
    """

    version: int = msgspec.field(name="v")
    query: str = msgspec.field(name="ask")
    arguments: dict[str, Any] = msgspec.field(name="given", default_factory=dict)


class ControlResponse(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The answer to a request.

    Attributes:
        version: The director's `PROTOCOL_VERSION`.
        data: What the query's handler returned; None along with an error.
        error: One line that says why there is no data; empty if there is.
    """

    version: int = msgspec.field(name="v")
    data: Any = None
    error: str = ""


encoder = msgspec.json.Encoder()
request_decoder = msgspec.json.Decoder(ControlRequest)
response_decoder = msgspec.json.Decoder(ControlResponse)
