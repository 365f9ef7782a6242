"""Connects that are cancelled before they begin, and clients that disconnect before an attempt is written."""

import asyncio
import socket
import unittest
from typing import Any

from gladewalk.core.exchange import LOOP_ITERATION_MS
from gladewalk.rehearsal.director_harness import wait_until
from gladewalk.rehearsal.http_messages import encode_request
from gladewalk.rehearsal.scripted_servers import ScriptedServer
from gladewalk.upstream.http1 import Http1Connection
from gladewalk.upstream.upstream_server import ConnectionRequest

from .server_scripts import hit, running


class CancelledConnects(unittest.IsolatedAsyncioTestCase):
    async def test_a_connect_cancelled_before_its_first_step_leaves_no_descriptor(self) -> None:
        cache = ScriptedServer(hit)
        async with running(cache) as (harness, director):
            await wait_until(lambda: director.readiness.is_synced)
            _, writer = await harness.connect()
            await wait_until(lambda: len(director.front.connections) == 1)
            (connection,) = director.front.connections
            for _ in range(5):
                connection.data_received(encode_request("/invoke/lot-page/a1"))
                assert connection.open_number is not None
                number, connection.open_number = connection.open_number, None
                connection._release_request()
                director.exchange.client_disconnected(number)  # without an event-loop iteration in between
            await wait_until(lambda: not director.exchange.open_requests)
            assert director.counters["caches.connects"] == 5
            await wait_until(lambda: not director.connection_pool.opener.opening, 2.0)
            writer.close()
            assert (await harness.fetch())[0] == 200


class DisconnectedClients(unittest.IsolatedAsyncioTestCase):
    async def test_no_attempt_is_sent_after_an_unread_disconnect(self) -> None:
        """The client's FIN has been received, but not read by the event loop, when its request is sent."""
        cache = ScriptedServer(hit)
        async with running(cache) as (harness, director):
            await wait_until(lambda: director.readiness.is_synced)
            assert (await harness.fetch())[0] == 200  # leaves an idle connection to the cache
            await wait_until(lambda: not director.front.connections)
            client = socket.create_connection(director.front.address)
            await wait_until(lambda: len(director.front.connections) == 1)
            director.exchange.buffer_requests()
            client.sendall(encode_request("/invoke/lot-page/a1"))
            await wait_until(lambda: bool(director.exchange.buffered_requests))
            real_clock = director.clock
            # By this clock, the request has waited for longer than one event-loop iteration.
            director.exchange.clock = lambda: real_clock() + LOOP_ITERATION_MS + 1.0
            (connection,) = director.front.connections
            client.close()  # from here on, there is no event-loop iteration until the request is released
            assert connection.is_disconnected()
            director.exchange.release_buffered_requests()
            await wait_until(
                lambda: not director.exchange.open_requests and not director.connection_pool.opener.opening
            )
            counters = director.counters
            assert (counters["attempts.written"], counters["requests.left_by_client"]) == (1, 1)
            assert len(cache.received) == 1
            assert (await harness.fetch())[0] == 200

    async def test_no_attempt_is_sent_after_a_disconnect_during_a_slow_connect(self) -> None:
        cache = ScriptedServer(hit)
        async with running(cache) as (_, director):
            await wait_until(lambda: director.readiness.is_synced)
            loop, may_finish = asyncio.get_running_loop(), asyncio.Event()
            real_connect, real_clock = loop.create_connection, director.clock

            async def connect_slowly(*args: Any, **more: Any) -> Any:
                opened = await real_connect(*args, **more)
                await may_finish.wait()
                return opened

            client = socket.create_connection(director.front.address)
            await wait_until(lambda: len(director.front.connections) == 1)
            (connection,) = director.front.connections
            loop.create_connection = connect_slowly  # type: ignore[method-assign]
            client.sendall(encode_request("/invoke/lot-page/a1"))
            # The connection is open, but the task that opened it has not continued.
            await wait_until(lambda: len(director.connection_pool.open_connections) == 1)
            (upstream,) = director.connection_pool.open_connections
            (request,) = director.connection_pool.opener.opening
            assert isinstance(request, ConnectionRequest) and isinstance(upstream, Http1Connection)
            director.exchange.clock = lambda: real_clock() + LOOP_ITERATION_MS + 1.0
            client.close()
            assert connection.is_disconnected()
            director.connection_pool.write(upstream, request.item)  # as the task's next step does
            may_finish.set()
            await wait_until(
                lambda: not director.exchange.open_requests and not director.connection_pool.opener.opening
            )
            assert director.counters["attempts.written"] == 0
            assert len(cache.received) == 0
