"""While the origin fails: one fill a rest may reach it, parents give what they hold, writes pass."""

from typing import Any

from gladewalk import interface as api
from gladewalk.interface import OutcomeDetail, Status
from gladewalk.limits.backoff import BACKOFF_MS, MAX_BACKOFF_MS
from gladewalk.limits.origin_breaker import TRIAL_INTERVAL_MS, OriginBreaker

from .world import ALL_SERVERS, CACHES, ORIGIN, PAGE, DispatcherEnvironment, final_answers

WRITE = api.RequestClass(
    "bid",
    latency_objective_ms=800.0,
    deadline_ms=3000.0,
    idempotency=api.Idempotency.KEYED,
    deduplication_window_ms=2_000.0,
    is_write=True,
)


def failing(**settings: Any) -> DispatcherEnvironment:
    """A dispatcher for which the origin has failed twice, behind parents that work."""
    world = DispatcherEnvironment(ALL_SERVERS, **settings)
    for key in range(2):
        world.end_attempt(world.start_fill(key), Status.REJECTED, 1, detail=OutcomeDetail.ORIGIN_FAILED)
    return world


def write(world: DispatcherEnvironment, key: int, after_ms: float = 0.0) -> list[Any]:
    world.next_id += 1
    ask = api.Request(world.next_id, "bid", key, 3000.0, is_write=True, idempotency_key=f"k{world.next_id}")
    return world.handle_event(ask, after_ms)


def test_after_a_rest_one_fill_tries_and_the_others_wait_for_what_it_tells() -> None:
    world = failing()
    assert world.start_fill(50).cached_only
    world.clock_ms += BACKOFF_MS + 1.0
    trial = world.start_fill(51)
    assert not trial.cached_only
    for key in range(52, 56):  # before, all of them reached it
        other = world.start_fill(key)
        assert other.cached_only
        world.end_attempt(other, Status.OK, 1, detail=OutcomeDetail.FILLED, after_ms=1.0)
    world.end_attempt(
        trial, Status.REJECTED, 1, detail=OutcomeDetail.ORIGIN_FAILED, after_ms=BACKOFF_MS + 1.0
    )
    world.clock_ms += BACKOFF_MS + 1.0
    assert world.start_fill(60).cached_only  # rests grow
    world.clock_ms += BACKOFF_MS
    trial = world.start_fill(61)
    assert not trial.cached_only
    world.end_attempt(trial, Status.OK, 1, detail=OutcomeDetail.FILLED_BY_ORIGIN)
    world.end_attempt(world.start_fill(62), Status.OK, 1, detail=OutcomeDetail.FILLED_BY_ORIGIN)
    for key in range(63, 67):
        other = world.start_fill(key)
        assert not other.cached_only
        world.end_attempt(other, Status.OK, 1, detail=OutcomeDetail.FILLED, after_ms=1.0)


def test_late_answers_tell_of_a_queue_and_open_nothing() -> None:
    world = DispatcherEnvironment(ALL_SERVERS)
    for key, fails in ((50, 1), (51, 2)):
        world.end_attempt(
            world.start_fill(key), Status.OK, 1, detail=OutcomeDetail.FILLED_BY_ORIGIN, after_ms=2_500.0
        )
        assert world.health.origin_breaker.failures == fails
    assert world.start_fill(52).cached_only
    world.clock_ms += BACKOFF_MS + 1.0
    world.end_attempt(
        world.start_fill(53), Status.OK, 1, detail=OutcomeDetail.FILLED_BY_ORIGIN, after_ms=50.0
    )
    assert world.health.origin_breaker.failures == 1  # soon: the queue is gone


def test_writes_pass_while_fills_rest() -> None:
    world = failing(classes=(PAGE, WRITE))
    (sent,) = write(world, 7)
    assert isinstance(sent, api.Fetch) and sent.source == "o"
    assert world.start_fill(50).cached_only


def test_an_origin_that_turns_writes_away_is_full_for_fills_too() -> None:
    world = DispatcherEnvironment(ALL_SERVERS, classes=(PAGE, WRITE))
    for key in (7, 8):
        (sent,) = write(world, key)
        world.end_attempt(sent, Status.REJECTED, detail=OutcomeDetail.SOURCE_REJECTED)
    assert world.start_fill(50).cached_only


def test_a_write_that_the_origin_had_no_room_for_is_sent_once_more_within_the_retry_budget() -> None:
    world = DispatcherEnvironment((*CACHES, ORIGIN), classes=(PAGE, WRITE))
    (first,) = write(world, 7)
    (again,) = world.end_attempt(
        first, Status.REJECTED, detail=OutcomeDetail.SOURCE_REJECTED
    )  # it ran nowhere
    assert isinstance(again, api.Fetch) and (again.id, again.source) == (first.id, "o")
    assert world.end_attempt(again, Status.OK, 1, detail=OutcomeDetail.FILLED_BY_ORIGIN) == []
    world.dispatcher.router._retries.budget.tokens = 0.0
    (other,) = write(world, 8)
    assert final_answers(world.end_attempt(other, Status.REJECTED, detail=OutcomeDetail.SOURCE_REJECTED))


def test_a_write_that_a_cache_turned_away_goes_to_another_one() -> None:
    world = DispatcherEnvironment((*CACHES, ORIGIN), classes=(PAGE, WRITE))
    (first,) = write(world, 7)
    (second,) = world.end_attempt(first, Status.REJECTED)  # the cache itself, which is not asked again
    assert second.server != first.server


def test_tries_of_all_together_are_bounded_however_many_they_are() -> None:
    for senders, most in ((3, MAX_BACKOFF_MS), (200, TRIAL_INTERVAL_MS * 200)):
        gate, now = OriginBreaker(senders), 0.0
        for _ in range(30):
            gate.record_outcome(now, Status.REJECTED, 0.0, 1.0)
            now = max(now, gate.open_until_ms)
        before = now
        gate.record_sent(now)
        assert gate.open_until_ms - before == most
        for _ in range(6):
            gate.record_outcome(now, Status.OK, 0.0, 1.0)
        assert gate.allows(now)


def test_what_was_sent_together_says_it_once() -> None:
    gate = OriginBreaker()
    for _ in range(20):
        gate.record_outcome(100.0, Status.ERROR, 0.0, 1.0)
    assert gate.failures == 2
    gate.record_outcome(100.0, Status.CANCELLED, 0.0, 1.0)  # called off by us: it tells nothing of the origin
    assert gate.failures == 2
