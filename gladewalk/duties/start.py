"""Reads the `[members]` and `[duties]` tables and builds a director's membership and shared tasks."""

from __future__ import annotations

import ipaddress
import random
from dataclasses import dataclass

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
from ..upstream.pool import ConnectionPool
from .runner import TaskRunner, TaskType
from .task_types import CacheHealthCheck, SourceHealthCheck

PING_TIMEOUT_PERIODS = 0.4  # timeout of a direct ping, as a part of the ping period


@dataclass(slots=True, frozen=True)
class MemberSettings:
    """The `[members]` table with its addresses parsed and its key ring loaded."""

    listen: Address
    seeds: tuple[Address, ...]
    networks: tuple[Network, ...]
    authenticator: MessageAuthenticator
    dial_addresses: dict[Address, Address]  # advertised address -> address to connect to


def read_member_settings(options: Options) -> MemberSettings:
    """Returns the checked `[members]` table; raises `ConfigError` that names the invalid key."""
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
        dial_addresses = {
            read_address(advertised): read_address(dialled)
            for advertised, dialled in table.dial_addresses.items()
        }
    except (ConfigError, ValueError) as error:
        raise ConfigError(f"{options.path}: members.{key}: {error}") from error
    key_ring = load_key_ring(options.resolve_path(table.keys))
    authenticator = MessageAuthenticator(key_ring, table.max_clock_skew_ms)
    return MemberSettings(listen, seeds, networks, authenticator, dial_addresses)


def build_shared_tasks(
    name: str,
    options: Options,
    exchange: Exchange,
    pool: ConnectionPool,
    deadlines: Deadlines,
    counters: Counters,
) -> tuple[MembershipTransport, TaskRunner]:
    """Builds membership and shared tasks; `MembershipTransport.listen` and `TaskRunner.sweep` start them.

    Raises `ConfigError` if the table or the key file is invalid.
    """
    table, duties = options.members, options.duties
    assert table is not None
    settings = read_member_settings(options)
    config = MembershipConfig(
        ping_period_ms=table.ping_period_ms,
        ping_timeout_ms=PING_TIMEOUT_PERIODS * table.ping_period_ms,
        min_suspicion_ms=table.min_suspicion_ms,
        max_stall_ms=table.max_stall_ms,
    )
    rng = random.Random(random.SystemRandom().getrandbits(64))
    clock = exchange.clock
    core = Membership(name, settings.listen, settings.seeds, config, rng, clock(), table.weight)
    members = MembershipTransport(
        core, settings.authenticator, settings.networks, clock, deadlines, counters, settings.dial_addresses
    )
    configured_types: list[TaskType] = []
    if duties.cache_check_interval_ms:
        configured_types.append(CacheHealthCheck(exchange, pool, duties.cache_check_interval_ms))
    if duties.source_check_interval_ms:
        configured_types.append(SourceHealthCheck(exchange, pool, duties.source_check_interval_ms))
    max_age_ms, max_checks_per_s = duties.max_result_age_ms, duties.max_checks_per_s
    runner = TaskRunner(
        members, configured_types, clock, deadlines, counters, rng, max_age_ms, max_checks_per_s
    )
    return members, runner
