"""Reads the platform's JSON configuration file, named by `NODE_CONFIG`, into a `PlatformConfig`."""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, NamedTuple

from .. import interface as api
from ..errors import GladewalkError
from ..limits.memory_plan import MemoryPlan, plan_memory
from .file_keys import check_keys_kept, check_values, unused_keys
from .policy_settings import read_roles, read_settings, require_field, value_or

Address = tuple[str, int]
"""A host (an IP address or a host name) and a port."""

DEFAULT_MAX_DESCRIPTORS = 1_024
DEFAULT_MEMORY_LIMIT_MB = 64.0
MIN_MEMORY_LIMIT_MB = 24.0  # below, a director would be killed before it serves
DEFAULT_CONNECT_TIMEOUT_MS = 400.0
DEFAULT_IDLE_TIMEOUT_MS = 15_000.0
MAX_PORT = 65_535
FIRST_INHERITED_DESCRIPTOR = 3

CONVERSION_ERRORS = (ValueError, TypeError, AttributeError, OverflowError)
"""Exceptions that Python raises while a field of an unexpected type or out of range is converted."""

ENDPOINT_STATES = {
    "SERVING": api.ServerState.READY,
    "DRAINING": api.ServerState.DRAINING,
    "DELETED": api.ServerState.GONE,
}
"""The states of an endpoint in the coordinator's list, and the server states that they stand for."""


class ConfigError(GladewalkError):
    """A configuration cannot be used; the text is one line that says why."""


@dataclass(slots=True, frozen=True)
class PlatformConfig:
    """The configuration that the platform gives to one director.

    Attributes:
        name: The director's name.
        listen: The address that clients connect to.
        coordinator: The address of the coordinator, which sends endpoint lists and purges.
        seed: Seed of the decision module's random numbers.
        max_descriptors: Maximum number of file descriptors for connections.
        memory_limit_mb: Maximum memory of the process.
        connect_timeout_ms: Timeout for opening a connection to a server.
        idle_timeout_ms: Time after which servers close an idle connection.
        settings: The decision module's settings.
        roles: The server models that are parents or the origin, with their roles.
        initial_event_index: Index of the last event that the file includes.
        initial_events: Events of the coordinator's feed that the file includes.
        admin: The second address, for operators' requests; None if there is none.
        inherited_fd: Descriptor of the clients' listening socket if the platform opened it, else None.
        sends_hold_off: Whether a rejection tells the retry delay in ms, in addition to `Retry-After`.
        unused_keys: Paths of the documented keys that the file has and the director can do without.
    """

    name: str
    listen: Address
    coordinator: Address
    seed: int
    max_descriptors: int
    connect_timeout_ms: float
    idle_timeout_ms: float
    settings: api.Settings
    roles: dict[Any, api.Role]
    initial_event_index: int
    initial_events: tuple[dict[str, Any], ...]
    admin: Address | None = None
    inherited_fd: int | None = None
    sends_hold_off: bool = False
    memory_limit_mb: float = DEFAULT_MEMORY_LIMIT_MB
    unused_keys: tuple[str, ...] = ()

    def memory_plan(self) -> MemoryPlan:
        """Returns what the process may hold; with an inherited listener two processes share the limit."""
        return plan_memory(self.memory_limit_mb, self.max_descriptors, self.process_count)

    @property
    def process_count(self) -> int:
        """How many processes share the limits: during a handover of an inherited listener there are two."""
        return 1 if self.inherited_fd is None else 2


class Endpoint(NamedTuple):
    """An entry of the coordinator's list: the server and its address, which is None for a deleted server."""

    server: api.Server
    address: Address | None


def read_address(text: Any) -> Address:
    """Parses `HOST:PORT`; an IPv6 address must be in brackets.

    Raises:
        ConfigError: The text has another form, the port is out of range, or the host is not a valid name
            (RFC 5890).
    """
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not colon or not host or not port.isascii() or not port.isdigit() or int(port) > MAX_PORT:
        raise ConfigError(f"not an address of the form HOST:PORT: {text!r}")
    try:  # a name that cannot be encoded would otherwise fail only when a connection is opened
        host.encode("idna")
    except UnicodeError as error:
        raise ConfigError(f"not a name of a host: {text!r}") from error
    if not host.isprintable():
        raise ConfigError(f"not a name of a host: {text!r}")
    return host.strip("[]"), int(port)


def load_config(environ: Mapping[str, str], in_use: PlatformConfig | None = None) -> PlatformConfig:
    """Loads the file that `NODE_CONFIG` names; at a reload, `in_use` is the configuration to replace.

    Raises:
        ConfigError: `NODE_CONFIG` is not set; or the file cannot be read, is not valid JSON, lacks a key or
            cannot be used, and then the text begins with its path.
    """
    path = environ.get("NODE_CONFIG")
    if not path:
        raise ConfigError("NODE_CONFIG is not set")
    try:
        raw = json.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror or error}") from error
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: not valid JSON: {error}") from error
    try:
        config = read_config(raw, environ)
        check_values(raw)
        if in_use is not None:
            check_keys_kept(raw, in_use.unused_keys)
        return replace(config, unused_keys=unused_keys(raw))
    except (GladewalkError, *CONVERSION_ERRORS) as error:
        raise ConfigError(f"{path}: {error}") from error


def read_config(raw: Any, environ: Mapping[str, str]) -> PlatformConfig:
    """Converts the parsed file.

    `NODE_NAME`, `NODE_LISTEN` and `NODE_ADMIN_ADDR` override the values in the file.

    Raises:
        GladewalkError: A field cannot be used.
        ValueError: A field has an invalid value; a field of an unexpected type may also raise another of
            `CONVERSION_ERRORS`.
    """
    if not isinstance(raw, dict):
        raise ConfigError("not a JSON object")
    raw_settings = require_field(raw, "settings", (dict,))
    known = value_or(raw.get("known"), {})
    limits = value_or(raw_settings.get("limits"), {})
    initial_events = _read_events(known)
    process_limits = value_or(raw.get("limits"), {})
    max_descriptors = int(value_or(process_limits.get("sockets"), DEFAULT_MAX_DESCRIPTORS))
    memory_limit_mb = float(value_or(process_limits.get("memory_mb"), DEFAULT_MEMORY_LIMIT_MB))
    if 0.0 <= memory_limit_mb < MIN_MEMORY_LIMIT_MB:
        raise ConfigError(f"limits: memory_mb: {memory_limit_mb:g} is less than {MIN_MEMORY_LIMIT_MB:g}")
    inherited_fd = _read_descriptor(environ.get("NODE_FD"))
    settings = read_settings(raw_settings)
    config = PlatformConfig(
        name=environ.get("NODE_NAME") or str(raw.get("name", "director")),
        settings=settings,
        listen=_read_address_of("listen", environ.get("NODE_LISTEN") or raw.get("listen")),
        coordinator=_read_address_of("coordinator", raw.get("coordinator")),
        seed=int(str(value_or(raw.get("seed"), "0")), 16),
        max_descriptors=max_descriptors,
        connect_timeout_ms=float(value_or(limits.get("connect_timeout_ms"), DEFAULT_CONNECT_TIMEOUT_MS)),
        idle_timeout_ms=float(value_or(limits.get("conn_idle_ms"), DEFAULT_IDLE_TIMEOUT_MS)),
        roles=read_roles(raw_settings),
        initial_event_index=int(value_or(known.get("index"), 0)),
        initial_events=initial_events,
        admin=_read_optional_address("admin_addr", environ.get("NODE_ADMIN_ADDR") or raw.get("admin_addr")),
        inherited_fd=inherited_fd,
        sends_hold_off=settings.sends_retry_after,
        memory_limit_mb=memory_limit_mb,
    )
    return replace(config, settings=_adapt_settings(settings, config.memory_plan()))


def _read_events(known: dict[str, Any]) -> tuple[dict[str, Any], ...]:
    events = value_or(known.get("updates"), [])
    if not isinstance(events, list) or not all(isinstance(event, dict) for event in events):
        raise ConfigError("known: 'updates' is not a list of objects")
    return tuple(events)


def _adapt_settings(settings: api.Settings, plan: MemoryPlan) -> api.Settings:
    """Sets what is the same for every running director, unlike in the simulator.

    Rejections always carry a retry delay, as HTTP has a field for it (`Retry-After`). Clients have one
    request on each connection.
    """
    adapted = replace(settings, sends_retry_after=True, client_connection_limit=plan.client_connections)
    api.validate_settings(adapted)
    return adapted


def _read_address_of(key: str, text: Any) -> Address:
    try:
        return read_address(text)
    except ConfigError as error:
        raise ConfigError(f"{key}: {error}") from error


def _read_optional_address(key: str, text: Any) -> Address | None:
    return None if text in (None, "") else _read_address_of(key, text)


def _read_descriptor(text: str | None) -> int | None:
    """Parses `NODE_FD`, the descriptor number of an inherited listening socket."""
    if not text:
        return None
    if not text.isdigit() or int(text) < FIRST_INHERITED_DESCRIPTOR:
        raise ConfigError(f"NODE_FD: not the descriptor number of an inherited listening socket: {text!r}")
    return int(text)


def read_finite(value: Any) -> float:
    """Converts a value to a float and checks that it is finite.

    Python's JSON parser accepts infinities and NaN, which would make later results meaningless.

    Raises:
        ConfigError: The number is not finite.
        ValueError: The value is not a number; may also be a `TypeError` or an `OverflowError`.
    """
    number = float(value)
    if not math.isfinite(number):
        raise ConfigError(f"not a finite number: {value!r}")
    return number


def read_endpoint(entry: Any, roles: Mapping[Any, api.Role]) -> Endpoint:
    """Converts one entry of the coordinator's endpoint list.

    The server's name is its `uid`, which stays the same if the server moves to another address.

    Raises:
        GladewalkError: A field is missing or cannot be used; may also be one of `CONVERSION_ERRORS`.
    """
    if not isinstance(entry, dict):
        raise ConfigError("an entry of the endpoint list is not an object")
    state = ENDPOINT_STATES.get(entry.get("state", ""))
    if state is None:
        raise ConfigError(f"unknown state {entry.get('state')!r}")
    capacity = read_finite(value_or(entry.get("capacity_hint"), 1.0))
    if capacity < 0.0:
        raise ConfigError(f"capacity_hint is negative: {capacity}")
    server = api.Server(
        name=require_field(entry, "uid", (str,)),
        role=roles.get(entry.get("model"), api.Role.CACHE),
        zone=str(value_or(entry.get("az"), "")),
        capacity=capacity,
        state=state,
        started_ms=read_finite(value_or(entry.get("boot_ms"), 0.0)),
        cell=int(value_or(entry.get("pod_group"), 0)),
        address=str(value_or(entry.get("endpoint"), "")),
    )
    return Endpoint(server, None if state is api.ServerState.GONE else read_address(entry.get("endpoint")))
