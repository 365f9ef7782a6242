"""Which servers can take work: rests after failures, silence, crowding, and the budgets of cold ones."""

from __future__ import annotations

import math

from .. import interface as api
from ..interface import Role, ServerState, Status
from ..limits.backoff import rest_ms, silence_ms
from ..limits.concurrency import Usual, is_over
from ..limits.slow_start import drawn
from ..registry.known import SMOOTH, Known
from ..registry.records import PendingRequest, ServerRecord

LEASE_PART = 0.5  # part of a cold server's budget that held answers may fill; the rest is for sends (ours)
DOWN_MS = 400.0  # a server out of reach and not heard for this long (ms) is down: our usual gap (ours)
SLOW = 2.5  # times slower than its location's median from which a cache loses weight: beyond chance (ours)
CALM = 0.8  # part of a link in use, as reported, under which it is not crowded whatever we count (ours)
LOAD_FRESH_MS = 1_500.0  # a load report is used for this long (ms): a few report periods (ours)
ORDERS_KEPT = 16_384  # objects whose order of homes is kept at most; bounds memory (ours)


class Health(Known):
    """What a server can be trusted with now."""

    def _heard(self, s: ServerRecord) -> None:
        if s.last_answer_ms:
            s.answer_gap_ms += SMOOTH * (min(self.now - s.last_answer_ms, 1_000.0) - s.answer_gap_ms)
        s.last_answer_ms, s.consecutive_failures, s.backoff_until_ms = self.now, 0, 0.0

    def _strike(self, s: ServerRecord, hard: bool) -> None:
        """A failure at a server: rest it, longer each time; it comes back with one trial."""
        if self.now < s.backoff_until_ms:
            return
        s.consecutive_failures += 1
        resting = sum(self.now < other.backoff_until_ms for other in self.caches)
        if s in self.caches and not hard and 2 * resting + 2 > max(2, len(self.caches)):
            return  # most of a location at rest is worse than answers lost at some of it
        if hard and self.now - s.last_answer_ms > DOWN_MS and s.info.role is not Role.ORIGIN:
            s.started_ms = self.now  # down: cold and empty when it comes back, which the list tells late
        if hard or s.consecutive_failures > 1:
            s.backoff_until_ms = self.now + rest_ms(s.consecutive_failures)

    def _on_probe(self, p: api.HealthCheckResult, s: ServerRecord) -> None:
        """A probe proves that a process runs, or is out of reach; not that it serves what it is asked."""
        if p.status is Status.OK and p.age_ms < LOAD_FRESH_MS:
            self._learn_load(s, p.load_report or {})
        elif p.status in (Status.CONNECT_FAILED, Status.TIMEOUT) and s.last_answer_ms < self.now - p.age_ms:
            self._strike(s, hard=p.status is Status.CONNECT_FAILED)

    def _usable(self, s: ServerRecord) -> bool:
        """Listed ready and not resting; after its rest one trial at a time, another if it told nothing."""
        if s.info.state is not ServerState.READY or self.now < s.backoff_until_ms:
            return False
        return s.backoff_until_ms == 0.0 or s.last_sent_ms < s.backoff_until_ms or not s.attempts

    def _may_reach_origin(self) -> bool:
        return self.gate.is_open(self.now) and all(self.now >= s.backoff_until_ms for s in self.origins)

    def _is_ready(self, name: str) -> bool:
        return name in self.servers and self.servers[name].info.state is ServerState.READY

    def _is_silent(self, s: ServerRecord) -> bool:
        """Work is out at it and nothing has come back for long: hung, vanished or cut off."""
        oldest = next(iter(s.attempts.values()))
        return self.now - max(oldest, s.last_answer_ms) > silence_ms(s.answer_gap_ms, len(s.attempts))

    def _weigh(self) -> None:
        """A cache far slower than its neighbours counts for less, before it costs answers (ageing)."""
        changed = any(s.weight < 1.0 or self._is_cold(s) for s in self.caches)
        paces = sorted(s.log_slowdown for s in self.caches)
        for s in self.caches:
            slower = math.exp(s.log_slowdown - paces[(len(paces) - 1) // 2])
            s.weight = 1.0 if slower < SLOW else 1.0 / slower
        if changed or len(self.orders) > ORDERS_KEPT or any(s.weight < 1.0 for s in self.caches):
            self.orders.clear()

    def _learn_load(self, s: ServerRecord, load: dict[str, float]) -> None:
        """A report of room overrules our own counts, in which waiting fills stand too; else they stand."""
        until_ms = self._spare_until_ms(load.get("util"))
        if until_ms is not None:
            s.spare_capacity_until_ms = until_ms
        until_ms = self._spare_until_ms(load.get("x1")) if s in self.caches else None
        if until_ms is not None:
            self.link_spare_until_ms = until_ms

    def _spare_until_ms(self, load: float | None) -> float | None:
        """Until when a reported load proves spare capacity; None for a report without a sound figure."""
        if not isinstance(load, int | float) or not 0.0 <= load < math.inf:
            return None
        return self.now + LOAD_FRESH_MS if load < CALM else 0.0

    def _learn_pace(self, took_ms: float, r: PendingRequest, s: ServerRecord) -> None:
        """From a plain hit: how slow its server is, how much its link bears, how long the object takes."""
        out = len(s.attempts) * self.here
        if s.info.role is Role.CACHE and self.settings.infers_capacity:
            usual = self.usual.setdefault(r.request_class.name, Usual())
            s.concurrency_limit.answered(
                usual.slow(took_ms, s.concurrency_limit.is_light(out + self.here)), out + self.here
            )
        s.log_slowdown += SMOOTH * (
            math.log(max(1.0, took_ms) / max(1.0, self._own_work(r))) - s.log_slowdown
        )
        if not r.request.size_kb:
            alone_ms = took_ms / max(1.0, out / max(1.0, self._size(s))) if s in self.caches else took_ms
            self._learn_work(r.request_class, alone_ms)
            self.sizes.put(r.object_id, alone_ms)

    def _size(self, s: ServerRecord) -> float:
        """Transfers at full pace that a server's link bears: as listed, else as learned."""
        return s.concurrency_limit.size if self.settings.infers_capacity else s.info.capacity

    def _is_crowded(self, s: ServerRecord, r: PendingRequest) -> bool:
        """Whether one transfer more would slow a cache's link so that this request misses its aim.

        Our transfers out, times the dispatchers of the location, stand for all. The next cache of the hash is
        no way out: it mostly lacks the object.
        """
        if s.concurrency_limit.is_full(self.now):
            return True
        over = is_over(len(s.attempts), self._size(s) * s.weight, self.here, self._slowdown(r))
        known = self.settings.capacities_listed or self.settings.infers_capacity
        return over and known and self.now >= s.spare_capacity_until_ms

    def _is_link_over(self, r: PendingRequest) -> bool:
        """The same of the location's link in, which all fills from outside share."""
        known = self.link_in > 0 and self.now >= self.link_spare_until_ms
        return known and is_over(self.outside, self.link_in, self.here, self._slowdown(r))

    def _slowdown(self, r: PendingRequest) -> float:
        """How slow a transfer may run for this request to meet its aim; a repeat is past its own already."""
        return (
            1.0
            if r.request.is_client_retry
            else r.request_class.latency_objective_stretch
            + r.request_class.latency_objective_ms / max(1.0, self._own_work(r))
        )

    def _is_cold(self, s: ServerRecord) -> bool:
        return self.warming[s.info.role].is_cold(s.started_ms, self.now)

    def _has_cold_room(self, s: ServerRecord) -> bool:
        """The budget of a cold server: each dispatcher that may send to it earns its part as time goes by."""
        if not self._is_cold(s):
            return True
        if s.info.role is Role.PARENT and not self.where.is_ours(s.info.zone):
            return False  # left to the dispatchers of its own hub
        ramp = self.warming[s.info.role]
        senders = self.where.near if s.info.role is Role.PARENT else self.here
        rate = ramp.bears(
            self._size_at_least(s) * ramp.warmth(s.started_ms, s.slow_start_budget.at_ms or self.now)
        )
        if self.ledger is not None:  # held answers draw on the same budget
            rate = max(0.0, rate - senders * self.ledger.total(s.address, self._lease_most(s), self.now))
        window, lot = (
            self.settings.overload_window_ms,
            drawn(self.settings.dispatcher_index, s.hash_salt, self.random),
        )
        return s.slow_start_budget.has_room(self.now, rate, senders, window, self.usual_ms, lot)

    def _size_at_least(self, s: ServerRecord) -> float:
        told = s.info.capacity if self.settings.capacities_listed else 1.0
        return s.concurrency_limit.at_least if self.settings.infers_capacity else told

    def _lease_most(self, s: ServerRecord) -> float:
        warming = self.warming[s.info.role]
        return LEASE_PART * warming.bears(self._size_at_least(s) * warming.share) / self.here
