"""Tables of the director's own TOML file, as typed and validated structures.

A field's name differs from its key in the file where a class's `rename` says so: keys are part of the
interface to operators and stay as they are. Times are milliseconds (`_ms`) unless the name has another unit.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

Http2Mode = Literal["off", "h2c", "tls"]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
DurationMs = Annotated[float, Meta(ge=1.0, le=3_600_000.0)]
PeriodMs = Annotated[float, Meta(ge=0.0, le=3_600_000.0)]  # 0: never
RatePerSecond = Annotated[float, Meta(gt=0.0, le=1_000_000.0)]
RateLimitPerSecond = Annotated[float, Meta(ge=0.0, le=1e6)]  # 0: no limit
TtlMs = Annotated[float, Meta(ge=1_000.0, le=3_600_000.0)]


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A table of the file; an unknown key is an error, since it mostly is a misspelt one."""


class Http2Options(
    Table,
    frozen=True,
    rename={
        "max_connections": "connections_most",
        "max_streams": "streams_most",
        "stream_window_bytes": "stream_window",
        "connection_window_bytes": "connection_window",
        "ping_timeout_ms": "ping_wait_ms",
        "http1_fallback_ms": "fallback_ms",
        "calm_backoff_ms": "calm_ms",
        "reset_burst": "cancels_burst",
        "resets_per_s": "cancels_per_s",
        "control_frame_burst": "control_burst",
        "control_frames_per_s": "control_per_s",
        "max_drain_ms": "drain_ms",
    },
):
    """`[http2]`: over which protocol servers are spoken to, and the bounds on shared connections.

    Attributes:
        mode: The protocol of servers that neither map names.
        by_model: The protocol by a server's model.
        by_uid: The protocol of single servers, ahead of their model's.
        max_connections: To one server; draining ones do not count.
        max_streams: On one connection, whatever its server allows.
        stream_window_bytes: Flow-control window of a stream (RFC 9113, section 5.2).
        connection_window_bytes: Flow-control window of a connection.
        ping_after_ms: Silence, with a stream open, after which a PING is sent.
        ping_timeout_ms: Silence after the PING that makes the connection count as dead.
        http1_fallback_ms: How long a server that required HTTP/1.1 is not offered HTTP/2.
        calm_backoff_ms: How long a server gets no new stream after ENHANCE_YOUR_CALM; doubles up to 16-fold.
        reset_burst: RST_STREAM frames that one connection may be sent at once.
        resets_per_s: And over time; a stream given up beyond that runs out unread.
        control_frame_burst: Frames without payload that a server may send at once.
        control_frames_per_s: And over time; more end the connection.
        max_drain_ms: A connection that is being replaced is cut after this long.
    """

    mode: Http2Mode = "off"
    by_model: dict[str, Http2Mode] = {}
    by_uid: dict[str, Http2Mode] = {}
    max_connections: Annotated[int, Meta(ge=1, le=64)] = 2
    max_streams: Annotated[int, Meta(ge=1, le=10_000)] = 256
    stream_window_bytes: Annotated[int, Meta(ge=1_024, le=16_777_216)] = 65_535
    connection_window_bytes: Annotated[int, Meta(ge=65_535, le=268_435_456)] = 4_194_304
    ping_after_ms: DurationMs = 1_000.0
    ping_timeout_ms: DurationMs = 1_000.0
    http1_fallback_ms: DurationMs = 60_000.0
    calm_backoff_ms: DurationMs = 1_000.0
    reset_burst: Count = 100
    resets_per_s: RatePerSecond = 20.0
    control_frame_burst: Count = 2_000
    control_frames_per_s: RatePerSecond = 500.0
    max_drain_ms: DurationMs = 30_000.0

    def mode_of(self, uid: str, model: str) -> Http2Mode:
        """Returns the mode of a server."""
        return self.by_uid.get(uid) or self.by_model.get(model) or self.mode

    @property
    def modes(self) -> frozenset[Http2Mode]:
        """Every mode that any server may have."""
        return frozenset((self.mode, *self.by_model.values(), *self.by_uid.values()))

    @property
    def is_used(self) -> bool:
        """Whether any server may be spoken to over HTTP/2."""
        return self.modes != {"off"}


class TlsOptions(Table, frozen=True):
    """`[tls]`: certificates towards servers; paths are relative to the file.

    Attributes:
        ca: The authorities that servers' certificates must be signed by.
        certificate: The director's own certificate, if servers ask for one; goes with `key`.
        key: Its private key.
        name: The name that a server's certificate must have; `{uid}` and `{model}` are replaced.
    """

    ca: str = ""
    certificate: str = ""
    key: str = ""
    name: str = "{uid}"


class DnsOptions(
    Table,
    frozen=True,
    rename={
        "max_wait_ms": "wait_ms",
        "max_udp_bytes": "udp_most",
        "max_amplification": "amplification_most",
        "network_queries_per_s": "network_per_s",
        "queries_per_s": "all_per_s",
        "max_loop_fraction": "loop_share",
        "max_tcp_connections": "tcp_most",
        "max_tcp_connections_per_client": "tcp_each",
        "max_tcp_open_queries": "tcp_open",
        "tcp_idle_timeout_ms": "tcp_idle_ms",
        "max_transfers_per_answer": "transfers_most",
        "min_ttl_ms": "ttl_least_ms",
        "max_ttl_ms": "ttl_most_ms",
    },
):
    """`[dns]`: the DNS front.

    Attributes:
        listen: Address for UDP and TCP.
        zone: The zone whose names are resolved.
        enabled: False turns the front off and keeps the table.
        own_address: Answered where no cache may be named; the director's own host by default.
        transfers_per_answer: Transfers at a time that one cached answer may bring to a cache.
        max_wait_ms: How long a query may wait for its answer.
        zones: Further zones, with the same names below them.
        nameservers: Names of name servers, each with its addresses as glue.
        hostmaster: Mailbox of the SOA record (RFC 1035, section 3.3.13).
        negative_ttl_s: TTL of negative answers (RFC 2308).
        records: A master file (RFC 1035, section 5) with further records.
        open_classes: Classes below which any other name is the director itself.
        nsid: Name server identifier (RFC 5001).
        max_udp_bytes: Size of a UDP answer that passes unfragmented.
        max_amplification: Size of a UDP answer over that of its query.
        cookies: A file of keys for DNS cookies (RFC 7873); empty: none.
        answers_per_s: Response rate limit: like answers to one network over UDP.
        slip: Each so many of the answers over the limit is sent truncated; 0: none.
        network_queries_per_s: Queries of one network.
        queries_per_s: Queries of all clients.
        max_loop_fraction: Of the event loop's time that UDP may take.
        max_tcp_connections: Open at once, over TLS as well.
        max_tcp_connections_per_client: Of them by one client.
        max_tcp_open_queries: Queries of one connection that wait at a time.
        tcp_idle_timeout_ms: After which an idle connection is closed.
        max_transfers_per_answer: Upper bound on what is measured for `transfers_per_answer`.
        min_ttl_ms: TTL of answers with a cold or full cache.
        max_ttl_ms: TTL of other answers.
        after_restart: What a start without `[store]` assumes resolvers to have cached.
        ecs_from: Networks of resolvers whose client subnet (RFC 7871) is believed.
        tls_listen: Address for DNS over TLS (RFC 7858).
        tls_certificate: Its certificate.
        tls_key: Its private key.
    """

    listen: str
    zone: str
    enabled: bool = True
    own_address: str | None = None
    transfers_per_answer: Annotated[float, Meta(gt=0.0)] = 1.0
    max_wait_ms: Annotated[float, Meta(gt=0.0)] = 1_000.0
    zones: list[str] = []
    nameservers: dict[str, Annotated[list[str], Meta(max_length=16)]] = {}
    hostmaster: str = "hostmaster"
    negative_ttl_s: Annotated[int, Meta(ge=0, le=86_400)] = 5
    records: str = ""
    open_classes: list[str] = []
    nsid: Annotated[str, Meta(max_length=64)] = ""
    max_udp_bytes: Annotated[int, Meta(ge=512, le=4_096)] = 1_232
    max_amplification: Annotated[float, Meta(ge=2.0, le=100.0)] = 10.0
    cookies: str = ""
    answers_per_s: RateLimitPerSecond = 0.0
    slip: Annotated[int, Meta(ge=0, le=100)] = 2
    network_queries_per_s: RateLimitPerSecond = 0.0
    queries_per_s: RateLimitPerSecond = 0.0
    max_loop_fraction: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.2
    max_tcp_connections: Annotated[int, Meta(ge=1, le=65_536)] = 64
    max_tcp_connections_per_client: Annotated[int, Meta(ge=1, le=65_536)] = 16
    max_tcp_open_queries: Annotated[int, Meta(ge=1, le=1_024)] = 32
    tcp_idle_timeout_ms: DurationMs = 10_000.0
    max_transfers_per_answer: Annotated[float, Meta(gt=0.0, le=1e6)] = 100.0
    min_ttl_ms: TtlMs = 1_000.0
    max_ttl_ms: TtlMs = 2_000.0
    after_restart: Literal["worst", "none"] = "worst"
    ecs_from: list[str] = []
    tls_listen: str = ""
    tls_certificate: str = ""
    tls_key: str = ""


class StoreOptions(
    Table,
    frozen=True,
    rename={
        "group_commit_ms": "group_ms",
        "max_bytes": "limit_bytes",
        "snapshot_interval_ms": "warm_ms",
        "resumes_feed": "resume",
    },
):
    """`[store]`: what outlives a restart, and how durably.

    Attributes:
        folder: Where the segments are.
        policy: When a write is acknowledged: after its own fsync, after a group's, or at once.
        group_commit_ms: How long a group waits for further writes.
        max_bytes: Size on disk that compaction keeps.
        snapshot_interval_ms: Interval of the warm-start snapshot; 0: none.
        resumes_feed: Ask the coordinator only for events after the last one stored.
        segment_bytes: Size of a segment.
    """

    folder: Annotated[str, Meta(min_length=1)]
    policy: Literal["each", "group", "none"] = "each"
    group_commit_ms: Annotated[float, Meta(gt=0.0, le=1_000.0)] = 5.0
    max_bytes: Annotated[int, Meta(ge=1_048_576, le=2**40)] = 64 * 1024 * 1024
    snapshot_interval_ms: Annotated[float, Meta(ge=0.0, le=600_000.0)] = 5_000.0
    resumes_feed: bool = False
    segment_bytes: Annotated[int, Meta(ge=65_536, le=2**30)] = 1024 * 1024


class FrontHttpOptions(
    Table,
    frozen=True,
    rename={
        "max_client_connections": "clients_most",
        "max_upstream_connections": "upstream_most",
        "max_body_bytes": "body_most",
    },
):
    """`[front.http]`: ordinary HTTP requests, routed as an imported table says.

    Attributes:
        site: A table written by `gladewalk import`.
        listen: The director's addresses, each with the listen directive that it stands for.
        max_client_connections: Open at once.
        max_upstream_connections: To all upstreams together.
        max_body_bytes: Of a request's body, which is held in memory.
    """

    site: Annotated[str, Meta(min_length=1)]
    listen: dict[str, str]
    max_client_connections: Annotated[int, Meta(ge=1, le=1_000_000)] = 256
    max_upstream_connections: Annotated[int, Meta(ge=1, le=1_000_000)] = 256
    max_body_bytes: Annotated[int, Meta(ge=0, le=1_073_741_824)] = 1_048_576


class FrontOptions(Table, frozen=True):
    """`[front]`: further fronts, each off without its table."""

    http: FrontHttpOptions | None = None


class MembersOptions(
    Table,
    frozen=True,
    rename={
        "max_clock_skew_ms": "window_ms",
        "dial_addresses": "dial",
        "ping_period_ms": "period_ms",
        "max_stall_ms": "stall_ms",
        "min_suspicion_ms": "suspicion_ms",
    },
):
    """`[members]`: the group of directors, and how failures in it are detected.

    Attributes:
        listen: Address for datagrams and streams.
        keys: A key ring file, see `load_hex_keys`.
        seeds: Addresses to join through.
        networks: Networks from which datagrams are read at all.
        max_clock_skew_ms: Clock skew between members that message authentication allows.
        dial_addresses: Addresses that are reached at another than they announce.
        ping_period_ms: Protocol period (Das et al., 2002).
        max_stall_ms: How long a paused member is kept.
        min_suspicion_ms: Shortest time from suspicion to failure.
        weight: This director's part of the periodic tasks, relative to the other members.
    """

    listen: str
    keys: str
    seeds: list[str] = []
    networks: tuple[str, ...] = ("127.0.0.0/8",)
    max_clock_skew_ms: DurationMs = 30_000.0
    dial_addresses: dict[str, str] = {}
    ping_period_ms: Annotated[float, Meta(ge=20.0, le=60_000.0)] = 200.0
    max_stall_ms: Annotated[float, Meta(ge=50.0, le=3_600_000.0)] = 10_000.0
    min_suspicion_ms: Annotated[float, Meta(ge=50.0, le=600_000.0)] = 500.0
    weight: Annotated[float, Meta(gt=0.0, le=1e6)] = 1.0


class DutiesOptions(
    Table,
    frozen=True,
    rename={
        "cache_check_interval_ms": "probe_ms",
        "source_check_interval_ms": "check_ms",
        "max_result_age_ms": "fresh_ms",
        "max_checks_per_s": "probes_per_s",
    },
):
    """`[duties]`: periodic tasks that are divided among the members.

    Attributes:
        cache_check_interval_ms: Interval of each cache's health check, `GET /load`; 0: none.
        source_check_interval_ms: Interval of each parent's and the origin's, `GET /alive`; 0: none.
        max_result_age_ms: Age up to which another member's result is used.
        max_checks_per_s: Health checks of all members together; 0: no limit.
    """

    cache_check_interval_ms: PeriodMs = 1_000.0
    source_check_interval_ms: PeriodMs = 1_000.0
    max_result_age_ms: DurationMs = 3_000.0
    max_checks_per_s: RateLimitPerSecond = 0.0


class LeasesOptions(
    Table,
    frozen=True,
    rename={
        "report_interval_ms": "report_ms",
        "max_clock_skew_ms": "window_ms",
        "max_clock_drift": "drift",
        "fence_interval_ms": "act_ms",
    },
):
    """`[leases]`: tasks that one director alone does at a time, leased by a majority of `peers`.

    Attributes:
        listen: Address for datagrams.
        keys: A key ring file, see `load_hex_keys`.
        peers: Every voter by name, this director among them, with its address.
        duties: Further leases, each with the fenced resource (HOST:PORT) that gets its token.
        hubs: Where the lease holder forwards purges to.
        report_to: The collector that the lease holder sends the fleet's report to.
        report_interval_ms: Interval of the report.
        max_clock_skew_ms: Clock skew between directors that message authentication allows.
        lease_ms: Duration of a lease.
        max_clock_drift: Largest relative error of a clock's rate.
        stop_margin_ms: A holder stops this long before its lease ends.
        grant_margin_ms: A voter waits this long past a lease before it votes for another holder.
        fence_interval_ms: Interval at which a holder sends its token to the fenced resources.
        clock_rate: Rate of the clock, for tests with clocks that drift.
    """

    listen: str
    keys: str
    peers: dict[str, str]
    duties: dict[str, str] = {}
    hubs: list[str] = []
    report_to: str = ""
    report_interval_ms: DurationMs = 1_000.0
    max_clock_skew_ms: DurationMs = 30_000.0
    lease_ms: Annotated[float, Meta(ge=100.0, le=600_000.0)] = 1_000.0
    max_clock_drift: Annotated[float, Meta(ge=0.0, lt=0.5)] = 0.02
    stop_margin_ms: Annotated[float, Meta(ge=0.0)] = 100.0
    grant_margin_ms: Annotated[float, Meta(ge=0.0)] = 50.0
    fence_interval_ms: Annotated[float, Meta(ge=1.0, le=600_000.0)] = 100.0
    clock_rate: Annotated[float, Meta(gt=0.5, lt=1.5)] = 1.0


class ControlOptions(Table, frozen=True):
    """`[control]`: where commands reach the running director.

    Attributes:
        socket: Path of a Unix socket, accessible by its owner alone.
    """

    socket: Annotated[str, Meta(min_length=1)]


class OptionTables(Table, frozen=True):
    """The whole file; what has no table stays off and is not imported."""

    http2: Http2Options = Http2Options()
    tls: TlsOptions = TlsOptions()
    dns: DnsOptions | None = None
    members: MembersOptions | None = None
    duties: DutiesOptions = DutiesOptions()
    control: ControlOptions | None = None
    leases: LeasesOptions | None = None
    front: FrontOptions = FrontOptions()
    store: StoreOptions | None = None
