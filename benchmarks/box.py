"""One stand-in box as a process: prints its address and answers every request after a while.

python -m benchmarks.box h1|h2|tls DELAY_MS BYTES UID [CERTIFICATE_FOLDER]
"""

from __future__ import annotations

import asyncio
import ssl
import sys

import httptools
import uvloop

from gladewalk.rehearsal.scripted_http2_server import Http2Request, ScriptedHttp2Server


class PlainBox(asyncio.Protocol):
    """HTTP/1.1 with as little as it takes: the measured side is the one in front."""

    def __init__(self, answer: bytes, delay_s: float) -> None:
        self.answer, self.delay_s = answer, delay_s
        self.parser = httptools.HttpRequestParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        asyncio.get_running_loop().call_later(self.delay_s, self.say)

    def say(self) -> None:
        if not self.transport.is_closing():
            self.transport.write(self.answer)  # type: ignore[attr-defined]


async def serve(kind: str, delay_s: float, size: int, uid: str, folder: str) -> None:
    loop = asyncio.get_running_loop()
    body = bytes(size)
    if kind == "h1":
        head = f"HTTP/1.1 200 OK\r\nX-Remark: mem\r\nTag: 4be0\r\nContent-Length: {size}\r\n\r\n".encode()
        server = await loop.create_server(lambda: PlainBox(head + body, delay_s), "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        address = f"{host}:{port}"
    else:

        def later(asked: Http2Request) -> None:
            loop.call_later(delay_s, lambda: asked.answer(200, body))

        context = None
        if kind == "tls":
            context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
            context.load_cert_chain(f"{folder}/box.pem", f"{folder}/box.key")
            context.set_alpn_protocols(["h2"])
        address = (
            await ScriptedHttp2Server(
                later, uid, max_concurrent_streams=256, tls=context, keeps_records=False
            ).start()
        ).address
    print(address, flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    words = [*sys.argv[1:], ""]
    uvloop.run(serve(words[0], float(words[1]) / 1000.0, int(words[2]), words[3], words[4]))
