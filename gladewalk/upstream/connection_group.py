"""The shared connections of one server: who waits for a stream, and what `Sharing` decides for them."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from .. import interface as api
from ..config.option_tables import Http2Options
from ..core.exchange import AttemptResult
from ..streams.stream_allocator import Next, Shared, Sharing
from .http2 import Http2Connection
from .work_items import Job

if TYPE_CHECKING:
    from .pool import Caches
    from .upstream_server import Dial, Upstream


UNHEARD_MOST = 2  # once may be a restart; a server that does it again does not know our preface


class Lane:
    """Carries out for one server what its `Sharing` decides."""

    def __init__(self, pool: Caches, upstream: Upstream, terms: Http2Options) -> None:
        self.pool, self.upstream, self.terms = pool, upstream, terms
        self.sharing = Sharing(terms)
        self.connections: dict[int, Http2Connection] = {}
        self.greeting: set[Http2Connection] = set()  # opened, their server's settings not yet here
        self.waiting: deque[Dial] = deque()
        self.unheard = 0  # connections in a row that were closed on our preface without a byte
        self._pumping = False

    def begin(self, job: Job) -> None:
        self.waiting.append(self.pool.wait_for(job, self.upstream, self.waiting))
        self.pump()

    def pump(self) -> None:
        """Give waiting jobs what streams there are now, first come first served."""
        if self._pumping:
            return
        self._pumping = True
        try:
            while self.waiting:
                found = self.sharing.choose(len(self.waiting), self.pool.clock())
                if found is Next.WAIT:
                    return
                if found is Next.OPEN:
                    self.sharing.dial_begun()
                    self.pool.open_for(self)
                    continue
                dial = self.pool.hang_up(self.waiting[0])
                if isinstance(found, Shared):
                    self.pool.write(self.connections[found.number], dial.job)
                else:  # the server wants calm, and hears nothing of this one
                    self.pool.counters.add("h2.calm_kept")
                    self.pool.over(dial.job, AttemptResult(api.Status.REJECTED))
        finally:
            self._pumping = False

    # What becomes of a connection.

    def opened(self, connection: Http2Connection) -> None:
        self.greeting.add(connection)

    def failed(self) -> None:
        """A dial came to nothing: who waited for it alone hears so at once."""
        self.sharing.dial_ended()
        if not self.sharing.dialling and not self.connections:
            for dial in list(self.waiting):
                self.pool.no_connection(dial)

    def joined(self, connection: Http2Connection, limit: int) -> Shared:
        """Its server's settings have come: it carries requests from now on."""
        self.greeting.discard(connection)
        self.unheard = 0
        self.sharing.dial_ended()
        shared = self.sharing.joined(limit, self.pool.clock())
        self.connections[shared.number] = connection
        if connection.address != self.upstream.address or self.upstream.gone:
            self.sharing.drain(shared, self.pool.clock())  # it leads to where this server was
        return shared

    def left(self, connection: Http2Connection) -> None:
        if connection in self.greeting:
            self.greeting.discard(connection)
            self.unheard += not connection.heard_any
            if self.unheard >= UNHEARD_MOST and self.upstream.lane is self:
                self.speaks_http1("closed on our preface")
            self.failed()
        if connection.shared is not None:
            self.sharing.left(connection.shared)
            self.connections.pop(connection.shared.number, None)

    # What servers ask for.

    def calm(self) -> None:
        self.pool.counters.add("h2.calm_asked")
        self.sharing.asked_for_calm(self.pool.clock())

    def speaks_http1(self, why: str) -> None:
        """From now on over HTTP/1.1: nothing that waits here has been sent."""
        self.pool.fall_back(self.upstream, why)

    # The pool's calls.

    def close_idle(self) -> None:
        """Nothing new goes over what there is; what it carries goes on."""
        for connection in list(self.connections.values()):
            assert connection.shared is not None
            self.sharing.drain(connection.shared, self.pool.clock())
            connection.close_if_empty()
        for connection in list(self.greeting):
            connection.close()

    def sweep(self, now_ms: float, idle_ms: float) -> None:
        for shared in self.sharing.to_close(now_ms, idle_ms):
            self.connections[shared.number].close()
        for connection in [*self.connections.values(), *self.greeting]:
            connection.pulse(now_ms)
        if self.waiting:
            self.pump()
