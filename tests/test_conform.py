"""The conformance suite against the DNS front, and against fronts whose responses are changed to be wrong."""

import asyncio
import dataclasses
import ipaddress
import json
import ssl
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path

import dns.edns
import dns.flags
import dns.message
import dns.name
import dns.opcode
import dns.rcode
import dns.rdatatype
import trustme
from click.testing import CliRunner

from gladewalk.cli.commands import gladewalk
from gladewalk.dns.conform.suite import Verdict, run_cases, select_cases
from gladewalk.dns.conform.target import Target
from gladewalk.dns.cookies import ServerCookies
from gladewalk.dns.front import DnsFront
from gladewalk.dns.query import QuerySender, TransportKind
from gladewalk.dns.settings import StreamLimits, TlsListener
from gladewalk.rehearsal.director_harness import DirectorHarness
from gladewalk.rehearsal.scripted_servers import ScriptedServer
from tests.test_dns import ZONE, dns_config, serve_hit

Message = dns.message.Message
# Changes the correct response to a query into a wrong one; None drops it.
ResponseChange = Callable[[Message, Message, TransportKind], Message | None]


def write_certificate(folder: Path) -> tuple[Path, Path]:
    authority = trustme.CA()
    certificate = authority.issue_cert("dns.example")
    certificate.private_key_pem.write_to_path(str(folder / "key.pem"))
    certificate.cert_chain_pems[0].write_to_path(str(folder / "cert.pem"))
    return folder / "cert.pem", folder / "key.pem"


def with_opt(response: Message, *options: dns.edns.Option, flags: int = 0) -> Message:
    rcode = response.rcode()
    response.use_edns(0, flags, 1232, options=list(options))
    response.set_rcode(rcode)
    return response


def set_flag(bit: int, is_set: bool) -> ResponseChange:
    def change(query: Message, response: Message, transport: TransportKind) -> Message:
        response.flags = dns.flags.Flag(response.flags | bit if is_set else response.flags & ~bit)
        return response

    return change


def only_if(condition: Callable[[Message, Message], bool], then: ResponseChange) -> ResponseChange:
    def change(query: Message, response: Message, transport: TransportKind) -> Message | None:
        return then(query, response, transport) if condition(query, response) else response

    return change


def set_rcode(rcode: dns.rcode.Rcode) -> ResponseChange:
    def change(query: Message, response: Message, transport: TransportKind) -> Message:
        response.set_rcode(rcode)
        return response

    return change


def without_section(section: str) -> ResponseChange:
    def change(query: Message, response: Message, transport: TransportKind) -> Message:
        setattr(response, section, [])
        return response

    return change


def set_ttl(section: str, seconds: int) -> ResponseChange:
    def change(query: Message, response: Message, transport: TransportKind) -> Message:
        for rrset in getattr(response, section):
            rrset.ttl = seconds
        return response

    return change


def has_type(*texts: str) -> Callable[[Message, Message], bool]:
    rdtypes = {dns.rdatatype.from_text(text) for text in texts}
    return lambda query, response: bool(query.question) and query.question[0].rdtype in rdtypes


def lower_case_question(query: Message, response: Message, transport: TransportKind) -> Message:
    for rrset in response.question:
        rrset.name = dns.name.from_text(rrset.name.to_text().lower())
    return response


def without_edns(query: Message, response: Message, transport: TransportKind) -> Message:
    response.use_edns(-1)
    return response


def flip_id(query: Message, response: Message, transport: TransportKind) -> Message:
    response.id ^= 1
    return response


def double_answer(query: Message, response: Message, transport: TransportKind) -> Message:
    response.answer = [*response.answer, *response.answer]
    for index, rrset in enumerate(response.answer):
        owner = dns.name.from_text(f"n{index}", ZONE)
        response.answer[index] = dns.rrset.from_rdata_list(owner, 1, list(rrset))
    return response


def add_opt(query: Message, response: Message, transport: TransportKind) -> Message:
    return with_opt(response)


def replace_opt(*options: dns.edns.Option) -> ResponseChange:
    def change(query: Message, response: Message, transport: TransportKind) -> Message:
        return with_opt(response, *options) if response.edns >= 0 else response

    return change


def echo_options(query: Message, response: Message, transport: TransportKind) -> Message:
    return with_opt(response, *query.options) if response.edns >= 0 else response


def drop_odd_ids(query: Message, response: Message, transport: TransportKind) -> Message | None:
    return None if query.id % 2 else response


def empty_response(query: Message, response: Message, transport: TransportKind) -> Message:
    return dns.message.make_response(query)


def has_unknown_edns_version(query: Message, response: Message) -> bool:
    return query.edns > 0


def is_refused(query: Message, response: Message) -> bool:
    return response.rcode() == dns.rcode.REFUSED


def is_empty_name(query: Message, response: Message) -> bool:
    return bool(query.question) and query.question[0].name == dns.name.from_text("lot-page", ZONE)


def is_negative(query: Message, response: Message) -> bool:
    return not response.answer and bool(response.authority)


CLIENT_COOKIE_ONLY = dns.edns.GenericOption(dns.edns.OptionType.COOKIE, bytes(8))
LONG_SCOPE = dns.edns.ECSOption("192.0.2.0", 24, 32)
SAME_COOKIE = dns.edns.GenericOption(dns.edns.OptionType.COOKIE, bytes(8) + b"\1\0\0\0" + bytes(12))
BROKEN_FRONTS: dict[str, tuple[ResponseChange, tuple[str, ...]]] = {
    "no AA": (set_flag(dns.flags.AA, False), ("aa-apex", "aa-routed", "aa-nxdomain")),
    "AA on refusals": (set_flag(dns.flags.AA, True), ("aa-refused",)),
    "RA": (set_flag(dns.flags.RA, True), ("rd-apex",)),
    "RD not copied": (set_flag(dns.flags.RD, False), ("rd-routed",)),
    "AD": (set_flag(dns.flags.AD, True), ("security-nodata",)),
    "TC": (set_flag(dns.flags.TC, True), ("bits-apex", "tcp-not-cut")),
    "another id": (flip_id, ("ids-of-all-kinds", "code-apex")),
    "NXDOMAIN for an empty name": (
        only_if(is_empty_name, set_rcode(dns.rcode.NXDOMAIN)),
        ("empty-class", "minimised-a", "code-empty"),
    ),
    "letter case not preserved": (lower_case_question, ("question-routed", "question-nxdomain")),
    "negative responses without an SOA": (
        only_if(is_negative, without_section("authority")),
        ("nxdomain-apex", "apex-nodata"),
    ),
    "negative responses with a TTL of a day": (
        only_if(is_negative, set_ttl("authority", 86_400)),
        ("nxdomain-apex", "nodata-type-txt"),
    ),
    "no OPT": (without_edns, ("opt-in-answer-soa", "opt-in-answer-refused")),
    "OPT without a request": (add_opt, ("no-opt-unasked",)),
    "any EDNS version accepted": (
        only_if(has_unknown_edns_version, set_rcode(dns.rcode.NOERROR)),
        ("badvers-1", "badvers-255"),
    ),
    "DO not copied": (replace_opt(), ("do-copied",)),
    "options of the query sent back": (
        echo_options,
        ("option-unknown-65001", "keepalive-by-udp", "padding-by-udp"),
    ),
    "a cookie without the server's half": (
        replace_opt(CLIENT_COOKIE_ONLY),
        ("cookie-given", "cookie-unasked"),
    ),
    "the same cookie for all clients": (
        replace_opt(SAME_COOKIE),
        ("cookie-by-client",),
    ),
    "a scope that is too long": (
        replace_opt(LONG_SCOPE),
        ("ecs-echoed", "ecs-unasked"),
    ),
    "NXDOMAIN instead of REFUSED": (
        only_if(is_refused, set_rcode(dns.rcode.NXDOMAIN)),
        ("outside-parent", "outside-root", "axfr"),
    ),
    "ANY with several record sets": (only_if(has_type("ANY"), double_answer), ("any-is-small",)),
    "no glue": (without_section("additional"), ("apex-ns-glue", "srv-target")),
    "NXDOMAIN for the other address family": (
        only_if(has_type("AAAA"), set_rcode(dns.rcode.NXDOMAIN)),
        ("routed-other-family",),
    ),
    "addresses with a TTL of a day": (only_if(has_type("A"), set_ttl("answer", 86_400)), ("routed-ttl",)),
    "half of the responses dropped": (drop_odd_ids, ("many-from-one-socket", "tcp-pipelined")),
    "empty responses to TXT": (
        only_if(has_type("TXT"), empty_response),
        ("nodata-type-txt", "apex-nodata"),
    ),
}


def break_responses(dns_front: DnsFront, change: ResponseChange) -> None:
    """Replaces a front's query handler by one that changes its responses."""
    handle_query = dns_front.processor.handle_query

    class ChangingSender:
        def __init__(self, sender: QuerySender, wire: bytes) -> None:
            self.sender, self.wire = sender, wire
            self.client_address, self.transport = sender.client_address, sender.transport

        def send(self, wire: bytes) -> None:
            try:
                query, response = dns.message.from_wire(self.wire), dns.message.from_wire(wire)
            except Exception:  # noqa: BLE001 - a malformed message is passed on unchanged
                return self.sender.send(wire)
            changed = change(query, response, self.transport)
            if changed is None:
                return self.sender.drop()
            return self.sender.send(changed.to_wire(max_size=65_535))

        def drop(self) -> None:
            self.sender.drop()

    processor = dns_front.processor
    processor.handle_query = lambda wire, sender: handle_query(wire, ChangingSender(sender, wire))  # type: ignore[method-assign]


class ConformanceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.load_cert_chain(*write_certificate(folder))
        context.set_alpn_protocols(["dot"])
        config = dataclasses.replace(
            dns_config(),
            cookies=ServerCookies((b"k" * 16,)),
            nsid="n1",
            tls=TlsListener(("127.0.0.1", 0), context),
            ecs_resolvers=(ipaddress.ip_network("127.0.0.0/8"),),
            streams=StreamLimits(max_connections_per_client=64),
        )
        self.harness = DirectorHarness([ScriptedServer(serve_hit, capacity=50.0)], dns=config)
        await self.harness.__aenter__()
        assert self.harness.director is not None and self.harness.director.dns is not None
        self.front = self.harness.director.dns
        self.target = Target(
            self.front.address, ZONE, "lot-page", tls_address=self.front.tls_address, timeout_s=20.0
        )

    async def asyncTearDown(self) -> None:
        await self.harness.__aexit__()

    async def test_the_front_passes_every_case(self) -> None:
        results = await asyncio.to_thread(run_cases, self.target)
        self.assertGreater(len(results), 200)
        failures = [
            (result.case.name, result.observation)
            for result in results
            if result.verdict is not Verdict.PASSED
        ]
        self.assertEqual(failures, [])

    async def test_each_broken_front_fails_its_cases(self) -> None:
        handle_query, self.target.timeout_s = self.front.processor.handle_query, 0.3
        for name, (change, cases) in BROKEN_FRONTS.items():
            break_responses(self.front, change)
            results = await asyncio.to_thread(run_cases, self.target, cases)
            self.front.processor.handle_query = handle_query  # type: ignore[method-assign]
            failed = {result.case.name for result in results if result.verdict is Verdict.FAILED}
            self.assertLessEqual(set(cases), failed, name)

    async def test_the_command_reports_failures(self) -> None:
        address = "{}:{}".format(*self.front.address)
        command = ["dns", "conform", address, ZONE.to_text(), "--class", "lot-page"]
        outcome = await asyncio.to_thread(
            CliRunner().invoke, gladewalk, [*command, "--only", "apex-", "--json"]
        )
        rows = [json.loads(line) for line in outcome.output.splitlines()]
        self.assertEqual((outcome.exit_code, {row["verdict"] for row in rows}), (0, {"passed"}))
        break_responses(self.front, set_flag(dns.flags.AA, False))
        outcome = await asyncio.to_thread(CliRunner().invoke, gladewalk, [*command, "--only", "aa-apex"])
        self.assertEqual(outcome.exit_code, 1)
        self.assertIn("failed aa-apex (RFC 1035, 4.1.1)", outcome.output)
        invalid = CliRunner().invoke(gladewalk, ["dns", "conform", "nowhere", ".", "--class", "x"])
        self.assertEqual(invalid.exit_code, 2)
        self.assertGreater(len(select_cases()), 200)
