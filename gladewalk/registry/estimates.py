"""Moving averages of transfer times: by class, by object, and of all requests. Times are milliseconds."""

from __future__ import annotations

from .. import interface as api
from .object_locations import BoundedObjectMap
from .records import PendingRequest

EWMA_ALPHA = 0.1  # weight of a new sample in moving averages
TRANSFER_EWMA_ALPHA = 0.05


class TransferEstimates:
    """How long the answer of a request takes to transfer at full pace."""

    def __init__(self) -> None:
        self.mean_ms_by_class: dict[str, float] = {}
        self.mean_ms = 0.0  # of a request of any class
        self.by_object: BoundedObjectMap[float] = BoundedObjectMap()
        self.client_rate_kb_per_s = 0.0

    def configure(self, settings: api.Settings) -> None:
        """Start new classes at their latency objective; whatever was learned stays."""
        objectives = {cls.name: cls.latency_objective_ms for cls in settings.classes}
        self.mean_ms_by_class = objectives | self.mean_ms_by_class
        self.mean_ms = self.mean_ms or sum(self.mean_ms_by_class.values()) / len(self.mean_ms_by_class)
        self.client_rate_kb_per_s = settings.client_rate_kb_per_s

    def record_request(self, request: api.Request, request_class: api.RequestClass) -> None:
        """Learn from a request's size, if it is known, and count its class in the mean of all requests."""
        if request.size_kb and self.client_rate_kb_per_s:
            own_ms = request.size_kb / self.client_rate_kb_per_s * 1000.0
            # A claim of more than the deadline allows is not believed.
            self.record_transfer(request_class, min(own_ms, request_class.deadline_ms))
        class_mean_ms = self.mean_ms_by_class[request_class.name]
        self.mean_ms += TRANSFER_EWMA_ALPHA * (class_mean_ms - self.mean_ms)

    def record_transfer(self, request_class: api.RequestClass, transfer_ms: float) -> None:
        """Learn the transfer time of one answer of a class."""
        mean_ms = self.mean_ms_by_class[request_class.name]
        self.mean_ms_by_class[request_class.name] = mean_ms + TRANSFER_EWMA_ALPHA * (transfer_ms - mean_ms)

    def transfer_ms(self, pending: PendingRequest) -> float:
        """A request's own transfer time: by its size, else by its object, else by its class."""
        if pending.request.size_kb and self.client_rate_kb_per_s:
            return pending.request.size_kb / self.client_rate_kb_per_s * 1000.0
        return self.by_object.get(pending.object_id, self.mean_ms_by_class[pending.request_class.name])

    def max_slowdown(self, pending: PendingRequest) -> float:
        """How slow a transfer may run to meet its objective; a client's retry has missed its own already."""
        if pending.request.is_client_retry:
            return 1.0
        request_class = pending.request_class
        transfer_ms = max(1.0, self.transfer_ms(pending))
        return request_class.latency_objective_stretch + request_class.latency_objective_ms / transfer_ms

    def objective_ms(self, pending: PendingRequest) -> float:
        """A request's latency objective, stretched by its transfer time and bounded by its deadline."""
        request_class = pending.request_class
        stretch_ms = request_class.latency_objective_stretch * self.transfer_ms(pending)
        return min(request_class.deadline_ms, request_class.latency_objective_ms + stretch_ms)
