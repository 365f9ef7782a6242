"""Checks a recorded history by the protocol's rules; shares no code with the director.

A request is lost unless it gets one complete response by half a second after its deadline. It is not lost if
its client disconnected first, if its director was killed without notice, or if the director closed the idle
connection within 50 ms of the request.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from .history import AttemptRecord, Effect, End, History, RequestRecord, StopRecord
from .objects import owner_of, response_to_write, version_of

MAX_OVERRUN_S = 0.5  # a response up to this long after the deadline is useless, but not lost
CLOSE_RACE_S = 0.05  # the director may close an idle connection this soon after a request on it
CLIENT_LEFT_SLACK_S = 0.1  # an attempt may begin this long after its client disconnected
MAX_WAIT_SLACK_MS = 150.0  # X-Max-Ms may exceed the client's remaining time by this
DRAIN_GRACE_S = 0.25 + 0.05
PURGE_GRACE_S = 0.5 + 0.05
TIMER_SLACK_S = 0.1  # of the soak's own event loop
RULES = ("lost", "duplicates", "late_attempts", "wrong", "over_budget", "crashes", "leaks")
REQUEST_TIMEOUT, MAX_REQUEST_READ_S = 408, 2.0  # a request that is sent more slowly gets 408
REJECTIONS, FAILURES = (429, 503), (500, 502, 504)


@dataclass
class Verdict:
    """The violations of each rule; each line begins with the id that it concerns."""

    requests: int = 0
    lost: list[str] = field(default_factory=list)
    duplicates: list[str] = field(default_factory=list)
    late_attempts: list[str] = field(default_factory=list)
    wrong: list[str] = field(default_factory=list)
    over_budget: list[str] = field(default_factory=list)
    crashes: list[str] = field(default_factory=list)
    leaks: list[str] = field(default_factory=list)
    served: int = 0
    ends: Counter[str] = field(default_factory=Counter)

    def counts(self) -> dict[str, int]:
        """Returns the numbers for the last line of the soak."""
        return {"requests": self.requests, **{name: len(getattr(self, name)) for name in RULES}}

    @property
    def is_clean(self) -> bool:
        """Whether no rule is broken."""
        return not any(getattr(self, name) for name in RULES)


def check(history: History) -> Verdict:
    """Checks a history."""
    verdict = Verdict()
    attempts: dict[str, list[AttemptRecord]] = defaultdict(list)
    for attempt in history.attempts:
        attempts[attempt.trace_id].append(attempt)
    stops = {stop.director: stop for stop in history.stops}
    for request in history.requests:
        if request.end is End.UNSENT:
            continue
        verdict.requests += 1
        _check_request(verdict, request, attempts[request.trace_id], history, stops)
    known = {request.trace_id for request in history.requests}
    verdict.wrong += [
        f"{trace_id} forwarded, but sent by no client" for trace_id in attempts if trace_id not in known
    ]
    _check_drains(verdict, history)
    for stop in history.stops:
        _check_stop(verdict, stop)
    verdict.leaks += [f"{leak.director[0]} {leak.resource}" for leak in history.leaks]
    return verdict


def _check_request(
    verdict: Verdict,
    request: RequestRecord,
    attempts: list[AttemptRecord],
    history: History,
    stops: dict[tuple[str, int], StopRecord],
) -> None:
    verdict.ends[request.end.value] += 1
    if _is_lost(request, stops.get(request.director), history) and not _is_evicted_in_burst(request, history):
        after_ms = 1000.0 * (request.earliest_end_s - request.sent_s)
        verdict.lost.append(f"{request.trace_id} {request.end.value} after {after_ms:.0f} ms")
    if request.end is End.RESPONDED:
        _check_response(verdict, request, attempts, history)
    _check_attempts(verdict, request, attempts)


def _processor_wait_s(request: RequestRecord, history: History) -> float:
    """Returns how long a request's director waited for a processor during the request."""
    return sum(
        wait.overlap_s(request.sent_s, request.ended_s)
        for wait in history.waits
        if wait.name == request.director[0]
    )


def _is_lost(request: RequestRecord, stop: StopRecord | None, history: History) -> bool:
    if request.end is End.CLIENT_LEFT:
        return False
    if request.end in (End.RESPONDED, End.TIMED_OUT):
        overrun_s = request.earliest_end_s - (request.sent_s + request.wait_s)
        return (
            overrun_s > MAX_OVERRUN_S + TIMER_SLACK_S
            and overrun_s - _processor_wait_s(request, history) > MAX_OVERRUN_S + TIMER_SLACK_S
        )
    was_killed = stop is not None and stop.sigterm_s is None and stop.sigkill_s is not None
    if (
        was_killed
        and stop is not None
        and stop.sigkill_s is not None
        and request.ended_s >= stop.sigkill_s - 0.01
    ):
        return False
    is_close_race = (
        request.end is End.CLOSED and not request.is_first_on_connection and not request.received_bytes
    )
    return not (is_close_race and request.earliest_end_s - request.sent_s <= CLOSE_RACE_S)


def _is_evicted_in_burst(request: RequestRecord, history: History) -> bool:
    """Whether a director closed a new connection unread, as idle connections had used up its descriptors."""
    if request.end is not End.CLOSED or not request.is_first_on_connection or request.received_bytes:
        return False
    return any(
        burst.director == request.director[0] and burst.from_s <= request.ended_s <= burst.until_s
        for burst in history.bursts
    )


def _check_response(
    verdict: Verdict, request: RequestRecord, attempts: list[AttemptRecord], history: History
) -> None:
    if request.surplus_bytes:
        verdict.wrong.append(f"{request.trace_id} {request.surplus_bytes} surplus bytes after its response")
    if request.status == 200:
        verdict.served += 1
        _check_body(verdict, request, history)
    elif request.status in REJECTIONS:
        if not request.has_retry_after:
            verdict.wrong.append(f"{request.trace_id} rejected without Retry-After")
        if request.effect is Effect.ONCE and any(attempt.may_have_run for attempt in attempts):
            verdict.duplicates.append(f"{request.trace_id} rejected, though it may have been executed")
    elif request.status == REQUEST_TIMEOUT and request.sent_s > request.first_byte_s + MAX_REQUEST_READ_S:
        verdict.ends["sent too slowly"] += 1
    elif request.status not in FAILURES:
        verdict.wrong.append(f"{request.trace_id} unexpected status {request.status}")


def _check_body(verdict: Verdict, request: RequestRecord, history: History) -> None:
    if request.effect is not Effect.REPEATABLE:
        if request.body != response_to_write(request.trace_id):
            verdict.wrong.append(f"{request.trace_id} a write's response that is {owner_of(request.body)}")
        return
    version = version_of(request.object_id, request.body)
    if version is None:
        verdict.wrong.append(f"{request.trace_id} a body that is {owner_of(request.body)}")
        return
    name = request.object_id.split("/")[0]
    for purge in history.purges:
        is_notified = request.sent_s > purge.notified_s + PURGE_GRACE_S
        if purge.object_name == name and is_notified and version < purge.version:
            verdict.wrong.append(
                f"{request.trace_id} a copy from before a purge (v{version} of v{purge.version})"
            )


def _check_attempts(verdict: Verdict, request: RequestRecord, attempts: list[AttemptRecord]) -> None:
    end_s = request.left_s if request.end is End.CLIENT_LEFT else request.ended_s
    for attempt in attempts:
        if end_s is not None and attempt.earliest_arrival_s > end_s + CLIENT_LEFT_SLACK_S:
            late_ms = 1000.0 * (attempt.earliest_arrival_s - end_s)
            verdict.late_attempts.append(
                f"{request.trace_id} at {attempt.server}, {late_ms:.0f} ms after its end"
            )
        left_ms = 1000.0 * (request.sent_s + request.wait_s - attempt.earliest_arrival_s)
        if attempt.max_wait_ms > max(1.0, left_ms) + MAX_WAIT_SLACK_MS:
            verdict.over_budget.append(
                f"{request.trace_id} allowed {attempt.server} {attempt.max_wait_ms:.0f} ms of {left_ms:.0f}"
            )
    _check_repeats(verdict, request, attempts)


def _check_repeats(verdict: Verdict, request: RequestRecord, attempts: list[AttemptRecord]) -> None:
    if request.effect is Effect.REPEATABLE:
        return
    executed = sorted((attempt for attempt in attempts if attempt.may_have_run), key=lambda one: one.began_s)
    for attempt in executed[1:]:
        age_s = attempt.earliest_arrival_s - executed[0].began_s  # a lower bound
        if request.effect is Effect.ONCE or age_s > request.window_s + CLOSE_RACE_S:
            verdict.duplicates.append(f"{request.trace_id} again at {attempt.server} after {age_s:.3f} s")


def _check_drains(verdict: Verdict, history: History) -> None:
    notified_by_server = {drain.server: drain.notified_s for drain in history.drains}
    for attempt in history.attempts:
        notified_s = notified_by_server.get(attempt.server)
        if notified_s is not None and attempt.earliest_arrival_s > notified_s + DRAIN_GRACE_S + TIMER_SLACK_S:
            verdict.wrong.append(f"{attempt.trace_id} sent to {attempt.server}, which is draining")


def _check_stop(verdict: Verdict, stop: StopRecord) -> None:
    name, start = stop.director
    if stop.log_errors:
        verdict.crashes.append(f"{name}.{start} logged {stop.log_errors} exceptions")
    if stop.exit_code not in (0, None) and stop.sigkill_s is None:
        verdict.crashes.append(f"{name}.{start} ended with {stop.exit_code}")
