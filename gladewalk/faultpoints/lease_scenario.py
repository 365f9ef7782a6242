"""Fault points of leases: three directors, two tasks, a lease that is handed on and a voter that restarts."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Sequence

from ..errors import GladewalkError
from ..leases.configuration import LeaseConfig
from ..leases.history import check_history
from ..leases.messages import decode, encode
from ..leases.outputs import Output, Save, Send
from ..rehearsal.lease_simulation import TASKS, LeaseSimulation, SimulatedDirector
from .points import FaultInjector, FaultKind

SEED, DIRECTOR_COUNT = 11, 3
FIRST_KILL_MS, FIRST_DOWN_MS = 2_200.0, 300.0
HAND_ON_MS = 2_600.0
END_MS = 7_000.0
QUIET_MS = 3_000.0  # time without faults at the end, after which each lease must have a holder
LATEST_OPERATIONS_MS = 500.0
STALL_MS = 1_600.0  # longer than a lease
DELAY_MS = 1_800.0
DOWN_MS = 700.0


class DirectorKilledError(GladewalkError):
    """A director was killed while it executed outputs: the remaining ones are not executed."""


class FaultPointSimulation(LeaseSimulation):
    """A simulation with a fault point wherever a director saves, sends, receives or operates."""

    def __init__(
        self, injector: FaultInjector, seed: int, director_count: int, config: LeaseConfig | None = None
    ) -> None:
        super().__init__(seed, director_count, config)
        self.injector = injector
        self.operated: set[tuple[str, int]] = set()  # task and token of each operation so far

    def pass_point(self, director: SimulatedDirector, point: str) -> FaultKind | None:
        """Passes a point; returns the fault to inject there. Raises `DirectorKilledError` for a kill."""
        kind = self.injector.record_pass(point)
        if kind is FaultKind.KILL:
            self.kill(director.name, DOWN_MS)
            raise DirectorKilledError(point)
        return kind

    def carry_out(self, director: SimulatedDirector, outputs: Sequence[Output]) -> None:
        """Executes the outputs of a director's state machines, until a fault kills the director."""
        with contextlib.suppress(DirectorKilledError):
            self._carry_out(director, outputs)

    def _carry_out(self, director: SimulatedDirector, outputs: Sequence[Output]) -> None:
        for output in outputs:
            if isinstance(output, Save):
                self._save(director, output)
            elif isinstance(output, Send):
                self._send(director, output)

    def _save(self, director: SimulatedDirector, save: Save) -> None:
        kind = self.pass_point(director, "leases.save.grant")
        self.save_grant(director, save)
        if kind is FaultKind.STALL:  # the grant is saved, and the director stalls before it is sent
            self.pause(director.name, STALL_MS)
            self.after(STALL_MS + 0.1, lambda: self.carry_out(director, save.on_durable))
        else:
            self._carry_out(director, save.on_durable)

    def _send(self, director: SimulatedDirector, send: Send) -> None:
        kind = self.pass_point(director, f"leases.send.{type(send.message).__name__}")
        payload = encode(send.message)
        if kind is FaultKind.DROP:
            return
        if kind is FaultKind.DELAY:
            self.after(DELAY_MS, lambda: self.deliver(send.recipient, payload))
            return
        for _ in range(2 if kind is FaultKind.DUPLICATE else 1):
            self.post(director.name, send.recipient, payload)
        if kind is FaultKind.STALL:
            self.pause(director.name, STALL_MS)

    def deliver(self, target: str, payload: bytes) -> None:
        """Delivers a datagram, unless a fault kills the receiver; a stalled receiver gets it afterwards."""
        director = self.directors[target]
        if director.is_up and self.now_ms >= director.paused_until_ms:
            try:
                kind = self.pass_point(director, f"leases.take.{type(decode(payload)).__name__}")
            except DirectorKilledError:
                return
            if kind is FaultKind.STALL:
                self.pause(target, STALL_MS)
        super().deliver(target, payload)

    def operate(self, director: SimulatedDirector, task: str, token: int, performed_at_ms: float) -> None:
        """Sends an operation, unless a fault kills the sender; a fault may delay it, or stall the sender."""
        is_first = (task, token) not in self.operated
        self.operated.add((task, token))
        try:
            kind = self.pass_point(director, f"leases.act.{'begin' if is_first else 'repeat'}")
        except DirectorKilledError:
            return
        if kind is FaultKind.DELAY:
            send = super().operate
            self.after(DELAY_MS, lambda: send(director, task, token, performed_at_ms))
            return
        super().operate(director, task, token, performed_at_ms)
        if kind is FaultKind.STALL and self.now_ms >= director.paused_until_ms:
            self.pause(director.name, STALL_MS)


def run_scenario(
    injector: FaultInjector, change: Callable[[FaultPointSimulation], None] | None = None
) -> str:
    """Runs the scenario, changed by `change` before it starts; returns the violation, or an empty text."""
    simulation = FaultPointSimulation(injector, SEED, DIRECTOR_COUNT)
    if change is not None:
        change(simulation)
    simulation.start()
    simulation.run_until(FIRST_KILL_MS)
    # After its restart the voter grants nothing until all grants that it may have made before have expired.
    simulation.kill(simulation.names[-1], FIRST_DOWN_MS)
    simulation.run_until(HAND_ON_MS)
    simulation.release_all_leases()
    simulation.run_until(END_MS - QUIET_MS)
    injector.is_counting = False
    simulation.run_until(END_MS)
    records = simulation.fence.records
    verdict, overlaps = check_history(records, END_MS), simulation.beliefs.count_overlaps()
    if not verdict.is_safe or overlaps:
        return f"{verdict} and {overlaps} overlapping beliefs"
    held_tasks = {
        record.task
        for record in records
        if record.is_accepted and record.received_at_ms > END_MS - LATEST_OPERATIONS_MS
    }
    return "" if held_tasks == set(TASKS) else f"tasks with a holder at the end: {sorted(held_tasks)}"
