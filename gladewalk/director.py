"""The program put together: the parts, the loop's turn, a new configuration, and the end."""

from __future__ import annotations

import asyncio
import math
import os
import signal
from collections.abc import Callable
from typing import TYPE_CHECKING

import structlog

from . import signals
from .config.platform import Config, ConfigError, load
from .core.counters import Counters
from .core.deadlines import Deadlines
from .core.exchange import Exchange
from .net.clients import ASK_MS, ClientFront
from .net.coordinator import Feed, Follower
from .net.outside import REAL, Outside
from .ops.readiness import ACCEPT_MS, SYNC_MOST_MS, Readiness, answered_by_ms
from .upstream.pool import Caches

if TYPE_CHECKING:  # what is off is not imported
    from .config.options import Options
    from .control.server import Control
    from .dns.settings import DnsConfig
    from .duties.runner import Runner
    from .leases.transport import Address, Leases
    from .members.seal import Key
    from .members.transport import Members
    from .net.admin import AdminFront
    from .nginx.router import Router
    from .store.persistence import PersistenceService
    from .upstream.secure import Shapes
    from .web.start import Web

LINGER_MS = 20.0  # lets the last answers leave before the process ends


class Turn:
    """Arms the loop's one timer for the earliest deadline."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Callable[[], float]) -> None:
        self.loop, self.clock = loop, clock
        self.deadlines = Deadlines(self.arm)
        self._handle: asyncio.TimerHandle | None = None

    def arm(self, when_ms: float) -> None:
        if self._handle is not None:
            self._handle.cancel()
        self._handle = self.loop.call_later(max(0.0, when_ms - self.clock()) / 1000.0, self._sweep)

    def _sweep(self) -> None:
        self.deadlines.sweep(self.clock())


def shapes_of(options: Options | None, before: Shapes | None = None) -> Shapes | None:
    """How servers are spoken to: None stands for HTTP/1.1 in the clear, without any code for more."""
    if options is None or not options.http2.used:
        return None
    from .upstream.secure import Shapes

    return Shapes(options, before.negotiation if before is not None else None)


class Director:
    """The parts of one director; `options` are our own settings, None where all they turn on is off."""

    sync_most_ms = SYNC_MOST_MS  # how long requests wait at the start for the coordinator's first answer

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        dns: DnsConfig | None = None,
        options: Options | None = None,
        outside: Outside = REAL,
    ) -> None:
        self.clock = clock = outside.clock
        self.config, self.loop, self.counters = config, loop, Counters()
        self.log = structlog.get_logger().bind(node=config.name)
        self.deadlines = Turn(loop, clock).deadlines
        self.exchange = Exchange(config, clock, self.deadlines, self.counters, self._module_says)
        self.options = options
        shapes = shapes_of(options)
        self.caches = Caches(self.exchange, config, clock, self.deadlines, self.counters, shapes)
        self.exchange.upstreams = self.caches
        self.front = ClientFront(
            self.exchange,
            config.settings.client_connection_limit,
            clock,
            self.deadlines,
            self.counters,
            outside.listen,
        )
        self._set_front(config)
        self.readiness = self.front.readiness = Readiness(synced=False)
        self.admin: AdminFront | None = None
        if config.admin is not None:
            from .ops.calls import admin_front

            self.admin = admin_front(self)
        self.feed = Feed(self.exchange, config, clock, self.counters)
        self.follower = Follower(
            self.feed, config.coordinator, self.deadlines, self.log.info, outside.fresh()
        )
        self._ended: asyncio.Future[None] = loop.create_future()
        self._stopping, self._last_ms = False, math.inf  # by when a stop ends, whatever clients do
        self.dns = None
        if dns is not None:
            from .dns.front import DnsFront

            self.dns = DnsFront(self.exchange, dns, self.counters, alpn_of=self._alpn_of)

        self.members: Members | None = None
        self.duties: Runner | None = None
        if options is not None and options.members is not None:
            from .duties.start import start

            self.members, self.duties = start(
                config.name, options, self.exchange, self.caches, self.deadlines, self.counters
            )
        self.web: Web | None = None
        if options is not None and options.front.http is not None:
            from .web.start import Web

            self.web = Web(
                options, config.name, config.seed, clock, self.deadlines, self.counters, self._module_says
            )
        self.persistence: PersistenceService | None = None
        if options is not None and options.store is not None:
            from .store.persistence import PersistenceService

            self.persistence = PersistenceService(
                options,
                config.settings.purge_settle_ms,
                clock,
                self.counters,
                self._store_says,
                self.deadlines,
            )
        self.leases: tuple[Leases, Address] | None = None
        if options is not None and options.leases is not None and self.persistence is not None:
            from .leases.start import start as start_leases

            self.leases = start_leases(
                config.name, options, self.persistence, clock, self.deadlines, self.counters
            )
        self.control: Control | None = None
        if options is not None and options.control is not None:
            self.control = self._control(options)

    async def start(self) -> None:
        self.feed.known(self.config.known_index, self.config.known)
        if self.persistence is not None:
            self.persistence.restore(self.feed)
            self.persistence.start(self.feed)
        self.follower.on_settled = self._synced
        self.exchange.hold()
        self.deadlines.add(self.clock() + self.sync_most_ms, self._synced)
        self.follower.connect()
        self.caches.sweep()
        self.front.listen(self.config.listen, self.config.inherited_fd)
        if self.dns is not None:
            self.dns.own_port = self.front.address[1]
            await self.dns.listen()
        if self.members is not None and self.duties is not None:
            await self.members.listen()
            self.duties.sweep()
        if self.leases is not None:
            await self.leases[0].listen(self.leases[1])
        if self.web is not None:
            self.web.start()
        if self.control is not None:
            await self.control.listen()
        if self.admin is not None and self.config.admin is not None:
            await self.admin.listen(self.config.admin)
        self.readiness.started = True

    def _control(self, options: Options) -> Control:
        """The socket for operators, with a view for each part that is on."""
        from .control.server import Control

        assert options.control is not None
        control = Control(options.file(options.control.socket), self.counters)
        if self.duties is not None:
            from .duties.view import view_of

            duties = self.duties
            control.views["members"] = lambda given: view_of(duties)
        if self.persistence is not None:
            control.views["store"] = self.persistence.view
        if self.leases is not None:
            from .leases.view import add_views

            add_views(control, self.leases[0])
        return control

    async def run(self) -> None:
        """Serve until SIGTERM, then answer all that was taken."""
        signals.hold()  # one that comes now finds all parts there, or comes when they are
        handlers = {signal.SIGHUP: self.reload, signal.SIGTERM: self.stop, signal.SIGINT: self.stop}
        for number, handler in {**handlers, signal.SIGUSR1: self.report}.items():
            self.loop.add_signal_handler(number, handler)
        await self.start()
        signals.release()
        listening: dict[str, object] = {
            "listen": self.front.address,
            "dns": self.dns.address if self.dns is not None else None,
        }
        if self.dns is not None and self.dns.tls_address is not None:
            listening["dns_tls"] = self.dns.tls_address
        if self.web is not None:
            listening["web"] = [front.address for front in self.web.fronts]
        if self.admin is not None:
            listening["admin"] = self.admin.address
        self.log.info("serving", servers=len(self.caches.upstreams), **listening)
        await self._ended
        signals.hold()  # the loop takes its handlers away before the process has ended
        if self.persistence is not None:
            await self.persistence.close()
        self.report()

    def reload(self) -> None:
        """SIGHUP: read the configuration file again; one that cannot be used leaves the old one in force."""
        keys: tuple[Key, ...] = ()
        router: Router | None = None
        dns: DnsConfig | None = None
        try:
            config, options, shapes = load(os.environ), self.options, self.caches.shapes
            if options is not None:
                from .config.options import load_options

                options = load_options(options.path)
                shapes = shapes_of(options, shapes)
                keys = self._keys_of(options)
                router = self._router_of(options)
                dns = self._dns_of(options, config)
        except ConfigError as error:
            self.counters.add("reloads.refused")
            self.log.error("configuration kept", why=str(error))
        else:
            self.counters.add("reloads.done")
            self.options = options
            self.apply(config)
            if options is not None:
                self.caches.shape(shapes)
                if self.web is not None and router is not None:
                    self.web.reload(options, router)
                if self.dns is not None and dns is not None:
                    self.dns.reload(dns)
                if self.members is not None and keys:
                    self.members.seal.rekey(keys)

    def _alpn_of(self, name: str) -> tuple[bool, tuple[str, ...]]:
        """How a box is spoken to, for those who are sent to it: whether over TLS, and by which protocols."""
        shapes, upstream = self.caches.shapes, self.caches.upstreams.get(name)
        if shapes is None or upstream is None:
            return False, ("http/1.1",)
        offer = shapes.offer(upstream, self.clock())
        if offer.secure:
            return True, ("h2", "http/1.1") if offer.shared else ("http/1.1",)
        return False, ("h2c",) if offer.shared else ("http/1.1",)

    def _dns_of(self, options: Options, config: Config) -> DnsConfig | None:
        """The DNS front's settings as `[dns]` has them now; None where they came from a file of their own."""
        if self.dns is None:
            return None
        from .dns.settings import configured

        return configured(options, config.listen[0])

    def _keys_of(self, options: Options) -> tuple[Key, ...]:
        """The members' keys as their file has them now; none where members are off."""
        if self.members is None or options.members is None:
            return ()
        from .members.seal import load_keys

        return load_keys(options.file(options.members.keys))

    def _router_of(self, options: Options) -> Router | None:
        """The imported table as its file has it now; None where the front is off."""
        if self.web is None or options.front.http is None:
            return None
        from .web.start import checked

        return checked(options)[0]

    def apply(self, config: Config) -> None:
        """Every part takes what it can while it runs; open requests live on under the old terms."""
        if config.listen != self.config.listen:
            self.log.warning("another address to listen at is taken up at a restart", listen=config.listen)
        self.config = config
        self.exchange.core.configure(config.settings)
        self.caches.configure(config)
        self._set_front(config)
        self.feed.roles = config.roles
        if self.dns is not None:
            self.dns.classes = frozenset(self.exchange.core.classes)
        self.follower.move(config.coordinator)
        self.log.info("configuration taken", coordinator=config.coordinator, last=self.feed.last)

    def _set_front(self, config: Config) -> None:
        self.front.connection_limit = config.settings.client_connection_limit
        self.front.hold_off = config.hold_off
        self.front.arrive_ms = max(ASK_MS, self._patience_ms())

    def _patience_ms(self) -> float:
        """The longest that any client waits here, as the settings have it."""
        return max(cls.deadline_ms for cls in self.exchange.core.classes.values())

    def stop(self) -> None:
        if not self._stopping:
            self._stopping = True
            self.log.info("stopping", owed=self.exchange.owed)
            self.readiness.stopping = True
            self.readiness.start_drain(self.clock())
            if self.leases is not None:  # handed on at once: another may act while this one finishes
                self.leases[0].stop()
            if self.config.inherited_fd is not None:  # the listener's other holders take what comes now
                self.front.stop_taking()
            self._last_ms = answered_by_ms(self.clock(), self._patience_ms())
            self.exchange.end_by(self._last_ms)
            self.deadlines.add(self.clock() + ACCEPT_MS, self._close)

    def report(self) -> None:
        now = {
            "now.owed": self.exchange.owed,
            "now.passing": sum(taken.winner is not None for taken in self.exchange.taken.values()),
            "now.waiting": len(self.exchange.core.parked),
            "now.clients": len(self.front.connections),
            "now.upstream": len(self.caches.live),
            "late_ms": round(self.deadlines.late_ms, 1),
        }
        self.log.info("counters", **now, **self.counters.report())

    def _synced(self) -> None:
        if not self.readiness.synced:
            self.readiness.synced = True
            self.exchange.release()
            heard = self.follower.on_settled is None
            self.counters.add("coordinator.heard_at_start" if heard else "coordinator.late_at_start")

    def _store_says(self, event: str, why: str) -> None:
        self.log.warning(event, why=why)

    def _module_says(self, line: str) -> None:
        self.log.info("module", line=line)

    def _close(self) -> None:
        self.front.close()
        if self.web is not None:
            self.web.close()
        self._wait_for_last()

    def _wait_for_last(self) -> None:
        """Every open request has a deadline of its own, and so has the whole: this ends."""
        web_owes = self.web is not None and self.web.owed
        owed = self.exchange.owed or self.exchange.asked or web_owes
        if owed or (not self.front.is_done() and self.clock() < self._last_ms):
            self.deadlines.add(self.clock() + LINGER_MS, self._wait_for_last)
        else:
            self.follower.close()
            if self.members is not None:
                self.members.leave()
            if self.control is not None:
                self.control.close()
            if self.admin is not None:
                self.admin.close()
            if self.dns is not None:
                self.dns.close()
            self.deadlines.add(self.clock() + LINGER_MS, lambda: self._ended.set_result(None))
