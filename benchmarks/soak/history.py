"""The records that clients, servers and the coordinator make of a run; times are monotonic seconds."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

from .scheduling import ProcessorWait


class Effect(Enum):
    """Whether a request may be executed a second time."""

    REPEATABLE = "repeatable"
    BY_KEY = "by_key"  # within its window, servers drop a repeat with the same key
    ONCE = "once"


class End(Enum):
    """How a request ended for its client."""

    RESPONDED = "answered"  # with a complete response
    CLOSED = "closed"  # the connection ended before that
    TIMED_OUT = "silent"  # no complete response until long after its deadline
    CLIENT_LEFT = "left"  # the client disconnected first
    UNSENT = "unsent"  # it was not sent completely


@dataclass(slots=True, eq=False)
class RequestRecord:
    """One request as its client saw it.

    Attributes:
        trace_id: Its id.
        director: The director that it was sent to, and the start number of that process.
        class_name: Its class.
        effect: Whether it may be executed a second time.
        window_s: How long servers drop repeats, for a request with a key.
        object_id: Object and part.
        wait_s: How long the client waits.
        first_byte_s: When its first byte was written.
        sent_s: When its last byte was written.
        is_first_on_connection: Whether it was the first on its connection.
        left_s: When its client disconnected.
        ended_s: When the client read its end.
        earliest_end_s: The earliest time at which its end can have arrived; it had not by then.
        end: How it ended.
        status: The status of its response.
        body: The body of its response.
        has_retry_after: Whether the response has a Retry-After field.
        surplus_bytes: The number of bytes after a complete response.
        received_bytes: The number of bytes of its response, complete or not.
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
    is_first_on_connection: bool = False
    left_s: float | None = None
    ended_s: float = 0.0
    earliest_end_s: float = 0.0
    end: End = End.UNSENT
    status: int = 0
    body: bytes = b""
    has_retry_after: bool = False
    surplus_bytes: int = 0
    received_bytes: int = 0


@dataclass(slots=True, eq=False)
class AttemptRecord:
    """One attempt as its server saw it; `may_have_run` unless the server reported that it did not."""

    trace_id: str
    server: str
    began_s: float  # when its first byte was read
    max_wait_ms: float
    path: str
    may_have_run: bool = True
    end: str = ""
    earliest_arrival_s: float = 0.0  # the earliest time at which its first byte can have arrived
    ended_s: float = 0.0  # when its response, or the fault in place of it, was written


@dataclass(slots=True)
class DrainRecord:
    """A server's drain; `notified_s` is when every director counts as notified of it."""

    server: str
    notified_s: float


@dataclass(slots=True)
class PurgeRecord:
    """A purge of an object.

    Attributes:
        object_name: The purged object.
        version: The first version that may be served after the purge.
        notified_s: When every director counts as notified.
    """

    object_name: str
    version: int
    notified_s: float


@dataclass(slots=True)
class StopRecord:
    """The end of a director's process: a planned stop, or a kill without notice."""

    director: tuple[str, int]
    sigterm_s: float | None
    sigkill_s: float | None
    exit_code: int | None = None
    log_errors: int = 0


@dataclass(slots=True)
class LeakRecord:
    """A resource that a director still uses though no client is connected."""

    director: tuple[str, int]
    resource: str


@dataclass(slots=True)
class BurstRecord:
    """A burst of idle connections to a director; `until_s` is some time after the last was closed."""

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
    bursts: list[BurstRecord] = field(default_factory=list)
    waits: list[ProcessorWait] = field(default_factory=list)  # of the directors and the soak
    notes: list[tuple[float, str]] = field(default_factory=list)  # for the timeline: faults, signals

    def note(self, at_s: float, text: str) -> None:
        """Adds a line to the timeline."""
        self.notes.append((at_s, text))
