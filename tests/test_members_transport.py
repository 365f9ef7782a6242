"""Members on loopback sockets: datagrams, streams, counters, and rejected messages of unauthorized hosts."""

import asyncio
import ipaddress
import random
import unittest

from gladewalk.core.clocks import AnchoredClock
from gladewalk.core.counters import Counters
from gladewalk.core.loop_timer import LoopTimer
from gladewalk.members.authenticator import MessageAuthenticator, key_from_secret
from gladewalk.members.config import MembershipConfig
from gladewalk.members.messages import Digest, UserEvent, encode
from gladewalk.members.stream import LENGTH_PREFIX
from gladewalk.members.swim import Membership
from gladewalk.members.transport import MembershipTransport
from gladewalk.rehearsal.director_harness import wait_until

steady_ms = AnchoredClock()


class Loopback(unittest.IsolatedAsyncioTestCase):
    async def start(
        self, name: str, seeds: tuple[tuple[str, int], ...], key: bytes = b"k" * 32
    ) -> MembershipTransport:
        deadlines = LoopTimer(asyncio.get_running_loop(), steady_ms).deadlines
        address = ("127.0.0.1", 0)
        core = Membership(name, address, seeds, MembershipConfig(), random.Random(name), steady_ms())
        networks = (ipaddress.ip_network("127.0.0.0/8"),)
        authenticator = MessageAuthenticator((key_from_secret(key),), 30_000.0)
        members = MembershipTransport(core, authenticator, networks, steady_ms, deadlines, Counters())
        await members.listen()
        return members

    async def test_members_join_share_events_and_detect_a_departure_and_a_death(self) -> None:
        first = await self.start("a", ())
        seeds = (("127.0.0.1", first.core.local.port),)
        second, third = await self.start("b", seeds), await self.start("c", seeds)
        all_three = {"a": 1.0, "b": 1.0, "c": 1.0}
        await wait_until(
            lambda: all(member.core.live_weights() == all_three for member in (first, second, third))
        )
        events: list[UserEvent] = []
        third.on_event = events.append
        first.publish_event(UserEvent("load/box-1", "a", 1, steady_ms(), "ok", 1.5, {"util": 0.25}))
        await wait_until(lambda: bool(events))
        assert (events[0].task, events[0].load) == ("load/box-1", {"util": 0.25})
        second.leave()
        await wait_until(
            lambda: first.core.live_weights() == third.core.live_weights() == {"a": 1.0, "c": 1.0}
        )
        assert first.counters["members.left"] == 1
        assert third._transport is not None
        third.close()  # without announcing its departure
        await wait_until(lambda: first.core.live_weights() == {"a": 1.0})
        assert first.counters["members.died"] == 1
        first.leave()

    async def test_no_message_is_accepted_before_a_member_has_bound_its_port(self) -> None:
        """Changes logged before the member's start event would be attributed to its previous run."""
        member = await self.start("a", ())
        allowed_while_binding: list[bool] = []
        member.close()
        bind = member._bind

        async def bind_and_check(host: str, port: int) -> int:
            bound_port = await bind(host, 0)
            allowed_while_binding.append(member.is_allowed("127.0.0.1"))
            return bound_port

        member._bind = bind_and_check  # type: ignore[method-assign]
        await member.listen()
        assert (allowed_while_binding, member.is_allowed("127.0.0.1")) == ([False], True)
        member.close()

    async def test_members_without_a_known_key_or_from_another_network_get_no_response(self) -> None:
        member = await self.start("a", ())
        unauthorized = await self.start("b", (("127.0.0.1", member.core.local.port),), key=b"x" * 32)
        await wait_until(lambda: member.counters["members.dropped.unknown_key"] > 0)
        member.networks = (ipaddress.ip_network("10.0.0.0/8"),)
        await wait_until(lambda: member.counters["members.dropped.network"] > 0)
        assert unauthorized.counters["members.datagrams"] == 0
        assert member.core.live_weights() == {"a": 1.0}
        member.leave()
        unauthorized.leave()

    async def test_a_synchronization_delivers_events_that_gossip_did_not(self) -> None:
        first = await self.start("a", ())
        second = await self.start("b", (("127.0.0.1", first.core.local.port),))
        await wait_until(lambda: len(first.core.live_weights()) == len(second.core.live_weights()) == 2)
        await wait_until(lambda: not second.streams.is_syncing and not first.streams.is_syncing)
        for number in range(300):  # far more than fits into a datagram; none of them is ever gossiped
            first.core.dissemination.learn_event(
                UserEvent(f"load/box-{number}", "a", 1, steady_ms(), "ok", 1.0)
            )
        first.core.dissemination.queued_events.clear()
        events: list[UserEvent] = []
        second.on_event = events.append
        second.streams.start_sync(("127.0.0.1", first.core.local.port))
        await wait_until(lambda: len(events) == 300)
        await wait_until(lambda: not second.streams.is_syncing)
        before = second.counters["members.exchanges_same"]
        second.streams.start_sync(("127.0.0.1", first.core.local.port))
        await wait_until(lambda: second.counters["members.exchanges_same"] == before + 1)
        assert len(events) == 300
        first.leave()
        second.leave()

    async def test_invalid_and_unauthorized_stream_messages_are_disconnected_without_a_response(self) -> None:
        member = await self.start("a", ())
        unauthorized = MessageAuthenticator((key_from_secret(b"x" * 32),), 30_000.0)
        digest = encode(Digest(sender="b", run_id=1, digest=2))
        good = MessageAuthenticator((key_from_secret(b"k" * 32),), 30_000.0).sign(digest, steady_ms(), 1)
        for data, drop_reason in (
            (b"\xff\xff\xff\xff", "oversized"),
            (LENGTH_PREFIX.pack(4) + b"noise", "malformed"),
            (LENGTH_PREFIX.pack(len(good)) + unauthorized.sign(digest, steady_ms(), 1), "unknown_key"),
            (LENGTH_PREFIX.pack(len(good)) + bytes([*good[:-1], good[-1] ^ 1]), "forged"),
        ):
            reader, writer = await asyncio.open_connection("127.0.0.1", member.core.local.port)
            writer.write(data)
            assert await reader.read() == b"", drop_reason
            assert member.counters[f"members.dropped.{drop_reason}"] == 1
            writer.close()
        reader, writer = await asyncio.open_connection("127.0.0.1", member.core.local.port)
        writer.write(LENGTH_PREFIX.pack(len(good)) + good)
        assert len(await reader.read(4)) > 0
        writer.close()  # in the middle of a synchronization
        await wait_until(lambda: member.counters["members.exchanges_broken"] == 1)
        replay_reader, writer = await asyncio.open_connection("127.0.0.1", member.core.local.port)
        writer.write(LENGTH_PREFIX.pack(len(good)) + good)  # a replay of the recorded message
        assert await replay_reader.read() == b""
        assert member.counters["members.dropped.replayed"] == 1
        writer.close()
        member.leave()
