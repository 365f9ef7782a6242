"""The request path: home, holder, parents, origin; waiting, further attempts and the end of a request."""

from __future__ import annotations

from collections.abc import Iterable

from .. import interface as api
from ..interface import DeduplicationScope, Idempotency, Role
from ..registry.object_locations import Object
from ..registry.records import Attempt, PendingRequest, ServerRecord
from ..registry.rendezvous import score, seed_of
from .health import Health

TRIAL_RATE = 0.08  # part of unremembered fills that ask a sibling first: "a few" (ours)
HOT_MS = 1_500.0  # an object got from its home this lately (ms) is hot: it may have a second home (ours)
ADVICE_MS = 500.0  # wait that a refused client is advised (ms), cut to what clients heed (ours)
PATIENCE = 0.25  # part of the aim that a fill waits for a busy parent before the origin may take it (ours)
YOUNG_MS = 300.0  # an age bound under this makes a lookup pointless: nothing can be so young (ms, ours)
SPARE_MS = 60.0  # a request with less time than this gets its final answer now (ms): over one sweep (ours)


class Ladder(Health):
    """Where a request goes next, if anywhere."""

    def _do(self, action: api.Action) -> None:
        self.actions.append(action)

    def _place(self, r: PendingRequest) -> None:
        """Send a request's next attempt, all conditions checked anew; park or end it if there is none."""
        if (
            r.attempts_sent >= self.settings.max_attempts
            or r.deadline_ms - self.now < 1.0
            or not self._may_send(r)
        ):
            return self._give_up(r)
        max_age = self._max_age(r)
        homes = [s for s in self._homes(r) if self._has_cold_room(s)]
        if homes:
            host = homes[0]
            if self._is_crowded(host, r):  # an answer would come late and make others late
                second = self._second_home(r, homes)
                if second is None:
                    return None if self._pass_by(r, max_age) else self._give_up(r)
                host = second
            known_miss = host.info.name in r.missed_at or self._is_cold(host) or 0 < max_age < YOUNG_MS
            if not r.is_write and not known_miss:
                return self._send(r, host, None, max_age)
            source = self._source(r, host)
            return self._park(r) if source is None else self._send(r, host, source, max_age)
        if self._pass_by(r, max_age):
            return None
        return self._park(r) if self._homes(r, resting=True) else self._give_up(r)

    def _second_home(self, r: PendingRequest, homes: list[ServerRecord]) -> ServerRecord | None:
        """Where a crowded home's object goes if it is hot, or known to be held there already."""
        hot = self.now - self.memory.last_seen(r.object_id, homes[0].info.name) <= HOT_MS
        held = homes if hot else self._holders(r)
        return next((s for s in homes[1:2] if s in held and not self._is_crowded(s, r)), None)

    def _pass_by(self, r: PendingRequest, max_age: float) -> bool:
        """Straight to a parent, or the origin, when no cache of this location can take a request in time."""
        if self.settings.may_bypass_caches and (
            r.is_write or (self._may_reach_origin() and not self._is_link_over(r))
        ):
            for source in (not r.is_write and self._parents(r)) or self.origins:
                fit = self._usable(source) if r.is_write else self._has_room(source, r)
                if fit and self._in_scope(r, source) and source.info.name not in r.failed_hosts:
                    self._send(r, source, None if r.is_write else source, max_age)
                    return True
        return False

    def _homes(self, r: PendingRequest, resting: bool = False) -> list[ServerRecord]:
        """The location's usable caches in the order of the object's weighted rendezvous hash."""
        order = self.orders.get(r.object_id)
        if order is None:
            order = self.orders[r.object_id] = self._ranked(self.caches, r.object_id)
        fit = (s for s in order if (resting or self._usable(s)) and s.info.name not in r.failed_hosts)
        return [s for s in fit if self._in_scope(r, s)]

    def _ranked(self, servers: Iterable[ServerRecord], obj: Object) -> list[ServerRecord]:
        """Weighted rendezvous order: listed size x warm-up share."""
        seed = seed_of(*obj)

        def weight(s: ServerRecord) -> float:
            return s.info.capacity * s.weight * self.warming[s.info.role].warmth(s.started_ms, self.now)

        return sorted(servers, key=lambda s: (-score(seed, s.hash_salt, weight(s)), s.info.name))

    def _source(self, r: PendingRequest, host: ServerRecord) -> ServerRecord | None:
        """The ladder: which source fills a miss."""
        if r.is_write:
            ways = (s for s in self.origins if self._usable(s))
            return next((s for s in ways if s.info.name not in r.failed_sources), None)
        link_over = self._is_link_over(r)
        parents = [] if link_over else [s for s in self._parents(r) if s.info.name not in r.failed_sources]
        holders = [s for s in self._holders(r) if s is not host]
        if link_over:  # what this location itself holds needs no link
            holders = [s for s in holders if s.info.zone == self.settings.zone]
        near = [s for s in self.hub_parents if s in holders]
        first_ask = (
            r.request_class.idempotency is Idempotency.IDEMPOTENT and not r.failed_sources and not link_over
        )
        trial = self._siblings(r) if first_ask and self.random.random() < TRIAL_RATE else []
        ladder = (*near, *holders, *trial, *parents)
        found = next((s for s in ladder if self._has_room(s, r)), None)
        patience = r.arrived_ms + PATIENCE * r.request_class.latency_objective_ms - self.now
        if found or link_over or (patience > 0 and any(self._has_cold_room(s) for s in parents)):
            return found  # a busy parent is waited for: the origin is for when none can be used in time
        fresh = [s for s in self.origins if s.info.name not in r.failed_sources and self._may_reach_origin()]
        return next((s for s in fresh if self._has_room(s, r)), None)

    def _parents(self, r: PendingRequest) -> list[ServerRecord]:
        """The hub's parents in hash order, then the others, soonest first bytes first."""
        if r.ranked_parents[0] is not self.hub_parents:  # once a request, however often it is tried
            r.ranked_parents = self.hub_parents, self._ranked(self.hub_parents, r.object_id)
        far = sorted(self.far_parents, key=lambda s: (s.first_byte_ms, s.info.name))
        return [s for s in (*r.ranked_parents[1], *far) if self._usable(s)]

    def _siblings(self, r: PendingRequest) -> list[ServerRecord]:
        """The object's home in one other location, mostly of the own hub: each trial asks another one."""
        if self.settings.sibling_sources is not api.SiblingSources.ANY or not self.locations:
            return []
        place = int(self.random.random() ** 2 * len(self.locations))
        caches = [
            s for s in self.locations[place] if self._may_hold(s) and s.info.name not in r.failed_sources
        ]
        return self._ranked(caches, r.object_id)[:1]

    def _may_hold(self, s: ServerRecord) -> bool:
        """Whether a remembered or tried holder may be named as a source at this site."""
        if s.info.role is Role.PARENT or not self._usable(s):
            return self._usable(s)
        kind, here = self.settings.sibling_sources, s.info.zone == self.settings.zone
        allowed = kind is api.SiblingSources.ANY or (kind is api.SiblingSources.LOCATION and here)
        return allowed and s.info.role is Role.CACHE and not self._is_cold(s)

    def _holders(self, r: PendingRequest) -> list[ServerRecord]:
        """Remembered holders: seen after the object's last purge and their own last start, not faded."""
        found = []
        for name, at in self.memory.since(r.object_id, self._purged_at(r), self.now):
            s = self.servers.get(name)
            if s and at > s.started_ms and name not in r.failed_sources and self._may_hold(s):
                found.append(s)
        return found

    def _has_room(self, s: ServerRecord, r: PendingRequest) -> bool:
        return self._usable(s) and s.fills_in_flight < int(s.fill_quota) and self._has_cold_room(s)

    def _send(self, r: PendingRequest, host: ServerRecord, source: ServerRecord | None, age: float) -> None:
        number, r.is_queued = r.attempts_sent, False
        r.attempts_sent += 1
        asked = source.info.name if source else None
        flight = r.in_flight[number] = Attempt(host.info, host.info.name, asked, self.now, self._purged_at(r))
        key = (r.request.id, number)
        self.flights[key] = (flight, r)
        for s in {id(s): s for s in (host, source or host)}.values():
            s.attempts[key] = s.last_sent_ms = self.now
            if self._is_cold(s):
                s.slow_start_budget.spend(self.work_ms[r.request_class.name])
        if r.request.idempotency_key:
            self.keys.sent(r.request.idempotency_key, self.now, host.info)
        if source is not None:
            source.fills_in_flight += 1
            self.outside += source.info.zone != self.settings.zone
        join = (
            self.settings.may_join_fills
            and not r.failed_sources
            and r.request_class.idempotency is Idempotency.IDEMPOTENT
        )
        if source is None and not join and not age:
            return self._do(api.Lookup(r.request.id, host.info.name))
        rank = 0 if r.is_write else 1
        named = (source or host).info
        if host.info.role is Role.PARENT and self.origins:  # named itself, it would give only what it holds
            named = self.origins[0].info
        rests = named.role is Role.PARENT and not self._may_reach_origin()  # more asks would keep it down
        held_only = source is not None and rank > 0 and (named.role is Role.CACHE or rests)
        self.gate.sent(self.now, source is not None and rank > 0 and not held_only)
        fetch = api.Fetch(r.request.id, host.info.name, named.name, age, rank, join, held_only)
        if source is not None and not r.is_write:
            fetch.timeout_ms = self.ageing.cap_ms(self._aim(r), r.arrived_ms, r.deadline_ms, self.now)
        self._do(fetch)

    def _park(self, r: PendingRequest) -> None:
        """No source has room: wait for one, as long as an answer in time is in reach."""
        if r.deadline_ms - self.now < SPARE_MS:
            return self._give_up(r)  # guards against a client's short last try ending between two sweeps
        if not r.is_queued:
            r.is_queued = True
            self.parked.append(r.request.id)

    def _may_send(self, r: PendingRequest) -> bool:
        """The rule on double effects: whether a further attempt may be sent at all."""
        if r.has_response_begun or r.request_class.idempotency is Idempotency.IDEMPOTENT:
            return not r.has_response_begun and (not r.in_flight or self.settings.hedging)
        return not r.in_flight and (r.first_execution is None or self._repeat_is_dropped(r))

    def _repeat_is_dropped(self, r: PendingRequest, after_ms: float = 0.0) -> bool:
        """Whether one more send, that much later, does nothing where this request has run already."""
        if r.first_execution is None or r.request_class.idempotency is not Idempotency.KEYED:
            return False
        return self.now + after_ms - r.first_execution[0] < r.request_class.deduplication_window_ms

    def _in_scope(self, r: PendingRequest, s: ServerRecord) -> bool:
        """A keyed request that may have run goes only where its repeat is dropped."""
        if (
            r.request_class.idempotency is not Idempotency.KEYED
            or r.first_execution is None
            or r.request_class.deduplication_scope is DeduplicationScope.ALL
        ):
            return True
        at = r.first_execution[1]
        return s.info.zone == at.zone and (
            r.request_class.deduplication_scope is DeduplicationScope.ZONE or s.info.cell == at.cell
        )

    def _give_up(self, r: PendingRequest) -> None:
        """Nothing can work now: the final answer at once, with advice where a repeat is harmless."""
        if r.in_flight:
            return  # an attempt is still out and may answer
        advice = min(ADVICE_MS, self.settings.max_retry_after_ms) if self.settings.sends_retry_after else 0.0
        repeat = r.request_class.deduplication_scope is DeduplicationScope.ALL and self._repeat_is_dropped(
            r, advice
        )
        harmless = (
            r.request_class.idempotency is Idempotency.IDEMPOTENT or r.first_execution is None or repeat
        )
        self._do(api.Reject(r.request.id, advice) if harmless else api.Fail(r.request.id))
        self._close(r.request.id)

    def _close(self, number: int) -> None:
        r = self.open.pop(number, None)
        if r is not None and self.settings.may_cancel and not r.has_response_begun:
            for attempt in r.in_flight:
                self._do(api.Cancel(number, attempt))
