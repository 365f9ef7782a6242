"""Builds the server under test from the command's arguments, and formats the results of a run."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterable, Iterator

import dns.exception
import dns.name

from ...config.platform import read_address
from .registry import Case
from .suite import Result, Verdict
from .target import Target


def make_target(address: str, zone: str, class_name: str, object_name: str, tls: str) -> Target:
    """Makes the server under test from the command's arguments; `tls` may be empty.

    Raises:
        ConfigError: An address is invalid.
        ValueError: The zone is not a valid name.
    """
    try:
        origin = dns.name.from_text(zone)
    except dns.exception.DNSException as error:
        raise ValueError(f"{zone}: {error}") from error
    tls_address = read_address(tls) if tls else None
    return Target(read_address(address), origin, class_name, object_name, tls_address)


def format_results(results: Iterable[Result], as_json: bool) -> Iterator[str]:
    """Yields a line for each case that did not pass and a line of counts; as JSON, a line for each case."""
    counts: Counter[Verdict] = Counter()
    for result in results:
        counts[result.verdict] += 1
        if as_json:
            yield _format_json(result)
        elif result.verdict is not Verdict.PASSED:
            yield _format_failure(result)
    if not as_json:
        yield ", ".join(f"{counts[verdict]} {verdict.value}" for verdict in Verdict)


def _format_json(result: Result) -> str:
    case = result.case
    row = {
        "case": case.name,
        "rfc": case.rfc,
        "section": case.section,
        "says": case.description,
        "verdict": result.verdict.value,
        "seen": result.observation,
        "ms": round(result.duration_ms, 2),
    }
    return json.dumps(row)


def _format_failure(result: Result) -> str:
    case = result.case
    source = _format_source(case)
    return f"{result.verdict.value} {case.name} ({source}): {case.description}: {result.observation}"


def _format_source(case: Case) -> str:
    return f"RFC {case.rfc}" + (f", {case.section}" if case.section else "")
