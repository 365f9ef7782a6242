"""Exclusive duties across processes: 3 and 5 directors with relays between every ordered pair, and faults.

Each case starts its directors, waits for a holder of each duty at the sink, causes its fault and checks the
sink's record: no two tokens' spans crossing, no stale token accepted, and the duty taken on within bounds
that hold on a busy machine (a loaded core delays timers by tens of ms; the bounds leave seconds).
"""

import asyncio
import signal
import tempfile
import time
import unittest
from pathlib import Path

from gladewalk.faultnet.fleet import DUTIES, Fleet
from gladewalk.faultnet.nemesis import Fault, apply, dump, generate, load, play
from gladewalk.leases.history import Verdict, check
from gladewalk.rehearsal.peers import Coordinator, config_for

SETTLE_S = 8.0  # at most, until each duty is held: a start is quiet for a promise, then votes may split


def wall_ms() -> float:
    return time.time() * 1000.0


class Fleets(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.coordinator = await Coordinator().start()
        self.folder = tempfile.TemporaryDirectory()
        self.fleet: Fleet | None = None

    async def asyncTearDown(self) -> None:
        if self.fleet is not None:
            await self.fleet.close()
        self.coordinator.stop()
        self.folder.cleanup()

    async def start(self, n: int, rates: dict[str, float] | None = None) -> Fleet:
        names = tuple(f"n{i}" for i in range(n))
        self.fleet = await Fleet(Path(self.folder.name), names, config_for([], self.coordinator), n).open()
        for name in names:
            await self.fleet.start(name, (rates or {}).get(name, 1.0))
        await self.held_since(wall_ms())
        return self.fleet

    async def held_since(self, since_ms: float, duty: str = "purge", within_s: float = SETTLE_S) -> str:
        """Who acts under `duty` after `since_ms`, waiting at most so long; '' if nobody does."""
        assert self.fleet is not None
        ends = time.monotonic() + within_s
        while time.monotonic() < ends:
            late = [
                a for a in self.fleet.sink.fence.acts if a.duty == duty and a.accepted and a.at_ms > since_ms
            ]
            if late:
                return late[-1].actor
            await asyncio.sleep(0.05)
        return ""

    def verdict(self) -> Verdict:
        assert self.fleet is not None
        return check(self.fleet.sink.fence.acts)

    def actors(self, after_ms: float, before_ms: float) -> set[str]:
        assert self.fleet is not None
        acts = self.fleet.sink.fence.acts
        return {a.actor for a in acts if a.accepted and after_ms < a.at_ms < before_ms}

    async def test_a_holder_paused_past_its_lease_is_fenced_and_another_takes_the_duty(self) -> None:
        fleet = await self.start(3)
        victim = await self.held_since(0.0)
        paused_at = wall_ms()
        fleet.signal(victim, signal.SIGSTOP)
        other = await self.held_since(paused_at, within_s=4.0)
        taken_ms = wall_ms() - paused_at
        await asyncio.sleep(max(0.0, 3.0 - taken_ms / 1000.0))
        fleet.signal(victim, signal.SIGCONT)
        await asyncio.sleep(2.0)
        assert other and other != victim and taken_ms < 4_000.0
        assert victim not in self.actors(paused_at + 1_100.0, wall_ms())  # it stopped by its own clock
        assert self.verdict().safe, self.verdict()

    async def test_one_sided_cuts_either_way_hand_the_duty_on_and_never_two_act(self) -> None:
        fleet = await self.start(3)
        for cut in (fleet.cut_out, fleet.cut_in):
            victim = await self.held_since(0.0)
            begun = wall_ms()
            await apply(fleet, Fault(0.0, 4_000.0, cut.__name__, (victim,)))
            assert victim not in self.actors(begun + 2_500.0, begun + 4_000.0), cut.__name__
            assert self.actors(begun + 2_500.0, begun + 4_000.0), cut.__name__
            await self.held_since(wall_ms())
        assert self.verdict().safe, self.verdict()

    async def test_a_minority_side_keeps_no_holder_while_the_majority_elects_one(self) -> None:
        fleet = await self.start(5)
        victim = await self.held_since(0.0)
        side = (victim, next(name for name in fleet.names if name != victim))
        begun = wall_ms()
        await apply(fleet, Fault(0.0, 5_000.0, "partition", side))
        during = self.actors(begun + 2_500.0, begun + 5_000.0)
        assert during and not during & set(side), during
        assert self.verdict().safe, self.verdict()

    async def test_with_a_majority_gone_no_one_holds_and_after_it_returns_one_does(self) -> None:
        fleet = await self.start(3)
        victim = await self.held_since(0.0)
        other = next(name for name in fleet.names if name != victim)
        begun = wall_ms()
        await fleet.kill(victim)
        await fleet.kill(other)
        await asyncio.sleep(3.0)
        assert not self.actors(begun + 1_100.0, wall_ms())  # the one left cannot hold alone
        await fleet.start(victim)
        assert await self.held_since(wall_ms())
        assert self.verdict().safe, self.verdict()

    async def test_a_clean_stop_hands_on_at_once_and_a_killed_elector_restarts_with_its_terms(self) -> None:
        fleet = await self.start(3)
        victim = await self.held_since(0.0)
        begun = wall_ms()
        assert await fleet.stop(victim) == 0
        other = await self.held_since(begun, within_s=3.0)
        assert other and other != victim and wall_ms() - begun < 3_000.0
        await fleet.start(victim)
        await asyncio.sleep(1.0)
        await fleet.kill(other)  # an elector that granted: its saves are read again at its start
        await fleet.start(other)
        assert (Path(self.folder.name) / f"{other}.saves").read_text()
        assert await self.held_since(wall_ms())
        assert self.verdict().safe, self.verdict()

    async def test_a_fast_clock_loss_and_delay_keep_one_holder_and_a_schedule_plays_from_its_file(
        self,
    ) -> None:
        fleet = await self.start(5, rates={"n0": 1.01, "n1": 0.99})
        faults = generate(7, fleet.names, 12_000.0, 4, kinds=("loss", "delay", "pause", "cut_out"))
        path = Path(self.folder.name) / "schedule.toml"
        path.write_text(dump(faults))
        assert (
            load(path)
            == faults
            == generate(7, fleet.names, 12_000.0, 4, kinds=("loss", "delay", "pause", "cut_out"))
        )
        await play(fleet, load(path))
        assert await self.held_since(wall_ms())
        verdict = self.verdict()
        assert verdict.safe and verdict.acts > 200, verdict
        assert set(DUTIES) == {a.duty for a in fleet.sink.fence.acts}


def test_a_lease_setting_that_cannot_be_used_is_one_line_naming_its_key() -> None:
    from gladewalk.config import ConfigError
    from gladewalk.leases.start import checked
    from gladewalk.options import load_options

    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "g.toml"
        base = "[leases]\nlisten = '127.0.0.1:1'\nkeys = 'k'\n"
        base += "[leases.peers]\na = '127.0.0.1:1'\n[leases.duties]\n"
        for extra, told in (
            ("", "leases.peers: this director (b) is not among them"),
            ("[leases.x]\n", "leases.x: no such setting"),
        ):
            path.write_text(base + extra)
            try:
                checked(load_options(str(path)), "b")
            except ConfigError as error:
                assert str(error) == f"{path}: {told}", error
            else:
                raise AssertionError(extra)
        path.write_text(
            base.replace("[leases.peers]", "grant_margin_ms = 0.0\nstop_margin_ms = 0.0\n[leases.peers]")
        )
        try:
            checked(load_options(str(path)), "a")
        except ConfigError as error:
            assert "leases.grant_margin_ms: too small for the drift" in str(error)
        else:
            raise AssertionError("margins of 0 were taken")
