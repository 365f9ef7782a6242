"""Searches for scenarios that violate a rule, and reduces each to the faults that the violation needs."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from .scenario import Scenario, generate_scenario
from .scenario_run import DirectorChange, run_scenario

MIN_FAULT_S = 0.25


@dataclass(slots=True, frozen=True)
class Finding:
    """A scenario that violates a rule when run with `seed`, as generated and as minimized."""

    seed: int
    rule: str
    generated: Scenario
    minimized: Scenario


def violates_rule(scenario: Scenario, seed: int, rule: str, change: DirectorChange | None) -> bool:
    """Whether a run of the scenario violates the rule."""
    return any(violation.rule == rule for violation in run_scenario(scenario, seed, change).violations)


def minimize(scenario: Scenario, seed: int, rule: str, change: DirectorChange | None = None) -> Scenario:
    """Removes faults that the violation does not need, then halves the durations of the others.

    A change is kept only if the violation persists. Each step reruns the whole scenario, because omitting a
    fault changes everything that follows it.
    """
    return _shorten_faults(_remove_faults(scenario, seed, rule, change), seed, rule, change)


def _remove_faults(scenario: Scenario, seed: int, rule: str, change: DirectorChange | None) -> Scenario:
    for fault in list(scenario.faults):
        remaining = [one for one in scenario.faults if one is not fault]
        smaller = msgspec.structs.replace(scenario, faults=remaining)
        if violates_rule(smaller, seed, rule, change):
            scenario = smaller
    return scenario


def _shorten_faults(scenario: Scenario, seed: int, rule: str, change: DirectorChange | None) -> Scenario:
    for number in range(len(scenario.faults)):
        while (duration_s := scenario.faults[number].duration_s / 2.0) >= MIN_FAULT_S:
            faults = list(scenario.faults)
            faults[number] = msgspec.structs.replace(faults[number], duration_s=duration_s)
            shorter = msgspec.structs.replace(scenario, faults=faults)
            if not violates_rule(shorter, seed, rule, change):
                break
            scenario = shorter
    return scenario


def find_failing_scenarios(seeds: Iterable[int], change: DirectorChange | None = None) -> list[Finding]:
    """Generates and runs a scenario for each seed; returns a finding for each that violates a rule.

    A finding names the rule of the first violation in its run.
    """
    findings = []
    for seed in seeds:
        scenario = generate_scenario(seed)
        verdict = run_scenario(scenario, seed, change)
        if not verdict.passed:
            rule = verdict.violations[0].rule
            findings.append(Finding(seed, rule, scenario, minimize(scenario, seed, rule, change)))
    return findings
