"""Write soak test: sends non-idempotent writes to cache servers that break their connections at random.

The servers record which writes they executed; these records are authoritative. A stream tracker's outcome
can prove that an attempt was never executed (RFC 9113, section 8.7). The same faults can be injected over
HTTP/1.1, where a server can signal few of them: in place of a rejection it can often only drop the
connection.
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
CLIENT_COUNT = 16  # clients that send at the same time
CONNECT_TIMEOUT_MS = 2_000.0  # long enough that a busy machine does not cause connect failures
REQUEST_TIMEOUT_MS = 30_000.0
SERVER_COUNT = 3
H2_STREAM_LIMIT = 16
SEED_STRIDE = 101  # so that each server of each run has its own seed
STATUS_CUT = 0  # status recorded for a write whose connection ended before a complete response


def ticket(number: int) -> str:
    """Returns the ticket (`X-Ticket`) that identifies a write at clients and servers."""
    return f"{number:016x}"


class Http1Fault(Enum):
    """The faults of an HTTP/1.1 server, by the time at which it ends the connection."""

    DROP_BEFORE_EXECUTION = "before"
    DROP_AFTER_EXECUTION = "after"
    DROP_WITHIN_RESPONSE = "within"
    REJECT_UNEXECUTED = "full"
    NONE = "none"


# In the proportions of the corresponding faults of `Http2FaultScript`.
HTTP1_FAULTS = (
    *(Http1Fault.DROP_BEFORE_EXECUTION,) * 6,
    *(Http1Fault.DROP_AFTER_EXECUTION,) * 3,
    Http1Fault.DROP_WITHIN_RESPONSE,
    Http1Fault.REJECT_UNEXECUTED,
    *(Http1Fault.NONE,) * 2,
)


class Http1FaultScript:
    """Injects the faults of `Http2FaultScript` that HTTP/1.1 allows into `fault_fraction` of the requests."""

    def __init__(self, seed: int, fault_fraction: float, body: bytes = b"done") -> None:
        self.executed: Counter[str] = Counter()  # by ticket
        self._random = random.Random(seed)
        self._fault_fraction, self._body = fault_fraction, body

    async def __call__(self, http_request: ReceivedRequest) -> None:
        """Responds to a request, or breaks its connection."""
        fault = Http1Fault.NONE
        if self._random.random() < self._fault_fraction:
            fault = self._random.choice(HTTP1_FAULTS)
        if fault is Http1Fault.REJECT_UNEXECUTED:
            return await http_request.respond(503, X_Shed="1")
        if fault is not Http1Fault.DROP_BEFORE_EXECUTION:
            self.executed[http_request.headers["x-ticket"]] += 1
        if fault is Http1Fault.NONE:
            return await http_request.respond(200, self._body)
        if fault is Http1Fault.DROP_WITHIN_RESPONSE:
            http_request.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n" + self._body)
        http_request.writer.transport.abort()


@dataclass(slots=True)
class SoakReport:
    """The outcomes of the writes of one run; lists contain tickets."""

    seed: int
    statuses: dict[str, int] = field(default_factory=dict)  # by ticket
    executed_twice: list[str] = field(default_factory=list)
    acknowledged_unexecuted: list[str] = field(default_factory=list)
    retried_without_proof: list[str] = field(default_factory=list)
    streams_over_limit: int = 0  # streams opened over a limit that had been acknowledged
    protocol_violations: list[str] = field(default_factory=list)
    faults: Counter[str] = field(default_factory=Counter)  # by name
    findings: Counter[str] = field(default_factory=Counter)  # stream outcomes by reason
    interrupted_count: int = 0  # writes that lost a stream or connection, or were rejected by a server
    recovered_count: int = 0  # interrupted writes that nevertheless got a response with success

    @property
    def has_violation(self) -> bool:
        """Whether a write was executed twice, acknowledged unexecuted, or a protocol rule was broken."""
        violations = (
            self.executed_twice, self.acknowledged_unexecuted, self.retried_without_proof,
            self.streams_over_limit, self.protocol_violations,
        )  # fmt: skip
        return any(violations)


async def send_sequentially(harness: DirectorHarness, numbers: Sequence[int]) -> dict[str, int]:
    """Sends writes one after another on a client's connection, which is reopened when it was lost.

    Returns the status of each by ticket.
    """
    reader, writer = await harness.connect()
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
            reader, writer = await harness.connect()
    writer.close()
    return statuses


class ServerSpec(NamedTuple):
    """A server's name, model and zone."""

    name: str
    model: str
    zone: str


def server_specs(cache_count: int) -> list[ServerSpec]:
    """Returns the specifications of `cache_count` caches and of the origin, where writes are sent last."""
    caches = [ServerSpec(f"c{number}", "standard", "edge-1") for number in range(cache_count)]
    return [*caches, ServerSpec("o", "origin", "north")]


def build_harness(
    servers: Sequence[ScriptedHttp2Server] | Sequence[ScriptedServer], options: Options | None
) -> DirectorHarness:
    """Returns the harness of a director in front of these servers, with a long connect timeout."""
    settings = {**SETTINGS, "limits": {**SETTINGS["limits"], "connect_timeout_ms": CONNECT_TIMEOUT_MS}}
    return DirectorHarness(servers, settings=settings, options=options)


async def _send_all(harness: DirectorHarness, count: int) -> dict[str, int]:
    shares = [range(client, count, CLIENT_COUNT) for client in range(CLIENT_COUNT)]
    statuses: dict[str, int] = {}
    for client_statuses in await asyncio.gather(*(send_sequentially(harness, share) for share in shares)):
        statuses |= client_statuses
    return statuses


async def run_http2_soak(
    seed: int, count: int, fault_fraction: float, options: Options, cache_count: int = SERVER_COUNT
) -> SoakReport:
    """Sends `count` writes over HTTP/2; each server injects a fault into `fault_fraction` of its requests."""
    report = SoakReport(seed)
    scripts = [
        Http2FaultScript(seed * SEED_STRIDE + number, fault_fraction) for number in range(cache_count + 1)
    ]
    specs = server_specs(cache_count)
    servers = [
        ScriptedHttp2Server(script, *spec, max_concurrent_streams=H2_STREAM_LIMIT)
        for script, spec in zip(scripts, specs, strict=True)
    ]
    proofs: Counter[str] = Counter()
    interrupted: set[str] = set()

    def record_outcome(attempt: Attempt, outcome: StreamOutcome) -> None:
        report.findings[outcome.reason.value] += 1
        interrupted.add(attempt.open_request.request.trace_id)
        if outcome.is_unprocessed:
            proofs[attempt.open_request.request.trace_id] += 1

    async with build_harness(servers, options) as harness:
        assert harness.director is not None
        harness.director.connection_pool.on_stream_ended = record_outcome
        report.statuses = await _send_all(harness, count)
    executed: Counter[str] = Counter()
    sent: Counter[str] = Counter()
    for server, script in zip(servers, scripts, strict=True):
        executed.update(server.process_counts())
        sent.update(http2_request.ticket for http2_request in server.received)
        # A 503 with X-Shed is the cache protocol's signal that a request was never executed.
        proofs.update(script.shed_tickets)
        interrupted.update(script.shed_tickets)
        report.faults.update(script.fault_counts)
        report.streams_over_limit += server.streams_over_limit
        report.protocol_violations += server.protocol_errors
    report.retried_without_proof = [name for name, times in sent.items() if times - 1 > proofs[name]]
    _evaluate(report, executed, interrupted)
    return report


async def run_http1_soak(
    seed: int, count: int, fault_fraction: float, cache_count: int = SERVER_COUNT
) -> SoakReport:
    """Does the same over HTTP/1.1, where nothing proves that a write was never executed."""
    report = SoakReport(seed)
    scripts = [
        Http1FaultScript(seed * SEED_STRIDE + number, fault_fraction) for number in range(cache_count + 1)
    ]
    specs = server_specs(cache_count)
    servers = [
        ScriptedServer(script, *spec, capacity=1_000.0) for script, spec in zip(scripts, specs, strict=True)
    ]
    async with build_harness(servers, None) as harness:
        report.statuses = await _send_all(harness, count)
    executed: Counter[str] = Counter()
    for script in scripts:
        executed.update(script.executed)
    sent = Counter(http_request.headers["x-ticket"] for server in servers for http_request in server.received)
    interrupted = {name for name, status in report.statuses.items() if status != 200 or sent[name] > 1}
    _evaluate(report, executed, interrupted)
    return report


def _evaluate(report: SoakReport, executed: Counter[str], interrupted: set[str]) -> None:
    """Compares the responses with the executed writes."""
    succeeded = {name for name, status in report.statuses.items() if status == 200}
    report.executed_twice = [name for name, times in executed.items() if times > 1]
    report.acknowledged_unexecuted = [name for name in succeeded if not executed[name]]
    report.interrupted_count = len(interrupted)
    report.recovered_count = len(interrupted & succeeded)
