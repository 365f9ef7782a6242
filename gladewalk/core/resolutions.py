"""Open resolve requests, which ask for the servers to fetch an object from. Each gets one answer."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial

from .. import interface as api
from ..config.platform import Address
from ..policy import Dispatcher
from .counters import Counters
from .deadlines import DeadlineKey, Deadlines
from .exchange_types import ResolveResponder
from .final_deadlines import FinalDeadlines

PersistResolution = Callable[[api.ResolveRequest, Sequence[str], Callable[[], None]], None]
AddressOf = Callable[[str], Address | None]


@dataclass(slots=True)
class OpenResolution:
    """A resolve request that has no answer yet."""

    request: api.ResolveRequest
    responder: ResolveResponder
    timer: DeadlineKey


class Resolutions:
    """Keeps open resolve requests by number, and gives each of them one answer by its deadline."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        clock: Callable[[], float],
        deadlines: Deadlines,
        counters: Counters,
        handle_event: Callable[[api.Event], None],
        final_deadlines: FinalDeadlines,
    ) -> None:
        self.dispatcher, self.clock, self.deadlines, self.counters = dispatcher, clock, deadlines, counters
        self.open: dict[int, OpenResolution] = {}
        # Makes the leases of an answer durable, then calls back; None: answers are sent at once.
        self.persist: PersistResolution | None = None
        self._handle_event, self._final_deadlines = handle_event, final_deadlines
        self._buffered: list[int] | None = None  # numbers of requests not yet passed to the decision module

    def add(self, request: api.ResolveRequest, responder: ResolveResponder, max_wait_ms: float) -> None:
        """Passes a request to the decision module; `responder` gets one answer within `max_wait_ms`.

        While requests are buffered, the module gets it at their release; its time passes meanwhile.
        """
        number = request.id
        self.counters.add("locates.taken")
        due_ms = self._final_deadlines.limit(self.clock() + max_wait_ms)
        timer = self.deadlines.add(due_ms, lambda: self._timed_out(number))
        self.open[number] = OpenResolution(request, responder, timer)
        if self._buffered is not None:
            self._buffered.append(number)
        else:
            self._handle_event(request)

    def limit_deadlines(self) -> None:
        """Shortens the deadline of every open request to the final deadlines of a stop."""
        for number, resolution in self.open.items():
            due_ms = resolution.timer[0]
            limited_ms = self._final_deadlines.limit(due_ms)
            if limited_ms < due_ms:
                self.deadlines.drop(resolution.timer)
                resolution.timer = self.deadlines.add(limited_ms, partial(self._timed_out, number))

    def buffer(self) -> None:
        """Buffers new requests until `release`, as the module may have a stale server list."""
        if self._buffered is None:
            self._buffered = []

    def release(self) -> None:
        """Passes the buffered requests that are still open to the module, in order of arrival."""
        buffered, self._buffered = self._buffered or [], None
        for number in buffered:
            if number in self.open:
                self._handle_event(self.open[number].request)

    def answer(self, action: api.Resolved, address_of: AddressOf) -> None:
        """Sends the module's answer; if there is a store, only after the answer has been persisted."""
        if action.id not in self.open:
            return
        if self.persist is None or not action.servers:
            return self._answer_now(action, address_of)
        request = self.open[action.id].request
        self.persist(request, action.servers, lambda: self._answer_now(action, address_of))

    def reject(self, number: int) -> None:
        """Answers that no server is available at the moment."""
        resolution = self.open.pop(number)
        self.deadlines.drop(resolution.timer)
        resolution.responder.rejected()

    def _timed_out(self, number: int) -> None:
        self.counters.add("locates.late")
        self.reject(number)
        self._handle_event(api.ClientDisconnected(number))

    def _answer_now(self, action: api.Resolved, address_of: AddressOf) -> None:
        if action.id not in self.open:  # the request timed out while its lease was being written
            return
        resolution = self.open[action.id]
        servers = []
        for server in action.servers:
            if not self.dispatcher.may_resolve_to(resolution.request, server):
                return self._handle_event(
                    resolution.request
                )  # a drain or purge since then requires a new decision
            if (address := address_of(server)) is not None:
                servers.append((server, address))
        del self.open[action.id]
        self.deadlines.drop(resolution.timer)
        self.counters.add("locates.named")
        resolution.responder.resolved(servers, action.ttl_ms)
