"""Open resolve requests: which servers a resolver's clients fetch an object from, each answered once."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from .. import interface as api
from ..config.platform import Address
from ..policy import Dispatcher
from .counters import Counters
from .deadlines import DeadlineKey, Deadlines
from .exchange_types import ResolveResponder

PersistResolution = Callable[[api.ResolveRequest, Sequence[str], Callable[[], None]], None]
AddressOf = Callable[[str], Address | None]


@dataclass(slots=True)
class OpenResolution:
    """A resolve request without its answer."""

    question: api.ResolveRequest
    responder: ResolveResponder
    timer: DeadlineKey


class Resolutions:
    """Holds open resolve requests by number, and gives each one answer, by its deadline at the latest."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        clock: Callable[[], float],
        deadlines: Deadlines,
        counters: Counters,
        handle_event: Callable[[api.Event], None],
    ) -> None:
        self.dispatcher, self.clock, self.deadlines, self.counters = dispatcher, clock, deadlines, counters
        self.open: dict[int, OpenResolution] = {}
        # Calls back once what an answer promises is durable; None: answers go out at once.
        self.persist: PersistResolution | None = None
        self._handle_event = handle_event

    def add(self, question: api.ResolveRequest, responder: ResolveResponder, max_wait_ms: float) -> None:
        """Puts a question to the module; `responder` gets one answer within `max_wait_ms`."""
        number = question.id
        self.counters.add("locates.taken")
        timer = self.deadlines.add(self.clock() + max_wait_ms, lambda: self._timed_out(number))
        self.open[number] = OpenResolution(question, responder, timer)
        self._handle_event(question)

    def answer(self, action: api.Resolved, address_of: AddressOf) -> None:
        """Passes on the module's answer, after it is persisted where there is a store."""
        if action.id not in self.open:
            return
        if self.persist is None or not action.servers:
            return self._answer_now(action, address_of)
        question = self.open[action.id].question
        self.persist(question, action.servers, lambda: self._answer_now(action, address_of))

    def reject(self, number: int) -> None:
        """Answers that no server can be named now."""
        resolution = self.open.pop(number)
        self.deadlines.drop(resolution.timer)
        resolution.responder.rejected()

    def _timed_out(self, number: int) -> None:
        self.counters.add("locates.late")
        self.reject(number)
        self._handle_event(api.ClientDisconnected(number))

    def _answer_now(self, action: api.Resolved, address_of: AddressOf) -> None:
        if action.id not in self.open:  # it timed out while its lease was written
            return
        resolution = self.open[action.id]
        servers = []
        for server in action.servers:
            if not self.dispatcher.may_resolve_to(resolution.question, server):
                return self._handle_event(resolution.question)  # drained or purged since: decided again
            if (address := address_of(server)) is not None:
                servers.append((server, address))
        del self.open[action.id]
        self.deadlines.drop(resolution.timer)
        self.counters.add("locates.named")
        resolution.responder.resolved(servers, action.ttl_ms)
