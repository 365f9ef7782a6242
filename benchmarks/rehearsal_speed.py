"""How fast rehearsals go in virtual time, and what they take: virtual seconds for each second of wall time.

    python -m benchmarks.rehearsal_speed [--sizes 3x17,30x200] [--seconds 10] [--per-director 20]

Each size is DIRECTORSxBOXES, with a hub for every four boxes; every director gets so many requests a second.
Each is played in a process of its own: its peak memory is that of the run.
"""

from __future__ import annotations

import argparse
import resource
import sys
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

from gladewalk.rehearsal.virtual.play import play, silence_logs
from gladewalk.rehearsal.virtual.scenario import FleetTable, Scenario, TrafficTable


def one(directors: int, boxes: int, seconds: float, per_director: float) -> tuple[float, int, int, float]:
    """Virtual seconds a second, requests, violations, MB at the most."""
    silence_logs()
    fleet = FleetTable(directors=directors, caches=boxes, parents=max(1, boxes // 4))
    traffic = TrafficTable(requests_per_s=per_director * directors, objects=50 * boxes)
    verdict = play(Scenario(duration_s=seconds, fleet=fleet, traffic=traffic), 1)
    most_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0
    return verdict.virtual_s / verdict.wall_s, len(verdict.history.requests), len(verdict.violations), most_mb


def main() -> int:
    parser = argparse.ArgumentParser(description="Rehearsals' speed.")
    parser.add_argument("--sizes", default="3x17,30x200")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--per-director", type=float, default=20.0)
    given = parser.parse_args()
    print("directors  boxes  virtual s a second  requests  violations  MB")
    for size in given.sizes.split(","):
        directors, boxes = map(int, size.split("x"))
        with ProcessPoolExecutor(1, mp_context=get_context("spawn")) as pool:
            speed, requests, broken, most_mb = pool.submit(
                one, directors, boxes, given.seconds, given.per_director
            ).result()
        row = f"{directors:9}  {boxes:5}  {speed:18.2f}  {requests:8}  {broken:10}  {most_mb:4.0f}"
        print(row, flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
