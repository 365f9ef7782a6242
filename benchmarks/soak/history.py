"""What clients, servers and the coordinator recorded of a run; times are seconds of one monotonic clock."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

from .scheduling import ProcessorWait


class Effect(Enum):
    """What a second run of a request does."""

    REPEATABLE = "repeatable"
    BY_KEY = "by_key"
    ONCE = "once"


class End(Enum):
    """How a request ended for its client."""

    ANSWERED = "answered"  # a whole answer
    CLOSED = "closed"  # the connection ended without one
    SILENT = "silent"  # nothing came until long after its time
    LEFT = "left"  # the client went first
    UNSENT = "unsent"  # the connection could not be made


@dataclass(slots=True, eq=False)
class RequestRecord:
    """One request as its client saw it.

    Attributes:
        trace_id: Its id.
        director: Who it was sent to, with the number of that process's start.
        class_name: Its class.
        effect: What a second run does.
        window_s: For a keyed one: how long a repeat is dropped by the servers.
        object_id: Object and part.
        wait_s: How long the client waits.
        first_byte_s: When its first byte was written.
        sent_s: When its last byte was written.
        is_first: It was the first on its connection.
        left_s: When its client went.
        ended_s: When its end was seen.
        end_came_after_s: The earliest time at which its end can have come; up to then nothing had.
        status: Of its answer.
        body: Of its answer.
        has_retry_after: Whether the answer says when to come back.
        surplus: Bytes behind a whole answer.
        received: Bytes of an answer that is not whole.
    """

    trace_id: str
    director: tuple[str, int]
    class_name: str
    effect: Effect
    window_s: float
    object_id: str
    wait_s: float
    first_byte_s: float = 0.0
    sent_s: float = 0.0
    is_first: bool = False
    left_s: float | None = None
    ended_s: float = 0.0
    end_came_after_s: float = 0.0
    end: End = End.UNSENT
    status: int = 0
    body: bytes = b""
    has_retry_after: bool = False
    surplus: int = 0
    received: int = 0


@dataclass(slots=True, eq=False)
class AttemptRecord:
    """One attempt as its server saw it; `may_have_run` until the server told that it never ran."""

    trace_id: str
    server: str
    began_s: float  # its first byte was read
    max_wait_ms: float
    path: str
    may_have_run: bool = True
    end: str = ""
    came_after_s: float = 0.0  # the earliest time at which its first byte can have come
    ended_s: float = 0.0  # its answer, or what stood for it, was written


@dataclass(slots=True)
class DrainRecord:
    """A server's drain; `told_s` is when every director counts as told."""

    server: str
    told_s: float


@dataclass(slots=True)
class PurgeRecord:
    """A purge of an object; `version` is the first that is good, `told_s` when every director is told."""

    object_name: str
    version: int
    told_s: float


@dataclass(slots=True)
class StopRecord:
    """The end of a director's process: a planned stop, or a kill without notice."""

    director: tuple[str, int]
    term_s: float | None
    kill_s: float | None
    exit_code: int | None = None
    log_errors: int = 0


@dataclass(slots=True)
class LeakRecord:
    """What a director still had in a quiet moment."""

    director: tuple[str, int]
    what: str


@dataclass(slots=True)
class CrowdRecord:
    """A crowd of idle clients at a director, until some time after the last of them has left."""

    director: str
    from_s: float
    until_s: float = math.inf


@dataclass(slots=True)
class History:
    """All records of a run."""

    requests: list[RequestRecord] = field(default_factory=list)
    attempts: list[AttemptRecord] = field(default_factory=list)
    drains: list[DrainRecord] = field(default_factory=list)
    purges: list[PurgeRecord] = field(default_factory=list)
    stops: list[StopRecord] = field(default_factory=list)
    leaks: list[LeakRecord] = field(default_factory=list)
    crowds: list[CrowdRecord] = field(default_factory=list)
    waits: list[ProcessorWait] = field(default_factory=list)  # of the directors and the soak
    notes: list[tuple[float, str]] = field(default_factory=list)  # faults, signals, events of the feed

    def note(self, at_s: float, text: str) -> None:
        """Adds a line to the timeline."""
        self.notes.append((at_s, text))
