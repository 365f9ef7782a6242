"""The conformance suite against our front, and against copies of it that are broken on purpose."""

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
from gladewalk.dns.conform.suite import Verdict, run_cases, the_cases
from gladewalk.dns.conform.target import Target
from gladewalk.dns.cookies import ServerCookies
from gladewalk.dns.front import DnsFront
from gladewalk.dns.query import QuerySender, TransportKind
from gladewalk.dns.settings import StreamLimits, TlsListener
from gladewalk.rehearsal.peers import Rehearsal, ScriptedPeer
from tests.test_dns import ZONE, front, hit

Message = dns.message.Message
Break = Callable[
    [Message, Message, TransportKind], Message | None
]  # query, good reply, way: the broken reply


def server_tls(folder: Path) -> tuple[Path, Path]:
    authority = trustme.CA()
    certificate = authority.issue_cert("dns.example")
    certificate.private_key_pem.write_to_path(str(folder / "key.pem"))
    certificate.cert_chain_pems[0].write_to_path(str(folder / "cert.pem"))
    return folder / "cert.pem", folder / "key.pem"


def opt(reply: Message, *options: dns.edns.Option, flags: int = 0) -> Message:
    rcode = reply.rcode()
    reply.use_edns(0, flags, 1232, options=list(options))
    reply.set_rcode(rcode)
    return reply


def flag(bit: int, on: bool) -> Break:
    def change(query: Message, reply: Message, via: TransportKind) -> Message:
        reply.flags = dns.flags.Flag(reply.flags | bit if on else reply.flags & ~bit)
        return reply

    return change


def when(true: Callable[[Message, Message], bool], then: Break) -> Break:
    return lambda query, reply, via: then(query, reply, via) if true(query, reply) else reply


def code(rcode: dns.rcode.Rcode) -> Break:
    def change(query: Message, reply: Message, via: TransportKind) -> Message:
        reply.set_rcode(rcode)
        return reply

    return change


def without(section: str) -> Break:
    def change(query: Message, reply: Message, via: TransportKind) -> Message:
        setattr(reply, section, [])
        return reply

    return change


def ttl(section: str, seconds: int) -> Break:
    def change(query: Message, reply: Message, via: TransportKind) -> Message:
        for rrset in getattr(reply, section):
            rrset.ttl = seconds
        return reply

    return change


def asks(*kinds: str) -> Callable[[Message, Message], bool]:
    wanted = {dns.rdatatype.from_text(kind) for kind in kinds}
    return lambda query, reply: bool(query.question) and query.question[0].rdtype in wanted


def renamed(query: Message, reply: Message, via: TransportKind) -> Message:
    for rrset in reply.question:
        rrset.name = dns.name.from_text(rrset.name.to_text().lower())
    return reply


def no_edns(query: Message, reply: Message, via: TransportKind) -> Message:
    reply.use_edns(-1)
    return reply


def other_id(query: Message, reply: Message, via: TransportKind) -> Message:
    reply.id ^= 1
    return reply


def doubled(query: Message, reply: Message, via: TransportKind) -> Message:
    reply.answer = [*reply.answer, *reply.answer]
    for n, rrset in enumerate(reply.answer):
        reply.answer[n] = dns.rrset.from_rdata_list(dns.name.from_text(f"n{n}", ZONE), 1, list(rrset))
    return reply


def is_empty(query: Message, reply: Message) -> bool:
    return bool(query.question) and query.question[0].name == dns.name.from_text("lot-page", ZONE)


def negative(query: Message, reply: Message) -> bool:
    return not reply.answer and bool(reply.authority)


CLIENT_ONLY = dns.edns.GenericOption(dns.edns.OptionType.COOKIE, bytes(8))
ONE_FOR_ALL = dns.edns.GenericOption(dns.edns.OptionType.COOKIE, bytes(8) + b"\1\0\0\0" + bytes(12))
BROKEN: dict[str, tuple[Break, tuple[str, ...]]] = {
    "no AA": (flag(dns.flags.AA, False), ("aa-apex", "aa-routed", "aa-nxdomain")),
    "AA on refusals": (flag(dns.flags.AA, True), ("aa-refused",)),
    "RA": (flag(dns.flags.RA, True), ("rd-apex",)),
    "no RD back": (flag(dns.flags.RD, False), ("rd-routed",)),
    "AD": (flag(dns.flags.AD, True), ("security-nodata",)),
    "TC": (flag(dns.flags.TC, True), ("bits-apex", "tcp-not-cut")),
    "another id": (other_id, ("ids-of-all-kinds", "code-apex")),
    "NXDOMAIN for what is empty": (
        when(is_empty, code(dns.rcode.NXDOMAIN)), ("empty-class", "minimised-a", "code-empty"),
    ),
    "the case not kept": (renamed, ("question-routed", "question-nxdomain")),
    "no SOA": (when(negative, without("authority")), ("nxdomain-apex", "apex-nodata")),
    "negatives for a day": (when(negative, ttl("authority", 86_400)), ("nxdomain-apex", "nodata-type-txt")),
    "no OPT": (no_edns, ("opt-in-answer-soa", "opt-in-answer-refused")),
    "OPT unasked": (lambda q, r, v: opt(r), ("no-opt-unasked",)),
    "any version will do": (
        when(lambda q, r: q.edns > 0, code(dns.rcode.NOERROR)), ("badvers-1", "badvers-255"),
    ),
    "DO lost": (when(lambda q, r: r.edns >= 0, lambda q, r, v: opt(r)), ("do-copied",)),
    "options sent back": (
        when(lambda q, r: r.edns >= 0, lambda q, r, v: opt(r, *q.options)),
        ("option-unknown-65001", "keepalive-by-udp", "padding-by-udp"),
    ),
    "a cookie without the server's part": (
        when(lambda q, r: r.edns >= 0, lambda q, r, v: opt(r, CLIENT_ONLY)),
        ("cookie-given", "cookie-unasked"),
    ),
    "one cookie for all": (
        when(lambda q, r: r.edns >= 0, lambda q, r, v: opt(r, ONE_FOR_ALL)), ("cookie-by-client",),
    ),
    "a scope that is too long": (
        when(lambda q, r: r.edns >= 0, lambda q, r, v: opt(r, dns.edns.ECSOption("192.0.2.0", 24, 32))),
        ("ecs-echoed", "ecs-unasked"),
    ),
    "NXDOMAIN for what is not ours": (
        when(lambda q, r: r.rcode() == dns.rcode.REFUSED, code(dns.rcode.NXDOMAIN)),
        ("outside-parent", "outside-root", "axfr"),
    ),
    "ANY gives all": (when(asks("ANY"), doubled), ("any-is-small",)),
    "no glue": (without("additional"), ("apex-ns-glue", "srv-target")),
    "NXDOMAIN for the other family": (when(asks("AAAA"), code(dns.rcode.NXDOMAIN)), ("routed-other-family",)),
    "addresses for a day": (when(asks("A"), ttl("answer", 86_400)), ("routed-ttl",)),
    "half of all lost": (lambda q, r, v: None if q.id % 2 else r, ("many-from-one-socket", "tcp-pipelined")),
    "TXT for everybody": (
        when(asks("TXT"), lambda q, r, v: dns.message.make_response(q)), ("nodata-type-txt", "apex-nodata"),
    ),
}  # fmt: skip


def breaking(good: DnsFront, change: Break) -> None:
    """From now on a front's answers are changed on their way out."""
    handle_query = good.processor.handle_query

    class Changing:
        def __init__(self, sender: QuerySender, wire: bytes) -> None:
            self.sender, self.wire = sender, wire
            self.client_address, self.transport = sender.client_address, sender.transport

        def send(self, wire: bytes) -> None:
            try:
                query, reply = dns.message.from_wire(self.wire), dns.message.from_wire(wire)
            except Exception:
                return self.sender.send(wire)
            changed = change(query, reply, self.transport)
            return (
                self.sender.drop() if changed is None else self.sender.send(changed.to_wire(max_size=65_535))
            )

        def drop(self) -> None:
            self.sender.drop()

    processor = good.processor
    processor.handle_query = lambda wire, sender: handle_query(wire, Changing(sender, wire))  # type: ignore[method-assign]


class Conformance(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.load_cert_chain(*server_tls(folder))
        context.set_alpn_protocols(["dot"])
        config = dataclasses.replace(
            front(), cookies=ServerCookies((b"k" * 16,)), nsid="n1",
            tls=TlsListener(("127.0.0.1", 0), context), ecs_resolvers=(ipaddress.ip_network("127.0.0.0/8"),),
            streams=StreamLimits(max_connections_per_client=64),
        )  # fmt: skip
        self.world = Rehearsal([ScriptedPeer(hit, size=50.0)], dns=config)
        await self.world.__aenter__()
        assert self.world.director is not None and self.world.director.dns is not None
        self.front = self.world.director.dns
        self.target = Target(
            self.front.address, ZONE, "lot-page", tls_address=self.front.tls_address, timeout_s=20.0
        )

    async def asyncTearDown(self) -> None:
        await self.world.__aexit__()

    async def test_our_front_passes_every_case(self) -> None:
        results = await asyncio.to_thread(run_cases, self.target)
        self.assertGreater(len(results), 200)
        wrong = [(r.case.name, r.seen) for r in results if r.verdict is not Verdict.PASSED]
        self.assertEqual(wrong, [])

    async def test_each_broken_copy_fails_the_cases_it_breaks(self) -> None:
        handle_query, self.target.timeout_s = self.front.processor.handle_query, 0.3
        for name, (change, cases) in BROKEN.items():
            breaking(self.front, change)
            results = await asyncio.to_thread(run_cases, self.target, cases)
            self.front.processor.handle_query = handle_query  # type: ignore[method-assign]
            failed = {r.case.name for r in results if r.verdict is Verdict.FAILED}
            self.assertLessEqual(set(cases), failed, name)

    async def test_the_command_tells_what_failed(self) -> None:
        address = "{}:{}".format(*self.front.address)
        shown = ["dns", "conform", address, ZONE.to_text(), "--class", "lot-page"]
        told = await asyncio.to_thread(CliRunner().invoke, gladewalk, [*shown, "--only", "apex-", "--json"])
        rows = [json.loads(line) for line in told.output.splitlines()]
        self.assertEqual((told.exit_code, {row["verdict"] for row in rows}), (0, {"passed"}))
        breaking(self.front, flag(dns.flags.AA, False))
        told = await asyncio.to_thread(CliRunner().invoke, gladewalk, [*shown, "--only", "aa-apex"])
        self.assertEqual(told.exit_code, 1)
        self.assertIn("failed aa-apex (RFC 1035, 4.1.1)", told.output)
        bad = CliRunner().invoke(gladewalk, ["dns", "conform", "nowhere", ".", "--class", "x"])
        self.assertEqual(bad.exit_code, 2)
        self.assertGreater(len(the_cases()), 200)
