"""Membership at sizes that sockets don't reach, in virtual time: deaths found, wrong ones, traffic.

    python -m benchmarks.members [--sizes 4,16,64,256] [--seeds 5] [--plot FILE.png]

One member of each cluster is killed at a drawn moment. Printed are the times until the first and until all
of the others hold it dead, wrong suspicions and deaths at 0, 10 and 30 % loss for each member and minute,
and bytes and datagrams a second for each member. 1,024 members take some minutes a seed. `--plot` needs
matplotlib.
"""

from __future__ import annotations

import argparse
import random
import statistics
import sys
import time

from gladewalk.members.actions import MemberChange
from gladewalk.rehearsal.member_network import Net, cluster

LOSSES = (0.0, 0.1, 0.3)
QUIET_MS = 10_000.0
LOSSY_MS = 20_000.0


def traffic(net: Net, ms: float) -> tuple[float, float]:
    """Bytes and datagrams a second for each member."""
    before, sent = sum(net.bytes.values()), sum(net.sent.values())
    net.run(ms)
    count = len(net.nodes) * ms / 1_000.0
    return (sum(net.bytes.values()) - before) / count, (sum(net.sent.values()) - sent) / count


def death(net: Net, draw: random.Random) -> tuple[float, float]:
    """Until the first and until all others hold a killed member dead, in ms."""
    net.run(draw.uniform(0.0, 1_000.0))
    killed = net.now
    net.kill("m1")
    others = len(net.nodes) - 1
    while len(found := net.changes(MemberChange.DIED, "m1", killed)) < others and net.now < killed + 30_000.0:
        net.run(50.0)
    times = [seen.at_ms - killed for seen in found]
    return (min(times), max(times)) if len(times) == others else (min(times, default=30e3), 30e3)


def wrong(size: int, seed: int, loss: float) -> tuple[float, float]:
    """Suspicions and deaths of members that live, for each of them and each minute."""
    net = cluster(size, seed)
    net.seen.clear()
    net.loss = loss
    net.run(LOSSY_MS)
    minutes = size * LOSSY_MS / 60_000.0
    told = {(s.name, s.at_ms // 2_000.0) for s in net.changes(MemberChange.SUSPECTED)}
    dead = {(s.name, s.at_ms // 2_000.0) for s in net.changes(MemberChange.DIED)}
    return len(told) / minutes, len(dead) / minutes


def main() -> int:
    parser = argparse.ArgumentParser(description="Membership in virtual time.")
    parser.add_argument("--sizes", default="4,16,64,256")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--plot")
    given = parser.parse_args()
    rows = []
    print("members  first ms  all ms p50  all ms max  bytes/s  datagrams/s  "
          "wrongly suspected, dead a member-minute at 0 / 10 / 30 % loss  s")  # fmt: skip
    for size in map(int, given.sizes.split(",")):
        started, firsts, alls, loads = time.time(), [], [], []
        for seed in range(given.seeds):
            net = cluster(size, seed, settle_ms=8_000.0)
            loads.append(traffic(net, QUIET_MS))
            first, every = death(net, random.Random(seed))
            firsts.append(first)
            alls.append(every)
        rates = [wrong(size, 1, loss) for loss in LOSSES]
        shown = "  ".join(f"{s:.2f}, {d:.2f}" for s, d in rates)
        size_bytes = statistics.mean(load[0] for load in loads)
        datagrams = statistics.mean(load[1] for load in loads)
        print(f"{size:7}  {statistics.median(firsts):8.0f}  {statistics.median(alls):10.0f}  "
              f"{max(alls):10.0f}  {size_bytes:7.0f}  {datagrams:11.1f}  {shown}  "
              f"{time.time() - started:.0f}", flush=True)  # fmt: skip
        rows.append((size, statistics.median(alls), size_bytes))
    if given.plot:
        draw(rows, given.plot)
    return 0


def draw(rows: list[tuple[int, float, float]], path: str) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(9, 3.5))
    sizes = [row[0] for row in rows]
    left.plot(sizes, [row[1] for row in rows], "o-")
    left.axhline(2_000.0, color="grey", linestyle=":")
    left.set(xscale="log", xlabel="members", ylabel="ms until all hold a dead one dead", ylim=(0, None))
    right.plot(sizes, [row[2] for row in rows], "o-")
    right.set(xscale="log", xlabel="members", ylabel="bytes a second, each member", ylim=(0, None))
    figure.tight_layout()
    figure.savefig(path, dpi=110)


if __name__ == "__main__":
    sys.exit(main())
