"""Behaviour towards servers that are overloaded, slow, ejected, or back after an outage."""

from dataclasses import replace

import pytest

from gladewalk import interface as api

from .world import CACHES, ORIGIN, PAGE, PARENTS, DispatcherEnvironment, final_answers

OK, MISS, RESET, TIMEOUT = api.Status.OK, api.Status.MISS, api.Status.RESET, api.Status.TIMEOUT


def test_a_request_for_an_overloaded_home_is_rejected_and_not_moved() -> None:
    """The next cache of the order mostly lacks the object: moving requests turned overload into misses."""
    env = DispatcherEnvironment(CACHES, hedging=False)
    env.state.estimates.mean_ms_by_class["page"] = 400.0  # even three times as long meets the objective
    seen = [env.send_request(1)[0] for _ in range(80)]
    sent = [a.server for a in seen if isinstance(a, api.Lookup)]
    assert len(set(sent)) == 1 and 4 < len(sent) <= 8 * 3
    assert isinstance(seen[-1], api.Reject) and seen[-1].retry_after_ms > 0


def test_requests_beyond_a_cold_homes_budget_go_to_the_next_cache() -> None:
    cold = tuple(replace(s, started_ms=99_999.0) for s in CACHES[:1])
    env = DispatcherEnvironment((*cold, *CACHES[1:], *PARENTS, ORIGIN))
    for s in env.servers.values():
        s.fill_quota = 50.0
    actions = [a for key in range(60) for a in env.send_request(key, after_ms=5.0)]
    hosts = [a.server for a in actions if isinstance(a, api.Lookup | api.Fetch)]
    assert 0 < hosts.count("c0") < 10 and {"c1", "c2"} <= set(hosts)


def test_fills_wait_while_the_inbound_link_is_overloaded() -> None:
    links = (0.0, 0.0, 20_000.0, 0.0)  # four transfers at a client rate of 5,000 KB/s
    env = DispatcherEnvironment(inbound_link_kb_per_s=links, client_rate_kb_per_s=5_000.0, hedging=False)
    for s in env.servers.values():
        s.fill_quota = 50.0
    fills = []
    for key in range(30):
        (lookup,) = env.send_request(key)
        fills += env.end_attempt(lookup, MISS)
    assert 4 <= len(fills) <= 4 * 3
    assert env.state.inbound_fills == len(fills)
    freed = env.end_attempt(fills[0], OK, 1, detail=api.OutcomeDetail.FILLED)
    assert [a.source for a in freed if isinstance(a, api.Fetch)]


def test_a_request_bypasses_overloaded_caches_if_that_is_allowed() -> None:
    env = DispatcherEnvironment((*CACHES[:1], *PARENTS, ORIGIN), may_bypass_caches=True)
    first = [env.send_request(1)[0] for _ in range(40)]
    direct_hosts = [a.server for a in first if isinstance(a, api.Fetch) and a.server != "c0"]
    assert direct_hosts[0] in ("p1", "p1b")
    without_bypass = DispatcherEnvironment((*CACHES[:1], *PARENTS, ORIGIN))
    assert all(not isinstance(without_bypass.send_request(1)[0], api.Fetch) for _ in range(40))


def test_a_stale_copy_is_accepted_when_no_fill_can_complete_in_time() -> None:
    stale_class = replace(
        PAGE, freshness_lifetime_ms=8_000.0, stale_grace_ms=30_000.0, stale_priority_weight=0.5
    )
    env = DispatcherEnvironment(CACHES, classes=(stale_class,))
    env.handle_event(api.Purge(2, 0, 100.0))
    (lookup,) = env.send_request(1)
    assert env.end_attempt(lookup, MISS) == []
    (stale,) = env.sweep(500.0)
    assert (stale.source, stale.max_age_ms) == (stale.server, 38_000.0)
    assert final_answers(env.end_attempt(stale, MISS, 1) + env.sweep()) != []
    (purged,) = env.send_request(2)
    env.end_attempt(purged, MISS)
    (bound,) = env.sweep(500.0)
    assert bound.max_age_ms < 2_000.0  # the copy must not be from before the purge


def test_one_slow_transfer_at_a_low_request_rate_ejects_no_server() -> None:
    """With few requests there are long times without a response: that must not count as a failure."""
    env = DispatcherEnvironment()
    (slow,) = env.send_request(1)
    for _ in range(40):  # 2 s
        assert env.sweep() == []
    assert env.health.is_usable(env.servers[slow.server])


def test_a_queued_fill_does_not_block_those_behind_it() -> None:
    env = DispatcherEnvironment((*CACHES, *PARENTS[:2], ORIGIN))
    fills = [env.start_fill(key) for key in range(4)]
    first, second = (env.send_request(key)[0] for key in (50, 51))
    assert env.end_attempt(first, MISS) == [] and env.end_attempt(second, MISS) == []
    env.state.pending[first.id].failed_sources += ["p1", "p1b", "o"]  # every source that can get free
    (next_fill,) = env.end_attempt(fills[0], OK, 1, detail=api.OutcomeDetail.FILLED)
    assert next_fill.id == second.id


def send_overload(env: DispatcherEnvironment) -> list[object]:
    env.state.estimates.mean_ms_by_class["page"] = 400.0
    return [env.send_request(key)[0] for key in range(60)]


def test_a_fresh_report_of_spare_capacity_overrides_the_local_count() -> None:
    """Fills that wait for a slow origin don't use the cache's link, but are included in the attempt count."""
    env = DispatcherEnvironment(CACHES[:1], may_cancel=False)
    lookups = [a for a in send_overload(env) if isinstance(a, api.Lookup)]
    env.end_attempt(lookups[0], OK, detail=api.OutcomeDetail.HIT, load_report={"util": 0.3})
    assert all(isinstance(a, api.Lookup) for a in send_overload(env))
    env.clock_ms += 5_000.0
    assert isinstance(env.send_request(99)[0], api.Reject)


@pytest.mark.parametrize("value", [-1.0, float("nan"), float("inf"), "0.1", None, 0.97])
def test_a_load_report_that_is_invalid_or_shows_no_spare_capacity_overrides_nothing(value: object) -> None:
    env = DispatcherEnvironment(CACHES[:1], may_cancel=False)
    lookups = [a for a in send_overload(env) if isinstance(a, api.Lookup)]
    env.end_attempt(lookups[0], OK, detail=api.OutcomeDetail.HIT, load_report={"util": value, "x9": 1.0})
    assert isinstance(send_overload(env)[-1], api.Reject)


def test_a_cache_far_slower_than_its_neighbours_gets_a_lower_weight() -> None:
    """A cache that becomes slower gets a lower weight before requests fail; a restart resets the weight."""
    env = DispatcherEnvironment()
    for key in range(300):
        (sent,) = env.send_request(key)
        slow = 12.0 if sent.server == "c0" else 1.0
        env.end_attempt(sent, OK, detail=api.OutcomeDetail.HIT, after_ms=50.0 * slow)
    env.sweep()
    assert env.servers["c0"].weight < 0.5
    assert env.servers["c1"].weight == env.servers["c2"].weight == 1.0
    env.update_endpoints(replace(CACHES[0], started_ms=1.0))
    assert env.servers["c0"].weight == 1.0


def test_connection_resets_do_not_eject_most_of_a_location() -> None:
    """If connections are reset but the caches work, ejecting most of them would cost more than the resets."""
    env = DispatcherEnvironment()
    for s in env.own_caches:
        env.health.record_failure(s, is_unreachable=False)
    assert all(env.health.is_usable(s) for s in env.own_caches)
    for _ in range(3):
        for s in env.own_caches:
            env.health.record_failure(s, is_unreachable=False)
    assert sum(env.health.is_usable(s) for s in env.own_caches) == 2
    for s in env.own_caches:
        env.health.record_failure(s, is_unreachable=True)  # an unreachable server is ejected in any case
    assert not any(env.health.is_usable(s) for s in env.own_caches)


def test_a_request_sent_directly_to_a_parent_names_the_origin_so_that_the_parent_can_fill_a_miss() -> None:
    """A parent that is named as its own source responds only from its cache."""
    env = DispatcherEnvironment((*PARENTS, ORIGIN), may_bypass_caches=True)
    (fetch,) = env.send_request(1)
    assert fetch.server in ("p1", "p1b") and fetch.source == "o"


def test_a_hot_object_of_an_overloaded_home_goes_to_the_second_cache_of_its_rendezvous_order() -> None:
    """A location normally has one copy; an object that overloads its home by itself may have a second one."""
    env = DispatcherEnvironment(CACHES, may_cancel=False)
    env.state.estimates.mean_ms_by_class["page"] = 400.0
    home = env.find_home(1)
    env.state.estimates.by_object.clear()
    env.state.estimates.mean_ms_by_class["page"] = 400.0
    hosts = [a.server for _ in range(60) for a in env.send_request(1) if isinstance(a, api.Lookup)]
    assert hosts[0] == home and len(set(hosts)) == 2


def test_an_overloaded_homes_object_is_not_moved_if_it_is_neither_hot_nor_cached_elsewhere() -> None:
    env = DispatcherEnvironment(CACHES, may_cancel=False)
    env.state.estimates.mean_ms_by_class["page"] = 400.0
    hosts = [a.server for _ in range(60) for a in env.send_request(1) if isinstance(a, api.Lookup)]
    assert len(set(hosts)) == 1


def test_while_the_origin_is_in_backoff_parents_serve_only_cached_objects() -> None:
    """Further requests keep a stopped origin down; failures that parents report start its backoff too."""
    env = DispatcherEnvironment()
    for key in range(2):
        fetch = env.start_fill(key)
        assert not fetch.cached_only
        env.end_attempt(fetch, api.Status.REJECTED, 1, detail=api.OutcomeDetail.ORIGIN_FAILED)
    assert env.start_fill(50).cached_only
    assert env.health.is_usable(env.servers[fetch.source])  # the parent itself works
    env.clock_ms += 5_000.0
    after = env.start_fill(51)
    assert not after.cached_only
    env.end_attempt(after, OK, 1, detail=api.OutcomeDetail.FILLED_BY_ORIGIN)
    assert env.servers["o"].backoff_until_ms == 0.0


def test_a_parent_that_returns_from_an_outage_counts_as_cold_before_the_list_reports_it() -> None:
    """Parents that restarted without a change of the endpoint list were overloaded by all dispatchers."""
    env = DispatcherEnvironment((*CACHES, PARENTS[0], ORIGIN))
    parent = env.servers["p1"]
    env.end_attempt(env.start_fill(1), OK, 1, detail=api.OutcomeDetail.FILLED)
    env.clock_ms += 1_500.0
    env.end_attempt(env.start_fill(2), api.Status.REJECTED, 1, detail=api.OutcomeDetail.SOURCE_FAILED)
    assert not env.health.is_usable(parent)  # unreachable: ejected at once
    assert env.state.is_warming_up(parent) and not env.dispatcher.router._capacity.has_slow_start_budget(
        parent
    )
    env.sweep(20_000.0)
    assert not env.state.is_warming_up(parent)


def test_stale_copies_are_accepted_at_once_while_the_origin_is_in_backoff() -> None:
    """During the backoff no fill completes in time, and further fills would keep a stopped origin down."""
    stale_class = replace(
        PAGE, freshness_lifetime_ms=8_000.0, stale_grace_ms=30_000.0, stale_priority_weight=0.5
    )
    env = DispatcherEnvironment(classes=(stale_class,))
    for key in range(2):
        assert isinstance(env.send_request(key + 20)[0], api.Lookup)  # fresh copies only
        env.end_attempt(env.start_fill(key), api.Status.REJECTED, 1, detail=api.OutcomeDetail.ORIGIN_FAILED)
    (stale,) = env.send_request(100)
    assert (stale.source, stale.max_age_ms) == (stale.server, 38_000.0)


def test_a_fill_ended_by_the_sojourn_limit_is_rejected_at_once_and_is_no_failure_of_its_source() -> None:
    env = DispatcherEnvironment()
    env.dispatcher.router._sojourn.late_fraction = 1.0
    fill = env.start_fill(1)
    assert fill.timeout_ms > 0
    before = env.servers[fill.source].consecutive_failures
    (final,) = env.end_attempt(fill, TIMEOUT, 1, after_ms=fill.timeout_ms)
    assert isinstance(final, api.Reject) and final.id == fill.id
    source = env.servers[fill.source]
    assert source.consecutive_failures == before and source.backoff_until_ms == 0.0
    assert source.fill_quota == 1.0
    env.dispatcher.router._sojourn.late_fraction = 0.0
    assert env.start_fill(2).timeout_ms == 0.0
