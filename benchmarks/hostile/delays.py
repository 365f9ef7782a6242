"""Measures what a flood costs other clients: the latency of a request every 50 ms, quiet and beside it."""

from __future__ import annotations

import asyncio
import sys
import time
from dataclasses import dataclass

from .process import DirectorUnderLimits

INTERVAL_S = 0.05
WARM_UP_S = 0.3  # from the start of the flood to the first measured request
QUIET_REQUESTS = 40
REQUEST_TIMEOUT_S = 3.0
PERCENTILE = 0.99
TARGET_MS = {1: 20.0, 8: 50.0}
"""How much the 99th percentile may rise over quiet, by the number of flooding peers."""


@dataclass(frozen=True, slots=True)
class Delays:
    """Latencies of an ordinary client, in milliseconds; a request without an answer counts as the timeout."""

    quiet_ms: list[float]
    beside_ms: list[float]

    def rise_ms(self) -> float:
        """Returns by how much the 99th percentile is higher beside the flood."""
        return percentile(self.beside_ms) - percentile(self.quiet_ms)


def percentile(latencies_ms: list[float], fraction: float = PERCENTILE) -> float:
    """Returns the latency that `fraction` of the requests do not exceed."""
    ordered = sorted(latencies_ms)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


async def measure_latencies(director: DirectorUnderLimits, count: int, first_number: int) -> list[float]:
    """Sends one request each `INTERVAL_S`, one after another; returns their latencies in ms."""
    latencies_ms: list[float] = []
    for number in range(first_number, first_number + count):
        started_s = time.perf_counter()
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                status, _ = await director.request(
                    f"/invoke/lot-page/a1?nth={number}", trace=f"{number:016x}"
                )
            latency_s = time.perf_counter() - started_s if status == 200 else REQUEST_TIMEOUT_S
        except (OSError, asyncio.IncompleteReadError):  # OSError includes the timeout
            latency_s = REQUEST_TIMEOUT_S
        latencies_ms.append(latency_s * 1_000.0)
        await asyncio.sleep(max(0.0, INTERVAL_S - latency_s))
    return latencies_ms


async def measure_flood(
    director: DirectorUnderLimits, form: str, peer_count: int, request_count: int
) -> Delays:
    """Measures an ordinary client's latencies before and beside a flood of clients."""
    quiet_ms = await measure_latencies(director, QUIET_REQUESTS, 0)
    host, port = director.address
    duration_s = WARM_UP_S + request_count * INTERVAL_S
    arguments = [form, host, str(port), str(peer_count), str(duration_s)]
    flood = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "benchmarks.hostile.flood", *arguments, stdout=asyncio.subprocess.DEVNULL
    )
    try:
        await asyncio.sleep(WARM_UP_S)
        beside_ms = await measure_latencies(director, request_count, QUIET_REQUESTS)
    finally:
        if flood.returncode is None:
            flood.terminate()
        await flood.wait()
    return Delays(quiet_ms, beside_ms)
