"""DNS over TCP (RFC 7766) and TLS (RFC 7858): messages with their length before them.

Questions of one connection are worked on side by side, and answered as their answers come (7766, 6.2.1.1 and
7). While a connection's client does not read, nothing is decided for it: what is decided then would grow old
behind a slow reader, past a drain or a purge. A question whose answer comes in such a time is asked anew.
"""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from typing import TYPE_CHECKING, cast

from .responses import Via

if TYPE_CHECKING:
    from .front import DnsFront


class Streams:
    """All connections of a front, within the bounds of its settings."""

    def __init__(self, front: DnsFront) -> None:
        self.front = front
        self.connections: set[Connection] = set()
        self.by_client: Counter[str] = Counter()

    def connection(self, via: Via) -> Connection:
        return Connection(self, via)

    def enter(self, connection: Connection) -> bool:
        config, counters = self.front.config, self.front.counters
        self.connections.add(connection)
        self.by_client[connection.peer] += 1
        if len(self.connections) > config.tcp_most:
            counters.add("dns.tcp_turned_away")
        elif self.by_client[connection.peer] > config.tcp_each:
            counters.add("dns.tcp_turned_away_client")
        else:
            counters.add(f"dns.{connection.via.value}_connections")
            return True
        return False

    def leave(self, connection: Connection) -> None:
        self.connections.discard(connection)
        self.by_client[connection.peer] -= 1
        if not self.by_client[connection.peer]:
            del self.by_client[connection.peer]

    def close(self) -> None:
        for connection in list(self.connections):
            connection.close()


class Pending:
    """One question of a connection."""

    __slots__ = ("connection", "ended", "wire")

    def __init__(self, connection: Connection, wire: bytes) -> None:
        self.connection, self.wire, self.ended = connection, wire, False

    @property
    def peer(self) -> str:
        return self.connection.peer

    @property
    def via(self) -> Via:
        return self.connection.via

    def send(self, wire: bytes) -> None:
        self.connection.answered(self, wire)

    def drop(self) -> None:
        self.connection.answered(self, None)


class Connection(asyncio.Protocol):
    def __init__(self, streams: Streams, via: Via) -> None:
        self.streams, self.front, self.via = streams, streams.front, via
        self.rest = b""
        self.transport: asyncio.Transport | None = None
        self.waiting: deque[bytes] = deque()  # not looked at yet
        self.open = 0  # with the core
        self.full = self.taking = self.ended = False
        self.peer = ""
        self.last_ms = 0.0  # when the last whole question came: one that is dribbled does not count

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.peer = str(self.transport.get_extra_info("peername")[0])
        # Over TLS a limit of 0 would pause for good; its own buffer is what is bounded there.
        self.transport.set_write_buffer_limits(high=1 if self.via is Via.TLS else 0)
        if not self.streams.enter(self):
            return self.close()
        self.last_ms = self.front.exchange.clock()
        self._watch()

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self.waiting.clear()
        self.streams.leave(self)

    def pause_writing(self) -> None:
        self.full = True

    def resume_writing(self) -> None:
        self.full = False
        self._next()

    def data_received(self, data: bytes) -> None:
        self.rest += data
        while len(self.rest) >= 2 and len(self.rest) >= (end := 2 + int.from_bytes(self.rest[:2], "big")):
            self.waiting.append(self.rest[2:end])
            self.rest = self.rest[end:]
            self.last_ms = self.front.exchange.clock()
        self._next()

    def eof_received(self) -> bool:
        """Its client has said all: what is owed is written first (RFC 7766, 6.2.4)."""
        self.ended = True
        self._end()
        return True

    def _end(self) -> None:
        if self.ended and not self.open and not self.waiting and self.transport is not None:
            self.transport.close()

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def _next(self) -> None:
        """Ask what waits, as far as the bounds go; beyond them nothing is read."""
        if self.taking:
            return
        self.taking = True  # an answer at once comes back here
        most = self.front.config.tcp_open
        while self.waiting and self.open < most and not self.full and self.transport is not None:
            self.open += 1
            wire = self.waiting.popleft()
            self.front.receive(wire, Pending(self, wire))
        self.taking = False
        if self.transport is not None:
            if len(self.waiting) > most:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()
            self._end()

    def answered(self, pending: Pending, wire: bytes | None) -> None:
        if pending.ended:
            return
        pending.ended = True
        self.open -= 1
        if self.transport is None:
            return
        if wire is not None and self.full:
            self.waiting.appendleft(pending.wire)
        elif wire is not None and not self.transport.is_closing():
            self.transport.write(len(wire).to_bytes(2, "big") + wire)
        self._next()

    def _watch(self) -> None:
        """Close when nothing whole has come for long, and nothing is owed."""
        if self.transport is None:
            return
        now, idle = self.front.exchange.clock(), self.front.config.tcp_idle_ms
        if now - self.last_ms >= idle and (not self.open or self.full):
            self.front.counters.add("dns.tcp_idle")
            return self.close()
        self.front.exchange.deadlines.add(max(now + 10.0, self.last_ms + idle), self._watch)
