"""Formats the metrics of `GET /ops/stats`, one line `svc.NAME=VALUE` each, without I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ..core.outcome_counters import OUTCOME_PREFIX, Outcome, outcome_counter


@dataclass(slots=True, frozen=True)
class Gauges:
    """Metrics with their current value, unlike counters, which count since the start.

    Attributes:
        pending_requests: Requests accepted from clients that have no final answer yet.
        listed_servers: Servers on the endpoint list.
        unavailable_servers: Listed servers that are draining or in backoff after failures.
    """

    pending_requests: int
    listed_servers: int
    unavailable_servers: int


def format_metrics(counters: Mapping[str, int], class_names: Iterable[str], gauges: Gauges) -> bytes:
    """Formats every outcome of every class, then the other metrics, one line each.

    Args:
        counters: The counters `downstream_requests.CLASS.OUTCOME`, `attempts.written`, `reloads.done` and
            `reloads.refused`; an absent counter reads as 0.
        class_names: The configured classes. Classes that were removed are included if they were counted.
        gauges: The current gauges.

    Returns:
        The lines in ASCII; other characters in a class's name become `?`.
    """
    lines = [
        f"svc.{name}={counters.get(name, 0)}"
        for class_name in sorted({*class_names, *_counted_classes(counters)})
        for name in (outcome_counter(class_name, outcome) for outcome in Outcome)
    ]
    lines += [
        f"svc.upstream_requests={counters.get('attempts.written', 0)}",
        f"svc.pending={gauges.pending_requests}",
        f"svc.members={gauges.listed_servers}",
        f"svc.members_unavailable={gauges.unavailable_servers}",
        f"svc.config_reloads={counters.get('reloads.done', 0)}",
        f"svc.config_reload_errors={counters.get('reloads.refused', 0)}",
    ]
    return ("\n".join(lines) + "\n").encode("ascii", "replace")


def _counted_classes(counters: Iterable[str]) -> set[str]:
    """Returns the classes that have a counted outcome; a class's name may contain dots."""
    return {
        name[len(OUTCOME_PREFIX) : name.rindex(".")] for name in counters if name.startswith(OUTCOME_PREFIX)
    }
