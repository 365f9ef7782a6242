"""Writes that may not run twice, from clients that leave and from ids that come again."""

import asyncio

import pytest

from benchmarks.hostile.writes import play_write_twice


def test_a_write_whose_client_left_does_not_run_again_under_its_id() -> None:
    result = asyncio.run(play_write_twice(leaves_after_s=0.1))
    assert result.run_count == 1
    assert len(result.statuses) == 1 and result.statuses[0] not in (429, 503)


@pytest.mark.parametrize("is_whole_before", [True, False])
def test_a_write_on_two_connections_at_once_runs_once_and_both_get_a_final_answer(
    is_whole_before: bool,
) -> None:
    result = asyncio.run(play_write_twice(None, is_whole_before))
    assert result.run_count == 1
    assert len(result.statuses) == 2 and 200 in result.statuses
    assert not {429, 503} & set(result.statuses)
