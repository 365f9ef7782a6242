"""Purges that a director was told of outlast its kills, whichever way and in whichever order it was told."""

from __future__ import annotations

from pathlib import Path

import pytest

from gladewalk.core.clocks import read_wall_clock

from .runs import StoredRuns, purge_and_apply, purge_time, target, without_coordinator
from .support import async_test

KEY = 0xA1
SECOND_MS = 1_000.0
CLOCK_SLACK_MS = 50.0  # between the clocks of two runs


@async_test
async def test_a_purge_of_the_configuration_outlasts_a_kill(tmp_path: Path) -> None:
    # Guards against a purge that the configuration told, and that the next start, which counts anew, lacks.
    async with StoredRuns(tmp_path) as runs:
        coordinator = await runs.coordinator_with(target("c0"))
        purged_ms = read_wall_clock().unix_ms
        coordinator.publish(evict={"ref": f"{KEY:x}", "unix_ms": purged_ms})
        coordinator.publish(evict={"unix_ms": "unusable"})
        first = await runs.start(without_coordinator(runs.new_configuration(coordinator)))
        await runs.kill_when_stored(first)
        for _ in range(2):
            restarted, _ = await runs.start_anew(target("c0"))
            purged_at_ms = purge_time(restarted, KEY)
            assert purged_at_ms is not None and purged_at_ms >= purged_ms - CLOCK_SLACK_MS
            await runs.kill_when_stored(restarted)


@pytest.mark.parametrize("kills_before_the_older_purge", [0, 1])
@async_test
async def test_an_older_purge_of_an_object_that_is_told_later_does_not_replace_the_newer_one(
    tmp_path: Path, kills_before_the_older_purge: int
) -> None:
    # Guards against copies from between two purges that are accepted after a kill.
    async with StoredRuns(tmp_path) as runs:
        director, coordinator = await runs.start_anew(target("c0"))
        purged_ms = read_wall_clock().unix_ms
        await purge_and_apply(director, coordinator, ref=f"{KEY:x}", unix_ms=purged_ms)
        for _ in range(kills_before_the_older_purge):
            await runs.kill_when_stored(director)
            director, coordinator = await runs.start_anew(target("c0"))
        await purge_and_apply(director, coordinator, ref=f"{KEY:x}", unix_ms=purged_ms - 5.0 * SECOND_MS)
        await runs.kill_when_stored(director)
        restarted, _ = await runs.start_anew(target("c0"))
        purged_at_ms = purge_time(restarted, KEY)
        assert purged_at_ms is not None and purged_at_ms >= purged_ms - CLOCK_SLACK_MS
