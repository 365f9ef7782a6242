"""Compares the DNS front's responses, counters and error messages with recorded ones, byte for byte."""

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
    FrontEnvironment,
    Recorder,
    front_environment,
    shorten,
)


def record_types() -> Any:
    with front_environment() as env:
        recorded = {f"{name} {kind}": env.lookup(name, kind) for name in NAMES for kind in TYPES}
        by_tcp = {
            f"{name} by tcp": env.lookup(
                name, "TXT" if name == "big" else "A", transport_kind=TransportKind.TCP
            )
            for name in NAMES
        }
        return [recorded | by_tcp, env.counts()]


def option(number: int, data: bytes = b"") -> dns.edns.Option:
    return dns.edns.GenericOption(dns.edns.OptionType.make(number), data)


def query_options(env: FrontEnvironment) -> Iterable[tuple[str, list[str]]]:
    client_cookie = b"clientxx"
    option_sets = {
        "none": [],
        "nsid": [option(3)],
        "cookie": [option(10, client_cookie)],
        "short": [option(10, client_cookie + b"1234")],
        "odd": [option(10, client_cookie[:7])],
        "bad": [option(10, client_cookie + bytes(16))],
        "keep-alive": [option(11)],
        "padding": [option(12, bytes(4))],
        "unknown": [option(65_001, b"x")],
        "ecs": [dns.edns.ECSOption("203.0.113.0", 24)],
        "ecs v6": [dns.edns.ECSOption("2001:db8:1::", 48)],
        "ecs scope": [dns.edns.ECSOption("203.0.113.0", 24, 24)],
        "all": [
            option(3),
            option(10, client_cookie),
            option(11),
            option(12),
            dns.edns.ECSOption("203.0.113.0", 24),
        ],
    }
    for label, options in option_sets.items():
        for peer in ("192.0.2.10", "2001:db9::10"):
            for transport_kind in TransportKind:
                for name in ("www", "none", "0.a1.lot-page", "big"):
                    yield f"{label} {peer} {transport_kind.value} {name}", env.lookup(
                        name, "TXT" if name == "big" else "A", peer, transport_kind,
                        use_edns=0, options=options, want_dnssec=label == "nsid", payload=1_000,
                    )  # fmt: skip


def record_options() -> Any:
    with front_environment() as env:
        recorded = dict(query_options(env))
        recorder = Recorder("127.0.0.1", TransportKind.UDP)
        first = dns.message.make_query(
            "www.cdn.example.", "A", id=6, use_edns=0, options=[option(10, b"clientxx")]
        )
        env.front.processor.handle_query(first.to_wire(), recorder)
        (cookie_option,) = dns.message.from_wire(bytes.fromhex(recorder.sent[0])).options
        cookie = cookie_option.to_wire()
        assert cookie is not None
        assert len(cookie) == 24
        for after_s in (0, 1_799, 1_800, 3_600, 3_601, -300, -301):
            env.now_ms = NOW_MS + after_s * 1_000.0
            recorded[f"shown after {after_s}"] = env.lookup(
                "big", "TXT", use_edns=0, options=[option(10, cookie)]
            )
        for version in (1, 255):
            recorded[f"version {version}"] = env.lookup("www", use_edns=version)
        empty = dns.message.Message(id=5)
        empty.use_edns(0, options=[option(10, b"clientxx")])
        recorded["cookie alone"] = env.send(empty.to_wire())
        return [recorded, env.counts()]


def record_malformed() -> Any:
    with front_environment() as env:
        valid = dns.message.make_query("www.cdn.example.", "A", id=7).to_wire()
        two_questions = bytearray(valid)
        two_questions[4:6] = b"\0\2"
        recorded = {f"cut {length}": env.send(valid[:length]) for length in range(len(valid) + 1)}
        recorded |= {
            f"opcode {code}": env.send(valid[:2] + bytes([code << 3]) + valid[3:]) for code in range(16)
        }
        recorded["answer"] = env.send(valid[:2] + b"\x80" + valid[3:])
        recorded["two"] = env.send(bytes(two_questions) + valid[12:])
        recorded["rest"] = env.send(valid + b"rest")
        recorded["chaos"] = env.lookup("www", rdclass="CH")
        signed = dns.message.make_query("www.cdn.example.", "A", id=8)
        signed.use_tsig({dns.name.from_text("nobody."): b"0" * 32}, algorithm="hmac-sha256")
        recorded["signed"] = env.send(signed.to_wire())
        return [recorded, env.counts()]


def record_limits() -> Any:
    with front_environment(
        FULL + "answers_per_s = 3.0\nslip = 2\namplification_most = 3.0\nudp_most = 600\n"
    ) as env:
        recorded: list[Any] = [env.lookup("www", use_edns=0) for _ in range(9)]
        recorded += [env.lookup("none", use_edns=0, options=[option(10, b"clientxx")]) for _ in range(9)]
        recorded += [env.lookup("big", "TXT", "198.51.100.1"), env.lookup("ns1", "A", "198.51.100.1")]
        env.now_ms += 2_000.0
        recorded += [env.lookup("www") for _ in range(5)]
        recorded.append(env.counts())
    with front_environment(FULL + "network_per_s = 5.0\nall_per_s = 8.0\n") as env:
        recorded += [env.lookup("www", peer=f"198.51.{n}.1") for n in range(3) for _ in range(7)]
        recorded.append(env.counts())
    return recorded


def record_dispatcher() -> Any:
    """Records a query rejected at its deadline, a server with a host name, no server, and leases used up."""
    with front_environment("", names="") as env:
        pending_recorder = Recorder("127.0.0.1", TransportKind.UDP)
        env.front.processor.handle_query(
            dns.message.make_query("0.a1.lot-page.cdn.example.", "A", id=9, use_edns=0).to_wire(),
            pending_recorder,
        )
        env.now_ms += 1_001.0
        env.exchange.deadlines.sweep(env.now_ms)
        recorded: list[Any] = [pending_recorder.shortened(), env.counts()]
    for name in "0123":
        with front_environment("own_address = '2001:db8::99'\n", names=name) as env:
            for kind in ("A", "AAAA", "SRV", "SVCB", "HTTPS"):
                query_name = ("_http._tcp." if kind == "SRV" else "") + "0.a1.lot-page"
                recorded += [
                    env.lookup(query_name, kind),
                    env.lookup(query_name.replace("lot-page", "bid"), kind),
                ]
            recorded += [env.lookup(f"0.{key:x}.lot-page", peer=f"10.0.{key}.1") for key in range(40)]
            recorded.append(env.counts())
    return recorded


class Transport:
    """A transport of a stream that records writes and other calls."""

    def __init__(self) -> None:
        self.calls: list[str] = []

    def get_extra_info(self, name: str) -> Any:
        return ("127.0.0.1", 5)

    def write(self, data: bytes) -> None:
        self.calls.append(shorten(data.hex()))

    def is_closing(self) -> bool:
        return False

    def __getattr__(self, name: str) -> Any:
        return lambda *args, **more: self.calls.append(f"{name} {args} {more}")


def record_stream(transport_kind: TransportKind) -> Any:
    with front_environment(FULL + "tcp_open = 2\ntcp_most = 2\ntcp_each = 2\n") as env:
        wires = [dns.message.make_query(f"{name}.cdn.example.", "A", id=n).to_wire()
                 for n, name in enumerate(("www", "none", "0.a1.lot-page", "big"))]  # fmt: skip
        data = b"".join(len(wire).to_bytes(2, "big") + wire for wire in (*wires, b"short"))
        recorded = []
        for size in (1, 7, len(data)):
            transport: Any = Transport()
            connection = env.front.streams.make_connection(transport_kind)
            connection.connection_made(transport)
            for start in range(0, len(data), size):
                connection.data_received(data[start : start + size])
            connection.pause_writing()
            connection.data_received(data)
            connection.resume_writing()
            connection.eof_received()
            recorded.append(transport.calls)
        env.now_ms += 10_000.0
        env.exchange.deadlines.sweep(env.now_ms)
        return [recorded, env.counts()]


INVALID_SETTINGS = (
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
        recorded = {}
        for text in INVALID_SETTINGS:
            keys = {line.split(" = ")[0] for line in text.splitlines()}
            kept_lines = [line for line in BASIC.splitlines() if line.split(" = ")[0] not in keys]
            (folder / "dns.toml").write_text("\n".join([*kept_lines, text]) + "\n")
            try:
                load_dns(str(folder / "dns.toml"), "127.0.0.9")
            except ConfigError as error:
                recorded[text] = OPENSSL_LINE.sub("", str(error)).replace(os.fspath(folder), "FOLDER")
        (folder / "dns.toml").write_text("\n".join([BASIC, "enabled = false"]))
        recorded["off"] = str(load_dns(str(folder / "dns.toml"), "127.0.0.9"))
        return recorded


def record_conform() -> Any:
    """Records the queries of each case by UDP, and its verdict on the front; streams are left out."""
    with front_environment(FULL.replace("192.0.2.0/24", "127.0.0.0/8").replace("= 0.1", "= 1.0")) as env:
        target = Target(("127.0.0.1", 53), ORIGIN, "lot-page")
        rows = {}
        for case in select_cases():
            sent: list[bytes] = []

            def exchange_datagrams(
                _: Any, wires: Iterable[bytes], max_responses: int, sent: list[bytes] = sent
            ) -> list[bytes]:
                sent += (wires := list(wires))
                sender = Recorder("127.0.0.1", TransportKind.UDP)
                for wire in wires:
                    env.front.processor.handle_query(wire, sender)
                return [
                    bytes.fromhex(sent_message) for sent_message in sender.sent if sent_message != "drop"
                ][:max_responses]

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
    "odd": record_malformed,
    "limits": record_limits,
    "core": record_dispatcher,
    "tcp": lambda: record_stream(TransportKind.TCP),
    "tls": lambda: record_stream(TransportKind.TLS),
    "messages": record_messages,
    "conform": record_conform,
}


@pytest.mark.parametrize("name", RECORDINGS)
def test_bytes_counters_and_messages_equal_those_recorded(name: str) -> None:
    actual = json.loads(json.dumps(RECORDINGS[name]()))
    assert actual == GOLDEN[name]
