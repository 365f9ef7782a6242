"""The rules of the protocol page, checked over what stand-ins saw. No code is shared with the director.

Clients, servers and the coordinator write down what happened (`Record`); after the run each rule reads it and
names the request, the time and what led to it. Times are virtual, in ms; the page's limits are 50 ms longer
on sockets.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field

SLACK_MS = 50.0
LATE_MS = 500.0  # up to here after its time an answer is late; later or never, it is lost


@dataclass(slots=True)
class Request:
    """One request as its client saw it."""

    id: str
    cls: str
    object: str
    part: int
    group: int
    director: str
    at_ms: float
    wait_ms: float
    ends: list[tuple[float, int, bytes]] = field(default_factory=list)  # when, status, body; whole ones alone
    broken_ms: float | None = None  # its connection ended without a whole answer
    begun: bool = False  # something of an answer came
    retry_after: bool = False


@dataclass(slots=True, frozen=True)
class Sent:
    """One attempt as a server read it whole."""

    at_ms: float
    ticket: str
    server: str
    source: str
    method: str


@dataclass(slots=True, frozen=True)
class Made:
    """What a server gave out: `version_ms` is when the store made this copy."""

    ticket: str
    server: str
    body: bytes
    version_ms: float


@dataclass(slots=True)
class Record:
    requests: dict[str, Request] = field(default_factory=dict)
    sent: list[Sent] = field(default_factory=list)
    made: list[Made] = field(default_factory=list)
    ran: Counter[str] = field(default_factory=Counter)  # writes that took effect, by the client's id
    leaving: dict[str, tuple[float, float]] = field(default_factory=dict)  # server -> told at, until
    purges: list[tuple[float, int, float]] = field(default_factory=list)  # told at, group, made at


@dataclass(slots=True, frozen=True)
class Broken:
    rule: str
    request: str
    at_ms: float
    why: str


def one_final_answer(record: Record) -> list[Broken]:
    broken = []
    for r in record.requests.values():
        if len(r.ends) > 1:
            broken.append(Broken("one final answer", r.id, r.ends[1][0], f"{len(r.ends)} answers"))
        if not r.ends and r.broken_ms is not None and not r.begun:
            why = f"{r.director} closed without a word"
            broken.append(Broken("one final answer", r.id, r.broken_ms, why))
        if not r.ends and r.broken_ms is None:
            late = r.at_ms + r.wait_ms + LATE_MS
            broken.append(Broken("one final answer", r.id, late, f"none from {r.director} in its time"))
    return broken


def no_double_effect(record: Record) -> list[Broken]:
    times = {s.ticket: s.at_ms for s in record.sent}
    return [Broken("no double effect", id, times.get(id, 0.0), f"a write ran {count} times")
            for id, count in record.ran.items() if count > 1]  # fmt: skip


def drains_kept(record: Record, grace_ms: float = 250.0) -> list[Broken]:
    broken = []
    for s in record.sent:
        for name in (s.server, s.source):
            told, until = record.leaving.get(name, (float("inf"), 0.0))
            if told + grace_ms + SLACK_MS < s.at_ms < until:
                why = f"{name} was told to drain {s.at_ms - told:.0f} ms before"
                broken.append(Broken("drains kept", s.ticket, s.at_ms, why))
    return broken


def purges_kept(record: Record, obey_ms: float = 500.0) -> list[Broken]:
    """What was sent later than `obey_ms` after a purge was told is not answered from an older copy."""
    first_sent = {s.ticket: s.at_ms for s in reversed(record.sent)}
    version = {(m.ticket, m.body): m.version_ms for m in record.made}
    broken = []
    for r in record.requests.values():
        for at_ms, status, body in r.ends:
            if status != 200 or (r.id, body) not in version:
                continue
            for told_ms, group, made_ms in record.purges:
                late = first_sent.get(r.id, 0.0) > told_ms + obey_ms + SLACK_MS
                if group == r.group and late and version[r.id, body] < made_ms:
                    why = f"a copy of {made_ms - version[r.id, body]:.0f} ms before the purge"
                    broken.append(Broken("purges kept", r.id, at_ms, why))
                    break
    return broken


def attempts_bounded(record: Record, most: int = 6) -> list[Broken]:
    count, last = Counter(s.ticket for s in record.sent), {s.ticket: s.at_ms for s in record.sent}
    return [Broken("attempts bounded", id, last[id], f"{n} attempts") for id, n in count.items() if n > most]


def answers_were_made(record: Record) -> list[Broken]:
    made: dict[str, set[bytes]] = defaultdict(set)
    for m in record.made:
        made[m.ticket].add(m.body)
    return [Broken("answers were made", r.id, at_ms, "no server made these bytes for it")
            for r in record.requests.values() for at_ms, status, body in r.ends
            if status == 200 and body not in made[r.id]]  # fmt: skip


def refusals_worded(record: Record) -> list[Broken]:
    return [Broken("refusals worded", r.id, at_ms, f"{status} without Retry-After")
            for r in record.requests.values() for at_ms, status, _ in r.ends
            if status in (429, 503) and not r.retry_after]  # fmt: skip


def nothing_invented(record: Record) -> list[Broken]:
    return [Broken("nothing invented", s.ticket, s.at_ms, f"{s.server} got what no client asked for")
            for s in record.sent if s.ticket not in record.requests]  # fmt: skip


RULES = (one_final_answer, no_double_effect, drains_kept, purges_kept, attempts_bounded, answers_were_made,
         refusals_worded, nothing_invented)  # fmt: skip


def broken_rules(record: Record) -> list[Broken]:
    """Every violation, the earliest first."""
    found = [one for rule in RULES for one in rule(record)]
    return sorted(found, key=lambda one: (one.at_ms, one.rule, one.request))


def story(record: Record, id: str) -> list[str]:
    """All that is known of one request, in its order."""
    r = record.requests.get(id)
    lines: list[tuple[float, str]] = []
    if r is not None:
        asked = f"asked of {r.director}: {r.cls} {r.object}/{r.part}, waits {r.wait_ms:.0f} ms"
        lines.append((r.at_ms, asked))
        lines += [(at_ms, f"answered {status}, {len(body)} bytes") for at_ms, status, body in r.ends]
        if r.broken_ms is not None:
            lines.append((r.broken_ms, "its connection ended without a whole answer"))
    for s in record.sent:
        if s.ticket == id:
            filled = f", a miss filled from {s.source}" if s.source else ""
            lines.append((s.at_ms, f"{s.method} at {s.server}{filled}"))
    return [f"{at_ms / 1000.0:9.3f} s  {text}" for at_ms, text in sorted(lines)]
