"""Membership across processes: five directors with relays between them for each hard case of its schedule.

Fleets run beside one another, so that all cases take little longer than the longest. Bounds are of seconds
where a quiet machine takes tenths: what is checked is who was found dead, and that all agree again.
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
from gladewalk.faultnet.nemesis import play_schedule
from gladewalk.faultnet.schedule import Fault, FaultKind
from gladewalk.members.actions import MemberChange
from gladewalk.members.config import MembershipConfig
from gladewalk.members.history import (
    ExpectedFailure,
    ObservedChange,
    changes_from_log,
    convergence_time_ms,
    detection_times_ms,
    unexpected_deaths,
)
from gladewalk.rehearsal.member_faults import play as play_in_memory
from gladewalk.rehearsal.member_network import cluster
from gladewalk.rehearsal.peers import Coordinator, Heard, ScriptedPeer, config_for
from tests.fleetworld import Fleets, until_true
from tests.test_fleet_works import command

STALL_MS = MembershipConfig().max_stall_ms
NAMES = tuple(f"n{i}" for i in range(5))


def all_met(fleet: Fleet) -> bool:
    return convergence_time_ms(fleet.observed_changes(), 0.0, fleet.names) is not None


def starts(fleet: Fleet, name: str) -> int:
    return sum(line["event"] == "members_listening" for line in fleet.read_log(name))


async def run_case(case: FaultCase, n: int = 5) -> str:
    """What went wrong in it; empty if nothing did."""
    coordinator = await Coordinator().start()
    with tempfile.TemporaryDirectory() as folder:
        config = config_for([], coordinator)
        fleet = await Fleet(Path(folder), NAMES[:n], config, 1, None, {}).open()
        try:
            for name in fleet.names:
                await fleet.start(name)
            if not await until_true(lambda: all_met(fleet), 30.0):
                return f"{case.name}: they never met"
            await asyncio.sleep(1.0)
            begun, faults = time.time() * 1000.0, case.faults(fleet.names)
            await play_schedule(fleet, faults)
            if case.kind == FaultKind.KILL:  # a busy machine takes its time to start it; until then all agree
                await until_true(lambda: starts(fleet, faults[0].targets[0]) == 2, 60.0)
            if not await until_true(lambda: all_met(fleet), 30.0):
                return f"{case.name}: no one roster afterwards: {told(fleet.observed_changes())}"
            await asyncio.sleep(1.0)  # and it stays so
            seen = fleet.observed_changes()
            wrong = unexpected_deaths(seen, expected_failures(faults, fleet.names, begun, STALL_MS))
            victim = faults[0].targets[0] if faults[0].targets else ""
            found = detection_times_ms(seen, victim, begun, set(fleet.names) - {victim})
            if wrong or (case.must_be_found_dead and len(found) < n - 1) or not all_met(fleet):
                return f"{case.name}: wrong {wrong}, found dead by {found}: {told(seen)}"
        finally:
            await fleet.close()
            coordinator.stop()
    return ""


def told(seen: list[ObservedChange]) -> str:
    lines = sorted((one.at_ms, f"{one.observer} {one.change.value} {one.member}") for one in seen)
    return "; ".join(f"{at_ms - lines[0][0]:.0f} {text}" for at_ms, text in lines)


def test_every_hard_case_between_processes() -> None:
    async def all_of_them() -> list[str]:
        return [wrong for wrong in await asyncio.gather(*map(run_case, CASES)) if wrong]

    assert asyncio.run(all_of_them()) == []


class Shown(Fleets):
    async def test_a_paused_member_is_shown_as_stalled_its_log_says_why_and_its_place_is_kept(self) -> None:
        fleet = await self.begin(3, None, {})
        assert await until_true(lambda: all_met(fleet), 30.0)
        fleet.signal("n2", signal.SIGSTOP)
        try:
            assert await until_true(
                lambda: any(
                    s.change is MemberChange.STALLED and s.observer == "n0" for s in fleet.observed_changes()
                )
            )
            code, said = await asyncio.to_thread(command, fleet, "members", "--json", "n0")
            (row,) = [row for row in json.loads(said)["members"] if row["name"] == "n2"]
            assert code == 0 and row["state"] == "suspect" and row["stalled"], row
            assert row["knocked"] == "silent" and row["heard_ms"] > 0.0 and "health" in row
        finally:
            fleet.signal("n2", signal.SIGCONT)
        cleared = [MemberChange.CLEARED]
        assert await until_true(
            lambda: (
                [s.change for s in fleet.observed_changes() if (s.observer, s.member) == ("n0", "n2")][-1:]
                == cleared
            )
        )
        (line,) = [x for x in fleet.read_log("n0") if x["event"] == "member_stalled" and x["member"] == "n2"]
        assert line["knocked"] == "silent" and "n0" in line["accusers"] + ["n0"]


PROBE_MS = 300.0
ORPHAN_MS = 4_000.0  # a stall is found after some 1.2 s, and what it leaves is spread over a quarter interval


class Duties(Fleets):
    async def test_no_box_goes_unprobed_while_a_member_is_paused_killed_or_cut_off(self) -> None:
        probed: dict[str, list[float]] = {}

        async def load(heard: Heard) -> None:
            probed.setdefault(heard.peer.uid, []).append(time.monotonic() * 1000.0)
            await heard.answer(200, b"", X_Load="util=0.1")

        boxes = tuple([await ScriptedPeer(load, uid=f"c{n}").start() for n in range(8)])
        try:
            more = {"duties": {"probe_ms": PROBE_MS, "check_ms": 0.0}}
            fleet = await self.begin(3, None, {}, peers=boxes, more=more)
            assert await until_true(lambda: all_met(fleet) and len(probed) == len(boxes), 30.0)
            await asyncio.sleep(2.0)
            begun = time.monotonic() * 1000.0
            for kind in (FaultKind.PAUSE, FaultKind.KILL, FaultKind.CUT_OUT):
                await play_schedule(fleet, [Fault(0.0, 5_000.0, kind, ("n2",))])
                assert await until_true(lambda: all_met(fleet), 30.0), kind
            ended = time.monotonic() * 1000.0
            gaps = {
                uid: max(b - a for a, b in itertools.pairwise([begun, *since(times, begun), ended]))
                for uid, times in probed.items()
            }
            assert max(gaps.values()) < ORPHAN_MS, gaps
            # Nor does each probe for itself meanwhile: two may overlap for a moment, not for a whole fault.
            wanted = len(boxes) * (ended - begun) / PROBE_MS
            assert sum(len(since(times, begun)) for times in probed.values()) < 1.8 * wanted
        finally:
            for box in boxes:
                box.stop()


def since(times: list[float], begun: float) -> list[float]:
    return [at for at in times if at >= begun]


def test_the_same_schedules_in_memory_at_five_and_at_forty_members() -> None:
    for case in CASES:
        for size, seeds in ((5, range(4)), (40, range(1))):
            for seed in seeds:
                net = cluster(size, seed)
                begun, names = net.now_ms, tuple(net.nodes)
                faults = case.faults(names)
                play_in_memory(net, faults)
                net.run(15_000.0)
                wrong = unexpected_deaths(net.observed, expected_failures(faults, names, begun, STALL_MS))
                assert not wrong, (case.name, size, seed, wrong[:4])
                assert convergence_time_ms(net.observed, begun, names) is not None, (case.name, size, seed)
                if case.must_be_found_dead:
                    victim = faults[0].targets[0]
                    found = detection_times_ms(net.observed, victim, begun, set(names) - {victim})
                    assert len(found) == size - 1, (case.name, size, seed, found)


def test_the_checker_finds_a_wrong_death_a_late_one_and_a_roster_that_never_agrees() -> None:
    joined = [
        ObservedChange(0.0, by, MemberChange.JOINED, name) for by in "abc" for name in "abc" if by != name
    ]
    assert (
        convergence_time_ms(joined, 0.0, "abc") == 0.0
        and convergence_time_ms(joined[:-1], 0.0, "abc") is None
    )
    death = ObservedChange(5_000.0, "a", MemberChange.DIED, "b")
    assert unexpected_deaths([*joined, death], []) == [death]
    right = ExpectedFailure(4_000.0, 6_000.0, frozenset("ac"), frozenset("b"))
    assert unexpected_deaths([death], [right]) == []
    late = ObservedChange(6_001.0, "c", MemberChange.DIED, "b")
    assert unexpected_deaths([death, late], [right]) == [late]
    assert detection_times_ms([death, late], "b", 4_500.0, "ac") == {"a": 500.0, "c": 1_501.0}
    back = [
        ObservedChange(7_000.0, "a", MemberChange.JOINED, "b"),
        ObservedChange(8_000.0, "c", MemberChange.JOINED, "b"),
    ]
    assert convergence_time_ms([*joined, death, late], 4_000.0, "abc") is None
    assert convergence_time_ms([*joined, death, late, *back], 7_500.0, "abc") == 500.0
    assert (
        convergence_time_ms([*joined, ObservedChange(9.0, "a", MemberChange.SUSPECTED, "b")], 0.0, "abc")
        == 0.0
    )  # a member still


def test_a_start_in_a_log_forgets_what_the_run_before_knew() -> None:
    def line(second: int, event: str, member: str = "") -> dict[str, str]:
        stamp = f"2026-01-01T00:00:{second:02}.000000Z"
        return {"timestamp": stamp, "event": event, "by": "a", "member": member}

    log = [
        line(1, "members_listening"),
        line(2, "member_joined", "b"),
        line(5, "members_listening"),
        line(6, "member_joined", "b"),
        {"event": "serving"},
        line(7, "module"),
    ]
    seen = changes_from_log("a", log)
    assert [(s.change, s.member) for s in seen] == [
        (MemberChange.JOINED, "b"),
        (MemberChange.LEFT, "b"),
        (MemberChange.JOINED, "b"),
    ]
    assert seen[2].at_ms - seen[0].at_ms == 4_000.0
