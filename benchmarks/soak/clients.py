"""Clients of the soak: each sends one request after another and records how it ended."""

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
from .scheduling import TimedReader, earliest_arrival_s, has_ended, open_timed_connection

OBJECT_COUNT = 120
RESPONSE_GRACE_S = 1.2  # a client waits this long after its deadline before it records a missing response
SHORT_WAITS_MS = (20.0, 150.0)
CONNECT_TIMEOUT_S = 1.0
EARLY_LEAVE_EXPONENT = 4.0  # early leavers wait their time limit times random() ** this


class ResponseParser:
    """Parses one response; `is_complete` once its end was read."""

    def __init__(self) -> None:
        self.status, self.is_complete, self.has_retry_after = 0, False, False
        self.body: list[bytes] = []
        self.received_bytes = 0
        self.says_close = False
        self.parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> int:
        """Parses bytes; returns the number of surplus bytes after a complete response."""
        self.received_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            return len(data) if self.is_complete else 0
        return 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Notes the header fields that matter."""
        name = name.lower()
        self.has_retry_after = self.has_retry_after or name == b"retry-after"
        self.says_close = self.says_close or (name == b"connection" and value.lower() == b"close")

    def on_headers_complete(self) -> None:
        """Notes the status."""
        self.status = self.parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Appends a piece of the body."""
        self.body.append(body)

    def on_message_begin(self) -> None:
        """Rejects a duplicate response.

        Raises:
            ValueError: A response was complete before.
        """
        if self.is_complete:
            raise ValueError("a duplicate response")

    def on_message_complete(self) -> None:
        """Notes that the response is complete."""
        self.is_complete = True


@dataclass
class Connection:
    """A client's connection to one process of a director."""

    director: tuple[str, int]
    reader: TimedReader
    writer: asyncio.StreamWriter
    request_count: int = 0


class Client:
    """One client; it sends requests until `is_over` returns true."""

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
        self.has_long_pauses = self.rng.random() < 0.1

    async def run(self) -> None:
        """Sends requests until the run is over, then closes its connection."""
        try:
            while not self.is_over():
                await self._send_one_request()
                await self._pause()
        finally:
            self._close_connection()

    async def _pause(self) -> None:
        pause_s = self.rng.uniform(0.5, 5.5) if self.has_long_pauses else self.rng.uniform(0.0, 0.12)
        end_s = time.monotonic() + pause_s
        while time.monotonic() < end_s and not self.is_over():
            await asyncio.sleep(min(0.1, max(0.0, end_s - time.monotonic())))

    def _close_connection(self) -> None:
        """Closes the connection at once; the transport would only do so in the next event-loop iteration."""
        if self.connection is not None:
            with contextlib.suppress(OSError):
                self.connection.writer.get_extra_info("socket").shutdown(socket.SHUT_RDWR)
            self.connection.writer.transport.abort()
            self.connection = None

    async def _connect(self) -> Connection | None:
        if self.connection is not None and not self.connection.reader.at_eof():
            return self.connection
        self._close_connection()
        admitted = [director for director in self.directors if director.gets_new_connections()]
        if not admitted:
            return None
        director = self.rng.choice(admitted)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await open_timed_connection(*director.address)
        except (TimeoutError, OSError):
            return None
        if not director.gets_new_connections():  # the front has stopped using this director in the meantime
            writer.transport.abort()
            return None
        self.connection = Connection(director.key, reader, writer)
        return self.connection

    async def _send_one_request(self) -> None:
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
            record.earliest_end_s = connection.reader.earliest_arrival_s
        if record.sent_s == 0.0:  # the request was not sent completely
            record.end = End.UNSENT
        connection.request_count += 1
        if record.end is not End.RESPONDED or self.rng.random() < 0.1:
            self._close_connection()

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
            wait_ms / 1000.0, is_first_on_connection=connection.request_count == 0,
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
        if has_ended(writer):  # a client without delays would have read the end by now
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
        parser = ResponseParser()
        timeout_s = record.wait_s + RESPONSE_GRACE_S
        leaves_early = self.rng.random() < self.plan.leaving_fraction
        if leaves_early:
            # Most clients that leave early do so while the request is in flight.
            timeout_s = record.wait_s * self.rng.random() ** EARLY_LEAVE_EXPONENT
        try:
            async with asyncio.timeout(timeout_s):
                while not parser.is_complete:
                    data = await connection.reader.read(65_536)
                    if not data:
                        break
                    record.surplus_bytes += parser.feed(data)
        except TimeoutError:
            # The response may have arrived in time, but this loop ran the timeout first.
            if not leaves_early and connection.reader.has_unread_bytes:
                record.surplus_bytes += parser.feed(await connection.reader.read(1_000_000))
            if parser.is_complete:
                return self._record_end(connection, record, parser)
            record.end = End.CLIENT_LEFT if leaves_early else End.TIMED_OUT
            no_response_until_s = earliest_arrival_s()
            self._close_connection()
            record.left_s = record.ended_s = time.monotonic()
            record.earliest_end_s = record.left_s if leaves_early else no_response_until_s
            record.received_bytes = parser.received_bytes
            return
        except ConnectionError:
            pass
        self._record_end(connection, record, parser)
        if parser.says_close and connection is self.connection:
            await self._read_surplus(connection, record)
            self._close_connection()

    def _record_end(self, connection: Connection, record: RequestRecord, parser: ResponseParser) -> None:
        """Records a complete response, or the end of the connection without one."""
        record.ended_s, record.earliest_end_s = time.monotonic(), connection.reader.earliest_arrival_s
        record.end = End.RESPONDED if parser.is_complete else End.CLOSED
        record.status, record.body, record.received_bytes = (
            parser.status,
            b"".join(parser.body),
            parser.received_bytes,
        )
        record.has_retry_after = parser.has_retry_after

    async def _read_surplus(self, connection: Connection, record: RequestRecord) -> None:
        """Reads surplus bytes after a response with `Connection: close`."""
        try:
            async with asyncio.timeout(0.05):
                record.surplus_bytes += len(await connection.reader.read(1_024))
        except (TimeoutError, ConnectionError):
            pass
