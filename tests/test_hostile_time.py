"""Latency of an ordinary client of a director process while others flood it."""

import asyncio
from typing import Any

import pytest

from benchmarks.hostile.delays import TARGET_MS, Delays, measure_flood
from benchmarks.hostile.flood import FLOODS
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
