"""Idle clients that fill the descriptors at one go cost nobody else's request its answer."""

import asyncio
import socket
import time

from gladewalk.net.clients import SPARE_CONNECTIONS
from gladewalk.rehearsal.scripted_servers import ScriptedServer

from .server_scripts import hit, running

MAX_WAIT_S = 1.0  # a request behind the crowd is answered within this


def test_a_burst_of_idle_connections_holds_no_request_up_at_the_listener() -> None:
    async def story() -> tuple[int, float]:
        async with running(ScriptedServer(hit)) as (world, director):
            front = director.front
            burst = front.connection_limit + 2 * SPARE_CONNECTIONS
            crowd = [socket.create_connection(front.address) for _ in range(burst)]
            began_s = time.monotonic()
            status, _, _ = await world.fetch()
            took_s = time.monotonic() - began_s
            for client in crowd:
                client.close()
            return status, took_s

    status, took_s = asyncio.run(story())
    assert status == 200
    assert took_s < MAX_WAIT_S
