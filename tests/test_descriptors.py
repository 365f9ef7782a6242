"""The two processes of a handover together stay within the descriptor limit of one director."""

import asyncio
import contextlib
import json
import os
import signal
import socket
import unittest
from pathlib import Path

from gladewalk.config.platform import PlatformConfig, read_config
from gladewalk.core.counters import Counters
from gladewalk.core.process_presence import ProcessPresence
from gladewalk.director import Director
from gladewalk.net.clients import SPARE_CONNECTIONS
from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import config_for, wait_until
from gladewalk.rehearsal.http_messages import encode_request, read_message
from gladewalk.rehearsal.scripted_servers import ScriptedServer
from gladewalk.upstream.pool import RESERVED_DESCRIPTORS, UPSTREAM_DESCRIPTOR_FRACTION

from .program import start_program
from .server_scripts import hit, hit_after

SOCKETS = 256


class Handover(unittest.IsolatedAsyncioTestCase):
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

    async def start_director(self) -> Director:
        """Starts a director like a separate process, with the listener inherited from the platform."""
        raw_config = config_for([self.cache], self.coordinator)
        config: PlatformConfig = read_config(raw_config, {"NODE_FD": str(os.dup(self.listener.fileno()))})
        director = Director(config, asyncio.get_running_loop())
        self.directors.append(director)
        await director.start()
        await wait_until(lambda: director.readiness.is_synced)
        return director

    async def test_two_directors_together_have_no_more_connections_to_caches_than_one_may(self) -> None:
        clients: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        for number in range(2):
            director = await self.start_director()
            for other in self.directors[:-1]:
                other.front.stop_accepting()  # as after SIGTERM: later clients connect to the new process
            for n in range(director.front.connection_limit):
                reader, writer = await asyncio.open_connection(*self.listener.getsockname()[:2])
                trace = f"{number:08x}{n:08x}"
                path = f"/invoke/lot-page/{number * 1000 + n + 1:x}"
                # The long deadline allows for a busy machine.
                writer.write(encode_request(path, trace=trace, wait_ms=60_000.0))
                clients.append((reader, writer))
            counts = director.counters
            await wait_until(lambda c=counts, d=director: c["requests.taken"] == d.front.connection_limit)  # type: ignore[misc]
        max_open = int(SOCKETS * UPSTREAM_DESCRIPTOR_FRACTION) - RESERVED_DESCRIPTORS
        await wait_until(lambda: self.cache.connections >= max_open - 1)
        open_count = sum(len(d.connection_pool.open_connections) for d in self.directors)
        assert open_count <= max_open
        assert self.cache.connections <= max_open
        self.release.set()
        responses = [(await read_message(reader))[0].split(" ")[1] for reader, _ in clients]
        assert set(responses) <= {"200", "503"}
        assert sum(len(d.connection_pool.open_connections) for d in self.directors) <= max_open
        for _, writer in clients:
            writer.close()

    async def test_the_shares_of_the_limit_add_up_to_no_more_than_the_limit(self) -> None:
        """Clients use a third in all, as the platform promises; each process needs a few more descriptors."""
        director = await self.start_director()
        for sockets in (256, 384, 640, 1024):
            raw = {**config_for([self.cache], self.coordinator), "limits": {"sockets": sockets}}
            limit = read_config(raw, {"NODE_FD": "3"})
            director.connection_pool.configure(limit)
            descriptor_count = (
                2 * director.connection_pool.max_connections
                + limit.settings.client_connection_limit
                + SPARE_CONNECTIONS
            )
            assert descriptor_count + 2 * 16 <= sockets  # listeners, coordinator, admin calls, event loop


async def hold_idle_connections(address: tuple[str, int], count: int) -> list[socket.socket]:
    """Opens connections that send nothing, as many as are accepted."""
    clients = []
    for _ in range(count):
        client = socket.socket()
        client.setblocking(False)
        with contextlib.suppress(OSError):
            async with asyncio.timeout(0.05):
                await asyncio.get_running_loop().sock_connect(client, address)
        clients.append(client)
    return clients


def test_idle_clients_of_both_processes_of_a_handover_stay_within_the_limit_of_one(tmp_path: Path) -> None:
    """Guards against two processes that each take a director's share of the descriptors for clients."""

    async def scenario() -> tuple[list[int], int]:
        cache, coordinator = await ScriptedServer(hit).start(), await Coordinator().start()
        raw = {**config_for([cache], coordinator), "limits": {"sockets": 384, "memory_mb": 192}}
        (tmp_path / "node.json").write_text(json.dumps(raw))
        environ = {**os.environ, "TMPDIR": str(tmp_path)}
        programs, clients = [], []
        with socket.create_server(("127.0.0.1", 0), backlog=512) as listener:
            for _ in range(2):
                program = await start_program(
                    tmp_path / "node.json", listener_fd=listener.fileno(), environ=environ
                )
                await program.event("serving")
                programs.append(program)
                clients += await hold_idle_connections(listener.getsockname(), 256)
                await asyncio.sleep(0.5)
            counts = [len(os.listdir(f"/proc/{program.process.pid}/fd")) for program in programs]
            for program in programs:
                program.send(signal.SIGKILL)
                await program.finish()
        for client in clients:
            client.close()
        coordinator.stop()
        cache.stop()
        return counts, 384 // 3

    counts, client_limit = asyncio.run(scenario())
    own_descriptors = 16  # of each process: listener, coordinator, event loop, log
    assert sum(counts) <= client_limit + SPARE_CONNECTIONS + 2 * own_descriptors


def test_processes_of_a_handover_are_counted_while_they_run(tmp_path: Path) -> None:
    alive = {1, 2, 3}
    presences = [ProcessPresence(tmp_path, Counters(), pid, alive.__contains__) for pid in (1, 2)]
    assert [presence.count() for presence in presences] == [2, 2]
    alive.remove(1)
    assert presences[1].count() == 1
    assert [path.name for path in tmp_path.iterdir()] == ["process-2"]
    assert ProcessPresence(tmp_path / "no" / "folder", Counters(), 3, alive.__contains__).count() == 1
