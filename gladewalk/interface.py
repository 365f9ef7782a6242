"""The types that the decision module takes and gives: settings, events, actions. Nothing is decided here.

Times are milliseconds (suffix `_ms`), sizes kilobytes (`_kb`). A server is named by an opaque string.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """What a repeat of a request of this class may do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """Which caches drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Siblings(Enum):
    """Which other caches may be named as a fill source."""

    NONE = "none"
    LOCATION = "location"
    ANY = "any"


class Notes(Enum):
    """Which notes outcomes carry."""

    NONE = "none"
    HIT = "hit"
    ALL = "all"


class Reports(Enum):
    """How caches report their load."""

    NONE = "none"
    ANSWERS = "answers"
    PROBE = "probe"


class Role(Enum):
    CACHE = "cache"
    PARENT = "parent"
    ORIGIN = "origin"


class ServerState(Enum):
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    CHANGES = "changes"
    WHOLE = "whole"
    LAST = "last"
    FAILED = "failed"


class Status(Enum):
    OK = "ok"
    ERROR = "error"
    REFUSED = "refused"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"
    MISS = "miss"


class Note(Enum):
    """How an attempt was answered, or where it failed."""

    NONE = "none"
    HIT = "hit"
    FILLED = "filled"
    FILLED_BY_ORIGIN = "filled_by_origin"
    JOINED = "joined"
    STALE = "stale"
    SOURCE_REFUSED = "source_refused"
    SOURCE_FAILED = "source_failed"
    SOURCE_LACKS = "source_lacks"
    NO_FILL_SLOT = "no_fill_slot"
    ORIGIN_FAILED = "origin_failed"


SOURCE_SPOKE = (Note.SOURCE_LACKS, Note.SOURCE_REFUSED, Note.ORIGIN_FAILED)  # the source itself said so


@dataclass(slots=True, frozen=True)
class RequestClass:
    name: str
    aim_ms: float
    deadline_ms: float
    aim_stretch: float = 0.0
    worth: float = 1.0
    late_worth: float = 0.0
    effect: Effect = Effect.SAFE
    scope: Scope = Scope.ALL
    key_window_ms: float = 0.0
    streaming: bool = False
    fresh_ms: float = 0.0
    grace_ms: float = 0.0
    stale_worth: float = 0.0
    parts: bool = False
    write: bool = False


@dataclass(slots=True, frozen=True)
class Settings:
    classes: tuple[RequestClass, ...]
    me: int = -1  # this dispatcher's number among all; -1: not told
    dispatchers: int = 1
    zone: str = ""
    zones: tuple[str, ...] = ()
    hub_of: tuple[int, ...] = ()
    dispatchers_by_zone: tuple[int, ...] = ()
    link_in_kb_per_s: tuple[float, ...] = ()
    client_kb_per_s: float = 0.0
    sizes_listed: bool = True
    infers_room: bool = False  # where no size is listed: what a cache bears is learned from its answers
    connection_limit: int = 0  # requests that clients can have open here at a time; 0: not known
    max_attempts: int = 1
    second_copies: bool = False
    may_cancel: bool = False
    may_probe: bool = False
    may_tell: bool = False
    retry_advice: bool = False
    max_retry_after_ms: float = 0.0
    ask_for_list: bool = False
    reports: Reports = Reports.NONE
    direct: bool = False
    joins: bool = False
    siblings: Siblings = Siblings.NONE
    notes: Notes = Notes.NONE
    link_price: float = 0.0
    origin_price: float = 0.0
    answer_slack_ms: float = 0.0
    drain_grace_ms: float = 0.0
    cold_share: float = 1.0
    ramp_ms: float = 0.0
    fall_multiple: float = 1.0
    fall_window_ms: float = 1000.0
    parent_cold_share: float = 1.0
    parent_ramp_ms: float = 0.0
    parent_fall_multiple: float = 1.0
    purge_grace_ms: float = 0.0
    purge_settle_ms: float = 0.0
    origin_fall_multiple: float = 0.0
    origin_fall_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class Server:
    name: str
    role: Role
    zone: str
    size: float = 1.0
    state: ServerState = ServerState.READY
    started_ms: float = 0.0
    cell: int = 0
    place: str = ""  # where it is reached, if that is told: another server may come to stand there later


# events; those made for every request are not frozen, which would double the time to make one


@dataclass(slots=True, frozen=True)
class ServerList:
    kind: ListKind
    servers: tuple[Server, ...] = ()


@dataclass(slots=True)
class Request:
    id: int
    class_name: str
    key: int
    time_left_ms: float
    size_kb: float = 0.0
    group: int = 0
    part: int = 0
    tenant: str | None = None
    is_repeat: bool = False  # a client's retry, where clients mark them
    is_write: bool = False
    replay_key: str = ""  # the same for all tries of a keyed request; none where nothing tells it


@dataclass(slots=True)
class Locate:
    """Somebody asks where to fetch an object by itself, and may hold the answer for longer than it is told.

    `holder` is who asks, `weight` how many transfers at a time its held answer may bring to a server.
    """

    id: int
    class_name: str
    key: int
    time_left_ms: float
    holder: str
    part: int = 0
    group: int | None = None
    weight: float = 1.0


@dataclass(slots=True)
class FirstByte:
    id: int
    attempt: int
    server: str
    took_ms: float


@dataclass(slots=True)
class Outcome:
    id: int
    attempt: int
    server: str
    status: Status
    took_ms: float
    closed: bool
    note: Note = Note.NONE
    waited_ms: float | None = None
    load: dict[str, float] | None = None


@dataclass(slots=True, frozen=True)
class ProbeResult:
    """What a probe found `age_ms` ago, ours or that of another dispatcher."""

    server: str
    status: Status
    took_ms: float
    load: dict[str, float] | None = None
    age_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class ClientGone:
    id: int


@dataclass(slots=True, frozen=True)
class PeerNote:
    sender: int
    content: bytes


@dataclass(slots=True, frozen=True)
class Purge:
    """An object was purged, or with no key its whole group, `age_ms` before this event."""

    key: int | None
    group: int
    age_ms: float


@dataclass(slots=True, frozen=True)
class Timer:
    token: str


Event = (
    ServerList | Request | Locate | FirstByte | Outcome | ProbeResult | ClientGone | PeerNote | Purge | Timer
)


# actions


@dataclass(slots=True)
class Lookup:
    """Ask a server for a fresh copy that it holds."""

    id: int
    server: str
    timeout_ms: float = 0.0


@dataclass(slots=True)
class Fetch:
    """Ask a server, naming the source of a fill (the server itself: no fill) and how old a copy may be."""

    id: int
    server: str
    source: str
    max_age_ms: float = 0.0
    rank: int = 1
    join: bool = False
    held_only: bool = False
    parent_keeps: bool = True
    renew: bool = False
    timeout_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class Refuse:
    id: int
    retry_after_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class Fail:
    id: int


@dataclass(slots=True)
class Name:
    """The answer to a `Locate`: these servers, each as good; none stands for this dispatcher itself."""

    id: int
    servers: tuple[str, ...]
    ttl_ms: float


@dataclass(slots=True, frozen=True)
class Cancel:
    id: int
    attempt: int


@dataclass(slots=True, frozen=True)
class Probe:
    server: str


@dataclass(slots=True, frozen=True)
class CloseIdle:
    server: str


@dataclass(slots=True, frozen=True)
class Tell:
    peer: int | None
    content: bytes = field(default=b"")


@dataclass(slots=True, frozen=True)
class SetTimer:
    delay_ms: float
    token: str


@dataclass(slots=True, frozen=True)
class Watch:
    on: bool


@dataclass(slots=True, frozen=True)
class FetchList:
    pass


@dataclass(slots=True, frozen=True)
class Log:
    line: str


Action = (
    Lookup
    | Fetch
    | Refuse
    | Fail
    | Name
    | Cancel
    | Probe
    | CloseIdle
    | Tell
    | SetTimer
    | Watch
    | FetchList
    | Log
)


def check(settings: Settings) -> None:
    """Settings that cannot be: named at once, not found out later."""
    if not settings.classes:
        raise ValueError("classes: at least one is needed")
    holders: tuple[RequestClass | Settings, ...] = (*settings.classes, settings)
    for holder in holders:
        for name in holder.__dataclass_fields__:
            if name.endswith("_ms") and getattr(holder, name) < 0:
                raise ValueError(f"{name}: may not be negative")
    if settings.max_attempts < 1:
        raise ValueError("max_attempts: at least one is needed")
