"""The five rules, and what is done when things fail."""

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
UNSAFE = replace(PAGE, idempotency=api.Idempotency.NON_IDEMPOTENT)


def test_a_timeout_at_the_deadline_gets_its_final_answer_at_once() -> None:
    world = DispatcherEnvironment()
    (lookup,) = world.send_request(1, left_ms=500.0)
    assert final_answers(world.end_attempt(lookup, TIMEOUT, after_ms=500.0)) == [api.Fail(lookup.id)]


def test_no_server_at_all_is_refused_at_once_with_advice() -> None:
    world = DispatcherEnvironment(())
    (refusal,) = world.send_request(1)
    assert isinstance(refusal, api.Reject) and refusal.retry_after_ms > 0


def test_a_waiting_fill_is_given_up_in_time() -> None:
    world = DispatcherEnvironment(CACHES)  # no source at all
    (lookup,) = world.send_request(1, left_ms=300.0)
    seen = world.end_attempt(lookup, MISS)
    for _ in range(8):
        seen += world.sweep()
    assert len(final_answers(seen)) == 1 and not world.state.pending


def test_a_short_try_is_not_left_waiting_past_its_deadline() -> None:
    world = DispatcherEnvironment(CACHES)
    (lookup,) = world.send_request(1, left_ms=40.0)
    assert len(final_answers(world.end_attempt(lookup, MISS))) == 1


def test_a_finished_request_gets_nothing_more() -> None:
    world = DispatcherEnvironment()
    (lookup,) = world.send_request(1)
    world.end_attempt(lookup, OK, detail=api.OutcomeDetail.HIT)
    assert world.end_attempt(lookup, MISS) == []
    assert world.handle_event(api.ClientDisconnected(lookup.id)) == []


@pytest.mark.parametrize("state", [api.ServerState.DRAINING, api.ServerState.GONE])
def test_a_drain_binds_for_requests_retries_and_sources(state: api.ServerState) -> None:
    world = DispatcherEnvironment((*CACHES, *SIBLINGS, PARENTS[0], ORIGIN))
    (lookup,) = world.send_request(1)
    world.state.locations[(1, 0)] = {"p1": 1e9, "s0": 1e9}
    world.update_endpoints(*(replace(s, state=state) for s in (*CACHES[:2], PARENTS[0], SIBLINGS[0])))
    (fetch,) = world.end_attempt(lookup, MISS)
    assert fetch.server == "c2" if isinstance(fetch, api.Lookup) else fetch.source not in ("p1", "s0")
    assert all(world.find_home(key) == "c2" for key in range(20))


def test_a_server_missing_from_a_whole_list_is_gone() -> None:
    world = DispatcherEnvironment()
    world.update_endpoints(*CACHES[1:], *PARENTS, ORIGIN, kind=api.EndpointListKind.COMPLETE)
    assert all(world.find_home(key) != "c0" for key in range(50))


def test_an_unsafe_request_that_may_have_run_is_not_sent_or_refused_again() -> None:
    world = DispatcherEnvironment(classes=(UNSAFE,))
    (lookup,) = world.send_request(1)
    assert world.end_attempt(lookup, RESET) == [api.Fail(lookup.id)]
    (lookup,) = world.send_request(2)
    assert isinstance(world.end_attempt(lookup, MISS)[0], api.Fetch)  # a miss proves that it never ran


def test_a_keyed_request_stays_in_its_group_and_window() -> None:
    cells = tuple(replace(s, cell=n % 2) for n, s in enumerate(CACHES))
    world = DispatcherEnvironment((*cells, *PARENTS, ORIGIN), classes=(KEYED,))
    cell = {s.name: s.cell for s in cells}
    for key in range(30):
        (first,) = world.send_request(key)
        (then,) = world.end_attempt(first, api.Status.ERROR)
        if isinstance(then, api.Lookup | api.Fetch):
            assert cell[then.server] == cell[first.server] and then.server != first.server
        else:
            assert isinstance(then, api.Fail)
        world.servers[first.server].consecutive_failures = 0
        world.servers[first.server].backoff_until_ms = 0.0
        world.dispatcher.router._retries.budget.tokens = 5.0
    (first,) = world.send_request(77)
    assert world.end_attempt(first, api.Status.ERROR, after_ms=1500.0) == [api.Fail(first.id)]


def test_a_location_that_is_all_cold_gets_an_absolute_budget() -> None:
    cold = tuple(replace(s, started_ms=99_000.0) for s in CACHES)
    world = DispatcherEnvironment((*cold, *PARENTS, ORIGIN))
    sent = 0.0
    for key in range(200):
        actions = world.send_request(key, after_ms=5.0)
        sent += sum(isinstance(a, api.Fetch | api.Lookup) for a in actions)
    # 3 caches of 8 transfers at a share of 0.2 to 0.36, three times that over 1 s; work is 400 ms a request
    assert 0 < sent * 400.0 <= 3 * 8.0 * 0.36 * 3.0 * 1000.0


@pytest.mark.parametrize("senders", [1, 7, 60])
def test_a_cold_budget_is_kept_by_the_sum_of_many_senders_and_not_left_unused(senders: int) -> None:
    """Parts of under one request each: neither nobody sends nor everybody at once, restarts included."""
    cold = replace(PARENTS[0], started_ms=100_000.0, capacity=40.0)
    counts = (0, 0, senders, 0)

    def world(seed: int) -> DispatcherEnvironment:
        made = DispatcherEnvironment(
            (*CACHES, cold, ORIGIN), seed, dispatchers_by_zone=counts, overload_window_ms=3000.0
        )
        made.dispatcher.state.random = random.Random(seed)
        return made

    worlds = [world(seed) for seed in range(senders)]
    sent: list[float] = []
    for step in range(120):  # 6 s, all wanting more than the budget
        if step == 40:  # a part of them restarts
            worlds[: senders // 3] = [world(100 + seed) for seed in range(senders // 3)]
        for number, one in enumerate(worlds):
            one.clock_ms = 100_000.0 + 50.0 * step
            one.dispatcher.state.now_ms = one.clock_ms
            parent = one.dispatcher.state.registry.servers["p1"]
            for _ in range(max(1, 8 // senders)):
                if (step + number) % 2 == 0 and one.dispatcher.router._capacity.has_slow_start_budget(parent):
                    parent.slow_start_budget.withdraw(400.0)
                    sent.append(one.clock_ms - 100_000.0)
    for start in range(0, 3001, 100):
        window = [at for at in sent if start <= at < start + 3000.0]
        capacity = 40.0 * (0.1 + 0.9 * (start + 1_500.0) / 20_000.0)  # its mean over the window
        assert len(window) * 400.0 <= 2.0 * capacity * 3000.0 * 1.1
    assert len(sent) * 400.0 > 0.3 * 2.0 * 4.0 * 6000.0


def test_a_cold_parent_counts_fills_and_is_left_to_its_own_hub() -> None:
    cold = tuple(replace(s, started_ms=99_000.0, capacity=10.0) for s in PARENTS)
    world = DispatcherEnvironment((*CACHES, *cold, ORIGIN))
    for s in world.servers.values():
        s.fill_quota = 50.0
    sources = [world.start_fill(key).source for key in range(20)]
    assert "p2" not in sources
    assert 0 < len([s for s in sources if s != "o"]) <= 2 * 10.0 * 0.15 * 2.0 * 1000.0 / 400.0


def test_after_a_purge_every_attempt_carries_an_age_bound() -> None:
    world = DispatcherEnvironment()
    world.handle_event(api.Purge(1, 7, 100.0))
    (first,) = world.send_request(1, after_ms=900.0)
    assert isinstance(first, api.Fetch) and first.source == first.server and 0 < first.max_age_ms <= 1000.0
    (fill,) = world.end_attempt(first, MISS)
    assert 0 < fill.max_age_ms <= 1020.0
    (other,) = world.send_request(2)
    assert isinstance(other, api.Lookup)


def test_a_purged_group_binds_all_its_objects_and_drops_memories() -> None:
    world = DispatcherEnvironment()
    request = world.send_request(1, group=7)[0]
    entry = world.state.pending[request.id]
    world.end_attempt(request, OK, detail=api.OutcomeDetail.HIT)
    assert world.dispatcher.router.candidates.holders(entry)
    world.handle_event(api.Purge(None, 7, 0.0), after_ms=1.0)
    assert not world.dispatcher.router.candidates.holders(entry)
    world.handle_event(api.Timer("nothing"), after_ms=50.0)
    fetch = world.send_request(3, group=7)[0]
    assert 0 < fetch.max_age_ms <= 51.0


def test_settled_purges_are_forgotten() -> None:
    world = DispatcherEnvironment()
    for key in range(500):
        world.handle_event(api.Purge(key, 0, 10.0))
    world.sweep(8_000.0)
    assert isinstance(world.send_request(1)[0], api.Lookup)
    world.sweep(25_000.0)
    assert not world.state.purges


def test_a_silent_cache_is_left_and_its_work_copied_elsewhere() -> None:
    world = DispatcherEnvironment()
    home = world.send_request(1)[0].server
    keys = [
        key
        for key in range(60)
        if world.dispatcher.router.candidates._rank([world.servers[c] for c in ("c0", "c1", "c2")], (key, 0))[
            0
        ].info.name
        == home
    ][:3]
    for key in keys:
        world.send_request(key)
    seen: list[object] = []
    for _ in range(60):
        seen += world.sweep()
    copies = [a for a in seen if isinstance(a, api.Lookup | api.Fetch)]
    assert len(copies) >= 3 and all(a.server != home for a in copies[:3])


def test_a_lost_answer_is_asked_of_its_home_once_more_and_then_elsewhere() -> None:
    world = DispatcherEnvironment()
    (first,) = world.send_request(1)
    (again,) = world.end_attempt(first, api.Status.RESET)
    assert again.server == first.server  # it holds the object still
    (other,) = world.end_attempt(again, api.Status.RESET, 1)
    assert other.server != first.server


def test_resets_rest_no_server_that_was_heard_lately() -> None:
    world = DispatcherEnvironment((*CACHES[:1], ORIGIN))
    server = world.servers["c0"]
    for after_ms, usable in ((0.0, True), (10 * MIN_OUTAGE_MS, False)):
        (held,) = world.send_request(1)
        world.end_attempt(held, OK, detail=api.OutcomeDetail.HIT)
        world.clock_ms += after_ms
        for key in (2, 3):
            (sent,) = world.send_request(key)
            world.dispatcher.handle(
                world.clock_ms, api.Outcome(sent.id, 0, "c0", api.Status.RESET, 1.0, True)
            )
        assert world.health.is_usable(server) is usable


def test_a_trial_whose_client_left_is_followed_by_another() -> None:
    world = DispatcherEnvironment((*CACHES[:1], ORIGIN))
    (sent,) = world.send_request(1)
    world.servers["c0"].last_response_ms = world.clock_ms
    world.end_attempt(sent, api.Status.CONNECT_FAILED)
    (trial,) = world.send_request(2, after_ms=MAX_BACKOFF_MS)
    world.handle_event(api.ClientDisconnected(trial.id))
    world.end_attempt(trial, api.Status.CANCELLED, is_answered=True)
    (again,) = world.send_request(3)
    assert again.server == trial.server == "c0"
    assert world.send_request(4) == []  # still one at a time


def test_a_server_that_failed_comes_back_with_one_trial() -> None:
    world = DispatcherEnvironment((*CACHES[:1], ORIGIN))
    (lookup,) = world.send_request(1)
    world.servers["c0"].last_response_ms = world.clock_ms
    world.end_attempt(lookup, api.Status.CONNECT_FAILED)
    assert world.health.is_usable(world.servers["c0"]) is False
    world.clock_ms += 5_000.0
    (trial,) = world.send_request(2)
    assert trial.server == "c0"
    assert world.send_request(3) == []  # waits for the trial
    assert [
        a.server
        for a in world.end_attempt(trial, OK, detail=api.OutcomeDetail.HIT)
        if isinstance(a, api.Lookup)
    ] == ["c0"]


def test_a_failed_source_is_not_named_again_for_the_request() -> None:
    world = DispatcherEnvironment()
    fetch = world.start_fill(1)
    (again,) = world.end_attempt(fetch, api.Status.REJECTED, 1, detail=api.OutcomeDetail.SOURCE_FAILED)
    assert again.server == fetch.server and again.source != fetch.source


def test_every_status_of_an_attempt_ends_or_moves_the_request() -> None:
    for status in api.Status:
        world = DispatcherEnvironment()
        (lookup,) = world.send_request(1)
        actions = world.end_attempt(lookup, status)
        assert status is OK or actions, status
        assert status is not OK or not world.state.pending


def test_a_write_runs_at_the_origin_and_is_not_kept() -> None:
    world = DispatcherEnvironment(classes=(replace(PAGE, is_write=True),))
    (fetch,) = world.send_request(1)
    assert (fetch.source, fetch.cache_rank) == ("o", 0)


def test_no_ready_cache_goes_straight_to_a_parent_where_that_is_allowed() -> None:
    world = DispatcherEnvironment((*PARENTS, ORIGIN), may_bypass_caches=True)
    (fetch,) = world.send_request(1)
    assert fetch.server in ("p1", "p1b")


def test_retries_have_a_budget() -> None:
    world = DispatcherEnvironment()
    tries = 0
    for key in range(60):
        (lookup,) = world.send_request(key)
        for s in world.servers.values():
            s.consecutive_failures, s.backoff_until_ms = 0, 0.0
        again = world.end_attempt(lookup, api.Status.REJECTED)
        tries += sum(isinstance(a, api.Lookup | api.Fetch) for a in again)
    assert 10 <= tries <= 25


def test_a_list_that_must_be_asked_for_is_asked_for_again_after_a_failure() -> None:
    world = DispatcherEnvironment(watches_endpoints=True)
    world.update_endpoints(kind=api.EndpointListKind.FAILED)
    assert world.handle_event(api.Timer("watch")) == [api.Watch(True)]
    assert len(world.servers) == len(ALL_SERVERS)
