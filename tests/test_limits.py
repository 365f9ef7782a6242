"""Limits that the decisions ask, each by itself: learned room, cold budgets, keys, retries."""

import math
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gladewalk.limits.admission_price import PRICE_LEAST, PRICE_MOST, AdmissionPrice
from gladewalk.limits.backoff import BACKOFF_MOST_MS, SHARE_FLOOR, grown, halved, rest_ms, silence_ms
from gladewalk.limits.concurrency import FULL_MS, SPAN, Room, Usual, is_over
from gladewalk.limits.idempotency_keys import Keys
from gladewalk.limits.retry_budget import RETRY_MOST, RetryBudget
from gladewalk.limits.slow_start import Credit, Warming, drawn
from gladewalk.limits.sojourn import LEAST_MS, Ageing


def learned(guess: float, bears: float, answers: int = 4_000, seed: int = 1) -> float:
    """The size that is learned of a link of `bears` transfers, from answers of sizes that vary widely."""
    draw, room, usual = random.Random(seed), Room(), Usual()
    room.guess = guess
    for _ in range(answers):
        out = draw.uniform(1.0, 2.5 * bears)
        took_ms = draw.lognormvariate(math.log(300.0), 0.9) * max(1.0, out / bears)
        room.answered(usual.slow(took_ms, room.is_light(out)), out)
    return room.size


def test_a_link_s_room_is_learned_from_a_guess_on_either_side() -> None:
    for bears in (4.0, 7.0):
        for guess in (0.6 * bears, bears, 1.8 * bears):
            assert 0.6 * bears < learned(guess, bears) < 1.5 * bears
            assert abs(math.log(learned(guess, bears) / bears)) <= max(0.5, abs(math.log(guess / bears)))


@settings(max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.floats(0.1, 1e6), st.floats(0.0, 500.0)), max_size=300))
def test_a_learned_size_stays_within_its_span_whatever_comes(answers: list[tuple[float, float]]) -> None:
    room, usual = Room(), Usual()
    for took_ms, out in answers:
        room.answered(usual.slow(took_ms, room.is_light(out)), out)
        room.turned_away(took_ms)
        assert room.guess / SPAN * 0.999 <= room.size <= room.guess * SPAN * 1.001


def test_a_full_server_is_left_alone_until_something_ends_there() -> None:
    room = Room()
    before = room.size
    room.turned_away(1_000.0)
    once = room.size
    room.turned_away(1_001.0)  # sent together with the first: it says nothing new
    assert once < before and room.size == once
    assert room.is_full(1_001.0 + FULL_MS / 2) and not room.is_full(1_001.0 + FULL_MS)
    room.answered(0.0, 1.0)
    assert not room.is_full(1_002.0)


def test_a_link_is_over_by_the_slowdown_that_still_meets_the_aim_and_by_all_who_send() -> None:
    assert not is_over(0, 0.1, 9, 1.0)  # one transfer is always let through
    assert [is_over(n, 6.0, 1, 2.0) for n in (7, 9)] == [False, True]
    assert [is_over(n, 6.0, 3, 2.0) for n in (3, 7)] == [False, True]


def test_a_cold_budget_rises_with_warmth_and_is_not_saved_up() -> None:
    warming = Warming(0.2, 10_000.0, 3.0)
    assert warming.warmth(1_000.0, 1_000.0) == 0.2 and warming.warmth(1_000.0, 6_000.0) == pytest.approx(0.6)
    assert warming.is_cold(1_000.0, 10_999.0) and not warming.is_cold(1_000.0, 11_000.0)
    assert warming.warmth(0.0, 5.0) == 1.0 and not Warming().is_cold(5.0, 5.0)
    credit = Credit()

    def room(now_ms: float, rate: float = 1.0, senders: int = 2, lot: float = 0.25) -> bool:
        return credit.has_room(now_ms, rate, senders, 1_000.0, 400.0, lot)

    assert [room(at) for at in (0.0, 199.0, 200.0)] == [False, False, True]  # a quarter of a turn of 800 ms
    credit.spend(400.0)
    assert [room(at) for at in (201.0, 999.0, 1_000.0)] == [False, False, True]
    assert room(1e6)  # long at rest, it may send one request, and no second
    credit.spend(400.0)
    assert not room(1e6)


def test_as_many_senders_share_a_cold_budget_as_the_server_bears() -> None:
    """Eight requests a window for thirty senders: eight or so take part, and others as it warms up."""
    window, mean, rng = 1_000.0, 100.0, random.Random(1)
    lots = [drawn(number, 0, rng) for number in range(30)]
    credits = [Credit() for _ in lots]

    def taking(now_ms: float, rate: float) -> list[bool]:
        pairs = zip(credits, lots, strict=True)
        return [credit.has_room(now_ms, rate, 30, window, mean, lot) for credit, lot in pairs]

    assert sum(taking(0.0, 0.8)) <= 1  # they begin one behind the other
    assert 7 <= sum(taking(5_000.0, 0.8)) <= 9  # after a lull: one each, and of the few only
    assert max(c.left for c in credits if not math.isnan(c.left)) == 0.0
    before = sum(taking(5_000.0, 0.8))
    assert sum(taking(5_000.0, 1.6)) <= before + 1  # who takes part from now on begins anew
    assert 15 <= sum(taking(9_000.0, 1.6)) <= 17
    by_chance = [drawn(-1, 0, rng) for _ in range(1_000)]
    assert 0.45 < sum(by_chance) / 1_000 < 0.55 and len(set(by_chance)) == 1_000


def test_a_key_is_known_from_its_first_send_and_forgotten_by_proof_and_by_age() -> None:
    keys: Keys[str] = Keys(3)
    keys.sent("k", 10.0, "a")
    keys.sent("k", 20.0, "b")
    assert keys.first("k", 30.0, 1_000.0) == (10.0, "a")
    keys.never_ran("k", 10.0, "a")
    assert keys.first("k", 30.0, 1_000.0) == (20.0, "b")  # the other may have run
    keys.never_ran("k", 10.0, "a")
    keys.never_ran("k", 20.0, "b")
    assert keys.first("k", 30.0, 1_000.0) is None and not keys.sends
    for n in range(5):
        keys.sent(f"{n}", 40.0 + n, "a")
    assert list(keys.sends) == ["2", "3", "4"]
    assert keys.first("4", 1_043.5, 1_000.0) == (44.0, "a")
    assert list(keys.sends) == ["4"]
    assert keys.first("4", 1_044.5, 1_000.0) is None and not keys.sends


def test_retries_are_paid_for_by_requests() -> None:
    budget = RetryBudget()
    assert sum(budget.take() for _ in range(100)) == RETRY_MOST
    for _ in range(21):
        budget.earn()
    assert [budget.take() for _ in range(4)] == [True, True, True, False]


def test_places_cost_more_while_they_are_taken_and_small_requests_always_pass() -> None:
    admission = AdmissionPrice()
    assert not admission.is_too_dear(0.0, 1e9)
    for _ in range(200):
        admission.taken(1.0)
    assert admission.price == PRICE_MOST and admission.is_too_dear(1.0, 400.0)
    assert not admission.is_too_dear(1.0, 50.0)
    for _ in range(200):
        admission.taken(0.3)
    assert admission.price == PRICE_LEAST


def test_rests_double_up_to_a_most_and_shares_move_between_their_bounds() -> None:
    assert [rest_ms(n) for n in (1, 2, 3)] == [400.0, 800.0, 1_600.0] and rest_ms(99) == BACKOFF_MOST_MS
    assert silence_ms(10.0, 1) == 2 * silence_ms(10.0, 2)
    assert halved(1.2) == SHARE_FLOOR and grown(halved(4.0)) == 3.0


def test_fills_are_cut_for_their_age_only_while_most_come_late() -> None:
    ageing = Ageing()
    assert ageing.cap_ms(600.0, 0.0, 5_100.0, 100.0) == 0.0
    for _ in range(20):
        ageing.ended(True)
    assert ageing.cap_ms(600.0, 0.0, 5_100.0, 100.0) == 1_100.0  # twice its aim, with what it has waited
    assert ageing.cap_ms(600.0, 0.0, 6_150.0, 1_150.0) == LEAST_MS
    assert ageing.cap_ms(600.0, 0.0, 1_000.0, 100.0) == 0.0  # its client gives up before that
    for _ in range(20):
        ageing.ended(False)
    assert ageing.cap_ms(600.0, 0.0, 5_100.0, 100.0) == 0.0
