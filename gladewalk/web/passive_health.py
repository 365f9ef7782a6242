"""Passive health checks: which servers of an upstream may be sent requests.

The rules are those of the directive `server` in ngx_http_upstream_module:

- `max_fails` failures within `fail_timeout` make a server unavailable for the duration of `fail_timeout`.
- `max_conns` limits the requests in flight at a server.
- A `backup` server is used only while no other server is available.
- A server that is `down` is never used.
- The only server of an upstream never counts as failed.

The core routes among the available servers. This module does no I/O.
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

    All instants are milliseconds of one clock, passed as arguments.

    Attributes:
        is_single_server: Whether the upstream has one server, which then never counts as failed.
    """

    def __init__(self, servers: Sequence[UpstreamServerRow]) -> None:
        self._health = {server.address: _ServerHealth(server) for server in servers}
        self.is_single_server = len(servers) == 1
        self._reported: dict[str, bool] = {}  # the state at the last call of `availability_changes`

    def has_server(self, address: str) -> bool:
        """Returns whether the address is a server of this upstream."""
        return address in self._health

    def request_sent(self, address: str) -> None:
        """Counts a request that has been written to a server."""
        self._health[address].in_flight += 1

    def request_ended(self, address: str, has_failed: bool, now_ms: float) -> None:
        """Counts the end of a request that was written; `proxy_next_upstream` decides what is a failure."""
        health = self._health[address]
        health.in_flight = max(0, health.in_flight - 1)
        self.record_result(address, has_failed, now_ms)

    def record_result(self, address: str, has_failed: bool, now_ms: float) -> None:
        """Counts a failure, or a success, which clears earlier failures.

        This also applies to a request that was never written.
        """
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
        """Returns whether a server may be sent a request, if the rule for backups is ignored."""
        health = self._health[address]
        server = health.server
        is_full = server.max_conns > 0 and health.in_flight >= server.max_conns
        return not server.is_down and not is_full and now_ms >= health.unavailable_until_ms

    def ready_servers(self, now_ms: float) -> dict[str, bool]:
        """Returns whether each server is ready, by address.

        A backup is ready only while no other server is available.
        """
        available = {address: self.is_available(address, now_ms) for address in self._health}
        has_primary = any(
            available[address] and not health.server.is_backup for address, health in self._health.items()
        )
        return {
            address: available[address] and not (has_primary and health.server.is_backup)
            for address, health in self._health.items()
        }

    def availability_changes(self, now_ms: float) -> dict[str, bool]:
        """Returns the addresses whose readiness changed since the last call; at the first call, all."""
        ready = self.ready_servers(now_ms)
        changed = {
            address: is_ready
            for address, is_ready in ready.items()
            if self._reported.get(address) != is_ready
        }
        self._reported = ready
        return changed

    def next_recovery_ms(self, now_ms: float) -> float | None:
        """Returns when the next failed server becomes available again; None if no server has failed."""
        return min(
            (
                health.unavailable_until_ms
                for health in self._health.values()
                if health.unavailable_until_ms > now_ms
            ),
            default=None,
        )
