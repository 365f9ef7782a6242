"""Persistence service of a director: stores state across a restart, and restores it at the next start.

The service stores purges and endpoints from the coordinator's feed, leases from the DNS front and, one
partition at a time, a snapshot of the policy module's estimates.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from .. import interface as api
from ..config.options import Options
from ..config.platform import ConfigError, PlatformConfig
from ..core.counters import Counters
from ..core.deadlines import Deadlines
from ..core.exchange import Exchange
from ..net.endpoint_feed import EndpointFeed
from ..policy import Dispatcher
from . import warm_start
from .dns_lease_rows import LEASE_SPACE, encode_lease, find_lease, restore_leases
from .errors import StoreFileError
from .file_system import StoreDirectory
from .record_format import MAX_PAYLOAD_BYTES
from .recovery import DroppedTail
from .row_codecs import PURGE_SPACE, Row
from .segmented_log import LogConfig, SegmentedLog
from .status import StoreStatus
from .stored_feed import StoredFeed
from .writer import LogEvent, StoreWriter

TORN_WRITE_EVENT = "store dropped a cut write"
MAX_SNAPSHOT_ROW_BYTES = MAX_PAYLOAD_BYTES // 2  # a larger partition is not stored


class PersistenceService:
    """One director's store.

    Raises `ConfigError`, which names the setting, if the store is damaged or another process has it open.
    `settle_ms` is how long a purge takes to settle, `clock` returns Unix milliseconds, and `log_event` takes
    an event's name and its reason.
    """

    def __init__(
        self, options: Options, settle_ms: float, clock: Callable[[], float], counters: Counters,
        log_event: LogEvent, deadlines: Deadlines,
    ) -> None:  # fmt: skip
        table = options.store
        assert table is not None
        self._clock, self._counters, self._deadlines = clock, counters, deadlines
        self._exchange: Exchange | None = None
        self._snapshot_interval_ms, self._partition = table.snapshot_interval_ms, -1
        path = options.resolve_path(table.folder)
        try:
            self.directory = StoreDirectory(path)
            config = LogConfig(table.segment_bytes, table.max_bytes)
            self.log = SegmentedLog(self.directory, clock, config)
        except (StoreFileError, OSError) as error:
            raise ConfigError(f"{options.path}: store.folder: {error}") from error
        for tail in self.log.recovered.dropped:
            log_event(TORN_WRITE_EVENT, _describe_dropped_tail(tail))
        self.writer = StoreWriter(self.log, table.policy, table.group_commit_ms, counters, log_event)
        self.feed = StoredFeed(
            self.log, self.writer, clock, counters, settle_ms, resumes_feed=table.resumes_feed
        )

    def restore(self, feed: EndpointFeed, config: PlatformConfig) -> None:
        """Restores the last run's state into the feed and the policy module, before any request is served.

        `config` is the configuration of this start, whose events the feed has applied.
        """
        self.feed.restore(feed, config)
        now_ms = self._clock()
        core = feed.exchange.dispatcher
        lease_count = restore_leases(core, self.log.items(LEASE_SPACE), now_ms)
        restored = warm_start.restore_snapshot(core, self.log.items(warm_start.SNAPSHOT_SPACE), now_ms)
        self._counters.add("store.leases_restored", lease_count)
        self._counters.add("store.objects_restored", restored.objects)
        self._counters.add("store.sources_restored", restored.servers)

    def start(self, feed: EndpointFeed, config: PlatformConfig) -> None:
        """Starts the writer, and from now on stores events of the feed and leases of the DNS front."""
        self.writer.start()
        self.feed.start(feed, config)
        self._exchange = feed.exchange
        feed.exchange.resolutions.persist = self.record_leases
        if self._snapshot_interval_ms:
            self._record_partition(feed.exchange.dispatcher)

    def configure(self, config: PlatformConfig) -> None:
        """Applies a reloaded configuration."""
        self.feed.configure(config)

    async def close(self) -> None:
        """Writes the pending changes and closes the directory."""
        await self.writer.close()
        self.directory.close()

    def record_leases(
        self, question: api.ResolveRequest, servers: Sequence[str], on_done: Callable[[], None]
    ) -> None:
        """Stores the leases of an answer, and calls `on_done` once they are durable or were rejected."""
        assert self._exchange is not None
        acknowledgements = []
        for server in servers:
            lease = find_lease(self._exchange.dispatcher, question, server)
            if lease is not None:
                row = Row(LEASE_SPACE, lease.row_key, encode_lease(lease), lease.expires_at_ms)
                acknowledgements.append(self.writer.write(row))
        if not acknowledgements:
            return on_done()
        asyncio.gather(*acknowledgements).add_done_callback(lambda _: on_done())

    def _record_partition(self, core: Dispatcher) -> None:
        """Stores the next partition, or after the last one the servers; schedules the one after it."""
        now_ms = self._clock()
        self._partition = (self._partition + 1) % (warm_start.PARTITION_COUNT + 1)
        if self._partition == warm_start.PARTITION_COUNT:
            key, value = warm_start.SERVERS_KEY, warm_start.encode_servers(core, now_ms)
        else:
            key = f"{warm_start.OBJECTS_KEY}-{self._partition}"
            value = warm_start.encode_objects(core, self._partition, now_ms)
        if len(value) <= MAX_SNAPSHOT_ROW_BYTES:
            expires_at_ms = now_ms + warm_start.MAX_SNAPSHOT_AGE_MS
            self.writer.write(Row(warm_start.SNAPSHOT_SPACE, key, value, expires_at_ms))
        next_at_ms = now_ms + self._snapshot_interval_ms / (warm_start.PARTITION_COUNT + 1)
        self._deadlines.add(next_at_ms, lambda: self._record_partition(core))

    def status(self) -> StoreStatus:
        """Returns the state of the store, for the control socket."""
        log = self.log
        durable_purges = [
            key
            for (space, key), entry in log.index.entries.items()
            if space == PURGE_SPACE and not entry.is_deleted and entry.sequence <= log.durable_sequence
        ]
        return StoreStatus(
            policy=self.writer.policy,
            feed_index=self.feed.position.event_index,
            durable_sequence=log.durable_sequence,
            last_sequence=log.index.last_sequence,
            key_count=len(log.index.entries),
            size_bytes=log.total_bytes,
            segment_count=len(log.segments),
            compaction_count=log.compaction_count,
            is_disk_failing=self.writer.is_failing,
            purges=sorted(durable_purges),
        )


def _describe_dropped_tail(tail: DroppedTail) -> str:
    return f"{tail.file}: at byte {tail.offset}: {tail.size_bytes} bytes, never acknowledged"
