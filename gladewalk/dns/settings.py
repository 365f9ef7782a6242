"""What the DNS front is told: the table `[dns]`, or a file with the same keys alone, checked and resolved."""

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
from .cookies import KEY_BYTES, Cookies

Network = ipaddress.IPv4Network | ipaddress.IPv6Network


@dataclass(slots=True, frozen=True)
class DnsConfig:
    listen: Address
    zone: dns.name.Name
    own_address: str  # answered where the cache box must not be named
    transfers_per_answer: float  # how many transfers at a time one held answer may bring to a box
    wait_ms: float  # how long a question may wait for its answer
    zones: tuple[dns.name.Name, ...] = ()  # more zones, with the same names below them
    nameservers: Mapping[str, tuple[str, ...]] = field(default_factory=dict)  # with glue; none: `ns`, here
    hostmaster: str = "hostmaster"
    negative_ttl_s: int = 5
    records: tuple[tuple[dns.name.Name, dns.rrset.RRset], ...] = ()  # each with its zone
    open_classes: frozenset[str] = frozenset()
    nsid: str = ""
    udp_most: int = 1_232
    amplification_most: float = 10.0
    cookies: Cookies | None = None
    answers_per_s: float = 0.0
    slip: int = 2
    network_per_s: float = 0.0
    all_per_s: float = 0.0
    tcp_most: int = 64
    tcp_each: int = 16
    tcp_open: int = 32
    tcp_idle_ms: float = 10_000.0
    ecs_from: tuple[Network, ...] = ()
    tls_listen: Address | None = None
    tls: ssl.SSLContext | None = None
    transfers_most: float = 100.0
    ttl_ms: tuple[float, float] = (1_000.0, 2_000.0)  # least, most
    assume_worst: bool = False
    loop_share: float = 1.0
    certificate: tuple[Path, Path] | None = None  # and its key: what `tls` was made of

    @property
    def origins(self) -> tuple[dns.name.Name, ...]:
        return (self.zone, *self.zones)


def read_dns(table: DnsOptions, own_host: str, folder: Path, where: str) -> DnsConfig | None:
    """Converts `[dns]`; None if it turns the front off.

    Args:
        table: The table as it was read.
        own_host: The director's own host, answered if the table has no `own_address`.
        folder: What paths in the table are relative to.
        where: Begins the line of an error.

    Raises:
        ConfigError: A value cannot be used.
    """
    if not table.enabled:
        return None
    with _errors_at(where, "listen"):
        listen = read_address(table.listen)
    zone, zones = _read_zones(table, where)
    with _errors_at(where, "own_address"):
        own_address = checked_ip(str(table.own_address or own_host))
    nameservers = _read_nameservers(table, zone, where)
    with _errors_at(where, "hostmaster"):
        dns.name.from_text(table.hostmaster, zone)
    with _errors_at(where, "ecs_from"):
        ecs_from = tuple(ipaddress.ip_network(text) for text in table.ecs_from)
    records = tuple(load_records(folder / table.records, (zone, *zones))) if table.records else ()
    cookies = read_cookies(folder / table.cookies) if table.cookies else None
    if table.max_ttl_ms < table.min_ttl_ms:
        raise ConfigError(f"{where}.ttl_most_ms: less than ttl_least_ms")
    tls_listen, tls = _read_tls_listener(table, folder, where)
    return DnsConfig(
        listen=listen,
        zone=zone,
        own_address=own_address,
        transfers_per_answer=table.transfers_per_answer,
        wait_ms=table.max_wait_ms,
        zones=zones,
        nameservers=nameservers,
        hostmaster=table.hostmaster,
        negative_ttl_s=table.negative_ttl_s,
        records=records,
        open_classes=frozenset(table.open_classes),
        nsid=table.nsid,
        udp_most=table.max_udp_bytes,
        amplification_most=table.max_amplification,
        cookies=cookies,
        answers_per_s=table.answers_per_s,
        slip=table.slip,
        network_per_s=table.network_queries_per_s,
        all_per_s=table.queries_per_s,
        tcp_most=table.max_tcp_connections,
        tcp_each=table.max_tcp_connections_per_client,
        tcp_open=table.max_tcp_open_queries,
        tcp_idle_ms=table.tcp_idle_timeout_ms,
        ecs_from=ecs_from,
        tls_listen=tls_listen,
        tls=tls,
        transfers_most=table.max_transfers_per_answer,
        ttl_ms=(table.min_ttl_ms, table.max_ttl_ms),
        assume_worst=table.after_restart == "worst",
        loop_share=table.max_loop_fraction,
        certificate=(folder / table.tls_certificate, folder / table.tls_key) if tls else None,
    )


@contextmanager
def _errors_at(where: str, key: str) -> Iterator[None]:
    """Turns what the block raises about a value into a `ConfigError` that names the value's key."""
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


def _read_nameservers(table: DnsOptions, zone: dns.name.Name, where: str) -> dict[str, tuple[str, ...]]:
    with _errors_at(where, "nameservers"):
        servers = {name: tuple(map(checked_ip, texts)) for name, texts in table.nameservers.items()}
        for name in servers:
            dns.name.from_text(name, zone)
    return servers


def _read_tls_listener(
    table: DnsOptions, folder: Path, where: str
) -> tuple[Address | None, ssl.SSLContext | None]:
    if not table.tls_listen:
        return None, None
    with _errors_at(where, "tls_listen"):
        address = read_address(table.tls_listen)
    with _errors_at(where, "tls_certificate"):
        return address, read_tls(table, folder)


def configured(options: Options, own_host: str) -> DnsConfig | None:
    """What `[dns]` says; None where there is none, or it is off."""
    if options.dns is None:
        return None
    return read_dns(options.dns, own_host, options.folder, f"{options.path}: dns")


def checked_ip(text: str) -> str:
    return str(ipaddress.ip_address(text))


def read_cookies(path: Path) -> Cookies:
    return Cookies(tuple(load_hex_keys(path, "dns.cookies", KEY_BYTES, KEY_BYTES)))


def read_tls(table: DnsOptions, folder: Path) -> ssl.SSLContext:
    """RFC 7858 over TLS 1.2 at least, with its name in ALPN; `ConfigError` for files that can't be used."""
    if not table.tls_certificate or not table.tls_key:
        raise ConfigError("is missing, or tls_key is, and tls_listen is set")
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.options |= ssl.OP_NO_COMPRESSION | ssl.OP_NO_RENEGOTIATION
    context.set_alpn_protocols(["dot"])
    try:
        context.load_cert_chain(folder / table.tls_certificate, folder / table.tls_key, password="")
    except (OSError, ValueError) as error:  # SSLError among them
        why = getattr(error, "strerror", None) or str(error)
        raise ConfigError(f"cannot be used: {why}") from error
    return context


def load_records(
    path: Path, origins: tuple[dns.name.Name, ...]
) -> list[tuple[dns.name.Name, dns.rrset.RRset]]:
    """A master file (RFC 1035, 5), read once for each zone; its relative names are below that zone.

    The apex has its SOA and NS from the settings. A name that is a CNAME has nothing else (RFC 1034, 3.6.2).
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: dns.records: {getattr(error, 'strerror', None) or error}") from error
    found = []
    for origin in origins:
        try:
            # Read below the root: the library drops what is not below its origin without a word.
            whole = f"$ORIGIN {origin}\n$TTL 300\n{text}"
            zone = dns.zone.from_text(whole, origin=".", relativize=False, check_origin=False)
        except (dns.exception.DNSException, ValueError) as error:
            raise ConfigError(f"{path}: dns.records: {error}") from error
        for name, rdataset in zone.iterate_rdatasets():
            rrset = dns.rrset.from_rdata_list(name, rdataset.ttl, list(rdataset))
            if not rrset.name.is_subdomain(origin):
                raise ConfigError(f"{path}: dns.records: {rrset.name} is not below {origin}")
            if rrset.name == origin and rrset.rdtype in (dns.rdatatype.SOA, dns.rdatatype.NS):
                raise ConfigError(f"{path}: dns.records: the apex has its SOA and NS from the settings")
            found.append((origin, rrset))
    return found


def load_dns(path: str, own_host: str) -> DnsConfig | None:
    """The settings of a file that holds those of the DNS front alone."""
    table = load_toml(path, DnsOptions, syntax_note="")
    return read_dns(table, own_host, Path(path).parent, path + ": dns")
