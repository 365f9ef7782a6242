"""A DNS front without sockets, and the settings and records of its golden tests."""

import hashlib
import json
import re
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any
from unittest import mock

import dns.edns
import dns.flags
import dns.message
import dns.name
import dns.opcode
import dns.rdatatype

from gladewalk import interface as api
from gladewalk.config.platform import read_config
from gladewalk.core.counters import Counters
from gladewalk.core.deadlines import Deadlines
from gladewalk.core.exchange import Exchange
from gladewalk.dns.front import DnsFront
from gladewalk.dns.query import TransportKind
from gladewalk.dns.settings import load_dns
from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import config_for

GOLDEN_PATH = Path(__file__).parent / "golden" / "dns.json"
GOLDEN: dict[str, Any] = json.loads(GOLDEN_PATH.read_text()) if GOLDEN_PATH.exists() else {}
NOW_MS = 1_700_000_000_000.0
BASIC = "listen = '127.0.0.1:0'\nzone = 'cdn.example.'\n"
FULL = """
own_address = '192.0.2.99'
zones = ['sub.cdn.example.', 'other.example.']
nameservers = { ns1 = ['192.0.2.53', '2001:db8::53'], 'ns.elsewhere.example.' = [] }
hostmaster = 'admin'
negative_ttl_s = 7
records = 'zone'
open_classes = ['bid']
nsid = 'n1'
cookies = 'keys'
transfers_per_answer = 0.1
ecs_from = ['192.0.2.0/24', '2001:db8::/32']
"""
RECORDS = """
www     60 IN A 192.0.2.1
www     60 IN AAAA 2001:db8::1
alias   60 IN CNAME www
loop1   60 IN CNAME loop2
loop2   60 IN CNAME loop1
to-lot  60 IN CNAME 0.a1.lot-page
cut     60 IN NS ns.cut
cut     60 IN DS 1 8 2 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff
ns.cut  60 IN A 192.0.2.54
*.wild  60 IN TXT "any"
*.wild  60 IN A 192.0.2.9
deep.er.still 60 IN TXT "x"
"""
RECORDS += "".join(f'big 60 IN TXT "{number:03}{"x" * 100}"\n' for number in range(30))
NAMES = (
    "@", "www", "WwW", "alias", "loop1", "to-lot", "cut", "x.cut", "some.wild", "*.wild", "deep.er.still",
    "er.still", "big", "none", "lot-page", "a1.lot-page", "g3.a1.lot-page", "0.a1.lot-page",
    "1.g3.a2.lot-page", "0.zz.lot-page", "_tcp.0.a1.lot-page", "_http._tcp.0.a1.lot-page",
    "_http._tcp.0.a1.bid", "x.0.a1.lot-page", "0.a1.bid", "anything.bid", "b-c0000263", "b-c0000201",
    "b-c0000264", "b-20010db8000000000000000000000002", "ns1", "0.a1.lot-page.sub", "sub",
    "0.a1.lot-page.other.example.", "example.", ".", "0.a3.lot-page", "0.a4.lot-page",
)  # fmt: skip
TYPES = (
    "A", "AAAA", "NS", "SOA", "CNAME", "TXT", "SRV", "SVCB", "HTTPS", "DS", "ANY", "AXFR", "IXFR", "OPT",
    "TSIG", "TYPE65280",
)  # fmt: skip
OPENSSL_LINE = re.compile(r" \(_ssl\.c:[0-9]+\)")
ORIGIN = dns.name.from_text("cdn.example.")


def shorten(sent: str) -> str:
    """Returns a message, or the start and the digest of a long one."""
    return sent if len(sent) <= 160 else f"{sent[:24]} {hashlib.sha256(sent.encode()).hexdigest()[:24]}"


class Recorder:
    """A query sender that records responses and drops."""

    def __init__(self, peer: str, transport_kind: TransportKind) -> None:
        self.client_address, self.transport, self.sent = peer, transport_kind, list[str]()

    def send(self, wire: bytes) -> None:
        self.sent.append(wire.hex())

    def shortened(self) -> list[str]:
        return [shorten(sent_message) for sent_message in self.sent]

    def drop(self) -> None:
        self.sent.append("drop")


class FixedAddresses:
    """Upstreams that know the addresses of four servers, and ignore all other calls."""

    def address(self, name: str) -> tuple[str, int] | None:
        known = {"c0": "192.0.2.1", "c1": "192.0.2.2", "c2": "2001:db8::2", "c3": "box.example"}
        return (known[name], 8_000 + int(name[1:])) if name in known else None

    def __getattr__(self, name: str) -> Any:
        return lambda *args, **more: None


@contextmanager
def fixed_entropy() -> Iterator[None]:
    """Fixes the wall clock of the serial, message ids and the order of records within a set."""
    with (
        mock.patch("time.time", lambda: NOW_MS / 1_000.0),
        mock.patch("dns.entropy.random_16", lambda: 0x1234),
        mock.patch("random.shuffle", lambda items: None),
    ):
        yield


class FrontEnvironment:
    """A DNS front without sockets, with settings read from a file and a clock that only the test sets."""

    def __init__(self, folder: Path, text: str, names: str = "0123") -> None:
        (folder / "zone").write_text(RECORDS)
        (folder / "keys").write_text("ab" * 16 + "\n" + "cd" * 16 + "\n")
        (folder / "keys").chmod(0o600)
        (folder / "dns.toml").write_text(BASIC + text)
        self.now_ms = NOW_MS
        config = read_config(config_for([], Coordinator(address="127.0.0.1:9")), {})
        self.counters = Counters()
        exchange = Exchange(
            config, lambda: self.now_ms, Deadlines(lambda due: None), self.counters, lambda line: None
        )
        exchange.upstreams = FixedAddresses()
        self.exchange = exchange
        servers = tuple(
            api.Server(f"c{name}", api.Role.CACHE, "edge-1", 50.0, address=f"{name}:1") for name in names
        )
        exchange.handle_event(api.EndpointList(api.EndpointListKind.PERSISTED, servers))
        loaded = load_dns(str(folder / "dns.toml"), "127.0.0.9")
        assert loaded is not None
        self.front = DnsFront(
            exchange, loaded, self.counters, 8_080, lambda name: (name == "c1", ("h2", "http/1.1"))
        )

    def send(
        self, wire: bytes, peer: str = "127.0.0.1", transport_kind: TransportKind = TransportKind.UDP
    ) -> list[str]:
        recorder = Recorder(peer, transport_kind)
        self.front.processor.handle_query(wire, recorder)
        return recorder.shortened()

    def lookup(
        self,
        text: str,
        kind: str = "A",
        peer: str = "127.0.0.1",
        transport_kind: TransportKind = TransportKind.UDP,
        **more: Any,
    ) -> list[str]:
        query = dns.message.make_query(dns.name.from_text(text, ORIGIN), kind, **more)
        query.id = 0x4321
        return self.send(query.to_wire(), peer, transport_kind)

    def counts(self) -> dict[str, float]:
        return {name: self.counters[name] for name in sorted(self.counters) if name.startswith("dns.")}


@contextmanager
def front_environment(text: str = FULL, names: str = "0123") -> Iterator[FrontEnvironment]:
    with tempfile.TemporaryDirectory() as folder, fixed_entropy():
        yield FrontEnvironment(Path(folder), text, names)
