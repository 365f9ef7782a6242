"""The coordinator's feed in the store: what of it outlasts a restart, and what of that a start restores.

Stored are the purges, the servers of the endpoint list and, with `resume`, the position. Numbers of events
are compared within their epoch only (`epochs.py`).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Iterable
from typing import Any

from ..config.platform import PlatformConfig
from ..core.counters import Counters
from ..net.endpoint_feed import EndpointFeed
from . import row_codecs
from .epochs import (
    UNKNOWN_EPOCH,
    Epoch,
    KnownEvents,
    begins_epoch,
    decode_epoch,
    describe_events,
    encode_epoch,
)
from .row_codecs import FEED_SPACE, PURGE_SPACE, SERVER_SPACE, FeedPosition, Row, ServerRow
from .segmented_log import SegmentedLog
from .writer import StoreWriter

UNSTORABLE = (OverflowError, UnicodeEncodeError)  # raised for JSON that msgpack cannot hold


class StoredFeed:
    """Records the feed of one director (`net.endpoint_feed.FeedRecorder`) and restores it at a start.

    `settle_ms` is how long a purge takes to settle, `clock` returns Unix milliseconds, and `resumes_feed`
    says that the coordinator's numbers outlast a restart: only events after the stored ones are requested.
    """

    def __init__(
        self,
        log: SegmentedLog,
        writer: StoreWriter,
        clock: Callable[[], float],
        counters: Counters,
        settle_ms: float,
        *,
        resumes_feed: bool,
    ) -> None:
        self._log, self._writer, self._clock, self._counters = log, writer, clock, counters
        self._settle_ms = settle_ms  # of the settings in force; a reload may change it
        self._resumes_feed = resumes_feed
        self.position = FeedPosition(0)
        self._epoch = UNKNOWN_EPOCH  # of the coordinator's event numbers
        self._known: KnownEvents | None = None  # of the configuration in force
        self._configured_uids = set[str]()  # servers of the configurations that this run had
        # Whether a row of the feed could not be stored: from then on the stored position doesn't advance.
        self._has_rejected_row = False

    # Start and reload.

    def restore(self, feed: EndpointFeed, config: PlatformConfig) -> None:
        """Applies the stored purges and servers to a feed that has applied the events of `config`."""
        purges = row_codecs.decode_purges(self._log.items(PURGE_SPACE), self._clock())
        for purge in purges:
            feed.exchange.purge(purge)
        self._counters.add("store.purges_restored", len(purges))
        self._counters.add("store.servers_restored", self._restore_servers(feed, config))

    def _restore_servers(self, feed: EndpointFeed, config: PlatformConfig) -> int:
        """Applies the stored servers of the epoch in force as one event of the feed; returns how many."""
        stored = self._stored_servers().values()
        self._epoch = self._find_epoch(stored, config)
        if self._resumes_feed:
            self.position = row_codecs.decode_position(self._log.items(FEED_SPACE), self._epoch)
        full_list_index = self.position.full_list_index
        if full_list_index <= feed.last_index:
            full_list_index = 0  # the endpoint list of the configuration is newer
        servers = row_codecs.newer_servers(stored, self._epoch, feed.last_index, full_list_index)
        endpoints: dict[int, list[Any]] = {}
        for server in servers:
            endpoints.setdefault(server.event_index, []).append(server.endpoint)
        feed.restore(endpoints, self.position.event_index, is_complete=bool(full_list_index))
        outdated_count = sum(server.epoch != self._epoch for server in stored)
        self._counters.add("store.servers_outdated", outdated_count)
        return len(servers)

    def _find_epoch(self, stored: Collection[ServerRow], config: PlatformConfig) -> int:
        """Returns the epoch of the event numbers of a start, which may be that of the last run."""
        last = decode_epoch(self._log.items(FEED_SPACE))
        last_number = last.number if last is not None else UNKNOWN_EPOCH
        last_servers = [server for server in stored if server.epoch == last_number]
        known, events = _describe_events(config), config.initial_events
        if begins_epoch(last, last_servers, known, events, resumes_feed=self._resumes_feed):
            return max(last_number, *(server.epoch for server in stored), UNKNOWN_EPOCH) + 1
        return last_number

    def start(self, feed: EndpointFeed, config: PlatformConfig) -> None:
        """Records a feed from now on, and what a start has to record of its configuration."""
        self._set_configuration(config)
        self._delete_outdated_servers()
        self._record_epoch()
        self._record_purges(feed.initial_purges())
        feed.recorder = self

    def configure(self, config: PlatformConfig) -> None:
        """Applies a reloaded configuration, whose numbers are those of the one before."""
        self._settle_ms = config.settings.purge_settle_ms
        self._set_configuration(config)
        self._record_epoch()

    def _set_configuration(self, config: PlatformConfig) -> None:
        self._known = _describe_events(config)
        self._configured_uids |= row_codecs.uids_in(config.initial_events)

    def _record_epoch(self) -> None:
        """Stores the epoch with the configuration in force, from which the next start sees if it lasts."""
        assert self._known is not None
        row = encode_epoch(Epoch(self._epoch, self._known))
        if self._log.get(row.space, row.key) != row.value:
            self._writer.write(row)

    def _record_purges(self, purges: Iterable[dict[str, Any]]) -> None:
        """Stores purges of the configuration, which the next one need not have, until they have settled."""
        now_ms = self._clock()
        for evict in purges:
            row = row_codecs.encode_purge(evict, self._settle_ms, now_ms)
            if row.expires_at_ms > now_ms:
                self._write(row)

    def _delete_outdated_servers(self) -> None:
        """Deletes the servers of other epochs, and those that are gone and that no configuration lists."""
        for uid, server in self._stored_servers().items():
            is_listed = server.endpoint.get("state") in row_codecs.LISTED_STATES
            if server.epoch != self._epoch or not (is_listed or uid in self._configured_uids):
                self._writer.delete(SERVER_SPACE, uid)

    # Called by the feed.

    def record_event(self, event_index: int, event: dict[str, Any]) -> None:
        """Stores an event of the feed, without the parts that could not be used."""
        try:
            rows = self._encode(event_index, event)
        except UNSTORABLE:
            self._counters.add("store.unstorable")
            self._has_rejected_row = True
            return
        if self._resumes_feed and row_codecs.has_full_list(event):
            rows += row_codecs.delete_unlisted(event, self._log.items(SERVER_SPACE))
        acknowledgements = [self._write(row) for row in rows]
        if not self._resumes_feed:
            return
        # The position stays as it is from now on, so that a rejected row is requested again after a restart.
        if any(future.done() and not future.result() for future in acknowledgements):
            self._has_rejected_row = True
        if self._has_rejected_row:
            self._counters.add("store.position_held")
            return
        self.position = row_codecs.next_position(event_index, event, self.position)
        self._writer.write(row_codecs.encode_position(self.position))

    def _encode(self, event_index: int, event: dict[str, Any]) -> list[Row]:
        return row_codecs.encode_event(
            event_index,
            event,
            self._settle_ms,
            self._clock(),
            self._resumes_feed,
            self._epoch,
            self._configured_uids,
        )

    def forget_servers(self, uids: Iterable[str]) -> None:
        """Deletes stored servers that the coordinator has not told again."""
        for uid in uids:
            self._writer.delete(SERVER_SPACE, uid)

    def begin_epoch(self) -> None:
        """Forgets all stored servers and numbers: the coordinator has begun to count anew."""
        self._epoch += 1
        self.position, self._has_rejected_row = FeedPosition(0, epoch=self._epoch), False
        self._delete_outdated_servers()
        self._record_epoch()

    def _stored_servers(self) -> dict[str, ServerRow]:
        return row_codecs.decode_servers(self._log.items(SERVER_SPACE))

    def _write(self, row: Row) -> asyncio.Future[bool]:
        if row.space == PURGE_SPACE:
            row = row_codecs.merge_purge(row, self._log.get(row.space, row.key))
        return self._writer.write(row)


def _describe_events(config: PlatformConfig) -> KnownEvents:
    return describe_events(config.seed, config.initial_event_index, config.initial_events)
