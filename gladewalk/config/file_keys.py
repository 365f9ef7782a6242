"""Checks that the platform's configuration file has every key that the director needs.

A missing key must not be replaced by a default: a director without `purge_settles_ms`, say, would forget
purges while caches still hold the purged copies. Only keys that the platform's pages let be absent are
optional, such as a class's `aim_stretch`. Keys that no page has are ignored.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from ..errors import GladewalkError

JsonObject = dict[str, Any]


@dataclass(frozen=True, slots=True)
class ObjectKeys:
    """The documented keys of one object of the file, but for those that the pages let be absent.

    Attributes:
        required: Keys that the director reads.
        unused: Keys that the director can do without: it does not read them, gets their values from its
            environment, or needs them only with certain values of others.
        nullable: Required keys whose value may be null.
        is_optional: The object may be absent as a whole.
    """

    required: frozenset[str]
    unused: frozenset[str] = frozenset()
    nullable: frozenset[str] = frozenset()
    is_optional: bool = False


def _words(text: str) -> frozenset[str]:
    return frozenset(text.split())


CLASS_LIST = "settings.classes"
"""The path of the list of classes, each of which has the keys of `CLASS_KEYS`."""

CLASS_KEYS = ObjectKeys(
    _words("give_up_ms importance key_scope late_worth name promise_ms repeat streaming window_ms")
)

OBJECTS = {
    "": ObjectKeys(
        required=_words("coordinator known limits seed settings"),
        unused=_words("flow_bytes_per_s link_bytes_per_s listen name"),
    ),
    "known": ObjectKeys(_words("index updates")),
    "limits": ObjectKeys(_words("memory_mb sockets"), unused=_words("cores")),
    "settings": ObjectKeys(
        required=_words(
            "classes discovery feedback invariants kinds limits me my_zone n_instances specifics weights"
            " zones"
        ),
        unused=_words(
            "blend client_habits counted_by kind_of_service layers over_share_worth prices tenants tick_ms"
            " tier"
        ),
        nullable=_words("my_zone"),  # a deployment without zones has none to name
    ),
    "settings.feedback": ObjectKeys(_words("how"), unused=_words("fields")),
    "settings.invariants": ObjectKeys(
        required=_words("answer_slack_ms cold_from drain_grace_ms fall_multiple ramp_time_ms tip_after_ms"),
        unused=_words("ask_within_ms"),
    ),
    "settings.limits": ObjectKeys(
        required=_words(
            "cancel conn_idle_ms connect_timeout_ms max_retry_after_ms may_duplicate may_probe most_tries"
            " peers retry_after"
        ),
        unused=_words("cpu_us_per_request cpu_us_per_s max_open max_streams"),
    ),
    # Prices weigh one good decision against another; no rule depends on them.
    "settings.prices": ObjectKeys(_words("origin"), is_optional=True),
    "settings.specifics": ObjectKeys(
        required=_words(
            "byte_fee class_grace_ms class_parts client_kb_per_s hub_of instances_by_zone joins lateral"
            " lifetime_by_class_ms link_in_kb_per_s may_pass_by note_level obey_after_ms origin_kind"
            " origin_limit_factor parent_cold_ms parent_fall_multiple parent_floor purge_settles_ms"
            " stale_earns uncached upper_kind"
        ),
        unused=_words("report_x0 report_x1 root_fall_ms"),
    ),
}
"""The objects of the file that always have the same keys, by their path."""

LISTS_BY_CLASS = ("class_grace_ms", "class_parts", "lifetime_by_class_ms", "stale_earns", "uncached")
"""Keys of `settings.specifics` with one entry for each of `settings.classes`."""

LISTS_BY_ZONE = ("hub_of", "instances_by_zone", "link_in_kb_per_s")
"""Keys of `settings.specifics` with one entry for each of `settings.zones`."""


class IncompleteFileError(GladewalkError):
    """A key of the configuration file is missing or has too few entries; the text names it by its path."""


def check_required_keys(raw: Any) -> None:
    """Checks that a parsed file has all required keys, and lists with an entry for each class or zone.

    Raises:
        IncompleteFileError: A required key is missing or null, a list is too short, or an object is none.
    """
    for path, keys in OBJECTS.items():
        for section in _objects_at(raw, path, keys):
            _check_object(section, path, keys)
    settings = raw["settings"]
    _check_origin_overload(settings["specifics"])
    classes, zones = (_list_at(settings, "settings", key) for key in ("classes", "zones"))
    for index, entry in enumerate(classes):
        _check_object(entry, f"{CLASS_LIST}[{index}]", CLASS_KEYS)
    for names, subjects in ((LISTS_BY_CLASS, classes), (LISTS_BY_ZONE, zones)):
        for name in names:
            _check_length(settings["specifics"], name, len(subjects))


def unused_keys(raw: JsonObject) -> tuple[str, ...]:
    """Returns the paths of the `unused` keys that a complete file has, in alphabetical order."""
    return tuple(
        sorted(
            _join(path, key)
            for path, keys in OBJECTS.items()
            for section in _objects_at(raw, path, keys)
            for key in keys.unused & section.keys()
        )
    )


def check_keys_kept(raw: JsonObject, previous: tuple[str, ...]) -> None:
    """Checks that a file has the keys that `unused_keys` returned for the file before it.

    Raises:
        IncompleteFileError: One of these keys is missing, so that the file has been cut.
    """
    present = unused_keys(raw)
    for key in previous:
        if key not in present:
            raise IncompleteFileError(f"{key}: missing, but the configuration in use has it")


def _objects_at(raw: Any, path: str, keys: ObjectKeys) -> Iterator[Any]:
    """Yields what is at a path; nothing if it is absent and may be."""
    value = raw
    for name in filter(None, path.split(".")):
        value = value.get(name)
    if value is not None or not keys.is_optional:
        yield value


def _check_object(section: Any, path: str, keys: ObjectKeys) -> None:
    if not isinstance(section, dict):
        raise IncompleteFileError(f"{path}: not a JSON object" if path else "not a JSON object")
    for key in sorted(keys.required):
        if key not in section or (section[key] is None and key not in keys.nullable):
            raise IncompleteFileError(f"{_join(path, key)}: missing")


def _check_origin_overload(specifics: JsonObject) -> None:
    """Checks that an overload at which the origin stops (a factor that is not 0) has its duration."""
    if specifics["origin_limit_factor"] and specifics.get("root_fall_ms") is None:
        raise IncompleteFileError("settings.specifics.root_fall_ms: missing")


def _list_at(section: JsonObject, path: str, key: str) -> list[Any]:
    value = section[key]
    if not isinstance(value, list):
        raise IncompleteFileError(f"{_join(path, key)}: not a list")
    return value


def _check_length(specifics: JsonObject, key: str, count: int) -> None:
    path = "settings.specifics"
    entries = _list_at(specifics, path, key)
    if len(entries) < count:
        raise IncompleteFileError(f"{path}.{key}: {len(entries)} entries where {count} are needed")


def _join(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key
