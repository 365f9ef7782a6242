"""Write soak test: non-idempotent writes against cache servers that break their connections at random.

The servers' own record of what they executed is the truth; the stream ledgers' findings are the proofs that
an attempt was never executed (RFC 9113, section 8.7). The same faults can be played over HTTP/1.1, where a
server can signal few of them: what it would reject it can only drop.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from ..config.options import Options
from ..core.exchange import Attempt
from ..streams.stream_tracker import StreamOutcome
from .director_harness import SETTINGS, DirectorHarness
from .http2_fault_script import Http2FaultScript
from .http_messages import encode_request, read_message
from .scripted_http2_server import ScriptedHttp2Server
from .scripted_servers import ReceivedRequest, ScriptedServer

BODY = b"10 boxes of hake"
CLIENT_COUNT = 16  # that send at the same time
CONNECT_TIMEOUT_MS = 2_000.0  # a busy machine is no fault
REQUEST_TIMEOUT_MS = 30_000.0
SERVER_COUNT = 3
H2_STREAM_LIMIT = 16
SEED_STRIDE = 101  # so that the servers of one run draw from seeds of their own
STATUS_CUT = 0  # of a write whose answer was cut off


def ticket(number: int) -> str:
    """The ticket (`X-Ticket`) by which a write is known everywhere."""
    return f"{number:016x}"


class Http1Fault(Enum):
    """What an HTTP/1.1 server may do to a request, by when its connection ends."""

    DROP_BEFORE_EXECUTION = "before"
    DROP_AFTER_EXECUTION = "after"
    DROP_WITHIN_RESPONSE = "within"
    REJECT_UNEXECUTED = "full"
    NONE = "none"


# As many of each kind as `Http2FaultScript` draws from.
HTTP1_FAULTS = (
    *(Http1Fault.DROP_BEFORE_EXECUTION,) * 6,
    *(Http1Fault.DROP_AFTER_EXECUTION,) * 3,
    Http1Fault.DROP_WITHIN_RESPONSE,
    Http1Fault.REJECT_UNEXECUTED,
    *(Http1Fault.NONE,) * 2,
)


class Http1Breaker:
    """The faults of `Http2FaultScript` that HTTP/1.1 allows; `fault_fraction` of the requests meet one."""

    def __init__(self, seed: int, fault_fraction: float, body: bytes = b"done") -> None:
        self.executed: Counter[str] = Counter()  # by ticket
        self._random = random.Random(seed)
        self._fault_fraction, self._body = fault_fraction, body

    async def __call__(self, heard: ReceivedRequest) -> None:
        """Answers one request, or breaks its connection."""
        fault = Http1Fault.NONE
        if self._random.random() < self._fault_fraction:
            fault = self._random.choice(HTTP1_FAULTS)
        if fault is Http1Fault.REJECT_UNEXECUTED:
            return await heard.respond(503, X_Shed="1")
        if fault is not Http1Fault.DROP_BEFORE_EXECUTION:
            self.executed[heard.headers["x-ticket"]] += 1
        if fault is Http1Fault.NONE:
            return await heard.respond(200, self._body)
        if fault is Http1Fault.DROP_WITHIN_RESPONSE:
            heard.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n" + self._body)
        heard.writer.transport.abort()


@dataclass(slots=True)
class SoakReport:
    """What became of the writes of one run, by ticket where it says so."""

    seed: int
    statuses: dict[str, int] = field(default_factory=dict)  # by ticket
    executed_twice: list[str] = field(default_factory=list)
    acknowledged_unexecuted: list[str] = field(default_factory=list)
    retried_without_proof: list[str] = field(default_factory=list)
    streams_over_limit: int = 0  # over a limit that had been acknowledged
    protocol_violations: list[str] = field(default_factory=list)
    faults: Counter[str] = field(default_factory=Counter)  # by name
    findings: Counter[str] = field(default_factory=Counter)  # by reason
    interrupted_count: int = 0  # writes that lost a stream or a connection, or were rejected on one
    recovered_count: int = 0  # of these, answered with success all the same

    @property
    def has_violation(self) -> bool:
        """Whether a write was executed twice, acknowledged unexecuted, or a protocol rule was broken."""
        violations = (
            self.executed_twice, self.acknowledged_unexecuted, self.retried_without_proof,
            self.streams_over_limit, self.protocol_violations,
        )  # fmt: skip
        return any(violations)


async def send_in_turn(rehearsal: DirectorHarness, numbers: Sequence[int]) -> dict[str, int]:
    """Sends writes one after another on one client's connection, reopened when it was cut.

    Returns the status of each by ticket.
    """
    reader, writer = await rehearsal.connect()
    statuses = {}
    for number in numbers:
        trace, path = ticket(number), f"/invoke/bid/{number:x}"
        writer.write(encode_request(path, "PUT", wait_ms=REQUEST_TIMEOUT_MS, body=BODY, trace=trace))
        try:
            status_line, _, _ = await read_message(reader)
            statuses[trace] = int(status_line.split(" ")[1])
        except (asyncio.IncompleteReadError, ConnectionError):
            statuses[trace] = STATUS_CUT
            writer.close()
            reader, writer = await rehearsal.connect()
    writer.close()
    return statuses


class ServerSpec(NamedTuple):
    """A server's name, model and zone."""

    name: str
    model: str
    zone: str


def server_specs(cache_count: int) -> list[ServerSpec]:
    """So many caches, and the origin, which writes reach in the end."""
    caches = [ServerSpec(f"c{number}", "standard", "edge-1") for number in range(cache_count)]
    return [*caches, ServerSpec("o", "origin", "north")]


def make_rehearsal(
    peers: Sequence[ScriptedHttp2Server] | Sequence[ScriptedServer], options: Options | None
) -> DirectorHarness:
    """A director in front of these servers, with patience to connect."""
    settings = {**SETTINGS, "limits": {**SETTINGS["limits"], "connect_timeout_ms": CONNECT_TIMEOUT_MS}}
    return DirectorHarness(peers, settings=settings, options=options)


async def _send_all(rehearsal: DirectorHarness, count: int) -> dict[str, int]:
    shares = [range(client, count, CLIENT_COUNT) for client in range(CLIENT_COUNT)]
    statuses: dict[str, int] = {}
    for found in await asyncio.gather(*(send_in_turn(rehearsal, share) for share in shares)):
        statuses |= found
    return statuses


async def run_http2_soak(
    seed: int, count: int, fault_fraction: float, options: Options, cache_count: int = SERVER_COUNT
) -> SoakReport:
    """Plays `count` writes over HTTP/2, `fault_fraction` of which meet a fault at each server."""
    report = SoakReport(seed)
    breakers = [
        Http2FaultScript(seed * SEED_STRIDE + number, fault_fraction) for number in range(cache_count + 1)
    ]
    specs = server_specs(cache_count)
    peers = [
        ScriptedHttp2Server(breaker, *spec, max_concurrent_streams=H2_STREAM_LIMIT)
        for breaker, spec in zip(breakers, specs, strict=True)
    ]
    proofs: Counter[str] = Counter()
    interrupted: set[str] = set()

    def witness(attempt: Attempt, finding: StreamOutcome) -> None:
        report.findings[finding.reason.value] += 1
        interrupted.add(attempt.open_request.request.trace_id)
        if finding.is_unprocessed:
            proofs[attempt.open_request.request.trace_id] += 1

    async with make_rehearsal(peers, options) as rehearsal:
        assert rehearsal.director is not None
        rehearsal.director.connection_pool.on_stream_ended = witness
        report.statuses = await _send_all(rehearsal, count)
    executed: Counter[str] = Counter()
    sent: Counter[str] = Counter()
    for peer, breaker in zip(peers, breakers, strict=True):
        executed.update(peer.process_counts())
        sent.update(asked.ticket for asked in peer.received)
        # 503 with X-Shed: the cache protocol's own signal for `never executed`.
        proofs.update(breaker.shed_tickets)
        interrupted.update(breaker.shed_tickets)
        report.faults.update(breaker.fault_counts)
        report.streams_over_limit += peer.streams_over_limit
        report.protocol_violations += peer.protocol_errors
    report.retried_without_proof = [name for name, times in sent.items() if times - 1 > proofs[name]]
    _judge(report, executed, interrupted)
    return report


async def run_http1_soak(
    seed: int, count: int, fault_fraction: float, cache_count: int = SERVER_COUNT
) -> SoakReport:
    """Plays the same over HTTP/1.1, where nothing proves that a write was never executed."""
    report = SoakReport(seed)
    breakers = [
        Http1Breaker(seed * SEED_STRIDE + number, fault_fraction) for number in range(cache_count + 1)
    ]
    specs = server_specs(cache_count)
    peers = [
        ScriptedServer(breaker, *spec, capacity=1_000.0)
        for breaker, spec in zip(breakers, specs, strict=True)
    ]
    async with make_rehearsal(peers, None) as rehearsal:
        report.statuses = await _send_all(rehearsal, count)
    executed: Counter[str] = Counter()
    for breaker in breakers:
        executed.update(breaker.executed)
    sent = Counter(heard.headers["x-ticket"] for peer in peers for heard in peer.received)
    interrupted = {name for name, status in report.statuses.items() if status != 200 or sent[name] > 1}
    _judge(report, executed, interrupted)
    return report


def _judge(report: SoakReport, executed: Counter[str], interrupted: set[str]) -> None:
    """Compares what was answered with what was executed."""
    succeeded = {name for name, status in report.statuses.items() if status == 200}
    report.executed_twice = [name for name, times in executed.items() if times > 1]
    report.acknowledged_unexecuted = [name for name in succeeded if not executed[name]]
    report.interrupted_count = len(interrupted)
    report.recovered_count = len(interrupted & succeeded)
