"""The configuration file: which keys it needs, at the start and at SIGHUP."""

from __future__ import annotations

import asyncio
import copy
import json
import math
import signal
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from gladewalk import interface as api
from gladewalk.config.file_keys import CLASS_KEYS, OBJECTS, check_values
from gladewalk.config.platform import ConfigError, PlatformConfig, load_config
from gladewalk.config.policy_settings import read_roles, read_settings
from gladewalk.policy import Dispatcher
from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import SETTINGS, config_for

from .program import DirectorProgram, start_program

KeyPath = tuple[str | int, ...]
FILE: dict[str, Any] = {
    **config_for([], Coordinator(address="127.0.0.1:9")),
    "flow_bytes_per_s": 310_000,
    "known": {"index": 0, "updates": []},
}
KEYS_FROM_ENVIRONMENT = {"name", "listen"}
OPTIONAL_KEYS = {*KEYS_FROM_ENVIRONMENT, "flow_bytes_per_s"}
ORIGIN_OVERLOAD_TIME = ("settings", "specifics", "root_fall_ms")  # needed where an overload stops the origin


def key_paths(value: Any, path: KeyPath = ()) -> Iterator[KeyPath]:
    """The paths of all keys of objects in a JSON value, at any depth."""
    entries = (
        value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    )
    for key, item in entries:
        if isinstance(value, dict):
            yield (*path, key)
        yield from key_paths(item, (*path, key))


def with_change(path: KeyPath, **change: Any) -> dict[str, Any]:
    """The file without the key at a path, or with another `value` for it."""
    changed = copy.deepcopy(FILE)
    target: Any = changed
    for key in path[:-1]:
        target = target[key]
    if change:
        target[path[-1]] = change["value"]
    else:
        del target[path[-1]]
    return changed


def path_text(path: KeyPath) -> str:
    text = "".join(f"[{key}]" if isinstance(key, int) else f".{key}" for key in path)
    return text.removeprefix(".")


def load(folder: Path, raw: Any, in_use: PlatformConfig | None = None) -> PlatformConfig:
    file = folder / "config.json"
    file.write_text(json.dumps(raw))
    environ = {"NODE_CONFIG": str(file), "NODE_NAME": "n1", "NODE_LISTEN": "127.0.0.1:0"}
    return load_config(environ, in_use)


REQUIRED = [path for path in key_paths(FILE) if path[0] not in OPTIONAL_KEYS and path != ORIGIN_OVERLOAD_TIME]


@pytest.mark.parametrize("path", REQUIRED, ids=path_text)
def test_a_file_without_a_key_or_with_null_for_it_is_rejected(path: KeyPath, tmp_path: Path) -> None:
    # Guards against a default in place of a missing key: purges, drains or slow starts would not be obeyed.
    for change in ({}, {"value": None}):
        if change and path == ("settings", "my_zone"):
            continue  # null in a deployment without zones
        with pytest.raises(ConfigError) as raised:
            load(tmp_path, with_change(path, **change))
        why = str(raised.value).removeprefix(f"{tmp_path / 'config.json'}: ")
        assert why.startswith(path_text(path)) or f"'{path[-1]}'" in why


def values_of_other_kinds(value: Any) -> list[Any]:
    if isinstance(value, bool):
        return ["yes", 1, [], {}]
    if isinstance(value, int | float):
        return ["3s", True, [], {}, math.nan, math.inf]
    others: list[Any] = [1, True, "x", [], {}]
    return [other for other in others if not isinstance(other, type(value))]


@pytest.mark.parametrize("path", REQUIRED, ids=path_text)
def test_a_value_of_another_kind_is_rejected(path: KeyPath, tmp_path: Path) -> None:
    # Guards against a value that is found unusable only while a reload has been applied in part.
    value: Any = FILE
    for key in path:
        value = value[key]
    for other in values_of_other_kinds(value):
        with pytest.raises(ConfigError, match=r"config\.json: "):
            load(tmp_path, with_change(path, value=other))


VALUES: tuple[Any, ...] = (
    None,
    0,
    -1,
    -1.5,
    1e300,
    2**70,
    math.nan,
    True,
    "text",
    [],
    {},
    ["x"],
    [[1]],
    {"a": 1},
)


def value_paths(value: Any, path: KeyPath = ()) -> Iterator[KeyPath]:
    """The paths of all keys and list entries in a JSON value, at any depth."""
    entries = (
        value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    )
    for key, item in entries:
        yield (*path, key)
        yield from value_paths(item, (*path, key))


@pytest.mark.parametrize("path", list(value_paths(FILE)), ids=path_text)
def test_a_file_with_any_other_value_is_rejected_or_can_be_applied(path: KeyPath, tmp_path: Path) -> None:
    # Guards against a reload that raises half way, as with a list or an object among the zones.
    server = api.Server("c1", api.Role.CACHE, "edge-1", address="127.0.0.1:9")
    servers = api.EndpointList(api.EndpointListKind.PERSISTED, (server,))
    for value in VALUES:
        try:
            config = load(tmp_path, with_change(path, value=value))
        except ConfigError:
            continue
        for settings in (load(tmp_path, FILE).settings, config.settings):
            core = Dispatcher(settings, 1)
            core.handle(1_000.0, servers)
            core.configure(config.settings)
            core.handle(2_000.0, api.Request(1, "lot-page", 5, 3_000.0))


@pytest.mark.parametrize("key", ["sockets", "memory_mb"])
def test_a_negative_amount_is_rejected(key: str, tmp_path: Path) -> None:
    # Guards against a limit that no connection or response could keep.
    with pytest.raises(ConfigError, match=rf"limits\.{key}: not a finite number of at least 0: -1"):
        load(tmp_path, with_change(("limits", key), value=-1))


@pytest.mark.parametrize("key", ["uncached", "lifetime_by_class_ms", "hub_of", "instances_by_zone"])
def test_a_list_without_an_entry_for_each_class_or_zone_is_rejected(key: str, tmp_path: Path) -> None:
    # Guards against a default in place of a missing entry: a class that writes was taken for one that reads.
    entries = FILE["settings"]["specifics"][key]
    for value in (entries[:-1], "none"):
        with pytest.raises(ConfigError, match=rf"config\.json: .*{key}"):
            load(tmp_path, with_change(("settings", "specifics", key), value=value))


def test_an_overload_of_the_origin_needs_its_duration(tmp_path: Path) -> None:
    # Guards against a default in place of a missing key that only some values of another one need.
    raw = with_change(ORIGIN_OVERLOAD_TIME)
    assert load(tmp_path, raw)  # a factor of 0: the origin never stops
    raw["settings"]["specifics"]["origin_limit_factor"] = 2.0
    with pytest.raises(ConfigError, match=r"settings\.specifics\.root_fall_ms: missing"):
        load(tmp_path, raw)


def test_a_file_without_what_the_pages_let_be_absent_is_accepted(tmp_path: Path) -> None:
    load(tmp_path, FILE)
    load(tmp_path, {key: value for key, value in FILE.items() if key not in OPTIONAL_KEYS})
    stretched = copy.deepcopy(FILE)
    stretched["settings"]["classes"][0]["aim_stretch"] = 2.0
    stretched["settings"]["prices"] = {"origin": 0.1, "fleet": 0.2}
    assert load(tmp_path, FILE, load(tmp_path, {**FILE, "admin_addr": "127.0.0.1:0"})).admin is None
    in_use = load(tmp_path, stretched)
    del stretched["settings"]["prices"]["fleet"], stretched["settings"]["classes"][0]["aim_stretch"]
    load(tmp_path, stretched, in_use)


def test_a_reload_rejects_a_file_that_has_lost_an_unused_key(tmp_path: Path) -> None:
    # Guards against taking a file that was cut: it may have lost more than the key that shows it.
    in_use = load(tmp_path, FILE)
    cut = with_change(("flow_bytes_per_s",))
    with pytest.raises(ConfigError, match=r"config\.json: flow_bytes_per_s: missing"):
        load(tmp_path, cut, in_use)
    load(tmp_path, {**FILE, "unknown": 1}, load(tmp_path, cut))


class RecordingObject(dict[str, Any]):
    """A JSON object that records which of its keys are read."""

    def __init__(self, values: dict[str, Any], path: str, read: set[str]) -> None:
        super().__init__((key, self._wrap(value, f"{path}.{key}", read)) for key, value in values.items())
        self.path, self.read = path, read

    @staticmethod
    def _wrap(value: Any, path: str, read: set[str]) -> Any:
        if isinstance(value, list):
            return [RecordingObject._wrap(item, f"{path}[]", read) for item in value]
        return RecordingObject(value, path, read) if isinstance(value, dict) else value

    def get(self, key: str, default: Any = None) -> Any:
        self.read.add(f"{self.path}.{key}")
        return super().get(key, default)


def test_every_key_that_is_read_is_documented_as_required_or_optional() -> None:
    # Guards against a key that is read with a default and that no check requires.
    read: set[str] = set()
    raw = RecordingObject({**SETTINGS, "prices": {"origin": 0.0}}, "settings", read)
    read_settings(raw)
    read_roles(raw)
    tables = {**OBJECTS, "settings.classes[]": CLASS_KEYS}
    required = {f"{path}.{key}" for path, keys in tables.items() for key in keys.required}
    optional = {"settings.prices", "settings.classes[].aim_stretch", "settings.specifics.root_fall_ms"}
    assert read - required == optional
    check_values({**FILE, "settings": raw})


async def reload_and_fail(program: DirectorProgram, file: Path, raw: Any) -> str:
    """Sends SIGHUP with an unusable file; returns why it was rejected."""
    file.write_text(json.dumps(raw))
    program.send(signal.SIGHUP)
    kept = await program.event("configuration kept")
    return str(kept["why"]).removeprefix(f"{file}: ")


async def reload_incomplete_files(file: Path) -> None:
    file.write_text(json.dumps(FILE))
    program = await start_program(file)
    await program.event("serving")
    for path in (("settings", "specifics"), ("settings", "invariants"), ("settings", "limits", "most_tries")):
        assert await reload_and_fail(program, file, with_change(path)) == f"{'.'.join(path)}: missing"
    wrong_zone = with_change(("settings", "my_zone"), value=["edge-1"])
    assert await reload_and_fail(program, file, wrong_zone) == "settings.my_zone: not a text: ['edge-1']"
    assert await program.stop() == 0


def test_sighup_with_a_file_without_a_key_changes_nothing(tmp_path: Path) -> None:
    # Guards against a reload with defaults, after which purges are forgotten while caches hold old copies.
    asyncio.run(reload_incomplete_files(tmp_path / "config.json"))


async def start_with_incomplete_file(file: Path) -> None:
    file.write_text(json.dumps(with_change(("settings", "invariants"))))
    program = await start_program(file)
    assert await program.finish() == (2, [f"gladewalk: {file}: settings.invariants: missing"])


def test_a_start_with_a_file_without_a_section_ends_with_one_line(tmp_path: Path) -> None:
    # Guards against a start with defaults for a missing section: restarted caches would get no slow start.
    asyncio.run(start_with_incomplete_file(tmp_path / "config.json"))
