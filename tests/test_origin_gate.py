"""The origin breaker: while the origin fails, one fill per backoff may reach it.

Other fills get only objects that parents have cached; writes are not limited.
"""

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


def env_with_failing_origin(**settings: Any) -> DispatcherEnvironment:
    """A test environment in which the origin has failed twice, behind parents that work."""
    env = DispatcherEnvironment(ALL_SERVERS, **settings)
    for key in range(2):
        env.end_attempt(env.start_fill(key), Status.REJECTED, 1, detail=OutcomeDetail.ORIGIN_FAILED)
    return env


def send_write(env: DispatcherEnvironment, key: int, after_ms: float = 0.0) -> list[Any]:
    env.next_id += 1
    request = api.Request(env.next_id, "bid", key, 3000.0, is_write=True, idempotency_key=f"k{env.next_id}")
    return env.handle_event(request, after_ms)


def test_after_a_backoff_one_trial_fill_is_sent_and_the_others_wait_for_its_outcome() -> None:
    env = env_with_failing_origin()
    assert env.start_fill(50).cached_only
    env.clock_ms += BACKOFF_MS + 1.0
    trial = env.start_fill(51)
    assert not trial.cached_only
    for key in range(52, 56):  # without the breaker all of them would reach the origin
        other = env.start_fill(key)
        assert other.cached_only
        env.end_attempt(other, Status.OK, 1, detail=OutcomeDetail.FILLED, after_ms=1.0)
    env.end_attempt(trial, Status.REJECTED, 1, detail=OutcomeDetail.ORIGIN_FAILED, after_ms=BACKOFF_MS + 1.0)
    env.clock_ms += BACKOFF_MS + 1.0
    assert env.start_fill(60).cached_only  # the backoff has grown
    env.clock_ms += BACKOFF_MS
    trial = env.start_fill(61)
    assert not trial.cached_only
    env.end_attempt(trial, Status.OK, 1, detail=OutcomeDetail.FILLED_BY_ORIGIN)
    env.end_attempt(env.start_fill(62), Status.OK, 1, detail=OutcomeDetail.FILLED_BY_ORIGIN)
    for key in range(63, 67):
        other = env.start_fill(key)
        assert not other.cached_only
        env.end_attempt(other, Status.OK, 1, detail=OutcomeDetail.FILLED, after_ms=1.0)


def test_late_responses_of_the_origin_count_as_failures() -> None:
    env = DispatcherEnvironment(ALL_SERVERS)
    for key, expected_failures in ((50, 1), (51, 2)):
        env.end_attempt(
            env.start_fill(key), Status.OK, 1, detail=OutcomeDetail.FILLED_BY_ORIGIN, after_ms=2_500.0
        )
        assert env.health.origin_breaker.failures == expected_failures
    assert env.start_fill(52).cached_only
    env.clock_ms += BACKOFF_MS + 1.0
    env.end_attempt(env.start_fill(53), Status.OK, 1, detail=OutcomeDetail.FILLED_BY_ORIGIN, after_ms=50.0)
    assert env.health.origin_breaker.failures == 1  # a response in time reduces the count


def test_writes_are_sent_while_fills_are_limited() -> None:
    env = env_with_failing_origin(classes=(PAGE, WRITE))
    (sent,) = send_write(env, 7)
    assert isinstance(sent, api.Fetch) and sent.source == "o"
    assert env.start_fill(50).cached_only


def test_writes_that_the_origin_rejects_limit_fills_too() -> None:
    env = DispatcherEnvironment(ALL_SERVERS, classes=(PAGE, WRITE))
    for key in (7, 8):
        (sent,) = send_write(env, key)
        env.end_attempt(sent, Status.REJECTED, detail=OutcomeDetail.SOURCE_REJECTED)
    assert env.start_fill(50).cached_only


def test_a_write_that_the_origin_rejected_is_retried_within_the_retry_budget() -> None:
    env = DispatcherEnvironment((*CACHES, ORIGIN), classes=(PAGE, WRITE))
    (first,) = send_write(env, 7)
    (again,) = env.end_attempt(first, Status.REJECTED, detail=OutcomeDetail.SOURCE_REJECTED)  # it has not run
    assert isinstance(again, api.Fetch) and (again.id, again.source) == (first.id, "o")
    assert env.end_attempt(again, Status.OK, 1, detail=OutcomeDetail.FILLED_BY_ORIGIN) == []
    env.dispatcher.router._retries.budget.tokens = 0.0
    (other,) = send_write(env, 8)
    assert final_answers(env.end_attempt(other, Status.REJECTED, detail=OutcomeDetail.SOURCE_REJECTED))


def test_a_write_that_a_cache_rejected_is_retried_at_another_cache() -> None:
    env = DispatcherEnvironment((*CACHES, ORIGIN), classes=(PAGE, WRITE))
    (first,) = send_write(env, 7)
    (second,) = env.end_attempt(first, Status.REJECTED)  # rejected by the cache itself
    assert second.server != first.server


def test_the_longest_backoff_grows_with_the_number_of_dispatchers() -> None:
    for senders, max_backoff_ms in ((3, MAX_BACKOFF_MS), (200, TRIAL_INTERVAL_MS * 200)):
        breaker, now_ms = OriginBreaker(senders), 0.0
        for _ in range(30):
            breaker.record_outcome(now_ms, Status.REJECTED, 0.0, 1.0)
            now_ms = max(now_ms, breaker.open_until_ms)
        before = now_ms
        breaker.record_sent(now_ms)
        assert breaker.open_until_ms - before == max_backoff_ms
        for _ in range(6):
            breaker.record_outcome(now_ms, Status.OK, 0.0, 1.0)
        assert breaker.allows(now_ms)


def test_failures_of_attempts_that_were_sent_together_count_once() -> None:
    breaker = OriginBreaker()
    for _ in range(20):
        breaker.record_outcome(100.0, Status.ERROR, 0.0, 1.0)
    assert breaker.failures == 2
    breaker.record_outcome(100.0, Status.CANCELLED, 0.0, 1.0)  # a cancel by the director is no failure
    assert breaker.failures == 2
