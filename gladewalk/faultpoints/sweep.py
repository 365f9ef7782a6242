"""Sweep of the fault points: counts those of a run, then repeats it with one fault at each. No I/O."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from ..errors import GladewalkError
from .points import CATALOGUE, FaultInjector, FaultKind, PointPass, UnlistedPointError

# Runs a scenario from its first to its last event; returns the violation of its invariants, or an empty text.
Scenario = Callable[[FaultInjector], str]


class BaselineError(GladewalkError):
    """A scenario violates its invariants without any fault."""


@dataclass(slots=True, frozen=True)
class Violation:
    """A run with one fault that violated its invariants."""

    scenario: str
    point_pass: PointPass
    kind: FaultKind
    reason: str

    def line(self) -> str:
        """Returns the violation as text."""
        where = f"{self.scenario} #{self.point_pass.number} {self.point_pass.point.name}"
        return f"{where} {self.kind.value}: {self.reason}"


@dataclass(slots=True)
class SweepReport:
    """The counts and violations of a sweep."""

    point_count: int = 0
    run_count: int = 0
    reached: set[str] = field(default_factory=set)
    violations: list[Violation] = field(default_factory=list)
    faults_by_point: dict[str, int] = field(default_factory=lambda: defaultdict(int))

    @property
    def unreached(self) -> list[str]:
        """The points of the catalogue that no run passed."""
        return [point.name for point in CATALOGUE if point.name not in self.reached]

    def line(self) -> str:
        """Returns the report's last line, whose format other programs parse."""
        counts = f"points={self.point_count} runs={self.run_count} broken={len(self.violations)}"
        return f"{counts} unreached={len(self.unreached)}"


def count_passes(scenario: Scenario, name: str) -> list[PointPass]:
    """Returns the passes of a run without a fault. Raises `BaselineError` if it violates its invariants."""
    injector = FaultInjector()
    reason = scenario(injector)
    if reason:
        raise BaselineError(f"{name} without a fault: {reason}")
    return injector.passes


def sample_passes(passes: Sequence[PointPass], max_per_point: int | None) -> list[PointPass]:
    """Returns at most `max_per_point` passes of each point, spread over the run; all of them if None."""
    if max_per_point is None:
        return list(passes)
    by_point: dict[str, list[PointPass]] = defaultdict(list)
    for one in passes:
        by_point[one.point.name].append(one)
    chosen: set[int] = set()
    for passes_of_point in by_point.values():
        step = max(1.0, len(passes_of_point) / max_per_point)
        sample_size = min(max_per_point, len(passes_of_point))
        chosen.update(passes_of_point[int(index * step)].number for index in range(sample_size))
    return [one for one in passes if one.number in chosen]


def sweep(scenarios: Iterable[tuple[str, Scenario]], max_per_point: int | None = None) -> SweepReport:
    """Runs each scenario once for each sampled pass and each fault that can be injected there.

    Raises `BaselineError` and `UnlistedPointError`.
    """
    report = SweepReport()
    for name, scenario in scenarios:
        sample = sample_passes(count_passes(scenario, name), max_per_point)
        report.point_count += len(sample)
        for point_pass in sample:
            report.reached.add(point_pass.point.name)
            for kind in point_pass.point.kinds:
                report.run_count += 1
                report.faults_by_point[point_pass.point.name] += 1
                if reason := _run_with_fault(scenario, FaultInjector(point_pass.number, kind)):
                    report.violations.append(Violation(name, point_pass, kind, reason))
    return report


def _run_with_fault(scenario: Scenario, injector: FaultInjector) -> str:
    """Runs a scenario with its fault; returns the violation, or an empty text."""
    try:
        reason = scenario(injector)
    except UnlistedPointError:
        raise
    except Exception as error:  # noqa: BLE001 - any error that a part raises is a violation of the run
        reason = f"{type(error).__name__}: {error}"
    if not injector.is_fault_injected:
        reason = reason or "the run did not reach the pass with its fault"
    return reason
