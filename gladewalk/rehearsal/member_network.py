"""Simulates a network of members in virtual time: loss, delay, duplication, partitions, pauses, restarts.

All random draws come from one seed, so two runs with the same seed have the same events. Members run the real
`Membership` and use the real encoding and authentication of messages. Times are in ms.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeVar

from ..members.actions import (
    Action,
    Address,
    EventReceived,
    MemberChange,
    MemberChanged,
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
from ..members.stream import LENGTH_PREFIX
from ..members.swim import Membership

START_MS = 1_764_576_000_000.0  # Unix time at which a simulation starts
STREAM_TIMEOUT_MS = 2_000.0  # after this a synchronization over a blocked path fails
REFUSED_MS = 1.0  # after this a connection to a stopped process is refused
SYNC_DELAYS = 3  # duration of a synchronization, in one-way delays
PROBE_DELAYS = 4  # duration of a confirmation probe with a response, in one-way delays
REFUSED_PROBE_DELAYS = 2  # duration of a refused one
MIN_TIMER_MS = 0.05
MAX_TIMER_MS = 1e9  # no timer is set for a longer wait: the member is not active
CLOCK_WINDOW_MS = 30_000.0  # greatest clock difference at which messages are accepted
NONCE_BITS = 64
FIRST_PORT = 1_000
KEY = key_from_secret(b"a key of the rehearsal's own, 32 bytes or more")
SomeStreamMessage = TypeVar("SomeStreamMessage", bound=StreamMessage)


@dataclass(slots=True, eq=False)
class MemberNode:
    """A member's process (running, paused or down) with a clock that is off by `clock_offset_ms`."""

    name: str
    address: Address
    core: Membership
    authenticator: MessageAuthenticator
    is_up: bool = True
    paused_until_ms: float = 0.0  # datagrams that arrive before are buffered in `pending`
    clock_offset_ms: float = 0.0
    pending: list[tuple[bytes, Address]] = field(default_factory=list)
    timer_number: int = 0  # number of the current timer; timers with earlier numbers are ignored


class MemberNetwork:
    """Nodes and the paths between them.

    These attributes may be set at any time: `loss_rate` and `duplicate_rate` of datagrams, `delay_range_ms`
    in one direction, `max_timer_delay_ms` of a busy host, `is_blocked(source, target)`, and
    `unreachable_machines`: the names of nodes whose operating system does not respond either.
    """

    def __init__(self, seed: int, config: MembershipConfig | None = None) -> None:
        self.random = random.Random(seed)
        self.config = config or MembershipConfig()
        self.now_ms = START_MS
        self.nodes: dict[str, MemberNode] = {}
        self.loss_rate = self.duplicate_rate = 0.0
        self.delay_range_ms = (0.2, 2.0)
        self.max_timer_delay_ms = 0.0
        self.is_blocked: Callable[[str, str], bool] = lambda source, target: False
        self.unreachable_machines: set[str] = set()
        self.on_event: Callable[[MemberNode, UserEvent], None] | None = None
        self.on_change: Callable[[MemberNode, MemberChange, str], None] | None = None
        self.observed: list[ObservedChange] = []
        self.sent_bytes: Counter[str] = Counter()  # by node
        self.sent_datagrams: Counter[str] = Counter()  # by node
        self.dropped: Counter[DropReason] = Counter()
        self.syncs: Counter[str] = Counter()  # by result: same, whole, failed
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._queued_count = 0
        self._by_address: dict[Address, MemberNode] = {}

    # Time.

    def schedule(self, delay_ms: float, call: Callable[[], None]) -> None:
        """Calls a function after `delay_ms` of virtual time."""
        self._queued_count += 1
        heapq.heappush(self._queue, (self.now_ms + delay_ms, self._queued_count, call))

    def run(self, duration_ms: float) -> None:
        """Advances virtual time by `duration_ms` and runs all calls due until then."""
        end_ms = self.now_ms + duration_ms
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, call = heapq.heappop(self._queue)
            call()
        self.now_ms = end_ms

    def clock_of(self, node: MemberNode) -> float:
        """Returns the time on a node's clock."""
        return self.now_ms + node.clock_offset_ms

    # Nodes.

    def node_at(self, address: Address) -> MemberNode | None:
        """Returns the node that was started last at an address."""
        return self._by_address.get(address)

    def start(
        self,
        name: str,
        seeds: tuple[str, ...] = (),
        keys: tuple[AuthenticationKey, ...] = (KEY,),
        port: int = 0,
        clock_offset_ms: float = 0.0,
    ) -> MemberNode:
        """Starts a node, or restarts it under its name; it knows only its seeds."""
        old = self.nodes.get(name)
        if old is not None:
            old.is_up = False  # frees the address, which only one process may use
            others = (other for other in self.nodes if other != name)
            self.observed += [ObservedChange(self.now_ms, name, MemberChange.LEFT, other) for other in others]
        address = old.address if old is not None else ("10.0.0.1", port or FIRST_PORT + len(self.nodes))
        seed_addresses = tuple(self.nodes[seed].address for seed in seeds)
        rng = random.Random(self.random.random())
        core = Membership(name, address, seed_addresses, self.config, rng, self.now_ms + clock_offset_ms)
        authenticator = MessageAuthenticator(keys, CLOCK_WINDOW_MS)
        node = MemberNode(name, address, core, authenticator, clock_offset_ms=clock_offset_ms)
        self._by_address[address] = node
        self.nodes[name] = node
        self.run_timer(node)
        return node

    def kill(self, name: str) -> None:
        """Kills a node's process (SIGKILL), without notice to other members."""
        self.nodes[name].is_up = False

    def pause(self, name: str, duration_ms: float) -> None:
        """Pauses a node's process (SIGSTOP, then SIGCONT), or stalls its event loop."""
        node = self.nodes[name]
        node.paused_until_ms = self.now_ms + duration_ms
        self.schedule(duration_ms, lambda: self._resume(node))

    def _resume(self, node: MemberNode) -> None:
        pending, node.pending = node.pending, []
        if node.is_up:
            self.run_timer(node)  # a resumed event loop runs its timers before it reads
            for data, source in pending:
                self.receive(node, data, source)

    def run_timer(self, node: MemberNode) -> None:
        """Runs a node's timer: everything that is due."""
        if node.is_up and self.now_ms >= node.paused_until_ms:
            self.carry_out(node, node.core.tick(self.clock_of(node)))

    def carry_out(self, node: MemberNode, actions: list[Action]) -> None:
        """Carries out the actions of a node's protocol, then resets its timer."""
        for action in actions:
            match action:
                case SendDatagram(to, message):
                    nonce = self.random.getrandbits(NONCE_BITS)
                    signed = node.authenticator.sign(encode(message), self.clock_of(node), nonce)
                    self.send(node, signed, to)
                case StartSync(peer):
                    self.start_sync(node, peer)
                case StartConfirmationProbe():
                    self.start_probe(node, action)
                case EventReceived(event):
                    if self.on_event is not None:
                        self.on_event(node, event)
                case MemberChanged(change, name):
                    self.observed.append(ObservedChange(self.now_ms, node.name, change, name))
                    if self.on_change is not None:
                        self.on_change(node, change, name)
        self._set_timer(node)

    def _set_timer(self, node: MemberNode) -> None:
        node.timer_number += 1
        number = node.timer_number
        wait_ms = max(MIN_TIMER_MS, node.core.next_due_ms() - self.clock_of(node))
        if wait_ms < MAX_TIMER_MS:
            wait_ms += self._timer_delay_ms()
            self.schedule(wait_ms, lambda: self.run_timer(node) if node.timer_number == number else None)

    def _timer_delay_ms(self) -> float:
        return self.random.uniform(0.0, self.max_timer_delay_ms) if self.max_timer_delay_ms else 0.0

    def _delay_ms(self) -> float:
        return self.random.uniform(*self.delay_range_ms)

    # Datagrams.

    def send(self, node: MemberNode, data: bytes, to: Address) -> None:
        """Sends a datagram, which may be lost, delayed or duplicated."""
        self.sent_bytes[node.name] += len(data)
        self.sent_datagrams[node.name] += 1
        target = self.node_at(to)
        if target is None or self.is_blocked(node.name, target.name):
            return
        if self.random.random() < self.loss_rate:
            return
        for _ in range(2 if self.random.random() < self.duplicate_rate else 1):
            delay_ms = self._delay_ms()
            delay_ms += self._timer_delay_ms()
            self.schedule(delay_ms, lambda: self._deliver(to, data, node.address))

    def _deliver(self, to: Address, data: bytes, source: Address) -> None:
        node = self._by_address[to]
        if not node.is_up:
            return
        if self.now_ms < node.paused_until_ms:
            node.pending.append((data, source))
            return
        self.receive(node, data, source)

    def receive(self, node: MemberNode, data: bytes, source: Address) -> None:
        """Lets a node receive a datagram."""
        verified = node.authenticator.verify(data, self.clock_of(node))
        if isinstance(verified, DropReason):
            self.dropped[verified] += 1
            return
        self.carry_out(node, node.core.receive(decode(verified), source, self.clock_of(node)))

    # Streams: no data is lost, but both directions must be open and the peer's process must run.

    def start_sync(self, node: MemberNode, peer: Address) -> None:
        """Starts to synchronize a node's state with a peer; it completes or fails after a delay."""
        target = self.node_at(peer)
        if target is not None and self._has_stream(node, target):
            self.schedule(SYNC_DELAYS * self._delay_ms(), lambda: self._sync(node, target))
            return
        is_refused = target is not None and not target.is_up and not self.is_blocked(node.name, target.name)
        self.schedule(REFUSED_MS if is_refused else STREAM_TIMEOUT_MS, lambda: self.fail_sync(node, peer))

    def _has_stream(self, node: MemberNode, target: MemberNode) -> bool:
        is_cut = self.is_blocked(node.name, target.name) or self.is_blocked(target.name, node.name)
        return node.is_up and target.is_up and not is_cut and self.now_ms >= target.paused_until_ms

    def _sync(self, node: MemberNode, target: MemberNode) -> None:
        if not self._has_stream(node, target) or not target.core.is_active:
            self.fail_sync(node, target.address)
            return
        request = self._count(node, node.core.sync_request())
        response = self._count(target, target.core.sync_response(request))
        reply, actions = node.core.on_sync_response(response, self.clock_of(node))
        self.syncs["same" if response.is_identical else "whole"] += 1
        self.carry_out(node, actions)
        if reply is not None:
            self._count(node, reply)
            self.carry_out(target, target.core.receive_streamed(reply, self.clock_of(target)))

    def fail_sync(self, node: MemberNode, peer: Address) -> None:
        """Reports to a node that its synchronization has failed."""
        self.syncs["failed"] += 1
        if node.is_up:
            self.carry_out(node, node.core.on_sync_failed(peer))

    def start_probe(self, node: MemberNode, probe: StartConfirmationProbe) -> None:
        """Starts a confirmation probe; its outcome and duration depend on the suspect's state."""
        target = self.node_at(probe.to)
        outcome = self._probe_outcome(node, target)
        match outcome:
            case ProbeOutcome.RESPONDED:
                delay_ms = PROBE_DELAYS * self._delay_ms()
            case ProbeOutcome.REFUSED:
                delay_ms = REFUSED_PROBE_DELAYS * self._delay_ms()
            case _:
                delay_ms = probe.timeout_ms
        self.schedule(delay_ms, lambda: self.finish_probe(node, target, probe, outcome))

    def _probe_outcome(self, node: MemberNode, target: MemberNode | None) -> ProbeOutcome:
        if target is None or target.name in self.unreachable_machines:
            return ProbeOutcome.UNREACHABLE
        if self.is_blocked(node.name, target.name) or self.is_blocked(target.name, node.name):
            return ProbeOutcome.UNREACHABLE
        return self._outcome_at(target)

    def _outcome_at(self, target: MemberNode) -> ProbeOutcome:
        if not target.is_up:
            return ProbeOutcome.REFUSED
        is_paused = self.now_ms < target.paused_until_ms
        return ProbeOutcome.UNRESPONSIVE if is_paused else ProbeOutcome.RESPONDED

    def finish_probe(
        self,
        node: MemberNode,
        target: MemberNode | None,
        probe: StartConfirmationProbe,
        outcome: ProbeOutcome,
    ) -> None:
        """Reports a confirmation probe's outcome, updated if the target was stopped meanwhile."""
        if not node.is_up or self.now_ms < node.paused_until_ms:
            return
        now_ms = self.clock_of(node)
        if outcome is ProbeOutcome.RESPONDED and target is not None:
            outcome = self._outcome_at(target)
            if outcome is ProbeOutcome.RESPONDED:
                self._count(node, probe.message)
                clock_difference_ms = abs(node.clock_offset_ms - target.clock_offset_ms)
                # Neither node accepts the other's messages; the outcome is reported with the real time.
                if clock_difference_ms > node.authenticator.window_ms:
                    outcome, now_ms = ProbeOutcome.UNREACHABLE, self.now_ms
                else:
                    self._complete_probe(node, target, probe)
        self.carry_out(node, node.core.on_probe_outcome(probe.name, probe.run_id, outcome, now_ms))

    def _complete_probe(self, node: MemberNode, target: MemberNode, probe: StartConfirmationProbe) -> None:
        ack, actions = target.core.on_confirmation_probe(probe.message, self.clock_of(target))
        self.carry_out(target, actions)
        self._count(target, ack)
        self.carry_out(node, node.core.receive_streamed(ack, self.clock_of(node)))

    def _count(self, node: MemberNode, message: SomeStreamMessage) -> SomeStreamMessage:
        self.sent_bytes[node.name] += LENGTH_PREFIX.size + len(encode(message)) + OVERHEAD_BYTES
        return message

    # Observations.

    def live_as_seen_by(self, name: str) -> set[str]:
        """Returns the names of the other members that a node considers live."""
        return {member.name for member in self.nodes[name].core.members.live()}

    def has_converged(self) -> bool:
        """Whether every running member considers exactly the other running members live."""
        running = {name for name, node in self.nodes.items() if node.is_up and node.core.is_active}
        return all(self.live_as_seen_by(name) == running - {name} for name in running)

    def changes(
        self, change: MemberChange, member: str | None = None, since_ms: float = 0.0
    ) -> list[ObservedChange]:
        """Returns the observed changes of one kind, for one member or for all."""
        return [
            observed
            for observed in self.observed
            if observed.change is change and observed.at_ms >= since_ms and member in (None, observed.member)
        ]


def cluster(
    count: int, seed: int, config: MembershipConfig | None = None, settle_ms: float = 5_000.0
) -> MemberNetwork:
    """Starts members m0 to m(count-1) with the first two as seeds, and runs until they know one another."""
    network = MemberNetwork(seed, config)
    for number in range(count):
        network.start(f"m{number}", tuple(f"m{seed_number}" for seed_number in range(min(number, 2))))
    network.run(settle_ms)
    return network
