"""A failure in one part must not affect others: a blocked log, a failed call, an invalid host name."""

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


def full_pipe() -> tuple[int, int]:
    """Returns the reading and the writing end of a full pipe that nobody reads."""
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    try:
        while True:
            os.write(writing, bytes(4096))
    except BlockingIOError:
        os.set_blocking(writing, True)
    return reading, writing


class LogOutput(unittest.IsolatedAsyncioTestCase):
    async def test_a_blocked_log_delays_no_request_and_no_shutdown(self) -> None:
        cache, coordinator = await ScriptedServer(hit).start(), await Coordinator().start()
        listener = socket.create_server(("127.0.0.1", 0))
        reading, writing = full_pipe()
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

    def test_log_lines_are_complete_or_counted_as_dropped(self) -> None:
        reading, writing = os.pipe()
        log = NonBlockingLog(writing)
        log.write("one\n")
        self.assertEqual(os.read(reading, 100), b"one\n")
        os.close(reading)
        log.write("two\n")  # the reading end is closed
        self.assertEqual(log.dropped_lines, 1)
        os.close(writing)
        reading, writing = full_pipe()
        log = NonBlockingLog(writing)
        log.write("three\n")
        self.assertEqual(log.dropped_lines, 1)
        os.close(reading)
        os.close(writing)


class DeadlineCalls(unittest.TestCase):
    def test_a_failed_call_does_not_delay_other_calls(self) -> None:
        armed: list[float] = []
        deadlines = Deadlines(armed.append)
        ran: list[str] = []

        def fail() -> None:
            raise RuntimeError

        deadlines.add(10.0, fail)
        deadlines.add(11.0, lambda: ran.append("same sweep"))
        deadlines.add(50.0, lambda: ran.append("later"))
        armed.clear()
        with self.assertRaises(RuntimeError):
            deadlines.sweep(20.0)
        self.assertEqual(armed, [11.0])  # the timer is armed for the remaining calls
        deadlines.sweep(20.0)
        deadlines.sweep(50.0)
        self.assertEqual(ran, ["same sweep", "later"])


class HostNames(unittest.IsolatedAsyncioTestCase):
    def test_a_host_name_that_cannot_be_looked_up_is_rejected(self) -> None:
        for text in ("a..b:80", "a" * 70 + ".example:80", "a\0b:80"):
            with self.assertRaises(ConfigError):
                read_address(text)
        self.assertEqual(read_address("[::1]:80"), ("::1", 80))

    async def test_a_connect_to_an_invalid_name_fails_and_the_feed_continues(self) -> None:
        async with DirectorHarness([ScriptedServer(hit)]) as harness:
            director = harness.director
            assert director is not None
            watch, valid_address = director.coordinator_watch, director.coordinator_watch.address
            await wait_until(lambda: len(harness.coordinator.followed_from) == 1)
            watch.set_address(("a..b", 80))
            await wait_until(lambda: director.counters["coordinator.connects"] >= 3)
            watch.address = valid_address
            await wait_until(lambda: len(harness.coordinator.followed_from) == 2)
            director.connection_pool.servers["c1"].address = ("a..b", 80)
            status, _, _ = await harness.fetch()
            self.assertEqual(status, 503)
            self.assertEqual(director.counters["caches.connects_failed"] > 0, True)
            self.assertFalse(director.connection_pool.opener.opening)
