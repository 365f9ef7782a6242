"""A bare relay as a process: httptools on uvloop, no decision but a hash, HTTP/1.1 on both sides.

python -m benchmarks.relay BOX_ADDRESS...
"""

from __future__ import annotations

import asyncio
import sys
from collections import deque

import httptools
import uvloop


class Box(asyncio.Protocol):
    """One connection to a box; it carries one request at a time."""

    def __init__(self) -> None:
        self.client: Client | None = None
        self.rest: deque[Box] = deque()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def carry(self, client: Client, request: bytes) -> None:
        self.client = client
        self.parser = httptools.HttpResponseParser(self)
        self.transport.write(request)  # type: ignore[attr-defined]

    def data_received(self, data: bytes) -> None:
        client = self.client
        assert client is not None
        if not client.transport.is_closing():
            client.transport.write(data)  # type: ignore[attr-defined]
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        self.rest.append(self)


class Client(asyncio.Protocol):
    def __init__(self, relay: Relay) -> None:
        self.relay = relay
        self.parser = httptools.HttpRequestParser(self)
        self.url = b""
        self.headers: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        self.url, self.headers = b"", []

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append(name + b": " + value)

    def on_message_complete(self) -> None:
        head = b"\r\n".join([b"GET " + self.url + b" HTTP/1.1", *self.headers])
        self.relay.send(self, head + b"\r\n\r\n")


class Relay:
    def __init__(self, boxes: list[tuple[str, int]]) -> None:
        self.boxes = boxes
        self.idle: list[deque[Box]] = [deque() for _ in boxes]

    def send(self, client: Client, request: bytes) -> None:
        place = hash(client.url) % len(self.boxes)
        if self.idle[place]:
            self.idle[place].pop().carry(client, request)
        else:
            asyncio.get_running_loop().create_task(self.dial(place, client, request))

    async def dial(self, place: int, client: Client, request: bytes) -> None:
        _, box = await asyncio.get_running_loop().create_connection(Box, *self.boxes[place])
        box.rest = self.idle[place]
        box.carry(client, request)


async def serve(boxes: list[str]) -> None:
    relay = Relay([(host, int(port)) for host, port in (box.split(":") for box in boxes)])
    server = await asyncio.get_running_loop().create_server(
        lambda: Client(relay), "127.0.0.1", 0, backlog=1_024
    )
    host, port = server.sockets[0].getsockname()[:2]
    print(f"{host}:{port}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(serve(sys.argv[1:]))
