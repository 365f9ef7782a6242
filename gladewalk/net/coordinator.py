"""The coordinator's feed: numbered events, followed from the last one that this director has."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable, Iterable
from typing import Any, cast

from .. import interface as api
from ..config.platform import Address, Config, ConfigError, finite, read_server
from ..config.policy_settings import SettingsError
from ..core.counters import Counters
from ..core.deadlines import Deadlines, Key
from ..core.exchange import Exchange

SILENCE_MS = 2_500.0  # a line comes each second: after this long without one the connection is taken for dead
CONNECT_MS = 1_000.0
BACKOFF_MS = 50.0  # first wait before a new connection, doubled up to the most; what it tells counts as told
BACKOFF_MOST_MS = 400.0  # 2 s after a break even if it did not arrive, so the waits stay short
LINE_MS = 5_000.0  # a line that has begun may keep a connection alive for as long since the last whole one
ASKED_MOST = 3  # times that an event is asked for again of which something could not be used
ASKED_LEAST = 1  # and while asking again has not helped
LINE_MOST = 4 * 1024 * 1024
UNUSABLE = (ConfigError, SettingsError, TypeError, ValueError, KeyError, AttributeError, OverflowError)


class Feed:
    """The events in their order, each once, however often a connection brings them."""

    def __init__(
        self, exchange: Exchange, config: Config, clock: Callable[[], float], counters: Counters
    ) -> None:
        self.exchange, self.roles, self.clock, self.counters = exchange, config.roles, clock, counters
        self.last = self.begun = 0
        self._asked = (0, 0)  # an event of which something was lost; how often it was asked for again
        self._ask_most = ASKED_MOST
        self.resumed = False  # `last` is from before our start
        self._listed = False
        self.noted: Callable[[int, dict[str, Any]], None] | None = None  # hears each good event of the feed

    def known(self, index: int, events: Iterable[dict[str, Any]]) -> None:
        """The events of the start, out of the configuration."""
        for event in events:
            self.event(event)  # what it is is all there is: nobody can be asked for more than the file has
        self.last = self.begun = max(self.last, index)

    def resume(self, index: int) -> None:
        """An earlier run had followed so far, and all that it heard is known again."""
        if index > self.last:
            self.last, self.resumed = index, True

    def line(self, data: bytes) -> bool:
        """One line of the feed; False when an event is missing before it or it makes no sense."""
        try:
            message = json.loads(data)
        except (ValueError, RecursionError):
            self.counters.add("coordinator.bad_lines")
            return False
        if type(message) is int:  # a truth value is none
            message = {"index": message}
        if not isinstance(message, dict) or type(message.get("index")) is not int:
            self.counters.add("coordinator.bad_lines")
            return False
        if self.resumed and len(message) == 1 and message["index"] < self.last:
            # Guards against another coordinator than the one we knew: its numbers are its own.
            self.last, self.resumed = self.begun, False
            self.counters.add("coordinator.numbering_back")
            return False
        if message["index"] <= self.last:  # one told twice, or the number of the last
            return True
        if len(message) == 1 or message["index"] != self.last + 1:
            self.counters.add("coordinator.gaps")
            return False
        whole = self.event(message)
        if not whole and self._asks_again(message["index"]):
            return False
        if whole and self._asked[0] == message["index"]:
            self._ask_most = ASKED_MOST  # it was only spoilt on its way
        self.last = message["index"]
        if whole and self.noted is not None:
            self.noted(self.last, message)
        return True

    def _asks_again(self, index: int) -> bool:
        """Whether an event of which something was lost is asked for once more, with what comes behind it.

        Guards against a change lost for good since its line was spoilt on its way; and, being bounded,
        against a feed that never gets past an event that nobody here can use. Where many are such, each
        costs the others one wait and no more.
        """
        before, asked = self._asked
        asked = asked + 1 if before == index else 1
        self._asked = index, asked
        if asked <= self._ask_most:
            return True
        self._ask_most = ASKED_LEAST
        self.counters.add("coordinator.given_up")
        return False

    def event(self, event: dict[str, Any]) -> bool:
        """Guards against an event of a form not known here: it is counted, and what can be used is.

        False: something of it was lost.
        """
        bad_entries = 0
        try:
            if "endpoints" in event:
                bad_entries = self._list(event["endpoints"])
            if "evict" in event:
                self._purge(event["evict"])
        except UNUSABLE:
            self.counters.add("coordinator.bad_events")
            return False
        self.counters.add("coordinator.events")
        return not bad_entries

    def _list(self, change: dict[str, Any]) -> int:
        """Take a change of the list; how many entries could not be used. They cost the others nothing."""
        read: list[tuple[api.Server, Address | None]] = []
        models: dict[str, str] = {}
        for entry in change["targets"]:
            try:
                read.append(read_server(entry, self.roles))
                models[str(entry["uid"])] = str(entry.get("model", ""))
            except UNUSABLE:
                self.counters.add("coordinator.bad_entries")
        bad_entries = len(change["targets"]) - len(read)
        kind = api.EndpointListKind.DELTA
        if not self._listed or (change.get("all") and not bad_entries):  # else one not understood would go
            kind = api.EndpointListKind.COMPLETE if self._listed else api.EndpointListKind.PERSISTED
        self._listed = True
        addresses = {server.name: address for server, address in read}
        self.exchange.listed(api.EndpointList(kind, tuple(server for server, _ in read)), addresses, models)
        return bad_entries

    def _purge(self, evict: dict[str, Any]) -> None:
        key = int(evict["ref"], 16) if "ref" in evict else None
        age = max(0.0, self.clock() - finite(evict["unix_ms"]))
        self.exchange.purged(api.Purge(key, int(evict.get("shard", -1)), age))


class CoordinatorConnection(asyncio.Protocol):
    def __init__(self, follower: Follower, address: Address) -> None:
        self.follower, self.address = follower, address
        self.transport: asyncio.Transport | None = None
        self.rest = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is none by inheritance
        if not self.follower.begins(self):
            return self.transport.abort()
        self.transport.write(f"follow {self.follower.feed.last}\n".encode())

    def data_received(self, data: bytes) -> None:
        *lines, self.rest = (self.rest + data).split(b"\n")
        if not self.follower.hears(self):
            return
        good = all(self.follower.feed.line(line) for line in lines if line.strip())
        self.follower.heard(whole=good and bool(lines))
        if good and lines:
            self.follower.settled()
        if (not good or len(self.rest) > LINE_MOST) and self.transport is not None:
            self.transport.abort()  # asked for again from the last event that is known

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self.follower.lost(self)


class Follower:
    """Keeps a connection to the coordinator, and replaces it when it ends or falls silent.

    One connection counts at a time: what an earlier one still says, or its end, is heard no more.
    """

    def __init__(
        self, feed: Feed, address: Address, deadlines: Deadlines, log: Callable[[str], None],
        rng: random.Random,
    ) -> None:  # fmt: skip
        self.random = rng
        self.feed, self.address, self.deadlines, self.log = feed, address, deadlines, log
        self.connection: CoordinatorConnection | None = None
        self.wait_ms = BACKOFF_MS
        self.closing = False
        self._whole_ms = 0.0  # when the connection began, or last brought a whole line of use
        self._due: Key | None = None
        self._task: asyncio.Task[None] | None = None
        self.on_settled: Callable[[], None] | None = None  # called once, at the first whole lines

    def connect(self) -> None:
        if not self.closing:
            self.feed.counters.add("coordinator.connects")
            self._task = asyncio.get_running_loop().create_task(self._connect(self.address))

    async def _connect(self, address: Address) -> None:
        try:
            async with asyncio.timeout(CONNECT_MS / 1000.0):
                await asyncio.get_running_loop().create_connection(
                    lambda: CoordinatorConnection(self, address), *address
                )
        except (OSError, ValueError):  # a time-out is one too; the latter: no name that can be looked up
            self._again()

    def move(self, address: Address) -> None:
        """The coordinator has another address from now on: ask there for what comes after the last event."""
        if address == self.address:
            return
        self.address, self.wait_ms = address, BACKOFF_MS
        self._leave()
        self.connect()

    # The connection's calls.

    def begins(self, connection: CoordinatorConnection) -> bool:
        if self.closing or connection.address != self.address:  # dialled before it was moved
            return False
        self.connection, self._whole_ms = connection, self.feed.clock()
        self._watch()
        return True

    def settled(self) -> None:
        """Whole lines came from the coordinator: whatever it held at our start is known by now."""
        if self.on_settled is not None:
            call, self.on_settled = self.on_settled, None
            call()

    def hears(self, connection: CoordinatorConnection) -> bool:
        return connection is self.connection

    def heard(self, whole: bool) -> None:
        """Something came; `whole`: lines of use, and nothing else.

        Guards against a coordinator that takes connections and brings nothing: only lines of use shorten the
        waits again, and half a line keeps a connection alive no longer than `LINE_MS`.
        """
        if whole:
            self.wait_ms, self._whole_ms = BACKOFF_MS, self.feed.clock()
        self._watch()

    def lost(self, connection: CoordinatorConnection) -> None:
        if connection is self.connection:
            self.connection = None
            self.log("coordinator lost")
            self._again()

    def close(self) -> None:
        self.closing = True
        self._leave()

    def _leave(self) -> None:
        self.deadlines.drop(self._due)
        if self._task is not None:
            self._task.cancel()
        connection, self.connection = self.connection, None
        if connection is not None and connection.transport is not None:
            connection.transport.abort()

    def _again(self) -> None:
        self.deadlines.drop(self._due)
        if self.closing:
            return
        wait, self.wait_ms = self.wait_ms, min(BACKOFF_MOST_MS, self.wait_ms * 2.0)
        # Spread, so that directors cut off together don't all come back in one moment.
        self._due = self.deadlines.add(self.feed.clock() + wait * (0.5 + self.random.random()), self.connect)

    def _watch(self) -> None:
        self.deadlines.drop(self._due)
        until = min(self.feed.clock() + SILENCE_MS, self._whole_ms + LINE_MS)
        self._due = self.deadlines.add(until, self._silent)

    def _silent(self) -> None:
        self.feed.counters.add("coordinator.silent")
        if self.connection is not None and self.connection.transport is not None:
            self.connection.transport.abort()
