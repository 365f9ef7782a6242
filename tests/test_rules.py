"""Rules for final answers, drains, repeats, slow start, purges and writes, and the handling of failures."""

import random
from dataclasses import replace

import pytest

from gladewalk import interface as api
from gladewalk.limits.backoff import MAX_BACKOFF_MS
from gladewalk.registry.outcome_recorder import MIN_OUTAGE_MS

from .world import ALL_SERVERS, CACHES, ORIGIN, PAGE, PARENTS, SIBLINGS, DispatcherEnvironment, final_answers

OK, MISS, RESET, TIMEOUT = api.Status.OK, api.Status.MISS, api.Status.RESET, api.Status.TIMEOUT
KEYED = replace(
    PAGE,
    idempotency=api.Idempotency.KEYED,
    deduplication_scope=api.DeduplicationScope.CELL,
    deduplication_window_ms=1000.0,
)
NON_IDEMPOTENT_CLASS = replace(PAGE, idempotency=api.Idempotency.NON_IDEMPOTENT)


def test_a_timeout_at_the_deadline_fails_the_request_at_once() -> None:
    env = DispatcherEnvironment()
    (lookup,) = env.send_request(1, time_left_ms=500.0)
    assert final_answers(env.end_attempt(lookup, TIMEOUT, after_ms=500.0)) == [api.Fail(lookup.id)]


def test_without_any_server_a_request_is_rejected_at_once_with_retry_after() -> None:
    env = DispatcherEnvironment(())
    (rejection,) = env.send_request(1)
    assert isinstance(rejection, api.Reject) and rejection.retry_after_ms > 0


def test_a_queued_request_without_a_source_is_ended_in_time() -> None:
    env = DispatcherEnvironment(CACHES)  # no source at all
    (lookup,) = env.send_request(1, time_left_ms=300.0)
    seen = env.end_attempt(lookup, MISS)
    for _ in range(8):
        seen += env.sweep()
    assert len(final_answers(seen)) == 1 and not env.state.pending


def test_a_request_with_a_short_deadline_is_not_queued_past_it() -> None:
    env = DispatcherEnvironment(CACHES)
    (lookup,) = env.send_request(1, time_left_ms=40.0)
    assert len(final_answers(env.end_attempt(lookup, MISS))) == 1


def test_an_ended_request_causes_no_further_actions() -> None:
    env = DispatcherEnvironment()
    (lookup,) = env.send_request(1)
    env.end_attempt(lookup, OK, detail=api.OutcomeDetail.HIT)
    assert env.end_attempt(lookup, MISS) == []
    assert env.handle_event(api.ClientDisconnected(lookup.id)) == []


@pytest.mark.parametrize("state", [api.ServerState.DRAINING, api.ServerState.GONE])
def test_a_draining_or_removed_server_gets_no_requests_retries_or_fills(state: api.ServerState) -> None:
    env = DispatcherEnvironment((*CACHES, *SIBLINGS, PARENTS[0], ORIGIN))
    (lookup,) = env.send_request(1)
    env.state.locations[(1, 0)] = {"p1": 1e9, "s0": 1e9}
    env.update_endpoints(*(replace(s, state=state) for s in (*CACHES[:2], PARENTS[0], SIBLINGS[0])))
    (fetch,) = env.end_attempt(lookup, MISS)
    assert fetch.server == "c2" if isinstance(fetch, api.Lookup) else fetch.source not in ("p1", "s0")
    assert all(env.find_home(key) == "c2" for key in range(20))


def test_a_server_missing_from_a_complete_list_is_removed() -> None:
    env = DispatcherEnvironment()
    env.update_endpoints(*CACHES[1:], *PARENTS, ORIGIN, kind=api.EndpointListKind.COMPLETE)
    assert all(env.find_home(key) != "c0" for key in range(50))


def test_a_non_idempotent_request_that_may_have_run_is_neither_retried_nor_rejected() -> None:
    env = DispatcherEnvironment(classes=(NON_IDEMPOTENT_CLASS,))
    (lookup,) = env.send_request(1)
    assert env.end_attempt(lookup, RESET) == [api.Fail(lookup.id)]
    (lookup,) = env.send_request(2)
    assert isinstance(env.end_attempt(lookup, MISS)[0], api.Fetch)  # a miss proves that it has not run


def test_a_keyed_request_is_retried_only_in_its_cell_and_deduplication_window() -> None:
    cells = tuple(replace(s, cell=n % 2) for n, s in enumerate(CACHES))
    env = DispatcherEnvironment((*cells, *PARENTS, ORIGIN), classes=(KEYED,))
    cell = {s.name: s.cell for s in cells}
    for key in range(30):
        (first,) = env.send_request(key)
        (retry,) = env.end_attempt(first, api.Status.ERROR)
        if isinstance(retry, api.Lookup | api.Fetch):
            assert cell[retry.server] == cell[first.server] and retry.server != first.server
        else:
            assert isinstance(retry, api.Fail)
        env.servers[first.server].consecutive_failures = 0
        env.servers[first.server].backoff_until_ms = 0.0
        env.dispatcher.router._retries.budget.tokens = 5.0
    (first,) = env.send_request(77)
    assert env.end_attempt(first, api.Status.ERROR, after_ms=1500.0) == [api.Fail(first.id)]


def test_a_location_of_cold_caches_only_gets_an_absolute_budget() -> None:
    cold = tuple(replace(s, started_ms=99_000.0) for s in CACHES)
    env = DispatcherEnvironment((*cold, *PARENTS, ORIGIN))
    sent = 0.0
    for key in range(200):
        actions = env.send_request(key, after_ms=5.0)
        sent += sum(isinstance(a, api.Fetch | api.Lookup) for a in actions)
    # 3 caches of 8 transfers at a capacity fraction of 0.2 to 0.36, with an overload multiple of 3, for 1 s;
    # each request takes 400 ms.
    assert 0 < sent * 400.0 <= 3 * 8.0 * 0.36 * 3.0 * 1000.0


@pytest.mark.parametrize("senders", [1, 7, 60])
def test_many_senders_together_use_a_slow_start_budget_and_stay_within_it(senders: int) -> None:
    """One sender's share may be less than one request, but all together use the budget and don't exceed it.

    This holds also when some of the senders restart.
    """
    cold = replace(PARENTS[0], started_ms=100_000.0, capacity=40.0)
    counts = (0, 0, senders, 0)

    def create_environment(seed: int) -> DispatcherEnvironment:
        created = DispatcherEnvironment(
            (*CACHES, cold, ORIGIN), seed, dispatchers_by_zone=counts, overload_window_ms=3000.0
        )
        created.dispatcher.state.random = random.Random(seed)
        return created

    environments = [create_environment(seed) for seed in range(senders)]
    sent: list[float] = []
    for step in range(120):  # 6 s, in which the senders together want more than the budget
        if step == 40:  # a third of the senders restarts
            environments[: senders // 3] = [create_environment(100 + seed) for seed in range(senders // 3)]
        for number, sender in enumerate(environments):
            sender.clock_ms = 100_000.0 + 50.0 * step
            sender.dispatcher.state.now_ms = sender.clock_ms
            parent = sender.dispatcher.state.registry.servers["p1"]
            for _ in range(max(1, 8 // senders)):
                if (step + number) % 2 == 0 and sender.dispatcher.router._capacity.has_slow_start_budget(
                    parent
                ):
                    parent.slow_start_budget.withdraw(400.0)
                    sent.append(sender.clock_ms - 100_000.0)
    for start in range(0, 3001, 100):
        window = [at for at in sent if start <= at < start + 3000.0]
        capacity = 40.0 * (0.1 + 0.9 * (start + 1_500.0) / 20_000.0)  # mean over the window
        assert len(window) * 400.0 <= 2.0 * capacity * 3000.0 * 1.1
    assert len(sent) * 400.0 > 0.3 * 2.0 * 4.0 * 6000.0


def test_a_cold_parent_has_a_fill_budget_and_serves_only_its_own_hub() -> None:
    cold = tuple(replace(s, started_ms=99_000.0, capacity=10.0) for s in PARENTS)
    env = DispatcherEnvironment((*CACHES, *cold, ORIGIN))
    for s in env.servers.values():
        s.fill_quota = 50.0
    sources = [env.start_fill(key).source for key in range(20)]
    assert "p2" not in sources
    assert 0 < len([s for s in sources if s != "o"]) <= 2 * 10.0 * 0.15 * 2.0 * 1000.0 / 400.0


def test_after_a_purge_every_attempt_has_a_maximum_copy_age() -> None:
    env = DispatcherEnvironment()
    env.handle_event(api.Purge(1, 7, 100.0))
    (first,) = env.send_request(1, after_ms=900.0)
    assert isinstance(first, api.Fetch) and first.source == first.server and 0 < first.max_age_ms <= 1000.0
    (fill,) = env.end_attempt(first, MISS)
    assert 0 < fill.max_age_ms <= 1020.0
    (other,) = env.send_request(2)
    assert isinstance(other, api.Lookup)


def test_a_purge_of_a_group_limits_the_copy_age_of_its_objects_and_invalidates_locations() -> None:
    env = DispatcherEnvironment()
    request = env.send_request(1, group=7)[0]
    entry = env.state.pending[request.id]
    env.end_attempt(request, OK, detail=api.OutcomeDetail.HIT)
    assert env.dispatcher.router.candidates.holders(entry)
    env.handle_event(api.Purge(None, 7, 0.0), after_ms=1.0)
    assert not env.dispatcher.router.candidates.holders(entry)
    env.handle_event(api.Timer("nothing"), after_ms=50.0)
    fetch = env.send_request(3, group=7)[0]
    assert 0 < fetch.max_age_ms <= 51.0


def test_settled_purges_are_discarded() -> None:
    env = DispatcherEnvironment()
    for key in range(500):
        env.handle_event(api.Purge(key, 0, 10.0))
    env.sweep(8_000.0)
    assert isinstance(env.send_request(1)[0], api.Lookup)
    env.sweep(25_000.0)
    assert not env.state.purges


def test_requests_at_an_unresponsive_cache_are_hedged_at_other_caches() -> None:
    env = DispatcherEnvironment()
    home = env.send_request(1)[0].server
    keys = [
        key
        for key in range(60)
        if env.dispatcher.router.candidates._rank([env.servers[c] for c in ("c0", "c1", "c2")], (key, 0))[
            0
        ].info.name
        == home
    ][:3]
    for key in keys:
        env.send_request(key)
    seen: list[object] = []
    for _ in range(60):
        seen += env.sweep()
    hedges = [a for a in seen if isinstance(a, api.Lookup | api.Fetch)]
    assert len(hedges) >= 3 and all(a.server != home for a in hedges[:3])


def test_after_a_connection_reset_a_request_is_retried_once_at_its_home_and_then_elsewhere() -> None:
    env = DispatcherEnvironment()
    (first,) = env.send_request(1)
    (again,) = env.end_attempt(first, api.Status.RESET)
    assert again.server == first.server  # it still has the object
    (other,) = env.end_attempt(again, api.Status.RESET, 1)
    assert other.server != first.server


def test_connection_resets_eject_no_server_that_has_responded_recently() -> None:
    env = DispatcherEnvironment((*CACHES[:1], ORIGIN))
    server = env.servers["c0"]
    for after_ms, usable in ((0.0, True), (10 * MIN_OUTAGE_MS, False)):
        (hit,) = env.send_request(1)
        env.end_attempt(hit, OK, detail=api.OutcomeDetail.HIT)
        env.clock_ms += after_ms
        for key in (2, 3):
            (sent,) = env.send_request(key)
            env.dispatcher.handle(env.clock_ms, api.Outcome(sent.id, 0, "c0", api.Status.RESET, 1.0, True))
        assert env.health.is_usable(server) is usable


def test_a_trial_whose_client_disconnected_is_followed_by_another() -> None:
    env = DispatcherEnvironment((*CACHES[:1], ORIGIN))
    (sent,) = env.send_request(1)
    env.servers["c0"].last_response_ms = env.clock_ms
    env.end_attempt(sent, api.Status.CONNECT_FAILED)
    (trial,) = env.send_request(2, after_ms=MAX_BACKOFF_MS)
    env.handle_event(api.ClientDisconnected(trial.id))
    env.end_attempt(trial, api.Status.CANCELLED, is_answered=True)
    (again,) = env.send_request(3)
    assert again.server == trial.server == "c0"
    assert env.send_request(4) == []  # only one trial at a time


def test_a_failed_server_gets_one_trial_request_after_its_backoff() -> None:
    env = DispatcherEnvironment((*CACHES[:1], ORIGIN))
    (lookup,) = env.send_request(1)
    env.servers["c0"].last_response_ms = env.clock_ms
    env.end_attempt(lookup, api.Status.CONNECT_FAILED)
    assert env.health.is_usable(env.servers["c0"]) is False
    env.clock_ms += 5_000.0
    (trial,) = env.send_request(2)
    assert trial.server == "c0"
    assert env.send_request(3) == []  # waits for the trial's outcome
    assert [
        a.server
        for a in env.end_attempt(trial, OK, detail=api.OutcomeDetail.HIT)
        if isinstance(a, api.Lookup)
    ] == ["c0"]


def test_a_failed_source_is_not_used_again_for_the_same_request() -> None:
    env = DispatcherEnvironment()
    fetch = env.start_fill(1)
    (again,) = env.end_attempt(fetch, api.Status.REJECTED, 1, detail=api.OutcomeDetail.SOURCE_FAILED)
    assert again.server == fetch.server and again.source != fetch.source


def test_every_status_of_an_attempt_ends_or_continues_the_request() -> None:
    for status in api.Status:
        env = DispatcherEnvironment()
        (lookup,) = env.send_request(1)
        actions = env.end_attempt(lookup, status)
        assert status is OK or actions, status
        assert status is not OK or not env.state.pending


def test_a_write_runs_at_the_origin_and_is_not_cached() -> None:
    env = DispatcherEnvironment(classes=(replace(PAGE, is_write=True),))
    (fetch,) = env.send_request(1)
    assert (fetch.source, fetch.cache_rank) == ("o", 0)


def test_without_a_ready_cache_a_request_goes_to_a_parent_if_that_is_allowed() -> None:
    env = DispatcherEnvironment((*PARENTS, ORIGIN), may_bypass_caches=True)
    (fetch,) = env.send_request(1)
    assert fetch.server in ("p1", "p1b")


def test_retries_are_limited_by_a_budget() -> None:
    env = DispatcherEnvironment()
    tries = 0
    for key in range(60):
        (lookup,) = env.send_request(key)
        for s in env.servers.values():
            s.consecutive_failures, s.backoff_until_ms = 0, 0.0
        again = env.end_attempt(lookup, api.Status.REJECTED)
        tries += sum(isinstance(a, api.Lookup | api.Fetch) for a in again)
    assert 10 <= tries <= 25


def test_the_endpoint_watch_is_started_again_after_a_failure() -> None:
    env = DispatcherEnvironment(watches_endpoints=True)
    env.update_endpoints(kind=api.EndpointListKind.FAILED)
    assert env.handle_event(api.Timer("watch")) == [api.Watch(True)]
    assert len(env.servers) == len(ALL_SERVERS)
