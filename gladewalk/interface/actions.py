"""Actions of the decision module: what its caller is to do, in their order."""

from __future__ import annotations

from dataclasses import dataclass, field


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
