"""The settings object in the words of the interface: shared by the real director and the adapter."""

from __future__ import annotations

from typing import Any

from .. import interface as api

EFFECTS = {
    "repeatable": api.Idempotency.IDEMPOTENT,
    "by_key": api.Idempotency.KEYED,
    "once": api.Idempotency.NON_IDEMPOTENT,
}
SIBLINGS = {
    "silent": api.SiblingSources.NONE,
    "location": api.SiblingSources.LOCATION,
    "any": api.SiblingSources.ANY,
}
NOTES = {"silent": api.DetailLevel.NONE, "hit": api.DetailLevel.HIT, "all": api.DetailLevel.ALL}
REPORTS = {
    "silent": api.LoadReporting.NONE,
    "piggyback": api.LoadReporting.IN_ANSWERS,
    "pull": api.LoadReporting.IN_HEALTH_CHECKS,
}
DETAILS = (
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
LOADS = {
    "outstanding": "inflight",
    "backlog": "queue",
    "utilization": "util",
    "recent_ms": "latency_ms",
    "throughput": "qps",
    "errors_per_s": "eps",
    "x0": "x0",
    "x1": "x1",
}


class SettingsError(Exception):
    """What came in is not of the form that the settings or the wire have."""


def need(message: dict[str, Any], key: str, kinds: tuple[type, ...] = (int, float)) -> Any:
    value = message.get(key)
    if not isinstance(value, kinds) or (isinstance(value, bool) and bool not in kinds):
        raise SettingsError(f"{message.get('op', 'settings')}: field '{key}' is missing or of the wrong type")
    return value


def positive(message: dict[str, Any], key: str, where: str, default: Any = None) -> Any:
    """A deadline or a count that has to be a number over 0; `where` names the key in the file."""
    value = either(message.get(key), default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not value > 0:
        raise SettingsError(f"{where}.{key}: not a positive number: {value!r}")
    return value


def word(table: dict[str, Any], message: dict[str, Any], key: str) -> Any:
    found = need(message, key, (str,))
    if found not in table:
        raise SettingsError(f"{message.get('op', 'settings')}: field '{key}' has the unknown value '{found}'")
    return table[found]


def at(values: Any, index: int, default: Any) -> Any:
    return values[index] if isinstance(values, list) and 0 <= index < len(values) else default


def either(value: Any, default: Any) -> Any:
    return default if value is None else value


def read_settings(raw: dict[str, Any]) -> api.Settings:
    """The wire's settings in the words of the interface; what is not known is skipped."""
    limits, rules = either(raw.get("limits"), {}), either(raw.get("invariants"), {})
    details, prices = either(raw.get("specifics"), {}), either(raw.get("prices"), {})
    classes = []
    for index, entry in enumerate(need(raw, "classes", (list,))):
        if not isinstance(entry, dict):
            raise SettingsError("settings: an entry of 'classes' is not an object")
        classes.append(
            api.RequestClass(
                name=need(entry, "name", (str,)),
                latency_objective_ms=need(entry, "promise_ms"),
                deadline_ms=positive(entry, "give_up_ms", f"settings.classes[{index}]"),
                latency_objective_stretch=either(entry.get("aim_stretch"), 0.0),
                priority_weight=either(entry.get("importance"), 1.0),
                late_priority_weight=either(entry.get("late_worth"), 0.0),
                idempotency=word(EFFECTS, entry, "repeat"),
                deduplication_scope=api.DeduplicationScope(either(entry.get("key_scope"), "all")),
                deduplication_window_ms=either(entry.get("window_ms"), 0.0),
                streaming=bool(entry.get("streaming")),
                freshness_lifetime_ms=at(details.get("lifetime_by_class_ms"), index, 0.0),
                stale_grace_ms=at(details.get("class_grace_ms"), index, 0.0),
                stale_priority_weight=at(details.get("stale_earns"), index, 0.0),
                has_parts=at(details.get("class_parts"), index, False),
                is_write=at(details.get("uncached"), index, False),
            )
        )
    feedback = either(raw.get("feedback"), {})
    return api.Settings(
        classes=tuple(classes),
        dispatcher_index=either(raw.get("me"), -1),
        dispatcher_count=either(raw.get("n_instances"), 1),
        zone=either(raw.get("my_zone"), ""),
        zones=tuple(either(raw.get("zones"), ())),
        hub_of_zone=tuple(either(details.get("hub_of"), ())),
        dispatchers_by_zone=tuple(either(details.get("instances_by_zone"), ())),
        inbound_link_kb_per_s=tuple(either(details.get("link_in_kb_per_s"), ())),
        client_rate_kb_per_s=either(details.get("client_kb_per_s"), 0.0),
        capacities_listed=raw.get("weights") != "silent",
        infers_capacity=raw.get("weights") == "silent",
        max_attempts=positive(limits, "most_tries", "settings.limits", 1),
        hedging=bool(limits.get("may_duplicate")),
        may_cancel=bool(limits.get("cancel")),
        may_check_health=bool(limits.get("may_probe")),
        may_notify_peers=bool(limits.get("peers")),
        sends_retry_after=bool(limits.get("retry_after")),
        max_retry_after_ms=either(limits.get("max_retry_after_ms"), 0.0),
        watches_endpoints=raw.get("discovery") == "subscribe",
        load_reporting=REPORTS.get(either(feedback.get("how"), "silent"), api.LoadReporting.NONE),
        may_bypass_caches=bool(details.get("may_pass_by")),
        may_join_fills=bool(details.get("joins")),
        sibling_sources=SIBLINGS.get(either(details.get("lateral"), "silent"), api.SiblingSources.NONE),
        detail_level=NOTES.get(either(details.get("note_level"), "silent"), api.DetailLevel.NONE),
        link_transfer_price=either(details.get("byte_fee"), 0.0),
        origin_transfer_price=either(prices.get("origin"), 0.0),
        answer_slack_ms=either(rules.get("answer_slack_ms"), 0.0),
        drain_grace_ms=either(rules.get("drain_grace_ms"), 0.0),
        slow_start_fraction=either(rules.get("cold_from"), 1.0),
        slow_start_ms=either(rules.get("ramp_time_ms"), 0.0),
        overload_multiple=either(rules.get("fall_multiple"), 1.0),
        overload_window_ms=either(rules.get("tip_after_ms"), 1000.0),
        parent_slow_start_fraction=either(details.get("parent_floor"), 1.0),
        parent_slow_start_ms=either(details.get("parent_cold_ms"), 0.0),
        parent_overload_multiple=either(details.get("parent_fall_multiple"), 1.0),
        purge_grace_ms=either(details.get("obey_after_ms"), 0.0),
        purge_settle_ms=either(details.get("purge_settles_ms"), 0.0),
        origin_overload_multiple=either(details.get("origin_limit_factor"), 0.0),
        origin_overload_window_ms=either(details.get("root_fall_ms"), 0.0),
    )


def read_roles(raw: dict[str, Any]) -> dict[Any, api.Role]:
    """Which kinds of machine are parents and which the origin; every other kind is a cache."""
    kinds, details = either(raw.get("kinds"), []), either(raw.get("specifics"), {})
    roles: dict[Any, api.Role] = {
        at(kinds, either(details.get("upper_kind"), -1), None): api.Role.PARENT,
        at(kinds, either(details.get("origin_kind"), -1), None): api.Role.ORIGIN,
    }
    roles.pop(None, None)
    return roles


def read_load(load: Any) -> dict[str, float] | None:
    """A load report under the names that the module knows."""
    if not isinstance(load, dict):
        return None
    return {LOADS.get(name, str(name)): value for name, value in load.items()}
