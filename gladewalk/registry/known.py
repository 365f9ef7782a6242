"""What one dispatcher knows: servers by role and location, open requests, holders, purges."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import replace
from typing import TYPE_CHECKING

from .. import interface as api
from ..interface import Role, ServerState
from ..limits.admission_price import AdmissionPrice
from ..limits.concurrency import Usual
from ..limits.idempotency_keys import Keys
from ..limits.origin_breaker import OriginGate
from ..limits.retry_budget import RetryBudget
from ..limits.slow_start import warming_of
from ..limits.sojourn import Ageing
from .object_locations import Bounded, Holders, Object, Purges
from .records import Attempt, PendingRequest, ServerRecord
from .topology import Geography

if TYPE_CHECKING:
    from .dns_leases import Ledger

LINK_GUESS = 0.5  # an untold link in over its caches' links: about what misses draw at full load (ours)
SMOOTH = 0.1  # weight of a new sample in moving averages (ours)
PURGE_KEEP_MS = 1_000.0  # purges are remembered this much longer than they take to settle (ms, ours)


class Known:
    """What has been told and learned; no request is decided here."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.random = random.Random(seed)
        self.work_ms: dict[str, float] = {}  # mean sending time by class, learned
        self.servers: dict[str, ServerRecord] = {}
        self.open: dict[int, PendingRequest] = {}
        self.flights: dict[tuple[int, int], tuple[Attempt, PendingRequest]] = {}
        self.orders: dict[Object, list[ServerRecord]] = {}  # of this location's caches, till a weight changes
        self.memory, self.purged, self.admission = Holders(), Purges(), AdmissionPrice()
        self.sizes: Bounded[float] = Bounded()  # sending times seen (ms), at the least
        self.keys: Keys[api.Server] = Keys()
        self.parked: deque[int] = deque()
        self.unnamed: dict[int, api.ResolveRequest] = {}  # asked while nothing can serve
        self.ledger: Ledger | None = None  # answers that are held, by place
        self.outside = 0  # fills out from outside this location
        self.link_in = self.link_spare_until_ms = (
            0.0  # transfers that its link in bears at full pace; 0: not known
        )
        self.usual: dict[str, Usual] = {}  # time of a class's answers
        self.retries, self.ageing, self.gate = RetryBudget(), Ageing(), OriginGate(settings.dispatcher_count)
        self.born_ms, self.now, self.usual_ms = -1.0, 0.0, 0.0  # the last: a usual request's work
        self.actions: list[api.Action] = []
        self.configure(settings)

    def configure(self, settings: api.Settings) -> None:
        """Take settings, at the start or later; what was learned stays, open requests keep their class."""
        api.validate_settings(settings)
        self.settings = settings
        self.classes = {cls.name: cls for cls in settings.classes}
        self.work_ms = {cls.name: cls.latency_objective_ms for cls in settings.classes} | self.work_ms
        self.usual_ms = self.usual_ms or sum(self.work_ms.values()) / len(self.work_ms)
        self.warming, self.where = warming_of(settings), Geography(settings)
        self.here, self.each = self.where.here, 0.0  # transfers that each cache is first taken to bear
        self._index()

    def _purged_at(self, r: PendingRequest) -> float:
        return self.purged.last(r.request.key, r.request.group)

    def _max_age(self, r: PendingRequest) -> float:
        """The oldest copy that will do: none from before a purge that this dispatcher was told of."""
        purged = self._purged_at(r)
        limit = r.request_class.freshness_lifetime_ms + (
            r.request_class.stale_grace_ms if r.accepts_stale else 0.0
        )
        if self.now - purged > self.settings.purge_settle_ms + PURGE_KEEP_MS:
            return limit if r.accepts_stale else 0.0
        bound = max(1.0, self.now - purged - 1.0)
        return min(bound, limit) if limit else bound

    def _take_list(self, event: api.EndpointList) -> None:
        named = {info.name for info in event.servers}
        for info in event.servers:
            s = self.servers.get(info.name)
            if s is None:
                s = self.servers[info.name] = ServerRecord(info, 20.0)
                s.first_byte_ms += 30.0 * self.where.distance(s.info.zone)
            elif info.started_ms != s.info.started_ms:
                s.reset(info)
            s.info = info
        for name, s in list(self.servers.items()):
            if event.kind is not api.EndpointListKind.DELTA and name not in named:
                s.info = replace(s.info, state=ServerState.GONE)
            if s.info.state is ServerState.GONE and not s.attempts:
                del self.servers[name]
        self._index()

    def _index(self) -> None:
        """Who is listed ready, by role and location: a request's cost doesn't grow with the fleet."""
        ready = [s for s in self.servers.values() if s.info.state is ServerState.READY]
        parents = [s for s in ready if s.info.role is Role.PARENT]
        self.hub_parents = [s for s in parents if self.where.is_ours(s.info.zone)]
        self.far_parents = [s for s in parents if not self.where.is_ours(s.info.zone)]
        self.origins = [s for s in ready if s.info.role is Role.ORIGIN]
        by_zone: dict[str, list[ServerRecord]] = {}
        for s in ready:
            if s.info.role is Role.CACHE:
                by_zone.setdefault(s.info.zone, []).append(s)
        self.caches = by_zone.pop(self.settings.zone, [])  # this location's; the others', nearest hub first
        self.orders.clear()
        guess = (
            LINK_GUESS * sum(s.info.capacity for s in self.caches) if self.settings.capacities_listed else 0.0
        )
        self.link_in = self.where.link_in or guess
        if self.where.link_in and self.caches and not self.each:  # turned round; who leaves leaves it
            self.each = self.link_in / LINK_GUESS / len(self.caches)
        for s in (*self.caches, *parents) if self.each else ():
            s.concurrency_limit.guess = self.each if s.info.role is Role.CACHE else self.where.mean_link_in
        self.locations = sorted(by_zone.values(), key=lambda caches: self.where.distance(caches[0].info.zone))

    def _learn_work(self, cls: api.RequestClass, took_ms: float) -> None:
        self.work_ms[cls.name] += SMOOTH * 0.5 * (took_ms - self.work_ms[cls.name])

    def _aim(self, r: PendingRequest) -> float:
        return min(
            r.request_class.deadline_ms,
            r.request_class.latency_objective_ms
            + r.request_class.latency_objective_stretch * self._own_work(r),
        )

    def _own_work(self, r: PendingRequest) -> float:
        if r.request.size_kb and (pace := self.settings.client_rate_kb_per_s):
            return r.request.size_kb / pace * 1000.0
        return self.sizes.get(r.object_id, self.work_ms[r.request_class.name])
