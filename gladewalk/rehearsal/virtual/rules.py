"""The rules of the protocol, checked against the events that clients and stand-ins recorded.

Clients, servers and the coordinator write a history. After the run each rule reads it and yields the request,
the time and the reason of every violation. No code is shared with the director. Times are virtual Unix time
in ms; on sockets the protocol's time limits are 50 ms longer.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

SOCKET_TOLERANCE_MS = 50.0
MAX_LATENESS_MS = 500.0  # a response later than this after its deadline counts as lost
DRAIN_GRACE_MS = 250.0  # how long after a drain is published attempts may still be sent
PURGE_GRACE_MS = 500.0  # how long after a purge older copies may still be used
MAX_ATTEMPTS = 6
RETRY_AFTER_STATUSES = (429, 503)  # statuses that need a `Retry-After` header


@dataclass(slots=True, frozen=True)
class ObservedResponse:
    """A complete response as its client read it; status 0 stands for surplus bytes after a response."""

    at_ms: float
    status: int
    body: bytes


@dataclass(slots=True)
class ObservedRequest:
    """A request and what its client observed."""

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
    """An attempt as a server received it."""

    at_ms: float
    request_id: str
    server: str
    source: str  # the server that a miss was to be filled from; empty if none
    method: str


@dataclass(slots=True, frozen=True)
class ProducedResponse:
    """A response that a server produced; `version_ms` is when the store created this copy."""

    request_id: str
    server: str
    body: bytes
    version_ms: float


@dataclass(slots=True, frozen=True)
class DrainPeriod:
    """The time from a server's publication as draining until it serves again."""

    published_at_ms: float
    until_ms: float = float("inf")


@dataclass(slots=True, frozen=True)
class PublishedPurge:
    """A purge of a group: copies created before `made_before_ms` must no longer be served."""

    published_at_ms: float
    group: int
    made_before_ms: float


@dataclass(slots=True)
class History:
    """All events that clients, servers and the coordinator recorded."""

    requests: dict[str, ObservedRequest] = field(default_factory=dict)
    attempts: list[ObservedAttempt] = field(default_factory=list)
    produced: list[ProducedResponse] = field(default_factory=list)
    write_counts: Counter[str] = field(default_factory=Counter)  # writes that took effect, by request
    drains: dict[str, DrainPeriod] = field(default_factory=dict)  # by server
    purges: list[PublishedPurge] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class Violation:
    """A request that violates a rule."""

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
    """A write takes effect at most once."""
    last_at_ms = _last_attempts_ms(history)
    for request_id, count in history.write_counts.items():
        if count > 1:
            at_ms = last_at_ms.get(request_id, 0.0)
            yield Violation("no double effect", request_id, at_ms, f"a write ran {count} times")


def drains_kept(history: History) -> Iterator[Violation]:
    """From `DRAIN_GRACE_MS` after its drain on, a server gets no attempt and is the source of no fill."""
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
    """A request first attempted later than `PURGE_GRACE_MS` after a purge gets no older copy."""
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
    """A request has at most `MAX_ATTEMPTS` attempts."""
    last_at_ms = _last_attempts_ms(history)
    for request_id, count in Counter(attempt.request_id for attempt in history.attempts).items():
        if count > MAX_ATTEMPTS:
            yield Violation("attempts bounded", request_id, last_at_ms[request_id], f"{count} attempts")


def answers_were_made(history: History) -> Iterator[Violation]:
    """The body of a 200 is one that some server produced for this request."""
    bodies: dict[str, set[bytes]] = defaultdict(set)
    for produced in history.produced:
        bodies[produced.request_id].add(produced.body)
    for request in history.requests.values():
        for response in request.responses:
            if response.status == 200 and response.body not in bodies[request.id]:
                reason = "no server made these bytes for it"
                yield Violation("answers were made", request.id, response.at_ms, reason)


def refusals_worded(history: History) -> Iterator[Violation]:
    """A response 429 or 503 has the header `Retry-After`."""
    for request in history.requests.values():
        for response in request.responses:
            if response.status in RETRY_AFTER_STATUSES and not request.has_retry_after:
                reason = f"{response.status} without Retry-After"
                yield Violation("refusals worded", request.id, response.at_ms, reason)


def nothing_invented(history: History) -> Iterator[Violation]:
    """Servers receive only requests that some client sent."""
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
    """Returns the violations of all rules in ascending order of time."""
    violations = [violation for rule in RULES for violation in rule(history)]
    return sorted(violations, key=lambda one: (one.at_ms, one.rule, one.request_id))


def describe_request(history: History, request_id: str) -> list[str]:
    """Returns one line for each recorded event of a request, in ascending order of time."""
    events: list[tuple[float, str]] = []
    request = history.requests.get(request_id)
    if request is not None:
        target = f"{request.class_name} {request.object_name}/{request.part}"
        description = f"asked of {request.director}: {target}, waits {request.wait_ms:.0f} ms"
        events.append((request.sent_at_ms, description))
        events += [(one.at_ms, f"answered {one.status}, {len(one.body)} bytes") for one in request.responses]
        if request.broken_at_ms is not None:
            events.append((request.broken_at_ms, "its connection ended without a whole answer"))
    for attempt in history.attempts:
        if attempt.request_id == request_id:
            source = f", a miss filled from {attempt.source}" if attempt.source else ""
            events.append((attempt.at_ms, f"{attempt.method} at {attempt.server}{source}"))
    return [f"{at_ms / 1000.0:9.3f} s  {text}" for at_ms, text in sorted(events)]
