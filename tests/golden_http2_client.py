"""An HTTP/2 client that records the events of the stand-in server under test."""

import asyncio
from typing import Any

from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.events import ConnectionTerminated
from h2.exceptions import ProtocolError


class Http2Client(asyncio.Protocol):
    """Sends requests, keeps all received bytes, and records whether the server has ended the connection."""

    def __init__(self) -> None:
        self.engine = H2Connection(H2Configuration(client_side=True, header_encoding="utf-8"))
        self.received_data, self.is_closed = b"", False

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.engine.initiate_connection()
        transport.write(self.engine.data_to_send())

    def data_received(self, data: bytes) -> None:
        self.received_data += data
        try:
            events = self.engine.receive_data(data)
        except ProtocolError:
            self.is_closed = True
            return
        self.is_closed = self.is_closed or any(isinstance(event, ConnectionTerminated) for event in events)
        self.transport.write(self.engine.data_to_send())

    def connection_lost(self, error: Exception | None) -> None:
        self.is_closed = True

    def send_request(self, ticket: str, path: str, body: bytes = b"") -> None:
        stream = self.engine.get_next_available_stream_id()
        head = [(":method", "PUT" if body else "GET"), (":path", path), (":scheme", "http"),
                (":authority", "app.svc"), ("x-ticket", ticket)]  # fmt: skip
        self.engine.send_headers(stream, head, end_stream=not body)
        if body:
            self.engine.send_data(stream, body, end_stream=True)
        self.transport.write(self.engine.data_to_send())
