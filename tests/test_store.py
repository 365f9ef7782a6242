"""The store: cut at every byte, spoilt at every byte, refused at every call, killed and without power."""

import asyncio
import dataclasses
import errno
import json
import random
import tempfile
import unittest
from pathlib import Path
from unittest.mock import patch

import dns.name
import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule, run_state_machine_as_test

from gladewalk import interface as api
from gladewalk.cli.commands import gladewalk
from gladewalk.config.options import Options, build_options, read_option_tables
from gladewalk.config.platform import ConfigError, PlatformConfig, read_address, read_config
from gladewalk.core.counters import Counters
from gladewalk.director import Director
from gladewalk.dns.settings import DnsConfig
from gladewalk.net.environment import unix_ms
from gladewalk.policy import Dispatcher
from gladewalk.registry.records import PendingRequest
from gladewalk.rehearsal.baddisk import BadDisk, File
from gladewalk.rehearsal.peers import (
    Coordinator,
    Heard,
    Rehearsal,
    ScriptedPeer,
    config_for,
    request,
    until,
)
from gladewalk.rehearsal.resolver import Resolver
from gladewalk.store import frames, leases, warm
from gladewalk.store.choices import Segment, prefix_to_compact
from gladewalk.store.files import Folder
from gladewalk.store.frames import HEADER, Fault, Head, read_head, write_head
from gladewalk.store.log import Log, StoreFull, Terms
from gladewalk.store.recovery import recover
from gladewalk.store.writer import Policy, Writer

NOW = 1_000_000.0
SMALL = Terms(segment_most=600, limit=100_000)
Values = dict[tuple[str, str], bytes]


def held(log: Log) -> Values:
    spaces = {space for space, _ in log.state.held}
    return {(space, key): value for space in spaces for key, value in log.items(space).items()}


def story(disk: BadDisk) -> tuple[Log, list[tuple[int, Values]]]:
    """A store with every kind of record, segments and a compaction; each acknowledged state by sequence."""
    log = Log(disk, lambda: NOW, SMALL)
    acknowledged: list[tuple[int, Values]] = [(0, {})]
    draw = random.Random(3)

    def commit() -> None:
        acknowledged.append((log.commit(), held(log)))

    for n in range(40):
        log.put("purge", f"k{n % 9}", bytes([n]) * draw.randrange(1, 30))
        if n % 5 == 0:
            log.delete("purge", f"k{(n + 4) % 9}")
        if n % 7 == 0:
            log.put("lease", f"l{n}", b"x", NOW - 1.0 if n % 2 else NOW + 5.0)
        commit()
        if n == 25:
            log.compact(sorted(log.sizes)[2])
    return log, acknowledged


def files_of(disk: BadDisk) -> dict[str, bytes]:
    return {name: bytes(file.data) for name, file in disk.files.items()}


def disk_of(files: dict[str, bytes]) -> BadDisk:
    disk = BadDisk()
    disk.files = {name: File(bytearray(data), data) for name, data in files.items()}
    disk.safe_names = dict(disk.files)
    return disk


def test_a_cut_of_each_file_at_every_byte_leaves_what_was_acknowledged_before_it_or_is_refused() -> None:
    disk = BadDisk()
    log, acknowledged = story(disk)
    files = files_of(disk)
    by_sequence = dict(acknowledged)
    newest = log.names[max(log.names)]
    assert len(files) >= 4 and any(name.endswith(".c.seg") for name in files)
    for name, data in files.items():
        for size in range(len(data)):
            cut = {**files, name: data[:size]}
            try:
                found = Log(disk_of(cut), lambda: NOW, SMALL)
            except Fault as fault:
                assert name != newest, (name, size, fault)
                continue
            assert name == newest, f"{name} cut at {size} went unnoticed"
            # The newest may end anywhere: what is left was acknowledged, or is a part of one batch.
            sequence = found.state.sequence
            sequences = [s for s in by_sequence if s <= sequence]
            if sequence in by_sequence:
                assert held(found) == by_sequence[sequence], size
            else:  # between two acknowledgements: at least the one before
                before = by_sequence[max(sequences)]
                assert sum(held(found).get(slot) != value for slot, value in before.items()) <= 2
            assert size == len(data) or found.recovered.dropped or sequence in by_sequence


def test_a_spoilt_byte_is_refused_by_file_and_offset_or_was_the_newest_record() -> None:
    disk = BadDisk()
    log, acknowledged = story(disk)
    files, newest = files_of(disk), log.names[max(log.names)]
    states = [values for _, values in acknowledged]
    refused = 0
    for name, data in files.items():
        for place in range(0, len(data), 3):
            spoilt = data[:place] + bytes([data[place] ^ 0x41]) + data[place + 1 :]
            try:
                found = Log(disk_of({**files, name: spoilt}), lambda: NOW, SMALL)
            except Fault as fault:
                refused += 1
                assert fault.file in files and 0 <= fault.offset <= len(files[fault.file])
                continue
            assert name == newest and found.recovered.dropped
            assert held(found) in states[-3:], (name, place)  # of the last batch alone
    assert refused > 300


def test_a_purge_acknowledged_just_before_a_cut_is_in_force_after_it() -> None:
    disk = BadDisk()
    log = Log(disk, lambda: NOW, SMALL)
    log.put("purge", "object", b"now")
    log.commit()
    log.put("purge", "later", b"x" * 50)  # written and not acknowledged
    name = log.names[max(log.names)]
    whole = len(disk.files[name].data)
    log.commit()
    for size in range(whole, len(disk.files[name].data)):
        found = Log(disk_of({name: bytes(disk.files[name].data[:size])}), lambda: NOW)
        assert held(found) == {("purge", "object"): b"now"}
        assert bool(found.recovered.dropped) == (size > whole)


def plays(disk: BadDisk, fail_at: int, code: int) -> tuple[list[tuple[str, bytes]], bool]:
    """A story on a disk that refuses one call: what was acknowledged, and whether the store ever began."""
    disk.fail = lambda call, name, number: code if number == fail_at else 0
    acknowledged: list[tuple[str, bytes]] = []
    try:
        log = Log(disk, lambda: NOW, SMALL)
    except OSError:
        return [], False
    for n in range(14):
        log.put("s", f"k{n}", bytes([n]) * 60)
        try:
            log.commit()
        except OSError:
            continue  # it goes on: the next commit writes it too
        acknowledged = [(f"k{m}", bytes([m]) * 60) for m in range(n + 1)]
        try:
            if n in (7, 11):
                log.compact(sorted(log.sizes)[0])
        except OSError:
            continue
    return acknowledged, True


def test_a_refusal_of_any_call_loses_nothing_that_was_acknowledged() -> None:
    calm = BadDisk()
    assert len(plays(calm, -1, 0)[0]) == 14
    assert calm.calls > 40
    for fail_at in range(1, calm.calls + 1):
        for code in (errno.ENOSPC, errno.EIO):
            for seed in range(3):
                disk = BadDisk()
                acknowledged, _ = plays(disk, fail_at, code)
                after = disk.after_kill() if seed == 0 else disk.after_power_loss(seed)
                found = Log(after, lambda: NOW, SMALL)
                wanted = {("s", key): value for key, value in acknowledged}
                lost = {slot for slot, value in wanted.items() if held(found).get(slot) != value}
                assert not lost, (fail_at, code, seed, lost)


def test_a_crash_at_every_step_of_a_compaction_changes_nothing() -> None:
    class Crash(Exception):
        pass

    disk = BadDisk()
    log, acknowledged = story(disk)
    before = disk.calls
    log.compact(sorted(log.sizes)[-2])
    steps = disk.calls - before
    assert steps >= 6
    for step in range(1, steps + 1):
        for seed in range(8):
            disk = BadDisk()
            log, acknowledged = story(disk)
            start = disk.calls

            def stop(call: str, name: str, number: int, start: int = start, step: int = step) -> int:
                if number == start + step:
                    raise Crash
                return 0

            disk.fail = stop
            with pytest.raises(Crash):
                log.compact(sorted(log.sizes)[-2])
            disk.fail = lambda call, name, number: 0
            after = disk.after_kill() if seed == 0 else disk.after_power_loss(seed)
            found = Log(after, lambda: NOW, SMALL)
            assert held(found) == acknowledged[-1][1], (step, seed)
            found.compact(max(found.sizes))
            assert held(Log(after.after_power_loss(seed), lambda: NOW, SMALL)) == acknowledged[-1][1]


class Machine(RuleBasedStateMachine):
    """Put, delete, expire, commit, compact, kill, power loss and reopen, against a dictionary."""

    keys = st.sampled_from("abcde")

    @initialize()
    def begin(self) -> None:
        self.disk, self.now = BadDisk(), NOW
        self.durable: dict[str, tuple[bytes, float]] = {}
        self.waiting: list[tuple[str, tuple[bytes, float] | None]] = []
        self.log = Log(self.disk, lambda: self.now, SMALL)

    @rule(key=keys, size=st.integers(0, 200), life=st.sampled_from((0.0, 50.0)))
    def put(self, key: str, size: int, life: float) -> None:
        value = (bytes([size % 256]) * size, self.now + life if life else 0.0)
        self.log.put("s", key, *value)
        self.waiting.append((key, value))

    @rule(key=keys)
    def delete(self, key: str) -> None:
        self.log.delete("s", key)
        self.waiting.append((key, None))

    @rule()
    def commit(self) -> None:
        self.log.commit()
        self.settle(len(self.waiting))

    @rule(part=st.floats(0.0, 1.0))
    def compact(self, part: float) -> None:
        numbers = sorted(self.log.sizes)
        if numbers:
            self.log.compact(numbers[int(part * (len(numbers) - 1))])
            self.settle(len(self.waiting))

    @rule(ms=st.sampled_from((1.0, 60.0)))
    def wait(self, ms: float) -> None:
        self.now += ms
        self.log.wanted()  # forgets what is over

    @rule(seed=st.integers(0, 10_000))
    def lose_power(self, seed: int) -> None:
        self.reopen(self.disk.after_power_loss(seed))

    @rule()
    def kill(self) -> None:
        self.reopen(self.disk.after_kill())

    def settle(self, count: int) -> None:
        for key, value in self.waiting[:count]:
            if value is None:
                self.durable.pop(key, None)
            else:
                self.durable[key] = value
        del self.waiting[:count]

    def reopen(self, disk: BadDisk) -> None:
        """All that was acknowledged is there, and of what was not, nothing: it was never written."""
        self.disk, self.log = disk, Log(disk, lambda: self.now, SMALL)
        self.waiting.clear()
        self.check()

    def check(self) -> None:
        now = {k: v for k, (v, until) in self.durable.items() if not until or self.now < until}
        assert self.log.items("s") == now

    def teardown(self) -> None:
        if hasattr(self, "log"):
            self.log.commit()
            self.settle(len(self.waiting))
            self.check()


def test_any_order_of_things_keeps_what_was_acknowledged() -> None:
    run_state_machine_as_test(
        Machine, settings=profile(max_examples=150, stateful_step_count=30, deadline=None, derandomize=True)
    )


@profile(max_examples=300, deadline=None, derandomize=True)
@given(data=st.data())
def test_recovery_of_noise_raises_nothing_but_the_stores_own_error(data: st.DataObject) -> None:
    disk = BadDisk()
    story(disk)
    files = files_of(disk)
    name = data.draw(st.sampled_from(sorted(files)))
    content = bytearray(files[name])
    for place, value in data.draw(
        st.lists(st.tuples(st.integers(0, 10_000), st.integers(0, 255)), max_size=6)
    ):
        content[place % len(content)] = value
    noise = data.draw(st.binary(max_size=60))
    place = data.draw(st.integers(0, len(content)))
    try:
        recover({**files, name: bytes(content[:place]) + noise + bytes(content[place:]), "other": noise})
    except Fault as fault:
        assert str(fault).startswith(fault.file)


class Choices(unittest.TestCase):
    def test_a_prefix_is_compacted_when_enough_of_it_is_garbage(self) -> None:
        row = [Segment(1, 1_000, 900), Segment(2, 1_000, 100), Segment(3, 1_000, 950)]
        self.assertEqual(prefix_to_compact(row, 3_000, 1_000_000), 2)
        self.assertIsNone(prefix_to_compact(row[:1], 1_000, 1_000_000))
        self.assertEqual(prefix_to_compact(row[:1], 1_000, 1_100), 1)  # near the limit less will do
        self.assertIsNone(prefix_to_compact([], 0, 100))

    def test_a_store_stays_under_its_limit_while_keys_are_written_again(self) -> None:
        disk, terms = BadDisk(), Terms(segment_most=4_096, limit=32_768)
        log = Log(disk, lambda: NOW, terms)
        most = 0
        for n in range(2_000):
            log.put("s", f"k{n % 20}", bytes(100))
            log.commit()
            if (upto := log.wanted()) is not None:
                log.compact(upto)
            most = max(most, sum(len(file.data) for file in disk.files.values()))
        self.assertLess(most, terms.limit)
        self.assertGreater(log.compactions, 5)
        self.assertEqual(len(held(Log(disk, lambda: NOW, terms))), 20)

    def test_what_waits_for_a_full_disk_is_bounded_and_comes_back_by_itself(self) -> None:
        disk = BadDisk()
        log = Log(disk, lambda: NOW)
        log.put("s", "first", b"1")
        log.commit()
        disk.fail = lambda call, name, number: errno.ENOSPC if call in ("append", "create") else 0
        with self.assertRaises(StoreFull):
            for n in range(100):
                log.put("s", f"k{n}", bytes(100_000))
                with self.assertRaises(OSError):
                    log.commit()
        self.assertEqual(log.get("s", "first"), b"1")
        disk.fail = lambda call, name, number: 0
        log.commit()
        self.assertEqual(len(held(Log(disk.after_power_loss(1), lambda: NOW))), len(held(log)))

    def test_a_file_whose_sync_failed_is_not_written_again(self) -> None:
        disk = BadDisk()
        log = Log(disk, lambda: NOW)
        log.put("s", "a", b"1")
        log.commit()
        name = log.names[max(log.names)]
        disk.fail = lambda call, name, number: errno.EIO if call == "sync" else 0
        log.put("s", "b", b"2")
        with self.assertRaises(OSError):
            log.commit()
        size = len(disk.files[name].data)
        disk.fail = lambda call, name, number: 0
        log.commit()
        self.assertEqual(len(disk.files[name].data), size)
        for seed in range(20):
            self.assertEqual(held(Log(disk.after_power_loss(seed), lambda: NOW)), held(log))


class Real(unittest.TestCase):
    def test_a_folder_holds_it_and_lets_one_process_in(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            folder = Folder(Path(name) / "store")
            log = Log(folder, lambda: NOW, SMALL)
            for n in range(50):
                log.put("s", f"k{n % 7}", bytes([n]) * 40)
                log.commit()
            log.compact(sorted(log.sizes)[-2])
            with self.assertRaisesRegex(Fault, "another process holds this store"):
                Folder(Path(name) / "store")
            folder.close()
            again = Folder(Path(name) / "store")
            self.assertEqual(held(Log(again, lambda: NOW, SMALL)), held(log))
            again.close()

    def test_the_next_format_is_refused_by_its_version(self) -> None:
        good = bytearray(write_head(Head(1)))
        self.assertEqual(read_head(bytes(good), "f"), Head(1))
        import struct

        import crc32c

        good[8:10] = struct.pack("<H", 2)
        good[HEADER.size - 4 :] = struct.pack("<I", crc32c.crc32c(bytes(good[: HEADER.size - 4])))
        with self.assertRaisesRegex(Fault, "f: at byte 8: written in format 2, this program reads 1"):
            read_head(bytes(good), "f")

    def test_a_store_of_an_older_format_is_read_gone_on_with_and_turned_into_the_new_one(self) -> None:
        disk = BadDisk()
        old = Log(disk, lambda: NOW, SMALL)
        for n in range(20):
            old.put("purge", f"k{n}", b"old")
            old.commit()
        with patch.multiple(frames, VERSION=2, READS=frozenset((1, 2))):
            grown = disk_of(files_of(disk))
            new = Log(grown, lambda: NOW, SMALL)
            new.put("purge", "k0", b"new")
            new.commit()
            self.assertEqual(len(held(new)), 20)
            both = disk_of(files_of(grown))
            mixed = Log(both, lambda: NOW, SMALL)
            self.assertEqual(held(mixed), held(new))
            mixed.compact(max(mixed.sizes))
        with self.assertRaisesRegex(Fault, "written in format 2, this program reads 1"):
            Log(disk_of(files_of(both)), lambda: NOW, SMALL)
        with patch.multiple(frames, VERSION=2, READS=frozenset((2,))):  # nothing of the old is left
            self.assertEqual(held(Log(disk_of(files_of(both)), lambda: NOW, SMALL)), held(new))

    def test_the_tools_look_dump_and_repair_only_when_told_to(self) -> None:
        from click.testing import CliRunner

        from gladewalk.cli.commands import gladewalk

        def run(*words: str) -> tuple[int, str]:
            result = CliRunner().invoke(gladewalk, ["store", *words, str(path)])
            return result.exit_code, result.output

        with tempfile.TemporaryDirectory() as name:
            path = Path(name)
            folder = Folder(path)
            log = Log(folder, lambda: NOW, SMALL)
            for n in range(30):
                log.put("s", f"k{n}", b"value" if n else b"\xff", 0.0)
                log.commit()
            self.assertEqual(run("check")[0], 2)  # a director has it open
            folder.close()
            code, text = run("check")
            self.assertEqual((code, "30 keys" in text), (0, True), text)
            code, text = run("dump")
            self.assertEqual((code, len(text.splitlines())), (0, 30))
            self.assertIn('"hex": "ff"', text.splitlines()[0])
            with open(path / log.names[max(log.names)], "ab") as file:
                file.write(b"cut")
            code, text = run("check")
            self.assertEqual((code, "3 bytes of a write that was cut" in text), (1, True))
            self.assertEqual(run("compact")[0], 0)
            self.assertEqual((run("check")[0], len(run("dump")[1].splitlines())), (0, 30))
            victim = next(path.glob("*.c.seg"))
            data = bytearray(victim.read_bytes())
            data[len(data) // 2] ^= 0xFF
            victim.write_bytes(bytes(data))
            code, text = run("check")
            self.assertEqual((code, f"damaged: {victim.name}: at byte" in text), (2, True))
            self.assertEqual(run("dump")[0], 2)
            code, text = run("repair")
            self.assertEqual((code, "29 keys" in text, "nothing was changed" in text), (1, True, True), text)
            self.assertEqual(run("check")[0], 2)
            self.assertEqual(run("repair", "--accept-loss")[0], 1)
            self.assertEqual((run("check")[0], len(run("dump")[1].splitlines())), (0, 29))
            self.assertTrue((path / "damaged-0" / victim.name).exists())


class Beside(unittest.IsolatedAsyncioTestCase):
    """The writer: acknowledged when durable, whatever the disk does meanwhile."""

    async def start(self, disk: BadDisk, policy: Policy = "each", terms: Terms = SMALL) -> Writer:
        self.said: list[str] = []
        writer = Writer(
            Log(disk, lambda: NOW, terms), policy, 5.0, Counters(), lambda what, why: self.said.append(what)
        )
        writer.start()
        return writer

    async def test_an_acknowledged_put_outlives_a_loss_of_power_and_puts_share_syncs(self) -> None:
        for policy in ("each", "group"):
            disk = BadDisk()
            writer = await self.start(disk, policy)
            futures = [writer.put("s", f"k{n}", bytes(30)) for n in range(200)]
            self.assertEqual(set(await asyncio.gather(*futures)), {True})
            found = Log(disk.after_power_loss(1), lambda: NOW, SMALL)
            self.assertEqual(len(found.items("s")), 200)
            self.assertLess(disk.syncs, 60)
            await writer.close()

    async def test_a_full_disk_is_said_once_stops_nobody_and_comes_back(self) -> None:
        import gladewalk.store.writer as module

        disk, before = BadDisk(), module.RETRY_S
        module.RETRY_S = 0.05
        self.addCleanup(setattr, module, "RETRY_S", before)
        writer = await self.start(disk)
        self.assertTrue(await writer.put("s", "a", b"1"))
        disk.fail = lambda call, name, number: errno.ENOSPC if call in ("append", "create") else 0
        self.assertFalse(await writer.put("s", "b", b"2"))
        self.assertFalse(await writer.put("s", "c", b"3"))
        self.assertEqual(writer.log.get("s", "c"), b"3")  # in memory it holds all the same
        disk.fail = lambda call, name, number: 0
        await until(lambda: not writer.failing)
        self.assertEqual(self.said, ["store can't write", "store is back"])
        self.assertEqual(len(Log(disk.after_power_loss(2), lambda: NOW, SMALL).items("s")), 3)
        self.assertTrue(await writer.put("s", "d", b"4"))
        await writer.close()

    async def test_it_compacts_while_puts_come_and_none_is_lost(self) -> None:
        disk = BadDisk()
        writer = await self.start(disk, terms=Terms(segment_most=2_000, limit=30_000))
        for n in range(600):
            future = writer.put("s", f"k{n % 12}", n.to_bytes(4, "big") + bytes(60))
            if n % 10 == 0:
                await future
        await future
        await until(lambda: writer.counters["store.compactions"] > 2)
        await writer.close()
        found = Log(disk.after_power_loss(3), lambda: NOW, SMALL)
        self.assertEqual(found.items("s"), writer.log.items("s"))
        self.assertEqual(
            {int.from_bytes(v[:4], "big") for v in found.items("s").values()}, set(range(588, 600))
        )


async def hit(heard: Heard) -> None:
    await heard.answer(200, b"copy", X_Remark="mem")


class Kept(unittest.IsolatedAsyncioTestCase):
    """What a director was told before it was killed is in force after its restart."""

    def options(self, folder: Path) -> Options:
        return build_options(read_option_tables({"store": {"folder": "store"}}), "t.toml", folder)

    async def test_a_purge_and_a_drain_outlive_a_kill_though_the_coordinator_is_gone(self) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))

        boxes = [await ScriptedPeer(hit, f"c{n}").start() for n in range(3)]
        origin = await ScriptedPeer(hit, "o", "origin", "north").start()
        coordinator = await Coordinator().start()
        config = read_config(config_for([*boxes, origin], coordinator), {})
        loop = asyncio.get_running_loop()
        first = Director(config, loop, None, self.options(folder))
        await first.start()
        await until(lambda: bool(coordinator.follows))
        boxes[0].state = "DRAINING"
        coordinator.tell_list(boxes[0])
        coordinator.tell(evict={"ref": "a1", "unix_ms": unix_ms()})
        keeper = first.keeper
        assert keeper is not None
        await until(lambda: keeper.log.durable >= 2)
        coordinator.stop()
        first.front.close()
        first.coordinator_watch.close()
        keeper.folder.close()  # as a kill does: nothing more is written
        again = Director(config, loop, None, self.options(folder))
        await again.start()
        self.assertEqual(again.counters["store.purges_restored"], 1)
        restored = again.exchange.core.state.registry.servers["c0"]
        self.assertEqual(restored.info.state, api.ServerState.DRAINING)
        for n in range(20):
            reader, writer = await asyncio.open_connection(*again.front.address)
            path = "/invoke/lot-page/a1?nth=0" if n == 0 else f"/invoke/lot-page/{n:x}?nth=0"
            writer.write(request(path, trace=f"{n + 1:016x}"))
            await reader.readuntil(b"\r\n\r\n")
            writer.close()
        asked = [heard for box in boxes for heard in box.heard if "/a1/" in heard.path]
        self.assertTrue(asked and all("no-older-than" in heard.headers for heard in asked))
        self.assertEqual(boxes[0].heard, [])
        with self.assertRaisesRegex(ConfigError, "t.toml: store.folder: .*another process holds this store"):
            Director(config, loop, None, self.options(folder))
        again.front.close()
        again.coordinator_watch.close()
        assert again.keeper is not None
        await again.keeper.close()
        for peer in (*boxes, origin):
            peer.stop()

    async def test_the_feed_goes_on_after_the_last_event_kept_and_not_with_another_coordinator(self) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        options = build_options(
            read_option_tables({"store": {"folder": "s", "resume": True}, "control": {"socket": "c"}}),
            "t.toml",
            folder,
        )
        boxes = [await ScriptedPeer(hit, f"c{n}").start() for n in range(4)]
        coordinator = await Coordinator().start()
        config = read_config(config_for(boxes[:3], coordinator), {})
        loop = asyncio.get_running_loop()

        async def run(config: PlatformConfig) -> Director:
            director = Director(config, loop, None, options)
            await director.start()
            return director

        async def end(director: Director) -> None:
            director.front.close()
            director.coordinator_watch.close()
            assert director.keeper is not None
            await director.keeper.close()

        first = await run(config)
        coordinator.tell_list(boxes[0], boxes[3], whole=True)  # the others are listed no more
        boxes[3].state = "DRAINING"
        coordinator.tell_list(boxes[3])
        coordinator.tell(evict={"ref": "a1", "unix_ms": unix_ms()})
        await until(lambda: first.endpoint_feed.last_index == 4)
        shown = ["store", "status", "--socket", str(folder / "c")]
        told = await asyncio.to_thread(CliRunner().invoke, gladewalk, [*shown, "--json"])
        self.assertEqual((told.exit_code, json.loads(told.output)["feed"]), (0, 4))
        told = await asyncio.to_thread(CliRunner().invoke, gladewalk, shown)
        self.assertRegex(told.output, r"feed kept up to event\W+4")
        await end(first)
        again = await run(config)
        servers = again.exchange.core.state.registry.servers
        ready = {n for n, server in servers.items() if server.info.state is api.ServerState.READY}
        self.assertEqual((ready, servers["c3"].info.state), ({"c0"}, api.ServerState.DRAINING))
        await until(lambda: len(coordinator.follows) == 2)
        self.assertEqual(coordinator.follows, [1, 4])
        await end(again)
        other = await Coordinator().start()  # it counts from the beginning, and knows of three boxes
        other.tell_list(*boxes[:3], whole=True)
        other.tell_list(boxes[1])
        lost = await run(dataclasses.replace(config, coordinator=read_address(other.address)))
        await until(lambda: other.follows == [4])
        other.write(b"2\n")
        await until(lambda: lost.endpoint_feed.last_index == 2)
        self.assertEqual((other.follows, lost.counters["coordinator.numbering_back"]), ([4, 1], 1))
        await end(lost)
        coordinator.stop()
        other.stop()
        for peer in boxes:
            peer.stop()

    async def test_a_held_answer_counts_over_a_restart_and_what_was_learned_is_there(self) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        tables = read_option_tables({"store": {"folder": "store", "warm_ms": 50.0}})
        options = build_options(tables, "t.toml", folder)

        boxes = [ScriptedPeer(hit, f"c{n}", host=f"127.0.3.{n + 1}") for n in range(3)]
        front = DnsConfig(("127.0.0.1", 0), dns.name.from_text("cdn.example."), "127.0.0.1", 0.01, 1_000.0)
        async with Rehearsal(boxes, dns=front, options=options) as world:
            director = world.director
            assert director is not None and director.dns is not None and director.keeper is not None
            resolver, log = Resolver(director.dns.address), director.keeper.log
            found = await resolver.resolve("0.a1.lot-page.cdn.example.")
            self.assertEqual(len(found), 1)
            lease = next(iter(log.items(leases.SPACE).values()))  # durable before the answer left
            self.assertGreaterEqual(
                log.durable, log.state.held[leases.SPACE, next(iter(log.items("lease")))].sequence
            )
            for n in range(8):
                await world.ask(f"/invoke/lot-page/{n:x}?nth=0", trace=f"{n + 1:016x}")
            await until(
                lambda: sum(b"c0" in v or b"c1" in v or b"c2" in v for v in log.items("warm").values()) > 6
            )
            await until(lambda: log.durable >= log.state.sequence - 1)
            director.keeper.folder.close()
        again = Log(Folder(folder / "store"), unix_ms)
        self.assertIn(lease, again.items(leases.SPACE).values())
        core = Dispatcher(director.exchange.core.state.settings, 1)
        servers = tuple(server.info for server in director.exchange.core.state.registry.servers.values())
        core.handle(unix_ms(), api.EndpointList(api.EndpointListKind.PERSISTED, servers))
        self.assertEqual(leases.restore(core, again.items(leases.SPACE), unix_ms()), 1)
        objects, _ = warm.restore(core, again.items(warm.SPACE), unix_ms())
        self.assertGreater(objects, 4)


def core_with(now: float, started_ms: float = 0.0) -> Dispatcher:
    page = api.RequestClass("page", latency_objective_ms=400.0, deadline_ms=3_000.0)
    core = Dispatcher(api.Settings(classes=(page,), zone="e", zones=("e",), hub_of_zone=(0,)), 1)
    servers = tuple(
        api.Server(name, api.Role.CACHE, "e", started_ms=started_ms, address=name) for name in "ab"
    )
    core.handle(now, api.EndpointList(api.EndpointListKind.PERSISTED, servers))
    return core


def test_a_warm_start_is_believed_only_as_far_as_its_age_and_the_servers_starts_allow() -> None:
    core = core_with(NOW)
    core.state.locations[7, 0] = {"a": NOW - 1_000.0, "b": NOW - 29_000.0, "gone": NOW}
    core.state.locations[8, 0] = {"b": NOW - 40_000.0}
    core.state.estimates.by_object[7, 0] = 55.0
    core.state.registry.servers["a"].fill_quota, core.state.registry.servers["b"].fill_quota = 9.0, 1e9
    rows = {f"objects-{n}": warm.objects_row(core, n, NOW) for n in range(warm.PARTS)}
    rows |= {warm.SOURCES: warm.sources_row(core, NOW), "objects-x": b"noise"}
    later = core_with(NOW + 2_000.0)
    assert warm.restore(later, rows, NOW + 2_000.0) == (1, 2)
    assert later.state.locations == {(7, 0): {"a": NOW - 1_000.0}}
    assert later.state.estimates.by_object == {(7, 0): 55.0}
    servers = later.state.registry.servers
    assert (servers["a"].fill_quota, servers["b"].fill_quota) == (9.0, 64.0)
    old, back = core_with(NOW + 700_000.0), core_with(NOW - 60_000.0)
    assert warm.restore(old, rows, NOW + 700_000.0) == (0, 0) and not old.state.estimates.by_object
    assert warm.restore(back, rows, NOW - 60_000.0) == (
        0,
        0,
    )  # the clock went back: nothing ages as it should
    started = core_with(NOW + 2_000.0, started_ms=NOW + 500.0)
    assert warm.restore(started, rows, NOW + 2_000.0)[1] == 0
    request_ = api.Request(1, "page", 7, 3_000.0)
    opened = PendingRequest(request_, started.state.classes["page"], NOW + 2_000.0)
    started.state.now_ms = NOW + 2_000.0
    assert [
        s.info.name for s in started.router.candidates.holders(opened)
    ] == []  # seen before its start: the core's own check
    later.state.now_ms = NOW + 2_000.0
    later.handle(NOW + 2_000.0, api.Purge(7, -1, 100.0))
    purged = PendingRequest(request_, later.state.classes["page"], NOW + 2_000.0)
    assert later.router.candidates.holders(purged) == []  # and before a purge


def test_leases_count_again_after_a_restart_until_their_time() -> None:
    core = core_with(NOW)
    question = api.ResolveRequest(1, "page", 7, 3_000.0, "resolver", transfers=0.25)
    core.state.dns_lease_table().grant("a", "resolver", (7, 0), NOW + 200_000.0, 0.25)
    core.state.dns_lease_table().grant("a", "r2", (8, 0), NOW + 100.0, 1.0)
    lease = leases.lease_of(core, question, "a")
    assert lease is not None and leases.lease_of(core, question, "b") is None
    rows = {leases.key_of(lease): leases.pack(lease), "noise": b"x"}
    again = core_with(NOW + 1_000.0)
    assert leases.restore(again, rows, NOW + 1_000.0) == 1
    assert again.state.dns_lease_table().find("a", "resolver", (7, 0)) == (NOW + 200_000.0, 0.25)
    assert len(again.state.dns_lease_table()) == 1
    assert leases.restore(core_with(NOW), rows, NOW + 200_000.0) == 0
    back = core_with(NOW)
    assert leases.restore(back, rows, NOW - 1e9) == 1  # no clock makes a lease longer than a lease
    found = back.state.dns_lease_table().find("a", "resolver", (7, 0))
    assert found is not None and found[0] == NOW - 1e9 + 300_000.0
