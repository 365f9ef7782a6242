"""The soak's checker fails directors that break one rule, and passes an unchanged one on the same run."""

from dataclasses import replace

import pytest

from benchmarks.soak.broken_director import BROKEN
from benchmarks.soak.checker import Verdict, check
from benchmarks.soak.history import AttemptRecord, Effect, End, History, RequestRecord
from benchmarks.soak.objects import object_bytes, owner_of, response_to_write, version_of
from benchmarks.soak.plan import FaultName, Plan, PlannedFault, draw_plan
from benchmarks.soak.run import run_plan
from benchmarks.soak.scheduling import ProcessorWait

DURATION_S = 4.0
RULE_OF = {
    "cut_broken_responses": "lost",
    "forget_deadlines": "lost",
    "delay_failures": "lost",
    "resend_writes": "duplicates",
    "reject_writes_that_ran": "duplicates",
    "serve_departed_clients": "late_attempts",
    "swap_bodies": "wrong",
    "omit_retry_after": "wrong",
    "answer_twice": "wrong",
    "exceed_deadlines": "over_budget",
    "ignore_drains": "wrong",
    "ignore_purges": "wrong",
    "crash_on_reload": "crashes",
    "leak_descriptors": "leaks",
    "reuse_connections_at_once": "wrong",
}
SERVER_COUNT = 6  # four caches, the parent and the origin


def plan_with_all_faults() -> Plan:
    """Returns a run without system call faults in which every broken director shows its fault."""
    at_every_server = (FaultName.RESET_BODY, FaultName.RESET_HEAD, FaultName.STALL_BODY, FaultName.ERROR)
    faults = [
        PlannedFault(0.3 + 0.6 * number, 0.6, name, server, 0.3)
        for number, name in enumerate(at_every_server)
        for server in range(SERVER_COUNT)
    ]
    faults += [
        PlannedFault(0.5, 0.5, FaultName.RELOADS, 0, 0.0),
        PlannedFault(0.6, 0.5, FaultName.DRAIN, 1, 0.0),
        *(PlannedFault(0.3 + 0.1 * number, 0.5, FaultName.PURGE, number, 0.0) for number in range(6)),
        *(PlannedFault(0.2, 3.5, FaultName.SHED, server, 0.08) for server in range(SERVER_COUNT)),
        *(PlannedFault(0.2, 3.5, FaultName.SLOW, server, 0.3) for server in range(SERVER_COUNT)),
        *(PlannedFault(0.2, 3.5, FaultName.DOUBLE, server, 0.2) for server in range(SERVER_COUNT)),
    ]
    plan = draw_plan(3)
    assert any(cls.effect is Effect.ONCE for cls in plan.classes)
    return replace(
        plan, director_count=2, cache_count=4, client_count=60, duration_s=DURATION_S, leaving_fraction=0.2,
        faults=tuple(sorted(faults, key=lambda fault: fault.at_s)), syscalls={},
    )  # fmt: skip


def test_each_broken_director_has_an_expected_rule() -> None:
    assert set(RULE_OF) == set(BROKEN)


@pytest.mark.parametrize("name", RULE_OF)
def test_a_broken_director_fails_its_expected_rule(name: str) -> None:
    verdict = check(run_plan(plan_with_all_faults(), broken=name))
    assert verdict.requests > 0
    assert verdict.counts()[RULE_OF[name]] > 0, verdict.counts()


def test_an_unchanged_director_passes_the_same_run() -> None:
    verdict = check(run_plan(plan_with_all_faults()))
    assert verdict.served > 0
    assert verdict.is_clean, verdict


# The checker alone.


def request(**changes: object) -> RequestRecord:
    """Returns a request that got the right response, with these changes."""
    record = RequestRecord(
        "1", ("n0", 1), "page", Effect.REPEATABLE, 0.0, "1/0", 1.0, sent_s=10.0, ended_s=10.1,
        end=End.RESPONDED, status=200, body=object_bytes("1/0", 1), received_bytes=100,
    )  # fmt: skip
    for name, value in changes.items():
        setattr(record, name, value)
    record.earliest_end_s = float(changes.get("earliest_end_s", record.ended_s))  # type: ignore[arg-type]
    return record


def attempt(server: str, arrived_s: float, max_wait_ms: float = 100.0) -> AttemptRecord:
    """Returns an attempt of the request above that its server read when it arrived."""
    return AttemptRecord("1", server, arrived_s, max_wait_ms, "/o/page/1/0", earliest_arrival_s=arrived_s)


def check_request(record: RequestRecord, *attempts: AttemptRecord) -> Verdict:
    return check(History(requests=[record], attempts=list(attempts)))


@pytest.mark.parametrize(
    ("changes", "rule"),
    [
        ({}, ""),
        ({"ended_s": 11.7}, "lost"),
        ({"ended_s": 11.9, "earliest_end_s": 11.55}, ""),  # the client read it late, on a busy machine
        ({"ended_s": 11.9, "earliest_end_s": 11.65}, "lost"),
        ({"end": End.TIMED_OUT, "ended_s": 12.2}, "lost"),
        ({"end": End.CLOSED, "ended_s": 10.04, "received_bytes": 0}, ""),  # idle connection closed meanwhile
        ({"end": End.CLOSED, "ended_s": 10.04, "received_bytes": 0, "is_first_on_connection": True}, "lost"),
        ({"end": End.CLOSED, "ended_s": 10.04}, "lost"),  # it had received a part of a response
        ({"end": End.CLOSED, "ended_s": 10.2, "received_bytes": 0}, "lost"),
        ({"end": End.CLIENT_LEFT, "left_s": 10.1}, ""),
        ({"body": object_bytes("2/0", 1)}, "wrong"),
        ({"body": b"second answer"}, "wrong"),
        ({"effect": Effect.ONCE, "body": response_to_write("1")}, ""),
        ({"effect": Effect.ONCE, "body": response_to_write("2")}, "wrong"),
        ({"body": object_bytes("1/0", 1)[:-1]}, "wrong"),
        ({"status": 503}, "wrong"),
        ({"status": 503, "has_retry_after": True}, ""),
        ({"status": 302}, "wrong"),
        ({"surplus_bytes": 3}, "wrong"),
    ],
)
def test_the_checker_finds_the_violation_in_how_a_request_ended(
    changes: dict[str, object], rule: str
) -> None:
    counts = check_request(request(**changes)).counts()
    assert [name for name, count in counts.items() if count and name != "requests"] == (
        [rule] if rule else []
    )


@pytest.mark.parametrize(
    ("effect", "second_s", "rule"),
    [
        (Effect.REPEATABLE, 10.05, ""),
        (Effect.ONCE, 10.05, "duplicates"),
        (Effect.BY_KEY, 10.05, ""),
        (Effect.BY_KEY, 10.6, "duplicates"),
    ],
)
def test_the_checker_allows_a_repeat_only_where_the_effect_does(
    effect: Effect, second_s: float, rule: str
) -> None:
    record = request(effect=effect, window_s=0.4, body=response_to_write("1"), ended_s=10.9)
    if effect is Effect.REPEATABLE:
        record.body = object_bytes("1/0", 1)
    attempts = [attempt("s-0", at_s) for at_s in (10.0, second_s)]
    counts = check_request(record, *attempts).counts()
    assert counts["duplicates"] == (rule == "duplicates")


def test_the_checker_finds_attempts_after_the_end_and_too_long_deadlines() -> None:
    late_attempt = attempt("s-0", 10.3)
    assert (
        check_request(request(end=End.CLIENT_LEFT, left_s=10.1), late_attempt).counts()["late_attempts"] == 1
    )
    long_attempt = attempt("s-0", 10.05, 1_200.0)
    assert check_request(request(), long_attempt).counts()["over_budget"] == 1


def test_the_bytes_of_an_object_contain_its_version() -> None:
    assert version_of("1/0", object_bytes("1/0", 7)) == 7
    assert version_of("1/1", object_bytes("1/0", 7)) is None


def test_a_body_contains_its_object_or_request() -> None:
    assert owner_of(object_bytes("1/0", 7)).startswith("1/0 v7's, ")
    assert owner_of(response_to_write("2")) == "b'done 2''s, 6 bytes"


@pytest.mark.parametrize(
    ("wait", "is_lost"),
    [
        (ProcessorWait("n0", 10.2, 10.9, 0.7, 0.0), False),
        (ProcessorWait("n0", 10.2, 10.9, 0.1, 0.6), True),  # it ran, so the delay is its own
        (ProcessorWait("n1", 10.2, 10.9, 0.7, 0.0), True),  # another director
        (ProcessorWait("n0", 9.0, 10.1, 1.1, 0.0), True),  # mostly before the request
    ],
)
def test_a_late_response_is_lost_unless_its_director_waited_for_a_processor(
    wait: ProcessorWait, is_lost: bool
) -> None:
    verdict = check(History(requests=[request(ended_s=12.0)], waits=[wait]))
    assert bool(verdict.lost) == is_lost


def test_an_attempt_that_is_read_late_counts_from_its_earliest_arrival() -> None:
    """Guards against a verdict that depends on the load of the machine."""
    read_late = attempt("s-0", 10.3, 1_000.0)
    read_late.earliest_arrival_s = 10.05
    assert check_request(request(end=End.CLIENT_LEFT, left_s=10.1), read_late).is_clean
