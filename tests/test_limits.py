"""Limits that the decisions ask, each by itself: learned room, cold budgets, keys, retries."""

import math
import random
from dataclasses import dataclass

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gladewalk.limits.admission_price import MAX_PRICE, MIN_PRICE, AdmissionPrice
from gladewalk.limits.backoff import (
    MAX_BACKOFF_MS,
    MIN_FILL_QUOTA,
    backoff_ms,
    decrease_quota,
    increase_quota,
    unresponsive_timeout_ms,
)
from gladewalk.limits.concurrency import (
    MAX_FACTOR,
    REJECTION_BACKOFF_MS,
    ConcurrencyLimit,
    LatencyBaseline,
    is_over_capacity,
)
from gladewalk.limits.idempotency_keys import IdempotencyKeys, PossibleExecution
from gladewalk.limits.retry_budget import MAX_SAVED_RETRIES, RetryBudget
from gladewalk.limits.slow_start import SlowStart, SlowStartBudget, subset_position
from gladewalk.limits.sojourn import MIN_TIMEOUT_MS, SojournLimit


def learned(guess: float, bears: float, answers: int = 4_000, seed: int = 1) -> float:
    """The size that is learned of a link of `bears` transfers, from answers of sizes that vary widely."""
    draw, room, usual = random.Random(seed), ConcurrencyLimit(), LatencyBaseline()
    room.estimate = guess
    for _ in range(answers):
        out = draw.uniform(1.0, 2.5 * bears)
        took_ms = draw.lognormvariate(math.log(300.0), 0.9) * max(1.0, out / bears)
        room.record_response(usual.record(took_ms, room.is_lightly_loaded(out)), out)
    return room.capacity


def test_a_link_s_room_is_learned_from_a_guess_on_either_side() -> None:
    for bears in (4.0, 7.0):
        for guess in (0.6 * bears, bears, 1.8 * bears):
            assert 0.6 * bears < learned(guess, bears) < 1.5 * bears
            assert abs(math.log(learned(guess, bears) / bears)) <= max(0.5, abs(math.log(guess / bears)))


@settings(max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.floats(0.1, 1e6), st.floats(0.0, 500.0)), max_size=300))
def test_a_learned_size_stays_within_its_span_whatever_comes(answers: list[tuple[float, float]]) -> None:
    room, usual = ConcurrencyLimit(), LatencyBaseline()
    for took_ms, out in answers:
        room.record_response(usual.record(took_ms, room.is_lightly_loaded(out)), out)
        room.record_rejection(took_ms)
        assert room.estimate / MAX_FACTOR * 0.999 <= room.capacity <= room.estimate * MAX_FACTOR * 1.001


def test_a_full_server_is_left_alone_until_something_ends_there() -> None:
    room = ConcurrencyLimit()
    before = room.capacity
    room.record_rejection(1_000.0)
    once = room.capacity
    room.record_rejection(1_001.0)  # sent together with the first: it says nothing new
    assert once < before and room.capacity == once
    assert room.is_rejecting(1_001.0 + REJECTION_BACKOFF_MS / 2) and not room.is_rejecting(
        1_001.0 + REJECTION_BACKOFF_MS
    )
    room.record_response(0.0, 1.0)
    assert not room.is_rejecting(1_002.0)


def test_a_link_is_over_by_the_slowdown_that_still_meets_the_aim_and_by_all_who_send() -> None:
    assert not is_over_capacity(0, 0.1, 9, 1.0)  # one transfer is always let through
    assert [is_over_capacity(n, 6.0, 1, 2.0) for n in (7, 9)] == [False, True]
    assert [is_over_capacity(n, 6.0, 3, 2.0) for n in (3, 7)] == [False, True]


def test_a_cold_budget_rises_with_warmth_and_is_not_saved_up() -> None:
    warming = SlowStart(0.2, 10_000.0, 3.0)
    assert warming.capacity_fraction(1_000.0, 1_000.0) == 0.2 and warming.capacity_fraction(
        1_000.0, 6_000.0
    ) == pytest.approx(0.6)
    assert warming.is_warming_up(1_000.0, 10_999.0) and not warming.is_warming_up(1_000.0, 11_000.0)
    assert warming.capacity_fraction(0.0, 5.0) == 1.0 and not SlowStart().is_warming_up(5.0, 5.0)
    credit = SlowStartBudget()

    def room(now_ms: float, rate: float = 1.0, senders: int = 2, lot: float = 0.25) -> bool:
        return credit.allows(now_ms, rate, senders, 1_000.0, 400.0, lot)

    assert [room(at) for at in (0.0, 199.0, 200.0)] == [False, False, True]  # a quarter of a turn of 800 ms
    credit.withdraw(400.0)
    assert [room(at) for at in (201.0, 999.0, 1_000.0)] == [False, False, True]
    assert room(1e6)  # long at rest, it may send one request, and no second
    credit.withdraw(400.0)
    assert not room(1e6)


def test_as_many_senders_share_a_cold_budget_as_the_server_bears() -> None:
    """Eight requests a window for thirty senders: eight or so take part, and others as it warms up."""
    window, mean, rng = 1_000.0, 100.0, random.Random(1)
    lots = [subset_position(number, 0, rng) for number in range(30)]
    credits = [SlowStartBudget() for _ in lots]

    def taking(now_ms: float, rate: float) -> list[bool]:
        pairs = zip(credits, lots, strict=True)
        return [credit.allows(now_ms, rate, 30, window, mean, lot) for credit, lot in pairs]

    assert sum(taking(0.0, 0.8)) <= 1  # they begin one behind the other
    assert 7 <= sum(taking(5_000.0, 0.8)) <= 9  # after a lull: one each, and of the few only
    assert max(c.tokens_ms for c in credits if not math.isnan(c.tokens_ms)) == 0.0
    before = sum(taking(5_000.0, 0.8))
    assert sum(taking(5_000.0, 1.6)) <= before + 1  # who takes part from now on begins anew
    assert 15 <= sum(taking(9_000.0, 1.6)) <= 17
    by_chance = [subset_position(-1, 0, rng) for _ in range(1_000)]
    assert 0.45 < sum(by_chance) / 1_000 < 0.55 and len(set(by_chance)) == 1_000


def test_a_key_is_known_from_its_first_send_and_forgotten_by_proof_and_by_age() -> None:
    keys: IdempotencyKeys[str] = IdempotencyKeys(3)
    keys.record_sent("k", 10.0, "a")
    keys.record_sent("k", 20.0, "b")
    assert keys.first_execution("k", 30.0, 1_000.0) == PossibleExecution(10.0, "a")
    keys.record_not_run("k", 10.0, "a")
    assert keys.first_execution("k", 30.0, 1_000.0) == PossibleExecution(20.0, "b")  # the other may have run
    keys.record_not_run("k", 10.0, "a")
    keys.record_not_run("k", 20.0, "b")
    assert keys.first_execution("k", 30.0, 1_000.0) is None and not keys.executions
    for n in range(5):
        keys.record_sent(f"{n}", 40.0 + n, "a")
    assert list(keys.executions) == ["2", "3", "4"]
    assert keys.first_execution("4", 1_043.5, 1_000.0) == PossibleExecution(44.0, "a")
    assert list(keys.executions) == ["4"]
    assert keys.first_execution("4", 1_044.5, 1_000.0) is None and not keys.executions


def test_retries_are_paid_for_by_requests() -> None:
    budget = RetryBudget()
    assert sum(budget.withdraw() for _ in range(100)) == MAX_SAVED_RETRIES
    for _ in range(21):
        budget.deposit()
    assert [budget.withdraw() for _ in range(4)] == [True, True, True, False]


def test_places_cost_more_while_they_are_taken_and_small_requests_always_pass() -> None:
    admission = AdmissionPrice()
    assert not admission.should_shed(0.0, 1e9)
    for _ in range(200):
        admission.update(1.0)
    assert admission.price == MAX_PRICE and admission.should_shed(1.0, 400.0)
    assert not admission.should_shed(1.0, 50.0)
    for _ in range(200):
        admission.update(0.3)
    assert admission.price == MIN_PRICE


def test_rests_double_up_to_a_most_and_shares_move_between_their_bounds() -> None:
    assert [backoff_ms(n) for n in (1, 2, 3)] == [400.0, 800.0, 1_600.0] and backoff_ms(99) == MAX_BACKOFF_MS
    assert unresponsive_timeout_ms(10.0, 1) == 2 * unresponsive_timeout_ms(10.0, 2)
    assert decrease_quota(1.2) == MIN_FILL_QUOTA and increase_quota(decrease_quota(4.0)) == 3.0


@dataclass
class Times:
    arrived_ms: float
    deadline_ms: float


def test_fills_are_cut_for_their_age_only_while_most_come_late() -> None:
    limit = SojournLimit()
    assert limit.timeout_ms(Times(0.0, 5_100.0), 600.0, 100.0) == 0.0
    for _ in range(20):
        limit.record(True)
    assert (
        limit.timeout_ms(Times(0.0, 5_100.0), 600.0, 100.0) == 1_100.0
    )  # twice its objective, with its wait
    assert limit.timeout_ms(Times(0.0, 6_150.0), 600.0, 1_150.0) == MIN_TIMEOUT_MS
    assert limit.timeout_ms(Times(0.0, 1_000.0), 600.0, 100.0) == 0.0  # its client gives up before that
    for _ in range(20):
        limit.record(False)
    assert limit.timeout_ms(Times(0.0, 5_100.0), 600.0, 100.0) == 0.0
