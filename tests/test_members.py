"""Membership on a network in memory: one story for each trouble, and seeded schedules of many at a time."""

import asyncio
import ipaddress
import random
import tempfile
import unittest
from pathlib import Path

from gladewalk.config.platform import ConfigError
from gladewalk.core.counters import Counters
from gladewalk.director import LoopTimer
from gladewalk.members.actions import MemberChange, SendDatagram
from gladewalk.members.authenticator import (
    OVERHEAD_BYTES,
    DropReason,
    MessageAuthenticator,
    key_from_secret,
    load_key_ring,
)
from gladewalk.members.config import MembershipConfig
from gladewalk.members.errors import MalformedMessageError
from gladewalk.members.messages import (
    MAX_DATAGRAM_BYTES,
    Digest,
    MemberState,
    MemberUpdate,
    Ping,
    UserEvent,
    decode,
    encode,
)
from gladewalk.members.stream import LENGTH
from gladewalk.members.swim import Membership
from gladewalk.members.transport import MembershipTransport
from gladewalk.net.environment import unix_ms
from gladewalk.rehearsal.member_network import START_MS, Net, Node, cluster
from gladewalk.rehearsal.peers import until

TAKEOVER_MS = 2_000.0  # wished: by then a death is known to all


class Stories(unittest.TestCase):
    def settle(self, net: Net, ms: float = 15_000.0) -> None:
        net.run(ms)
        self.assertTrue(net.agreed(), {name: net.live_as_seen_by(name) for name in net.nodes})

    def assert_no_deaths(self, net: Net, since_ms: float = 0.0) -> None:
        self.assertEqual(net.changes(MemberChange.DIED, since_ms=since_ms), [])

    def test_members_find_one_another_and_nobody_is_doubted(self) -> None:
        for count in (2, 3, 5, 8, 24):
            net = cluster(count, seed=count)
            self.assertTrue(net.agreed(), count)
            net.run(20_000.0)
            self.assertEqual(net.changes(MemberChange.SUSPECTED), [])

    def test_a_death_is_known_to_all_within_2_s(self) -> None:
        for count in (2, 3, 4, 8):
            for seed in range(25):
                net = cluster(count, seed, settle_ms=2_500.0 + 37.0 * seed)
                killed = net.now
                net.kill("m1")
                net.run(TAKEOVER_MS)
                found = net.changes(MemberChange.DIED, "m1", killed)
                self.assertEqual(len(found), count - 1, (count, seed))
                self.assertTrue(net.agreed())

    def test_one_that_is_stopped_shorter_than_it_is_kept_does_nothing_and_keeps_its_place(self) -> None:
        for seed in range(20):
            net = cluster(4, seed)
            net.stop("m2", 6_000.0)
            net.run(3_000.0)
            self.assertEqual(
                {seen.by for seen in net.changes(MemberChange.STALLED, "m2")}, {"m0", "m1", "m3"}
            )
            self.assertEqual(
                {n: set(net.nodes[n].core.responsive_weights()) for n in ("m0", "m1", "m3")},
                {n: {"m0", "m1", "m3"} for n in ("m0", "m1", "m3")},
            )
            self.settle(net)
            self.assert_no_deaths(net)
            self.assertEqual(len(net.nodes["m0"].core.responsive_weights()), 4)

    def test_one_that_is_stopped_longer_than_it_is_kept_is_dead_and_comes_back(self) -> None:
        for seed in range(20):
            net = cluster(4, seed)
            net.stop("m2", 15_000.0)
            net.run(9_500.0)
            self.assert_no_deaths(net)
            net.run(5_000.0)
            self.assertEqual(len(net.changes(MemberChange.DIED, "m2")), 3)
            self.settle(net)
            self.assertEqual([s for s in net.changes(MemberChange.DIED) if s.by == "m2"], [])

    def test_one_that_stalls_and_is_then_killed_is_found_dead_before_its_stall_is_over(self) -> None:
        net = cluster(4, 1)
        net.stop("m2", 9_000.0)
        net.run(2_000.0)
        net.kill("m2")
        net.run(4_000.0)
        self.assertEqual(len(net.changes(MemberChange.DIED, "m2")), 3)

    def test_a_machine_that_goes_dark_is_dead_once_the_suspicion_runs_out(self) -> None:
        for seed in range(20):
            net = cluster(5, seed)
            net.dark.add("m3")
            net.kill("m3")
            net.run(3_000.0)
            self.assertEqual(len(net.changes(MemberChange.DIED, "m3")), 4)

    def test_one_cut_off_one_way_from_all_is_held_dead_and_its_word_costs_nobody_his_place(self) -> None:
        for out in (True, False):
            for seed in range(10):
                net = cluster(5, seed)
                net.blocked = lambda s, t, out=out: (s if out else t) == "m4"  # type: ignore[misc]
                net.run(10_000.0)
                wrong = [s for s in net.changes(MemberChange.DIED) if s.name != "m4" and s.by != "m4"]
                self.assertEqual(wrong, [])
                if out:  # whom all hear and who hears nobody may be held either way
                    self.assertNotIn("m4", net.live_as_seen_by("m0"))
                net.blocked = lambda s, t: False
                self.settle(net)

    def test_long_delays_cost_nobody_his_place(self) -> None:
        for seed in range(10):
            net = cluster(5, seed)
            net.delay_ms = (200.0, 400.0)
            net.run(30_000.0)
            self.assert_no_deaths(net)

    def test_10_and_30_percent_of_loss_cost_nobody_his_place(self) -> None:
        for seed in range(10):
            for loss in (0.1, 0.3):
                net = cluster(5, seed)
                net.loss = loss
                net.run(30_000.0)
                self.assert_no_deaths(net)

    def test_a_partition_of_2_and_3_is_one_roster_within_five_periods_of_its_end(self) -> None:
        for seed in range(30):
            net = cluster(5, seed)
            net.blocked = lambda s, t: (s in ("m0", "m1")) != (t in ("m0", "m1"))
            net.run(20_000.0)
            net.blocked = lambda s, t: False
            net.run(5 * net.terms.ping_period_ms)
            self.assertTrue(net.agreed(), seed)
            sides = ({"m0", "m1"}, {"m2", "m3", "m4"})
            wrong = [
                s for s in net.changes(MemberChange.DIED) if any({s.by, s.name} <= side for side in sides)
            ]
            self.assertEqual(wrong, [])

    def test_a_loop_that_stalls_for_less_than_a_suspicion_costs_nobody_his_place(self) -> None:
        for seed in range(20):
            net = cluster(4, seed)
            net.stop("m2", 450.0)
            self.settle(net, 8_000.0)
            self.assert_no_deaths(net)

    def test_a_leave_is_no_failure(self) -> None:
        net = cluster(5, 3)
        node = net.nodes["m3"]
        net.carry_out(node, node.core.leave())
        net.kill("m3")
        net.run(1_000.0)
        self.assertEqual(len(net.changes(MemberChange.LEFT, "m3")), 4)
        self.settle(net)
        self.assert_no_deaths(net)

    def test_one_way_loss_is_got_round_by_go_betweens(self) -> None:
        for seed in range(10):
            net = cluster(5, seed)
            net.blocked = lambda source, target: (source, target) == ("m0", "m1")
            self.settle(net, 20_000.0)
            self.assert_no_deaths(net)

    def test_a_partition_of_2_and_2_heals(self) -> None:
        for seed in range(10):
            net = cluster(4, seed)
            sides = {"m0": 0, "m2": 0, "m1": 1, "m3": 1}
            net.blocked = lambda source, target, sides=sides: sides[source] != sides[target]  # type: ignore[misc]
            net.run(10_000.0)
            self.assertEqual(net.live_as_seen_by("m0"), {"m2"})
            self.assertEqual(net.live_as_seen_by("m3"), {"m1"})
            net.blocked = lambda source, target: False
            self.settle(net)

    def test_a_partition_heals_though_all_seeds_have_died_meanwhile(self) -> None:
        for seed in range(10):
            net = cluster(4, seed)
            net.blocked = lambda source, target: "m3" in (source, target)
            net.kill("m0")
            net.kill("m1")
            net.run(10_000.0)
            self.assertEqual(net.live_as_seen_by("m3") | net.live_as_seen_by("m2"), set())
            net.blocked = lambda source, target: False
            self.settle(net)

    def test_all_restart_one_after_the_other(self) -> None:
        net = cluster(4, 5)
        for n in range(4):
            net.kill(f"m{n}")
            net.run(300.0)  # before anybody has found it dead: its new run must not be taken for the old one
            net.start(f"m{n}", ("m0", "m1"))
            net.run(3_000.0)
        self.settle(net)

    def test_one_that_joins_and_dies_within_a_second_is_forgotten(self) -> None:
        net = cluster(4, 6)
        net.start("m4", ("m0",))
        net.run(700.0)
        net.kill("m4")
        self.settle(net)
        self.assertEqual(net.live_as_seen_by("m2"), {"m0", "m1", "m3"})

    def test_a_clock_that_jumps_within_the_window_costs_nothing(self) -> None:
        for jump in (-10_000.0, 10_000.0):
            net = cluster(4, 7)
            net.nodes["m1"].clock_off = jump
            self.settle(net, 20_000.0)
            self.assert_no_deaths(net)

    def test_a_clock_beyond_the_window_cuts_its_member_off_until_it_is_right(self) -> None:
        net = cluster(4, 8)
        net.nodes["m1"].clock_off = 3_600_000.0
        net.run(10_000.0)
        self.assertNotIn("m1", net.live_as_seen_by("m0"))
        self.assertGreater(net.refused[DropReason.STALE], 0)
        net.nodes["m1"].clock_off = 0.0
        self.settle(net, 30_000.0)

    def test_of_two_with_one_name_the_first_keeps_it(self) -> None:
        net = cluster(4, 9)
        second = net.start("m2", ("m0", "m1"))
        self.assertIs(net.nodes["m2"], second)  # it stands at the same address: a restart
        net.run(5_000.0)
        other = Net.start(net, "m9", ("m0",), port=7_777)
        net.run(3_000.0)
        twin = self.twin(net, "m9")
        net.run(10_000.0)
        self.assertEqual((other.core.is_active, twin.core.is_active), (True, False))
        self.assertEqual(
            [seen.change for seen in net.changes(MemberChange.NAME_TAKEN)], [MemberChange.NAME_TAKEN]
        )
        self.assertEqual(net.nodes["m0"].core.members.by_name["m9"].address, other.address)

    def twin(self, net: Net, name: str) -> Node:
        """Another member under a name that is in use, at another address."""
        first = net.nodes.pop(name)
        twin = net.start(name, ("m0",), port=8_888)
        net.nodes[name], net.nodes["twin"] = first, twin
        return twin

    def test_loss_doubles_and_reordering(self) -> None:
        for seed in range(8):
            net = cluster(5, seed)
            net.loss, net.double, net.delay_ms = 0.1, 0.2, (0.2, 12.0)
            net.run(30_000.0)
            self.assert_no_deaths(net)
            self.assertGreater(net.refused[DropReason.REPLAYED], 0)
            net.loss = 0.3
            net.run(30_000.0)
            net.loss = 0.0
            self.settle(net)

    def test_keys_are_rotated_under_loss_without_a_death(self) -> None:
        old, new = key_from_secret(b"o" * 32), key_from_secret(b"n" * 32)
        net = Net(4)
        for n in range(4):
            net.start(f"m{n}", ("m0",) if n else (), keys=(old,))
        net.run(4_000.0)
        net.loss = 0.1
        for ring in ((old, new), (new, old), (new,)):  # known to all, then sealing, then alone
            for node in net.nodes.values():
                node.seal.replace_keys(ring)
                net.run(1_500.0)
        self.settle(net)
        self.assert_no_deaths(net)
        self.assertEqual(net.refused[DropReason.UNKNOWN_KEY], 0)

    def test_two_runs_of_a_seed_are_the_same(self) -> None:
        def story(seed: int) -> list[str]:
            net = cluster(6, seed)
            net.loss = 0.2
            net.kill("m1")
            net.run(10_000.0)
            return [*map(repr, net.seen), repr(net.bytes)]

        self.assertEqual(story(5), story(5))
        self.assertNotEqual(story(5), story(6))


class Schedules(unittest.TestCase):
    def test_after_any_schedule_of_troubles_all_agree_again(self) -> None:
        for seed in range(150):
            net = self.play(seed)
            self.assertTrue(net.agreed(), (seed, {n: net.live_as_seen_by(n) for n in net.nodes}))

    def play(self, seed: int) -> Net:
        draw = random.Random(seed)
        net = cluster(draw.choice((3, 4, 5)), seed, settle_ms=2_000.0)
        names = list(net.nodes)
        for _ in range(draw.randrange(3, 9)):
            name = draw.choice(names)
            match draw.randrange(7):
                case 0:
                    net.kill(name)
                case 1:
                    net.start(name, ("m0", "m1"))
                case 2:
                    net.stop(name, draw.uniform(10.0, 4_000.0))
                case 3:
                    net.loss = draw.choice((0.0, 0.1, 0.3))
                case 4:
                    one_way = draw.random() < 0.5
                    net.blocked = lambda s, t, name=name, one_way=one_way: (  # type: ignore[misc]
                        s == name or (t == name and not one_way)
                    )
                case 5:
                    net.blocked = lambda s, t: False
                case 6:
                    net.nodes[name].clock_off = draw.uniform(-5_000.0, 5_000.0)
            net.run(draw.uniform(0.0, 3_000.0))
        net.loss, net.blocked = 0.0, lambda s, t: False
        net.run(25_000.0)
        return net


class Seals(unittest.TestCase):
    def setUp(self) -> None:
        self.key = key_from_secret(b"k" * 32)
        self.seal, self.other = (
            MessageAuthenticator((self.key,), 1_000.0),
            MessageAuthenticator((self.key,), 1_000.0),
        )
        self.ping = encode(Ping(sender="a", run_id=1, sequence=2, target="b", target_run_id=3))

    def test_what_was_changed_at_any_byte_is_dropped(self) -> None:
        good = self.seal.sign(self.ping, START_MS, 7)
        for place in range(len(good)):
            bad = good[:place] + bytes([good[place] ^ 1]) + good[place + 1 :]
            self.assertIsInstance(self.other.verify(bad, START_MS), DropReason, place)
        for length in range(len(good)):
            self.assertIsInstance(self.other.verify(good[:length], START_MS), DropReason, length)
        self.assertEqual(self.other.verify(good, START_MS), self.ping)

    def test_old_future_and_repeated_datagrams_are_dropped(self) -> None:
        good = self.seal.sign(self.ping, START_MS, 7)
        self.assertIs(self.other.verify(good, START_MS + 1_001.0), DropReason.STALE)
        self.assertIs(self.other.verify(good, START_MS - 1_001.0), DropReason.STALE)
        self.assertEqual(self.other.verify(good, START_MS + 999.0), self.ping)
        self.assertIs(self.other.verify(good, START_MS + 999.0), DropReason.REPLAYED)
        self.assertIs(self.other.verify(bytes(MAX_DATAGRAM_BYTES + 1), START_MS), DropReason.OVERSIZED)
        again = self.seal.sign(self.ping, START_MS, 8)  # the same words anew are no replay
        self.assertEqual(self.other.verify(again, START_MS), self.ping)

    def test_a_full_memory_of_replays_lets_none_through(self) -> None:
        small = MessageAuthenticator((self.key,), 1_000.0, max_replay_tags=2)
        sealed = [self.seal.sign(self.ping, START_MS, n) for n in range(3)]
        found = [small.verify(data, START_MS) for data in (*sealed, sealed[0])]
        self.assertEqual(found, [self.ping, self.ping, DropReason.REPLAYED, DropReason.REPLAYED])
        late = self.seal.sign(self.ping, START_MS + 2_500.0, 9)
        self.assertEqual(small.verify(late, START_MS + 2_500.0), self.ping)

    def test_no_datagram_is_too_large_whatever_is_known(self) -> None:
        net = cluster(40, 2, settle_ms=4_000.0)
        for node in net.nodes.values():
            for out in node.core.on_sync_failed(("10.0.0.1", 1)):
                assert isinstance(out, SendDatagram)
                size = len(encode(out.message)) + OVERHEAD_BYTES
                self.assertLessEqual(size, MAX_DATAGRAM_BYTES)

    def test_noise_is_malformed_and_never_more_than_that(self) -> None:
        draw = random.Random(1)
        rumour = MemberUpdate("b", "10.0.0.1", 1, 2, 3, MemberState.ALIVE)
        good = encode(Ping(sender="a", run_id=1, target="b", target_run_id=3, updates=[rumour]))
        for _ in range(3_000):
            data = bytearray(good)
            for _ in range(draw.randrange(1, 4)):
                data[draw.randrange(len(data))] = draw.randrange(256)
            try:
                decode(bytes(data[: draw.randrange(1, len(data) + 1)]))
            except MalformedMessageError:
                continue

    def test_a_key_file_is_checked_and_no_key_is_told(self) -> None:
        secret = "ab" * 32
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "keys"
            for text, mode, why in (
                (secret, 0o644, "others than its owner may read it"),
                ("", 0o600, "no key"),
                ("zz" * 32, 0o600, "key 1 is not"),
                ("ab" * 31, 0o600, "key 1 is not"),
                (f"{secret}\n{secret}", 0o600, "twice"),
            ):
                path.write_text(text)
                path.chmod(mode)
                with self.assertRaises(ConfigError) as caught:
                    load_key_ring(path)
                self.assertIn(why, str(caught.exception))
                self.assertNotIn(secret[:8], str(caught.exception))
            path.write_text(f"# the second one is on its way out\n{secret}\n{'cd' * 40}\n")
            path.chmod(0o600)
            keys = load_key_ring(path)
        self.assertEqual([len(key.secret) for key in keys], [32, 40])
        self.assertNotIn(secret[:8], repr(keys) + str(keys[0]))


class Awareness(unittest.TestCase):
    def test_who_misses_answers_doubts_itself_first(self) -> None:
        """One whose messages are lost both ways slows down, and accuses later than it would."""
        net = cluster(6, 3, MembershipConfig())
        net.blocked = lambda source, target: "m0" in (source, target)
        net.run(1_500.0)
        self.assertGreater(net.nodes["m0"].core.health_score, 2)
        self.assertEqual(net.nodes["m3"].core.health_score, 0)


class Loopback(unittest.IsolatedAsyncioTestCase):
    async def start(
        self, name: str, seeds: tuple[tuple[str, int], ...], key: bytes = b"k" * 32
    ) -> MembershipTransport:
        deadlines = LoopTimer(asyncio.get_running_loop(), unix_ms).deadlines
        address = ("127.0.0.1", 0)
        core = Membership(name, address, seeds, MembershipConfig(), random.Random(name), unix_ms())
        networks = (ipaddress.ip_network("127.0.0.0/8"),)
        seal = MessageAuthenticator((key_from_secret(key),), 30_000.0)
        members = MembershipTransport(core, seal, networks, unix_ms, deadlines, Counters())
        await members.listen()
        return members

    async def test_members_meet_tell_news_and_see_a_leave_and_a_death(self) -> None:
        first = await self.start("a", ())
        seeds = (("127.0.0.1", first.core.local.port),)
        second, third = await self.start("b", seeds), await self.start("c", seeds)
        all_three = {"a": 1.0, "b": 1.0, "c": 1.0}
        await until(lambda: all(m.core.live_weights() == all_three for m in (first, second, third)))
        told: list[UserEvent] = []
        third.on_event = told.append
        first.publish_event(UserEvent("load/box-1", "a", 1, unix_ms(), "ok", 1.5, {"util": 0.25}))
        await until(lambda: bool(told))
        self.assertEqual((told[0].task, told[0].load), ("load/box-1", {"util": 0.25}))
        second.leave()
        await until(lambda: first.core.live_weights() == third.core.live_weights() == {"a": 1.0, "c": 1.0})
        self.assertEqual(first.counters["members.left"], 1)
        assert third._transport is not None
        third.close()  # without a word
        await until(lambda: first.core.live_weights() == {"a": 1.0})
        self.assertEqual(first.counters["members.died"], 1)
        first.leave()

    async def test_who_has_no_key_or_another_network_is_counted_and_answered_by_nothing(self) -> None:
        member = await self.start("a", ())
        stranger = await self.start("b", (("127.0.0.1", member.core.local.port),), key=b"x" * 32)
        await until(lambda: member.counters["members.dropped.unknown_key"] > 0)
        member.networks = (ipaddress.ip_network("10.0.0.0/8"),)
        await until(lambda: member.counters["members.dropped.network"] > 0)
        self.assertEqual(stranger.counters["members.datagrams"], 0)
        self.assertEqual(member.core.live_weights(), {"a": 1.0})
        member.leave()
        stranger.leave()

    async def test_what_datagrams_lost_is_made_good_over_a_stream(self) -> None:
        first = await self.start("a", ())
        second = await self.start("b", (("127.0.0.1", first.core.local.port),))
        await until(lambda: len(first.core.live_weights()) == len(second.core.live_weights()) == 2)
        await until(lambda: not second.streams.is_syncing and not first.streams.is_syncing)
        for n in range(300):  # far more than a datagram holds; none of it is ever gossiped
            first.core.dissemination.learn_event(UserEvent(f"load/box-{n}", "a", 1, unix_ms(), "ok", 1.0))
        first.core.dissemination.queued_events.clear()
        told: list[UserEvent] = []
        second.on_event = told.append
        second.streams.start_sync(("127.0.0.1", first.core.local.port))
        await until(lambda: len(told) == 300)
        await until(lambda: not second.streams.is_syncing)
        before = second.counters["members.exchanges_same"]
        second.streams.start_sync(("127.0.0.1", first.core.local.port))
        await until(lambda: second.counters["members.exchanges_same"] == before + 1)
        self.assertEqual(len(told), 300)
        first.leave()
        second.leave()

    async def test_noise_and_strangers_on_a_stream_are_cut_off_without_a_word(self) -> None:
        member = await self.start("a", ())
        stranger = MessageAuthenticator((key_from_secret(b"x" * 32),), 30_000.0)
        digest = encode(Digest(sender="b", run_id=1, digest=2))
        good = MessageAuthenticator((key_from_secret(b"k" * 32),), 30_000.0).sign(digest, unix_ms(), 1)
        for data, why in (
            (b"\xff\xff\xff\xff", "oversized"),
            (LENGTH.pack(4) + b"noise", "malformed"),
            (LENGTH.pack(len(good)) + stranger.sign(digest, unix_ms(), 1), "unknown_key"),
            (LENGTH.pack(len(good)) + bytes([*good[:-1], good[-1] ^ 1]), "forged"),
        ):
            reader, writer = await asyncio.open_connection("127.0.0.1", member.core.local.port)
            writer.write(data)
            self.assertEqual(await reader.read(), b"", why)
            self.assertEqual(member.counters[f"members.dropped.{why}"], 1)
            writer.close()
        reader, writer = await asyncio.open_connection("127.0.0.1", member.core.local.port)
        writer.write(LENGTH.pack(len(good)) + good)
        self.assertGreater(len(await reader.read(4)), 0)
        writer.close()  # in the middle of an exchange
        await until(lambda: member.counters["members.exchanges_broken"] == 1)
        again, writer = await asyncio.open_connection("127.0.0.1", member.core.local.port)
        writer.write(LENGTH.pack(len(good)) + good)  # somebody who has recorded it says it once more
        self.assertEqual(await again.read(), b"")
        self.assertEqual(member.counters["members.dropped.replayed"], 1)
        writer.close()
        member.leave()
