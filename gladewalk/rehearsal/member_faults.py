"""Injects fault schedules into a simulated network of members, as `faultnet.nemesis` does for processes."""

from __future__ import annotations

from collections import Counter

from ..faultnet.schedule import Fault, FaultKind, Pair, affected_pairs
from .member_network import MemberNetwork

END_MS = 1.0  # time that a run goes on after the last fault, so that the fault has been ended


class MemberFaultInjector:
    """Begins and ends faults in a network. Overlapping cuts end independently.

    Loss, duplication and delay apply to all paths; the latest such fault replaces an earlier one.
    """

    def __init__(self, network: MemberNetwork) -> None:
        self._network, self._names = network, tuple(network.nodes)
        self._default_delay_range_ms = network.delay_range_ms
        self._cuts: Counter[Pair] = Counter()
        network.is_blocked = lambda source, target: self._cuts[source, target] > 0

    def begin(self, fault: Fault) -> None:
        """Begins a fault and schedules its end."""
        network = self._network
        match fault.kind:
            case FaultKind.PAUSE:
                network.pause(fault.targets[0], fault.duration_ms)
            case FaultKind.KILL:
                self._stop(fault.targets[0], fault.duration_ms)
            case FaultKind.STOP:
                node = network.nodes[fault.targets[0]]
                network.carry_out(node, node.core.leave())
                self._stop(fault.targets[0], fault.duration_ms)
            case FaultKind.LOSS:
                network.loss_rate = fault.amount
                network.schedule(fault.duration_ms, self._end_loss)
            case FaultKind.DUPLICATE:
                network.duplicate_rate = fault.amount
                network.schedule(fault.duration_ms, self._end_duplication)
            case FaultKind.DELAY:
                network.delay_range_ms = (fault.amount, 2.0 * fault.amount)
                network.schedule(fault.duration_ms, self._end_delay)
            case FaultKind.FLAP:
                self._flap(fault, network.now_ms + fault.duration_ms, 1)
            case _:
                self._cut(fault, 1)
                network.schedule(fault.duration_ms, lambda: self._cut(fault, -1))

    def _stop(self, name: str, down_ms: float) -> None:
        self._network.kill(name)
        self._network.schedule(down_ms, lambda: self._restart(name))

    def _restart(self, name: str) -> None:
        self._network.start(name, self._names[:2])

    def _end_loss(self) -> None:
        self._network.loss_rate = 0.0

    def _end_duplication(self) -> None:
        self._network.duplicate_rate = 0.0

    def _end_delay(self) -> None:
        self._network.delay_range_ms = self._default_delay_range_ms

    def _cut(self, fault: Fault, by: int) -> None:
        for pair in affected_pairs(fault, self._names):
            self._cuts[pair] += by

    def _flap(self, fault: Fault, end_ms: float, by: int) -> None:
        if by > 0 and self._network.now_ms >= end_ms:
            return
        self._cut(fault, by)
        self._network.schedule(fault.amount, lambda: self._flap(fault, end_ms, -by))


def run_schedule(network: MemberNetwork, faults: list[Fault]) -> None:
    """Runs a schedule from now until its last fault has ended."""
    injector = MemberFaultInjector(network)

    def schedule(fault: Fault) -> None:
        network.schedule(fault.at_ms, lambda: injector.begin(fault))

    for fault in faults:
        schedule(fault)
    network.run(max(fault.at_ms + fault.duration_ms for fault in faults) + END_MS)
