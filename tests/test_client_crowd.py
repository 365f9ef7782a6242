"""A burst of idle connections that uses up the descriptors does not keep other requests from responses."""

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

MAX_WAIT_S = 1.0  # a request after the burst gets its response within this time


def test_a_burst_of_idle_connections_does_not_delay_a_request_at_the_listener() -> None:
    async def scenario() -> tuple[int, float]:
        async with running(ScriptedServer(hit)) as (harness, director):
            front = director.front
            burst = front.connection_limit + 2 * SPARE_CONNECTIONS
            clients = [socket.create_connection(front.address) for _ in range(burst)]
            start_s = time.monotonic()
            status, _, _ = await harness.fetch()
            duration_s = time.monotonic() - start_s
            for client in clients:
                client.close()
            return status, duration_s

    status, duration_s = asyncio.run(scenario())
    assert status == 200
    assert duration_s < MAX_WAIT_S


async def connect_client(director: Director) -> tuple[socket.socket, ClientConnection]:
    """Connects a client and returns both sides of its connection."""
    client = socket.create_connection(director.front.address)
    await wait_until(lambda: len(director.front.connections) == 1)
    return client, next(iter(director.front.connections))


@pytest.mark.parametrize("end", ["evict", "shut_down"])
def test_a_client_sees_the_end_of_its_connection_at_once_after_the_decision(end: str) -> None:
    """Guards against requests without response, sent between the decision to close and the close."""

    async def scenario() -> bytes:
        async with running(ScriptedServer(hit)) as (_, director):
            client, connection = await connect_client(director)
            if end == "evict":
                connection.evict("made_room")
            else:
                connection.shut_down()
            client.setblocking(False)  # in the same event-loop iteration: raises if the end was not sent
            received = client.recv(1)
            client.close()
            return received

    assert asyncio.run(scenario()) == b""


def test_a_response_within_the_allowed_lateness_is_not_cut_by_an_eviction() -> None:
    """Guards against an eviction that cuts a response shortly after the client's deadline."""

    async def scenario() -> list[bool]:
        async with running(ScriptedServer(hit)) as (_, director):
            client, connection = await connect_client(director)
            client.send(encode_request("/invoke/lot-page/a1?nth=0"))
            await wait_until(lambda: connection.client_deadline_ms > 0.0 and connection.open_number is None)
            assert connection.transport is not None
            connection.transport.write(BYTES * 1_000)  # more than the system buffers
            end_ms = connection.client_deadline_ms + MAX_LATENESS_MS
            sending = [connection.is_sending(at_ms) for at_ms in (end_ms - 1.0, end_ms)]
            client.close()
            return sending

    assert asyncio.run(scenario()) == [True, False]
