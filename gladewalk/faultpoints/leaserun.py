"""Leases at their points: three directors, two duties, a hand-over by wish and one by death."""

from __future__ import annotations

import contextlib
from collections.abc import Callable

from ..leases.configuration import LeaseTerms
from ..leases.dispatch import hear
from ..leases.history import check
from ..leases.messages import Vote, decode, encode
from ..leases.outputs import Out, Save, Send, granted_of
from ..rehearsal.leasenet import DUTIES, Director, World
from .points import Kind, Points

END_MS = 7_000.0
QUIET_MS = 3_000.0  # at the end without a fault: by then each duty is held
STALL_MS = 1_600.0  # over the time of a lease
LATE_MS = 1_800.0
DOWN_MS = 700.0


class Gone(Exception):
    """The process that was carrying something out is no more, or stands still: the rest of it is not done."""


class FaultWorld(World):
    def __init__(self, points: Points, seed: int, n: int, terms: LeaseTerms | None = None) -> None:
        super().__init__(seed, n, terms)
        self.points = points
        self.acted: set[tuple[str, int]] = set()

    def strikes(self, director: Director, name: str) -> Kind | None:
        kind = self.points.reach(name)
        if kind is Kind.KILL:
            self.kill(director.name, DOWN_MS)
            raise Gone
        return kind

    def carry_out(self, director: Director, out: list[Out] | tuple[Out, ...]) -> None:
        with contextlib.suppress(Gone):
            self._carry_out(director, out)

    def _carry_out(self, director: Director, out: list[Out] | tuple[Out, ...]) -> None:
        for action in out:
            if isinstance(action, Save):
                assert action.value is not None
                kind = self.strikes(director, "leases.save.grant")
                director.disk[action.key] = granted_of(action.value)
                director.elector.saved(action.key, action.value)
                if kind is Kind.STALL:  # saved, and stopped before the grant goes out
                    later = action.then
                    self.pause(director.name, STALL_MS)
                    self.after(STALL_MS + 0.1, lambda later=later: self.carry_out(director, later))  # type: ignore[misc]
                else:
                    self._carry_out(director, action.then)
            elif isinstance(action, Send):
                self._send(director, action)

    def _send(self, director: Director, action: Send) -> None:
        kind = self.strikes(director, f"leases.send.{type(action.message).__name__}")
        data = encode(action.message)
        if kind is Kind.LOSE:
            return
        if kind is Kind.LATE:
            self.after(LATE_MS, lambda: self.deliver(action.to, data))
            return
        for _ in range(2 if kind is Kind.DOUBLE else 1):
            self.post(director.name, action.to, data)
        if kind is Kind.STALL:
            self.pause(director.name, STALL_MS)

    def deliver(self, target: str, data: bytes) -> None:
        director = self.directors[target]
        if director.up and self.now >= director.paused_until:
            message = decode(data)
            try:
                kind = self.strikes(director, f"leases.take.{type(message).__name__}")
            except Gone:
                return
            if kind is Kind.STALL:
                self.pause(target, STALL_MS)
            elif isinstance(message, Vote):
                out = hear(director.elector, director.candidate, message, director.clock(self.now))
                self.carry_out(director, out)
                return
        super().deliver(target, data)

    def act(self, director: Director, duty: str, token: int, done: float) -> None:
        first = (duty, token) not in self.acted
        self.acted.add((duty, token))
        try:
            kind = self.strikes(director, f"leases.act.{'begin' if first else 'repeat'}")
        except Gone:
            return
        if kind is Kind.LATE:
            self.after(LATE_MS, lambda: super(FaultWorld, self).act(director, duty, token, done))
            return
        super().act(director, duty, token, done)
        if kind is Kind.STALL and self.now >= director.paused_until:
            self.pause(director.name, STALL_MS)


def play(points: Points, change: Callable[[FaultWorld], None] | None = None) -> str:
    world = FaultWorld(points, seed=11, n=3)
    if change is not None:
        change(world)
    world.start()
    world.run_until(2_200.0)
    world.kill(world.names[-1], 300.0)  # back, it grants nothing for as long as it may have promised to
    world.run_until(2_600.0)
    world.hand_on()
    world.run_until(END_MS - QUIET_MS)
    points.counting = False
    world.run_until(END_MS)
    verdict = check(world.fence.acts, END_MS)
    if not verdict.safe or world.belief_overlaps():
        return f"{verdict} and {world.belief_overlaps()} beliefs that cross"
    lately = {act.duty for act in world.fence.acts if act.accepted and act.at_ms > END_MS - 500.0}
    return "" if lately == set(DUTIES) else f"held in the end: {sorted(lately)}"
