"""The limits, each by itself: learned capacity, slow-start budgets, idempotency keys, retries, admission."""

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


def learned_capacity(
    initial_estimate: float, true_capacity: float, responses: int = 4_000, seed: int = 1
) -> float:
    """The capacity learned for a link of `true_capacity` transfers from responses of widely varying sizes."""
    generator, limiter, baseline = random.Random(seed), ConcurrencyLimit(), LatencyBaseline()
    limiter.estimate = initial_estimate
    for _ in range(responses):
        in_flight = generator.uniform(1.0, 2.5 * true_capacity)
        elapsed_ms = generator.lognormvariate(math.log(300.0), 0.9) * max(1.0, in_flight / true_capacity)
        limiter.record_response(baseline.record(elapsed_ms, limiter.is_lightly_loaded(in_flight)), in_flight)
    return limiter.capacity


def test_a_links_capacity_is_learned_from_an_estimate_that_is_too_low_or_too_high() -> None:
    for true_capacity in (4.0, 7.0):
        for initial_estimate in (0.6 * true_capacity, true_capacity, 1.8 * true_capacity):
            assert (
                0.6 * true_capacity < learned_capacity(initial_estimate, true_capacity) < 1.5 * true_capacity
            )
            assert abs(math.log(learned_capacity(initial_estimate, true_capacity) / true_capacity)) <= max(
                0.5, abs(math.log(initial_estimate / true_capacity))
            )


@settings(max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.floats(0.1, 1e6), st.floats(0.0, 500.0)), max_size=300))
def test_a_learned_capacity_stays_within_its_bounds_for_any_responses(
    responses: list[tuple[float, float]],
) -> None:
    limiter, baseline = ConcurrencyLimit(), LatencyBaseline()
    for elapsed_ms, in_flight in responses:
        limiter.record_response(baseline.record(elapsed_ms, limiter.is_lightly_loaded(in_flight)), in_flight)
        limiter.record_rejection(elapsed_ms)
        assert (
            limiter.estimate / MAX_FACTOR * 0.999 <= limiter.capacity <= limiter.estimate * MAX_FACTOR * 1.001
        )


def test_a_rejecting_server_is_in_backoff_until_a_response() -> None:
    limiter = ConcurrencyLimit()
    before = limiter.capacity
    limiter.record_rejection(1_000.0)
    after_first = limiter.capacity
    limiter.record_rejection(1_001.0)  # sent together with the first one: counts once
    assert after_first < before and limiter.capacity == after_first
    assert limiter.is_rejecting(1_001.0 + REJECTION_BACKOFF_MS / 2) and not limiter.is_rejecting(
        1_001.0 + REJECTION_BACKOFF_MS
    )
    limiter.record_response(0.0, 1.0)
    assert not limiter.is_rejecting(1_002.0)


def test_the_capacity_of_a_link_allows_for_the_slowdown_and_is_divided_among_all_senders() -> None:
    assert not is_over_capacity(0, 0.1, 9, 1.0)  # one transfer is always allowed
    assert [is_over_capacity(n, 6.0, 1, 2.0) for n in (7, 9)] == [False, True]
    assert [is_over_capacity(n, 6.0, 3, 2.0) for n in (3, 7)] == [False, True]


def test_a_slow_start_budget_grows_along_the_ramp_and_is_not_saved_up() -> None:
    slow_start = SlowStart(0.2, 10_000.0, 3.0)
    assert slow_start.capacity_fraction(1_000.0, 1_000.0) == 0.2 and slow_start.capacity_fraction(
        1_000.0, 6_000.0
    ) == pytest.approx(0.6)
    assert slow_start.is_warming_up(1_000.0, 10_999.0) and not slow_start.is_warming_up(1_000.0, 11_000.0)
    assert slow_start.capacity_fraction(0.0, 5.0) == 1.0 and not SlowStart().is_warming_up(5.0, 5.0)
    slow_start_budget = SlowStartBudget()

    def may_send(now_ms: float, rate: float = 1.0, senders: int = 2, position: float = 0.25) -> bool:
        return slow_start_budget.allows(now_ms, rate, senders, 1_000.0, 400.0, position)

    # The first request is delayed by a quarter (`position`) of the 800 ms that one sender takes per request.
    assert [may_send(at) for at in (0.0, 199.0, 200.0)] == [False, False, True]
    slow_start_budget.withdraw(400.0)
    assert [may_send(at) for at in (201.0, 999.0, 1_000.0)] == [False, False, True]
    assert may_send(1e6)  # after a long idle time it may send one request, but not two
    slow_start_budget.withdraw(400.0)
    assert not may_send(1e6)


def test_as_many_senders_share_a_slow_start_budget_as_the_server_can_handle() -> None:
    """With eight requests per window for thirty senders about eight are active, and more during the ramp."""
    window, mean, rng = 1_000.0, 100.0, random.Random(1)
    positions = [subset_position(number, 0, rng) for number in range(30)]
    budgets = [SlowStartBudget() for _ in positions]

    def allowed_at(now_ms: float, rate: float) -> list[bool]:
        pairs = zip(budgets, positions, strict=True)
        return [
            slow_start_budget.allows(now_ms, rate, 30, window, mean, position)
            for slow_start_budget, position in pairs
        ]

    assert sum(allowed_at(0.0, 0.8)) <= 1  # they start one after another
    assert 7 <= sum(allowed_at(5_000.0, 0.8)) <= 9  # after an idle time: one request from each active sender
    assert max(c.tokens_ms for c in budgets if not math.isnan(c.tokens_ms)) == 0.0
    before = sum(allowed_at(5_000.0, 0.8))
    assert sum(allowed_at(5_000.0, 1.6)) <= before + 1  # newly active senders start without saved tokens
    assert 15 <= sum(allowed_at(9_000.0, 1.6)) <= 17
    random_positions = [subset_position(-1, 0, rng) for _ in range(1_000)]
    assert 0.45 < sum(random_positions) / 1_000 < 0.55 and len(set(random_positions)) == 1_000


def known_keys(keys: IdempotencyKeys[str], now_ms: float) -> list[int]:
    return [n for n in range(5) if keys.first_execution(f"{n}", now_ms) is not None]


def test_a_key_is_recorded_when_first_sent_and_dropped_if_it_has_not_run_or_expires() -> None:
    keys: IdempotencyKeys[str] = IdempotencyKeys(3)
    keys.record_sent("k", 10.0, "a", 1_000.0)
    keys.record_sent("k", 20.0, "b", 1_000.0)
    assert keys.first_execution("k", 30.0) == PossibleExecution(10.0, "a")
    keys.record_not_run("k", 10.0, "a")
    keys.record_not_run("k", 10.0, "a")
    # The second attempt may still have run.
    assert keys.first_execution("k", 30.0) == PossibleExecution(20.0, "b")
    keys.record_not_run("k", 10.0, "a")
    keys.record_not_run("k", 20.0, "b")
    assert keys.first_execution("k", 30.0) is None and not len(keys)
    for n in range(3):
        assert keys.has_room(f"{n}", 42.0 + n)
        keys.record_sent(f"{n}", 42.0 + n, "a", 1_000.0)
    assert not keys.has_room("3", 44.0) and keys.has_room("0", 44.0)  # no key is dropped before its time
    assert known_keys(keys, 44.0) == [0, 1, 2] and len(keys) == 3
    assert keys.has_room("3", 1_042.5)
    assert keys.first_execution("2", 1_043.5) == PossibleExecution(44.0, "a")
    assert known_keys(keys, 1_043.5) == [2] and len(keys) == 1
    assert keys.first_execution("2", 1_044.5) is None and not len(keys)


def test_each_key_expires_by_its_own_time_whichever_was_sent_first() -> None:
    # Guards against an expiry by the time that another key needs.
    keys: IdempotencyKeys[str] = IdempotencyKeys()
    keys.record_sent("0", 0.0, "a", 5_000.0)
    keys.record_sent("1", 10.0, "a", 1_300.0)
    keys.record_sent("2", 20.0, "a", 9_000.0)
    assert known_keys(keys, 1_311.0) == [0, 2]
    keys.record_sent("0", 4_000.0, "b", 1_300.0)  # a later send keeps the key for longer, never for less
    assert known_keys(keys, 5_300.0) == [0, 2]
    assert known_keys(keys, 5_301.0) == [2]


def test_the_retry_budget_grows_with_requests() -> None:
    budget = RetryBudget()
    assert sum(budget.withdraw() for _ in range(100)) == MAX_SAVED_RETRIES
    for _ in range(21):
        budget.deposit()
    assert [budget.withdraw() for _ in range(4)] == [True, True, True, False]


def test_the_admission_price_follows_the_utilization_and_small_requests_always_pass() -> None:
    admission = AdmissionPrice()
    assert not admission.should_shed(0.0, 1e9)
    for _ in range(200):
        admission.update(1.0)
    assert admission.price == MAX_PRICE and admission.should_shed(1.0, 400.0)
    assert not admission.should_shed(1.0, 50.0)
    for _ in range(200):
        admission.update(0.3)
    assert admission.price == MIN_PRICE


def test_backoffs_double_up_to_a_maximum_and_quotas_stay_within_their_bounds() -> None:
    assert [backoff_ms(n) for n in (1, 2, 3)] == [400.0, 800.0, 1_600.0] and backoff_ms(99) == MAX_BACKOFF_MS
    assert unresponsive_timeout_ms(10.0, 1) == 2 * unresponsive_timeout_ms(10.0, 2)
    assert decrease_quota(1.2) == MIN_FILL_QUOTA and increase_quota(decrease_quota(4.0)) == 3.0


@dataclass
class Times:
    arrived_ms: float
    deadline_ms: float


def test_fills_are_limited_by_age_only_while_most_are_late() -> None:
    limit = SojournLimit()
    assert limit.timeout_ms(Times(0.0, 5_100.0), 600.0, 100.0) == 0.0
    for _ in range(20):
        limit.record(True)
    # Twice the objective, less the time that the request has waited.
    assert limit.timeout_ms(Times(0.0, 5_100.0), 600.0, 100.0) == 1_100.0
    assert limit.timeout_ms(Times(0.0, 6_150.0), 600.0, 1_150.0) == MIN_TIMEOUT_MS
    assert limit.timeout_ms(Times(0.0, 1_000.0), 600.0, 100.0) == 0.0  # its deadline is earlier than that
    for _ in range(20):
        limit.record(False)
    assert limit.timeout_ms(Times(0.0, 5_100.0), 600.0, 100.0) == 0.0
