"""Which servers of an upstream may be sent requests, as nginx's parameters have it. Decided without I/O.

ngx_http_upstream_module, "server": `max_fails` failures within `fail_timeout` make a server unavailable for
as long; `max_conns` bounds what is out at it; a `backup` is used while no other server is available; one that
is `down` is never used. A server that is alone is never taken for failed. What is available here is listed as
ready to the core, which decides all the rest.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ..nginx.table import Box


@dataclass(slots=True)
class _Health:
    box: Box
    out: int = 0
    failed_at: list[float] = field(default_factory=list)
    off_until: float = 0.0


class Standby:
    """One upstream's servers. Times in ms, taken as arguments."""

    def __init__(self, boxes: list[Box]) -> None:
        self.health = {box.address: _Health(box) for box in boxes}
        self.alone = len(boxes) == 1
        self.told: dict[str, bool] = {}

    def sent(self, address: str) -> None:
        """A request has been written to it."""
        self.health[address].out += 1

    def ended(self, address: str, failed: bool, now_ms: float) -> None:
        """It has answered, or has failed to; `failed` as `proxy_next_upstream` counts it."""
        known = self.health[address]
        known.out = max(0, known.out - 1)
        self.note(address, failed, now_ms)

    def note(self, address: str, failed: bool, now_ms: float) -> None:
        """An answer or a failure of one that nothing was written to."""
        known = self.health[address]
        box = known.box
        if not failed:
            known.failed_at.clear()
            return
        if self.alone or not box.max_fails:
            return
        known.failed_at = [at for at in known.failed_at if now_ms - at <= box.fail_ms] + [now_ms]
        if len(known.failed_at) >= box.max_fails:
            known.off_until = now_ms + box.fail_ms
            known.failed_at.clear()

    def is_available(self, address: str, now_ms: float) -> bool:
        known = self.health[address]
        box = known.box
        full = box.max_conns and known.out >= box.max_conns
        return not box.down and not full and now_ms >= known.off_until

    def ready(self, now_ms: float) -> dict[str, bool]:
        """Who is to be listed as ready: those available, and backups only while nobody else is."""
        able = {address: self.is_available(address, now_ms) for address in self.health}
        first = any(able[address] and not known.box.backup for address, known in self.health.items())
        return {a: able[a] and not (first and known.box.backup) for a, known in self.health.items()}

    def changes(self, now_ms: float) -> dict[str, bool]:
        """What is to be listed otherwise than it was told last; told with this."""
        ready = self.ready(now_ms)
        changed = {address: on for address, on in ready.items() if self.told.get(address) != on}
        self.told = ready
        return changed

    def next_ms(self, now_ms: float) -> float | None:
        """When a server comes back by itself, if one does."""
        return min((k.off_until for k in self.health.values() if k.off_until > now_ms), default=None)
