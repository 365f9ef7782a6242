"""What the decision module remembers of idempotency keys beside requests of other classes."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from gladewalk import interface as api
from gladewalk.limits.idempotency_keys import MAX_KEYS

from .test_deployments import KEYED, send_keyed_write
from .world import PAGE, SETTINGS, DispatcherEnvironment, final_answers

ERROR = api.Status.ERROR
SHORT = replace(KEYED, name="short", deadline_ms=800.0, deduplication_window_ms=500.0)
SHORT_RETENTION_MS = SHORT.deadline_ms + SHORT.deduplication_window_ms


def send_other(environment: DispatcherEnvironment, class_name: str, key: str, **fields: Any) -> list[Any]:
    """Sends a request of another class."""
    environment.next_id += 1
    request = api.Request(environment.next_id, class_name, 2, 800.0, idempotency_key=key, **fields)
    return environment.handle_event(request)


def fail_keyed_write(environment: DispatcherEnvironment) -> None:
    """Sends a keyed write whose only attempt may have run, and which therefore fails."""
    (first,) = send_keyed_write(environment)
    assert final_answers(environment.end_attempt(first, ERROR, after_ms=100.0))


def assert_retry_is_not_sent(environment: DispatcherEnvironment, after_ms: float) -> None:
    answers = send_keyed_write(environment, after_ms=after_ms)
    assert answers == [api.Fail(environment.next_id)]


def test_a_key_outlives_requests_of_a_class_with_a_shorter_window() -> None:
    # Guards against a second execution: a class with a shorter window dropped the keys of all other classes.
    environment = DispatcherEnvironment(classes=(KEYED, SHORT), max_attempts=1)
    fail_keyed_write(environment)
    environment.sweep(after_ms=SHORT_RETENTION_MS)
    assert send_other(environment, "short", "other", is_write=True)
    assert_retry_is_not_sent(environment, KEYED.deduplication_window_ms - SHORT_RETENTION_MS)


@pytest.mark.parametrize("window_ms", [500.0, 9_000.0])
def test_a_key_is_kept_for_the_window_it_was_sent_under_after_a_reload(window_ms: float) -> None:
    # Guards against a key that is forgotten as new settings have another window for its class.
    environment = DispatcherEnvironment(classes=(KEYED,), max_attempts=1)
    fail_keyed_write(environment)
    changed = replace(KEYED, deduplication_window_ms=window_ms, deadline_ms=800.0)
    environment.dispatcher.configure(replace(SETTINGS, classes=(changed,), max_attempts=1))
    if window_ms < KEYED.deduplication_window_ms:
        assert_retry_is_not_sent(environment, KEYED.deduplication_window_ms)
    else:  # the window of the new settings has not ended
        assert isinstance(send_keyed_write(environment, after_ms=KEYED.deduplication_window_ms)[0], api.Fetch)


def test_as_many_keys_of_another_class_as_are_kept_drop_no_key() -> None:
    # Guards against a second execution: a key was dropped within its window when others were too many.
    environment = DispatcherEnvironment(classes=(KEYED, SHORT), max_attempts=1)
    fail_keyed_write(environment)
    for number in range(MAX_KEYS - 1):
        (sent,) = send_other(environment, "short", f"other {number}", is_write=True)
        environment.end_attempt(sent, api.Status.OK, after_ms=0.0)
    rejected = send_other(environment, "short", "one too many", is_write=True)
    assert [type(action) for action in rejected] == [api.Reject]  # it never ran: a retry is harmless
    assert_retry_is_not_sent(environment, KEYED.deduplication_window_ms)
    (sent,) = send_other(environment, "short", "after the others have expired", is_write=True)
    assert isinstance(sent, api.Fetch)


def test_keys_of_classes_that_are_not_keyed_take_no_room() -> None:
    # Guards against writes that are rejected for the keys that clients send with plain reads.
    environment = DispatcherEnvironment(classes=(KEYED, replace(PAGE, name="read")), max_attempts=1)
    fail_keyed_write(environment)
    for number in range(MAX_KEYS):
        sent = send_other(environment, "read", f"read {number}")[0]
        environment.end_attempt(sent, api.Status.OK, after_ms=0.0)
    assert isinstance(send_keyed_write(environment, "k2")[0], api.Fetch)
    assert_retry_is_not_sent(environment, KEYED.deduplication_window_ms)


ONCE = replace(
    KEYED, name="once", idempotency=api.Idempotency.NON_IDEMPOTENT, deduplication_window_ms=5_000.0
)
RETENTION_MS = ONCE.deadline_ms + ONCE.deduplication_window_ms
NOT_RUN = (api.Status.REJECTED, api.Status.CONNECT_FAILED, api.Status.NOT_SENT, api.Status.MISS)


def send_once(environment: DispatcherEnvironment, trace_id: str) -> list[Any]:
    return send_other(environment, "once", "", is_write=True, trace_id=trace_id)


@pytest.mark.parametrize("status", [None, *(status for status in api.Status if status not in NOT_RUN)])
def test_a_write_that_may_have_run_is_not_sent_again_under_its_id(status: api.Status | None) -> None:
    # Guards against a second execution when a write comes again on another connection.
    environment = DispatcherEnvironment(classes=(ONCE,), max_attempts=1)
    (first,) = send_once(environment, "a")
    if status is not None:
        environment.end_attempt(first, status, after_ms=100.0)
    assert send_once(environment, "a") == [api.Fail(environment.next_id)]
    assert isinstance(send_once(environment, "b")[0], api.Fetch)


@pytest.mark.parametrize("status", NOT_RUN)
def test_a_write_that_did_not_run_is_sent_again_under_its_id(status: api.Status) -> None:
    environment = DispatcherEnvironment(classes=(ONCE,), max_attempts=1)
    (first,) = send_once(environment, "a")
    environment.end_attempt(first, status, after_ms=100.0)
    assert isinstance(send_once(environment, "a")[0], api.Fetch)


def test_an_id_is_kept_for_the_window_and_the_deadline_of_its_class() -> None:
    environment = DispatcherEnvironment(classes=(ONCE,), max_attempts=1)
    (first,) = send_once(environment, "a")
    environment.end_attempt(first, ERROR, after_ms=0.0)
    environment.sweep(after_ms=RETENTION_MS)
    assert send_once(environment, "a") == [api.Fail(environment.next_id)]
    environment.sweep(after_ms=1.0)
    assert isinstance(send_once(environment, "a")[0], api.Fetch)


def test_a_write_whose_id_can_not_be_remembered_is_rejected() -> None:
    environment = DispatcherEnvironment(classes=(ONCE,), max_attempts=1)
    for number in range(MAX_KEYS):
        environment.end_attempt(send_once(environment, f"{number:x}")[0], api.Status.OK, after_ms=0.0)
    assert [type(action) for action in send_once(environment, "one too many")] == [api.Reject]


def test_requests_without_an_id_are_not_taken_for_each_other() -> None:
    environment = DispatcherEnvironment(classes=(ONCE,), max_attempts=1)
    assert all(isinstance(send_once(environment, "")[0], api.Fetch) for _ in range(2))


@pytest.mark.parametrize(
    ("age_ms", "is_sent"), [(KEYED.deduplication_window_ms - 100.0, True), (3_000.0, False)]
)
def test_a_keyed_write_that_another_process_sent_is_sent_within_its_window_alone(
    age_ms: float, is_sent: bool
) -> None:
    environment = DispatcherEnvironment(classes=(KEYED,), max_attempts=1)
    earlier = api.EarlierExecution(age_ms, environment.own_caches[0].info.name)
    actions = environment.send_request(1, is_write=True, idempotency_key="k", earlier_execution=earlier)
    assert isinstance(actions[0], api.Fetch if is_sent else api.Fail)


@pytest.mark.parametrize("server", ["a listed one", "an unknown one"])
def test_a_write_that_another_process_sent_is_not_sent_again(server: str) -> None:
    environment = DispatcherEnvironment(classes=(ONCE,), max_attempts=1)
    name = environment.own_caches[0].info.name if server == "a listed one" else "unknown"
    earlier = api.EarlierExecution(10.0, name)
    environment.next_id += 1
    request = api.Request(environment.next_id, "once", 1, 800.0, is_write=True, earlier_execution=earlier)
    assert environment.handle_event(request) == [api.Fail(environment.next_id)]
