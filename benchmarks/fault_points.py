"""One fault at each numbered point of a run, in virtual time: store, leases, members.

    python -m benchmarks.fault_points [--quick] [--table]

Without `--quick` every pass of every point; with it, twelve passes of each, spread over its run. `--table`
prints a row for each point. What is broken is told a line each; the last line sums up.
"""

from __future__ import annotations

import argparse
import sys

from gladewalk.faultpoints.points import CATALOGUE
from gladewalk.faultpoints.scenarios import SCENARIOS
from gladewalk.faultpoints.sweep import Swept, sweep

QUICK = 12


def table(swept: Swept) -> str:
    rows = ["| point | faults put to it | what held |", "| --- | --- | --- |"]
    for point in CATALOGUE:
        kinds = ", ".join(kind.value for kind in point.kinds)
        rows.append(f"| `{point.name}` | {swept.by_point[point.name]}: {kinds} | {point.proves} |")
    return "\n".join(rows)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--table", action="store_true")
    options = parser.parse_args()
    swept = sweep(SCENARIOS, QUICK if options.quick else None)
    for broken in swept.broken:
        print(broken.line())
    for name in swept.unreached:
        print(f"never reached: {name}")
    if options.table:
        print(table(swept))
    print(swept.line())
    return 1 if swept.broken or swept.unreached else 0


if __name__ == "__main__":
    sys.exit(main())
