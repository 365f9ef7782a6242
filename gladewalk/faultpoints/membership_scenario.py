"""Fault points of membership: three members join, one is killed and restarted, and all converge."""

from __future__ import annotations

from collections.abc import Callable

from ..members.actions import Action, Address, MemberChange, ProbeOutcome, StartConfirmationProbe
from ..members.authenticator import MessageAuthenticator
from ..members.config import MembershipConfig
from ..members.messages import Ack, DatagramMessage, Join, Nack, PartialState, Ping, PingRequest, decode
from ..rehearsal.member_network import CLOCK_WINDOW_MS, KEY, MemberNetwork, MemberNode
from .points import FaultInjector, FaultKind

STALL_MS = 1_600.0  # longer than a suspicion, shorter than it takes to declare a stalled member dead
DELAY_MS = 1_500.0
DOWN_MS = 900.0
NAMES = ("m0", "m1", "m2")
POINT_SUFFIXES: dict[type[DatagramMessage], str] = {  # names of the messages in the catalogue of points
    Ping: "Ping",
    Ack: "Ack",
    Nack: "Nack",
    PingRequest: "PingFor",
    Join: "Join",
    PartialState: "Roster",
}


def point_suffix(data: bytes, now_ms: float) -> str:
    """Returns the last part of the names of the points that a datagram's message passes."""
    # Needs an authenticator of its own: after this check the node's would reject the datagram as a replay.
    verified = MessageAuthenticator((KEY,), CLOCK_WINDOW_MS).verify(data, now_ms)
    assert isinstance(verified, bytes)
    return POINT_SUFFIXES[type(decode(verified))]


class FaultPointNetwork(MemberNetwork):
    """Network whose nodes pass a fault point where they send, receive, connect, or judge another member."""

    def __init__(self, injector: FaultInjector, seed: int, config: MembershipConfig | None = None) -> None:
        super().__init__(seed, config)
        self.injector = injector
        self.killed_at_ms: dict[str, float] = {}  # the first kill of each node, by its name
        self.on_change = self._pass_verdict

    def kill_for(self, node: MemberNode, down_ms: float = DOWN_MS) -> None:
        """Kills a node and starts it again under its name after `down_ms`."""
        if node.is_up:
            self.killed_at_ms.setdefault(node.name, self.now_ms)
            self.kill(node.name)
            self.schedule(down_ms, lambda: self._restart(node.name))

    def _restart(self, name: str) -> None:
        self.start(name, NAMES[:2])

    def pass_point(self, node: MemberNode, point: str) -> FaultKind | None:
        """Passes a point; injects a kill or a stall here, and returns any fault for the caller to handle."""
        kind = self.injector.record_pass(point)
        if kind is FaultKind.KILL:
            self.kill_for(node)
        elif kind is FaultKind.STALL:
            self.pause(node.name, STALL_MS)
        return kind

    def _pass_verdict(self, node: MemberNode, change: MemberChange, name: str) -> None:
        if change in (MemberChange.SUSPECTED, MemberChange.DIED):
            self.pass_point(node, f"members.verdict.{change.value}")

    def send(self, node: MemberNode, data: bytes, to: Address) -> None:
        """Sends a datagram unless a fault kills the sender or loses, delays or duplicates it."""
        if not node.is_up:
            return
        kind = self.pass_point(node, f"members.send.{point_suffix(data, self.now_ms)}")
        if kind in (FaultKind.KILL, FaultKind.DROP):
            return
        if kind is FaultKind.DELAY:
            self.schedule(DELAY_MS, lambda: super(FaultPointNetwork, self).send(node, data, to))
            return
        for _ in range(2 if kind is FaultKind.DUPLICATE else 1):
            super().send(node, data, to)

    def receive(self, node: MemberNode, data: bytes, source: Address) -> None:
        """Reads a datagram unless a fault kills or stalls the receiver."""
        kind = self.pass_point(node, f"members.take.{point_suffix(data, self.now_ms)}")
        if kind is FaultKind.STALL:
            node.pending.append((data, source))
        elif kind is not FaultKind.KILL:
            super().receive(node, data, source)

    def start_sync(self, node: MemberNode, peer: Address) -> None:
        """Starts a synchronization unless a fault kills the node or loses the connection."""
        kind = self.pass_point(node, "members.dial.exchange")
        if kind is FaultKind.DROP:
            self.fail_sync(node, peer)
        elif kind is not FaultKind.KILL:
            super().start_sync(node, peer)

    def start_probe(self, node: MemberNode, probe: StartConfirmationProbe) -> None:
        """Starts a confirmation probe unless a fault kills the node or loses the connection."""
        kind = self.pass_point(node, "members.dial.knock")
        if kind is FaultKind.DROP:
            target = self.node_at(probe.to)
            self.schedule(
                probe.timeout_ms,
                lambda: self.finish_probe(node, target, probe, ProbeOutcome.UNREACHABLE),
            )
        elif kind is not FaultKind.KILL:
            super().start_probe(node, probe)

    def carry_out(self, node: MemberNode, actions: list[Action]) -> None:
        """Executes a node's actions, unless a fault has killed the node."""
        if node.is_up:
            super().carry_out(node, actions)


def run_scenario(injector: FaultInjector, change: Callable[[FaultPointNetwork], None] | None = None) -> str:
    """Runs the scenario; returns the violation, or an empty text.

    Three members join; a path is cut one way for a while; one member is killed and restarted. `change` may
    change the network first.
    """
    network = FaultPointNetwork(injector, seed=3)
    if change is not None:
        change(network)
    for number, name in enumerate(NAMES):
        network.start(name, NAMES[:number])
    network.run(1_200.0)
    network.is_blocked = lambda source, target: (source, target) == ("m0", "m1")
    network.run(400.0)  # shorter than any suspicion, so that the cut and a stall during it count as one fault
    network.is_blocked = lambda source, target: False
    network.kill_for(network.nodes["m2"], 1_600.0)
    network.run(3_700.0)
    injector.is_counting = False
    network.run(8_000.0)
    return failure_of(network)


def failure_of(network: FaultPointNetwork) -> str:
    """Describes unexpected deaths or a missing convergence; returns an empty text if there is neither."""
    unexpected = [
        f"{death.observer} declared {death.member} dead"
        for death in network.changes(MemberChange.DIED)
        if death.at_ms < network.killed_at_ms.get(death.member, death.at_ms + 1.0)
    ]
    if unexpected:
        return "; ".join(unexpected)
    if not network.has_converged():
        return f"member lists differ: { {name: sorted(network.live_as_seen_by(name)) for name in NAMES} }"
    return ""
