"""The settings object in the words of the interface: shared by the real director and the adapter."""

from __future__ import annotations

from typing import Any

from . import interface as api

EFFECTS = {"repeatable": api.Effect.SAFE, "by_key": api.Effect.KEYED, "once": api.Effect.UNSAFE}
SIBLINGS = {"silent": api.Siblings.NONE, "location": api.Siblings.LOCATION, "any": api.Siblings.ANY}
NOTES = {"silent": api.Notes.NONE, "hit": api.Notes.HIT, "all": api.Notes.ALL}
REPORTS = {"silent": api.Reports.NONE, "piggyback": api.Reports.ANSWERS, "pull": api.Reports.PROBE}
DETAILS = (
    api.Note.NONE,
    api.Note.HIT,
    api.Note.FILLED,
    api.Note.FILLED_BY_ORIGIN,
    api.Note.JOINED,
    api.Note.STALE,
    api.Note.SOURCE_REFUSED,
    api.Note.SOURCE_FAILED,
    api.Note.SOURCE_LACKS,
    api.Note.NO_FILL_SLOT,
    api.Note.ORIGIN_FAILED,
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
                aim_ms=need(entry, "promise_ms"),
                deadline_ms=positive(entry, "give_up_ms", f"settings.classes[{index}]"),
                aim_stretch=either(entry.get("aim_stretch"), 0.0),
                worth=either(entry.get("importance"), 1.0),
                late_worth=either(entry.get("late_worth"), 0.0),
                effect=word(EFFECTS, entry, "repeat"),
                scope=api.Scope(either(entry.get("key_scope"), "all")),
                key_window_ms=either(entry.get("window_ms"), 0.0),
                streaming=bool(entry.get("streaming")),
                fresh_ms=at(details.get("lifetime_by_class_ms"), index, 0.0),
                grace_ms=at(details.get("class_grace_ms"), index, 0.0),
                stale_worth=at(details.get("stale_earns"), index, 0.0),
                parts=at(details.get("class_parts"), index, False),
                write=at(details.get("uncached"), index, False),
            )
        )
    feedback = either(raw.get("feedback"), {})
    return api.Settings(
        classes=tuple(classes),
        me=either(raw.get("me"), -1),
        dispatchers=either(raw.get("n_instances"), 1),
        zone=either(raw.get("my_zone"), ""),
        zones=tuple(either(raw.get("zones"), ())),
        hub_of=tuple(either(details.get("hub_of"), ())),
        dispatchers_by_zone=tuple(either(details.get("instances_by_zone"), ())),
        link_in_kb_per_s=tuple(either(details.get("link_in_kb_per_s"), ())),
        client_kb_per_s=either(details.get("client_kb_per_s"), 0.0),
        sizes_listed=raw.get("weights") != "silent",
        infers_room=raw.get("weights") == "silent",
        max_attempts=positive(limits, "most_tries", "settings.limits", 1),
        second_copies=bool(limits.get("may_duplicate")),
        may_cancel=bool(limits.get("cancel")),
        may_probe=bool(limits.get("may_probe")),
        may_tell=bool(limits.get("peers")),
        retry_advice=bool(limits.get("retry_after")),
        max_retry_after_ms=either(limits.get("max_retry_after_ms"), 0.0),
        ask_for_list=raw.get("discovery") == "subscribe",
        reports=REPORTS.get(either(feedback.get("how"), "silent"), api.Reports.NONE),
        direct=bool(details.get("may_pass_by")),
        joins=bool(details.get("joins")),
        siblings=SIBLINGS.get(either(details.get("lateral"), "silent"), api.Siblings.NONE),
        notes=NOTES.get(either(details.get("note_level"), "silent"), api.Notes.NONE),
        link_price=either(details.get("byte_fee"), 0.0),
        origin_price=either(prices.get("origin"), 0.0),
        answer_slack_ms=either(rules.get("answer_slack_ms"), 0.0),
        drain_grace_ms=either(rules.get("drain_grace_ms"), 0.0),
        cold_share=either(rules.get("cold_from"), 1.0),
        ramp_ms=either(rules.get("ramp_time_ms"), 0.0),
        fall_multiple=either(rules.get("fall_multiple"), 1.0),
        fall_window_ms=either(rules.get("tip_after_ms"), 1000.0),
        parent_cold_share=either(details.get("parent_floor"), 1.0),
        parent_ramp_ms=either(details.get("parent_cold_ms"), 0.0),
        parent_fall_multiple=either(details.get("parent_fall_multiple"), 1.0),
        purge_grace_ms=either(details.get("obey_after_ms"), 0.0),
        purge_settle_ms=either(details.get("purge_settles_ms"), 0.0),
        origin_fall_multiple=either(details.get("origin_limit_factor"), 0.0),
        origin_fall_ms=either(details.get("root_fall_ms"), 0.0),
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
