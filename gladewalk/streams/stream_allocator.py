"""Which of a server's shared connections takes the next request, when another is opened, which are kept.

One `Sharing` for each server that is spoken to over HTTP/2. It counts streams against the limit that each
connection's server gave (RFC 9113, 5.1.2), which may fall below what is open, even to 0, and rise again.
Connections are filled one after the other, oldest first: so the fewest are held, and the youngest falls idle.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ..config.option_tables import Http2Options

IDS_END = 2**31 - 1  # the highest stream id (RFC 9113, 5.1.1)
CALM_DOUBLED_MOST = 4  # times that a wait for calm is doubled at the most


class Next(Enum):
    """What is to be done for the next request when no connection can take it."""

    OPEN = "open"  # a further connection
    WAIT = "wait"  # until a stream ends or a limit rises
    REFUSE = "refuse"  # the server has asked for calm: elsewhere, if anywhere


@dataclass(slots=True)
class Shared:
    """One connection as the decisions see it."""

    number: int
    limit: int  # streams that its server allows at a time
    open: int = 0
    next_id: int = 1
    draining_since: float | None = None  # takes nothing new, and goes when its last stream has ended
    idle_since: float = 0.0
    stalled: bool = False  # its server takes no more bytes for now
    abandoned: int = 0  # open streams that nobody wants, which were not reset


class Sharing:
    """The decisions for one server."""

    def __init__(self, terms: Http2Options) -> None:
        self.terms = terms
        self.connections: dict[int, Shared] = {}
        self.dialling = 0
        self.calm_until, self.calms = 0.0, 0
        self._numbers = 0

    # What has happened.

    def dial_begun(self) -> None:
        self.dialling += 1

    def dial_ended(self) -> None:
        self.dialling -= 1

    def joined(self, limit: int | None, now_ms: float) -> Shared:
        """A connection whose server has sent its settings; `limit` None: it sets none."""
        self._numbers += 1
        shared = Shared(self._numbers, self._bound(limit), idle_since=now_ms)
        self.connections[shared.number] = shared
        return shared

    def limited(self, shared: Shared, limit: int | None) -> None:
        shared.limit = self._bound(limit)

    def started(self, shared: Shared) -> int:
        """A request takes a stream, whose id this gives."""
        stream, shared.next_id = shared.next_id, shared.next_id + 2
        shared.open += 1
        return stream

    def ended(self, shared: Shared, now_ms: float, abandoned: bool = False) -> None:
        shared.open -= 1
        shared.abandoned -= abandoned
        if not shared.open:
            shared.idle_since = now_ms

    def abandoned(self, shared: Shared, now_ms: float) -> None:
        """Nobody wants a stream any more, and it must not be reset: it holds its place until it runs out.

        Guards against connections full of such streams: from half the places on, another takes over.
        """
        shared.abandoned += 1
        if 2 * shared.abandoned >= max(2, shared.limit):
            self.drain(shared, now_ms)

    def drain(self, shared: Shared, now_ms: float) -> None:
        if shared.draining_since is None:
            shared.draining_since = now_ms

    def left(self, shared: Shared) -> None:
        self.connections.pop(shared.number, None)

    def asked_for_calm(self, now_ms: float) -> None:
        """ENHANCE_YOUR_CALM: nothing new for a while, longer with each time that it says so in a row."""
        if now_ms >= self.calm_until:
            self.calm_until = now_ms + self.terms.calm_backoff_ms * 2.0 ** min(self.calms, CALM_DOUBLED_MOST)
            self.calms += 1

    def answered(self, now_ms: float) -> None:
        """A whole answer came: the server is content."""
        if self.calms and now_ms >= self.calm_until:
            self.calms = 0

    # What follows.

    def choose(self, waiting: int, now_ms: float) -> Shared | Next:
        """What the first of `waiting` requests gets."""
        if now_ms < self.calm_until:
            return Next.REFUSE
        for shared in self.connections.values():
            if self.has_room(shared):
                return shared
        usable = [s for s in self.connections.values() if self.usable(s)]
        if any(s.limit == 0 for s in usable):
            return Next.WAIT  # a server that wants no streams at all wants no further connection either
        if len(usable) + self.dialling >= self.terms.max_connections:
            return Next.WAIT
        # What is being dialled will bear the rest, as far as the terms say.
        if self.dialling and waiting <= self.dialling * self.terms.max_streams:
            return Next.WAIT
        return Next.OPEN

    def usable(self, shared: Shared) -> bool:
        return shared.draining_since is None and shared.next_id <= IDS_END

    def has_room(self, shared: Shared) -> bool:
        return shared.open < shared.limit and not shared.stalled and self.usable(shared)

    def to_close(self, now_ms: float, idle_ms: float) -> list[Shared]:
        """Connections that are over: done with draining or too long at it, out of ids, or idle for long."""
        return [s for s in self.connections.values() if self._is_over(s, now_ms, idle_ms)]

    def _is_over(self, shared: Shared, now_ms: float, idle_ms: float) -> bool:
        if shared.draining_since is not None and now_ms - shared.draining_since > self.terms.max_drain_ms:
            return True
        return not shared.open and (not self.usable(shared) or now_ms - shared.idle_since > idle_ms)

    def _bound(self, limit: int | None) -> int:
        return self.terms.max_streams if limit is None else min(limit, self.terms.max_streams)
