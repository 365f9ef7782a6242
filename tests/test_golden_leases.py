"""Datagrams, stored rows, views and names of leases are the same as those of version 090a370."""

import asyncio
import hashlib
import json
import random
import time
from collections import Counter
from pathlib import Path
from typing import Any, cast

import msgspec
import pytest
import structlog

from gladewalk.core.clocks import InstantConverter, UnixInstant
from gladewalk.core.counters import Counters
from gladewalk.core.deadlines import Deadlines
from gladewalk.faultnet.fenced_resource import FencedResource
from gladewalk.leases import messages
from gladewalk.leases.candidate import LeaseCandidate
from gladewalk.leases.configuration import LeaseConfig
from gladewalk.leases.fenced_operations import FencedOperationQueue
from gladewalk.leases.fleet_report import FleetReport
from gladewalk.leases.holder_tasks import LeaseHolderTasks
from gladewalk.leases.outputs import GRANT_SPACE, PURGE_SPACE, GrantRecord, decode_grant, encode_row
from gladewalk.leases.purge_requests import PurgeRequests
from gladewalk.leases.transport import LeaseClock, LeaseService
from gladewalk.leases.voter import Voter, decode_grants
from gladewalk.members.authenticator import AuthenticationKey, MessageAuthenticator, key_from_secret
from gladewalk.rehearsal.lease_faults import generate_schedule
from gladewalk.rehearsal.lease_simulation import LeaseSimulation

GOLDEN = json.loads((Path(__file__).parent / "golden" / "leases.json").read_text())
KEY = key_from_secret(b"k" * 32)
WALL_MS = 1_764_576_000_000.0


def new_authenticator(key: AuthenticationKey = KEY) -> MessageAuthenticator:
    return MessageAuthenticator((key,), 30_000.0)


def sign(payload: bytes, now_ms: float, nonce: int, key: AuthenticationKey = KEY) -> bytes:
    return new_authenticator(key).sign(payload, now_ms, nonce)


PURGE_REQUEST = messages.PurgeRequest("00ff", "o:7f3a9c21", "a", 1_764_576_000_123.5)
MESSAGES: dict[str, messages.Message] = {
    "ask": messages.VoteRequest("purge", 3, "a", 9),
    "sound": messages.PreVoteRequest("purge", "a", 9),
    "grant": messages.VoteGranted("purge", 3, "a", 9, "b"),
    "refuse": messages.VoteDenied("purge", 9, "b", 4, "c", 12.5),
    "standing": messages.PreVoteResponse("purge", 9, "b", 4, "c", 12.5),
    "release": messages.LeaseRelease("purge", 3, "a"),
    "release_to": messages.LeaseRelease("purge", 3, "a", "c"),
    "act_bare": messages.FencedOperation("purge", 3, "a", 1_764_576_000_123.5),
    "act": messages.FencedOperation("purge", 3, "a", 1_764_576_000_123.5, 7, "00ff", b"o:7f3a9c21"),
    "acked": messages.OperationResponse("purge", 3, 7, True, 3),
    "acked_refused": messages.OperationResponse("purge", 3, 7, False, 4),
    "order": PURGE_REQUEST,
    "kept": messages.Replicated("00ff", "b"),
    "finished": messages.Completed("00ff", 4),
    "wanted": messages.SyncRequest("a", 2),
    "wanted_after": messages.SyncRequest("a", 2, "00ff"),
    "open": messages.SyncResponse("b", 2, [PURGE_REQUEST], True),
    "open_last": messages.SyncResponse("b", 2, []),
    "figures": messages.DirectorMetrics(
        "a", 5, 1_764_576_000_123.5, {"served": 7, "refused": 0, "failed": 1, "attempts": 9}
    ),
}


@pytest.mark.parametrize("name", sorted(MESSAGES))
def test_messages_are_encoded_and_decoded_as_in_the_golden_data(name: str) -> None:
    golden = bytes.fromhex(GOLDEN["messages"][name])
    assert messages.encode(MESSAGES[name]) == golden
    assert messages.decode(golden) == MESSAGES[name]


@pytest.mark.parametrize("name", sorted(MESSAGES))
def test_datagrams_are_signed_and_verified_as_in_the_golden_data(name: str) -> None:
    golden = bytes.fromhex(GOLDEN["sealed"][name])
    assert sign(messages.encode(MESSAGES[name]), WALL_MS, 77) == golden
    verified = new_authenticator().verify(golden, WALL_MS)
    assert isinstance(verified, bytes) and messages.decode(verified) == MESSAGES[name]


def test_stored_rows_are_encoded_and_decoded_as_in_the_golden_data() -> None:
    rows = {name: bytes.fromhex(row) for name, row in GOLDEN["rows"].items()}
    assert (GRANT_SPACE, PURGE_SPACE) == ("grant", "order")
    assert rows == {"grant": encode_row(GrantRecord(7, "a")), "order": encode_row(PURGE_REQUEST)}
    assert decode_grant(rows["grant"]) == GrantRecord(7, "a")
    assert decode_grants({"purge": rows["grant"], "torn": b"\x93"}) == {"purge": GrantRecord(7, "a")}
    restored = PurgeRequests("b", ("a", "b"), ("@purge/0",), random.Random(2), {"00ff": rows["order"]})
    assert restored.requests_to_forward() == [PURGE_REQUEST]


def simulation_trace() -> dict[str, object]:
    """Every datagram between directors in virtual time under faults, and the operations recorded."""
    simulation, lines = LeaseSimulation(5, 3), list[str]()
    post = simulation.post

    def record_datagram(source: str, target: str, payload: bytes) -> None:
        lines.append(f"{simulation.now_ms:.6f} {source}>{target} {payload.hex()}")
        post(source, target, payload)

    simulation.post = record_datagram  # type: ignore[method-assign]
    simulation.schedule(generate_schedule(9, simulation.names, 8_000.0, 5))
    simulation.start()
    simulation.run_until(8_000.0)
    records = [
        (
            record.task,
            record.token,
            record.holder,
            round(record.performed_at_ms, 6),
            round(record.received_at_ms, 6),
            record.is_accepted,
        )
        for record in simulation.fence.records
    ]
    return {
        "datagrams": len(lines),
        "datagrams_sha256": hashlib.sha256("\n".join(lines).encode()).hexdigest(),
        "acts": len(records),
        "acts_sha256": hashlib.sha256(json.dumps(records).encode()).hexdigest(),
    }


def test_directors_in_virtual_time_send_the_golden_datagrams() -> None:
    assert simulation_trace() == GOLDEN["world"]


class VirtualClock(LeaseClock):
    now = 0.0

    def __call__(self) -> float:
        return self.now


class RecordingRowWriter:
    """A row writer that records every row and reports it as durable at once."""

    def __init__(self) -> None:
        self.written: list[list[str | None]] = []

    def put(self, space: str, key: str, value: bytes) -> asyncio.Future[bool]:
        self.written.append([space, key, value.hex()])
        return self._done()

    def delete(self, space: str, key: str) -> asyncio.Future[bool]:
        self.written.append([space, key, None])
        return self._done()

    def _done(self) -> asyncio.Future[bool]:
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        future.set_result(True)
        return future


class RecordingSocket:
    """One director's socket: records the datagrams that are sent."""

    def __init__(self) -> None:
        self.sent: list[tuple[bytes, tuple[str, int]]] = []

    def is_closing(self) -> bool:
        return False

    def close(self) -> None:
        pass

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self.sent.append((data, address))


class UnusedDeadlines:
    def add(self, when_ms: float, call: object) -> None:
        return None

    def drop(self, key: object) -> None:
        return None


SELF_PORT = 1
PORTS = {"a": SELF_PORT, "@purge/0": 2, "@purge/1": 3, "@report/0": 4}
RESOURCES = {"purge": ("@purge/0", "@purge/1"), "report": ("@report/0",)}
RESPONSES_FROM_MS = 2_000.0  # resources do not respond before this time


class TracedDirector:
    """A director with purges and reports, a record of its datagrams, and resources that accept everything."""

    def __init__(self) -> None:
        self.clock, self.wire, self.rows, self.counters = (
            VirtualClock(),
            RecordingSocket(),
            RecordingRowWriter(),
            Counters(),
        )
        config, rng = LeaseConfig(), random.Random(4)
        candidate = LeaseCandidate("a", ("a",), ("purge", "report"), config, rng, 0.0)
        self.purges = PurgeRequests("a", ("a",), RESOURCES["purge"], rng, {})
        report = FleetReport("a", ("a",), 5, 1_000.0, lambda: {"served": 3, "refused": 1})
        operations = FencedOperationQueue("a", RESOURCES)
        tasks = LeaseHolderTasks(candidate, operations, self.purges, report, 100.0, 200.0, 0.0)
        self.leases = LeaseService(
            Voter("a", config, 0.0, {}),
            candidate,
            tasks,
            {name: ("x", port) for name, port in PORTS.items()},
            new_authenticator(),
            self.rows,
            self.clock,
            self.steady_ms,
            InstantConverter(self.steady_ms, lambda: UnixInstant(self.steady_ms())),
            cast(Deadlines, UnusedDeadlines()),
            self.counters,
        )
        self.leases.random = cast(random.SystemRandom, random.Random(6))
        self.leases.transport = cast(asyncio.DatagramTransport, self.wire)
        self.resources_authenticator = new_authenticator()
        self.response_count = 0
        self.datagrams: list[str] = []
        self.views: dict[str, object] = {}

    def steady_ms(self) -> float:
        return WALL_MS + self.clock.now

    def receive(self, message: messages.Message, nonce: int, port: int) -> None:
        sealed = sign(messages.encode(message), WALL_MS + self.clock.now, nonce)
        self.leases.datagram_received(sealed, ("x", port))

    async def step(self, elapsed_ms: float) -> None:
        """Advances the clock; delivers datagrams to itself and to resources until no more are sent."""
        self.clock.now += elapsed_ms
        self.leases._tick()
        for _ in range(50):
            await asyncio.sleep(0)
            if not self.wire.sent:
                break
            data, (_, port) = self.wire.sent.pop(0)
            self.datagrams.append(f"{self.clock.now} {port} {data.hex()}")
            if port == SELF_PORT:
                self.leases.datagram_received(data, ("x", SELF_PORT))
            elif self.clock.now >= RESPONSES_FROM_MS:
                self.respond(data, port)

    def respond(self, data: bytes, port: int) -> None:
        payload = self.resources_authenticator.verify(data, WALL_MS + self.clock.now)
        assert isinstance(payload, bytes)
        operation = messages.decode(payload)
        assert isinstance(operation, messages.FencedOperation)
        if operation.number:
            self.response_count += 1
            token = operation.token
            accepted = messages.OperationResponse(operation.task, token, operation.number, True, token)
            self.receive(accepted, self.response_count, port)

    async def purge(self) -> None:
        """Carries a purge from the operator's request until both hubs have accepted it."""
        for _ in range(25):
            await self.step(50.0)
        request_id = self.leases.request_purge("o:7f3a9c21")
        self.views["order"] = msgspec.to_builtins(self.purges.status(request_id))
        for number in range(30):
            await self.step(50.0)
            if number == 4:
                self.views["order_open"] = msgspec.to_builtins(self.purges.status(request_id))
                self.views["open"] = msgspec.to_builtins(self.leases.status())
        self.views["order_finished"] = msgspec.to_builtins(self.purges.status(request_id))
        self.views["finished"] = msgspec.to_builtins(self.leases.status())

    def receive_invalid_datagrams(self) -> None:
        self.leases.datagram_received(b"noise", ("x", 9))
        for key in (KEY, key_from_secret(b"s" * 32)):
            self.leases.datagram_received(sign(b"\x93", WALL_MS + self.clock.now, 99, key), ("x", 9))
        self.leases.error_received(OSError())

    async def lose_leases(self) -> None:
        """Loses a lease to a fence, hands one on and lets one expire; denies another candidate's request."""
        self.receive(messages.OperationResponse("report", 1, 1, False, 9), 1_000_001, 4)
        tasks = ("purge", "purge", "report", "none")
        self.views["hand_on"] = [self.leases.hand_on(task, "b") for task in tasks]
        for nonce in (1_000_002, 1_000_003):  # the second one follows too soon to be logged again
            self.receive(messages.VoteRequest("purge", 1, "c", 1), nonce, 9)
        report = self.leases.candidate.leases["report"]
        report.term, report.expires_at_ms = 5, 0.0
        await self.step(50.0)


async def director_trace() -> dict[str, object]:
    """One director's datagrams, rows, views, log events and counters."""
    director = TracedDirector()
    with structlog.testing.capture_logs() as events:
        await director.purge()
        director.receive_invalid_datagrams()
        await director.lose_leases()
    return {
        "datagrams": director.datagrams,
        "rows": director.rows.written,
        "views": director.views,
        "events": [json.loads(json.dumps(event, sort_keys=True)) for event in events],
        "counters": dict(sorted(director.counters.items())),
    }


async def resource_trace(monkeypatch: pytest.MonkeyPatch) -> dict[str, object]:
    """The fenced resource's responses to operations under different tokens, and its records."""
    monkeypatch.setattr(time, "time", lambda: WALL_MS / 1_000.0)
    resource, wire, authenticator = FencedResource((KEY,)), RecordingSocket(), new_authenticator()
    resource.random = cast(random.SystemRandom, random.Random(8))
    resource.transport = cast(asyncio.DatagramTransport, wire)
    body = json.dumps({"part": 0, "parts": 1, "rows": [{"name": "a", "served": 3}], "missing": []}).encode()
    sent_operations = (
        messages.FencedOperation("purge", 3, "a", WALL_MS),
        messages.FencedOperation("purge", 3, "a", WALL_MS, 1, "00ff", b"o:7f3a9c21"),
        messages.FencedOperation("purge", 4, "b", WALL_MS, 1, "00ff", b"o:7f3a9c21"),
        messages.FencedOperation("purge", 3, "a", WALL_MS, 2, "00fe", b"o:1"),
        messages.FencedOperation("purge", 2, "a", WALL_MS),
        messages.FencedOperation("report", 1, "a", WALL_MS, 3, "5-1-0", body),
    )
    for number, sent_operation in enumerate(sent_operations):
        resource.datagram_received(
            authenticator.sign(messages.encode(sent_operation), WALL_MS, number), ("x", 9)
        )
    resource.datagram_received(b"noise", ("x", 9))
    return {
        "answers": [data.hex() for data, _ in wire.sent],
        "purged": {
            id: [purged.target, purged.token, purged.holder] for id, purged in resource.purges.items()
        },
        "reports": resource.reports,
        "rows": resource.rows,
        "again": resource.repeated_purge_count,
        "malformed": resource.malformed_count,
    }


def test_one_director_sends_stores_logs_and_counts_as_in_the_golden_data() -> None:
    trace = json.loads(json.dumps(asyncio.run(director_trace())))
    for part, golden in GOLDEN["director"].items():
        assert trace[part] == golden, part
    assert set(trace) == set(GOLDEN["director"])


def test_the_golden_trace_has_every_documented_event_and_counter() -> None:
    kinds = Counter(event["event"] for event in GOLDEN["director"]["events"])
    assert set(kinds) == {
        "lease_granted", "lease_refused", "lease_won", "lease_expired", "lease_released", "lease_fenced",
        "lease_ordered", "lease_forwarded",
    }  # fmt: skip
    assert kinds["lease_refused"] == 1 and GOLDEN["director"]["counters"]["leases.refused"] == 2


def test_the_fenced_resource_responds_as_in_the_golden_data(monkeypatch: pytest.MonkeyPatch) -> None:
    assert json.loads(json.dumps(asyncio.run(resource_trace(monkeypatch)))) == GOLDEN["sink"]


def test_invalid_messages_are_rejected() -> None:
    for noise in (b"", b"\x93", b"\x92\x05\xa1a", b"\x91\x63"):
        with pytest.raises((msgspec.MsgspecError, ValueError)):
            messages.decode(noise)


def capture() -> dict[str, Any]:
    """The golden data as the present code produces them: `python -m tests.test_golden_leases`."""
    sealed = {name: sign(messages.encode(message), WALL_MS, 77).hex() for name, message in MESSAGES.items()}
    with pytest.MonkeyPatch.context() as patch:
        resource = asyncio.run(resource_trace(patch))
    return {
        "messages": {name: messages.encode(message).hex() for name, message in MESSAGES.items()},
        "sealed": sealed,
        "rows": {"grant": encode_row(GrantRecord(7, "a")).hex(), "order": encode_row(PURGE_REQUEST).hex()},
        "world": simulation_trace(),
        "director": asyncio.run(director_trace()),
        "sink": resource,
    }


if __name__ == "__main__":
    print(json.dumps(capture(), indent=1))
