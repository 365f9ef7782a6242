"""Scripts of stand-in cache servers, shared by the tests over loopback."""

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


async def hit(request: ReceivedRequest) -> None:
    fields = {"X_Remark": "mem", "Tag": "4be0", "Made_At": "1764576000123", "X_Meter": "util:0.2;x0:0.7"}
    await request.respond(200, BYTES, **fields)


async def miss_then_fill(request: ReceivedRequest) -> None:
    if "miss-to" in request.headers:
        await request.respond(200, BYTES, X_Remark="parent", Fill_Wait="3.5")
    else:
        await request.respond(404)


async def never_respond(request: ReceivedRequest) -> None:
    await asyncio.Event().wait()


async def reset_mid_body(request: ReceivedRequest) -> None:
    request.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + b"x" * 300)
    await request.writer.drain()
    request.writer.transport.abort()


async def reset(request: ReceivedRequest) -> None:
    request.writer.transport.abort()


@contextlib.asynccontextmanager
async def running(
    *servers: StandInServer[Any], **settings: Any
) -> AsyncIterator[tuple[DirectorHarness, Director]]:
    """Starts a director in this process with stand-in servers, and stops them at the end."""
    async with DirectorHarness(servers, **settings) as harness:
        assert harness.director is not None
        yield harness, harness.director


def hit_after(release: asyncio.Event) -> Http1Script:
    """Returns a script that responds with a hit once `release` is set."""

    async def script(request: ReceivedRequest) -> None:
        await release.wait()
        await hit(request)

    return script
