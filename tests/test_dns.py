"""The DNS front over loopback, queried by a test resolver, and DNS placement without sockets."""

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


async def serve_hit(heard: ReceivedRequest) -> None:
    await heard.respond(200, b"x", X_Remark="mem")


def dns_config(**more: Any) -> DnsConfig:
    leases = LeaseSettings(transfers_per_answer=more.get("weight", 1.0))
    return DnsConfig(("127.0.0.1", 0), ZONE, DIRECTOR_ADDRESS, more.get("wait_ms", 20_000.0), leases)


def object_name(key: int = 0xA1, cls: str = "lot-page", group: int | None = 3) -> str:
    return format_object_name(ObjectName(cls, key, 0, group), ZONE).to_text()


class DnsFrontTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cache = ScriptedServer(serve_hit, capacity=50.0)
        self.world = DirectorHarness([self.cache], dns=dns_config())
        await self.world.__aenter__()
        assert self.world.director is not None and self.world.director.dns is not None
        self.director, self.front = self.world.director, self.world.director.dns
        self.resolver = StubResolver(self.front.address)

    async def asyncTearDown(self) -> None:
        await self.world.__aexit__()

    async def rcode(self, wire: bytes) -> dns.rcode.Rcode:
        return dns.message.from_wire(await self.resolver.exchange_udp(wire)).rcode()

    async def test_a_cache_is_returned_over_udp_and_tcp_and_never_for_a_write(self) -> None:
        self.assertEqual(await self.resolver.resolve(object_name()), [CACHE_ADDRESS])
        query = dns.message.make_query(object_name(), "A")
        reply = dns.message.from_wire(await self.resolver.exchange_tcp(query.to_wire()))
        self.assertEqual(
            ([item.to_text() for item in reply.answer[0]], reply.answer[0].ttl), ([CACHE_ADDRESS], 2)
        )
        self.assertEqual(await self.resolver.resolve(object_name(cls="bid")), [DIRECTOR_ADDRESS])

    async def test_a_class_added_by_a_new_configuration_is_routed(self) -> None:
        missing = await self.rcode(dns.message.make_query(object_name(cls="lot-map"), "A").to_wire())
        self.assertEqual(missing, dns.rcode.NXDOMAIN)
        settings = copy.deepcopy(SETTINGS)
        settings["classes"].append({**settings["classes"][1], "name": "lot-map"})
        self.director.apply(read_config(config_for([self.cache], self.world.coordinator, settings), {}))
        self.assertEqual(await self.resolver.resolve(object_name(cls="lot-map")), [CACHE_ADDRESS])

    async def test_a_reload_keeps_weights_and_applies_the_loop_fraction(self) -> None:
        self.assertEqual(await self.resolver.resolve(object_name()), [CACHE_ADDRESS])
        weights, zones = self.front.processor.weights, self.front.processor.zones
        self.assertTrue(weights.expiry_by_name)  # the answer is watched for a repeated query
        udp = self.front._udp
        assert udp is not None
        self.front.reload(replace(dns_config(), rates=RateLimits(max_loop_fraction=0.25)))
        self.assertIs(self.front.processor.weights, weights)
        self.assertEqual(udp.budget.fraction, 0.25)
        self.assertIsNot(self.front.processor.zones, zones)  # replaced once
        zones = self.front.processor.zones
        self.front.set_classes(frozenset(self.director.exchange.dispatcher.state.classes))
        self.assertIs(self.front.processor.zones, zones)
        self.front.reload(dns_config(weight=2.0))
        self.assertIsNot(self.front.processor.weights, weights)  # measured against another prior: replaced

    async def test_each_kind_of_error_has_its_rcode(self) -> None:
        def ask(text: str, kind: str = "A", **more: Any) -> bytes:
            return dns.message.make_query(text, kind, **more).to_wire()

        inform = dns.message.make_query(object_name(), "A")
        inform.set_opcode(dns.opcode.NOTIFY)
        two = dns.message.make_query(object_name(), "A")
        two.question *= 2
        for wire, rcode in (
            (ask("other.example."), dns.rcode.REFUSED),
            (ask(object_name(), rdclass="CH"), dns.rcode.REFUSED),
            (ask("0.zz.lot-page.cdn.example."), dns.rcode.NXDOMAIN),
            (ask("0.a1.unknown.cdn.example."), dns.rcode.NXDOMAIN),
            (ask("cdn.example."), dns.rcode.NOERROR),
            (ask(object_name(), "TXT"), dns.rcode.NOERROR),
            (ask(object_name(), "AAAA"), dns.rcode.NOERROR),
            (inform.to_wire(), dns.rcode.NOTIMP),
            (two.to_wire(), dns.rcode.FORMERR),
            (ask(object_name())[:-3], dns.rcode.FORMERR),
            (ask(object_name(), use_edns=1), dns.rcode.BADVERS),
        ):
            self.assertEqual(await self.rcode(wire), rcode, wire)
        nodata = dns.message.from_wire(await self.resolver.exchange_udp(ask(object_name(), "AAAA")))
        self.assertEqual((len(nodata.answer), len(nodata.authority)), (0, 1))

    async def test_a_truncated_response_is_retried_over_tcp(self) -> None:
        query = dns.message.make_query(object_name(), "A")
        whole = dns.message.from_wire(await self.resolver.exchange_tcp(query.to_wire()))
        for number in range(60):
            whole.answer.append(dns.rrset.from_text(f"x{number}.example.", 1, "IN", "A", CACHE_ADDRESS))
        cut = dns.message.from_wire(encode_within(whole, 512))
        self.assertTrue(cut.flags & dns.flags.TC and not cut.answer)
        self.resolver.exchange_udp = mock.AsyncMock(return_value=cut.to_wire())  # type: ignore[method-assign]
        self.assertEqual(await self.resolver.resolve(object_name()), [CACHE_ADDRESS])

    async def test_a_draining_cache_is_not_returned_and_the_query_fails_by_its_deadline(self) -> None:
        self.assertEqual(await self.resolver.resolve(object_name()), [CACHE_ADDRESS])
        self.cache.state = "DRAINING"
        self.world.coordinator.publish_endpoints(self.cache)
        await wait_until(lambda: self.director.endpoint_feed.last_index == 2)
        self.front.apply_config(dns_config(wait_ms=30.0))
        query = dns.message.make_query(object_name(0xA2), "A")
        self.assertEqual((await self.resolver.query(query)).rcode(), dns.rcode.SERVFAIL)
        exchange = self.director.exchange
        self.assertFalse(exchange.resolutions.open or exchange.dispatcher.state.unresolved)

    async def test_a_waiting_query_is_answered_by_later_events(self) -> None:
        """A purge and then a cache come while it waits: the purged object is not sent to that cache."""
        self.cache.state = "DRAINING"
        self.world.coordinator.publish_endpoints(self.cache)
        await wait_until(lambda: self.director.endpoint_feed.last_index == 2)
        waiting = [asyncio.create_task(self.resolver.resolve(object_name(key))) for key in (0xB1, 0xB2)]
        await wait_until(lambda: len(self.director.exchange.resolutions.open) == 2)
        self.world.coordinator.publish(evict={"ref": "b1", "unix_ms": self.director.exchange.clock()})
        self.cache.state = "SERVING"
        self.world.coordinator.publish_endpoints(self.cache)
        self.assertEqual(await asyncio.gather(*waiting), [[DIRECTOR_ADDRESS], [CACHE_ADDRESS]])

    async def test_a_purge_between_decision_and_response_is_obeyed(self) -> None:
        core = self.director.exchange.dispatcher
        decide = core.handle
        seen: list[api.Event] = []

        def handle(now_ms: float, event: api.Event) -> list[api.Action]:
            actions = decide(now_ms, event)
            if isinstance(event, api.ResolveRequest) and not seen:  # decided, and not yet sent
                seen.append(event)
                decide(now_ms, api.Purge(event.key, 3, 1.0))
            return actions

        with mock.patch.object(core, "handle", handle):
            self.assertEqual(await self.resolver.resolve(object_name()), [DIRECTOR_ADDRESS])


class CachedAnswersTest(unittest.IsolatedAsyncioTestCase):
    """Resolvers that ignore TTLs, and a cache that restarts cold while its address is cached."""

    SIZE = 30.0

    async def transfers_of_cached_answers(self) -> float:
        """Returns the concurrent transfers that cached answers may bring to one cache, over all directors."""
        settings = copy.deepcopy(SETTINGS)
        settings["specifics"]["instances_by_zone"] = [0, 2]
        settings["n_instances"] = 2
        leased = 0
        for _ in range(2):  # the directors share nothing: each is asked by its own resolvers
            cache = ScriptedServer(serve_hit, capacity=self.SIZE)
            async with DirectorHarness([cache], settings=settings, dns=dns_config()) as world:
                assert world.director is not None and world.director.dns is not None
                address = world.director.dns.address
                resolvers = [StubResolver(address, 3600.0, f"127.0.1.{n}") for n in (1, 2, 3)]
                for restart in (False, True):
                    if restart:
                        cache.boot_ms = world.director.exchange.clock()
                        world.coordinator.publish_endpoints(cache)
                        await wait_until(lambda feed=world.director.endpoint_feed: feed.last_index == 2)  # type: ignore[misc]
                    for key in range(20):
                        for resolver in resolvers:
                            await resolver.resolve(object_name(key + 100 * restart))
                for resolver in resolvers:
                    self.assertEqual(resolver.query_count, 40)
                    leased += sum(addresses == [CACHE_ADDRESS] for _, addresses in resolver.cache.values())
        return leased

    async def test_cached_answers_stay_within_a_cold_caches_capacity(self) -> None:
        leased = await self.transfers_of_cached_answers()
        self.assertGreater(leased, 0)  # the front does return the cache
        self.assertLessEqual(leased, OVERLOAD_MULTIPLE * SLOW_START_FRACTION * self.SIZE)

    async def test_without_the_bound_on_leases_the_same_run_exceeds_it(self) -> None:
        with mock.patch.object(DnsPlacement, "_lease", lambda *_: True):
            self.assertGreater(
                await self.transfers_of_cached_answers(), OVERLOAD_MULTIPLE * SLOW_START_FRACTION * self.SIZE
            )


class DnsPlacementTest(unittest.TestCase):
    def resolve(self, world: DispatcherEnvironment, key: int, **more: Any) -> Any:
        (action,) = world.handle_event(
            api.ResolveRequest(1000 + key, "page", key, 1000.0, more.pop("holder", "r"), **more)
        )
        return action

    def test_leases_stay_with_the_address_when_another_cache_takes_it(self) -> None:
        places = tuple(api.Server(f"c{n}", api.Role.CACHE, "e1", 8.0, address=f"p{n}") for n in range(1))
        world = DispatcherEnvironment(places, slow_start_fraction=0.5)
        named = sum(bool(self.resolve(world, key).servers) for key in range(9))
        self.assertEqual(named, 4)  # half of 0.8 x 3 x 0.5 x 8
        gone = api.Server("c0", api.Role.CACHE, "e1", 8.0, api.ServerState.GONE, address="p0")
        world.update_endpoints(
            gone, api.Server("c9", api.Role.CACHE, "e1", 8.0, started_ms=world.clock_ms, address="p0")
        )
        self.assertEqual([self.resolve(world, key).servers for key in (99, 0)], [(), ()])
        world.clock_ms += 1_000.0  # the cold cache's budget has capacity again
        self.assertEqual(self.resolve(world, 99).servers, ())
        # A resolver that has the lease already gets it again.
        self.assertEqual(self.resolve(world, 0).servers, ("c9",))

    def test_leases_reduce_what_a_cold_cache_is_sent(self) -> None:
        def sends(leases: int, is_full: bool = False) -> int:
            world = DispatcherEnvironment((CACHES[0], *PARENTS), slow_start_fraction=0.5)
            for key in range(leases):
                self.resolve(world, key)
            if is_full:  # leases that the last run granted
                world.state.dns_lease_table().assume_full(world.clock_ms + 300_000.0)
            world.update_endpoints(api.Server("c0", api.Role.CACHE, "e1", 8.0, started_ms=world.clock_ms))
            sent, count = world.send_request(100), 0
            for n in range(60):
                while sent:
                    count += 1
                    sent += world.end_attempt(
                        sent.pop(), api.Status.OK, detail=api.OutcomeDetail.FILLED, after_ms=0.0
                    )
                sent = world.send_request(101 + n, after_ms=40.0)
            return count

        self.assertLess(sends(4), sends(0))
        self.assertLessEqual(sends(0, is_full=True), sends(4))

    def test_a_name_without_a_group_is_in_every_purged_group(self) -> None:
        world = DispatcherEnvironment()
        world.handle_event(api.Purge(None, 7, 10.0))
        self.assertFalse(self.resolve(world, 1).servers)
        self.assertFalse(self.resolve(world, 1, group=7).servers)
        self.assertTrue(self.resolve(world, 1, group=8).servers)
        world.clock_ms += 8_000.0
        self.assertTrue(self.resolve(world, 2).servers)

    def test_names_are_classified_as_they_are_formatted(self) -> None:
        rules = NamingRules(frozenset({"lot-page"}))
        for target in (ObjectName("lot-page", 0x7F3A, 12, None), ObjectName("lot-page", 1, 0, 17)):
            self.assertEqual(
                rules.classify(relative_labels(format_object_name(target, ZONE), ZONE)), RoutedName(target)
            )
        for text in ("a1.lot-page", "0.a1.lot-page.x", "0.x3.a1.lot-page", "0.g3.a1", "*.a1.lot-page"):
            found = rules.classify(relative_labels(dns.name.from_text(text, ZONE), ZONE))
            self.assertNotIsInstance(found, RoutedName, text)
