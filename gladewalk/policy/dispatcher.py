"""The decision module: events come in, actions go out (`interface.py`).

Where a request goes is in `ladder.py`; here is what events bring about, and what is learned from outcomes.
"""

from __future__ import annotations

import math

from .. import interface as api
from ..interface import Effect, Note, Role, Status
from ..limits.recovery import BACKOFF_MS, grown, halved
from ..remembered import MEMORY_MS
from .health import DOWN_MS
from .known import PURGE_KEEP_MS, SMOOTH, Flight, Pending, Target
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
            if self.settings.ask_for_list:
                self._do(api.Watch(True))
        match event:
            case api.Request():
                self._on_request(event)
            case api.Outcome():
                self._on_outcome(event)
            case api.Timer():
                self._on_timer(event)
            case api.ServerList(kind=api.ListKind.FAILED):
                self._do(api.SetTimer(BACKOFF_MS, "watch"))
            case api.ServerList():
                self._take_list(event)
                self._pump()
            case api.Purge():
                self.purged.told(event.key, event.group, self.now - event.age_ms)
            case api.Locate():
                self._on_locate(event)
            case api.FirstByte():
                self._on_first_byte(event)
            case api.ProbeResult() if event.server in self.servers:
                self._on_probe(event, self.servers[event.server])
            case api.ClientGone():
                self.unnamed.pop(event.id, None)
                self._close(event.id)
        return self.actions

    def _on_request(self, request: api.Request) -> None:
        cls = self.classes.get(request.class_name)
        if request.id in self.open:
            return None
        if cls is None:
            return self._do(api.Refuse(request.id))  # never sent anywhere, so trying again is harmless
        if request.size_kb and self.settings.client_kb_per_s:
            own_ms = request.size_kb / self.settings.client_kb_per_s * 1000.0
            self._learn_work(cls, min(own_ms, cls.deadline_ms))  # nobody's claim of more counts
        self.usual_ms += SMOOTH * 0.5 * (self.work_ms[cls.name] - self.usual_ms)
        self.retries.earn()
        entry = self.open[request.id] = Pending(request, cls, self.now)
        if cls.effect is Effect.KEYED and request.replay_key:
            entry.ran = self.keys.first(request.replay_key, self.now, cls.key_window_ms + cls.deadline_ms)
        entry.stale = cls.grace_ms > 0 and not self._may_reach_origin()  # no fill comes in time: a copy does
        too_dear = self.admission.is_too_dear(cls.worth, self._own_work(entry))
        return self._give_up(entry) if too_dear else self._place(entry)

    def _pump(self) -> None:
        """Let waiting requests go where room has come up, first come first served, none held up."""
        for q in list(self.unnamed.values()):
            self._on_locate(q)
        waiting, back = len(self.parked), 0
        while waiting and back < PUMP_TRIES:
            waiting -= 1
            r = self.open.get(self.parked.popleft())
            if r is not None and r.parked:
                r.parked = False
                self._place(r)
                back += r.parked
        self.parked.rotate(back)  # those that found none are still the first; the rest was not touched

    def _on_outcome(self, o: api.Outcome) -> None:
        known = self.flights.pop((o.id, o.attempt), None)
        if known is None:
            return
        flight, r = known
        r.out.pop(o.attempt, None)
        wakes = flight.source is not None or any(s.blocked_until for s in self.caches)
        self._learn(o, flight, r)
        if o.status in (Status.REFUSED, Status.CONNECT_FAILED, Status.NOT_SENT, Status.MISS):
            self.keys.never_ran(r.request.replay_key, flight.sent_ms, flight.at)
        elif r.ran is None:
            r.ran = flight.sent_ms, flight.at
        fill = flight.source is not None and not r.write
        if fill and o.status in (Status.OK, Status.TIMEOUT):
            self.ageing.ended(o.status is Status.TIMEOUT or self.now - r.arrived_ms > self._aim(r))
        if o.id not in self.open:
            return
        if o.closed:
            self._close(o.id)
        elif o.status is Status.TIMEOUT and self.now >= r.deadline_ms - SPARE_MS:
            self._do(api.Fail(o.id))
            self._close(o.id)
        elif o.status is Status.TIMEOUT and fill:
            self._give_up(r)  # cut for its age: another source would find it older still
        elif o.status is Status.MISS or not r.out:
            self._again(o, flight, r)
        if wakes:
            self._pump()

    def _again(self, o: api.Outcome, flight: Flight, r: Pending) -> None:
        """Note what is ruled out for this request and try on."""
        if r.write and o.note is Note.SOURCE_REFUSED and self.retries.take():
            return self._park(r)  # the origin was full just then: once more, as room comes up
        if flight.source is None and o.status is Status.MISS:
            r.missed.append(flight.host)
            return self._place(r)
        hop_failed = o.note in (Note.SOURCE_REFUSED, Note.SOURCE_FAILED, Note.ORIGIN_FAILED)
        if flight.source is not None and (o.status is Status.MISS or hop_failed):
            r.bad_sources.append(flight.source)
            r.missed.append(flight.host)
        elif o.status in (Status.RESET, Status.NOT_SENT) and flight.host not in r.shaken:
            r.shaken.append(flight.host)  # lost on its way, there or back: the home still holds the object
        elif o.status is not Status.CANCELLED:  # else it is known already who was silent
            r.bad_hosts.append(flight.host)
        if o.status not in (Status.MISS, Status.CANCELLED) and not self.retries.take():
            return self._give_up(r)
        self._place(r)

    def _learn(self, o: api.Outcome, flight: Flight, r: Pending) -> None:
        """Health of the hop that an outcome speaks of, the source's share, and who holds the object."""
        host, source = self.servers.get(flight.host), self.servers.get(flight.source or "")
        hops = [s for s in (host, source) if s is not None]
        for s in hops:
            s.flights.pop((o.id, o.attempt), None)
        if o.note in (Note.ORIGIN_FAILED, Note.FILLED_BY_ORIGIN) or any(s in self.origins for s in hops):
            self.gate.learn(self.now, o.status, self.now - r.arrived_ms, self._aim(r))
        if source is not None:
            source.fills -= 1
            self.outside -= source.info.zone != self.settings.zone
        if host is not None:
            if o.status is Status.REFUSED and o.note is Note.NONE and self.settings.infers_room:
                host.room.turned_away(self.now)
            self._learn_load(host, o.load or {})
            if o.status in (Status.OK, Status.MISS, Status.REFUSED):
                self._heard(host)
            elif o.status in (Status.CONNECT_FAILED, Status.ERROR) or (
                o.status is Status.RESET and self.now - host.heard_ms > DOWN_MS  # else the connection's fault
            ):
                self._strike(host, hard=o.status is Status.CONNECT_FAILED)
        if o.status is Status.OK and host is not None:
            self._learn_holders(o, r, host, source)
        elif source is not None and source is not host and o.status is not Status.OK:
            if o.status is Status.MISS or o.note in api.SOURCE_SPOKE:
                self._heard(source)
            if o.note is Note.SOURCE_LACKS or o.status is Status.MISS:
                self.memory.lacks(r.obj, source.info.name)
            elif o.note in (Note.SOURCE_REFUSED, Note.SOURCE_FAILED) or o.status is Status.TIMEOUT:
                source.share = halved(source.share)
                cut = o.status is Status.TIMEOUT and self.now < r.deadline_ms - SPARE_MS  # by us, for its age
                if not cut and o.note is not Note.SOURCE_REFUSED:
                    self._strike(source, hard=o.status is Status.REFUSED)  # refused: it was not even reached

    def _learn_holders(self, o: api.Outcome, r: Pending, host: Target, source: Target | None) -> None:
        if source is None and o.note in (Note.HIT, Note.NONE):
            self._learn_pace(o.took_ms, r, host)
        if host.info.role is not Role.ORIGIN and not r.cls.write:
            self.memory.saw(r.obj, host.info.name, self.now)
        if source is None:
            return
        if o.waited_ms is not None:
            source.first_byte_ms += SMOOTH * (o.waited_ms - source.first_byte_ms)
        for origin in self.origins if o.note is Note.FILLED_BY_ORIGIN else ():
            self._heard(origin)
        if o.note is not Note.HIT:
            self._heard(source)
            if self.now - r.arrived_ms <= self._aim(r) and source.fills + 1 >= source.share / 2.0:
                source.share = grown(source.share)
            if o.note is Note.FILLED and source.info.role is not Role.ORIGIN:
                self.memory.saw(r.obj, source.info.name, self.now)

    def _on_timer(self, timer: api.Timer) -> None:
        if timer.token != "sweep":
            return self._do(api.Watch(True)) if timer.token == "watch" else None
        self._do(api.SetTimer(SWEEP_MS, "sweep"))
        busy = {name for flight, _ in self.flights.values() for name in (flight.host, flight.source) if name}
        for s in [self.servers[name] for name in sorted(busy) if name in self.servers]:
            if s.flights and self.now >= s.blocked_until and self._is_silent(s):
                s.fails, s.share = s.fails + 1, halved(s.share)  # a silence has lasted: no second one
                self._strike(s, hard=False)
                self._rescue(s)
        for r in [self.open[number] for number in self.parked if number in self.open]:
            if r.parked and self.now > min(r.arrived_ms + r.cls.aim_ms, r.deadline_ms - SPARE_MS):
                if not r.cls.grace_ms or r.stale:
                    self._give_up(r)
                else:  # no fill in time: a copy in its grace is worth something (a slow or stopped origin)
                    r.stale, r.missed = True, []
                    self._place(r)
        self.admission.taken(len(self.open) / (self.settings.connection_limit or math.inf))
        self._weigh()
        self._pump()
        self.purged.forget(self.now - max(self.settings.purge_settle_ms + PURGE_KEEP_MS, MEMORY_MS))

    def _rescue(self, s: Target) -> None:
        """Second copies, elsewhere and within the retry budget, of what waits for a silent server."""
        for key in list(s.flights) if self.settings.second_copies or self.settings.may_cancel else ():
            flight, r = self.flights[key]
            spoken_for = key[0] not in self.open or len(r.out) > 1 or r.begun
            if spoken_for or r.cls.effect is not Effect.SAFE or not self.retries.take():
                continue
            if flight.host == s.info.name:
                r.bad_hosts.append(s.info.name)
            else:
                r.bad_sources.append(s.info.name)
                r.missed.append(flight.host)
            if self.settings.second_copies:
                self._place(r)
            else:  # one at a time: the first is called off, and its end brings the next
                self._do(api.Cancel(*key))

    def _on_first_byte(self, first: api.FirstByte) -> None:
        """The answer is on its way to the client: no other attempt can serve this request now."""
        r = self.open.get(first.id)
        if r is not None:
            r.begun = True
            for attempt in r.out if self.settings.may_cancel else ():
                if attempt != first.attempt:
                    self._do(api.Cancel(first.id, attempt))

    def may_write(self, number: int, attempt: int, now_ms: float) -> bool:
        """Asked as an attempt's first byte is written: what was told or has begun meanwhile counts."""
        self.now = max(now_ms, self.now)
        flight, r = self.flights[number, attempt]
        ready = all(self._is_ready(name) for name in (flight.host, flight.source) if name)
        harmless = r.cls.effect is Effect.SAFE or r.ran is None or self._repeat_is_dropped(r)
        return ready and harmless and not r.begun and self._purged_at(r) == flight.purge_ms
