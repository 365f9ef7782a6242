"""The DNS front's bytes, counters and messages as recorded before the renaming: equal byte for byte."""

import hashlib
import json
import os
import tempfile
from collections.abc import Iterable
from pathlib import Path
from typing import Any
from unittest import mock

import dns.edns
import dns.flags
import dns.message
import dns.name
import dns.opcode
import dns.rdatatype
import pytest
import trustme

from gladewalk.config.platform import ConfigError
from gladewalk.dns.conform.checks import CheckSkippedError
from gladewalk.dns.conform.report import format_results
from gladewalk.dns.conform.suite import run_cases, select_cases
from gladewalk.dns.conform.target import Target
from gladewalk.dns.query import TransportKind
from gladewalk.dns.settings import load_dns

from .golden_dns_world import (
    BASIC,
    FULL,
    GOLDEN,
    NAMES,
    NOW_MS,
    OPENSSL_LINE,
    ORIGIN,
    TYPES,
    Recorder,
    World,
    shorten,
    world,
)


def record_types() -> Any:
    with world() as at:
        found = {f"{name} {kind}": at.ask(name, kind) for name in NAMES for kind in TYPES}
        by_tcp = {
            f"{name} by tcp": at.ask(name, "TXT" if name == "big" else "A", via=TransportKind.TCP)
            for name in NAMES
        }
        return [found | by_tcp, at.counts()]


def option(number: int, data: bytes = b"") -> dns.edns.Option:
    return dns.edns.GenericOption(dns.edns.OptionType.make(number), data)


def ask_options(at: World) -> Iterable[tuple[str, list[str]]]:
    client = b"clientxx"
    choices = {
        "none": [],
        "nsid": [option(3)],
        "cookie": [option(10, client)],
        "short": [option(10, client + b"1234")],
        "odd": [option(10, client[:7])],
        "bad": [option(10, client + bytes(16))],
        "keep-alive": [option(11)],
        "padding": [option(12, bytes(4))],
        "unknown": [option(65_001, b"x")],
        "ecs": [dns.edns.ECSOption("203.0.113.0", 24)],
        "ecs v6": [dns.edns.ECSOption("2001:db8:1::", 48)],
        "ecs scope": [dns.edns.ECSOption("203.0.113.0", 24, 24)],
        "all": [option(3), option(10, client), option(11), option(12), dns.edns.ECSOption("203.0.113.0", 24)],
    }
    for label, options in choices.items():
        for peer in ("192.0.2.10", "2001:db9::10"):
            for via in TransportKind:
                for name in ("www", "none", "0.a1.lot-page", "big"):
                    yield f"{label} {peer} {via.value} {name}", at.ask(
                        name, "TXT" if name == "big" else "A", peer, via, use_edns=0, options=options,
                        want_dnssec=label == "nsid", payload=1_000,
                    )  # fmt: skip


def record_options() -> Any:
    with world() as at:
        found = dict(ask_options(at))
        asker = Recorder("127.0.0.1", TransportKind.UDP)
        first = dns.message.make_query(
            "www.cdn.example.", "A", id=6, use_edns=0, options=[option(10, b"clientxx")]
        )
        at.front.processor.handle_query(first.to_wire(), asker)
        (given,) = dns.message.from_wire(bytes.fromhex(asker.sent[0])).options
        shown = given.to_wire()
        assert shown is not None
        assert len(shown) == 24
        for after_s in (0, 1_799, 1_800, 3_600, 3_601, -300, -301):
            at.now_ms = NOW_MS + after_s * 1_000.0
            found[f"shown after {after_s}"] = at.ask("big", "TXT", use_edns=0, options=[option(10, shown)])
        for version in (1, 255):
            found[f"version {version}"] = at.ask("www", use_edns=version)
        empty = dns.message.Message(id=5)
        empty.use_edns(0, options=[option(10, b"clientxx")])
        found["cookie alone"] = at.send(empty.to_wire())
        return [found, at.counts()]


def record_odd() -> Any:
    with world() as at:
        good = dns.message.make_query("www.cdn.example.", "A", id=7).to_wire()
        two = bytearray(good)
        two[4:6] = b"\0\2"
        found = {f"cut {length}": at.send(good[:length]) for length in range(len(good) + 1)}
        found |= {f"opcode {code}": at.send(good[:2] + bytes([code << 3]) + good[3:]) for code in range(16)}
        found["answer"] = at.send(good[:2] + b"\x80" + good[3:])
        found["two"] = at.send(bytes(two) + good[12:])
        found["rest"] = at.send(good + b"rest")
        found["chaos"] = at.ask("www", rdclass="CH")
        signed = dns.message.make_query("www.cdn.example.", "A", id=8)
        signed.use_tsig({dns.name.from_text("nobody."): b"0" * 32}, algorithm="hmac-sha256")
        found["signed"] = at.send(signed.to_wire())
        return [found, at.counts()]


def record_limits() -> Any:
    with world(FULL + "answers_per_s = 3.0\nslip = 2\namplification_most = 3.0\nudp_most = 600\n") as at:
        found: list[Any] = [at.ask("www", use_edns=0) for _ in range(9)]
        found += [at.ask("none", use_edns=0, options=[option(10, b"clientxx")]) for _ in range(9)]
        found += [at.ask("big", "TXT", "198.51.100.1"), at.ask("ns1", "A", "198.51.100.1")]
        at.now_ms += 2_000.0
        found += [at.ask("www") for _ in range(5)]
        found.append(at.counts())
    with world(FULL + "network_per_s = 5.0\nall_per_s = 8.0\n") as at:
        found += [at.ask("www", peer=f"198.51.{n}.1") for n in range(3) for _ in range(7)]
        found.append(at.counts())
    return found


def record_core() -> Any:
    """Rejected when its time is up; a host's name instead of an address; no server; leases used up."""
    with world("", names="") as at:
        late = Recorder("127.0.0.1", TransportKind.UDP)
        at.front.processor.handle_query(
            dns.message.make_query("0.a1.lot-page.cdn.example.", "A", id=9, use_edns=0).to_wire(), late
        )
        at.now_ms += 1_001.0
        at.exchange.deadlines.sweep(at.now_ms)
        found: list[Any] = [late.shortened(), at.counts()]
    for name in "0123":
        with world("own_address = '2001:db8::99'\n", names=name) as at:
            for kind in ("A", "AAAA", "SRV", "SVCB", "HTTPS"):
                asked = ("_http._tcp." if kind == "SRV" else "") + "0.a1.lot-page"
                found += [at.ask(asked, kind), at.ask(asked.replace("lot-page", "bid"), kind)]
            found += [at.ask(f"0.{key:x}.lot-page", peer=f"10.0.{key}.1") for key in range(40)]
            found.append(at.counts())
    return found


class Transport:
    """A stream's transport that keeps what is written to it."""

    def __init__(self) -> None:
        self.done: list[str] = []

    def get_extra_info(self, name: str) -> Any:
        return ("127.0.0.1", 5)

    def write(self, data: bytes) -> None:
        self.done.append(shorten(data.hex()))

    def is_closing(self) -> bool:
        return False

    def __getattr__(self, name: str) -> Any:
        return lambda *args, **more: self.done.append(f"{name} {args} {more}")


def record_stream(via: TransportKind) -> Any:
    with world(FULL + "tcp_open = 2\ntcp_most = 2\ntcp_each = 2\n") as at:
        wires = [dns.message.make_query(f"{name}.cdn.example.", "A", id=n).to_wire()
                 for n, name in enumerate(("www", "none", "0.a1.lot-page", "big"))]  # fmt: skip
        data = b"".join(len(wire).to_bytes(2, "big") + wire for wire in (*wires, b"short"))
        found = []
        for size in (1, 7, len(data)):
            transport: Any = Transport()
            connection = at.front.streams.make_connection(via)
            connection.connection_made(transport)
            for start in range(0, len(data), size):
                connection.data_received(data[start : start + size])
            connection.pause_writing()
            connection.data_received(data)
            connection.resume_writing()
            connection.eof_received()
            found.append(transport.done)
        at.now_ms += 10_000.0
        at.exchange.deadlines.sweep(at.now_ms)
        return [found, at.counts()]


BAD = (
    "listen = 'x'", "zone = 'a..b'", "zones = ['cdn.example.']", "zones = ['a..b']", "own_address = 'here'",
    "nameservers = {n = ['x']}", "nameservers = {'a..b' = []}", "hostmaster = 'a..b'", "ecs_from = ['x']",
    "ecs_from = ['192.0.2.1/24']", "records = 'none'", "records = 'binary'", "records = 'broken'",
    "records = 'apex'", "records = 'far'", "records = 'two'", "cookies = 'none'", "cookies = 'open'",
    "cookies = 'short'", "cookies = 'empty'", "ttl_least_ms = 3000.0", "tls_listen = 'x'",
    "tls_listen = '127.0.0.1:0'", "tls_listen = '127.0.0.1:0'\ntls_certificate = 'none'\ntls_key = 'none'",
    "tls_listen = '127.0.0.1:0'\ntls_certificate = 'two'\ntls_key = 'two'",
    "tls_listen = '127.0.0.1:0'\ntls_certificate = 'cert'\ntls_key = 'cert'",
    "nothing = 1", "slip = -1", "enabled = 3", "udp_most = 1", "=",
)  # fmt: skip


def record_messages() -> Any:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        (folder / "binary").write_bytes(b"\xff\xfe")
        (folder / "broken").write_text("www IN A 1.2.3\n")
        (folder / "apex").write_text("@ 60 IN NS x\n")
        (folder / "far").write_text("x.other. 60 IN A 192.0.2.1\n")
        (folder / "two").write_text("x 60 IN CNAME y\nx 60 IN A 192.0.2.1\n")
        for key_file, text, mode in (
            ("open", "ab" * 16, 0o644),
            ("short", "abcd", 0o600),
            ("empty", "", 0o600),
        ):
            (folder / key_file).write_text(text + "\n")
            (folder / key_file).chmod(mode)
        trustme.CA().issue_cert("x.example").cert_chain_pems[0].write_to_path(str(folder / "cert"))
        found = {}
        for text in BAD:
            keys = {line.split(" = ")[0] for line in text.splitlines()}
            kept = [line for line in BASIC.splitlines() if line.split(" = ")[0] not in keys]
            (folder / "dns.toml").write_text("\n".join([*kept, text]) + "\n")
            try:
                load_dns(str(folder / "dns.toml"), "127.0.0.9")
            except ConfigError as error:
                found[text] = OPENSSL_LINE.sub("", str(error)).replace(os.fspath(folder), "FOLDER")
        (folder / "dns.toml").write_text("\n".join([BASIC, "enabled = false"]))
        found["off"] = str(load_dns(str(folder / "dns.toml"), "127.0.0.9"))
        return found


def record_conform() -> Any:
    """What each case sends by UDP, and its verdict on our front; streams are left out."""
    with world(FULL.replace("192.0.2.0/24", "127.0.0.0/8").replace("= 0.1", "= 1.0")) as at:
        target = Target(("127.0.0.1", 53), ORIGIN, "lot-page")
        rows = {}
        for case in select_cases():
            sent: list[bytes] = []

            def exchange_datagrams(
                _: Any, wires: Iterable[bytes], most: int, sent: list[bytes] = sent
            ) -> list[bytes]:
                sent += (wires := list(wires))
                answers = Recorder("127.0.0.1", TransportKind.UDP)
                for wire in wires:
                    at.front.processor.handle_query(wire, answers)
                return [bytes.fromhex(one) for one in answers.sent if one != "drop"][:most]

            def connection(*_: Any, **__: Any) -> Any:
                raise CheckSkippedError("no streams")

            with (
                mock.patch.object(Target, "exchange_datagrams", exchange_datagrams),
                mock.patch.object(Target, "connection", connection),
            ):
                results = [result for result in run_cases(target, [case.name]) if result.case is case]
            (line,) = format_results(results, as_json=True)
            row = json.loads(line)
            del row["ms"], row["case"]
            rows[case.name] = [
                row,
                hashlib.sha256(b"|".join(sent)).hexdigest(),
                list(format_results(results, False)),
            ]
        return rows


RECORDINGS = {
    "types": record_types,
    "options": record_options,
    "odd": record_odd,
    "limits": record_limits,
    "core": record_core,
    "tcp": lambda: record_stream(TransportKind.TCP),
    "tls": lambda: record_stream(TransportKind.TLS),
    "messages": record_messages,
    "conform": record_conform,
}


@pytest.mark.parametrize("name", RECORDINGS)
def test_bytes_counters_and_messages_equal_those_recorded(name: str) -> None:
    found = json.loads(json.dumps(RECORDINGS[name]()))
    assert found == GOLDEN[name]
