"""The cases and how they are run: each names its RFC and section, and what is to be seen."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

from .target import Failed, Skipped, Target


class Verdict(Enum):
    PASSED = "passed"
    FAILED = "failed"
    SKIPPED = "skipped"


@dataclass(slots=True, frozen=True)
class Case:
    """`name` is its own for good: scripts and reports refer to it."""

    name: str
    rfc: int
    section: str
    says: str
    run: Callable[[Target], None]


@dataclass(slots=True, frozen=True)
class Result:
    case: Case
    verdict: Verdict
    seen: str
    took_ms: float


CASES: dict[str, Case] = {}
Check = Callable[[Target], None]


def add(name: str, rfc: int, section: str, says: str, run: Check) -> None:
    if name in CASES:
        raise ValueError(f"two cases are named {name}")
    CASES[name] = Case(name, rfc, section, says, run)


def case(rfc: int, section: str) -> Callable[[Check], Check]:
    """A check as a case: named as the function, and saying what its first line says."""

    def register(run: Check) -> Check:
        says = (run.__doc__ or "").strip().split("\n")[0]
        add(run.__name__.replace("_", "-"), rfc, section, says, run)
        return run

    return register


def run_cases(target: Target, names: Iterable[str] = ()) -> list[Result]:
    """All cases, or some of them, one after the other."""
    return [run_case(one, target) for one in the_cases(names)]


def the_cases(names: Iterable[str] = ()) -> list[Case]:
    """All cases, or those that are named or whose names begin so."""
    from . import cases_edns, cases_header, cases_messages, cases_transport, cases_zone

    assert cases_edns and cases_header and cases_messages and cases_transport and cases_zone
    wanted = tuple(names)
    return [one for one in CASES.values() if not wanted or one.name.startswith(wanted)]


def run_case(one: Case, target: Target) -> Result:
    began = time.monotonic()
    verdict, seen = Verdict.PASSED, ""
    try:
        one.run(target)
    except Failed as error:
        verdict, seen = Verdict.FAILED, str(error)
    except Skipped as error:
        verdict, seen = Verdict.SKIPPED, str(error)
    except Exception as error:  # an answer of a form that no check foresaw is a failure, too
        verdict, seen = Verdict.FAILED, f"{type(error).__name__}: {error}"
    return Result(one, verdict, seen, (time.monotonic() - began) * 1_000.0)
