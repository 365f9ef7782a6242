"""The hard cases of membership, as schedules that both processes and a network in memory play. No I/O.

Each names the members it concerns by their place (0 and 1 are the seeds of all) and what must come of it:
nobody found dead wrongly in any, and in some that the victim is found dead by all others.
"""

from __future__ import annotations

from dataclasses import dataclass

from .schedule import Fault


@dataclass(slots=True, frozen=True)
class Case:
    name: str
    kind: str
    ms: float
    who: tuple[int, ...] = ()
    amount: float = 0.0
    found_dead: bool = False  # all others must hold the first of `who` dead meanwhile
    side: bool = False  # `who` is a side: two of five, and as many in proportion

    def faults(self, names: tuple[str, ...], at_ms: float = 0.0) -> list[Fault]:
        who = tuple(names[place] for place in self.who if place < len(names))
        if self.side:
            who = names[: max(1, len(names) * 2 // 5)]
        return [Fault(at_ms, self.ms, self.kind, who, self.amount)]


CASES = (
    Case("loss of 10 %", "loss", 12_000.0, amount=0.1),
    Case("loss of 30 %", "loss", 12_000.0, amount=0.3),
    Case("one link, one way", "link", 8_000.0, (0, 2)),
    Case("a flapping link", "flap", 9_000.0, (1, 2), amount=700.0),
    Case("200 ms and jitter", "delay", 12_000.0, amount=200.0),
    Case("heard by nobody", "cut_out", 7_000.0, (2,), found_dead=True),
    Case("a pause of 5 s", "pause", 5_000.0, (2,)),
    Case("a pause of 15 s", "pause", 15_000.0, (2,), found_dead=True),
    Case("a crash", "kill", 5_000.0, (2,), found_dead=True),
    Case("a crash of a seed", "kill", 5_000.0, (0,), found_dead=True),
    Case("a restart at once", "kill", 150.0, (2,)),
    Case("two sides", "partition", 20_000.0, side=True),
)
