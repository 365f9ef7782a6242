"""Leases across processes: 3 and 5 directors with relays between every ordered pair, and faults.

Each case starts its directors, waits for a holder of each lease at the resource, causes its fault and checks
the resource's record: no two tokens' spans crossing, no stale token accepted, and the lease taken on within
bounds that hold on a busy machine (a loaded core delays timers by tens of ms; the bounds leave seconds).
"""

import asyncio
import contextlib
import signal
from pathlib import Path

from gladewalk.control.client import ControlError
from gladewalk.faultnet.fleet import LEASE_NAMES
from gladewalk.faultnet.nemesis import inject_fault, run_schedule
from gladewalk.faultnet.schedule import Fault, FaultKind, encode_schedule, generate_schedule, load_schedule
from gladewalk.store.maintenance import dump_store
from tests.fleet_test_case import FleetTestCase, unix_now_ms

KINDS = (  # of the schedule that is played from its file
    FaultKind.LOSS,
    FaultKind.DUPLICATE,
    FaultKind.DELAY,
    FaultKind.PAUSE,
    FaultKind.CUT_OUT,
)


class Leases(FleetTestCase):
    async def test_voters_killed_in_the_middle_of_grants_and_candidates_at_one_moment(self) -> None:
        fleet = await self.start_lease_fleet(3)
        given_up = 0
        for turn in range(4):
            holder = await self.wait_for_holder(unix_now_ms())
            victim = next(name for name in fleet.names if name != holder)
            given = asyncio.ensure_future(fleet.query(holder, "hand_on", duty="purge"))
            # The others become candidates at one moment; one of them dies while it grants or is granted.
            await asyncio.sleep(0.004 * turn)
            await fleet.kill(victim)
            with contextlib.suppress(ControlError):  # on a busy machine it may have lost it just then
                given_up += (await given)["duty"] == "purge"
            await fleet.start(victim)
            assert await self.wait_for_holder(unix_now_ms(), within_s=10.0)
        assert given_up > 0
        assert self.verdict().is_safe, self.verdict()

    async def test_a_holder_paused_past_its_lease_is_fenced_and_another_takes_the_lease(self) -> None:
        fleet = await self.start_lease_fleet(3)
        victim = await self.wait_for_holder(0.0)
        paused_at = unix_now_ms()
        fleet.signal(victim, signal.SIGSTOP)
        other = await self.wait_for_holder(
            paused_at, within_s=20.0
        )  # how soon: in virtual time, test_leases.py
        taken_ms = unix_now_ms() - paused_at
        await asyncio.sleep(max(0.0, 3.0 - taken_ms / 1000.0))
        fleet.signal(victim, signal.SIGCONT)
        await asyncio.sleep(2.0)
        assert other and other != victim
        assert victim not in self.holders_between(
            paused_at + 1_100.0, unix_now_ms()
        )  # it stopped by its own clock
        assert self.verdict().is_safe, self.verdict()

    async def test_one_sided_cuts_either_way_hand_the_lease_on_and_never_two_act(self) -> None:
        fleet = await self.start_lease_fleet(3)
        for cut in (FaultKind.CUT_OUT, FaultKind.CUT_IN):
            victim = await self.wait_for_holder(0.0)
            begun = unix_now_ms()
            await inject_fault(fleet, Fault(0.0, 4_000.0, cut, (victim,)))
            assert victim not in self.holders_between(begun + 2_500.0, begun + 4_000.0), cut
            assert self.holders_between(begun + 2_500.0, begun + 4_000.0), cut
            await self.wait_for_holder(unix_now_ms())
        assert self.verdict().is_safe, self.verdict()

    async def test_a_minority_side_keeps_no_holder_while_the_majority_elects_one(self) -> None:
        fleet = await self.start_lease_fleet(5)
        victim = await self.wait_for_holder(0.0)
        side = (victim, next(name for name in fleet.names if name != victim))
        begun = unix_now_ms()
        await inject_fault(fleet, Fault(0.0, 5_000.0, FaultKind.PARTITION, side))
        during = self.holders_between(begun + 2_500.0, begun + 5_000.0)
        assert during and not during & set(side), during
        assert self.verdict().is_safe, self.verdict()

    async def test_with_a_majority_gone_no_one_holds_and_after_it_returns_one_does(self) -> None:
        fleet = await self.start_lease_fleet(3)
        victim = await self.wait_for_holder(0.0)
        other = next(name for name in fleet.names if name != victim)
        begun = unix_now_ms()
        await fleet.kill(victim)
        await fleet.kill(other)
        await asyncio.sleep(3.0)
        assert not self.holders_between(begun + 1_100.0, unix_now_ms())  # the one left cannot hold alone
        await fleet.start(victim)
        assert await self.wait_for_holder(unix_now_ms())
        assert self.verdict().is_safe, self.verdict()

    async def test_a_clean_stop_hands_on_at_once_and_a_killed_voter_restarts_with_its_terms(self) -> None:
        fleet = await self.start_lease_fleet(3)
        victim = await self.wait_for_holder(0.0)
        begun = unix_now_ms()
        assert await fleet.stop(victim) == 0
        other = await self.wait_for_holder(begun, within_s=3.0)
        assert other and other != victim and unix_now_ms() - begun < 3_000.0
        await fleet.start(victim)
        await asyncio.sleep(1.0)
        await fleet.kill(other)  # a voter that granted: its saves are read again at its start
        kept = [line for line in dump_store(Path(self.folder.name) / f"{other}.store") if '"grant"' in line]
        assert len(kept) == len(LEASE_NAMES), kept
        await fleet.start(other)
        assert await self.wait_for_holder(unix_now_ms())
        assert self.verdict().is_safe, self.verdict()

    async def test_a_fast_clock_loss_and_delay_keep_one_holder_and_a_schedule_plays_from_its_file(
        self,
    ) -> None:
        fleet = await self.start_lease_fleet(5, clock_rates={"n0": 1.01, "n1": 0.99})
        faults = generate_schedule(7, fleet.names, 12_000.0, 4, kinds=KINDS)
        path = Path(self.folder.name) / "schedule.toml"
        path.write_text(encode_schedule(faults))
        assert load_schedule(path) == faults == generate_schedule(7, fleet.names, 12_000.0, 4, kinds=KINDS)
        await run_schedule(fleet, load_schedule(path))
        assert await self.wait_for_holder(unix_now_ms())
        verdict = self.verdict()
        assert verdict.is_safe and verdict.operations > 200, verdict
        assert set(LEASE_NAMES) == {
            record.task for resource in fleet.resources for record in resource.fence.records
        }
