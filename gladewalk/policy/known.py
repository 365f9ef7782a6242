"""What one dispatcher knows: servers by role and location, open requests, holders, purges."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from .. import interface as api
from ..geography import Geography
from ..interface import Role, ServerState
from ..limits.admission import AdmissionPrice
from ..limits.ageing import Ageing
from ..limits.cold import Credit, warming_of
from ..limits.keys import Keys
from ..limits.origin import OriginGate
from ..limits.recovery import GAP_START_MS, SHARE_START
from ..limits.retries import RetryBudget
from ..limits.room import Room, Usual
from ..remembered import Bounded, Holders, Object, Purges
from ..spread import salt_of

if TYPE_CHECKING:
    from ..ledger import Ledger

LINK_GUESS = 0.5  # an untold link in over its caches' links: about what misses draw at full load (ours)
SMOOTH = 0.1  # weight of a new sample in moving averages (ours)
PURGE_KEEP_MS = 1_000.0  # purges are remembered this much longer than they take to settle (ms, ours)



def place_of(s: Target) -> str:
    """Held answers outlive a server: who holds one goes on dialling its place."""
    return s.info.place or s.info.name


class Target:
    """What this dispatcher knows and has inferred of a cache, a parent or the origin."""

    def __init__(self, info: api.Server, first_byte_ms: float) -> None:
        self.salt = salt_of(info.name)
        self.first_byte_ms = first_byte_ms
        self.flights: dict[tuple[int, int], float] = {}  # attempts out at it or filled from it: when sent
        self.fills = 0
        self.reset(info)

    def reset(self, info: api.Server) -> None:
        """Forget what was measured before a restart: health and share start again."""
        self.info = info
        self.share, self.fails = SHARE_START, 0
        self.pace, self.weight = 0.0, 1.0  # log of hits' time over the usual; what its size counts
        self.blocked_until = self.last_sent = self.heard_ms = 0.0
        self.calm_until = 0.0  # a report says that its link has room; so for the location's link in
        self.gap_ms = GAP_START_MS  # few answers so far are no sign of silence
        self.started_ms = self.info.started_ms  # its last start, told or inferred
        self.credit, self.room = Credit(), Room()  # our part of a cold budget; how much its link bears


@dataclass(slots=True)
class Flight:
    """An attempt that is out, at the server as it was listed then."""

    at: api.Server
    host: str  # its name
    source: str | None
    sent_ms: float
    purge_ms: float  # the purge that its age bound heeds


class Pending:
    """A request that this dispatcher still owes its final answer."""

    def __init__(self, request: api.Request, cls: api.RequestClass, now_ms: float) -> None:
        self.request, self.cls = request, cls
        self.obj: Object = (request.key, request.part)
        self.write = cls.write or request.is_write  # it runs at the origin, whoever passes it on
        self.arrived_ms, self.deadline_ms = now_ms, now_ms + request.time_left_ms
        self.sent = 0
        self.out: dict[int, Flight] = {}
        self.missed, self.bad_sources = list[str](), list[str]()  # caches that lack it; sources that failed
        self.shaken, self.bad_hosts = list[str](), list[str]()  # caches that failed it once, and for good
        self.ran: tuple[float, api.Server] | None = None  # when it was sent to where it may have run first
        self.parked = self.begun = self.stale = False
        self.ranked: tuple[list[Target], list[Target]] = [], []  # the hub's parents, and in its order


class Known:
    """What has been told and learned; no request is decided here."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.random = random.Random(seed)
        self.work_ms: dict[str, float] = {}  # mean sending time by class, learned
        self.servers: dict[str, Target] = {}
        self.open: dict[int, Pending] = {}
        self.flights: dict[tuple[int, int], tuple[Flight, Pending]] = {}
        self.orders: dict[Object, list[Target]] = {}  # of this location's caches, till a weight changes
        self.memory, self.purged, self.admission = Holders(), Purges(), AdmissionPrice()
        self.sizes: Bounded[float] = Bounded()  # sending times seen (ms), at the least
        self.keys: Keys[api.Server] = Keys()
        self.parked: deque[int] = deque()
        self.unnamed: dict[int, api.Locate] = {}  # asked while nothing can serve
        self.ledger: Ledger | None = None  # answers that are held, by place
        self.outside = 0  # fills out from outside this location
        self.link_in = self.calm_until = 0.0  # transfers that its link in bears at full pace; 0: not known
        self.usual: dict[str, Usual] = {}  # time of a class's answers
        self.retries, self.ageing, self.gate = RetryBudget(), Ageing(), OriginGate(settings.dispatchers)
        self.born_ms, self.now, self.usual_ms = -1.0, 0.0, 0.0  # the last: a usual request's work
        self.actions: list[api.Action] = []
        self.configure(settings)

    def configure(self, settings: api.Settings) -> None:
        """Take settings, at the start or later; what was learned stays, open requests keep their class."""
        api.check(settings)
        self.settings = settings
        self.classes = {cls.name: cls for cls in settings.classes}
        self.work_ms = {cls.name: cls.aim_ms for cls in settings.classes} | self.work_ms
        self.usual_ms = self.usual_ms or sum(self.work_ms.values()) / len(self.work_ms)
        self.warming, self.where = warming_of(settings), Geography(settings)
        self.here, self.each = self.where.here, 0.0  # transfers that each cache is first taken to bear
        self._index()

    def _purged_at(self, r: Pending) -> float:
        return self.purged.last(r.request.key, r.request.group)

    def _max_age(self, r: Pending) -> float:
        """The oldest copy that will do: none from before a purge that this dispatcher was told of."""
        purged = self._purged_at(r)
        limit = r.cls.fresh_ms + (r.cls.grace_ms if r.stale else 0.0)
        if self.now - purged > self.settings.purge_settle_ms + PURGE_KEEP_MS:
            return limit if r.stale else 0.0
        bound = max(1.0, self.now - purged - 1.0)
        return min(bound, limit) if limit else bound

    def _take_list(self, event: api.ServerList) -> None:
        named = {info.name for info in event.servers}
        for info in event.servers:
            s = self.servers.get(info.name)
            if s is None:
                s = self.servers[info.name] = Target(info, 20.0)
                s.first_byte_ms += 30.0 * self.where.distance(s.info.zone)
            elif info.started_ms != s.info.started_ms:
                s.reset(info)
            s.info = info
        for name, s in list(self.servers.items()):
            if event.kind is not api.ListKind.CHANGES and name not in named:
                s.info = replace(s.info, state=ServerState.GONE)
            if s.info.state is ServerState.GONE and not s.flights:
                del self.servers[name]
        self._index()

    def _index(self) -> None:
        """Who is listed ready, by role and location: a request's cost doesn't grow with the fleet."""
        ready = [s for s in self.servers.values() if s.info.state is ServerState.READY]
        parents = [s for s in ready if s.info.role is Role.PARENT]
        self.hub_parents = [s for s in parents if self.where.is_ours(s.info.zone)]
        self.far_parents = [s for s in parents if not self.where.is_ours(s.info.zone)]
        self.origins = [s for s in ready if s.info.role is Role.ORIGIN]
        by_zone: dict[str, list[Target]] = {}
        for s in ready:
            if s.info.role is Role.CACHE:
                by_zone.setdefault(s.info.zone, []).append(s)
        self.caches = by_zone.pop(self.settings.zone, [])  # this location's; the others', nearest hub first
        self.orders.clear()
        guess = LINK_GUESS * sum(s.info.size for s in self.caches) if self.settings.sizes_listed else 0.0
        self.link_in = self.where.link_in or guess
        if self.where.link_in and self.caches and not self.each:  # turned round; who leaves leaves it
            self.each = self.link_in / LINK_GUESS / len(self.caches)
        for s in (*self.caches, *parents) if self.each else ():
            s.room.guess = self.each if s.info.role is Role.CACHE else self.where.mean_link_in
        self.locations = sorted(by_zone.values(), key=lambda caches: self.where.distance(caches[0].info.zone))

    def _learn_work(self, cls: api.RequestClass, took_ms: float) -> None:
        self.work_ms[cls.name] += SMOOTH * 0.5 * (took_ms - self.work_ms[cls.name])

    def _aim(self, r: Pending) -> float:
        return min(r.cls.deadline_ms, r.cls.aim_ms + r.cls.aim_stretch * self._own_work(r))

    def _own_work(self, r: Pending) -> float:
        if r.request.size_kb and (pace := self.settings.client_kb_per_s):
            return r.request.size_kb / pace * 1000.0
        return self.sizes.get(r.obj, self.work_ms[r.cls.name])
