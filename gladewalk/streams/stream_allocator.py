"""Decides which HTTP/2 connection of a server carries the next request, and when one is opened or closed.

Streams are counted against the limit that the server sets for each connection (RFC 9113, section 5.1.2).
The server may lower this limit below the number of open streams, even to 0, and raise it again. Connections
are filled one after the other, the oldest first: few connections are open, and the newest becomes idle first.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ..config.option_tables import Http2Options

MAX_STREAM_ID = 2**31 - 1  # RFC 9113, section 5.1.1
MAX_CALM_DOUBLINGS = 4  # limits the backoff after ENHANCE_YOUR_CALM to 16 times its first duration


class NextStep(Enum):
    """What happens to the next request while no connection has capacity for it."""

    OPEN = "open"  # another connection is opened
    WAIT = "wait"  # the request waits until a stream ends or a limit rises
    REJECT = "reject"  # the server has sent ENHANCE_YOUR_CALM, and its backoff has not ended


@dataclass(slots=True)
class ConnectionSlots:
    """The stream capacity of one connection.

    Attributes:
        number: Identifies the connection among those of its server.
        max_streams: How many streams may be open.
        open_count: How many streams are open.
        next_stream_id: The id of the next stream.
        draining_since_ms: When the connection began to drain: it gets no new requests and is closed once its
            last stream has ended. None: it is not draining.
        idle_since_ms: When the last stream ended; valid only while no stream is open.
        is_stalled: Whether the connection's send buffer is full, so that no new stream is opened on it.
        abandoned_count: Open streams whose response is not needed any more, but which could not be reset.
    """

    number: int
    max_streams: int
    open_count: int = 0
    next_stream_id: int = 1
    draining_since_ms: float | None = None
    idle_since_ms: float = 0.0
    is_stalled: bool = False
    abandoned_count: int = 0


class StreamAllocator:
    """Allocates the streams on the connections of one server.

    Attributes:
        dialling: How many connections are being opened, or have not received the server's settings yet.
        calm_until_ms: When the backoff after ENHANCE_YOUR_CALM ends; the server gets no new requests before.
        calm_requests: How many such backoffs have followed each other without a complete response between.
    """

    def __init__(self, options: Http2Options) -> None:
        self.options = options
        self.connections: dict[int, ConnectionSlots] = {}
        self.dialling = 0
        self.calm_until_ms, self.calm_requests = 0.0, 0
        self._last_number = 0

    # Events.

    def dial_begun(self) -> None:
        """Records that a connection is being opened."""
        self.dialling += 1

    def dial_ended(self) -> None:
        """Records that a connection is ready or could not be opened."""
        self.dialling -= 1

    def add_connection(self, max_streams: int | None, now_ms: float) -> ConnectionSlots:
        """Adds a connection that has received the server's settings; `max_streams` None: no limit in them."""
        self._last_number += 1
        slots = ConnectionSlots(self._last_number, self._bounded(max_streams), idle_since_ms=now_ms)
        self.connections[slots.number] = slots
        return slots

    def remove_connection(self, slots: ConnectionSlots) -> None:
        """Removes a closed connection."""
        self.connections.pop(slots.number, None)

    def set_max_streams(self, slots: ConnectionSlots, max_streams: int | None) -> None:
        """Applies a changed stream limit of the server."""
        slots.max_streams = self._bounded(max_streams)

    def open_stream(self, slots: ConnectionSlots) -> int:
        """Allocates a stream for a request and returns its id."""
        stream_id = slots.next_stream_id
        slots.next_stream_id += 2
        slots.open_count += 1
        return stream_id

    def close_stream(self, slots: ConnectionSlots, now_ms: float, was_abandoned: bool = False) -> None:
        """Frees the capacity that a stream used; `was_abandoned`: `abandon_stream` was called for it."""
        slots.open_count -= 1
        slots.abandoned_count -= was_abandoned
        if not slots.open_count:
            slots.idle_since_ms = now_ms

    def abandon_stream(self, slots: ConnectionSlots, now_ms: float) -> None:
        """Records a stream whose response is not needed any more, but which may not be reset.

        The stream counts against the limit until it ends. Once such streams use half of a connection's
        limit, the connection is drained, and another one carries new requests.
        """
        slots.abandoned_count += 1
        if 2 * slots.abandoned_count >= max(2, slots.max_streams):
            self.drain(slots, now_ms)

    def drain(self, slots: ConnectionSlots, now_ms: float) -> None:
        """Sends no new requests on a connection, and closes it once its last stream has ended."""
        if slots.draining_since_ms is None:
            slots.draining_since_ms = now_ms

    def calm_requested(self, now_ms: float) -> None:
        """Applies ENHANCE_YOUR_CALM: starts a backoff, which doubles until a response completes."""
        if now_ms >= self.calm_until_ms:
            doublings = min(self.calm_requests, MAX_CALM_DOUBLINGS)
            self.calm_until_ms = now_ms + self.options.calm_backoff_ms * 2.0**doublings
            self.calm_requests += 1

    def response_completed(self, now_ms: float) -> None:
        """Resets the backoff's duration, as the server has sent a complete response after it."""
        if self.calm_requests and now_ms >= self.calm_until_ms:
            self.calm_requests = 0

    # Decisions.

    def choose(self, waiting_count: int, now_ms: float) -> ConnectionSlots | NextStep:
        """Returns the connection for the first of `waiting_count` requests, or what to do instead."""
        if now_ms < self.calm_until_ms:
            return NextStep.REJECT
        for slots in self.connections.values():
            if self.has_capacity(slots):
                return slots
        usable = [slots for slots in self.connections.values() if self.is_usable(slots)]
        if any(slots.max_streams == 0 for slots in usable):
            return NextStep.WAIT  # a server that allows no streams needs no further connection either
        if len(usable) + self.dialling >= self.options.max_connections:
            return NextStep.WAIT
        # By the options' stream limit, the connections being opened have room for all waiting requests.
        if self.dialling and waiting_count <= self.dialling * self.options.max_streams:
            return NextStep.WAIT
        return NextStep.OPEN

    def is_usable(self, slots: ConnectionSlots) -> bool:
        """Whether a connection may carry new requests: it is not draining and has stream ids left."""
        return slots.draining_since_ms is None and slots.next_stream_id <= MAX_STREAM_ID

    def has_capacity(self, slots: ConnectionSlots) -> bool:
        """Whether a stream may be opened on a connection now."""
        return slots.open_count < slots.max_streams and not slots.is_stalled and self.is_usable(slots)

    def closable_connections(self, now_ms: float, max_idle_ms: float) -> list[ConnectionSlots]:
        """Returns the connections that have drained, or have been draining or idle for too long."""
        connections = self.connections.values()
        return [slots for slots in connections if self._is_closable(slots, now_ms, max_idle_ms)]

    def _is_closable(self, slots: ConnectionSlots, now_ms: float, max_idle_ms: float) -> bool:
        since_ms = slots.draining_since_ms
        if since_ms is not None and now_ms - since_ms > self.options.max_drain_ms:
            return True
        is_idle_too_long = now_ms - slots.idle_since_ms > max_idle_ms
        return not slots.open_count and (not self.is_usable(slots) or is_idle_too_long)

    def _bounded(self, max_streams: int | None) -> int:
        own_limit = self.options.max_streams
        return own_limit if max_streams is None else min(max_streams, own_limit)
