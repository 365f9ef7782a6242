"""The position of a dispatcher in its deployment: zones, their hubs, and the senders in each zone.

A hub is a group of neighbouring zones with parents of their own; the hubs form a ring.
"""

from __future__ import annotations

from .. import interface as api

UNKNOWN_HUB = -1


class Topology:
    """Distances and sender counts from the settings. Distances are steps on the ring of hubs."""

    def __init__(self, settings: api.Settings) -> None:
        zones, zone = settings.zones, settings.zone
        self._hub_of_zone = dict(zip(zones, settings.hub_of_zone, strict=False))
        self._ring_size = max(1, len(set(settings.hub_of_zone)))
        self.hub = self.hub_of(zone)
        counts = settings.dispatchers_by_zone or (settings.dispatcher_count,) * len(zones)
        self.senders_in_zone = max(1, counts[zones.index(zone)] if zone in zones else 1)
        same_hub = (
            count for count, other in zip(counts, zones, strict=False) if self.hub_of(other) == self.hub
        )
        self.senders_in_hub = max(1, sum(same_hub))
        rate = settings.client_rate_kb_per_s
        links = dict(zip(zones, settings.inbound_link_kb_per_s, strict=False)) if rate else {}
        known = [link / rate for link in links.values() if link]
        # Concurrent transfers at full speed over this zone's inbound link, and over a mean one; 0: unknown.
        self.link_capacity = links.get(zone, 0.0) / (rate or 1.0)
        self.mean_link_capacity = sum(known) / len(known) if known else 0.0

    def hub_of(self, zone: str) -> int:
        """The hub of a zone; -1 if unknown."""
        return self._hub_of_zone.get(zone, UNKNOWN_HUB)

    def is_own_hub(self, zone: str) -> bool:
        """Whether a zone belongs to the same hub as this dispatcher's zone."""
        return self.hub_of(zone) == self.hub

    def distance(self, zone: str) -> int:
        """The number of steps on the ring of hubs to a zone's hub."""
        steps = abs(self.hub_of(zone) - self.hub) % self._ring_size
        return min(steps, self._ring_size - steps)
