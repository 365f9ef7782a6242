"""Bids against boxes that break their connections at random, and what of the rules was kept.

The boxes' own record of what they ran is the truth; the ledgers' findings are the proofs. The same troubles
can be played over HTTP/1.1, where a box has no words for most of them: what it would refuse it can only drop.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from ..config.options import Options
from ..core.exchange import Attempt
from ..streams.stream_tracker import StreamOutcome
from .h2box import Breaker, H2Box
from .peers import SETTINGS, Heard, Rehearsal, ScriptedPeer, read_message, request

BODY = b"10 boxes of hake"
LANES = 16  # clients at a time
LONG_MS = 2_000.0  # to connect: a busy machine is no failure


def ticket(number: int) -> str:
    return f"{number:016x}"


class Http1Breaker:
    """The troubles of `Breaker` as HTTP/1.1 can have them."""

    def __init__(self, seed: int, part: float, body: bytes = b"done") -> None:
        self.random = random.Random(seed)
        self.part, self.body = part, body
        self.ran: Counter[str] = Counter()
        # As many of each kind as `Breaker` draws from: dropped before it ran, after it, within its answer,
        # said not to have run, and nothing that breaks a connection.
        self.troubles = ("before",) * 6 + ("after",) * 3 + ("within",) + ("full",) + ("none",) * 2

    async def __call__(self, heard: Heard) -> None:
        trouble = self.random.choice(self.troubles) if self.random.random() < self.part else "none"
        if trouble == "full":
            return await heard.answer(503, X_Shed="1")
        if trouble != "before":
            self.ran[heard.headers["x-ticket"]] += 1
        if trouble == "none":
            return await heard.answer(200, self.body)
        if trouble == "within":
            heard.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n" + self.body)
        heard.writer.transport.abort()


@dataclass(slots=True)
class Report:
    """What became of the bids of one run; each list must be empty for the rules to be kept."""

    seed: int
    statuses: dict[str, int] = field(default_factory=dict)  # by ticket; 0: begun and cut
    run_twice: list[str] = field(default_factory=list)
    served_unrun: list[str] = field(default_factory=list)
    resent_unproved: list[str] = field(default_factory=list)
    over_limit: int = 0  # streams over a limit that had been acknowledged
    breaches: list[str] = field(default_factory=list)
    met: Counter[str] = field(default_factory=Counter)  # troubles, by name
    findings: Counter[str] = field(default_factory=Counter)
    broken: int = 0  # bids that lost a stream or a connection, or were refused on one
    saved: int = 0  # of these, served all the same

    @property
    def kept(self) -> bool:
        wrong = (self.run_twice, self.served_unrun, self.resent_unproved, self.over_limit, self.breaches)
        return not any(wrong)


async def ask_in_turn(world: Rehearsal, numbers: Sequence[int]) -> dict[str, int]:
    """Bids one after another on one client's connection, which is opened anew when it was cut."""
    reader, writer = await world.client()
    found = {}
    for number in numbers:
        trace = ticket(number)
        writer.write(request(f"/invoke/bid/{number:x}", "PUT", wait_ms=30_000.0, body=BODY, trace=trace))
        try:
            first, _, _ = await read_message(reader)
            found[trace] = int(first.split(" ")[1])
        except (asyncio.IncompleteReadError, ConnectionError):
            found[trace] = 0
            writer.close()
            reader, writer = await world.client()
    writer.close()
    return found


def places(boxes: int) -> list[tuple[str, str, str]]:
    """Name, model and zone of so many boxes, and of the origin, where bids run in the end."""
    return [*((f"c{n}", "standard", "edge-1") for n in range(boxes)), ("o", "origin", "north")]


def rehearsal(peers: Sequence[Any], options: Options | None) -> Rehearsal:
    settings = {**SETTINGS, "limits": {**SETTINGS["limits"], "connect_timeout_ms": LONG_MS}}
    return Rehearsal(peers, settings=settings, options=options)


async def play_h2(seed: int, count: int, part: float, options: Options, boxes: int = 3) -> Report:
    """`count` bids over HTTP/2, `part` of which meet a trouble at each box that they reach."""
    report = Report(seed)
    breakers = [Breaker(seed * 101 + n, part) for n in range(boxes + 1)]
    peers = [H2Box(breaker, *place, limit=16) for breaker, place in zip(breakers, places(boxes), strict=True)]
    proofs: Counter[str] = Counter()
    lost: set[str] = set()

    def witness(attempt: Attempt, finding: StreamOutcome) -> None:
        report.findings[finding.reason.value] += 1
        lost.add(attempt.open_request.request.trace_id)
        if finding.is_unprocessed:
            proofs[attempt.open_request.request.trace_id] += 1

    async with rehearsal(peers, options) as world:
        assert world.director is not None
        world.director.connection_pool.on_stream_ended = witness
        parts = [range(n, count, LANES) for n in range(LANES)]
        for found in await asyncio.gather(*(ask_in_turn(world, part) for part in parts)):
            report.statuses |= found
    runs: Counter[str] = Counter()
    sends: Counter[str] = Counter()
    for peer, breaker in zip(peers, breakers, strict=True):
        runs.update(peer.times_run())
        sends.update(asked.ticket for asked in peer.heard)
        proofs.update(breaker.shed)  # 503 with X-Shed: the caches' protocol's own word for `it never ran`
        lost.update(breaker.shed)
        report.met.update(breaker.met)
        report.over_limit += peer.over_limit
        report.breaches += peer.breaches
    report.resent_unproved = [name for name, times in sends.items() if times - 1 > proofs[name]]
    judge(report, runs, lost)
    return report


async def play_http1(seed: int, count: int, part: float, boxes: int = 3) -> Report:
    """The same over HTTP/1.1."""
    report = Report(seed)
    breakers = [Http1Breaker(seed * 101 + n, part) for n in range(boxes + 1)]
    peers = [
        ScriptedPeer(breaker, *place, size=1_000.0)
        for breaker, place in zip(breakers, places(boxes), strict=True)
    ]
    async with rehearsal(peers, None) as world:
        parts = [range(n, count, LANES) for n in range(LANES)]
        for found in await asyncio.gather(*(ask_in_turn(world, part) for part in parts)):
            report.statuses |= found
    runs: Counter[str] = Counter()
    for breaker in breakers:
        runs.update(breaker.ran)
    sends = Counter(heard.headers["x-ticket"] for peer in peers for heard in peer.heard)
    lost = {name for name, status in report.statuses.items() if status != 200 or sends[name] > 1}
    judge(report, runs, lost)
    return report


def judge(report: Report, runs: Counter[str], lost: set[str]) -> None:
    report.run_twice = [name for name, times in runs.items() if times > 1]
    report.served_unrun = [n for n, status in report.statuses.items() if status == 200 and not runs[n]]
    report.broken = len(lost)
    report.saved = sum(report.statuses[name] == 200 for name in lost)
