"""The server side: connections to caches, parents and the origin, and the attempts that they carry."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Collection
from functools import lru_cache
from typing import Any, cast

import httptools

from .. import interface as api
from ..config import Address, Config
from ..counters import Counters
from ..deadlines import Deadlines, Key
from ..exchange import Attempt, End, Exchange, Head
from ..settings import DETAILS, read_load
from .sockets import watch

OWN_DESCRIPTORS = 48  # left to the program itself: listeners, the coordinator, logs, connects that overlap
UPSTREAM_PART = 0.6  # of the descriptors; clients hold up to a third
IDLE_PART = 0.6  # of the time after which a cache closes an idle connection: ours closes first
IDLE_SWEEP_MS = 1_000.0
PROBE_TIMEOUT_MS = 250.0
HEAD_MOST = 16 * 1024  # bytes before an answer's body, interim answers among them
OBJECT_MOST = 240_000  # bytes of an object: an answer that claims more is none
REMARKS = dict(
    zip(
        (
            b"mem", b"parent", b"origin", b"shared", b"old",
            b"denied", b"unreached", b"absent", b"crowded", b"behind",
        ),
        DETAILS[1:],
        strict=True,
    )
)  # fmt: skip


def write_request(attempt: Attempt, now_ms: float) -> bytes:
    """An attempt in the words of the caches' protocol."""
    ask, order = attempt.taken.ask, attempt.order
    lines = [
        f"{ask.method} /o/{ask.class_name}/{ask.object_name}/{ask.part} HTTP/1.1",
        "Host: app.svc",
        f"X-Ticket: {ask.trace}",
        f"X-Max-Ms: {max(1, round(attempt.deadline_ms - now_ms))}",
    ]
    if isinstance(order, api.Fetch):
        if order.source != order.server:  # the server itself as the source means no fill
            lines.append(f"Miss-To: {order.source}")
        if order.rank:
            lines.append(f"Store-As: {order.rank}")
        if order.max_age_ms > 0:
            lines.append(f"No-Older-Than: {max(1, int(order.max_age_ms))}")
        words = [
            word
            for word, on in (
                ("ride", order.join),
                ("have-only", order.held_only),
                ("through", not order.parent_keeps),
                ("update", order.renew),
            )
            if on
        ]
        if words:
            lines.append(f"Handling: {'+'.join(words)}")
    if ask.tag is not None:
        lines.append(f"Have: {ask.tag}")
    if ask.method == "PUT" or ask.body:
        lines.append(f"Content-Length: {len(ask.body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + ask.body


def read_number(text: bytes | None) -> float | None:
    try:
        return float(text) if text else None
    except ValueError:
        return None


@lru_cache(1024)  # a cache repeats its report until it makes a new one, every few hundred answers
def read_meter(text: bytes | None) -> dict[str, float] | None:
    """`inflight:7;util:0.61` under the module's names; a value that is no number is left out."""
    if not text:
        return None
    load = {}
    for field in text.decode("latin-1").split(";"):
        name, _, value = field.partition(":")
        number = read_number(value.encode())
        if number is not None:
            load[name.strip()] = number
    return read_load(load)


def read_end(status: int, headers: dict[bytes, bytes]) -> End:
    """What a whole answer of a cache says of its attempt."""
    shed = headers.get(b"x-shed") == b"1"
    if status in (200, 304):
        outcome = api.Status.OK
    elif status == 404:
        outcome = api.Status.MISS
    elif shed and status in (503, 504):
        outcome = api.Status.REFUSED if status == 503 else api.Status.NOT_SENT
    else:
        outcome = api.Status.ERROR
    note = REMARKS.get(headers.get(b"x-remark", b""), api.Note.NONE)
    return End(outcome, note, read_number(headers.get(b"fill-wait")), read_meter(headers.get(b"x-meter")))


class Probing:
    """A probe in the place of an attempt."""

    def __init__(self, done: Callable[[api.Status, float, Any], None], started_ms: float) -> None:
        self.done, self.started_ms = done, started_ms
        self.carrier: CacheConnection | Dial | None = None
        self.due: Key | None = None


class Spoilt(Exception):
    """What came cannot be a good answer, or does not belong to the one that was asked for."""


class CacheConnection(asyncio.Protocol):
    """One connection, carrying one attempt or probe at a time, or idle."""

    def __init__(self, upstream: Upstream) -> None:
        self.upstream, self.pool, self.address = upstream, upstream.pool, upstream.address
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.job: Attempt | Probing | None = None
        self.idle_until = 0.0
        self.status = self.size = 0  # bytes of the head, then of the body
        self.headed = self.passing = self.whole = self.lasts = False
        self.headers: dict[bytes, bytes] = {}
        self.begun: Head | None = None  # read, but not yet passed on; and so the bytes of its body
        self.read: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is none by inheritance
        self.unread = watch(self.transport)
        self.pool.live.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        transport, self.transport = self.transport, None
        self.pool.live.discard(self)
        if self in self.upstream.idle:
            self.upstream.idle.remove(self)
        job, self.job = self.job, None
        if job is not None:
            # What was not written whole never ran; after that it may have, whatever the connection says.
            whole = transport is not None and transport.get_write_buffer_size() == 0
            self.pool.over(job, End(api.Status.RESET if whole else api.Status.CONNECT_FAILED))
        self.pool.pump()

    def carry(self, job: Attempt | Probing, request: bytes) -> None:
        assert self.transport is not None
        self.job, self.status, self.size, self.headers = job, 0, 0, {}
        self.headed = self.passing = self.whole = self.lasts = False
        self.begun = None
        self.read.clear()
        self.transport.write(request)

    def close(self) -> None:
        """Give up what is carried, if anything, without a word."""
        self.job = None
        if self.transport is not None:
            self.transport.abort()

    def flow(self, on: bool) -> None:
        if self.transport is not None:
            if on:
                self.transport.resume_reading()
            else:
                self.transport.pause_reading()

    def is_quiet(self) -> bool:
        """Whether the other end has neither said anything since its last answer nor closed.

        Guards against bytes behind an answer that still lie unread: they would be taken for the next one's.
        """
        return self.transport is not None and not self.transport.is_closing() and not self.unread.poll(0)

    def data_received(self, data: bytes) -> None:
        if self.job is None:  # nothing was asked: no peer that keeps the protocol says anything now
            self.pool.counters.add("caches.surplus")
            return self.close()
        surplus = False
        try:
            self.parser.feed_data(data)
            if not self.headed:
                self._grow(len(data), HEAD_MOST)
        except (Spoilt, httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if isinstance(error, httptools.HttpParserCallbackError) and not isinstance(
                error.__context__, Spoilt
            ):
                raise
            surplus = self.whole
            if not surplus:
                return self._spoilt()
        if self.read or self.begun is not None:
            self._pass_on()
        if self.whole and self.job is not None:
            self._over(surplus)

    def _pass_on(self) -> None:
        """Guards against an answer that a read shows to be spoilt: of that read the client gets nothing."""
        head, self.begun = self.begun, None
        if head is not None and isinstance(self.job, Attempt):
            self.passing = self.pool.exchange.head(self.job, head)
        for body in self.read:
            if self.passing and isinstance(self.job, Attempt):  # a client that leaves ends it in between
                self.pool.exchange.body(self.job, body)
        self.read.clear()

    def _spoilt(self) -> None:
        job = self.job
        self.pool.counters.add("caches.unreadable_answer")
        self.close()
        if job is not None:
            self.pool.over(job, End(api.Status.ERROR))

    def _over(self, surplus: bool) -> None:
        """The whole read has been looked at: only now may the connection carry another job."""
        job, self.job = self.job, None
        assert job is not None
        if surplus:
            self.pool.counters.add("caches.surplus")
        if self.transport is not None and self.lasts and not surplus:
            self.transport.resume_reading()
            self.upstream.rest(self)
        else:
            self.close()
        self.pool.over(job, read_end(self.status, self.headers))

    def _grow(self, by: int, most: int) -> None:
        self.size += by
        if self.size > most:
            raise Spoilt

    # httptools' calls

    def on_message_begin(self) -> None:
        if self.whole:  # a second answer, or noise that looks like one
            raise Spoilt

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        if name == b"content-length" and name in self.headers:
            raise Spoilt
        self.headers[name] = value

    def on_headers_complete(self) -> None:
        self.status = self.parser.get_status_code()
        if self.status < 200:
            return
        length = self.headers.get(b"content-length", b"")
        known = int(length) if length.isdigit() and len(length) < 10 else None
        chunked = self.headers.get(b"transfer-encoding", b"").lower() == b"chunked"
        # Guards against an answer whose end cannot be told: before anything of it reaches the client.
        if self.status != 304 and (known is None) != chunked:
            raise Spoilt
        if known is not None and known > OBJECT_MOST:
            raise Spoilt
        self.headed, self.size = True, 0
        if self.status in (200, 304) and isinstance(self.job, Attempt):
            tag = self.headers.get(b"tag")
            self.begun = Head(self.status == 304, known, tag.decode("latin-1") if tag else None)

    def on_body(self, body: bytes) -> None:
        self.size += len(body)
        if self.size > OBJECT_MOST:
            raise Spoilt
        self.read.append(body)

    def on_message_complete(self) -> None:
        if self.status < 200:  # an interim answer: the real one follows
            self.headers = {}
        else:
            self.whole, self.lasts = True, self.parser.should_keep_alive()


class Upstream:
    """One server of the list under its lasting name; its address is only where to dial."""

    def __init__(self, pool: Caches, name: str, address: Address) -> None:
        self.pool, self.name, self.address = pool, name, address
        self.idle: list[CacheConnection] = []
        self.gone = False

    def rest(self, connection: CacheConnection) -> None:
        pool = self.pool
        if self.gone or connection.address != self.address:  # it leads to where this server was
            return connection.close()
        self.idle.append(connection)
        connection.idle_until = pool.clock() + pool.config.conn_idle_ms * IDLE_PART
        pool.pump()

    def wake(self) -> CacheConnection | None:
        """The connection that was used last, if one is idle and its other end is still quiet."""
        now = self.pool.clock()
        while self.idle:
            connection = self.idle.pop()
            if connection.idle_until >= now and connection.is_quiet():
                return connection
            connection.close()  # its other end has closed or spoken, or may be closing it just now
        return None

    def close_stale(self, now_ms: float) -> None:
        while self.idle and self.idle[0].idle_until < now_ms:
            self.idle.pop(0).close()

    def close_idle(self) -> None:
        for connection in list(self.idle):
            connection.close()
        self.idle.clear()


class Dial:
    """A job that waits for its connection."""

    def __init__(self, job: Attempt | Probing, upstream: Upstream) -> None:
        self.job, self.upstream = job, upstream
        self.task: asyncio.Task[None] | None = None
        self.due: Key | None = None


class Caches:
    """All upstream connections, within this process's part of the descriptors."""

    def __init__(
        self,
        exchange: Exchange,
        config: Config,
        clock: Callable[[], float],
        deadlines: Deadlines,
        counters: Counters,
    ) -> None:
        self.exchange, self.clock = exchange, clock
        self.deadlines, self.counters = deadlines, counters
        self.upstreams: dict[str, Upstream] = {}
        self.configure(config)
        self.live: set[CacheConnection] = set()
        self.dialling: set[Dial] = set()
        self.queue: deque[Dial] = deque()  # dials that wait until a connection may be opened

    def configure(self, config: Config) -> None:
        self.config = config
        self.most = max(8, int(config.sockets * UPSTREAM_PART) - OWN_DESCRIPTORS)

    def sweep(self) -> None:
        """Once a second: what has been idle for long closes from this side first."""
        now = self.clock()
        for upstream in self.upstreams.values():
            upstream.close_stale(now)
        self.deadlines.add(now + IDLE_SWEEP_MS, self.sweep)

    # The exchange's calls.

    def locate(self, name: str, address: Address | None) -> None:
        known = self.upstreams.get(name)
        if known is not None and known.address != address:
            known.close_idle()
        if known is None and address is not None:
            self.upstreams[name] = Upstream(self, name, address)
        elif known is not None and address is not None:
            known.address = address
        elif known is not None:
            known.gone = True  # what it still carries goes on; nothing rests there any more
            del self.upstreams[name]

    def keep_only(self, names: Collection[str]) -> None:
        for name in [name for name in self.upstreams if name not in names]:
            self.locate(name, None)

    def address(self, name: str) -> Address | None:
        return self.upstreams[name].address if name in self.upstreams else None

    def start(self, attempt: Attempt) -> None:
        self._begin(attempt, attempt.order.server)

    def stop(self, attempt: Attempt) -> None:
        self._release(attempt)

    def flow(self, attempt: Attempt, on: bool) -> None:
        if isinstance(attempt.carrier, CacheConnection):
            attempt.carrier.flow(on)

    def probe(self, name: str, done: Callable[[api.Status, float, Any], None]) -> None:
        probing = Probing(done, self.clock())
        probing.due = self.deadlines.add(probing.started_ms + PROBE_TIMEOUT_MS, lambda: self._late(probing))
        self._begin(probing, name)

    def close_idle(self, name: str) -> None:
        if name in self.upstreams:
            self.upstreams[name].close_idle()

    # Jobs and their connections.

    def over(self, job: Attempt | Probing, end: End) -> None:
        job.carrier = None
        if isinstance(job, Attempt):
            return self.exchange.ended(job, end)
        self.deadlines.drop(job.due)
        status = api.Status.ERROR if end.status is api.Status.MISS else end.status
        job.done(status, self.clock() - job.started_ms, end.load)

    def pump(self) -> None:
        """Give waiting jobs what connections there are now, first come first served."""
        while self.queue:
            dial = self.queue[0]
            connection = dial.upstream.wake()
            if connection is not None:
                self.queue.popleft()
                self.deadlines.drop(dial.due)
                self._write(connection, dial.job)
            elif len(self.live) + len(self.dialling) < self.most:
                self.queue.popleft()
                self._dial(dial)
            else:
                return self._close_an_idle_one()

    def _late(self, probing: Probing) -> None:
        self._release(probing)
        self.over(probing, End(api.Status.TIMEOUT))

    def _release(self, job: Attempt | Probing) -> None:
        carrier, job.carrier = job.carrier, None
        if isinstance(carrier, CacheConnection):
            carrier.close()
        elif isinstance(carrier, Dial):
            self._hang_up(carrier)

    def _begin(self, job: Attempt | Probing, name: str) -> None:
        upstream = self.upstreams.get(name)
        if upstream is None:
            return self.over(job, End(api.Status.CONNECT_FAILED))
        connection = upstream.wake()
        if connection is not None:
            return self._write(connection, job)
        dial = job.carrier = Dial(job, upstream)
        until = self.clock() + self.config.connect_timeout_ms
        dial.due = self.deadlines.add(until, lambda: self._no_connection(dial))
        self.queue.append(dial)
        self.pump()

    def _dial(self, dial: Dial) -> None:
        self.counters.add("caches.connects")
        self.dialling.add(dial)
        dial.task = asyncio.get_running_loop().create_task(self._connect(dial))

    async def _connect(self, dial: Dial) -> None:
        connection: CacheConnection | None = None
        upstream = dial.upstream
        try:
            # Guards against a server that was given another address while its old one was being dialled.
            while connection is None or connection.address != upstream.address:
                if connection is not None:
                    connection.close()
                _, connection = await asyncio.get_running_loop().create_connection(
                    lambda: CacheConnection(upstream), *upstream.address
                )
        except OSError:
            connection = None
        finally:
            self.dialling.discard(dial)
            self.pump()
        if dial.job.carrier is not dial:  # given up meanwhile: the connection may serve another
            if connection is not None and connection.transport is not None:
                upstream.rest(connection)
        elif connection is None or connection.transport is None:
            self._no_connection(dial)
        else:
            self.deadlines.drop(dial.due)
            self._write(connection, dial.job)

    def _no_connection(self, dial: Dial) -> None:
        """Refused, unreachable, too slow, or no descriptor left for it: nothing of the job ran."""
        queued = dial.task is None
        self.counters.add("caches.no_descriptor" if queued else "caches.connects_failed")
        self._hang_up(dial)
        self.over(dial.job, End(api.Status.NOT_SENT if queued else api.Status.CONNECT_FAILED))

    def _hang_up(self, dial: Dial) -> None:
        self.deadlines.drop(dial.due)
        if dial.task is None:
            self.queue.remove(dial)
        elif dial.task is not asyncio.current_task():
            dial.task.cancel()

    def _write(self, connection: CacheConnection, job: Attempt | Probing) -> None:
        if isinstance(job, Attempt) and not self.exchange.may_write(job):
            # Guards against a drain or purge that was told while the attempt waited for its connection.
            connection.upstream.rest(connection)
            self.counters.add("attempts.held_back")
            return self.over(job, End(api.Status.NOT_SENT))
        job.carrier = connection
        if isinstance(job, Attempt):
            self.counters.add("attempts.written")
            connection.carry(job, write_request(job, self.clock()))
        else:
            connection.carry(job, b"GET /load HTTP/1.1\r\nHost: app.svc\r\n\r\n")

    def _close_an_idle_one(self) -> None:
        """Make room for a connection elsewhere: the one that has been idle longest goes."""
        idle = [u.idle[0] for u in self.upstreams.values() if u.idle]
        if idle:
            min(idle, key=lambda c: c.idle_until).close()
