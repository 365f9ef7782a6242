"""A cold server under the sum of many dispatchers that know nothing of each other.

Each dispatcher is the real one; attempts end as caches end them. What all send to the server in any time in
which it falls is held against the settings' budget of N requests of mean work, 2 x root of N + 2 for chance.
Where dispatchers are told no numbers their lots, too, are drawn by chance: there it is 3 x root of N + 3.
"""

from __future__ import annotations

import heapq
import math
import random
from dataclasses import dataclass, field, replace
from typing import Any

import pytest

from gladewalk import Dispatcher
from gladewalk import interface as api

from .world import CACHES, ORIGIN, PAGE, PARENTS, SETTINGS

CLASSES = (
    replace(PAGE, latency_objective_ms=300.0),
    api.RequestClass("video", latency_objective_ms=600.0, deadline_ms=5000.0),
)
MIX = (*(("page", 50.0),) * 4, ("video", 400.0))  # classes and their work
MEAN_MS = sum(work for _, work in MIX) / len(MIX)
WARM_MS, LENGTH_MS, RAMP_MS, WINDOW_MS = 3_000.0, 4_000.0, 10_000.0, 1_000.0
FALL, SHARE = 3.0, 0.2


@dataclass
class Fleet:
    """`senders` dispatchers of one location; its cache c0 starts cold `WARM_MS` into the run."""

    senders: int
    size: float
    lull_ms: float  # nobody is asked for so long from the start of the cold cache on
    each_per_s: float
    seed: int
    numbered: bool = True
    now: float = 100_000.0
    sent: list[tuple[float, float]] = field(default_factory=list)  # to the cold cache: when, of which work

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.chance = 2.0 if self.numbered else 3.0
        self.start = self.now + WARM_MS
        settings = replace(
            SETTINGS, classes=CLASSES, client_rate_kb_per_s=1_000.0, dispatcher_count=self.senders,
            slow_start_fraction=SHARE,
            dispatchers_by_zone=(0, 0, self.senders, 1), slow_start_ms=RAMP_MS, overload_multiple=FALL,
            overload_window_ms=WINDOW_MS,
        )  # fmt: skip
        self.caches = tuple(replace(s, capacity=self.size) for s in CACHES)
        self.dispatchers = [
            Dispatcher(replace(settings, dispatcher_index=n if self.numbered else -1), self.seed * 1_000 + n)
            for n in range(self.senders)
        ]
        self.works: dict[tuple[int, int], float] = {}
        self.tries: dict[tuple[int, int], int] = {}
        self.due: list[tuple[float, int, int, api.Event]] = []
        self.count = 0
        for number, dispatcher in enumerate(self.dispatchers):
            known = api.EndpointList(api.EndpointListKind.PERSISTED, (*self.caches, *PARENTS, ORIGIN))
            dispatcher.handle(self.now, known)
            self.later(self.random.random() * 50.0, number, api.Timer("sweep"))
            cold = api.EndpointList(
                api.EndpointListKind.DELTA, (replace(self.caches[0], started_ms=self.start),)
            )
            self.later(WARM_MS, number, cold)
            at = 0.0
            while (at := at + self.random.expovariate(self.each_per_s / 1_000.0)) < WARM_MS + LENGTH_MS:
                if not 0.0 <= at - WARM_MS < self.lull_ms:
                    self.later(at, number, self.request())

    def request(self) -> api.Request:
        name, work = self.random.choice(MIX)
        return api.Request(self.count, name, self.random.randrange(60), 3_000.0, size_kb=work)

    def later(self, after_ms: float, number: int, event: api.Event) -> None:
        self.count += 1
        heapq.heappush(self.due, (self.now + after_ms, self.count, number, event))

    def run(self) -> Fleet:
        while self.due:
            self.now, _, number, event = heapq.heappop(self.due)
            if self.now > self.start + LENGTH_MS:
                break
            if isinstance(event, api.Timer):
                self.later(50.0, number, event)
            if isinstance(event, api.Request):
                self.works[number, event.id] = event.size_kb
            for action in self.dispatchers[number].handle(self.now, event):
                if isinstance(action, api.Lookup | api.Fetch):
                    self.carry(number, action)
        return self

    def carry(self, number: int, order: Any) -> None:
        key = (number, order.id)
        attempt = self.tries[key] = self.tries.get(key, -1) + 1
        if order.server == "c0" and self.now >= self.start:
            self.sent.append((self.now, self.works[key] / MEAN_MS))
        note = api.OutcomeDetail.HIT if isinstance(order, api.Lookup) else api.OutcomeDetail.FILLED
        took = self.works[key]
        outcome = api.Outcome(order.id, attempt, order.server, api.Status.OK, took, True, detail=note)
        self.later(took, number, outcome)

    def budget(self, at_ms: float) -> float:
        """N, in a time that begins then: what the settings allow, at the warmth of its beginning."""
        warmth = SHARE + (1.0 - SHARE) * max(0.0, at_ms - self.start) / RAMP_MS
        return FALL * self.size * warmth * WINDOW_MS / MEAN_MS

    def worst(self) -> float:
        """The most that was sent in any such time, over what chance is granted."""
        worst, sum_, first = 0.0, 0.0, 0
        for at, work in self.sent:
            sum_ += work
            while self.sent[first][0] < at - WINDOW_MS:
                sum_ -= self.sent[first][1]
                first += 1
            n = self.budget(at - WINDOW_MS)
            worst = max(worst, sum_ / (n + self.chance * (math.sqrt(n) + 1.0)))
        return worst


CASES = [
    (20, 2.0, 0.0, 30.0, True),  # all want more than there is, from the start on
    (30, 4.0, 0.0, 30.0, True),
    (30, 4.0, 0.0, 30.0, False),  # no numbers told: lots are drawn by chance
    (30, 8.0, 2_000.0, 20.0, True),  # nothing comes for long, and then at all of them at once
    (4, 2.0, 1_500.0, 40.0, True),
]


@pytest.mark.parametrize(("senders", "size", "lull_ms", "each_per_s", "numbered"), CASES)
def test_a_cold_server_bears_the_sum_of_what_all_send(
    senders: int, size: float, lull_ms: float, each_per_s: float, numbered: bool
) -> None:
    runs = [Fleet(senders, size, lull_ms, each_per_s, seed, numbered).run() for seed in (1, 2)]
    assert max(run.worst() for run in runs) <= 1.0
    for run in runs:  # and the budget is made use of
        took = sum(work for _, work in run.sent)
        assert took > 0.3 * run.budget(run.start + LENGTH_MS / 2.0) * (LENGTH_MS - lull_ms) / WINDOW_MS
