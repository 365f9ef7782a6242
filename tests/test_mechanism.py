"""Placement of objects, fill sources, fill quotas, recorded locations, health checks and admission."""

from collections import Counter
from dataclasses import replace

import pytest

from gladewalk import Dispatcher
from gladewalk import interface as api
from gladewalk.registry import rendezvous
from gladewalk.registry.object_locations import LOCATION_TTL_MS
from gladewalk.registry.records import PendingRequest, ServerRecord

from .world import ALL_SERVERS, CACHES, ORIGIN, PARENTS, SETTINGS, SIBLINGS, DispatcherEnvironment

OK, MISS, REJECTION = api.Status.OK, api.Status.MISS, api.Status.REJECTED


def test_dispatchers_agree_on_one_home_for_each_object() -> None:
    one, two = DispatcherEnvironment(seed=1), DispatcherEnvironment(seed=2)
    homes = [one.find_home(key) for key in range(300)]
    assert homes == [two.find_home(key) for key in range(300)]
    assert set(Counter(homes)) == {"c0", "c1", "c2"}
    assert min(Counter(homes).values()) > 60


def test_only_the_objects_of_a_removed_cache_move() -> None:
    env = DispatcherEnvironment()
    before = {key: env.find_home(key) for key in range(200)}
    env.update_endpoints(replace(CACHES[0], state=api.ServerState.DRAINING))
    after = {key: env.find_home(key) for key in range(200)}
    assert all(after[key] == home for key, home in before.items() if home != "c0")
    assert "c0" not in after.values()


def test_a_cold_cache_is_home_to_fewer_objects_until_it_warms_up() -> None:
    env = DispatcherEnvironment((replace(CACHES[0], started_ms=99_999.0, capacity=50.0), *ALL_SERVERS[1:]))
    homes = [
        env.dispatcher.router.candidates.homes(_pending_request(env, key))[0].info.name for key in range(600)
    ]
    env.clock_ms += 5_000.0
    env.sweep(0.0)
    homes_later = [
        env.dispatcher.router.candidates.homes(_pending_request(env, key))[0].info.name for key in range(600)
    ]
    assert 0 < homes.count("c0") < homes_later.count("c0")


def _pending_request(env: DispatcherEnvironment, key: int):  # type: ignore[no-untyped-def]

    return PendingRequest(api.Request(10_000 + key, "page", key, 1000.0), SETTINGS.classes[0], env.clock_ms)


def test_a_miss_is_filled_from_the_hub_parent_that_the_object_hashes_to() -> None:
    env = DispatcherEnvironment()
    sources = [env.start_fill(key) for key in range(2)]
    assert all(f.source in ("p1", "p1b") for f in sources)
    assert DispatcherEnvironment().start_fill(0).source == sources[0].source


def test_fills_beyond_a_quota_go_to_the_next_hub_parent_then_remote_parents_and_then_wait() -> None:
    env = DispatcherEnvironment()
    sources = [env.start_fill(key).source for key in range(6)]
    assert sorted(sources[:4]) == ["p1", "p1", "p1b", "p1b"]
    assert sources[4:] == ["p2", "p2"]
    (lookup,) = env.send_request(99)
    assert env.end_attempt(lookup, MISS) == []  # the parents are usable: the origin is not used yet
    (sent_later,) = env.sweep(150.0)
    assert (sent_later.id, sent_later.source) == (lookup.id, "o")  # after PARENT_WAIT_FRACTION it is


def test_the_origin_fills_within_its_quota_when_no_parent_is_usable() -> None:
    env = DispatcherEnvironment((*CACHES, ORIGIN))
    assert [env.start_fill(key).source for key in range(2)] == ["o", "o"]
    (lookup,) = env.send_request(99)
    assert env.end_attempt(lookup, MISS) == []


def test_a_queued_fill_is_sent_when_a_quota_has_capacity_again() -> None:
    env = DispatcherEnvironment()
    fills = [env.start_fill(key) for key in range(6)]
    (lookup,) = env.send_request(99)
    assert env.end_attempt(lookup, MISS) == []
    (next_fill,) = env.end_attempt(fills[0], OK, 1, detail=api.OutcomeDetail.FILLED)
    assert (next_fill.id, next_fill.source) == (lookup.id, fills[0].source)


def test_a_quota_grows_by_one_per_fill_in_time_and_halves_on_failure() -> None:
    env = DispatcherEnvironment((*CACHES, PARENTS[0], ORIGIN))
    parent = env.servers["p1"]
    env.end_attempt(env.start_fill(1), OK, 1, detail=api.OutcomeDetail.FILLED)
    assert parent.fill_quota == 3.0
    env.end_attempt(env.start_fill(2), OK, 1, detail=api.OutcomeDetail.FILLED)
    assert parent.fill_quota == 3.0  # less than half of the quota was in use, so it does not grow
    parent.fill_quota = 6.0
    env.end_attempt(env.start_fill(50), REJECTION, 1, detail=api.OutcomeDetail.SOURCE_REJECTED)
    assert parent.fill_quota == 3.0
    slow = env.start_fill(51)
    env.end_attempt(slow, OK, 1, detail=api.OutcomeDetail.FILLED, after_ms=2000.0)
    assert parent.fill_quota == 3.0  # a slow fill is no failure, but doesn't increase the quota


def test_a_restart_resets_the_quota() -> None:
    env = DispatcherEnvironment()
    env.servers["p1"].fill_quota = 17.0
    env.update_endpoints(replace(PARENTS[0], started_ms=env.clock_ms - 1.0))
    assert env.servers["p1"].fill_quota == 2.0


def test_a_sibling_trial_is_cached_only_and_its_miss_is_filled_from_a_hub_parent() -> None:
    env = DispatcherEnvironment()
    env.set_sibling_trials(True)
    trial = env.start_fill(5)
    assert trial.source in ("s0", "s1") and trial.cached_only
    (after,) = env.end_attempt(trial, MISS, 1, detail=api.OutcomeDetail.SOURCE_LACKS)
    assert after.source in ("p1", "p1b") and not after.cached_only


def test_a_sibling_with_the_object_is_used_as_a_source_until_the_location_expires() -> None:
    env = DispatcherEnvironment((*CACHES[:1], *SIBLINGS, *PARENTS, ORIGIN))
    env.set_sibling_trials(True)
    first = env.start_fill(5)
    env.end_attempt(first, OK, 1, detail=api.OutcomeDetail.FILLED)
    env.set_sibling_trials(False)
    assert env.start_fill(5).source == first.source
    env.clock_ms += LOCATION_TTL_MS + 1.0
    assert env.start_fill(5).source in ("p1", "p1b")


def test_a_hub_parent_with_the_object_is_preferred_to_a_sibling_with_it() -> None:
    env = DispatcherEnvironment()
    env.state.locations[(5, 0)] = {"s0": 1e9, "p1b": 1e9}
    assert env.start_fill(5).source == "p1b"


def test_recorded_locations_are_bounded() -> None:
    env = DispatcherEnvironment()
    for key in range(9_000):
        (lookup,) = env.send_request(key)
        env.end_attempt(lookup, OK, detail=api.OutcomeDetail.HIT)
    assert len(env.state.locations) <= 8192
    assert not env.state.pending and not env.state.attempts


@pytest.mark.parametrize("change", [{"classes": ()}, {"slow_start_ms": -1.0}, {"max_attempts": 0}])
def test_the_error_for_invalid_settings_names_the_field(change: dict[str, object]) -> None:
    with pytest.raises(ValueError, match=next(iter(change))):
        Dispatcher(replace(SETTINGS, **change), 1)  # type: ignore[arg-type]


def test_the_cost_of_a_request_does_not_grow_with_the_number_of_locations(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    hashes = Counter[int]()
    original_mix64 = rendezvous.mix64

    def count_hash(value: int) -> int:
        hashes["fleet"] += 1  # type: ignore[index]
        return original_mix64(value)

    seen = []
    for locations in (2, 40):
        others = tuple(
            api.Server(f"x{n}-{m}", api.Role.CACHE, f"z{n}", 8.0) for n in range(locations) for m in range(4)
        )
        env = DispatcherEnvironment(
            (*CACHES, *others, *PARENTS, ORIGIN), zones=("h1", "h2", "e1", "e2", "z0")
        )
        env.set_sibling_trials(True)
        monkeypatch.setattr("gladewalk.registry.rendezvous.mix64", count_hash)
        hashes.clear()
        for key in range(20):
            env.end_attempt(env.start_fill(key), OK, 1, detail=api.OutcomeDetail.FILLED)
        monkeypatch.undo()
        seen.append(sum(hashes.values()))
    assert 0 < seen[1] <= seen[0]


def test_near_the_connection_limit_the_longest_requests_for_their_weight_are_shed() -> None:
    env = DispatcherEnvironment(client_connection_limit=20, client_rate_kb_per_s=1000.0)
    assert env.send_request(99, size_kb=9_000.0)  # long, but there are free connections
    lookups = [env.send_request(key, size_kb=100.0)[0] for key in range(18)]
    for _ in range(20):  # 19 of 20 connections are in use: more than TARGET_UTILIZATION
        env.dispatcher.handle(env.clock_ms, api.Timer("sweep"))
    assert [type(action) for action in env.send_request(50, size_kb=2000.0)] == [api.Reject]
    assert [type(action) for action in env.send_request(51, size_kb=10.0)] == [api.Lookup]
    for lookup in lookups:
        env.end_attempt(lookup, OK, detail=api.OutcomeDetail.HIT, after_ms=0.0)
    for _ in range(20):
        env.dispatcher.handle(env.clock_ms, api.Timer("sweep"))
    assert [type(action) for action in env.send_request(50, size_kb=2000.0)] == [api.Lookup]


def test_a_sweep_checks_only_servers_with_attempts_in_flight() -> None:
    env = DispatcherEnvironment()
    env.send_request(1)
    checked: list[str] = []

    def record_check(server: ServerRecord) -> bool:
        checked.append(server.info.name)
        return False

    env.health.eject_if_unresponsive = record_check  # type: ignore[method-assign]
    env.sweep()
    assert len(checked) == 1


def test_a_failed_health_check_ejects_its_cache_unless_it_has_responded_since() -> None:
    env = DispatcherEnvironment()
    home = env.find_home(5)
    health_check = api.HealthCheckResult(home, api.Status.CONNECT_FAILED, 1.0, None, age_ms=500.0)
    env.handle_event(health_check, after_ms=100.0)  # it responded 100 ms ago, after the check
    assert env.find_home(5) == home
    env.handle_event(replace(health_check, age_ms=10.0), after_ms=600.0)
    (sent,) = env.send_request(5)
    assert sent.server != home


def test_a_successful_health_check_updates_the_load_but_ends_no_backoff() -> None:
    env = DispatcherEnvironment()
    home = env.find_home(5)
    server = env.servers[home]
    env.handle_event(api.HealthCheckResult(home, api.Status.TIMEOUT, 250.0), after_ms=100.0)
    env.handle_event(api.HealthCheckResult(home, api.Status.TIMEOUT, 250.0), after_ms=200.0)
    assert env.clock_ms < server.backoff_until_ms  # ejected after two failures in a row
    env.handle_event(api.HealthCheckResult(home, api.Status.OK, 1.0, {"util": 0.1}), after_ms=10.0)
    assert env.clock_ms < server.backoff_until_ms and server.spare_capacity_until_ms > env.clock_ms
    env.handle_event(
        api.HealthCheckResult(home, api.Status.OK, 1.0, {"util": 0.1}, age_ms=60_000.0), after_ms=9_000.0
    )
    assert server.spare_capacity_until_ms < env.clock_ms  # the report is too old to be used
    env.handle_event(api.HealthCheckResult("nobody", api.Status.TIMEOUT, 1.0))
