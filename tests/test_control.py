"""The control socket: queries, malformed requests, and one-line errors of commands without a response."""

import asyncio
import json
import os
import socket
import stat
import tempfile
import threading
import unittest
from pathlib import Path

from click.testing import CliRunner

from gladewalk.cli.commands import gladewalk
from gladewalk.config.options import build_options, read_option_tables
from gladewalk.config.platform import ConfigError
from gladewalk.control.client import (
    ControlError,
    DirectorNotRunningError,
    DirectorTimeoutError,
    QueryRejectedError,
    VersionMismatchError,
    query_director,
)
from gladewalk.control.server import ControlServer, UnsupportedQueryError, check_socket_path
from gladewalk.core.counters import Counters
from gladewalk.rehearsal.director_harness import DirectorHarness, wait_until
from gladewalk.rehearsal.scripted_servers import ReceivedRequest, ScriptedServer


async def report_load(request: ReceivedRequest) -> None:
    await request.respond(200, X_Meter="util:0.1")


class ControlSocket(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.path = self.folder / "c.sock"

    async def query(self, *names: object, **arguments: object) -> object:
        return await asyncio.to_thread(lambda: query_director(self.path, *names, **arguments))  # type: ignore[arg-type]

    async def start(self) -> ControlServer:
        control = ControlServer(self.path, Counters())
        await control.listen()
        self.addCleanup(control.close)
        return control

    async def test_queries_return_data_or_an_error_that_gives_the_reason(self) -> None:
        control = await self.start()

        def reject(arguments: object) -> object:
            raise UnsupportedQueryError("no such cache: c9")

        control.handlers |= {"echo": lambda arguments: arguments, "refuse": reject}
        self.assertEqual(stat.S_IMODE(self.path.stat().st_mode), 0o600)
        self.assertEqual(await self.query("echo", cache="c1"), {"cache": "c1"})
        self.assertEqual(await self.query("views"), ["echo", "refuse", "views"])
        for name, reason in (("refuse", "no such cache: c9"), ("nothing", "no view 'nothing'")):
            with self.assertRaises(ControlError) as caught:
                await self.query(name)
            self.assertIn(reason, str(caught.exception))
            self.assertEqual(caught.exception.exit_code, QueryRejectedError.exit_code)

    async def test_malformed_lines_get_an_error_and_overlong_lines_close_the_connection(self) -> None:
        control = await self.start()
        reader, writer = await asyncio.open_unix_connection(self.path)
        for line, reason in ((b"noise\n", "no question"), (b'{"v":2,"ask":"views"}\n', "version 2")):
            writer.write(line)
            self.assertIn(reason, json.loads(await reader.readline())["error"])
        writer.write(b"x" * 200_000)
        self.assertEqual(await reader.read(), b"")
        self.assertEqual(control.counters["control.malformed"], 1)
        await wait_until(lambda: not control.connections)

    async def test_each_kind_of_failed_query_has_its_exit_code(self) -> None:
        def get_exit_code(timeout_s: float = 3.0) -> int:
            try:
                query_director(self.path, "views", timeout_s)
            except ControlError as error:
                return error.exit_code
            return 0

        self.assertEqual(get_exit_code(), DirectorNotRunningError.exit_code)
        with socket.socket(socket.AF_UNIX) as listener:
            listener.bind(str(self.path))
            self.assertEqual(
                get_exit_code(), DirectorNotRunningError.exit_code
            )  # as left by a killed process
            listener.listen()
            self.assertEqual(get_exit_code(0.05), DirectorTimeoutError.exit_code)
            for response in (b"220 hello\n", b'{"v":7,"data":1}\n', b""):

                def send_response(response: bytes = response) -> None:
                    connection, _ = listener.accept()
                    with connection:
                        connection.recv(1_000)
                        connection.sendall(response)

                # The first connection in the queue is that of the query that timed out.
                listener.accept()[0].close() if response == b"220 hello\n" else None
                thread = threading.Thread(target=send_response)
                thread.start()
                self.assertEqual(
                    get_exit_code(), (VersionMismatchError if response else DirectorNotRunningError).exit_code
                )
                thread.join()
            with self.assertRaisesRegex(ConfigError, r"control\.socket: another director listens"):
                check_socket_path(self.path)
        check_socket_path(self.path)
        for invalid, reason in (
            (self.folder / ("x" * 120), "bytes"),
            (self.folder / "no" / "c", "no such folder"),
        ):
            with self.assertRaisesRegex(ConfigError, reason):
                check_socket_path(invalid)
        (self.folder / "file").write_text("mine")
        with self.assertRaisesRegex(ConfigError, "no socket"):
            check_socket_path(self.folder / "file")


class MembersCommand(unittest.IsolatedAsyncioTestCase):
    async def test_members_command_shows_a_running_director(self) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        (folder / "keys").write_text("ab" * 32)
        os.chmod(folder / "keys", 0o600)
        text = '[control]\nsocket = "c.sock"\n[members]\nlisten = "127.0.0.1:0"\nkeys = "keys"\n'
        (folder / "g.toml").write_text(text)
        tables = read_option_tables({
            "control": {"socket": "c.sock"}, "members": {"listen": "127.0.0.1:0", "keys": "keys"},
        })  # fmt: skip
        caches = [ScriptedServer(report_load, f"c{n}") for n in range(3)]
        async with DirectorHarness(caches, options=build_options(tables, "t", folder)) as harness:
            director = harness.director
            assert director is not None and director.task_runner is not None and director.members is not None
            task_runner = director.task_runner
            await wait_until(lambda: len(task_runner.owned_tasks()) == 3)

            def run(*flags: str) -> tuple[int, str]:
                command_line = ["members", "--config", str(folder / "g.toml"), *flags]
                result = CliRunner().invoke(gladewalk, command_line)
                return result.exit_code, result.output

            code, text = await asyncio.to_thread(run, "--json")
            status = json.loads(text)
            self.assertEqual((code, status["name"], status["active"]), (0, "n1", True))
            self.assertEqual([row["duties"] for row in status["members"]], [3])
            self.assertEqual([row["duty"] for row in status["owned"]], ["load/c0", "load/c1", "load/c2"])
            code, text = await asyncio.to_thread(run)
            self.assertEqual(code, 0)
            self.assertIn("members, as n1 sees them", text)
            self.assertIn("held here: 3", text)
            director.members.leave()
            assert director.control is not None
            director.control.close()
            code, text = await asyncio.to_thread(run)
            self.assertEqual(code, DirectorNotRunningError.exit_code)
            self.assertIn("no director listens there", text)
