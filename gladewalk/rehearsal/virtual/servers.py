"""Model servers: cache boxes, hub caches, the auction store, as the protocol page has them, in our own words.

A box holds what it was told to keep, the longest unused goes first; fills a miss from the source it is told;
works on so many requests at a time and turns others away; drops older copies within some seconds of a purge.
A hub fetches once for all who wait. The store makes every copy, and runs writes.
"""

from __future__ import annotations

import asyncio
import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ..http_messages import read_message
from ..scripted_servers import ReceivedRequest, ScriptedServer
from .rules import Made, Record, Sent

WORK_MS = (4.0, 20.0)
STORE_MS = (25.0, 60.0)
FILL_WAIT_S = 3.0
QUEUE_PART = 1.0  # of the slots: so many more may wait
PURGE_DONE_S = 6.0  # after a purge, within this, a box has dropped what is older
FILL = "fill"  # the ticket of one server's request to another

Key = tuple[str, str, int]


@dataclass(slots=True, frozen=True)
class Copy:
    body: bytes
    made_ms: float  # when the store gave it out


class Gone(Exception):
    """A fill came to nothing; the text is the remark."""


class ModelServer:
    """One server of the fleet; `servers` has all of them by name."""

    def __init__(
        self, name: str, model: str, host: str, slots: int, keeps: int, servers: dict[str, ModelServer],
        record: Record, clock: Callable[[], float], rng: random.Random,
    ) -> None:  # fmt: skip
        self.name, self.slots, self.keeps, self.servers = name, slots, keeps, servers
        self.record, self.clock, self.random = record, clock, rng
        self.peer = ScriptedServer(self.answer, uid=name, model=model, host=host, zone="edge-1", capacity=4.0)
        if model != "standard":
            self.peer.zone = "north"
        self.copies: OrderedDict[Key, Copy] = OrderedDict()
        self.purged: dict[int, float] = {}  # group -> of when the oldest copy may be
        self.fills: dict[Key, asyncio.Task[Copy]] = {}
        self.writers: dict[asyncio.StreamWriter, None] = {}
        self.busy = 0
        self.silent, self.slow, self.spoil, self.reset = 0, 1.0, 0.0, 0.0

    @property
    def is_store(self) -> bool:
        return self.peer.model == "origin"

    # Its life.

    def crash(self) -> None:
        """Its process ends: connections are reset, what it held is gone."""
        self.peer.stop()
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()
        self.copies.clear()

    async def start_again(self) -> None:
        await self.peer.start()
        self.peer.boot_ms = self.clock()

    def purge(self, group: int, made_ms: float) -> None:
        """Drop what the store made before then, and keep none of it again: others may still hold it."""
        self.purged[group] = max(made_ms, self.purged.get(group, 0.0))
        old = [key for key, copy in self.copies.items()
               if int(key[1], 16) % 256 == group and copy.made_ms < made_ms]  # fmt: skip
        for key in old:
            del self.copies[key]

    # Requests.

    async def answer(self, heard: ReceivedRequest) -> None:
        self.writers[heard.writer] = None
        ticket = heard.headers.get("x-ticket", "")
        if heard.path in ("/load", "/alive"):
            return await heard.answer(200) if not self.silent else None
        if ticket != FILL:
            source = heard.headers.get("miss-to", "")
            self.record.sent.append(Sent(self.clock(), ticket, self.name, source, heard.method))
        if self.silent:
            return None
        if self.busy >= self.slots * (1.0 + QUEUE_PART):
            return await heard.answer(503, X_Shed="1")
        self.busy += 1
        try:
            await self._work()
            await (self._write(heard, ticket) if heard.method == "PUT" else self._read(heard, ticket))
        finally:
            self.busy -= 1

    async def _work(self) -> None:
        span = STORE_MS if self.is_store else WORK_MS
        crowded = max(1.0, self.busy / self.slots)
        await asyncio.sleep(self.random.uniform(*span) * self.slow * crowded / 1000.0)

    async def _write(self, heard: ReceivedRequest, ticket: str) -> None:
        """A write runs at the store, and nowhere else; a box passes it on."""
        if self.is_store:
            if ticket != FILL:
                self.record.ran[ticket] += 1
            else:
                self.record.ran[heard.headers.get("x-for", "")] += 1
            body = b"taken " + heard.body
        else:
            try:
                store = heard.headers.get("miss-to", "")
                body = (await self._ask(store, "PUT", heard.path, heard.body, {"X-For": ticket}))[0]
            except (Gone, OSError, asyncio.IncompleteReadError):
                return await heard.answer(500)
        await self._give(heard, ticket, Copy(body, self.clock()), "origin")

    async def _read(self, heard: ReceivedRequest, ticket: str) -> None:
        _, _, cls, object_name, part = heard.path.split("/")
        key = cls, object_name, int(part)
        if self.is_store:
            return await self._give(heard, ticket, self._make(key), "origin")
        held = self.copies.get(key)
        oldest = float(heard.headers.get("no-older-than", "0") or 0)
        if held is not None and (not oldest or self.clock() - held.made_ms <= oldest):
            self.copies.move_to_end(key)
            return await self._give(heard, ticket, held, "mem")
        words = heard.headers.get("handling", "").split("+")
        source = "store" if self.peer.model == "parent" else heard.headers.get("miss-to", "")
        if not source or "have-only" in words:
            return await heard.answer(404, X_Remark="absent")
        try:
            copy = await asyncio.shield(self._fill(key, heard.path, source, oldest))
        except (Gone, OSError, asyncio.IncompleteReadError) as error:
            return await heard.answer(404, X_Remark=str(error) if isinstance(error, Gone) else "unreached")
        if heard.headers.get("store-as", "0") != "0" or self.peer.model == "parent":
            self._keep(key, copy)
        await self._give(heard, ticket, copy, "origin" if source == "store" else "parent")

    def _make(self, key: Key) -> Copy:
        made = self.clock()
        text = f"{key[0]}/{key[1]}/{key[2]} made at {made:.3f} ".encode()
        return Copy(text * (2 + int(key[1], 16) % 20), made)

    def _keep(self, key: Key, copy: Copy) -> None:
        held = self.copies.get(key)
        if copy.made_ms < self.purged.get(int(key[1], 16) % 256, 0.0):
            return
        if held is None or held.made_ms < copy.made_ms:
            self.copies[key] = copy
        self.copies.move_to_end(key)
        while len(self.copies) > self.keeps:
            self.copies.popitem(last=False)

    async def _fill(self, key: Key, path: str, source: str, oldest_ms: float) -> Copy:
        """Once for all who wait, where nobody wants it newer than another does."""
        slot = key if not oldest_ms else (f"{key[0]}<{oldest_ms}", *key[1:])
        task = self.fills.get(slot)
        if task is None:
            task = self.fills[slot] = asyncio.get_running_loop().create_task(
                self._fetch(path, source, oldest_ms)
            )
            task.add_done_callback(lambda done: self.fills.pop(slot, None) and done.exception())
        return await asyncio.shield(task)

    async def _fetch(self, path: str, source: str, oldest_ms: float) -> Copy:
        body, fields = await self._ask(source, "GET", path, b"", {"No-Older-Than": f"{oldest_ms:.0f}"})
        return Copy(body, float(fields["made-at"]))

    async def _ask(
        self, source: str, method: str, path: str, body: bytes, more: dict[str, str]
    ) -> tuple[bytes, dict[str, str]]:
        server = self.servers.get(source)
        if server is None:
            raise Gone("denied")
        host, _, port = server.peer.address.rpartition(":")
        writer = None
        try:
            async with asyncio.timeout(FILL_WAIT_S):
                reader, writer = await asyncio.open_connection(host, int(port))
                fields = {"X-Ticket": FILL, "Store-As": "1", "Content-Length": str(len(body)), **more}
                lines = [f"{method} {path} HTTP/1.1", *(f"{n}: {v}" for n, v in fields.items())]
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
                first, answered, told = await read_message(reader)
        finally:
            if writer is not None:
                writer.close()
        if " 200 " not in f"{first} ":
            raise Gone("crowded" if " 503 " in first else "unreached")
        return told, answered

    async def _give(self, heard: ReceivedRequest, ticket: str, copy: Copy, remark: str) -> None:
        if ticket != FILL:
            self.record.made.append(Made(ticket, self.name, copy.body, copy.made_ms))
        if self.reset and self.random.random() < self.reset:  # it has run, and nothing is said
            return heard.writer.transport.abort()
        if self.spoil and self.random.random() < self.spoil:  # it breaks off in the middle
            heard.writer.write(f"HTTP/1.1 200 X\r\nContent-Length: {len(copy.body)}\r\n\r\n".encode()
                               + copy.body[: len(copy.body) // 2])  # fmt: skip
            await asyncio.sleep(0.01)
            return heard.writer.transport.abort()
        fields: dict[str, Any] = {"X_Remark": remark, "Made_At": f"{copy.made_ms:.3f}"}
        fields["Tag"] = f"{copy.made_ms:.0f}"
        await heard.answer(200, copy.body, **fields)
