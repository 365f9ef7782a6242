"""Runs conformance cases against a server."""

from __future__ import annotations

import time
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from . import cases_edns, cases_header, cases_messages, cases_transport, cases_types, cases_zone
from .checks import CheckFailedError, CheckSkippedError
from .registry import Case
from .target import Target

CASE_MODULES = (cases_edns, cases_header, cases_messages, cases_transport, cases_zone, cases_types)


class Verdict(Enum):
    """How a case ended."""

    PASSED = "passed"
    FAILED = "failed"
    SKIPPED = "skipped"


@dataclass(slots=True, frozen=True)
class Result:
    """A case that was run.

    Attributes:
        case: The case.
        verdict: How it ended.
        observation: The unexpected behaviour, or the reason for skipping; empty if the case passed.
        duration_ms: How long it took.
    """

    case: Case
    verdict: Verdict
    observation: str
    duration_ms: float


def _collect_cases() -> dict[str, Case]:
    """Returns the cases of all modules by name.

    Raises:
        ValueError: Two cases have one name.
    """
    cases: dict[str, Case] = {}
    for module in CASE_MODULES:
        for case in module.CASES:
            if case.name in cases:
                raise ValueError(f"two cases are named {case.name}")
            cases[case.name] = case
    return cases


ALL_CASES = _collect_cases()


def select_cases(prefixes: Iterable[str] = ()) -> list[Case]:
    """Returns the cases whose names start with one of the prefixes; all cases if there are none."""
    wanted = tuple(prefixes)
    return [case for case in ALL_CASES.values() if not wanted or case.name.startswith(wanted)]


def run_cases(target: Target, prefixes: Iterable[str] = ()) -> list[Result]:
    """Runs the cases that `select_cases` returns, one after the other."""
    return [run_case(case, target) for case in select_cases(prefixes)]


def run_case(case: Case, target: Target) -> Result:
    """Runs one case; any exception is a failure."""
    started_s = time.monotonic()
    verdict, observation = Verdict.PASSED, ""
    try:
        case.check(target)
    except CheckFailedError as error:
        verdict, observation = Verdict.FAILED, str(error)
    except CheckSkippedError as error:
        verdict, observation = Verdict.SKIPPED, str(error)
    except Exception as error:  # noqa: BLE001 - whatever an unexpected response raises fails the case
        verdict, observation = Verdict.FAILED, f"{type(error).__name__}: {error}"
    return Result(case, verdict, observation, (time.monotonic() - started_s) * 1_000.0)
