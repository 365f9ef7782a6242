"""Persistence service of a director: stores state across a restart, and restores it at the next start.

The service stores purges and endpoints from the coordinator's feed, leases from the DNS front and, one
partition at a time, a snapshot of the policy module's estimates.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Iterable, Sequence
from typing import Any

from .. import interface as api
from ..config.options import Options
from ..config.platform import ConfigError, PlatformConfig
from ..core.counters import Counters
from ..core.deadlines import Deadlines
from ..core.exchange import Exchange
from ..net.endpoint_feed import EndpointFeed
from ..policy import Dispatcher
from . import row_codecs, warm_start
from .dns_lease_rows import LEASE_SPACE, encode_lease, find_lease, restore_leases
from .epochs import (
    UNKNOWN_EPOCH,
    Epoch,
    KnownEvents,
    begins_epoch,
    decode_epoch,
    describe_events,
    encode_epoch,
)
from .errors import StoreFileError
from .file_system import StoreDirectory
from .record_format import MAX_PAYLOAD_BYTES
from .recovery import DroppedTail
from .row_codecs import FEED_SPACE, PURGE_SPACE, SERVER_SPACE, FeedPosition, Row, ServerRow
from .segmented_log import LogConfig, SegmentedLog
from .status import StoreStatus
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
        self.settle_ms = settle_ms  # of the settings in force; a reload may change it
        self._clock, self._counters, self._deadlines = clock, counters, deadlines
        self._exchange: Exchange | None = None
        self._snapshot_interval_ms, self._partition = table.snapshot_interval_ms, -1
        self._resumes_feed, self._position = table.resumes_feed, FeedPosition(0)
        self._epoch = UNKNOWN_EPOCH  # of the coordinator's event numbers
        self._known: KnownEvents | None = None  # of the configuration in force
        self._configured_uids = set[str]()  # servers of the configurations that this run had
        # Whether the disk has rejected a row of the feed: from then on the stored position doesn't advance.
        self._has_rejected_row = False
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

    def restore(self, feed: EndpointFeed, config: PlatformConfig) -> None:
        """Restores the last run's state into the feed and the policy module, before any request is served.

        `config` is the configuration of this start, whose events the feed has applied.
        """
        now_ms = self._clock()
        purges = row_codecs.decode_purges(self.log.items(PURGE_SPACE), now_ms)
        for purge in purges:
            feed.exchange.purge(purge)
        server_count = self._restore_servers(feed, config)
        core = feed.exchange.dispatcher
        lease_count = restore_leases(core, self.log.items(LEASE_SPACE), now_ms)
        restored = warm_start.restore_snapshot(core, self.log.items(warm_start.SNAPSHOT_SPACE), now_ms)
        self._counters.add("store.purges_restored", len(purges))
        self._counters.add("store.servers_restored", server_count)
        self._counters.add("store.leases_restored", lease_count)
        self._counters.add("store.objects_restored", restored.objects)
        self._counters.add("store.sources_restored", restored.servers)

    def _restore_servers(self, feed: EndpointFeed, config: PlatformConfig) -> int:
        """Applies the stored servers of the epoch in force as one event of the feed; returns how many."""
        stored = self._stored_servers().values()
        self._epoch = self._find_epoch(stored, config)
        if self._resumes_feed:
            self._position = row_codecs.decode_position(self.log.items(FEED_SPACE), self._epoch)
        full_list_index = self._position.full_list_index
        if full_list_index <= feed.last_index:
            full_list_index = 0  # the endpoint list of the configuration is newer
        servers = row_codecs.newer_servers(stored, self._epoch, feed.last_index, full_list_index)
        endpoints: dict[int, list[Any]] = {}
        for server in servers:
            endpoints.setdefault(server.event_index, []).append(server.endpoint)
        feed.restore(endpoints, self._position.event_index, is_complete=bool(full_list_index))
        outdated_count = sum(server.epoch != self._epoch for server in stored)
        self._counters.add("store.servers_outdated", outdated_count)
        return len(servers)

    def _stored_servers(self) -> dict[str, ServerRow]:
        return row_codecs.decode_servers(self.log.items(SERVER_SPACE))

    def _find_epoch(self, stored: Collection[ServerRow], config: PlatformConfig) -> int:
        """Returns the epoch of the event numbers of a start, which may be that of the last run."""
        last = decode_epoch(self.log.items(FEED_SPACE))
        last_number = last.number if last is not None else UNKNOWN_EPOCH
        known, events = _describe_events(config), config.initial_events
        last_servers = [server for server in stored if server.epoch == last_number]
        if begins_epoch(last, last_servers, known, events, resumes_feed=self._resumes_feed):
            return max(last_number, *(server.epoch for server in stored), UNKNOWN_EPOCH) + 1
        return last_number

    def start(self, feed: EndpointFeed, config: PlatformConfig) -> None:
        """Starts the writer, and from now on stores events of the feed and leases of the DNS front."""
        self.writer.start()
        self._set_configuration(config)
        self._delete_outdated_servers()
        self._record_epoch()
        self._record_purges(feed.initial_purges)
        feed.recorder, self._exchange = self, feed.exchange
        feed.exchange.resolutions.persist = self.record_leases
        if self._snapshot_interval_ms:
            self._record_partition(feed.exchange.dispatcher)

    def configure(self, config: PlatformConfig) -> None:
        """Applies a reloaded configuration, whose numbers are those of the one before."""
        self.settle_ms = config.settings.purge_settle_ms
        self._set_configuration(config)
        self._record_epoch()

    def _set_configuration(self, config: PlatformConfig) -> None:
        self._known = _describe_events(config)
        self._configured_uids |= row_codecs.uids_in(config.initial_events)

    def begin_epoch(self) -> None:
        """Forgets all stored servers and numbers: the coordinator has begun to count anew."""
        self._epoch += 1
        self._position, self._has_rejected_row = FeedPosition(0, epoch=self._epoch), False
        self._delete_outdated_servers()
        self._record_epoch()

    def _record_epoch(self) -> None:
        """Stores the epoch with the configuration in force, from which the next start sees if it lasts."""
        assert self._known is not None
        row = encode_epoch(Epoch(self._epoch, self._known))
        if self.log.items(row.space).get(row.key) != row.value:
            self._write(row)

    def _record_purges(self, purges: Iterable[dict[str, Any]]) -> None:
        """Stores purges of the configuration, which the next one need not have, until they have settled."""
        now_ms = self._clock()
        for evict in purges:
            row = row_codecs.encode_purge(evict, self.settle_ms, now_ms)
            if row.expires_at_ms > now_ms:
                self._write(row)

    def _delete_outdated_servers(self) -> None:
        """Deletes the servers of other epochs, and those that are gone and that no configuration lists."""
        for uid, server in self._stored_servers().items():
            is_listed = server.endpoint.get("state") in row_codecs.LISTED_STATES
            if server.epoch != self._epoch or not (is_listed or uid in self._configured_uids):
                self._write(Row(SERVER_SPACE, uid, None))

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
                acknowledgements.append(self._write(row))
        if not acknowledgements:
            return on_done()
        asyncio.gather(*acknowledgements).add_done_callback(lambda _: on_done())

    def record_event(self, event_index: int, event: dict[str, Any]) -> None:
        """Stores a valid event of the feed."""
        rows = row_codecs.encode_event(
            event_index,
            event,
            self.settle_ms,
            self._clock(),
            self._resumes_feed,
            self._epoch,
            self._configured_uids,
        )
        if self._resumes_feed and row_codecs.has_full_list(event):
            rows += row_codecs.delete_unlisted(event, self.log.items(SERVER_SPACE))
        acknowledgements = [self._write(row) for row in rows]
        if not self._resumes_feed:
            return
        # The position stays as it is from now on, so that a rejected row is requested again after a restart.
        if any(future.done() and not future.result() for future in acknowledgements):
            self._has_rejected_row = True
        if self._has_rejected_row:
            self._counters.add("store.position_held")
            return
        self._position = row_codecs.next_position(event_index, event, self._position)
        self._write(row_codecs.encode_position(self._position))

    def forget_servers(self, uids: Iterable[str]) -> None:
        """Deletes stored servers that the coordinator has not told again."""
        for uid in uids:
            self._write(Row(SERVER_SPACE, uid, None))

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
            self._write(Row(warm_start.SNAPSHOT_SPACE, key, value, expires_at_ms))
        next_at_ms = now_ms + self._snapshot_interval_ms / (warm_start.PARTITION_COUNT + 1)
        self._deadlines.add(next_at_ms, lambda: self._record_partition(core))

    def _write(self, row: Row) -> asyncio.Future[bool]:
        if row.space == PURGE_SPACE:
            row = row_codecs.merge_purge(row, self.log.get(row.space, row.key))
        if row.value is None:
            return self.writer.delete(row.space, row.key)
        return self.writer.put(row.space, row.key, row.value, row.expires_at_ms)

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
            feed_index=self._position.event_index,
            durable_sequence=log.durable_sequence,
            last_sequence=log.index.last_sequence,
            key_count=len(log.index.entries),
            size_bytes=log.total_bytes,
            segment_count=len(log.segments),
            compaction_count=log.compaction_count,
            is_disk_failing=self.writer.is_failing,
            purges=sorted(durable_purges),
        )


def _describe_events(config: PlatformConfig) -> KnownEvents:
    return describe_events(config.seed, config.initial_event_index, config.initial_events)


def _describe_dropped_tail(tail: DroppedTail) -> str:
    return f"{tail.file}: at byte {tail.offset}: {tail.size_bytes} bytes, never acknowledged"
