"""A minimal relay as a process: HTTP/1.1 with httptools on uvloop, and a hash of the URL to choose a cache.

python -m benchmarks.relay CACHE_ADDRESS...
"""

from __future__ import annotations

import asyncio
import sys
from collections import deque

import httptools
import uvloop


class CacheConnection(asyncio.Protocol):
    """One connection to a cache, with one request at a time."""

    def __init__(self) -> None:
        self.client: ClientConnection | None = None
        self.idle: deque[CacheConnection] = deque()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self.transport = transport

    def send(self, client: ClientConnection, request: bytes) -> None:
        """Sends a request and forwards its response to the client."""
        self.client = client
        self.parser = httptools.HttpResponseParser(self)
        self.transport.write(request)  # type: ignore[attr-defined]

    def data_received(self, data: bytes) -> None:
        """Forwards a piece of the response to the client."""
        client = self.client
        assert client is not None
        if not client.transport.is_closing():
            client.transport.write(data)  # type: ignore[attr-defined]
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        """Makes the connection available for the next request."""
        self.idle.append(self)


class ClientConnection(asyncio.Protocol):
    """One client's connection."""

    def __init__(self, relay: Relay) -> None:
        self.relay = relay
        self.parser = httptools.HttpRequestParser(self)
        self.url = b""
        self.headers: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Parses requests."""
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        """Prepares for a new request."""
        self.url, self.headers = b"", []

    def on_url(self, url: bytes) -> None:
        """Appends a piece of the request's target."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header field."""
        self.headers.append(name + b": " + value)

    def on_message_complete(self) -> None:
        """Forwards the request."""
        head = b"\r\n".join([b"GET " + self.url + b" HTTP/1.1", *self.headers])
        self.relay.forward(self, head + b"\r\n\r\n")


class Relay:
    """Forwards requests to caches by a hash of the URL, on persistent connections."""

    def __init__(self, caches: list[tuple[str, int]]) -> None:
        self.caches = caches
        self.idle: list[deque[CacheConnection]] = [deque() for _ in caches]

    def forward(self, client: ClientConnection, request: bytes) -> None:
        """Sends a client's request on an idle connection, or on a new one."""
        index = hash(client.url) % len(self.caches)
        if self.idle[index]:
            self.idle[index].pop().send(client, request)
        else:
            asyncio.get_running_loop().create_task(self._connect(index, client, request))

    async def _connect(self, index: int, client: ClientConnection, request: bytes) -> None:
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(CacheConnection, *self.caches[index])
        connection.idle = self.idle[index]
        connection.send(client, request)


async def serve(addresses: list[str]) -> None:
    """Prints a free port and serves on it until the process is killed."""
    relay = Relay([(host, int(port)) for host, port in (address.split(":") for address in addresses)])
    server = await asyncio.get_running_loop().create_server(
        lambda: ClientConnection(relay), "127.0.0.1", 0, backlog=1_024
    )
    host, port = server.sockets[0].getsockname()[:2]
    print(f"{host}:{port}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(serve(sys.argv[1:]))
