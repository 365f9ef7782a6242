"""Stand-ins, processes and the record for the cases 6 to 10; standard library and the project's settings.

A case is a coroutine that gets a `Stage` and returns the violations that it saw. `main` runs it within its time,
writes `record.txt` beside the case, ends every process that was started and exits with 0 (the rule held), 1 (it was
broken) or 2 (the case could not run).
"""

from __future__ import annotations

import asyncio
import copy
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from gladewalk.rehearsal.director_harness import SETTINGS  # noqa: E402

HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MAX_CASE_S = 110.0
HEARTBEAT_S = 1.0  # the coordinator sends the number of its last event each second

RESERVED_FD = 9  # a shell may know descriptors of one digit alone
with open(os.devnull) as null:
    os.dup2(null.fileno(), RESERVED_FD)


class CannotRunError(Exception):
    """The case could not be run; its text says why."""


def unix_ms() -> int:
    return int(time.time() * 1000)


def free_port() -> int:
    """Returns a port of loopback that nobody listens at."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


def settings(**changes: Any) -> dict[str, Any]:
    """Returns the settings of a small deployment; `changes` replaces keys of the top."""
    return copy.deepcopy(SETTINGS) | changes


def deploy_command(name: str) -> str:
    """Returns a command of the deploy file."""
    return str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())[name])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Reads the first line and the fields of a message; names in lower case."""
    raw = await reader.readuntil(b"\r\n\r\n")
    first, *lines = raw.decode("latin-1").split("\r\n")
    fields = dict(line.split(": ", 1) for line in lines if ": " in line)
    return first, {name.lower(): value for name, value in fields.items()}


class Stage:
    """One run: its folder, its record, its processes."""

    def __init__(self, record: Path, folder: Path) -> None:
        self.folder, self._record = folder, record.open("w")
        self.start_s = time.monotonic()
        self.processes: list[subprocess.Popen[bytes]] = []

    def note(self, text: str) -> None:
        """Adds a line to the record, with the seconds since the start."""
        self._record.write(f"{time.monotonic() - self.start_s:8.3f} {text}\n")
        self._record.flush()

    def write(self, name: str, text: str) -> Path:
        """Writes a file of the case's folder."""
        path = self.folder / name
        path.write_text(text)
        return path

    def start_director(
        self,
        config: dict[str, Any],
        name: str = "d1",
        arguments: str = "",
        inherited: socket.socket | None = None,
        **environ: str,
    ) -> subprocess.Popen[bytes]:
        """Starts a director by the deploy file's `run`; `arguments` turn on what is off on the platform.

        `inherited` is the clients' listening socket that the platform holds: the process has it as descriptor 3.
        """
        path = self.write(f"{name}.json", json.dumps(config))
        scratch = self.folder / f"tmp-{name}"
        scratch.mkdir(exist_ok=True)
        variables = {
            **os.environ, "NODE_NAME": config["name"], "NODE_LISTEN": config["listen"],
            "NODE_CONFIG": str(path), "TMPDIR": str(scratch), **environ,
        }  # fmt: skip
        log = (self.folder / f"{name}.log").open("ab")
        command = f"{deploy_command('run')} {arguments}".strip()
        passed: tuple[int, ...] = ()
        if inherited is not None:
            os.dup2(inherited.fileno(), RESERVED_FD)
            variables["NODE_FD"], passed = "3", (RESERVED_FD,)
            command = f"exec 3<&{RESERVED_FD} {RESERVED_FD}<&-; {command}"
        process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, env=variables, stdout=log, stderr=log, pass_fds=passed
        )
        self.processes.append(process)
        self.note(f"process {process.pid}: {command}")
        return process

    async def until(self, what: str, holds: Callable[[], Awaitable[bool]], limit_s: float = 25.0) -> None:
        """Waits until a condition holds; the case cannot run without it."""
        end_s = time.monotonic() + limit_s
        while not await holds():
            if time.monotonic() > end_s:
                raise CannotRunError(f"not in {limit_s:g} s: {what}")
            await asyncio.sleep(0.05)
        self.note(f"held: {what}")

    async def until_ready(self, config: dict[str, Any]) -> None:
        """Waits as the front does: until `GET /_health` is answered with 200."""

        async def is_ready() -> bool:
            return (await exchange(config["listen"], "GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n", 1.0))[0] == 200

        await self.until("the director is ready", is_ready)

    def end(self) -> None:
        """Ends every process that was started."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait(10)
        for log in sorted(self.folder.glob("*.log")):
            for line in log.read_text(errors="replace").splitlines()[-40:]:
                self._record.write(f"   {log.name}: {line[:600].replace(str(ROOT), '.')}\n")
        self._record.close()


async def exchange(address: str, message: str | bytes, limit_s: float) -> tuple[int, dict[str, str], bytes, str]:
    """Sends a request on a new connection: status, fields, body, and how it ended.

    The status is 0 if there was no whole answer; the last part then says why.
    """
    host, port = address.rsplit(":", 1)
    writer = None
    status, fields, body = 0, {}, b""
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(message.encode("latin-1") if isinstance(message, str) else message)
            first, fields = await read_head(reader)
            body = await reader.readexactly(int(fields.get("content-length", "0")))
            status = int(first.split(" ")[1])
            return status, fields, body, "answered"
    except TimeoutError:
        return 0, fields, body, f"no whole answer in {limit_s:g} s"
    except asyncio.IncompleteReadError as error:
        return 0, fields, error.partial, "the connection ended without a whole answer"
    except OSError as error:
        return 0, fields, body, f"the connection failed: {error.strerror or error}"
    finally:
        if writer is not None:
            writer.transport.abort()


class Coordinator:
    """The coordinator of one start of a director: events from 1, and each second the last number."""

    def __init__(self, stage: Stage) -> None:
        self.stage, self.events = stage, list[dict[str, Any]]()
        self.address = ""
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._news = asyncio.Event()

    async def start(self) -> Coordinator:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"
        return self

    def publish(self, **event: Any) -> None:
        """Adds an event and sends it to every follower."""
        self.events.append({"index": len(self.events) + 1, **event})
        self.stage.note(f"event {json.dumps(self.events[-1])}")
        news, self._news = self._news, asyncio.Event()
        news.set()

    def publish_list(self, *targets: dict[str, Any], whole: bool = False) -> None:
        """Publishes the list, or a change of it."""
        self.publish(endpoints={"rev": len(self.events) + 1, "all": whole, "targets": list(targets)})

    def known(self) -> dict[str, Any]:
        return {"index": len(self.events), "updates": copy.deepcopy(self.events)}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            last = int((await reader.readline()).split()[1])
            self.stage.note(f"follow {last}")
            beat_s = time.monotonic() + HEARTBEAT_S
            while True:
                for event in self.events[last:]:
                    writer.write(json.dumps(event).encode() + b"\n")
                last = max(last, len(self.events))
                try:
                    async with asyncio.timeout(max(0.0, beat_s - time.monotonic())):
                        await self._news.wait()
                except TimeoutError:
                    writer.write(b'{"index":%d}\n' % len(self.events))
                    beat_s += HEARTBEAT_S
                await writer.drain()
        except (OSError, IndexError, ValueError):
            pass
        finally:
            writer.close()

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()


class Cache:
    """A sound cache, parent or origin: has every object, answers at once, and notes what it gets."""

    def __init__(self, stage: Stage, uid: str, model: str = "standard", zone: str = "edge-1") -> None:
        self.stage, self.uid, self.model, self.zone = stage, uid, model, zone
        self.address, self.received = "", list[tuple[float, str]]()
        self.hangs = False  # it takes requests and answers none
        self._server: asyncio.Server | None = None

    async def start(self) -> Cache:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"
        return self

    def target(self, state: str = "SERVING", **changes: Any) -> dict[str, Any]:
        return {
            "uid": self.uid, "endpoint": self.address, "az": self.zone, "model": self.model, "pod_group": 0,
            "state": state, "capacity_hint": 8, "boot_ms": 0, **changes,
        }  # fmt: skip

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, fields = await read_head(reader)
                await reader.readexactly(int(fields.get("content-length", "0")))
                self.received.append((time.monotonic(), first))
                self.stage.note(f"{self.uid} got {first} {fields.get('x-ticket', '')}")
                if self.hangs:
                    await reader.read()
                    return
                await self.answer(first, fields, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, first: str, fields: dict[str, str], writer: asyncio.StreamWriter) -> None:
        body = f"{first.split(' ')[1]}".encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\nTag: {abs(hash(body)):016x}\r\n"
        writer.write(f"{head}Made-At: {unix_ms()}\r\nX-Remark: mem\r\n\r\n".encode() + body)
        await writer.drain()


def director_config(coordinator: Coordinator, **changes: Any) -> dict[str, Any]:
    """Returns a director's platform configuration."""
    return {
        "name": "d1", "listen": f"{HOST}:{free_port()}", "seed": "1f", "flow_bytes_per_s": 310000,
        "link_bytes_per_s": 1240000, "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "coordinator": coordinator.address, "settings": settings(), "known": coordinator.known(), **changes,
    }  # fmt: skip


def client_request(name: str, key: int, part: int = 0, max_wait_ms: int = 3000, trace_id: int | None = None) -> str:
    """Returns a client's read of a part of an object."""
    ticket = int.from_bytes(os.urandom(8)) if trace_id is None else trace_id
    return (
        f"GET /invoke/{name}/{key:016x}?nth={part} HTTP/1.1\r\nHost: app.svc\r\nTrace-Id: {ticket:016x}\r\n"
        f"Max-Wait-Ms: {max_wait_ms}\r\nX-Batch: {key % 256}\r\n\r\n"
    )


def import_site(stage: Stage, text: str, name: str = "site") -> str:
    """Writes nginx's file, imports it as an operator does, and returns the table's file name."""
    source = stage.write(f"{name}.conf", text)
    done = subprocess.run(
        [".venv/bin/python", "-m", "gladewalk", "import", str(source)], cwd=ROOT, capture_output=True, check=False
    )
    if done.returncode:
        raise CannotRunError(f"import: {done.stderr.decode()}")
    stage.write(f"{name}.toml", done.stdout.decode())
    return f"{name}.toml"


def main(case: Callable[[Stage], Awaitable[list[str]]], place: str) -> None:
    """Runs a case and exits with its result."""

    async def bounded() -> list[str]:
        async with asyncio.timeout(MAX_CASE_S):
            return await case(stage)

    code = 2
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        stage = Stage(Path(place).resolve().parent / "record.txt", Path(folder))
        stage.note(f"trouble {'on' if TROUBLE else 'off'}")
        try:
            broken = asyncio.run(bounded())
            for line in broken:
                stage.note(f"BROKEN {line}")
            print("\n".join(broken) or "the rule held")
            code = 1 if broken else 0
        except CannotRunError as error:
            print(f"could not run: {error}")
        except Exception:
            traceback.print_exc()
        finally:
            stage.note(f"exit {code}")
            stage.end()
    sys.exit(code)
