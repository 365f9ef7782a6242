"""Events of the decision module, which its caller delivers one at a time.

The classes that are created for every request are not frozen, as that would double their creation time.
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
    """The life cycle state of a server in the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class EndpointListKind(Enum):
    """What an endpoint list contains."""

    DELTA = "delta"  # the servers that changed
    COMPLETE = "complete"
    PERSISTED = "persisted"  # the last complete list that was stored before this start
    FAILED = "failed"  # empty, as the endpoint discovery could not be reached


class Status(Enum):
    """How an attempt ended; the values are part of counter names."""

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
    """Which hop served an attempt, or which hop failed."""

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


# Details that are possible only if the source itself has responded.
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
    capacity: float = 1.0  # concurrent transfers at full speed that its link can handle
    state: ServerState = ServerState.READY
    started_ms: float = 0.0  # last start of its process; 0: long ago
    cell: int = 0  # caches of one cell drop repeats of each other's keyed requests (`DeduplicationScope`)
    address: str = ""  # address to connect to, if listed; later another server may have the same address


@dataclass(slots=True, frozen=True)
class EndpointList:
    """The endpoint list or a change of it was received, or the list could not be fetched."""

    kind: EndpointListKind
    servers: tuple[Server, ...] = ()


@dataclass(slots=True, frozen=True)
class EarlierExecution:
    """A send of a write by another process, which may have run."""

    age_ms: float  # the time since the send
    server: str  # where it was sent


@dataclass(slots=True)
class Request:
    """A client's request was received and needs a final answer."""

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
    idempotency_key: str = ""  # the same in all of a client's retries of one keyed request; empty: unknown
    trace_id: str = ""  # new with each request; the same if a request is sent again as it was; empty: unknown
    earlier_execution: EarlierExecution | None = None  # at another process of this dispatcher


@dataclass(slots=True)
class ResolveRequest:
    """A resolver queries the servers of an object; it may keep the answer past its time to live."""

    id: int
    class_name: str
    key: int
    time_left_ms: float
    resolver: str
    part: int = 0
    group: int | None = None  # the purge group; None: unknown
    transfers: float = 1.0  # concurrent transfers that a cached answer may cause at a server


@dataclass(slots=True)
class FirstByte:
    """The response of an attempt has begun and is being forwarded to the client."""

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
    is_answered: bool  # the client has received its final answer or has disconnected
    detail: OutcomeDetail = OutcomeDetail.NONE
    source_wait_ms: float | None = None  # time until the source's first byte or its failure
    load_report: dict[str, float] | None = None


@dataclass(slots=True, frozen=True)
class HealthCheckResult:
    """The result of a health check by this or another dispatcher, `age_ms` ago."""

    server: str
    status: Status
    elapsed_ms: float
    load_report: dict[str, float] | None = None
    age_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client of a request has disconnected and no longer needs a final answer."""

    id: int


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A message from another dispatcher."""

    sender: int
    content: bytes


@dataclass(slots=True, frozen=True)
class Purge:
    """An object or, without a key, its whole group was purged `age_ms` before this event."""

    key: int | None
    group: int
    age_ms: float


@dataclass(slots=True, frozen=True)
class ProcessShareChanged:
    """How many processes serve as this dispatcher has changed, or the share of its budgets of this one.

    Without such an event there is one process, which has all of the budgets.
    """

    process_count: int
    share: float  # greater than 0, at most 1


@dataclass(slots=True, frozen=True)
class Timer:
    """The delay of a `SetTimer` action has passed."""

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
    | ProcessShareChanged
    | Timer
)
