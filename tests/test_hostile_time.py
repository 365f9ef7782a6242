"""Latency of an ordinary client of a director process while others flood it."""

import asyncio
from typing import Any

import pytest

from benchmarks.hostile.crowds import TARGET_FRACTION
from benchmarks.hostile.delays import (
    QUIET_REQUESTS,
    TARGET_MS,
    Delays,
    flooding_listener,
    measure_flood,
    measure_health,
    measure_latencies,
)
from benchmarks.hostile.flood import FLOODS
from benchmarks.hostile.flooding_listener import COORDINATORS, SERVERS
from benchmarks.hostile.process import director_under_limits
from gladewalk.rehearsal.scripted_servers import ScriptedServer

from .server_scripts import hit

REQUESTS = 60


async def play(form: str, peer_count: int) -> tuple[Delays, dict[str, Any], float]:
    async with director_under_limits([ScriptedServer(hit)], 192.0, 1_024) as director:
        delays = await measure_flood(director, form, peer_count, REQUESTS)
        return delays, await director.counters(), director.peak_mb


@pytest.mark.parametrize("peer_count", TARGET_MS)
@pytest.mark.parametrize("form", FLOODS)
def test_a_flood_of_one_kind_of_input_does_not_hold_up_other_clients(form: str, peer_count: int) -> None:
    delays, _, _ = asyncio.run(play(form, peer_count))
    assert delays.rise_ms() <= TARGET_MS[peer_count]


async def play_coordinator(form: str) -> tuple[Delays, float]:
    async with flooding_listener(form) as address:
        async with director_under_limits([ScriptedServer(hit)], 192.0, 1_024) as director:
            quiet_ms = await measure_latencies(director, QUIET_REQUESTS, 0)
        async with director_under_limits(
            [ScriptedServer(hit)], 192.0, 1_024, coordinator_address=address
        ) as director:
            await asyncio.sleep(1.2)  # the flood begins 1 s after the director has connected
            beside_ms = await measure_latencies(director, REQUESTS, 0)
            return Delays(quiet_ms, beside_ms), director.peak_mb


async def play_server(form: str) -> tuple[Delays, float]:
    async with flooding_listener(form) as address:
        server = ScriptedServer(hit, address=address)
        async with director_under_limits([server], 192.0, 1_024) as director:
            quiet_ms = await measure_health(director, QUIET_REQUESTS)
            requests = [
                asyncio.create_task(director.request(f"/invoke/lot-page/{n + 1:x}", trace=f"{n:016x}"))
                for n in range(8)
            ]
            beside_ms = await measure_health(director, REQUESTS)
            for request in requests:
                request.cancel()
            await asyncio.gather(*requests, return_exceptions=True)
            return Delays(quiet_ms, beside_ms), director.peak_mb


@pytest.mark.parametrize("form", COORDINATORS)
def test_a_flooding_coordinator_does_not_hold_up_clients(form: str) -> None:
    delays, peak_mb = asyncio.run(play_coordinator(form))
    assert delays.rise_ms() <= TARGET_MS[1]
    assert peak_mb <= TARGET_FRACTION * 192.0


@pytest.mark.parametrize("form", SERVERS)
def test_a_flooding_server_does_not_hold_up_clients(form: str) -> None:
    delays, peak_mb = asyncio.run(play_server(form))
    assert delays.rise_ms() <= TARGET_MS[1]
    assert peak_mb <= TARGET_FRACTION * 192.0
