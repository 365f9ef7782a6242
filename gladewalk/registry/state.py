"""The state that the components of the decision module share. No decisions are made here."""

from __future__ import annotations

import random
from enum import StrEnum
from typing import TYPE_CHECKING

from .. import interface as api
from ..limits.slow_start import slow_start_by_role, subset_position
from .capacity_estimates import CapacityEstimates
from .estimates import TransferEstimates
from .execution_log import ExecutionLog
from .object_locations import ObjectLocations, PurgeLog
from .records import Attempt, PendingRequest, ServerRecord
from .request_queue import RequestQueue
from .servers import ServerRegistry
from .topology import Topology

if TYPE_CHECKING:
    from .dns_leases import DnsLeaseTable

AttemptKey = tuple[int, int]  # request id, attempt number


class TimerToken(StrEnum):
    """Tokens of the timers that the decision module sets."""

    SWEEP = "sweep"
    WATCH = "watch"


class RoutingState:
    """The state of one dispatcher, with its clock, random numbers and the actions for the current event."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.random = random.Random(seed)
        self.now_ms = 0.0
        self.actions: list[api.Action] = []
        self.registry = ServerRegistry()
        self.estimates = TransferEstimates()
        self.capacities = CapacityEstimates(self.registry, self.estimates)
        self.executions = ExecutionLog()
        self.locations = ObjectLocations()
        self.purges = PurgeLog()
        self.pending: dict[int, PendingRequest] = {}
        self.attempts: dict[AttemptKey, tuple[Attempt, PendingRequest]] = {}
        self.queue = RequestQueue(self.pending)  # requests that wait for a source
        self.unresolved: dict[int, api.ResolveRequest] = {}  # resolve requests without a usable server
        self.dns_leases: DnsLeaseTable | None = None  # None until the first resolve request
        self.inbound_fills = 0  # fills in flight from outside this location, over its inbound link
        self.process_count = 1  # that serve as this dispatcher
        self.process_share = 1.0  # of the dispatcher's budgets, which this process may use
        self.configure(settings)

    def configure(self, settings: api.Settings) -> None:
        """Apply settings, at the start or later; learned values stay, pending requests keep their class.

        Raises `InvalidSettingsError` for settings that contradict one another.
        """
        api.validate_settings(settings)
        self.settings = settings
        self.classes = {request_class.name: request_class for request_class in settings.classes}
        self.slow_start = slow_start_by_role(settings)
        self.topology = Topology(settings)
        self.estimates.configure(settings)
        self.capacities.configure(settings, self.senders_in_zone)
        self.registry.configure(settings, self.topology)

    def set_process_share(self, event: api.ProcessShareChanged) -> None:
        """Apply the share of the dispatcher's budgets that this process has from now on."""
        self.process_count, self.process_share = event.process_count, event.share
        self.capacities.configure(self.settings, self.senders_in_zone)

    @property
    def senders_in_zone(self) -> float:
        """How many senders of this process's size the dispatchers of this location are together."""
        return self.topology.senders_in_zone / self.process_share

    def emit(self, action: api.Action) -> None:
        """Add an action to those returned for the current event."""
        self.actions.append(action)

    def is_warming_up(self, server: ServerRecord) -> bool:
        """Whether a server has restarted recently and does not have its full capacity yet."""
        return self.slow_start[server.info.role].is_warming_up(server.started_ms, self.now_ms)

    def capacity_fraction(self, server: ServerRecord) -> float:
        """The least fraction of its full capacity that a server has now."""
        slow_start = self.slow_start[server.info.role]
        return slow_start.capacity_fraction(server.started_ms, self.now_ms)

    def sustainable_rate(self, server: ServerRecord) -> float:
        """Work per millisecond, of all senders together, that a server which is warming up can handle."""
        slow_start = self.slow_start[server.info.role]
        at_ms = server.slow_start_budget.updated_ms or self.now_ms
        fraction = slow_start.capacity_fraction(server.started_ms, at_ms)
        return slow_start.sustainable_rate(self.capacities.min_capacity(server) * fraction)

    def busy_servers(self) -> list[ServerRecord]:
        """The hosts and sources of the attempts in flight, ordered by name."""
        names = {name for attempt, _ in self.attempts.values() for name in (attempt.host, attempt.source)}
        servers = (self.registry.get(name) for name in sorted(name for name in names if name))
        return [server for server in servers if server is not None]

    def last_purge_ms(self, pending: PendingRequest) -> float:
        """When the request's object was last purged; minus infinity if never."""
        return self.purges.last_ms(pending.request.key, pending.request.group)

    def recall_executions(self, pending: PendingRequest) -> None:
        """Give a request what is known of earlier sends of it, here or by another process."""
        earlier = pending.request.earlier_execution
        if earlier is not None:
            server = self.registry.get(earlier.server)
            unknown_place = api.Server(earlier.server, api.Role.CACHE, zone="")
            place = server.info if server is not None else unknown_place
            self.executions.recall_elsewhere(pending, place, pending.arrived_ms)
        self.executions.recall(pending, self.now_ms)

    def may_record(self, pending: PendingRequest) -> bool:
        """Whether an attempt of the request can be recorded; else its retries could not be told from it.

        Looks up again what has been sent under its key or id, as it may have waited.
        """
        self.recall_executions(pending)
        return self.executions.has_room(pending, self.now_ms)

    def start_attempt(self, pending: PendingRequest, host: ServerRecord, source: ServerRecord | None) -> None:
        """Record an attempt as sent to `host`, and as filled from `source` unless that is None."""
        key = (pending.request.id, pending.attempts_sent)
        pending.is_queued = False
        pending.attempts_sent += 1
        source_name = source.info.name if source else None
        purged_ms = self.last_purge_ms(pending)
        is_fill = source is not None and not pending.is_write
        attempt = Attempt(host.info, host.info.name, source_name, self.now_ms, purged_ms, is_fill)
        pending.in_flight[key[1]] = attempt
        self.attempts[key] = attempt, pending
        for server in (host,) if source is None or source is host else (host, source):
            server.attempts[key] = server.last_sent_ms = self.now_ms
            self.withdraw_slow_start_budget(server, pending)
        self.executions.record_sent(pending, host.info, self.now_ms)
        if source is not None:
            source.fills_in_flight += 1
            self.inbound_fills += source.info.zone != self.settings.zone

    def allows_slow_start_work(self, server: ServerRecord, rate: float, senders: int) -> bool:
        """Whether this process's part of a warming server's budget has the tokens for one more request.

        `rate` is the work per millisecond that all `senders` together may send to it.
        """
        position = subset_position(self.settings.dispatcher_index, server.hash_salt, self.random)
        window_ms, mean_ms = self.settings.overload_window_ms, self.estimates.mean_ms
        budget = server.slow_start_budget
        return budget.allows(self.now_ms, rate, senders, window_ms, mean_ms, position, self.process_share)

    def withdraw_slow_start_budget(self, server: ServerRecord, pending: PendingRequest) -> None:
        """Withdraw a request's work from the slow-start budget of a server that is warming up."""
        if self.is_warming_up(server):
            mean_ms = self.estimates.mean_ms_by_class[pending.request_class.name]
            server.slow_start_budget.withdraw(mean_ms)

    def end_attempt(self, outcome: api.Outcome) -> tuple[Attempt, PendingRequest] | None:
        """Remove an ended attempt from the attempts in flight; returns None if it is unknown."""
        key = (outcome.id, outcome.attempt)
        if key not in self.attempts:
            return None
        attempt, pending = self.attempts.pop(key)
        pending.in_flight.pop(outcome.attempt, None)
        host, source = self.registry.get(attempt.host), self.registry.get(attempt.source)
        for server in (host, source):
            if server is not None:
                server.attempts.pop(key, None)
        if source is not None:
            source.fills_in_flight -= 1
            self.inbound_fills -= source.info.zone != self.settings.zone
        return attempt, pending

    def dns_lease_table(self) -> DnsLeaseTable:
        """The DNS answers that resolvers may have cached; created, and its module imported, on first use."""
        if self.dns_leases is None:
            from .dns_leases import DnsLeaseTable

            self.dns_leases = DnsLeaseTable()
        return self.dns_leases
