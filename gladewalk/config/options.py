"""Our own settings: the TOML file that `--config` names, checked against typed tables.

Every table is optional, and what no table turns on stays off and is not imported. An error is one line,
`file: table.key: why`; a key that no table has is an error, since it mostly is a misspelt one.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from .platform import ConfigError

Mode = Literal["off", "h2c", "tls"]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
Span = Annotated[float, Meta(ge=1.0, le=3_600_000.0)]  # ms
Rate = Annotated[float, Meta(gt=0.0, le=1_000_000.0)]  # a second


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A table of the file."""


class Http2(Table, frozen=True):
    """`[http2]`: over which protocol servers are spoken to, and the bounds on what is shared."""

    mode: Mode = "off"
    by_model: dict[str, Mode] = {}
    by_uid: dict[str, Mode] = {}
    connections_most: Annotated[int, Meta(ge=1, le=64)] = 2  # to one server, those that drain not counted
    streams_most: Annotated[int, Meta(ge=1, le=10_000)] = 256  # on one connection, whatever its server allows
    stream_window: Annotated[int, Meta(ge=1_024, le=16_777_216)] = 65_535  # bytes not yet taken by a client
    connection_window: Annotated[int, Meta(ge=65_535, le=268_435_456)] = 4_194_304  # bytes
    ping_after_ms: Span = 1_000.0  # nothing heard for this long while something is out: a PING
    ping_wait_ms: Span = 1_000.0  # and nothing for this long after it: the connection is dead
    fallback_ms: Span = 60_000.0  # how long a server that wanted HTTP/1.1 is not offered HTTP/2
    calm_ms: Span = 1_000.0  # how long a server that asked for calm gets nothing new, doubled up to 16 times
    cancels_burst: Count = 100  # RST_STREAMs that one connection may be sent at once
    cancels_per_s: Rate = 20.0  # and over time; what is given up beyond that runs out unheard
    control_burst: Count = 2_000  # frames from a server that carry nothing, at once
    control_per_s: Rate = 500.0  # and over time; more cost the connection
    drain_ms: Span = 30_000.0  # a connection that is being replaced is cut after this long

    def mode_of(self, uid: str, model: str) -> Mode:
        return self.by_uid.get(uid) or self.by_model.get(model) or self.mode

    @property
    def used(self) -> bool:
        return any(mode != "off" for mode in (self.mode, *self.by_model.values(), *self.by_uid.values()))


class Tls(Table, frozen=True):
    """`[tls]`: files are relative to the settings file."""

    ca: str = ""
    certificate: str = ""
    key: str = ""
    name: str = "{uid}"  # the name that a server's certificate must have


class Dns(Table, frozen=True):
    """`[dns]`: the DNS front."""

    listen: str
    zone: str
    enabled: bool = True
    own_address: str | None = None
    transfers_per_answer: Annotated[float, Meta(gt=0.0)] = 1.0
    wait_ms: Annotated[float, Meta(gt=0.0)] = 1_000.0
    zones: list[str] = []  # more zones, with the same names below them
    nameservers: dict[str, Annotated[list[str], Meta(max_length=16)]] = {}  # name -> its addresses, as glue
    hostmaster: str = "hostmaster"
    negative_ttl_s: Annotated[int, Meta(ge=0, le=86_400)] = 5
    records: str = ""  # a master file with records of one's own
    open_classes: list[str] = []  # any other name below these is the director itself
    nsid: Annotated[str, Meta(max_length=64)] = ""
    udp_most: Annotated[int, Meta(ge=512, le=4_096)] = 1_232  # bytes of an answer that passes unfragmented
    amplification_most: Annotated[float, Meta(ge=2.0, le=100.0)] = 10.0  # answer over question, by UDP
    cookies: str = ""  # a file of keys; empty: no cookies
    answers_per_s: Annotated[float, Meta(ge=0.0, le=1e6)] = 0.0  # like ones to a network, by UDP; 0: no limit
    slip: Annotated[int, Meta(ge=0, le=100)] = 2  # each so many of those over it is sent cut; 0: none
    network_per_s: Annotated[float, Meta(ge=0.0, le=1e6)] = 0.0  # questions of one network; 0: no limit
    all_per_s: Annotated[float, Meta(ge=0.0, le=1e6)] = 0.0  # questions of all; 0: no limit
    loop_share: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.2  # of the loop's time, that UDP may take
    tcp_most: Annotated[int, Meta(ge=1, le=65_536)] = 64  # connections, TLS among them
    tcp_each: Annotated[int, Meta(ge=1, le=65_536)] = 16  # of one client
    tcp_open: Annotated[int, Meta(ge=1, le=1_024)] = 32  # questions of a connection that wait at a time
    tcp_idle_ms: Span = 10_000.0
    transfers_most: Annotated[float, Meta(gt=0.0, le=1e6)] = 100.0  # of one answer, whatever is measured
    ttl_least_ms: Annotated[float, Meta(ge=1_000.0, le=3_600_000.0)] = 1_000.0  # of a cold or full box
    ttl_most_ms: Annotated[float, Meta(ge=1_000.0, le=3_600_000.0)] = 2_000.0
    after_restart: Literal["worst", "none"] = "worst"  # what a start without [store] takes to be held
    ecs_from: list[str] = []  # resolvers that may speak for their clients' networks
    tls_listen: str = ""  # DNS over TLS
    tls_certificate: str = ""
    tls_key: str = ""


class Store(Table, frozen=True):
    """`[store]`: what outlives a restart, and how surely."""

    folder: Annotated[str, Meta(min_length=1)]
    policy: Literal["each", "group", "none"] = "each"  # when a put is acknowledged
    group_ms: Annotated[float, Meta(gt=0.0, le=1_000.0)] = 5.0  # how long `group` waits for others
    limit_bytes: Annotated[int, Meta(ge=1_048_576, le=2**40)] = 64 * 1024 * 1024  # on disk, by compaction
    warm_ms: Annotated[float, Meta(ge=0.0, le=600_000.0)] = (
        5_000.0  # all that was learned, once in this; 0: never
    )
    resume: bool = False  # ask the coordinator only for events after the last that is kept
    segment_bytes: Annotated[int, Meta(ge=65_536, le=2**30)] = 1024 * 1024


class FrontHttp(Table, frozen=True):
    """`[front.http]`: ordinary requests, routed as an imported table says."""

    site: Annotated[str, Meta(min_length=1)]  # a table of `gladewalk import`
    listen: dict[str, str]  # our address -> which listen of the table it stands for
    clients_most: Annotated[int, Meta(ge=1, le=1_000_000)] = 256  # connections of clients at a time
    upstream_most: Annotated[int, Meta(ge=1, le=1_000_000)] = 256  # connections to all upstreams together
    body_most: Annotated[int, Meta(ge=0, le=1_073_741_824)] = 1_048_576  # bytes of a request, held in memory


class Front(Table, frozen=True):
    http: FrontHttp | None = None


class Members(Table, frozen=True):
    """`[members]`: where this director meets others, and who they are."""

    listen: str
    keys: str  # a file: one key a line in hexadecimal, for its owner's eyes alone
    seeds: list[str] = []
    networks: tuple[str, ...] = ("127.0.0.0/8",)  # from which datagrams are read at all
    window_ms: Span = 30_000.0  # how far the members' clocks may differ
    dial: dict[str, str] = {}  # addresses that are reached elsewhere than where they say they are
    period_ms: Annotated[float, Meta(ge=20.0, le=60_000.0)] = 200.0
    stall_ms: Annotated[float, Meta(ge=50.0, le=3_600_000.0)] = 10_000.0  # how long a paused one is kept
    suspicion_ms: Annotated[float, Meta(ge=50.0, le=600_000.0)] = 500.0
    weight: Annotated[float, Meta(gt=0.0, le=1e6)] = 1.0  # this director's part of the duties


class Duties(Table, frozen=True):
    """`[duties]`: what is divided among the members."""

    probe_ms: Annotated[float, Meta(ge=0.0, le=3_600_000.0)] = 1_000.0  # GET /load of each box; 0: never
    check_ms: Annotated[float, Meta(ge=0.0, le=3_600_000.0)] = 1_000.0  # GET /alive of parents and origin
    fresh_ms: Span = 3_000.0  # how old a finding may be that the module is told of
    probes_per_s: Annotated[float, Meta(ge=0.0, le=1e6)] = 0.0  # of all members together; 0: no cap


class Leases(Table, frozen=True):
    """`[leases]`: duties that one director alone holds at a time, granted by a majority of `peers`."""

    listen: str
    keys: str  # as `[members]`: one key a line in hexadecimal
    peers: dict[str, str]  # every elector by name, this director among them -> where it is dialled
    duties: dict[str, str] = {}  # further duties -> the sink (HOST:PORT) that is told each one's token
    hubs: list[str] = []  # the purge duty: where an operator's purges are forwarded to
    report_to: str = ""  # the report duty: the collector that the fleet's report is written to
    report_ms: Span = 1_000.0  # how often
    window_ms: Span = 30_000.0
    lease_ms: Annotated[float, Meta(ge=100.0, le=600_000.0)] = 1_000.0
    drift: Annotated[float, Meta(ge=0.0, lt=0.5)] = 0.02
    stop_margin_ms: Annotated[float, Meta(ge=0.0)] = 100.0
    grant_margin_ms: Annotated[float, Meta(ge=0.0)] = 50.0
    act_ms: Annotated[float, Meta(ge=1.0, le=600_000.0)] = 100.0  # how often a holder tells sinks its token
    clock_rate: Annotated[float, Meta(gt=0.5, lt=1.5)] = 1.0  # for rehearsals: a clock that runs fast or slow


class Control(Table, frozen=True):
    """`[control]`: where `gladewalk members` and its like find a running director."""

    socket: Annotated[str, Meta(min_length=1)]  # a path for a Unix socket, for its owner alone


class Tables(Table, frozen=True):
    http2: Http2 = Http2()
    tls: Tls = Tls()
    dns: Dns | None = None
    members: Members | None = None
    duties: Duties = Duties()
    control: Control | None = None
    leases: Leases | None = None
    front: Front = Front()
    store: Store | None = None


@dataclass(slots=True, frozen=True)
class Options:
    """The file as it was read; `folder` is what its own paths are relative to."""

    path: str
    folder: Path
    http2: Http2
    tls: Tls
    dns: Dns | None
    members: Members | None
    duties: Duties
    control: Control | None
    leases: Leases | None
    front: Front
    store: Store | None

    def file(self, name: str) -> Path:
        return self.folder / name


WHERE = re.compile(r" - at `\$\.?(.*)`\Z")
UNKNOWN = re.compile(r"Object contains unknown field `(.*)`\Z")
MISSING = re.compile(r"Object missing required field `(.*)`\Z")


def explain(error: msgspec.ValidationError) -> str:
    """The library's words as `table.key: why`."""
    text, where = str(error), ""
    if found := WHERE.search(text):
        text, where = text[: found.start()], found[1].replace("[...]", "")
    if found := UNKNOWN.match(text):
        return f"{'.'.join(filter(None, (where, found[1])))}: no such setting"
    if found := MISSING.match(text):
        return f"{'.'.join(filter(None, (where, found[1])))}: is missing"
    return f"{where or 'the file'}: {text[:1].lower()}{text[1:]}"


def read_tables(raw: Any) -> Tables:
    tables = msgspec.convert(raw, Tables)
    if tables.http2.used and "tls" in (
        tables.http2.mode, *tables.http2.by_model.values(), *tables.http2.by_uid.values()
    ) and not tables.tls.ca:  # fmt: skip
        raise ConfigError("tls.ca: is missing, and http2 has the mode 'tls'")
    if bool(tables.tls.certificate) != bool(tables.tls.key):
        raise ConfigError("tls.key: certificate and key go together")
    try:
        named = tables.tls.name.format(uid="u", model="m")
    except (KeyError, IndexError, ValueError, AttributeError):
        named = ""
    if not named or named.startswith("."):
        raise ConfigError("tls.name: not a name with {uid} or {model} in it")
    return tables


def options_of(tables: Tables, path: str, folder: Path) -> Options:
    """Tables that were read, and where the paths in them begin."""
    return Options(path, folder, *(getattr(tables, name) for name in Tables.__struct_fields__))


def load_options(path: str) -> Options:
    """The file's settings, or `ConfigError` with the one line that says what is wrong."""
    import tomllib

    try:
        raw = tomllib.loads(Path(path).read_text(encoding="utf-8"))
        tables = read_tables(raw)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror or error}") from error
    except msgspec.ValidationError as error:
        raise ConfigError(f"{path}: {explain(error)}") from error
    except ValueError as error:  # TOML, or its text encoding
        raise ConfigError(f"{path}: not valid TOML: {error}") from error
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from error
    return options_of(tables, path, Path(path).parent)
