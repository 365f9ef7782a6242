"""The scenarios that the sweep runs, by part."""

from __future__ import annotations

from . import lease_scenario, membership_scenario, store_scenario
from .sweep import Scenario

SCENARIOS: tuple[tuple[str, Scenario], ...] = (
    ("store", store_scenario.run_scenario),
    ("leases", lease_scenario.run_scenario),
    ("members", membership_scenario.run_scenario),
)
