"""Checks that the platform's configuration file has every key that the director needs, of the right kind.

A missing key must not be replaced by a default: a director without `purge_settles_ms`, say, would forget
purges while caches still hold the purged copies. Only keys that the platform's pages let be absent are
optional, such as a class's `aim_stretch`. Keys that no page has are ignored.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from ..errors import GladewalkError

JsonObject = dict[str, Any]


class Kind(Enum):
    """The kinds of JSON values."""

    AMOUNT = "a finite number of at least 0"
    NUMBER = "a finite number"
    FLAG = "true or false"
    TEXT = "a text"
    LIST = "a list"
    OBJECT = "a JSON object"


@dataclass(frozen=True, slots=True)
class ObjectKeys:
    """The documented keys of one object of the file, but for those that the pages let be absent.

    Attributes:
        required: Keys that the director reads, with the kinds of their values.
        unused: Keys that the director can do without: it does not read them, gets their values from its
            environment, or needs them only with certain values of others.
        nullable: Required keys whose value may be null.
        is_optional: The object may be absent as a whole.
    """

    required: Mapping[str, Kind]
    unused: frozenset[str] = frozenset()
    nullable: frozenset[str] = frozenset()
    is_optional: bool = False


def _words(text: str) -> frozenset[str]:
    return frozenset(text.split())


def _kinds(
    amounts: str = "",
    numbers: str = "",
    flags: str = "",
    texts: str = "",
    lists: str = "",
    objects: str = "",
) -> dict[str, Kind]:
    """Returns the kind of each of these keys; each argument has the keys of one kind."""
    by_kind = zip(Kind, (amounts, numbers, flags, texts, lists, objects), strict=True)
    return {key: kind for kind, keys in by_kind for key in sorted(_words(keys))}


CLASS_LIST = "settings.classes"
"""The path of the list of classes, each of which has the keys of `CLASS_KEYS`."""

CLASS_KEYS = ObjectKeys(
    _kinds(
        amounts="give_up_ms importance late_worth promise_ms window_ms",
        flags="streaming",
        texts="key_scope name repeat",
    )
)

OBJECTS = {
    "": ObjectKeys(
        _kinds(texts="coordinator seed", objects="known limits settings"),
        unused=_words("flow_bytes_per_s link_bytes_per_s listen name"),
    ),
    "known": ObjectKeys(_kinds(amounts="index", lists="updates")),
    "limits": ObjectKeys(_kinds(amounts="memory_mb sockets"), unused=_words("cores")),
    "settings": ObjectKeys(
        _kinds(
            amounts="n_instances",
            numbers="me",
            texts="discovery my_zone weights",
            lists="classes kinds zones",
            objects="feedback invariants limits specifics",
        ),
        unused=_words(
            "blend client_habits counted_by kind_of_service layers over_share_worth prices tenants tick_ms"
            " tier"
        ),
        nullable=_words("my_zone"),  # a deployment without zones has none to name
    ),
    "settings.feedback": ObjectKeys(_kinds(texts="how"), unused=_words("fields")),
    "settings.invariants": ObjectKeys(
        _kinds(amounts="answer_slack_ms cold_from drain_grace_ms fall_multiple ramp_time_ms tip_after_ms"),
        unused=_words("ask_within_ms"),
    ),
    "settings.limits": ObjectKeys(
        _kinds(
            amounts="conn_idle_ms connect_timeout_ms max_retry_after_ms most_tries",
            flags="cancel may_duplicate may_probe peers retry_after",
        ),
        unused=_words("cpu_us_per_request cpu_us_per_s max_open max_streams"),
    ),
    # Prices weigh one good decision against another; no rule depends on them.
    "settings.prices": ObjectKeys(_kinds(amounts="origin"), is_optional=True),
    "settings.specifics": ObjectKeys(
        _kinds(
            amounts="byte_fee client_kb_per_s obey_after_ms origin_limit_factor parent_cold_ms"
            " parent_fall_multiple parent_floor purge_settles_ms",
            numbers="origin_kind upper_kind",
            flags="joins may_pass_by",
            texts="lateral note_level",
            lists="class_grace_ms class_parts hub_of instances_by_zone lifetime_by_class_ms link_in_kb_per_s"
            " stale_earns uncached",
        ),
        unused=_words("report_x0 report_x1 root_fall_ms"),
    ),
}
"""The objects of the file that always have the same keys, by their path."""

LISTS_BY_CLASS = {
    "class_grace_ms": Kind.AMOUNT,
    "class_parts": Kind.FLAG,
    "lifetime_by_class_ms": Kind.AMOUNT,
    "stale_earns": Kind.AMOUNT,
    "uncached": Kind.FLAG,
}
"""Keys of `settings.specifics` with one entry of this kind for each of `settings.classes`."""

LISTS_BY_ZONE = {
    "hub_of": Kind.AMOUNT,
    "instances_by_zone": Kind.AMOUNT,
    "link_in_kb_per_s": Kind.AMOUNT,
}
"""Keys of `settings.specifics` with one entry of this kind for each of `settings.zones`."""


class IncompleteFileError(GladewalkError):
    """A value of the configuration file is missing or of the wrong kind; the text names it by its path."""


def check_values(raw: Any) -> None:
    """Checks that a parsed file has a value of the right kind for each required key, class and zone.

    Raises:
        IncompleteFileError: A required key is missing, a value is null or of another kind, or a list is too
            short.
    """
    for path, keys in OBJECTS.items():
        for section in _objects_at(raw, path, keys):
            _check_object(section, path, keys)
    settings = raw["settings"]
    _check_origin_overload(settings["specifics"])
    _check_list("settings.zones", settings["zones"], Kind.TEXT, 0)
    for index, entry in enumerate(settings["classes"]):
        _check_object(entry, f"{CLASS_LIST}[{index}]", CLASS_KEYS)
    for lists, subjects in ((LISTS_BY_CLASS, settings["classes"]), (LISTS_BY_ZONE, settings["zones"])):
        for name, kind in lists.items():
            _check_list(f"settings.specifics.{name}", settings["specifics"][name], kind, len(subjects))


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
    _check_kind(path, section, Kind.OBJECT)
    for key, kind in keys.required.items():
        value = section.get(key)
        if key not in section or (value is None and key not in keys.nullable):
            raise IncompleteFileError(f"{_join(path, key)}: missing")
        if value is not None:
            _check_kind(_join(path, key), value, kind)


def _check_origin_overload(specifics: JsonObject) -> None:
    """Checks that an overload at which the origin stops (a factor that is not 0) has its duration."""
    path, duration_ms = "settings.specifics.root_fall_ms", specifics.get("root_fall_ms")
    if duration_ms is not None:
        _check_kind(path, duration_ms, Kind.AMOUNT)
    elif specifics["origin_limit_factor"]:
        raise IncompleteFileError(f"{path}: missing")


def _check_list(path: str, entries: list[Any], kind: Kind, count: int) -> None:
    if len(entries) < count:
        raise IncompleteFileError(f"{path}: {len(entries)} entries where {count} are needed")
    for index, entry in enumerate(entries):
        _check_kind(f"{path}[{index}]", entry, kind)


def _check_kind(path: str, value: Any, kind: Kind) -> None:
    if not _is_of_kind(value, kind):
        raise IncompleteFileError(f"{path}: not {kind.value}: {value!r}")


def _is_of_kind(value: Any, kind: Kind) -> bool:
    match kind:
        case Kind.AMOUNT:
            return _is_of_kind(value, Kind.NUMBER) and value >= 0
        case Kind.NUMBER:
            return isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value)
        case Kind.FLAG:
            return isinstance(value, bool)
        case Kind.TEXT:
            return isinstance(value, str)
        case Kind.LIST:
            return isinstance(value, list)
        case Kind.OBJECT:
            return isinstance(value, dict)


def _join(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key
