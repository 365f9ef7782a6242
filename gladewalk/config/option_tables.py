"""Tables of the director's options file (TOML), as typed and validated structures.

A class's `rename` lists the fields whose key in the file differs from the field's name: operators' files must
stay valid, so keys are not renamed. Times are in milliseconds (`_ms`) unless the name has another unit.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

Http2Mode = Literal["off", "h2c", "tls"]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
DurationMs = Annotated[float, Meta(ge=1.0, le=3_600_000.0)]
PeriodMs = Annotated[float, Meta(ge=0.0, le=3_600_000.0)]  # 0 disables the task
RatePerSecond = Annotated[float, Meta(gt=0.0, le=1_000_000.0)]
RateLimitPerSecond = Annotated[float, Meta(ge=0.0, le=1e6)]  # 0 means no limit
TtlMs = Annotated[float, Meta(ge=1_000.0, le=3_600_000.0)]


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A table of the file; an unknown key is an error, as it is most often a misspelt one."""


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
    """`[http2]`: the protocol used towards each server, and limits on HTTP/2 connections.

    Attributes:
        mode: Protocol of servers that are in neither `by_model` nor `by_uid`.
        by_model: Protocol by a server's model.
        by_uid: Protocol by a server's uid; takes precedence over `by_model`.
        max_connections: Maximum connections to one server, without those that drain.
        max_streams: Maximum streams per connection, even if the server allows more.
        stream_window_bytes: Flow-control window of a stream (RFC 9113, section 5.2).
        connection_window_bytes: Flow-control window of a connection.
        ping_after_ms: Time without received data, with a stream open, after which a PING is sent.
        ping_timeout_ms: Time without received data after the PING before the connection is closed as dead.
        http1_fallback_ms: How long only HTTP/1.1 is used for a server after it required HTTP/1.1.
        calm_backoff_ms: How long a server gets no new stream after ENHANCE_YOUR_CALM; doubles up to 16-fold.
        reset_burst: Maximum RST_STREAM frames sent on one connection in a burst.
        resets_per_s: Sustained rate of RST_STREAM frames; beyond it an abandoned stream is read to its end.
        control_frame_burst: Maximum frames without payload that are accepted from a server in a burst.
        control_frames_per_s: Sustained rate of such frames; a server that exceeds it is disconnected.
        max_drain_ms: Time after which a draining connection is closed, even with open streams.
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
        """Returns the protocol to use towards a server."""
        return self.by_uid.get(uid) or self.by_model.get(model) or self.mode

    @property
    def modes(self) -> frozenset[Http2Mode]:
        """All modes that occur in the table."""
        return frozenset((self.mode, *self.by_model.values(), *self.by_uid.values()))

    @property
    def is_used(self) -> bool:
        """Whether HTTP/2 is enabled for any server."""
        return self.modes != {"off"}


class TlsOptions(Table, frozen=True):
    """`[tls]`: certificates for connections to servers; paths are relative to the options file.

    Attributes:
        ca: File of the certificate authorities that may sign servers' certificates.
        certificate: File of the director's client certificate, for servers that require one; needs `key`.
        key: File of the private key of `certificate`.
        name: Name that a server's certificate must have; `{uid}` and `{model}` are replaced.
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
        listen: Address of the listeners for UDP and TCP.
        zone: Zone whose names are resolved.
        enabled: False disables the DNS front without removing the table.
        own_address: Address in answers that may name no cache; the director's host by default.
        transfers_per_answer: Concurrent transfers that one cached answer may cause, until it is measured.
        max_wait_ms: Maximum time that a query waits for its answer.
        zones: Additional zones that contain the same names.
        nameservers: Names of the zone's name servers, each with its addresses, which are sent as glue.
        hostmaster: Mailbox of the SOA record (RFC 1035, section 3.3.13).
        negative_ttl_s: TTL of negative answers (RFC 2308).
        records: Master file (RFC 1035, section 5) with additional records.
        open_classes: Request classes below which any unknown name resolves to the director itself.
        nsid: Name server identifier (RFC 5001).
        max_udp_bytes: Maximum size of a UDP answer; the default avoids fragmentation.
        max_amplification: Maximum size of a UDP answer relative to the size of its query.
        cookies: Key ring file for DNS cookies (RFC 7873); empty disables cookies.
        answers_per_s: Response rate limit for similar answers to one client network over UDP.
        slip: Every n-th answer over that limit is sent truncated instead of dropped; 0: none is.
        network_queries_per_s: Rate limit for the queries of one client network.
        queries_per_s: Rate limit for the queries of all clients.
        max_loop_fraction: Maximum fraction of the event loop's time that is spent on UDP queries.
        max_tcp_connections: Maximum open TCP connections, those with TLS included.
        max_tcp_connections_per_client: Maximum open TCP connections of one client.
        max_tcp_open_queries: Maximum queries of one connection that wait for their answers.
        tcp_idle_timeout_ms: Time after which an idle connection is closed.
        max_transfers_per_answer: Upper bound on the measured transfers per answer of a resolver.
        min_ttl_ms: TTL of answers that name a cache that is cold or near its capacity.
        max_ttl_ms: TTL of all other answers.
        after_restart: What a director without `[store]` assumes at start that resolvers have cached.
        ecs_from: Networks of resolvers whose client subnet option (RFC 7871) is trusted.
        tls_listen: Address of the listener for DNS over TLS (RFC 7858).
        tls_certificate: Certificate file for `tls_listen`.
        tls_key: File of the private key of `tls_certificate`.
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
    """`[store]`: state that survives a restart, and how durably it is stored.

    Attributes:
        folder: Folder of the store's segments.
        policy: When a write is acknowledged: after its own fsync, after its group's fsync, or at once.
        group_commit_ms: How long a group of writes waits for more writes before its fsync.
        max_bytes: Size on disk that compaction maintains.
        snapshot_interval_ms: Interval of the warm-start snapshot; 0 disables it.
        resumes_feed: Request only the coordinator's events after the last stored one.
        segment_bytes: Size at which a new segment is started.
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
    """`[front.http]`: a proxy for ordinary HTTP requests, routed by an imported table.

    Attributes:
        site: Routing table written by `gladewalk import`.
        listen: The proxy's listening addresses, each with the nginx listen directive that it replaces.
        max_client_connections: Maximum open client connections.
        max_upstream_connections: Maximum open connections to all upstreams together.
        max_body_bytes: Maximum size of a request body, which is buffered in memory.
    """

    site: Annotated[str, Meta(min_length=1)]
    listen: dict[str, str]
    max_client_connections: Annotated[int, Meta(ge=1, le=1_000_000)] = 256
    max_upstream_connections: Annotated[int, Meta(ge=1, le=1_000_000)] = 256
    max_body_bytes: Annotated[int, Meta(ge=0, le=1_073_741_824)] = 1_048_576


class FrontOptions(Table, frozen=True):
    """`[front]`: additional fronts, each disabled unless its table is present."""

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
    """`[members]`: the membership protocol of a group of directors, with failure detection.

    Attributes:
        listen: Address of the listeners for datagrams and streams.
        keys: Key ring file, see `load_hex_keys`.
        seeds: Addresses of members to contact when joining the group.
        networks: Networks that datagrams and streams are accepted from.
        max_clock_skew_ms: Maximum clock skew between members that message authentication tolerates.
        dial_addresses: Addresses to connect to in place of the addresses that members announce.
        ping_period_ms: Protocol period of the failure detector (Das et al., 2002).
        max_stall_ms: How long a member is kept that still accepts connections but does not respond.
        min_suspicion_ms: Minimum time from suspicion to declared failure.
        weight: This director's share of the periodic tasks, relative to the other members.
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
    """`[duties]`: periodic tasks that are distributed among the members.

    Attributes:
        cache_check_interval_ms: Interval of each cache's health check, `GET /load`; 0 disables it.
        source_check_interval_ms: Interval of parents' and the origin's check, `GET /alive`; 0 disables it.
        max_result_age_ms: Maximum age of another member's check result that is used.
        max_checks_per_s: Rate limit for the health checks of all members together; 0 means no limit.
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
    """`[leases]`: tasks that only one director performs at a time, with a lease from a majority of `peers`.

    Attributes:
        listen: Address of the listener for datagrams.
        keys: Key ring file, see `load_hex_keys`.
        peers: Addresses of all voters by name, including this director.
        duties: Additional leases by name, each with the fenced resource (HOST:PORT) that receives its token.
        hubs: Addresses of the hub caches that the lease holder forwards purges to.
        report_to: Address of the collector that the lease holder sends the fleet's report to.
        report_interval_ms: Interval of the fleet's report.
        max_clock_skew_ms: Maximum clock skew between directors that message authentication tolerates.
        lease_ms: Duration of a lease.
        max_clock_drift: Maximum relative error of a clock's rate.
        stop_margin_ms: A holder stops the task this long before its lease ends.
        grant_margin_ms: A voter waits this long past a lease before it votes for another holder.
        fence_interval_ms: Interval at which a holder sends its token to the fenced resources.
        clock_rate: Rate of the director's clock; tests set it to simulate clock drift.
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
    """`[control]`: the socket through which commands query the running director.

    Attributes:
        socket: Path of a Unix socket, accessible only by its owner.
    """

    socket: Annotated[str, Meta(min_length=1)]


class OptionTables(Table, frozen=True):
    """The whole file; an optional part without its table is disabled and not imported."""

    http2: Http2Options = Http2Options()
    tls: TlsOptions = TlsOptions()
    dns: DnsOptions | None = None
    members: MembersOptions | None = None
    duties: DutiesOptions = DutiesOptions()
    control: ControlOptions | None = None
    leases: LeasesOptions | None = None
    front: FrontOptions = FrontOptions()
    store: StoreOptions | None = None
