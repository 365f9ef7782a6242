"""Where a dispatcher stands, as the settings tell: zones, hubs in their ring, who else sends from where."""

from __future__ import annotations

from .. import interface as api


class Geography:
    """Hubs are numbers, -1 an unknown one; distances are steps round the ring of hubs."""

    def __init__(self, settings: api.Settings) -> None:
        t, zones = settings, settings.zones
        self.hubs = dict(zip(zones, t.hub_of_zone, strict=False))
        self.ring = max(1, len(set(t.hub_of_zone)))
        self.hub = self.hub_of(t.zone)
        counts = t.dispatchers_by_zone or (t.dispatcher_count,) * len(zones)
        self.here = max(1, counts[zones.index(t.zone)] if t.zone in zones else 1)  # senders in this location
        near = sum(n for n, zone in zip(counts, zones, strict=False) if self.hub_of(zone) == self.hub)
        self.near = max(1, near)  # and at all locations of this hub
        told = dict(zip(zones, t.inbound_link_kb_per_s, strict=False)) if t.client_rate_kb_per_s else {}
        links = [link / t.client_rate_kb_per_s for link in told.values() if link]
        # Transfers at full pace that this location's link in bears, and a location's on average; 0: not told.
        self.link_in = told.get(t.zone, 0.0) / (t.client_rate_kb_per_s or 1.0)
        self.mean_link_in = sum(links) / len(links) if links else 0.0

    def hub_of(self, zone: str) -> int:
        return self.hubs.get(zone, -1)

    def is_ours(self, zone: str) -> bool:
        return self.hub_of(zone) == self.hub

    def distance(self, zone: str) -> int:
        steps = abs(self.hub_of(zone) - self.hub) % self.ring
        return min(steps, self.ring - steps)
