"""Plays a crowd of hostile clients against a director and reports its peak memory."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator
from dataclasses import dataclass

from gladewalk.rehearsal.scripted_servers import ScriptedServer

from .forms import Crowd, read_of_one_object
from .process import DirectorUnderLimits, director_under_limits

CROWD_S = 3.0  # how long each client stays
PROBE_WAIT_MS = 1_000.0  # of a request after the crowd, which gets a final answer in time
SERVER_COUNT = 3
SERVER_CAPACITY = 64.0
TARGET_FRACTION = 0.8  # of the memory limit: what the peak may reach


@dataclass(frozen=True, slots=True)
class CrowdResult:
    """What a crowd did to a director."""

    peak_mb: float
    was_over_limit: bool
    has_ended: bool
    serves_afterwards: bool


async def _stay(director: DirectorUnderLimits, data: bytes) -> None:
    """Sends `data` and reads until the director closes the connection or `CROWD_S` is over."""
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(CROWD_S):
            reader, writer = await asyncio.open_connection(*director.address)
            try:
                writer.write(data)
                while await reader.read(65_536):
                    pass
            finally:
                writer.transport.abort()


def stand_in_servers(crowd: Crowd) -> Iterator[ScriptedServer]:
    """Yields the servers of a small location, all of which follow the crowd's script."""
    for number in range(SERVER_COUNT):
        yield ScriptedServer(crowd.script, uid=f"c{number}", capacity=SERVER_CAPACITY)
    yield ScriptedServer(crowd.script, uid="o", model="origin", zone="north", capacity=SERVER_CAPACITY)


async def play_crowd(
    crowd: Crowd, clients: int, memory_mb: float, descriptors: int, broken: str = ""
) -> CrowdResult:
    """Has `clients` clients send their input at once to a director with these limits."""
    servers = list(stand_in_servers(crowd))
    async with director_under_limits(servers, memory_mb, descriptors, broken=broken) as director:
        sends = [_stay(director, crowd.client_input(peer)) for peer in range(clients)]
        await asyncio.gather(*sends)
        director.check_memory()
        serves = False
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(CROWD_S):
                reader, writer = await asyncio.open_connection(*director.address)
                writer.write(read_of_one_object(clients, PROBE_WAIT_MS))
                serves = bool(await reader.readline())
                writer.close()
        return CrowdResult(director.peak_mb, director.was_over_limit, director.has_ended, serves)
