"""Events, actions and settings of the decision module. Nothing is decided here.

The dispatcher (`gladewalk.policy.Dispatcher`) takes one event at a time and returns the actions that answer
it. Times are milliseconds (suffix `_ms`) of the caller's clock, sizes kilobytes (`_kb`). A server is named by
an opaque string that stays the same when its process restarts.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from .errors import InvalidSettingsError


class Idempotency(Enum):
    """What sending a request of a class once more may do (RFC 9110, section 9.2.2)."""

    IDEMPOTENT = "idempotent"
    KEYED = "keyed"  # repeats with the same idempotency key are dropped for a time
    NON_IDEMPOTENT = "non_idempotent"


class DeduplicationScope(Enum):
    """Which caches drop the repeats of a keyed request; the values are those of the settings."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class SiblingSources(Enum):
    """Which other caches may be named as the source of a fill."""

    NONE = "none"
    LOCATION = "location"
    ANY = "any"


class DetailLevel(Enum):
    """Which outcomes carry an `OutcomeDetail`."""

    NONE = "none"
    HIT = "hit"
    ALL = "all"


class LoadReporting(Enum):
    """How caches report their load."""

    NONE = "none"
    IN_ANSWERS = "in_answers"
    IN_HEALTH_CHECKS = "in_health_checks"


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
SOURCE_ANSWERED = (OutcomeDetail.SOURCE_LACKS, OutcomeDetail.SOURCE_REJECTED, OutcomeDetail.ORIGIN_FAILED)


@dataclass(slots=True, frozen=True)
class RequestClass:
    """The service level of one class of requests."""

    name: str
    latency_objective_ms: float
    deadline_ms: float
    latency_objective_stretch: float = 0.0  # of the transfer time, added to the objective
    priority_weight: float = 1.0  # worth of an answer in time
    late_priority_weight: float = 0.0  # and of a late one
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0  # for which repeats of a keyed request are dropped
    streaming: bool = False
    freshness_lifetime_ms: float = 0.0  # 0: a copy of any age is fresh (RFC 9111, section 4.2)
    stale_grace_ms: float = 0.0  # past the lifetime, in which a stale copy may be served
    stale_priority_weight: float = 0.0
    has_parts: bool = False  # clients ask for the parts of an object one after another
    is_write: bool = False


@dataclass(slots=True, frozen=True)
class Settings:
    """Everything in which one deployment differs from another."""

    classes: tuple[RequestClass, ...]
    dispatcher_index: int = -1  # this dispatcher's number among all; -1: unknown
    dispatcher_count: int = 1
    zone: str = ""
    zones: tuple[str, ...] = ()
    hub_of_zone: tuple[int, ...] = ()
    dispatchers_by_zone: tuple[int, ...] = ()
    inbound_link_kb_per_s: tuple[float, ...] = ()  # by zone
    client_rate_kb_per_s: float = 0.0  # the most that one transfer to a client takes
    capacities_listed: bool = True
    infers_capacity: bool = False  # a cache's capacity is learned from its answers
    client_connection_limit: int = 0  # requests that clients can have open here at a time; 0: unknown
    max_attempts: int = 1
    hedging: bool = False  # a second attempt may be out beside the first
    may_cancel: bool = False
    may_check_health: bool = False
    may_notify_peers: bool = False
    sends_retry_after: bool = False
    max_retry_after_ms: float = 0.0
    watches_endpoints: bool = False
    load_reporting: LoadReporting = LoadReporting.NONE
    may_bypass_caches: bool = False
    may_join_fills: bool = False
    sibling_sources: SiblingSources = SiblingSources.NONE
    detail_level: DetailLevel = DetailLevel.NONE
    link_transfer_price: float = 0.0
    origin_transfer_price: float = 0.0
    answer_slack_ms: float = 0.0
    drain_grace_ms: float = 0.0
    slow_start_fraction: float = 1.0  # of a restarted cache's capacity, at its start
    slow_start_ms: float = 0.0
    overload_multiple: float = 1.0  # of its present capacity, at which a cache fails
    overload_window_ms: float = 1000.0
    parent_slow_start_fraction: float = 1.0
    parent_slow_start_ms: float = 0.0
    parent_overload_multiple: float = 1.0
    purge_grace_ms: float = 0.0
    purge_settle_ms: float = 0.0  # for which caches may still hold a purged copy
    origin_overload_multiple: float = 0.0
    origin_overload_window_ms: float = 0.0


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


# Events. Those made for every request are not frozen, which would double the time to make one.


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


# Actions.


@dataclass(slots=True)
class Lookup:
    """Ask a server for a fresh copy that it holds."""

    id: int
    server: str
    timeout_ms: float = 0.0  # 0: the request's own deadline


@dataclass(slots=True)
class Fetch:
    """Ask a server for an object, filled from `source` on a miss (the server itself: no fill)."""

    id: int
    server: str
    source: str
    max_age_ms: float = 0.0  # of the copy that will do; 0: any fresh one
    cache_rank: int = 1  # at which the copy is cached; 0: not at all
    join_fill: bool = False  # wait for a fill of the object that is under way
    cached_only: bool = False  # the source gives only what it holds
    parent_caches: bool = True
    revalidate: bool = False  # serve a copy near its end and fetch it anew behind
    timeout_ms: float = 0.0  # 0: the request's own deadline


@dataclass(slots=True, frozen=True)
class Reject:
    """The final answer: not served, may be sent again after `retry_after_ms`."""

    id: int
    retry_after_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class Fail:
    """The final answer: failed, and it is not known that a repeat is harmless."""

    id: int


@dataclass(slots=True)
class Resolved:
    """The answer to a `ResolveRequest`: equivalent servers; none stands for this director itself."""

    id: int
    servers: tuple[str, ...]
    ttl_ms: float


@dataclass(slots=True, frozen=True)
class Cancel:
    """Give up an attempt that is out."""

    id: int
    attempt: int


@dataclass(slots=True, frozen=True)
class HealthCheck:
    """Check the health of a server."""

    server: str


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Close the idle connections to a server."""

    server: str


@dataclass(slots=True, frozen=True)
class NotifyPeers:
    """Send a message to another dispatcher, or with no number to all."""

    peer: int | None
    content: bytes = field(default=b"")


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Bring a `Timer` event with this token after the delay."""

    delay_ms: float
    token: str


@dataclass(slots=True, frozen=True)
class Watch:
    """Start or stop watching the endpoint list."""

    enabled: bool


@dataclass(slots=True, frozen=True)
class FetchEndpoints:
    """Fetch the complete endpoint list once."""


@dataclass(slots=True, frozen=True)
class Log:
    """Write a line to the log."""

    line: str


Action = (
    Lookup
    | Fetch
    | Reject
    | Fail
    | Resolved
    | Cancel
    | HealthCheck
    | CloseIdle
    | NotifyPeers
    | SetTimer
    | Watch
    | FetchEndpoints
    | Log
)


def validate_settings(settings: Settings) -> None:
    """Raises `InvalidSettingsError`, which names the field, for settings no dispatcher can work with."""
    if not settings.classes:
        raise InvalidSettingsError("classes: at least one is needed")
    holders: tuple[RequestClass | Settings, ...] = (*settings.classes, settings)
    for holder in holders:
        for name in holder.__dataclass_fields__:
            if name.endswith("_ms") and getattr(holder, name) < 0:
                raise InvalidSettingsError(f"{name}: may not be negative")
    if settings.max_attempts < 1:
        raise InvalidSettingsError("max_attempts: at least one is needed")
