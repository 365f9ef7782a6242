"""Stories over loopback: a director in this process, or as a process, against scripted peers."""

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import unittest
from pathlib import Path

from gladewalk.config import read
from gladewalk.counters import Counters
from gladewalk.net.clients import ASK_MS, REST_MS, SPARE_CONNECTIONS
from gladewalk.net.requests import BadRequest, read_ask
from gladewalk.rehearsal.peers import (
    Coordinator,
    Heard,
    Rehearsal,
    ScriptedPeer,
    config_for,
    read_message,
    request,
    until,
)

ROOT = Path(__file__).parent.parent
BYTES = bytes(range(256)) * 64


async def hit(heard: Heard) -> None:
    fields = {"X_Remark": "mem", "Tag": "4be0", "Made_At": "1764576000123", "X_Meter": "util:0.2;x0:0.7"}
    await heard.answer(200, BYTES, **fields)


async def miss_then_fill(heard: Heard) -> None:
    if "miss-to" in heard.headers:
        await heard.answer(200, BYTES, X_Remark="parent", Fill_Wait="3.5")
    else:
        await heard.answer(404)


async def silent(heard: Heard) -> None:
    await asyncio.Event().wait()


async def half(heard: Heard) -> None:
    heard.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + b"x" * 300)
    await heard.writer.drain()
    heard.writer.transport.abort()


async def reset(heard: Heard) -> None:
    heard.writer.transport.abort()


class Stories(unittest.IsolatedAsyncioTestCase):
    async def test_a_miss_is_filled_from_the_parent_and_passed_on_unchanged(self) -> None:
        cache, parent = ScriptedPeer(miss_then_fill), ScriptedPeer(hit, "p1", "parent", "north")
        async with Rehearsal([cache, parent]) as world:
            path = "/invoke/lot-page/7f3a9c21e0b4d655?nth=3"
            status, _, body = await world.ask(path, trace="00c0ffee00c0ffee")
        self.assertEqual((status, body), (200, BYTES))
        lookup, fill = cache.heard
        self.assertEqual({heard.path for heard in cache.heard}, {"/o/lot-page/7f3a9c21e0b4d655/3"})
        self.assertEqual(lookup.headers["x-ticket"], "00c0ffee00c0ffee")
        self.assertNotIn("miss-to", lookup.headers)
        self.assertEqual((fill.headers["miss-to"], fill.headers["store-as"]), ("p1", "1"))
        self.assertEqual(cache.connections, 1)  # the second attempt took the first one's connection

    async def test_a_copy_that_the_client_holds_is_confirmed_without_bytes(self) -> None:
        async def script(heard: Heard) -> None:
            await heard.answer(304 if heard.headers.get("have") == "4be0" else 500, Tag="4be0")

        async with Rehearsal([ScriptedPeer(script)]) as world:
            status, fields, body = await world.ask(If_None_Match='"4be0"')
        self.assertEqual((status, fields["etag"], body), (304, '"4be0"', b""))

    async def test_an_answer_that_breaks_off_is_seen_as_cut_by_the_client(self) -> None:
        cache = ScriptedPeer(half)
        async with Rehearsal([cache]) as world:
            with self.assertRaises((asyncio.IncompleteReadError, ConnectionError)):
                await world.ask()
            assert world.director is not None
            self.assertEqual(world.director.counters["answers.cut"], 1)
        self.assertEqual(len(cache.heard), 1)  # begun, so nobody else may serve it

    async def spoilt_by(self, raw: bytes) -> tuple[Counters, ScriptedPeer]:
        """One request while its home answers with these bytes, and the other cache as it should."""

        async def script(heard: Heard) -> None:
            heard.writer.write(raw)
            await heard.writer.drain()
            await asyncio.Event().wait()  # the connection stays open

        bad, good = ScriptedPeer(script), ScriptedPeer(hit, "c2", size=1e-6)
        async with Rehearsal([bad, good]) as world:
            assert world.director is not None
            status, _, body = await world.ask()
            self.assertEqual((status, body), (200, BYTES))
            return world.director.counters, bad

    async def test_a_spoilt_answer_reaches_no_client_and_another_cache_is_asked(self) -> None:
        head = b"HTTP/1.1 200 OK\r\n"
        for raw in (
            head + b"Content-Length: 5\r\nContent-Length: 9\r\n\r\nabcde",
            head + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            head + b"Content-Length: 3000000000\r\n\r\n" + b"x" * 1000,
            head + b"Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nnoise\r\n",
            head + b"\r\nno length, so no end that can be told",
            head + b"X-Pad: pppppppppppppppppppp\r\n" * 2_000,
            b"\x00\x01 noise",
        ):
            with self.subTest(raw[:70]):
                counters, bad = await self.spoilt_by(raw)
                self.assertEqual(len(bad.heard), 1)
                self.assertEqual((counters["caches.unreadable_answer"], counters["answers.cut"]), (1, 0))

    async def test_what_lies_behind_an_answer_is_never_taken_for_the_next_one(self) -> None:
        copy = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfake"
        for behind in (copy, b"noise", b"\r\n\r\nHTTP/1.1 200"):

            async def script(heard: Heard, behind: bytes = behind) -> None:
                heard.writer.write(b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n")
                raw = f"HTTP/1.1 200 OK\r\nContent-Length: {len(heard.path)}\r\n\r\n{heard.path}".encode()
                heard.writer.write(raw + behind)

            cache = ScriptedPeer(script)
            async with Rehearsal([cache]) as world:
                reader, writer = await world.client()
                paths = [f"/lot-page/{key:x}/0" for key in range(4)]
                for path in paths:  # all at once: the next attempt is ready as soon as a connection is free
                    writer.write(request(f"/invoke{path[:-2]}"))
                answers = [await read_message(reader) for _ in paths]
                writer.close()
            self.assertEqual([body.decode() for _, _, body in answers], [f"/o{path}" for path in paths])
            self.assertEqual(cache.connections, 4)

    async def test_what_was_dialled_at_an_old_address_carries_nothing_for_the_new_one(self) -> None:
        old, new = ScriptedPeer(hit), await ScriptedPeer(hit).start()
        async with Rehearsal([old]) as world:
            assert world.director is not None
            caches = world.director.caches
            await world.ask()
            (connection,) = caches.upstreams["c1"].idle
            caches.upstreams["c1"].idle.clear()
            world.coordinator.tell_list(new)  # the same server at another place
            await until(lambda: world.director is not None and world.director.feed.last == 2)
            caches.upstreams["c1"].rest(connection)
            await world.ask()
            gone = ScriptedPeer(hit, state="DELETED", address=new.address)
            world.coordinator.tell_list(gone)
            await until(lambda: not caches.upstreams)
        new.stop()
        self.assertEqual((len(old.heard), len(new.heard)), (1, 1))

    async def test_a_bid_that_may_have_run_is_never_sent_again(self) -> None:
        cache, origin = ScriptedPeer(reset), ScriptedPeer(reset, "o", "origin", "north")
        async with Rehearsal([cache, origin]) as world:
            status, _, _ = await world.ask("/invoke/bid/b1", method="PUT", body=b"10 boxes of hake")
        self.assertEqual(status, 502)
        self.assertEqual([heard.body for heard in cache.heard + origin.heard], [b"10 boxes of hake"])

    async def test_a_refusal_comes_with_the_time_to_come_back(self) -> None:
        async with Rehearsal([ScriptedPeer(hit, state="DRAINING")]) as world:
            status, fields, _ = await world.ask()
            assert world.director is not None
            self.assertEqual(world.director.exchange.owed, 0)
        self.assertEqual((status, fields["retry-after"]), (503, "1"))

    async def test_a_silent_cache_costs_no_request_its_final_answer(self) -> None:
        async with Rehearsal([ScriptedPeer(silent)]) as world:
            status, _, _ = await world.ask(wait_ms=300.0)
        self.assertEqual(status, 502)

    async def test_a_client_that_leaves_takes_its_attempt_with_it(self) -> None:
        cache = ScriptedPeer(silent)
        async with Rehearsal([cache]) as world:
            _, writer = await world.client()
            writer.write(request("/invoke/lot-video/a1"))
            await until(lambda: len(cache.heard) == 1)
            writer.transport.abort()
            assert world.director is not None
            exchange, counters = world.director.exchange, world.director.counters
            await until(lambda: not exchange.taken)
            self.assertEqual((counters["requests.left_by_client"], counters["attempts.cancelled"]), (1, 1))
            self.assertFalse(exchange.core.open or exchange.core.flights)

    async def test_all_clients_that_wait_are_accepted_at_once(self) -> None:
        async with Rehearsal([ScriptedPeer(hit)]) as world:
            assert world.director is not None
            front = world.director.front
            waiting = [socket.create_connection(front.address) for _ in range(50)]  # no turn of the loop yet
            front.accept()
            await until(lambda: len(front.connections) == 50, 5.0)
            self.assertEqual((front.counters["clients.connected"], front.held), (50, 50))
            for client in waiting:
                client.sendall(request("/invoke/lot-page/a1"))
            await until(lambda: len(front.resting) == 50)
            more = [socket.create_connection(front.address) for _ in range(front.connection_limit - 50)]
            front.accept()
            for _ in range(4):  # as long as the loop takes to make their transports
                front.accept()
                await asyncio.sleep(0)
            await until(lambda: len(front.connections) == front.connection_limit, 5.0)
            self.assertEqual((front.held, front.counters["clients.made_room"]), (front.connection_limit, 0))
            waiting += more
            for client in waiting:
                client.close()

    async def test_who_rests_or_says_nothing_makes_room_for_who_asks(self) -> None:
        async with Rehearsal([ScriptedPeer(hit)]) as world:
            assert world.director is not None
            front, writers = world.director.front, []
            for number in range(front.connection_limit):
                reader, writer = await world.client()
                writers.append(writer)
                if number % 2:
                    writer.write(request("/invoke/lot-page/a1"))
                    await read_message(reader)
            for _ in range(front.connection_limit):
                self.assertEqual((await world.ask())[0], 200)
            self.assertLessEqual(len(front.connections), front.connection_limit + SPARE_CONNECTIONS)
            crowd = [await world.client() for _ in range(3 * front.connection_limit)]
            self.assertLessEqual(len(front.connections), front.connection_limit + SPARE_CONNECTIONS)
            self.assertEqual((await world.ask())[0], 200)
            self.assertLessEqual(len(front.connections), front.connection_limit + SPARE_CONNECTIONS)
            self.assertGreater(front.counters["clients.made_room"], 0)
            for _, writer in crowd:
                writers.append(writer)
            for writer in writers:
                writer.close()

    async def test_a_request_that_lies_unread_keeps_its_connection(self) -> None:
        async with Rehearsal([ScriptedPeer(hit)]) as world:
            assert world.director is not None
            front = world.director.front
            reader, writer = await world.client()
            writer.write(request("/invoke/lot-page/a1"))
            await read_message(reader)
            (connection,) = front.resting
            sock = writer.get_extra_info("socket")
            os.write(sock.fileno(), request("/invoke/lot-page/a1"))  # at once: no turn of the loop in between
            front._make_room()
            self.assertFalse(connection.leaving)
            self.assertIn(" 200 ", (await read_message(reader))[0])
            front._make_room()
            self.assertTrue(connection.leaving)
            writer.close()

    async def test_who_owes_a_request_or_rests_has_a_limit_of_time(self) -> None:
        async with Rehearsal([ScriptedPeer(hit)]) as world:
            assert world.director is not None
            front = world.director.front
            silent_one, half_one, resting = [await world.client() for _ in range(3)]
            half_one[1].write(request("/invoke/lot-page/a1")[:-9])
            resting[1].write(request("/invoke/lot-page/a1"))
            await read_message(resting[0])
            await until(lambda: (len(front.owing), len(front.resting)) == (2, 1))
            clock = front.clock
            front.clock = lambda: clock() + ASK_MS + 1.0
            self.assertEqual(await silent_one[0].read(), b"")
            front.clock = lambda: clock() + front.arrive_ms + 1.0
            self.assertIn(b" 408 ", await half_one[0].read())
            front.clock = lambda: clock() + max(front.arrive_ms, REST_MS) + 1.0
            self.assertEqual(await resting[0].read(), b"")
            for _, writer in (silent_one, half_one, resting):
                writer.close()
            await until(lambda: not front.connections)
            self.assertFalse(front.owing or front.resting or front.lingering or front.leaving)

    async def test_a_body_whose_end_is_in_doubt_is_refused_and_nothing_of_it_passed_on(self) -> None:
        cache = ScriptedPeer(hit)
        hidden = request("/invoke/lot-page/a2")
        cases = {
            "Content-Length: 4\r\nTransfer-Encoding: chunked": 400,
            "Transfer-Encoding: chunked\r\nContent-Length: 4": 400,
            "Content-Length: 4\r\nContent-Length: 300": 400,
            "Content-Length: -1": 400,
            "Content-Length: 99999999999999999999999": 400,
            "Transfer-Encoding: gzip": 400,
            "Trace-Id: 0000000000000000": 400,  # a second one
            "Content-Length: 60000000": 413,
        }
        async with Rehearsal([cache]) as world:
            for field, status in cases.items():
                reader, writer = await world.client()
                head = request("/invoke/bid/a1", method="PUT").replace(b"\r\n\r\n", b"\r\n")
                writer.write(head + field.encode() + b"\r\n\r\n0\r\n\r\n" + hidden)
                said = await reader.read()  # one answer, then the end
                self.assertTrue(said.startswith(f"HTTP/1.1 {status} ".encode()), (field, said))
                self.assertEqual(said.count(b"HTTP/1.1"), 1)
                writer.close()
        self.assertEqual(cache.heard, [])

    async def test_a_head_that_never_ends_is_refused(self) -> None:
        async with Rehearsal([ScriptedPeer(hit)]) as world:
            reader, writer = await world.client()
            writer.write(b"GET /invoke/lot-page/a1 HTTP/1.1\r\nX-Endless: ")
            for _ in range(40):
                writer.write(b"x" * 1000)
                await writer.drain()
                await asyncio.sleep(0)
            self.assertIn(b" 431 ", await reader.read())
            writer.close()

    async def test_a_refusal_is_read_by_who_still_sends(self) -> None:
        async with Rehearsal([ScriptedPeer(hit)]) as world:
            reader, writer = await world.client()
            writer.write(request("/invoke/bid/a1", method="PUT", Content_Length="60000000"))
            for _ in range(200):
                writer.write(b"x" * 50_000)
                await writer.drain()
            self.assertIn(b" 413 ", await reader.read())
            writer.close()

    async def test_the_id_of_an_open_request_serves_no_other_object(self) -> None:
        release = asyncio.Event()

        async def held(heard: Heard) -> None:
            await release.wait()
            await hit(heard)

        cache = ScriptedPeer(held)
        async with Rehearsal([cache]) as world:
            assert world.director is not None
            first = asyncio.create_task(world.ask("/invoke/lot-page/a1"))
            await until(lambda: len(cache.heard) == 1)
            self.assertEqual((await world.ask("/invoke/lot-page/a2"))[0], 409)
            release.set()
            self.assertEqual((await first)[0], 200)
            self.assertEqual((await world.ask("/invoke/lot-page/a2"))[0], 200)
            self.assertEqual(world.director.front.open, {})

    async def test_one_trace_may_come_twice_and_requests_ahead_wait_their_turn(self) -> None:
        async with Rehearsal([ScriptedPeer(hit)]) as world:
            reader, writer = await world.client()
            ask = request("/invoke/lot-page/a1")
            writer.write(ask + request("/_health") + ask)
            answers = [await read_message(reader) for _ in range(3)]
            writer.close()
        self.assertEqual([len(body) for _, _, body in answers], [len(BYTES), 0, len(BYTES)])

    async def test_the_feed_goes_on_from_the_last_event_after_a_cut(self) -> None:
        old, new = ScriptedPeer(hit), ScriptedPeer(hit, "c2")
        async with Rehearsal([old, new]) as world:
            assert world.director is not None
            feed = world.director.feed
            await until(lambda: world.coordinator.follows == [1])
            old.state, new.address = "DELETED", old.address  # the newcomer stands where the old one stood
            world.coordinator.cut()
            world.coordinator.tell_list(old, new)
            await until(lambda: feed.last == 2)
            self.assertEqual(world.coordinator.follows[:2], [1, 1])
            for key in range(8):
                self.assertEqual((await world.ask(f"/invoke/lot-page/{key:x}"))[0], 200)
            self.assertNotIn("c1", world.director.exchange.core.servers)

    async def test_bad_input_is_answered_and_counted(self) -> None:
        bad = {
            "/invoke/lot-page/xyz": 400,
            "/invoke/lot-page/a1?nth=-1": 400,
            "/elsewhere": 404,
            "/invoke/no-such-class/a1": 404,
            "/invoke/bid/a1": 405,
            "/invoke/lot-page/a1?nth=1&x=" + "y" * 20_000: 431,
        }
        async with Rehearsal([ScriptedPeer(hit)]) as world:
            for path, status in bad.items():
                self.assertEqual((await world.ask(path))[0], status, path[:40])
            self.assertEqual((await world.ask(wait_ms=float("nan")))[0], 400)
            self.assertEqual((await world.ask(method="DELETE"))[0], 405)
            self.assertEqual((await world.ask(method="PUT", body=b"x" * 70_000))[0], 413)
            reader, writer = await world.client()
            writer.write(b"\x16\x03\x01\r\n\r\n")
            self.assertIn("400", (await read_message(reader))[0])
            writer.close()
            assert world.director is not None
            self.assertEqual(world.director.counters["clients.bad_input_400"], 4)

    def test_a_number_of_no_use_is_bad_input(self) -> None:
        for value in (b"", b"-1", b"inf", b"1e300", b"1_0", b"9999999"):
            with self.assertRaises(BadRequest):
                read_ask("GET", "/invoke/c/1", "", {b"trace-id": b"1f", b"max-wait-ms": value}, b"")


class Following(unittest.IsolatedAsyncioTestCase):
    async def test_a_moved_coordinator_is_asked_at_once_and_the_old_one_heard_no_more(self) -> None:
        old_cache, new_cache = ScriptedPeer(hit), await ScriptedPeer(hit, "c2").start()
        other = await Coordinator().start()
        async with Rehearsal([old_cache]) as world:
            assert world.director is not None
            director, feed = world.director, world.director.feed
            await until(lambda: world.coordinator.follows == [1])
            other.events = list(world.coordinator.events)
            other.tell_list(new_cache)
            raw = config_for([old_cache], world.coordinator)
            director.apply(read({**raw, "coordinator": other.address}, {}))
            await until(lambda: feed.last == 2)
            self.assertEqual(other.follows, [1])
            world.coordinator.tell_list(old_cache)  # its number 2 is not the one that counts
            world.coordinator.cut()
            other.tell_list(ScriptedPeer(hit, "c3", address=new_cache.address))
            await until(lambda: feed.last == 3)
            self.assertEqual(set(director.caches.upstreams), {"c1", "c2", "c3"})
            self.assertEqual((other.follows, len(world.coordinator.follows)), ([1], 1))
        new_cache.stop()
        other.stop()

    async def test_half_a_line_a_repeat_and_a_number_ahead_are_made_good(self) -> None:
        cache = ScriptedPeer(hit)
        async with Rehearsal([cache]) as world:
            assert world.director is not None
            feed, coordinator = world.director.feed, world.coordinator
            await until(lambda: coordinator.follows == [1])
            purge = {"evict": {"ref": "a1", "unix_ms": 1.0}}
            line = json.dumps({"index": 2, **purge}).encode() + b"\n"
            coordinator.events.append({"index": 2, **purge})
            coordinator.write(line[:20])
            coordinator.cut()
            await until(lambda: feed.last == 2 and coordinator.follows == [1, 1])
            coordinator.write(line + line)
            coordinator.tell(**purge)
            await until(lambda: feed.last == 3)
            self.assertEqual(feed.counters["coordinator.events"], 3)  # the list, and two purges
            coordinator.events.append({"index": 4, **purge})
            coordinator.write(b"4\n")  # the number of one that never came
            await until(lambda: feed.last == 4)
            self.assertEqual(coordinator.follows, [1, 1, 3])

    async def test_a_silent_coordinator_is_asked_again(self) -> None:
        async with Rehearsal([ScriptedPeer(hit)]) as world:
            assert world.director is not None
            await until(lambda: world.coordinator.follows == [1])
            world.director.follower._silent()  # what the deadline calls
            await until(lambda: world.coordinator.follows == [1, 1])


class Program(unittest.IsolatedAsyncioTestCase):
    async def start(self, config: object) -> asyncio.subprocess.Process:
        with tempfile.NamedTemporaryFile("w", suffix=".json", delete=False) as file:
            json.dump(config, file)
        self.file = file.name
        self.addCleanup(os.unlink, file.name)
        return await asyncio.create_subprocess_exec(
            sys.executable, "-m", "gladewalk", cwd=ROOT, env={**os.environ, "NODE_CONFIG": file.name},
            stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip

    async def test_it_serves_answers_all_it_took_after_sigterm_and_ends_well(self) -> None:
        release = asyncio.Event()

        async def held(heard: Heard) -> None:
            await release.wait()
            await hit(heard)

        cache, coordinator = await ScriptedPeer(held).start(), await Coordinator().start()
        program = await self.start(config_for([cache], coordinator))
        assert program.stderr is not None
        while (said := json.loads(await program.stderr.readline()))["event"] != "serving":
            pass
        reader, writer = await asyncio.open_connection(*said["listen"])
        healths: list[str] = []
        while not healths or " 503 " in healths[-1]:  # not ready until the coordinator has answered
            writer.write(request("/_health"))
            healths.append((await read_message(reader))[0])
        self.assertIn(" 200 ", healths[-1])
        writer.write(request("/invoke/lot-video/a1"))
        await until(lambda: len(cache.heard) == 1)
        program.send_signal(signal.SIGTERM)
        while json.loads(await program.stderr.readline())["event"] != "stopping":
            pass
        release.set()
        self.assertEqual((await read_message(reader))[2], BYTES)
        _, rest = await program.communicate()
        counters = json.loads(rest.splitlines()[-1])
        self.assertEqual(program.returncode, 0)
        self.assertEqual((counters["requests.taken"], counters["answers.served"]), (1, 1))
        writer.close()
        cache.stop()
        coordinator.stop()

    async def test_sighup_takes_a_new_configuration_and_a_bad_one_changes_nothing(self) -> None:
        release = asyncio.Event()

        async def held(heard: Heard) -> None:
            await release.wait()
            await hit(heard)

        cache = await ScriptedPeer(held).start()
        coordinator, other = await Coordinator().start(), await Coordinator().start()
        config = config_for([cache], coordinator)
        program = await self.start(config)
        stderr = program.stderr
        assert stderr is not None

        async def said(event: str) -> dict[str, object]:
            while (line := json.loads(await stderr.readline()))["event"] != event:
                pass
            return dict(line)

        listen = (await said("serving"))["listen"]
        assert isinstance(listen, list)
        reader, writer = await asyncio.open_connection(*listen)
        writer.write(request("/invoke/lot-video/a1"))
        await until(lambda: len(cache.heard) == 1)
        for bad in ("{", json.dumps({**config, "settings": {"classes": []}})):
            Path(self.file).write_text(bad)
            program.send_signal(signal.SIGHUP)
            await said("configuration kept")
        other.events = list(coordinator.events)
        Path(self.file).write_text(json.dumps({**config, "coordinator": other.address}))
        program.send_signal(signal.SIGHUP)
        await said("configuration taken")
        await until(lambda: other.follows == [1])
        release.set()
        self.assertEqual((await read_message(reader))[2], BYTES)  # the open request lived on
        program.send_signal(signal.SIGTERM)
        await program.communicate()
        self.assertEqual(program.returncode, 0)
        writer.close()
        for peer in (cache, coordinator, other):
            peer.stop()

    async def test_it_ends_well_though_nobody_reads_its_log(self) -> None:
        cache, coordinator = await ScriptedPeer(hit).start(), await Coordinator().start()
        program = await self.start(config_for([cache], coordinator))
        assert program.stderr is not None
        while json.loads(await program.stderr.readline())["event"] != "serving":
            pass
        program._transport.get_pipe_transport(2).close()  # type: ignore[attr-defined]
        program.send_signal(signal.SIGHUP)
        program.send_signal(signal.SIGTERM)
        self.assertEqual(await asyncio.wait_for(program.wait(), 20.0), 0)
        cache.stop()
        coordinator.stop()

    async def test_a_bad_configuration_is_one_line_and_exit_2(self) -> None:
        no_class = {"settings": {"classes": []}, "listen": "127.0.0.1:0", "coordinator": "x"}
        configs: list[object] = [{}, [], no_class]
        for config in configs:
            program = await self.start(config)
            _, said = await program.communicate()
            self.assertEqual((program.returncode, len(said.splitlines())), (2, 1), said)
