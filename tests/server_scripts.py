"""Scripts of caches that the stories over loopback share."""

import asyncio
from pathlib import Path

from gladewalk.rehearsal.scripted_servers import ReceivedRequest

ROOT = Path(__file__).parent.parent
BYTES = bytes(range(256)) * 64


async def hit(heard: ReceivedRequest) -> None:
    fields = {"X_Remark": "mem", "Tag": "4be0", "Made_At": "1764576000123", "X_Meter": "util:0.2;x0:0.7"}
    await heard.answer(200, BYTES, **fields)


async def miss_then_fill(heard: ReceivedRequest) -> None:
    if "miss-to" in heard.headers:
        await heard.answer(200, BYTES, X_Remark="parent", Fill_Wait="3.5")
    else:
        await heard.answer(404)


async def silent(heard: ReceivedRequest) -> None:
    await asyncio.Event().wait()


async def half(heard: ReceivedRequest) -> None:
    heard.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + b"x" * 300)
    await heard.writer.drain()
    heard.writer.transport.abort()


async def reset(heard: ReceivedRequest) -> None:
    heard.writer.transport.abort()
