"""Names: where to fetch an object by oneself, by the same home and the same rules."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .. import interface as api
from ..registry.known import PURGE_KEEP_MS
from ..registry.records import PendingRequest, ServerRecord
from .ladder import Ladder

if TYPE_CHECKING:
    from ..registry.dns_leases import Ledger

LEASE_MS = 300_000.0  # how long an answer is taken to be held, whatever its time to live said (ms, ours)


class Naming(Ladder):
    """Answers that are held: counted beforehand, since none can be called back."""

    def _on_locate(self, q: api.ResolveRequest) -> None:
        cls = self.classes.get(q.class_name)
        if cls is None:
            return self._do(api.Reject(q.id))
        r = PendingRequest(api.Request(q.id, q.class_name, q.key, q.time_left_ms, part=q.part), cls, self.now)
        homes = self._homes(r)
        if not homes and not any(map(self._usable, (*self.hub_parents, *self.far_parents, *self.origins))):
            return self.unnamed.update({q.id: q})  # waits for a server, or its client's going
        self.unnamed.pop(q.id, None)
        ledger = self.names()
        named = (
            [] if not homes or cls.is_write or self._is_unsettled(q) else self._nameable(q, r, homes, ledger)
        )
        ttls = [ledger.ttl_ms(s.address, self._lease_most(s), self._is_cold(s), self.now) for s in named]
        self._do(api.Resolved(q.id, tuple(s.info.name for s in named), min(ttls, default=ledger.ttl_most_ms)))

    def names(self) -> Ledger:
        """What resolvers hold; a dispatcher that nobody asks for names does without it."""
        if self.ledger is None:
            from ..registry.dns_leases import Ledger

            self.ledger = Ledger()
        return self.ledger

    def _nameable(
        self, q: api.ResolveRequest, r: PendingRequest, homes: list[ServerRecord], ledger: Ledger
    ) -> list[ServerRecord]:
        """The home, and the next cache if that holds the object, too; else where a crowded one's goes."""
        second = self._second_home(r, homes)
        both = [homes[0], second] if second and second in self._holders(r) else [homes[0]]
        named = [s for s in both if self._lease(s, q, r, ledger, 1.0 / len(both))]
        return named or [s for s in (second,) if s and s not in both and self._lease(s, q, r, ledger, 1.0)]

    def may_name(self, q: api.ResolveRequest, name: str) -> bool:
        """Asked as the answer is written: guards against a drain or a purge told since it was decided."""
        return self._is_ready(name) and not self._is_unsettled(q)

    def _is_unsettled(self, q: api.ResolveRequest) -> bool:
        """Purged so lately that a cache may still hold a copy from before, which nobody else can refuse."""
        since = self.now - self.settings.purge_settle_ms - PURGE_KEEP_MS
        return self.purged.any_since(q.key, q.group, since)

    def _lease(
        self, s: ServerRecord, q: api.ResolveRequest, r: PendingRequest, ledger: Ledger, part: float
    ) -> bool:
        """Count an answer as held; False if that were too many for the server started cold.

        Guards against resolvers that keep answers past their time: none can be called back at a restart.
        """
        place, most = (s.address, q.resolver, r.object_id), self._lease_most(s)
        full = q.transfers * part > ledger.room(*place, most, self.now)
        if full or self._is_crowded(s, r) or not self._has_cold_room(s):
            return False
        if self._is_cold(s):
            s.slow_start_budget.spend(self.work_ms[r.request_class.name])
        ledger.hold(*place, self.now + LEASE_MS, q.transfers * part)
        return True
