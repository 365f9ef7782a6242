"""Shared tasks of fleets too large for real sockets, in virtual time: takeovers, health checks, messages.

    python -m benchmarks.duties_at_size [--sizes 16,64,256,1024] [--kills 5] [--plot FILE.png]

It runs the real membership, task ownership and task runner on a network in memory. There are three servers
for each member, checked once a second. Some members are killed. For each size, it prints the time until a
server is checked by its new owner after a kill, the checks per server and interval over the whole time, the
traffic of each member, and the median age of the latest check result that a member knows of a server. The
seed is the size. 1,024 members take some minutes. `--plot` needs matplotlib.
"""

from __future__ import annotations

import argparse
import random
import sys
import time
from dataclasses import dataclass

from gladewalk.rehearsal.task_simulation import TaskNetwork, build_task_network

SERVERS_PER_MEMBER = 3
MAX_TAKEOVER_MS = 8_000.0
QUIET_MS = 5_000.0
MAX_SAMPLED_SERVERS = 64


@dataclass(slots=True)
class Row:
    """The measurements of one size."""

    members: int
    takeovers: list[float]
    rates: list[float]
    bytes_per_second: float  # of each member
    messages_per_second: float
    finding_ages_ms: list[float]
    elapsed_seconds: float

    def __str__(self) -> str:
        takeovers, rates, ages = self.takeovers, self.rates, self.finding_ages_ms
        return (
            f"{self.members:7}  {takeovers[len(takeovers) // 2]:10.0f}  "
            f"{takeovers[int(len(takeovers) * 0.99)]:8.0f}  {takeovers[-1]:8.0f}  "
            f"{rates[0]:6.3f}  {sum(rates) / len(rates):6.3f}  {rates[-1]:6.3f}  "
            f"{self.bytes_per_second:8.0f}  {self.messages_per_second:6.1f}  "
            f"{ages[len(ages) // 2]:7.0f}  {self.elapsed_seconds:5.0f}"
        )


def kill(network: TaskNetwork, name: str) -> list[float]:
    """Kills a member; returns the ms until the new owner checks each server that it checked."""
    owned = {server for server in network.servers if network.owners(server) == [name]}
    killed_ms, earlier_count = network.now_ms, len(network.checks)
    network.kill(name)
    network.run(MAX_TAKEOVER_MS)
    waits_ms: dict[str, float] = {}
    for check in network.checks[earlier_count:]:
        if check.server in owned:
            waits_ms.setdefault(check.server, check.at_ms - killed_ms)
    return [waits_ms.get(server, float("inf")) for server in owned]


def measure(size: int, kills: int, settle_ms: float, have_met: bool) -> Row:
    """Runs one size: first undisturbed, then with kills of random members."""
    started, rng = time.monotonic(), random.Random(size)
    network = build_task_network(
        size, size, servers=SERVERS_PER_MEMBER * size, settle_ms=settle_ms, starts_introduced=have_met
    )
    started_ms = network.now_ms
    messages_before, bytes_before = sum(network.sent_datagrams.values()), sum(network.sent_bytes.values())
    network.run(QUIET_MS)
    member_seconds = size * QUIET_MS / 1_000.0
    bytes_per_second = (sum(network.sent_bytes.values()) - bytes_before) / member_seconds
    messages_per_second = (sum(network.sent_datagrams.values()) - messages_before) / member_seconds
    servers = rng.sample(network.servers, min(MAX_SAMPLED_SERVERS, len(network.servers)))
    ages_ms = sorted(
        network.now_ms - network.known_since_ms.get((name, server), started_ms)
        for name in network.nodes
        for server in servers
    )
    takeovers: list[float] = []
    for name in rng.sample(sorted(network.nodes), min(kills, size - 1)):
        network.run(rng.uniform(0.0, 1_000.0))
        takeovers += kill(network, name)
    return Row(
        size,
        sorted(takeovers),
        network.check_rates(started_ms),
        bytes_per_second,
        messages_per_second,
        ages_ms,
        time.monotonic() - started,
    )


def main() -> int:
    """Prints one line for each size, and draws the plot if `--plot` is given."""
    parser = argparse.ArgumentParser(description="Shared tasks in virtual time.")
    parser.add_argument("--sizes", default="4,16,64,256,1024")
    parser.add_argument("--kills", type=int, default=5)
    parser.add_argument("--settle", type=float, default=12.0, help="seconds that members have to meet")
    parser.add_argument("--join-most", type=int, default=256, help="larger fleets have met when it begins")
    parser.add_argument("--plot")
    arguments = parser.parse_args()
    print(
        "members  takeover ms p50     p99       max  "
        "probes: least, mean, most   bytes/s  msgs/s  known ms      s"
    )
    rows = []
    for size in map(int, arguments.sizes.split(",")):
        rows.append(measure(size, arguments.kills, arguments.settle * 1_000.0, size > arguments.join_most))
        print(rows[-1], flush=True)
    if arguments.plot:
        draw_plot(rows, arguments.plot)
    return 0


def draw_plot(rows: list[Row], path: str) -> None:
    """Plots takeovers and bytes over the sizes."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(9, 3.5))
    sizes = [row.members for row in rows]
    left.plot(sizes, [row.takeovers[len(row.takeovers) // 2] for row in rows], "o-", label="median")
    left.plot(sizes, [row.takeovers[-1] for row in rows], "s--", label="most")
    left.axhline(2_000.0, color="grey", linestyle=":")
    left.set(xscale="log", xlabel="members", ylabel="ms from a kill to the new owner's probe", ylim=(0, None))
    left.legend()
    right.plot(sizes, [row.bytes_per_second for row in rows], "o-")
    right.set(xscale="log", xlabel="members", ylabel="bytes a second, each member", ylim=(0, None))
    figure.tight_layout()
    figure.savefig(path, dpi=110)


if __name__ == "__main__":
    sys.exit(main())
