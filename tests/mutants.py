"""Directors with one decision or guard taken out, each to be failed by the rule that it breaks."""

from __future__ import annotations

import asyncio
import copy
import dataclasses
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from gladewalk import interface as api
from gladewalk.core.exchange import Attempt, ClientRequest, FinalAnswer, ResponseHead
from gladewalk.director import Director
from gladewalk.net.connection import ClientConnection
from gladewalk.rehearsal.director_harness import SETTINGS
from gladewalk.rehearsal.virtual.scenario import (
    FleetTable,
    Scenario,
    ScenarioFault,
    ScenarioFaultKind,
    TrafficTable,
)
from gladewalk.rehearsal.virtual.scenario_run import DirectorChange

TRAFFIC = TrafficTable(requests_per_s=30.0, objects=60)
DRAIN = [
    ScenarioFault(at_s=5.0 + number, kind=ScenarioFaultKind.DRAIN, duration_s=8.0, target=f"box-{number}")
    for number in range(2)
]
PURGE = [
    ScenarioFault(at_s=at, kind=ScenarioFaultKind.PURGE, duration_s=0.0, amount=0.9)
    for at in (5.0, 8.0, 11.0)
]
FULL = FleetTable(caches=3, parents=1, slots=1)


def build_scenario(
    faults: list[ScenarioFault], fleet: FleetTable | None = None, traffic: TrafficTable = TRAFFIC
) -> Scenario:
    return Scenario(duration_s=15.0, fleet=fleet or FleetTable(caches=4), traffic=traffic, faults=faults)


@dataclass(frozen=True)
class Mutant:
    name: str
    rule: str
    scenario: Scenario
    change: DirectorChange | None = None
    settings: dict[str, Any] | None = None


def with_settings(change: Callable[[dict[str, Any]], None]) -> dict[str, Any]:
    settings: dict[str, Any] = copy.deepcopy(SETTINGS)
    change(settings)
    return settings


def change_connections(**methods: Any) -> DirectorChange:
    """A listener whose connections have some methods replaced."""
    kind: Any = type("Mutated", (ClientConnection,), methods)

    def change(director: Director) -> None:
        director.front.connection_type = kind

    return change


def change_endpoint_list(
    change: Callable[[api.EndpointList], api.EndpointList], late_s: float = 0.0
) -> DirectorChange:
    """Endpoint lists changed on their way to the director, or delayed."""

    def patch(director: Director) -> None:
        told = director.exchange.update_servers

        def listed(servers: api.EndpointList, *more: Any) -> None:
            if late_s and servers.kind is not api.EndpointListKind.PERSISTED:
                asyncio.get_running_loop().call_later(late_s, told, change(servers), *more)
            else:
                told(change(servers), *more)

        director.exchange.update_servers = listed  # type: ignore[method-assign, assignment]

    return patch


def all_ready(told: api.EndpointList) -> api.EndpointList:
    servers = tuple(dataclasses.replace(server, state=api.ServerState.READY) for server in told.servers)
    return dataclasses.replace(told, servers=servers)


def delay_purges(late_s: float | None) -> DirectorChange:
    def patch(director: Director) -> None:
        told = director.exchange.purge

        def purged(event: api.Purge) -> None:
            if late_s is not None:
                asyncio.get_running_loop().call_later(late_s, told, event)

        director.exchange.purge = purged  # type: ignore[method-assign]

    return patch


def omit_rejection(self: ClientConnection, final: FinalAnswer, retry_after_ms: float) -> None:
    self._response_finished()


def reject_twice(self: ClientConnection, final: FinalAnswer, retry_after_ms: float) -> None:
    self._write_status(503, ["Retry-After: 1"])
    ClientConnection.send_final(self, final, retry_after_ms)


def reject_without_retry_after(self: ClientConnection, final: FinalAnswer, retry_after_ms: float) -> None:
    self._write_status(503 if final is FinalAnswer.REJECTED else 502)
    self._response_finished()


def alter_first_byte(
    self: ClientConnection, head: ResponseHead, body: bytes, on_sent: Callable[[], None]
) -> None:
    ClientConnection.send_response(self, head, b"?" + body[1:], on_sent)


def drop_body(self: ClientConnection, head: ResponseHead, body: bytes, on_sent: Callable[[], None]) -> None:
    """The client waits for the rest of the announced length."""
    self._write(self._encode_head(["HTTP/1.1 200 OK", f"Content-Length: {len(body)}"]))
    on_sent()
    self._response_finished()


def repeat_first_half(
    self: ClientConnection, head: ResponseHead, body: bytes, on_sent: Callable[[], None]
) -> None:
    half = body[: len(body) // 2]
    ClientConnection.send_response(self, head, half * 2 + body[len(half) * 2 :], on_sent)


def change_trace_id(self: ClientConnection, ask: ClientRequest) -> None:
    ClientConnection._submit(self, dataclasses.replace(ask, trace_id=ask.trace_id[::-1].replace("0", "f")))


def delay_rejection(self: ClientConnection, final: FinalAnswer, retry_after_ms: float) -> None:
    """A rejection that is sent long after its request's deadline."""
    asyncio.get_running_loop().call_later(9.0, ClientConnection.send_final, self, final, retry_after_ms)


def close_without_rejection(self: ClientConnection, final: FinalAnswer, retry_after_ms: float) -> None:
    """A close in place of a rejection."""
    assert self.transport is not None
    self.transport.close()


def pad_truncated_response(director: Director) -> None:
    """A truncated response passed off as complete: a body that broke off is padded and sent."""
    exchange = director.exchange
    take = exchange._take_response

    def take_padded(attempt: Attempt, status: api.Status) -> None:
        response = attempt.response
        length = response.head.content_length if response is not None else None
        if response is not None and length is not None:
            response.pieces.append(bytes(length - response.received_bytes()))
        take(attempt, api.Status.OK)

    exchange._take_response = take_padded  # type: ignore[method-assign]


def send_second_response(
    self: ClientConnection, head: ResponseHead, body: bytes, on_sent: Callable[[], None]
) -> None:
    ClientConnection.send_response(self, head, body, on_sent)
    self._write(b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n")


def extend_deadline(self: ClientConnection, ask: ClientRequest) -> None:
    """A deadline three times as late as the client's."""
    ClientConnection._submit(self, dataclasses.replace(ask, max_wait_ms=3.0 * ask.max_wait_ms))


LAST: dict[int, bytes] = {}


def swap_bodies(self: ClientConnection, head: ResponseHead, body: bytes, on_sent: Callable[[], None]) -> None:
    """The body of the response before, if it is as long."""
    before = LAST.get(len(body), body)
    LAST[len(body)] = body
    ClientConnection.send_response(self, head, before, on_sent)


def revoke_drains(director: Director) -> None:
    """A drain that is revoked a second after it was published."""
    told = director.exchange.update_servers

    def listed(servers: api.EndpointList, *more: Any) -> None:
        told(servers, *more)
        if servers.kind is not api.EndpointListKind.PERSISTED:
            asyncio.get_running_loop().call_later(1.0, told, all_ready(servers), *more)

    director.exchange.update_servers = listed  # type: ignore[method-assign, assignment]


def make_bids_idempotent(settings: dict[str, Any]) -> None:
    next(cls for cls in settings["classes"] if cls["name"] == "bid")["repeat"] = "repeatable"


def raise_max_attempts(settings: dict[str, Any]) -> None:
    settings["limits"]["most_tries"] = 60


STORE_BREAKS = [
    ScenarioFault(at_s=3.0, kind=ScenarioFaultKind.RESET, duration_s=10.0, target="store", amount=0.7)
]
ALL_RESET = [
    ScenarioFault(at_s=3.0, kind=ScenarioFaultKind.RESET, duration_s=10.0, target=f"box-{number}", amount=1.0)
    for number in range(12)
]
BOXES_BREAK = [
    ScenarioFault(
        at_s=3.0, kind=ScenarioFaultKind.TRUNCATE, duration_s=10.0, target=f"box-{number}", amount=0.5
    )
    for number in range(4)
]
ALL_SILENT = [
    ScenarioFault(at_s=4.0, kind=ScenarioFaultKind.SILENT, duration_s=10.0, target=name)
    for name in (*(f"box-{number}" for number in range(4)), "hub-0", "hub-1", "store")
]
CROWD = TrafficTable(requests_per_s=120.0, objects=60)
BIDS = TrafficTable(requests_per_s=30.0, objects=60, class_shares={"bid": 1.0})

MUTANTS = (
    Mutant("a drain ignored", "drains kept", build_scenario(DRAIN), change_endpoint_list(all_ready)),
    Mutant(
        "a drain applied late",
        "drains kept",
        build_scenario(DRAIN),
        change_endpoint_list(lambda told: told, 2.0),
    ),
    Mutant("a purge forgotten", "purges kept", build_scenario(PURGE), delay_purges(None)),
    Mutant("a purge applied late", "purges kept", build_scenario(PURGE), delay_purges(3.0)),
    Mutant(
        "a bid sent again",
        "no double effect",
        build_scenario(STORE_BREAKS, traffic=BIDS),
        None,
        with_settings(make_bids_idempotent),
    ),
    Mutant(
        "a rejection not sent",
        "one final answer",
        build_scenario([], FULL, CROWD),
        change_connections(send_final=omit_rejection),
    ),
    Mutant(
        "a rejection sent twice",
        "one final answer",
        build_scenario([], FULL, CROWD),
        change_connections(send_final=reject_twice),
    ),
    Mutant(
        "a rejection delayed",
        "one final answer",
        build_scenario([], FULL, CROWD),
        change_connections(send_final=delay_rejection),
    ),
    Mutant(
        "a rejection without Retry-After",
        "refusals worded",
        build_scenario([], FULL, CROWD),
        change_connections(send_final=reject_without_retry_after),
    ),
    Mutant(
        "an answer altered",
        "answers were made",
        build_scenario([]),
        change_connections(send_response=alter_first_byte),
    ),
    Mutant(
        "an answer out of two halves",
        "answers were made",
        build_scenario([]),
        change_connections(send_response=repeat_first_half),
    ),
    Mutant(
        "an answer without its body",
        "one final answer",
        build_scenario([]),
        change_connections(send_response=drop_body),
    ),
    Mutant("a drain taken back", "drains kept", build_scenario(DRAIN), revoke_drains),
    Mutant(
        "a close in place of a rejection",
        "one final answer",
        build_scenario([], FULL, CROWD),
        change_connections(send_final=close_without_rejection),
    ),
    Mutant(
        "a truncated response passed off as complete",
        "answers were made",
        build_scenario(BOXES_BREAK),
        pad_truncated_response,
    ),
    Mutant(
        "two answers to one request",
        "one final answer",
        build_scenario([]),
        change_connections(send_response=send_second_response),
    ),
    Mutant(
        "a deadline overrated",
        "one final answer",
        build_scenario(ALL_SILENT),
        change_connections(_submit=extend_deadline),
    ),
    Mutant(
        "another's answer",
        "answers were made",
        build_scenario([]),
        change_connections(send_response=swap_bodies),
    ),
    Mutant(
        "another's id", "nothing invented", build_scenario([]), change_connections(_submit=change_trace_id)
    ),
    Mutant(
        "attempts without end",
        "attempts bounded",
        build_scenario(ALL_RESET, FleetTable(caches=12)),
        None,
        with_settings(raise_max_attempts),
    ),
)
