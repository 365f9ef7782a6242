"""Estimates of what links bear, learned from answers and load reports. Nothing is decided here."""

from __future__ import annotations

import math

from .. import interface as api
from ..interface import Role
from ..limits.concurrency import LatencyBaseline
from .estimates import EWMA_ALPHA, TransferEstimates
from .records import PendingRequest, ServerRecord
from .servers import ServerRegistry

SPARE_UTILIZATION = 0.8  # of a link, as reported, under which it is not crowded whatever is counted here
LOAD_REPORT_TTL_MS = 1_500.0  # a few periods of the reports
SERVER_UTILIZATION, LINK_UTILIZATION = "util", "x1"  # fields of a load report


class CapacityEstimates:
    """Capacities of servers and until when load reports show spare capacity."""

    def __init__(self, registry: ServerRegistry, transfers: TransferEstimates) -> None:
        self._registry = registry
        self._transfers = transfers
        self._baselines: dict[str, LatencyBaseline] = {}  # by class
        self.link_spare_until_ms = 0.0  # until then a load report says that the inbound link is not full

    def configure(self, settings: api.Settings, senders: int) -> None:
        """Take settings, and how many dispatchers of this location send."""
        self._settings, self._senders = settings, senders

    def capacity(self, server: ServerRecord) -> float:
        """Transfers at full pace that a server's link bears: as learned, else as listed."""
        if self._settings.infers_capacity:
            return server.concurrency_limit.capacity
        return server.info.capacity

    def min_capacity(self, server: ServerRecord) -> float:
        """The least capacity that a server is assumed to have."""
        if self._settings.infers_capacity:
            return server.concurrency_limit.min_capacity
        return server.info.capacity if self._settings.capacities_listed else 1.0

    def record_load_report(self, server: ServerRecord, report: dict[str, float], now_ms: float) -> None:
        """Let a report of spare capacity overrule the counts of attempts, which include waiting fills."""
        until_ms = _spare_until_ms(report.get(SERVER_UTILIZATION), now_ms)
        if until_ms is not None:
            server.spare_capacity_until_ms = until_ms
        if server in self._registry.own_caches:
            until_ms = _spare_until_ms(report.get(LINK_UTILIZATION), now_ms)
            if until_ms is not None:
                self.link_spare_until_ms = until_ms

    def record_hit(self, elapsed_ms: float, pending: PendingRequest, server: ServerRecord) -> None:
        """Learn from a hit: the server's slowdown and capacity, and the object's transfer time."""
        in_flight = len(server.attempts) * self._senders
        if server.info.role is Role.CACHE and self._settings.infers_capacity:
            limit, with_this = server.concurrency_limit, in_flight + self._senders
            baseline = self._baselines.setdefault(pending.request_class.name, LatencyBaseline())
            limit.record_response(baseline.record(elapsed_ms, limit.is_lightly_loaded(with_this)), with_this)
        slowdown = max(1.0, elapsed_ms) / max(1.0, self._transfers.transfer_ms(pending))
        server.log_slowdown += EWMA_ALPHA * (math.log(slowdown) - server.log_slowdown)
        if pending.request.size_kb:
            return
        transfer_ms = elapsed_ms
        if server in self._registry.own_caches:
            transfer_ms /= max(1.0, in_flight / max(1.0, self.capacity(server)))
        self._transfers.record_transfer(pending.request_class, transfer_ms)
        self._transfers.by_object.put(pending.object_id, transfer_ms)


def _spare_until_ms(utilization: float | None, now_ms: float) -> float | None:
    """Until when a utilization proves spare capacity; None for a value that can't be one."""
    if not isinstance(utilization, int | float) or not 0.0 <= utilization < math.inf:
        return None
    return now_ms + LOAD_REPORT_TTL_MS if utilization < SPARE_UTILIZATION else 0.0
