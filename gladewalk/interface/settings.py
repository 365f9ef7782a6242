"""Settings of the decision module: everything in which one deployment differs from another."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ..errors import InvalidSettingsError


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
    IN_RESPONSES = "in_answers"
    IN_HEALTH_CHECKS = "in_health_checks"


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
