"""Simulates leases in virtual time: directors with separate clocks, a faulty network and a fenced resource.

The network loses, duplicates and delays messages and cuts single directions; directors pause, crash and
restart. All random draws come from one seed. Each director runs the real `Voter` and `LeaseCandidate`, and
performs an operation every `OPERATION_INTERVAL_MS` under each lease that it holds. An operation that was
decided just before a pause is sent after the pause, as by a process that was stopped between its check and
its write. Each operation has its own delay to the resource, so that an older one can arrive after newer ones.

Besides the operations, the simulation records in real time the period in which each holder believes that it
holds a lease, up to its pause or crash. Two such periods of one task that intersect count as an overlap, even
if no operation falls into the intersection.
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
MIN_TICK_MS = 0.1  # least time between two timers of a director
NETWORK_DELAY_MS = (0.2, 5.0)  # range of a message's delay
OPERATION_DELAY_MS = (0.2, 3.0)  # range of an operation's delay to the resource
LATE_OPERATION_DELAY_MS = (100.0, 2_000.0)  # added by the fault `LATE_OPERATIONS`
MAX_CLOCK_OFFSET_MS = 1e6


@dataclass(slots=True, eq=False)
class SimulatedDirector:
    """A director: its state machines, clock, disk and process state."""

    name: str
    clock_rate: float  # relative to real time
    clock_offset_ms: float
    voter: Voter
    candidate: LeaseCandidate
    disk: dict[str, GrantRecord] = field(default_factory=dict)  # durable grants by task
    is_up: bool = True
    paused_until_ms: float = 0.0
    timer_epoch: int = 0  # timers of an earlier epoch, set before a pause, are ignored
    undelivered: list[bytes] = field(default_factory=list)  # received while paused
    torn_grant_ms: float = 0.0  # if not 0: killed at its next save, and restarted after this time

    def clock(self, real_ms: float) -> float:
        """Returns the time on this director's clock."""
        return self.clock_offset_ms + self.clock_rate * real_ms


class LeaseSimulation:
    """Directors d0 to d(n-1), each both voter and candidate; real time starts at 0."""

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
        self.cut_paths: set[tuple[str, str]] = set()  # (source, target)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._queued_count = 0
        self.directors = {name: self._boot(name, {}) for name in self.names}
        self.excused: list[TimeSpan] = []  # periods in which no director can hold a lease
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
        """Runs an action after a delay in virtual time."""
        self._queued_count += 1
        heapq.heappush(self._queue, (self.now_ms + delay_ms, self._queued_count, action))

    def run_until(self, end_ms: float) -> None:
        """Advances virtual time to `end_ms` and runs all actions due until then."""
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._queue)
            action()
        self.now_ms = end_ms

    def schedule(self, faults: Sequence[Fault]) -> None:
        """Applies each fault at its time."""
        for fault in faults:
            self.after(fault.at_ms, lambda fault=fault: self.apply(fault))  # type: ignore[misc]

    def verdict(self) -> Verdict:
        """Checks the resource's record up to now; overlapping beliefs count as overlaps too."""
        verdict = check_history(self.fence.records, self.now_ms, self.excused)
        return dataclasses.replace(verdict, overlaps=verdict.overlaps + self.beliefs.count_overlaps())

    # The event loop of a director.

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
                self._record_belief(director, task, token)
                self.operate(director, task, token, self.now_ms)
        due_ms = min(director.candidate.next_due_ms(), local_ms + OPERATION_INTERVAL_MS)
        wait_ms = max((due_ms - local_ms) / director.clock_rate, MIN_TICK_MS)
        self.after(wait_ms, lambda: self._wake(director, timer_epoch))

    def _record_belief(self, director: SimulatedDirector, task: str, token: int) -> None:
        expires_at_ms = director.candidate.leases[task].expires_at_ms
        until_ms = (expires_at_ms - director.clock_offset_ms) / director.clock_rate
        self.beliefs.record(director.name, task, token, self.now_ms, until_ms)

    def operate(self, director: SimulatedDirector, task: str, token: int, performed_at_ms: float) -> None:
        """Sends an operation to the fenced resource."""
        delay_ms = self.random.uniform(*OPERATION_DELAY_MS)
        if self.random.random() < self.late_operation_probability:
            delay_ms += self.random.uniform(*LATE_OPERATION_DELAY_MS)

        def arrive() -> None:
            self.fence.admit(task, token, director.name, performed_at_ms, self.now_ms)

        self.after(delay_ms, arrive)

    def carry_out(self, director: SimulatedDirector, outputs: Sequence[Output]) -> None:
        """Carries out the outputs of a director's state machines."""
        for output in outputs:
            if isinstance(output, Save):
                self.save_grant(director, output)
                if director.torn_grant_ms:  # the save is durable, but its grant is not sent
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
        """Delivers a datagram; a paused director gets it after the pause."""
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
        """Pauses a director; operations decided before the pause are sent after it."""
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
            for task, token in tokens.items():  # sent after the pause with the token from before it
                if token is not None:
                    self.operate(director, task, token, performed_at_ms)
            undelivered, director.undelivered = director.undelivered, []
            self._wake(director, director.timer_epoch)
            for payload in undelivered:
                self.deliver(name, payload)

        self.after(duration_ms, resume)

    def kill(self, name: str, duration_ms: float) -> None:
        """Kills a director, and restarts it with the same name and disk after `duration_ms`."""
        killed = self.directors[name]
        if not killed.is_up:  # already down, with a restart scheduled; a name has one process
            return
        killed.is_up = False
        self.beliefs.end(name, self.now_ms)
        disk = dict(killed.disk)

        def restart() -> None:
            director = self.directors[name] = self._boot(name, disk)
            self._wake(director, director.timer_epoch)

        self.after(duration_ms, restart)

    def stop_cleanly(self, name: str, duration_ms: float) -> None:
        """Lets a director step down from all leases, then stops it and restarts it after `duration_ms`."""
        director = self.directors[name]
        if director.is_up:
            self._step_down(director)
            self.kill(name, duration_ms)

    def release_all_leases(self) -> None:
        """Lets every running director step down from all its leases, without a named successor."""
        for director in self.directors.values():
            if director.is_up and self.now_ms >= director.paused_until_ms:
                self._step_down(director)

    def _step_down(self, director: SimulatedDirector) -> None:
        for task in TASKS:
            self.carry_out(director, director.candidate.step_down(task, director.clock(self.now_ms)))
        self.beliefs.end(director.name, self.now_ms)

    def _tear_grant(self, name: str, duration_ms: float) -> None:
        self.directors[name].torn_grant_ms = duration_ms
        self.release_all_leases()  # a save happens only in a new term, so an election is forced

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
        """Applies a fault now; a process fault affects each of its directors."""
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
        affected, total = len(fault.directors), len(self.names)
        if fault.kind in PROCESS_FAULTS:
            return total - affected < majority(total)
        return fault.kind is FaultKind.PARTITION and max(affected, total - affected) < majority(total)


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
    """Runs a schedule generated from the seed and returns its verdict."""
    simulation = LeaseSimulation(seed, director_count, config, fence, clock_drift)
    simulation.schedule(generate_schedule(seed, simulation.names, length_ms, fault_count, kinds))
    simulation.start()
    simulation.run_until(length_ms)
    return simulation.verdict()


def run_with_skewed_clocks(
    seed: int, director_count: int = 3, config: LeaseConfig | None = None, clock_drift: float = 0.02
) -> Verdict:
    """Runs the worst case that the safety margins of leases are for, and returns its verdict.

    The holder's clock is slow by the whole drift bound and all other clocks are fast by it. The holder's
    outbound messages are lost: it receives the voters' messages, but they receive none from it.
    """
    simulation = LeaseSimulation(seed, director_count, config, clock_drift=clock_drift)
    simulation.start()
    simulation.run_until(2_500.0)
    holders = [
        name
        for name, director in simulation.directors.items()
        if director.candidate.token(TASKS[0], director.clock(simulation.now_ms))
    ]
    holder = holders[0] if holders else simulation.names[0]
    for name in simulation.names:
        amount = 0.0 if name == holder else 1.0
        simulation.apply(Fault(simulation.now_ms, 0.0, FaultKind.CLOCK_RATE, (name,), amount))

    def cut_off() -> None:
        simulation.apply(Fault(simulation.now_ms, 3_000.0, FaultKind.CUT_OUTBOUND, (holder,)))

    simulation.after(200.0, cut_off)
    simulation.run_until(7_000.0)
    return simulation.verdict()
