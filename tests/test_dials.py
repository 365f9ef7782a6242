"""Dials: those given up before they begin, and what a leaving client does to what is not yet written."""

import asyncio
import socket
import unittest
from typing import Any

from gladewalk.core.exchange import LOOP_TURN_MS
from gladewalk.rehearsal.director_harness import DirectorHarness, wait_until
from gladewalk.rehearsal.http_messages import encode_request
from gladewalk.rehearsal.scripted_servers import ScriptedServer
from gladewalk.upstream.http1 import CacheConnection
from gladewalk.upstream.targets import Dial

from .server_scripts import hit


class SameTurn(unittest.IsolatedAsyncioTestCase):
    async def test_a_dial_given_up_before_its_first_step_holds_no_descriptor(self) -> None:
        cache = ScriptedServer(hit)
        async with DirectorHarness([cache]) as world:
            director = world.director
            assert director is not None
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
            self.assertEqual(director.counters["caches.connects"], 5)
            await wait_until(lambda: not director.caches.dialling, 2.0)
            writer.close()
            self.assertEqual((await world.fetch())[0], 200)


class Left(unittest.IsolatedAsyncioTestCase):
    async def test_a_client_whose_end_lies_unread_is_sent_nothing_more(self) -> None:
        """Its end has come to the machine, and the loop has not read it when the next attempt is due."""
        cache = ScriptedServer(hit)
        async with DirectorHarness([cache]) as world:
            director = world.director
            assert director is not None
            await wait_until(lambda: director.readiness.is_synced)
            self.assertEqual((await world.fetch())[0], 200)  # its connection to the cache rests
            await wait_until(lambda: not director.front.connections)
            client = socket.create_connection(director.front.address)
            await wait_until(lambda: len(director.front.connections) == 1)
            director.exchange.hold_requests()
            client.sendall(encode_request("/invoke/lot-page/a1"))
            await wait_until(lambda: bool(director.exchange.held_requests))
            real = director.clock
            director.exchange.clock = lambda: real() + LOOP_TURN_MS + 1.0  # it has waited longer than a turn
            (connection,) = director.front.connections
            client.close()  # and no turn of the loop from here on
            self.assertTrue(connection.is_disconnected())
            director.exchange.release_held()
            await wait_until(lambda: not director.exchange.open_requests and not director.caches.dialling)
            counters = director.counters
            self.assertEqual((counters["attempts.written"], counters["requests.left_by_client"]), (1, 1))
            self.assertEqual(len(cache.received), 1)
            self.assertEqual((await world.fetch())[0], 200)

    async def test_who_leaves_while_its_dial_is_late_is_sent_nothing(self) -> None:
        cache = ScriptedServer(hit)
        async with DirectorHarness([cache]) as world:
            director = world.director
            assert director is not None
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
            await wait_until(
                lambda: len(director.caches.live) == 1
            )  # it is up, and its dial has not heard of it
            (upstream,) = director.caches.live
            (dial,) = director.caches.dialling
            assert isinstance(dial, Dial) and isinstance(upstream, CacheConnection)
            director.exchange.clock = lambda: real() + LOOP_TURN_MS + 1.0
            client.close()
            self.assertTrue(connection.is_disconnected())
            director.caches.write(upstream, dial.job)  # as the dial's next step does
            up.set()
            await wait_until(lambda: not director.exchange.open_requests and not director.caches.dialling)
            self.assertEqual(director.counters["attempts.written"], 0)
            self.assertEqual(len(cache.received), 0)
