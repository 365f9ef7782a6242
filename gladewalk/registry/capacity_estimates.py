"""Estimates of link capacities, learned from responses and load reports. No decisions are made here."""

from __future__ import annotations

import math

from .. import interface as api
from ..interface import Role
from ..limits.concurrency import LatencyBaseline
from .estimates import EWMA_ALPHA, TransferEstimates
from .records import PendingRequest, ServerRecord
from .servers import ServerRegistry

SPARE_UTILIZATION = 0.8  # reported utilization below which a link has spare capacity despite local counts
LOAD_REPORT_TTL_MS = 1_500.0  # how long a load report is used: a few intervals between load reports
SERVER_UTILIZATION, LINK_UTILIZATION = "util", "x1"  # fields of a load report


class CapacityEstimates:
    """Capacities of servers, and until when load reports show spare capacity."""

    def __init__(self, registry: ServerRegistry, transfers: TransferEstimates) -> None:
        self._registry = registry
        self._transfers = transfers
        self._baselines: dict[str, LatencyBaseline] = {}  # by request class
        self.link_spare_until_ms = 0.0  # until when a load report shows spare capacity of the inbound link

    def configure(self, settings: api.Settings, senders: float) -> None:
        """Apply settings; `senders` is how often the load of this location contains that of this process."""
        self._settings, self._senders = settings, senders

    def capacity(self, server: ServerRecord) -> float:
        """Concurrent transfers at full speed that a server's link can handle: learned, else as listed."""
        if self._settings.infers_capacity:
            return server.concurrency_limit.capacity
        return server.info.capacity

    def min_capacity(self, server: ServerRecord) -> float:
        """The least capacity that a server is assumed to have."""
        if self._settings.infers_capacity:
            return server.concurrency_limit.min_capacity
        return server.info.capacity if self._settings.capacities_listed else 1.0

    def record_load_report(self, server: ServerRecord, report: dict[str, float], now_ms: float) -> None:
        """Record a load report. Spare capacity overrides attempt counts, which include fills that wait."""
        until_ms = _spare_until_ms(report.get(SERVER_UTILIZATION), now_ms)
        if until_ms is not None:
            server.spare_capacity_until_ms = until_ms
        if server in self._registry.own_caches:
            until_ms = _spare_until_ms(report.get(LINK_UTILIZATION), now_ms)
            if until_ms is not None:
                self.link_spare_until_ms = until_ms

    def record_hit(self, elapsed_ms: float, pending: PendingRequest, server: ServerRecord) -> None:
        """Learn the server's slowdown and capacity, and the object's transfer time, from a hit."""
        in_flight = len(server.attempts) * self._senders
        if server.info.role is Role.CACHE and self._settings.infers_capacity:
            limit, in_flight_before = server.concurrency_limit, in_flight + self._senders
            baseline = self._baselines.setdefault(pending.request_class.name, LatencyBaseline())
            limit.record_response(
                baseline.record(elapsed_ms, limit.is_lightly_loaded(in_flight_before)), in_flight_before
            )
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
    """Until when a reported utilization shows spare capacity; None if it is not a valid value."""
    if not isinstance(utilization, int | float) or not 0.0 <= utilization < math.inf:
        return None
    return now_ms + LOAD_REPORT_TTL_MS if utilization < SPARE_UTILIZATION else 0.0
