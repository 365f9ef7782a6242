"""Settings of the decision module: everything that differs between deployments."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ..errors import InvalidSettingsError


class Idempotency(Enum):
    """Whether a request of a class may be sent again without a second effect (RFC 9110, section 9.2.2)."""

    IDEMPOTENT = "idempotent"
    KEYED = "keyed"  # repeats with the same idempotency key are dropped for a time
    NON_IDEMPOTENT = "non_idempotent"


class DeduplicationScope(Enum):
    """Which caches drop the repeats of a keyed request; the values are those of the deployment's settings."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class SiblingSources(Enum):
    """Which other caches may be named as the source of a fill."""

    NONE = "none"
    LOCATION = "location"
    ANY = "any"


class DetailLevel(Enum):
    """Which outcomes have an `OutcomeDetail`."""

    NONE = "none"
    HIT = "hit"
    ALL = "all"


class LoadReporting(Enum):
    """How caches report their load."""

    NONE = "none"
    IN_RESPONSES = "in_answers"
    IN_HEALTH_CHECKS = "in_health_checks"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """The service level of one class of requests."""

    name: str
    latency_objective_ms: float
    deadline_ms: float
    latency_objective_stretch: float = 0.0  # this multiple of the transfer time is added to the objective
    priority_weight: float = 1.0  # weight of a response that meets the objective
    late_priority_weight: float = 0.0  # weight of a response after the objective
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0  # how long repeats of a keyed request are dropped
    streaming: bool = False
    freshness_lifetime_ms: float = 0.0  # 0: a copy of any age is fresh (RFC 9111, section 4.2)
    stale_grace_ms: float = 0.0  # how long after its lifetime a stale copy may be served
    stale_priority_weight: float = 0.0  # weight of a stale response
    has_parts: bool = False  # clients request the parts of an object one after another
    is_write: bool = False


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of one dispatcher."""

    classes: tuple[RequestClass, ...]
    dispatcher_index: int = -1  # this dispatcher's number among all; -1: unknown
    dispatcher_count: int = 1
    zone: str = ""
    zones: tuple[str, ...] = ()
    hub_of_zone: tuple[int, ...] = ()
    dispatchers_by_zone: tuple[int, ...] = ()
    inbound_link_kb_per_s: tuple[float, ...] = ()  # by zone
    client_rate_kb_per_s: float = 0.0  # maximum rate of one transfer to a client; 0: unknown
    capacities_listed: bool = True  # the endpoint list gives the servers' capacities
    infers_capacity: bool = False  # a cache's capacity is learned from its responses
    client_connection_limit: int = 0  # concurrent requests of clients at this dispatcher; 0: unknown
    max_attempts: int = 1
    hedging: bool = False  # a second attempt may be in flight concurrently with the first
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
    slow_start_fraction: float = 1.0  # fraction of its capacity that a restarted cache has at its start
    slow_start_ms: float = 0.0
    overload_multiple: float = 1.0  # the load at which a cache fails, as a multiple of its current capacity
    overload_window_ms: float = 1000.0
    parent_slow_start_fraction: float = 1.0
    parent_slow_start_ms: float = 0.0
    parent_overload_multiple: float = 1.0
    purge_grace_ms: float = 0.0
    purge_settle_ms: float = 0.0  # how long after a purge caches may still have a purged copy
    origin_overload_multiple: float = 0.0
    origin_overload_window_ms: float = 0.0


def validate_settings(settings: Settings) -> None:
    """Raises `InvalidSettingsError`, which names the field, for settings that no dispatcher can use."""
    if not settings.classes:
        raise InvalidSettingsError("classes: at least one class is required")
    sections: tuple[RequestClass | Settings, ...] = (*settings.classes, settings)
    for section in sections:
        for name in section.__dataclass_fields__:
            if name.endswith("_ms") and getattr(section, name) < 0:
                raise InvalidSettingsError(f"{name}: must not be negative")
    if settings.max_attempts < 1:
        raise InvalidSettingsError("max_attempts: must be at least 1")
