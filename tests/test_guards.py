"""What one part's failure must not cost the others: a log that stands still, a failed call, a bad name."""

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import unittest
from pathlib import Path

from gladewalk.config.platform import ConfigError, read_address
from gladewalk.core.deadlines import Deadlines
from gladewalk.daemon import NonBlockingLog
from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import DirectorHarness, config_for, wait_until
from gladewalk.rehearsal.http_messages import encode_request, read_message
from gladewalk.rehearsal.scripted_servers import ScriptedServer

from .server_scripts import BYTES, ROOT, hit


def filled() -> tuple[int, int]:
    """A pipe that nobody reads and that takes no byte more, reading end first."""
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    try:
        while True:
            os.write(writing, bytes(4096))
    except BlockingIOError:
        os.set_blocking(writing, True)
    return reading, writing


class Logs(unittest.IsolatedAsyncioTestCase):
    async def test_a_log_that_stands_still_holds_nothing_up(self) -> None:
        cache, coordinator = await ScriptedServer(hit).start(), await Coordinator().start()
        listener = socket.create_server(("127.0.0.1", 0))
        reading, writing = filled()
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "config.json")
            path.write_text(json.dumps(config_for([cache], coordinator)))
            program = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "gladewalk", cwd=ROOT, stderr=writing, close_fds=False,
                env={**os.environ, "NODE_CONFIG": str(path), "NODE_FD": "3"},
                preexec_fn=lambda: os.dup2(listener.fileno(), 3),
            )  # fmt: skip
            reader, writer = await asyncio.open_connection(*listener.getsockname()[:2])
            writer.write(encode_request("/invoke/lot-page/a1"))
            self.assertEqual((await asyncio.wait_for(read_message(reader), 30.0))[2], BYTES)
            program.send_signal(signal.SIGUSR1)
            program.send_signal(signal.SIGTERM)
            self.assertEqual(await asyncio.wait_for(program.wait(), 30.0), 0)
            writer.close()
        for fd in (reading, writing):
            os.close(fd)
        listener.close()
        cache.stop()
        coordinator.stop()

    def test_lines_are_whole_or_counted_as_lost(self) -> None:
        reading, writing = os.pipe()
        log = NonBlockingLog(writing)
        log.write("one\n")
        self.assertEqual(os.read(reading, 100), b"one\n")
        os.close(reading)
        log.write("two\n")  # its reader has gone
        self.assertEqual(log.dropped_lines, 1)
        os.close(writing)
        reading, writing = filled()
        log = NonBlockingLog(writing)
        log.write("three\n")
        self.assertEqual(log.dropped_lines, 1)
        os.close(reading)
        os.close(writing)


class Calls(unittest.TestCase):
    def test_a_call_that_fails_costs_no_other_its_time(self) -> None:
        armed: list[float] = []
        deadlines = Deadlines(armed.append)
        ran: list[str] = []

        def fails() -> None:
            raise RuntimeError

        deadlines.add(10.0, fails)
        deadlines.add(11.0, lambda: ran.append("same turn"))
        deadlines.add(50.0, lambda: ran.append("later"))
        armed.clear()
        with self.assertRaises(RuntimeError):
            deadlines.sweep(20.0)
        self.assertEqual(armed, [11.0])  # the timer is armed for what is left
        deadlines.sweep(20.0)
        deadlines.sweep(50.0)
        self.assertEqual(ran, ["same turn", "later"])


class Names(unittest.IsolatedAsyncioTestCase):
    def test_a_host_that_can_not_be_looked_up_is_no_address(self) -> None:
        for text in ("a..b:80", "a" * 70 + ".example:80", "a\0b:80"):
            with self.assertRaises(ConfigError):
                read_address(text)
        self.assertEqual(read_address("[::1]:80"), ("::1", 80))

    async def test_a_dial_of_a_bad_name_is_a_failed_one_and_the_feed_goes_on(self) -> None:
        async with DirectorHarness([ScriptedServer(hit)]) as world:
            director = world.director
            assert director is not None
            watch, good = director.coordinator_watch, director.coordinator_watch.address
            await wait_until(lambda: len(world.coordinator.followed_from) == 1)
            watch.set_address(("a..b", 80))
            await wait_until(lambda: director.counters["coordinator.connects"] >= 3)
            watch.address = good
            await wait_until(lambda: len(world.coordinator.followed_from) == 2)
            director.connection_pool.servers["c1"].address = ("a..b", 80)
            status, _, _ = await world.fetch()
            self.assertEqual(status, 503)
            self.assertEqual(director.counters["caches.connects_failed"] > 0, True)
            self.assertFalse(director.connection_pool.opener.opening)
