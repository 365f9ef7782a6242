"""Actions of the decision module, which its caller runs in the order in which they are returned."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class Lookup:
    """Request an object from a server's cache; the outcome is a miss if there is no fresh copy."""

    id: int
    server: str
    timeout_ms: float = 0.0  # 0: the request's own deadline


@dataclass(slots=True)
class Fetch:
    """Request an object from a server, which fills a miss from `source` unless that is the server itself."""

    id: int
    server: str
    source: str
    max_age_ms: float = 0.0  # maximum age of an acceptable copy; 0: any fresh one
    cache_rank: int = 1  # rank with which the copy is cached; 0: not cached
    join_fill: bool = False  # wait for a fill of the object that is in flight
    cached_only: bool = False  # the source responds only from its own cache
    parent_caches: bool = True  # a parent on the way caches the object
    revalidate: bool = False  # serve a copy that is about to expire, and refresh it in the background
    timeout_ms: float = 0.0  # 0: the request's own deadline


@dataclass(slots=True, frozen=True)
class Reject:
    """The final answer is a rejection: the client may send the request again after `retry_after_ms`."""

    id: int
    retry_after_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class Fail:
    """The final answer is a failure: a repeat of the request is not known to be harmless."""

    id: int


@dataclass(slots=True)
class Resolved:
    """The answer to a `ResolveRequest`: equivalent servers; an empty tuple means this director itself."""

    id: int
    servers: tuple[str, ...]
    ttl_ms: float


@dataclass(slots=True, frozen=True)
class Cancel:
    """Cancel an attempt in flight."""

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
    """Send a message to another dispatcher; `peer` None: to all of them."""

    peer: int | None
    content: bytes = field(default=b"")


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Deliver a `Timer` event with this token after the delay."""

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
    """Write a line to the caller's log."""

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
