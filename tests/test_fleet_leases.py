"""Leases across processes: 3 and 5 directors with relays between every ordered pair, and faults.

Each test starts its directors, waits until the purge lease is held, causes its fault and checks the
operations that the resources recorded: no two tokens' spans overlap, no stale token is accepted, and the
lease is won in time. The time limits allow seconds, since a busy machine delays timers by tens of ms.
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

FAULT_KINDS = (  # of the schedule that is run from its file
    FaultKind.LOSS,
    FaultKind.DUPLICATE,
    FaultKind.DELAY,
    FaultKind.PAUSE,
    FaultKind.CUT_OUT,
)


class FleetLeases(FleetTestCase):
    async def test_voters_killed_during_grants_while_several_directors_are_candidates(self) -> None:
        fleet = await self.start_lease_fleet(3)
        released_count = 0
        for attempt in range(4):
            holder = await self.wait_for_holder(unix_now_ms())
            victim = next(name for name in fleet.names if name != holder)
            released = asyncio.ensure_future(fleet.query(holder, "hand_on", duty="purge"))
            # The others become candidates together; one is killed while it grants or receives a grant.
            await asyncio.sleep(0.004 * attempt)
            await fleet.kill(victim)
            with contextlib.suppress(ControlError):  # on a busy machine it may have just lost the lease
                released_count += (await released)["duty"] == "purge"
            await fleet.start(victim)
            assert await self.wait_for_holder(unix_now_ms(), within_s=10.0)
        assert released_count > 0
        assert self.verdict().is_safe, self.verdict()

    async def test_a_holder_paused_past_its_lease_stops_and_another_director_wins_the_lease(self) -> None:
        fleet = await self.start_lease_fleet(3)
        victim = await self.wait_for_holder(0.0)
        paused_at_ms = unix_now_ms()
        fleet.signal(victim, signal.SIGSTOP)
        # Only that another director holds the lease; test_leases.py checks the time, in virtual time.
        other = await self.wait_for_holder(paused_at_ms, within_s=20.0)
        elapsed_ms = unix_now_ms() - paused_at_ms
        await asyncio.sleep(max(0.0, 3.0 - elapsed_ms / 1000.0))
        fleet.signal(victim, signal.SIGCONT)
        await asyncio.sleep(2.0)
        assert other and other != victim
        # It stopped by its own clock.
        assert victim not in self.holders_between(paused_at_ms + 1_100.0, unix_now_ms())
        assert self.verdict().is_safe, self.verdict()

    async def test_a_one_way_cut_in_either_direction_moves_the_lease_and_leaves_one_holder(self) -> None:
        fleet = await self.start_lease_fleet(3)
        for cut in (FaultKind.CUT_OUT, FaultKind.CUT_IN):
            victim = await self.wait_for_holder(0.0)
            started_at_ms = unix_now_ms()
            await inject_fault(fleet, Fault(0.0, 4_000.0, cut, (victim,)))
            assert victim not in self.holders_between(started_at_ms + 2_500.0, started_at_ms + 4_000.0), cut
            assert self.holders_between(started_at_ms + 2_500.0, started_at_ms + 4_000.0), cut
            await self.wait_for_holder(unix_now_ms())
        assert self.verdict().is_safe, self.verdict()

    async def test_the_minority_of_a_partition_has_no_holder_while_the_majority_elects_one(self) -> None:
        fleet = await self.start_lease_fleet(5)
        victim = await self.wait_for_holder(0.0)
        side = (victim, next(name for name in fleet.names if name != victim))
        started_at_ms = unix_now_ms()
        await inject_fault(fleet, Fault(0.0, 5_000.0, FaultKind.PARTITION, side))
        during = self.holders_between(started_at_ms + 2_500.0, started_at_ms + 5_000.0)
        assert during and not during & set(side), during
        assert self.verdict().is_safe, self.verdict()

    async def test_without_a_majority_there_is_no_holder_and_one_is_elected_once_it_returns(self) -> None:
        fleet = await self.start_lease_fleet(3)
        victim = await self.wait_for_holder(0.0)
        other = next(name for name in fleet.names if name != victim)
        started_at_ms = unix_now_ms()
        await fleet.kill(victim)
        await fleet.kill(other)
        await asyncio.sleep(3.0)
        # A single director has no majority.
        assert not self.holders_between(started_at_ms + 1_100.0, unix_now_ms())
        await fleet.start(victim)
        assert await self.wait_for_holder(unix_now_ms())
        assert self.verdict().is_safe, self.verdict()

    async def test_a_clean_stop_releases_the_lease_and_a_killed_voter_restarts_with_its_terms(self) -> None:
        fleet = await self.start_lease_fleet(3)
        victim = await self.wait_for_holder(0.0)
        started_at_ms = unix_now_ms()
        assert await fleet.stop(victim) == 0
        other = await self.wait_for_holder(started_at_ms, within_s=3.0)
        assert other and other != victim and unix_now_ms() - started_at_ms < 3_000.0
        await fleet.start(victim)
        await asyncio.sleep(1.0)
        await fleet.kill(other)  # a voter that granted: its stored rows are read at its restart
        grants = [line for line in dump_store(Path(self.folder.name) / f"{other}.store") if '"grant"' in line]
        assert len(grants) == len(LEASE_NAMES), grants
        await fleet.start(other)
        assert await self.wait_for_holder(unix_now_ms())
        assert self.verdict().is_safe, self.verdict()

    async def test_clock_drift_loss_and_delay_keep_one_holder_in_a_schedule_read_from_a_file(self) -> None:
        fleet = await self.start_lease_fleet(5, clock_rates={"n0": 1.01, "n1": 0.99})
        faults = generate_schedule(7, fleet.names, 12_000.0, 4, kinds=FAULT_KINDS)
        path = Path(self.folder.name) / "schedule.toml"
        path.write_text(encode_schedule(faults))
        assert (
            load_schedule(path) == faults == generate_schedule(7, fleet.names, 12_000.0, 4, kinds=FAULT_KINDS)
        )
        await run_schedule(fleet, load_schedule(path))
        assert await self.wait_for_holder(unix_now_ms())
        verdict = self.verdict()
        assert verdict.is_safe and verdict.operations > 200, verdict
        assert set(LEASE_NAMES) == {
            record.task for resource in fleet.resources for record in resource.fence.records
        }
