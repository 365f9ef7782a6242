"""The leases of one director, put together as `[leases]` says."""

from __future__ import annotations

import random
from collections.abc import Callable

from ..config import ConfigError, read_address
from ..counters import Counters
from ..deadlines import Deadlines
from ..members.seal import Seal, load_keys
from ..options import Options
from .candidate import Candidate
from .elector import Elector
from .keep import Keep, restore
from .terms import LeaseTerms
from .transport import Address, LeaseClock, Leases

Clock = Callable[[], float]


def checked(
    options: Options, name: str
) -> tuple[LeaseTerms, Address, dict[str, Address], dict[str, Address]]:
    """What `[leases]` says, or `ConfigError` with the key that cannot be used."""
    table = options.leases
    assert table is not None
    terms = LeaseTerms(table.lease_ms, table.drift, table.stop_margin_ms, table.grant_margin_ms,
                       renew_every_ms=table.lease_ms * 0.3, round_ms=table.lease_ms * 0.25,
                       retry_ms=table.lease_ms * 0.2)  # fmt: skip
    if (fault := terms.fault()) is not None:
        raise ConfigError(f"{options.path}: leases.{fault}")
    key = "listen"
    try:
        listen = read_address(table.listen)
        key = "peers"
        peers = {peer: read_address(address) for peer, address in table.peers.items()}
        key = "duties"
        sinks = {duty: read_address(address) for duty, address in table.duties.items()}
    except ConfigError as error:
        raise ConfigError(f"{options.path}: leases.{key}: {error}") from error
    if name not in peers:
        raise ConfigError(f"{options.path}: leases.peers: this director ({name}) is not among them")
    return terms, listen, peers, sinks


def start(
    name: str, options: Options, wall: Clock, deadlines: Deadlines, counters: Counters
) -> tuple[Leases, Address]:
    """All that stands behind `[leases]`; `Leases.listen` at the address sets it going."""
    table = options.leases
    assert table is not None
    terms, listen, peers, sinks = checked(options, name)
    seal = Seal(load_keys(options.file(table.keys)), table.window_ms)
    clock = LeaseClock(table.clock_rate)
    saves = options.file(table.saves) if table.saves else None
    elector = Elector(name, terms, clock(), restore(saves) if saves else {})
    rng = random.Random(random.SystemRandom().getrandbits(64))
    candidate = Candidate(name, tuple(sorted(peers)), tuple(sorted(sinks)), terms, rng, clock())
    keep = Keep(saves) if saves else None
    leases = Leases(
        elector, candidate, peers, sinks, seal, keep, clock, wall, deadlines, counters, table.act_ms
    )
    return leases, listen
