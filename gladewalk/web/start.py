"""Builds the front of `[front.http]`: a router, a core and a pool for each upstream, and the listeners."""

from __future__ import annotations

from dataclasses import dataclass

from ..config.options import Options
from ..config.platform import Address, ConfigError, read_address
from ..core.readiness import Readiness
from ..errors import GladewalkError
from ..interface import validate_settings
from ..nginx.errors import RoutingTableError
from ..nginx.router import Router
from ..nginx.table import UpstreamRow, UpstreamServerRow, load_site
from ..upstream.pool import ConnectionPool
from .connection import UpstreamConnection
from .front import HttpFront
from .shared_services import SharedServices
from .upstream_config import UpstreamConfig, build_upstream_config
from .upstream_exchange import UpstreamExchange

MIN_CONNECTIONS_PER_UPSTREAM = 4
MIN_CONNECTIONS_PER_LISTENER = 1
# Client connections need an exchange even if the routing table has no upstream. Its only server is marked as
# down, so no request is sent to this address.
UNUSED_UPSTREAM = UpstreamRow(
    name="-", defined_at="-", servers=[UpstreamServerRow(address="127.0.0.1:1", defined_at="-", is_down=True)]
)


def load_routing(options: Options) -> tuple[Router, dict[Address, str]]:
    """Loads the routing table, and returns its router and the addresses to listen on.

    Each address is mapped to the `listen` of the table that is served there.

    Raises:
        ConfigError: The table or a listener cannot be used.
    """
    table = options.front.http
    assert table is not None
    site_path = options.resolve_path(table.site)
    try:
        router = Router(load_site(site_path))
    except RoutingTableError as error:
        raise ConfigError(f"{site_path}: {error}") from error
    listeners: dict[Address, str] = {}
    for text, listen_key in table.listen.items():
        try:
            address = read_address(text)
        except ConfigError as error:
            raise ConfigError(f"{options.path}: front.http.listen: {error}") from error
        if listen_key not in router.listeners:
            known = ", ".join(router.listeners)
            raise ConfigError(
                f"{options.path}: front.http.listen: {listen_key} is none of the table's: {known}"
            )
        listeners[address] = listen_key
    if not listeners:
        raise ConfigError(f"{options.path}: front.http.listen: names no address")
    return router, listeners


@dataclass(frozen=True, slots=True)
class SiteGeneration:
    """A checked routing table with what is built from it, ready to replace the one in use.

    Attributes:
        router: The router of the table.
        listen_keys: The `listen` of the table that is served at each address.
        configs: The configuration of each upstream.
        upstream_connections: Limit of connections to each upstream.
    """

    router: Router
    listen_keys: dict[Address, str]
    configs: tuple[UpstreamConfig, ...]
    upstream_connections: int


def prepare_site(options: Options, name: str, seed: int) -> SiteGeneration:
    """Reads and checks the table of `[front.http]` and the configurations of its upstreams.

    Args:
        options: The director's options.
        name: The director's name.
        seed: The seed of the upstreams' random choices.

    Raises:
        ConfigError: The table, a listener or an upstream cannot be used.
    """
    table = options.front.http
    assert table is not None
    router, listen_keys = load_routing(options)
    rows = router.site.upstreams or [UNUSED_UPSTREAM]
    connection_share = max(MIN_CONNECTIONS_PER_UPSTREAM, table.max_upstream_connections // len(rows))
    configs = []
    for number, row in enumerate(rows):
        try:
            if not row.servers:
                raise ConfigError("it has no servers")
            config = build_upstream_config(
                router.site,
                row,
                director_name=name,
                seed=seed + number,
                max_client_connections=table.max_client_connections,
                max_upstream_connections=connection_share,
            )
            validate_settings(config.platform.settings)
        except GladewalkError as error:
            site_path = options.resolve_path(table.site)
            raise ConfigError(f"{site_path}: upstreams: {row.name}: {error}") from error
        configs.append(config)
    return SiteGeneration(router, listen_keys, tuple(configs), connection_share)


class HttpProxy:
    """The HTTP front: its listeners and the exchanges of its upstreams.

    Attributes:
        upstreams: The exchange of each upstream, by its name.
        fronts: The listeners.
    """

    def __init__(self, options: Options, name: str, seed: int, services: SharedServices) -> None:
        """Builds exchanges and listeners without opening a socket.

        Raises:
            ConfigError: The table or a listener cannot be used.
        """
        self._name, self._seed, self._services = name, seed, services
        generation = prepare_site(options, name, seed)
        self.upstreams: dict[str, UpstreamExchange] = {}
        self._retired: list[UpstreamExchange] = []  # replaced by a reload; some may have open requests
        table = options.front.http
        assert table is not None
        self._listeners = generation.listen_keys
        self._replace_upstreams(generation)
        connection_limit = max(
            MIN_CONNECTIONS_PER_LISTENER, table.max_client_connections // len(self._listeners)
        )
        self.fronts = [
            HttpFront(
                generation.router,
                listen_key,
                self.upstreams,
                connection_limit,
                table.max_body_bytes,
                services.clock,
                services.deadlines,
                services.counters,
            )
            for listen_key in self._listeners.values()
        ]

    def _replace_upstreams(self, generation: SiteGeneration) -> list[UpstreamExchange]:
        """Replaces the upstreams by those of a generation and returns the new exchanges.

        An unchanged upstream keeps its exchange and core; one that was changed or removed is retired.
        """
        previous, self.upstreams = self.upstreams, {}
        added = []
        for config in generation.configs:
            name = config.upstream.name
            known = previous.get(name)
            if known is not None and known.config.is_equivalent(config):
                known.config.class_names = config.class_names
                self.upstreams[name] = previous.pop(name)
                continue
            exchange = self._build_exchange(config, generation.upstream_connections)
            self.upstreams[name] = exchange
            added.append(exchange)
        for exchange in previous.values():
            exchange.retire()
        self._retired = [exchange for exchange in self._retired if exchange.open_requests]
        self._retired += previous.values()
        return added

    def _build_exchange(self, config: UpstreamConfig, max_connections: int) -> UpstreamExchange:
        services = self._services
        exchange = UpstreamExchange(config, services)
        pool = ConnectionPool(
            exchange, config.platform, services.clock, services.deadlines, services.counters
        )
        pool.http1_class, pool.max_connections = UpstreamConnection, max_connections
        exchange.upstreams = pool
        return exchange

    def set_readiness(self, readiness: Readiness) -> None:
        """Has the listeners follow the director's drains and its stop, as the platform's front does."""
        for front in self.fronts:
            front.readiness = readiness

    def start(self) -> None:
        """Starts the exchanges and opens the listeners."""
        for exchange in self.upstreams.values():
            exchange.start()
        for front, address in zip(self.fronts, self._listeners, strict=True):
            front.listen(address)
            front.start_accepting()

    # Reload.

    def prepare(self, options: Options) -> SiteGeneration:
        """Reads and checks the successor of the table in use, and changes nothing.

        An address that the options name no more is served until a restart, by the `listen` that it had.

        Raises:
            ConfigError: The table, a listener or an upstream cannot be used, or the table has no `listen` for
                an address that is served.
        """
        generation = prepare_site(options, self._name, self._seed)
        for address, listen_key in self._listen_keys(generation).items():
            if listen_key not in generation.router.listeners:
                raise ConfigError(
                    f"{options.path}: front.http.listen: {address[0]}:{address[1]} is served as {listen_key},"
                    " which the table no longer has"
                )
        return generation

    def switch(self, generation: SiteGeneration) -> None:
        """Replaces the table for requests read from now on, on open connections too."""
        self._listeners = self._listen_keys(generation)
        for exchange in self._replace_upstreams(generation):
            exchange.start()
        for front, listen_key in zip(self.fronts, self._listeners.values(), strict=True):
            front.set_table(generation.router, listen_key, self.upstreams)

    def addresses_that_need_a_restart(self, generation: SiteGeneration) -> list[Address]:
        """The addresses that a generation adds or no longer names; sockets are opened at a start alone."""
        return sorted(generation.listen_keys.keys() ^ self._listeners.keys())

    def _listen_keys(self, generation: SiteGeneration) -> dict[Address, str]:
        """The `listen` of a generation for each address that is served, in the order of the listeners."""
        return {
            address: generation.listen_keys.get(address, listen_key)
            for address, listen_key in self._listeners.items()
        }

    # Graceful shutdown.

    @property
    def unanswered_count(self) -> int:
        """The number of requests that have not had their final answer, at replaced upstreams too."""
        return sum(exchange.unanswered_count for exchange in self._all_exchanges())

    def answer_all_by(self, when_ms: float) -> None:
        """Shortens the deadline of every open and future request to `when_ms` or some time before it."""
        for exchange in self._all_exchanges():
            exchange.answer_all_by(when_ms)

    def close(self) -> None:
        """Closes the listeners and their connections; `is_done` reports the end."""
        for front in self.fronts:
            front.close()

    def is_done(self) -> bool:
        """Whether no response is outstanding at any listener, not even in part."""
        return all(front.is_done() for front in self.fronts)

    def _all_exchanges(self) -> list[UpstreamExchange]:
        return [*self.upstreams.values(), *self._retired]
