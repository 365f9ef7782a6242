"""What the core is told of an upstream: its classes, its servers, its limits. No I/O.

Each upstream is a location of its own, with a core of its own; each of nginx's locations that passes to it is
a class, once for methods that may be sent again and once for those that may not.
"""

from __future__ import annotations

from dataclasses import dataclass

import xxhash

from .. import interface as api
from ..config.platform import Address, PlatformConfig, read_address
from ..nginx.router import Landing, Rules
from ..nginx.table import Box, Place, Site, Upstream
from .passive_health import Standby

PARK_MOST_MS = 1_000.0  # a request that no server can take now waits as long at the most
WHOLE_MOST_MS = 3_600_000.0  # for an answer to come whole; what stalls is found by the location's own times
WORTH = 6.0  # of each request: so that places that run out shed some of them and not all at once
IDLE_MS = 5_000.0  # after which servers are taken to close an idle connection
ZONE = "upstream"


@dataclass(slots=True)
class Plan:
    """One upstream as the core and the pool take it."""

    upstream: Upstream
    config: PlatformConfig
    standby: Standby
    addresses: dict[str, Address]
    classes: dict[str, str]  # by `place_key`: the class's name for methods that may be sent again

    def servers(self, ready: dict[str, bool]) -> tuple[api.Server, ...]:
        """The list's entries for these servers; one that may not be sent to now counts as draining."""
        return tuple(
            server_of(box, ready[box.address]) for box in self.upstream.boxes if box.address in ready
        )


def server_of(box: Box, ready: bool) -> api.Server:
    state = api.ServerState.READY if ready else api.ServerState.DRAINING
    return api.Server(
        box.address, api.Role.CACHE, ZONE, capacity=float(box.weight), state=state, address=box.address
    )


def places_of(site: Site) -> list[Place]:
    """All locations of a site that pass requests on, nested ones too."""
    found: list[Place] = []

    def walk(places: list[Place]) -> None:
        for place in places:
            if place.upstream:
                found.append(place)
            walk(place.places)

    for server in site.servers:
        walk(server.places)
    return found


def place_key(place: Place) -> str:
    """What tells a location from all others, in this table and in one that was read again."""
    return f"{place.at} {place.said}"


def plan_of(
    site: Site, upstream: Upstream, name: str, seed: int, connection_limit: int, sockets: int
) -> Plan:
    """`connection_limit`: connections of clients; `sockets`: connections to this upstream at the most."""
    ours = [place for place in places_of(site) if place.upstream == upstream.name or "$" in place.upstream]
    classes: list[api.RequestClass] = []
    names: dict[str, str] = {}
    for number, place in enumerate(ours):
        names[place_key(place)] = f"p{number}"
        classes += classes_of(f"p{number}", place)
    if not classes:
        classes = [api.RequestClass("p", PARK_MOST_MS, WHOLE_MOST_MS)]
    connect = max((place.terms.connect_ms for place in ours), default=60_000.0)
    count = len(upstream.boxes)
    settings = api.Settings(
        classes=tuple(classes), zone=ZONE, zones=(ZONE,), hub_of_zone=(0,), capacities_listed=False,
        client_connection_limit=connection_limit,
        max_attempts=max([count, *(place.terms.tries for place in ours)]), may_cancel=True,
        sends_retry_after=True,
        max_retry_after_ms=1_000.0, may_join_fills=any(place.terms.join for place in ours),
    )  # fmt: skip
    addresses = {box.address: read_address(box.address) for box in upstream.boxes}
    config = PlatformConfig(
        name=name, listen=("127.0.0.1", 0), coordinator=("127.0.0.1", 0), seed=seed, max_descriptors=sockets,
        connect_timeout_ms=connect, idle_timeout_ms=IDLE_MS, settings=settings, roles={},
        initial_event_index=0, initial_events=(),
    )  # fmt: skip
    return Plan(upstream, config, Standby(upstream.boxes), addresses, names)


def classes_of(name: str, place: Place) -> list[api.RequestClass]:
    aim = min(PARK_MOST_MS, place.terms.read_ms)
    grace = place.terms.fresh_ms if place.terms.stale_on else 0.0
    both = []
    for suffix, effect in (("", api.Idempotency.IDEMPOTENT), ("!", api.Idempotency.NON_IDEMPOTENT)):
        if suffix and "non_idempotent" in place.terms.again_on:
            effect = api.Idempotency.IDEMPOTENT
        both.append(api.RequestClass(
            name + suffix, aim, WHOLE_MOST_MS, priority_weight=WORTH, idempotency=effect,
            freshness_lifetime_ms=place.terms.fresh_ms, stale_grace_ms=grace,
        ))  # fmt: skip
    return both


def key_of(landing: Landing) -> int:
    """What tells objects apart: `proxy_cache_key`, or the upstream and what it is asked for."""
    rules = landing.location.rules if landing.location is not None else None
    if isinstance(rules, Rules) and rules.key is not None:
        text = rules.key.fill(landing.state)
    else:
        text = f"{landing.upstream}{landing.target}"
    return xxhash.xxh3_64_intdigest(text.encode("latin-1", "replace"))
