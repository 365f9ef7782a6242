"""The rules of the protocol page, checked over what clients and stand-ins observed.

Clients, servers and the coordinator write a history; after the run each rule reads it and names the request,
the time and the reason of every violation. No code is shared with the director. Times are virtual Unix time
in ms; the page's limits are 50 ms longer on sockets.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

SOCKET_TOLERANCE_MS = 50.0
MAX_LATENESS_MS = 500.0  # after its deadline an answer is late for so long; then, or never, it is lost
DRAIN_GRACE_MS = 250.0
PURGE_GRACE_MS = 500.0
MAX_ATTEMPTS = 6
RETRY_AFTER_STATUSES = (429, 503)


@dataclass(slots=True, frozen=True)
class ObservedResponse:
    """One response as its client read it whole; status 0 stands for bytes that follow a complete response."""

    at_ms: float
    status: int
    body: bytes


@dataclass(slots=True)
class ObservedRequest:
    """One request as its client saw it."""

    id: str
    class_name: str
    object_name: str
    part: int
    group: int
    director: str
    sent_at_ms: float
    wait_ms: float
    responses: list[ObservedResponse] = field(default_factory=list)
    broken_at_ms: float | None = None  # its connection ended without a complete response
    has_response_begun: bool = False
    has_retry_after: bool = False


@dataclass(slots=True, frozen=True)
class ObservedAttempt:
    """One attempt as a server read it."""

    at_ms: float
    request_id: str
    server: str
    source: str  # where a miss was to be filled from; empty for none
    method: str


@dataclass(slots=True, frozen=True)
class ProducedResponse:
    """What a server sent for a request; `version_ms` is when the store made this copy."""

    request_id: str
    server: str
    body: bytes
    version_ms: float


@dataclass(slots=True, frozen=True)
class DrainPeriod:
    """From when a server was published as draining until it serves again."""

    published_at_ms: float
    until_ms: float = float("inf")


@dataclass(slots=True, frozen=True)
class PublishedPurge:
    """A purge of a group: copies made before `made_before_ms` may not be served any more."""

    published_at_ms: float
    group: int
    made_before_ms: float


@dataclass(slots=True)
class History:
    """Everything that clients, servers and the coordinator observed."""

    requests: dict[str, ObservedRequest] = field(default_factory=dict)
    attempts: list[ObservedAttempt] = field(default_factory=list)
    produced: list[ProducedResponse] = field(default_factory=list)
    write_counts: Counter[str] = field(default_factory=Counter)  # writes that took effect, by request
    drains: dict[str, DrainPeriod] = field(default_factory=dict)  # by server
    purges: list[PublishedPurge] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class Violation:
    """A request that breaks a rule."""

    rule: str
    request_id: str
    at_ms: float
    reason: str


def one_final_answer(history: History) -> Iterator[Violation]:
    """A request has exactly one response, at the latest `MAX_LATENESS_MS` after its deadline."""
    rule = "one final answer"
    for request in history.requests.values():
        if len(request.responses) > 1:
            second = request.responses[1]
            yield Violation(rule, request.id, second.at_ms, f"{len(request.responses)} answers")
        if request.responses:
            continue
        if request.broken_at_ms is None:
            deadline_ms = request.sent_at_ms + request.wait_ms + MAX_LATENESS_MS
            yield Violation(rule, request.id, deadline_ms, f"none from {request.director} in its time")
        elif not request.has_response_begun:
            reason = f"{request.director} closed without a word"
            yield Violation(rule, request.id, request.broken_at_ms, reason)


def no_double_effect(history: History) -> Iterator[Violation]:
    """A write takes effect once."""
    last_at_ms = _last_attempts_ms(history)
    for request_id, count in history.write_counts.items():
        if count > 1:
            at_ms = last_at_ms.get(request_id, 0.0)
            yield Violation("no double effect", request_id, at_ms, f"a write ran {count} times")


def drains_kept(history: History) -> Iterator[Violation]:
    """A server gets no work, and is no fill's source, from `DRAIN_GRACE_MS` after its drain on."""
    for attempt in history.attempts:
        for name in (attempt.server, attempt.source):
            drain = history.drains.get(name)
            if drain is None:
                continue
            in_force_ms = drain.published_at_ms + DRAIN_GRACE_MS + SOCKET_TOLERANCE_MS
            if in_force_ms < attempt.at_ms < drain.until_ms:
                since_ms = attempt.at_ms - drain.published_at_ms
                reason = f"{name} was told to drain {since_ms:.0f} ms before"
                yield Violation("drains kept", attempt.request_id, attempt.at_ms, reason)


def purges_kept(history: History) -> Iterator[Violation]:
    """What is sent later than `PURGE_GRACE_MS` after a purge is not answered from an older copy."""
    first_at_ms = {attempt.request_id: attempt.at_ms for attempt in reversed(history.attempts)}
    versions_ms = {(one.request_id, one.body): one.version_ms for one in history.produced}
    for request in history.requests.values():
        sent_at_ms = first_at_ms.get(request.id, 0.0)
        for response in request.responses:
            version_ms = versions_ms.get((request.id, response.body))
            if response.status != 200 or version_ms is None:
                continue
            purge = _find_broken_purge(history, request.group, sent_at_ms, version_ms)
            if purge is not None:
                reason = f"a copy of {purge.made_before_ms - version_ms:.0f} ms before the purge"
                yield Violation("purges kept", request.id, response.at_ms, reason)


def _find_broken_purge(
    history: History, group: int, sent_at_ms: float, version_ms: float
) -> PublishedPurge | None:
    for purge in history.purges:
        is_in_force = sent_at_ms > purge.published_at_ms + PURGE_GRACE_MS + SOCKET_TOLERANCE_MS
        if purge.group == group and is_in_force and version_ms < purge.made_before_ms:
            return purge
    return None


def attempts_bounded(history: History) -> Iterator[Violation]:
    """A request is attempted `MAX_ATTEMPTS` times at most."""
    last_at_ms = _last_attempts_ms(history)
    for request_id, count in Counter(attempt.request_id for attempt in history.attempts).items():
        if count > MAX_ATTEMPTS:
            yield Violation("attempts bounded", request_id, last_at_ms[request_id], f"{count} attempts")


def answers_were_made(history: History) -> Iterator[Violation]:
    """The body of a 200 is one that some server sent for this request."""
    bodies: dict[str, set[bytes]] = defaultdict(set)
    for produced in history.produced:
        bodies[produced.request_id].add(produced.body)
    for request in history.requests.values():
        for response in request.responses:
            if response.status == 200 and response.body not in bodies[request.id]:
                reason = "no server made these bytes for it"
                yield Violation("answers were made", request.id, response.at_ms, reason)


def refusals_worded(history: History) -> Iterator[Violation]:
    """A 429 or 503 has `Retry-After`."""
    for request in history.requests.values():
        for response in request.responses:
            if response.status in RETRY_AFTER_STATUSES and not request.has_retry_after:
                reason = f"{response.status} without Retry-After"
                yield Violation("refusals worded", request.id, response.at_ms, reason)


def nothing_invented(history: History) -> Iterator[Violation]:
    """Servers get only what some client requested."""
    for attempt in history.attempts:
        if attempt.request_id not in history.requests:
            reason = f"{attempt.server} got what no client asked for"
            yield Violation("nothing invented", attempt.request_id, attempt.at_ms, reason)


RULES = (
    one_final_answer,
    no_double_effect,
    drains_kept,
    purges_kept,
    attempts_bounded,
    answers_were_made,
    refusals_worded,
    nothing_invented,
)


def _last_attempts_ms(history: History) -> dict[str, float]:
    return {attempt.request_id: attempt.at_ms for attempt in history.attempts}


def find_violations(history: History) -> list[Violation]:
    """Returns every violation of every rule, the earliest first."""
    violations = [violation for rule in RULES for violation in rule(history)]
    return sorted(violations, key=lambda one: (one.at_ms, one.rule, one.request_id))


def describe_request(history: History, request_id: str) -> list[str]:
    """Returns one line for each thing that is known of a request, in order of time."""
    events: list[tuple[float, str]] = []
    request = history.requests.get(request_id)
    if request is not None:
        what = f"{request.class_name} {request.object_name}/{request.part}"
        asked = f"asked of {request.director}: {what}, waits {request.wait_ms:.0f} ms"
        events.append((request.sent_at_ms, asked))
        events += [(one.at_ms, f"answered {one.status}, {len(one.body)} bytes") for one in request.responses]
        if request.broken_at_ms is not None:
            events.append((request.broken_at_ms, "its connection ended without a whole answer"))
    for attempt in history.attempts:
        if attempt.request_id == request_id:
            source = f", a miss filled from {attempt.source}" if attempt.source else ""
            events.append((attempt.at_ms, f"{attempt.method} at {attempt.server}{source}"))
    return [f"{at_ms / 1000.0:9.3f} s  {text}" for at_ms, text in sorted(events)]
