"""Passive health checks: which servers of an upstream may be sent requests.

ngx_http_upstream_module, `server`: `max_fails` failures within `fail_timeout` make a server unavailable for
as long; `max_conns` bounds the requests in flight at it; a `backup` is used while no other server is
available; one that is `down` is never used. The only server of an upstream never counts as failed. Decides
without I/O; the core routes among the available servers.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from ..nginx.table import UpstreamServerRow


@dataclass(slots=True)
class _ServerHealth:
    server: UpstreamServerRow
    in_flight: int = 0
    failure_times_ms: list[float] = field(default_factory=list)
    unavailable_until_ms: float = 0.0


class PassiveHealthCheck:
    """The availability of one upstream's servers, by address.

    All instants are milliseconds of one clock and given as arguments.

    Attributes:
        is_single_server: Whether the upstream has one server, which then never counts as failed.
    """

    def __init__(self, servers: Sequence[UpstreamServerRow]) -> None:
        self._health = {server.address: _ServerHealth(server) for server in servers}
        self.is_single_server = len(servers) == 1
        self._reported: dict[str, bool] = {}  # as `availability_changes` returned it last

    def knows(self, address: str) -> bool:
        """Returns whether the address is a server of this upstream."""
        return address in self._health

    def request_sent(self, address: str) -> None:
        """Counts a request that has been written to a server."""
        self._health[address].in_flight += 1

    def request_ended(self, address: str, has_failed: bool, now_ms: float) -> None:
        """Counts the end of a request that was written; a failure is one by `proxy_next_upstream`."""
        health = self._health[address]
        health.in_flight = max(0, health.in_flight - 1)
        self.record_result(address, has_failed, now_ms)

    def record_result(self, address: str, has_failed: bool, now_ms: float) -> None:
        """Counts a success, which clears earlier failures, or a failure, also of a request never written."""
        health = self._health[address]
        server = health.server
        if not has_failed:
            health.failure_times_ms.clear()
            return
        if self.is_single_server or not server.max_fails:
            return
        recent = [at_ms for at_ms in health.failure_times_ms if now_ms - at_ms <= server.fail_timeout_ms]
        health.failure_times_ms = [*recent, now_ms]
        if len(health.failure_times_ms) >= server.max_fails:
            health.unavailable_until_ms = now_ms + server.fail_timeout_ms
            health.failure_times_ms.clear()

    def is_available(self, address: str, now_ms: float) -> bool:
        """Returns whether a server may be sent a request, apart from the rule for backups."""
        health = self._health[address]
        server = health.server
        is_full = server.max_conns > 0 and health.in_flight >= server.max_conns
        return not server.is_down and not is_full and now_ms >= health.unavailable_until_ms

    def ready_servers(self, now_ms: float) -> dict[str, bool]:
        """Returns of every address whether it is ready: a backup only while no other server is available."""
        available = {address: self.is_available(address, now_ms) for address in self._health}
        has_primary = any(
            available[address] and not health.server.is_backup for address, health in self._health.items()
        )
        return {
            address: available[address] and not (has_primary and health.server.is_backup)
            for address, health in self._health.items()
        }

    def availability_changes(self, now_ms: float) -> dict[str, bool]:
        """Returns what has changed since the last call of this method; at the first, all addresses."""
        ready = self.ready_servers(now_ms)
        changed = {
            address: is_ready
            for address, is_ready in ready.items()
            if self._reported.get(address) != is_ready
        }
        self._reported = ready
        return changed

    def next_recovery_ms(self, now_ms: float) -> float | None:
        """Returns the instant at which the next failed server becomes available, None if there is none."""
        return min(
            (
                health.unavailable_until_ms
                for health in self._health.values()
                if health.unavailable_until_ms > now_ms
            ),
            default=None,
        )
