"""Settings of the DNS front, checked and converted: the table `[dns]`, or a file with only its keys."""

from __future__ import annotations

import ipaddress
import ssl
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

import dns.exception
import dns.name
import dns.rdatatype
import dns.rrset
import dns.zone

from ..config.key_ring_file import load_hex_keys
from ..config.option_tables import DnsOptions
from ..config.options import Options
from ..config.platform import Address, ConfigError, read_address
from ..config.toml_file import load_toml
from .cookies import KEY_BYTES, ServerCookies

Network = ipaddress.IPv4Network | ipaddress.IPv6Network

DEFAULT_RECORD_TTL_S = 300  # of records whose line has no TTL


@dataclass(slots=True, frozen=True)
class ZoneRecords:
    """A record set from the file `records`, and the zone that it belongs to."""

    origin: dns.name.Name
    rrset: dns.rrset.RRset


@dataclass(slots=True, frozen=True)
class LeaseSettings:
    """How long resolvers may cache an answer, and how many transfers it is assumed to cause.

    Attributes:
        transfers_per_answer: Concurrent transfers that one answer to an unknown resolver is assumed to cause.
        max_transfers_per_answer: Upper bound on the estimate for a known resolver.
        min_ttl_ms: TTL of answers with a server that is in slow start or has no lease capacity left.
        max_ttl_ms: TTL of answers with a server without leases; in between, it falls as capacity is used.
        is_full_after_restart: After a start without a store, all lease capacity is assumed to be in use.
    """

    transfers_per_answer: float = 1.0
    max_transfers_per_answer: float = 100.0
    min_ttl_ms: float = 1_000.0
    max_ttl_ms: float = 2_000.0
    is_full_after_restart: bool = False


@dataclass(slots=True, frozen=True)
class RateLimits:
    """Limits on queries and responses; a rate of 0 means no limit.

    Attributes:
        answers_per_s: Similar responses to one network over UDP.
        slip: Every `slip`-th response over that rate is sent truncated; 0: none.
        network_queries_per_s: Queries from one network.
        queries_per_s: Queries from all clients.
        max_loop_fraction: Share of the event loop's time that queries over UDP may take.
    """

    answers_per_s: float = 0.0
    slip: int = 2
    network_queries_per_s: float = 0.0
    queries_per_s: float = 0.0
    max_loop_fraction: float = 1.0


@dataclass(slots=True, frozen=True)
class StreamLimits:
    """Limits on connections over TCP and TLS.

    Attributes:
        max_connections: Open connections.
        max_connections_per_client: Open connections from one client.
        max_open_queries: Queries of one connection that are processed at a time.
        idle_timeout_ms: Time without a query after which a connection is closed.
    """

    max_connections: int = 64
    max_connections_per_client: int = 16
    max_open_queries: int = 32
    idle_timeout_ms: float = 10_000.0


@dataclass(slots=True, frozen=True)
class CertificateFiles:
    """The files from which a TLS context was made."""

    certificate: Path
    key: Path


@dataclass(slots=True, frozen=True)
class TlsListener:
    """Address and TLS context of DNS over TLS (RFC 7858)."""

    address: Address
    context: ssl.SSLContext
    files: CertificateFiles | None = None


@dataclass(slots=True, frozen=True)
class DnsConfig:
    """All settings of the DNS front.

    Attributes:
        listen: Address for UDP and TCP.
        zone: The zone whose names are routed.
        own_address: The director's address, returned when no server may be named.
        max_wait_ms: How long a query may wait for its answer.
        leases: How long answers may be cached, and the load that they count as.
        zones: Further zones, which have the same routed names.
        nameservers: Names of name servers with their addresses as glue; empty: `ns`, at `own_address`.
        hostmaster: Mailbox of the SOA record.
        negative_ttl_s: TTL of negative answers (RFC 2308).
        records: Records from the file `records`.
        open_classes: Classes below which any name but those of objects resolves to the director itself.
        nsid: Name server identifier (RFC 5001); empty: none.
        max_udp_bytes: Largest response over UDP.
        max_amplification: Largest ratio of a UDP response to its query, for clients without a valid cookie.
        cookies: None if DNS cookies are off.
        ecs_resolvers: Networks of resolvers that are trusted to send a client subnet (RFC 7871).
        rates: Limits on queries and responses.
        streams: Limits on connections.
        tls: None if DNS over TLS is off.
    """

    listen: Address
    zone: dns.name.Name
    own_address: str
    max_wait_ms: float
    leases: LeaseSettings = LeaseSettings()
    zones: tuple[dns.name.Name, ...] = ()
    nameservers: Mapping[str, tuple[str, ...]] = field(default_factory=dict)
    hostmaster: str = "hostmaster"
    negative_ttl_s: int = 5
    records: tuple[ZoneRecords, ...] = ()
    open_classes: frozenset[str] = frozenset()
    nsid: str = ""
    max_udp_bytes: int = 1_232
    max_amplification: float = 10.0
    cookies: ServerCookies | None = None
    ecs_resolvers: tuple[Network, ...] = ()
    rates: RateLimits = RateLimits()
    streams: StreamLimits = StreamLimits()
    tls: TlsListener | None = None

    @property
    def origins(self) -> tuple[dns.name.Name, ...]:
        """The names of all zones."""
        return (self.zone, *self.zones)


def load_dns(path: str, own_host: str) -> DnsConfig | None:
    """Loads a file with only the settings of the DNS front; None if it disables the front.

    Raises:
        ConfigError: The file or a value in it cannot be used.
    """
    table = load_toml(path, DnsOptions, syntax_error_prefix="")
    return read_dns(table, own_host, Path(path).parent, path + ": dns")


def configured_dns(options: Options, own_host: str) -> DnsConfig | None:
    """Returns the settings in `[dns]`; None if there is no such table, or it disables the front.

    Raises:
        ConfigError: A value cannot be used.
    """
    if options.dns is None:
        return None
    return read_dns(options.dns, own_host, options.folder, f"{options.path}: dns")


def read_dns(table: DnsOptions, own_host: str, folder: Path, where: str) -> DnsConfig | None:
    """Checks and converts `[dns]`; None if it disables the front.

    Args:
        table: The table as it was read.
        own_host: The director's own host; used as `own_address` if the table has none.
        folder: The folder that paths in the table are relative to.
        where: Prefix of error messages.

    Raises:
        ConfigError: A value cannot be used.
    """
    if not table.enabled:
        return None
    with _errors_at(where, "listen"):
        listen = read_address(table.listen)
    zone, zones = _read_zones(table, where)
    return DnsConfig(
        listen=listen,
        zone=zone,
        zones=zones,
        own_address=_read_own_address(table, own_host, where),
        max_wait_ms=table.max_wait_ms,
        nameservers=_read_nameservers(table, zone, where),
        hostmaster=_read_hostmaster(table, zone, where),
        negative_ttl_s=table.negative_ttl_s,
        ecs_resolvers=_read_ecs_resolvers(table, where),
        records=tuple(load_records(folder / table.records, (zone, *zones))) if table.records else (),
        open_classes=frozenset(table.open_classes),
        nsid=table.nsid,
        max_udp_bytes=table.max_udp_bytes,
        max_amplification=table.max_amplification,
        cookies=_load_cookies(folder / table.cookies) if table.cookies else None,
        leases=_read_leases(table, where),
        rates=_read_rates(table),
        streams=_read_streams(table),
        tls=_read_tls_listener(table, folder, where),
    )


@contextmanager
def _errors_at(where: str, key: str) -> Iterator[None]:
    """Converts an error that the block raises to a `ConfigError` with the setting's key."""
    try:
        yield
    except (ConfigError, ValueError, dns.exception.DNSException) as error:
        raise ConfigError(f"{where}.{key}: {str(error) or type(error).__name__}") from error


def _read_zones(table: DnsOptions, where: str) -> tuple[dns.name.Name, tuple[dns.name.Name, ...]]:
    with _errors_at(where, "zone"):
        zone = dns.name.from_text(table.zone)
    with _errors_at(where, "zones"):
        zones = tuple(dns.name.from_text(text) for text in table.zones)
    if len({zone, *zones}) < 1 + len(zones):
        raise ConfigError(f"{where}.zones: a zone stands there twice")
    return zone, zones


def _read_own_address(table: DnsOptions, own_host: str, where: str) -> str:
    with _errors_at(where, "own_address"):
        return _normalized_ip(str(table.own_address or own_host))


def _read_nameservers(table: DnsOptions, zone: dns.name.Name, where: str) -> dict[str, tuple[str, ...]]:
    with _errors_at(where, "nameservers"):
        servers = {name: tuple(map(_normalized_ip, texts)) for name, texts in table.nameservers.items()}
        for name in servers:
            dns.name.from_text(name, zone)
    return servers


def _read_hostmaster(table: DnsOptions, zone: dns.name.Name, where: str) -> str:
    with _errors_at(where, "hostmaster"):
        dns.name.from_text(table.hostmaster, zone)
    return table.hostmaster


def _read_ecs_resolvers(table: DnsOptions, where: str) -> tuple[Network, ...]:
    with _errors_at(where, "ecs_from"):
        return tuple(ipaddress.ip_network(text) for text in table.ecs_from)


def _read_leases(table: DnsOptions, where: str) -> LeaseSettings:
    if table.max_ttl_ms < table.min_ttl_ms:
        raise ConfigError(f"{where}.ttl_most_ms: less than ttl_least_ms")
    return LeaseSettings(
        transfers_per_answer=table.transfers_per_answer,
        max_transfers_per_answer=table.max_transfers_per_answer,
        min_ttl_ms=table.min_ttl_ms,
        max_ttl_ms=table.max_ttl_ms,
        is_full_after_restart=table.after_restart == "worst",
    )


def _read_rates(table: DnsOptions) -> RateLimits:
    return RateLimits(
        answers_per_s=table.answers_per_s,
        slip=table.slip,
        network_queries_per_s=table.network_queries_per_s,
        queries_per_s=table.queries_per_s,
        max_loop_fraction=table.max_loop_fraction,
    )


def _read_streams(table: DnsOptions) -> StreamLimits:
    return StreamLimits(
        max_connections=table.max_tcp_connections,
        max_connections_per_client=table.max_tcp_connections_per_client,
        max_open_queries=table.max_tcp_open_queries,
        idle_timeout_ms=table.tcp_idle_timeout_ms,
    )


def _read_tls_listener(table: DnsOptions, folder: Path, where: str) -> TlsListener | None:
    if not table.tls_listen:
        return None
    with _errors_at(where, "tls_listen"):
        address = read_address(table.tls_listen)
    with _errors_at(where, "tls_certificate"):
        if not table.tls_certificate or not table.tls_key:
            raise ConfigError("is missing, or tls_key is, and tls_listen is set")
        files = CertificateFiles(folder / table.tls_certificate, folder / table.tls_key)
        return TlsListener(address, _make_tls_context(files), files)


def _make_tls_context(files: CertificateFiles) -> ssl.SSLContext:
    """Makes a context for TLS 1.2 and later with the ALPN token of RFC 7858.

    Raises:
        ConfigError: The files cannot be used.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.options |= ssl.OP_NO_COMPRESSION | ssl.OP_NO_RENEGOTIATION
    context.set_alpn_protocols(["dot"])
    try:
        load_certificate(context, files)
    except (OSError, ValueError) as error:  # SSLError is an OSError
        reason = getattr(error, "strerror", None) or str(error)
        raise ConfigError(f"cannot be used: {reason}") from error
    return context


def load_certificate(context: ssl.SSLContext, files: CertificateFiles) -> None:
    """Loads a certificate and its unencrypted key into a context, for its future connections."""
    context.load_cert_chain(files.certificate, files.key, password="")


def _normalized_ip(text: str) -> str:
    return str(ipaddress.ip_address(text))


def _load_cookies(path: Path) -> ServerCookies:
    return ServerCookies(tuple(load_hex_keys(path, "dns.cookies", KEY_BYTES, KEY_BYTES)))


def load_records(path: Path, origins: tuple[dns.name.Name, ...]) -> list[ZoneRecords]:
    """Loads a master file (RFC 1035, section 5) once for each zone; its relative names are below that zone.

    A name with a CNAME must not have other records (RFC 1034, section 3.6.2).

    Raises:
        ConfigError: The file cannot be read, has a name outside the zone, or an SOA or NS at the apex.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: dns.records: {getattr(error, 'strerror', None) or error}") from error
    return [record for origin in origins for record in _parse_records(text, origin, path)]


def _parse_records(text: str, origin: dns.name.Name, path: Path) -> Iterator[ZoneRecords]:
    try:
        # Parsed with the root as origin: the library silently drops names that are not below the origin.
        zone_text = f"$ORIGIN {origin}\n$TTL {DEFAULT_RECORD_TTL_S}\n{text}"
        zone = dns.zone.from_text(zone_text, origin=".", relativize=False, check_origin=False)
    except (dns.exception.DNSException, ValueError) as error:
        raise ConfigError(f"{path}: dns.records: {error}") from error
    for name, rdataset in zone.iterate_rdatasets():
        if not name.is_subdomain(origin):
            raise ConfigError(f"{path}: dns.records: {name} is not below {origin}")
        if name == origin and rdataset.rdtype in (dns.rdatatype.SOA, dns.rdatatype.NS):
            raise ConfigError(f"{path}: dns.records: the apex has its SOA and NS from the settings")
        yield ZoneRecords(origin, dns.rrset.from_rdata_list(name, rdataset.ttl, list(rdataset)))
