"""The watch on the coordinator: follows its endpoint feed over a TCP connection, replaced when it fails.

The director sends one line, `follow N`, which requests all events after number N.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import cast

from ..config.platform import Address
from ..core.deadlines import DeadlineKey, Deadlines
from ..limits.memory_plan import MAX_LINE_BYTES
from .bounded_reads import BoundedReads, ReadTurns
from .endpoint_feed import EndpointFeed

HEARTBEAT_TIMEOUT_MS = 2_500.0  # the coordinator sends a heartbeat each second
CONNECT_TIMEOUT_MS = 1_000.0
MIN_BACKOFF_MS = 50.0
MAX_BACKOFF_MS = 400.0  # short, as 2 s after a disconnect an event counts as received even if it was not
USABLE_LINE_TIMEOUT_MS = 5_000.0  # a connection that has sent no complete, valid line for this long is closed
READ_BYTES = 64 * 1024  # of one read
LINES_BUDGET_MS = 1.5  # for applying lines at once; others are served before the next ones are applied


class CoordinatorConnection(BoundedReads):
    """One connection to the coordinator; splits received data into lines.

    Attributes:
        partial_line: What was received and not applied: lines that wait for their turn, a partial one.
    """

    def __init__(
        self, watch: CoordinatorWatch, address: Address, max_line_bytes: int = MAX_LINE_BYTES
    ) -> None:
        super().__init__(ReadTurns(READ_BYTES))
        self.watch, self.address = watch, address
        self.partial_line = bytearray()
        self._max_line_bytes = max_line_bytes
        self._searched_bytes = 0  # of the partial line, without a line feed

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Requests the events after the last one known."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transport does not inherit from it
        if not self.watch.make_current(self):
            return self.transport.abort()
        self.transport.write(f"follow {self.watch.feed.last_index}\n".encode())

    def data_received(self, data: bytes) -> None:
        """Applies complete lines; an invalid one ends the connection, and the next one fetches it again."""
        self.partial_line += data
        if not self.watch.is_current(self):
            return
        if self.watch.feed.sync is not None:
            is_line_open = not self.partial_line.endswith(b"\n")
            self.watch.feed.sync.data_received(self.watch.feed.clock(), is_line_open)
        self._apply_lines()

    def wants_input(self) -> bool:
        """Returns True: further lines are read whenever it is this connection's turn."""
        return True

    def take_turn(self) -> None:
        """Applies the lines that wait, and reads on once there are none."""
        if self.watch.is_current(self) and self._has_line():
            self.is_waiting_for_turn = False
            self._apply_lines()
            if not self.is_waiting_for_turn:
                self.resume_reading()
        else:
            super().take_turn()

    def _has_line(self) -> bool:
        return self.partial_line.find(b"\n", self._searched_bytes) >= 0

    def _apply_lines(self) -> None:
        """Applies complete lines for `LINES_BUDGET_MS`; further ones wait for the connection's turn."""
        clock = self.watch.feed.clock
        end_ms = clock() + LINES_BUDGET_MS
        is_valid, is_usable, begin = True, False, 0
        while is_valid and (end := self.partial_line.find(b"\n", max(begin, self._searched_bytes))) >= 0:
            line = bytes(self.partial_line[begin:end])
            begin, self._searched_bytes = end + 1, 0
            is_valid = not line.strip() or self.watch.feed.read_line(line)
            is_usable = True
            if clock() >= end_ms and is_valid:
                break
        del self.partial_line[:begin]
        has_more = is_valid and self._has_line()
        self._searched_bytes = 0 if has_more else len(self.partial_line)
        self.watch.data_received(is_usable and is_valid)
        if not is_valid or (len(self.partial_line) > self._max_line_bytes and not has_more):
            self._abort()
        elif has_more:
            self.wait_for_turn()

    def _abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Notifies the watch, which reconnects."""
        self.transport = None
        self.watch.connection_lost(self)


class CoordinatorWatch:
    """Keeps one connection to the coordinator and replaces it, with backoff, when it ends or is unresponsive.

    One connection is current at a time; data and the end of an earlier connection are ignored.
    """

    def __init__(
        self,
        feed: EndpointFeed,
        address: Address,
        deadlines: Deadlines,
        log: Callable[[str], None],
        rng: random.Random,
    ) -> None:
        self.feed, self.address, self.deadlines, self.log, self.random = feed, address, deadlines, log, rng
        self.connection: CoordinatorConnection | None = None
        self.backoff_ms = MIN_BACKOFF_MS
        self.is_closing = False
        self.max_line_bytes = MAX_LINE_BYTES
        self.on_progress: Callable[[], None] | None = None  # called on a new connection and after its data
        self._last_usable_ms = 0.0  # when the connection began, or last sent complete valid lines
        self._timer: DeadlineKey | None = None
        self._task: asyncio.Task[None] | None = None

    def connect(self) -> None:
        """Starts a connection attempt."""
        if not self.is_closing:
            self.feed.counters.add("coordinator.connects")
            self._task = asyncio.get_running_loop().create_task(self._connect(self.address))

    async def _connect(self, address: Address) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000.0):
                await asyncio.get_running_loop().create_connection(
                    lambda: CoordinatorConnection(self, address, self.max_line_bytes), *address
                )
        except (OSError, ValueError):  # OSError includes a timeout; ValueError: an invalid name
            self._reconnect_later()

    def set_address(self, address: Address) -> None:
        """Connects to another address of the coordinator and follows the feed from the last known event."""
        if address == self.address:
            return
        self.address, self.backoff_ms = address, MIN_BACKOFF_MS
        self._disconnect()
        self.connect()

    def close(self) -> None:
        """Ends the watch."""
        self.is_closing = True
        self._disconnect()

    # Called by the connection.

    def make_current(self, connection: CoordinatorConnection) -> bool:
        """Makes a new connection the current one; False if it was opened to an earlier address."""
        if self.is_closing or connection.address != self.address:
            return False
        self.connection, self._last_usable_ms = connection, self.feed.clock()
        self._restart_timer()
        if self.feed.sync is not None:
            self.feed.sync.connected(self._last_usable_ms)
        self._report_progress()
        return True

    def is_current(self, connection: CoordinatorConnection) -> bool:
        """Whether the connection is the current one, whose data is applied."""
        return connection is self.connection

    def data_received(self, is_usable: bool) -> None:
        """Restarts the heartbeat timer; `is_usable`: the data had complete lines and no invalid one.

        Only usable data resets the backoff and keeps the connection open beyond `USABLE_LINE_TIMEOUT_MS`. A
        peer that accepts connections and sends no usable data is therefore neither reconnected to without
        backoff nor kept connected for long.
        """
        if is_usable:
            self.backoff_ms, self._last_usable_ms = MIN_BACKOFF_MS, self.feed.clock()
        self._restart_timer()
        self._report_progress()

    def _report_progress(self) -> None:
        if self.on_progress is not None:
            self.on_progress()

    def connection_lost(self, connection: CoordinatorConnection) -> None:
        """Reconnects after the current connection has ended."""
        if connection is self.connection:
            self.connection = None
            self.log("coordinator lost")
            self._reconnect_later()

    def _disconnect(self) -> None:
        self.deadlines.drop(self._timer)
        if self._task is not None:
            self._task.cancel()
        connection, self.connection = self.connection, None
        if connection is not None and connection.transport is not None:
            connection.transport.abort()

    def _reconnect_later(self) -> None:
        self.deadlines.drop(self._timer)
        if self.is_closing:
            return
        backoff_ms, self.backoff_ms = self.backoff_ms, min(MAX_BACKOFF_MS, self.backoff_ms * 2.0)
        # Jitter keeps directors that were disconnected together from all reconnecting at the same moment.
        wait_ms = backoff_ms * (0.5 + self.random.random())
        self._timer = self.deadlines.add(self.feed.clock() + wait_ms, self.connect)

    def _restart_timer(self) -> None:
        self.deadlines.drop(self._timer)
        until_ms = min(
            self.feed.clock() + HEARTBEAT_TIMEOUT_MS, self._last_usable_ms + USABLE_LINE_TIMEOUT_MS
        )
        self._timer = self.deadlines.add(until_ms, self._on_heartbeat_timeout)

    def _on_heartbeat_timeout(self) -> None:
        self.feed.counters.add("coordinator.silent")
        if self.connection is not None and self.connection.transport is not None:
            self.connection.transport.abort()
