"""The request path: home, holder, parents, origin; waiting, further attempts and the end of a request."""

from __future__ import annotations

from collections.abc import Iterable

from .. import interface as api
from ..interface import Effect, Role, Scope
from ..remembered import Object
from ..spread import score, seed_of
from .health import Health
from .known import Flight, Pending, Target

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

    def _place(self, r: Pending) -> None:
        """Send a request's next attempt, all conditions checked anew; park or end it if there is none."""
        if r.sent >= self.settings.max_attempts or r.deadline_ms - self.now < 1.0 or not self._may_send(r):
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
            known_miss = host.info.name in r.missed or self._is_cold(host) or 0 < max_age < YOUNG_MS
            if not r.write and not known_miss:
                return self._send(r, host, None, max_age)
            source = self._source(r, host)
            return self._park(r) if source is None else self._send(r, host, source, max_age)
        if self._pass_by(r, max_age):
            return None
        return self._park(r) if self._homes(r, resting=True) else self._give_up(r)

    def _second_home(self, r: Pending, homes: list[Target]) -> Target | None:
        """Where a crowded home's object goes if it is hot, or known to be held there already."""
        hot = self.now - self.memory.last_seen(r.obj, homes[0].info.name) <= HOT_MS
        held = homes if hot else self._holders(r)
        return next((s for s in homes[1:2] if s in held and not self._is_crowded(s, r)), None)

    def _pass_by(self, r: Pending, max_age: float) -> bool:
        """Straight to a parent, or the origin, when no cache of this location can take a request in time."""
        if self.settings.direct and (r.write or (self._may_reach_origin() and not self._is_link_over(r))):
            for source in (not r.write and self._parents(r)) or self.origins:
                fit = self._usable(source) if r.write else self._has_room(source, r)
                if fit and self._in_scope(r, source) and source.info.name not in r.bad_hosts:
                    self._send(r, source, None if r.write else source, max_age)
                    return True
        return False

    def _homes(self, r: Pending, resting: bool = False) -> list[Target]:
        """The location's usable caches in the order of the object's weighted rendezvous hash."""
        order = self.orders.get(r.obj)
        if order is None:
            order = self.orders[r.obj] = self._ranked(self.caches, r.obj)
        fit = (s for s in order if (resting or self._usable(s)) and s.info.name not in r.bad_hosts)
        return [s for s in fit if self._in_scope(r, s)]

    def _ranked(self, servers: Iterable[Target], obj: Object) -> list[Target]:
        """Weighted rendezvous order: listed size x warm-up share."""
        seed = seed_of(*obj)

        def weight(s: Target) -> float:
            return s.info.size * s.weight * self.warming[s.info.role].warmth(s.started_ms, self.now)

        return sorted(servers, key=lambda s: (-score(seed, s.salt, weight(s)), s.info.name))

    def _source(self, r: Pending, host: Target) -> Target | None:
        """The ladder: which source fills a miss."""
        if r.write:
            ways = (s for s in self.origins if self._usable(s))
            return next((s for s in ways if s.info.name not in r.bad_sources), None)
        link_over = self._is_link_over(r)
        parents = [] if link_over else [s for s in self._parents(r) if s.info.name not in r.bad_sources]
        holders = [s for s in self._holders(r) if s is not host]
        if link_over:  # what this location itself holds needs no link
            holders = [s for s in holders if s.info.zone == self.settings.zone]
        near = [s for s in self.hub_parents if s in holders]
        first_ask = r.cls.effect is Effect.SAFE and not r.bad_sources and not link_over
        trial = self._siblings(r) if first_ask and self.random.random() < TRIAL_RATE else []
        ladder = (*near, *holders, *trial, *parents)
        found = next((s for s in ladder if self._has_room(s, r)), None)
        patience = r.arrived_ms + PATIENCE * r.cls.aim_ms - self.now
        if found or link_over or (patience > 0 and any(self._has_cold_room(s) for s in parents)):
            return found  # a busy parent is waited for: the origin is for when none can be used in time
        fresh = [s for s in self.origins if s.info.name not in r.bad_sources and self._may_reach_origin()]
        return next((s for s in fresh if self._has_room(s, r)), None)

    def _parents(self, r: Pending) -> list[Target]:
        """The hub's parents in hash order, then the others, soonest first bytes first."""
        if r.ranked[0] is not self.hub_parents:  # once a request, however often it is tried
            r.ranked = self.hub_parents, self._ranked(self.hub_parents, r.obj)
        far = sorted(self.far_parents, key=lambda s: (s.first_byte_ms, s.info.name))
        return [s for s in (*r.ranked[1], *far) if self._usable(s)]

    def _siblings(self, r: Pending) -> list[Target]:
        """The object's home in one other location, mostly of the own hub: each trial asks another one."""
        if self.settings.siblings is not api.Siblings.ANY or not self.locations:
            return []
        place = int(self.random.random() ** 2 * len(self.locations))
        caches = [s for s in self.locations[place] if self._may_hold(s) and s.info.name not in r.bad_sources]
        return self._ranked(caches, r.obj)[:1]

    def _may_hold(self, s: Target) -> bool:
        """Whether a remembered or tried holder may be named as a source at this site."""
        if s.info.role is Role.PARENT or not self._usable(s):
            return self._usable(s)
        kind, here = self.settings.siblings, s.info.zone == self.settings.zone
        allowed = kind is api.Siblings.ANY or (kind is api.Siblings.LOCATION and here)
        return allowed and s.info.role is Role.CACHE and not self._is_cold(s)

    def _holders(self, r: Pending) -> list[Target]:
        """Remembered holders: seen after the object's last purge and their own last start, not faded."""
        found = []
        for name, at in self.memory.since(r.obj, self._purged_at(r), self.now):
            s = self.servers.get(name)
            if s and at > s.started_ms and name not in r.bad_sources and self._may_hold(s):
                found.append(s)
        return found

    def _has_room(self, s: Target, r: Pending) -> bool:
        return self._usable(s) and s.fills < int(s.share) and self._has_cold_room(s)

    def _send(self, r: Pending, host: Target, source: Target | None, age: float) -> None:
        number, r.parked = r.sent, False
        r.sent += 1
        asked = source.info.name if source else None
        flight = r.out[number] = Flight(host.info, host.info.name, asked, self.now, self._purged_at(r))
        key = (r.request.id, number)
        self.flights[key] = (flight, r)
        for s in {id(s): s for s in (host, source or host)}.values():
            s.flights[key] = s.last_sent = self.now
            if self._is_cold(s):
                s.credit.spend(self.work_ms[r.cls.name])
        if r.request.replay_key:
            self.keys.sent(r.request.replay_key, self.now, host.info)
        if source is not None:
            source.fills += 1
            self.outside += source.info.zone != self.settings.zone
        join = self.settings.joins and not r.bad_sources and r.cls.effect is Effect.SAFE
        if source is None and not join and not age:
            return self._do(api.Lookup(r.request.id, host.info.name))
        rank = 0 if r.write else 1
        named = (source or host).info
        if host.info.role is Role.PARENT and self.origins:  # named itself, it would give only what it holds
            named = self.origins[0].info
        rests = named.role is Role.PARENT and not self._may_reach_origin()  # more asks would keep it down
        held_only = source is not None and rank > 0 and (named.role is Role.CACHE or rests)
        self.gate.sent(self.now, source is not None and rank > 0 and not held_only)
        fetch = api.Fetch(r.request.id, host.info.name, named.name, age, rank, join, held_only)
        if source is not None and not r.write:
            fetch.timeout_ms = self.ageing.cap_ms(self._aim(r), r.arrived_ms, r.deadline_ms, self.now)
        self._do(fetch)

    def _park(self, r: Pending) -> None:
        """No source has room: wait for one, as long as an answer in time is in reach."""
        if r.deadline_ms - self.now < SPARE_MS:
            return self._give_up(r)  # guards against a client's short last try ending between two sweeps
        if not r.parked:
            r.parked = True
            self.parked.append(r.request.id)

    def _may_send(self, r: Pending) -> bool:
        """The rule on double effects: whether a further attempt may be sent at all."""
        if r.begun or r.cls.effect is Effect.SAFE:
            return not r.begun and (not r.out or self.settings.second_copies)
        return not r.out and (r.ran is None or self._repeat_is_dropped(r))

    def _repeat_is_dropped(self, r: Pending, after_ms: float = 0.0) -> bool:
        """Whether one more send, that much later, does nothing where this request has run already."""
        if r.ran is None or r.cls.effect is not Effect.KEYED:
            return False
        return self.now + after_ms - r.ran[0] < r.cls.key_window_ms

    def _in_scope(self, r: Pending, s: Target) -> bool:
        """A keyed request that may have run goes only where its repeat is dropped."""
        if r.cls.effect is not Effect.KEYED or r.ran is None or r.cls.scope is Scope.ALL:
            return True
        at = r.ran[1]
        return s.info.zone == at.zone and (r.cls.scope is Scope.ZONE or s.info.cell == at.cell)

    def _give_up(self, r: Pending) -> None:
        """Nothing can work now: the final answer at once, with advice where a repeat is harmless."""
        if r.out:
            return  # an attempt is still out and may answer
        advice = min(ADVICE_MS, self.settings.max_retry_after_ms) if self.settings.retry_advice else 0.0
        repeat = r.cls.scope is Scope.ALL and self._repeat_is_dropped(r, advice)
        harmless = r.cls.effect is Effect.SAFE or r.ran is None or repeat
        self._do(api.Refuse(r.request.id, advice) if harmless else api.Fail(r.request.id))
        self._close(r.request.id)

    def _close(self, number: int) -> None:
        r = self.open.pop(number, None)
        if r is not None and self.settings.may_cancel and not r.begun:
            for attempt in r.out:
                self._do(api.Cancel(number, attempt))
