"""Which servers can take work: rests after failures, silence, crowding, and the budgets of cold ones."""

from __future__ import annotations

import math

from .. import interface as api
from ..interface import Role, ServerState, Status
from ..limits.cold import drawn
from ..limits.recovery import rest_ms, silence_ms
from ..limits.room import Usual, is_over
from .known import SMOOTH, Known, Pending, Target, place_of

LEASE_PART = 0.5  # part of a cold server's budget that held answers may fill; the rest is for sends (ours)
DOWN_MS = 400.0  # a server out of reach and not heard for this long (ms) is down: our usual gap (ours)
SLOW = 2.5  # times slower than its location's median from which a cache loses weight: beyond chance (ours)
CALM = 0.8  # part of a link in use, as reported, under which it is not crowded whatever we count (ours)
LOAD_FRESH_MS = 1_500.0  # a load report is used for this long (ms): a few report periods (ours)
ORDERS_KEPT = 16_384  # objects whose order of homes is kept at most; bounds memory (ours)


class Health(Known):
    """What a server can be trusted with now."""

    def _heard(self, s: Target) -> None:
        if s.heard_ms:
            s.gap_ms += SMOOTH * (min(self.now - s.heard_ms, 1_000.0) - s.gap_ms)
        s.heard_ms, s.fails, s.blocked_until = self.now, 0, 0.0

    def _strike(self, s: Target, hard: bool) -> None:
        """A failure at a server: rest it, longer each time; it comes back with one trial."""
        if self.now < s.blocked_until:
            return
        s.fails += 1
        resting = sum(self.now < other.blocked_until for other in self.caches)
        if s in self.caches and not hard and 2 * resting + 2 > max(2, len(self.caches)):
            return  # most of a location at rest is worse than answers lost at some of it
        if hard and self.now - s.heard_ms > DOWN_MS and s.info.role is not Role.ORIGIN:
            s.started_ms = self.now  # down: cold and empty when it comes back, which the list tells late
        if hard or s.fails > 1:
            s.blocked_until = self.now + rest_ms(s.fails)

    def _on_probe(self, p: api.ProbeResult, s: Target) -> None:
        """A probe proves that a process runs, or is out of reach; not that it serves what it is asked."""
        if p.status is Status.OK and p.age_ms < LOAD_FRESH_MS:
            self._learn_load(s, p.load or {})
        elif p.status in (Status.CONNECT_FAILED, Status.TIMEOUT) and s.heard_ms < self.now - p.age_ms:
            self._strike(s, hard=p.status is Status.CONNECT_FAILED)

    def _usable(self, s: Target) -> bool:
        """Listed ready and not resting; after its rest one trial at a time, another if it told nothing."""
        if s.info.state is not ServerState.READY or self.now < s.blocked_until:
            return False
        return s.blocked_until == 0.0 or s.last_sent < s.blocked_until or not s.flights

    def _may_reach_origin(self) -> bool:
        return self.gate.is_open(self.now) and all(self.now >= s.blocked_until for s in self.origins)

    def _is_ready(self, name: str) -> bool:
        return name in self.servers and self.servers[name].info.state is ServerState.READY

    def _is_silent(self, s: Target) -> bool:
        """Work is out at it and nothing has come back for long: hung, vanished or cut off."""
        oldest = next(iter(s.flights.values()))
        return self.now - max(oldest, s.heard_ms) > silence_ms(s.gap_ms, len(s.flights))

    def _weigh(self) -> None:
        """A cache far slower than its neighbours counts for less, before it costs answers (ageing)."""
        changed = any(s.weight < 1.0 or self._is_cold(s) for s in self.caches)
        paces = sorted(s.pace for s in self.caches)
        for s in self.caches:
            slower = math.exp(s.pace - paces[(len(paces) - 1) // 2])
            s.weight = 1.0 if slower < SLOW else 1.0 / slower
        if changed or len(self.orders) > ORDERS_KEPT or any(s.weight < 1.0 for s in self.caches):
            self.orders.clear()

    def _learn_load(self, s: Target, load: dict[str, float]) -> None:
        """A report of room overrules our own counts, in which waiting fills stand too; else they stand."""
        places: tuple[tuple[str, Target | Health], ...] = (("util", s), ("x1", self))
        for name, place in places[: 2 if s in self.caches else 1]:
            value = load.get(name)
            if isinstance(value, int | float) and 0.0 <= value < math.inf:  # else as good as none
                place.calm_until = self.now + LOAD_FRESH_MS if value < CALM else 0.0

    def _learn_pace(self, took_ms: float, r: Pending, s: Target) -> None:
        """From a plain hit: how slow its server is, how much its link bears, how long the object takes."""
        out = len(s.flights) * self.here
        if s.info.role is Role.CACHE and self.settings.infers_room:
            usual = self.usual.setdefault(r.cls.name, Usual())
            s.room.answered(usual.slow(took_ms, s.room.is_light(out + self.here)), out + self.here)
        s.pace += SMOOTH * (math.log(max(1.0, took_ms) / max(1.0, self._own_work(r))) - s.pace)
        if not r.request.size_kb:
            alone_ms = took_ms / max(1.0, out / max(1.0, self._size(s))) if s in self.caches else took_ms
            self._learn_work(r.cls, alone_ms)
            self.sizes.put(r.obj, alone_ms)

    def _size(self, s: Target) -> float:
        """Transfers at full pace that a server's link bears: as listed, else as learned."""
        return s.room.size if self.settings.infers_room else s.info.size

    def _is_crowded(self, s: Target, r: Pending) -> bool:
        """Whether one transfer more would slow a cache's link so that this request misses its aim.

        Our transfers out, times the dispatchers of the location, stand for all. The next cache of the hash is
        no way out: it mostly lacks the object.
        """
        if s.room.is_full(self.now):
            return True
        over = is_over(len(s.flights), self._size(s) * s.weight, self.here, self._slowdown(r))
        known = self.settings.sizes_listed or self.settings.infers_room
        return over and known and self.now >= s.calm_until

    def _is_link_over(self, r: Pending) -> bool:
        """The same of the location's link in, which all fills from outside share."""
        known = self.link_in > 0 and self.now >= self.calm_until
        return known and is_over(self.outside, self.link_in, self.here, self._slowdown(r))

    def _slowdown(self, r: Pending) -> float:
        """How slow a transfer may run for this request to meet its aim; a repeat is past its own already."""
        return 1.0 if r.request.is_repeat else r.cls.aim_stretch + r.cls.aim_ms / max(1.0, self._own_work(r))

    def _is_cold(self, s: Target) -> bool:
        return self.warming[s.info.role].is_cold(s.started_ms, self.now)

    def _has_cold_room(self, s: Target) -> bool:
        """The budget of a cold server: each dispatcher that may send to it earns its part as time goes by."""
        if not self._is_cold(s):
            return True
        if s.info.role is Role.PARENT and not self.where.is_ours(s.info.zone):
            return False  # left to the dispatchers of its own hub
        ramp = self.warming[s.info.role]
        senders = self.where.near if s.info.role is Role.PARENT else self.here
        rate = ramp.bears(self._size_at_least(s) * ramp.warmth(s.started_ms, s.credit.at_ms or self.now))
        if self.ledger is not None:  # held answers draw on the same budget
            rate = max(0.0, rate - senders * self.ledger.total(place_of(s), self._lease_most(s), self.now))
        window, lot = self.settings.fall_window_ms, drawn(self.settings.me, s.salt, self.random)
        return s.credit.has_room(self.now, rate, senders, window, self.usual_ms, lot)

    def _size_at_least(self, s: Target) -> float:
        told = s.info.size if self.settings.sizes_listed else 1.0
        return s.room.at_least if self.settings.infers_room else told

    def _lease_most(self, s: Target) -> float:
        warming = self.warming[s.info.role]
        return LEASE_PART * warming.bears(self._size_at_least(s) * warming.share) / self.here
