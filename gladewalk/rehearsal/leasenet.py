"""Leases in virtual time: directors with clocks of their own, a network that loses, doubles, delays and cuts
one way, pauses, crashes and restarts, and a sink that fences what they do. All from one seed.

Each director runs the real `Elector` and `Candidate`, and acts under each duty it holds every `act_ms`. An
act that was decided just before a pause is sent after it, as a process stopped between its check and its
write would; acts travel to the sink with delays of their own, so that late ones arrive after newer ones.
Besides the acts, the world knows in real time until when each holder believes that it holds, up to its pause
or death: two such spans of one duty that cross are an overlap however seldom the holders act.
"""

from __future__ import annotations

import dataclasses
import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from ..leases.candidate import Candidate
from ..leases.configuration import LeaseTerms, majority
from ..leases.dispatch import hear
from ..leases.fence import Fence
from ..leases.history import Verdict, check
from ..leases.messages import Vote, decode, encode
from ..leases.outputs import Granted, Out, Save, Send, granted_of
from ..leases.voter import Elector

DUTIES = ("purge", "report")
ACT_MS = 50.0


@dataclass(slots=True, eq=False)
class Director:
    name: str
    rate: float  # of its clock against real time
    offset: float
    elector: Elector
    candidate: Candidate
    disk: dict[str, Granted] = field(default_factory=dict)  # what `Save` made durable
    up: bool = True
    paused_until: float = 0.0
    run: int = 0  # a timer of an older run, or of before a pause, is void
    waiting: list[tuple[str, bytes]] = field(default_factory=list)
    torn_ms: float = 0.0  # killed at its next save, before the grant goes out, and back after so long

    def clock(self, now: float) -> float:
        return self.offset + self.rate * now


@dataclass(slots=True)
class Fault:
    """One line of a schedule: at `at_ms`, for `ms`, `kind` on `who` (names, or a side of a partition)."""

    at_ms: float
    ms: float
    kind: str  # pause, kill, torn, stop, cut_out, cut_in, partition, loss, double, late_acts
    who: tuple[str, ...]
    amount: float = 0.0


class World:
    """Directors d0..d(n-1), all of them electors and candidates; real time starts at 0."""

    def __init__(self, seed: int, n: int, terms: LeaseTerms | None = None, fence: Fence | None = None,
                 drift: float = 0.01) -> None:  # fmt: skip
        self.random = random.Random(seed)
        self.terms = terms or LeaseTerms()
        self.fence = fence or Fence()
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0
        self.names = tuple(f"d{i}" for i in range(n))
        self.drift = drift
        self.loss = self.double = 0.0
        self.cut: set[tuple[str, str]] = set()  # (from, to) that passes nothing
        self.late_acts = 0.0  # a chance that an act is held up on its way to the sink
        self.directors = {name: self.boot(name) for name in self.names}
        self.excused: list[tuple[float, float]] = []
        self.beliefs: dict[tuple[str, int], list[float]] = {}  # (duty, token) -> first, last real ms held
        self.believers: dict[tuple[str, int], str] = {}

    def boot(self, name: str, disk: dict[str, Granted] | None = None) -> Director:
        rate = 1.0 + self.random.uniform(-self.drift, self.drift)
        offset = self.random.uniform(0.0, 1e6)
        rng = random.Random(self.random.random())
        local = offset + rate * self.now
        kept = dict(disk or {})
        director = Director(name, rate, offset, Elector(name, self.terms, local, kept),
                            Candidate(name, self.names, DUTIES, self.terms, rng, local), kept)  # fmt: skip
        return director

    def after(self, ms: float, call: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.queue, (self.now + ms, self.count, call))

    def run_until(self, end: float) -> None:
        while self.queue and self.queue[0][0] <= end:
            self.now, _, call = heapq.heappop(self.queue)
            call()
        self.now = end

    # A director's loop.

    def start(self) -> None:
        for director in self.directors.values():
            self.wake(director, director.run)

    def wake(self, director: Director, run: int) -> None:
        if run != director.run or not director.up:
            return
        local = director.clock(self.now)
        self.carry_out(director, director.candidate.tick(local))
        for duty in DUTIES:
            token = director.candidate.token(duty, local)
            if token is not None:
                self.believe(director, duty, token, local)
                self.act(director, duty, token, self.now)
        due = min(director.candidate.next_due_ms(), local + ACT_MS)
        self.after(max((due - local) / director.rate, 0.1), lambda: self.wake(director, run))

    def believe(self, director: Director, duty: str, token: int, local: float) -> None:
        until = (director.candidate.duties[duty].until_ms - director.offset) / director.rate
        span = self.beliefs.setdefault((duty, token), [self.now, until])
        span[1] = max(span[1], until)
        self.believers[(duty, token)] = director.name

    def disbelieve(self, name: str) -> None:
        """It can act no more from now: paused, killed, or it stepped down."""
        for key, span in self.beliefs.items():
            if self.believers[key] == name:
                span[1] = min(span[1], max(self.now, span[0]))

    def belief_overlaps(self) -> int:
        """Pairs of spans of one duty, held by two directors, that cross (a holder that raised its own term
        holds both of its spans at once, and rightly)."""
        spans = sorted((duty, span[0], span[1], self.believers[duty, token])
                       for (duty, token), span in self.beliefs.items())  # fmt: skip
        crossing = 0
        for i, (duty, first, last, who) in enumerate(spans):
            for o_duty, o_first, o_last, o_who in spans[i + 1 :]:
                crossing += o_duty == duty and o_who != who and o_first <= last and first <= o_last
        return crossing

    def act(self, director: Director, duty: str, token: int, done: float) -> None:
        delay = self.random.uniform(0.2, 3.0)
        if self.random.random() < self.late_acts:
            delay += self.random.uniform(100.0, 2_000.0)
        def land() -> None:
            self.fence.offer(duty, token, director.name, done, self.now)

        self.after(delay, land)

    def carry_out(self, director: Director, out: list[Out] | tuple[Out, ...]) -> None:
        for action in out:
            if isinstance(action, Save):
                assert action.value is not None
                director.disk[action.key] = granted_of(action.value)
                director.elector.saved(action.key, action.value)
                if director.torn_ms:  # killed between a save and its grant: the save stands, no grant is sent
                    self.kill(director.name, director.torn_ms)
                    return
                self.carry_out(director, action.then)
            elif isinstance(action, Send):
                self.post(director.name, action.to, encode(action.message))

    def post(self, source: str, target: str, data: bytes) -> None:
        if (source, target) in self.cut or self.random.random() < self.loss:
            return
        copies = 2 if self.random.random() < self.double else 1
        for _ in range(copies):
            self.after(self.random.uniform(0.2, 5.0), lambda: self.deliver(target, data))

    def deliver(self, target: str, data: bytes) -> None:
        director = self.directors[target]
        if not director.up:
            return
        if self.now < director.paused_until:
            director.waiting.append((target, data))
            return
        message = decode(data)
        assert isinstance(message, Vote)
        out = hear(director.elector, director.candidate, message, director.clock(self.now))
        self.carry_out(director, out)

    # Faults.

    def pause(self, name: str, ms: float) -> None:
        director = self.directors[name]
        local = director.clock(self.now)
        decided = [(duty, token) for duty in DUTIES if (token := director.candidate.token(duty, local))]
        director.run += 1
        director.paused_until = self.now + ms
        self.disbelieve(name)
        done = self.now

        def resume() -> None:
            if not director.up:
                return
            for duty, token in decided:  # written after the pause, with what was read before it
                self.act(director, duty, token, done)
            waiting, director.waiting = director.waiting, []
            self.wake(director, director.run)
            for target, data in waiting:
                self.deliver(target, data)

        self.after(ms, resume)

    def kill(self, name: str, ms: float) -> None:
        """SIGKILL, and a start under the same name `ms` later, with what its disk kept."""
        old = self.directors[name]
        if not old.up:  # down already, and its start to come: one process to a name
            return
        old.up = False
        self.disbelieve(name)
        disk = dict(old.disk)

        def restart() -> None:
            director = self.directors[name] = self.boot(name, disk)
            self.wake(director, director.run)

        self.after(ms, restart)

    def clean_stop(self, name: str, ms: float) -> None:
        director = self.directors[name]
        if not director.up:
            return
        local = director.clock(self.now)
        for duty in DUTIES:
            self.carry_out(director, director.candidate.step_down(duty, local))
        self.disbelieve(name)
        self.kill(name, ms)

    def hand_on(self) -> None:
        """Whoever holds a duty gives it up to anybody."""
        for director in self.directors.values():
            if director.up and self.now >= director.paused_until:
                for duty in DUTIES:
                    self.carry_out(director, director.candidate.step_down(duty, director.clock(self.now)))
                self.disbelieve(director.name)

    def apply(self, fault: Fault) -> None:
        end = fault.at_ms + fault.ms
        pairs: set[tuple[str, str]] = set()
        if fault.kind == "pause":
            self.pause(fault.who[0], fault.ms)
        elif fault.kind == "kill":
            self.kill(fault.who[0], fault.ms)
        elif fault.kind == "torn":
            self.directors[fault.who[0]].torn_ms = fault.ms
            self.hand_on()  # saves come with a new term alone
        elif fault.kind == "stop":
            self.clean_stop(fault.who[0], fault.ms)
        elif fault.kind == "clock":  # runs fast or slow by the whole bound from now on, without a jump
            director = self.directors[fault.who[0]]
            rate = 1.0 + (self.drift if fault.amount > 0.2 else -self.drift)
            director.offset, director.rate = director.clock(self.now) - rate * self.now, rate
        elif fault.kind == "cut_out":  # it hears all, nobody hears it
            pairs = {(fault.who[0], other) for other in self.names if other != fault.who[0]}
        elif fault.kind == "cut_in":
            pairs = {(other, fault.who[0]) for other in self.names if other != fault.who[0]}
        elif fault.kind == "partition":
            pairs = {(a, b) for a in self.names for b in self.names if (a in fault.who) != (b in fault.who)}
        elif fault.kind in ("loss", "double", "late_acts"):
            setattr(self, fault.kind, fault.amount)
            self.after(fault.ms, lambda: setattr(self, fault.kind, 0.0))
        if pairs:
            self.cut |= pairs
            self.after(fault.ms, lambda: self.cut.difference_update(pairs))
        if fault.kind in ("kill", "torn", "stop", "pause") and len(fault.who) > 1:
            for other in fault.who[1:]:
                self.apply(Fault(fault.at_ms, fault.ms, fault.kind, (other,)))
        if self.gone_majority(fault):
            self.excused.append((fault.at_ms, end + 2 * self.terms.promise_ms))

    def gone_majority(self, fault: Fault) -> bool:
        """A fault after which no holder can be: too many down, or no side with a majority."""
        need = majority(len(self.names))
        if fault.kind in ("kill", "torn", "stop", "pause"):
            return len(fault.who) > len(self.names) - need
        if fault.kind == "partition":
            return max(len(fault.who), len(self.names) - len(fault.who)) < need
        return False


KINDS = ("pause", "pause", "kill", "torn", "stop", "cut_out", "cut_in", "partition", "loss", "double",
         "late_acts", "clock")  # fmt: skip
TIMING = ("cut_out", "partition", "clock", "clock")  # where the margins alone keep holders apart


def schedule(seed: int, names: tuple[str, ...], length_ms: float, faults: int,
             kinds: tuple[str, ...] = KINDS) -> list[Fault]:  # fmt: skip
    """A seeded list of faults, each over before the run's last two seconds."""
    rng = random.Random(seed ^ 0x5EED)
    out: list[Fault] = []
    for _ in range(faults):
        kind = rng.choice(kinds)
        at = rng.uniform(1_500.0, length_ms - 4_000.0)
        ms = rng.uniform(200.0, 2_500.0)
        count = rng.randint(1, len(names) // 2 + 1) if kind in ("kill", "pause") else 1
        who = tuple(rng.sample(names, count if kind != "partition" else rng.randint(1, len(names) - 1)))
        out.append(Fault(at, ms, kind, who, rng.uniform(0.05, 0.4)))
    return sorted(out, key=lambda fault: fault.at_ms)


def play(
    seed: int, n: int, length_ms: float = 8_000.0, faults: int = 3, terms: LeaseTerms | None = None,
    fence: Fence | None = None, drift: float = 0.01, kinds: tuple[str, ...] = KINDS,
) -> Verdict:  # fmt: skip
    """One seeded run, checked: its verdict over what the sink recorded, and overlaps of beliefs added."""
    world = World(seed, n, terms, fence, drift)
    for fault in schedule(seed, world.names, length_ms, faults, kinds):
        world.after(fault.at_ms, lambda fault=fault: world.apply(fault))  # type: ignore[misc]
    world.start()
    world.run_until(length_ms)
    verdict = check(world.fence.acts, length_ms, world.excused)
    return dataclasses.replace(verdict, overlaps=verdict.overlaps + world.belief_overlaps())


def play_skewed(seed: int, n: int = 3, terms: LeaseTerms | None = None, drift: float = 0.02) -> Verdict:
    """The case the margins are for: the holder's clock slow by the whole bound, every other fast by it, and
    the holder cut off one way, so that it hears the electors and they do not hear it."""
    world = World(seed, n, terms, drift=drift)
    world.start()
    world.run_until(2_500.0)
    held = [name for name, d in world.directors.items() if d.candidate.token(DUTIES[0], d.clock(world.now))]
    victim = held[0] if held else world.names[0]
    for name in world.names:
        world.apply(Fault(world.now, 0.0, "clock", (name,), 0.0 if name == victim else 1.0))
    world.after(200.0, lambda: world.apply(Fault(world.now, 3_000.0, "cut_out", (victim,))))
    world.run_until(7_000.0)
    verdict = check(world.fence.acts, 7_000.0, world.excused)
    return dataclasses.replace(verdict, overlaps=verdict.overlaps + world.belief_overlaps())
