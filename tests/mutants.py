"""Directors with one decision or guard taken out, each to be failed by the rule that it breaks."""

from __future__ import annotations

import asyncio
import copy
import dataclasses
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from gladewalk import interface as api
from gladewalk.core.exchange import ClientRequest, FinalAnswer
from gladewalk.director import Director
from gladewalk.net.connection import ClientConnection
from gladewalk.rehearsal.director_harness import SETTINGS
from gladewalk.rehearsal.virtual.scenario import Fault, Fleet, Scenario, Traffic

Change = Callable[[Director], None]
TRAFFIC = Traffic(per_s=30.0, objects=60)
DRAIN = [Fault(at_s=5.0 + n, kind="drain", for_s=8.0, who=f"box-{n}") for n in range(2)]
PURGE = [Fault(at_s=at, kind="purge", for_s=0.0, amount=0.9) for at in (5.0, 8.0, 11.0)]
FULL = Fleet(boxes=3, hubs=1, slots=1)


def scenario(faults: list[Fault], fleet: Fleet | None = None, traffic: Traffic = TRAFFIC) -> Scenario:
    return Scenario(seconds=15.0, fleet=fleet or Fleet(boxes=4), traffic=traffic, fault=faults)


@dataclass(frozen=True)
class Mutant:
    name: str
    rule: str
    scenario: Scenario
    change: Change | None = None
    settings: dict[str, Any] | None = None


def with_settings(change: Callable[[dict[str, Any]], None]) -> dict[str, Any]:
    settings: dict[str, Any] = copy.deepcopy(SETTINGS)
    change(settings)
    return settings


def connection(**methods: Any) -> Change:
    """A front whose connections have some methods replaced."""
    kind: Any = type("Mutated", (ClientConnection,), methods)

    def change(director: Director) -> None:
        director.front.connection_type = kind

    return change


def listing(change: Callable[[api.EndpointList], api.EndpointList], late_s: float = 0.0) -> Change:
    """What is told of servers, changed or late."""

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
    servers = tuple(dataclasses.replace(s, state=api.ServerState.READY) for s in told.servers)
    return dataclasses.replace(told, servers=servers)


def purges(late_s: float | None) -> Change:
    def patch(director: Director) -> None:
        told = director.exchange.purge

        def purged(event: api.Purge) -> None:
            if late_s is not None:
                asyncio.get_running_loop().call_later(late_s, told, event)

        director.exchange.purge = purged  # type: ignore[method-assign]

    return patch


def mute(self: ClientConnection, final: FinalAnswer, retry_after_ms: float) -> None:
    self._response_finished()


def twice(self: ClientConnection, final: FinalAnswer, retry_after_ms: float) -> None:
    self._write_status(503, ["Retry-After: 1"])
    ClientConnection.send_final(self, final, retry_after_ms)


def unworded(self: ClientConnection, final: FinalAnswer, retry_after_ms: float) -> None:
    self._write_status(503 if final is FinalAnswer.REJECTED else 502)
    self._response_finished()


def altered(self: ClientConnection, data: bytes) -> None:
    ClientConnection.write_body(self, b"?" + data[1:])


def swallowed(self: ClientConnection, data: bytes) -> None:
    """The client waits for what was promised, and never comes."""


def cut_twice(self: ClientConnection, data: bytes) -> None:
    ClientConnection.write_body(self, data[: len(data) // 2] * 2 + data[len(data) // 2 * 2 :])


def other_ticket(self: ClientConnection, ask: ClientRequest) -> None:
    ClientConnection._submit(self, dataclasses.replace(ask, trace_id=ask.trace_id[::-1].replace("0", "f")))


def delayed(self: ClientConnection, final: FinalAnswer, retry_after_ms: float) -> None:
    """A refusal sat upon until its request's time is long over."""
    asyncio.get_running_loop().call_later(9.0, ClientConnection.send_final, self, final, retry_after_ms)


def closed(self: ClientConnection, final: FinalAnswer, retry_after_ms: float) -> None:
    """A refusal that its client has to guess."""
    assert self.transport is not None
    self.transport.close()


def padded(self: ClientConnection) -> None:
    """An answer that broke off, passed off as whole."""
    self._write(bytes(100_000))
    self._response_finished()


def end_twice(self: ClientConnection) -> None:
    ClientConnection.end_response(self)
    self._write(b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n")


def patient(self: ClientConnection, ask: ClientRequest) -> None:
    """A request that is waited for three times as long as its client does."""
    ClientConnection._submit(self, dataclasses.replace(ask, max_wait_ms=3.0 * ask.max_wait_ms))


LAST: dict[int, bytes] = {}


def anothers(self: ClientConnection, data: bytes) -> None:
    """The bytes that the one before was given, where they are as many."""
    before = LAST.get(len(data), data)
    LAST[len(data)] = data
    ClientConnection.write_body(self, before)


def undone(director: Director) -> None:
    """A drain that is taken back a second after it was told."""
    told = director.exchange.update_servers

    def listed(servers: api.EndpointList, *more: Any) -> None:
        told(servers, *more)
        if servers.kind is not api.EndpointListKind.PERSISTED:
            asyncio.get_running_loop().call_later(1.0, told, all_ready(servers), *more)

    director.exchange.update_servers = listed  # type: ignore[method-assign, assignment]


def bids_repeat(settings: dict[str, Any]) -> None:
    next(cls for cls in settings["classes"] if cls["name"] == "bid")["repeat"] = "repeatable"


def tries(settings: dict[str, Any]) -> None:
    settings["limits"]["most_tries"] = 60


STORE_BREAKS = [Fault(at_s=3.0, kind="reset", for_s=10.0, who="store", amount=0.7)]
ALL_RESET = [Fault(at_s=3.0, kind="reset", for_s=10.0, who=f"box-{n}", amount=1.0) for n in range(12)]
BOXES_BREAK = [Fault(at_s=3.0, kind="spoil", for_s=10.0, who=f"box-{n}", amount=0.5) for n in range(4)]
ALL_SILENT = [Fault(at_s=4.0, kind="silent", for_s=10.0, who=name) for name in
              (*(f"box-{n}" for n in range(4)), "hub-0", "hub-1", "store")]  # fmt: skip
CROWD = Traffic(per_s=120.0, objects=60)
BIDS = Traffic(per_s=30.0, objects=60, shares={"bid": 1.0})

MUTANTS = (
    Mutant("a drain ignored", "drains kept", scenario(DRAIN), listing(all_ready)),
    Mutant("a drain heard late", "drains kept", scenario(DRAIN), listing(lambda told: told, 2.0)),
    Mutant("a purge forgotten", "purges kept", scenario(PURGE), purges(None)),
    Mutant("a purge heard late", "purges kept", scenario(PURGE), purges(3.0)),
    Mutant("a bid sent again", "no double effect", scenario(STORE_BREAKS, traffic=BIDS), None,
           with_settings(bids_repeat)),
    Mutant("a refusal not said", "one final answer", scenario([], FULL, CROWD), connection(send_final=mute)),
    Mutant("a refusal said twice", "one final answer", scenario([], FULL, CROWD),
           connection(send_final=twice)),
    Mutant("a refusal held back", "one final answer", scenario([], FULL, CROWD),
           connection(send_final=delayed)),
    Mutant("a refusal without Retry-After", "refusals worded", scenario([], FULL, CROWD),
           connection(send_final=unworded)),
    Mutant("an answer altered", "answers were made", scenario([]), connection(write_body=altered)),
    Mutant("an answer out of two halves", "answers were made", scenario([]),
           connection(write_body=cut_twice)),
    Mutant("an answer without its body", "one final answer", scenario([]), connection(write_body=swallowed)),
    Mutant("a drain taken back", "drains kept", scenario(DRAIN), undone),
    Mutant("a refusal as a close", "one final answer", scenario([], FULL, CROWD),
           connection(send_final=closed)),
    Mutant("a broken answer passed off as whole", "answers were made", scenario(BOXES_BREAK),
           connection(abort_response=padded)),
    Mutant("two answers to one request", "one final answer", scenario([]),
           connection(end_response=end_twice)),
    Mutant("a client's patience overrated", "one final answer", scenario(ALL_SILENT),
           connection(_submit=patient)),
    Mutant("another's answer", "answers were made", scenario([]), connection(write_body=anothers)),
    Mutant("another's id", "nothing invented", scenario([]), connection(_submit=other_ticket)),
    Mutant("attempts without end", "attempts bounded", scenario(ALL_RESET, Fleet(boxes=12)), None,
           with_settings(tries)),
)  # fmt: skip
