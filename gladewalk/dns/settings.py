"""What the DNS front is told: the table `[dns]`, or a file with the same keys alone, checked and resolved."""

from __future__ import annotations

import ipaddress
import ssl
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

import dns.exception
import dns.name
import dns.rdatatype
import dns.rrset
import dns.zone
import msgspec

from ..config.key_ring_file import load_hex_keys
from ..config.options import Dns, Options, explain
from ..config.platform import Address, ConfigError, read_address
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


def read_dns(table: Dns, own_host: str, folder: Path, where: str) -> DnsConfig | None:
    """A table that was read; None where it turns the front off. `where` begins the line of an error."""
    if not table.enabled:
        return None
    key = "listen"
    try:
        listen = read_address(table.listen)
        key = "zone"
        zone = dns.name.from_text(table.zone)
        key = "zones"
        zones = tuple(dns.name.from_text(text) for text in table.zones)
        if len({zone, *zones}) < 1 + len(zones):
            raise ValueError("a zone stands there twice")
        key = "own_address"
        own = str(ipaddress.ip_address(str(table.own_address or own_host)))
        key = "nameservers"
        servers = {name: tuple(map(checked_ip, texts)) for name, texts in table.nameservers.items()}
        for name in servers:
            dns.name.from_text(name, zone)
        key = "hostmaster"
        dns.name.from_text(table.hostmaster, zone)
        key = "ecs_from"
        ecs_from = tuple(ipaddress.ip_network(text) for text in table.ecs_from)
        key = "records"
        records = tuple(load_records(folder / table.records, (zone, *zones))) if table.records else ()
        key = "cookies"
        cookies = read_cookies(folder / table.cookies) if table.cookies else None
        key = "ttl_most_ms"
        if table.ttl_most_ms < table.ttl_least_ms:
            raise ValueError("less than ttl_least_ms")
        key = "tls_listen"
        tls_listen = read_address(table.tls_listen) if table.tls_listen else None
        key = "tls_certificate"
        tls = read_tls(table, folder) if tls_listen is not None else None
    except ConfigError as error:
        said = str(error)
        raise ConfigError(said if key in ("cookies", "records") else f"{where}.{key}: {said}") from error
    except (ValueError, dns.exception.DNSException) as error:
        raise ConfigError(f"{where}.{key}: {error or type(error).__name__}") from error
    return DnsConfig(
        listen, zone, own, table.transfers_per_answer, table.wait_ms, zones, servers, table.hostmaster,
        table.negative_ttl_s, records, frozenset(table.open_classes), table.nsid, table.udp_most,
        table.amplification_most, cookies, table.answers_per_s, table.slip, table.network_per_s,
        table.all_per_s, table.tcp_most, table.tcp_each, table.tcp_open, table.tcp_idle_ms, ecs_from,
        tls_listen, tls, table.transfers_most, (table.ttl_least_ms, table.ttl_most_ms),
        table.after_restart == "worst", table.loop_share,
        (folder / table.tls_certificate, folder / table.tls_key) if tls else None,
    )  # fmt: skip


def configured(options: Options, own_host: str) -> DnsConfig | None:
    """What `[dns]` says; None where there is none, or it is off."""
    if options.dns is None:
        return None
    return read_dns(options.dns, own_host, options.folder, f"{options.path}: dns")


def checked_ip(text: str) -> str:
    return str(ipaddress.ip_address(text))


def read_cookies(path: Path) -> Cookies:
    return Cookies(tuple(load_hex_keys(path, "dns.cookies", KEY_BYTES, KEY_BYTES)))


def read_tls(table: Dns, folder: Path) -> ssl.SSLContext:
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
    try:
        table = msgspec.convert(tomllib.loads(Path(path).read_text(encoding="utf-8")), Dns)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror or error}") from error
    except msgspec.ValidationError as error:
        raise ConfigError(f"{path}: {explain(error)}") from error
    except ValueError as error:
        raise ConfigError(f"{path}: {error}") from error
    return read_dns(table, own_host, Path(path).parent, path + ": dns")
