"""The platform's front: HTTP/1.1 from clients, one request at a time on each connection."""

from __future__ import annotations

import asyncio
import itertools
import socket
from collections.abc import Callable
from functools import partial

from ..config.platform import Address
from ..core.counters import Counters
from ..core.deadlines import Deadlines
from ..core.exchange import Ask, Exchange
from ..interface import Idempotency
from ..ops.readiness import Readiness
from .connection import ClientConnection
from .outside import Listener, listen_at

BODY_MOST = 64 * 1024  # a write carries at most 48,000 bytes
BACKLOG = 1024
ASK_MS = 2_000.0  # a request must have begun to come this long after its connection
REST_MS = 4_500.0  # clients close a connection that was idle for 4 s; one that does not is closed here
LINGER_MS = 1_000.0  # how long a refused client's input is read and dropped, so that it sees the refusal
SPEAK_MS = 100.0  # a new connection has this long to speak before it may make room for another
ROOM_TRIES = 8  # connections looked at for one that may make room
SWEEP_MS = 100.0
PAUSED_MS = 50.0  # so often who is not read at the moment is asked whether it has left
PARTED_MS = 100.0  # at the end: what crosses the end of a connection for this long meets no reset
SPARE_CONNECTIONS = 32  # over the clients' part of the descriptors, while others are on their way out


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
        connection_limit: int,
        clock: Callable[[], float],
        deadlines: Deadlines,
        counters: Counters,
        listen: Callable[[Address, int, int | None], Listener] = listen_at,
    ) -> None:
        self.exchange, self.clock, self.listen_at = exchange, clock, listen
        self.connection_limit = connection_limit
        self.deadlines, self.counters = deadlines, counters
        self.connection, self.body_most = ClientConnection, BODY_MOST
        self.arrive_ms = ASK_MS  # how long a request may take to come, from its first byte to its last
        self.hold_off = False  # whether a refusal names its wait in ms, beside HTTP's field
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
        self._paused: dict[ClientConnection, None] = {}  # not read at the moment: nothing tells of their end

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
            if self.held >= self.connection_limit + SPARE_CONNECTIONS:
                return self._pause()
            try:
                peer, _ = self._listener.accept()
            except BlockingIOError:
                return self._all_accepted()
            except OSError:  # no descriptor left, or the peer has gone: the next sweep tries again
                self.counters.add("clients.accept_failed")
                return self._pause()
            self.held += 1
            if self.held - self.leaving > self.connection_limit + SPARE_CONNECTIONS // 2:
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
                idle = (kind is self.lingering or connection.is_quiet()) and not connection.is_sending(now)
                if now - since >= patience and idle:
                    self.counters.add("clients.made_room")
                    return self._end(connection)

    def _end(self, connection: ClientConnection) -> None:
        self._put(connection, None)
        if not connection.leaving:
            self.leaving += 1
            connection.leave()

    def _all_accepted(self) -> None:
        """Nobody waits at the listener: once closing, only now may it go, else who waits is reset with it."""
        if self.closing:
            self.stop_taking()

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
            if not connection.partial:
                self.counters.add("clients.asked_nothing")
                self._end(connection)
            elif now - connection.began_ms > self.arrive_ms:
                self.counters.add("clients.came_too_slowly")
                connection.time_up()
        for connection in [c for c, since in self.lingering.items() if now - since > LINGER_MS]:
            if not connection.is_sending(now):
                self._end(connection)
        for connection in [c for c, since in self.resting.items() if now - since > REST_MS]:
            if connection.is_quiet() and not connection.is_sending(now):  # else it is about to ask
                connection.part()
        if self.readiness.draining:
            for connection in [c for c in self.resting if self.readiness.closes_resting(now, c.is_quiet())]:
                if connection.is_quiet():  # else it asks within this turn, and that answer is its last
                    self.counters.add("clients.drained")
                    connection.part()
        if self.closing:
            self.accept()  # who found no room before
            self._part_idle()
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
        self._paused.pop(connection, None)
        self._put(connection, None)
        self.held -= 1
        self.leaving -= connection.leaving
        self._resume()

    def settle(self, connection: ClientConnection) -> None:
        """Note whether a connection has a request open, owes one or rests."""
        if connection.number is not None or connection.waiting:
            return self._put(connection, None)
        if connection not in self.connections or connection.last or connection.leaving:
            return
        self._put(connection, self.owing if connection.partial or not connection.asked else self.resting)

    def parting(self, connection: ClientConnection) -> None:
        """Its last answer is written, its input is dropped: it has a while to close by itself."""
        self._put(connection, self.lingering)

    def watch_paused(self, connection: ClientConnection) -> None:
        if not self._paused:
            self.deadlines.add(self.clock() + PAUSED_MS, self._look_at_paused)
        self._paused[connection] = None

    def _look_at_paused(self) -> None:
        for connection in list(self._paused):
            if not connection.paused:
                del self._paused[connection]
            elif connection.has_left():
                del self._paused[connection]
                self.counters.add("clients.left_unread")
                connection.drop()
            elif connection.full and self.clock() > connection.patience_ms + LINGER_MS:
                del self._paused[connection]
                self.counters.add("clients.never_read")
                connection.drop()
        if self._paused:
            self.deadlines.add(self.clock() + PAUSED_MS, self._look_at_paused)

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
        if cls.is_write and ask.method != "PUT":
            return 405
        if (
            cls.idempotency is Idempotency.KEYED and not ask.replay_key
        ):  # its repeats could not be told from others
            self.counters.add("clients.key_missing")
            return 400
        return None

    def claim(self, ask: Ask) -> bool:
        """Guards against the id of an open request with another object: caches know a request by its id."""
        held = self.open.setdefault(ask.trace, ask)
        return held is ask or (held.object_name, held.part) == (ask.object_name, ask.part)

    def release(self, ask: Ask) -> None:
        if self.open.get(ask.trace) is ask:
            del self.open[ask.trace]

    def close(self) -> None:
        """Take who is already here, and nobody else; `is_done` once all of them have had their answers."""
        self.closing = True
        self.accept()
        self._part_idle()

    def _part_idle(self) -> None:
        now = self.clock()
        for connection in list(self.connections):
            if not connection.last and not connection.owes(now):
                connection.part()

    def is_done(self) -> bool:
        """Whether nobody is owed anything, and the last of those who left were not cut short.

        Guards against an end between a request's coming and its being read, and over an answer that lies
        in this process's own buffers, since its client reads slowly.
        """
        self._part_idle()
        now = self.clock()
        here = any(c.owes(now) or not c.last for c in self.connections)
        lately = any(now - since < PARTED_MS for since in self.lingering.values())
        return self._listener is None and not self._opening and not here and not lately
