"""The fault cases of membership in a simulated network, and the checks of membership histories."""

import pytest

from gladewalk.faultnet.expected_failures import expected_failures
from gladewalk.faultnet.membership_cases import CASES, FaultCase
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
from gladewalk.rehearsal.member_faults import run_schedule
from gladewalk.rehearsal.member_network import cluster

MAX_STALL_MS = MembershipConfig().max_stall_ms


@pytest.mark.parametrize(("size", "seeds"), [(5, range(4)), (40, range(1))], ids=["5 members", "40 members"])
@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_fault_cases_in_a_simulated_network(case: FaultCase, size: int, seeds: range) -> None:
    for seed in seeds:
        network = cluster(size, seed)
        begun_ms, names = network.now_ms, tuple(network.nodes)
        faults = case.faults(names)
        run_schedule(network, faults)
        network.run(15_000.0)
        unexpected = unexpected_deaths(
            network.observed, expected_failures(faults, names, begun_ms, MAX_STALL_MS)
        )
        assert not unexpected, (seed, unexpected[:4])
        assert convergence_time_ms(network.observed, begun_ms, names) is not None, seed
        if case.must_be_declared_dead:
            victim = faults[0].targets[0]
            times_ms = detection_times_ms(network.observed, victim, begun_ms, set(names) - {victim})
            assert len(times_ms) == size - 1, (seed, times_ms)


def joined_each_other(names: str) -> list[ObservedChange]:
    return [
        ObservedChange(0.0, observer, MemberChange.JOINED, member)
        for observer in names
        for member in names
        if observer != member
    ]


DEATH = ObservedChange(5_000.0, "a", MemberChange.DIED, "b")
LATER_DEATH = ObservedChange(6_001.0, "c", MemberChange.DIED, "b")


def test_deaths_that_are_not_expected_or_come_too_late_are_found() -> None:
    expected = ExpectedFailure(4_000.0, 6_000.0, frozenset("ac"), frozenset("b"))
    assert unexpected_deaths([*joined_each_other("abc"), DEATH], []) == [DEATH]
    assert unexpected_deaths([DEATH], [expected]) == []
    assert unexpected_deaths([DEATH, LATER_DEATH], [expected]) == [LATER_DEATH]


def test_detection_times_are_measured_for_each_observer() -> None:
    assert detection_times_ms([DEATH, LATER_DEATH], "b", 4_500.0, "ac") == {"a": 500.0, "c": 1_501.0}


def test_the_convergence_time_is_none_for_members_that_never_converge() -> None:
    joined = joined_each_other("abc")
    assert convergence_time_ms(joined, 0.0, "abc") == 0.0
    assert convergence_time_ms(joined[:-1], 0.0, "abc") is None
    assert convergence_time_ms([*joined, DEATH, LATER_DEATH], 4_000.0, "abc") is None
    rejoined = [
        ObservedChange(7_000.0, "a", MemberChange.JOINED, "b"),
        ObservedChange(8_000.0, "c", MemberChange.JOINED, "b"),
    ]
    assert convergence_time_ms([*joined, DEATH, LATER_DEATH, *rejoined], 7_500.0, "abc") == 500.0
    suspected = ObservedChange(9.0, "a", MemberChange.SUSPECTED, "b")  # a suspect still is a member
    assert convergence_time_ms([*joined, suspected], 0.0, "abc") == 0.0


def test_a_start_in_a_log_counts_as_the_departure_of_all_members_of_the_previous_run() -> None:
    def line(second: int, event: str, member: str = "") -> dict[str, str]:
        timestamp = f"2026-01-01T00:00:{second:02}.000000Z"
        return {"timestamp": timestamp, "event": event, "by": "a", "member": member}

    log = [
        line(1, "members_listening"),
        line(2, "member_joined", "b"),
        line(5, "members_listening"),
        line(6, "member_joined", "b"),
        {"event": "serving"},
        line(7, "module"),
    ]
    changes = changes_from_log("a", log)
    assert [(observed.change, observed.member) for observed in changes] == [
        (MemberChange.JOINED, "b"),
        (MemberChange.LEFT, "b"),
        (MemberChange.JOINED, "b"),
    ]
    assert changes[2].at_ms - changes[0].at_ms == 4_000.0
