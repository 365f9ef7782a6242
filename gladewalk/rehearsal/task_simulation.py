"""Simulates shared tasks in virtual time: real `TaskRunner`, `Ownership` and `Membership`, virtual network.

The servers to check are only names; each health check is recorded with its time. Nodes can be killed,
stopped, cut off and restarted as in `member_network`; the tasks that they own can be read at any time.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from .. import interface as api
from ..core.counters import Counters
from ..duties.ownership import Rank, best_rank, rendezvous_score
from ..duties.runner import ResultCallback, TaskRunner
from ..members.actions import MemberChange
from ..members.config import MembershipConfig
from ..members.messages import UserEvent
from .member_network import MemberNetwork, MemberNode

CHECK_LATENCY_MS = 1.0
CHECK_KIND = "load"
MAX_RESULT_AGE_MS = 3_000.0  # older results of other members are ignored
RESUME_DELAY_MS = 0.01  # after a pause, so that messages received during it are handled first
SEED_COUNT = 2  # members that the others know at their start


@dataclass(slots=True, frozen=True)
class SentCheck:
    """A health check: its time, the node that sent it, and the server."""

    at_ms: float
    sender: str
    server: str


class SimulatedPeers:
    """A node's membership as `TaskRunner` uses it, in place of `MembershipTransport`."""

    def __init__(self, node: MemberNode) -> None:
        self.node, self.core = node, node.core
        self.on_member_change: Callable[[MemberChange, str], None] = lambda change, name: None
        self.on_event: Callable[[UserEvent], None] = lambda event: None

    def publish_event(self, event: UserEvent) -> None:
        """Publishes a claim or a result to all members."""
        self.core.publish_event(event)


class VirtualScheduler:
    """Schedules a node's sweeps: they are delayed while the node is paused, and end when it stops."""

    def __init__(self, network: TaskNetwork, node: MemberNode) -> None:
        self.network, self.node = network, node

    def add(self, when_ms: float, call: Callable[[], None]) -> None:
        """Calls `call` at a time on the node's clock."""
        wait_ms = max(0.0, when_ms - (self.network.now_ms + self.node.clock_offset_ms))
        self.network.schedule(wait_ms, lambda: self._run(call))

    def _run(self, call: Callable[[], None]) -> None:
        if not self.node.is_up:
            return
        if self.network.now_ms < self.node.paused_until_ms:
            wait_ms = self.node.paused_until_ms - self.network.now_ms + RESUME_DELAY_MS
            self.network.schedule(wait_ms, lambda: self._run(call))
        else:
            call()


class SharedRanks:
    """The nodes' rendezvous hash, computed once for all nodes; all members have equal weight.

    Without it, each of a thousand nodes would hash millions of pairs. The highest `cached_count` ranks of
    each task are cached; if none of them belongs to the given members, the hash is computed for these
    members.
    """

    def __init__(self, names: Iterable[str], cached_count: int = 24) -> None:
        self.names, self.cached_count = list(names), cached_count
        self._highest: dict[str, list[Rank]] = {}

    def best_rank(self, task: str, members: Mapping[str, float]) -> Rank:
        """Returns the highest rank for a task among `members`."""
        highest = self._highest.get(task)
        if highest is None:
            ranks = sorted(
                (Rank(rendezvous_score(task, name, 1.0), name) for name in self.names), reverse=True
            )
            highest = self._highest[task] = ranks[: self.cached_count]
        for rank in highest:
            if rank.member in members:
                return rank
        return best_rank(task, members)


class SimulatedHealthCheck:
    """The task type of the simulation: a health check to which every server responds."""

    kind = CHECK_KIND

    def __init__(self, network: TaskNetwork, node: MemberNode) -> None:
        self.network, self.node, self.interval_ms = network, node, network.interval_ms

    def targets(self) -> Iterable[str]:
        """Returns the servers."""
        return self.network.listed

    def perform(self, target: str, on_result: ResultCallback) -> None:
        """Records a check; its response is lost if the node stops meanwhile."""
        self.network.checks.append(SentCheck(self.network.now_ms, self.node.name, target))

        def report_response() -> None:
            if self.node.is_up:
                on_result(api.Status.OK, CHECK_LATENCY_MS, None)

        self.network.schedule(CHECK_LATENCY_MS, report_response)

    def record_result(self, result: api.HealthCheckResult) -> None:
        """Records the time of the check behind the node's latest result for a server."""
        checked_at_ms = self.network.now_ms - result.age_ms
        self.network.known_since_ms[self.node.name, result.server] = checked_at_ms


class TaskNetwork(MemberNetwork):
    """Nodes with shared tasks; `checks` contains all health checks in order of time."""

    def __init__(
        self,
        seed: int,
        servers: Iterable[str],
        interval_ms: float = 1_000.0,
        membership_config: MembershipConfig | None = None,
        checks_per_second: float = 0.0,
    ) -> None:
        super().__init__(seed, membership_config)
        self.servers, self.interval_ms = tuple(servers), interval_ms
        self.checks_per_second = checks_per_second
        self.listed = frozenset(self.servers)
        self.ranks: SharedRanks | None = None
        self.runners: dict[str, TaskRunner] = {}
        self.checks: list[SentCheck] = []
        self.known_since_ms: dict[tuple[str, str], float] = {}  # latest check, by node and server
        self.on_event = lambda node, user_event: self.runners[node.name].peers.on_event(user_event)
        self.on_change = self._on_change

    def _on_change(self, node: MemberNode, change: MemberChange, name: str) -> None:
        if node.name in self.runners:  # otherwise the node is still being started
            self.runners[node.name].peers.on_member_change(change, name)

    def join(self, name: str, seeds: tuple[str, ...] = ()) -> MemberNode:
        """Starts a node with shared tasks, or restarts it without its earlier knowledge."""
        if name in self.nodes:
            self.nodes[name].is_up = False
        node = self.start(name, seeds)
        runner = TaskRunner(
            SimulatedPeers(node),
            [SimulatedHealthCheck(self, node)],
            lambda: self.now_ms + node.clock_offset_ms,
            VirtualScheduler(self, node),
            Counters(),
            random.Random(self.random.random()),
            MAX_RESULT_AGE_MS,
            self.checks_per_second,
        )
        if self.ranks is not None:
            for shared in runner.task_types.values():
                shared.ownership.best_rank = self.ranks.best_rank
        self.runners[name] = runner
        runner.sweep()
        return node

    def owners(self, server: str) -> list[str]:
        """Returns the running nodes that own a server's health check."""
        return [
            name
            for name, runner in self.runners.items()
            if self.nodes[name].is_up and server in runner.task_types[CHECK_KIND].ownership.owned
        ]

    def has_one_owner_each(self) -> bool:
        """Whether each health check has exactly one owner among the running nodes."""
        return all(len(self.owners(server)) == 1 for server in self.servers)

    def check_rates(self, since_ms: float) -> list[float]:
        """Returns the checks per interval of each server since a time, in ascending order."""
        intervals = (self.now_ms - since_ms) / self.interval_ms
        counts = dict.fromkeys(self.servers, 0)
        for check in self.checks:
            if check.at_ms >= since_ms:
                counts[check.server] += 1
        return sorted(count / intervals for count in counts.values())

    def longest_gap_ms(self, since_ms: float) -> float:
        """Returns the longest time without a check of any server, from a time up to now."""
        last_ms = dict.fromkeys(self.servers, since_ms)
        longest_ms = 0.0
        for check in self.checks:
            if check.at_ms >= since_ms:
                longest_ms = max(longest_ms, check.at_ms - last_ms[check.server])
                last_ms[check.server] = check.at_ms
        return max([longest_ms, *(self.now_ms - at_ms for at_ms in last_ms.values())])


def build_task_network(
    count: int,
    seed: int,
    servers: int = 12,
    interval_ms: float = 1_000.0,
    settle_ms: float = 6_000.0,
    checks_per_second: float = 0.0,
    membership_config: MembershipConfig | None = None,
    starts_introduced: bool = False,
) -> TaskNetwork:
    """Builds members m0 to m(count-1), the first two of them seeds.

    They run for `settle_ms`, in which they divide the servers among themselves.

    With `starts_introduced` they know one another from the start, as after a full exchange of state.
    """
    names = (f"b{number}" for number in range(servers))
    network = TaskNetwork(seed, names, interval_ms, membership_config, checks_per_second)
    if starts_introduced:
        network.ranks = SharedRanks(f"m{number}" for number in range(count))
    for number in range(count):
        seeds = tuple(f"m{earlier}" for earlier in range(min(number, SEED_COUNT)))
        network.join(f"m{number}", seeds)
    if starts_introduced:
        _introduce(network)
    network.run(settle_ms)
    return network


def _introduce(network: TaskNetwork) -> None:
    """Makes each node know all others, without updates about this left to send."""
    updates = [node.core.local for node in network.nodes.values()]
    for node in network.nodes.values():
        for update in updates:
            if update.name != node.name:
                node.core.gossip.apply(update, network.now_ms)
        node.core.dissemination.queued_updates.clear()
        node.core.outbox.take()
        network.runners[node.name].has_membership_changed = True
