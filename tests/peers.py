"""Scripts of caches that the stories over loopback share."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

from gladewalk.director import Director
from gladewalk.rehearsal.peers import Heard, Peer, Rehearsal, Script

ROOT = Path(__file__).parent.parent
BYTES = bytes(range(256)) * 64


async def hit(heard: Heard) -> None:
    fields = {"X_Remark": "mem", "Tag": "4be0", "Made_At": "1764576000123", "X_Meter": "util:0.2;x0:0.7"}
    await heard.answer(200, BYTES, **fields)


async def miss_then_fill(heard: Heard) -> None:
    if "miss-to" in heard.headers:
        await heard.answer(200, BYTES, X_Remark="parent", Fill_Wait="3.5")
    else:
        await heard.answer(404)


async def silent(heard: Heard) -> None:
    await asyncio.Event().wait()


async def half(heard: Heard) -> None:
    heard.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + b"x" * 300)
    await heard.writer.drain()
    heard.writer.transport.abort()


async def reset(heard: Heard) -> None:
    heard.writer.transport.abort()


@contextlib.asynccontextmanager
async def running(*peers: Peer, **more: Any) -> AsyncIterator[tuple[Rehearsal, Director]]:
    """A director in this process with its peers, both started; both are stopped at the end."""
    async with Rehearsal(peers, **more) as world:
        assert world.director is not None
        yield world, world.director


def held_until(release: asyncio.Event) -> Script:
    """A script that answers once `release` is set."""

    async def script(heard: Heard) -> None:
        await release.wait()
        await hit(heard)

    return script
