"""The tasks that a director performs under its leases: purges, the fleet report, token announcements.

    purge    an operator's requests, forwarded to every hub cache (`purge_requests.py`)
    report   the fleet's metrics, sent to the collector (`fleet_report.py`)
    others   only the token, announced to a worker that waits for it at its resource

`tick` reads each task's token immediately before it sends operations, and all of them carry that token. No
I/O.
"""

from __future__ import annotations

from .candidate import LeaseCandidate
from .fenced_operations import FencedOperationQueue
from .fleet_report import FleetReport
from .messages import (
    Completed,
    DirectorMetrics,
    Message,
    OperationResponse,
    PurgeRequest,
    Replicated,
    SyncRequest,
    SyncResponse,
)
from .outputs import Output, Send
from .purge_requests import PurgeRejectedError, PurgeRequests
from .status import HolderTasksStatus

PURGE_TASK, REPORT_TASK = "purge", "report"


class LeaseHolderTasks:
    """One director's tasks; `purges` or `report` is None if that task is not configured."""

    def __init__(
        self,
        candidate: LeaseCandidate,
        operations: FencedOperationQueue,
        purges: PurgeRequests | None,
        report: FleetReport | None,
        announce_interval_ms: float,
        report_interval_ms: float,
        now_ms: float,
    ) -> None:
        self.candidate, self.operations, self.purges, self.report = candidate, operations, purges, report
        self.announce_interval_ms, self.report_interval_ms = announce_interval_ms, report_interval_ms
        self.next_announcement_ms = self.next_report_ms = now_ms
        self.held_tokens: dict[str, int] = {}  # by task, as of the last tick

    def handle(self, message: Message, now_ms: float) -> list[Output]:
        """Handles any message that is not an election message."""
        match message:
            case OperationResponse():
                return self._handle_response(message, now_ms)
            case DirectorMetrics():
                if self.report is not None:
                    self.report.record(message, now_ms)
                return []
            case _:
                return [] if self.purges is None else self._handle_purge_message(self.purges, message, now_ms)

    def tick(self, now_ms: float, wall_ms: float) -> list[Output]:
        """Performs the work that is due for every task, under the token held now."""
        outputs: list[Output] = [] if self.purges is None else self.purges.tick(now_ms)
        is_announcing = now_ms >= self.next_announcement_ms
        if is_announcing:
            self.next_announcement_ms = now_ms + self.announce_interval_ms
        is_reporting = self.report is not None and now_ms >= self.next_report_ms
        if is_reporting:
            self.next_report_ms = now_ms + self.report_interval_ms
            outputs += self._send_metrics(now_ms, wall_ms)
        for task in self.candidate.leases:
            token = self.candidate.token(task, now_ms)
            if token is None:
                self._handle_lost_lease(task)
                continue
            is_new = self.held_tokens.get(task) != token
            self.held_tokens[task] = token
            if is_announcing or is_new:  # a new holder first raises every fence
                outputs += self.operations.announce_token(task, token, wall_ms)
            if task == PURGE_TASK:
                outputs += self._forward_purges(now_ms)
            if task == REPORT_TASK and is_reporting:
                self._submit_report(now_ms, wall_ms)
            outputs += self.operations.take_due(task, token, now_ms, wall_ms)
        return outputs

    def next_due_ms(self, now_ms: float) -> float:
        """Returns the latest time at which `tick` has to be called next; not before `now_ms`."""
        due_ms = self.next_announcement_ms
        if self.report is not None:
            due_ms = min(due_ms, self.next_report_ms)
        if self.purges is not None:
            due_ms = min(due_ms, self.purges.next_due_ms())
        for task in self.held_tokens:
            due_ms = min(due_ms, self.operations.next_due_ms(task))
        return max(due_ms, now_ms)

    def request_purge(self, target: str, now_ms: float, wall_ms: float) -> tuple[str, list[Output]]:
        """Accepts an operator's purge and returns its id; raises `PurgeRejectedError` with the reason."""
        if self.purges is None:
            raise PurgeRejectedError("purges need hub caches, and none are configured (leases.hubs)")
        request, outputs = self.purges.create(target, now_ms, wall_ms)
        return request.request_id, outputs

    def status(self) -> HolderTasksStatus:
        """Counts purge requests and operations."""
        return HolderTasksStatus(
            open_purges=len(self.purges.open) if self.purges is not None else 0,
            completed_purges=len(self.purges.completed) if self.purges is not None else 0,
            pending_operations=len(self.operations.pending),
        )

    def _handle_purge_message(self, purges: PurgeRequests, message: Message, now_ms: float) -> list[Output]:
        match message:
            case PurgeRequest():
                return purges.handle_request(message)
            case Replicated():
                purges.handle_replicated(message)
                return []
            case Completed():
                self.operations.cancel(PURGE_TASK, message.request_id)
                return purges.handle_completed(message)
            case SyncRequest():
                return purges.handle_sync_request(message)
            case SyncResponse():
                return purges.handle_sync_response(message, now_ms)
            case _:
                return []

    def _handle_response(self, response: OperationResponse, now_ms: float) -> list[Output]:
        if not response.is_accepted:
            return self.candidate.handle_fencing(
                response.task, response.token, response.highest_token, now_ms
            )
        operation = self.operations.handle_acceptance(response)
        if operation is None or operation.task != PURGE_TASK or self.purges is None:
            return []
        return self.purges.handle_forwarded(operation.operation_id, operation.resource, response.token)

    def _send_metrics(self, now_ms: float, wall_ms: float) -> list[Output]:
        if self.report is None:
            return []
        own = self.report.record_own(now_ms, wall_ms)
        return [Send(director, own) for director in self.report.others]

    def _forward_purges(self, now_ms: float) -> list[Output]:
        if self.purges is None:
            return []
        for request in self.purges.requests_to_forward():
            if not self.operations.is_pending(PURGE_TASK, request.request_id):
                self.operations.submit(PURGE_TASK, request.request_id, request.target.encode(), now_ms)
        return self.purges.sync(now_ms)

    def _submit_report(self, now_ms: float, wall_ms: float) -> None:
        if self.report is None:
            return
        self.operations.cancel(REPORT_TASK)  # an older report that was not accepted is superseded
        for page in self.report.build(now_ms, wall_ms):
            self.operations.submit(REPORT_TASK, page.operation_id, page.body, now_ms)

    def _handle_lost_lease(self, task: str) -> None:
        if self.held_tokens.pop(task, None) is None:
            return
        self.operations.cancel(task)
        if task == PURGE_TASK and self.purges is not None:
            self.purges.reset_forwarding()
