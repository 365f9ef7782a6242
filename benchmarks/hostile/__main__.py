"""Draws hostile peers from a seed and plays them against a real director process.

    python -m benchmarks.hostile [--seeds 50] [--first 1] [--jobs 2] [--quick] [--broken NAME]

Each seed plays a crowd under drawn limits, a flood by clients, a write that is sent twice, and a server whose
address another one takes. The last line is `forms=N over_memory=N slow=N twice=N wrong_life=N crashes=N`, and
the exit code is 1 unless all but the first are zero. `--broken` plays a director without one of its limits.
"""

from __future__ import annotations

import argparse
import asyncio
import concurrent.futures
import random
import sys
from collections import Counter

from gladewalk.rehearsal.scripted_servers import ReceivedRequest, ScriptedServer

from .broken_director import BROKEN
from .crowds import TARGET_FRACTION, play_crowd
from .delays import TARGET_MS, measure_flood
from .flood import FLOODS
from .forms import ALL_CROWDS
from .process import director_under_limits
from .writes import play_write_twice

RULES = ("over_memory", "slow", "twice", "wrong_life", "crashes")
LIMITS = ((192.0, 1_024), (96.0, 512), (64.0, 1_024))
CLIENTS = 480
FLOOD_REQUESTS = 30
QUICK_SEEDS = 6
REQUESTS_AFTER_TAKEOVER = 10


async def play_takeover(broken: str = "") -> int:
    """Lists another server at the address of one; returns how many requests still went out for the former."""
    sources: list[str] = []

    async def respond(request: ReceivedRequest) -> None:
        sources.append(request.headers.get("miss-to", ""))
        await request.respond(404 if "miss-to" not in request.headers else 200, b"x")

    cache = ScriptedServer(respond, uid="c0", capacity=64.0)
    parent = ScriptedServer(respond, uid="p-old", model="parent", zone="north", capacity=64.0)
    async with director_under_limits([cache, parent], 192.0, 1_024, broken=broken) as director:
        successor = ScriptedServer(respond, uid="p-new", model="parent", zone="north", capacity=64.0)
        successor.address = parent.address
        director.coordinator.publish_endpoints(successor)
        await asyncio.sleep(0.5)
        sources.clear()
        for number in range(REQUESTS_AFTER_TAKEOVER):
            await director.request(f"/invoke/lot-page/{number + 1:x}?nth=0", trace=f"{number:016x}")
    return sources.count("p-old")


async def _respond(request: ReceivedRequest) -> None:
    await request.respond(200, b"x" * 1_000)


async def play_seed(seed: int, broken: str = "") -> Counter[str]:
    """Plays what a seed draws; returns the number of forms and of broken rules."""
    rng = random.Random(seed)
    found: Counter[str] = Counter(forms=4)
    memory_mb, descriptors = rng.choice(LIMITS)
    name = list(ALL_CROWDS)[seed % len(ALL_CROWDS)]
    crowd = await play_crowd(ALL_CROWDS[name], CLIENTS, memory_mb, descriptors, broken)
    found["over_memory"] += crowd.peak_mb > TARGET_FRACTION * memory_mb
    found["crashes"] += crowd.has_ended and not crowd.was_over_limit
    form, peer_count = list(FLOODS)[seed % len(FLOODS)], rng.choice(list(TARGET_MS))
    async with director_under_limits([ScriptedServer(_respond)], 192.0, 1_024, broken=broken) as director:
        delays = await measure_flood(director, form, peer_count, FLOOD_REQUESTS)
        found["slow"] += delays.rise_ms() > TARGET_MS[peer_count]
        found["crashes"] += director.has_ended
    write = await play_write_twice(rng.choice((None, 0.1, 0.2)), rng.random() < 0.5, broken)
    found["twice"] += write.run_count > 1
    found["wrong_life"] += await play_takeover(broken) > 0
    if any(found[rule] for rule in RULES):
        print(f"seed {seed}: {name} at {memory_mb:g} MB, {form} by {peer_count}: {dict(found)}", flush=True)
    return found


def run_seed(seed: int, broken: str = "") -> Counter[str]:
    """Plays a seed in an event loop of its own."""
    return asyncio.run(play_seed(seed, broken))


def main() -> int:
    """Plays the seeds of the command line."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.hostile")
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--quick", action="store_true", help=f"{QUICK_SEEDS} seeds")
    parser.add_argument("--broken", default="", choices=["", *BROKEN])
    options = parser.parse_args()
    count = QUICK_SEEDS if options.quick else options.seeds
    seeds = range(options.first, options.first + count)
    total: Counter[str] = Counter()
    with concurrent.futures.ProcessPoolExecutor(options.jobs) as pool:
        for found in pool.map(run_seed, seeds, [options.broken] * count):
            total.update(found)
    print(" ".join(f"{name}={total[name]}" for name in ("forms", *RULES)))
    return 1 if any(total[rule] for rule in RULES) else 0


if __name__ == "__main__":
    sys.exit(main())
