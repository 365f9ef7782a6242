"""The scenarios that the sweep plays, by part."""

from __future__ import annotations

from . import lease_scenario, membership_scenario, store_scenario
from .sweep import Scenario

SCENARIOS: tuple[tuple[str, Scenario], ...] = (
    ("store", store_scenario.play),
    ("leases", lease_scenario.play),
    ("members", membership_scenario.play),
)
