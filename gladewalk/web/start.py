"""The front of `[front.http]` put together: a router, a core and a pool for each upstream, our listeners."""

from __future__ import annotations

from collections.abc import Callable

from ..config.option_tables import FrontHttpOptions
from ..config.options import Options
from ..config.platform import Address, ConfigError, read_address
from ..core.counters import Counters
from ..core.deadlines import Deadlines
from ..nginx.router import Router
from ..nginx.table import Box, Upstream, load_site
from ..upstream.pool import ConnectionPool
from .balanced import Balanced
from .connection import PlainConnection
from .front import WebFront
from .plan import Plan, plan_of

# A table that passes nothing on still needs an exchange for its connections; nothing is ever sent to it.
NOWHERE = Upstream(name="-", at="-", boxes=[Box(address="127.0.0.1:1", at="-", down=True)])


def checked(options: Options) -> tuple[Router, dict[Address, str]]:
    """The table and where to listen, or `ConfigError` with the one line that says what can't be used."""
    table = options.front.http
    assert table is not None
    try:
        router = Router(load_site(options.file(table.site)))
    except ValueError as error:
        raise ConfigError(f"{options.file(table.site)}: {error}") from error
    listens: dict[Address, str] = {}
    for ours, theirs in table.listen.items():
        try:
            address = read_address(ours)
        except ConfigError as error:
            raise ConfigError(f"{options.path}: front.http.listen: {error}") from error
        if theirs not in router.listeners:
            known = ", ".join(router.listeners)
            raise ConfigError(f"{options.path}: front.http.listen: {theirs} is none of the table's: {known}")
        listens[address] = theirs
    if not listens:
        raise ConfigError(f"{options.path}: front.http.listen: names no address")
    return router, listens


class Web:
    """All of the front: its upstreams and its listeners."""

    def __init__(
        self, options: Options, name: str, seed: int, clock: Callable[[], float], deadlines: Deadlines,
        counters: Counters, log: Callable[[str], None],
    ) -> None:  # fmt: skip
        self.name, self.seed = name, seed
        self.clock, self.deadlines, self.counters, self.log = clock, deadlines, counters, log
        self.upstreams: dict[str, Balanced] = {}
        table = options.front.http
        assert table is not None
        router, self.listens = checked(options)
        self._shape(router, table)
        each = max(1, table.max_client_connections // len(self.listens))
        self.fronts = [
            WebFront(router, key, self.upstreams, each, table.max_body_bytes, clock, deadlines, counters)
            for key in self.listens.values()
        ]

    def _shape(self, router: Router, table: FrontHttpOptions) -> list[Balanced]:
        """Take a table: what is as before goes on with all it has learned; the new ones are given back."""
        rows = router.site.upstreams or [NOWHERE]
        share = max(4, table.max_upstream_connections // len(rows))
        before, self.upstreams = self.upstreams, {}
        fresh = []
        for number, row in enumerate(rows):
            seed, max_clients = self.seed + number, table.max_client_connections
            plan = plan_of(router.site, row, self.name, seed, max_clients, share)
            known = before.get(row.name)
            if known is not None and same(known.plan, plan):
                known.plan.classes = plan.classes
                self.upstreams[row.name] = before.pop(row.name)
                continue
            balanced = Balanced(plan, self.clock, self.deadlines, self.counters, self.log)
            pool = ConnectionPool(balanced, plan.config, self.clock, self.deadlines, self.counters)
            pool.http1_class, pool.max_connections = PlainConnection, share
            balanced.upstreams = pool
            self.upstreams[row.name] = balanced
            fresh.append(balanced)
        for gone in before.values():  # its open requests are answered; nothing new comes
            gone.retire()
        return fresh

    def start(self) -> None:
        for balanced in self.upstreams.values():
            balanced.start()
        for front, address in zip(self.fronts, self.listens, strict=True):
            front.listen(address)

    def reload(self, options: Options, router: Router) -> None:
        """Another table, from one request to the next; other listeners are taken up at a restart."""
        table = options.front.http
        assert table is not None
        fresh = self._shape(router, table)
        for balanced in fresh:
            balanced.start()
        for front in self.fronts:
            front.router, front.upstreams = router, self.upstreams

    @property
    def owed(self) -> int:
        return sum(balanced.unanswered_count for balanced in self.upstreams.values())

    def close(self) -> None:
        for front in self.fronts:
            front.close()


def same(one: Plan, other: Plan) -> bool:
    """Whether a core for one would do for the other: its servers, classes and limits are the same."""
    return (one.upstream.boxes, one.config.settings) == (other.upstream.boxes, other.config.settings)
