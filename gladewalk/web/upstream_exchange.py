"""The exchange of one upstream: its core and pool, with nginx's retry rules and passive health checks."""

from __future__ import annotations

from .. import interface as api
from ..core.deadlines import DeadlineKey
from ..core.exchange import Attempt, AttemptResult, FinalAnswer, OpenRequest
from ..nginx.table import ProxySettings
from ..upstream.pool import ConnectionPool
from .messages import BAD_GATEWAY, GATEWAY_TIMEOUT, ProxyRequest, ProxyResult
from .shared_services import SharedServices
from .streaming import StreamingExchange
from .upstream_config import NON_IDEMPOTENT_SUFFIX, UpstreamConfig

# The conditions of `proxy_next_upstream` for attempts that ended without a complete response.
CONDITIONS = {
    api.Status.CONNECT_FAILED: "error",
    api.Status.RESET: "error",
    api.Status.TIMEOUT: "timeout",
    api.Status.ERROR: "invalid_header",
}
# Conditions that count, or never count, towards `max_fails`, whatever `proxy_next_upstream` lists.
ALWAYS_FAILURES = frozenset({"error", "timeout", "invalid_header"})
NEVER_FAILURES = frozenset({"", "http_403", "http_404"})


class UpstreamExchange(StreamingExchange):
    """Routes the requests of one upstream with a separate core.

    The core decides which server a request is sent to and whether it is retried. If `proxy_next_upstream` and
    its limits allow no retry, this class ends the request before it notifies the core of the failure.

    Attributes:
        config: Servers, request classes and limits.
        is_retired: Whether a reload has replaced this upstream; open requests are completed, and no new ones
            are submitted.
    """

    def __init__(self, config: UpstreamConfig, services: SharedServices) -> None:
        super().__init__(config.platform, services)
        self.config = config
        self.is_retired = False
        self._written: set[int] = set()  # `id`s of the attempts whose request has been written
        self._recovery_timer: DeadlineKey | None = None

    def start(self) -> None:
        """Sends the endpoint list to the core and starts the periodic sweep of the pool."""
        assert isinstance(self.upstreams, ConnectionPool)
        endpoints = self.config.endpoints(self.config.health.availability_changes(self.clock()))
        event = api.EndpointList(api.EndpointListKind.PERSISTED, endpoints)
        self.update_servers(event, dict(self.config.addresses), {})
        self.upstreams.sweep()

    def retire(self) -> None:
        """Marks this upstream as replaced.

        Open requests are completed; no timer of this upstream remains after the last of them.
        """
        assert isinstance(self.upstreams, ConnectionPool)
        self.is_retired = self.upstreams.is_retired = True
        self.deadlines.drop(self._recovery_timer)

    def handle_event(self, event: api.Event) -> None:
        """Sends an event to the core, except for timers of a retired upstream without open requests."""
        if not (self.is_retired and not self.open_requests and isinstance(event, api.Timer)):
            super().handle_event(event)

    def request_written(self, attempt: Attempt) -> None:
        """Records that an attempt's request is being written; from now on its server may execute it."""
        self._written.add(id(attempt))
        self.config.health.request_sent(attempt.decision.server)
        request = attempt.open_request.request
        if isinstance(request, ProxyRequest):
            request.sent_count += 1
        self._update_availability()

    # Retries.

    def retries_status(self, request: ProxyRequest, condition: str) -> bool:
        """Returns whether a response of this condition is discarded and the request retried elsewhere."""
        return condition in request.proxy.retry_on and self._may_retry(request, condition)

    def _may_retry(self, request: ProxyRequest, condition: str) -> bool:
        """Returns whether `proxy_next_upstream` and its limits allow a retry, and another server is left."""
        proxy = request.proxy
        if condition not in proxy.retry_on:
            return False
        if proxy.max_attempts and request.sent_count >= proxy.max_attempts:
            return False
        if self._is_retry_time_over(request, proxy):
            return False
        is_unsafe = request.class_name.endswith(NON_IDEMPOTENT_SUFFIX)
        if is_unsafe and "non_idempotent" not in proxy.retry_on:
            return False
        return request.sent_count < len(self.config.upstream.servers)

    def _may_retry_unsent(self, request: ProxyRequest) -> bool:
        """Returns whether a request that was never written may be retried, whatever its method.

        There is no check for a remaining server here: the core knows which servers it has attempted.
        """
        proxy = request.proxy
        if "error" not in proxy.retry_on:
            return False
        if proxy.max_attempts and request.sent_count + 1 >= proxy.max_attempts:
            return False
        return not self._is_retry_time_over(request, proxy)

    def _is_retry_time_over(self, request: ProxyRequest, proxy: ProxySettings) -> bool:
        return proxy.retry_timeout_ms > 0 and self.clock() - request.received_ms >= proxy.retry_timeout_ms

    def attempt_ended(self, attempt: Attempt, result: AttemptResult) -> None:
        """Records the result for the server's health; ends the request if nginx's rules allow no retry."""
        opened, request = attempt.open_request, attempt.open_request.request
        if attempt.number in opened.attempts and isinstance(request, ProxyRequest):
            self._record_health(attempt, request, result)
            is_unanswered = not opened.is_answered and not self.is_streaming(opened)
            if result.status in CONDITIONS and is_unanswered:
                self._retry_or_fail(attempt, request, result)
        self._written.discard(id(attempt))
        super().attempt_ended(attempt, result)

    def _retry_or_fail(self, attempt: Attempt, request: ProxyRequest, result: AttemptResult) -> None:
        condition = _condition_of(result)
        if isinstance(result, ProxyResult):
            request.failure_status = result.response_status
        else:
            request.failure_status = GATEWAY_TIMEOUT if condition == "timeout" else BAD_GATEWAY
        if self._may_retry(request, condition):
            return
        was_never_sent = result.status is api.Status.CONNECT_FAILED and id(attempt) not in self._written
        if not (was_never_sent and self._may_retry_unsent(request)):
            self._fail_request(attempt)

    def _fail_request(self, attempt: Attempt) -> None:
        """Sends the final answer to the client; the core is notified when the attempt ends."""
        opened = attempt.open_request
        self._close(opened)
        self.counters.add("answers.failed")
        opened.client.send_final(FinalAnswer.FAILED, 0.0)

    def _fail_at_stop(self, opened: OpenRequest) -> None:
        request = opened.request
        if isinstance(request, ProxyRequest) and request.sent_count:
            request.failure_status = GATEWAY_TIMEOUT  # a server has it and did not respond in time
        super()._fail_at_stop(opened)

    # Health.

    def _record_health(self, attempt: Attempt, request: ProxyRequest, result: AttemptResult) -> None:
        """Records a result before the core decides on a retry, because it may make a backup available."""
        health, server, now_ms = self.config.health, attempt.decision.server, self.clock()
        if not health.has_server(server):
            return
        has_failed = result.status in CONDITIONS and _is_failure(_condition_of(result), request.proxy)
        if id(attempt) in self._written:
            health.request_ended(server, has_failed, now_ms)
        elif result.status in CONDITIONS:
            health.record_result(server, has_failed, now_ms)
        self._update_availability()

    def _update_availability(self) -> None:
        """Notifies the core of servers whose availability has changed, and schedules the next recovery."""
        now_ms = self.clock()
        health = self.config.health
        changed = health.availability_changes(now_ms)
        if changed:
            endpoints = self.config.endpoints(changed)
            addresses = {endpoint.name: self.config.addresses[endpoint.name] for endpoint in endpoints}
            self.update_servers(api.EndpointList(api.EndpointListKind.DELTA, endpoints), dict(addresses), {})
        self.deadlines.drop(self._recovery_timer)
        recovery_ms = health.next_recovery_ms(now_ms)
        self._recovery_timer = None
        if recovery_ms is not None:
            self._recovery_timer = self.deadlines.add(recovery_ms, self._update_availability)


def _condition_of(result: AttemptResult) -> str:
    """Returns the condition of `proxy_next_upstream` for a result, empty for a success."""
    return result.condition if isinstance(result, ProxyResult) else CONDITIONS.get(result.status, "")


def _is_failure(condition: str, proxy: ProxySettings) -> bool:
    """Returns whether a condition counts as a failure of the server (`max_fails`)."""
    if condition in ALWAYS_FAILURES:
        return True
    return condition not in NEVER_FAILURES and condition in proxy.retry_on
