"""The platform's front: HTTP/1.1 from clients, one request at a time on each connection."""

from __future__ import annotations

import asyncio
import itertools
import math
import socket
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import cast

import httptools

from ..config import Address
from ..counters import Counters
from ..deadlines import Deadlines
from ..exchange import Ask, Exchange, Final, Head
from ..ops.readiness import Readiness
from .outside import Listener, listen_at
from .requests import REASONS, SINGLE, BadRequest, read_ask
from .sockets import watch

BODY_MOST = 64 * 1024  # a write carries at most 48,000 bytes
HEADERS_MOST = 16 * 1024
BACKLOG = 1024
WAITING_MOST = 8  # requests that a client may have sent ahead on one connection
ASK_MS = 2_000.0  # a whole request must have come this long after its connection, or its first byte
REST_MS = 4_500.0  # clients close a connection that was idle for 4 s; one that does not is closed here
LINGER_MS = 1_000.0  # how long a refused client's input is read and dropped, so that it sees the refusal
SPEAK_MS = 100.0  # a new connection has this long to speak before it may make room for another
ROOM_TRIES = 8  # connections looked at for one that may make room
SWEEP_MS = 100.0
HEALTHY, UNREADY = 200, -503  # what a health check is answered; the second is no status of bad input
SPARE_PLACES = 32  # connections over the clients' part of the descriptors, while others are on their way out


class ClientConnection(asyncio.Protocol):
    """One client's connection; it is itself the client side of the request that it has open."""

    def __init__(self, front: ClientFront) -> None:
        self.front = front
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.exchange = front.exchange  # whose the open request is
        self.waiting: deque[Ask | int] = deque()  # read, but not yet begun: an int is a status to answer
        self.number: int | None = None  # the request that is open
        self.ask: Ask | None = None
        self.chunked = self.last = self.taking = False
        self.paused = False
        self.kind: dict[ClientConnection, float] | None = None  # of the front's kinds without an open request
        self.came = False  # its transport has been made
        self.refused = self.leaving = False  # its input is dropped; it makes room for another
        self.asked = False  # a whole request has ever come
        self.partial = self.headed = False  # a request is half read; its head is whole
        self.url, self.size = b"", 0
        self.headers: dict[bytes, bytes] = {}
        self.content: list[bytes] = []

    # asyncio's calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is none by inheritance
        self.front.arrived(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self.waiting.clear()
        if self.number is not None:
            number, self.number = self.number, None
            self._release()
            self.exchange.gone(number)
        self.front.left(self)

    def data_received(self, data: bytes) -> None:
        if self.last:
            return
        in_head = self.partial and not self.headed
        try:
            self.parser.feed_data(data)
            if in_head and self.partial and not self.headed:  # none of its fields may ever end
                self._grow(len(data), HEADERS_MOST, 431)
        except BadRequest as error:
            self._refuse_input(error.status)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__ or error.__cause__
            if not isinstance(cause, BadRequest):
                raise
            self._refuse_input(cause.status)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._refuse_input(400)
        self._next()
        if self.waiting and self.transport is not None:  # guards memory: requests ahead stay with the client
            self.paused = True
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        return False  # a client that has closed its side waits for nothing

    def pause_writing(self) -> None:
        if self.number is not None:
            self.exchange.flow(self.number, False)

    def resume_writing(self) -> None:
        if self.number is not None:
            self.exchange.flow(self.number, True)

    # httptools' calls

    def on_message_begin(self) -> None:
        self.url, self.size, self.headers, self.content = b"", 0, {}, []
        self.partial, self.headed = True, False

    def on_url(self, url: bytes) -> None:
        self._grow(len(url), HEADERS_MOST, 431)
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.size += len(name) + len(value)
        if self.size > HEADERS_MOST:
            raise BadRequest(431)
        name = name.lower()
        if name in self.headers and name in SINGLE:  # which of the two counts, others may see otherwise
            raise BadRequest(400)
        self.headers[name] = value

    def on_headers_complete(self) -> None:
        self.size, self.headed = 0, True
        length, coding = self.headers.get(b"content-length"), self.headers.get(b"transfer-encoding")
        # Guards against a body whose end can be seen in two ways: it may hide another request.
        if coding is not None and (length is not None or coding.lower() != b"chunked"):
            raise BadRequest(400)
        if length is not None and (not length.isdigit() or len(length) > 15):
            raise BadRequest(400)
        self._grow(int(length or b"0"), self.front.body_most, 413)
        self.size = 0
        if self.headers.get(b"expect", b"").lower() == b"100-continue" and self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self._grow(len(body), self.front.body_most, 413)
        self.content.append(body)

    def on_message_complete(self) -> None:
        self.last, self.partial, self.asked = not self.parser.should_keep_alive(), False, True
        try:
            self.waiting.append(self._read())
        except BadRequest as error:
            self.waiting.append(error.status)
        except httptools.HttpParserError:
            self.waiting.append(400)
        if len(self.waiting) > WAITING_MOST:
            raise BadRequest(400)

    def _read(self) -> Ask | int:
        """The request that has come whole, or a status that answers it; `BadRequest` for a bad one."""
        url = httptools.parse_url(self.url)
        path, query = (url.path or b"").decode("latin-1"), (url.query or b"").decode("latin-1")
        method = self.parser.get_method().decode("latin-1")
        if path == "/_health" and method == "GET":  # the front asks for readiness: no in a drain or a stop
            return HEALTHY if self.front.readiness.ready() else UNREADY
        ask = read_ask(method, path, query, self.headers, b"".join(self.content))
        return self.front.status_of(ask) or ask

    def _grow(self, by: int, most: int, status: int) -> None:
        self.size += by
        if self.size > most:
            raise BadRequest(status)

    def _refuse_input(self, status: int) -> None:
        """What came can't be read on from here: one answer more, then the connection closes."""
        self.waiting.append(status)
        self.last = self.refused = True

    def time_up(self) -> None:
        """The request that has begun to come has not come whole in its time."""
        self._refuse_input(408)
        self._next()

    def is_quiet(self) -> bool:
        """Whether nothing that the client has sent lies unread."""
        return self.transport is None or self.transport.is_closing() or not watch(self.transport).poll(0)

    def leave(self) -> None:
        self.leaving = True
        if self.transport is not None:
            self.transport.abort()

    def _next(self) -> None:
        """Take requests in their order, one at a time."""
        if self.taking:
            return
        self.taking = True  # an answer at once comes back here
        while self.number is None and self.waiting and self.transport is not None:
            ask = self.waiting.popleft()
            if not isinstance(ask, int) and not self.front.claim(ask):
                ask = 409
            if ask == UNREADY:
                self.front.counters.add("clients.health_unready")
                self._write_status(503, ["Retry-After: 1"])
                self._after_answer()
            elif isinstance(ask, int):
                if ask != HEALTHY:
                    self.front.counters.add(f"clients.bad_input_{ask}")
                self._write_status(ask)
                self._after_answer()
            else:
                self._begin(ask)
        self.taking = False
        self.front.settle(self)

    def _begin(self, ask: Ask) -> None:
        self.ask = ask
        self.number = -1  # stands for the number until it is known: an answer may come before it
        number = self.exchange.take(ask, self)
        if self.number == -1:
            self.number = number

    def _release(self) -> None:
        ask, self.ask = self.ask, None
        if ask is not None:
            self.front.release(ask)

    # The exchange's calls

    def begin(self, head: Head) -> None:
        lines = ["HTTP/1.1 304 Not Modified" if head.unchanged else "HTTP/1.1 200 OK"]
        self.chunked = head.length is None and not head.unchanged
        if self.chunked:
            lines.append("Transfer-Encoding: chunked")
        elif not head.unchanged:
            lines.append(f"Content-Length: {head.length}")
        if head.tag is not None:
            lines.append(f'ETag: "{head.tag}"')
        self._write(self._with_close(lines))

    def body(self, data: bytes) -> None:
        self._write(b"%x\r\n%b\r\n" % (len(data), data) if self.chunked else data)

    def end(self) -> None:
        if self.chunked:
            self._write(b"0\r\n\r\n")
        self._after_answer()

    def cut(self) -> None:
        self.number = None
        self._release()
        if self.transport is not None:
            self.transport.abort()

    def finish(self, final: Final, retry_after_ms: float) -> None:
        if final is Final.REFUSED:  # whole seconds are what HTTP has; under one would read as 'at once'
            self._write_status(503, [f"Retry-After: {max(1, math.ceil(retry_after_ms / 1000.0))}"])
        else:
            self._write_status(502)
        self._after_answer()

    def _write(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.write(data)

    def _with_close(self, lines: list[str]) -> bytes:
        if self._ends_here():
            lines.append("Connection: close")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def _ends_here(self) -> bool:
        return (self.last or self.front.closing or self.front.readiness.draining) and not self.waiting

    def _write_status(self, status: int, more: list[str] | None = None) -> None:
        reason = b"OK" if status == 200 else REASONS[status]
        lines = [f"HTTP/1.1 {status} {reason.decode()}", "Content-Length: 0", *(more or ())]
        self._write(self._with_close(lines))

    def _after_answer(self) -> None:
        self.number = None
        self._release()
        if self.transport is not None and not self.waiting:
            if self.refused:
                self.front.linger(self)
            elif self._ends_here():
                self.transport.close()
            elif self.paused:
                self.paused = False
                self.transport.resume_reading()
        self._next()


def _itself(connection: ClientConnection) -> ClientConnection:
    return connection


class ClientFront:
    """Listens for clients; once `closing`, connections end with the answer they have open.

    Clients may hold their part of the descriptors. Whoever owes a request or rests has a limit of time, and
    makes room when others come: first who was refused, then who rests, then who has come and says nothing.
    """

    def __init__(
        self,
        exchange: Exchange,
        places: int,
        clock: Callable[[], float],
        deadlines: Deadlines,
        counters: Counters,
        listen: Callable[[Address, int, int | None], Listener] = listen_at,
    ) -> None:
        self.exchange, self.places, self.clock, self.listen_at = exchange, places, clock, listen
        self.deadlines, self.counters = deadlines, counters
        self.connection, self.body_most = ClientConnection, BODY_MOST
        self.connections: dict[ClientConnection, None] = {}  # in the order they came, so that runs repeat
        # Connections without an open request, each kind in the order of time since when it is so.
        self.owing: dict[ClientConnection, float] = {}
        self.resting: dict[ClientConnection, float] = {}
        self.lingering: dict[ClientConnection, float] = {}
        self.held = 0  # descriptors that clients hold, each counted once from accept to its connection's end
        self.leaving = 0  # of these, connections told to end
        self.open: dict[str, Ask] = {}  # by id: the request that came with it first
        self.closing = False
        self.readiness = Readiness(started=True)  # the director's own, once it has one
        self.address: Address = ("", 0)
        self._listener: Listener | None = None
        self._listening = False
        self._opening: dict[asyncio.Task[object], ClientConnection] = {}

    def listen(self, address: Address, inherited_fd: int | None = None) -> None:
        """Bind `address`, or take up the listener inherited as `inherited_fd`, which is never bound anew."""
        self._listener = self.listen_at(address, BACKLOG, inherited_fd)
        host, port = self._listener.getsockname()[:2]
        self.address = (host, port)
        self._resume()
        self.sweep()

    def accept(self) -> None:
        """Take every connection that waits, as long as there is room.

        Guards against the loop's own server, which takes one a turn: with hundreds of clients coming at once
        and turns of some milliseconds, a request lay unread for most of a second, past its client's patience.
        Guards, too, against taking what there is no descriptor for, which would spin: who finds no room waits
        unaccepted until somebody has left.
        """
        loop = asyncio.get_running_loop()
        while self._listener is not None:
            if self.held >= self.places + SPARE_PLACES:
                return self._pause()
            try:
                peer, _ = self._listener.accept()
            except BlockingIOError:
                return
            except OSError:  # no descriptor left, or the peer has gone: the next sweep tries again
                self.counters.add("clients.accept_failed")
                return self._pause()
            self.held += 1
            if self.held - self.leaving > self.places + SPARE_PLACES // 2:
                self._make_room()
            peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = self.connection(self)
            task = loop.create_task(loop.connect_accepted_socket(partial(_itself, connection), peer))
            self._opening[task] = connection
            task.add_done_callback(self._opened)

    def _opened(self, task: asyncio.Task[object]) -> None:
        failed = task.cancelled() or task.exception() is not None
        if not self._opening.pop(task).came and failed:  # else it is counted until it is lost
            self.held -= 1
            self._resume()

    def _make_room(self) -> None:
        """The longest idle goes; one with a request open, or lying unread, never does."""
        now = self.clock()
        for kind, patience in ((self.lingering, 0.0), (self.resting, 0.0), (self.owing, SPEAK_MS)):
            for connection, since in itertools.islice(kind.items(), ROOM_TRIES):
                if now - since >= patience and (kind is self.lingering or connection.is_quiet()):
                    self.counters.add("clients.made_room")
                    return self._end(connection)

    def _end(self, connection: ClientConnection) -> None:
        self._put(connection, None)
        if not connection.leaving:
            self.leaving += 1
            connection.leave()

    def _end_gently(self, connection: ClientConnection) -> None:
        """A close, not a reset: the client sees its connection end after the last answer it was given."""
        self._put(connection, None)
        if connection.transport is not None:
            connection.transport.close()

    def stop_taking(self) -> None:
        """No more connections are taken; the listener's other holders go on taking from its queue."""
        if self._listener is not None:
            self._pause()
            self._listener.close()
            self._listener = None

    def _pause(self) -> None:
        if self._listening and self._listener is not None:
            self._listening = False
            asyncio.get_running_loop().remove_reader(self._listener)

    def _resume(self) -> None:
        if not self._listening and self._listener is not None:
            self._listening = True
            asyncio.get_running_loop().add_reader(self._listener, self.accept)

    def sweep(self) -> None:
        """Ten times a second: who has owed a request, rested or been drained for too long."""
        now = self.clock()
        for connection in [c for c, since in self.owing.items() if now - since > ASK_MS]:
            self.counters.add("clients.asked_nothing")
            if connection.partial:
                connection.time_up()
            else:
                self._end(connection)
        for connection in [c for c, since in self.lingering.items() if now - since > LINGER_MS]:
            self._end(connection)
        for connection in [c for c, since in self.resting.items() if now - since > REST_MS]:
            if connection.is_quiet():  # else it is about to ask
                self._end(connection)
        if self.readiness.draining:
            for connection in [c for c in self.resting if self.readiness.closes_resting(now, c.is_quiet())]:
                self.counters.add("clients.drained")
                self._end_gently(connection)
        self._resume()
        self.deadlines.add(now + SWEEP_MS, self.sweep)

    # The connections' calls.

    def arrived(self, connection: ClientConnection) -> None:
        connection.came = True
        self.connections[connection] = None
        self.counters.add("clients.connected")
        self.settle(connection)

    def left(self, connection: ClientConnection) -> None:
        self.connections.pop(connection, None)
        self._put(connection, None)
        self.held -= 1
        self.leaving -= connection.leaving
        self._resume()

    def settle(self, connection: ClientConnection) -> None:
        """Note whether a connection has a request open, owes one or rests."""
        if connection.number is not None or connection.waiting:
            return self._put(connection, None)
        if connection not in self.connections or connection.refused or connection.leaving:
            return
        self._put(connection, self.owing if connection.partial or not connection.asked else self.resting)

    def linger(self, connection: ClientConnection) -> None:
        """Guards against a close over unread input, which would reset the refusal just written away."""
        self._put(connection, self.lingering)
        assert connection.transport is not None
        connection.transport.resume_reading()
        connection.transport.write_eof()

    def _put(self, connection: ClientConnection, kind: dict[ClientConnection, float] | None) -> None:
        if connection.kind is not kind:
            if connection.kind is not None:
                del connection.kind[connection]
            connection.kind = kind
            if kind is not None:
                kind[connection] = self.clock()

    def status_of(self, ask: Ask) -> int | None:
        """What a request is answered that no cache could use: it is not passed on."""
        cls = self.exchange.core.classes.get(ask.class_name)
        if cls is None:
            return 404
        return 405 if cls.write and ask.method != "PUT" else None

    def claim(self, ask: Ask) -> bool:
        """Guards against the id of an open request with another object: caches know a request by its id."""
        held = self.open.setdefault(ask.trace, ask)
        return held is ask or (held.object_name, held.part) == (ask.object_name, ask.part)

    def release(self, ask: Ask) -> None:
        if self.open.get(ask.trace) is ask:
            del self.open[ask.trace]

    def close(self) -> None:
        self.closing = True
        self.stop_taking()
        for connection in list(self.connections):
            if connection.number is None and not connection.waiting and connection.transport is not None:
                connection.transport.close()
