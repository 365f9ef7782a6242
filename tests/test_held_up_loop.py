"""An event loop that was held up: what has arrived is read before the deadlines that have passed."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

import pytest
import uvloop

from gladewalk.rehearsal.director_harness import SETTINGS, DirectorHarness
from gladewalk.rehearsal.scripted_servers import ScriptedServer

from .server_scripts import BYTES, hit

HELD_UP_S = 1.5 * SETTINGS["limits"]["connect_timeout_ms"] / 1000.0
LOOPS = {"asyncio": asyncio.new_event_loop, "uvloop": uvloop.new_event_loop}


async def hold_up_connects(harness: DirectorHarness) -> None:
    """Has the loop stand still for longer than the connect timeout, once a connect to a server has begun."""
    loop = asyncio.get_running_loop()
    connect: Any = loop.create_connection

    async def connect_and_hold_up(*arguments: Any, **options: Any) -> Any:
        connecting = asyncio.ensure_future(connect(*arguments, **options))
        await asyncio.sleep(0)  # the connect has begun
        time.sleep(HELD_UP_S)
        return await connecting

    loop.create_connection = connect_and_hold_up  # type: ignore[method-assign]
    try:
        status, _, body = await harness.fetch()
    finally:
        loop.create_connection = connect  # type: ignore[method-assign]
    assert (status, body) == (200, BYTES)


async def fetch_while_held_up() -> int:
    async with DirectorHarness([ScriptedServer(hit)]) as harness:
        assert harness.director is not None
        await hold_up_connects(harness)
        return harness.director.counters["caches.connects_failed"]


@pytest.mark.parametrize("name", LOOPS)
def test_a_connection_that_came_up_while_the_loop_was_held_up_is_used(name: str) -> None:
    # Guards against a refusal for a connect timeout that passed while nothing could be read.
    new_loop: Callable[[], asyncio.AbstractEventLoop] = LOOPS[name]
    with asyncio.Runner(loop_factory=new_loop) as runner:
        assert runner.run(fetch_while_held_up()) == 0
