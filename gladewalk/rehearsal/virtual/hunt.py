"""A search for scenarios that break a rule, and their shrinking to the fewest faults that still do."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec

from .play import Change, Verdict, play
from .scenario import Scenario, draw

Say = Callable[[int, Verdict], None]


@dataclass(slots=True, frozen=True)
class Found:
    """A drawn scenario that breaks a rule, as it was drawn and as it was shrunk; both fail with `seed`."""

    seed: int
    rule: str
    drawn: Scenario
    shrunk: Scenario


def breaks(scenario: Scenario, seed: int, rule: str, change: Change | None) -> bool:
    return any(one.rule == rule for one in play(scenario, seed, change).broken)


def shrink(scenario: Scenario, seed: int, rule: str, change: Change | None = None) -> Scenario:
    """Without every fault that is not needed for the rule to break, then with the rest as short as may be.

    Each step plays the whole scenario anew: a fault left out changes all that follows, so that what fails is
    what was found, and no likeness of it.
    """
    for fault in list(scenario.fault):
        fewer = msgspec.structs.replace(scenario, fault=[f for f in scenario.fault if f is not fault])
        if breaks(fewer, seed, rule, change):
            scenario = fewer
    for n in range(len(scenario.fault)):
        while (for_s := scenario.fault[n].for_s / 2.0) >= 0.25:
            faults = list(scenario.fault)
            faults[n] = msgspec.structs.replace(faults[n], for_s=for_s)
            shorter = msgspec.structs.replace(scenario, fault=faults)
            if not breaks(shorter, seed, rule, change):
                break
            scenario = shorter
    return scenario


def hunt(seeds: Iterable[int], change: Change | None = None, say: Say | None = None) -> list[Found]:
    """One finding for each seed whose scenario breaks a rule: its first broken rule."""
    found = []
    for seed in seeds:
        scenario = draw(seed)
        verdict = play(scenario, seed, change)
        if say is not None:
            say(seed, verdict)
        if not verdict.passed:
            rule = verdict.broken[0].rule
            found.append(Found(seed, rule, scenario, shrink(scenario, seed, rule, change)))
    return found
