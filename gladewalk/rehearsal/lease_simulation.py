"""Leases in virtual time: directors with clocks of their own, a faulty network and a fenced resource.

The network loses, duplicates, delays and cuts one way; directors pause, crash and restart. Everything is
drawn from one seed. Each director runs the real `Voter` and `LeaseCandidate`, and operates under each lease
that it holds every `OPERATION_INTERVAL_MS`. An operation that was decided just before a pause is sent after
it, as by a process that was stopped between its check and its write; operations travel to the resource with
delays of their own, so that late ones arrive after newer ones.

Besides the operations, the simulation knows in real time until when each holder believes that it holds, up
to its pause or death: two such spans of one task that cross are an overlap, however seldom holders operate.
"""

from __future__ import annotations

import dataclasses
import heapq
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from ..leases.candidate import LeaseCandidate
from ..leases.configuration import LeaseConfig, majority
from ..leases.dispatch import dispatch_election_message
from ..leases.fence import Fence
from ..leases.history import TimeSpan, Verdict, check_history
from ..leases.messages import ElectionMessage, decode, encode
from ..leases.outputs import GrantRecord, Output, Save, Send, decode_grant
from ..leases.voter import Voter
from .lease_beliefs import BeliefLog
from .lease_faults import PROCESS_FAULTS, SCHEDULED_KINDS, Fault, FaultKind, generate_schedule

TASKS = ("purge", "report")
OPERATION_INTERVAL_MS = 50.0
MIN_TICK_MS = 0.1
NETWORK_DELAY_MS = (0.2, 5.0)
OPERATION_DELAY_MS = (0.2, 3.0)
LATE_OPERATION_DELAY_MS = (100.0, 2_000.0)
MAX_CLOCK_OFFSET_MS = 1e6


@dataclass(slots=True, eq=False)
class SimulatedDirector:
    """One director: its state machines, clock and disk, and whether it runs."""

    name: str
    clock_rate: float  # to real time
    clock_offset_ms: float
    voter: Voter
    candidate: LeaseCandidate
    disk: dict[str, GrantRecord] = field(default_factory=dict)  # durable grants by task
    is_up: bool = True
    paused_until_ms: float = 0.0
    timer_epoch: int = 0  # a timer of an older epoch, from before a pause, is void
    undelivered: list[bytes] = field(default_factory=list)  # received while paused
    torn_grant_ms: float = 0.0  # if set: killed at its next save, and down for so long

    def clock(self, real_ms: float) -> float:
        """Returns the time on this director's clock."""
        return self.clock_offset_ms + self.clock_rate * real_ms


class LeaseSimulation:
    """Directors d0 to d(n-1), all of them voters and candidates; real time starts at 0."""

    def __init__(
        self,
        seed: int,
        director_count: int,
        config: LeaseConfig | None = None,
        fence: Fence | None = None,
        clock_drift: float = 0.01,
    ) -> None:
        self.random = random.Random(seed)
        self.config = config or LeaseConfig()
        self.fence = fence or Fence()
        self.now_ms = 0.0
        self.names = tuple(f"d{number}" for number in range(director_count))
        self.clock_drift = clock_drift
        self.loss_probability = self.duplication_probability = self.late_operation_probability = 0.0
        self.cut_paths: set[tuple[str, str]] = set()  # from, to
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._queued_count = 0
        self.directors = {name: self._boot(name, {}) for name in self.names}
        self.excused: list[TimeSpan] = []  # in which no director can hold
        self.beliefs = BeliefLog()

    def _boot(self, name: str, disk: dict[str, GrantRecord]) -> SimulatedDirector:
        rate = 1.0 + self.random.uniform(-self.clock_drift, self.clock_drift)
        offset_ms = self.random.uniform(0.0, MAX_CLOCK_OFFSET_MS)
        rng = random.Random(self.random.random())
        local_ms = offset_ms + rate * self.now_ms
        voter = Voter(name, self.config, local_ms, disk)
        candidate = LeaseCandidate(name, self.names, TASKS, self.config, rng, local_ms)
        return SimulatedDirector(name, rate, offset_ms, voter, candidate, disk)

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Runs an action after so much virtual time."""
        self._queued_count += 1
        heapq.heappush(self._queue, (self.now_ms + delay_ms, self._queued_count, action))

    def run_until(self, end_ms: float) -> None:
        """Lets virtual time pass."""
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._queue)
            action()
        self.now_ms = end_ms

    def schedule(self, faults: Sequence[Fault]) -> None:
        """Applies each fault at its time."""
        for fault in faults:
            self.after(fault.at_ms, lambda fault=fault: self.apply(fault))  # type: ignore[misc]

    def verdict(self) -> Verdict:
        """Judges the resource's record up to now, and counts overlapping beliefs as overlaps."""
        verdict = check_history(self.fence.records, self.now_ms, self.excused)
        return dataclasses.replace(verdict, overlaps=verdict.overlaps + self.beliefs.count_overlaps())

    # A director's loop.

    def start(self) -> None:
        """Starts every director."""
        for director in self.directors.values():
            self._wake(director, director.timer_epoch)

    def _wake(self, director: SimulatedDirector, timer_epoch: int) -> None:
        if timer_epoch != director.timer_epoch or not director.is_up:
            return
        local_ms = director.clock(self.now_ms)
        self.carry_out(director, director.candidate.tick(local_ms))
        for task in TASKS:
            token = director.candidate.token(task, local_ms)
            if token is not None:
                self._note_belief(director, task, token)
                self.operate(director, task, token, self.now_ms)
        due_ms = min(director.candidate.next_due_ms(), local_ms + OPERATION_INTERVAL_MS)
        wait_ms = max((due_ms - local_ms) / director.clock_rate, MIN_TICK_MS)
        self.after(wait_ms, lambda: self._wake(director, timer_epoch))

    def _note_belief(self, director: SimulatedDirector, task: str, token: int) -> None:
        expires_at_ms = director.candidate.leases[task].expires_at_ms
        until_ms = (expires_at_ms - director.clock_offset_ms) / director.clock_rate
        self.beliefs.note(director.name, task, token, self.now_ms, until_ms)

    def operate(self, director: SimulatedDirector, task: str, token: int, performed_at_ms: float) -> None:
        """Sends an operation on its way to the fenced resource."""
        delay_ms = self.random.uniform(*OPERATION_DELAY_MS)
        if self.random.random() < self.late_operation_probability:
            delay_ms += self.random.uniform(*LATE_OPERATION_DELAY_MS)

        def arrive() -> None:
            self.fence.admit(task, token, director.name, performed_at_ms, self.now_ms)

        self.after(delay_ms, arrive)

    def carry_out(self, director: SimulatedDirector, outputs: Sequence[Output]) -> None:
        """Does what a director's state machines ask for."""
        for output in outputs:
            if isinstance(output, Save):
                self.save_grant(director, output)
                if director.torn_grant_ms:  # the save stands, no grant is sent
                    self.kill(director.name, director.torn_grant_ms)
                    return
                self.carry_out(director, output.on_durable)
            elif isinstance(output, Send):
                self.post(director.name, output.recipient, encode(output.message))

    def save_grant(self, director: SimulatedDirector, save: Save) -> None:
        """Makes a grant durable on the director's disk."""
        assert save.value is not None
        director.disk[save.key] = decode_grant(save.value)
        director.voter.mark_durable(save.key, save.value)

    def post(self, source: str, target: str, payload: bytes) -> None:
        """Sends a datagram over the faulty network."""
        if (source, target) in self.cut_paths or self.random.random() < self.loss_probability:
            return
        copies = 2 if self.random.random() < self.duplication_probability else 1
        for _ in range(copies):
            self.after(self.random.uniform(*NETWORK_DELAY_MS), lambda: self.deliver(target, payload))

    def deliver(self, target: str, payload: bytes) -> None:
        """Delivers a datagram, after the pause if the director is paused."""
        director = self.directors[target]
        if not director.is_up:
            return
        if self.now_ms < director.paused_until_ms:
            director.undelivered.append(payload)
            return
        message = decode(payload)
        assert isinstance(message, ElectionMessage)
        local_ms = director.clock(self.now_ms)
        self.carry_out(
            director, dispatch_election_message(director.voter, director.candidate, message, local_ms)
        )

    # Faults.

    def pause(self, name: str, duration_ms: float) -> None:
        """Stops a director for a while; what it had decided before is sent afterwards."""
        director = self.directors[name]
        local_ms = director.clock(self.now_ms)
        tokens = {task: director.candidate.token(task, local_ms) for task in TASKS}
        director.timer_epoch += 1
        director.paused_until_ms = self.now_ms + duration_ms
        self.beliefs.end(name, self.now_ms)
        performed_at_ms = self.now_ms

        def resume() -> None:
            if not director.is_up:
                return
            for task, token in tokens.items():  # written after the pause, with what was read before it
                if token is not None:
                    self.operate(director, task, token, performed_at_ms)
            undelivered, director.undelivered = director.undelivered, []
            self._wake(director, director.timer_epoch)
            for payload in undelivered:
                self.deliver(name, payload)

        self.after(duration_ms, resume)

    def kill(self, name: str, duration_ms: float) -> None:
        """Kills a director, and starts it again under its name with what its disk has."""
        killed = self.directors[name]
        if not killed.is_up:  # down already, and its start to come: one process to a name
            return
        killed.is_up = False
        self.beliefs.end(name, self.now_ms)
        disk = dict(killed.disk)

        def restart() -> None:
            director = self.directors[name] = self._boot(name, disk)
            self._wake(director, director.timer_epoch)

        self.after(duration_ms, restart)

    def stop_cleanly(self, name: str, duration_ms: float) -> None:
        """Stops a director after it has stepped down from everything."""
        director = self.directors[name]
        if director.is_up:
            self._step_down(director)
            self.kill(name, duration_ms)

    def release_all_leases(self) -> None:
        """Lets whoever holds a lease give it up to anybody."""
        for director in self.directors.values():
            if director.is_up and self.now_ms >= director.paused_until_ms:
                self._step_down(director)

    def _step_down(self, director: SimulatedDirector) -> None:
        for task in TASKS:
            self.carry_out(director, director.candidate.step_down(task, director.clock(self.now_ms)))
        self.beliefs.end(director.name, self.now_ms)

    def _tear_grant(self, name: str, duration_ms: float) -> None:
        self.directors[name].torn_grant_ms = duration_ms
        self.release_all_leases()  # only a new term is saved

    def _set_clock_rate(self, fault: Fault) -> None:
        director = self.directors[fault.directors[0]]
        rate = 1.0 + (self.clock_drift if fault.amount > 0.2 else -self.clock_drift)
        director.clock_offset_ms = director.clock(self.now_ms) - rate * self.now_ms
        director.clock_rate = rate

    def _cut(self, fault: Fault) -> None:
        name, sides = fault.directors[0], set(fault.directors)
        others = [other for other in self.names if other != name]
        if fault.kind is FaultKind.CUT_OUTBOUND:
            paths = {(name, other) for other in others}
        elif fault.kind is FaultKind.CUT_INBOUND:
            paths = {(other, name) for other in others}
        else:
            paths = {
                (source, target)
                for source in self.names
                for target in self.names
                if (source in sides) != (target in sides)
            }
        if paths:
            self.cut_paths |= paths
            self.after(fault.duration_ms, lambda: self.cut_paths.difference_update(paths))

    def _degrade(self, fault: Fault) -> None:
        attribute = {
            FaultKind.LOSS: "loss_probability",
            FaultKind.DUPLICATION: "duplication_probability",
            FaultKind.LATE_OPERATIONS: "late_operation_probability",
        }[fault.kind]
        setattr(self, attribute, fault.amount)
        self.after(fault.duration_ms, lambda: setattr(self, attribute, 0.0))

    def apply(self, fault: Fault) -> None:
        """Causes a fault now; process faults hit each of their directors."""
        process_faults = {
            FaultKind.PAUSE: self.pause,
            FaultKind.KILL: self.kill,
            FaultKind.TORN_GRANT: self._tear_grant,
            FaultKind.CLEAN_STOP: self.stop_cleanly,
        }
        if fault.kind in process_faults:
            for name in fault.directors:
                process_faults[fault.kind](name, fault.duration_ms)
        elif fault.kind is FaultKind.CLOCK_RATE:
            self._set_clock_rate(fault)
        elif fault.kind in (FaultKind.CUT_OUTBOUND, FaultKind.CUT_INBOUND, FaultKind.PARTITION):
            self._cut(fault)
        else:
            self._degrade(fault)
        if self._leaves_no_majority(fault):
            end_ms = fault.at_ms + fault.duration_ms + 2 * self.config.promise_ms
            self.excused.append((fault.at_ms, end_ms))

    def _leaves_no_majority(self, fault: Fault) -> bool:
        hit, total = len(fault.directors), len(self.names)
        if fault.kind in PROCESS_FAULTS:
            return total - hit < majority(total)
        return fault.kind is FaultKind.PARTITION and max(hit, total - hit) < majority(total)


def run_schedule(
    seed: int,
    director_count: int,
    length_ms: float = 8_000.0,
    fault_count: int = 3,
    config: LeaseConfig | None = None,
    fence: Fence | None = None,
    clock_drift: float = 0.01,
    kinds: tuple[FaultKind, ...] = SCHEDULED_KINDS,
) -> Verdict:
    """Plays one seeded schedule and returns its verdict."""
    simulation = LeaseSimulation(seed, director_count, config, fence, clock_drift)
    simulation.schedule(generate_schedule(seed, simulation.names, length_ms, fault_count, kinds))
    simulation.start()
    simulation.run_until(length_ms)
    return simulation.verdict()


def run_with_skewed_clocks(
    seed: int, director_count: int = 3, config: LeaseConfig | None = None, clock_drift: float = 0.02
) -> Verdict:
    """Plays the case that the margins are for.

    The holder's clock is slow by the whole bound, every other fast by it, and the holder is cut off one way,
    so that it hears the voters and they do not hear it.
    """
    simulation = LeaseSimulation(seed, director_count, config, clock_drift=clock_drift)
    simulation.start()
    simulation.run_until(2_500.0)
    held_by = [
        name
        for name, director in simulation.directors.items()
        if director.candidate.token(TASKS[0], director.clock(simulation.now_ms))
    ]
    victim = held_by[0] if held_by else simulation.names[0]
    for name in simulation.names:
        amount = 0.0 if name == victim else 1.0
        simulation.apply(Fault(simulation.now_ms, 0.0, FaultKind.CLOCK_RATE, (name,), amount))

    def cut_off() -> None:
        simulation.apply(Fault(simulation.now_ms, 3_000.0, FaultKind.CUT_OUTBOUND, (victim,)))

    simulation.after(200.0, cut_off)
    simulation.run_until(7_000.0)
    return simulation.verdict()
