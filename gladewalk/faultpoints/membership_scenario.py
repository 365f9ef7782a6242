"""Membership at its points: three members that meet, one that is killed and comes back, and one roster."""

from __future__ import annotations

from collections.abc import Callable

from ..members.actions import Action, Address, MemberChange, ProbeOutcome, StartConfirmationProbe
from ..members.authenticator import MessageAuthenticator
from ..members.config import MembershipConfig
from ..members.messages import Ack, DatagramMessage, Join, Nack, PartialState, Ping, PingRequest, decode
from ..rehearsal.member_network import KEY, Net, Node
from .points import Kind, Points

STALL_MS = 1_600.0  # longer than a suspicion lasts, shorter than one that is stalled is kept
LATE_MS = 1_500.0
DOWN_MS = 900.0
NAMES = ("m0", "m1", "m2")
POINT_SUFFIXES: dict[type[DatagramMessage], str] = {  # as the catalogue of points names the messages
    Ping: "Ping",
    Ack: "Ack",
    Nack: "Nack",
    PingRequest: "PingFor",
    Join: "Join",
    PartialState: "Roster",
}


class FaultNet(Net):
    """A network whose nodes pass a point where they send, take, dial and change their minds."""

    def __init__(self, points: Points, seed: int, terms: MembershipConfig | None = None) -> None:
        super().__init__(seed, terms)
        self.points = points
        self.killed_at: dict[str, float] = {}
        self.on_change = self.noted

    def down(self, node: Node, ms: float = DOWN_MS) -> None:
        """SIGKILL, and a start under the same name later."""
        if node.up:
            self.killed_at.setdefault(node.name, self.now)
            self.kill(node.name)
            self.after(ms, lambda: self.back(node.name))

    def back(self, name: str) -> None:
        self.start(name, NAMES[:2])

    def strikes(self, node: Node, name: str) -> Kind | None:
        """The fault that happens to this node at this point: whether it goes on is the caller's."""
        kind = self.points.reach(name)
        if kind is Kind.KILL:
            self.down(node)
        elif kind is Kind.STALL:
            self.stop(node.name, STALL_MS)
        return kind

    def what(self, data: bytes) -> str:
        """The kind of a message, opened apart: who opens one twice takes it for a replay."""
        opened = MessageAuthenticator((KEY,), 30_000.0).verify(data, self.now)
        assert isinstance(opened, bytes)
        return POINT_SUFFIXES[type(decode(opened))]

    def noted(self, node: Node, change: MemberChange, name: str) -> None:
        if change in (MemberChange.SUSPECTED, MemberChange.DIED):
            self.strikes(node, f"members.verdict.{change.value}")

    def post(self, node: Node, data: bytes, to: Address) -> None:
        if not node.up:
            return
        kind = self.strikes(node, f"members.send.{self.what(data)}")
        if kind in (Kind.KILL, Kind.LOSE):
            return
        if kind is Kind.LATE:
            self.after(LATE_MS, lambda: super(FaultNet, self).post(node, data, to))
            return
        for _ in range(2 if kind is Kind.DOUBLE else 1):
            super().post(node, data, to)

    def take(self, node: Node, data: bytes, source: Address) -> None:
        kind = self.strikes(node, f"members.take.{self.what(data)}")
        if kind is Kind.STALL:
            node.waiting.append((data, source))
        elif kind is not Kind.KILL:
            super().take(node, data, source)

    def exchange(self, node: Node, to: Address) -> None:
        kind = self.strikes(node, "members.dial.exchange")
        if kind is Kind.LOSE:
            self._exchange_failed(node, to)
        elif kind is not Kind.KILL:
            super().exchange(node, to)

    def knock(self, node: Node, wanted: StartConfirmationProbe) -> None:
        kind = self.strikes(node, "members.dial.knock")
        if kind is Kind.LOSE:
            target = self.by_address.get(wanted.to)
            self.after(
                wanted.timeout_ms, lambda: self._knocked(node, target, wanted, ProbeOutcome.UNREACHABLE)
            )
        elif kind is not Kind.KILL:
            super().knock(node, wanted)

    def carry_out(self, node: Node, out: list[Action]) -> None:
        if node.up:
            super().carry_out(node, out)


def play(points: Points, change: Callable[[FaultNet], None] | None = None) -> str:
    """They meet; a path is cut one way for a while, one is killed and comes back; what does not hold."""
    net = FaultNet(points, seed=3)
    if change is not None:
        change(net)
    for n, name in enumerate(NAMES):
        net.start(name, tuple(NAMES[:n]))
    net.run(1_200.0)
    net.blocked = lambda source, target: (source, target) == ("m0", "m1")
    net.run(400.0)  # shorter than any suspicion: a stop within it is one fault, and not two
    net.blocked = lambda source, target: False
    net.down(net.nodes["m2"], 1_600.0)
    net.run(3_700.0)
    points.counting = False
    net.run(8_000.0)
    wrong = [
        f"{seen.observer} held {seen.member} dead"
        for seen in net.seen
        if seen.change is MemberChange.DIED and seen.at_ms < net.killed_at.get(seen.member, seen.at_ms + 1.0)
    ]
    if wrong:
        return "; ".join(wrong)
    if not net.agreed():
        return f"no one roster: { {name: sorted(net.live_as_seen_by(name)) for name in NAMES} }"
    return ""
