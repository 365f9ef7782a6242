"""A test environment for one dispatcher: settings, a list of servers and shorthand for events."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from gladewalk import Dispatcher
from gladewalk import interface as api
from gladewalk.registry.records import ServerRecord

PAGE = api.RequestClass("page", latency_objective_ms=400.0, deadline_ms=3000.0, latency_objective_stretch=2.0)
SETTINGS = api.Settings(
    classes=(PAGE,),
    dispatcher_count=2,
    zone="e1",
    zones=("h1", "h2", "e1", "e2"),
    hub_of_zone=(0, 1, 0, 1),
    dispatchers_by_zone=(0, 0, 1, 1),
    max_attempts=6,
    hedging=True,
    may_cancel=True,
    sends_retry_after=True,
    max_retry_after_ms=1000.0,
    sibling_sources=api.SiblingSources.ANY,
    detail_level=api.DetailLevel.ALL,
    slow_start_fraction=0.2,
    slow_start_ms=10_000.0,
    overload_multiple=3.0,
    overload_window_ms=1000.0,
    parent_slow_start_fraction=0.1,
    parent_slow_start_ms=20_000.0,
    parent_overload_multiple=2.0,
    purge_grace_ms=500.0,
    purge_settle_ms=6000.0,
)
CACHES = tuple(api.Server(f"c{n}", api.Role.CACHE, "e1", 8.0) for n in range(3))
SIBLINGS = tuple(api.Server(f"s{n}", api.Role.CACHE, "e2", 8.0) for n in range(2))
PARENTS = (
    api.Server("p1", api.Role.PARENT, "h1", 30.0),
    api.Server("p1b", api.Role.PARENT, "h1", 30.0),
    api.Server("p2", api.Role.PARENT, "h2", 30.0),
)
ORIGIN = api.Server("o", api.Role.ORIGIN, "h1", 10.0)
ALL_SERVERS = (*CACHES, *SIBLINGS, *PARENTS, ORIGIN)


def final_answers(actions: list[Any]) -> list[Any]:
    return [a for a in actions if isinstance(a, api.Reject | api.Fail)]


class DispatcherEnvironment:
    """One dispatcher, its clock and its request ids. Methods return the actions of the dispatcher."""

    def __init__(self, servers: tuple[api.Server, ...] = ALL_SERVERS, seed: int = 1, **changes: Any) -> None:
        self.clock_ms = 100_000.0
        self.dispatcher = Dispatcher(replace(SETTINGS, **changes), seed)
        self.state, self.health = self.dispatcher.state, self.dispatcher.health
        self.next_id = 0
        self.state.random.random = lambda: 0.99  # type: ignore[method-assign]  # no sibling trials
        self.update_endpoints(*servers, kind=api.EndpointListKind.PERSISTED)

    @property
    def servers(self) -> dict[str, ServerRecord]:
        return self.state.registry.servers

    @property
    def own_caches(self) -> list[ServerRecord]:
        return self.state.registry.own_caches

    def set_sibling_trials(self, enabled: bool) -> None:
        self.state.random.random = lambda: 0.0 if enabled else 0.99  # type: ignore[method-assign]

    def handle_event(self, event: api.Event, after_ms: float = 0.0) -> list[Any]:
        self.clock_ms += after_ms
        actions = self.dispatcher.handle(self.clock_ms, event)
        return [a for a in actions if not isinstance(a, api.SetTimer | api.Log)]

    def update_endpoints(
        self, *servers: api.Server, kind: api.EndpointListKind = api.EndpointListKind.DELTA
    ) -> list[Any]:
        return self.handle_event(api.EndpointList(kind, servers))

    def send_request(
        self, key: int = 1, after_ms: float = 0.0, time_left_ms: float = 3000.0, **fields: Any
    ) -> list[Any]:
        self.next_id += 1
        return self.handle_event(api.Request(self.next_id, "page", key, time_left_ms, **fields), after_ms)

    def find_home(self, key: int) -> str:
        """Sends a request for an object and ends it with a hit; returns the server it was sent to."""
        (sent,) = self.send_request(key)
        self.end_attempt(sent, api.Status.OK, detail=api.OutcomeDetail.HIT)
        return str(sent.server)

    def end_attempt(self, sent: Any, status: api.Status, attempt: int = 0, **fields: Any) -> list[Any]:
        elapsed_ms = fields.pop("after_ms", 20.0)
        is_answered = fields.pop("is_answered", status is api.Status.OK)
        return self.handle_event(
            api.Outcome(sent.id, attempt, sent.server, status, elapsed_ms, is_answered, **fields), elapsed_ms
        )

    def start_fill(self, key: int, **fields: Any) -> Any:
        """Sends a request that misses at its home; returns the fetch that fills the object."""
        (lookup,) = self.send_request(key, **fields)
        (fetch,) = self.end_attempt(lookup, api.Status.MISS)
        return fetch

    def sweep(self, after_ms: float = 50.0) -> list[Any]:
        return self.handle_event(api.Timer("sweep"), after_ms)
