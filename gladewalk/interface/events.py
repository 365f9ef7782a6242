"""Events of the decision module: what has happened, one at a time.

Those made for every request are not frozen, which would double the time to make one.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Role(Enum):
    """The tier of a server."""

    CACHE = "cache"
    PARENT = "parent"
    ORIGIN = "origin"


class ServerState(Enum):
    """The life cycle of a server as the endpoint list tells it."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class EndpointListKind(Enum):
    """What an endpoint list holds."""

    DELTA = "delta"  # the servers that changed
    COMPLETE = "complete"
    PERSISTED = "persisted"  # the last complete list from before this start
    FAILED = "failed"  # discovery could not be reached


class Status(Enum):
    """How an attempt ended; counter names are made of the values."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "refused"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"
    MISS = "miss"


class OutcomeDetail(Enum):
    """Where an attempt's answer came from, or which hop failed."""

    NONE = "none"
    HIT = "hit"
    FILLED = "filled"
    FILLED_BY_ORIGIN = "filled_by_origin"
    JOINED = "joined"
    STALE = "stale"
    SOURCE_REJECTED = "source_rejected"
    SOURCE_FAILED = "source_failed"
    SOURCE_LACKS = "source_lacks"
    NO_FILL_SLOT = "no_fill_slot"
    ORIGIN_FAILED = "origin_failed"


# Details that only the source itself can have given.
SOURCE_RESPONSE_DETAILS = (
    OutcomeDetail.SOURCE_LACKS,
    OutcomeDetail.SOURCE_REJECTED,
    OutcomeDetail.ORIGIN_FAILED,
)


@dataclass(slots=True, frozen=True)
class Server:
    """One entry of the endpoint list."""

    name: str
    role: Role
    zone: str
    capacity: float = 1.0  # transfers at full pace that its link bears
    state: ServerState = ServerState.READY
    started_ms: float = 0.0  # last start of its process; 0: long ago
    cell: int = 0
    address: str = ""  # where it is reached, if listed: another server may come to stand there later


@dataclass(slots=True, frozen=True)
class EndpointList:
    """The endpoint list, or a change of it, has come; or it could not be had."""

    kind: EndpointListKind
    servers: tuple[Server, ...] = ()


@dataclass(slots=True)
class Request:
    """A client's request awaits its final answer."""

    id: int
    class_name: str
    key: int
    time_left_ms: float
    size_kb: float = 0.0  # 0: unknown
    group: int = 0  # the purge group of the object
    part: int = 0
    tenant: str | None = None
    is_client_retry: bool = False
    is_write: bool = False
    idempotency_key: str = ""  # the same for all attempts of a client at one keyed request; empty: unknown


@dataclass(slots=True)
class ResolveRequest:
    """A resolver asks where its clients fetch an object, and may cache the answer past its time to live."""

    id: int
    class_name: str
    key: int
    time_left_ms: float
    resolver: str
    part: int = 0
    group: int | None = None  # the purge group; None: unknown
    transfers: float = 1.0  # at a time that a cached answer may bring to a server


@dataclass(slots=True)
class FirstByte:
    """The answer of an attempt has begun, and is passed on to the client."""

    id: int
    attempt: int
    server: str
    elapsed_ms: float


@dataclass(slots=True)
class Outcome:
    """An attempt has ended."""

    id: int
    attempt: int
    server: str
    status: Status
    elapsed_ms: float
    is_answered: bool  # the client has its final answer, or is gone
    detail: OutcomeDetail = OutcomeDetail.NONE
    source_wait_ms: float | None = None  # until the source's first byte, or its failure
    load_report: dict[str, float] | None = None


@dataclass(slots=True, frozen=True)
class HealthCheckResult:
    """What a health check of this or another dispatcher found, `age_ms` ago."""

    server: str
    status: Status
    elapsed_ms: float
    load_report: dict[str, float] | None = None
    age_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client of a request no longer waits for an answer."""

    id: int


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """Another dispatcher sent a message of its own."""

    sender: int
    content: bytes


@dataclass(slots=True, frozen=True)
class Purge:
    """An object, or with no key its whole group, was purged `age_ms` before this event."""

    key: int | None
    group: int
    age_ms: float


@dataclass(slots=True, frozen=True)
class Timer:
    """The delay of a `SetTimer` has passed."""

    token: str


Event = (
    EndpointList
    | Request
    | ResolveRequest
    | FirstByte
    | Outcome
    | HealthCheckResult
    | ClientDisconnected
    | PeerMessage
    | Purge
    | Timer
)
