"""One fault at each numbered point: the invariants hold, and each faulty copy violates them at some point."""

import contextlib
from collections.abc import Callable
from typing import Any

import pytest

from gladewalk.faultpoints import lease_scenario, membership_scenario, store_scenario
from gladewalk.faultpoints.points import CATALOGUE, FaultInjector, FaultKind, UnlistedPointError
from gladewalk.faultpoints.scenarios import SCENARIOS
from gladewalk.faultpoints.sweep import BaselineError, count_passes, sample_passes, sweep
from gladewalk.leases.fence import Fence, OperationRecord
from gladewalk.members import gossip_state, suspicion_monitor
from gladewalk.members.suspicion import SuspicionDecision
from gladewalk.members.suspicion_monitor import SuspicionMonitor
from gladewalk.store.disk_writes import WriteBatch
from gladewalk.store.segmented_log import SegmentedLog


def test_one_fault_at_a_few_passes_of_each_point_violates_nothing() -> None:
    report = sweep(SCENARIOS, max_per_point=2)
    assert [violation.line() for violation in report.violations] == []
    assert report.unreached == []
    assert report.run_count >= 2 * len(CATALOGUE)


def test_each_run_passes_the_same_points_up_to_its_fault() -> None:
    for name, run_scenario in SCENARIOS:
        first = count_passes(run_scenario, name)
        assert first == count_passes(run_scenario, name)
        last = first[-1]
        injector = FaultInjector(last.number, last.point.kinds[0])
        run_scenario(injector)
        assert injector.is_fault_injected and injector.passes[: len(first)] == first
    with pytest.raises(UnlistedPointError):
        FaultInjector().record_pass("store.disk.burn")


def test_a_point_that_no_run_reaches_is_reported() -> None:
    report = sweep(SCENARIOS[:1], max_per_point=1)
    assert "members.dial.knock" in report.unreached and "store.disk.sync" not in report.unreached
    assert report.line().endswith(f"unreached={len(report.unreached)}")


def test_the_sample_of_passes_is_spread_over_the_whole_run() -> None:
    all_passes = count_passes(store_scenario.run_scenario, "store")
    sample = sample_passes(all_passes, 3)
    sync_occurrences = [
        sampled_pass.occurrence for sampled_pass in sample if sampled_pass.point.name == "store.disk.sync"
    ]
    assert len(sync_occurrences) == 3 and sync_occurrences[0] == 0 and sync_occurrences[-1] > 10
    assert sample_passes(all_passes, None) == all_passes


# Copies with a fault.


class UnsyncedLog(SegmentedLog):
    """Acknowledges written changes without a sync."""

    def prepare_batch(self, is_synced: bool = True) -> WriteBatch | None:
        return super().prepare_batch(False)


class ErrorIgnoringLog(SegmentedLog):
    """Acknowledges changes that the disk rejected."""

    def commit(self) -> int:
        batch = self.prepare_batch()
        if batch is None:
            return self.durable_sequence
        with contextlib.suppress(OSError):
            batch.write(self.file_system)
        return self.complete_batch(batch)


class UnsyncedDirectoryLog(SegmentedLog):
    """Never syncs the directory."""

    def __init__(self, disk: Any, *more: Any) -> None:
        disk.sync_directory = lambda: None
        super().__init__(disk, *more)


class OpenFence(Fence):
    """A fence that accepts every token."""

    def admit(
        self, task: str, token: int, holder: str, performed_at_ms: float, received_at_ms: float, **more: Any
    ) -> bool:
        self.records.append(OperationRecord(task, token, holder, performed_at_ms, received_at_ms, True))
        return True


def replace_fence(simulation: lease_scenario.FaultPointSimulation) -> None:
    simulation.fence = OpenFence()


def extend_leases_on_pause(simulation: lease_scenario.FaultPointSimulation) -> None:
    """Makes holders continue their operations after a pause without checking their clock."""
    original_pause = simulation.pause

    def pause(name: str, duration_ms: float) -> None:
        director = simulation.directors[name]
        for lease in director.candidate.leases.values():
            lease.expires_at_ms += 2.0 * duration_ms
        original_pause(name, duration_ms)

    simulation.pause = pause  # type: ignore[method-assign]


def violated_points(
    scenario: Callable[[FaultInjector], str], name: str, max_per_point: int
) -> set[tuple[str, FaultKind]]:
    report = sweep([(name, scenario)], max_per_point)
    return {(violation.point_pass.point.name, violation.kind) for violation in report.violations}


@pytest.mark.parametrize("log_type", [UnsyncedLog, ErrorIgnoringLog, UnsyncedDirectoryLog])
def test_a_broken_store_is_found(log_type: type[SegmentedLog]) -> None:
    assert violated_points(lambda injector: store_scenario.run_scenario(injector, log_type), "store", 40)


@pytest.mark.parametrize("change", [replace_fence, extend_leases_on_pause])
def test_broken_leases_are_found(change: Callable[[lease_scenario.FaultPointSimulation], None]) -> None:
    assert violated_points(lambda injector: lease_scenario.run_scenario(injector, change), "leases", 12)


def test_premature_death_verdicts_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        suspicion_monitor, "decide_expired_suspicion", lambda *_: (SuspicionDecision.DEAD, 0.0)
    )
    monkeypatch.setattr(
        SuspicionMonitor,
        "consult_peers",
        lambda self, suspect, now_ms: setattr(suspect, "has_consulted_peers", True),
    )
    assert violated_points(membership_scenario.run_scenario, "members", 6)


def test_members_that_ignore_later_runs_fail_even_without_a_fault(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    supersedes = gossip_state.supersedes
    monkeypatch.setattr(
        gossip_state, "supersedes", lambda new, old: new.run_id == old.run_id and supersedes(new, old)
    )
    with pytest.raises(BaselineError, match="without a fault: member lists differ"):
        sweep(SCENARIOS[2:], 1)
