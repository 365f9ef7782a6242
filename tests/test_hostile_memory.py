"""Memory of a director process with hundreds of hostile clients and with hostile servers."""

import asyncio

import pytest

from benchmarks.hostile.crowds import TARGET_FRACTION, play_crowd
from benchmarks.hostile.forms import ALL_CROWDS

CLIENTS = 480  # more than a third of 1,024 descriptors
LIMITS = {"platform": (192.0, 1_024), "half": (96.0, 512), "default": (64.0, 1_024), "wide": (96.0, 4_096)}


@pytest.mark.parametrize("limits", LIMITS)
@pytest.mark.parametrize("form", ALL_CROWDS)
def test_a_crowd_of_hostile_peers_does_not_take_a_process_over_its_memory(form: str, limits: str) -> None:
    memory_mb, descriptors = LIMITS[limits]
    result = asyncio.run(play_crowd(ALL_CROWDS[form], CLIENTS, memory_mb, descriptors))
    assert result.peak_mb <= TARGET_FRACTION * memory_mb
    assert result.serves_afterwards and not result.has_ended
