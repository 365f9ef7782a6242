"""What an import results in: a table that stands in a TOML file of ours, and that the router compiles.

Everything is as effective at its place, with nginx's inheritance already worked out; `at` is `file:line` of
where it was written. Reading a table that was written gives the same table.
"""

from __future__ import annotations

from pathlib import Path

import msgspec
import tomli_w

from ..config.platform import ConfigError
from ..config.toml_file import parse_toml

VERSION = 1


class Row(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, forbid_unknown_fields=True):
    """A row of the table."""


class Box(Row, frozen=True):
    """A server of an upstream. Times in ms."""

    address: str
    at: str
    weight: int = 1
    max_conns: int = 0  # 0: no bound
    max_fails: int = 1  # 0: never taken for failed
    fail_ms: float = 10_000.0
    slow_start_ms: float = 0.0
    backup: bool = False
    down: bool = False


class Upstream(Row, frozen=True):
    name: str
    at: str
    boxes: list[Box]
    balance: str = "round robin"  # as the file has it; the core's hash takes its place


class Step(Row, frozen=True):
    """One of `rewrite`, `return`, `set`, `break` and `if`, in the order of the file.

    rewrite: `regex`, `to`, `flag`. return: `code`, `to`. set: `name`, `to`. if: `test`, and what is done
    `then`.
    """

    op: str
    at: str
    regex: str = ""
    to: str = ""
    flag: str = ""
    code: int = 0
    name: str = ""
    test: list[str] = []
    then: list[Step] = []


class Access(Row, frozen=True):
    allow: bool
    network: str  # or `all`


class ErrorPage(Row, frozen=True):
    """`status` None: the code stays; 0: as the target answers."""

    codes: list[int]
    to: str
    status: int | None = None


class Terms(Row, frozen=True):
    """How a request is passed on; nginx's defaults. Times in ms, sizes in bytes; 0 tries or ms: no bound."""

    connect_ms: float = 60_000.0
    read_ms: float = 60_000.0
    send_ms: float = 60_000.0
    again_on: tuple[str, ...] = ("error", "timeout")  # proxy_next_upstream
    tries: int = 0
    tries_ms: float = 0.0
    fresh_ms: float = 0.0  # proxy_cache_valid of a 200
    stale_on: tuple[str, ...] = ()  # proxy_cache_use_stale
    join: bool = False  # proxy_cache_lock
    key: str = ""  # proxy_cache_key
    body_most: int = 1024 * 1024  # client_max_body_size; 0: no bound
    set_fields: list[list[str]] = []  # proxy_set_header; empty: nginx's own two
    hide_fields: list[str] = []
    add_fields: list[list[str]] = []  # add_header: name, value, "always" or ""
    redirect: str = "default"  # proxy_redirect; or off


class Place(Row, frozen=True):
    """A location. `kind`: "" for a prefix, "=", "^~", "~", "~*" or "@" for a named one."""

    at: str
    kind: str = ""
    pattern: str = ""
    upstream: str = ""  # a name, or a string with variables; empty: nothing is passed on
    uri: str | None = None  # of proxy_pass; None: the request's own
    steps: list[Step] = []
    access: list[Access] = []
    methods: list[str] = []  # limit_except: which methods the rules behind it don't hold for
    methods_access: list[Access] = []
    internal: bool = False
    fallback: str = ""  # the last of an accepted try_files, whose files are taken not to be there
    terms: Terms = Terms()
    errors: list[ErrorPage] = []
    places: list[Place] = []

    @property
    def said(self) -> str:
        return f"location {self.kind} {self.pattern}".replace("  ", " ").replace("@ @", "@")


class Listen(Row, frozen=True):
    address: str  # `HOST:PORT`, `*` for all
    default: bool = False


class Server(Row, frozen=True):
    at: str
    listens: list[Listen]
    names: list[str] = []
    steps: list[Step] = []
    places: list[Place] = []
    errors: list[ErrorPage] = []
    merge_slashes: bool = True
    absolute_redirect: bool = True
    port_in_redirect: bool = True
    name_in_redirect: bool = False
    add_fields: list[list[str]] = []


class MapTable(Row, frozen=True):
    name: str
    source: str
    at: str
    entries: list[list[str]] = []  # value, result
    default: str = ""
    hostnames: bool = False


class SplitTable(Row, frozen=True):
    name: str
    source: str
    at: str
    parts: list[list[str]]  # hundredths of a per cent or `*`, result


class Site(Row, frozen=True):
    """All of it. `losses` were accepted by the operator, `notes` say what stands for what."""

    version: int = VERSION
    losses: list[str] = []
    notes: list[str] = []
    upstreams: list[Upstream] = []
    maps: list[MapTable] = []
    splits: list[SplitTable] = []
    servers: list[Server] = []


def write_site(site: Site) -> str:
    """The table as TOML, which has no nulls: they are left out as defaults."""
    return str(tomli_w.dumps(without_nulls(msgspec.to_builtins(site))))


def without_nulls(value: object) -> dict[str, object]:
    def clean(each: object) -> object:
        if isinstance(each, dict):
            return {key: clean(inner) for key, inner in each.items() if inner is not None}
        return [clean(inner) for inner in each] if isinstance(each, list) else each

    cleaned = clean(value)
    assert isinstance(cleaned, dict)
    return cleaned


def read_site(text: str, path: str = "the table") -> Site:
    """A table that was written; `ConfigError` with the one line that says what is wrong."""
    site = parse_toml(text, Site, path)
    if site.version != VERSION:
        raise ConfigError(f"{path}: version: written in version {site.version}, this is {VERSION}")
    return site


def load_site(path: Path) -> Site:
    try:
        return read_site(path.read_text(encoding="utf-8"), str(path))
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror or error}") from error
