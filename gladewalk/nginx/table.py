"""The routing table: what an import results in, as a TOML file, and what the router compiles.

Every row is as effective at its place, with nginx's inheritance already resolved; `defined_at` is the
`file:line` where it was written. Reading a table that was written gives the same table. Fields whose key in
the file differs from their name here have it in `rename`; the order of fields is that of the file.
"""

from __future__ import annotations

from pathlib import Path

import msgspec
import tomli_w

from ..config.platform import ConfigError
from ..config.toml_file import parse_toml

VERSION = 1
MIB = 1024 * 1024


class Row(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, forbid_unknown_fields=True):
    """A row of the table."""


class UpstreamServerRow(
    Row,
    frozen=True,
    rename={
        "defined_at": "at",
        "fail_timeout_ms": "fail_ms",
        "is_backup": "backup",
        "is_down": "down",
    },
):
    """A server of an upstream.

    Attributes:
        address: `HOST:PORT`, a literal address.
        weight: Its share of the hash.
        max_conns: Requests in flight; 0: no bound.
        max_fails: Failures within `fail_timeout_ms` that make it unavailable for as long; 0: never.
        slow_start_ms: As the file has it; the core's own slow start takes its place.
        is_backup: Used only while no other server is available.
        is_down: Never used.
    """

    address: str
    defined_at: str
    weight: int = 1
    max_conns: int = 0
    max_fails: int = 1
    fail_timeout_ms: float = 10_000.0
    slow_start_ms: float = 0.0
    is_backup: bool = False
    is_down: bool = False


class UpstreamRow(Row, frozen=True, rename={"defined_at": "at", "servers": "boxes", "balancing": "balance"}):
    """An upstream; `balancing` is as the file has it, the core's hash takes its place."""

    name: str
    defined_at: str
    servers: list[UpstreamServerRow]
    balancing: str = "round robin"


class StepRow(
    Row,
    frozen=True,
    rename={
        "defined_at": "at",
        "value": "to",
        "status": "code",
        "variable": "name",
        "condition": "test",
        "steps": "then",
    },
):
    """One of `rewrite`, `return`, `set`, `break` and `if`, in the order of the file.

    rewrite: `regex`, `value`, `flag`. return: `status`, `value`. set: `variable`, `value`. if: `condition`
    and the `steps` within.
    """

    op: str
    defined_at: str
    regex: str = ""
    value: str = ""
    flag: str = ""
    status: int = 0
    variable: str = ""
    condition: list[str] = []
    steps: list[StepRow] = []


class AccessRow(Row, frozen=True, rename={"is_allowed": "allow"}):
    """One of `allow` and `deny`; `network` may be `all`."""

    is_allowed: bool
    network: str


class ErrorPageRow(
    Row, frozen=True, rename={"statuses": "codes", "target": "to", "response_status": "status"}
):
    """An `error_page`; `response_status` None: the status stays; 0: as the target answers."""

    statuses: list[int]
    target: str
    response_status: int | None = None


class ProxySettings(
    Row,
    frozen=True,
    rename={
        "connect_timeout_ms": "connect_ms",
        "read_timeout_ms": "read_ms",
        "send_timeout_ms": "send_ms",
        "retry_on": "again_on",
        "max_attempts": "tries",
        "retry_timeout_ms": "tries_ms",
        "freshness_lifetime_ms": "fresh_ms",
        "use_stale_on": "stale_on",
        "joins_fills": "join",
        "cache_key": "key",
        "max_body_bytes": "body_most",
    },
):
    """How a request is proxied, with nginx's defaults.

    Attributes:
        connect_timeout_ms: `proxy_connect_timeout`.
        read_timeout_ms: `proxy_read_timeout`, between two reads.
        send_timeout_ms: `proxy_send_timeout`.
        retry_on: `proxy_next_upstream`, its conditions.
        max_attempts: `proxy_next_upstream_tries`; 0: no bound.
        retry_timeout_ms: `proxy_next_upstream_timeout`; 0: no bound.
        freshness_lifetime_ms: `proxy_cache_valid` of a 200.
        use_stale_on: `proxy_cache_use_stale`, its conditions.
        joins_fills: `proxy_cache_lock`.
        cache_key: `proxy_cache_key`.
        max_body_bytes: `client_max_body_size`; 0: no bound.
        set_fields: `proxy_set_header`, pairs of name and value; empty: nginx's own two.
        hide_fields: Names in lower case of fields that stay here.
        add_fields: `add_header`: name, value, `always` or "".
        redirect: `proxy_redirect`, `default` or `off`.
    """

    connect_timeout_ms: float = 60_000.0
    read_timeout_ms: float = 60_000.0
    send_timeout_ms: float = 60_000.0
    retry_on: tuple[str, ...] = ("error", "timeout")
    max_attempts: int = 0
    retry_timeout_ms: float = 0.0
    freshness_lifetime_ms: float = 0.0
    use_stale_on: tuple[str, ...] = ()
    joins_fills: bool = False
    cache_key: str = ""
    max_body_bytes: int = MIB
    set_fields: list[list[str]] = []
    hide_fields: list[str] = []
    add_fields: list[list[str]] = []
    redirect: str = "default"


class LocationRow(
    Row,
    frozen=True,
    rename={
        "defined_at": "at",
        "modifier": "kind",
        "excepted_methods": "methods",
        "excepted_access": "methods_access",
        "is_internal": "internal",
        "proxy": "terms",
        "error_pages": "errors",
        "locations": "places",
    },
):
    """A location.

    Attributes:
        modifier: "" for a prefix, "=", "^~", "~", "~*", or "@" for a named one.
        upstream: A name, or a string with variables; empty: nothing is proxied.
        uri: That of `proxy_pass`; None: the request's own.
        excepted_methods: Of `limit_except`: the methods that `excepted_access` does not hold for.
        fallback: The last of an accepted `try_files`, whose files are taken not to exist.
        locations: Those nested in it.
    """

    defined_at: str
    modifier: str = ""
    pattern: str = ""
    upstream: str = ""
    uri: str | None = None
    steps: list[StepRow] = []
    access: list[AccessRow] = []
    excepted_methods: list[str] = []
    excepted_access: list[AccessRow] = []
    is_internal: bool = False
    fallback: str = ""
    proxy: ProxySettings = ProxySettings()
    error_pages: list[ErrorPageRow] = []
    locations: list[LocationRow] = []

    @property
    def is_regex(self) -> bool:
        """Whether the pattern is a regex."""
        return self.modifier in ("~", "~*")

    @property
    def is_named(self) -> bool:
        """Whether requests come here by its name alone."""
        return self.modifier == "@"

    @property
    def directive(self) -> str:
        """The directive as it stands in the file."""
        return f"location {self.modifier} {self.pattern}".replace("  ", " ").replace("@ @", "@")


class ListenRow(Row, frozen=True, rename={"is_default": "default"}):
    """A `listen`; the address is `HOST:PORT`, with `*` for all hosts."""

    address: str
    is_default: bool = False


class ServerRow(
    Row, frozen=True, rename={"defined_at": "at", "locations": "places", "error_pages": "errors"}
):
    """A virtual server."""

    defined_at: str
    listens: list[ListenRow]
    names: list[str] = []
    steps: list[StepRow] = []
    locations: list[LocationRow] = []
    error_pages: list[ErrorPageRow] = []
    merge_slashes: bool = True
    absolute_redirect: bool = True
    port_in_redirect: bool = True
    name_in_redirect: bool = False
    add_fields: list[list[str]] = []


class MapRow(Row, frozen=True, rename={"defined_at": "at"}):
    """A `map`; `entries` are pairs of value and result."""

    name: str
    source: str
    defined_at: str
    entries: list[list[str]] = []
    default: str = ""
    hostnames: bool = False


class SplitRow(Row, frozen=True, rename={"defined_at": "at"}):
    """A `split_clients`; `parts` are pairs of hundredths of a per cent, or `*`, and the result."""

    name: str
    source: str
    defined_at: str
    parts: list[list[str]]


class Site(Row, frozen=True):
    """The whole table.

    Attributes:
        losses: What the operator accepted to lose by `--allow`.
        notes: What is done in another way than by nginx.
    """

    version: int = VERSION
    losses: list[str] = []
    notes: list[str] = []
    upstreams: list[UpstreamRow] = []
    maps: list[MapRow] = []
    splits: list[SplitRow] = []
    servers: list[ServerRow] = []


def write_site(site: Site) -> str:
    """Returns the table as TOML."""
    return tomli_w.dumps(_without_nulls(msgspec.to_builtins(site)))


def _without_nulls(table: dict[str, object]) -> dict[str, object]:
    """Returns a copy without nulls, which TOML does not have: they are defaults."""

    def copy(value: object) -> object:
        if isinstance(value, dict):
            return _without_nulls(value)
        return [copy(item) for item in value] if isinstance(value, list) else value

    return {key: copy(value) for key, value in table.items() if value is not None}


def read_site(text: str, path: str = "the table") -> Site:
    """Reads a table that was written.

    Raises:
        ConfigError: The text is no table of this version; one line that begins with `path`.
    """
    site = parse_toml(text, Site, path)
    if site.version != VERSION:
        raise ConfigError(f"{path}: version: written in version {site.version}, this is {VERSION}")
    return site


def load_site(path: Path) -> Site:
    """Reads the table of a file; raises `ConfigError`."""
    try:
        return read_site(path.read_text(encoding="utf-8"), str(path))
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror or error}") from error
