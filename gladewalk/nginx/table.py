"""The routing table, which the importer writes as a TOML file and the router compiles.

Each row has its effective values: nginx's inheritance is already resolved. `defined_at` is the `file:line` of
the directive. A table that is written and read again is equal to the original. `rename` gives the key of a
field in the TOML file where it differs from the field's name; the order of fields is the order in the file.
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
        weight: The server's weight in the hash over the upstream's servers.
        max_conns: The limit of requests in flight; 0 means no limit.
        max_fails: The number of failures within `fail_timeout_ms` after which the server is unavailable for
            `fail_timeout_ms`; 0 disables this.
        slow_start_ms: The value in the file; the director's own slow start is used instead of it.
        is_backup: Whether the server is used only while no other server is available.
        is_down: Whether the server is never used.
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
    """An upstream; `balancing` is the method in the file; the director's hash is used instead of it."""

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
    """A `rewrite`, `return`, `set`, `break` or `if` directive; `op` has its name.

    The rows of a block are in the order of the file. The fields in use are `regex`, `value` and `flag` for
    rewrite, `status` and `value` for return, `variable` and `value` for set, `condition` and the nested
    `steps` for if.
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
    """An `allow` or `deny` directive; `network` may be `all`."""

    is_allowed: bool
    network: str


class ErrorPageRow(
    Row, frozen=True, rename={"statuses": "codes", "target": "to", "response_status": "status"}
):
    """An `error_page`.

    A `response_status` of None keeps the original status, and 0 uses the status of the target's response.
    """

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
    """The settings by which a request is proxied, with nginx's defaults.

    Attributes:
        connect_timeout_ms: `proxy_connect_timeout`.
        read_timeout_ms: `proxy_read_timeout`, the time between two reads.
        send_timeout_ms: `proxy_send_timeout`.
        retry_on: The conditions of `proxy_next_upstream`.
        max_attempts: `proxy_next_upstream_tries`; 0 means no limit.
        retry_timeout_ms: `proxy_next_upstream_timeout`; 0 means no limit.
        freshness_lifetime_ms: The time of `proxy_cache_valid` for a 200.
        use_stale_on: The conditions of `proxy_cache_use_stale`.
        joins_fills: `proxy_cache_lock`.
        cache_key: `proxy_cache_key`.
        max_body_bytes: `client_max_body_size`; 0 means no limit.
        set_fields: `proxy_set_header`, as pairs of name and value; empty for nginx's two default fields.
        hide_fields: The names of response fields that are not sent to the client, in lower case.
        add_fields: `add_header`, as rows of a name, a value, and `always` or "".
        redirect: `proxy_redirect`, either `default` or `off`.
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
        upstream: The name of the upstream, or a string with variables; "" if the location does not proxy.
        uri: The URI of `proxy_pass`; None to send the request's URI.
        excepted_methods: The methods of `limit_except`; `excepted_access` applies to all other methods.
        fallback: The last argument of an allowed `try_files`, whose files are assumed not to exist.
        locations: The nested locations.
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
        """Whether the location is a named one (`@name`), which is never searched by URI."""
        return self.modifier == "@"

    @property
    def directive(self) -> str:
        """The `location` directive with its modifier and pattern, as it is printed in traces."""
        return f"location {self.modifier} {self.pattern}".replace("  ", " ").replace("@ @", "@")


class ListenRow(Row, frozen=True, rename={"is_default": "default"}):
    """A `listen` directive; the address is `HOST:PORT`, with `*` as the host for all addresses."""

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
    """A `map`; `entries` are pairs of a source value, wildcard or regex and the resulting value."""

    name: str
    source: str
    defined_at: str
    entries: list[list[str]] = []
    default: str = ""
    hostnames: bool = False


class SplitRow(Row, frozen=True, rename={"defined_at": "at"}):
    """A `split_clients`; `parts` are pairs of a share in hundredths of a per cent, or `*`, and the value."""

    name: str
    source: str
    defined_at: str
    parts: list[list[str]]


class Site(Row, frozen=True):
    """The whole table.

    Attributes:
        version: The version of the table's format.
        losses: The directives that were dropped because the operator accepted their loss by `--allow`.
        notes: The differences between nginx's behaviour and the table's.
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
    """Returns a copy without null values, which TOML cannot represent; reading gives them as defaults."""

    def copy(value: object) -> object:
        if isinstance(value, dict):
            return _without_nulls(value)
        return [copy(item) for item in value] if isinstance(value, list) else value

    return {key: copy(value) for key, value in table.items() if value is not None}


def read_site(text: str, path: str = "the table") -> Site:
    """Reads a table from its TOML text.

    Raises:
        ConfigError: The text is not a table of this version; the message is one line that starts with `path`.
    """
    site = parse_toml(text, Site, path)
    if site.version != VERSION:
        raise ConfigError(f"{path}: version: written in version {site.version}, this is {VERSION}")
    return site


def load_site(path: Path) -> Site:
    """Reads a table from a file; raises `ConfigError`."""
    try:
        return read_site(path.read_text(encoding="utf-8"), str(path))
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror or error}") from error
