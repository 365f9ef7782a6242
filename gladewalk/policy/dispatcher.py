"""Entry point of the decision module: takes events, returns actions (`gladewalk/interface/`)."""

from __future__ import annotations

from .. import interface as api
from ..interface import EndpointListKind
from ..limits.backoff import BACKOFF_MS
from ..registry.object_locations import LOCATION_TTL_MS
from ..registry.state import RoutingState, TimerToken
from .capacity import CapacityLimits
from .dns_placement import DnsPlacement
from .health import EndpointHealth
from .retries import RetryPolicy
from .routing import PURGE_MARGIN_MS, RequestRouter

SWEEP_INTERVAL_MS = 50.0  # between checks for unresponsive servers and expired queued requests


class Dispatcher:
    """Makes the decisions of one dispatcher; its components share a `RoutingState`."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        """Raises `InvalidSettingsError` for settings that contradict one another."""
        state = self.state = RoutingState(settings, seed)
        self.health = EndpointHealth(state)
        capacity = CapacityLimits(state)
        self.router = RequestRouter(state, self.health, capacity, RetryPolicy(state))
        self.dns_placement = DnsPlacement(state, self.health, capacity, self.router.candidates)
        self._has_started = False

    def configure(self, settings: api.Settings) -> None:
        """Apply new settings; raises `InvalidSettingsError` and changes nothing for contradictory ones."""
        self.state.configure(settings)

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:  # noqa: C901 - one case per event
        """Handle an event; returns the resulting actions in the order in which to run them."""
        state = self.state
        state.now_ms, state.actions = max(now_ms, state.now_ms), []
        if not self._has_started:
            self._start()
        match event:
            case api.Request():
                self.router.on_request(event)
            case api.Outcome():
                if self.router.on_outcome(event):
                    self._resume_waiting()
            case api.Timer(token=TimerToken.SWEEP):
                self._sweep()
            case api.Timer(token=TimerToken.WATCH):
                state.emit(api.Watch(True))
            case api.EndpointList(kind=EndpointListKind.FAILED):
                state.emit(api.SetTimer(BACKOFF_MS, TimerToken.WATCH))
            case api.EndpointList():
                state.registry.apply(event)
                self._resume_waiting()
            case api.Purge():
                state.purges.record(event.key, event.group, state.now_ms - event.age_ms)
            case api.ResolveRequest():
                self.dns_placement.on_resolve(event)
            case api.ProcessShareChanged():
                state.set_process_share(event)
            case api.FirstByte():
                self.router.on_first_byte(event)
            case api.HealthCheckResult():
                self.health.on_health_check(event)
            case api.ClientDisconnected():
                state.unresolved.pop(event.id, None)
                self.router.close(event.id)
        return state.actions

    def _start(self) -> None:
        self._has_started = True
        self.state.emit(api.SetTimer(SWEEP_INTERVAL_MS, TimerToken.SWEEP))
        if self.state.settings.watches_endpoints:
            self.state.emit(api.Watch(True))

    def _sweep(self) -> None:
        """Eject unresponsive servers, end queued requests that can't be served in time, retry the others."""
        state = self.state
        state.emit(api.SetTimer(SWEEP_INTERVAL_MS, TimerToken.SWEEP))
        for server in state.busy_servers():
            if self.health.eject_if_unresponsive(server):
                self.router.hedge(server)
        self.router.expire_queue()
        self.router.update_admission()
        self.health.adjust_weights()
        self._resume_waiting()
        purge_ttl_ms = max(state.settings.purge_settle_ms + PURGE_MARGIN_MS, LOCATION_TTL_MS)
        state.purges.expire(state.now_ms - purge_ttl_ms)

    def _resume_waiting(self) -> None:
        """Retry the resolve requests and client requests that wait for a server."""
        self.dns_placement.retry_unresolved()
        self.router.drain_queue()

    def may_write(self, request_id: int, attempt_number: int, now_ms: float) -> bool:
        """Whether an attempt may still be sent; to be called just before its first byte is written."""
        self.state.now_ms = max(now_ms, self.state.now_ms)
        return self.router.may_write(request_id, attempt_number)

    def may_resolve_to(self, question: api.ResolveRequest, server: str) -> bool:
        """Whether a DNS answer may still name a server; to be called just before the answer is written."""
        return self.dns_placement.may_resolve_to(question, server)
