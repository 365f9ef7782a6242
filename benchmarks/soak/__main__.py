"""The soak: `python -m benchmarks.soak [--quick] [--seeds N] [--first N] [--jobs N]`.

    python -m benchmarks.soak --seed 17 [--without 2,5]    # repeats one run; prints its timeline if it fails
    python -m benchmarks.soak --broken NAME                # breaks one rule of the director; must fail

Each seed generates a deployment and faults, and the run applies them to real processes. The last line counts
the violations of each rule.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import sys
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from ..known_red import KnownRed, format_outcome, load_known_red, soak_case
from .checker import RULES, Verdict, check
from .directors import StartError
from .history import History, RequestRecord
from .plan import draw_plan
from .run import run_plan
from .scheduling import SELF, ProcessorWait

QUICK_SEEDS = 12
LONG_SEEDS = 50
JOBS = 3
SHRINK_TRIES = 2
WAIT_MARGIN_S = 0.6  # the timeline shows waits for a processor this long before and after a failed request


@dataclass
class SeedResult:
    """The result of one seed.

    Attributes:
        counts: The number of requests, and of violations of each rule.
        ends: How many requests ended in each way.
        served: The number of responses with status 200.
        violations: One line for each violation.
        timeline: The requests concerned and the faults in order of time; empty without a violation.
    """

    seed: int
    counts: dict[str, int]
    ends: dict[str, int]
    served: int
    violations: list[str]
    timeline: list[str]

    def cases(self) -> list[str]:
        """Returns the broken rules in the form of the cases of KNOWN-RED.txt."""
        return [soak_case(rule, self.seed) for rule in RULES if self.counts[rule]]


def run_seed(
    seed: int, without: frozenset[int] = frozenset(), keep: Path | None = None, broken: str = ""
) -> SeedResult:
    """Runs a seed and checks its history."""
    try:
        history = run_plan(draw_plan(seed, without), keep, broken)
    except StartError as error:
        counts = {"requests": 0, **dict.fromkeys(RULES, 0), "crashes": 1}
        return SeedResult(seed, counts, {}, 0, [f"  crashes: {error}"], [])
    verdict = check(history)
    violations = [f"  {rule}: {line}" for rule in RULES for line in getattr(verdict, rule)]
    timeline = [] if verdict.is_clean else _timeline(history, verdict)
    return SeedResult(seed, verdict.counts(), dict(verdict.ends), verdict.served, violations, timeline)


def _timeline(history: History, verdict: Verdict) -> list[str]:
    """Returns the records of the first 5 requests that broke a rule, and the faults, in order of time."""
    ids = {line.split(" ")[0] for rule in RULES for line in getattr(verdict, rule)}
    requests = [request for request in history.requests if request.trace_id in ids][:5]
    events = [(at_s, text) for at_s, text in history.notes]
    for request in requests:
        name = f"{request.trace_id} {request.class_name} {request.effect.value} {request.object_id}"
        first = "new" if request.is_first_on_connection else "resting"
        director = f"{request.director[0]}.{request.director[1]}"
        events.append((request.sent_s, f"{name}: sent to {director}, {first}, waits {request.wait_s:.3f}"))
        events.append(
            (
                request.ended_s,
                f"{name}: {request.end.value} {request.status}, {request.received_bytes} bytes read",
            )
        )
    wanted = {request.trace_id for request in requests}
    events += [
        (
            attempt.began_s,
            f"{attempt.trace_id}: at {attempt.server}, {attempt.max_wait_ms:.0f} ms, {attempt.end}, received"
            f" at most {1000.0 * (attempt.began_s - attempt.earliest_arrival_s):.0f} ms earlier",
        )
        for attempt in history.attempts
        if attempt.trace_id in wanted
    ]
    events += [(wait.until_s, wait.describe()) for wait in history.waits if _overlaps_any(wait, requests)]
    begin_s = min((at_s for at_s, _ in events), default=0.0)
    return [f"    {at_s - begin_s:8.3f} {text}" for at_s, text in sorted(events)]


def _overlaps_any(wait: ProcessorWait, requests: list[RequestRecord]) -> bool:
    """Whether one of the requests overlaps this wait, if its director or the soak itself waited."""
    return any(
        wait.name in (SELF, request.director[0])
        and wait.from_s <= max(request.ended_s, request.sent_s + request.wait_s) + WAIT_MARGIN_S
        and wait.until_s >= request.sent_s - WAIT_MARGIN_S
        for request in requests
    )


def shrink(seed: int) -> frozenset[int]:
    """Returns the numbers of faults that the failing run does not need; -1: all system call faults."""
    without: frozenset[int] = frozenset()
    fault_count = len(draw_plan(seed).faults)
    for number in (-1, *range(fault_count)):
        candidate = without | {number}
        if any(run_seed(seed, candidate).violations for _ in range(SHRINK_TRIES)):
            without = candidate
    return without


def summary_line(results: list[SeedResult]) -> str:
    """Returns the last line of the output."""
    total: Counter[str] = Counter()
    for result in results:
        total.update(result.counts)
    return " ".join([f"seeds={len(results)}", *(f"{name}={total[name]}" for name in ("requests", *RULES))])


def known_red_lines(results: list[SeedResult], known: dict[str, KnownRed]) -> list[str]:
    """Returns a line with the outcome of each case in KNOWN-RED.txt whose seed was run."""
    broken = {case for result in results for case in result.cases()}
    cases = [soak_case(rule, result.seed) for result in results for rule in RULES]
    return [
        format_outcome(known[case], "failed" if case in broken else "passed")
        for case in cases
        if case in known
    ]


def has_unknown_failure(results: list[SeedResult], known: dict[str, KnownRed]) -> bool:
    """Whether any seed broke a rule that KNOWN-RED.txt does not list for it."""
    return any(case not in known for result in results for case in result.cases())


def main() -> int:
    """Runs the seeds of the command line; returns 0 if only cases in KNOWN-RED.txt failed."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.soak")
    parser.add_argument("--quick", action="store_true", help=f"{QUICK_SEEDS} seeds, for CI")
    parser.add_argument("--seeds", type=int, default=LONG_SEEDS)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=JOBS)
    parser.add_argument("--seed", type=int, help="this one alone")
    parser.add_argument("--without", default="", help="faults to leave out, by their numbers")
    parser.add_argument("--keep", type=Path, help="where the logs stay")
    parser.add_argument("--broken", default="", help="a broken director by its name")
    parser.add_argument("--shrink", action="store_true", help="leave out faults of a failing seed")
    options = parser.parse_args()
    without = frozenset(int(number) for number in options.without.split(",") if number)
    started_s = time.monotonic()
    if options.seed is not None:
        results = [run_seed(options.seed, without, options.keep, options.broken)]
    else:
        count = QUICK_SEEDS if options.quick else options.seeds
        seeds = range(options.first, options.first + count)
        with concurrent.futures.ProcessPoolExecutor(options.jobs) as pool:
            results = list(
                pool.map(run_seed, seeds, [without] * count, [None] * count, [options.broken] * count)
            )
    for result in results:
        if result.violations:
            print(f"seed {result.seed} failed: python -m benchmarks.soak --seed {result.seed}")
            print("\n".join([*result.violations[:20], *result.timeline[:80]]))
            if options.shrink:
                left_out = ",".join(map(str, sorted(shrink(result.seed))))
                print(f"  shrunk: python -m benchmarks.soak --seed {result.seed} --without={left_out}")
    ends: Counter[str] = Counter()
    for result in results:
        ends.update(result.ends)
    served = sum(result.served for result in results)
    print(f"served={served} ends={dict(ends)} took={time.monotonic() - started_s:.0f}s")
    known = load_known_red()
    print("\n".join([*known_red_lines(results, known), summary_line(results)]))
    return 1 if has_unknown_failure(results, known) else 0


if __name__ == "__main__":
    sys.exit(main())
