"""The bytes of a shared HTTP/2 connection: what was handed over, windows, and whether it still lives."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from h2.errors import ErrorCodes

from ..streams.keep_alive import Bucket, Liveness, Pulse
from ..streams.stream_allocator import Shared
from ..streams.stream_tracker import Ledger, Reason
from .http2_engine import Engine
from .http2_stream import Stream

if TYPE_CHECKING:
    from .connection_group import Lane


class Http2Wire(asyncio.Protocol):
    """What every part of a connection writes through."""

    def __init__(self, lane: Lane, secure: bool) -> None:
        self.lane, self.pool = lane, lane.pool
        self.address = lane.upstream.address
        terms, now = lane.terms, self.pool.clock()
        self.transport: asyncio.Transport | None = None
        self.secure = secure
        self.engine = Engine(terms, self.pool.clock, self.pool.counters.add)
        self.ledger = Ledger()
        self.streams: dict[int, Stream] = {}
        self.uploads: set[Stream] = set()
        self.shared: Shared | None = None  # once the server's settings have come
        self.cancels = Bucket(terms.reset_burst, terms.resets_per_s, now)
        self.liveness = Liveness(terms.ping_after_ms, terms.ping_timeout_ms, now)
        self.written = 0  # bytes handed to the transport
        self.out = bytearray()  # and those that are about to be
        self.writable = True
        self.taken_in_the_end: int | None = None  # of the bytes written, where we ended it ourselves
        self.heard_any = False
        self.reason = Reason.LOST  # why it ends, once it does
        self.window_step = terms.stream_window_bytes // 2
        self.uncredited = 0  # bytes of the connection's own window
        self.busy = False  # within a read: what is to be written goes out at its end

    def credit_connection(self, size: int) -> None:
        """The connection's window opens whatever clients do: a slow one must not stall its neighbours."""
        self.uncredited += size
        if self.uncredited >= self.lane.terms.connection_window_bytes // 4:
            self.engine.increment_flow_control_window(self.uncredited)
            self.uncredited = 0

    def credit(self, stream: Stream) -> None:
        """A stream's window opens again as its client takes the bytes."""
        wanted = stream.job is not None and not stream.withheld and stream.number in self.streams
        if wanted and stream.uncredited >= self.window_step:
            if self.engine.streams[stream.number].open:
                self.engine.increment_flow_control_window(stream.uncredited, stream.number)
            stream.uncredited = 0

    def position(self) -> int:
        """Bytes of this connection so far, with those that are about to be written."""
        self.out += self.engine.data_to_send()
        return self.written + len(self.out)

    def taken(self) -> int:
        """Bytes that the kernel has taken, at the most.

        Over TLS what the transport still holds is not told, so all that was written counts as taken: that
        proves less, and nothing that is not so. The same where a transport is lost and has thrown its buffer
        away: it tells of none. What waits here, in `out`, was never handed over at all.
        """
        if self.transport is None or self.secure:
            return self.written
        return self.written - self.transport.get_write_buffer_size()

    def abort(self, reason: Reason) -> None:
        """End at once: what the kernel has not taken by now it never will."""
        self.reason, self.taken_in_the_end = reason, self.taken()
        if self.transport is not None:
            self.transport.abort()

    def flush(self) -> None:
        if not self.busy:
            self.write_out()

    def write_out(self) -> None:
        if not self.writable:  # it stays in our hands: so it is known that the server can't have seen it
            self.out += self.engine.data_to_send()
            return
        data = bytes(self.out) + self.engine.data_to_send() if self.out else self.engine.data_to_send()
        self.out.clear()
        if data and self.transport is not None:
            self.written += len(data)
            self.transport.write(data)

    # Its life.

    def pulse(self, now_ms: float) -> None:
        """Now and then: whether it still lives."""
        match self.liveness.pulse(bool(self.streams) or self.shared is None, now_ms):
            case Pulse.PING:
                self.pool.counters.add("h2.pings")
                self.engine.ping(b"gladewlk")
                self.flush()
            case Pulse.DEAD:
                self.pool.counters.add("h2.silent")
                self.abort(Reason.SILENT)
            case Pulse.QUIET:
                pass

    def is_quiet(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def close(self, code: ErrorCodes = ErrorCodes.NO_ERROR) -> None:
        """Say so and go; what is still open ends with the connection."""
        if self.transport is None or self.transport.is_closing():
            return
        self.engine.close_connection(code)
        self.write_out()
        if self.streams:
            self.abort(Reason.LOST)
        else:
            self.transport.close()
