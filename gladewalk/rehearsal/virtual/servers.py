"""Model servers that follow the cache protocol: cache servers, parent caches and the store.

A cache stores the parts that requests tell it to store, and evicts the least recently used part. It fills a
miss from the source named in the request; concurrent misses share one fill. It processes a limited number of
requests at a time and rejects the others; it drops older copies within some seconds of a purge. The store
creates every copy and executes writes.
"""

from __future__ import annotations

import asyncio
import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from ...errors import GladewalkError
from ..http_messages import Http1Message, encode_message, header_names, read_message
from ..scripted_servers import ReceivedRequest, ScriptedServer
from .rules import History, ObservedAttempt, ProducedResponse
from .scenario import GROUP_COUNT, STORE_NAME

CACHE_WORK_MS = (4.0, 20.0)  # range of a request's processing time without queueing
STORE_WORK_MS = (25.0, 60.0)
FILL_TIMEOUT_S = 3.0
QUEUE_FRACTION = 1.0  # length of the queue of waiting requests, as a fraction of the slots
MAX_PURGE_DELAY_S = 6.0  # within this time of a purge a cache has dropped all older copies
BREAK_OFF_DELAY_S = 0.01  # between the first half of a truncated response and the reset
FILL_REQUEST_ID = "fill"  # request id of one server's request to another
CACHE_MODEL, PARENT_MODEL, STORE_MODEL = "standard", "parent", "origin"
PROBE_PATHS = ("/load", "/alive")


class ObjectKey(NamedTuple):
    """Identifies a part of an object; the object's name is a hexadecimal number."""

    class_name: str
    object_name: str
    part: int

    @property
    def group(self) -> int:
        """The object's purge group."""
        return int(self.object_name, 16) % GROUP_COUNT


@dataclass(slots=True, frozen=True)
class ObjectCopy:
    """A copy of a part; the store created it at `made_ms`."""

    body: bytes
    made_ms: float


class FillError(GladewalkError):
    """A fill has failed; the text is sent in the response's header `X-Remark`."""


FILL_ERRORS = (FillError, OSError, asyncio.IncompleteReadError)


class ModelServer:
    """One server of the fleet.

    Args:
        name: The server's name in the scenario.
        model: `standard`, `parent` or `origin`.
        host: The server's IP address.
        slots: How many requests it processes at a time.
        max_copies: How many parts it stores at most.
        servers: All servers of the fleet by name; fills are sent to them.
        history: Records attempts, responses and writes.
        clock: Returns the Unix time in ms.
        rng: Source of the server's random draws.
    """

    def __init__(
        self,
        name: str,
        model: str,
        host: str,
        slots: int,
        max_copies: int,
        servers: dict[str, ModelServer],
        history: History,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.name = name
        self._slots, self._max_copies = slots, max_copies
        self._servers, self._history, self._clock, self._rng = servers, history, clock, rng
        zone = "edge-1" if model == CACHE_MODEL else "north"
        self.stand_in = ScriptedServer(
            self.handle_request, uid=name, model=model, host=host, zone=zone, capacity=4.0
        )
        self._copies: OrderedDict[ObjectKey, ObjectCopy] = OrderedDict()
        self._purged_before_ms: dict[int, float] = {}  # by purge group
        self._fills: dict[tuple[ObjectKey, float], asyncio.Task[ObjectCopy]] = {}
        self._writers: dict[asyncio.StreamWriter, None] = {}  # a set in the order of insertion
        self._busy_slots = 0
        # Faults that are active now.
        self.unresponsive_count = 0
        self.slowdown = 1.0
        self.truncation_rate = self.reset_rate = 0.0

    @property
    def is_store(self) -> bool:
        """Whether this is the store."""
        return self.stand_in.model == STORE_MODEL

    # Life cycle.

    def crash(self) -> None:
        """Stops the server, resets its connections and discards its copies."""
        self.stand_in.stop()
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()
        self._copies.clear()

    async def restart(self) -> None:
        """Starts the server again, empty."""
        await self.stand_in.start()
        self.stand_in.boot_ms = self._clock()

    def purge(self, group: int, made_before_ms: float) -> None:
        """Drops the older copies of a group and stores none of them again.

        Other caches may still have such copies and send them in fills.
        """
        self._purged_before_ms[group] = max(made_before_ms, self._purged_before_ms.get(group, 0.0))
        stale_keys = [
            key for key, copy in self._copies.items() if key.group == group and copy.made_ms < made_before_ms
        ]
        for key in stale_keys:
            del self._copies[key]

    # Requests.

    async def handle_request(self, request: ReceivedRequest) -> None:
        """Responds to a request as the cache protocol requires; the stand-in's script."""
        self._writers[request.writer] = None
        request_id = request.headers.get("x-ticket", "")
        if request.path in PROBE_PATHS:
            if not self.unresponsive_count:
                await request.respond(200)
            return
        if request_id != FILL_REQUEST_ID:
            source = request.headers.get("miss-to", "")
            attempt = ObservedAttempt(self._clock(), request_id, self.name, source, request.method)
            self._history.attempts.append(attempt)
        if self.unresponsive_count:
            return
        if self._busy_slots >= self._slots * (1.0 + QUEUE_FRACTION):
            await request.respond(503, X_Shed="1")
            return
        self._busy_slots += 1
        try:
            await self._work()
            await (self._write(request) if request.method == "PUT" else self._read(request))
        finally:
            self._busy_slots -= 1

    async def _work(self) -> None:
        work_ms = self._rng.uniform(*(STORE_WORK_MS if self.is_store else CACHE_WORK_MS))
        queueing_factor = max(1.0, self._busy_slots / self._slots)
        await asyncio.sleep(work_ms * self.slowdown * queueing_factor / 1000.0)

    async def _write(self, request: ReceivedRequest) -> None:
        """Executes a write at the store; a cache forwards it to its source."""
        request_id = request.headers.get("x-ticket", "")
        if self.is_store:
            is_forwarded = request_id == FILL_REQUEST_ID
            original_id = request.headers.get("x-for", "") if is_forwarded else request_id
            self._history.write_counts[original_id] += 1
            body = b"taken " + request.body
        else:
            source = request.headers.get("miss-to", "")
            try:
                response = await self._send(source, "PUT", request.path, request.body, X_For=request_id)
            except FILL_ERRORS:
                await request.respond(500)
                return
            body = response.body
        await self._respond(request, ObjectCopy(body, self._clock()), "origin")

    async def _read(self, request: ReceivedRequest) -> None:
        _, _, class_name, object_name, part = request.path.split("/")
        key = ObjectKey(class_name, object_name, int(part))
        if self.is_store:
            await self._respond(request, self._make_copy(key), "origin")
            return
        cached = self._copies.get(key)
        max_age_ms = float(request.headers.get("no-older-than", "0") or 0)
        if cached is not None and (not max_age_ms or self._clock() - cached.made_ms <= max_age_ms):
            self._copies.move_to_end(key)
            await self._respond(request, cached, "mem")
            return
        await self._respond_to_miss(request, key, max_age_ms)

    async def _respond_to_miss(self, request: ReceivedRequest, key: ObjectKey, max_age_ms: float) -> None:
        is_parent = self.stand_in.model == PARENT_MODEL
        source = STORE_NAME if is_parent else request.headers.get("miss-to", "")
        if not source or "have-only" in request.headers.get("handling", "").split("+"):
            await request.respond(404, X_Remark="absent")
            return
        try:
            copy = await asyncio.shield(self._fill(key, request.path, source, max_age_ms))
        except FILL_ERRORS as error:
            remark = str(error) if isinstance(error, FillError) else "unreached"
            await request.respond(404, X_Remark=remark)
            return
        if is_parent or request.headers.get("store-as", "0") != "0":
            self._store(key, copy)
        await self._respond(request, copy, "origin" if source == STORE_NAME else "parent")

    def _make_copy(self, key: ObjectKey) -> ObjectCopy:
        made_ms = self._clock()
        text = f"{key.class_name}/{key.object_name}/{key.part} made at {made_ms:.3f} ".encode()
        return ObjectCopy(text * (2 + int(key.object_name, 16) % 20), made_ms)

    def _store(self, key: ObjectKey, copy: ObjectCopy) -> None:
        cached = self._copies.get(key)
        if copy.made_ms < self._purged_before_ms.get(key.group, 0.0):
            return
        if cached is None or cached.made_ms < copy.made_ms:
            self._copies[key] = copy
        self._copies.move_to_end(key)
        while len(self._copies) > self._max_copies:
            self._copies.popitem(last=False)

    # Fills.

    async def _fill(self, key: ObjectKey, path: str, source: str, max_age_ms: float) -> ObjectCopy:
        """Fetches a part once for all requests that wait for it with the same maximum age."""
        slot = key, max_age_ms
        task = self._fills.get(slot)
        if task is None:
            work = self._fetch(path, source, max_age_ms)
            task = self._fills[slot] = asyncio.get_running_loop().create_task(work)
            task.add_done_callback(lambda done: self._end_fill(slot, done))
        return await asyncio.shield(task)

    def _end_fill(self, slot: tuple[ObjectKey, float], done: asyncio.Task[ObjectCopy]) -> None:
        del self._fills[slot]
        if not done.cancelled():
            done.exception()  # marks the error as retrieved: all waiting requests may have been cancelled

    async def _fetch(self, path: str, source: str, max_age_ms: float) -> ObjectCopy:
        response = await self._send(source, "GET", path, b"", No_Older_Than=f"{max_age_ms:.0f}")
        return ObjectCopy(response.body, float(response.headers["made-at"]))

    async def _send(self, source: str, method: str, path: str, body: bytes, **fields: str) -> Http1Message:
        """Sends a request to another server of the fleet.

        Raises:
            FillError: There is no such server, or its response is not a 200.
        """
        server = self._servers.get(source)
        if server is None:
            raise FillError("denied")
        own_headers = {"X-Ticket": FILL_REQUEST_ID, "Store-As": "1", "Content-Length": str(len(body))}
        data = encode_message(f"{method} {path} HTTP/1.1", {**own_headers, **header_names(fields)}, body)
        async with asyncio.timeout(FILL_TIMEOUT_S):
            response = await exchange(server.stand_in.address, data)
        if response.status != 200:
            raise FillError("crowded" if response.status == 503 else "unreached")
        return response

    # Responses.

    async def _respond(self, request: ReceivedRequest, copy: ObjectCopy, remark: str) -> None:
        request_id = request.headers.get("x-ticket", "")
        if request_id != FILL_REQUEST_ID:
            produced = ProducedResponse(request_id, self.name, copy.body, copy.made_ms)
            self._history.produced.append(produced)
        if self.reset_rate and self._rng.random() < self.reset_rate:  # processed, without a response
            request.writer.transport.abort()
            return
        if self.truncation_rate and self._rng.random() < self.truncation_rate:
            await self._break_off(request, copy.body)
            return
        made_at = f"{copy.made_ms:.3f}"
        await request.respond(200, copy.body, X_Remark=remark, Made_At=made_at, Tag=f"{copy.made_ms:.0f}")

    async def _break_off(self, request: ReceivedRequest, body: bytes) -> None:
        """Sends half of the body, then resets the connection."""
        headers = {"Content-Length": len(body)}
        request.writer.write(encode_message("HTTP/1.1 200 X", headers, body[: len(body) // 2]))
        await asyncio.sleep(BREAK_OFF_DELAY_S)
        request.writer.transport.abort()


async def exchange(address: str, data: bytes) -> Http1Message:
    """Sends a request on a new connection and returns the response."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(data)
        return await read_message(reader)
    finally:
        writer.close()
