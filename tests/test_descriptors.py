"""Two processes of a hand-over keep to the one limit that a director has."""

import asyncio
import os
import socket
import unittest

from gladewalk.config.platform import PlatformConfig, read_config
from gladewalk.director import Director
from gladewalk.net.clients import SPARE_CONNECTIONS
from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import config_for, wait_until
from gladewalk.rehearsal.http_messages import encode_request, read_message
from gladewalk.rehearsal.scripted_servers import ScriptedServer
from gladewalk.upstream.pool import RESERVED_DESCRIPTORS, UPSTREAM_DESCRIPTOR_FRACTION

from .server_scripts import hit_after

SOCKETS = 256


class HandOver(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.release = asyncio.Event()
        self.cache, self.coordinator = (
            ScriptedServer(hit_after(self.release), capacity=4000.0),
            Coordinator(),
        )
        await self.coordinator.start()
        await self.cache.start()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.listener.setblocking(False)
        self.directors: list[Director] = []

    async def asyncTearDown(self) -> None:
        for director in self.directors:
            director.front.close()
            director.coordinator_watch.close()
        self.listener.close()
        self.cache.stop()
        self.coordinator.stop()

    async def director(self) -> Director:
        """A director as a process of its own would be: it has the listener from the platform."""
        told = config_for([self.cache], self.coordinator)
        config: PlatformConfig = read_config(told, {"NODE_FD": str(os.dup(self.listener.fileno()))})
        director = Director(config, asyncio.get_running_loop())
        self.directors.append(director)
        await director.start()
        await wait_until(lambda: director.readiness.is_synced)
        return director

    async def test_both_together_hold_no_more_connections_to_caches_than_one_may(self) -> None:
        clients: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        for number in range(2):
            director = await self.director()
            for other in self.directors[:-1]:
                other.front.stop_accepting()  # as once told to end: the next clients come to the new process
            for n in range(director.front.connection_limit):
                reader, writer = await asyncio.open_connection(*self.listener.getsockname()[:2])
                trace = f"{number:08x}{n:08x}"
                path = f"/invoke/lot-page/{number * 1000 + n + 1:x}"
                # A busy machine takes its time.
                writer.write(encode_request(path, trace=trace, wait_ms=60_000.0))
                clients.append((reader, writer))
            asked = director.counters
            await wait_until(lambda c=asked, d=director: c["requests.taken"] == d.front.connection_limit)  # type: ignore[misc]
        most = int(SOCKETS * UPSTREAM_DESCRIPTOR_FRACTION) - RESERVED_DESCRIPTORS
        await wait_until(lambda: self.cache.connections >= most - 1)
        held = sum(len(d.connection_pool.open_connections) for d in self.directors)
        assert held <= most
        assert self.cache.connections <= most
        self.release.set()
        answers = [(await read_message(reader))[0].split(" ")[1] for reader, _ in clients]
        assert set(answers) <= {"200", "503"}
        assert sum(len(d.connection_pool.open_connections) for d in self.directors) <= most
        for _, writer in clients:
            writer.close()

    async def test_the_parts_of_the_limit_add_up_to_no_more_than_it(self) -> None:
        """Clients hold a third in all, as the platform promises; each process has its own few besides."""
        director = await self.director()
        for sockets in (256, 384, 640, 1024):
            raw = {**config_for([self.cache], self.coordinator), "limits": {"sockets": sockets}}
            limit = read_config(raw, {"NODE_FD": "3"})
            director.connection_pool.configure(limit)
            both = (
                2 * director.connection_pool.max_connections
                + limit.settings.client_connection_limit
                + SPARE_CONNECTIONS
            )
            assert both + 2 * 16 <= sockets  # listeners, the coordinator, calls, the loop's own
