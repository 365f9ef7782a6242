"""The DNS front over loopback, asked by the stand-in resolver."""

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
from gladewalk.rehearsal.peers import SETTINGS, Heard, Rehearsal, ScriptedPeer, config_for, until
from gladewalk.rehearsal.resolver import Resolver
from tests.world import CACHES, PARENTS, World

ZONE = dns.name.from_text("cdn.example.")
OWN = "127.0.0.9"
BOX = "127.0.0.1"
COLD_SHARE = 0.16
FALL = 3.0


async def hit(heard: Heard) -> None:
    await heard.answer(200, b"x", X_Remark="mem")


def front(**more: Any) -> DnsConfig:
    leases = LeaseSettings(transfers_per_answer=more.get("weight", 1.0))
    return DnsConfig(("127.0.0.1", 0), ZONE, OWN, more.get("wait_ms", 20_000.0), leases)


def name(key: int = 0xA1, cls: str = "lot-page", group: int | None = 3) -> str:
    return format_object_name(ObjectName(cls, key, 0, group), ZONE).to_text()


class Front(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.cache = ScriptedPeer(hit, size=50.0)
        self.world = Rehearsal([self.cache], dns=front())
        await self.world.__aenter__()
        assert self.world.director is not None and self.world.director.dns is not None
        self.director, self.front = self.world.director, self.world.director.dns
        self.resolver = Resolver(self.front.address)

    async def asyncTearDown(self) -> None:
        await self.world.__aexit__()

    async def rcode(self, wire: bytes) -> dns.rcode.Rcode:
        return dns.message.from_wire(await self.resolver.exchange_udp(wire)).rcode()

    async def test_a_box_is_named_over_udp_and_tcp_and_a_bid_never(self) -> None:
        self.assertEqual(await self.resolver.resolve(name()), [BOX])
        query = dns.message.make_query(name(), "A")
        reply = dns.message.from_wire(await self.resolver.exchange_tcp(query.to_wire()))
        self.assertEqual(([item.to_text() for item in reply.answer[0]], reply.answer[0].ttl), ([BOX], 2))
        self.assertEqual(await self.resolver.resolve(name(cls="bid")), [OWN])

    async def test_a_class_of_a_new_configuration_is_known_here_too(self) -> None:
        missing = await self.rcode(dns.message.make_query(name(cls="lot-map"), "A").to_wire())
        self.assertEqual(missing, dns.rcode.NXDOMAIN)
        settings = copy.deepcopy(SETTINGS)
        settings["classes"].append({**settings["classes"][1], "name": "lot-map"})
        self.director.apply(read_config(config_for([self.cache], self.world.coordinator, settings), {}))
        self.assertEqual(await self.resolver.resolve(name(cls="lot-map")), [BOX])

    async def test_a_reload_keeps_what_was_measured_and_takes_the_loop_share(self) -> None:
        self.assertEqual(await self.resolver.resolve(name()), [BOX])
        weights, zones = self.front.processor.weights, self.front.processor.zones
        self.assertTrue(
            weights.expiry_by_name
        )  # the answer given is watched for the question that comes again
        udp = self.front._udp
        assert udp is not None
        self.front.reload(replace(front(), rates=RateLimits(max_loop_fraction=0.25)))
        self.assertIs(self.front.processor.weights, weights)
        self.assertEqual(udp.budget.fraction, 0.25)
        self.assertIsNot(self.front.processor.zones, zones)  # made anew, once
        zones = self.front.processor.zones
        self.front.set_classes(frozenset(self.director.exchange.dispatcher.state.classes))
        self.assertIs(self.front.processor.zones, zones)
        self.front.reload(front(weight=2.0))
        self.assertIsNot(self.front.processor.weights, weights)  # measured against another prior: begun anew

    async def test_each_kind_of_error_has_its_code(self) -> None:
        def ask(text: str, kind: str = "A", **more: Any) -> bytes:
            return dns.message.make_query(text, kind, **more).to_wire()

        inform = dns.message.make_query(name(), "A")
        inform.set_opcode(dns.opcode.NOTIFY)
        two = dns.message.make_query(name(), "A")
        two.question *= 2
        for wire, rcode in (
            (ask("other.example."), dns.rcode.REFUSED),
            (ask(name(), rdclass="CH"), dns.rcode.REFUSED),
            (ask("0.zz.lot-page.cdn.example."), dns.rcode.NXDOMAIN),
            (ask("0.a1.unknown.cdn.example."), dns.rcode.NXDOMAIN),
            (ask("cdn.example."), dns.rcode.NOERROR),
            (ask(name(), "TXT"), dns.rcode.NOERROR),
            (ask(name(), "AAAA"), dns.rcode.NOERROR),
            (inform.to_wire(), dns.rcode.NOTIMP),
            (two.to_wire(), dns.rcode.FORMERR),
            (ask(name())[:-3], dns.rcode.FORMERR),
            (ask(name(), use_edns=1), dns.rcode.BADVERS),
        ):
            self.assertEqual(await self.rcode(wire), rcode, wire)
        nodata = dns.message.from_wire(await self.resolver.exchange_udp(ask(name(), "AAAA")))
        self.assertEqual((len(nodata.answer), len(nodata.authority)), (0, 1))

    async def test_what_does_not_fit_is_cut_and_asked_for_again_over_tcp(self) -> None:
        query = dns.message.make_query(name(), "A")
        whole = dns.message.from_wire(await self.resolver.exchange_tcp(query.to_wire()))
        for n in range(60):
            whole.answer.append(dns.rrset.from_text(f"x{n}.example.", 1, "IN", "A", BOX))
        cut = dns.message.from_wire(encode_within(whole, 512))
        self.assertTrue(cut.flags & dns.flags.TC and not cut.answer)
        self.resolver.exchange_udp = mock.AsyncMock(return_value=cut.to_wire())  # type: ignore[method-assign]
        self.assertEqual(await self.resolver.resolve(name()), [BOX])

    async def test_a_drained_box_is_not_named_and_its_refusal_comes_by_the_deadline(self) -> None:
        self.assertEqual(await self.resolver.resolve(name()), [BOX])
        self.cache.state = "DRAINING"
        self.world.coordinator.tell_list(self.cache)
        await until(lambda: self.director.endpoint_feed.last_index == 2)
        self.front.apply_config(front(wait_ms=30.0))
        query = dns.message.make_query(name(0xA2), "A")
        self.assertEqual((await self.resolver.query(query)).rcode(), dns.rcode.SERVFAIL)
        exchange = self.director.exchange
        self.assertFalse(exchange.resolutions.open or exchange.dispatcher.state.unresolved)

    async def test_a_question_that_waits_is_answered_by_what_is_told_meanwhile(self) -> None:
        """A purge and then a box come while it waits: the purged object's box must not be named."""
        self.cache.state = "DRAINING"
        self.world.coordinator.tell_list(self.cache)
        await until(lambda: self.director.endpoint_feed.last_index == 2)
        waiting = [asyncio.create_task(self.resolver.resolve(name(key))) for key in (0xB1, 0xB2)]
        await until(lambda: len(self.director.exchange.resolutions.open) == 2)
        self.world.coordinator.tell(evict={"ref": "b1", "unix_ms": self.director.exchange.clock()})
        self.cache.state = "SERVING"
        self.world.coordinator.tell_list(self.cache)
        self.assertEqual(await asyncio.gather(*waiting), [[OWN], [BOX]])

    async def test_a_purge_that_lands_between_decision_and_write_is_heeded(self) -> None:
        core = self.director.exchange.dispatcher
        decide = core.handle
        told: list[api.Event] = []

        def handle(now_ms: float, event: api.Event) -> list[api.Action]:
            actions = decide(now_ms, event)
            if isinstance(event, api.ResolveRequest) and not told:  # decided, not yet written
                told.append(event)
                decide(now_ms, api.Purge(event.key, 3, 1.0))
            return actions

        with mock.patch.object(core, "handle", handle):
            self.assertEqual(await self.resolver.resolve(name()), [OWN])


class HeldAnswers(unittest.IsolatedAsyncioTestCase):
    """Resolvers that ignore the time to live, and a box that restarts cold under the answers they hold."""

    SIZE = 30.0

    async def held_at_the_box(self) -> float:
        """The transfers at a time that answers held for one box may bring, over all its directors."""
        settings = copy.deepcopy(SETTINGS)
        settings["specifics"]["instances_by_zone"] = [0, 2]
        settings["n_instances"] = 2
        held = 0
        for _ in range(2):  # the directors share nothing: each is asked by its own resolvers
            box = ScriptedPeer(hit, size=self.SIZE)
            async with Rehearsal([box], settings=settings, dns=front()) as world:
                assert world.director is not None and world.director.dns is not None
                address = world.director.dns.address
                resolvers = [Resolver(address, 3600.0, f"127.0.1.{n}") for n in (1, 2, 3)]
                for restart in (False, True):
                    if restart:
                        box.boot_ms = world.director.exchange.clock()
                        world.coordinator.tell_list(box)
                        await until(lambda feed=world.director.endpoint_feed: feed.last_index == 2)  # type: ignore[misc]
                    for key in range(20):
                        for resolver in resolvers:
                            await resolver.resolve(name(key + 100 * restart))
                for resolver in resolvers:
                    self.assertEqual(resolver.asked, 40)
                    held += sum(addresses == [BOX] for _, addresses in resolver.held.values())
        return held

    async def test_no_cold_box_is_held_at_more_than_it_can_bear(self) -> None:
        held = await self.held_at_the_box()
        self.assertGreater(held, 0)  # the front does name boxes
        self.assertLessEqual(held, FALL * COLD_SHARE * self.SIZE)

    async def test_without_the_bound_on_leases_the_same_run_breaks_it(self) -> None:
        with mock.patch.object(DnsPlacement, "_lease", lambda *_: True):
            self.assertGreater(await self.held_at_the_box(), FALL * COLD_SHARE * self.SIZE)


class Core(unittest.TestCase):
    def locate(self, world: World, key: int, **more: Any) -> Any:
        (action,) = world.put(
            api.ResolveRequest(1000 + key, "page", key, 1000.0, more.pop("holder", "r"), **more)
        )
        return action

    def test_held_answers_stay_with_the_place_when_another_box_takes_it(self) -> None:
        places = tuple(api.Server(f"c{n}", api.Role.CACHE, "e1", 8.0, address=f"p{n}") for n in range(1))
        world = World(places, slow_start_fraction=0.5)
        named = sum(bool(self.locate(world, key).servers) for key in range(9))
        self.assertEqual(named, 4)  # half of 0.8 x 3 x 0.5 x 8
        gone = api.Server("c0", api.Role.CACHE, "e1", 8.0, api.ServerState.GONE, address="p0")
        world.listed(gone, api.Server("c9", api.Role.CACHE, "e1", 8.0, started_ms=world.now, address="p0"))
        self.assertEqual([self.locate(world, key).servers for key in (99, 0)], [(), ()])
        world.now += 1_000.0  # the cold box's budget has room again
        self.assertEqual(self.locate(world, 99).servers, ())
        self.assertEqual(self.locate(world, 0).servers, ("c9",))  # who holds it already may be told again

    def test_held_answers_leave_less_of_a_cold_box_to_sends(self) -> None:
        def sends(leases: int, unknown: bool = False) -> int:
            world = World((CACHES[0], *PARENTS), slow_start_fraction=0.5)
            for key in range(leases):
                self.locate(world, key)
            if unknown:  # what the last run gave out
                world.state.dns_lease_table().assume_full(world.now + 300_000.0)
            world.listed(api.Server("c0", api.Role.CACHE, "e1", 8.0, started_ms=world.now))
            sent, count = world.ask(100), 0
            for n in range(60):
                while sent:
                    count += 1
                    sent += world.end(
                        sent.pop(), api.Status.OK, detail=api.OutcomeDetail.FILLED, after_ms=0.0
                    )
                sent = world.ask(101 + n, after_ms=40.0)
            return count

        self.assertLess(sends(4), sends(0))
        self.assertLessEqual(sends(0, unknown=True), sends(4))

    def test_a_name_without_a_group_is_in_every_group_that_was_purged(self) -> None:
        world = World()
        world.put(api.Purge(None, 7, 10.0))
        self.assertFalse(self.locate(world, 1).servers)
        self.assertFalse(self.locate(world, 1, group=7).servers)
        self.assertTrue(self.locate(world, 1, group=8).servers)
        world.now += 8_000.0
        self.assertTrue(self.locate(world, 2).servers)

    def test_names_are_read_as_they_are_written(self) -> None:
        rules = NamingRules(frozenset({"lot-page"}))
        for wanted in (ObjectName("lot-page", 0x7F3A, 12, None), ObjectName("lot-page", 1, 0, 17)):
            self.assertEqual(
                rules.classify(relative_labels(format_object_name(wanted, ZONE), ZONE)), RoutedName(wanted)
            )
        for text in ("a1.lot-page", "0.a1.lot-page.x", "0.x3.a1.lot-page", "0.g3.a1", "*.a1.lot-page"):
            found = rules.classify(relative_labels(dns.name.from_text(text, ZONE), ZONE))
            self.assertNotIsInstance(found, RoutedName, text)
