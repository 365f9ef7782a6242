"""Renders the metrics of `GET /ops/stats`, one line `svc.NAME=VALUE` each, from counters alone."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ..core.outcome_counters import OUTCOME_PREFIX, Outcome, outcome_counter


@dataclass(slots=True, frozen=True)
class Gauges:
    """Figures that hold at the moment of a call, in place of since the start.

    Attributes:
        pending_requests: Requests accepted from clients and not answered yet.
        listed_caches: Caches on the endpoint list.
        unavailable_caches: Those of them that are draining or that the dispatcher avoids for the moment.
    """

    pending_requests: int
    listed_caches: int
    unavailable_caches: int


def format_metrics(counters: Mapping[str, int], class_names: Iterable[str], gauges: Gauges) -> bytes:
    """Renders every outcome of every class, then the other metrics, one line each.

    Args:
        counters: Holds `downstream_requests.CLASS.OUTCOME`, `attempts.written`, `reloads.done` and
            `reloads.refused`; a counter that is absent reads as 0.
        class_names: The classes in use. A class that is not but was counted is rendered as well.
        gauges: What holds now.

    Returns:
        The lines in ASCII; a character of a class's name outside it becomes `?`.
    """
    lines = [
        f"svc.{name}={counters.get(name, 0)}"
        for class_name in sorted({*class_names, *_counted_classes(counters)})
        for name in (outcome_counter(class_name, outcome) for outcome in Outcome)
    ]
    lines += [
        f"svc.upstream_requests={counters.get('attempts.written', 0)}",
        f"svc.pending={gauges.pending_requests}",
        f"svc.members={gauges.listed_caches}",
        f"svc.members_unavailable={gauges.unavailable_caches}",
        f"svc.config_reloads={counters.get('reloads.done', 0)}",
        f"svc.config_reload_errors={counters.get('reloads.refused', 0)}",
    ]
    return ("\n".join(lines) + "\n").encode("ascii", "replace")


def _counted_classes(counters: Iterable[str]) -> set[str]:
    """Returns the classes that any outcome was counted of; a class's name may contain dots."""
    return {
        name[len(OUTCOME_PREFIX) : name.rindex(".")] for name in counters if name.startswith(OUTCOME_PREFIX)
    }
