"""What a director is told at its start: the file named by `NODE_CONFIG`, checked once."""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from .. import interface as api
from ..interface import validate_settings
from .policy_settings import SettingsError, either, need, read_roles, read_settings

Address = tuple[str, int]


class ConfigError(Exception):
    """The configuration cannot be used; the text says why in one line."""


@dataclass(slots=True, frozen=True)
class Config:
    name: str
    listen: Address
    coordinator: Address
    seed: int
    sockets: int
    connect_timeout_ms: float
    conn_idle_ms: float
    settings: api.Settings
    roles: dict[Any, api.Role]
    known_index: int
    known: tuple[dict[str, Any], ...]
    admin: Address | None = None  # the second address, for operators' calls
    inherited_fd: int | None = None  # the clients' listening socket, held by the platform
    hold_off: bool = False  # refused clients are told in ms how long to stay away


def read_address(text: Any) -> Address:
    """`HOST:PORT`, the host a literal address or a name, IPv6 in brackets."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not colon or not host or not port.isascii() or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ConfigError(f"not an address of the form HOST:PORT: {text!r}")
    try:  # else it is found out only as it is dialled
        host.encode("idna")
    except UnicodeError as error:
        raise ConfigError(f"not a name of a host: {text!r}") from error
    if not host.isprintable():
        raise ConfigError(f"not a name of a host: {text!r}")
    return host.strip("[]"), int(port)


def load(environ: Mapping[str, str]) -> Config:
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
        return read(raw, environ)
    except (SettingsError, ConfigError, ValueError, TypeError, AttributeError, OverflowError) as error:
        raise ConfigError(f"{path}: {error}") from error


def read(raw: Any, environ: Mapping[str, str]) -> Config:
    """The parsed file as a `Config`; the environment's name and address go first."""
    if not isinstance(raw, dict):
        raise ConfigError("not a JSON object")
    settings, known = need(raw, "settings", (dict,)), either(raw.get("known"), {})
    limits, own_limits = either(settings.get("limits"), {}), either(raw.get("limits"), {})
    events = either(known.get("updates"), [])
    if not isinstance(events, list) or not all(isinstance(event, dict) for event in events):
        raise ConfigError("known: 'updates' is not a list of objects")
    sockets = int(either(own_limits.get("sockets"), 1024))
    # HTTP has a field for advice to a refused client, whatever the simulator's clients are given.
    # Clients hold a third of the descriptors at most, with one request on each.
    told = read_settings(settings)
    module = replace(told, sends_retry_after=True, client_connection_limit=sockets // 3)
    validate_settings(module)
    return Config(
        name=environ.get("NODE_NAME") or str(raw.get("name", "director")),
        listen=read_address(environ.get("NODE_LISTEN") or raw.get("listen")),
        coordinator=read_address(raw.get("coordinator")),
        seed=int(str(either(raw.get("seed"), "0")), 16),
        sockets=sockets,
        connect_timeout_ms=float(either(limits.get("connect_timeout_ms"), 400.0)),
        conn_idle_ms=float(either(limits.get("conn_idle_ms"), 15_000.0)),
        settings=module,
        roles=read_roles(settings),
        known_index=int(either(known.get("index"), 0)),
        known=tuple(events),
        admin=_admin_of(environ.get("NODE_ADMIN_ADDR") or raw.get("admin_addr")),
        inherited_fd=_descriptor_of(environ.get("NODE_FD")),
        hold_off=told.sends_retry_after,
    )


def _admin_of(text: Any) -> Address | None:
    return None if text in (None, "") else read_address(text)


def _descriptor_of(text: str | None) -> int | None:
    """`$NODE_FD`: the number of an inherited descriptor, 3 where the platform holds the listener."""
    if not text:
        return None
    if not text.isdigit() or int(text) < 3:
        raise ConfigError(f"NODE_FD: not a descriptor of the listener: {text!r}")
    return int(text)


STATES = {
    "SERVING": api.ServerState.READY,
    "DRAINING": api.ServerState.DRAINING,
    "DELETED": api.ServerState.GONE,
}


def finite(value: Any) -> float:
    """A figure that can be reckoned with; JSON as it is read here has infinities, and what is no number."""
    if not math.isfinite(number := float(value)):
        raise ConfigError(f"not a finite number: {value!r}")
    return number


def read_server(entry: Any, roles: Mapping[Any, api.Role]) -> tuple[api.Server, Address | None]:
    """One entry of the coordinator's list: the server under its lasting `uid`, and where to dial it."""
    if not isinstance(entry, dict):
        raise ConfigError("an entry of the list is not an object")
    state = STATES.get(entry.get("state", ""))
    if state is None:
        raise ConfigError(f"unknown state {entry.get('state')!r}")
    gone = state is api.ServerState.GONE
    size = finite(either(entry.get("capacity_hint"), 1.0))
    if size < 0.0:
        raise ConfigError(f"a size under 0: {size}")
    server = api.Server(
        name=need(entry, "uid", (str,)),
        role=roles.get(entry.get("model"), api.Role.CACHE),
        zone=str(either(entry.get("az"), "")),
        capacity=size,
        state=state,
        started_ms=finite(either(entry.get("boot_ms"), 0.0)),
        cell=int(either(entry.get("pod_group"), 0)),
        address=str(either(entry.get("endpoint"), "")),
    )
    return server, None if gone else read_address(entry.get("endpoint"))
