"""Scripts of caches that the stories over loopback share."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

from gladewalk.director import Director
from gladewalk.rehearsal.director_harness import DirectorHarness
from gladewalk.rehearsal.scripted_servers import Http1Script, ReceivedRequest, StandInServer

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


@contextlib.asynccontextmanager
async def running(*peers: StandInServer[Any], **more: Any) -> AsyncIterator[tuple[DirectorHarness, Director]]:
    """A director in this process with its peers, both started; both are stopped at the end."""
    async with DirectorHarness(peers, **more) as world:
        assert world.director is not None
        yield world, world.director


def held_until(release: asyncio.Event) -> Http1Script:
    """A script that answers once `release` is set."""

    async def script(heard: ReceivedRequest) -> None:
        await release.wait()
        await hit(heard)

    return script
