"""The DNS front under arbitrary bytes and floods, and DNS leases and weights, without sockets."""

import dataclasses
import ipaddress
import random
import unittest
from typing import Any

import dns.flags
import dns.message
import dns.name
import dns.rcode
import dns.rdatatype
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from gladewalk import interface as api
from gladewalk.config.platform import read_config
from gladewalk.core.counters import Counters
from gladewalk.core.deadlines import Deadlines
from gladewalk.core.exchange import Exchange
from gladewalk.dns.cookies import ServerCookies
from gladewalk.dns.front import DnsFront
from gladewalk.dns.names import address_name
from gladewalk.dns.query import TransportKind
from gladewalk.dns.responses import encode_within
from gladewalk.dns.settings import DnsConfig, RateLimits
from gladewalk.dns.weights import ResolverWeights
from gladewalk.registry.dns_leases import DnsLeaseTable
from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import config_for

from .test_zone import ORIGIN, make_zone


class RecordingSender:
    def __init__(
        self, client_address: str = "127.0.0.1", transport: TransportKind = TransportKind.UDP
    ) -> None:
        self.client_address, self.transport = client_address, transport
        self.sent: list[bytes] = []
        self.dropped_count = 0

    def send(self, wire: bytes) -> None:
        self.sent.append(wire)

    def drop(self) -> None:
        self.dropped_count += 1


class NoUpstreams:
    """Upstreams without servers: queries for routed names wait, and others are answered from the zone."""

    def __getattr__(self, name: str) -> Any:
        return lambda *args, **more: None


def make_front(clock: Any = lambda: 1_000.0, **more: Any) -> DnsFront:
    config = read_config(config_for([], Coordinator(address="127.0.0.1:9")), {})
    counters = Counters()
    exchange = Exchange(config, clock, Deadlines(lambda due: None), counters, lambda line: None)
    exchange.upstreams = NoUpstreams()
    exchange.handle_event(api.EndpointList(api.EndpointListKind.PERSISTED, ()))
    dns_settings = DnsConfig(("127.0.0.1", 0), ORIGIN, "127.0.0.9", 1_000.0)
    return DnsFront(exchange, dataclasses.replace(dns_settings, **more), counters)


FUZZED_FRONT = make_front(cookies=ServerCookies((b"k" * 16,)), max_amplification=4.0)
NAMES = ("cdn.example.", "0.a1.lot-page.cdn.example.", "x.cdn.example.", "example.", "lot-page.cdn.example.")


def check_response(wire: bytes) -> None:
    """Requires no exception, and a response of bounded size with the query's id and question."""
    sender = RecordingSender()
    FUZZED_FRONT.processor.handle_query(wire, sender)
    if not sender.sent:
        return
    (response_wire,) = sender.sent
    assert response_wire[:2] == wire[:2] and response_wire[2] & 0x80
    assert len(response_wire) <= max(FUZZED_FRONT.config.max_amplification * len(wire), 12)
    parsed_response = dns.message.from_wire(response_wire)
    if parsed_response.question:
        sent_question = dns.message.from_wire(wire).question[0]
        assert parsed_response.question[0].name.labels == sent_question.name.labels
        assert parsed_response.question[0].rdtype == sent_question.rdtype


@given(st.binary(max_size=200))
@profile(max_examples=400, deadline=None, derandomize=True)
def test_random_bytes_are_answered_or_counted(data: bytes) -> None:
    check_response(data)


@given(
    st.sampled_from(NAMES), st.integers(0, 65_535), st.integers(-1, 3), st.randoms(use_true_random=False),
    st.integers(0, 4),
)  # fmt: skip
@profile(max_examples=800, deadline=None, derandomize=True)
def test_mutated_queries_are_answered_or_counted(
    name: str, type_number: int, edns_version: int, rng: random.Random, change_count: int
) -> None:
    query = dns.message.make_query(name, dns.rdatatype.RdataType.make(type_number), use_edns=edns_version)
    wire = bytearray(query.to_wire())
    for _ in range(change_count):
        position = rng.randrange(len(wire))
        match rng.randrange(3):
            case 0:
                wire[position] = rng.randrange(256)
            case 1:
                del wire[position]
            case 2:
                wire.insert(position, rng.randrange(256))
    check_response(bytes(wire))


class AbuseTest(unittest.TestCase):
    def send_query(
        self, front: DnsFront, client_address: str = "127.0.0.1", name: str = "x.cdn.example.", **more: Any
    ) -> RecordingSender:
        sender = RecordingSender(client_address)
        front.processor.handle_query(dns.message.make_query(name, "A", **more).to_wire(), sender)
        return sender

    def test_a_forged_address_is_sent_few_responses_and_a_valid_cookie_is_not_limited(self) -> None:
        cookies = ServerCookies((b"k" * 16,))
        front = make_front(rates=RateLimits(answers_per_s=5.0, slip=2), cookies=cookies)
        senders = [self.send_query(front) for _ in range(105)]
        self.assertEqual(sum(bool(sender.sent) for sender in senders), 5 + 50)
        self.assertTrue(dns.message.from_wire(senders[-1].sent[0]).flags & dns.flags.TC)
        self.assertEqual(front.counters["dns.limited_dropped"], 50)
        client_cookie = b"c" * 8
        client_only = dns.edns.CookieOption(client_cookie, b"")
        senders = [self.send_query(front, use_edns=0, options=[client_only]) for _ in range(2)]
        (bad_cookie,) = [dns.message.from_wire(sender.sent[0]) for sender in senders if sender.sent]
        self.assertEqual(bad_cookie.rcode(), dns.rcode.BADCOOKIE)
        with_cookie = [self.send_query(front, use_edns=0, options=[bad_cookie.options[0]]) for _ in range(50)]
        self.assertTrue(
            all(sender.sent and dns.message.from_wire(sender.sent[0]).authority for sender in with_cookie)
        )

    def test_query_budgets_of_a_network_and_of_all_clients_are_kept(self) -> None:
        front = make_front(rates=RateLimits(network_queries_per_s=10.0, queries_per_s=25.0))
        counts = [sum(bool(self.send_query(front, f"192.0.{n}.1").sent) for _ in range(20)) for n in range(4)]
        self.assertEqual(counts, [10, 10, 5, 0])
        self.assertEqual((front.counters["dns.over_network"], front.counters["dns.over_all"]), (40, 15))

    def test_a_waiting_query_fails_by_its_deadline(self) -> None:
        now = 1_000.0
        front = make_front(lambda: now)
        waiting = self.send_query(front, name="0.a1.lot-page.cdn.example.", use_edns=0)
        self.assertFalse(waiting.sent)
        now += 1_001.0
        front.exchange.deadlines.sweep(now)
        response = dns.message.from_wire(waiting.sent[0])
        self.assertEqual((response.rcode(), int(response.options[0].otype)), (dns.rcode.SERVFAIL, 15))

    def test_a_client_subnet_is_accepted_from_trusted_resolvers_only(self) -> None:
        front = make_front(ecs_resolvers=(ipaddress.ip_network("192.0.2.0/24"),))
        subnet = dns.edns.ECSOption("203.0.113.0", 24)
        for client_address, option_count in (("192.0.2.1", 1), ("198.51.100.1", 0)):
            response = dns.message.from_wire(
                self.send_query(front, client_address, use_edns=0, options=[subnet]).sent[0]
            )
            self.assertEqual(len(response.options), option_count)

    def test_additional_records_are_left_out_before_truncation(self) -> None:
        zone = make_zone()
        query = dns.message.make_query(ORIGIN, "NS")
        response = dns.message.make_response(query)
        result = zone.lookup(ORIGIN, dns.rdatatype.NS)
        response.answer, response.additional = result.answer, result.additional * 30
        self.assertFalse(dns.message.from_wire(encode_within(response, 512)).flags & dns.flags.TC)
        response.answer = [dns.rrset.from_text(address_name(f"192.0.2.{n}", ORIGIN), 1, "IN", "TXT", "x" * 40)
                        for n in range(20)]  # fmt: skip
        truncated_response = dns.message.from_wire(encode_within(response, 512))
        self.assertTrue(truncated_response.flags & dns.flags.TC and not truncated_response.answer)


class LeasesAndWeightsTest(unittest.TestCase):
    def test_lease_totals_are_those_of_unexpired_leases(self) -> None:
        rng, table, now = random.Random(5), DnsLeaseTable(), 1e12
        leases: dict[tuple[str, str, int], tuple[float, float]] = {}
        for _ in range(4_000):
            now += rng.expovariate(0.01)
            address, resolver, key = rng.choice("ab"), rng.choice("xyz"), rng.randrange(40)
            expires_ms, weight = now + rng.choice((900.0, 5_000.0, 60_000.0)), rng.choice((0.5, 1.0))
            table.grant(address, resolver, (key, 0), expires_ms, weight)
            leases[address, resolver, key] = (-(-expires_ms // 1_000.0) * 1_000.0, weight)
            leases = {lease: value for lease, value in leases.items() if value[0] // 1_000.0 > now // 1_000.0}
            for address in "ab":
                expected = sum(weight for (leased, _, _), (_, weight) in leases.items() if leased == address)
                self.assertAlmostEqual(table.total_weight(address, 0.0, now), expected)
        self.assertEqual(len(table), len(leases))
        table.total_weight("a", 0.0, now + 1e6)
        self.assertEqual((len(table), table._expiring), (0, {}))

    def test_a_start_without_a_store_assumes_full_leases(self) -> None:
        table = DnsLeaseTable()
        table.assume_full(10_000.0)
        self.assertEqual(table.available_weight("a", "x", (1, 0), 5.0, 9_000.0), 0.0)
        self.assertEqual(table.available_weight("a", "x", (1, 0), 5.0, 10_000.0), 5.0)
        self.assertEqual(table.ttl_ms("a", 5.0, False, 9_000.0), table.min_ttl_ms)
        self.assertEqual(table.ttl_ms("a", 5.0, False, 10_000.0), table.max_ttl_ms)
        self.assertEqual(table.ttl_ms("a", 5.0, True, 10_000.0), table.min_ttl_ms)

    def measure_weight(
        self, name_queries_per_s: float, names: int, obeys_ttl: bool = True, farm: int = 1
    ) -> float:
        """Returns the weight of a resolver whose clients need each name at a rate; transfers take 400 ms."""
        rng, weights, now, ttl = random.Random(7), ResolverWeights(0.02, 100.0), 0.0, 2_000.0
        expires_ms: dict[tuple[int, int], float] = {}
        while now < 600_000.0:
            now += rng.expovariate(name_queries_per_s * names) * 1_000.0
            name, member = rng.randrange(names), rng.randrange(farm)
            if expires_ms.get((name, member), 0.0) <= now:
                weights.record_query("r", name, now)
                weights.record_answer("r", name, ttl, now)
                expires_ms[name, member] = now + (ttl if obeys_ttl else 300_000.0)
        return weights.weight("r", 400.0, now)

    def test_a_resolvers_weight_is_its_clients_concurrent_transfers(self) -> None:
        for name_queries_per_s in (0.02, 0.2, 2.0):  # queries of each name per second
            expected = max(0.02, name_queries_per_s * 0.4)
            self.assertTrue(
                0.6 * expected < self.measure_weight(name_queries_per_s, 50) < 1.6 * expected,
                name_queries_per_s,
            )
        self.assertGreater(self.measure_weight(2.0, 50, farm=8), 3.0)  # each member caches its own answers
        # No repeated query is observed, so the configured weight applies.
        self.assertEqual(self.measure_weight(0.001, 50, obeys_ttl=False), 0.02)
        self.assertEqual(ResolverWeights(0.02, 100.0).weight("new", 400.0, 0.0), 0.02)
