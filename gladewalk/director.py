"""Builds a director from its parts; controls its start, configuration reloads and graceful shutdown."""

from __future__ import annotations

import asyncio
import math
import os
import signal
from typing import TYPE_CHECKING

import structlog

from . import interface as api
from . import optional_parts as parts
from . import signals
from .config.platform import ConfigError, PlatformConfig
from .core.counters import Counters
from .core.deadlines import DeadlineKey
from .core.exchange import Exchange
from .core.loop_timer import LoopTimer
from .core.memory_watch import MemoryWatch, read_resident_bytes
from .core.readiness import SHUTDOWN_ACCEPT_MS, Readiness, shutdown_deadline_ms
from .net.clients import FIRST_BYTE_TIMEOUT_MS, ClientFront
from .net.coordinator import CoordinatorWatch
from .net.endpoint_feed import EndpointFeed
from .net.environment import REAL_ENVIRONMENT, Environment
from .net.feed_sync import SYNC_LIMITS, UPGRADE_SYNC_LIMITS, FeedSync
from .net.listening import retry_listening
from .upstream.pool import ConnectionPool

if TYPE_CHECKING:  # at run time, parts that are not configured are not imported
    from .config.options import Options
    from .dns.settings import DnsConfig
    from .net.admin import AdminFront

EXIT_DELAY_MS = 20.0  # time for the last responses to be sent before the process exits
STREAM_END_MS = 1_000.0  # time for clients to read the end of a response that outlasted the shutdown deadline


class Director:
    """One director; `options` is None if it has no options file, and then every optional part is disabled.

    Raises `ConfigError` for options that cannot be used; some are checked only here (the store's folder).
    """

    def __init__(
        self,
        config: PlatformConfig,
        loop: asyncio.AbstractEventLoop,
        dns: DnsConfig | None = None,
        options: Options | None = None,
        environment: Environment = REAL_ENVIRONMENT,
    ) -> None:
        self.config, self.options, self.loop = config, options, loop
        self.clock = clock = environment.clock
        self.counters = counters = Counters()
        self.log = structlog.get_logger().bind(node=config.name)
        self.deadlines = deadlines = LoopTimer(loop, clock).deadlines
        self.sync_limits = SYNC_LIMITS if config.inherited_fd is None else UPGRADE_SYNC_LIMITS
        self._sync_timer: DeadlineKey | None = None
        self._ended: asyncio.Future[None] = loop.create_future()
        self._is_stopping, self._clients_deadline_ms = False, math.inf

        self.exchange = Exchange(config, clock, deadlines, counters, self._log_module_line)
        self.exchange.request_log.emit = self.log.info
        self._memory_watch = MemoryWatch(
            config.memory_limit_mb, read_resident_bytes, self._describe_memory, self.log.warning
        )
        handover = parts.build_handover(
            config, os.environ, clock, deadlines, counters, self._apply_process_share
        )
        self.exchange.shared_executions, self._process_sharing = handover
        upstream_factory = parts.build_connection_factory(options)
        self.connection_pool = ConnectionPool(
            self.exchange, config, clock, deadlines, counters, upstream_factory
        )
        self.exchange.upstreams = self.connection_pool
        connection_limit = config.settings.client_connection_limit
        self.front = ClientFront(
            self.exchange, connection_limit, clock, deadlines, counters, environment.listen
        )
        self._configure_front(config)
        self.readiness = self.front.readiness = Readiness(is_synced=False)
        self.admin = self._build_admin(config)
        self.endpoint_feed = EndpointFeed(self.exchange, config, clock, counters, environment.wall_clock)
        self.coordinator_watch = CoordinatorWatch(
            self.endpoint_feed, config.coordinator, deadlines, self.log.info, environment.new_random()
        )
        self.coordinator_watch.max_line_bytes = self.exchange.memory.plan.feed_line_bytes
        self._build_optional_parts(config, dns, options)

    def _build_admin(self, config: PlatformConfig) -> AdminFront | None:
        if config.admin is None:
            return None
        from .ops.routes import build_admin_front

        return build_admin_front(self)

    def _build_optional_parts(
        self, config: PlatformConfig, dns: DnsConfig | None, options: Options | None
    ) -> None:
        name, clock, deadlines, counters = config.name, self.clock, self.deadlines, self.counters
        purge_settle_ms = config.settings.purge_settle_ms
        self.dns = parts.build_dns(dns, self.exchange, counters, self._alpn_of)
        self.members, self.task_runner = parts.build_members(
            name, options, self.exchange, self.connection_pool, deadlines, counters
        )
        self.web = parts.build_web(
            options, config, clock, deadlines, counters, self._log_module_line, self.exchange
        )
        if self.web is not None:
            self.web.set_readiness(self.readiness)
        self.persistence = parts.build_store(
            options, purge_settle_ms, clock, counters, self._log_store_event, deadlines
        )
        self.leases = parts.build_leases(
            name, options, self.persistence, clock, self.endpoint_feed.instants, deadlines, counters
        )
        self.control = parts.build_control(options, counters, self.task_runner, self.persistence, self.leases)

    # Start and run.

    async def start(self) -> None:
        """Restores stored state, starts watching the coordinator's feed, and opens all listeners."""
        self.endpoint_feed.load_initial(self.config.initial_event_index, self.config.initial_events)
        if self.persistence is not None:
            self.persistence.restore(self.endpoint_feed, self.config)
            self.persistence.start(self.endpoint_feed, self.config)
        self.exchange.buffer_requests()
        self.endpoint_feed.sync = FeedSync(self.clock(), self.sync_limits)
        self.coordinator_watch.on_progress = self._check_sync
        self._check_sync()
        self.coordinator_watch.connect()
        self.connection_pool.sweep()
        if self._process_sharing is not None:
            self._process_sharing.check()
        await retry_listening(self._listen, self.clock, self.counters)
        await self._start_optional_parts()
        await retry_listening(self._listen_for_operators, self.clock, self.counters)
        self.readiness.is_started = True

    def _apply_process_share(self, event: api.ProcessShareChanged) -> None:
        """Applies this process's part of the director's places for clients and of the module's budgets."""
        if event.process_count != self.front.process_count:
            self.log.info("processes_changed", processes=event.process_count, share=round(event.share, 2))
        self.front.process_count = event.process_count
        self.exchange.handle_event(event)

    async def _listen(self) -> None:
        self.front.listen(self.config.listen, self.config.inherited_fd)
        if self.config.inherited_fd is None or self.readiness.is_synced:
            self.front.start_accepting()  # a request to an inherited listener can go to another process

    async def _listen_for_operators(self) -> None:
        if self.admin is not None and self.config.admin is not None:
            await self.admin.listen(self.config.admin)

    async def _start_optional_parts(self) -> None:
        if self.dns is not None:
            self.dns.processor.own_port = self.front.address[1]
            await self.dns.listen()
        if self.members is not None and self.task_runner is not None:
            await self.members.listen()
            self.task_runner.sweep()
        if self.leases is not None:
            leases, address = self.leases
            await leases.listen(address)
        if self.web is not None:
            self.web.start()
        if self.control is not None:
            await self.control.listen()

    async def run(self) -> None:
        """Serves until SIGTERM, then gives every accepted request its final answer and returns."""
        signals.block()  # signals stay pending until all parts have started
        handlers = {signal.SIGHUP: self.reload, signal.SIGTERM: self.stop, signal.SIGINT: self.stop}
        for number, handler in {**handlers, signal.SIGUSR1: self.report}.items():
            self.loop.add_signal_handler(number, handler)
        await self.start()
        signals.unblock()
        self.log.info("serving", servers=len(self.connection_pool.servers), **self._listen_addresses())
        await self._ended
        signals.block()  # the loop removes its handlers before the process exits; a signal would kill it then
        if self._process_sharing is not None:
            self._process_sharing.leave()
        if self.persistence is not None:
            await self.persistence.close()
        self.report()

    def _listen_addresses(self) -> dict[str, object]:
        addresses: dict[str, object] = {
            "listen": self.front.address,
            "dns": self.dns.address if self.dns is not None else None,
        }
        if self.dns is not None and self.dns.tls_address is not None:
            addresses["dns_tls"] = self.dns.tls_address
        if self.web is not None:
            addresses["web"] = [front.address for front in self.web.fronts]
        if self.admin is not None:
            addresses["admin"] = self.admin.address
        return addresses

    def _check_sync(self) -> None:
        """Serves once the coordinator's events of the start are applied or the wait for them is given up."""
        sync, now = self.endpoint_feed.sync, self.clock()
        self.deadlines.drop(self._sync_timer)
        if sync is None:
            return
        if not sync.is_complete(now) and not sync.has_given_up(now):
            self._sync_timer = self.deadlines.add(sync.next_check_ms(), self._check_sync)
            return
        self.endpoint_feed.sync = self.coordinator_watch.on_progress = None
        self._serve_clients(sync, now)

    def _serve_clients(self, sync: FeedSync, now: float) -> None:
        self.readiness.is_synced = True
        self.front.start_accepting()
        self.exchange.release_buffered_requests()
        is_complete = sync.is_complete(now)
        self.counters.add("coordinator.heard_at_start" if is_complete else "coordinator.late_at_start")
        if sync.event_count or not is_complete:
            wait_ms = round(now - sync.started_ms, 1)
            self.log.info("feed_synced", complete=is_complete, wait_ms=wait_ms, events=sync.event_count)

    # Reload.

    def reload(self) -> None:
        """Handles SIGHUP: reloads the configuration; keeps the previous one if the new one cannot be used."""
        try:
            reloaded = parts.read_reloaded(
                os.environ,
                self.config,
                self.options,
                self.connection_pool.connection_factory,
                self.web,
                has_dns=self.dns is not None,
                has_members=self.members is not None,
            )
        except ConfigError as error:
            return self._keep_configuration(error)
        self.counters.add("reloads.done")
        self.options = reloaded.options
        self.apply(reloaded.config)
        if reloaded.options is not None:
            self._apply_options(reloaded)

    def _keep_configuration(self, error: ConfigError) -> None:
        self.counters.add("reloads.refused")
        self.log.error("configuration kept", why=str(error))

    def _apply_options(self, reloaded: parts.Reloaded) -> None:
        self.connection_pool.set_connection_factory(reloaded.upstream_factory)
        if self.web is not None and reloaded.site is not None:
            for address in self.web.addresses_that_need_a_restart(reloaded.site):
                self.log.warning("listen_address_needs_restart", listen=address)
            self.web.switch(reloaded.site)
        if self.dns is not None and reloaded.dns is not None:
            self.dns.reload(reloaded.dns)
        if self.members is not None and reloaded.member_keys:
            self.members.authenticator.replace_keys(reloaded.member_keys)

    def apply(self, config: PlatformConfig) -> None:
        """Applies a configuration; open requests keep the settings that they were accepted with."""
        if config.listen != self.config.listen:
            self.log.warning("listen_address_needs_restart", listen=config.listen)
        self.config = config
        self.exchange.dispatcher.configure(config.settings)
        self.connection_pool.configure(config)
        self.exchange.memory.configure(config.memory_plan())
        self._memory_watch.limit_mb = config.memory_limit_mb
        self.coordinator_watch.max_line_bytes = self.exchange.memory.plan.feed_line_bytes
        self._configure_front(config)
        self.endpoint_feed.roles = config.roles
        if self.persistence is not None:
            self.persistence.configure(config)
        if self.dns is not None:
            self.dns.set_classes(frozenset(self.exchange.dispatcher.state.classes))
        self.coordinator_watch.set_address(config.coordinator)
        last = self.endpoint_feed.last_index
        self.log.info("configuration taken", coordinator=config.coordinator, last=last)

    def _configure_front(self, config: PlatformConfig) -> None:
        self.front.connection_limit = config.settings.client_connection_limit
        self.front.sends_hold_off = config.sends_hold_off
        self.front.request_timeout_ms = max(FIRST_BYTE_TIMEOUT_MS, self._longest_deadline_ms())

    def _longest_deadline_ms(self) -> float:
        return max(cls.deadline_ms for cls in self.exchange.dispatcher.state.classes.values())

    def _alpn_of(self, name: str) -> tuple[bool, tuple[str, ...]]:
        """Returns whether connections to the named server use TLS, and its protocols as ALPN ids."""
        factory, server = self.connection_pool.connection_factory, self.connection_pool.servers.get(name)
        if factory is None or server is None:
            return False, ("http/1.1",)
        offer = factory.offer(server, self.clock())
        if offer.is_tls:
            return True, ("h2", "http/1.1") if offer.is_multiplexed else ("http/1.1",)
        return False, ("h2c",) if offer.is_multiplexed else ("http/1.1",)

    # Graceful shutdown.

    def stop(self) -> None:
        """Handles SIGTERM: drains, and accepts requests for another `SHUTDOWN_ACCEPT_MS`.

        Every accepted request of every front gets its final answer by `shutdown_deadline_ms`.
        """
        if self._is_stopping:
            return
        self._is_stopping = True
        self.log.info("stopping", owed=self._unanswered_count())
        self.readiness.is_stopping = True
        self.readiness.start_drain(self.clock())
        if self.leases is not None:  # released at once, so that another director can take over the tasks
            self.leases[0].stop()
        if self.config.inherited_fd is not None:  # other processes with the listener accept new connections
            self.front.stop_accepting()
        deadline_ms = shutdown_deadline_ms(self.clock(), self._longest_deadline_ms())
        self._clients_deadline_ms = deadline_ms
        self.exchange.answer_all_by(deadline_ms)
        if self.web is not None:
            self.web.answer_all_by(deadline_ms)
        self.deadlines.add(self.clock() + SHUTDOWN_ACCEPT_MS, self._stop_accepting)

    def _stop_accepting(self) -> None:
        self.front.close()
        if self.web is not None:
            self.web.close()
        self._end_when_answered()

    def _end_when_answered(self) -> None:
        """Ends the director once no request is open, and retries after `EXIT_DELAY_MS` until then.

        The retries end because every open request has a deadline, or streams a response that makes progress;
        clients' connections are waited for until the shutdown deadline at most.
        """
        now = self.clock()
        has_open = self._unanswered_count() or self.exchange.resolutions.open
        if has_open and now > self._clients_deadline_ms:
            self._clients_deadline_ms = now + STREAM_END_MS
        are_fronts_done = self.front.is_done() and (self.web is None or self.web.is_done())
        if has_open or (not are_fronts_done and now < self._clients_deadline_ms):
            self.deadlines.add(now + EXIT_DELAY_MS, self._end_when_answered)
            return
        self._close_parts()
        self.deadlines.add(self.clock() + EXIT_DELAY_MS, lambda: self._ended.set_result(None))

    def _unanswered_count(self) -> int:
        """The number of requests, of every front, that have no final answer yet."""
        web_count = self.web.unanswered_count if self.web is not None else 0
        return self.exchange.unanswered_count + web_count

    def _close_parts(self) -> None:
        self.coordinator_watch.close()
        if self.members is not None:
            self.members.leave()
        for part in (self.control, self.admin, self.dns):
            if part is not None:
                part.close()

    # Log.

    def report(self) -> None:
        """Logs the counters and the current gauges; called on SIGUSR1 and at exit."""
        gauges = {
            "now.owed": self.exchange.unanswered_count,
            "now.passing": sum(
                any(attempt.response is not None for attempt in opened.attempts.values())
                for opened in self.exchange.open_requests.values()
            ),
            "now.waiting": len(self.exchange.dispatcher.state.queue),
            "now.clients": len(self.front.connections),
            "now.upstream": len(self.connection_pool.open_connections),
            "late_ms": round(self.deadlines.max_call_delay_ms, 1),
        }
        self.log.info("counters", **gauges, **self.exchange.memory.report(), **self.counters.report())

    def watch_memory(self) -> None:
        """Starts to log when the memory of the process, which is this director's alone, nears its limit."""
        self._memory_watch.start(self.clock, self.deadlines)

    def _describe_memory(self) -> dict[str, object]:
        return {
            "clients": len(self.front.connections),
            "upstream": len(self.connection_pool.open_connections),
            "requests": len(self.exchange.open_requests),
            "largest_inputs": self.front.input_limit.largest_inputs(),
            **self.exchange.memory.report(),
        }

    def _log_store_event(self, event: str, why: str) -> None:
        self.log.warning(event, why=why)

    def _log_module_line(self, line: str) -> None:
        self.log.info("module", line=line)
