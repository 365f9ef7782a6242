"""One fault at each numbered point of a run, in virtual time: store, leases, members.

    python -m benchmarks.fault_points [--quick] [--table]

Without `--quick` every pass of every point; with it, twelve passes of each, spread over its run. `--table`
prints a row for each point. Each violation is a line; the last line sums up. Exit code 1 for a violation or a
point that no run reaches.
"""

from __future__ import annotations

import argparse
import sys

from gladewalk.faultpoints.points import CATALOGUE
from gladewalk.faultpoints.scenarios import SCENARIOS
from gladewalk.faultpoints.sweep import SweepReport, sweep

QUICK_PASSES_PER_POINT = 12


def format_table(report: SweepReport) -> str:
    """Returns a Markdown table with a row for each point."""
    rows = ["| point | injected faults | invariant |", "| --- | --- | --- |"]
    for point in CATALOGUE:
        kinds = ", ".join(kind.value for kind in point.kinds)
        faults = report.faults_by_point[point.name]
        rows.append(f"| `{point.name}` | {faults}: {kinds} | {point.invariant} |")
    return "\n".join(rows)


def main() -> int:
    """Runs the sweep of the command line; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--table", action="store_true")
    arguments = parser.parse_args()
    report = sweep(SCENARIOS, QUICK_PASSES_PER_POINT if arguments.quick else None)
    for violation in report.violations:
        print(violation.line())
    for name in report.unreached:
        print(f"never reached: {name}")
    if arguments.table:
        print(format_table(report))
    print(report.line())
    return 1 if report.violations or report.unreached else 0


if __name__ == "__main__":
    sys.exit(main())
