"""A scripted cache that speaks HTTP/2, in the clear or over TLS, from RFC 9113 with `h2`'s server side.

What it does with a request is its script's: it answers, refuses, resets, goes away, goes silent, lowers its
limits, or puts any frame at all on the connection. What it ran, it writes down at the moment it runs it: that
is the truth that checks compare with. `Breaker` is a script that draws such troubles from a seed.
"""

from __future__ import annotations

import asyncio
import random
import ssl
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, cast

from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.errors import ErrorCodes
from h2.events import DataReceived, RequestReceived, StreamEnded, StreamReset
from h2.exceptions import ProtocolError, TooManyStreamsError
from h2.settings import SettingCodes
from hyperframe.frame import Frame, GoAwayFrame

from .peers import target_of

GRACEFUL = 2**31 - 1  # the last stream id of a graceful end's first step (RFC 9113, 6.8)
HEAD = {"x-remark": "mem", "tag": "4be0", "made-at": "1764576000123", "x-meter": "util:0.2;x0:0.7"}


@dataclass(slots=True, eq=False)
class Asked:
    """One request as the box read it; `whole` once its last byte is here."""

    line: BoxLine
    stream: int
    method: str
    path: str
    fields: dict[str, str]
    body: bytes = b""
    whole: bool = False
    ran: bool = False
    over: bool = False

    @property
    def ticket(self) -> str:
        return self.fields.get("x-ticket", "")

    def run(self) -> None:
        """What the box is for; once for each time that a request is run."""
        self.ran = True
        if self.line.box.keeps:
            self.line.box.ran.append(self)
        self.line.highest_run = max(self.line.highest_run, self.stream)

    def answer(self, status: int = 200, body: bytes = b"", run: bool = True, **fields: str) -> None:
        """Run it, unless that has been done or the status says otherwise, and say so."""
        if run and not self.ran and status in (200, 304):
            self.run()
        self.head(status, len(body) if status != 304 else None, end=not body, **fields)
        if body:
            self.line.send(self, body, True)

    def head(self, status: int, length: int | None, end: bool = False, **fields: str) -> None:
        if self.over or self.line.closed:
            return
        told = {name.replace("_", "-"): value for name, value in fields.items()}
        head = [(":status", str(status)), *{**HEAD, **told}.items()]
        if length is not None:
            head.append(("content-length", str(length)))
        self.over = end
        self.line.engine.send_headers(self.stream, head, end_stream=end)
        self.line.flush()

    def reset(self, code: int) -> None:
        if self.over or self.line.closed:
            return
        self.over = True
        self.line.engine.reset_stream(self.stream, code)
        self.line.flush()


Script = Callable[[Asked], None]


class BoxLine(asyncio.Protocol):
    """One connection to the box."""

    def __init__(self, box: H2Box) -> None:
        self.box = box
        self.transport: asyncio.Transport | None = None
        self.engine = H2Connection(H2Configuration(client_side=False, header_encoding="utf-8"))
        self.engine.local_settings.update({SettingCodes.MAX_CONCURRENT_STREAMS: box.limit, **box.settings})
        self.engine.local_settings.acknowledge()
        self.asked: dict[int, Asked] = {}
        self.unsent: dict[int, tuple[Asked, bytes, bool]] = {}
        self.highest_run = 0
        self.silent = self.gone = False
        self.cut_after: int | None = None  # bytes more that are read before the connection breaks

    @property
    def closed(self) -> bool:
        return self.transport is None or self.transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.box.lines.append(self)
        self.box.connections += 1
        self.box.held_most = max(self.box.held_most, len(self.box.open_lines()))
        if self.box.greets:
            self.engine.initiate_connection()
            self.flush()

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self.box.lines.remove(self)

    def data_received(self, data: bytes) -> None:
        if self.silent or not self.box.greets:
            return
        if self.cut_after is not None:
            data, self.cut_after = data[: self.cut_after], self.cut_after - len(data)
        try:
            for event in self.engine.receive_data(data):
                self.heard(event)
        except TooManyStreamsError:
            self.box.over_limit += 1
        except ProtocolError as error:
            if not self.closed:
                self.box.breaches.append(repr(error))
        if self.cut_after is not None and self.cut_after <= 0:
            return self.abort()
        for asked, body, end in list(self.unsent.values()):
            self.send(asked, body, end)
        self.flush()

    def heard(self, event: object) -> None:
        match event:
            case RequestReceived():
                fields = {str(name): str(value) for name, value in event.headers or []}
                asked = Asked(self, event.stream_id or 0, fields[":method"], fields[":path"], fields)
                self.asked[asked.stream] = asked
                if self.box.keeps:
                    self.box.heard.append(asked)
                    self.box.open_most = max(self.box.open_most, self.open_count())
                if self.box.on_head is not None:
                    self.box.on_head(asked)
            case DataReceived():
                asked = self.asked[event.stream_id or 0]
                asked.body += event.data or b""
                if event.flow_controlled_length and not self.closed and not self.box.withholds:
                    self.engine.acknowledge_received_data(event.flow_controlled_length, asked.stream)
            case StreamEnded():
                asked = self.asked[event.stream_id or 0]
                asked.whole = True
                if not asked.over and not self.closed:
                    self.box.script(asked)
            case StreamReset():
                if event.stream_id in self.asked:
                    self.asked[event.stream_id].over = True
                    if not self.box.keeps:
                        del self.asked[event.stream_id]
                self.unsent.pop(event.stream_id, None)
                self.box.resets_heard += 1

    def open_count(self) -> int:
        return self.engine.open_inbound_streams

    def send(self, asked: Asked, body: bytes, end: bool) -> None:
        """A body as far as the windows allow; the rest when they open."""
        self.unsent.pop(asked.stream, None)
        while body and not asked.over and not self.closed:
            room = self.engine.local_flow_control_window(asked.stream)
            size = min(room, self.engine.max_outbound_frame_size, len(body))
            if size <= 0:
                self.unsent[asked.stream] = (asked, body, end)
                break
            last = end and size == len(body)
            asked.over = last
            if last and not self.box.keeps:
                del self.asked[asked.stream]
            self.engine.send_data(asked.stream, body[:size], end_stream=last)
            body = body[size:]
        self.flush()

    def flush(self) -> None:
        data = self.engine.data_to_send()
        if data and self.transport is not None and not self.silent:
            self.transport.write(data)

    # What a script may do with the connection.

    def goaway(self, last: int, code: int = ErrorCodes.NO_ERROR) -> None:
        """GOAWAY alone; the engine goes on, as RFC 9113, 6.8 has it."""
        self.put(GoAwayFrame(0, last_stream_id=last, error_code=code))

    def put(self, *frames: Frame) -> None:
        """Any frames, whatever the protocol says of them."""
        self.raw(b"".join(frame.serialize() for frame in frames))

    def raw(self, data: bytes) -> None:
        if not self.closed and self.transport is not None:
            self.flush()
            self.transport.write(data)

    def settings(self, **values: int) -> None:
        """New settings, by their names in `SettingCodes`."""
        if not self.closed:
            self.engine.update_settings({SettingCodes[name.upper()]: v for name, v in values.items()})
            self.flush()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()


@dataclass(slots=True, eq=False)
class H2Box:
    """A cache, parent or origin over HTTP/2 that does as its script says."""

    script: Script
    uid: str = "c1"
    model: str = "standard"
    zone: str = "edge-1"
    size: float = 1_000.0
    state: str = "SERVING"
    host: str = "127.0.0.1"
    boot_ms: float = 0.0
    limit: int = 128  # streams at a time on each connection
    settings: dict[SettingCodes | int, int] = field(default_factory=dict)
    on_head: Script | None = None  # called before a request's body has come
    keeps: bool = True  # what it heard and ran; False: for long runs that ask no questions
    greets: bool = True  # False: it accepts, and never says a word
    withholds: bool = False  # request bodies are read and no window is opened again
    tls: ssl.SSLContext | None = None
    address: str = ""
    heard: list[Asked] = field(default_factory=list)
    ran: list[Asked] = field(default_factory=list)
    lines: list[BoxLine] = field(default_factory=list)
    breaches: list[str] = field(default_factory=list)  # of the protocol, by the other side
    connections: int = 0
    held_most: int = 0  # connections at a time, those that have been told to go not counted
    open_most: int = 0  # streams at a time on one connection
    over_limit: int = 0  # streams opened over a limit that had been acknowledged
    resets_heard: int = 0
    _server: asyncio.Server | None = None

    async def start(self) -> H2Box:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: BoxLine(self), self.host, 0, ssl=self.tls)
        self.address = f"{self.host}:{self._server.sockets[0].getsockname()[1]}"
        return self

    def stop(self) -> None:
        for line in list(self.lines):
            line.abort()
        if self._server is not None:
            self._server.close()

    def target(self) -> dict[str, Any]:
        return target_of(self)

    def open_lines(self) -> list[BoxLine]:
        return [line for line in self.lines if not line.gone and not line.closed]

    def times_run(self) -> dict[str, int]:
        """How often each request was run, by its ticket."""
        times: dict[str, int] = {}
        for asked in self.ran:
            times[asked.ticket] = times.get(asked.ticket, 0) + 1
        return times


class Breaker:
    """A script that breaks connections at random, always keeping its word.

    `part` of the requests meet a trouble, drawn by `seed`; the others are answered, some after a while. A
    GOAWAY names the highest stream that was run or may yet be; a refused stream is never run.
    """

    def __init__(self, seed: int, part: float, body: bytes = b"done", later_s: float = 0.004) -> None:
        self.random = random.Random(seed)
        self.part, self.body, self.later_s = part, body, later_s
        self.met: dict[str, int] = {}
        self.shed: list[str] = []  # tickets that were answered 503 with X-Shed
        self.troubles = [
            self.drop_before, self.cut_within, self.drop_after, self.drop_within_answer, self.refuse,
            self.go_before, self.go_after, self.go_gracefully, self.lower_limit, self.shrink_windows,
            self.reset_unrun, self.reset_run, self.refuse_crowd,
        ]  # fmt: skip

    def __call__(self, asked: Asked) -> None:
        if asked.line.gone and asked.stream > asked.line.highest_run:
            return  # beyond the GOAWAY: it is never looked at
        if self.random.random() >= self.part:
            return self.answer(asked)
        trouble = self.random.choice(self.troubles)
        self.met[trouble.__name__] = self.met.get(trouble.__name__, 0) + 1
        trouble(asked)

    def answer(self, asked: Asked) -> None:
        if self.random.random() < 0.5:
            asked.answer(200, self.body)
        else:  # from here on it may be run, and a GOAWAY says so
            asked.line.highest_run = max(asked.line.highest_run, asked.stream)
            self.later(lambda: None if asked.over or asked.line.closed else asked.answer(200, self.body))

    def later(self, call: Callable[[], None]) -> None:
        asyncio.get_running_loop().call_later(self.random.random() * self.later_s, call)

    def drop_before(self, asked: Asked) -> None:
        asked.line.abort()

    def cut_within(self, asked: Asked) -> None:
        after = self.random.randrange(1, 120)
        if asked.line.cut_after is None:  # else bytes are missing already, and what follows would be noise
            asked.line.cut_after = after
        self.answer(asked)

    def drop_after(self, asked: Asked) -> None:
        asked.run()
        asked.line.abort()

    def drop_within_answer(self, asked: Asked) -> None:
        asked.run()
        asked.head(200, len(self.body) + 1)
        asked.line.send(asked, self.body, False)
        self.later(asked.line.abort)

    def refuse(self, asked: Asked) -> None:
        asked.reset(ErrorCodes.REFUSED_STREAM)

    def refuse_crowd(self, asked: Asked) -> None:
        self.shed.append(asked.ticket)
        asked.answer(503, run=False, x_shed="1")

    def go_before(self, asked: Asked) -> None:
        """This one and all above it were never looked at; what is below it goes on."""
        line = asked.line
        line.goaway(line.highest_run)
        line.gone = True

    def go_after(self, asked: Asked) -> None:
        asked.run()
        asked.line.goaway(asked.line.highest_run)
        asked.line.gone = True
        self.later(asked.line.close)

    def go_gracefully(self, asked: Asked) -> None:
        asked.line.goaway(GRACEFUL)
        self.answer(asked)

        def second() -> None:
            if not asked.line.gone:
                asked.line.goaway(asked.line.highest_run)
                asked.line.gone = True

        self.later(second)

    def lower_limit(self, asked: Asked) -> None:
        line = asked.line
        line.settings(max_concurrent_streams=self.random.choice((0, 1, 2, 5)))
        self.later(lambda: line.settings(max_concurrent_streams=line.box.limit))
        self.answer(asked)

    def shrink_windows(self, asked: Asked) -> None:
        line = asked.line
        line.settings(initial_window_size=self.random.choice((0, 1, 100)))
        self.later(lambda: line.settings(initial_window_size=65_535))
        self.answer(asked)

    def reset_unrun(self, asked: Asked) -> None:
        asked.reset(ErrorCodes.CANCEL)

    def reset_run(self, asked: Asked) -> None:
        asked.run()
        asked.reset(ErrorCodes.INTERNAL_ERROR)
