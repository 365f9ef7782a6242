"""A director's store: opened at its start, told of what is to outlive it, asked once at the next start."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

from .. import interface as api
from ..config import ConfigError
from ..counters import Counters
from ..deadlines import Deadlines
from ..exchange import Exchange
from ..net.coordinator import Feed
from ..options import Options
from . import dns_lease_rows as leases
from . import warm_start as warm
from .errors import StoreFileError
from .file_system import StoreDirectory
from .record_format import MAX_PAYLOAD_BYTES
from .row_codecs import (
    FEED,
    PURGES,
    SERVERS,
    Position,
    Row,
    is_whole,
    position_of,
    position_row,
    purges_of,
    rows_of,
    servers_of,
    unlisted,
)
from .segmented_log import LogConfig, SegmentedLog
from .writer import StoreWriter


class Keeper:
    """`ConfigError` at its making where the store is damaged or held by another process."""

    def __init__(
        self, options: Options, settle_ms: float, clock: Callable[[], float], counters: Counters,
        say: Callable[[str, str], None], deadlines: Deadlines,
    ) -> None:  # fmt: skip
        table = options.store
        assert table is not None
        self.deadlines, self.warm_ms, self.part = deadlines, table.warm_ms, -1
        self.exchange: Exchange | None = None
        self.resume, self.position, self.holes = table.resume, Position(0), False
        self.settle_ms, self.clock, self.counters, self.say = settle_ms, clock, counters, say
        path = options.file(table.folder)
        try:
            self.folder = StoreDirectory(path)
            self.log = SegmentedLog(self.folder, clock, LogConfig(table.segment_bytes, table.limit_bytes))
        except (StoreFileError, OSError) as error:
            raise ConfigError(f"{options.path}: store.folder: {error}") from error
        for tail in self.log.recovered.dropped:
            why = f"{tail.file}: at byte {tail.offset}: {tail.size_bytes} bytes, never acknowledged"
            say("store dropped a cut write", why)
        self.writer = StoreWriter(self.log, table.policy, table.group_ms, counters, say)

    def restore(self, feed: Feed) -> None:
        """What the last run knew: into the module before anything is served."""
        now = self.clock()
        purges = purges_of(self.log.items(PURGES), now)
        for purge in purges:
            feed.exchange.purged(purge)
        if self.resume:
            self.position = position_of(self.log.items(FEED))
        whole = self.position.whole if self.position.whole > feed.last else 0
        entries = servers_of(self.log.items(SERVERS), feed.last, whole)
        if entries:
            feed.event({"endpoints": {"all": bool(whole), "targets": entries}})
        feed.resume(self.position.index)
        core = feed.exchange.core
        leases_back = leases.restore(core, self.log.items(leases.SPACE), now)
        objects, sources = warm.restore(core, self.log.items(warm.SPACE), now)
        for what, count in (
            ("purges", len(purges)), ("servers", len(entries)), ("leases", leases_back), ("objects", objects),
            ("sources", sources),
        ):  # fmt: skip
            self.counters.add(f"store.{what}_restored", count)

    def start(self, feed: Feed) -> None:
        self.writer.start()
        feed.noted, self.exchange = self.note, feed.exchange
        feed.exchange.lasting = self.lease
        if self.warm_ms:
            self._keep_warm()

    def lease(self, question: api.Locate, servers: Sequence[str], then: Callable[[], None]) -> None:
        """Go on with an answer once its leases last, or cannot."""
        assert self.exchange is not None
        told = []
        for server in servers:
            held = leases.lease_of(self.exchange.core, question, server)
            if held is not None:
                row = leases.key_of(held), leases.pack(held), held.until_ms
                told.append(self.writer.put(leases.SPACE, *row))
        if not told:
            return then()
        asyncio.gather(*told).add_done_callback(lambda _: then())

    def _keep_warm(self) -> None:
        """One part of what the module has learned, and now and then its sources; the next comes later."""
        assert self.exchange is not None
        core, now = self.exchange.core, self.clock()
        self.part = (self.part + 1) % (warm.PARTS + 1)
        if self.part == warm.PARTS:
            key, value = warm.SOURCES, warm.sources_row(core, now)
        else:
            key, value = f"{warm.OBJECTS}-{self.part}", warm.objects_row(core, self.part, now)
        if len(value) <= MAX_PAYLOAD_BYTES // 2:
            self.writer.put(warm.SPACE, key, value, now + warm.FRESH_MS)
        self.deadlines.add(now + self.warm_ms / (warm.PARTS + 1), self._keep_warm)

    def view(self, given: dict[str, Any]) -> dict[str, Any]:
        """For the control socket: what is durable and how much there is of it."""
        log = self.log
        purges = [
            key
            for (space, key), held in log.index.entries.items()
            if space == PURGES and not held.is_deleted and held.sequence <= log.durable_sequence
        ]
        return {
            "policy": self.writer.policy, "feed": self.position.index,
            "durable": log.durable_sequence, "sequence": log.index.last_sequence,
            "keys": len(log.index.entries),
            "bytes": log.total_bytes, "segments": len(log.segments), "compactions": log.compaction_count,
            "refused_by_disk": self.writer.is_failing, "purges": sorted(purges),
        }  # fmt: skip

    def note(self, index: int, event: dict[str, Any]) -> None:
        """An event of the feed that was found to be good."""
        rows = rows_of(index, event, self.settle_ms, self.clock(), self.resume)
        if self.resume and is_whole(event):
            rows += unlisted(event, self.log.items(SERVERS))
        kept = [self._put(row) for row in rows]
        if not self.resume:
            return
        # A refused row must be told again after a restart: from here on the position stands still.
        self.holes = self.holes or any(told.done() and not told.result() for told in kept)
        if self.holes:
            return self.counters.add("store.position_held")
        row, self.position = position_row(index, event, self.position)
        self._put(row)

    def _put(self, row: Row) -> asyncio.Future[bool]:
        if row.value is None:
            return self.writer.delete(row.space, row.key)
        return self.writer.put(row.space, row.key, row.value, row.until_ms)

    async def close(self) -> None:
        await self.writer.close()
        self.folder.close()
