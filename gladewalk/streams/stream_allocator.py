"""Decides which HTTP/2 connection of a server takes the next request, and when another is opened or closed.

Streams are counted against the limit that the server sets for each connection (RFC 9113, section 5.1.2),
which may fall below what is open, even to 0, and rise again. Connections are filled one after the other, the
oldest first, so that few are open and the newest one becomes idle.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ..config.option_tables import Http2Options

MAX_STREAM_ID = 2**31 - 1  # RFC 9113, section 5.1.1
MAX_CALM_DOUBLINGS = 4


class NextStep(Enum):
    """What happens to the next request while no connection can take it."""

    OPEN = "open"  # another connection is opened
    WAIT = "wait"  # until a stream ends or a limit rises
    REJECT = "reject"  # the server has asked for calm


@dataclass(slots=True)
class ConnectionSlots:
    """The streams of one connection.

    Attributes:
        number: Identifies the connection within its server.
        max_streams: How many streams may be open.
        open_count: How many are.
        next_stream_id: The id of the next one.
        draining_since_ms: Since when nothing new is sent and the connection closes with its last stream.
        idle_since_ms: Since when no stream is open, while none is.
        is_stalled: Whether the server takes no more bytes for the moment.
        abandoned_count: Open streams whose response is not wanted, but which could not be reset.
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
    """The connections of one server, and the decisions on them.

    Attributes:
        dialling: Connections that are being opened, or whose server has not sent its settings.
        calm_until_ms: Until when the server has asked for no new requests (ENHANCE_YOUR_CALM).
        calm_requests: How often it has asked so in a row.
    """

    def __init__(self, options: Http2Options) -> None:
        self.options = options
        self.connections: dict[int, ConnectionSlots] = {}
        self.dialling = 0
        self.calm_until_ms, self.calm_requests = 0.0, 0
        self._last_number = 0

    # Events.

    def dial_begun(self) -> None:
        """A connection is being opened."""
        self.dialling += 1

    def dial_ended(self) -> None:
        """A connection is ready or could not be opened."""
        self.dialling -= 1

    def add_connection(self, max_streams: int | None, now_ms: float) -> ConnectionSlots:
        """Adds a connection whose server has sent its settings; `max_streams` None: it sets no limit."""
        self._last_number += 1
        slots = ConnectionSlots(self._last_number, self._bounded(max_streams), idle_since_ms=now_ms)
        self.connections[slots.number] = slots
        return slots

    def remove_connection(self, slots: ConnectionSlots) -> None:
        """Removes a connection that is closed."""
        self.connections.pop(slots.number, None)

    def set_max_streams(self, slots: ConnectionSlots, max_streams: int | None) -> None:
        """Applies a limit that the server has changed."""
        slots.max_streams = self._bounded(max_streams)

    def open_stream(self, slots: ConnectionSlots) -> int:
        """Takes a stream for a request and returns its id."""
        stream_id = slots.next_stream_id
        slots.next_stream_id += 2
        slots.open_count += 1
        return stream_id

    def close_stream(self, slots: ConnectionSlots, now_ms: float, was_abandoned: bool = False) -> None:
        """Gives the place of a stream back."""
        slots.open_count -= 1
        slots.abandoned_count -= was_abandoned
        if not slots.open_count:
            slots.idle_since_ms = now_ms

    def abandon_stream(self, slots: ConnectionSlots, now_ms: float) -> None:
        """Records a stream that is not wanted and must not be reset: it keeps its place until it ends.

        Once half of a connection's places are taken by such streams, the connection is drained and another
        one takes over.
        """
        slots.abandoned_count += 1
        if 2 * slots.abandoned_count >= max(2, slots.max_streams):
            self.drain(slots, now_ms)

    def drain(self, slots: ConnectionSlots, now_ms: float) -> None:
        """Sends nothing new on a connection, which closes with its last stream."""
        if slots.draining_since_ms is None:
            slots.draining_since_ms = now_ms

    def calm_requested(self, now_ms: float) -> None:
        """Applies ENHANCE_YOUR_CALM: exponential backoff with each time in a row."""
        if now_ms >= self.calm_until_ms:
            doublings = min(self.calm_requests, MAX_CALM_DOUBLINGS)
            self.calm_until_ms = now_ms + self.options.calm_backoff_ms * 2.0**doublings
            self.calm_requests += 1

    def response_completed(self, now_ms: float) -> None:
        """Ends the row of requests for calm: the server answers again."""
        if self.calm_requests and now_ms >= self.calm_until_ms:
            self.calm_requests = 0

    # Decisions.

    def choose(self, waiting_count: int, now_ms: float) -> ConnectionSlots | NextStep:
        """Returns what the first of `waiting_count` requests gets."""
        if now_ms < self.calm_until_ms:
            return NextStep.REJECT
        for slots in self.connections.values():
            if self.has_capacity(slots):
                return slots
        usable = [slots for slots in self.connections.values() if self.is_usable(slots)]
        if any(slots.max_streams == 0 for slots in usable):
            return NextStep.WAIT  # a server that allows no streams wants no further connection either
        if len(usable) + self.dialling >= self.options.max_connections:
            return NextStep.WAIT
        # The connections that are being opened will take the waiting requests, as far as the options tell.
        if self.dialling and waiting_count <= self.dialling * self.options.max_streams:
            return NextStep.WAIT
        return NextStep.OPEN

    def is_usable(self, slots: ConnectionSlots) -> bool:
        """Whether a connection takes new requests at all."""
        return slots.draining_since_ms is None and slots.next_stream_id <= MAX_STREAM_ID

    def has_capacity(self, slots: ConnectionSlots) -> bool:
        """Whether a connection takes a request now."""
        return slots.open_count < slots.max_streams and not slots.is_stalled and self.is_usable(slots)

    def closable_connections(self, now_ms: float, max_idle_ms: float) -> list[ConnectionSlots]:
        """Returns the connections that are drained, drain for too long or are idle for too long."""
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
