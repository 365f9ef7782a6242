"""A network in memory with virtual time, for members: it loses, delays, doubles, parts, stops and restarts.

Everything is drawn from one seed: two runs of a seed are the same, event by event. Members run the real
`Membership`, their messages the real encoding and seal.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeVar

from ..faultnet.schedule import Fault, pairs_of
from ..members.actions import (
    Action,
    Address,
    EventReceived,
    MemberChange,
    ProbeOutcome,
    SendDatagram,
    StartConfirmationProbe,
    StartSync,
)
from ..members.authenticator import (
    OVERHEAD_BYTES,
    AuthenticationKey,
    DropReason,
    MessageAuthenticator,
    key_from_secret,
)
from ..members.config import MembershipConfig
from ..members.history import ObservedChange
from ..members.messages import StreamMessage, UserEvent, decode, encode
from ..members.swim import Membership

STREAM_MS = 2_000.0  # until an exchange over a path that passes nothing is given up
KEY = key_from_secret(b"a key of the rehearsal's own, 32 bytes or more")
START_MS = 1_764_576_000_000.0


S = TypeVar("S", bound=StreamMessage)


@dataclass(slots=True, eq=False)
class Node:
    """One member: up or down, running or stopped, its clock off by so much."""

    name: str
    address: Address
    core: Membership
    seal: MessageAuthenticator
    up: bool = True
    stopped_until: float = 0.0  # its loop stalls, or it was sent SIGSTOP: what comes waits
    clock_off: float = 0.0
    waiting: list[tuple[bytes, Address]] = field(default_factory=list)
    wake: int = 0  # the number of its last timer: older ones are void


class Net:
    """Nodes and what lies between them."""

    def __init__(self, seed: int, terms: MembershipConfig | None = None) -> None:
        self.random = random.Random(seed)
        self.terms = terms or MembershipConfig()
        self.now = START_MS
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0
        self.nodes: dict[str, Node] = {}
        self.by_address: dict[Address, Node] = {}
        self.seen: list[ObservedChange] = []
        self.bytes: Counter[str] = Counter()
        self.sent: Counter[str] = Counter()
        self.refused: Counter[DropReason] = Counter()
        self.loss = self.double = 0.0
        self.delay_ms = (0.2, 2.0)
        self.late_ms = 0.0  # up to so long a busy host's loops run their timers late, and read late
        self.blocked: Callable[[str, str], bool] = lambda source, target: False
        self.exchanges: Counter[str] = Counter()
        self.dark: set[str] = set()  # whose machines are down, so that no system answers in their place
        self.on_news: Callable[[Node, UserEvent], None] | None = None
        self.on_change: Callable[[Node, MemberChange, str], None] | None = None

    def after(self, ms: float, call: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.queue, (self.now + ms, self.count, call))

    def run(self, ms: float) -> None:
        """Let so much virtual time pass."""
        end = self.now + ms
        while self.queue and self.queue[0][0] <= end:
            self.now, _, call = heapq.heappop(self.queue)
            call()
        self.now = end

    # Nodes.

    def start(
        self,
        name: str,
        seeds: tuple[str, ...] = (),
        keys: tuple[AuthenticationKey, ...] = (KEY,),
        port: int = 0,
        clock_off: float = 0.0,
    ) -> Node:
        """A node starts, or starts again under its name, knowing no more than its seeds."""
        old = self.nodes.get(name)
        if old is not None:
            old.up = False  # its address is free again: no two processes have one
            self.seen += [
                ObservedChange(self.now, name, MemberChange.LEFT, other)
                for other in self.nodes
                if other != name
            ]
        address = old.address if old is not None else ("10.0.0.1", port or 1_000 + len(self.nodes))
        known = tuple(self.nodes[seed].address for seed in seeds)
        core = Membership(
            name, address, known, self.terms, random.Random(self.random.random()), self.now + clock_off
        )
        node = Node(name, address, core, MessageAuthenticator(keys, 30_000.0), clock_off=clock_off)
        self.by_address[address] = node
        self.nodes[name if old is not None or name not in self.nodes else f"{name}'"] = node
        self.wake(node)
        return node

    def kill(self, name: str) -> None:
        self.nodes[name].up = False

    def stop(self, name: str, ms: float) -> None:
        """SIGSTOP and, later, SIGCONT; or a loop that stalls."""
        node = self.nodes[name]
        node.stopped_until = self.now + ms
        self.after(ms, lambda: self.resume(node))

    def resume(self, node: Node) -> None:
        waiting, node.waiting = node.waiting, []
        if node.up:
            self.wake(node)  # a loop that comes back runs its timers first
            for data, source in waiting:
                self.take(node, data, source)

    def wake(self, node: Node) -> None:
        if not node.up or self.now < node.stopped_until:
            return
        self.carry_out(node, node.core.tick(self.now + node.clock_off))

    def carry_out(self, node: Node, out: list[Action]) -> None:
        for action in out:
            if isinstance(action, SendDatagram):
                data = node.seal.sign(
                    encode(action.message), self.now + node.clock_off, self.random.getrandbits(64)
                )
                self.post(node, data, action.to)
            elif isinstance(action, StartSync):
                self.exchange(node, action.to)
            elif isinstance(action, StartConfirmationProbe):
                self.knock(node, action)
            elif isinstance(action, EventReceived):
                if self.on_news is not None:
                    self.on_news(node, action.event)
            else:
                self.seen.append(ObservedChange(self.now, node.name, action.change, action.name))
                if self.on_change is not None:
                    self.on_change(node, action.change, action.name)
        node.wake += 1
        number = node.wake
        ms = max(0.05, node.core.next_due_ms() - (self.now + node.clock_off))
        if ms < 1e9:
            ms += self.random.uniform(0.0, self.late_ms) if self.late_ms else 0.0
            self.after(ms, lambda: self.wake(node) if node.wake == number else None)

    # Datagrams.

    def post(self, node: Node, data: bytes, to: Address) -> None:
        self.bytes[node.name] += len(data)
        self.sent[node.name] += 1
        target = self.by_address.get(to)
        if target is None or self.blocked(node.name, target.name) or self.random.random() < self.loss:
            return
        for _ in range(2 if self.random.random() < self.double else 1):
            ms = self.random.uniform(*self.delay_ms)
            ms += self.random.uniform(0.0, self.late_ms) if self.late_ms else 0.0
            self.after(ms, lambda: self.deliver(to, data, node.address))

    # Streams: nothing is lost, but they need a path both ways and somebody at the other end.

    def exchange(self, node: Node, to: Address) -> None:
        target = self.by_address.get(to)
        if target is None or not self._passes(node, target):
            refused = target is not None and not target.up and not self.blocked(node.name, target.name)
            self.after(1.0 if refused else STREAM_MS, lambda: self._exchange_failed(node, to))
            return
        self.after(3 * self.random.uniform(*self.delay_ms), lambda: self._exchange(node, target))

    def knock(self, node: Node, wanted: StartConfirmationProbe) -> None:
        """What a suspect's system says in its place."""
        target = self.by_address.get(wanted.to)
        name = target.name if target is not None else ""
        dark = name in self.dark or self.blocked(node.name, name) or self.blocked(name, node.name)
        if target is None or dark:
            outcome, ms = ProbeOutcome.UNREACHABLE, wanted.timeout_ms
        elif not target.up:
            outcome, ms = ProbeOutcome.REFUSED, 2 * self.random.uniform(*self.delay_ms)
        elif self.now < target.stopped_until:
            outcome, ms = ProbeOutcome.SILENT, wanted.timeout_ms
        else:
            outcome, ms = ProbeOutcome.RESPONDED, 4 * self.random.uniform(*self.delay_ms)
        self.after(ms, lambda: self._knocked(node, target, wanted, outcome))

    def _knocked(
        self, node: Node, target: Node | None, wanted: StartConfirmationProbe, outcome: ProbeOutcome
    ) -> None:
        if not node.up or self.now < node.stopped_until:
            return
        if outcome is ProbeOutcome.RESPONDED and target is not None:
            if not target.up or self.now < target.stopped_until:
                outcome = ProbeOutcome.SILENT if target.up else ProbeOutcome.REFUSED
            else:
                self._count(node, wanted.message)
                off_ms = abs(node.clock_off - target.clock_off)
                if off_ms > node.seal.window_ms:  # neither opens what the other seals
                    return self.carry_out(
                        node,
                        node.core.on_probe_outcome(
                            wanted.name, wanted.run_id, ProbeOutcome.UNREACHABLE, self.now
                        ),
                    )
                here, out = target.core.on_confirmation_probe(wanted.message, self.now + target.clock_off)
                self.carry_out(target, out)
                self.carry_out(
                    node, node.core.receive_streamed(self._count(target, here), self.now + node.clock_off)
                )
        self.carry_out(
            node, node.core.on_probe_outcome(wanted.name, wanted.run_id, outcome, self.now + node.clock_off)
        )

    def _passes(self, node: Node, target: Node) -> bool:
        blocked = self.blocked(node.name, target.name) or self.blocked(target.name, node.name)
        return node.up and target.up and not blocked and self.now >= target.stopped_until

    def _exchange(self, node: Node, target: Node) -> None:
        if not self._passes(node, target) or not target.core.is_active:
            return self._exchange_failed(node, target.address)
        told = target.core.sync_response(self._count(node, node.core.sync_request()))
        mine, out = node.core.on_sync_response(self._count(target, told), self.now + node.clock_off)
        self.exchanges["same" if told.is_identical else "whole"] += 1
        self.carry_out(node, out)
        if mine is not None:
            self._count(node, mine)
            self.carry_out(target, target.core.receive_streamed(mine, self.now + target.clock_off))

    def _exchange_failed(self, node: Node, to: Address) -> None:
        self.exchanges["failed"] += 1
        if node.up:
            self.carry_out(node, node.core.on_sync_failed(to))

    def _count(self, node: Node, message: S) -> S:
        self.bytes[node.name] += len(encode(message)) + OVERHEAD_BYTES + 4
        return message

    def deliver(self, to: Address, data: bytes, source: Address) -> None:
        node = self.by_address[to]
        if not node.up:
            return
        if self.now < node.stopped_until:
            node.waiting.append((data, source))
            return
        self.take(node, data, source)

    def take(self, node: Node, data: bytes, source: Address) -> None:
        opened = node.seal.verify(data, self.now + node.clock_off)
        if isinstance(opened, DropReason):
            self.refused[opened] += 1
            return
        self.carry_out(node, node.core.receive(decode(opened), source, self.now + node.clock_off))

    # What is to be seen.

    def live_as_seen_by(self, name: str) -> set[str]:
        return {other for other, member in self.nodes[name].core.members.by_name.items() if member.is_live}

    def agreed(self) -> bool:
        """Whether every running member sees just the running members."""
        up = {name for name, node in self.nodes.items() if node.up and node.core.is_active}
        return all(self.live_as_seen_by(name) == up - {name} for name in up)

    def changes(
        self, change: MemberChange, name: str | None = None, since_ms: float = 0.0
    ) -> list[ObservedChange]:
        return [
            seen
            for seen in self.seen
            if seen.change is change and seen.at_ms >= since_ms and name in (None, seen.member)
        ]


def cluster(count: int, seed: int, terms: MembershipConfig | None = None, settle_ms: float = 5_000.0) -> Net:
    """Members `m0` to `mN`, who know the first two as seeds, after some time to find one another."""
    net = Net(seed, terms)
    for n in range(count):
        net.start(f"m{n}", tuple(f"m{seed}" for seed in range(min(n, 2))))
    net.run(settle_ms)
    return net


def play(net: Net, faults: list[Fault]) -> None:
    """A schedule as `faultnet.nemesis` plays it to processes, from now, until the last fault is over.

    Cuts that overlap end each by itself; loss and delay are of all paths, the latest in force.
    """
    names, began = tuple(net.nodes), net.now
    cuts: Counter[tuple[str, str]] = Counter()
    net.blocked = lambda source, target: cuts[source, target] > 0
    usual = net.delay_ms

    def begin(fault: Fault) -> None:
        match fault.kind:
            case "pause":
                net.stop(fault.who[0], fault.ms)
            case "kill" | "stop":
                if fault.kind == "stop":
                    node = net.nodes[fault.who[0]]
                    net.carry_out(node, node.core.leave())
                net.kill(fault.who[0])
                net.after(fault.ms, lambda: restart(fault.who[0]))
            case "loss" | "double":
                setattr(net, fault.kind, fault.amount)
                net.after(fault.ms, lambda: setattr(net, fault.kind, 0.0))
            case "delay":
                net.delay_ms = (fault.amount, 2.0 * fault.amount)
                net.after(fault.ms, lambda: setattr(net, "delay_ms", usual))
            case "flap":
                flap(fault, net.now + fault.ms, 1)
            case _:
                cut(fault, 1)
                net.after(fault.ms, lambda: cut(fault, -1))

    def restart(name: str) -> None:
        net.start(name, names[:2])

    def cut(fault: Fault, by: int) -> None:
        for pair in pairs_of(fault, names):
            cuts[pair] += by

    def flap(fault: Fault, end_ms: float, by: int) -> None:
        if by > 0 and net.now >= end_ms:
            return
        cut(fault, by)
        net.after(fault.amount, lambda: flap(fault, end_ms, -by))

    for fault in faults:
        net.after(fault.at_ms, lambda fault=fault: begin(fault))  # type: ignore[misc]
    net.run(max(fault.at_ms + fault.ms for fault in faults) + 1.0 - (net.now - began))
