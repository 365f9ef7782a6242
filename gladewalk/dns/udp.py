"""DNS over UDP: reads one query per event-loop iteration, within a budget of the loop's time.

The budget applies while the HTTP front has open requests, and shortly afterwards. While reading is paused,
queries wait in the kernel's receive buffer and are dropped when it is full: a flood then takes no loop time.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable

from ..config.platform import Address
from ..core.counters import Counters
from .limits import LoopTimeBudget
from .query import QueryHandler, TransportKind

MAX_QUERY_BYTES = 4_096
HTTP_BUSY_SECONDS = 0.25  # the budget applies this long after an open HTTP request was seen


class UdpQuery:
    """The client and transport of one query over UDP."""

    transport = TransportKind.UDP

    def __init__(self, listener: UdpListener, address: Address) -> None:
        self._listener, self._address, self.client_address = listener, address, address[0]

    def send(self, wire: bytes) -> None:
        """Sends the response."""
        self._listener.send(wire, self._address)

    def drop(self) -> None:
        """Ends the query without a response."""


class UdpListener:
    """Reads queries from a UDP socket and sends responses.

    Args:
        address: Where to listen.
        handler: Processes the queries.
        counters: Where failed sends and pauses are counted.
        budget: Event-loop time that queries may take.
        has_open_requests: Returns whether the HTTP front has open requests.

    Raises:
        OSError: The address cannot be bound.
    """

    def __init__(
        self,
        address: Address,
        handler: QueryHandler,
        counters: Counters,
        budget: LoopTimeBudget,
        has_open_requests: Callable[[], bool],
    ) -> None:
        self._handler, self._counters, self.budget = handler, counters, budget
        self._has_open_requests = has_open_requests
        self._loop = asyncio.get_running_loop()
        self._socket = _bind(address)
        self._is_closed, self._http_busy_until_s = False, 0.0
        self._loop.add_reader(self._socket, self._read)

    def close(self) -> None:
        """Stops listening; may be called again."""
        if not self._is_closed:
            self._is_closed = True
            self._loop.remove_reader(self._socket)
            self._socket.close()

    def send(self, wire: bytes, address: Address) -> None:
        """Sends a datagram; one that cannot be sent is counted and dropped."""
        if self._is_closed:
            return
        try:
            self._socket.sendto(wire, address)
        except OSError:  # the send buffer is full, or the client is unreachable
            self._counters.add("dns.udp_errors")

    def _read(self) -> None:
        started_s = time.perf_counter()
        try:
            wire, address = self._socket.recvfrom(MAX_QUERY_BYTES)
        except BlockingIOError:
            return
        except OSError:  # reports an earlier response that could not be delivered
            return self._counters.add("dns.udp_errors")
        self._handler.handle_query(wire, UdpQuery(self, address))
        self._charge(started_s, time.perf_counter())

    def _charge(self, started_s: float, ended_s: float) -> None:
        """Charges one query to the budget, and pauses reading if the budget is overspent."""
        pause_ms = self.budget.charge((ended_s - started_s) * 1_000.0, ended_s * 1_000.0)
        if self._has_open_requests():
            self._http_busy_until_s = ended_s + HTTP_BUSY_SECONDS
        if pause_ms <= 0.0:
            return
        if ended_s > self._http_busy_until_s:
            self.budget.clear_debt()
        elif not self._is_closed:
            self._counters.add("dns.rests")
            self._loop.remove_reader(self._socket)
            self._loop.call_later(pause_ms / 1_000.0, self._resume)

    def _resume(self) -> None:
        if not self._is_closed:
            self._loop.add_reader(self._socket, self._read)


def _bind(address: Address) -> socket.socket:
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_DGRAM)
    try:
        bound.setblocking(False)
        bound.bind(address)
    except OSError:
        bound.close()
        raise
    return bound
