"""Builders of the parts of a director that are disabled unless its options file enables them.

Each builder imports its part only if the part is enabled. A director that the platform starts has no options
file and loads none of them, which saves memory and start time. All builders raise `ConfigError` for options
that cannot be used.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from . import interface as api
from .config.platform import PlatformConfig, load_config
from .core.clocks import InstantConverter
from .core.counters import Counters
from .core.deadlines import Deadlines
from .core.exchange import Exchange
from .upstream.pool import ConnectionPool

if TYPE_CHECKING:  # at run time, parts that are not configured are not imported
    from .config.options import Options
    from .control.server import ControlServer
    from .core.process_sharing import ProcessSharing
    from .core.shared_executions import SharedExecutions
    from .dns.front import DnsFront
    from .dns.settings import DnsConfig
    from .duties.runner import TaskRunner
    from .leases.transport import Address as LeaseAddress
    from .leases.transport import LeaseService
    from .members.authenticator import AuthenticationKey
    from .members.transport import MembershipTransport
    from .store.persistence import PersistenceService
    from .upstream.connection_factory import ConnectionFactory
    from .web.start import HttpProxy, SiteGeneration

Clock = Callable[[], float]


def build_connection_factory(
    options: Options | None, previous: ConnectionFactory | None = None
) -> ConnectionFactory | None:
    """Builds the factory of HTTP/2 and TLS connections to servers.

    Args:
        options: The director's options.
        previous: The factory to replace; the results of its protocol negotiations are reused.

    Returns:
        The factory; None if every server is contacted over HTTP/1.1 without TLS.
    """
    if options is None or not options.http2.is_used:
        return None
    from .upstream.connection_factory import ConnectionFactory

    return ConnectionFactory(options, previous.negotiation if previous is not None else None)


def build_dns(
    settings: DnsConfig | None,
    exchange: Exchange,
    counters: Counters,
    alpn_of: Callable[[str], tuple[bool, tuple[str, ...]]],
) -> DnsFront | None:
    """Builds the DNS front.

    `alpn_of` returns for a server's name whether TLS is used, and the server's ALPN protocol ids.
    """
    if settings is None:
        return None
    from .dns.front import DnsFront

    return DnsFront(exchange, settings, counters, alpn_of=alpn_of)


def build_members(
    name: str,
    options: Options | None,
    exchange: Exchange,
    caches: ConnectionPool,
    deadlines: Deadlines,
    counters: Counters,
) -> tuple[MembershipTransport | None, TaskRunner | None]:
    """Builds the membership protocol of `[members]` and the periodic tasks that its members share."""
    if options is None or options.members is None:
        return None, None
    from .duties.start import build_shared_tasks

    return build_shared_tasks(name, options, exchange, caches, deadlines, counters)


def build_handover(
    config: PlatformConfig,
    environ: Mapping[str, str],
    clock: Clock,
    deadlines: Deadlines,
    counters: Counters,
    on_share_change: Callable[[api.ProcessShareChanged], None],
) -> tuple[SharedExecutions | None, ProcessSharing | None]:
    """Builds what the processes of a handover know of each other, if there may be another process."""
    temporary = environ.get("TMPDIR")
    if config.inherited_fd is None or not temporary:
        return None, None
    from .core.process_presence import ProcessPresence
    from .core.process_sharing import ProcessSharing
    from .core.shared_executions import FOLDER_PREFIX, SharedExecutions

    folder = Path(temporary) / (FOLDER_PREFIX + config.name.encode().hex())
    presence = ProcessPresence(folder, counters, os.getpid())
    sharing = ProcessSharing(presence, clock, deadlines, counters, on_share_change)
    return SharedExecutions(folder, counters), sharing


def build_web(
    options: Options | None,
    config: PlatformConfig,
    clock: Clock,
    deadlines: Deadlines,
    counters: Counters,
    log: Callable[[str], None],
    exchange: Exchange,
) -> HttpProxy | None:
    """Builds the HTTP proxy of `[front.http]`, which shares the memory and the stop of `exchange`."""
    if options is None or options.front.http is None:
        return None
    from .web.shared_services import SharedServices
    from .web.start import HttpProxy

    services = SharedServices(clock, deadlines, counters, log, exchange.memory, exchange.final_deadlines)
    return HttpProxy(options, config.name, config.seed, services)


def build_store(
    options: Options | None,
    purge_settle_ms: float,
    clock: Clock,
    counters: Counters,
    log: Callable[[str, str], None],
    deadlines: Deadlines,
) -> PersistenceService | None:
    """Opens the store of `[store]`."""
    if options is None or options.store is None:
        return None
    from .store.persistence import PersistenceService

    return PersistenceService(options, purge_settle_ms, clock, counters, log, deadlines)


def build_leases(
    name: str,
    options: Options | None,
    store: PersistenceService | None,
    clock: Clock,
    instants: InstantConverter,
    deadlines: Deadlines,
    counters: Counters,
) -> tuple[LeaseService, LeaseAddress] | None:
    """Builds the lease service of `[leases]`; returns it with the address that it listens at.

    Leases need a store: without one, the result is None.
    """
    if options is None or options.leases is None or store is None:
        return None
    from .leases.start import build_lease_service

    return build_lease_service(name, options, store, clock, instants, deadlines, counters)


def build_control(
    options: Options | None,
    counters: Counters,
    task_runner: TaskRunner | None,
    store: PersistenceService | None,
    leases: tuple[LeaseService, LeaseAddress] | None,
) -> ControlServer | None:
    """Builds the operators' control socket, with query handlers for each enabled part."""
    if options is None or options.control is None:
        return None
    from .control.server import ControlServer

    control = ControlServer(options.resolve_path(options.control.socket), counters)
    if task_runner is not None:
        from .duties.view import membership_status

        control.handlers["members"] = lambda _: membership_status(task_runner)
    if store is not None:
        control.handlers["store"] = lambda arguments: store.status()
    if leases is not None:
        from .leases.view import add_views

        add_views(control, leases[0])
    return control


def load_dns_settings(options: Options, own_host: str) -> DnsConfig | None:
    """Reads the DNS front's settings from `[dns]`; returns None if the table is absent or not enabled."""
    from .dns.settings import configured_dns

    return configured_dns(options, own_host)


def load_member_keys(options: Options) -> tuple[AuthenticationKey, ...]:
    """Reads the key ring of `[members]`; returns an empty tuple if the table is absent."""
    if options.members is None:
        return ()
    from .members.authenticator import load_key_ring

    return load_key_ring(options.resolve_path(options.members.keys))


@dataclass(slots=True)
class Reloaded:
    """The configuration that SIGHUP reloads: all of it is read and checked before any of it takes effect."""

    config: PlatformConfig
    options: Options | None
    upstream_factory: ConnectionFactory | None
    member_keys: tuple[AuthenticationKey, ...] = ()
    site: SiteGeneration | None = None
    dns: DnsConfig | None = None


def read_reloaded(
    environ: Mapping[str, str],
    in_use: PlatformConfig,
    options: Options | None,
    upstream_factory: ConnectionFactory | None,
    web: HttpProxy | None,
    *,
    has_dns: bool,
    has_members: bool,
) -> Reloaded:
    """Reads the platform's configuration again and, if there is one, the director's options file.

    `in_use` is the platform's configuration that the director has now, `web` its front of `[front.http]`.

    Raises:
        ConfigError: A file cannot be used.
    """
    reloaded = Reloaded(load_config(environ, in_use), options, upstream_factory)
    if options is None:
        return reloaded
    from .config.options import load_options

    options = reloaded.options = load_options(options.path)
    reloaded.upstream_factory = build_connection_factory(options, upstream_factory)
    if has_members:
        reloaded.member_keys = load_member_keys(options)
    if web is not None and options.front.http is not None:
        reloaded.site = web.prepare(options)
    if has_dns:
        reloaded.dns = load_dns_settings(options, reloaded.config.listen[0])
    return reloaded
