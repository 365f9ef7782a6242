"""A stand-in cache server as a process: prints its address and responds to every request after a delay.

python -m benchmarks.box h1|h2|tls DELAY_MS BYTES UID [CERTIFICATE_FOLDER]
"""

from __future__ import annotations

import asyncio
import ssl
import sys

import httptools
import uvloop

from gladewalk.rehearsal.scripted_http2_server import Http2Request, ScriptedHttp2Server


class MinimalHttp1Server(asyncio.Protocol):
    """HTTP/1.1 server with little work for each request, as the director in front is measured."""

    def __init__(self, response: bytes, delay_seconds: float) -> None:
        self.response, self.delay_seconds = response, delay_seconds
        self.parser = httptools.HttpRequestParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Parses requests."""
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        """Responds after the delay."""
        asyncio.get_running_loop().call_later(self.delay_seconds, self._respond)

    def _respond(self) -> None:
        if not self.transport.is_closing():
            self.transport.write(self.response)  # type: ignore[attr-defined]


async def serve(kind: str, delay_seconds: float, body_bytes: int, uid: str, folder: str) -> None:
    """Serves until the process is killed; `kind` is h1, h2 or tls, `folder` has the certificate for tls."""
    loop = asyncio.get_running_loop()
    body = bytes(body_bytes)
    if kind == "h1":
        head = (
            f"HTTP/1.1 200 OK\r\nX-Remark: mem\r\nTag: 4be0\r\nContent-Length: {body_bytes}\r\n\r\n".encode()
        )
        server = await loop.create_server(
            lambda: MinimalHttp1Server(head + body, delay_seconds), "127.0.0.1", 0
        )
        host, port = server.sockets[0].getsockname()[:2]
        address = f"{host}:{port}"
    else:

        def respond_later(request: Http2Request) -> None:
            loop.call_later(delay_seconds, lambda: request.respond(200, body))

        context = None
        if kind == "tls":
            context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
            context.load_cert_chain(f"{folder}/box.pem", f"{folder}/box.key")
            context.set_alpn_protocols(["h2"])
        address = (
            await ScriptedHttp2Server(
                respond_later, uid, max_concurrent_streams=256, tls=context, keeps_records=False
            ).start()
        ).address
    print(address, flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    arguments = [*sys.argv[1:], ""]
    uvloop.run(
        serve(arguments[0], float(arguments[1]) / 1000.0, int(arguments[2]), arguments[3], arguments[4])
    )
