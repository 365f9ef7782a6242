"""Records of servers, of attempts in flight and of requests without a final answer.

Times are Unix milliseconds; names that end in `_gap_ms` or `first_byte_ms` are durations. No decisions are
made here.
"""

from __future__ import annotations

from dataclasses import dataclass

from .. import interface as api
from ..interface import Idempotency
from ..limits.backoff import INITIAL_FILL_QUOTA, INITIAL_RESPONSE_GAP_MS
from ..limits.concurrency import ConcurrencyLimit
from ..limits.idempotency_keys import PossibleExecution
from ..limits.slow_start import SlowStartBudget
from .object_locations import ObjectId
from .rendezvous import server_salt

MAX_RESPONSE_GAP_MS = 1_000.0
RESPONSE_GAP_EWMA_ALPHA = 0.1


class ServerRecord:
    """The listed, counted and inferred state of a cache, a parent or the origin."""

    def __init__(self, info: api.Server, first_byte_ms: float) -> None:
        """`first_byte_ms` is the assumed time to a fill's first byte until one is measured."""
        self.hash_salt = server_salt(info.name)
        self.first_byte_ms = first_byte_ms
        self.attempts: dict[tuple[int, int], float] = {}  # in flight to it or filled from it: send times
        self.fills_in_flight = 0
        self.reset(info)

    def reset(self, info: api.Server) -> None:
        """Discard the measurements from before a restart of the server's process."""
        self.info = info  # its entry in the endpoint list
        self.fill_quota = INITIAL_FILL_QUOTA  # concurrent fills from it that this dispatcher may send
        self.consecutive_failures = 0
        self.log_slowdown = 0.0  # moving average of log(measured / expected time) of hits
        self.weight = 1.0  # factor on its capacity in the rendezvous hash
        self.backoff_until_ms = self.last_sent_ms = self.last_response_ms = 0.0
        self.spare_capacity_until_ms = 0.0  # until when a load report shows spare capacity of its link
        self.response_gap_ms = INITIAL_RESPONSE_GAP_MS  # moving average of the time between responses
        self.started_ms = info.started_ms  # last start of its process, listed or inferred
        self.slow_start_budget = SlowStartBudget()
        self.concurrency_limit = ConcurrencyLimit()

    def record_response(self, now_ms: float) -> None:
        """Record any response of the server, whatever its status; ends its backoff."""
        if self.last_response_ms:
            gap_ms = min(now_ms - self.last_response_ms, MAX_RESPONSE_GAP_MS)
            self.response_gap_ms += RESPONSE_GAP_EWMA_ALPHA * (gap_ms - self.response_gap_ms)
        self.last_response_ms = now_ms
        self.consecutive_failures, self.backoff_until_ms = 0, 0.0

    @property
    def address(self) -> str:
        """The address to connect to; clients with cached DNS answers use it even after the server is gone."""
        return self.info.address or self.info.name


@dataclass(slots=True)
class Attempt:
    """An attempt in flight."""

    endpoint: api.Server  # the server as it was listed when the attempt was sent
    host: str  # the server's name
    source: str | None  # the name of the source that fills a miss
    sent_ms: float
    purged_ms: float  # the object's latest purge that the attempt's maximum copy age takes into account
    is_fill: bool  # a read with a source


class PendingRequest:
    """A request without a final answer yet, and the results of its attempts."""

    def __init__(self, request: api.Request, request_class: api.RequestClass, now_ms: float) -> None:
        """The deadline is `now_ms` plus the request's remaining time."""
        self.request = request
        self.request_class = request_class
        self.object_id: ObjectId = (request.key, request.part)
        self.is_write = request_class.is_write or request.is_write  # writes run at the origin
        self.is_idempotent = request_class.idempotency is Idempotency.IDEMPOTENT
        self.arrived_ms = now_ms
        self.deadline_ms = now_ms + request.time_left_ms
        self.attempts_sent = 0
        self.in_flight: dict[int, Attempt] = {}
        self.missed_at: list[str] = []  # caches that don't have the object
        self.failed_sources: list[str] = []
        self.lost_at: list[str] = []  # hosts whose connection failed once; one more attempt may go there
        self.failed_hosts: list[str] = []
        self.first_execution: PossibleExecution[api.Server] | None = None
        self.is_queued = False
        self.has_response_begun = False
        self.accepts_stale = False
        # The hub's parents at the last ranking for this object, and the same parents in ranked order.
        self.ranked_parents: tuple[list[ServerRecord], list[ServerRecord]] = [], []

    def rule_out_unresponsive(self, server: str, attempt: Attempt) -> None:
        """Exclude an unresponsive server, which is the attempt's host or the source of its fill."""
        if attempt.host == server:
            self.failed_hosts.append(server)
        else:
            self.rule_out_source(server, attempt.host)

    def rule_out_source(self, source: str, host: str) -> None:
        """Exclude this source from further fills, and don't look up the object at this host again."""
        self.failed_sources.append(source)
        self.missed_at.append(host)
