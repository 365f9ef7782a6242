"""What is done when servers are crowded, slow or resting, or come back."""

from dataclasses import replace

import pytest

from gladewalk import interface as api

from .world import CACHES, ORIGIN, PAGE, PARENTS, DispatcherEnvironment, final_answers

OK, MISS, RESET, TIMEOUT = api.Status.OK, api.Status.MISS, api.Status.RESET, api.Status.TIMEOUT


def test_a_request_of_a_crowded_home_is_refused_not_moved() -> None:
    """The next cache of the hash mostly lacks the object: moving there turned overload into misses."""
    world = DispatcherEnvironment(CACHES, hedging=False)
    world.state.estimates.mean_ms_by_class["page"] = 400.0  # three times it still meets the objective
    seen = [world.send_request(1)[0] for _ in range(80)]
    sent = [a.server for a in seen if isinstance(a, api.Lookup)]
    assert len(set(sent)) == 1 and 4 < len(sent) <= 8 * 3
    assert isinstance(seen[-1], api.Reject) and seen[-1].retry_after_ms > 0


def test_a_cold_home_without_room_passes_to_the_next_cache() -> None:
    cold = tuple(replace(s, started_ms=99_999.0) for s in CACHES[:1])
    world = DispatcherEnvironment((*cold, *CACHES[1:], *PARENTS, ORIGIN))
    for s in world.servers.values():
        s.fill_quota = 50.0
    asked = [a for key in range(60) for a in world.send_request(key, after_ms=5.0)]
    hosts = [a.server for a in asked if isinstance(a, api.Lookup | api.Fetch)]
    assert 0 < hosts.count("c0") < 10 and {"c1", "c2"} <= set(hosts)


def test_fills_wait_when_the_link_in_is_crowded() -> None:
    links = (0.0, 0.0, 20_000.0, 0.0)  # four transfers at a client's pace of 5,000 KB a second
    world = DispatcherEnvironment(inbound_link_kb_per_s=links, client_rate_kb_per_s=5_000.0, hedging=False)
    for s in world.servers.values():
        s.fill_quota = 50.0
    fills = []
    for key in range(30):
        (lookup,) = world.send_request(key)
        fills += world.end_attempt(lookup, MISS)
    assert 4 <= len(fills) <= 4 * 3
    assert world.state.inbound_fills == len(fills)
    freed = world.end_attempt(fills[0], OK, 1, detail=api.OutcomeDetail.FILLED)
    assert [a.source for a in freed if isinstance(a, api.Fetch)]


def test_a_request_passes_crowded_caches_by_where_that_is_allowed() -> None:
    world = DispatcherEnvironment((*CACHES[:1], *PARENTS, ORIGIN), may_bypass_caches=True)
    first = [world.send_request(1)[0] for _ in range(40)]
    straight = [a.server for a in first if isinstance(a, api.Fetch) and a.server != "c0"]
    assert straight[0] in ("p1", "p1b")
    closed = DispatcherEnvironment((*CACHES[:1], *PARENTS, ORIGIN))
    assert all(not isinstance(closed.send_request(1)[0], api.Fetch) for _ in range(40))


def test_a_copy_in_its_grace_is_asked_for_when_no_fill_can_come_in_time() -> None:
    aged = replace(PAGE, freshness_lifetime_ms=8_000.0, stale_grace_ms=30_000.0, stale_priority_weight=0.5)
    world = DispatcherEnvironment(CACHES, classes=(aged,))
    world.handle_event(api.Purge(2, 0, 100.0))
    (lookup,) = world.send_request(1)
    assert world.end_attempt(lookup, MISS) == []
    (stale,) = world.sweep(500.0)
    assert (stale.source, stale.max_age_ms) == (stale.server, 38_000.0)
    assert final_answers(world.end_attempt(stale, MISS, 1) + world.sweep()) != []
    (purged,) = world.send_request(2)
    world.end_attempt(purged, MISS)
    (bound,) = world.sweep(500.0)
    assert bound.max_age_ms < 2_000.0  # never older than the purge


def test_one_slow_transfer_at_thin_rates_is_no_silence() -> None:
    """A dispatcher that sees few requests hears from a cache now and then: that is no sign of its death."""
    world = DispatcherEnvironment()
    (slow,) = world.send_request(1)
    for _ in range(40):  # 2 s
        assert world.sweep() == []
    assert world.health.is_usable(world.servers[slow.server])


def test_a_waiting_fill_does_not_hold_up_those_behind_it() -> None:
    world = DispatcherEnvironment((*CACHES, *PARENTS[:2], ORIGIN))
    fills = [world.start_fill(key) for key in range(4)]
    first, second = (world.send_request(key)[0] for key in (50, 51))
    assert world.end_attempt(first, MISS) == [] and world.end_attempt(second, MISS) == []
    world.state.pending[first.id].failed_sources += ["p1", "p1b", "o"]  # all that frees
    (freed,) = world.end_attempt(fills[0], OK, 1, detail=api.OutcomeDetail.FILLED)
    assert freed.id == second.id


def crowd(world: DispatcherEnvironment) -> list[object]:
    world.state.estimates.mean_ms_by_class["page"] = 400.0
    return [world.send_request(key)[0] for key in range(60)]


def test_a_report_of_room_overrules_the_own_count_while_it_is_fresh() -> None:
    """Fills that wait for a slow origin use no link, but stand in our own count of attempts."""
    world = DispatcherEnvironment(CACHES[:1], may_cancel=False)
    held = [a for a in crowd(world) if isinstance(a, api.Lookup)]
    world.end_attempt(held[0], OK, detail=api.OutcomeDetail.HIT, load_report={"util": 0.3})
    assert all(isinstance(a, api.Lookup) for a in crowd(world))
    world.clock_ms += 5_000.0
    assert isinstance(world.send_request(99)[0], api.Reject)


@pytest.mark.parametrize("value", [-1.0, float("nan"), float("inf"), "0.1", None, 0.97])
def test_a_report_that_is_unsound_or_full_overrules_nothing(value: object) -> None:
    world = DispatcherEnvironment(CACHES[:1], may_cancel=False)
    held = [a for a in crowd(world) if isinstance(a, api.Lookup)]
    world.end_attempt(held[0], OK, detail=api.OutcomeDetail.HIT, load_report={"util": value, "x9": 1.0})
    assert isinstance(crowd(world)[-1], api.Reject)


def test_a_cache_far_slower_than_its_neighbours_draws_fewer_objects() -> None:
    """Ageing: a cache that grows slower loses weight before it costs answers, and gets it back."""
    world = DispatcherEnvironment()
    for key in range(300):
        (sent,) = world.send_request(key)
        slow = 12.0 if sent.server == "c0" else 1.0
        world.end_attempt(sent, OK, detail=api.OutcomeDetail.HIT, after_ms=50.0 * slow)
    world.sweep()
    assert world.servers["c0"].weight < 0.5
    assert world.servers["c1"].weight == world.servers["c2"].weight == 1.0
    world.update_endpoints(replace(CACHES[0], started_ms=1.0))
    assert world.servers["c0"].weight == 1.0


def test_lost_answers_do_not_rest_most_of_a_location() -> None:
    """Answers reset on the way while the caches work: a rest of most of them would cost more."""
    world = DispatcherEnvironment()
    for s in world.own_caches:
        world.health.record_failure(s, is_unreachable=False)
    assert all(world.health.is_usable(s) for s in world.own_caches)
    for _ in range(3):
        for s in world.own_caches:
            world.health.record_failure(s, is_unreachable=False)
    assert sum(world.health.is_usable(s) for s in world.own_caches) == 2
    for s in world.own_caches:
        world.health.record_failure(s, is_unreachable=True)  # out of reach is proof
    assert not any(world.health.is_usable(s) for s in world.own_caches)


def test_a_request_straight_to_a_parent_names_the_origin_so_that_the_parent_fetches_what_it_lacks() -> None:
    """A parent that is named as its own source gives only what it holds."""
    world = DispatcherEnvironment((*PARENTS, ORIGIN), may_bypass_caches=True)
    (fetch,) = world.send_request(1)
    assert fetch.server in ("p1", "p1b") and fetch.source == "o"


def test_a_hot_object_of_a_crowded_home_goes_to_the_second_cache_of_the_hash() -> None:
    """One copy a location is the ordinary path; an object that alone crowds its home may have a second."""
    world = DispatcherEnvironment(CACHES, may_cancel=False)
    world.state.estimates.mean_ms_by_class["page"] = 400.0
    home = world.find_home(1)
    world.state.estimates.by_object.clear()
    world.state.estimates.mean_ms_by_class["page"] = 400.0
    hosts = [a.server for _ in range(60) for a in world.send_request(1) if isinstance(a, api.Lookup)]
    assert hosts[0] == home and len(set(hosts)) == 2


def test_a_crowded_home_s_object_is_not_moved_when_it_is_neither_hot_nor_known_elsewhere() -> None:
    world = DispatcherEnvironment(CACHES, may_cancel=False)
    world.state.estimates.mean_ms_by_class["page"] = 400.0
    hosts = [a.server for _ in range(60) for a in world.send_request(1) if isinstance(a, api.Lookup)]
    assert len(set(hosts)) == 1


def test_while_the_origin_rests_parents_are_asked_for_what_they_hold() -> None:
    """An origin that stopped is kept down by all who ask on; its failures behind parents rest it too."""
    world = DispatcherEnvironment()
    for key in range(2):
        fetch = world.start_fill(key)
        assert not fetch.cached_only
        world.end_attempt(fetch, api.Status.REJECTED, 1, detail=api.OutcomeDetail.ORIGIN_FAILED)
    assert world.start_fill(50).cached_only
    assert world.health.is_usable(world.servers[fetch.source])  # the parent itself works
    world.clock_ms += 5_000.0
    after = world.start_fill(51)
    assert not after.cached_only
    world.end_attempt(after, OK, 1, detail=api.OutcomeDetail.FILLED_BY_ORIGIN)
    assert world.servers["o"].backoff_until_ms == 0.0


def test_a_parent_back_from_an_outage_is_cold_before_the_list_tells() -> None:
    """Parents died and came back unseen by the list; all dispatchers together pushed them over (i8f0867)."""
    world = DispatcherEnvironment((*CACHES, PARENTS[0], ORIGIN))
    parent = world.servers["p1"]
    world.end_attempt(world.start_fill(1), OK, 1, detail=api.OutcomeDetail.FILLED)
    world.clock_ms += 1_500.0
    world.end_attempt(world.start_fill(2), api.Status.REJECTED, 1, detail=api.OutcomeDetail.SOURCE_FAILED)
    assert not world.health.is_usable(parent)  # not reached: at rest at once
    assert world.state.is_warming_up(parent) and not world.dispatcher.router._capacity.has_slow_start_budget(
        parent
    )
    world.sweep(20_000.0)
    assert not world.state.is_warming_up(parent)


def test_copies_in_their_grace_are_taken_at_once_while_the_origin_rests() -> None:
    """No fill comes in time then, and asking for one keeps a stopped origin down."""
    aged = replace(PAGE, freshness_lifetime_ms=8_000.0, stale_grace_ms=30_000.0, stale_priority_weight=0.5)
    world = DispatcherEnvironment(classes=(aged,))
    for key in range(2):
        assert isinstance(world.send_request(key + 20)[0], api.Lookup)  # fresh copies only
        world.end_attempt(
            world.start_fill(key), api.Status.REJECTED, 1, detail=api.OutcomeDetail.ORIGIN_FAILED
        )
    (stale,) = world.send_request(100)
    assert (stale.source, stale.max_age_ms) == (stale.server, 38_000.0)


def test_a_fill_cut_for_its_age_is_refused_at_once_and_is_no_failure_of_its_source() -> None:
    world = DispatcherEnvironment()
    world.dispatcher.router._sojourn.late_fraction = 1.0
    fill = world.start_fill(1)
    assert fill.timeout_ms > 0
    before = world.servers[fill.source].consecutive_failures
    (final,) = world.end_attempt(fill, TIMEOUT, 1, after_ms=fill.timeout_ms)
    assert isinstance(final, api.Reject) and final.id == fill.id
    source = world.servers[fill.source]
    assert source.consecutive_failures == before and source.backoff_until_ms == 0.0
    assert source.fill_quota == 1.0
    world.dispatcher.router._sojourn.late_fraction = 0.0
    assert world.start_fill(2).timeout_ms == 0.0
