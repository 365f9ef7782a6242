"""Shared duties at sizes that sockets don't reach, in virtual time: takeovers, probes, messages.

    python -m benchmarks.duties_at_size [--sizes 16,64,256,1024] [--kills 5] [--plot FILE.png]

The director's own membership, ownership and runner, on a network in memory. There are three boxes for each
member, probed once a second. Printed are, over some kills, the time until a box that the killed one probed is
probed by its heir, the probes a box sees an interval, kills among them, what each member sends, and how old
the latest finding is that a member has of a box (median). The seed is the size. 1,024 members take some
minutes. `--plot` needs matplotlib.
"""

from __future__ import annotations

import argparse
import random
import sys
import time
from dataclasses import dataclass

from gladewalk.rehearsal.task_simulation import TaskNetwork, build_task_network

BOXES_EACH = 3
TAKEOVER_MOST_MS = 8_000.0


@dataclass(slots=True)
class Row:
    members: int
    takeovers: list[float]
    rates: list[float]
    bytes_s: float
    messages_s: float
    known_ms: list[float]
    spent_s: float

    def __str__(self) -> str:
        t, r = self.takeovers, self.rates
        return (
            f"{self.members:7}  {t[len(t) // 2]:10.0f}  {t[int(len(t) * 0.99)]:8.0f}  {t[-1]:8.0f}  "
            f"{r[0]:6.3f}  {sum(r) / len(r):6.3f}  {r[-1]:6.3f}  "
            f"{self.bytes_s:8.0f}  {self.messages_s:6.1f}  "
            f"{self.known_ms[len(self.known_ms) // 2]:7.0f}  {self.spent_s:5.0f}"
        )


def kill(net: TaskNetwork, name: str) -> list[float]:
    """How long each box that it probed waits for its heir, in ms."""
    owned = {box for box in net.servers if net.owners(box) == [name]}
    killed, seen = net.now, len(net.checks)
    net.kill(name)
    net.run(TAKEOVER_MOST_MS)
    first: dict[str, float] = {}
    for done in net.checks[seen:]:
        if done.server in owned:
            first.setdefault(done.server, done.at_ms - killed)
    return [first.get(box, float("inf")) for box in owned]


def measure(size: int, kills: int, settle_ms: float, met: bool) -> Row:
    began, draw = time.monotonic(), random.Random(size)
    net = build_task_network(size, size, servers=BOXES_EACH * size, settle_ms=settle_ms, have_met=met)
    started, sent, size_before = net.now, sum(net.sent.values()), sum(net.bytes.values())
    net.run(5_000.0)
    seconds = size * 5.0
    bytes_s = (sum(net.bytes.values()) - size_before) / seconds
    messages_s = (sum(net.sent.values()) - sent) / seconds
    boxes = draw.sample(net.servers, min(64, len(net.servers)))
    known = sorted(
        net.now - net.known_since_ms.get((name, box), started) for name in net.nodes for box in boxes
    )
    takeovers: list[float] = []
    for name in draw.sample(sorted(net.nodes), min(kills, size - 1)):
        net.run(draw.uniform(0.0, 1_000.0))
        takeovers += kill(net, name)
    spent = time.monotonic() - began
    return Row(size, sorted(takeovers), net.check_rates(started), bytes_s, messages_s, known, spent)


def main() -> int:
    parser = argparse.ArgumentParser(description="Shared duties in virtual time.")
    parser.add_argument("--sizes", default="4,16,64,256,1024")
    parser.add_argument("--kills", type=int, default=5)
    parser.add_argument("--settle", type=float, default=12.0, help="seconds that members have to meet")
    parser.add_argument("--join-most", type=int, default=256, help="larger fleets have met when it begins")
    parser.add_argument("--plot")
    given = parser.parse_args()
    print(
        "members  takeover ms p50     p99       max  "
        "probes: least, mean, most   bytes/s  msgs/s  known ms      s"
    )
    rows = []
    for size in map(int, given.sizes.split(",")):
        rows.append(measure(size, given.kills, given.settle * 1_000.0, size > given.join_most))
        print(rows[-1], flush=True)
    if given.plot:
        draw_plot(rows, given.plot)
    return 0


def draw_plot(rows: list[Row], path: str) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(9, 3.5))
    sizes = [row.members for row in rows]
    left.plot(sizes, [row.takeovers[len(row.takeovers) // 2] for row in rows], "o-", label="median")
    left.plot(sizes, [row.takeovers[-1] for row in rows], "s--", label="most")
    left.axhline(2_000.0, color="grey", linestyle=":")
    left.set(xscale="log", xlabel="members", ylabel="ms from a kill to the heir's probe", ylim=(0, None))
    left.legend()
    right.plot(sizes, [row.bytes_s for row in rows], "o-")
    right.set(xscale="log", xlabel="members", ylabel="bytes a second, each member", ylim=(0, None))
    figure.tight_layout()
    figure.savefig(path, dpi=110)


if __name__ == "__main__":
    sys.exit(main())
