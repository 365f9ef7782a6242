"""The control socket: views, noise, and a command line that says in one line why there is no answer."""

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


async def answer(heard: ReceivedRequest) -> None:
    await heard.answer(200, X_Meter="util:0.1")


class Socket(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.path = self.folder / "c.sock"

    async def ask(self, *words: object, **given: object) -> object:
        return await asyncio.to_thread(lambda: query_director(self.path, *words, **given))  # type: ignore[arg-type]

    async def start(self) -> ControlServer:
        control = ControlServer(self.path, Counters())
        await control.listen()
        self.addCleanup(control.close)
        return control

    async def test_views_answer_and_what_cannot_be_answered_says_why(self) -> None:
        control = await self.start()

        def refuse(given: object) -> object:
            raise UnsupportedQueryError("no such box: c9")

        control.handlers |= {"echo": lambda given: given, "refuse": refuse}
        self.assertEqual(stat.S_IMODE(self.path.stat().st_mode), 0o600)
        self.assertEqual(await self.ask("echo", box="c1"), {"box": "c1"})
        self.assertEqual(await self.ask("views"), ["echo", "refuse", "views"])
        for view, why in (("refuse", "no such box: c9"), ("nothing", "no view 'nothing'")):
            with self.assertRaises(ControlError) as caught:
                await self.ask(view)
            self.assertIn(why, str(caught.exception))
            self.assertEqual(caught.exception.exit_code, QueryRejectedError.exit_code)

    async def test_noise_is_answered_by_one_line_and_too_much_of_it_by_a_close(self) -> None:
        control = await self.start()
        reader, writer = await asyncio.open_unix_connection(self.path)
        for line, why in ((b"noise\n", "no question"), (b'{"v":2,"ask":"views"}\n', "version 2")):
            writer.write(line)
            self.assertIn(why, json.loads(await reader.readline())["error"])
        writer.write(b"x" * 200_000)
        self.assertEqual(await reader.read(), b"")
        self.assertEqual(control.counters["control.malformed"], 1)
        await wait_until(lambda: not control.connections)

    async def test_each_way_to_have_no_answer_has_its_code(self) -> None:
        def code(wait_s: float = 3.0) -> int:
            try:
                query_director(self.path, "views", wait_s)
            except ControlError as error:
                return error.exit_code
            return 0

        self.assertEqual(code(), DirectorNotRunningError.exit_code)
        with socket.socket(socket.AF_UNIX) as silent:
            silent.bind(str(self.path))
            self.assertEqual(code(), DirectorNotRunningError.exit_code)  # left behind by one that was killed
            silent.listen()
            self.assertEqual(code(0.05), DirectorTimeoutError.exit_code)
            for said in (b"220 hello\n", b'{"v":7,"data":1}\n', b""):

                def speak(said: bytes = said) -> None:
                    connection, _ = silent.accept()
                    with connection:
                        connection.recv(1_000)
                        connection.sendall(said)

                silent.accept()[0].close() if said == b"220 hello\n" else None  # the one that gave up
                thread = threading.Thread(target=speak)
                thread.start()
                self.assertEqual(
                    code(), (VersionMismatchError if said else DirectorNotRunningError).exit_code
                )
                thread.join()
            with self.assertRaisesRegex(ConfigError, r"control\.socket: another director listens"):
                check_socket_path(self.path)
        check_socket_path(self.path)
        for bad, why in ((self.folder / ("x" * 120), "bytes"), (self.folder / "no" / "c", "no such folder")):
            with self.assertRaisesRegex(ConfigError, why):
                check_socket_path(bad)
        (self.folder / "file").write_text("mine")
        with self.assertRaisesRegex(ConfigError, "no socket"):
            check_socket_path(self.folder / "file")


class Members(unittest.IsolatedAsyncioTestCase):
    async def test_gladewalk_members_shows_a_running_director(self) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        (folder / "keys").write_text("ab" * 32)
        os.chmod(folder / "keys", 0o600)
        text = '[control]\nsocket = "c.sock"\n[members]\nlisten = "127.0.0.1:0"\nkeys = "keys"\n'
        (folder / "g.toml").write_text(text)
        tables = read_option_tables({
            "control": {"socket": "c.sock"}, "members": {"listen": "127.0.0.1:0", "keys": "keys"},
        })  # fmt: skip
        boxes = [ScriptedServer(answer, f"c{n}") for n in range(3)]
        async with DirectorHarness(boxes, options=build_options(tables, "t", folder)) as world:
            director = world.director
            assert director is not None and director.task_runner is not None and director.members is not None
            duties = director.task_runner
            await wait_until(lambda: len(duties.owned_tasks()) == 3)

            def run(*words: str) -> tuple[int, str]:
                told = ["members", "--config", str(folder / "g.toml"), *words]
                result = CliRunner().invoke(gladewalk, told)
                return result.exit_code, result.output

            code, text = await asyncio.to_thread(run, "--json")
            told = json.loads(text)
            self.assertEqual((code, told["name"], told["active"]), (0, "n1", True))
            self.assertEqual([row["duties"] for row in told["members"]], [3])
            self.assertEqual([row["duty"] for row in told["owned"]], ["load/c0", "load/c1", "load/c2"])
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
