"""The scenarios that the sweep plays, by part."""

from __future__ import annotations

from . import leaserun, membership_scenario, storerun
from .sweep import Scenario

SCENARIOS: tuple[tuple[str, Scenario], ...] = (
    ("store", storerun.play),
    ("leases", leaserun.play),
    ("members", membership_scenario.play),
)
