"""Explicit-state model checker of task ownership: visits every interleaving for a few members and tasks.

The members' views are real `Ownership` objects. A step is one of: a claim arrives or is lost; two members
exchange all claims that they know; a member dies, or restarts without any knowledge of claims; a live member
starts to believe, correctly or wrongly, that another is dead, or finds that it is alive. Losses, deaths,
restarts, wrong beliefs, exchanges and the epochs of claims are bounded, so the number of states is finite,
and all of them are visited.

A state in which a task has no live owner, or in which no message is pending, is *settled*: all pending
messages arrive, all beliefs become correct, and all members exchange all claims. Each task must then have
exactly one owner, whose claim all other members know. A violation reports the steps that lead to it.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from ..duties.ownership import OwnedTask, Ownership, OwnershipClaim
from ..errors import GladewalkError

MEMBERS = ("a", "b", "c")
TASKS = ("d1", "d2")
INTERVAL_MS = 1_000.0
MAX_SETTLE_ROUNDS = 12  # limit of a loop that ends earlier when a round changes nothing
MAX_STATES = 2_000_000
RANDOM = random.Random(0)  # used only for times, which are not part of a state


@dataclass(slots=True, frozen=True)
class PendingClaim:
    """A claim that has been sent to a member and has not arrived."""

    recipient: str
    task: str
    claim: OwnershipClaim


@dataclass(slots=True, frozen=True)
class MemberView:
    """One member's `Ownership` without times."""

    live: frozenset[str]
    best_claims: tuple[tuple[str, OwnershipClaim], ...]
    owned: tuple[tuple[str, OwnershipClaim], ...]


@dataclass(slots=True, frozen=True)
class Budget:
    """How many events of each kind may still happen."""

    losses: int = 1
    deaths: int = 1
    restarts: int = 1
    wrong_beliefs: int = 1  # beliefs that a live member is dead
    exchanges: int = 1


@dataclass(slots=True, frozen=True)
class SystemState:
    """The running members, the view of each, the pending claims and the remaining budget."""

    running: frozenset[str]
    views: tuple[tuple[str, MemberView], ...]
    pending: frozenset[PendingClaim]
    budget: Budget

    def view(self, name: str) -> MemberView:
        """Returns one member's view."""
        return dict(self.views)[name]

    def owners(self, task: str) -> list[str]:
        """Returns the running members that own a task."""
        return [name for name, view in self.views if name in self.running and task in dict(view.owned)]


@dataclass(slots=True, frozen=True)
class Step:
    """The step by which a state was first reached."""

    before: SystemState
    description: str


class OwnershipViolationError(GladewalkError, AssertionError):
    """A task has no owner or several, or an owner that not all know, even once settled; names the steps."""


class StateLimitError(GladewalkError, RuntimeError):
    """The number of states exceeds the checker's limit."""


@dataclass(slots=True)
class OwnershipChecker:
    """Visits all states; `ownership_type` is the class under test or a deliberately broken variant."""

    ownership_type: type[Ownership] = Ownership
    budget: Budget = field(default_factory=Budget)
    max_epoch: int = 6  # states with later epochs only repeat the behaviour of these and are not visited
    reached_by: dict[SystemState, Step | None] = field(default_factory=dict)
    settled_count: int = 0

    def run(self, max_states: int = MAX_STATES) -> int:
        """Visits every state and returns their number.

        Raises:
            OwnershipViolationError: A state violates a rule; raised at the first one found.
            StateLimitError: There are more than `max_states` states.
        """
        first = self.first_state()
        self.reached_by[first] = None
        frontier = [first]
        while frontier:
            state = frontier.pop()
            self.check(state)
            for description, after in self.steps(state):
                if after in self.reached_by or self._is_past_max_epoch(after):
                    continue
                self.reached_by[after] = Step(state, description)
                frontier.append(after)
                if len(self.reached_by) > max_states:
                    raise StateLimitError(f"more than {max_states} states")
        return len(self.reached_by)

    def first_state(self) -> SystemState:
        """Returns the state in which all members run, know one another and have just claimed their tasks."""
        nothing = MemberView(frozenset(MEMBERS), (), ())
        state = SystemState(
            frozenset(MEMBERS), tuple((name, nothing) for name in MEMBERS), frozenset(), self.budget
        )
        for name in MEMBERS:
            ownership = self._restore(name, nothing)
            ownership.review(0.0)
            state = self._update(state, name, ownership)
        return state

    # Possible steps.

    def steps(self, state: SystemState) -> Iterator[tuple[str, SystemState]]:
        """Yields every possible next step: its description and the state after it."""
        yield from self._deliveries(state)
        yield from self._exchanges(state)
        budget = state.budget
        for name in sorted(state.running):
            if budget.deaths and len(state.running) > 1:
                yield f"{name} dies", self._kill(state, name)
            if budget.restarts:
                yield f"{name} restarts", self._restart(state, name)
            yield from self._belief_changes(state, name)

    def _deliveries(self, state: SystemState) -> Iterator[tuple[str, SystemState]]:
        for message in state.pending:
            without = replace(state, pending=state.pending - {message})
            claim = message.claim
            yield (
                f"{message.recipient} receives {claim.owner}'s claim {claim.epoch} to {message.task}",
                self._deliver(without, message),
            )
            if state.budget.losses:
                budget = replace(state.budget, losses=state.budget.losses - 1)
                yield f"lost: {message}", replace(without, budget=budget)

    def _exchanges(self, state: SystemState) -> Iterator[tuple[str, SystemState]]:
        if not state.budget.exchanges:
            return
        budget = replace(state.budget, exchanges=state.budget.exchanges - 1)
        for one in sorted(state.running):
            for other in sorted(state.running - {one}):
                if one < other:
                    exchanged = self._send_all_claims(self._send_all_claims(state, one, other), other, one)
                    yield f"{one} and {other} exchange all claims", replace(exchanged, budget=budget)

    def _belief_changes(self, state: SystemState, name: str) -> Iterator[tuple[str, SystemState]]:
        live, budget = state.view(name).live, state.budget
        for other in MEMBERS:
            if other == name:
                continue
            if other in live and other not in state.running:
                yield f"{name} finds {other} dead", self._believe(state, name, live - {other})
            elif other in live and budget.wrong_beliefs:
                spent = replace(state, budget=replace(budget, wrong_beliefs=budget.wrong_beliefs - 1))
                mistaken = self._believe(spent, name, live - {other})
                yield f"{name} wrongly believes {other} dead", mistaken
            elif other not in live and other in state.running:
                yield f"{name} finds {other} alive", self._believe(state, name, live | {other})

    def _deliver(self, state: SystemState, message: PendingClaim) -> SystemState:
        ownership = self._restore(message.recipient, state.view(message.recipient))
        ownership.handle_claim(message.task, message.claim, None, 0.0)
        return self._update(state, message.recipient, ownership)

    def _send_all_claims(self, state: SystemState, sender: str, receiver: str) -> SystemState:
        ownership = self._restore(receiver, state.view(receiver))
        for task, claim in state.view(sender).best_claims:
            ownership.handle_claim(task, claim, None, 0.0)
        return self._update(state, receiver, ownership)

    def _kill(self, state: SystemState, name: str) -> SystemState:
        budget = replace(state.budget, deaths=state.budget.deaths - 1)
        pending = self._pending_without(state, name)
        return replace(state, running=state.running - {name}, pending=pending, budget=budget)

    def _restart(self, state: SystemState, name: str) -> SystemState:
        """Starts a new incarnation that knows the live members but no claims."""
        ownership = self._restore(name, MemberView(frozenset({name}), (), ()))
        ownership.set_members(dict.fromkeys(state.running, 1.0), 0.0)
        budget = replace(state.budget, restarts=state.budget.restarts - 1)
        before = replace(state, pending=self._pending_without(state, name), budget=budget)
        return self._update(before, name, ownership)

    def _pending_without(self, state: SystemState, recipient: str) -> frozenset[PendingClaim]:
        return frozenset(message for message in state.pending if message.recipient != recipient)

    def _believe(self, state: SystemState, name: str, live: frozenset[str]) -> SystemState:
        ownership = self._restore(name, state.view(name))
        ownership.set_members(dict.fromkeys(live, 1.0), 0.0)
        return self._update(state, name, ownership)

    # Conversion between a member's view and an `Ownership`.

    def _restore(self, name: str, view: MemberView) -> Ownership:
        ownership = self.ownership_type(name, INTERVAL_MS, RANDOM)
        ownership.tasks = set(TASKS)
        ownership.members = dict.fromkeys(view.live | {name}, 1.0)
        ownership.best_claims = dict(view.best_claims)
        ownership.owned = {task: OwnedTask(claim, 0.0) for task, claim in view.owned}
        return ownership

    def _view(self, ownership: Ownership) -> MemberView:
        owned = tuple(sorted((task, item.claim) for task, item in ownership.owned.items()))
        claims = tuple(sorted(ownership.best_claims.items()))
        return MemberView(frozenset(ownership.members), claims, owned)

    def _update(self, state: SystemState, name: str, ownership: Ownership) -> SystemState:
        """Returns the state with a member's new view and its new claims pending at all other members."""
        new_view = self._view(ownership)
        views = tuple((other, new_view if other == name else view) for other, view in state.views)
        sent = {
            PendingClaim(recipient, task, claim)
            for task, claim in ownership.take_new_claims()
            for recipient in state.running - {name}
        }
        return replace(state, views=views, pending=state.pending | sent)

    # Checks.

    def check(self, state: SystemState) -> None:
        """Checks a state with an unowned task, or without pending claims, after settling it."""
        has_unowned_task = any(not state.owners(task) for task in TASKS)
        if not has_unowned_task and state.pending:
            return
        self.settled_count += 1
        settled = self.settle(state)
        for task in TASKS:
            owners = settled.owners(task)
            if len(owners) != 1:
                raise OwnershipViolationError(
                    f"{task} is owned by {owners or 'no member'} after:\n{self.describe(state)}"
                )
            claim = dict(settled.view(owners[0]).owned)[task]
            if any(dict(settled.view(name).best_claims)[task] != claim for name in settled.running):
                raise OwnershipViolationError(
                    f"not all members know the claim {claim} to {task} after:\n{self.describe(state)}"
                )

    def settle(self, state: SystemState) -> SystemState:
        """Corrects beliefs, delivers pending claims and exchanges all claims until nothing changes."""
        for _ in range(MAX_SETTLE_ROUNDS):
            before = state
            for name in sorted(state.running):
                if state.view(name).live != state.running:
                    state = self._believe(state, name, state.running)
            for message in sorted(state.pending, key=lambda each: (each.recipient, each.task, each.claim)):
                without = replace(state, pending=state.pending - {message})
                state = self._deliver(without, message)
            for one in sorted(state.running):
                for other in sorted(state.running - {one}):
                    state = self._send_all_claims(state, one, other)
            if state == before:
                break
        return state

    def describe(self, state: SystemState) -> str:
        """Returns the steps that led to a state, one per line."""
        descriptions = []
        step = self.reached_by[state]
        while step is not None:
            descriptions.append(step.description)
            step = self.reached_by[step.before]
        return "\n".join(reversed(descriptions)) or "no step"

    def _is_past_max_epoch(self, state: SystemState) -> bool:
        return any(claim.epoch > self.max_epoch for _, view in state.views for _, claim in view.best_claims)
