"""Builders of the parts of a director that are off unless our own options turn them on.

Each builder imports its part only if it is on, so that a director as the platform runs it loads none of them.
All raise `ConfigError` for options that cannot be used.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .config.platform import PlatformConfig, load_config
from .core.clocks import InstantConverter
from .core.counters import Counters
from .core.deadlines import Deadlines
from .core.exchange import Exchange
from .upstream.pool import ConnectionPool

if TYPE_CHECKING:  # what is off is not imported
    from .config.options import Options
    from .control.server import ControlServer
    from .dns.front import DnsFront
    from .dns.settings import DnsConfig
    from .duties.runner import TaskRunner
    from .leases.transport import Address as LeaseAddress
    from .leases.transport import LeaseService
    from .members.authenticator import AuthenticationKey
    from .members.transport import MembershipTransport
    from .nginx.router import Router
    from .store.persistence import PersistenceService
    from .upstream.connection_factory import ConnectionFactory
    from .web.start import HttpProxy

Clock = Callable[[], float]


def build_protocols(
    options: Options | None, previous: ConnectionFactory | None = None
) -> ConnectionFactory | None:
    """Builds what is needed to speak HTTP/2 or TLS to servers; None: HTTP/1.1 in the clear for all.

    `previous` keeps what was learned of each server's protocols.
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
    """Builds the DNS front; `alpn_of` tells of a server whether TLS is used, and which protocols."""
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
    """Builds the membership and the periodic tasks that members share."""
    if options is None or options.members is None:
        return None, None
    from .duties.start import build_shared_tasks

    return build_shared_tasks(name, options, exchange, caches, deadlines, counters)


def build_web(
    options: Options | None,
    config: PlatformConfig,
    clock: Clock,
    deadlines: Deadlines,
    counters: Counters,
    log: Callable[[str], None],
) -> HttpProxy | None:
    """Builds the HTTP front of `[front.http]`."""
    if options is None or options.front.http is None:
        return None
    from .web.start import HttpProxy

    return HttpProxy(options, config.name, config.seed, clock, deadlines, counters, log)


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
    """Builds the leases of `[leases]`, which need a store, and tells where they listen."""
    if options is None or options.leases is None or store is None:
        return None
    from .leases.start import build_lease_service

    return build_lease_service(name, options, store, clock, instants, deadlines, counters)


def build_control(
    options: Options | None,
    counters: Counters,
    duties: TaskRunner | None,
    store: PersistenceService | None,
    leases: tuple[LeaseService, LeaseAddress] | None,
) -> ControlServer | None:
    """Builds the operators' control socket, with a view for each part that is on."""
    if options is None or options.control is None:
        return None
    from .control.server import ControlServer

    control = ControlServer(options.resolve_path(options.control.socket), counters)
    if duties is not None:
        from .duties.view import membership_status

        control.handlers["members"] = lambda _: membership_status(duties)
    if store is not None:
        control.handlers["store"] = lambda given: store.status()
    if leases is not None:
        from .leases.view import add_views

        add_views(control, leases[0])
    return control


def load_dns_settings(options: Options, own_host: str) -> DnsConfig | None:
    """Reads the DNS front's settings from `[dns]`; None if they come from a file of their own."""
    from .dns.settings import configured_dns

    return configured_dns(options, own_host)


def load_member_keys(options: Options) -> tuple[AuthenticationKey, ...]:
    """Reads the members' key ring; empty if members are off."""
    if options.members is None:
        return ()
    from .members.authenticator import load_key_ring

    return load_key_ring(options.resolve_path(options.members.keys))


def load_router(options: Options) -> Router | None:
    """Reads the imported routing table; None if the HTTP front is off."""
    if options.front.http is None:
        return None
    from .web.start import load_routing

    return load_routing(options)[0]


@dataclass(slots=True)
class Reloaded:
    """Everything read anew on SIGHUP and checked, before any of it takes effect."""

    config: PlatformConfig
    options: Options | None
    protocols: ConnectionFactory | None
    member_keys: tuple[AuthenticationKey, ...] = ()
    router: Router | None = None
    dns: DnsConfig | None = None


def read_reloaded(
    environ: Mapping[str, str],
    options: Options | None,
    protocols: ConnectionFactory | None,
    has_dns: bool,
    has_members: bool,
    has_web: bool,
) -> Reloaded:
    """Reads the platform's configuration and, if there is one, our own options file again."""
    reloaded = Reloaded(load_config(environ), options, protocols)
    if options is None:
        return reloaded
    from .config.options import load_options

    options = reloaded.options = load_options(options.path)
    reloaded.protocols = build_protocols(options, protocols)
    if has_members:
        reloaded.member_keys = load_member_keys(options)
    if has_web:
        reloaded.router = load_router(options)
    if has_dns:
        reloaded.dns = load_dns_settings(options, reloaded.config.listen[0])
    return reloaded
