"""What the command line is told, and what it prints."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterable, Iterator

import dns.exception
import dns.name

from ...config.platform import read_address
from .suite import Result, Verdict
from .target import Target


def told_of(address: str, zone: str, class_name: str, object_name: str, tls: str) -> Target:
    """The server to be tested; `ConfigError` or `ValueError` for what is none."""
    try:
        origin = dns.name.from_text(zone)
    except dns.exception.DNSException as error:
        raise ValueError(f"{zone}: {error}") from error
    return Target(
        read_address(address), origin, class_name, object_name, read_address(tls) if tls else None
    )  # fmt: skip


def told_by(results: Iterable[Result], as_json: bool) -> Iterator[str]:
    """A line for each case that did not pass and one of counts; as JSON a line for each."""
    counts: Counter[Verdict] = Counter()
    for result in results:
        counts[result.verdict] += 1
        case = result.case
        if as_json:
            row = {
                "case": case.name, "rfc": case.rfc, "section": case.section, "says": case.says,
                "verdict": result.verdict.value, "seen": result.seen, "ms": round(result.took_ms, 2),
            }  # fmt: skip
            yield json.dumps(row)
        elif result.verdict is not Verdict.PASSED:
            where = f"RFC {case.rfc}" + (f", {case.section}" if case.section else "")
            yield f"{result.verdict.value} {case.name} ({where}): {case.says}: {result.seen}"
    if not as_json:
        yield ", ".join(f"{counts[verdict]} {verdict.value}" for verdict in Verdict)
