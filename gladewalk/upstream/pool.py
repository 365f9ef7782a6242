"""The pool: every connection to caches, parents and the origin, within our part of the descriptors.

A server is spoken to over HTTP/1.1, one job at a time on a connection, or has a `Lane` of shared connections.
Which it is, `Negotiation` says; both are dialled here, so that one budget holds for all.
"""

from __future__ import annotations

import asyncio
import ssl
from collections import deque
from collections.abc import Callable, Collection
from typing import TYPE_CHECKING, Any

from .. import interface as api
from ..config.platform import Address, PlatformConfig
from ..core.counters import Counters
from ..core.deadlines import Deadlines
from ..core.exchange import Attempt, AttemptResult, Exchange
from .http1 import CacheConnection
from .protocol_fields import PROBE_PATH
from .upstream_server import IDLE_PART, Dial, LaneDial, Upstream
from .work_items import Job, Probing

if TYPE_CHECKING:  # what is off is not imported
    from ..streams.stream_tracker import Finding
    from .connection_factory import Shapes
    from .connection_group import Lane
    from .http2 import Http2Connection

OWN_DESCRIPTORS = 48  # left to the program itself: listeners, the coordinator, logs, connects that overlap
UPSTREAM_PART = 0.6  # of the descriptors; clients hold up to a third
IDLE_SWEEP_MS = 1_000.0
LANE_SWEEP_MS = 100.0  # while there are shared connections: so exact are the times for a silent one
PROBE_TIMEOUT_MS = 250.0


class Caches:
    """All upstream connections."""

    def __init__(
        self,
        exchange: Exchange,
        config: PlatformConfig,
        clock: Callable[[], float],
        deadlines: Deadlines,
        counters: Counters,
        shapes: Shapes | None = None,
    ) -> None:
        self.exchange, self.clock = exchange, clock
        self.deadlines, self.counters = deadlines, counters
        self.shapes = shapes  # None: HTTP/1.1 in the clear for all
        self.upstreams: dict[str, Upstream] = {}
        self.configure(config)
        self.live: set[CacheConnection | Http2Connection] = set()
        self.dialling: set[Dial | LaneDial] = set()
        self.queue: deque[Dial | LaneDial] = deque()  # until a connection may be opened
        self.lanes: list[Lane] = []  # of servers spoken to over HTTP/2, or that were until lately
        self.closing = False  # nothing new comes: it ends with its last request
        self.connection: type[CacheConnection] = CacheConnection  # what speaks HTTP/1.1 to a server
        self.witness: Callable[[Attempt, Finding], None] | None = None  # hears each verdict of a ledger

    def configure(self, config: PlatformConfig) -> None:
        self.config = config
        # Guards against two processes of a hand-over that hold more than the limit together, which is one
        # director's: who has its listener from the platform may at any time be one of two.
        sharers = 1 if config.inherited_fd is None else 2
        self.most = max(8, (int(config.max_descriptors * UPSTREAM_PART) - OWN_DESCRIPTORS) // sharers)

    def shape(self, shapes: Shapes | None) -> None:
        """Other terms for protocols: what is open goes on under the old ones and takes nothing new."""
        self.shapes = shapes
        for upstream in self.upstreams.values():
            self._reshape(upstream)
            if upstream.lane is not None:  # other certificates may be in force: what is open is replaced
                upstream.lane.close_idle()

    def sweep(self) -> None:
        """Once a second: what has been idle for long closes from this side first."""
        now = self.clock()
        if self.closing and not self.exchange.open_requests:
            return self.keep_only(())
        idle_ms = self.config.idle_timeout_ms * IDLE_PART
        for upstream in self.upstreams.values():
            upstream.close_stale(now)
        for lane in list(self.lanes):
            lane.sweep(now, idle_ms)
            if lane.upstream.lane is not lane and not lane.connections and not lane.greeting:
                self.lanes.remove(lane)
        self.deadlines.add(now + (LANE_SWEEP_MS if self.lanes else IDLE_SWEEP_MS), self.sweep)

    # The exchange's calls.

    def set_address(self, name: str, address: Address | None, model: str = "") -> None:
        known = self.upstreams.get(name)
        if known is not None and known.address != address:
            known.close_idle()
            if self.shapes is not None:
                self.shapes.negotiation.forget(name)
        if known is None and address is not None:
            known = self.upstreams[name] = Upstream(self, name, address)
        elif known is not None and address is not None:
            known.address = address
        elif known is not None:
            known.gone = True  # what it still carries goes on; nothing rests there any more
            del self.upstreams[name]
        if known is not None and model:
            known.model = model

    def keep_only(self, names: Collection[str]) -> None:
        for name in [name for name in self.upstreams if name not in names]:
            self.set_address(name, None)

    def address(self, name: str) -> Address | None:
        return self.upstreams[name].address if name in self.upstreams else None

    def start(self, attempt: Attempt) -> None:
        self._begin(attempt, attempt.order.server)

    def cancel(self, attempt: Attempt) -> None:
        self._release(attempt)

    def flow(self, attempt: Attempt, on: bool) -> None:
        if attempt.carrier is not None:
            attempt.carrier.flow(attempt, on)

    def probe(
        self, name: str, done: Callable[[api.Status, float, Any], None], path: str = PROBE_PATH
    ) -> None:
        probing = Probing(done, self.clock(), path)
        probing.due = self.deadlines.add(probing.started_ms + PROBE_TIMEOUT_MS, lambda: self._late(probing))
        self._begin(probing, name)

    def close_idle(self, name: str) -> None:
        if name in self.upstreams:
            self.upstreams[name].close_idle()

    # Jobs and their connections.

    def over(self, job: Job, end: AttemptResult) -> None:
        job.carrier = None
        if isinstance(job, Attempt):
            return self.exchange.attempt_ended(job, end)
        self.deadlines.drop(job.due)
        status = api.Status.ERROR if end.status is api.Status.MISS else end.status
        job.done(status, self.clock() - job.started_ms, end.load_report)

    def pump(self) -> None:
        """Give waiting jobs what connections there are now, first come first served."""
        while self.queue:
            dial = self.queue[0]
            connection = dial.upstream.wake() if isinstance(dial, Dial) else None
            if connection is not None and isinstance(dial, Dial):
                self.write(connection, self.hang_up(dial).job)
            elif len(self.live) + len(self.dialling) < self.most:
                self.queue.popleft()
                self._dial(dial)
            else:
                return self._close_an_idle_one()

    def wait_for(self, job: Job, upstream: Upstream, queue: deque[Any]) -> Dial:
        """A job that waits in a queue until it has a connection, or until the time for one is up."""
        dial = job.carrier = Dial(self, job, upstream, queue)
        until = self.clock() + self.config.connect_timeout_ms
        dial.due = self.deadlines.add(until, lambda: self.no_connection(dial))
        return dial

    def open_for(self, lane: Lane) -> None:
        """Open a connection for a lane, as soon as there is a descriptor for it."""
        self.queue.append(LaneDial(lane))
        self.pump()

    def _late(self, probing: Probing) -> None:
        self._release(probing)
        self.over(probing, AttemptResult(api.Status.TIMEOUT))

    def _release(self, job: Job) -> None:
        carrier, job.carrier = job.carrier, None
        if carrier is not None:
            carrier.drop(job)

    def _begin(self, job: Job, name: str) -> None:
        upstream = self.upstreams.get(name)
        if upstream is None:
            return self.over(job, AttemptResult(api.Status.CONNECT_FAILED))
        if self.shapes is not None:
            self._reshape(upstream)
            if upstream.lane is not None:
                return upstream.lane.begin(job)
        connection = upstream.wake()
        if connection is not None:
            return self.write(connection, job)
        self.queue.append(self.wait_for(job, upstream, self.queue))
        self.pump()

    def _dial(self, dial: Dial | LaneDial) -> None:
        self.counters.add("caches.connects")
        self.dialling.add(dial)
        if isinstance(dial, Dial):
            dial.queue = None
        steps = self._connect(dial) if isinstance(dial, Dial) else self._connect_lane(dial)
        dial.task = asyncio.get_running_loop().create_task(steps)
        # Guards against a place that is never given back: a task called off before its first step runs none.
        dial.task.add_done_callback(lambda _: self._dialled(dial))

    def _dialled(self, dial: Dial | LaneDial) -> None:
        """Its connection is open, or none is being opened any more."""
        if dial in self.dialling:
            self.dialling.remove(dial)
            self.pump()

    async def _connect(self, dial: Dial) -> None:
        connection: CacheConnection | None = None
        upstream = dial.upstream
        try:
            # Guards against a server that was given another address while its old one was being dialled.
            while connection is None or connection.address != upstream.address:
                if connection is not None:
                    connection.close()
                _, connection = await asyncio.get_running_loop().create_connection(
                    lambda: self.connection(upstream), *upstream.address, **self._security(upstream)
                )
        except (OSError, ValueError) as error:  # the latter: no name that can be looked up
            connection = None
            self._note_tls(upstream, error)
        finally:
            self._dialled(dial)
        if dial.job.carrier is not dial:  # given up meanwhile: the connection may serve another
            if connection is not None and connection.transport is not None:
                upstream.rest(connection)
        elif connection is None or connection.transport is None:
            self.no_connection(dial)
        else:
            self.deadlines.drop(dial.due)
            self.write(connection, dial.job)

    async def _connect_lane(self, dial: LaneDial) -> None:
        """A connection that is to be shared; if its server chooses HTTP/1.1, it is not."""
        assert self.shapes is not None
        lane, upstream = dial.lane, dial.upstream
        opened: Http2Connection | CacheConnection | None = None
        try:
            async with asyncio.timeout(self.config.connect_timeout_ms / 1000.0):
                _, first = await asyncio.get_running_loop().create_connection(
                    lambda: self.shapes.first(lane) if self.shapes else asyncio.Protocol(),
                    *upstream.address, **self._security(upstream),
                )  # fmt: skip
            opened = getattr(first, "chosen", None)
        except (OSError, ValueError) as error:
            self._note_tls(upstream, error)
        finally:
            self._dialled(dial)
        if opened is None or opened.transport is None:
            self.counters.add("caches.connects_failed")
            lane.failed()
        elif isinstance(opened, CacheConnection):
            lane.sharing.dial_ended()
            self.fall_back(upstream, "ALPN")
            upstream.rest(opened)

    def _security(self, upstream: Upstream) -> dict[str, Any]:
        """What `create_connection` is told of TLS, if the server is spoken to over it."""
        return {} if self.shapes is None else self.shapes.security(upstream, self.clock())

    def _note_tls(self, upstream: Upstream, error: Exception) -> None:
        if isinstance(error, ssl.SSLError):
            self.counters.add("tls.handshakes_failed")
            if isinstance(error, ssl.SSLCertVerificationError):
                self.counters.add("tls.certificates_refused")

    # Servers spoken to over HTTP/2.

    def _reshape(self, upstream: Upstream) -> None:
        """Give a server its lane, or take it away, as the terms and what it has shown say now."""
        shared = self.shapes is not None and self.shapes.offer(upstream, self.clock()).shared
        lane = upstream.lane
        if lane is not None and (not shared or self.shapes is None or lane.terms != self.shapes.terms):
            upstream.lane = None
            lane.close_idle()
            for dial in list(lane.waiting):  # nothing of them was sent: they go over what comes next
                self._begin(self.hang_up(dial).job, upstream.name)
        if shared and upstream.lane is None and self.shapes is not None:
            upstream.lane = self.shapes.lane(self, upstream)
            self.lanes.append(upstream.lane)
            upstream.idle, idle = [], upstream.idle
            for connection in idle:
                connection.close()

    def fall_back(self, upstream: Upstream, why: str) -> None:
        """A server that does not want HTTP/2: what waits goes over HTTP/1.1, since nothing of it was sent."""
        assert self.shapes is not None
        self.counters.add("h2.fallbacks")
        self.shapes.negotiation.speaks_http1(upstream.name, why, self.clock())
        if self.upstreams.get(upstream.name) is upstream:
            self._reshape(upstream)

    def no_connection(self, dial: Dial) -> None:
        """Refused, unreachable, too slow, or no descriptor or stream left for it: nothing of the job ran."""
        queued = dial.queue is not None
        lane = dial.upstream.lane
        if queued and lane is not None and dial.queue is lane.waiting:
            queued = bool(lane.connections)  # else there is none because none came up
            self.counters.add("h2.no_stream" if queued else "caches.connects_failed")
        else:
            self.counters.add("caches.no_descriptor" if queued else "caches.connects_failed")
        self.hang_up(dial)
        self.over(dial.job, AttemptResult(api.Status.NOT_SENT if queued else api.Status.CONNECT_FAILED))

    def hang_up(self, dial: Dial) -> Dial:
        """A job waits no longer."""
        self.deadlines.drop(dial.due)
        if dial.queue is not None:
            dial.queue.remove(dial)
            dial.queue = None
        elif dial.task is not None and dial.task is not asyncio.current_task():
            dial.task.cancel()
        return dial

    def write(self, connection: CacheConnection | Http2Connection, job: Job) -> None:
        if isinstance(job, Attempt) and not self.exchange.may_write(job):
            # Guards against a drain or purge that was told while the attempt waited for its connection.
            if isinstance(connection, CacheConnection):
                connection.upstream.rest(connection)
            self.counters.add("attempts.held_back")
            return self.over(job, AttemptResult(api.Status.NOT_SENT))
        if isinstance(job, Attempt):
            self.counters.add("attempts.written")
        connection.carry(job)

    def _close_an_idle_one(self) -> None:
        """Make room for a connection elsewhere: the one that has been idle longest goes."""
        idle: list[tuple[float, CacheConnection | Http2Connection]] = []
        for upstream in self.upstreams.values():
            if upstream.idle:
                idle.append((upstream.idle[0].idle_until, upstream.idle[0]))
        for lane in self.lanes:
            for connection in lane.connections.values():
                if not connection.streams and connection.shared is not None:
                    until = connection.shared.idle_since + self.config.idle_timeout_ms * IDLE_PART
                    idle.append((until, connection))
        if idle:
            min(idle, key=lambda c: c[0])[1].close()
