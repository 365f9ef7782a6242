"""Clients of the soak: each asks one request after another and records how it ended."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass

import httptools

from .directors import DirectorProcess
from .history import Effect, End, History, RequestRecord
from .plan import Plan, TrafficClass
from .scheduling import TimedReader, came_after_s, has_ended, open_timed_connection

OBJECT_COUNT = 120
GIVE_UP_S = 1.2  # a client waits so long past its time before it calls an answer missing
SHORT_WAITS_MS = (20.0, 150.0)
CONNECT_TIMEOUT_S = 1.0
EARLY_LEAVING = 4.0  # the exponent of the drawn part of its time after which a client goes


class AnswerParser:
    """Parses one answer; `is_whole` once its end was read."""

    def __init__(self) -> None:
        self.status, self.is_whole, self.has_retry_after = 0, False, False
        self.body: list[bytes] = []
        self.received = 0
        self.closes = False
        self.parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> int:
        """Takes bytes; returns how many lie behind the answer's end."""
        self.received += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            return len(data) if self.is_whole else 0
        return 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """A field of the head."""
        name = name.lower()
        self.has_retry_after = self.has_retry_after or name == b"retry-after"
        self.closes = self.closes or (name == b"connection" and value.lower() == b"close")

    def on_headers_complete(self) -> None:
        """The head is complete."""
        self.status = self.parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """A piece of the body."""
        self.body.append(body)

    def on_message_begin(self) -> None:
        """The first byte of an answer."""
        if self.is_whole:
            raise ValueError("a second answer")

    def on_message_complete(self) -> None:
        """The answer is whole."""
        self.is_whole = True


@dataclass
class Connection:
    """A client's connection to one process of a director."""

    director: tuple[str, int]
    reader: TimedReader
    writer: asyncio.StreamWriter
    used: int = 0


class Client:
    """One client; runs until `is_over` says so."""

    def __init__(
        self,
        number: int,
        plan: Plan,
        directors: list[DirectorProcess],
        history: History,
        is_over: Callable[[], bool],
    ) -> None:
        self.rng = random.Random(plan.seed * 10_007 + number)
        self.number, self.plan, self.directors, self.history, self.is_over = (
            number,
            plan,
            directors,
            history,
            is_over,
        )
        self.connection: Connection | None = None
        self.sent_count = 0
        self.rests_long = self.rng.random() < 0.1

    async def run(self) -> None:
        """Asks until the run is over, then closes its connection."""
        try:
            while not self.is_over():
                await self._ask_once()
                await self._rest()
        finally:
            self._drop()

    async def _rest(self) -> None:
        rest_s = self.rng.uniform(0.5, 5.5) if self.rests_long else self.rng.uniform(0.0, 0.12)
        end_s = time.monotonic() + rest_s
        while time.monotonic() < end_s and not self.is_over():
            await asyncio.sleep(min(0.1, max(0.0, end_s - time.monotonic())))

    def _drop(self) -> None:
        """Closes the connection at once: the transport alone would do so a turn of the loop later."""
        if self.connection is not None:
            with contextlib.suppress(OSError):
                self.connection.writer.get_extra_info("socket").shutdown(socket.SHUT_RDWR)
            self.connection.writer.transport.abort()
            self.connection = None

    async def _connect(self) -> Connection | None:
        if self.connection is not None and not self.connection.reader.at_eof():
            return self.connection
        self._drop()
        admitted = [director for director in self.directors if director.gets_new_connections()]
        if not admitted:
            return None
        director = self.rng.choice(admitted)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await open_timed_connection(*director.address)
        except (TimeoutError, OSError):
            return None
        if not director.gets_new_connections():  # the front has given it up in the meantime
            writer.transport.abort()
            return None
        self.connection = Connection(director.key, reader, writer)
        return self.connection

    async def _ask_once(self) -> None:
        connection = await self._connect()
        if connection is None:
            return await asyncio.sleep(0.05)
        record, data = self._make_request(connection)
        self.history.requests.append(record)
        try:
            await self._send(connection, data, record)
            await self._read(connection, record)
        except (ConnectionError, OSError):
            record.end, record.ended_s = End.CLOSED, time.monotonic()
            record.end_came_after_s = connection.reader.came_after_s
        if record.sent_s == 0.0:  # it never was taken: its last byte did not leave
            record.end = End.UNSENT
        connection.used += 1
        if record.end is not End.ANSWERED or self.rng.random() < 0.1:
            self._drop()

    def _make_request(self, connection: Connection) -> tuple[RequestRecord, bytes]:
        rng, cls = self.rng, self._draw_class()
        self.sent_count += 1
        trace_id = f"{self.number:06x}{self.sent_count:06x}{rng.getrandbits(16):04x}"
        wait_ms = cls.deadline_ms * rng.uniform(0.3, 1.0)
        if rng.random() < 0.1:
            wait_ms = min(cls.deadline_ms, rng.uniform(*SHORT_WAITS_MS))
        key = min(OBJECT_COUNT - 1, int(rng.paretovariate(0.6)) - 1)
        name, part = f"{key + 1:x}", rng.randrange(2)
        record = RequestRecord(
            trace_id, connection.director, cls.name, cls.effect, cls.window_ms / 1000.0, f"{name}/{part}",
            wait_ms / 1000.0, is_first=connection.used == 0,
        )  # fmt: skip
        return record, self._encode(cls, record, name, part, wait_ms)

    def _draw_class(self) -> TrafficClass:
        return self.rng.choices(self.plan.classes, weights=(5, 4, 2))[0]

    def _encode(
        self, cls: TrafficClass, record: RequestRecord, name: str, part: int, wait_ms: float
    ) -> bytes:
        is_write = cls.effect is not Effect.REPEATABLE
        body = b"bid " * self.rng.randrange(1, 400) if is_write else b""
        lines = [
            f"{'PUT' if is_write else 'GET'} /invoke/{cls.name}/{name}?nth={part} HTTP/1.1",
            "Host: app.svc",
            f"Trace-Id: {record.trace_id}",
            f"Max-Wait-Ms: {wait_ms:.1f}",
        ]
        if cls.effect is Effect.BY_KEY:
            lines.append(f"Replay-Key: {record.trace_id * 2}")
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    async def _send(self, connection: Connection, data: bytes, record: RequestRecord) -> None:
        writer = connection.writer
        if has_ended(writer):  # a client that is not late sees it
            raise ConnectionResetError
        record.first_byte_s = time.monotonic()
        if self.rng.random() < 0.1:  # in two pieces
            cut = self.rng.randrange(1, len(data))
            writer.write(data[:cut])
            await asyncio.sleep(self.rng.uniform(0.0, 0.03))
            data = data[cut:]
        if writer.transport.is_closing():
            raise ConnectionResetError
        writer.write(data)
        record.sent_s = time.monotonic()

    async def _read(self, connection: Connection, record: RequestRecord) -> None:
        parser = AnswerParser()
        patience_s = record.wait_s + GIVE_UP_S
        leaves = self.rng.random() < self.plan.leaving
        if leaves:
            patience_s = record.wait_s * self.rng.random() ** EARLY_LEAVING  # mostly while it is under way
        try:
            async with asyncio.timeout(patience_s):
                while not parser.is_whole:
                    data = await connection.reader.read(65_536)
                    if not data:
                        break
                    record.surplus += parser.feed(data)
        except TimeoutError:
            if not leaves and connection.reader.has_unread:  # this loop was late, not the answer
                record.surplus += parser.feed(await connection.reader.read(1_000_000))
            if parser.is_whole:
                return self._note_end(connection, record, parser)
            record.end = End.LEFT if leaves else End.SILENT
            silent_until_s = came_after_s()
            self._drop()
            record.left_s = record.ended_s = time.monotonic()
            record.end_came_after_s = record.left_s if leaves else silent_until_s
            record.received = parser.received
            return
        except ConnectionError:
            pass
        self._note_end(connection, record, parser)
        if parser.closes and connection is self.connection:
            await self._read_surplus(connection, record)
            self._drop()

    def _note_end(self, connection: Connection, record: RequestRecord, parser: AnswerParser) -> None:
        """Records a whole answer, or the connection's end without one."""
        record.ended_s, record.end_came_after_s = time.monotonic(), connection.reader.came_after_s
        record.end = End.ANSWERED if parser.is_whole else End.CLOSED
        record.status, record.body, record.received = parser.status, b"".join(parser.body), parser.received
        record.has_retry_after = parser.has_retry_after

    async def _read_surplus(self, connection: Connection, record: RequestRecord) -> None:
        """Reads what comes behind an answer that says that it is the last."""
        try:
            async with asyncio.timeout(0.05):
                record.surplus += len(await connection.reader.read(1_024))
        except (TimeoutError, ConnectionError):
            pass
