"""Duties on the network in memory: the real `Runner`, `Ownership` and `Membership`, in virtual time.

Boxes to probe are names; a probe that a node does is noted with its time. Nodes are killed, stopped, cut off
and restarted as on `member_network`, and what they hold and do can be read off at any moment.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from .. import interface as api
from ..core.counters import Counters
from ..duties.ownership import Rank, rank_of, score
from ..duties.runner import Found, Runner
from ..members.actions import MemberChange
from ..members.config import MembershipConfig
from ..members.messages import UserEvent
from .member_network import Net, Node

PROBE_MS = 1.0  # that a box takes to answer


@dataclass(slots=True, frozen=True)
class Done:
    at_ms: float
    by: str
    name: str


class Fellow:
    """A node as `Runner` sees its members; `members.transport.MembershipTransport` is the same on sockets."""

    def __init__(self, net: DutyNet, node: Node) -> None:
        self.net, self.node, self.core = net, node, node.core
        self.on_member_change: Callable[[MemberChange, str], None] = lambda change, name: None
        self.on_event: Callable[[UserEvent], None] = lambda event: None

    def publish_event(self, event: UserEvent) -> None:
        self.core.publish_event(event)


class Agenda:
    """A node's own sweeps: they stand still while it does, and end with it."""

    def __init__(self, net: DutyNet, node: Node) -> None:
        self.net, self.node = net, node

    def add(self, when_ms: float, call: Callable[[], None]) -> None:
        wait = max(0.0, when_ms - (self.net.now + self.node.clock_off))
        self.net.after(wait, lambda: self._run(call))

    def _run(self, call: Callable[[], None]) -> None:
        if not self.node.up:
            return
        if self.net.now < self.node.stopped_until:
            self.net.after(self.node.stopped_until - self.net.now + 0.01, lambda: self._run(call))
        else:
            call()


class SharedRanks:
    """The nodes' rendezvous hash, done once for all of them: a thousand nodes would each do millions.

    Kept are the first few of each duty; where none of them is among those asked for, it is hashed anew. All
    weigh the same.
    """

    def __init__(self, names: Iterable[str], first: int = 24) -> None:
        self.names, self.first = list(names), first
        self.tops: dict[str, list[Rank]] = {}

    def best(self, duty: str, members: Mapping[str, float]) -> Rank:
        top = self.tops.get(duty)
        if top is None:
            ranked = sorted(((score(duty, name, 1.0), name) for name in self.names), reverse=True)
            top = self.tops[duty] = ranked[: self.first]
        for rank in top:
            if rank[1] in members:
                return rank
        return rank_of(duty, members)


class Probe:
    """A duty of the rehearsal: every box answers."""

    kind = "load"

    def __init__(self, net: DutyNet, node: Node) -> None:
        self.net, self.node, self.interval_ms = net, node, net.interval_ms

    def names(self) -> Iterable[str]:
        return self.net.listed

    def do(self, name: str, found: Found) -> None:
        self.net.done.append(Done(self.net.now, self.node.name, name))
        self.net.after(PROBE_MS, lambda: found(api.Status.OK, PROBE_MS, None) if self.node.up else None)

    def learn(
        self, name: str, status: api.Status, took_ms: float, load: dict[str, float] | None, age_ms: float
    ) -> None:
        self.net.learned[self.node.name, name] = self.net.now - age_ms


class DutyNet(Net):
    """Nodes with duties. `done` has every probe in its order."""

    def __init__(
        self, seed: int, boxes: Iterable[str], interval_ms: float = 1_000.0,
        terms: MembershipConfig | None = None, per_s: float = 0.0,
    ) -> None:  # fmt: skip
        super().__init__(seed, terms)
        self.boxes, self.interval_ms, self.per_s = tuple(boxes), interval_ms, per_s
        self.listed = frozenset(self.boxes)
        self.ranks: SharedRanks | None = None
        self.runners: dict[str, Runner] = {}
        self.done: list[Done] = []
        self.learned: dict[tuple[str, str], float] = {}
        self.on_news = lambda node, news: self.runners[node.name].members.on_event(news)
        self.on_change = self._on_change

    def _on_change(self, node: Node, change: MemberChange, name: str) -> None:
        if node.name in self.runners:  # else it is just being made
            self.runners[node.name].members.on_member_change(change, name)

    def join(self, name: str, seeds: tuple[str, ...] = ()) -> Node:
        """A node with duties starts, or starts again knowing nothing."""
        if name in self.nodes:
            self.nodes[name].up = False
        node = self.start(name, seeds)
        fellow = Fellow(self, node)
        runner = Runner(
            fellow, [Probe(self, node)], lambda: self.now + node.clock_off, Agenda(self, node), Counters(),
            random.Random(self.random.random()), 3_000.0, self.per_s,
        )  # fmt: skip
        if self.ranks is not None:
            for owned in runner.owned.values():
                owned.rank = self.ranks.best
        self.runners[name] = runner
        runner.sweep()
        return node

    def holders(self, box: str) -> list[str]:
        """The running nodes that hold a box's duty."""
        return [
            name
            for name, runner in self.runners.items()
            if self.nodes[name].up and box in runner.owned["load"].held
        ]

    def divided(self) -> bool:
        """Whether each duty has just one holder among those that run."""
        return all(len(self.holders(box)) == 1 for box in self.boxes)

    def rates(self, since_ms: float) -> list[float]:
        """Probes an interval that each box saw since then, in rising order."""
        spent = (self.now - since_ms) / self.interval_ms
        count = dict.fromkeys(self.boxes, 0)
        for done in self.done:
            if done.at_ms >= since_ms:
                count[done.name] += 1
        return sorted(seen / spent for seen in count.values())

    def widest_gap(self, since_ms: float) -> float:
        """The longest that any box waited for its next probe since then, up to now."""
        last = dict.fromkeys(self.boxes, since_ms)
        widest = 0.0
        for done in self.done:
            if done.at_ms >= since_ms:
                widest = max(widest, done.at_ms - last[done.name])
                last[done.name] = done.at_ms
        return max([widest, *(self.now - at for at in last.values())])


def duty_cluster(
    count: int, seed: int, boxes: int = 12, interval_ms: float = 1_000.0, settle_ms: float = 6_000.0,
    per_s: float = 0.0, terms: MembershipConfig | None = None, met: bool = False,
) -> DutyNet:  # fmt: skip
    """Members `m0` to `mN`, who know the first two as seeds, once they have divided their boxes.

    `met`: they know one another from the start, as if a full exchange lay long behind them, and begin with
    dividing the boxes.
    """
    net = DutyNet(seed, [f"b{n}" for n in range(boxes)], interval_ms, terms, per_s)
    if met:
        net.ranks = SharedRanks(f"m{n}" for n in range(count))
    for n in range(count):
        net.join(f"m{n}", tuple(f"m{s}" for s in range(min(n, 2))))
    if met:
        _introduce(net)
    net.run(settle_ms)
    return net


def _introduce(net: DutyNet) -> None:
    """All know all, and nobody has anything of it left to tell."""
    updates = [node.core.local for node in net.nodes.values()]
    for node in net.nodes.values():
        for update in updates:
            if update.name != node.name:
                node.core.gossip.apply(update, net.now)
        node.core.dissemination.queued_updates.clear()
        node.core.outbox.take()
        net.runners[node.name].moved = True
