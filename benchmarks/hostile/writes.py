"""Sends one write twice, to see how often servers run it."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from dataclasses import dataclass

from gladewalk.rehearsal.http_messages import encode_request, read_message
from gladewalk.rehearsal.scripted_servers import ReceivedRequest, ScriptedServer

from .process import director_under_limits

WORK_S = 0.4
STAYS_S = 10.0
TRACE_ID = "00000000000000ab"
WRITE = encode_request("/invoke/bid/b1?nth=0", "PUT", 3_000.0, b"bid", trace=TRACE_ID)


@dataclass(frozen=True, slots=True)
class WriteResult:
    """How often the servers ran the write, and the statuses that its clients got."""

    run_count: int
    statuses: list[int]


class CountingServers:
    """A location whose servers count how often they run a write."""

    def __init__(self, work_s: float = WORK_S) -> None:
        self.runs: Counter[str] = Counter()
        self._work_s = work_s
        caches = [ScriptedServer(self._run, uid=f"c{number}") for number in range(3)]
        self.servers = [*caches, ScriptedServer(self._run, uid="o", model="origin", zone="north")]

    async def _run(self, request: ReceivedRequest) -> None:
        if request.method == "PUT":
            self.runs[request.headers["x-ticket"]] += 1
            await asyncio.sleep(self._work_s)
        await request.respond(200, b"taken")


async def _send(address: tuple[str, int], stays_s: float) -> int | None:
    reader, writer = await asyncio.open_connection(*address)
    writer.write(WRITE)
    status = None
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(stays_s):
            status = (await read_message(reader)).status
    writer.close()
    return status


async def play_write_twice(
    leaves_after_s: float | None, is_whole_before: bool = True, broken: str = ""
) -> WriteResult:
    """Sends the same write on two connections.

    Args:
        leaves_after_s: When the first client closes its connection; None if it stays.
        is_whole_before: Whether the second client comes once the first write is at a server.
        broken: The name of a broken director; empty for the real one.
    """
    counting = CountingServers()
    async with director_under_limits(counting.servers, 192.0, 1_024, broken=broken) as director:
        first = asyncio.create_task(_send(director.address, leaves_after_s or STAYS_S))
        await asyncio.sleep(0.1 if leaves_after_s is None and is_whole_before else 0.0)
        if leaves_after_s is not None:
            await first
            await asyncio.sleep(0.02)
        second = await _send(director.address, STAYS_S)
        statuses = [await first, second]
        return WriteResult(counting.runs[TRACE_ID], [status for status in statuses if status is not None])
