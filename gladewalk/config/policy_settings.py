"""Converts the platform's settings object into the `Settings` of the decision module.

Used by the running director, which reads the object from its configuration file, and by the simulator
adapter, which receives the object in a message. Unknown keys are ignored.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from .. import interface as api
from ..errors import GladewalkError

IDEMPOTENCY_BY_NAME = {
    "repeatable": api.Idempotency.IDEMPOTENT,
    "by_key": api.Idempotency.KEYED,
    "once": api.Idempotency.NON_IDEMPOTENT,
}
SIBLING_SOURCES_BY_NAME = {
    "silent": api.SiblingSources.NONE,
    "location": api.SiblingSources.LOCATION,
    "any": api.SiblingSources.ANY,
}
DETAIL_LEVEL_BY_NAME = {
    "silent": api.DetailLevel.NONE,
    "hit": api.DetailLevel.HIT,
    "all": api.DetailLevel.ALL,
}
LOAD_REPORTING_BY_NAME = {
    "silent": api.LoadReporting.NONE,
    "piggyback": api.LoadReporting.IN_RESPONSES,
    "pull": api.LoadReporting.IN_HEALTH_CHECKS,
}
OUTCOME_DETAILS = (
    api.OutcomeDetail.NONE,
    api.OutcomeDetail.HIT,
    api.OutcomeDetail.FILLED,
    api.OutcomeDetail.FILLED_BY_ORIGIN,
    api.OutcomeDetail.JOINED,
    api.OutcomeDetail.STALE,
    api.OutcomeDetail.SOURCE_REJECTED,
    api.OutcomeDetail.SOURCE_FAILED,
    api.OutcomeDetail.SOURCE_LACKS,
    api.OutcomeDetail.NO_FILL_SLOT,
    api.OutcomeDetail.ORIGIN_FAILED,
)
"""Details of an outcome, in the order of their numbers in messages (0 is NONE)."""

LOAD_FIELD_NAMES = {
    "outstanding": "inflight",
    "backlog": "queue",
    "utilization": "util",
    "recent_ms": "latency_ms",
    "throughput": "qps",
    "errors_per_s": "eps",
    "x0": "x0",
    "x1": "x1",
}
"""Names of a load report's fields in messages, and the decision module's names for them."""

JsonObject = dict[str, Any]


class InvalidMessageError(GladewalkError):
    """A field of a settings object or a message is missing or has the wrong type or value."""


def require_field(message: JsonObject, key: str, kinds: tuple[type, ...] = (int, float)) -> Any:
    """Returns a required field of one of these types; a boolean is not accepted as a number.

    Raises:
        InvalidMessageError: The field is missing or of another type.
    """
    value = message.get(key)
    if not isinstance(value, kinds) or (isinstance(value, bool) and bool not in kinds):
        raise InvalidMessageError(
            f"{message.get('op', 'settings')}: field '{key}' is missing or of the wrong type"
        )
    return value


def require_positive(message: JsonObject, key: str, where: str, default: Any = None) -> Any:
    """Returns a field that must be a number greater than 0; `where` is the path of the object in the file.

    Raises:
        InvalidMessageError: The field, or the default if the field is absent, is not a number greater than 0.
    """
    value = value_or(message.get(key), default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not value > 0:
        raise InvalidMessageError(f"{where}.{key}: not a positive number: {value!r}")
    return value


def require_choice(choices: dict[str, Any], message: JsonObject, key: str) -> Any:
    """Returns the value that the choices map the field's text to.

    Raises:
        InvalidMessageError: The field is missing, is not a string, or is none of the choices.
    """
    name = require_field(message, key, (str,))
    if name not in choices:
        raise InvalidMessageError(
            f"{message.get('op', 'settings')}: field '{key}' has the unknown value '{name}'"
        )
    return choices[name]


def item_or(values: Any, index: int, default: Any) -> Any:
    """Returns the item at this index, or the default if `values` is not a list or is too short."""
    return values[index] if isinstance(values, list) and 0 <= index < len(values) else default


def value_or(value: Any, default: Any) -> Any:
    """Returns the value, or the default if the value is None, as it is for a field that is absent or null."""
    return default if value is None else value


def read_settings(raw: JsonObject) -> api.Settings:
    """Converts the settings object.

    Raises:
        InvalidMessageError: A class or a limit cannot be used. Other fields of an unexpected type may raise
            `ValueError`, `TypeError` or `AttributeError`.
    """
    specifics: JsonObject = value_or(raw.get("specifics"), {})
    settings = api.Settings(classes=_read_classes(raw, specifics))
    settings = _with_topology(settings, raw, specifics)
    settings = _with_limits(settings, value_or(raw.get("limits"), {}))
    settings = _with_reporting(settings, raw, specifics)
    settings = _with_caching(settings, raw, specifics)
    return _with_overload_rules(settings, value_or(raw.get("invariants"), {}), specifics)


def _read_classes(raw: JsonObject, specifics: JsonObject) -> tuple[api.RequestClass, ...]:
    entries = require_field(raw, "classes", (list,))
    return tuple(_read_class(entry, index, specifics) for index, entry in enumerate(entries))


def _read_class(entry: Any, index: int, specifics: JsonObject) -> api.RequestClass:
    if not isinstance(entry, dict):
        raise InvalidMessageError("settings: an entry of 'classes' is not an object")
    return api.RequestClass(
        name=require_field(entry, "name", (str,)),
        latency_objective_ms=require_field(entry, "promise_ms"),
        deadline_ms=require_positive(entry, "give_up_ms", f"settings.classes[{index}]"),
        latency_objective_stretch=value_or(entry.get("aim_stretch"), 0.0),
        priority_weight=value_or(entry.get("importance"), 1.0),
        late_priority_weight=value_or(entry.get("late_worth"), 0.0),
        idempotency=require_choice(IDEMPOTENCY_BY_NAME, entry, "repeat"),
        deduplication_scope=api.DeduplicationScope(value_or(entry.get("key_scope"), "all")),
        deduplication_window_ms=value_or(entry.get("window_ms"), 0.0),
        streaming=bool(entry.get("streaming")),
        freshness_lifetime_ms=item_or(specifics.get("lifetime_by_class_ms"), index, 0.0),
        stale_grace_ms=item_or(specifics.get("class_grace_ms"), index, 0.0),
        stale_priority_weight=item_or(specifics.get("stale_earns"), index, 0.0),
        has_parts=item_or(specifics.get("class_parts"), index, False),
        is_write=item_or(specifics.get("uncached"), index, False),
    )


def _with_topology(settings: api.Settings, raw: JsonObject, specifics: JsonObject) -> api.Settings:
    """Adds the number of dispatchers, the zones, and the links between zones."""
    return replace(
        settings,
        dispatcher_index=value_or(raw.get("me"), -1),
        dispatcher_count=value_or(raw.get("n_instances"), 1),
        zone=value_or(raw.get("my_zone"), ""),
        zones=tuple(value_or(raw.get("zones"), ())),
        hub_of_zone=tuple(value_or(specifics.get("hub_of"), ())),
        dispatchers_by_zone=tuple(value_or(specifics.get("instances_by_zone"), ())),
        inbound_link_kb_per_s=tuple(value_or(specifics.get("link_in_kb_per_s"), ())),
        client_rate_kb_per_s=value_or(specifics.get("client_kb_per_s"), 0.0),
    )


def _with_limits(settings: api.Settings, limits: JsonObject) -> api.Settings:
    """Adds the limits on attempts, and which actions the dispatcher may take for a request."""
    return replace(
        settings,
        max_attempts=require_positive(limits, "most_tries", "settings.limits", 1),
        hedging=bool(limits.get("may_duplicate")),
        may_cancel=bool(limits.get("cancel")),
        may_check_health=bool(limits.get("may_probe")),
        may_notify_peers=bool(limits.get("peers")),
        sends_retry_after=bool(limits.get("retry_after")),
        max_retry_after_ms=value_or(limits.get("max_retry_after_ms"), 0.0),
    )


def _with_reporting(settings: api.Settings, raw: JsonObject, specifics: JsonObject) -> api.Settings:
    """Adds which information the dispatcher gets from servers, from discovery and from responses."""
    load_reporting = value_or(value_or(raw.get("feedback"), {}).get("how"), "silent")
    detail_level = value_or(specifics.get("note_level"), "silent")
    return replace(
        settings,
        capacities_listed=raw.get("weights") != "silent",
        infers_capacity=raw.get("weights") == "silent",
        watches_endpoints=raw.get("discovery") == "subscribe",
        load_reporting=LOAD_REPORTING_BY_NAME.get(load_reporting, api.LoadReporting.NONE),
        detail_level=DETAIL_LEVEL_BY_NAME.get(detail_level, api.DetailLevel.NONE),
    )


def _with_caching(settings: api.Settings, raw: JsonObject, specifics: JsonObject) -> api.Settings:
    """Adds how caches are filled, the costs of transfers, and the delays of purges."""
    sibling_sources = value_or(specifics.get("lateral"), "silent")
    return replace(
        settings,
        may_bypass_caches=bool(specifics.get("may_pass_by")),
        may_join_fills=bool(specifics.get("joins")),
        sibling_sources=SIBLING_SOURCES_BY_NAME.get(sibling_sources, api.SiblingSources.NONE),
        link_transfer_price=value_or(specifics.get("byte_fee"), 0.0),
        origin_transfer_price=value_or(value_or(raw.get("prices"), {}).get("origin"), 0.0),
        purge_grace_ms=value_or(specifics.get("obey_after_ms"), 0.0),
        purge_settle_ms=value_or(specifics.get("purge_settles_ms"), 0.0),
    )


def _with_overload_rules(settings: api.Settings, rules: JsonObject, specifics: JsonObject) -> api.Settings:
    """Adds draining, slow start, and the load at which caches, parents and the origin fail."""
    return replace(
        settings,
        answer_slack_ms=value_or(rules.get("answer_slack_ms"), 0.0),
        drain_grace_ms=value_or(rules.get("drain_grace_ms"), 0.0),
        slow_start_fraction=value_or(rules.get("cold_from"), 1.0),
        slow_start_ms=value_or(rules.get("ramp_time_ms"), 0.0),
        overload_multiple=value_or(rules.get("fall_multiple"), 1.0),
        overload_window_ms=value_or(rules.get("tip_after_ms"), 1000.0),
        parent_slow_start_fraction=value_or(specifics.get("parent_floor"), 1.0),
        parent_slow_start_ms=value_or(specifics.get("parent_cold_ms"), 0.0),
        parent_overload_multiple=value_or(specifics.get("parent_fall_multiple"), 1.0),
        origin_overload_multiple=value_or(specifics.get("origin_limit_factor"), 0.0),
        origin_overload_window_ms=value_or(specifics.get("root_fall_ms"), 0.0),
    )


def read_roles(raw: JsonObject) -> dict[Any, api.Role]:
    """Returns the roles by server model, of parents and the origin; servers of other models are caches."""
    models, specifics = value_or(raw.get("kinds"), []), value_or(raw.get("specifics"), {})
    roles: dict[Any, api.Role] = {
        item_or(models, value_or(specifics.get("upper_kind"), -1), None): api.Role.PARENT,
        item_or(models, value_or(specifics.get("origin_kind"), -1), None): api.Role.ORIGIN,
    }
    roles.pop(None, None)
    return roles


def read_load_report(load: Any) -> dict[str, float] | None:
    """Returns a load report with the decision module's names; None if `load` is not an object."""
    if not isinstance(load, dict):
        return None
    return {LOAD_FIELD_NAMES.get(name, str(name)): value for name, value in load.items()}
