"""The client listener: accepts HTTP/1.1 connections and limits their number and idle time."""

from __future__ import annotations

import asyncio
import itertools
import math
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
from .bounded_reads import ReadTurns
from .connection import ClientConnection
from .environment import Listener, open_listener
from .input_limit import InputLimit
from .read_turns import ReadIterations
from .sockets import has_left_unused
from .unsent_responses import UnsentResponses

MAX_BODY_BYTES = 64 * 1024  # a write carries at most 48,000 bytes
LISTEN_BACKLOG = 1024
ACCEPT_BUDGET_MS = 3.0  # for accepting in one event-loop iteration; the others' input is read in between
FIRST_BYTE_TIMEOUT_MS = 2_000.0  # the first byte of a request must be received by this long after the connect
IDLE_TIMEOUT_MS = 4_500.0  # clients close idle connections after 4 s; the director closes the remaining ones
LINGER_MS = 1_000.0  # how long input after the last response is discarded; a reset would lose the response
EVICTION_GRACE_MS = 100.0  # a new connection has this long to send its first bytes before it may be evicted
SLOW_REQUEST_MS = 500.0  # a request that takes longer to arrive may be rejected to make room for another
EVICTION_CANDIDATES = 8  # how many connections of each state are examined for an eviction
SWEEP_INTERVAL_MS = 100.0
PAUSED_CHECK_INTERVAL_MS = 50.0  # interval of checks whether a paused client has disconnected
FINAL_LINGER_MS = 100.0  # at shutdown: input received this soon after a connection's end causes no reset
SPARE_CONNECTIONS = 32  # beyond the clients' descriptors, while evicted connections are being closed


def _return_connection(connection: ClientConnection) -> ClientConnection:
    return connection


class ClientFront:
    """Listens for clients; once `is_closing`, each connection ends after its outstanding response.

    Clients may use a fixed share of the file descriptors. A connection without an open request is in one of
    three states, each with a time limit, and may be evicted to make room for a new one in this order:
    lingering (its last response is written), idle, awaiting a request.
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
        self.process_count = 1  # that share the limit of connections
        self.connection_type: type[ClientConnection] = ClientConnection
        self.max_body_bytes = MAX_BODY_BYTES
        self.request_timeout_ms = FIRST_BYTE_TIMEOUT_MS  # from a request's first byte to its last
        self.sends_hold_off = False  # whether rejections give the wait in ms as well
        self.connections: dict[ClientConnection, None] = {}  # in order of arrival: runs are repeatable
        # Connections without an open request and when each entered its state, in that order.
        self.awaiting: dict[ClientConnection, float] = {}
        self.idle: dict[ClientConnection, float] = {}
        self.lingering: dict[ClientConnection, float] = {}
        self.descriptor_count = 0  # used by clients, from accept to the end of the connection
        self.evicted_count = 0  # of these, evicted connections that have not ended yet
        self.open_by_trace_id: dict[str, ClientRequest] = {}  # the first open request with each id
        self.is_closing = False
        self.readiness = Readiness(is_started=True)  # replaced by the director's own
        self.address: Address = ("", 0)
        self._listener: Listener | None = None
        self._has_started = self._is_accepting = False
        self._accept_backoff = AcceptBackoff()
        self.read_iterations = ReadIterations(clock)
        self.read_turns = ReadTurns()
        self.unsent_responses = UnsentResponses(clock, deadlines)
        self.input_limit = InputLimit(exchange.memory.client_input, self.connections)
        self._setting_up: dict[asyncio.Task[object], ClientConnection] = {}
        self._paused: dict[ClientConnection, None] = {}  # while reading is paused, no event reports their end

    @property
    def _own_limit(self) -> int:
        """This process's share of the clients' descriptors."""
        return self.connection_limit // self.process_count

    @property
    def _own_spare(self) -> int:
        return SPARE_CONNECTIONS // self.process_count

    # Accepting.

    def listen(self, address: Address, inherited_fd: int | None = None) -> None:
        """Binds `address`, or uses the inherited listener `inherited_fd`, which is bound already.

        Connections are accepted from `start_accepting` on.
        """
        self._listener = self.open_listener(address, LISTEN_BACKLOG, inherited_fd)
        host, port = self._listener.getsockname()[:2]
        self.address = (host, port)

    def start_accepting(self) -> None:
        """Accepts the connections of clients; without a listener, or the second time, it does nothing."""
        if self._listener is not None and not self._has_started:
            self._has_started = True
            self._resume_accepting()
            self.sweep()

    def accept(self) -> None:
        """Accepts waiting connections, up to the limit and for `ACCEPT_BUDGET_MS`; all of them at shutdown.

        The event loop's own server accepts one connection per iteration. With hundreds of simultaneous
        clients and iterations of several milliseconds, requests would stay unread past their deadlines. At
        the limit of descriptors accepting is paused, as the loop would spin on a readable listener.
        """
        self._accept_backoff.start_iteration()
        end_ms = math.inf if self.is_closing else self.clock() + ACCEPT_BUDGET_MS
        while self._listener is not None and self.clock() < end_ms:
            if self.descriptor_count >= self._own_limit + self._own_spare:
                return self._pause_accepting()
            try:
                peer, _ = self._listener.accept()
            except BlockingIOError:
                return self._all_accepted()
            except OSError as error:
                if self._handle_accept_error(error):
                    return
                continue
            self._accept_backoff.accepted()
            if has_left_unused(peer):
                self.counters.add("clients.left_unused")
                peer.close()
            else:
                self._set_up_connection(peer)

    def _handle_accept_error(self, error: OSError) -> bool:
        """Counts an error of `accept`; True if accepting was paused, as the error concerns the process."""
        self.counters.add("clients.accept_failed")
        self.counters.add(f"clients.accept_failed.{error_name(error)}")
        pause_ms = self._accept_backoff.pause_ms(error)
        if pause_ms <= 0.0:
            return False
        self._pause_accepting()
        self.deadlines.add(self.clock() + pause_ms, self._resume_accepting)
        return True

    def _set_up_connection(self, peer: socket.socket) -> None:
        """Creates the transport of an accepted connection and evicts another one if necessary."""
        loop = asyncio.get_running_loop()
        self.descriptor_count += 1
        if self.descriptor_count - self.evicted_count > self._own_limit + self._own_spare // 2:
            self._make_room()
        try:
            peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as error:  # the connection is served without the option, or a read reports its end
            self.counters.add(f"clients.option_failed.{error_name(error)}")
        connection = self.connection_type(self)
        task = loop.create_task(loop.connect_accepted_socket(partial(_return_connection, connection), peer))
        self._setting_up[task] = connection
        task.add_done_callback(self._connection_set_up)

    def _connection_set_up(self, task: asyncio.Task[object]) -> None:
        has_failed = task.cancelled() or task.exception() is not None
        if not self._setting_up.pop(task).is_open and has_failed:  # an open connection counts until it closes
            self.descriptor_count -= 1
            self._resume_accepting()

    def _make_room(self) -> None:
        """Evicts connections while accepting is paused, as they would otherwise stay until they time out."""
        while self.descriptor_count - self.evicted_count > self._own_limit:
            if not self._evict_one() and not self._reject_slow_request():
                return

    def _evict_one(self) -> bool:
        """Evicts the longest idle connection without an open or unread request; False if there is none."""
        now = self.clock()
        for table, grace_ms in ((self.lingering, 0.0), (self.idle, 0.0), (self.awaiting, EVICTION_GRACE_MS)):
            for connection, since_ms in itertools.islice(table.items(), EVICTION_CANDIDATES):
                is_unused = table is self.lingering or connection.is_input_empty()
                if now - since_ms >= grace_ms and is_unused and not connection.is_sending(now):
                    self.counters.add("clients.made_room")
                    self._evict(connection, "made_room")
                    return True
        return False

    def _reject_slow_request(self) -> bool:
        """Rejects the largest of the oldest requests that take long to arrive; False if there is none."""
        latest_ms = self.clock() - SLOW_REQUEST_MS
        oldest = itertools.islice(self.awaiting, EVICTION_CANDIDATES)
        slow = [one for one in oldest if one.can_reject_input() and one.request_began_ms < latest_ms]
        if not slow:
            return False
        self.counters.add("clients.rejected_for_room")
        max(slow, key=lambda connection: connection.charged_bytes).reject_input()
        return True

    def _evict(self, connection: ClientConnection, reason: str) -> None:
        self._set_state(connection, None)
        if not connection.is_evicted:
            self.evicted_count += 1
            connection.evict(reason)

    def _all_accepted(self) -> None:
        """Closes the listener if the front is closing; its queue is empty now, so no connection is reset."""
        if self.is_closing:
            self.stop_accepting()

    def stop_accepting(self) -> None:
        """Closes the listener; other processes that share it continue to accept from its queue."""
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
            self.accept()  # connections for which there was no room before
            self._shut_down_unused()
        if not self._is_accepting or self.process_count > 1:
            self._make_room()
        self._resume_accepting()
        self.deadlines.add(now + SWEEP_INTERVAL_MS, self.sweep)

    def _sweep_awaiting(self, now: float) -> None:
        for connection in _older_than(self.awaiting, now, FIRST_BYTE_TIMEOUT_MS):
            if not connection.has_partial_request:
                if connection.is_input_empty():  # otherwise its request is unread
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
            if connection.is_input_empty() and not connection.is_sending(now):  # else a request is unread
                connection.shut_down()
        for connection in list(self.idle):
            if connection.is_writing_paused and now > connection.client_deadline_ms + LINGER_MS:
                self.counters.add("clients.never_read")  # frees the memory of its unread response
                connection.abort("answers_unread")

    def _drain_idle(self, now: float) -> None:
        for connection in list(self.idle):
            if not self.readiness.may_close_idle(now, connection.is_input_empty()):
                continue
            if connection.is_input_empty():  # otherwise its unread request gets the last response
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
        """Removes a closed connection and its descriptor from the counts."""
        self.connections.pop(connection, None)
        self._paused.pop(connection, None)
        self._set_state(connection, None)
        self.descriptor_count -= 1
        self.evicted_count -= connection.is_evicted
        self._resume_accepting()

    def update_state(self, connection: ClientConnection) -> None:
        """Records whether a connection has an open request, awaits one or is idle."""
        if connection.open_number is not None or connection.pipelined:
            return self._set_state(connection, None)
        if connection not in self.connections or connection.is_ending or connection.is_evicted:
            return
        is_awaiting = connection.has_partial_request or not connection.has_received_request
        self._set_state(connection, self.awaiting if is_awaiting else self.idle)

    def start_lingering(self, connection: ClientConnection) -> None:
        """Records that a connection's last response is written; the client has `LINGER_MS` to close it."""
        self._set_state(connection, self.lingering)

    def watch_paused(self, connection: ClientConnection) -> None:
        """Starts periodic checks whether the client of a paused connection has disconnected."""
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
        """Returns the status for a request that no server could serve, otherwise None."""
        cls = self.exchange.dispatcher.state.classes.get(request.class_name)
        if cls is None:
            return 404
        if cls.is_write and request.method != "PUT":
            return 405
        if cls.idempotency is Idempotency.KEYED and not request.idempotency_key:  # retries would run twice
            self.counters.add("clients.key_missing")
            return 400
        return None

    def claim_trace_id(self, request: ClientRequest) -> bool:
        """Claims the id by which servers know a request; False if another object's request uses it."""
        claimed = self.open_by_trace_id.setdefault(request.trace_id, request)
        if claimed is request:
            return True
        return (claimed.object_name, claimed.part) == (request.object_name, request.part)

    def release_trace_id(self, request: ClientRequest) -> None:
        """Frees the request's id if this request was the first with it."""
        if self.open_by_trace_id.get(request.trace_id) is request:
            del self.open_by_trace_id[request.trace_id]

    # Graceful shutdown.

    def close(self) -> None:
        """Accepts the connections that are waiting and no later ones; `is_done` reports the end."""
        self.is_closing = True
        self.accept()
        self._shut_down_unused()

    def _shut_down_unused(self) -> None:
        now = self.clock()
        for connection in list(self.connections):
            if not connection.is_ending and not connection.has_open_request(now):
                connection.shut_down()

    def is_done(self) -> bool:
        """Whether no response is outstanding and no connection has ended within `FINAL_LINGER_MS`.

        Unread requests count as outstanding, and so do responses that are still in this process's buffers
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
