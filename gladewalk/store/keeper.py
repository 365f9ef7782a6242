"""A director's store: opened at its start, told of what is to outlive it, asked once at the next start."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

from .. import interface as api
from ..config.options import Options
from ..config.platform import ConfigError
from ..core.counters import Counters
from ..core.deadlines import Deadlines
from ..core.exchange import Exchange
from ..net.endpoint_feed import EndpointFeed
from . import leases, warm
from .files import Folder
from .frames import PAYLOAD_MOST, Fault
from .keeping import (
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
from .log import Log, Terms
from .writer import Writer


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
            self.folder = Folder(path)
            self.log = Log(self.folder, clock, Terms(table.segment_bytes, table.limit_bytes))
        except (Fault, OSError) as error:
            raise ConfigError(f"{options.path}: store.folder: {error}") from error
        for name, offset, size in self.log.recovered.dropped:
            say("store dropped a cut write", f"{name}: at byte {offset}: {size} bytes, never acknowledged")
        self.writer = Writer(self.log, table.policy, table.group_ms, counters, say)

    def restore(self, feed: EndpointFeed) -> None:
        """What the last run knew: into the module before anything is served."""
        now = self.clock()
        purges = purges_of(self.log.items(PURGES), now)
        for purge in purges:
            feed.exchange.purge(purge)
        if self.resume:
            self.position = position_of(self.log.items(FEED))
        whole = self.position.whole if self.position.whole > feed.last_index else 0
        entries = servers_of(self.log.items(SERVERS), feed.last_index, whole)
        if entries:
            feed.apply_event({"endpoints": {"all": bool(whole), "targets": entries}})
        feed.resume_from(self.position.index)
        core = feed.exchange.core
        leases_back = leases.restore(core, self.log.items(leases.SPACE), now)
        objects, sources = warm.restore(core, self.log.items(warm.SPACE), now)
        for what, count in (
            ("purges", len(purges)), ("servers", len(entries)), ("leases", leases_back), ("objects", objects),
            ("sources", sources),
        ):  # fmt: skip
            self.counters.add(f"store.{what}_restored", count)

    def start(self, feed: EndpointFeed) -> None:
        self.writer.start()
        feed.on_event, self.exchange = self.note, feed.exchange
        feed.exchange.resolutions.persist = self.lease
        if self.warm_ms:
            self._keep_warm()

    def lease(self, question: api.ResolveRequest, servers: Sequence[str], then: Callable[[], None]) -> None:
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
        if len(value) <= PAYLOAD_MOST // 2:
            self.writer.put(warm.SPACE, key, value, now + warm.FRESH_MS)
        self.deadlines.add(now + self.warm_ms / (warm.PARTS + 1), self._keep_warm)

    def view(self, given: dict[str, Any]) -> dict[str, Any]:
        """For the control socket: what is durable and how much there is of it."""
        log = self.log
        purges = [
            key
            for (space, key), held in log.state.held.items()
            if space == PURGES and not held.deleted and held.sequence <= log.durable
        ]
        return {
            "policy": self.writer.policy, "feed": self.position.index,
            "durable": log.durable, "sequence": log.state.sequence, "keys": len(log.state.held),
            "bytes": log.size, "segments": len(log.sizes), "compactions": log.compactions,
            "refused_by_disk": self.writer.failing, "purges": sorted(purges),
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
