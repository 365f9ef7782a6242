"""Dials: those given up before they begin, and what a leaving client does to what is not yet written."""

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


class SameTurn(unittest.IsolatedAsyncioTestCase):
    async def test_a_dial_given_up_before_its_first_step_holds_no_descriptor(self) -> None:
        cache = ScriptedServer(hit)
        async with running(cache) as (world, director):
            await wait_until(lambda: director.readiness.is_synced)
            _, writer = await world.connect()
            await wait_until(lambda: len(director.front.connections) == 1)
            (connection,) = director.front.connections
            for _ in range(5):
                connection.data_received(encode_request("/invoke/lot-page/a1"))
                assert connection.open_number is not None
                number, connection.open_number = connection.open_number, None
                connection._release_request()
                director.exchange.client_disconnected(number)  # no turn of the loop in between
            await wait_until(lambda: not director.exchange.open_requests)
            assert director.counters["caches.connects"] == 5
            await wait_until(lambda: not director.connection_pool.opener.opening, 2.0)
            writer.close()
            assert (await world.fetch())[0] == 200


class Left(unittest.IsolatedAsyncioTestCase):
    async def test_a_client_whose_end_lies_unread_is_sent_nothing_more(self) -> None:
        """Its end has come to the machine, and the loop has not read it when the next attempt is due."""
        cache = ScriptedServer(hit)
        async with running(cache) as (world, director):
            await wait_until(lambda: director.readiness.is_synced)
            assert (await world.fetch())[0] == 200  # its connection to the cache rests
            await wait_until(lambda: not director.front.connections)
            client = socket.create_connection(director.front.address)
            await wait_until(lambda: len(director.front.connections) == 1)
            director.exchange.buffer_requests()
            client.sendall(encode_request("/invoke/lot-page/a1"))
            await wait_until(lambda: bool(director.exchange.buffered_requests))
            real = director.clock
            director.exchange.clock = lambda: (
                real() + LOOP_ITERATION_MS + 1.0
            )  # it has waited longer than a turn
            (connection,) = director.front.connections
            client.close()  # and no turn of the loop from here on
            assert connection.is_disconnected()
            director.exchange.release_buffered_requests()
            await wait_until(
                lambda: not director.exchange.open_requests and not director.connection_pool.opener.opening
            )
            counters = director.counters
            assert (counters["attempts.written"], counters["requests.left_by_client"]) == (1, 1)
            assert len(cache.received) == 1
            assert (await world.fetch())[0] == 200

    async def test_who_leaves_while_its_dial_is_late_is_sent_nothing(self) -> None:
        cache = ScriptedServer(hit)
        async with running(cache) as (_, director):
            await wait_until(lambda: director.readiness.is_synced)
            loop, up = asyncio.get_running_loop(), asyncio.Event()
            real_connect, real = loop.create_connection, director.clock

            async def late(*args: Any, **more: Any) -> Any:
                opened = await real_connect(*args, **more)
                await up.wait()
                return opened

            client = socket.create_connection(director.front.address)
            await wait_until(lambda: len(director.front.connections) == 1)
            (connection,) = director.front.connections
            loop.create_connection = late  # type: ignore[method-assign]
            client.sendall(encode_request("/invoke/lot-page/a1"))
            # It is open, and its dial has not taken it.
            await wait_until(lambda: len(director.connection_pool.open_connections) == 1)
            (upstream,) = director.connection_pool.open_connections
            (dial,) = director.connection_pool.opener.opening
            assert isinstance(dial, ConnectionRequest) and isinstance(upstream, Http1Connection)
            director.exchange.clock = lambda: real() + LOOP_ITERATION_MS + 1.0
            client.close()
            assert connection.is_disconnected()
            director.connection_pool.write(upstream, dial.item)  # as the dial's next step does
            up.set()
            await wait_until(
                lambda: not director.exchange.open_requests and not director.connection_pool.opener.opening
            )
            assert director.counters["attempts.written"] == 0
            assert len(cache.received) == 0
