"""Mutants: directors with one decision or check broken; each must violate the rule that it names."""

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
DRAIN_FAULTS = [
    ScenarioFault(at_s=5.0 + number, kind=ScenarioFaultKind.DRAIN, duration_s=8.0, target=f"box-{number}")
    for number in range(2)
]
PURGE_FAULTS = [
    ScenarioFault(at_s=at, kind=ScenarioFaultKind.PURGE, duration_s=0.0, amount=0.9)
    for at in (5.0, 8.0, 11.0)
]
ONE_SLOT_FLEET = FleetTable(caches=3, parents=1, slots=1)


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
    """Replaces some methods of the director's client connections."""
    mutated_type: Any = type("Mutated", (ClientConnection,), methods)

    def change(director: Director) -> None:
        director.front.connection_type = mutated_type

    return change


def change_endpoint_list(
    change: Callable[[api.EndpointList], api.EndpointList], delay_s: float = 0.0
) -> DirectorChange:
    """Changes, and delays if `delay_s` is not 0, the endpoint lists that the director receives."""

    def patch(director: Director) -> None:
        original_update = director.exchange.update_servers

        def update_changed(servers: api.EndpointList, *more: Any) -> None:
            if delay_s and servers.kind is not api.EndpointListKind.PERSISTED:
                asyncio.get_running_loop().call_later(delay_s, original_update, change(servers), *more)
            else:
                original_update(change(servers), *more)

        director.exchange.update_servers = update_changed  # type: ignore[method-assign, assignment]

    return patch


def mark_all_ready(endpoint_list: api.EndpointList) -> api.EndpointList:
    servers = tuple(
        dataclasses.replace(server, state=api.ServerState.READY) for server in endpoint_list.servers
    )
    return dataclasses.replace(endpoint_list, servers=servers)


def delay_purges(delay_s: float | None) -> DirectorChange:
    """Delays purges by `delay_s`; None drops them."""

    def patch(director: Director) -> None:
        original_purge = director.exchange.purge

        def delayed_purge(event: api.Purge) -> None:
            if delay_s is not None:
                asyncio.get_running_loop().call_later(delay_s, original_purge, event)

        director.exchange.purge = delayed_purge  # type: ignore[method-assign]

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
    """Sends only the head, so that the client waits for a body of the announced length."""
    self._write(self._encode_head(["HTTP/1.1 200 OK", f"Content-Length: {len(body)}"]))
    on_sent()
    self._response_finished()


def repeat_first_half(
    self: ClientConnection, head: ResponseHead, body: bytes, on_sent: Callable[[], None]
) -> None:
    half = body[: len(body) // 2]
    ClientConnection.send_response(self, head, half * 2 + body[len(half) * 2 :], on_sent)


def change_trace_id(self: ClientConnection, request: ClientRequest) -> None:
    ClientConnection._submit(
        self, dataclasses.replace(request, trace_id=request.trace_id[::-1].replace("0", "f"))
    )


def delay_rejection(self: ClientConnection, final: FinalAnswer, retry_after_ms: float) -> None:
    """Sends a rejection long after its request's deadline."""
    asyncio.get_running_loop().call_later(9.0, ClientConnection.send_final, self, final, retry_after_ms)


def close_without_rejection(self: ClientConnection, final: FinalAnswer, retry_after_ms: float) -> None:
    """Closes the connection in place of sending a rejection."""
    assert self.transport is not None
    self.transport.close()


def pad_truncated_response(director: Director) -> None:
    """Sends a truncated response as a complete one: its body is padded to the announced length."""
    exchange = director.exchange
    take = exchange._take_response

    def take_padded(attempt: Attempt, status: api.Status) -> None:
        response = attempt.response
        length = response.head.content_length if response is not None else None
        if response is not None and length is not None:
            response.add(bytes(length - response.received_bytes()))
        take(attempt, api.Status.OK)

    exchange._take_response = take_padded  # type: ignore[method-assign]


def send_second_response(
    self: ClientConnection, head: ResponseHead, body: bytes, on_sent: Callable[[], None]
) -> None:
    ClientConnection.send_response(self, head, body, on_sent)
    self._write(b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n")


def extend_deadline(self: ClientConnection, request: ClientRequest) -> None:
    """Multiplies the client's longest wait by three."""
    ClientConnection._submit(self, dataclasses.replace(request, max_wait_ms=3.0 * request.max_wait_ms))


LAST_BODIES: dict[int, bytes] = {}


def swap_bodies(self: ClientConnection, head: ResponseHead, body: bytes, on_sent: Callable[[], None]) -> None:
    """Sends the body of the previous response of the same length."""
    previous_body = LAST_BODIES.get(len(body), body)
    LAST_BODIES[len(body)] = body
    ClientConnection.send_response(self, head, previous_body, on_sent)


def revoke_drains(director: Director) -> None:
    """Revokes a drain a second after it was published."""
    original_update = director.exchange.update_servers

    def update_and_revoke(servers: api.EndpointList, *more: Any) -> None:
        original_update(servers, *more)
        if servers.kind is not api.EndpointListKind.PERSISTED:
            asyncio.get_running_loop().call_later(1.0, original_update, mark_all_ready(servers), *more)

    director.exchange.update_servers = update_and_revoke  # type: ignore[method-assign, assignment]


def make_bids_idempotent(settings: dict[str, Any]) -> None:
    next(cls for cls in settings["classes"] if cls["name"] == "bid")["repeat"] = "repeatable"


def raise_max_attempts(settings: dict[str, Any]) -> None:
    settings["limits"]["most_tries"] = 60


STORE_RESETS = [
    ScenarioFault(at_s=3.0, kind=ScenarioFaultKind.RESET, duration_s=10.0, target="store", amount=0.7)
]
ALL_CACHES_RESET = [
    ScenarioFault(at_s=3.0, kind=ScenarioFaultKind.RESET, duration_s=10.0, target=f"box-{number}", amount=1.0)
    for number in range(12)
]
CACHES_TRUNCATE = [
    ScenarioFault(
        at_s=3.0, kind=ScenarioFaultKind.TRUNCATE, duration_s=10.0, target=f"box-{number}", amount=0.5
    )
    for number in range(4)
]
ALL_UNRESPONSIVE = [
    ScenarioFault(at_s=4.0, kind=ScenarioFaultKind.UNRESPONSIVE, duration_s=10.0, target=name)
    for name in (*(f"box-{number}" for number in range(4)), "hub-0", "hub-1", "store")
]
OVERLOAD_TRAFFIC = TrafficTable(requests_per_s=120.0, objects=60)
BID_TRAFFIC = TrafficTable(requests_per_s=30.0, objects=60, class_shares={"bid": 1.0})

MUTANTS = (
    Mutant(
        "a drain ignored", "drains kept", build_scenario(DRAIN_FAULTS), change_endpoint_list(mark_all_ready)
    ),
    Mutant(
        "a drain applied late",
        "drains kept",
        build_scenario(DRAIN_FAULTS),
        change_endpoint_list(lambda endpoint_list: endpoint_list, 2.0),
    ),
    Mutant("a purge dropped", "purges kept", build_scenario(PURGE_FAULTS), delay_purges(None)),
    Mutant("a purge applied late", "purges kept", build_scenario(PURGE_FAULTS), delay_purges(3.0)),
    Mutant(
        "a bid retried",
        "no double effect",
        build_scenario(STORE_RESETS, traffic=BID_TRAFFIC),
        None,
        with_settings(make_bids_idempotent),
    ),
    Mutant(
        "a rejection not sent",
        "one final answer",
        build_scenario([], ONE_SLOT_FLEET, OVERLOAD_TRAFFIC),
        change_connections(send_final=omit_rejection),
    ),
    Mutant(
        "a rejection sent twice",
        "one final answer",
        build_scenario([], ONE_SLOT_FLEET, OVERLOAD_TRAFFIC),
        change_connections(send_final=reject_twice),
    ),
    Mutant(
        "a rejection delayed",
        "one final answer",
        build_scenario([], ONE_SLOT_FLEET, OVERLOAD_TRAFFIC),
        change_connections(send_final=delay_rejection),
    ),
    Mutant(
        "a rejection without Retry-After",
        "refusals worded",
        build_scenario([], ONE_SLOT_FLEET, OVERLOAD_TRAFFIC),
        change_connections(send_final=reject_without_retry_after),
    ),
    Mutant(
        "a response with an altered byte",
        "answers were made",
        build_scenario([]),
        change_connections(send_response=alter_first_byte),
    ),
    Mutant(
        "a response of two equal halves",
        "answers were made",
        build_scenario([]),
        change_connections(send_response=repeat_first_half),
    ),
    Mutant(
        "a response without its body",
        "one final answer",
        build_scenario([]),
        change_connections(send_response=drop_body),
    ),
    Mutant("a drain revoked", "drains kept", build_scenario(DRAIN_FAULTS), revoke_drains),
    Mutant(
        "a close in place of a rejection",
        "one final answer",
        build_scenario([], ONE_SLOT_FLEET, OVERLOAD_TRAFFIC),
        change_connections(send_final=close_without_rejection),
    ),
    Mutant(
        "a truncated response sent as complete",
        "answers were made",
        build_scenario(CACHES_TRUNCATE),
        pad_truncated_response,
    ),
    Mutant(
        "two responses to one request",
        "one final answer",
        build_scenario([]),
        change_connections(send_response=send_second_response),
    ),
    Mutant(
        "a deadline extended",
        "one final answer",
        build_scenario(ALL_UNRESPONSIVE),
        change_connections(_submit=extend_deadline),
    ),
    Mutant(
        "the response of another request",
        "answers were made",
        build_scenario([]),
        change_connections(send_response=swap_bodies),
    ),
    Mutant(
        "a changed trace id",
        "nothing invented",
        build_scenario([]),
        change_connections(_submit=change_trace_id),
    ),
    Mutant(
        "attempts without a limit",
        "attempts bounded",
        build_scenario(ALL_CACHES_RESET, FleetTable(caches=12)),
        None,
        with_settings(raise_max_attempts),
    ),
)
