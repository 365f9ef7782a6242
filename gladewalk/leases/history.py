"""A checker over what the sinks recorded: were duties held by one at a time, fenced, and never long orphaned.

Acts are read duty by duty in the order they arrived. Of each token, the span from its first act to its
last (by the actor's wall time: on one machine, one clock) must not cross another token's span; an accepted
act must not carry a token lower than one accepted before it; a refusal must follow a higher accepted token;
and between the first accepted act and `end_ms`, no gap without an accepted act may exceed the bound, except
where `excused` says that no holder could be (a majority gone).
"""

from __future__ import annotations

import itertools
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from .fence import Act


@dataclass(slots=True, frozen=True)
class Verdict:
    overlaps: int  # pairs of tokens of one duty whose spans cross
    stale_accepted: int
    unaccounted: int  # refusals with no higher token accepted before them
    orphan_max_ms: float  # the longest gap between accepted acts, excused spans taken out
    acts: int
    refused: int

    def line(self, runs: int) -> str:
        return (f"overlaps={self.overlaps} stale_accepted={self.stale_accepted} "
                f"orphan_max_ms={self.orphan_max_ms:.0f} runs={runs}")  # fmt: skip

    @property
    def safe(self) -> bool:
        return self.overlaps == 0 and self.stale_accepted == 0 and self.unaccounted == 0


def spans_crossing(acts: Sequence[Act]) -> int:
    spans: dict[int, tuple[float, float]] = {}
    for act in acts:
        first, last = spans.get(act.token, (act.done_ms, act.done_ms))
        spans[act.token] = (min(first, act.done_ms), max(last, act.done_ms))
    ordered = sorted(spans.items())
    return sum(1 for (_, (_, a_last)), (_, (b_first, _)) in itertools.pairwise(ordered)
               if b_first <= a_last)  # fmt: skip


def longest_gap(
    times: Sequence[float], end_ms: float | None, excused: Sequence[tuple[float, float]]
) -> float:
    points = sorted(times) + ([end_ms] if end_ms is not None and times else [])
    most = 0.0
    for before, after in itertools.pairwise(points):
        gap = after - before
        for start, stop in excused:
            gap -= max(0.0, min(after, stop) - max(before, start))
        most = max(most, gap)
    return most


def check(acts: Iterable[Act], end_ms: float | None = None,
          excused: Sequence[tuple[float, float]] = ()) -> Verdict:  # fmt: skip
    """The verdict over all duties; `end_ms` and `excused` are on the sink's clock."""
    by_duty: dict[str, list[Act]] = defaultdict(list)
    for act in acts:
        by_duty[act.duty].append(act)
    overlaps = stale = unaccounted = refused = count = 0
    orphan = 0.0
    for duty_acts in by_duty.values():
        overlaps += spans_crossing(duty_acts)
        highest = 0
        for act in duty_acts:
            count += 1
            if act.accepted:
                stale += act.token < highest
                highest = max(highest, act.token)
            else:
                refused += 1
                unaccounted += act.token >= highest
        accepted = [act.at_ms for act in duty_acts if act.accepted]
        orphan = max(orphan, longest_gap(accepted, end_ms, excused))
    return Verdict(overlaps, stale, unaccounted, orphan, count, refused)


def check_sinks(sinks: Sequence[Sequence[Act]], end_ms: float | None = None,
                excused: Sequence[tuple[float, float]] = ()) -> Verdict:  # fmt: skip
    """The verdict over several sinks. Each has a fence of its own, so tokens are judged sink by sink; holders
    are judged over all, since two that act at two sinks at once are two holders."""
    each = [check(acts, end_ms, excused) for acts in sinks]
    crossing = check(sorted((act for acts in sinks for act in acts), key=lambda act: act.at_ms))
    return Verdict(crossing.overlaps, sum(v.stale_accepted for v in each), sum(v.unaccounted for v in each),
                   max((v.orphan_max_ms for v in each), default=0.0), crossing.acts,
                   sum(v.refused for v in each))  # fmt: skip
