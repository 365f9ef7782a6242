"""Records of servers, of attempts in flight and of requests without a final answer.

Times are Unix milliseconds unless a name says otherwise. Nothing is decided here.
"""

from __future__ import annotations

from dataclasses import dataclass

from .. import interface as api
from ..limits.backoff import GAP_START_MS, SHARE_START
from ..limits.concurrency import Room
from ..limits.slow_start import Credit
from .object_locations import Object
from .rendezvous import salt_of


class ServerRecord:
    """What is listed, counted and inferred of a cache, a parent or the origin."""

    def __init__(self, info: api.Server, first_byte_ms: float) -> None:
        """`first_byte_ms` is the time to a fill's first byte that is assumed before one was seen."""
        self.hash_salt = salt_of(info.name)
        self.first_byte_ms = first_byte_ms
        self.attempts: dict[tuple[int, int], float] = {}  # in flight to it or filled from it: when sent
        self.fills_in_flight = 0
        self.reset(info)

    def reset(self, info: api.Server) -> None:
        """Forget what was measured before a restart of the server's process."""
        self.info = info  # its entry in the endpoint list
        self.fill_quota = SHARE_START  # concurrent fills that this dispatcher may have out at it
        self.consecutive_failures = 0
        self.log_slowdown = 0.0  # moving average of the logarithm of hits' time over the expected time
        self.weight = 1.0  # factor on its capacity in the rendezvous hash
        self.backoff_until_ms = self.last_sent_ms = self.last_answer_ms = 0.0
        self.spare_capacity_until_ms = 0.0  # until then a load report says that its link is not full
        self.answer_gap_ms = GAP_START_MS  # moving average of the time between answers
        self.started_ms = info.started_ms  # last start of its process, listed or inferred
        self.slow_start_budget = Credit()
        self.concurrency_limit = Room()

    @property
    def address(self) -> str:
        """Where it is dialled; who holds a DNS answer goes on dialling that after the server is gone."""
        return self.info.address or self.info.name


@dataclass(slots=True)
class Attempt:
    """An attempt in flight."""

    endpoint: api.Server  # the server as it was listed when the attempt was sent
    host: str  # the server's name
    source: str | None  # the name of the source that fills a miss
    sent_ms: float
    purged_ms: float  # the object's last purge that the attempt's age bound takes into account


class PendingRequest:
    """A request without its final answer, and what its attempts have shown."""

    def __init__(self, request: api.Request, request_class: api.RequestClass, now_ms: float) -> None:
        """The deadline is what the request has left, from `now_ms` on."""
        self.request = request
        self.request_class = request_class
        self.object_id: Object = (request.key, request.part)
        self.is_write = request_class.is_write or request.is_write  # it runs at the origin
        self.arrived_ms = now_ms
        self.deadline_ms = now_ms + request.time_left_ms
        self.attempts_sent = 0
        self.in_flight: dict[int, Attempt] = {}
        self.missed_at: list[str] = []  # caches that lack the object
        self.failed_sources: list[str] = []
        self.lost_at: list[str] = []  # hosts at which one attempt was lost; they may be asked once more
        self.failed_hosts: list[str] = []
        self.first_execution: tuple[float, api.Server] | None = None  # when and where it may have run first
        self.is_queued = False
        self.has_response_begun = False
        self.accepts_stale = False
        # The hub's parents, as they were last ranked for this object, and in that order.
        self.ranked_parents: tuple[list[ServerRecord], list[ServerRecord]] = [], []
