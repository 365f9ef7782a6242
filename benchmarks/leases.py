"""The ledger of held answers at a million leases: memory, one answer, what expiry costs.

    python -m benchmarks.leases [--sizes 10000,100000,1000000]

Leases of 64 places, drawn from a seed, that end over five minutes as they were given. Printed are the bytes
each takes, the time of one answer (room and hold) at that size beside an empty ledger, and the longest time
that the end of one second took.
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


def fill(size: int, seed: int) -> tuple[DnsLeaseTable, float]:
    """So many leases, given evenly over the time of one."""
    draw, ledger, now = random.Random(seed), DnsLeaseTable(), START_MS
    for n in range(size):
        now = START_MS + LEASE_MS * 0.99 * n / size
        holder = f"192.0.2.{draw.randrange(256)}"
        ledger.grant(f"p{n % 64}", holder, (draw.getrandbits(52), 0), now + LEASE_MS, 0.02)
    return ledger, now


def answer_us(ledger: DnsLeaseTable, now: float, count: int = 20_000) -> float:
    """One answer: whether there is room, and the lease; in microseconds."""
    draw = random.Random(2)
    asked = [(f"p{draw.randrange(64)}", draw.getrandbits(52)) for _ in range(count)]
    began = time.perf_counter()
    for place, key in asked:
        if ledger.available_weight(place, "198.51.100.1", (key, 0), 1e9, now) >= 0.02:
            ledger.grant(place, "198.51.100.1", (key, 0), now + LEASE_MS, 0.02)
    return (time.perf_counter() - began) / count * 1e6


def main() -> int:
    parser = argparse.ArgumentParser(description="The ledger at size.")
    parser.add_argument("--sizes", default="10000,100000,1000000")
    given = parser.parse_args()
    print("   leases  bytes each  an answer us  (empty)  longest second ms  all, s")
    for size in map(int, given.sizes.split(",")):
        tracemalloc.start()
        ledger, now = fill(size, 1)
        each = tracemalloc.get_traced_memory()[0] / len(ledger)
        tracemalloc.stop()
        empty, full = answer_us(DnsLeaseTable(), now), answer_us(ledger, now)
        longest = spent = 0.0
        for second in range(700):
            began = time.perf_counter()
            ledger.total_weight("p0", 0.0, now + second * 1_000.0)
            took = time.perf_counter() - began
            longest, spent = max(longest, took), spent + took
        assert len(ledger) == 0
        print(
            f"{size:9}  {each:10.0f}  {full:12.2f}  {empty:7.2f}  {longest * 1e3:17.2f}  {spent:6.2f}",
            flush=True,
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
