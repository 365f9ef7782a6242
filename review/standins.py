"""Stand-ins for the cases of this review: coordinator, caches, parents, origin, clients, and the director's start.

Everything listens on 127.0.0.1 at ports that the system assigns. Only the standard library is used. The world
that the stand-ins share has objects with versions: a purge makes the origin give out a new version.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import secrets
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
READY_TIMEOUT_S = 30.0
STARTED: list[asyncio.subprocess.Process] = []  # every process of this run, ended at its end at the latest
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def unix_ms() -> float:
    """The system's Unix clock in milliseconds."""
    return time.time() * 1000.0


class Record:
    """The record of a run: one line per event, written to record.txt at the end and in between."""

    def __init__(self, path: Path) -> None:
        self.path, self.began_ms = path, unix_ms()
        self._file = path.open("w", encoding="utf-8", buffering=1)

    def add(self, kind: str, **fields: Any) -> None:
        """Adds an event with the milliseconds since the start of the run."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{unix_ms() - self.began_ms:9.1f} {kind:<10} {text}\n")

    def note(self, text: str) -> None:
        """Adds a line of text, which is printed as well."""
        self._file.write(f"{unix_ms() - self.began_ms:9.1f} note       {text}\n")
        print(text, flush=True)


@dataclass(slots=True)
class Message:
    """A request or a response; header names are in lower case."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status code of a response."""
        return int(self.start.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads one HTTP/1.1 message with Content-Length, or without a body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:-2]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(head[0], headers, body)


def encode(start: str, headers: dict[str, Any], body: bytes = b"") -> bytes:
    """Encodes a message with these headers."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Coordinator:
    """Sends numbered events to each follower, and each second a line with the last number."""

    def __init__(self, record: Record) -> None:
        self.record, self.events = record, []
        self.address = ""
        self.pace_s = 0.0  # for each event that a new follower has not: how long it takes to be sent
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> Coordinator:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]
        self._task = asyncio.create_task(self._beat())
        return self

    def publish(self, **event: Any) -> None:
        """Adds an event and sends it to every follower."""
        event = {"index": len(self.events) + 1, **event}
        self.events.append(event)
        self.record.add("told", index=event["index"], event=json.dumps(event)[:300])
        for writer in self._writers:
            writer.write(json.dumps(event).encode() + b"\n")

    def publish_list(self, targets: list[dict[str, Any]], is_all: bool = False) -> None:
        """Publishes a list of servers, or a change of it."""
        self.publish(endpoints={"rev": len(self.events) + 1, "all": is_all, "targets": targets})

    def known(self) -> dict[str, Any]:
        """The events so far, as the configuration holds them."""
        return {"index": len(self.events), "updates": list(self.events)}

    async def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            for writer in list(self._writers):
                with contextlib.suppress(ConnectionError, RuntimeError):
                    writer.write(b"%d\n" % len(self.events))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            line = (await reader.readline()).split()
            sent = int(line[1])
            self.record.add("follow", after=sent, last=len(self.events), pace_s=self.pace_s)
            while sent < len(self.events):
                if self.pace_s:
                    await asyncio.sleep(self.pace_s)
                writer.write(json.dumps(self.events[sent]).encode() + b"\n")
                sent += 1
            writer.write(b"%d\n" % sent)
            self.record.add("followed", last=sent)
            self._writers.add(writer)
            await reader.read()
        except (ConnectionError, IndexError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


@dataclass(slots=True, eq=False)
class Call:
    """A request that a server stand-in has read whole."""

    message: Message
    writer: asyncio.StreamWriter
    server: Server
    read_ms: float
    reader: asyncio.StreamReader

    async def reader_end(self) -> None:
        """Answers nothing until the director closes the connection."""
        await self.reader.read()
        raise ConnectionResetError

    @property
    def headers(self) -> dict[str, str]:
        return self.message.headers

    @property
    def object(self) -> str:
        """Class, object and part, as in the path."""
        return self.message.start.split(" ")[1].removeprefix("/o/")

    @property
    def method(self) -> str:
        return self.message.start.split(" ")[0]

    async def answer(self, status: int, body: bytes = b"", **headers: Any) -> None:
        """Answers; an underscore in a header's name stands for a hyphen."""
        fields: dict[str, Any] = {name.replace("_", "-"): value for name, value in headers.items()}
        if status != 304:
            fields["Content-Length"] = len(body)
        self.server.record.add(
            "answered", server=self.server.uid, ticket=self.headers.get("x-ticket"), status=status,
            **{name.lower(): value for name, value in fields.items()},
        )  # fmt: skip
        self.writer.write(encode(f"HTTP/1.1 {status} X", fields, body))
        await self.writer.drain()


Handler = Callable[[Call], Awaitable[None]]


@dataclass(eq=False)
class Server:
    """A cache, a parent or the origin: HTTP/1.1 with one request at a time on a connection."""

    uid: str
    model: str
    zone: str
    record: Record
    handler: Handler
    capacity: float = 8.0
    state: str = "SERVING"
    boot_ms: float = 0.0
    address: str = ""
    calls: list[Call] = field(default_factory=list)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _server: asyncio.Server | None = None

    async def start(self) -> Server:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=512)
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]
        return self

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def reset_connections(self) -> None:
        """Resets every connection, as happens when the process dies."""
        self.record.add("reset", server=self.uid, connections=len(self.writers))
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            writer.transport.abort()

    def target(self, **changes: Any) -> dict[str, Any]:
        """Its entry in the coordinator's list."""
        return {
            "uid": self.uid, "endpoint": self.address, "az": self.zone, "model": self.model, "pod_group": 0,
            "state": self.state, "capacity_hint": self.capacity, "boot_ms": self.boot_ms, **changes,
        }  # fmt: skip

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                call = Call(message, writer, self, unix_ms(), reader)
                self.calls.append(call)
                self.record.add(
                    "reached", server=self.uid, request=repr(message.start), **{
                        name: value for name, value in message.headers.items() if name not in ("host",)
                    }
                )  # fmt: skip
                await self.handler(call)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


@dataclass(slots=True)
class Answer:
    """What a client got: a status, or None if the connection ended or the client stopped waiting."""

    trace: str
    sent_ms: float
    ended_ms: float
    status: int | None
    headers: dict[str, str]
    body: bytes
    why: str = ""


async def ask(
    record: Record,
    address: str,
    path: str,
    *,
    wait_ms: float,
    method: str = "GET",
    body: bytes = b"",
    leave_after_ms: float | None = None,
    **fields: Any,
) -> Answer:
    """Sends one request on a new connection; closes it when the client stops waiting."""
    trace = secrets.token_hex(8)
    headers: dict[str, Any] = {"Host": "app.svc", "Trace-Id": trace, "Max-Wait-Ms": round(wait_ms)}
    headers.update({name.replace("_", "-"): value for name, value in fields.items()})
    if method == "PUT":
        headers["Content-Length"] = len(body)
    host, _, port = address.rpartition(":")
    sent_ms = unix_ms()
    status, got, why = None, Message("", {}, b""), ""
    writer = None
    record.add("sent", trace=trace, request=f"{method} {path}", wait=round(wait_ms), **fields)
    try:
        async with asyncio.timeout((leave_after_ms or wait_ms) / 1000.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
            got = await read_message(reader)
            status = got.status
    except TimeoutError:
        why = "the client stopped waiting"
    except (OSError, asyncio.IncompleteReadError) as error:
        why = f"the connection ended without a whole answer ({type(error).__name__})"
    finally:
        if writer is not None:
            writer.transport.abort() if status is None else writer.close()
    record.add("got", trace=trace, status=status, bytes=len(got.body), why=why or "-")
    return Answer(trace, sent_ms, unix_ms(), status, got.headers, got.body, why)


@dataclass(eq=False)
class Director:
    """A director, started by `run` of the deploy file as a process of its own."""

    process: asyncio.subprocess.Process
    record: Record
    name: str
    log: list[dict[str, Any]] = field(default_factory=list)
    _reading: asyncio.Task[None] | None = None

    def event(self, name: str, after: int = 0) -> dict[str, Any] | None:
        """The first log event with this name, from the given position of the log on."""
        return next((line for line in self.log[after:] if line.get("event") == name), None)

    async def wait_event(self, name: str, after: int = 0, timeout_s: float = READY_TIMEOUT_S) -> dict[str, Any]:
        """Waits for a log event."""
        async with asyncio.timeout(timeout_s):
            while (line := self.event(name, after)) is None:
                if self.process.returncode is not None:
                    raise RuntimeError(f"the director ended with {self.process.returncode}")
                await asyncio.sleep(0.01)
        return line

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the program that `run` started."""
        self.record.add("signal", director=self.name, signal=number.name)
        self.process.send_signal(number)

    async def stop(self) -> int:
        """SIGTERM, and SIGKILL after a while."""
        if self.process.returncode is None:
            self.send(signal.SIGTERM)
            try:
                async with asyncio.timeout(8.0):
                    await self.process.wait()
            except TimeoutError:
                self.process.kill()
                await self.process.wait()
        if self._reading is not None:
            await self._reading
        return self.process.returncode or 0

    async def _read_log(self) -> None:
        assert self.process.stderr is not None
        while line := await self.process.stderr.readline():
            self.record.add("log", director=self.name, line=line.decode("utf-8", "replace").strip()[:600])
            with contextlib.suppress(ValueError):
                self.log.append(json.loads(line))


async def start_director(
    record: Record, config: Path, name: str = "d1", inherited: socket.socket | None = None, **environ: str
) -> Director:
    """Starts a director with the command of the deploy file; its private $TMPDIR is the file's folder."""
    command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    env = {key: value for key, value in os.environ.items() if not key.startswith("NODE_")}
    env |= {"NODE_NAME": name, "NODE_CONFIG": str(config), "TMPDIR": str(config.parent), **environ}
    set_fd = None
    if inherited is not None:
        env["NODE_FD"] = "3"
        number = inherited.fileno()

        def set_fd() -> None:
            os.dup2(number, 3, inheritable=True)

    process = await asyncio.create_subprocess_exec(
        "/bin/sh", "-c", command, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.DEVNULL, stderr=asyncio.subprocess.PIPE,
        close_fds=inherited is None, preexec_fn=set_fd, limit=1 << 20,
    )  # fmt: skip
    STARTED.append(process)
    director = Director(process, record, name)
    director._reading = asyncio.create_task(director._read_log())
    return director


def free_port() -> int:
    """A free port of the loopback address."""
    with socket.create_server(("127.0.0.1", 0)) as probe:
        return int(probe.getsockname()[1])


def run_case(folder: Path, case: Callable[[Record, Path, bool], Awaitable[int]], limit_s: float = 110.0) -> None:
    """Runs a case and exits with its code: 0 the rule held, 1 it was broken, 2 the case could not run."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def limited(scratch: Path) -> int:
        try:
            async with asyncio.timeout(limit_s):
                return await case(record, scratch, trouble)
        finally:
            for process in STARTED:
                if process.returncode is None:
                    process.kill()
                    await process.wait()

    try:
        with tempfile.TemporaryDirectory() as scratch:
            code = asyncio.run(limited(Path(scratch)))
    except Exception as error:  # noqa: BLE001 - whatever went wrong, the case could not run
        record.note(f"could not run: {type(error).__name__}: {error}")
        code = COULD_NOT_RUN
    record.note({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", COULD_NOT_RUN: "no verdict"}[code])
    sys.exit(code)
