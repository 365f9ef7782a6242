"""The stream ledger of a connection: what of each request the server can have seen, and what it said of it.

When a stream ends without a whole answer, the question is whether the server may have run the request. Only
two things prove that it did not (RFC 9113, 8.7): a GOAWAY whose last stream id is lower than the stream's own
(6.8), and RST_STREAM with REFUSED_STREAM. To these comes what needs no word of the server's: a head that the
kernel never took whole can't have reached it. Everything else may have run.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum

NO_ERROR = 0x0
REFUSED_STREAM = 0x7  # RFC 9113, section 7
ENHANCE_YOUR_CALM = 0xB
HTTP_1_1_REQUIRED = 0xD


class Reached(IntEnum):
    """How much of a request the kernel has taken; more than it took can't have reached the server."""

    NOTHING = 0
    PART_OF_HEAD = 1
    HEAD = 2
    WHOLE = 3


class Reason(Enum):
    """Why a stream ended without its answer; the first four prove that it never ran."""

    NOT_TAKEN = "not_taken"  # the kernel took nothing of its head
    HEAD_NOT_WHOLE = "head_not_whole"  # or not all of it
    ABOVE_GOAWAY = "above_goaway"  # RFC 9113, 6.8: above the last stream that the server has acted on
    REFUSED = "refused"  # RFC 9113, 8.7: REFUSED_STREAM, before any processing
    RESET = "reset"  # RST_STREAM with any other code
    LOST = "lost"  # the connection ended, whatever the last GOAWAY had let stand
    SILENT = "silent"  # nothing came in time
    BROKE_RULES = "broke_rules"  # the server broke the protocol, so its words prove nothing more
    GIVEN_UP = "given_up"  # we did not want it any longer


PROOFS = frozenset((Reason.NOT_TAKEN, Reason.HEAD_NOT_WHOLE, Reason.ABOVE_GOAWAY, Reason.REFUSED))


@dataclass(slots=True, frozen=True)
class Finding:
    """The verdict on one stream; `code` is the server's error code where it gave one."""

    stream: int
    reason: Reason
    reached: Reached
    code: int = NO_ERROR

    @property
    def never_ran(self) -> bool:
        return self.reason in PROOFS


@dataclass(slots=True)
class Line:
    """One open stream. Offsets count the connection's bytes as they were handed to the kernel's side."""

    start: int
    head_end: int
    end: int | None  # None: some of its body is still held back here
    answered: bool = False


class Ledger:
    """Streams of one connection from their first byte to their end."""

    def __init__(self) -> None:
        self.lines: dict[int, Line] = {}
        self.last_allowed: int | None = None  # by the last GOAWAY
        self.raised = 0  # GOAWAYs that took an earlier promise back

    def opened(self, stream: int, start: int, head_end: int, whole: bool) -> None:
        """A head was written as the connection's bytes `start` to `head_end`; `whole`: no body follows."""
        self.lines[stream] = Line(start, head_end, head_end if whole else None)

    def body_ended(self, stream: int, end: int) -> None:
        """The last byte of a request's body was written as the connection's byte `end`."""
        if stream in self.lines:
            self.lines[stream].end = end

    def answer_began(self, stream: int) -> None:
        """Whatever the server says from now on: it has run this one."""
        if stream in self.lines:
            self.lines[stream].answered = True

    def answered(self, stream: int) -> None:
        self.lines.pop(stream, None)

    def reached(self, stream: int, taken: int) -> Reached:
        """How much of a stream is among the first `taken` bytes of the connection."""
        line = self.lines[stream]
        if line.answered:
            return Reached.WHOLE
        if taken <= line.start:
            return Reached.NOTHING
        if taken < line.head_end:
            return Reached.PART_OF_HEAD
        return Reached.WHOLE if line.end is not None and taken >= line.end else Reached.HEAD

    def reset(self, stream: int, code: int, taken: int) -> Finding | None:
        """The server reset a stream; None: one that is not open."""
        if stream not in self.lines:
            return None
        # A server that has begun to answer contradicts itself if it then says that nothing ran.
        refused = code == REFUSED_STREAM and not self.lines[stream].answered
        return self._end(stream, Reason.REFUSED if refused else Reason.RESET, taken, code)

    def goaway(self, last: int, code: int, taken: int) -> list[Finding]:
        """The server goes: the streams above `last` end now, and never ran. Those up to it may go on.

        A graceful end has two steps, the first with the highest id there is (6.8). A last id that rises again
        takes a promise back: it counts as broken, and the lower one stays in force.
        """
        if self.last_allowed is not None and last > self.last_allowed:
            self.raised += 1
            return []
        self.last_allowed = last
        above = [n for n, line in self.lines.items() if n > last and not line.answered]
        return [self._end(n, Reason.ABOVE_GOAWAY, taken, code) for n in sorted(above)]

    def given_up(self, stream: int, taken: int) -> Finding | None:
        return self._end(stream, Reason.GIVEN_UP, taken) if stream in self.lines else None

    def broke_rules(self, stream: int, taken: int) -> Finding | None:
        """The server broke a rule on one stream: its words prove nothing more about that one."""
        return self._end(stream, Reason.BROKE_RULES, taken) if stream in self.lines else None

    def closed(self, reason: Reason, taken: int, code: int = NO_ERROR) -> list[Finding]:
        """The connection is over: everything still open ends.

        `taken` is how many of its bytes the kernel took, at the most: who can't know must give all that were
        written, for a figure too low would prove what is not so.
        """
        found = []
        for stream in sorted(self.lines):
            reached = self.reached(stream, taken)
            own = {Reached.NOTHING: Reason.NOT_TAKEN, Reached.PART_OF_HEAD: Reason.HEAD_NOT_WHOLE}
            found.append(self._end(stream, own.get(reached, reason), taken, code))
        return found

    def _end(self, stream: int, reason: Reason, taken: int, code: int = NO_ERROR) -> Finding:
        reached = self.reached(stream, taken)
        del self.lines[stream]
        return Finding(stream, reason, reached, code)
