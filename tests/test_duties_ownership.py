"""Ownership of shared tasks without I/O, and the model checker of all interleavings of a few members."""

import random
from collections import Counter

import pytest

from gladewalk.duties.ownership import Ownership, OwnershipClaim, owner_of
from gladewalk.rehearsal.ownership_checker import Budget, OwnershipChecker, OwnershipViolationError

INTERVAL_MS = 1_000.0


def views_of(*names: str) -> dict[str, Ownership]:
    return {name: Ownership(name, INTERVAL_MS, random.Random(name)) for name in names}


def test_tasks_are_assigned_by_weight_and_a_death_moves_only_the_tasks_of_the_dead_member() -> None:
    members = {"a": 1.0, "b": 1.0, "c": 2.0}
    tasks = [f"d{number}" for number in range(4_000)]
    before = {task: owner_of(task, members) for task in tasks}
    count = Counter(before.values())
    assert 0.46 < count["c"] / len(tasks) < 0.54
    assert 0.21 < count["a"] / len(tasks) < 0.29
    after = {task: owner_of(task, {"a": 1.0, "c": 2.0}) for task in tasks}
    assert all(after[task] == before[task] for task in tasks if before[task] != "b")
    assert owner_of("d", {}) is None


def exchange_claims(views: dict[str, Ownership], now: float) -> None:
    """Sends all members' claims to all other members repeatedly, until they contain nothing new."""
    for _ in range(6):
        for sender in views.values():
            for task, owned_task in list(sender.owned.items()):
                for receiver in views.values():
                    if receiver is not sender:
                        receiver.handle_claim(task, owned_task.claim, sender.last_done_ms.get(task), now)


def owners(views: dict[str, Ownership], task: str) -> list[str]:
    return [name for name, view in views.items() if task in view.owned]


def test_every_task_has_an_owner_at_any_time_while_a_member_joins_and_takes_its_share() -> None:
    views = views_of("a", "b", "c")
    tasks = [f"d{number}" for number in range(60)]
    for name in ("a", "b"):
        views[name].set_tasks(tasks, 0.0)
        views[name].set_members({"a": 1.0, "b": 1.0}, 0.0)
    two = {name: views[name] for name in ("a", "b")}
    exchange_claims(two, 0.0)
    assert all(len(owners(two, task)) == 1 for task in tasks)
    for view in views.values():
        view.set_tasks(tasks, 10.0)
        view.set_members({"a": 1.0, "b": 1.0, "c": 1.0}, 10.0)
        assert all(owners(views, task) for task in tasks), "every task has an owner at any time"
    exchange_claims(views, 10.0)
    assert [owners(views, task) for task in tasks] == [
        [owner_of(task, {"a": 1.0, "b": 1.0, "c": 1.0})] for task in tasks
    ]


def test_of_two_owners_of_a_task_the_one_with_the_older_epoch_yields_and_its_results_are_rejected() -> None:
    views = views_of("a", "b")
    for view in views.values():
        view.set_tasks(["d"], 0.0)
    old, new = views["a"], views["b"]
    assert old.handle_claim("d", OwnershipClaim(3, "a"), None, 0.0)
    assert new.handle_claim("d", OwnershipClaim(3, "a"), 500.0, 0.0)
    claim = new.owned["d"].claim  # it knows no other member, so it takes over
    assert claim == OwnershipClaim(4, "b")
    old.set_members({"a": 1.0, "b": 1e6}, 0.0)
    assert old.handle_claim("d", claim, None, 0.0)
    assert "d" not in old.owned
    assert not new.handle_claim("d", OwnershipClaim(3, "a"), 900.0, 0.0)
    assert new.last_done_ms["d"] == 500.0


def test_after_a_takeover_tasks_keep_their_schedule_or_are_spread_if_overdue() -> None:
    view = Ownership("a", INTERVAL_MS, random.Random(1))
    tasks = [f"d{number}" for number in range(200)]
    view.members = {"a": 1.0, "b": 1e9}
    view.set_tasks(tasks, 0.0)
    for number, task in enumerate(tasks):  # half of them were performed recently, half are overdue
        view.handle_claim(task, OwnershipClaim(1, "b"), 900.0 if number % 2 else -5_000.0, 1_000.0)
    assert not view.owned
    view.set_members({"a": 1.0}, 1_000.0)
    due = [view.owned[task].due_ms for task in tasks]
    assert {due[number] for number in range(1, 200, 2)} == {1_900.0}
    overdue = [due[number] for number in range(0, 200, 2)]
    assert min(overdue) >= 1_000.0 and max(overdue) <= 1_250.0
    assert max(Counter(int(at / 25) for at in overdue).values()) < 25


def test_after_a_stall_a_task_is_performed_once_and_not_once_for_each_missed_interval() -> None:
    view = Ownership("a", INTERVAL_MS, random.Random(1))
    view.set_tasks(["d"], 0.0)
    start = view.next_due_ms()
    assert [len(view.take_due(start)), len(view.take_due(start + 10.0))] == [1, 0]
    assert [len(view.take_due(start + 7_300.0)), len(view.take_due(start + 7_301.0))] == [1, 0]
    assert view.next_due_ms() == start + 8_300.0


def test_all_state_of_a_removed_task_is_discarded() -> None:
    view = Ownership("a", INTERVAL_MS, random.Random(1))
    view.set_tasks(["d", "e"], 0.0)
    view.take_due(5_000.0)
    view.set_tasks(["e"], 6_000.0)
    assert (set(view.owned), set(view.best_claims), set(view.last_done_ms)) == ({"e"}, {"e"}, {"e"})
    assert not view.handle_claim("d", OwnershipClaim(9, "b"), None, 6_000.0)


def test_a_task_that_an_earlier_run_claimed_is_claimed_again_under_a_later_epoch() -> None:
    view = Ownership("a", INTERVAL_MS, random.Random(1))
    view.set_tasks(["d"], 0.0)
    assert view.handle_claim("d", OwnershipClaim(7, "a"), None, 0.0)
    assert view.owned["d"].claim == view.best_claims["d"] == OwnershipClaim(8, "a")
    assert view.take_new_claims()[-1] == ("d", OwnershipClaim(8, "a"))


class NeverTakesOver(Ownership):
    """Broken: it claims only tasks that no member has claimed before."""

    def _review_task(self, task: str, now_ms: float) -> None:
        if task not in self.best_claims:
            super()._review_task(task, now_ms)


class NeverYields(Ownership):
    """Broken: it doesn't yield a task to a better claim."""

    def handle_claim(self, task: str, claim: OwnershipClaim, done_ms: float | None, now_ms: float) -> bool:
        owned_task, is_accepted = self.owned.get(task), super().handle_claim(task, claim, done_ms, now_ms)
        if owned_task is not None:
            self.owned.setdefault(task, owned_task)
        return is_accepted


class KeepsOutdatedClaim(Ownership):
    """Broken: after a restart it keeps its new run's claim, which the others consider outdated."""

    def handle_claim(self, task: str, claim: OwnershipClaim, done_ms: float | None, now_ms: float) -> bool:
        owned_task = self.owned.get(task)
        if owned_task is not None and claim.owner == self.member and owned_task.claim < claim:
            self.best_claims[task] = claim
            return True
        return super().handle_claim(task, claim, done_ms, now_ms)


RESTARTS = Budget(losses=1, deaths=1, restarts=1, wrong_beliefs=0, exchanges=1)
WRONG_BELIEFS = Budget(losses=0, deaths=1, restarts=0, wrong_beliefs=1, exchanges=0)


@pytest.mark.parametrize(
    ("budget", "max_epoch", "states"), [(RESTARTS, 6, 9_716), (WRONG_BELIEFS, 3, 19_680)]
)
def test_a_task_has_an_owner_in_every_interleaving(budget: Budget, max_epoch: int, states: int) -> None:
    assert OwnershipChecker(budget=budget, max_epoch=max_epoch).run() == states


@pytest.mark.parametrize(
    ("broken", "budget"),
    [(NeverTakesOver, RESTARTS), (NeverYields, WRONG_BELIEFS), (KeepsOutdatedClaim, RESTARTS)],
)
def test_the_checker_detects_a_broken_ownership(broken: type[Ownership], budget: Budget) -> None:
    with pytest.raises(OwnershipViolationError, match="after:\n"):
        OwnershipChecker(broken, budget).run()
