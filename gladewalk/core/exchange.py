"""Where client side and server side meet: open requests, their attempts, and the decision module's turn.

The exchange knows no wire. It gives the module its events, carries out the module's actions, holds the
deadlines, and keeps one promise by itself: every request that was taken gets one final answer, never two.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Mapping, Sequence

from .. import interface as api
from ..config.platform import Address, Config
from ..ops.figures import final_counter
from ..policy import Dispatcher
from .counters import Counters
from .deadlines import Deadlines, Key
from .exchange_types import Ask, Asker, Attempt, Client, End, Final, Head, Taken, Upstreams

__all__ = [
    "Ask", "Asker", "Attempt", "Client", "End", "Exchange", "Final", "Head", "Taken", "Upstreams",
]  # fmt: skip

TURN_MS = 20.0  # a turn of the loop takes no longer, as a rule: what came before it has been read
MARGIN_MS = 60.0  # a final answer leaves this long before its deadline: a busy turn of the loop takes as long


class Exchange:
    def __init__(
        self,
        config: Config,
        clock: Callable[[], float],
        deadlines: Deadlines,
        counters: Counters,
        log: Callable[[str], None],
    ) -> None:
        self.core = Dispatcher(config.settings, config.seed)
        self.clock, self.deadlines, self.counters, self.log = clock, deadlines, counters, log
        self.upstreams: Upstreams | None = None
        # Goes on with an answer to a question once what it promises lasts; None: at once.
        self.lasting: Callable[[api.ResolveRequest, Sequence[str], Callable[[], None]], None] | None = None
        self.taken: dict[int, Taken] = {}
        self.owed = 0  # requests without their final answer
        self.asked: dict[int, tuple[api.ResolveRequest, Asker, Key]] = {}  # questions without their answer
        self._numbers = 0
        self._events: deque[api.Event] = deque()
        self._busy = False
        self._over: list[int] = []
        self.last_ms = math.inf  # by when every request has its final answer, whatever its client's patience
        self.held: list[Taken] | None = None  # requests taken that the module is not yet to see

    # What the client side says.

    def take(self, ask: Ask, client: Client) -> int:
        self._numbers += 1
        now, number = self.clock(), self._numbers
        taken = self.taken[number] = Taken(number, ask, client, now, now + ask.wait_ms)
        self.owed += 1
        self.counters.add("requests.taken")
        taken.deadline_ms = min(self.last_ms, taken.deadline_ms - min(MARGIN_MS, ask.wait_ms / 8.0))
        taken.due = self.deadlines.add(taken.deadline_ms, lambda: self._time_up(taken))
        if self.held is not None:
            self.held.append(taken)
        else:
            self._offer(taken, now)
        return number

    def end_by(self, when_ms: float) -> None:
        """All that is open, and what comes yet, has its final answer by then."""
        self.last_ms = when_ms
        for taken in [taken for taken in self.taken.values() if not taken.answered]:
            if taken.deadline_ms > when_ms:
                taken.deadline_ms = when_ms
                self.deadlines.drop(taken.due)
                taken.due = self.deadlines.add(when_ms, lambda taken=taken: self._cut_short(taken))  # type: ignore[misc]

    def hold(self) -> None:
        """Requests wait for `release` before the module sees them: it may know less than has been told.

        Their deadlines run meanwhile; one that falls due is failed as ever.
        """
        if self.held is None:
            self.held = []

    def release(self) -> None:
        """The module sees the requests held, in their order, with the time that they have left now."""
        held, self.held = self.held or [], None
        now = self.clock()
        for taken in held:
            if not taken.answered:
                self._offer(taken, now)

    def _offer(self, taken: Taken, now: float) -> None:
        ask = taken.ask
        self.feed(
            api.Request(
                id=taken.number,
                class_name=ask.class_name,
                key=ask.key,
                time_left_ms=taken.deadline_ms - now,
                size_kb=ask.size_kb,
                group=ask.group,
                part=ask.part,
                is_client_retry=ask.is_retry,
                is_write=ask.method == "PUT",
                idempotency_key=ask.replay_key,
            )
        )

    def gone(self, number: int) -> None:
        """The client stopped waiting: nothing is owed, and no work shall go on for it."""
        taken = self.taken.get(number)
        if taken is None or taken.answered:
            return
        self.counters.add("requests.left_by_client")
        self._close(taken)
        self._forget(taken)
        self._call_off(taken)

    def flow(self, number: int, on: bool) -> None:
        """The client's connection is full, or has room again: so the cache's answer waits, or goes on."""
        taken = self.taken.get(number)
        if taken is not None and taken.winner is not None and self.upstreams is not None:
            self.upstreams.flow(taken.winner, on)

    def locate(self, asker: Asker, wait_ms: float, ask: Callable[[int], api.ResolveRequest]) -> None:
        """Where to fetch an object: one answer, at once or by the deadline."""
        self._numbers += 1
        number, question = self._numbers, ask(self._numbers)
        self.counters.add("locates.taken")
        due = self.deadlines.add(self.clock() + wait_ms, lambda: self._locate_late(number))
        self.asked[number] = (question, asker, due)
        self.feed(question)

    def _locate_late(self, number: int) -> None:
        self.counters.add("locates.late")
        self._refuse_locate(number)
        self.feed(api.ClientDisconnected(number))

    def _refuse_locate(self, number: int) -> None:
        _, asker, due = self.asked.pop(number)
        self.deadlines.drop(due)
        asker.refused()

    def _name(self, action: api.Resolved) -> None:
        if self.lasting is not None and action.servers:
            return self.lasting(self.asked[action.id][0], action.servers, lambda: self._answer_named(action))
        self._answer_named(action)

    def _answer_named(self, action: api.Resolved) -> None:
        if action.id not in self.asked:  # its time was up while its lease was written
            return
        assert self.upstreams is not None
        question, asker, due = self.asked[action.id]
        boxes = []
        for server in action.servers:
            if not self.core.may_name(question, server):
                return self.feed(question)  # a drain or a purge was told since: it is decided anew
            if (address := self.upstreams.address(server)) is not None:
                boxes.append((server, address))
        del self.asked[action.id]
        self.deadlines.drop(due)
        self.counters.add("locates.named")
        asker.named(boxes, action.ttl_ms)

    # What the server side says.

    def may_write(self, attempt: Attempt) -> bool:
        """Asked as an attempt's first byte is written.

        Guards against work for a client that left while its request waited: its end may lie unread behind a
        long turn of the loop, so that who waited longer than a turn takes is asked.
        """
        taken, now = attempt.taken, self.clock()
        if not taken.answered and now > taken.since_ms + TURN_MS and taken.client.has_left():
            self.gone(taken.number)
        return not taken.answered and self.core.may_write(taken.number, attempt.number, now)

    def head(self, attempt: Attempt, head: Head) -> bool:
        """A good answer begins. False: it is not wanted, and the attempt has been ended."""
        taken = attempt.taken
        if taken.answered or taken.winner is not None:
            self._cancel(attempt)
            return False
        taken.winner = attempt
        # Guards against a cut of our own midway: what has begun has until its client's deadline.
        self.deadlines.drop(attempt.due)
        attempt.due = None
        taken.client.begin(head)
        self.feed(
            api.FirstByte(taken.number, attempt.number, attempt.order.server, self.clock() - attempt.sent_ms)
        )
        return True

    def body(self, attempt: Attempt, data: bytes) -> None:
        if attempt.taken.winner is attempt and not attempt.taken.answered:
            attempt.taken.client.body(data)

    def ended(self, attempt: Attempt, end: End) -> None:
        taken = attempt.taken
        if taken.out.pop(attempt.number, None) is None:
            return
        self.deadlines.drop(attempt.due)
        self.counters.add(f"attempts.{end.status.value}")
        if taken.winner is attempt and not taken.answered:
            whole = end.status is api.Status.OK
            self.counters.add("answers.served" if whole else "answers.cut")
            self.counters.add(final_counter(taken.ask.class_name, "completed" if whole else "failed"))
            self._close(taken)
            if whole:
                taken.client.end()
            else:
                taken.client.cut()
        self._forget(taken)
        self.feed(
            api.Outcome(
                id=taken.number,
                attempt=attempt.number,
                server=attempt.order.server,
                status=end.status,
                elapsed_ms=self.clock() - attempt.sent_ms,
                is_answered=taken.answered,
                detail=end.note,
                source_wait_ms=end.waited_ms,
                load_report=end.load,
            )
        )

    # What the coordinator says.

    def listed(
        self, event: api.EndpointList, addresses: dict[str, Address | None], models: Mapping[str, str]
    ) -> None:
        if self.upstreams is not None:
            if event.kind is not api.EndpointListKind.DELTA:
                self.upstreams.keep_only(addresses)
            for name, address in addresses.items():
                self.upstreams.locate(name, address, models.get(name, ""))
        self.feed(event)

    def purged(self, purge: api.Purge) -> None:
        self.feed(purge)

    # The module's turn.

    def feed(self, event: api.Event) -> None:
        """Give the module an event; what its actions bring about at once waits until they are done."""
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                for action in self.core.handle(self.clock(), self._events.popleft()):
                    self._carry_out(action)
        finally:
            self._busy = False
        while self._over:
            self.taken.pop(self._over.pop(), None)

    def _carry_out(self, action: api.Action) -> None:
        assert self.upstreams is not None
        match action:
            case api.Lookup() | api.Fetch():
                self._start(action)
            case api.Resolved():
                if action.id in self.asked:
                    self._name(action)
            case api.Reject() if action.id in self.asked:
                self._refuse_locate(action.id)
            case api.Reject():
                self._finish(action.id, Final.REFUSED, action.retry_after_ms)
            case api.Fail():
                self._finish(action.id, Final.FAILED)
            case api.Cancel():
                taken = self.taken.get(action.id)
                if taken is not None and action.attempt in taken.out:
                    self._cancel(taken.out[action.attempt])
            case api.SetTimer():
                token = action.token
                self.deadlines.add(self.clock() + action.delay_ms, lambda: self.feed(api.Timer(token)))
            case api.HealthCheck():
                name = action.server
                self.counters.add("probes.sent")
                self.upstreams.probe(
                    name,
                    lambda status, took, load: self.feed(api.HealthCheckResult(name, status, took, load)),
                )
            case api.CloseIdle():
                self.upstreams.close_idle(action.server)
            case api.Log():
                self.log(action.line)
            case api.NotifyPeers() | api.Watch() | api.FetchEndpoints():
                self.counters.add("module.action_without_use")  # no peers here, and the list is pushed

    def _start(self, order: api.Lookup | api.Fetch) -> None:
        assert self.upstreams is not None
        taken, now = self.taken[order.id], self.clock()
        deadline = taken.deadline_ms
        own_limit = 0.0 < order.timeout_ms < deadline - now
        if own_limit:
            deadline = now + order.timeout_ms
        attempt = Attempt(taken, taken.sends, order, now, deadline)
        taken.sends += 1
        taken.out[attempt.number] = attempt
        if taken.answered:  # its end is among the events that the module has yet to see
            return self.ended(attempt, End(api.Status.NOT_SENT))
        if own_limit:  # else the request's own deadline ends it
            attempt.due = self.deadlines.add(deadline, lambda: self._stop(attempt, api.Status.TIMEOUT))
        self.upstreams.start(attempt)

    def _cancel(self, attempt: Attempt) -> None:
        self._stop(attempt, api.Status.CANCELLED)

    def _stop(self, attempt: Attempt, status: api.Status) -> None:
        assert self.upstreams is not None
        self.upstreams.stop(attempt)
        self.ended(attempt, End(status))

    # The end of a request.

    def _finish(self, number: int, final: Final, retry_after_ms: float = 0.0) -> None:
        taken = self.taken.get(number)
        if taken is None or taken.answered:
            return
        self._close(taken)
        if taken.winner is not None:
            self.counters.add("answers.cut")
            self.counters.add(final_counter(taken.ask.class_name, "failed"))
            taken.client.cut()
        else:
            self.counters.add(f"answers.{final.value}")
            end = "rejected" if final is Final.REFUSED else "failed"
            self.counters.add(final_counter(taken.ask.class_name, end))
            taken.client.finish(final, retry_after_ms)
        self._forget(taken)

    def _cut_short(self, taken: Taken) -> None:
        """The director's own end comes before the deadline that the module knows: it would try on."""
        if not taken.answered:
            self.counters.add("requests.ended_by_stop")
            self._finish(taken.number, Final.FAILED)
            self._call_off(taken)

    def _call_off(self, taken: Taken) -> None:
        """No work shall go on for a request that is over."""
        self.feed(api.ClientDisconnected(taken.number))
        for attempt in list(taken.out.values()):
            self._cancel(attempt)

    def _time_up(self, taken: Taken) -> None:
        """The client's deadline: what is out ends as late, on which the module gives its final answer.

        Guards against a request that nobody answers: one that is still open then is failed here.
        """
        for attempt in list(taken.out.values()):
            self._stop(attempt, api.Status.TIMEOUT)
        if not taken.answered:
            self.counters.add("requests.ended_as_last_resort")
            self._finish(taken.number, Final.FAILED)
            self.feed(api.ClientDisconnected(taken.number))

    def _close(self, taken: Taken) -> None:
        taken.answered = True
        self.owed -= 1
        self.deadlines.drop(taken.due)

    def _forget(self, taken: Taken) -> None:
        """All is over; kept until the module has heard of it, as it may still send for the request."""
        if taken.answered and not taken.out:
            taken.winner = None  # the two refer to each other: no work for the collector
            self._over.append(taken.number)
