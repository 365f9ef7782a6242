"""The decision module: events come in, actions go out (`interface.py`).

Where a request goes is in `ladder.py`; here is what events bring about, and what is learned from outcomes.
"""

from __future__ import annotations

import math

from .. import interface as api
from ..interface import Idempotency, OutcomeDetail, Role, Status
from ..limits.backoff import BACKOFF_MS, grown, halved
from ..registry.known import PURGE_KEEP_MS, SMOOTH
from ..registry.object_locations import MEMORY_MS
from ..registry.records import Attempt, PendingRequest, ServerRecord
from .health import DOWN_MS
from .ladder import SPARE_MS
from .naming import Naming

PUMP_TRIES = 8  # waiting requests that may find no room before the rest isn't looked at; bounds cost (ours)
SWEEP_MS = 50.0  # how often silence and waiting requests are looked at (ms, ours)


class Dispatcher(Naming):
    """One dispatcher's decisions. `handle` takes an event and gives the actions that answer it."""

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        self.now, self.actions = max(now_ms, self.now), []
        if self.born_ms < 0:
            self.born_ms = self.now
            self._do(api.SetTimer(SWEEP_MS, "sweep"))
            if self.settings.watches_endpoints:
                self._do(api.Watch(True))
        match event:
            case api.Request():
                self._on_request(event)
            case api.Outcome():
                self._on_outcome(event)
            case api.Timer():
                self._on_timer(event)
            case api.EndpointList(kind=api.EndpointListKind.FAILED):
                self._do(api.SetTimer(BACKOFF_MS, "watch"))
            case api.EndpointList():
                self._take_list(event)
                self._pump()
            case api.Purge():
                self.purged.told(event.key, event.group, self.now - event.age_ms)
            case api.ResolveRequest():
                self._on_locate(event)
            case api.FirstByte():
                self._on_first_byte(event)
            case api.HealthCheckResult() if event.server in self.servers:
                self._on_probe(event, self.servers[event.server])
            case api.ClientDisconnected():
                self.unnamed.pop(event.id, None)
                self._close(event.id)
        return self.actions

    def _on_request(self, request: api.Request) -> None:
        cls = self.classes.get(request.class_name)
        if request.id in self.open:
            return None
        if cls is None:
            return self._do(api.Reject(request.id))  # never sent anywhere, so trying again is harmless
        if request.size_kb and self.settings.client_rate_kb_per_s:
            own_ms = request.size_kb / self.settings.client_rate_kb_per_s * 1000.0
            self._learn_work(cls, min(own_ms, cls.deadline_ms))  # nobody's claim of more counts
        self.usual_ms += SMOOTH * 0.5 * (self.work_ms[cls.name] - self.usual_ms)
        self.retries.earn()
        entry = self.open[request.id] = PendingRequest(request, cls, self.now)
        if cls.idempotency is Idempotency.KEYED and request.idempotency_key:
            entry.first_execution = self.keys.first(
                request.idempotency_key, self.now, cls.deduplication_window_ms + cls.deadline_ms
            )
        entry.accepts_stale = (
            cls.stale_grace_ms > 0 and not self._may_reach_origin()
        )  # no fill comes in time: a copy does
        too_dear = self.admission.is_too_dear(cls.priority_weight, self._own_work(entry))
        return self._give_up(entry) if too_dear else self._place(entry)

    def _pump(self) -> None:
        """Let waiting requests go where room has come up, first come first served, none held up."""
        for q in list(self.unnamed.values()):
            self._on_locate(q)
        waiting, back = len(self.parked), 0
        while waiting and back < PUMP_TRIES:
            waiting -= 1
            r = self.open.get(self.parked.popleft())
            if r is not None and r.is_queued:
                r.is_queued = False
                self._place(r)
                back += r.is_queued
        self.parked.rotate(back)  # those that found none are still the first; the rest was not touched

    def _on_outcome(self, o: api.Outcome) -> None:
        known = self.flights.pop((o.id, o.attempt), None)
        if known is None:
            return
        flight, r = known
        r.in_flight.pop(o.attempt, None)
        wakes = flight.source is not None or any(s.backoff_until_ms for s in self.caches)
        self._learn(o, flight, r)
        if o.status in (Status.REJECTED, Status.CONNECT_FAILED, Status.NOT_SENT, Status.MISS):
            self.keys.never_ran(r.request.idempotency_key, flight.sent_ms, flight.endpoint)
        elif r.first_execution is None:
            r.first_execution = flight.sent_ms, flight.endpoint
        fill = flight.source is not None and not r.is_write
        if fill and o.status in (Status.OK, Status.TIMEOUT):
            self.ageing.ended(o.status is Status.TIMEOUT or self.now - r.arrived_ms > self._aim(r))
        if o.id not in self.open:
            return
        if o.is_answered:
            self._close(o.id)
        elif o.status is Status.TIMEOUT and self.now >= r.deadline_ms - SPARE_MS:
            self._do(api.Fail(o.id))
            self._close(o.id)
        elif o.status is Status.TIMEOUT and fill:
            self._give_up(r)  # cut for its age: another source would find it older still
        elif o.status is Status.MISS or not r.in_flight:
            self._again(o, flight, r)
        if wakes:
            self._pump()

    def _again(self, o: api.Outcome, flight: Attempt, r: PendingRequest) -> None:
        """Note what is ruled out for this request and try on."""
        if r.is_write and o.detail is OutcomeDetail.SOURCE_REJECTED and self.retries.take():
            return self._park(r)  # the origin was full just then: once more, as room comes up
        if flight.source is None and o.status is Status.MISS:
            r.missed_at.append(flight.host)
            return self._place(r)
        hop_failed = o.detail in (
            OutcomeDetail.SOURCE_REJECTED,
            OutcomeDetail.SOURCE_FAILED,
            OutcomeDetail.ORIGIN_FAILED,
        )
        if flight.source is not None and (o.status is Status.MISS or hop_failed):
            r.failed_sources.append(flight.source)
            r.missed_at.append(flight.host)
        elif o.status in (Status.RESET, Status.NOT_SENT) and flight.host not in r.lost_at:
            r.lost_at.append(flight.host)  # lost on its way, there or back: the home still holds the object
        elif o.status is not Status.CANCELLED:  # else it is known already who was silent
            r.failed_hosts.append(flight.host)
        if o.status not in (Status.MISS, Status.CANCELLED) and not self.retries.take():
            return self._give_up(r)
        self._place(r)

    def _learn(self, o: api.Outcome, flight: Attempt, r: PendingRequest) -> None:
        """Health of the hop that an outcome speaks of, the source's share, and who holds the object."""
        host, source = self.servers.get(flight.host), self.servers.get(flight.source or "")
        hops = [s for s in (host, source) if s is not None]
        for s in hops:
            s.attempts.pop((o.id, o.attempt), None)
        if o.detail in (OutcomeDetail.ORIGIN_FAILED, OutcomeDetail.FILLED_BY_ORIGIN) or any(
            s in self.origins for s in hops
        ):
            self.gate.learn(self.now, o.status, self.now - r.arrived_ms, self._aim(r))
        if source is not None:
            source.fills_in_flight -= 1
            self.outside -= source.info.zone != self.settings.zone
        if host is not None:
            if (
                o.status is Status.REJECTED
                and o.detail is OutcomeDetail.NONE
                and self.settings.infers_capacity
            ):
                host.concurrency_limit.turned_away(self.now)
            self._learn_load(host, o.load_report or {})
            if o.status in (Status.OK, Status.MISS, Status.REJECTED):
                self._heard(host)
            elif o.status in (Status.CONNECT_FAILED, Status.ERROR) or (
                o.status is Status.RESET
                and self.now - host.last_answer_ms > DOWN_MS  # else the connection's fault
            ):
                self._strike(host, hard=o.status is Status.CONNECT_FAILED)
        if o.status is Status.OK and host is not None:
            self._learn_holders(o, r, host, source)
        elif source is not None and source is not host and o.status is not Status.OK:
            if o.status is Status.MISS or o.detail in api.SOURCE_ANSWERED:
                self._heard(source)
            if o.detail is OutcomeDetail.SOURCE_LACKS or o.status is Status.MISS:
                self.memory.lacks(r.object_id, source.info.name)
            elif (
                o.detail in (OutcomeDetail.SOURCE_REJECTED, OutcomeDetail.SOURCE_FAILED)
                or o.status is Status.TIMEOUT
            ):
                source.fill_quota = halved(source.fill_quota)
                cut = o.status is Status.TIMEOUT and self.now < r.deadline_ms - SPARE_MS  # by us, for its age
                if not cut and o.detail is not OutcomeDetail.SOURCE_REJECTED:
                    self._strike(source, hard=o.status is Status.REJECTED)  # refused: it was not even reached

    def _learn_holders(
        self, o: api.Outcome, r: PendingRequest, host: ServerRecord, source: ServerRecord | None
    ) -> None:
        if source is None and o.detail in (OutcomeDetail.HIT, OutcomeDetail.NONE):
            self._learn_pace(o.elapsed_ms, r, host)
        if host.info.role is not Role.ORIGIN and not r.request_class.is_write:
            self.memory.saw(r.object_id, host.info.name, self.now)
        if source is None:
            return
        if o.source_wait_ms is not None:
            source.first_byte_ms += SMOOTH * (o.source_wait_ms - source.first_byte_ms)
        for origin in self.origins if o.detail is OutcomeDetail.FILLED_BY_ORIGIN else ():
            self._heard(origin)
        if o.detail is not OutcomeDetail.HIT:
            self._heard(source)
            if (
                self.now - r.arrived_ms <= self._aim(r)
                and source.fills_in_flight + 1 >= source.fill_quota / 2.0
            ):
                source.fill_quota = grown(source.fill_quota)
            if o.detail is OutcomeDetail.FILLED and source.info.role is not Role.ORIGIN:
                self.memory.saw(r.object_id, source.info.name, self.now)

    def _on_timer(self, timer: api.Timer) -> None:
        if timer.token != "sweep":
            return self._do(api.Watch(True)) if timer.token == "watch" else None
        self._do(api.SetTimer(SWEEP_MS, "sweep"))
        busy = {name for flight, _ in self.flights.values() for name in (flight.host, flight.source) if name}
        for s in [self.servers[name] for name in sorted(busy) if name in self.servers]:
            if s.attempts and self.now >= s.backoff_until_ms and self._is_silent(s):
                s.consecutive_failures, s.fill_quota = (
                    s.consecutive_failures + 1,
                    halved(s.fill_quota),
                )  # a silence has lasted: no second one
                self._strike(s, hard=False)
                self._rescue(s)
        for r in [self.open[number] for number in self.parked if number in self.open]:
            if r.is_queued and self.now > min(
                r.arrived_ms + r.request_class.latency_objective_ms, r.deadline_ms - SPARE_MS
            ):
                if not r.request_class.stale_grace_ms or r.accepts_stale:
                    self._give_up(r)
                else:  # no fill in time: a copy in its grace is worth something (a slow or stopped origin)
                    r.accepts_stale, r.missed_at = True, []
                    self._place(r)
        self.admission.taken(len(self.open) / (self.settings.client_connection_limit or math.inf))
        self._weigh()
        self._pump()
        self.purged.forget(self.now - max(self.settings.purge_settle_ms + PURGE_KEEP_MS, MEMORY_MS))

    def _rescue(self, s: ServerRecord) -> None:
        """Second copies, elsewhere and within the retry budget, of what waits for a silent server."""
        for key in list(s.attempts) if self.settings.hedging or self.settings.may_cancel else ():
            flight, r = self.flights[key]
            spoken_for = key[0] not in self.open or len(r.in_flight) > 1 or r.has_response_begun
            if (
                spoken_for
                or r.request_class.idempotency is not Idempotency.IDEMPOTENT
                or not self.retries.take()
            ):
                continue
            if flight.host == s.info.name:
                r.failed_hosts.append(s.info.name)
            else:
                r.failed_sources.append(s.info.name)
                r.missed_at.append(flight.host)
            if self.settings.hedging:
                self._place(r)
            else:  # one at a time: the first is called off, and its end brings the next
                self._do(api.Cancel(*key))

    def _on_first_byte(self, first: api.FirstByte) -> None:
        """The answer is on its way to the client: no other attempt can serve this request now."""
        r = self.open.get(first.id)
        if r is not None:
            r.has_response_begun = True
            for attempt in r.in_flight if self.settings.may_cancel else ():
                if attempt != first.attempt:
                    self._do(api.Cancel(first.id, attempt))

    def may_write(self, number: int, attempt: int, now_ms: float) -> bool:
        """Asked as an attempt's first byte is written: what was told or has begun meanwhile counts."""
        self.now = max(now_ms, self.now)
        flight, r = self.flights[number, attempt]
        ready = all(self._is_ready(name) for name in (flight.host, flight.source) if name)
        harmless = (
            r.request_class.idempotency is Idempotency.IDEMPOTENT
            or r.first_execution is None
            or self._repeat_is_dropped(r)
        )
        return ready and harmless and not r.has_response_begun and self._purged_at(r) == flight.purged_ms
