"""The leases of one director, put together as `[leases]` says."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from ..config.options import Options
from ..config.platform import ConfigError, read_address
from ..core.counters import Counters
from ..core.deadlines import Deadlines
from ..members.authenticator import MessageAuthenticator, load_key_ring
from ..ops.figures import ENDS
from ..store.keeper import Keeper
from .acts import Acts
from .candidate import Candidate
from .elector import Elector, restored_of
from .orders import Orders
from .outs import GRANTS, ORDERS
from .report import FleetReport
from .terms import LeaseTerms
from .transport import Address, LeaseClock, Leases
from .works import PURGE, REPORT, Works

Clock = Callable[[], float]
REPORTED = {"served": ENDS[0], "refused": ENDS[1], "failed": ENDS[2]}


@dataclass(slots=True, frozen=True)
class Checked:
    """`[leases]`, read: where all are, and which sinks each duty has."""

    terms: LeaseTerms
    listen: Address
    peers: dict[str, Address]
    sinks: dict[str, tuple[Address, ...]]  # by duty

    def sink_names(self) -> dict[str, tuple[str, ...]]:
        return {duty: tuple(f"@{duty}/{n}" for n in range(len(at))) for duty, at in self.sinks.items()}

    def where(self) -> dict[str, Address]:
        """Every director and sink by name; no director's name begins with @."""
        named = self.sink_names()
        sinks = [pair for duty in self.sinks for pair in zip(named[duty], self.sinks[duty], strict=True)]
        return {**self.peers, **dict(sinks)}


def checked(options: Options, name: str) -> Checked:
    """What `[leases]` says, or `ConfigError` with the key that cannot be used."""
    table = options.leases
    assert table is not None
    terms = LeaseTerms(table.lease_ms, table.drift, table.stop_margin_ms, table.grant_margin_ms,
                       renew_every_ms=table.lease_ms * 0.3, round_ms=table.lease_ms * 0.25,
                       retry_ms=table.lease_ms * 0.2)  # fmt: skip

    def bad(key: str, why: object) -> ConfigError:
        return ConfigError(f"{options.path}: leases.{key}: {why}")

    if (fault := terms.fault()) is not None:
        raise ConfigError(f"{options.path}: leases.{fault}")
    key = "listen"
    try:
        listen = read_address(table.listen)
        key = "peers"
        peers = {peer: read_address(address) for peer, address in table.peers.items()}
        key = "hubs"
        hubs = tuple(read_address(address) for address in table.hubs)
        key = "report_to"
        collector = (read_address(table.report_to),) if table.report_to else ()
        key = "duties"
        sinks: dict[str, tuple[Address, ...]] = {
            duty: (read_address(address),) for duty, address in table.duties.items()
        }
    except ConfigError as error:
        raise bad(key, error) from error
    if name not in peers:
        raise bad("peers", f"this director ({name}) is not among them")
    if any(not peer or len(peer) > 64 or peer.startswith("@") for peer in peers):
        raise bad("peers", "a name has 1 to 64 characters and does not begin with @")
    for own, at in ((PURGE, hubs), (REPORT, collector)):
        if at and own in sinks:
            raise bad("duties", f"{own} is a duty of the director's own: see hubs and report_to")
        if at:
            sinks[own] = at
    if not sinks:
        raise bad("duties", "there is none, and neither hubs nor report_to")
    if options.store is None:
        raise ConfigError(f"{options.path}: store.folder: is missing, and [leases] keeps its promises there")
    if options.store.policy == "none":
        raise ConfigError(f"{options.path}: store.policy: 'none' would forget what [leases] promised")
    return Checked(terms, listen, peers, sinks)


def counts_of(counters: Counters) -> dict[str, int]:
    """What one director tells of itself for the report: final answers by their end, over all classes."""
    counts = dict.fromkeys(REPORTED, 0)
    for name, count in counters.items():
        for told, end in REPORTED.items():
            if name.startswith("downstream_requests.") and name.endswith(f".{end}"):
                counts[told] += count
    counts["attempts"] = counters.get("attempts.written", 0)
    return counts


def start(
    name: str, options: Options, keeper: Keeper, wall: Clock, deadlines: Deadlines, counters: Counters
) -> tuple[Leases, Address]:
    """All that stands behind `[leases]`; `Leases.listen` at the address sets it going."""
    table, told = options.leases, checked(options, name)
    assert table is not None
    seal = MessageAuthenticator(load_key_ring(options.file(table.keys)), table.window_ms)
    clock = LeaseClock(table.clock_rate)
    rng = random.Random(random.SystemRandom().getrandbits(64))
    names, sinks, now = tuple(sorted(told.peers)), told.sink_names(), clock()
    elector = Elector(name, told.terms, now, restored_of(keeper.log.items(GRANTS)))
    candidate = Candidate(name, names, tuple(sorted(sinks)), told.terms, rng, now)
    orders = report = None
    if PURGE in sinks and table.hubs:
        orders = Orders(name, names, sinks[PURGE], rng, keeper.log.items(ORDERS))
    if REPORT in sinks and table.report_to:
        run = int(wall())  # a later start has the higher number
        report = FleetReport(name, names, run, 5.0 * table.report_ms, lambda: counts_of(counters))
    works = Works(candidate, Acts(name, sinks), orders, report, table.act_ms, table.report_ms, now)
    leases = Leases(
        elector, candidate, works, told.where(), seal, keeper.writer, clock, wall, deadlines, counters
    )
    return leases, told.listen
