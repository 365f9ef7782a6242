"""The DNS front: listens over UDP, TCP and TLS, builds the zones, and applies settings."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import replace

from ..config.platform import Address
from ..core.clocks import read_wall_clock
from ..core.counters import Counters
from ..core.exchange import Exchange
from ..policy.dns_placement import DNS_LEASE_MS
from .limits import LoopTimeBudget
from .names import NamingRules
from .processor import PLAIN_ALPN, AlpnOf, QueryProcessor
from .query import TransportKind
from .settings import DnsConfig, load_certificate
from .tcp import StreamConnections
from .udp import UdpListener
from .zone import Zone, ZoneApex

SERIAL_MODULUS = 2**32
DEFAULT_NAMESERVER = "ns"  # in each zone, at `own_address`


def _plain_http(server: str) -> tuple[bool, tuple[str, ...]]:
    return False, PLAIN_ALPN


class DnsFront:
    """Serves DNS queries on sockets.

    Args:
        exchange: Passes resolve requests to the dispatcher.
        config: The settings.
        counters: Where queries, responses and connections are counted.
        own_port: Port of the director's HTTP front; 0 if it is not known yet.
        alpn_of: Returns whether a server uses TLS, and its ALPN identifiers.
    """

    def __init__(
        self,
        exchange: Exchange,
        config: DnsConfig,
        counters: Counters,
        own_port: int = 0,
        alpn_of: AlpnOf = _plain_http,
    ) -> None:
        self.exchange, self.counters, self._config = exchange, counters, config
        self._classes = frozenset(cls.name for cls in exchange.dispatcher.state.settings.classes)
        self._serial = 0
        self.processor = QueryProcessor(exchange, counters, config, self._make_zones(), own_port, alpn_of)
        self.streams = StreamConnections(
            self.processor, config.streams, counters, exchange.clock, exchange.deadlines
        )
        self.address: Address = config.listen
        self.tls_address: Address | None = None
        self._udp: UdpListener | None = None
        self._servers: list[asyncio.Server] = []
        self._apply_ttl_bounds()

    # Settings.

    @property
    def config(self) -> DnsConfig:
        """The settings in force."""
        return self._config

    def apply_config(self, config: DnsConfig) -> None:
        """Applies settings, except for the listen addresses.

        Resolvers' weights and rate buckets are kept if the settings that they depend on are unchanged.
        """
        self._config = config
        self.processor.apply(config, self._make_zones())
        self.streams.limits = config.streams
        self._apply_ttl_bounds()
        if self._udp is not None:
            self._udp.budget.fraction = config.rates.max_loop_fraction

    def reload(self, config: DnsConfig) -> None:
        """Applies settings that were reloaded on SIGHUP, except for the listen addresses.

        A new certificate is loaded into the TLS context in use, for new connections.
        """
        old = self._config
        if old.tls is not None and config.tls is not None and config.tls.files is not None:
            load_certificate(old.tls.context, config.tls.files)
        if (config.listen, _tls_address(config)) != (old.listen, _tls_address(old)):
            self.counters.add("dns.listen_kept")
        self.apply_config(replace(config, listen=old.listen, tls=old.tls))

    def set_classes(self, classes: frozenset[str]) -> None:
        """Applies the names of the request classes."""
        if classes != self._classes:  # otherwise the zones that a reload just made are kept
            self._classes = classes
            self.processor.zones = self._make_zones()

    def _apply_ttl_bounds(self) -> None:
        lease_table = self.exchange.dispatcher.state.dns_lease_table()
        lease_table.min_ttl_ms = self._config.leases.min_ttl_ms
        lease_table.max_ttl_ms = self._config.leases.max_ttl_ms

    # Zones.

    def _make_zones(self) -> list[Zone]:
        config = self._config
        # The serial must not decrease if the wall clock is set back, or secondaries would keep the old zone.
        self._serial = serial = max(self._serial, int(read_wall_clock().unix_ms / 1_000.0)) % SERIAL_MODULUS
        rules = NamingRules(
            self._classes, config.open_classes, self._is_known_address, self._is_ready_address
        )
        nameservers = config.nameservers or {DEFAULT_NAMESERVER: (config.own_address,)}
        return [
            Zone(
                ZoneApex(origin, nameservers, config.hostmaster, serial, config.negative_ttl_s),
                rules,
                config.own_address,
                [entry.rrset for entry in config.records if entry.origin == origin],
            )
            for origin in config.origins
        ]

    def _is_known_address(self, address: str) -> bool:
        """Whether an address is a server's or the director's: address names must not resolve to any other."""
        return address == self._config.own_address or any(True for _ in self._servers_at(address))

    def _is_ready_address(self, address: str) -> bool:
        """Whether an address may be given out: the director's, or that of a server that does not drain."""
        is_ready = self.exchange.dispatcher.state.registry.is_ready
        return address == self._config.own_address or any(map(is_ready, self._servers_at(address)))

    def _servers_at(self, address: str) -> Iterator[str]:
        """Yields the names of the servers at an address, whatever their ports."""
        upstreams = self.exchange.upstreams
        if upstreams is None:
            return
        for name in self.exchange.dispatcher.state.registry.servers:
            known = upstreams.address(name)
            if known is not None and known[0] == address:
                yield name

    # Sockets.

    async def listen(self) -> None:
        """Listens at the configured addresses.

        Raises:
            OSError: An address cannot be bound.
        """
        loop, config = asyncio.get_running_loop(), self._config
        # Without a store, the leases that the last run granted are unknown.
        if config.leases.is_full_after_restart and self.exchange.resolutions.persist is None:
            leased_until_ms = self.exchange.clock() + DNS_LEASE_MS
            self.exchange.dispatcher.state.dns_lease_table().assume_full(leased_until_ms)
        tcp = await loop.create_server(
            lambda: self.streams.make_connection(TransportKind.TCP), *config.listen
        )
        host, port = tcp.sockets[0].getsockname()[:2]
        self.address = (host, port)  # UDP uses the port that was chosen for TCP if the configured port is 0
        self._servers.append(tcp)
        self._udp = self._make_udp_listener(self.address)
        if config.tls is not None:
            tls = await loop.create_server(
                lambda: self.streams.make_connection(TransportKind.TLS),
                *config.tls.address,
                ssl=config.tls.context,
            )
            self.tls_address = tls.sockets[0].getsockname()[:2]
            self._servers.append(tls)

    def _make_udp_listener(self, address: Address) -> UdpListener:
        exchange = self.exchange
        return UdpListener(
            address,
            self.processor,
            self.counters,
            LoopTimeBudget(self._config.rates.max_loop_fraction),
            lambda: bool(exchange.unanswered_count),
        )

    def close(self) -> None:
        """Stops listening and aborts all connections."""
        if self._udp is not None:
            self._udp.close()
        for server in self._servers:
            server.close()
        self.streams.close()


def _tls_address(config: DnsConfig) -> Address | None:
    return config.tls.address if config.tls is not None else None
