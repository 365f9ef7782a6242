"""The client listener: accepts HTTP/1.1 connections, bounds their number and how long each may idle."""

from __future__ import annotations

import asyncio
import itertools
import socket
from collections.abc import Callable
from functools import partial

from ..config.platform import Address
from ..core.counters import Counters
from ..core.deadlines import Deadlines
from ..core.exchange import ClientRequest, Exchange
from ..core.readiness import Readiness
from ..interface import Idempotency
from .accept_errors import AcceptBackoff, error_name
from .connection import ClientConnection
from .environment import Listener, open_listener
from .read_turns import ReadTurns

MAX_BODY_BYTES = 64 * 1024  # a write carries at most 48,000 bytes
LISTEN_BACKLOG = 1024
FIRST_BYTE_TIMEOUT_MS = 2_000.0  # a request must have begun to come this long after its connection
IDLE_TIMEOUT_MS = 4_500.0  # clients close theirs after 4 s; one that does not is closed here
LINGER_MS = 1_000.0  # how long a rejected client's input is discarded, so that it sees the rejection
EVICTION_GRACE_MS = 100.0  # a new connection has this long to send before it may be evicted for another
EVICTION_CANDIDATES = 8  # connections of each state looked at for one to evict
SWEEP_INTERVAL_MS = 100.0
PAUSED_CHECK_INTERVAL_MS = 50.0  # how often a client that is not read is checked for a disconnect
FINAL_LINGER_MS = 100.0  # at the end: input that crosses a connection's end for this long meets no reset
SPARE_CONNECTIONS = 32  # over the clients' part of the descriptors, while others are being closed


def _return_connection(connection: ClientConnection) -> ClientConnection:
    return connection


class ClientFront:
    """Listens for clients; once `is_closing`, connections end with the answer that they have open.

    Clients may hold their part of the descriptors. A connection without an open request is in one of three
    states, each with a time limit, and may be evicted for a new one in this order: lingering (its last answer
    is written), idle, awaiting a request.
    """

    def __init__(
        self,
        exchange: Exchange,
        connection_limit: int,
        clock: Callable[[], float],
        deadlines: Deadlines,
        counters: Counters,
        listen: Callable[[Address, int, int | None], Listener] = open_listener,
    ) -> None:
        self.exchange, self.clock, self.open_listener = exchange, clock, listen
        self.connection_limit = connection_limit
        self.deadlines, self.counters = deadlines, counters
        self.connection_type: type[ClientConnection] = ClientConnection
        self.max_body_bytes = MAX_BODY_BYTES
        self.request_timeout_ms = FIRST_BYTE_TIMEOUT_MS  # from a request's first byte to its last
        self.sends_hold_off = False  # whether rejections name a wait in ms as well
        self.connections: dict[ClientConnection, None] = {}  # by arrival: runs are repeatable
        # Connections without an open request: when each entered its state, in that order.
        self.awaiting: dict[ClientConnection, float] = {}
        self.idle: dict[ClientConnection, float] = {}
        self.lingering: dict[ClientConnection, float] = {}
        self.descriptor_count = 0  # held by clients, each counted once from accept to its connection's end
        self.evicted_count = 0  # of these, connections told to end
        self.open_by_trace_id: dict[str, ClientRequest] = {}  # the first request that came with an id
        self.is_closing = False
        self.readiness = Readiness(is_started=True)  # the director's own, once it has one
        self.address: Address = ("", 0)
        self._listener: Listener | None = None
        self._is_accepting = False
        self._accept_backoff = AcceptBackoff()
        self.read_turns = ReadTurns(clock)
        self._setting_up: dict[asyncio.Task[object], ClientConnection] = {}
        self._paused: dict[ClientConnection, None] = {}  # not read at the moment: nothing reports their end

    # Accepting.

    def listen(self, address: Address, inherited_fd: int | None = None) -> None:
        """Binds `address`, or adopts the listener inherited as `inherited_fd`, which is never bound again."""
        self._listener = self.open_listener(address, LISTEN_BACKLOG, inherited_fd)
        host, port = self._listener.getsockname()[:2]
        self.address = (host, port)
        self._resume_accepting()
        self.sweep()

    def accept(self) -> None:
        """Accepts every connection that waits, within the limit.

        The event loop's own server accepts one a turn: with hundreds of clients arriving at once and turns of
        some milliseconds, requests would stay unread past their deadlines. Accepting stops at the limit of
        descriptors, as the loop would spin on a listener that stays readable.
        """
        self._accept_backoff.start_turn()
        while self._listener is not None:
            if self.descriptor_count >= self.connection_limit + SPARE_CONNECTIONS:
                return self._pause_accepting()
            try:
                peer, _ = self._listener.accept()
            except BlockingIOError:
                return self._all_accepted()
            except OSError as error:
                if self._has_paused_for(error):
                    return
                continue
            self._accept_backoff.accepted()
            self._take_connection(peer)

    def _has_paused_for(self, error: OSError) -> bool:
        """Counts an error of `accept`; pauses for one of the process, and returns whether it did."""
        self.counters.add("clients.accept_failed")
        self.counters.add(f"clients.accept_failed.{error_name(error)}")
        pause_ms = self._accept_backoff.pause_ms(error)
        if pause_ms <= 0.0:
            return False
        self._pause_accepting()
        self.deadlines.add(self.clock() + pause_ms, self._resume_accepting)
        return True

    def _take_connection(self, peer: socket.socket) -> None:
        """Makes a transport for a connection that was accepted, and makes room for it."""
        loop = asyncio.get_running_loop()
        self.descriptor_count += 1
        if self.descriptor_count - self.evicted_count > self.connection_limit + SPARE_CONNECTIONS // 2:
            self._evict_one()
        try:
            peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as error:  # it is served all the same, or its end is read
            self.counters.add(f"clients.option_failed.{error_name(error)}")
        connection = self.connection_type(self)
        task = loop.create_task(loop.connect_accepted_socket(partial(_return_connection, connection), peer))
        self._setting_up[task] = connection
        task.add_done_callback(self._set_up)

    def _set_up(self, task: asyncio.Task[object]) -> None:
        has_failed = task.cancelled() or task.exception() is not None
        if not self._setting_up.pop(task).is_open and has_failed:  # else it is counted until it is lost
            self.descriptor_count -= 1
            self._resume_accepting()

    def _make_room(self) -> None:
        """Ends idle connections while accepting is paused: else nothing would until they time out."""
        while self.descriptor_count - self.evicted_count > self.connection_limit and self._evict_one():
            pass

    def _evict_one(self) -> bool:
        """Ends the longest idle connection, none with an open or unread request; False if there is none."""
        now = self.clock()
        for table, grace_ms in ((self.lingering, 0.0), (self.idle, 0.0), (self.awaiting, EVICTION_GRACE_MS)):
            for connection, since_ms in itertools.islice(table.items(), EVICTION_CANDIDATES):
                is_unused = table is self.lingering or connection.is_input_empty()
                if now - since_ms >= grace_ms and is_unused and not connection.is_sending(now):
                    self.counters.add("clients.made_room")
                    self._evict(connection, "made_room")
                    return True
        return False

    def _evict(self, connection: ClientConnection, reason: str) -> None:
        self._set_state(connection, None)
        if not connection.is_evicted:
            self.evicted_count += 1
            connection.evict(reason)

    def _all_accepted(self) -> None:
        """Closes the listener once closing: only now, as connections waiting at it would be reset."""
        if self.is_closing:
            self.stop_accepting()

    def stop_accepting(self) -> None:
        """Closes the listener; other processes that hold it go on accepting from its queue."""
        if self._listener is not None:
            self._pause_accepting()
            self._listener.close()
            self._listener = None

    def _pause_accepting(self) -> None:
        if self._is_accepting and self._listener is not None:
            self._is_accepting = False
            asyncio.get_running_loop().remove_reader(self._listener)

    def _resume_accepting(self) -> None:
        if not self._is_accepting and self._listener is not None:
            self._is_accepting = True
            asyncio.get_running_loop().add_reader(self._listener, self.accept)

    # Time limits.

    def sweep(self) -> None:
        """Ten times a second: ends connections that have exceeded the time limit of their state."""
        now = self.clock()
        self._sweep_awaiting(now)
        self._sweep_lingering(now)
        self._sweep_idle(now)
        if self.readiness.is_draining:
            self._drain_idle(now)
        if self.is_closing:
            self.accept()  # connections that found no room before
            self._shut_down_unused()
        if not self._is_accepting:
            self._make_room()
        self._resume_accepting()
        self.deadlines.add(now + SWEEP_INTERVAL_MS, self.sweep)

    def _sweep_awaiting(self, now: float) -> None:
        for connection in _older_than(self.awaiting, now, FIRST_BYTE_TIMEOUT_MS):
            if not connection.has_partial_request:
                if connection.is_input_empty():  # else its request has come and is about to be read
                    self.counters.add("clients.asked_nothing")
                    self._evict(connection, "asked_nothing")
            elif now - connection.request_began_ms > self.request_timeout_ms:
                self.counters.add("clients.came_too_slowly")
                connection.request_timed_out()

    def _sweep_lingering(self, now: float) -> None:
        for connection in _older_than(self.lingering, now, LINGER_MS):
            if not connection.is_sending(now):
                self._evict(connection, "lingered")

    def _sweep_idle(self, now: float) -> None:
        for connection in _older_than(self.idle, now, IDLE_TIMEOUT_MS):
            if connection.is_input_empty() and not connection.is_sending(now):  # else it is about to ask
                connection.shut_down()
        for connection in list(self.idle):
            if connection.is_writing_paused and now > connection.client_deadline_ms + LINGER_MS:
                self.counters.add("clients.never_read")  # its answer takes up memory for nothing
                connection.abort("answers_unread")

    def _drain_idle(self, now: float) -> None:
        for connection in list(self.idle):
            if not self.readiness.may_close_idle(now, connection.is_input_empty()):
                continue
            if connection.is_input_empty():  # else it asks within this turn, and that answer is its last
                self.counters.add("clients.drained")
                connection.shut_down()

    # Called by the connections.

    def connection_opened(self, connection: ClientConnection) -> None:
        """Registers a connection whose transport has been made."""
        connection.is_open = True
        self.connections[connection] = None
        self.counters.add("clients.connected")
        self.update_state(connection)

    def connection_closed(self, connection: ClientConnection) -> None:
        """Forgets a connection and frees its place."""
        self.connections.pop(connection, None)
        self._paused.pop(connection, None)
        self._set_state(connection, None)
        self.descriptor_count -= 1
        self.evicted_count -= connection.is_evicted
        self._resume_accepting()

    def update_state(self, connection: ClientConnection) -> None:
        """Notes whether a connection has a request open, awaits one or is idle."""
        if connection.open_number is not None or connection.pipelined:
            return self._set_state(connection, None)
        if connection not in self.connections or connection.is_ending or connection.is_evicted:
            return
        is_awaiting = connection.has_partial_request or not connection.has_received_request
        self._set_state(connection, self.awaiting if is_awaiting else self.idle)

    def start_lingering(self, connection: ClientConnection) -> None:
        """Notes that a connection's last answer is written: the client has a while to close it."""
        self._set_state(connection, self.lingering)

    def watch_paused(self, connection: ClientConnection) -> None:
        """Checks from time to time whether the client of a connection that is not read has disconnected."""
        if not self._paused:
            self.deadlines.add(self.clock() + PAUSED_CHECK_INTERVAL_MS, self._check_paused)
        self._paused[connection] = None

    def _check_paused(self) -> None:
        now = self.clock()
        for connection in list(self._paused):
            if not connection.is_reading_paused:
                del self._paused[connection]
            elif connection.is_disconnected():
                del self._paused[connection]
                self.counters.add("clients.left_unread")
                connection.abort("left_by_client")
            elif connection.is_writing_paused and now > connection.client_deadline_ms + LINGER_MS:
                del self._paused[connection]
                self.counters.add("clients.never_read")
                connection.abort("answers_unread")
        if self._paused:
            self.deadlines.add(self.clock() + PAUSED_CHECK_INTERVAL_MS, self._check_paused)

    def _set_state(self, connection: ClientConnection, table: dict[ClientConnection, float] | None) -> None:
        if connection.state_table is not table:
            if connection.state_table is not None:
                del connection.state_table[connection]
            connection.state_table = table
            if table is not None:
                table[connection] = self.clock()

    def rejection_status(self, request: ClientRequest) -> int | None:
        """Returns the status for a request that no server could serve, else None."""
        cls = self.exchange.dispatcher.state.classes.get(request.class_name)
        if cls is None:
            return 404
        if cls.is_write and request.method != "PUT":
            return 405
        if cls.idempotency is Idempotency.KEYED and not request.idempotency_key:  # its retries are no repeats
            self.counters.add("clients.key_missing")
            return 400
        return None

    def claim_trace_id(self, request: ClientRequest) -> bool:
        """Whether the request's id is free, or in use for the same object; servers know requests by id."""
        claimed = self.open_by_trace_id.setdefault(request.trace_id, request)
        if claimed is request:
            return True
        return (claimed.object_name, claimed.part) == (request.object_name, request.part)

    def release_trace_id(self, request: ClientRequest) -> None:
        """Frees the request's id, if it was the first with it."""
        if self.open_by_trace_id.get(request.trace_id) is request:
            del self.open_by_trace_id[request.trace_id]

    # Graceful shutdown.

    def close(self) -> None:
        """Accepts the connections that wait already, and no more; `is_done` tells when all are answered."""
        self.is_closing = True
        self.accept()
        self._shut_down_unused()

    def _shut_down_unused(self) -> None:
        now = self.clock()
        for connection in list(self.connections):
            if not connection.is_ending and not connection.has_open_request(now):
                connection.shut_down()

    def is_done(self) -> bool:
        """Whether no answer is owed, and no connection was ended so lately that its client may still send.

        Counts requests that have come and are unread, and answers that are still in this process's buffers
        because their client reads slowly.
        """
        self._shut_down_unused()
        now = self.clock()
        has_open = any(
            connection.has_open_request(now) or not connection.is_ending for connection in self.connections
        )
        has_recent = any(now - since_ms < FINAL_LINGER_MS for since_ms in self.lingering.values())
        return self._listener is None and not self._setting_up and not has_open and not has_recent


def _older_than(table: dict[ClientConnection, float], now: float, limit_ms: float) -> list[ClientConnection]:
    return [connection for connection, since_ms in table.items() if now - since_ms > limit_ms]
