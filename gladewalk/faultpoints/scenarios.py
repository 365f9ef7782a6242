"""The scenarios that the sweep plays, by part."""

from __future__ import annotations

from . import leaserun, memberrun, store_scenario
from .sweep import Scenario

SCENARIOS: tuple[tuple[str, Scenario], ...] = (
    ("store", store_scenario.play),
    ("leases", leaserun.play),
    ("members", memberrun.play),
)
