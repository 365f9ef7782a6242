"""Members and duties of one director, put together as its settings say."""

from __future__ import annotations

import ipaddress
import random

from ..config.options import Options
from ..config.platform import ConfigError, read_address
from ..core.counters import Counters
from ..core.deadlines import Deadlines
from ..core.exchange import Exchange
from ..members.actions import Address
from ..members.authenticator import MessageAuthenticator, load_key_ring
from ..members.config import MembershipConfig
from ..members.swim import Membership
from ..members.transport import MembershipTransport, Network
from ..upstream.pool import Caches
from .kinds import CheckSources, ProbeBoxes
from .runner import Duty, Runner


def checked(
    options: Options,
) -> tuple[Address, tuple[Address, ...], tuple[Network, ...], MessageAuthenticator, dict[Address, Address]]:
    """What `[members]` says, or `ConfigError` with the key that cannot be used."""
    table = options.members
    assert table is not None
    key = "listen"
    try:
        listen = read_address(table.listen)
        key = "seeds"
        seeds = tuple(read_address(seed) for seed in table.seeds)
        key = "networks"
        networks = tuple(ipaddress.ip_network(network) for network in table.networks)
        key = "dial"
        dial = {read_address(said): read_address(at) for said, at in table.dial.items()}
    except (ConfigError, ValueError) as error:
        raise ConfigError(f"{options.path}: members.{key}: {error}") from error
    authenticator = MessageAuthenticator(load_key_ring(options.file(table.keys)), table.window_ms)
    return listen, seeds, networks, authenticator, dial


def start(
    name: str, options: Options, exchange: Exchange, pool: Caches, deadlines: Deadlines, counters: Counters
) -> tuple[MembershipTransport, Runner]:
    """All that stands behind `[members]` and `[duties]`; `Members.listen` and `Runner.sweep` set it going."""
    table, duties = options.members, options.duties
    assert table is not None
    listen, seeds, networks, seal, dial = checked(options)
    terms = MembershipConfig(
        ping_period_ms=table.period_ms, ping_timeout_ms=0.4 * table.period_ms,
        min_suspicion_ms=table.suspicion_ms, max_stall_ms=table.stall_ms,
    )  # fmt: skip
    rng = random.Random(random.SystemRandom().getrandbits(64))
    core = Membership(name, listen, seeds, terms, rng, exchange.clock(), table.weight)
    members = MembershipTransport(core, seal, networks, exchange.clock, deadlines, counters, dial)
    kinds: list[Duty] = []
    if duties.probe_ms:
        kinds.append(ProbeBoxes(exchange, pool, duties.probe_ms))
    if duties.check_ms:
        kinds.append(CheckSources(exchange, pool, duties.check_ms))
    runner = Runner(
        members, kinds, exchange.clock, deadlines, counters, rng, duties.fresh_ms, duties.probes_per_s
    )
    return members, runner
