"""The DNS front over loopback, queried by a stub resolver, and DNS placement without sockets."""

import asyncio
import copy
import unittest
from dataclasses import replace
from typing import Any
from unittest import mock

import dns.flags
import dns.message
import dns.name
import dns.opcode
import dns.rcode
import dns.rrset

from gladewalk import interface as api
from gladewalk.config.platform import read_config
from gladewalk.dns.names import NamingRules, ObjectName, RoutedName, format_object_name, relative_labels
from gladewalk.dns.responses import encode_within
from gladewalk.dns.settings import DnsConfig, LeaseSettings, RateLimits
from gladewalk.policy.dns_placement import DnsPlacement
from gladewalk.rehearsal.director_harness import SETTINGS, DirectorHarness, config_for, wait_until
from gladewalk.rehearsal.resolver import StubResolver
from gladewalk.rehearsal.scripted_servers import ReceivedRequest, ScriptedServer
from tests.world import CACHES, PARENTS, DispatcherEnvironment

ZONE = dns.name.from_text("cdn.example.")
DIRECTOR_ADDRESS = "127.0.0.9"
CACHE_ADDRESS = "127.0.0.1"
SLOW_START_FRACTION = 0.16
OVERLOAD_MULTIPLE = 3.0


async def serve_hit(request: ReceivedRequest) -> None:
    await request.respond(200, b"x", X_Remark="mem")


def dns_config(**more: Any) -> DnsConfig:
    leases = LeaseSettings(transfers_per_answer=more.get("weight", 1.0))
    return DnsConfig(("127.0.0.1", 0), ZONE, DIRECTOR_ADDRESS, more.get("wait_ms", 20_000.0), leases)


def object_name(key: int = 0xA1, cls: str = "lot-page", group: int | None = 3) -> str:
    return format_object_name(ObjectName(cls, key, 0, group), ZONE).to_text()


class DnsFrontTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cache = ScriptedServer(serve_hit, capacity=50.0)
        self.harness = DirectorHarness([self.cache], dns=dns_config())
        await self.harness.__aenter__()
        assert self.harness.director is not None and self.harness.director.dns is not None
        self.director, self.front = self.harness.director, self.harness.director.dns
        self.resolver = StubResolver(self.front.address)

    async def asyncTearDown(self) -> None:
        await self.harness.__aexit__()

    async def rcode(self, wire: bytes) -> dns.rcode.Rcode:
        return dns.message.from_wire(await self.resolver.exchange_udp(wire)).rcode()

    async def test_a_cache_is_returned_over_udp_and_tcp_and_never_for_a_write(self) -> None:
        self.assertEqual(await self.resolver.resolve(object_name()), [CACHE_ADDRESS])
        query = dns.message.make_query(object_name(), "A")
        response = dns.message.from_wire(await self.resolver.exchange_tcp(query.to_wire()))
        self.assertEqual(
            ([item.to_text() for item in response.answer[0]], response.answer[0].ttl), ([CACHE_ADDRESS], 2)
        )
        self.assertEqual(await self.resolver.resolve(object_name(cls="bid")), [DIRECTOR_ADDRESS])

    async def test_a_class_added_by_a_new_configuration_is_routed(self) -> None:
        missing = await self.rcode(dns.message.make_query(object_name(cls="lot-map"), "A").to_wire())
        self.assertEqual(missing, dns.rcode.NXDOMAIN)
        settings = copy.deepcopy(SETTINGS)
        settings["classes"].append({**settings["classes"][1], "name": "lot-map"})
        self.director.apply(read_config(config_for([self.cache], self.harness.coordinator, settings), {}))
        self.assertEqual(await self.resolver.resolve(object_name(cls="lot-map")), [CACHE_ADDRESS])

    async def test_a_reload_keeps_weights_and_applies_the_loop_fraction(self) -> None:
        self.assertEqual(await self.resolver.resolve(object_name()), [CACHE_ADDRESS])
        weights, zones = self.front.processor.weights, self.front.processor.zones
        self.assertTrue(weights.expiry_by_name)  # the answered name is watched for a repeated query
        udp = self.front._udp
        assert udp is not None
        self.front.reload(replace(dns_config(), rates=RateLimits(max_loop_fraction=0.25)))
        self.assertIs(self.front.processor.weights, weights)
        self.assertEqual(udp.budget.fraction, 0.25)
        self.assertIsNot(self.front.processor.zones, zones)  # replaced by the reload
        zones = self.front.processor.zones
        self.front.set_classes(frozenset(self.director.exchange.dispatcher.state.classes))
        self.assertIs(self.front.processor.zones, zones)
        self.front.reload(dns_config(weight=2.0))
        # The estimates depend on the configured weight, so they are replaced with it.
        self.assertIsNot(self.front.processor.weights, weights)

    async def test_each_kind_of_error_has_its_rcode(self) -> None:
        def query_wire(query_name: str, rdtype: str = "A", **more: Any) -> bytes:
            return dns.message.make_query(query_name, rdtype, **more).to_wire()

        notify = dns.message.make_query(object_name(), "A")
        notify.set_opcode(dns.opcode.NOTIFY)
        two_questions = dns.message.make_query(object_name(), "A")
        two_questions.question *= 2
        for wire, rcode in (
            (query_wire("other.example."), dns.rcode.REFUSED),
            (query_wire(object_name(), rdclass="CH"), dns.rcode.REFUSED),
            (query_wire("0.zz.lot-page.cdn.example."), dns.rcode.NXDOMAIN),
            (query_wire("0.a1.unknown.cdn.example."), dns.rcode.NXDOMAIN),
            (query_wire("cdn.example."), dns.rcode.NOERROR),
            (query_wire(object_name(), "TXT"), dns.rcode.NOERROR),
            (query_wire(object_name(), "AAAA"), dns.rcode.NOERROR),
            (notify.to_wire(), dns.rcode.NOTIMP),
            (two_questions.to_wire(), dns.rcode.FORMERR),
            (query_wire(object_name())[:-3], dns.rcode.FORMERR),
            (query_wire(object_name(), use_edns=1), dns.rcode.BADVERS),
        ):
            self.assertEqual(await self.rcode(wire), rcode, wire)
        nodata = dns.message.from_wire(await self.resolver.exchange_udp(query_wire(object_name(), "AAAA")))
        self.assertEqual((len(nodata.answer), len(nodata.authority)), (0, 1))

    async def test_a_truncated_response_is_retried_over_tcp(self) -> None:
        query = dns.message.make_query(object_name(), "A")
        complete_response = dns.message.from_wire(await self.resolver.exchange_tcp(query.to_wire()))
        for number in range(60):
            complete_response.answer.append(
                dns.rrset.from_text(f"x{number}.example.", 1, "IN", "A", CACHE_ADDRESS)
            )
        truncated_response = dns.message.from_wire(encode_within(complete_response, 512))
        self.assertTrue(truncated_response.flags & dns.flags.TC and not truncated_response.answer)
        self.resolver.exchange_udp = mock.AsyncMock(return_value=truncated_response.to_wire())  # type: ignore[method-assign]
        self.assertEqual(await self.resolver.resolve(object_name()), [CACHE_ADDRESS])

    async def test_a_draining_cache_is_not_returned_and_the_query_fails_by_its_deadline(self) -> None:
        self.assertEqual(await self.resolver.resolve(object_name()), [CACHE_ADDRESS])
        self.cache.state = "DRAINING"
        self.harness.coordinator.publish_endpoints(self.cache)
        await wait_until(lambda: self.director.endpoint_feed.last_index == 2)
        self.front.apply_config(dns_config(wait_ms=30.0))
        query = dns.message.make_query(object_name(0xA2), "A")
        self.assertEqual((await self.resolver.query(query)).rcode(), dns.rcode.SERVFAIL)
        exchange = self.director.exchange
        self.assertFalse(exchange.resolutions.open or exchange.dispatcher.state.unresolved)

    async def test_a_waiting_query_is_answered_after_later_events(self) -> None:
        """A purge is received, then a cache becomes usable: it is not returned for the purged object."""
        self.cache.state = "DRAINING"
        self.harness.coordinator.publish_endpoints(self.cache)
        await wait_until(lambda: self.director.endpoint_feed.last_index == 2)
        waiting = [asyncio.create_task(self.resolver.resolve(object_name(key))) for key in (0xB1, 0xB2)]
        await wait_until(lambda: len(self.director.exchange.resolutions.open) == 2)
        self.harness.coordinator.publish(evict={"ref": "b1", "unix_ms": self.director.exchange.clock()})
        self.cache.state = "SERVING"
        self.harness.coordinator.publish_endpoints(self.cache)
        self.assertEqual(await asyncio.gather(*waiting), [[DIRECTOR_ADDRESS], [CACHE_ADDRESS]])

    async def test_a_purge_between_decision_and_response_is_obeyed(self) -> None:
        patched_dispatcher = self.director.exchange.dispatcher
        original_handle = patched_dispatcher.handle
        decided_requests: list[api.Event] = []

        def handle(now_ms: float, event: api.Event) -> list[api.Action]:
            actions = original_handle(now_ms, event)
            # The purge follows the decision, before the response is sent.
            if isinstance(event, api.ResolveRequest) and not decided_requests:
                decided_requests.append(event)
                original_handle(now_ms, api.Purge(event.key, 3, 1.0))
            return actions

        with mock.patch.object(patched_dispatcher, "handle", handle):
            self.assertEqual(await self.resolver.resolve(object_name()), [DIRECTOR_ADDRESS])


class CachedAnswersTest(unittest.IsolatedAsyncioTestCase):
    """Resolvers ignore TTLs, and a cache restarts cold while they cache its address."""

    CAPACITY = 30.0

    async def count_leased_transfers(self) -> float:
        """Returns the concurrent transfers that cached answers may cause at one cache, over all directors."""
        settings = copy.deepcopy(SETTINGS)
        settings["specifics"]["instances_by_zone"] = [0, 2]
        settings["n_instances"] = 2
        cached_count = 0
        for _ in range(2):  # the directors share no state, and each has its own resolvers
            cache = ScriptedServer(serve_hit, capacity=self.CAPACITY)
            async with DirectorHarness([cache], settings=settings, dns=dns_config()) as harness:
                assert harness.director is not None and harness.director.dns is not None
                address = harness.director.dns.address
                resolvers = [StubResolver(address, 3600.0, f"127.0.1.{n}") for n in (1, 2, 3)]
                for restart in (False, True):
                    if restart:
                        cache.boot_ms = harness.director.exchange.clock()
                        harness.coordinator.publish_endpoints(cache)
                        await wait_until(lambda feed=harness.director.endpoint_feed: feed.last_index == 2)  # type: ignore[misc]
                    for key in range(20):
                        for resolver in resolvers:
                            await resolver.resolve(object_name(key + 100 * restart))
                for resolver in resolvers:
                    self.assertEqual(resolver.query_count, 40)
                    cached_count += sum(
                        addresses == [CACHE_ADDRESS] for _, addresses in resolver.cache.values()
                    )
        return cached_count

    async def test_cached_answers_stay_within_a_cold_caches_capacity(self) -> None:
        cached_count = await self.count_leased_transfers()
        self.assertGreater(cached_count, 0)  # the front returned the cache
        self.assertLessEqual(cached_count, OVERLOAD_MULTIPLE * SLOW_START_FRACTION * self.CAPACITY)

    async def test_without_the_limit_on_leases_the_same_run_exceeds_it(self) -> None:
        with mock.patch.object(DnsPlacement, "_lease", lambda *_: True):
            self.assertGreater(
                await self.count_leased_transfers(), OVERLOAD_MULTIPLE * SLOW_START_FRACTION * self.CAPACITY
            )


class DnsPlacementTest(unittest.TestCase):
    def resolve(self, environment: DispatcherEnvironment, key: int, **more: Any) -> Any:
        (action,) = environment.handle_event(
            api.ResolveRequest(1000 + key, "page", key, 1000.0, more.pop("resolver", "r"), **more)
        )
        return action

    def test_leases_stay_with_the_address_when_another_cache_takes_it(self) -> None:
        caches = tuple(api.Server(f"c{n}", api.Role.CACHE, "e1", 8.0, address=f"p{n}") for n in range(1))
        environment = DispatcherEnvironment(caches, slow_start_fraction=0.5)
        named_count = sum(bool(self.resolve(environment, key).servers) for key in range(9))
        self.assertEqual(named_count, 4)  # half of 0.8 x 3 x 0.5 x 8
        gone_cache = api.Server("c0", api.Role.CACHE, "e1", 8.0, api.ServerState.GONE, address="p0")
        environment.update_endpoints(
            gone_cache,
            api.Server("c9", api.Role.CACHE, "e1", 8.0, started_ms=environment.clock_ms, address="p0"),
        )
        self.assertEqual([self.resolve(environment, key).servers for key in (99, 0)], [(), ()])
        environment.clock_ms += 1_000.0  # the cold cache's slow-start budget has capacity again
        self.assertEqual(self.resolve(environment, 99).servers, ())
        # A resolver that already has the lease gets it again.
        self.assertEqual(self.resolve(environment, 0).servers, ("c9",))

    def test_leases_reduce_the_requests_that_a_cold_cache_is_sent(self) -> None:
        def count_sends(lease_count: int, is_full: bool = False) -> int:
            environment = DispatcherEnvironment((CACHES[0], *PARENTS), slow_start_fraction=0.5)
            for key in range(lease_count):
                self.resolve(environment, key)
            if is_full:  # as after a restart without a store
                environment.state.dns_lease_table().assume_full(environment.clock_ms + 300_000.0)
            environment.update_endpoints(
                api.Server("c0", api.Role.CACHE, "e1", 8.0, started_ms=environment.clock_ms)
            )
            sent, count = environment.send_request(100), 0
            for n in range(60):
                while sent:
                    count += 1
                    sent += environment.end_attempt(
                        sent.pop(), api.Status.OK, detail=api.OutcomeDetail.FILLED, after_ms=0.0
                    )
                sent = environment.send_request(101 + n, after_ms=40.0)
            return count

        self.assertLess(count_sends(4), count_sends(0))
        self.assertLessEqual(count_sends(0, is_full=True), count_sends(4))

    def test_a_name_without_a_group_is_in_every_purged_group(self) -> None:
        environment = DispatcherEnvironment()
        environment.handle_event(api.Purge(None, 7, 10.0))
        self.assertFalse(self.resolve(environment, 1).servers)
        self.assertFalse(self.resolve(environment, 1, group=7).servers)
        self.assertTrue(self.resolve(environment, 1, group=8).servers)
        environment.clock_ms += 8_000.0
        self.assertTrue(self.resolve(environment, 2).servers)

    def test_names_are_classified_as_they_are_formatted(self) -> None:
        rules = NamingRules(frozenset({"lot-page"}))
        for target in (ObjectName("lot-page", 0x7F3A, 12, None), ObjectName("lot-page", 1, 0, 17)):
            self.assertEqual(
                rules.classify(relative_labels(format_object_name(target, ZONE), ZONE)), RoutedName(target)
            )
        for text in ("a1.lot-page", "0.a1.lot-page.x", "0.x3.a1.lot-page", "0.g3.a1", "*.a1.lot-page"):
            name_kind = rules.classify(relative_labels(dns.name.from_text(text, ZONE), ZONE))
            self.assertNotIsInstance(name_kind, RoutedName, text)
