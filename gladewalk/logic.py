"""The decision module: every decision of a dispatcher, in the order of a request's path.

Events come in, actions go out; both are the small types of `interface.py`, read that first. A request goes to
the one cache of its location that its object hashes to (the home). What the home lacks is filled from a
remembered holder, else from the hub's parent, then others and the origin, each within a measured share.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

from . import interface as api
from .interface import Effect, Note, Role, Scope, ServerState, Status

if TYPE_CHECKING:
    from .ledger import Ledger

# Constants: unit, reason, source.
MEMORY_MS = 30_000.0  # a holder's memory fades in this (ms); the design page
OBJECTS_KNOWN = 8192  # objects whose holders, or whose sending time, are known at most (ours)
SHARE_START = 2.0  # concurrent fills a source gets at first; the design page
SHARE_FLOOR = 1.0  # one trial is always allowed; the design page
SHARE_MOST = 64.0  # fills; keeps a share from growing past what a halving can undo (ours)
TRIAL_RATE = 0.08  # part of unremembered fills that ask a sibling first: "a few" (ours)
COLD_MARGIN = 0.8  # part of a cold server's budget that we plan with; sizes and means are estimates (ours)
COLD_BURST = 0.3  # part of a fall window's budget that may be saved up, at least one request (ours)
BACKOFF_MS = 400.0  # first rest of a server that failed (ms), doubled with each further failure (ours)
BACKOFF_MOST_MS = 4_000.0  # longest rest (ms): a server that comes back is found again in this (ours)
SILENCE_MS = 700.0  # nothing heard for this with work out (ms): treated as silent (ours)
SILENCE_GAPS = 8.0  # or for this many of the usual gaps between answers, where that is longer (ours)
GAP_START_MS = 300.0  # gap between answers that is taken as usual before any was seen (ms, ours)
RETRY_RATE = 0.15  # tries after failures or second copies that one request pays for: no feedback (ours)
RETRY_MOST = 12.0  # such tries that may be saved up (ours)
PUMP_TRIES = 8  # waiting requests that may find no room before the rest isn't looked at; bounds cost (ours)
SLOW = 2.5  # times slower than its location's median from which a cache loses weight: beyond chance (ours)
CALM = 0.8  # part of a link in use, as reported, under which it is not crowded whatever we count (ours)
LOAD_FRESH_MS = 1_500.0  # a load report is used for this long (ms): a few report periods (ours)
HOT_MS = 1_500.0  # an object got from its home this lately (ms) is hot: it may have a second home (ours)
DOWN_MS = 400.0  # a server out of reach and not heard for this long (ms) is down: our usual gap (ours)
SWEEP_MS = 50.0  # how often silence and waiting requests are looked at (ms, ours)
ADVICE_MS = 500.0  # wait that a refused client is advised (ms), cut to what clients heed (ours)
SMOOTH = 0.1  # weight of a new sample in moving averages (ours)
PURGE_KEEP_MS = 1_000.0  # purges are remembered this much longer than they take to settle (ms, ours)
CROWD = 0.75  # part of the slowdown that still meets the aim up to which a cache is filled (ours)
PATIENCE = 0.25  # part of the aim that a fill waits for a busy parent before the origin may take it (ours)
LINK_GUESS = 0.5  # an untold link in over its caches' links: about what misses draw at full load (ours)
CROWD_SPREAD = 0.8  # standard deviations that our part of its traffic may lie over the mean (ours)
YOUNG_MS = 300.0  # an age bound under this makes a lookup pointless: nothing can be so young (ms, ours)
ORDERS_KEPT = 16_384  # objects whose order of homes is kept at most; bounds memory (ours)
PLACES_PART = 0.9  # part of the places for clients that we fill by choice: the rest takes bursts (ours)
PRICE_LEAST = 2e-3  # worth a ms that a place costs at first, at which nothing is shed (ours)
PRICE_MOST = 0.01  # and at the most: small requests pass even while silent servers hold all places (ours)
PLACE_MS = 20.0  # what a request holds its place beside its sending time: as measured on sockets (ms, ours)
LEASE_MS = 300_000.0  # how long an answer is taken to be held, whatever its time to live said (ms, ours)
LEASE_PART = 0.5  # part of a cold server's budget that held answers may fill; the rest is for sends (ours)
SPARE_MS = 60.0  # a request with less time than this gets its final answer now (ms): over one sweep (ours)

Object = tuple[int, int]
MASK = (1 << 64) - 1


def mix(value: int) -> int:
    """A stable 64-bit mix of an integer (the splitmix64 finaliser)."""
    value = (value + 0x9E3779B97F4A7C15) & MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & MASK
    return value ^ (value >> 31)


def _keep(store: dict[Object, Any], obj: Object, value: Any) -> None:
    """Put last what is known of an object; what was put longest ago goes when there is too much."""
    store.pop(obj, None)
    store[obj] = value
    if len(store) > OBJECTS_KNOWN:
        del store[next(iter(store))]


def place_of(s: _Server) -> str:
    """Held answers outlive a server: who holds one goes on dialling its place."""
    return s.info.place or s.info.name


class _Server:
    """What this dispatcher knows and has inferred of a cache, a parent or the origin."""

    def __init__(self, info: api.Server, first_byte_ms: float) -> None:
        self.salt = mix(int.from_bytes(info.name.encode(), "big") & MASK ^ mix(len(info.name)))
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
        self.credit, self.credit_ms = math.nan, 0.0  # our part of a cold server's budget, not yet spent


@dataclass(slots=True)
class _Flight:
    """An attempt that is out."""

    host: str
    source: str | None
    sent_ms: float
    purge_ms: float  # the purge that its age bound heeds


class _Open:
    """A request that this dispatcher still owes its final answer."""

    def __init__(self, request: api.Request, cls: api.RequestClass, now_ms: float) -> None:
        self.request, self.cls = request, cls
        self.obj: Object = (request.key, request.part)
        self.arrived_ms, self.deadline_ms = now_ms, now_ms + request.time_left_ms
        self.sent = 0
        self.out: dict[int, _Flight] = {}
        self.missed, self.bad_sources = list[str](), list[str]()  # caches that lack it; sources that failed
        self.shaken, self.bad_hosts = list[str](), list[str]()  # caches that failed it once, and for good
        self.ran_at: api.Server | None = None  # where it may have run first, and when it was sent there
        self.ran_ms = 0.0
        self.parked = self.begun = self.stale = False
        self.ranked: tuple[list[_Server], list[_Server]] = [], []  # the hub's parents, and in its order


class Dispatcher:
    """One dispatcher's decisions. `handle` takes an event and gives the actions that answer it."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.random = random.Random(seed)
        self.work_ms: dict[str, float] = {}  # mean sending time by class, learned
        self.servers: dict[str, _Server] = {}
        self.open: dict[int, _Open] = {}
        self.flights: dict[tuple[int, int], tuple[_Flight, _Open]] = {}
        self.caches: list[_Server] = []  # this location's, listed ready; so are all of the next four
        self.orders: dict[Object, list[_Server]] = {}  # of this location's caches, till a weight changes
        self.hub_parents: list[_Server] = []
        self.far_parents: list[_Server] = []
        self.origins: list[_Server] = []
        self.locations: list[list[_Server]] = []  # the other locations' caches, nearest hub first
        self.memory: dict[Object, dict[str, float]] = {}  # object -> holder -> when it was last seen there
        self.sizes: dict[Object, float] = {}  # sending times seen (ms), at the least
        self.purged: dict[tuple[str, int], float] = {}  # ("key" | "group", number) -> when it was purged
        self.parked: deque[int] = deque()
        self.unnamed: dict[int, api.Locate] = {}  # asked while nothing can serve
        self.ledger: Ledger | None = None  # answers that are held, by place
        self.outside = 0  # fills out from outside this location
        self.link_in = self.calm_until = 0.0  # transfers that its link in bears at full pace; 0: not known
        self.retries = RETRY_MOST
        self.price = PRICE_LEAST  # worth that a ms of a client's place costs
        self.born_ms, self.now = -1.0, 0.0
        self.actions: list[api.Action] = []
        self.configure(settings)

    def configure(self, settings: api.Settings) -> None:
        """Take settings, at the start or later; what was learned stays, open requests keep their class."""
        api.check(settings)
        self.settings, zones = settings, settings.zones
        self.classes = {cls.name: cls for cls in settings.classes}
        self.work_ms = {cls.name: cls.aim_ms for cls in settings.classes} | self.work_ms
        self.hub = self._hub_of(settings.zone)
        counts = settings.dispatchers_by_zone or (settings.dispatchers,) * len(zones)
        self.here = max(1, counts[zones.index(settings.zone)] if settings.zone in zones else 1)
        self.near = max(1, sum(n for n, z in zip(counts, zones, strict=False) if self._hub_of(z) == self.hub))
        self._index()

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
            case api.ServerList():
                self._on_list(event)
            case api.Purge():
                self._on_purge(event)
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

    def _do(self, action: api.Action) -> None:
        self.actions.append(action)

    # The request path: home, holder, parents, origin.

    def _on_request(self, request: api.Request) -> None:
        cls = self.classes.get(request.class_name)
        if request.id in self.open:
            return None
        if cls is None:  # never sent anywhere, so trying again is harmless
            return self._do(api.Refuse(request.id))
        if request.size_kb and self.settings.client_kb_per_s:
            took = request.size_kb / self.settings.client_kb_per_s * 1000.0
            self._learn_work(cls, min(took, cls.deadline_ms))  # nobody's claim of more counts
        self.retries = min(RETRY_MOST, self.retries + RETRY_RATE)
        entry = self.open[request.id] = _Open(request, cls, self.now)
        # While the origin rests no fill comes in time: a copy in its grace does.
        entry.stale = cls.grace_ms > 0 and any(self.now < s.blocked_until for s in self.origins)
        # Guards against places running out: those that hold one longest for their worth are shed.
        if self.price > PRICE_LEAST and cls.worth < self.price * (PLACE_MS + self._own_work(entry)):
            return self._give_up(entry)
        self._place(entry)

    def _place(self, r: _Open) -> None:
        """Send a request's next attempt, all conditions checked anew; park or end it if there is none."""
        if r.sent >= self.settings.max_attempts or r.deadline_ms - self.now < 1.0 or not self._may_send(r):
            return self._give_up(r)
        write = r.cls.write or r.request.is_write
        max_age = self._max_age(r)
        homes = [s for s in self._homes(r) if self._has_cold_room(s, r.cls)]
        if homes:
            host = homes[0]
            if self._is_crowded(host, r):  # an answer would come late and make others late
                second = self._second_home(r, homes)
                if second is None:
                    return None if not write and self._pass_by(r, max_age) else self._give_up(r)
                host = second
            known_miss = host.info.name in r.missed or self._is_cold(host) or 0 < max_age < YOUNG_MS
            if not write and not known_miss:
                return self._send(r, host, None, max_age)
            source = self._source(r, host)
            return self._park(r) if source is None else self._send(r, host, source, max_age)
        if self._pass_by(r, max_age):
            return None
        return self._park(r) if self._homes(r, resting=True) else self._give_up(r)

    def _second_home(self, r: _Open, homes: list[_Server]) -> _Server | None:
        """Where a crowded home's object goes if it is hot, or known to be held there already."""
        last_seen = self.memory.get(r.obj, {}).get(homes[0].info.name, -math.inf)
        held = self._holders(r) if self.now - last_seen > HOT_MS else homes
        return next((s for s in homes[1:2] if s in held and not self._is_crowded(s, r)), None)

    def _pass_by(self, r: _Open, max_age: float) -> bool:
        """Straight to a parent, or the origin, when no cache of this location can take a request in time."""
        if self.settings.direct and not self._is_link_over(r):
            for source in self._parents(r) or self.origins:
                if self._usable(source) and self._in_scope(r, source) and self._has_room(source, r):
                    self._send(r, source, source, max_age)
                    return True
        return False

    def _homes(self, r: _Open, resting: bool = False) -> list[_Server]:
        """The location's usable caches in the order of the object's weighted rendezvous hash."""
        order = self.orders.get(r.obj)
        if order is None:
            order = self.orders[r.obj] = self._ranked(self.caches, r.obj)
        fit = (s for s in order if (resting or self._usable(s)) and s.info.name not in r.bad_hosts)
        return [s for s in fit if self._in_scope(r, s)]

    def _ranked(self, servers: Iterable[_Server], obj: Object) -> list[_Server]:
        """Weighted rendezvous order: listed size x warm-up share."""
        seed = mix(obj[0] * 1_000_003 + obj[1])

        def score(s: _Server) -> float:
            unit = (mix(seed ^ s.salt) + 0.5) / 2.0**64
            return s.info.size * s.weight * self._warmth(s, self.now) / -math.log(min(unit, 1.0 - 2.0**-53))

        return sorted(servers, key=lambda s: (-score(s), s.info.name))

    def _is_crowded(self, s: _Server, r: _Open) -> bool:
        """Whether one transfer more would slow a cache's link so that this request misses its aim.

        A link shared by n transfers that has room for k runs each at k/n of its pace; our own transfers out,
        times the dispatchers of the location, stand for n. Guards against overload, where late answers crowd
        out those that could be in time. The next cache of the hash is no way out: it mostly lacks the object.
        """
        size, known = s.info.size * s.weight, self.settings.sizes_listed and self.now >= s.calm_until
        return known and self._is_over(len(s.flights), size, self.here, r)

    def _is_over(self, out: int, size: float, senders: int, r: _Open) -> bool:
        slowdown = r.cls.aim_stretch + r.cls.aim_ms / max(1.0, self._own_work(r))
        ours = max(1.0, CROWD * slowdown) * max(1.0, size) / senders
        return out > 0 and out + 1 > ours + CROWD_SPREAD * math.sqrt(ours * (1.0 - 1.0 / senders))

    def _is_link_over(self, r: _Open) -> bool:
        """The same of the location's link in, which all fills from outside share."""
        known = self.link_in > 0 and self.now >= self.calm_until
        return known and self._is_over(self.outside, self.link_in, self.here, r)

    def _source(self, r: _Open, host: _Server) -> _Server | None:
        """The ladder: which source fills a miss."""
        if r.cls.write or r.request.is_write:  # it runs at the origin, or is passed on there
            return next((s for s in (*self.origins, *self._parents(r)) if self._usable(s)), None)
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
        if found or link_over or (patience > 0 and any(self._has_cold_room(s, r.cls) for s in parents)):
            return found  # a busy parent is waited for: the origin is for when none can be used in time
        fresh = (s for s in self.origins if s.info.name not in r.bad_sources)
        return next((s for s in fresh if self._has_room(s, r)), None)

    def _parents(self, r: _Open) -> list[_Server]:
        """The hub's parents in hash order, then the others, soonest first bytes first."""
        if r.ranked[0] is not self.hub_parents:  # once a request, however often it is tried
            r.ranked = self.hub_parents, self._ranked(self.hub_parents, r.obj)
        far = sorted(self.far_parents, key=lambda s: (s.first_byte_ms, s.info.name))
        return [s for s in (*r.ranked[1], *far) if self._usable(s)]

    def _siblings(self, r: _Open) -> list[_Server]:
        """The object's home in one other location, mostly of the own hub: each trial asks another one."""
        if self.settings.siblings is not api.Siblings.ANY or not self.locations:
            return []
        place = int(self.random.random() ** 2 * len(self.locations))
        caches = [s for s in self.locations[place] if self._may_hold(s) and s.info.name not in r.bad_sources]
        return self._ranked(caches, r.obj)[:1]

    def _may_hold(self, s: _Server) -> bool:
        """Whether a remembered or tried holder may be named as a source at this site."""
        if s.info.role is Role.PARENT or not self._usable(s):
            return self._usable(s)
        kind, here = self.settings.siblings, s.info.zone == self.settings.zone
        allowed = kind is api.Siblings.ANY or (kind is api.Siblings.LOCATION and here)
        return allowed and s.info.role is Role.CACHE and not self._is_cold(s)

    def _has_room(self, s: _Server, r: _Open) -> bool:
        return self._usable(s) and s.fills < int(s.share) and self._has_cold_room(s, r.cls)

    def _send(self, r: _Open, host: _Server, source: _Server | None, age: float) -> None:
        number, r.parked = r.sent, False
        r.sent += 1
        asked = source.info.name if source else None
        flight = r.out[number] = _Flight(host.info.name, asked, self.now, self._purged_at(r))
        key = (r.request.id, number)
        self.flights[key] = (flight, r)
        for s in {id(s): s for s in (host, source or host)}.values():
            s.flights[key] = s.last_sent = self.now
            if self._is_cold(s):
                s.credit -= self.work_ms[r.cls.name]
        if source is not None:
            source.fills += 1
            self.outside += source.info.zone != self.settings.zone
        join = self.settings.joins and not r.bad_sources and r.cls.effect is Effect.SAFE
        if source is None and not join and not age:
            return self._do(api.Lookup(r.request.id, host.info.name))
        rank = 0 if r.cls.write or r.request.is_write else 1
        named = (source or host).info
        if host.info.role is Role.PARENT and self.origins:  # named itself, it would give only what it holds
            named = self.origins[0].info
        # While the origin rests, a parent gives what it holds: more asks would keep a stopped origin down.
        rests = named.role is Role.PARENT and any(self.now < s.blocked_until for s in self.origins)
        held_only = source is not None and (named.role is Role.CACHE or rests)
        self._do(api.Fetch(r.request.id, host.info.name, named.name, age, rank, join, held_only))

    def _park(self, r: _Open) -> None:
        """No source has room: wait for one, as long as an answer in time is in reach."""
        if r.deadline_ms - self.now < SPARE_MS:
            return self._give_up(r)  # guards against a client's short last try ending between two sweeps
        if not r.parked:
            r.parked = True
            self.parked.append(r.request.id)

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

    # What answers tell: health, shares, memories, the next attempt.

    def _on_outcome(self, o: api.Outcome) -> None:
        known = self.flights.pop((o.id, o.attempt), None)
        if known is None:
            return
        flight, r = known
        r.out.pop(o.attempt, None)
        # A source's place, or a rest that this ends: for a plain hit nobody can have been waiting.
        wakes = flight.source is not None or any(s.blocked_until for s in self.caches)
        self._learn(o, flight, r)
        if o.id not in self.open:
            return
        if o.status not in (Status.REFUSED, Status.CONNECT_FAILED, Status.NOT_SENT, Status.MISS):
            host = self.servers.get(flight.host)
            if r.ran_at is None and host is not None:
                r.ran_at, r.ran_ms = host.info, flight.sent_ms
        if o.closed:
            self._close(o.id)
        elif o.status is Status.TIMEOUT and self.now >= r.deadline_ms - SPARE_MS:
            self._do(api.Fail(o.id))
            self._close(o.id)
        elif o.status is Status.MISS or not r.out:
            self._again(o, flight, r)
        if wakes:
            self._pump()

    def _again(self, o: api.Outcome, flight: _Flight, r: _Open) -> None:
        """Note what is ruled out for this request and try on."""
        if flight.source is None and o.status is Status.MISS:
            r.missed.append(flight.host)
            return self._place(r)
        hop_failed = o.note in (Note.SOURCE_REFUSED, Note.SOURCE_FAILED, Note.ORIGIN_FAILED)
        if flight.source is not None and (o.status is Status.MISS or hop_failed):
            r.bad_sources.append(flight.source)
            r.missed.append(flight.host)
        elif o.status in (Status.RESET, Status.NOT_SENT) and flight.host not in r.shaken:
            r.shaken.append(flight.host)  # lost on its way, there or back: the home still holds the object
        else:
            r.bad_hosts.append(flight.host)
        if o.status is not Status.MISS:
            if self.retries < 1.0:
                return self._give_up(r)
            self.retries -= 1.0
        self._place(r)

    def _learn(self, o: api.Outcome, flight: _Flight, r: _Open) -> None:
        """Health of the hop that an outcome speaks of, the source's share, and who holds the object."""
        key = (o.id, o.attempt)
        host, source = self.servers.get(flight.host), self.servers.get(flight.source or "")
        for s in (host, source):
            if s is not None:
                s.flights.pop(key, None)
        if source is not None:
            source.fills -= 1
            self.outside -= source.info.zone != self.settings.zone
        if host is not None:
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
            if o.note is Note.SOURCE_LACKS or o.status is Status.MISS:
                self._heard(source)
                self.memory.get(r.obj, {}).pop(source.info.name, None)
            elif o.note in (Note.SOURCE_REFUSED, Note.SOURCE_FAILED) or o.status is Status.TIMEOUT:
                source.share = max(SHARE_FLOOR, source.share / 2)
                if o.note is Note.SOURCE_REFUSED:
                    self._heard(source)
                else:  # with a refusal it was not even reached
                    self._strike(source, hard=o.status is Status.REFUSED)
            elif o.note is Note.ORIGIN_FAILED:
                self._heard(source)
                for origin in self.origins:
                    origin.share = max(SHARE_FLOOR, origin.share / 2)
                    self._strike(origin, hard=False)

    def _learn_load(self, s: _Server, load: dict[str, float]) -> None:
        """A report of room overrules our own counts, in which waiting fills stand too; else they stand."""
        places: tuple[tuple[str, _Server | Dispatcher], ...] = (("util", s), ("x1", self))
        for name, place in places[: 2 if s in self.caches else 1]:
            value = load.get(name)
            if isinstance(value, int | float) and 0.0 <= value < math.inf:  # else as good as none
                place.calm_until = self.now + LOAD_FRESH_MS if value < CALM else 0.0

    def _learn_holders(self, o: api.Outcome, r: _Open, host: _Server, source: _Server | None) -> None:
        if source is None and o.note in (Note.HIT, Note.NONE):
            host.pace += SMOOTH * (math.log(max(1.0, o.took_ms) / max(1.0, self._own_work(r))) - host.pace)
            if not r.request.size_kb:
                took = o.took_ms / max(1.0, len(host.flights) * self.here / max(1.0, host.info.size))
                self._learn_work(r.cls, took)
                _keep(self.sizes, r.obj, took)
        if host.info.role is not Role.ORIGIN and not r.cls.write:
            self._remember(r, host.info.name)
        if source is None:
            return
        if o.waited_ms is not None:
            source.first_byte_ms += SMOOTH * (o.waited_ms - source.first_byte_ms)
        for origin in self.origins if o.note is Note.FILLED_BY_ORIGIN else ():
            self._heard(origin)
        if o.note is not Note.HIT:
            self._heard(source)
            aim = min(r.cls.deadline_ms, r.cls.aim_ms + r.cls.aim_stretch * self._own_work(r))
            if self.now - r.arrived_ms <= aim and source.fills + 1 >= source.share / 2.0:  # only if used
                source.share = min(SHARE_MOST, source.share + 1.0)
            if o.note is Note.FILLED and source.info.role is not Role.ORIGIN:
                self._remember(r, source.info.name)

    def _remember(self, r: _Open, name: str) -> None:
        lately = {n: at for n, at in self.memory.get(r.obj, {}).items() if self.now - at < MEMORY_MS}
        _keep(self.memory, r.obj, lately | {name: self.now})

    def _holders(self, r: _Open) -> list[_Server]:
        """Remembered holders: seen after the object's last purge and their own last start, not faded."""
        since, found = max(self.now - MEMORY_MS, self._purged_at(r)), []
        for name, at in self.memory.get(r.obj, {}).items():
            s = self.servers.get(name)
            if s and at > max(since, s.started_ms) and name not in r.bad_sources and self._may_hold(s):
                found.append(s)
        return found

    def _learn_work(self, cls: api.RequestClass, took_ms: float) -> None:
        self.work_ms[cls.name] += SMOOTH * 0.5 * (took_ms - self.work_ms[cls.name])

    def _own_work(self, r: _Open) -> float:
        if r.request.size_kb and (pace := self.settings.client_kb_per_s):
            return r.request.size_kb / pace * 1000.0
        return self.sizes.get(r.obj, self.work_ms[r.cls.name])

    def _heard(self, s: _Server) -> None:
        if s.heard_ms:
            s.gap_ms += SMOOTH * (min(self.now - s.heard_ms, 1_000.0) - s.gap_ms)
        s.heard_ms, s.fails, s.blocked_until = self.now, 0, 0.0

    def _strike(self, s: _Server, hard: bool) -> None:
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
            s.blocked_until = self.now + min(BACKOFF_MOST_MS, BACKOFF_MS * 2.0 ** min(s.fails - 1, 8))

    def _on_probe(self, p: api.ProbeResult, s: _Server) -> None:
        """A probe proves that a process runs, or is out of reach; not that it serves what it is asked."""
        if p.status is Status.OK and p.age_ms < LOAD_FRESH_MS:
            self._learn_load(s, p.load or {})
        elif p.status in (Status.CONNECT_FAILED, Status.TIMEOUT) and s.heard_ms < self.now - p.age_ms:
            self._strike(s, hard=p.status is Status.CONNECT_FAILED)

    def _usable(self, s: _Server) -> bool:
        """Listed ready and not resting; after its rest one trial at a time, another if it told nothing."""
        if s.info.state is not ServerState.READY or self.now < s.blocked_until:
            return False
        return s.blocked_until == 0.0 or s.last_sent < s.blocked_until or not s.flights

    def _on_timer(self, timer: api.Timer) -> None:
        if timer.token != "sweep":
            return self._do(api.Watch(True)) if timer.token == "watch" else None
        self._do(api.SetTimer(SWEEP_MS, "sweep"))
        busy = {name for flight, _ in self.flights.values() for name in (flight.host, flight.source) if name}
        for s in [self.servers[name] for name in sorted(busy) if name in self.servers]:
            if s.flights and self.now >= s.blocked_until and self._is_silent(s):
                s.fails += 1  # a silence has lasted: it needs no second one
                self._strike(s, hard=False)
                s.share = max(SHARE_FLOOR, s.share / 2)
                self._rescue(s)
        for r in [self.open[number] for number in self.parked if number in self.open]:
            if r.parked and self.now > min(r.arrived_ms + r.cls.aim_ms, r.deadline_ms - SPARE_MS):
                if not r.cls.grace_ms or r.stale:
                    self._give_up(r)
                else:  # no fill in time: a copy in its grace is worth something (a slow or stopped origin)
                    r.stale, r.missed = True, []
                    self._place(r)
        taken = len(self.open) / (self.settings.places or math.inf)
        self.price = min(PRICE_MOST, max(PRICE_LEAST, self.price * math.exp(taken - PLACES_PART)))
        self._weigh()
        self._pump()
        until = self.now - max(self.settings.purge_settle_ms + PURGE_KEEP_MS, MEMORY_MS)
        while self.purged and (oldest := next(iter(self.purged.items())))[1] <= until:
            del self.purged[oldest[0]]

    def _weigh(self) -> None:
        """A cache far slower than its neighbours counts for less, before it costs answers (ageing)."""
        changed = any(s.weight < 1.0 or self._is_cold(s) for s in self.caches)
        paces = sorted(s.pace for s in self.caches)
        for s in self.caches:
            slower = math.exp(s.pace - paces[(len(paces) - 1) // 2])
            s.weight = 1.0 if slower < SLOW else 1.0 / slower
        if changed or len(self.orders) > ORDERS_KEPT or any(s.weight < 1.0 for s in self.caches):
            self.orders.clear()

    def _is_silent(self, s: _Server) -> bool:
        """Work is out at it and nothing has come back for long: hung, vanished or cut off."""
        oldest = next(iter(s.flights.values()))
        limit = max(SILENCE_MS, SILENCE_GAPS * s.gap_ms) * (1.0 if len(s.flights) > 1 else 2.0)
        return self.now - max(oldest, s.heard_ms) > limit

    def _rescue(self, s: _Server) -> None:
        """Second copies, elsewhere and within the retry budget, of what waits for a silent server."""
        for key in list(s.flights) if self.settings.second_copies else ():
            flight, r = self.flights[key]
            spoken_for = key[0] not in self.open or len(r.out) > 1 or r.begun
            if spoken_for or r.cls.effect is not Effect.SAFE or self.retries < 1.0:
                continue
            self.retries -= 1.0
            if flight.host == s.info.name:
                r.bad_hosts.append(s.info.name)
            else:
                r.bad_sources.append(s.info.name)
                r.missed.append(flight.host)
            self._place(r)

    def _on_first_byte(self, first: api.FirstByte) -> None:
        """The answer is on its way to the client: no other attempt can serve this request now."""
        r = self.open.get(first.id)
        if r is not None:
            r.begun = True
            for attempt in r.out if self.settings.may_cancel else ():
                if attempt != first.attempt:
                    self._do(api.Cancel(first.id, attempt))

    def may_write(self, number: int, attempt: int) -> bool:
        """Asked as an attempt's first byte is written: guards against a wait past a drain or a purge."""
        flight, r = self.flights[number, attempt]
        ready = all(self._is_ready(name) for name in (flight.host, flight.source) if name)
        return ready and self._purged_at(r) == flight.purge_ms

    def _is_ready(self, name: str) -> bool:
        return name in self.servers and self.servers[name].info.state is ServerState.READY

    # The end of a request.

    def _may_send(self, r: _Open) -> bool:
        """The rule on double effects: whether a further attempt may be sent at all."""
        if r.begun or r.cls.effect is Effect.SAFE:
            return not r.begun and (not r.out or self.settings.second_copies)
        if r.out or (r.ran_at is not None and r.cls.effect is Effect.UNSAFE):
            return False
        return r.ran_at is None or self.now - r.ran_ms < r.cls.key_window_ms

    def _in_scope(self, r: _Open, s: _Server) -> bool:
        """A keyed request that may have run goes only where its repeat is dropped."""
        if r.cls.effect is not Effect.KEYED or r.ran_at is None or r.cls.scope is Scope.ALL:
            return True
        return s.info.zone == r.ran_at.zone and (r.cls.scope is Scope.ZONE or s.info.cell == r.ran_at.cell)

    def _give_up(self, r: _Open) -> None:
        """Nothing can work now: the final answer at once, with advice where a repeat is harmless."""
        if r.out:
            return  # an attempt is still out and may answer
        everywhere = r.cls.effect is Effect.KEYED and r.cls.scope is Scope.ALL
        harmless = r.cls.effect is Effect.SAFE or r.ran_at is None or everywhere
        advice = min(ADVICE_MS, self.settings.max_retry_after_ms) if self.settings.retry_advice else 0.0
        self._do(api.Refuse(r.request.id, advice) if harmless else api.Fail(r.request.id))
        self._close(r.request.id)

    def _close(self, number: int) -> None:
        r = self.open.pop(number, None)
        if r is not None and self.settings.may_cancel and not r.begun:
            for attempt in r.out:
                self._do(api.Cancel(number, attempt))

    # Cold servers: a share that rises with warm-up, and a budget of their own.

    def _figures(self, s: _Server) -> tuple[float, float, float]:
        t = self.settings
        if s.info.role is Role.PARENT:
            return t.parent_cold_share, t.parent_ramp_ms, t.parent_fall_multiple
        return t.cold_share, t.ramp_ms, t.fall_multiple

    def _is_cold(self, s: _Server) -> bool:
        known = s.info.role is not Role.ORIGIN and s.started_ms > 0
        return known and self.now < s.started_ms + self._figures(s)[1]

    def _warmth(self, s: _Server, at_ms: float) -> float:
        """The part of its capacity that a server has at that time, at the least."""
        if s.info.role is Role.ORIGIN or not s.started_ms:
            return 1.0
        share, ramp_ms, _ = self._figures(s)
        age = max(0.0, at_ms - s.started_ms)
        return 1.0 if age >= ramp_ms else share + (1.0 - share) * age / ramp_ms

    def _has_cold_room(self, s: _Server, cls: api.RequestClass) -> bool:
        """The budget of a cold server: each dispatcher that may send to it earns its part as time goes by."""
        if not self._is_cold(s):
            return True
        if s.info.role is Role.PARENT and self._hub_of(s.info.zone) != self.hub:
            return False  # left to the dispatchers of its own hub
        senders = self.near if s.info.role is Role.PARENT else self.here
        mean = max(self.work_ms.values())
        if math.isnan(s.credit):  # starts apart, so that many senders take turns
            s.credit, s.credit_ms = self.random.random() * mean, self.now
        capacity = (s.info.size if self.settings.sizes_listed else 1.0) * self._warmth(s, s.credit_ms)
        rate = COLD_MARGIN * self._figures(s)[2] * capacity / senders
        if self.ledger is not None:  # held answers draw on the same budget
            rate = max(0.0, rate - self.ledger.total(place_of(s), self._lease_most(s), self.now))
        most = max(mean, rate * self.settings.fall_window_ms * COLD_BURST)
        s.credit = min(most, s.credit + rate * (self.now - s.credit_ms))
        s.credit_ms = self.now
        return s.credit >= self.work_ms[cls.name]

    # Names: where to fetch an object by oneself, by the same home and the same rules.

    def _on_locate(self, q: api.Locate) -> None:
        cls = self.classes.get(q.class_name)
        if cls is None:
            return self._do(api.Refuse(q.id))
        r = _Open(api.Request(q.id, q.class_name, q.key, q.time_left_ms, part=q.part), cls, self.now)
        homes = self._homes(r)
        if not homes and not any(map(self._usable, (*self.hub_parents, *self.far_parents, *self.origins))):
            return self.unnamed.update({q.id: q})  # waits for a server, or its client's going
        self.unnamed.pop(q.id, None)
        ledger = self.names()
        named = [] if not homes or cls.write or self._is_unsettled(q) else self._nameable(q, r, homes, ledger)
        ttls = [ledger.ttl_ms(place_of(s), self._lease_most(s), self._is_cold(s), self.now) for s in named]
        self._do(api.Name(q.id, tuple(s.info.name for s in named), min(ttls, default=ledger.ttl_most_ms)))

    def names(self) -> Ledger:
        """What resolvers hold; a dispatcher that nobody asks for names does without it."""
        if self.ledger is None:
            from .ledger import Ledger

            self.ledger = Ledger()
        return self.ledger

    def _nameable(self, q: api.Locate, r: _Open, homes: list[_Server], ledger: Ledger) -> list[_Server]:
        """The home, and the next cache if that holds the object, too; else where a crowded one's goes."""
        second = self._second_home(r, homes)
        both = [homes[0], second] if second and second in self._holders(r) else [homes[0]]
        named = [s for s in both if self._lease(s, q, r, ledger, 1.0 / len(both))]
        return named or [s for s in (second,) if s and s not in both and self._lease(s, q, r, ledger, 1.0)]

    def may_name(self, q: api.Locate, name: str) -> bool:
        """Asked as the answer is written: guards against a drain or a purge told since it was decided."""
        return self._is_ready(name) and not self._is_unsettled(q)

    def _is_unsettled(self, q: api.Locate) -> bool:
        """Purged so lately that a cache may still hold a copy from before, which nobody else can refuse."""
        since = self.now - self.settings.purge_settle_ms - PURGE_KEEP_MS
        ours = ("key", q.key), ("group", q.group)
        lately = (what for what, at in self.purged.items() if at > since)
        return any(what in ours or (q.group is None and what[0] == "group") for what in lately)

    def _lease(self, s: _Server, q: api.Locate, r: _Open, ledger: Ledger, part: float) -> bool:
        """Count an answer as held; False if that were too many for the server started cold.

        Guards against resolvers that keep answers past their time: none can be called back at a restart.
        """
        place, most = (place_of(s), q.holder, r.obj), self._lease_most(s)
        full = q.weight * part > ledger.room(*place, most, self.now)
        if full or self._is_crowded(s, r) or not self._has_cold_room(s, r.cls):
            return False
        if self._is_cold(s):
            s.credit -= self.work_ms[r.cls.name]
        ledger.hold(*place, self.now + LEASE_MS, q.weight * part)
        return True

    def _lease_most(self, s: _Server) -> float:
        share, _, multiple = self._figures(s)
        capacity = share * (s.info.size if self.settings.sizes_listed else 1.0)
        return LEASE_PART * COLD_MARGIN * multiple * capacity / self.here

    # Purges and the list.

    def _on_purge(self, purge: api.Purge) -> None:
        at = self.now - purge.age_ms
        what = ("group", purge.group) if purge.key is None else ("key", purge.key)
        self.purged[what] = max(at, self.purged.pop(what, at))  # put last, so that the oldest lie in front

    def _purged_at(self, r: _Open) -> float:
        """When this object, or its group, was last purged as far as this dispatcher was told."""
        by_key = self.purged.get(("key", r.request.key), -math.inf)
        return max(by_key, self.purged.get(("group", r.request.group), -math.inf))

    def _max_age(self, r: _Open) -> float:
        """The oldest copy that will do: none from before a purge that this dispatcher was told of."""
        purged = self._purged_at(r)
        limit = r.cls.fresh_ms + (r.cls.grace_ms if r.stale else 0.0)
        if self.now - purged > self.settings.purge_settle_ms + PURGE_KEEP_MS:
            return limit if r.stale else 0.0
        bound = max(1.0, self.now - purged - 1.0)
        return min(bound, limit) if limit else bound

    def _on_list(self, event: api.ServerList) -> None:
        if event.kind is api.ListKind.FAILED:
            return self._do(api.SetTimer(BACKOFF_MS, "watch"))
        named = {info.name for info in event.servers}
        for info in event.servers:
            s = self.servers.get(info.name)
            if s is None:
                s = self.servers[info.name] = _Server(info, 20.0)
                s.first_byte_ms += 30.0 * self._distance(s)
            elif info.started_ms != s.info.started_ms:
                s.reset(info)
            s.info = info
        for name, s in list(self.servers.items()):
            if event.kind is not api.ListKind.CHANGES and name not in named:
                s.info = replace(s.info, state=ServerState.GONE)
            if s.info.state is ServerState.GONE and not s.flights:
                del self.servers[name]
        self._index()
        self._pump()

    def _index(self) -> None:
        """Who is listed ready, by role and location: a request's cost doesn't grow with the fleet."""
        ready = [s for s in self.servers.values() if s.info.state is ServerState.READY]
        parents = [s for s in ready if s.info.role is Role.PARENT]
        self.hub_parents = [s for s in parents if self._hub_of(s.info.zone) == self.hub]
        self.far_parents = [s for s in parents if self._hub_of(s.info.zone) != self.hub]
        self.origins = [s for s in ready if s.info.role is Role.ORIGIN]
        by_zone: dict[str, list[_Server]] = {}
        for s in ready:
            if s.info.role is Role.CACHE:
                by_zone.setdefault(s.info.zone, []).append(s)
        self.caches = by_zone.pop(self.settings.zone, [])
        self.orders.clear()
        t = self.settings
        told = dict(zip(t.zones, t.link_in_kb_per_s, strict=False)).get(t.zone, 0.0)
        guess = LINK_GUESS * sum(s.info.size for s in self.caches) if t.sizes_listed else 0.0
        self.link_in = told / t.client_kb_per_s if told and t.client_kb_per_s else guess
        self.locations = sorted(by_zone.values(), key=lambda caches: self._distance(caches[0]))

    def _hub_of(self, zone: str) -> int:
        return dict(zip(self.settings.zones, self.settings.hub_of, strict=False)).get(zone, -1)

    def _distance(self, s: _Server) -> int:
        """Steps round the ring of hubs from here."""
        ring = max(1, len(set(self.settings.hub_of)))
        steps = abs(self._hub_of(s.info.zone) - self.hub) % ring
        return min(steps, ring - steps)
