"""Replayed scenarios give the recorded actions on the simulator's wire, byte for byte."""

import hashlib
import json
from pathlib import Path

import pytest

from .policy_replay import VARIANTS, replay

GOLDEN = json.loads((Path(__file__).parent / "golden" / "policy_actions.json").read_text())
SEEDS = (1, 2)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("variant", sorted(VARIANTS))
def test_actions_equal_those_recorded(variant: str, seed: int) -> None:
    lines = replay(variant, seed)
    recorded = GOLDEN[f"{variant}-{seed}"]
    without_timers = [line for line in lines if '"op":"defer"' not in line]
    assert without_timers[: len(recorded["first"])] == recorded["first"]
    assert without_timers[-len(recorded["last"]) :] == recorded["last"]
    assert len(lines) == recorded["count"]
    assert hashlib.sha256("\n".join(lines).encode()).hexdigest() == recorded["sha256"]
