"""One upstream's exchange: its core, its pool, and nginx's words on what is tried again and who is left."""

from __future__ import annotations

from collections.abc import Callable

from .. import interface as api
from ..core.counters import Counters
from ..core.deadlines import DeadlineKey, Deadlines
from ..core.exchange import Attempt, AttemptResult, Exchange, FinalAnswer
from ..upstream.pool import ConnectionPool
from .plan import Plan
from .wire import WebAsk, WebEnd

CONDITIONS = {
    api.Status.CONNECT_FAILED: "error",
    api.Status.RESET: "error",
    api.Status.TIMEOUT: "timeout",
    api.Status.ERROR: "invalid_header",
}
COUNTED = ("error", "timeout", "invalid_header")  # failures whatever `proxy_next_upstream` says


class Balanced(Exchange):
    """The exchange of one upstream. The core decides; what nginx's terms rule out is ended here at once."""

    def __init__(
        self, plan: Plan, clock: Callable[[], float], deadlines: Deadlines, counters: Counters,
        log: Callable[[str], None],
    ) -> None:  # fmt: skip
        super().__init__(plan.config, clock, deadlines, counters, log)
        self.plan = plan
        self.written: set[int] = set()  # `id`s of attempts that a server has been sent
        self._due: DeadlineKey | None = None
        self.retired = False

    def start(self) -> None:
        """List the servers and begin."""
        assert isinstance(self.upstreams, ConnectionPool)
        ready = self.plan.standby.changes(self.clock())
        servers = self.plan.servers(ready)
        event = api.EndpointList(api.EndpointListKind.PERSISTED, servers)
        self.update_servers(event, dict(self.plan.addresses), {})
        self.upstreams.sweep()

    def retire(self) -> None:
        """Answer what is open and end: no timer of it stays once its last request has gone."""
        assert isinstance(self.upstreams, ConnectionPool)
        self.retired = self.upstreams.is_retired = True
        self.deadlines.drop(self._due)

    def handle_event(self, event: api.Event) -> None:
        if not (self.retired and not self.open_requests and isinstance(event, api.Timer)):
            super().handle_event(event)

    def sent(self, attempt: Attempt) -> None:
        self.written.add(id(attempt))
        self.plan.standby.sent(attempt.order.server)
        ask = attempt.open_request.request
        if isinstance(ask, WebAsk):
            ask.sends += 1
        self._relist()

    def wants_another(self, ask: WebAsk, condition: str) -> bool:
        """Whether an answer of this status is to be tried elsewhere and not to be passed on."""
        terms = ask.landing.terms if ask.landing is not None else None
        return terms is not None and condition in terms.again_on and self._may_again(ask, condition)

    def _may_again(self, ask: WebAsk, condition: str) -> bool:
        """`proxy_next_upstream` with its tries and its time, and whether there is anybody else."""
        landing = ask.landing
        if landing is None or condition not in landing.terms.again_on:
            return False
        terms = landing.terms
        if terms.tries and ask.sends >= terms.tries:
            return False
        if terms.tries_ms and self.clock() - ask.since_ms >= terms.tries_ms:
            return False
        once = ask.class_name.endswith("!") and "non_idempotent" not in terms.again_on
        return not once and ask.sends < len(self.plan.upstream.boxes)

    def attempt_ended(self, attempt: Attempt, end: AttemptResult) -> None:
        taken, ask = attempt.open_request, attempt.open_request.request
        if attempt.number in taken.attempts and isinstance(ask, WebAsk):
            self._note(attempt, end)
            failed = end.status in CONDITIONS
            if failed and not taken.is_answered and taken.serving_attempt is None:
                condition = end.condition if isinstance(end, WebEnd) else CONDITIONS[end.status]
                ask.failed = end.code if isinstance(end, WebEnd) else 504 if condition == "timeout" else 502
                never_sent = end.status is api.Status.CONNECT_FAILED and id(attempt) not in self.written
                again = self._may_again(ask, condition) or (
                    never_sent and "error" in self._again_on(ask) and self._tries_left(ask)
                )
                if not again:
                    self._final(attempt)
        self.written.discard(id(attempt))
        super().attempt_ended(attempt, end)

    def _again_on(self, ask: WebAsk) -> tuple[str, ...]:
        return ask.landing.terms.again_on if ask.landing is not None else ()

    def _tries_left(self, ask: WebAsk) -> bool:
        """What was never sent may go elsewhere whatever its method; the core knows whom it has tried."""
        terms = ask.landing.terms if ask.landing is not None else None
        if terms is None or (terms.tries and ask.sends + 1 >= terms.tries):
            return False
        return not terms.tries_ms or self.clock() - ask.since_ms < terms.tries_ms

    def _final(self, attempt: Attempt) -> None:
        """The file lets nobody try again: the client hears so now, and the core by the attempt's end."""
        taken = attempt.open_request
        self._close(taken)
        self.counters.add("answers.failed")
        taken.client.send_final(FinalAnswer.FAILED, 0.0)

    def _note(self, attempt: Attempt, end: AttemptResult) -> None:
        """What this says of the server, before the core is asked for another: a backup may be wanted now."""
        standby, now, name = self.plan.standby, self.clock(), attempt.order.server
        if name not in standby.health:
            return
        ask = attempt.open_request.request
        condition = end.condition if isinstance(end, WebEnd) else CONDITIONS.get(end.status, "")
        counted = condition in COUNTED or (
            condition not in ("", "http_403", "http_404") and isinstance(ask, WebAsk)
            and condition in self._again_on(ask)
        )  # fmt: skip
        failed = end.status in CONDITIONS and counted
        if id(attempt) in self.written:
            standby.ended(name, failed, now)
        elif end.status in CONDITIONS:
            standby.note(name, failed, now)
        self._relist()

    def _relist(self) -> None:
        """Tell the core who may be sent requests, where that has changed."""
        now = self.clock()
        changed = self.plan.standby.changes(now)
        if changed:
            servers = self.plan.servers(changed)
            places = {server.name: self.plan.addresses[server.name] for server in servers}
            self.update_servers(api.EndpointList(api.EndpointListKind.DELTA, servers), dict(places), {})
        self.deadlines.drop(self._due)
        back = self.plan.standby.next_ms(now)
        self._due = self.deadlines.add(back, self._relist) if back is not None else None
