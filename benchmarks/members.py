"""Membership of fleets too large for real sockets, in virtual time: detection, false suspicions, traffic.

    python -m benchmarks.members [--sizes 4,16,64,256] [--seeds 5] [--plot FILE.png]

One member of each fleet is killed at a random moment. For each size, it prints the times until the first and
until all of the others declared that member dead; suspicions and deaths of live members at 0, 10 and 30 %
loss, for each member and minute; and bytes and datagrams a second for each member. 1,024 members take some
minutes a seed. `--plot` needs matplotlib.
"""

from __future__ import annotations

import argparse
import random
import statistics
import sys
import time
from collections.abc import Iterable
from dataclasses import dataclass

from benchmarks.member_traffic import Traffic, count_simulated
from gladewalk.members.actions import MemberChange
from gladewalk.members.history import ObservedChange
from gladewalk.rehearsal.member_network import MemberNetwork, cluster

LOSS_RATES = (0.0, 0.1, 0.3)
SETTLE_MS = 8_000.0
QUIET_MS = 10_000.0
LOSSY_MS = 20_000.0
MAX_DETECTION_MS = 30_000.0  # a death that is detected later counts as this
SAME_INCIDENT_MS = 2_000.0  # observations of one member within such a span count once
MS_PER_MINUTE = 60_000.0


@dataclass(slots=True, frozen=True)
class Detection:
    """Times from a kill until the first and until all of the others declared the member dead."""

    first_ms: float
    all_ms: float


@dataclass(slots=True, frozen=True)
class FalseAlarms:
    """Suspicions and deaths of live members, for each member and minute."""

    suspicions: float
    deaths: float


@dataclass(slots=True, frozen=True)
class SizeResult:
    """Medians and means over the seeds of one fleet size."""

    members: int
    median_detection_ms: float
    bytes_per_second: float


def measure_traffic(network: MemberNetwork, duration_ms: float) -> Traffic:
    """Lets virtual time pass and measures the traffic of the members meanwhile."""
    before = count_simulated(network)
    network.run(duration_ms)
    return before.rate_until(count_simulated(network), len(network.nodes))


def measure_detection(network: MemberNetwork, rng: random.Random) -> Detection:
    """Kills a member at a random moment and waits until all others have declared it dead."""
    network.run(rng.uniform(0.0, 1_000.0))
    killed_ms = network.now_ms
    network.kill("m1")
    observers = len(network.nodes) - 1
    while len(deaths := network.changes(MemberChange.DIED, "m1", killed_ms)) < observers:
        if network.now_ms >= killed_ms + MAX_DETECTION_MS:
            break
        network.run(50.0)
    times_ms = [death.at_ms - killed_ms for death in deaths]
    first_ms = min(times_ms, default=MAX_DETECTION_MS)
    return Detection(first_ms, max(times_ms) if len(times_ms) == observers else MAX_DETECTION_MS)


def measure_false_alarms(size: int, seed: int, loss_rate: float) -> FalseAlarms:
    """Counts suspicions and deaths of members under loss while all members live."""
    network = cluster(size, seed)
    network.observed.clear()
    network.loss_rate = loss_rate
    network.run(LOSSY_MS)
    member_minutes = size * LOSSY_MS / MS_PER_MINUTE
    return FalseAlarms(
        count_incidents(network.changes(MemberChange.SUSPECTED)) / member_minutes,
        count_incidents(network.changes(MemberChange.DIED)) / member_minutes,
    )


def count_incidents(changes: Iterable[ObservedChange]) -> int:
    """Counts observations of members; those of one member at about the same time count once."""
    return len({(observed.member, observed.at_ms // SAME_INCIDENT_MS) for observed in changes})


def measure_size(size: int, seeds: int) -> SizeResult:
    """Measures and prints one fleet size."""
    started = time.time()
    loads, detections = [], []
    for seed in range(seeds):
        network = cluster(size, seed, settle_ms=SETTLE_MS)
        loads.append(measure_traffic(network, QUIET_MS))
        detections.append(measure_detection(network, random.Random(seed)))
    alarms = [measure_false_alarms(size, 1, loss_rate) for loss_rate in LOSS_RATES]
    first_ms = statistics.median(detection.first_ms for detection in detections)
    all_ms = [detection.all_ms for detection in detections]
    bytes_per_second = statistics.mean(load.bytes_per_second for load in loads)
    datagrams_per_second = statistics.mean(load.datagrams_per_second for load in loads)
    alarm_rates = "  ".join(f"{alarm.suspicions:.2f}, {alarm.deaths:.2f}" for alarm in alarms)
    print(
        f"{size:7}  {first_ms:8.0f}  {statistics.median(all_ms):10.0f}  {max(all_ms):10.0f}  "
        f"{bytes_per_second:7.0f}  {datagrams_per_second:11.1f}  {alarm_rates}  {time.time() - started:.0f}",
        flush=True,
    )
    return SizeResult(size, statistics.median(all_ms), bytes_per_second)


def plot_results(results: list[SizeResult], path: str) -> None:
    """Plots detection times and traffic over the fleet size."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(9, 3.5))
    sizes = [result.members for result in results]
    left.plot(sizes, [result.median_detection_ms for result in results], "o-")
    left.axhline(2_000.0, color="grey", linestyle=":")
    left.set(xscale="log", xlabel="members", ylabel="ms until all declare a dead one dead", ylim=(0, None))
    right.plot(sizes, [result.bytes_per_second for result in results], "o-")
    right.set(xscale="log", xlabel="members", ylabel="bytes a second, each member", ylim=(0, None))
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def main() -> int:
    """Runs the benchmark; returns the exit code."""
    parser = argparse.ArgumentParser(description="Membership in virtual time.")
    parser.add_argument("--sizes", default="4,16,64,256")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--plot")
    options = parser.parse_args()
    print(
        "members  first ms  all ms p50  all ms max  bytes/s  datagrams/s  "
        "wrongly suspected, dead a member-minute at 0 / 10 / 30 % loss  s"
    )
    results = [measure_size(int(size), options.seeds) for size in options.sizes.split(",")]
    if options.plot:
        plot_results(results, options.plot)
    return 0


if __name__ == "__main__":
    sys.exit(main())
