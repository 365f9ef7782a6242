"""Membership across processes: for each fault case, five directors that are connected by relays.

The fleets of all cases run concurrently, so that all cases take little longer than the longest. Time limits
are in seconds although an idle machine takes tenths of a second: the tests check which members were declared
dead and that all members agree again, not how fast.
"""

import asyncio
import itertools
import json
import signal
import tempfile
import time
from pathlib import Path

from gladewalk.faultnet.expected_failures import expected_failures
from gladewalk.faultnet.fleet import Fleet
from gladewalk.faultnet.membership_cases import CASES, FaultCase
from gladewalk.faultnet.nemesis import run_schedule
from gladewalk.faultnet.schedule import Fault, FaultKind
from gladewalk.members.actions import MemberChange
from gladewalk.members.config import MembershipConfig
from gladewalk.members.history import (
    ObservedChange,
    convergence_time_ms,
    detection_times_ms,
    unexpected_deaths,
)
from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import config_for
from gladewalk.rehearsal.scripted_servers import ReceivedRequest, ScriptedServer
from tests.fleet_test_case import FleetTestCase, wait_until_true
from tests.test_fleet_works import command

MAX_STALL_MS = MembershipConfig().max_stall_ms
MEMBERS = 5
CONVERGE_SECONDS = 30.0
RESTART_SECONDS = 60.0  # long enough for a busy machine
STABLE_SECONDS = 1.0
CHECK_INTERVAL_MS = 300.0
MAX_GAP_MS = 4_000.0  # a stall is detected in about 1.2 s; then its tasks are spread over a quarter interval
MAX_CHECK_FACTOR = 1.8  # two directors may check a server briefly, but not during a whole fault


def has_converged(fleet: Fleet) -> bool:
    return convergence_time_ms(fleet.observed_changes(), 0.0, fleet.names) is not None


def start_count(fleet: Fleet, name: str) -> int:
    return sum(line["event"] == "members_listening" for line in fleet.read_log(name))


async def run_case(case: FaultCase) -> str:
    """Runs a fault case on a fleet of its own; returns the failure, or an empty string."""
    coordinator = await Coordinator().start()
    names = tuple(f"n{number}" for number in range(MEMBERS))
    with tempfile.TemporaryDirectory() as folder:
        fleet = await Fleet(Path(folder), names, config_for([], coordinator), 1, None, {}).open()
        try:
            failure = await inject_faults(fleet, case)
        finally:
            await fleet.close()
            coordinator.stop()
    return f"{case.name}: {failure}" if failure else ""


async def inject_faults(fleet: Fleet, case: FaultCase) -> str:
    for name in fleet.names:
        await fleet.start(name)
    if not await wait_until_true(lambda: has_converged(fleet), CONVERGE_SECONDS):
        return "the members did not converge after their start"
    await asyncio.sleep(STABLE_SECONDS)
    begun_ms, faults = time.time() * 1000.0, case.faults(fleet.names)
    await run_schedule(fleet, faults)
    if case.kind == FaultKind.KILL:  # members would count as converged until the killed one has restarted
        await wait_until_true(lambda: start_count(fleet, faults[0].targets[0]) == 2, RESTART_SECONDS)
    if not await wait_until_true(lambda: has_converged(fleet), CONVERGE_SECONDS):
        return f"no convergence after the fault: {history_of(fleet.observed_changes())}"
    await asyncio.sleep(STABLE_SECONDS)  # the members must stay converged for this time
    changes = fleet.observed_changes()
    unexpected = unexpected_deaths(changes, expected_failures(faults, fleet.names, begun_ms, MAX_STALL_MS))
    victim = faults[0].targets[0] if faults[0].targets else ""
    detected_ms = detection_times_ms(changes, victim, begun_ms, set(fleet.names) - {victim})
    is_missed = case.must_be_declared_dead and len(detected_ms) < len(fleet.names) - 1
    if unexpected or is_missed or not has_converged(fleet):
        return f"unexpected {unexpected}, declared dead after {detected_ms}: {history_of(changes)}"
    return ""


def history_of(changes: list[ObservedChange]) -> str:
    lines = sorted(
        (observed.at_ms, f"{observed.observer} {observed.change.value} {observed.member}")
        for observed in changes
    )
    return "; ".join(f"{at_ms - lines[0][0]:.0f} {text}" for at_ms, text in lines)


def test_members_in_processes_converge_after_every_fault_case_without_unexpected_deaths() -> None:
    async def run_all() -> list[str]:
        return [failure for failure in await asyncio.gather(*map(run_case, CASES)) if failure]

    assert asyncio.run(run_all()) == []


class MembersView(FleetTestCase):
    async def test_a_paused_member_is_shown_and_logged_as_stalled_and_stays_a_member(self) -> None:
        fleet = await self.start_fleet(3, None, {})
        assert await wait_until_true(lambda: has_converged(fleet), CONVERGE_SECONDS)

        def changes_at_n0(member: str) -> list[MemberChange]:
            changes = fleet.observed_changes()
            pair = ("n0", member)
            return [observed.change for observed in changes if (observed.observer, observed.member) == pair]

        fleet.signal("n2", signal.SIGSTOP)
        try:
            assert await wait_until_true(lambda: MemberChange.STALLED in changes_at_n0("n2"))
            code, output = await asyncio.to_thread(command, fleet, "members", "--json", "n0")
            (row,) = [row for row in json.loads(output)["members"] if row["name"] == "n2"]
            assert code == 0 and row["state"] == "suspect" and row["stalled"], row
            assert row["knocked"] == "silent" and row["heard_ms"] > 0.0 and "health" in row
        finally:
            fleet.signal("n2", signal.SIGCONT)
        assert await wait_until_true(lambda: changes_at_n0("n2")[-1:] == [MemberChange.CLEARED])
        (line,) = [
            line
            for line in fleet.read_log("n0")
            if line["event"] == "member_stalled" and line["member"] == "n2"
        ]
        assert line["knocked"] == "silent" and "n0" in line["accusers"] + ["n0"]


class SharedTasks(FleetTestCase):
    async def test_every_cache_is_checked_while_a_member_is_paused_killed_or_isolated(self) -> None:
        checked_ms: dict[str, list[float]] = {}

        async def answer(request: ReceivedRequest) -> None:
            checked_ms.setdefault(request.server.uid, []).append(time.monotonic() * 1000.0)
            await request.respond(200, b"", X_Load="util=0.1")

        caches = tuple([await ScriptedServer(answer, uid=f"c{number}").start() for number in range(8)])
        try:
            more = {"duties": {"probe_ms": CHECK_INTERVAL_MS, "check_ms": 0.0}}
            fleet = await self.start_fleet(3, None, {}, servers=caches, extra_tables=more)
            assert await wait_until_true(
                lambda: has_converged(fleet) and len(checked_ms) == len(caches), CONVERGE_SECONDS
            )
            await asyncio.sleep(2.0)
            begun_ms = time.monotonic() * 1000.0
            for kind in (FaultKind.PAUSE, FaultKind.KILL, FaultKind.CUT_OUT):
                await run_schedule(fleet, [Fault(0.0, 5_000.0, kind, ("n2",))])
                assert await wait_until_true(lambda: has_converged(fleet), CONVERGE_SECONDS), kind
            ended_ms = time.monotonic() * 1000.0
            times_ms = {uid: [at for at in times if at >= begun_ms] for uid, times in checked_ms.items()}
            gaps_ms = {
                uid: max(after - before for before, after in itertools.pairwise([begun_ms, *times, ended_ms]))
                for uid, times in times_ms.items()
            }
            assert max(gaps_ms.values()) < MAX_GAP_MS, gaps_ms
            expected_checks = len(caches) * (ended_ms - begun_ms) / CHECK_INTERVAL_MS
            assert sum(map(len, times_ms.values())) < MAX_CHECK_FACTOR * expected_checks
        finally:
            for cache in caches:
                cache.stop()
