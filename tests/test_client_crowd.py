"""Idle clients that fill the descriptors at one go cost nobody else's request its answer."""

import asyncio
import socket
import time

import pytest

from gladewalk.director import Director
from gladewalk.net.clients import SPARE_CONNECTIONS
from gladewalk.net.connection import MAX_LATENESS_MS, ClientConnection
from gladewalk.rehearsal.director_harness import wait_until
from gladewalk.rehearsal.http_messages import encode_request
from gladewalk.rehearsal.scripted_servers import ScriptedServer

from .server_scripts import BYTES, hit, running

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


async def connected(director: Director) -> tuple[socket.socket, ClientConnection]:
    """A client's connection from both sides."""
    client = socket.create_connection(director.front.address)
    await wait_until(lambda: len(director.front.connections) == 1)
    return client, next(iter(director.front.connections))


@pytest.mark.parametrize("end", ["evict", "shut_down"])
def test_a_client_sees_the_end_of_its_connection_in_the_moment_in_which_it_is_decided(end: str) -> None:
    """Guards against requests that come between the decision to close and the close, and get no answer."""

    async def story() -> bytes:
        async with running(ScriptedServer(hit)) as (_, director):
            client, connection = await connected(director)
            if end == "evict":
                connection.evict("made_room")
            else:
                connection.shut_down()
            client.setblocking(False)  # the loop has not turned: without an end this raises
            received = client.recv(1)
            client.close()
            return received

    assert asyncio.run(story()) == b""


def test_an_answer_that_is_late_by_less_than_counts_is_not_cut_to_make_room() -> None:
    """Guards against a late answer that is cut by eviction for room once its client's time is up."""

    async def story() -> list[bool]:
        async with running(ScriptedServer(hit)) as (_, director):
            client, connection = await connected(director)
            client.send(encode_request("/invoke/lot-page/a1?nth=0"))
            await wait_until(lambda: connection.client_deadline_ms > 0.0 and connection.open_number is None)
            assert connection.transport is not None
            connection.transport.write(BYTES * 1_000)  # more than the system buffers
            end_ms = connection.client_deadline_ms + MAX_LATENESS_MS
            sending = [connection.is_sending(at_ms) for at_ms in (end_ms - 1.0, end_ms)]
            client.close()
            return sending

    assert asyncio.run(story()) == [True, False]
