"""Cost of the DNS lease table at a million leases: memory, one answer, expiry.

    python -m benchmarks.leases [--sizes 10000,100000,1000000]

Leases of 64 places, generated from a seed, expire over five minutes in the order they were granted. For each
size, it prints the bytes of a lease, the time for one DNS answer (available capacity and a new lease) with
the full table and with an empty one, and the longest time that the expiry of one second's leases took.
"""

from __future__ import annotations

import argparse
import random
import sys
import time
import tracemalloc

from gladewalk.registry.dns_leases import DnsLeaseTable

LEASE_MS = 300_000.0
START_MS = 1.7e12
PLACE_COUNT = 64
OBJECT_BITS = 52
WEIGHT = 0.02
BOUND = 1e9  # of the weight of a place: never reached
ANSWER_COUNT = 20_000
EXPIRY_SECONDS = 700


def fill(size: int, seed: int) -> tuple[DnsLeaseTable, float]:
    """Returns a table with `size` leases, granted evenly over one lease duration, and the time at its end."""
    rng, table, now_ms = random.Random(seed), DnsLeaseTable(), START_MS
    for number in range(size):
        now_ms = START_MS + LEASE_MS * 0.99 * number / size
        resolver = f"192.0.2.{rng.randrange(256)}"
        key = (rng.getrandbits(OBJECT_BITS), 0)
        table.grant(f"p{number % PLACE_COUNT}", resolver, key, now_ms + LEASE_MS, WEIGHT)
    return table, now_ms


def time_answer_us(table: DnsLeaseTable, now_ms: float) -> float:
    """Returns the mean time for one DNS answer in microseconds: the available capacity and the lease."""
    rng = random.Random(2)
    questions = [
        (f"p{rng.randrange(PLACE_COUNT)}", rng.getrandbits(OBJECT_BITS)) for _ in range(ANSWER_COUNT)
    ]
    began = time.perf_counter()
    for place, key in questions:
        if table.available_weight(place, "198.51.100.1", (key, 0), BOUND, now_ms) >= WEIGHT:
            table.grant(place, "198.51.100.1", (key, 0), now_ms + LEASE_MS, WEIGHT)
    return (time.perf_counter() - began) / ANSWER_COUNT * 1e6


def time_expiry_seconds(table: DnsLeaseTable, now_ms: float) -> tuple[float, float]:
    """Expires every lease, second by second; returns the longest and the total time in seconds."""
    longest = total = 0.0
    for second in range(EXPIRY_SECONDS):
        began = time.perf_counter()
        table.total_weight("p0", 0.0, now_ms + second * 1_000.0)
        elapsed = time.perf_counter() - began
        longest, total = max(longest, elapsed), total + elapsed
    assert len(table) == 0
    return longest, total


def main() -> int:
    """Prints one line for each size."""
    parser = argparse.ArgumentParser(description="The DNS lease table at size.")
    parser.add_argument("--sizes", default="10000,100000,1000000")
    arguments = parser.parse_args()
    print("   leases  bytes each  an answer us  (empty)  longest second ms  all, s")
    for size in map(int, arguments.sizes.split(",")):
        tracemalloc.start()
        table, now_ms = fill(size, 1)
        each_bytes = tracemalloc.get_traced_memory()[0] / len(table)
        tracemalloc.stop()
        empty_us, full_us = time_answer_us(DnsLeaseTable(), now_ms), time_answer_us(table, now_ms)
        longest, total = time_expiry_seconds(table, now_ms)
        print(
            f"{size:9}  {each_bytes:10.0f}  {full_us:12.2f}  {empty_us:7.2f}  "
            f"{longest * 1e3:17.2f}  {total:6.2f}",
            flush=True,
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
