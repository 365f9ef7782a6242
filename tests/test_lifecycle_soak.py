"""A few seeds of the stops, upgrades and restarts that `python -m benchmarks.lifecycle` plays in numbers."""

import pytest

from benchmarks.lifecycle.restarts import run_restarts
from benchmarks.lifecycle.stops import run_stop
from benchmarks.lifecycle.upgrades import run_upgrade


@pytest.mark.parametrize("seed", [1, 2, 3, 7, 8, 10])
def test_a_stop_with_signals_in_series_answers_every_request(seed: int) -> None:
    """Guards against requests that a stop forgets where reloads, hanging servers and crowds coincide."""
    answered, violations = run_stop(seed)
    assert answered > 0
    assert violations == []


@pytest.mark.parametrize("seed", [6, 9])
def test_an_upgrade_does_not_push_a_cold_cache_over(seed: int) -> None:
    """Guards against two processes that together pass a cold cache's budget, whoever gets the requests."""
    statuses, worst_ratio = run_upgrade(seed)
    assert statuses[200] > 0
    assert worst_ratio <= 1.0


@pytest.mark.parametrize("seed", [3, 5, 10, 14, 16])
def test_kills_with_a_store_leave_no_list_purge_or_number_of_another_count_in_force(seed: int) -> None:
    """Guards against state of a run before that replaces the list of a start, or that is lost by a kill."""
    observed = run_restarts(seed)
    assert observed.requests > 0
    assert observed.violations == []
