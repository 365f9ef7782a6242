"""The exchange: open requests, their attempts, and the calls of the decision module.

The exchange is independent of wire formats. It passes events to the decision module, carries out the actions
of the module and enforces the deadlines. It guarantees, whatever the module does, that every accepted request
gets exactly one final answer. It also maintains the invariant of `response_buffer`: bytes of a response are
sent to a client only when the director can finish it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from .. import interface as api
from ..config.platform import Address, PlatformConfig
from ..policy import Dispatcher
from ..registry.execution_log import NOT_RUN_STATUSES
from .counters import Counters
from .deadlines import Deadlines
from .exchange_types import (
    Attempt,
    AttemptResult,
    ClientRequest,
    FinalAnswer,
    OpenRequest,
    ResolveResponder,
    ResponseHead,
    ResponseWriter,
    UpstreamPool,
)
from .final_deadlines import FinalDeadlines
from .memory_ledger import MemoryLedger
from .outcome_counters import Outcome, outcome_counter
from .request_log import RequestLog
from .resolutions import Resolutions
from .response_buffer import ResponseBudget, ResponseBuffer
from .server_maintenance import maintain_server, update_pool

if TYPE_CHECKING:  # loaded only where another process may serve as well
    from .shared_executions import SharedExecutions

__all__ = [
    "Attempt", "AttemptResult", "ClientRequest", "Exchange", "FinalAnswer", "OpenRequest", "ResolveResponder",
    "ResponseHead", "ResponseWriter", "UpstreamPool",
]  # fmt: skip

LOOP_ITERATION_MS = 20.0  # a usual event-loop iteration is shorter, so input older than this has been read
ANSWER_MARGIN_MS = 60.0  # a final answer is due this long before the deadline, as a busy loop adds delay


class Exchange:
    """Connects client side, server side and decision module; single-threaded, called from the event loop."""

    def __init__(
        self,
        config: PlatformConfig,
        clock: Callable[[], float],
        deadlines: Deadlines,
        counters: Counters,
        log: Callable[[str], None],
        memory: MemoryLedger | None = None,
    ) -> None:
        """Without a ledger to share, the exchange has one of its own."""
        self.memory = memory or MemoryLedger(config.memory_plan())
        self.dispatcher = Dispatcher(config.settings, config.seed)
        self.clock, self.deadlines, self.counters, self.log = clock, deadlines, counters, log
        self.upstreams: UpstreamPool | None = None
        self.open_requests: dict[int, OpenRequest] = {}
        self.unanswered_count = 0  # requests that have no final answer yet
        self.final_deadlines = FinalDeadlines()
        self.resolutions = Resolutions(
            self.dispatcher, clock, deadlines, counters, self.handle_event, self.final_deadlines
        )
        self._events: deque[api.Event] = deque()
        self._last_number, self._is_handling = 0, False
        self._finished: list[int] = []
        self.buffered_requests: list[OpenRequest] | None = None  # accepted, not yet passed to the module
        self.request_log = RequestLog(clock, counters)
        self.shared_executions: SharedExecutions | None = None  # with another process that may serve
        self.response_budget = ResponseBudget(self.memory.responses, self._set_reading)

    # Called by the client side.

    def submit(self, request: ClientRequest, client: ResponseWriter) -> int:
        """Accepts a request; returns the number that identifies it in later calls."""
        self._last_number += 1
        now, number = self.clock(), self._last_number
        opened = self.open_requests[number] = OpenRequest(
            number, request, client, now, now + request.max_wait_ms
        )
        self.unanswered_count += 1
        self.counters.add("requests.taken")
        margin_ms = min(ANSWER_MARGIN_MS, request.max_wait_ms / 8.0)
        opened.deadline_ms = self.final_deadlines.limit(opened.deadline_ms - margin_ms)
        opened.timer = self.deadlines.add(opened.deadline_ms, lambda: self._request_timed_out(opened))
        if self.buffered_requests is not None:
            self.buffered_requests.append(opened)
        else:
            self._pass_to_module(opened, now)
        return number

    def answer_all_by(self, when_ms: float) -> None:
        """Shortens the deadline of every open and future request to `when_ms` or some time before it."""
        self.final_deadlines.latest_ms = when_ms
        self.resolutions.limit_deadlines()
        for opened in [opened for opened in self.open_requests.values() if not opened.is_answered]:
            due_ms = self.final_deadlines.limit(opened.deadline_ms)
            if opened.deadline_ms > due_ms:
                opened.deadline_ms = due_ms
                self.deadlines.drop(opened.timer)
                opened.timer = self.deadlines.add(due_ms, lambda opened=opened: self._fail_at_stop(opened))  # type: ignore[misc]

    def buffer_requests(self) -> None:
        """Buffers new requests until `release_buffered_requests`, as the module may have a stale server list.

        Their deadlines apply meanwhile: a request that reaches its deadline in the buffer fails as usual.
        """
        self.resolutions.buffer()
        if self.buffered_requests is None:
            self.buffered_requests = []

    def release_buffered_requests(self) -> None:
        """Passes buffered requests to the module in order of arrival, with the time that each has left."""
        buffered, self.buffered_requests = self.buffered_requests or [], None
        now = self.clock()
        for opened in buffered:
            if not opened.is_answered:
                self._pass_to_module(opened, now)
        self.resolutions.release()

    def _pass_to_module(self, opened: OpenRequest, now: float) -> None:
        event = opened.to_event(now)
        if self.shared_executions is not None:
            event.earlier_execution = self.shared_executions.find(opened.request, self._class_of(opened))
        self.handle_event(event)

    def _class_of(self, opened: OpenRequest) -> api.RequestClass | None:
        return self.dispatcher.state.classes.get(opened.request.class_name)

    def client_disconnected(self, number: int) -> None:
        """Ends a request whose client has disconnected: it gets no answer and its attempts are cancelled."""
        opened = self.open_requests.get(number)
        if opened is None or opened.is_answered:
            return
        self.counters.add("requests.left_by_client")
        self._close(opened)
        self._forget(opened)
        self._cancel_all(opened)

    def resolve(
        self,
        responder: ResolveResponder,
        max_wait_ms: float,
        make_request: Callable[[int], api.ResolveRequest],
    ) -> None:
        """Has the module name the servers of an object; `responder` gets one answer within `max_wait_ms`."""
        self._last_number += 1
        self.resolutions.add(make_request(self._last_number), responder, max_wait_ms)

    # Called by the server side.

    def may_write(self, attempt: Attempt) -> bool:
        """Whether an attempt may still be sent; called just before its first byte is written.

        Avoids work for a client that disconnected while its request waited. After a long event-loop iteration
        the end of the client's connection may still be unread; therefore the state of the socket is checked
        if the request is older than a usual iteration.
        """
        opened, now = attempt.open_request, self.clock()
        waited_long = now > opened.received_ms + LOOP_ITERATION_MS
        if not opened.is_answered and waited_long and opened.client.is_disconnected():
            self.client_disconnected(opened.number)
        return not opened.is_answered and self.dispatcher.may_write(opened.number, attempt.number, now)

    def claim_execution(self, attempt: Attempt) -> bool:
        """Records that an attempt is written now; False if its request may run at another process."""
        if self.shared_executions is None:
            return True
        opened = attempt.open_request
        return self.shared_executions.claim(opened.request, self._class_of(opened), attempt.decision.server)

    def response_started(self, attempt: Attempt, head: ResponseHead) -> bool:
        """Begins to buffer a successful response; False if it is not needed and its attempt was cancelled."""
        opened = attempt.open_request
        if opened.is_answered:
            self._cancel(attempt)
            return False
        response = attempt.response = ResponseBuffer(head)
        self.request_log.note(opened, "response_started", attempt.number, head.content_length)
        # The attempt's own timeout must not end a response that has begun; the client's deadline applies.
        self.deadlines.drop(attempt.timer)
        attempt.timer = None
        if not self.response_budget.admit(attempt, response):
            self.counters.add("responses.paused")
            self.request_log.note(opened, "response_paused", attempt.number)
        return True

    def response_body(self, attempt: Attempt, data: bytes) -> None:
        """Buffers a piece of the body."""
        if attempt.response is not None:
            attempt.response.add(data)

    def attempt_ended(self, attempt: Attempt, result: AttemptResult) -> None:
        """Records an attempt's end, sends the response if it is complete, and notifies the module."""
        opened = attempt.open_request
        if opened.attempts.pop(attempt.number, None) is None:
            return
        self.deadlines.drop(attempt.timer)
        self.counters.add(f"attempts.{result.status.value}")
        self.request_log.note(opened, "attempt_ended", attempt.number, result.status.value)
        self._take_response(attempt, result.status)
        self._forget(opened)
        if self.shared_executions is not None and result.status in NOT_RUN_STATUSES:
            self.shared_executions.withdraw(opened.request, self._class_of(opened))
        self.handle_event(attempt.to_outcome(result, self.clock()))

    def _take_response(self, attempt: Attempt, status: api.Status) -> None:
        """Sends an ended attempt's response to the client if it is complete, otherwise discards it."""
        opened, response = attempt.open_request, attempt.response
        attempt.response = None
        if response is None:
            return
        self.response_budget.withdraw(attempt)
        if status is api.Status.OK and not opened.is_answered:
            self._deliver(opened, response)
        else:
            self.counters.add("responses.dropped")
            self.request_log.note(opened, "response_dropped", attempt.number, response.received_bytes())
            self.response_budget.release(response)

    def _deliver(self, opened: OpenRequest, response: ResponseBuffer) -> None:
        """Sends a complete response to the client as the final answer."""
        self.counters.add("answers.served")
        self.counters.add(outcome_counter(opened.request.class_name, Outcome.COMPLETED))
        self._close(opened)
        opened.client.send_response(
            response.head, response.take_body(), lambda: self.response_budget.release(response)
        )

    # Called by the coordinator's feed.

    def update_servers(
        self, event: api.EndpointList, addresses: dict[str, Address | None], models: Mapping[str, str]
    ) -> None:
        """Applies a watch event: addresses go to the connection pool, servers to the module."""
        if self.upstreams is not None:
            update_pool(self.upstreams, self.dispatcher.state.registry, event, addresses, models)
        self.handle_event(event)

    def purge(self, event: api.Purge) -> None:
        """Passes a purge of an object or a group to the module."""
        self.handle_event(event)

    # The decision module.

    def handle_event(self, event: api.Event) -> None:
        """Passes an event to the module and carries out the resulting actions.

        Not recursive: an event that is caused during an action is queued until the action is done.
        """
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                for action in self.dispatcher.handle(self.clock(), self._events.popleft()):
                    self._carry_out(action)
        finally:
            self._is_handling = False
        while self._finished:
            self.open_requests.pop(self._finished.pop(), None)

    def _carry_out(self, action: api.Action) -> None:
        match action:
            case api.Lookup() | api.Fetch():
                self._start(action)
            case api.Resolved():
                self._answer_resolution(action)
            case api.Reject():
                self._reject(action)
            case api.Fail():
                self._finish(action.id, FinalAnswer.FAILED, "decided")
            case api.Cancel():
                self._cancel_attempt(action)
            case api.SetTimer():
                self._set_timer(action)
            case api.Log():
                self.log(action.line)
            case api.HealthCheck() | api.CloseIdle():
                assert self.upstreams is not None
                maintain_server(action, self.upstreams, self.counters, self.handle_event)
            case api.NotifyPeers() | api.Watch() | api.FetchEndpoints():
                self.counters.add("module.action_without_use")  # no peers exist; the endpoint list is pushed

    def _answer_resolution(self, action: api.Resolved) -> None:
        assert self.upstreams is not None
        self.resolutions.answer(action, self.upstreams.address)

    def _reject(self, action: api.Reject) -> None:
        if action.id in self.resolutions.open:
            self.resolutions.reject(action.id)
        else:
            self._finish(action.id, FinalAnswer.REJECTED, "decided", action.retry_after_ms)

    def _cancel_attempt(self, action: api.Cancel) -> None:
        opened = self.open_requests.get(action.id)
        if opened is not None and action.attempt in opened.attempts:
            self._cancel(opened.attempts[action.attempt])

    def _set_timer(self, action: api.SetTimer) -> None:
        timer = api.Timer(action.token)
        self.deadlines.add(self.clock() + action.delay_ms, lambda: self.handle_event(timer))

    def _start(self, decision: api.Lookup | api.Fetch) -> None:
        assert self.upstreams is not None
        opened, now = self.open_requests[decision.id], self.clock()
        deadline_ms = opened.deadline_ms
        has_own_timeout = 0.0 < decision.timeout_ms < deadline_ms - now
        if has_own_timeout:
            deadline_ms = now + decision.timeout_ms
        attempt = Attempt(opened, opened.attempt_count, decision, now, deadline_ms)
        opened.attempt_count += 1
        opened.attempts[attempt.number] = attempt
        self.request_log.note(opened, "attempt", attempt.number, decision.server, type(decision).__name__)
        if opened.is_answered:  # the module has not handled the event of its end yet
            return self.attempt_ended(attempt, AttemptResult(api.Status.NOT_SENT))
        if has_own_timeout:  # otherwise the request's own deadline ends it
            attempt.timer = self.deadlines.add(deadline_ms, lambda: self._stop(attempt, api.Status.TIMEOUT))
        self.upstreams.start(attempt)

    def _set_reading(self, attempt: Attempt, on: bool) -> None:
        assert self.upstreams is not None
        self.upstreams.set_reading(attempt, on)

    def _cancel(self, attempt: Attempt) -> None:
        self._stop(attempt, api.Status.CANCELLED)

    def _stop(self, attempt: Attempt, status: api.Status) -> None:
        assert self.upstreams is not None
        self.upstreams.cancel(attempt)
        self.attempt_ended(attempt, AttemptResult(status))

    # The end of a request.

    def _finish(self, number: int, final: FinalAnswer, reason: str, retry_after_ms: float = 0.0) -> None:
        opened = self.open_requests.get(number)
        if opened is None or opened.is_answered:
            return
        self._close(opened)
        self.request_log.ended(opened, final.name.lower(), reason)
        self.counters.add(f"answers.{final.value}")
        outcome = Outcome.REJECTED if final is FinalAnswer.REJECTED else Outcome.FAILED
        self.counters.add(outcome_counter(opened.request.class_name, outcome))
        opened.client.send_final(final, retry_after_ms)
        self._forget(opened)

    def _fail_at_stop(self, opened: OpenRequest) -> None:
        """Fails a request at shutdown, before its own deadline, until which the module would retry."""
        if not opened.is_answered:
            self.counters.add("requests.ended_by_stop")
            self._finish(opened.number, FinalAnswer.FAILED, "shutdown")
            self._cancel_all(opened)

    def _cancel_all(self, opened: OpenRequest) -> None:
        """Notifies the module that a request has ended, and cancels its attempts."""
        self.handle_event(api.ClientDisconnected(opened.number))
        for attempt in list(opened.attempts.values()):
            self._cancel(attempt)

    def _request_timed_out(self, opened: OpenRequest) -> None:
        """Ends all attempts at the deadline, after which the module decides the final answer.

        If the request still has no final answer then, it fails here: every request must get one. A response
        that is being received has the client's whole time, without `ANSWER_MARGIN_MS`.
        """
        self.request_log.note(opened, "deadline")
        last_ms = min(opened.received_ms + opened.request.max_wait_ms, self.final_deadlines.latest_ms)
        is_receiving = any(attempt.response is not None for attempt in opened.attempts.values())
        if is_receiving and self.clock() < last_ms:
            opened.deadline_ms = last_ms
            opened.timer = self.deadlines.add(last_ms, lambda: self._request_timed_out(opened))
            return
        for attempt in list(opened.attempts.values()):
            self._stop(attempt, api.Status.TIMEOUT)
        if not opened.is_answered:
            self.counters.add("requests.ended_as_last_resort")
            self._finish(opened.number, FinalAnswer.FAILED, "deadline")
            self.handle_event(api.ClientDisconnected(opened.number))

    def _close(self, opened: OpenRequest) -> None:
        opened.is_answered = True
        self.unanswered_count -= 1
        self.deadlines.drop(opened.timer)

    def _forget(self, opened: OpenRequest) -> None:
        """Marks an ended request without attempts, to be removed once the module has handled its events."""
        if opened.is_answered and not opened.attempts:
            self._finished.append(opened.number)
