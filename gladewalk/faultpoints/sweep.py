"""Sweep of the fault points: counts those of a run, then plays it again with one fault at each. No I/O."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from ..errors import GladewalkError
from .points import CATALOGUE, FaultInjector, FaultKind, PointPass, UnlistedPointError

# Plays one run from its first to its last event, and returns what is wrong; an empty text if nothing is.
Scenario = Callable[[FaultInjector], str]


class BaselineError(GladewalkError):
    """A scenario fails without any fault."""


@dataclass(slots=True, frozen=True)
class Violation:
    """A run whose invariants did not hold after one fault."""

    scenario: str
    point_pass: PointPass
    kind: FaultKind
    reason: str

    def line(self) -> str:
        """The violation as text."""
        where = f"{self.scenario} #{self.point_pass.number} {self.point_pass.point.name}"
        return f"{where} {self.kind.value}: {self.reason}"


@dataclass(slots=True)
class SweepReport:
    """What a sweep played and found."""

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
        """The report's last line, whose form other programs read."""
        counts = f"points={self.point_count} runs={self.run_count} broken={len(self.violations)}"
        return f"{counts} unreached={len(self.unreached)}"


def count_passes(scenario: Scenario, name: str) -> list[PointPass]:
    """The passes of a run without a fault. Raises `BaselineError` if it doesn't hold by itself."""
    injector = FaultInjector()
    reason = scenario(injector)
    if reason:
        raise BaselineError(f"{name} without a fault: {reason}")
    return injector.passes


def sample_passes(passes: Sequence[PointPass], max_per_point: int | None) -> list[PointPass]:
    """At most so many passes of each point, spread over the run; None: all of them."""
    if max_per_point is None:
        return list(passes)
    by_point: dict[str, list[PointPass]] = defaultdict(list)
    for one in passes:
        by_point[one.point.name].append(one)
    chosen: set[int] = set()
    for of_point in by_point.values():
        step = max(1.0, len(of_point) / max_per_point)
        sample_size = min(max_per_point, len(of_point))
        chosen.update(of_point[int(index * step)].number for index in range(sample_size))
    return [one for one in passes if one.number in chosen]


def sweep(scenarios: Iterable[tuple[str, Scenario]], max_per_point: int | None = None) -> SweepReport:
    """Plays each scenario once for each sampled pass and each fault that can happen there.

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
                if reason := _play_fault(scenario, FaultInjector(point_pass.number, kind)):
                    report.violations.append(Violation(name, point_pass, kind, reason))
    return report


def _play_fault(scenario: Scenario, injector: FaultInjector) -> str:
    """Plays one run with its fault; returns what is wrong, or an empty text."""
    try:
        reason = scenario(injector)
    except UnlistedPointError:
        raise
    except Exception as error:  # noqa: BLE001 - the outermost edge of one run: what a part raises is a violation
        reason = f"{type(error).__name__}: {error}"
    if not injector.is_fault_played:
        reason = reason or "the run did not come to its fault"
    return reason
