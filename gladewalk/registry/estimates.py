"""Moving averages of transfer times: by class, by object, and of all requests. Times are milliseconds."""

from __future__ import annotations

from .. import interface as api
from .object_locations import BoundedObjectMap
from .records import PendingRequest

EWMA_ALPHA = 0.1  # weight of a new sample in moving averages
TRANSFER_EWMA_ALPHA = 0.05  # weight of a new sample in moving averages of transfer times


class TransferEstimates:
    """How long the response to a request takes to transfer at full speed."""

    def __init__(self) -> None:
        self.mean_ms_by_class: dict[str, float] = {}
        self.mean_ms = 0.0  # over the requests of all classes
        self.by_object: BoundedObjectMap[float] = BoundedObjectMap()
        self.client_rate_kb_per_s = 0.0

    def configure(self, settings: api.Settings) -> None:
        """Initialize new classes with their latency objective; learned values are kept."""
        objectives = {cls.name: cls.latency_objective_ms for cls in settings.classes}
        self.mean_ms_by_class = objectives | self.mean_ms_by_class
        self.mean_ms = self.mean_ms or sum(self.mean_ms_by_class.values()) / len(self.mean_ms_by_class)
        self.client_rate_kb_per_s = settings.client_rate_kb_per_s

    def record_request(self, request: api.Request, request_class: api.RequestClass) -> None:
        """Learn from a request's size, if it is known, and add its class to the mean of all requests."""
        if request.size_kb and self.client_rate_kb_per_s:
            expected_ms = request.size_kb / self.client_rate_kb_per_s * 1000.0
            # A size whose transfer would take longer than the deadline is implausible and is capped.
            self.record_transfer(request_class, min(expected_ms, request_class.deadline_ms))
        class_mean_ms = self.mean_ms_by_class[request_class.name]
        self.mean_ms += TRANSFER_EWMA_ALPHA * (class_mean_ms - self.mean_ms)

    def record_transfer(self, request_class: api.RequestClass, transfer_ms: float) -> None:
        """Learn the transfer time of one response of a class."""
        mean_ms = self.mean_ms_by_class[request_class.name]
        self.mean_ms_by_class[request_class.name] = mean_ms + TRANSFER_EWMA_ALPHA * (transfer_ms - mean_ms)

    def transfer_ms(self, pending: PendingRequest) -> float:
        """A request's expected transfer time: by its size, else by its object, else by its class."""
        if pending.request.size_kb and self.client_rate_kb_per_s:
            return pending.request.size_kb / self.client_rate_kb_per_s * 1000.0
        return self.by_object.get(pending.object_id, self.mean_ms_by_class[pending.request_class.name])

    def max_slowdown(self, pending: PendingRequest) -> float:
        """The greatest slowdown at which a transfer meets its objective; 1 for a client's retry.

        A client's retry has missed its objective already, so it may not slow other transfers.
        """
        if pending.request.is_client_retry:
            return 1.0
        request_class = pending.request_class
        transfer_ms = max(1.0, self.transfer_ms(pending))
        return request_class.latency_objective_stretch + request_class.latency_objective_ms / transfer_ms

    def objective_ms(self, pending: PendingRequest) -> float:
        """A request's latency objective, extended in proportion to its transfer time, up to its deadline."""
        request_class = pending.request_class
        stretch_ms = request_class.latency_objective_stretch * self.transfer_ms(pending)
        return min(request_class.deadline_ms, request_class.latency_objective_ms + stretch_ms)
