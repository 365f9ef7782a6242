"""The mechanism: placement, ladder, shares, memories, warm-up."""

from collections import Counter
from dataclasses import replace

import pytest

from gladewalk import Dispatcher
from gladewalk import interface as api
from gladewalk.registry import rendezvous
from gladewalk.registry.object_locations import LOCATION_TTL_MS
from gladewalk.registry.records import PendingRequest, ServerRecord

from .world import ALL_SERVERS, CACHES, ORIGIN, PARENTS, SETTINGS, SIBLINGS, DispatcherEnvironment

OK, MISS, REFUSED = api.Status.OK, api.Status.MISS, api.Status.REJECTED


def test_each_object_has_one_home_that_dispatchers_agree_on() -> None:
    one, two = DispatcherEnvironment(seed=1), DispatcherEnvironment(seed=2)
    homes = [one.find_home(key) for key in range(300)]
    assert homes == [two.find_home(key) for key in range(300)]
    assert set(Counter(homes)) == {"c0", "c1", "c2"}
    assert min(Counter(homes).values()) > 60


def test_only_the_objects_of_a_cache_that_leaves_move() -> None:
    world = DispatcherEnvironment()
    before = {key: world.find_home(key) for key in range(200)}
    world.update_endpoints(replace(CACHES[0], state=api.ServerState.DRAINING))
    after = {key: world.find_home(key) for key in range(200)}
    assert all(after[key] == home for key, home in before.items() if home != "c0")
    assert "c0" not in after.values()


def test_a_cold_cache_draws_a_smaller_share_that_rises() -> None:
    world = DispatcherEnvironment((replace(CACHES[0], started_ms=99_999.0, capacity=50.0), *ALL_SERVERS[1:]))
    homes = [world.dispatcher.router.candidates.homes(_open(world, key))[0].info.name for key in range(600)]
    world.clock_ms += 5_000.0
    world.sweep(0.0)
    later = [world.dispatcher.router.candidates.homes(_open(world, key))[0].info.name for key in range(600)]
    assert 0 < homes.count("c0") < later.count("c0")


def _open(world: DispatcherEnvironment, key: int):  # type: ignore[no-untyped-def]

    return PendingRequest(api.Request(10_000 + key, "page", key, 1000.0), SETTINGS.classes[0], world.clock_ms)


def test_a_miss_is_filled_from_the_hub_parent_of_the_hash() -> None:
    world = DispatcherEnvironment()
    sources = [world.start_fill(key) for key in range(2)]
    assert all(f.source in ("p1", "p1b") for f in sources)
    assert DispatcherEnvironment().start_fill(0).source == sources[0].source


def test_a_spent_share_spills_to_the_next_hub_parent_then_others_and_then_waits() -> None:
    world = DispatcherEnvironment()
    sources = [world.start_fill(key).source for key in range(6)]
    assert sorted(sources[:4]) == ["p1", "p1", "p1b", "p1b"]
    assert sources[4:] == ["p2", "p2"]
    (lookup,) = world.send_request(99)
    assert world.end_attempt(lookup, MISS) == []  # the parents are usable, so the origin is not asked at once
    (late,) = world.sweep(150.0)
    assert (late.id, late.source) == (lookup.id, "o")  # but a part of the aim later it is


def test_the_origin_fills_within_its_share_when_no_parent_is_usable() -> None:
    world = DispatcherEnvironment((*CACHES, ORIGIN))
    assert [world.start_fill(key).source for key in range(2)] == ["o", "o"]
    (lookup,) = world.send_request(99)
    assert world.end_attempt(lookup, MISS) == []


def test_a_fill_that_waits_goes_when_a_share_frees() -> None:
    world = DispatcherEnvironment()
    fills = [world.start_fill(key) for key in range(6)]
    (lookup,) = world.send_request(99)
    assert world.end_attempt(lookup, MISS) == []
    (freed,) = world.end_attempt(fills[0], OK, 1, detail=api.OutcomeDetail.FILLED)
    assert (freed.id, freed.source) == (lookup.id, fills[0].source)


def test_a_share_grows_by_one_per_fill_in_time_and_halves_on_failure() -> None:
    world = DispatcherEnvironment((*CACHES, PARENTS[0], ORIGIN))
    parent = world.servers["p1"]
    world.end_attempt(world.start_fill(1), OK, 1, detail=api.OutcomeDetail.FILLED)
    assert parent.fill_quota == 3.0
    world.end_attempt(world.start_fill(2), OK, 1, detail=api.OutcomeDetail.FILLED)
    assert parent.fill_quota == 3.0  # less than half of it was in use: an untried quota does not grow
    parent.fill_quota = 6.0
    world.end_attempt(world.start_fill(50), REFUSED, 1, detail=api.OutcomeDetail.SOURCE_REJECTED)
    assert parent.fill_quota == 3.0
    slow = world.start_fill(51)
    world.end_attempt(slow, OK, 1, detail=api.OutcomeDetail.FILLED, after_ms=2000.0)
    assert parent.fill_quota == 3.0  # a slow fill is no failure, nor does it earn


def test_a_restart_starts_the_share_again() -> None:
    world = DispatcherEnvironment()
    world.servers["p1"].fill_quota = 17.0
    world.update_endpoints(replace(PARENTS[0], started_ms=world.clock_ms - 1.0))
    assert world.servers["p1"].fill_quota == 2.0


def test_a_sibling_trial_asks_only_for_what_is_held_and_a_lack_goes_to_the_hub_parent() -> None:
    world = DispatcherEnvironment()
    world.set_sibling_trials(True)
    trial = world.start_fill(5)
    assert trial.source in ("s0", "s1") and trial.cached_only
    (after,) = world.end_attempt(trial, MISS, 1, detail=api.OutcomeDetail.SOURCE_LACKS)
    assert after.source in ("p1", "p1b") and not after.cached_only


def test_a_sibling_that_held_is_remembered_until_the_memory_fades() -> None:
    world = DispatcherEnvironment((*CACHES[:1], *SIBLINGS, *PARENTS, ORIGIN))
    world.set_sibling_trials(True)
    first = world.start_fill(5)
    world.end_attempt(first, OK, 1, detail=api.OutcomeDetail.FILLED)
    world.set_sibling_trials(False)
    assert world.start_fill(5).source == first.source
    world.clock_ms += LOCATION_TTL_MS + 1.0
    assert world.start_fill(5).source in ("p1", "p1b")


def test_a_remembered_hub_parent_comes_before_a_remembered_sibling() -> None:
    world = DispatcherEnvironment()
    world.state.locations[(5, 0)] = {"s0": 1e9, "p1b": 1e9}
    assert world.start_fill(5).source == "p1b"


def test_memories_are_bounded() -> None:
    world = DispatcherEnvironment()
    for key in range(9_000):
        (lookup,) = world.send_request(key)
        world.end_attempt(lookup, OK, detail=api.OutcomeDetail.HIT)
    assert len(world.state.locations) <= 8192
    assert not world.state.pending and not world.state.attempts


@pytest.mark.parametrize("change", [{"classes": ()}, {"slow_start_ms": -1.0}, {"max_attempts": 0}])
def test_impossible_settings_name_the_field(change: dict[str, object]) -> None:
    with pytest.raises(ValueError, match=next(iter(change))):
        Dispatcher(replace(SETTINGS, **change), 1)  # type: ignore[arg-type]


def test_the_work_for_a_request_does_not_grow_with_other_locations(monkeypatch: pytest.MonkeyPatch) -> None:
    hashes = Counter[int]()
    real = rendezvous.mix64

    def counted(value: int) -> int:
        hashes["fleet"] += 1  # type: ignore[index]
        return real(value)

    seen = []
    for locations in (2, 40):
        others = tuple(
            api.Server(f"x{n}-{m}", api.Role.CACHE, f"z{n}", 8.0) for n in range(locations) for m in range(4)
        )
        world = DispatcherEnvironment(
            (*CACHES, *others, *PARENTS, ORIGIN), zones=("h1", "h2", "e1", "e2", "z0")
        )
        world.set_sibling_trials(True)
        monkeypatch.setattr("gladewalk.registry.rendezvous.mix64", counted)
        hashes.clear()
        for key in range(20):
            world.end_attempt(world.start_fill(key), OK, 1, detail=api.OutcomeDetail.FILLED)
        monkeypatch.undo()
        seen.append(sum(hashes.values()))
    assert 0 < seen[1] <= seen[0]


def test_when_places_run_out_the_longest_for_their_worth_are_shed_at_once() -> None:
    world = DispatcherEnvironment(client_connection_limit=20, client_rate_kb_per_s=1000.0)
    assert world.send_request(99, size_kb=9_000.0)  # long, but there is room
    held = [world.send_request(key, size_kb=100.0)[0] for key in range(18)]
    for _ in range(20):  # 19 of 20 open, over the part that is filled by choice
        world.dispatcher.handle(world.clock_ms, api.Timer("sweep"))
    assert [type(action) for action in world.send_request(50, size_kb=2000.0)] == [api.Reject]
    assert [type(action) for action in world.send_request(51, size_kb=10.0)] == [api.Lookup]
    for lookup in held:
        world.end_attempt(lookup, OK, detail=api.OutcomeDetail.HIT, after_ms=0.0)
    for _ in range(20):
        world.dispatcher.handle(world.clock_ms, api.Timer("sweep"))
    assert [type(action) for action in world.send_request(50, size_kb=2000.0)] == [api.Lookup]


def test_a_sweep_looks_only_at_servers_with_work_out() -> None:
    world = DispatcherEnvironment()
    world.send_request(1)
    looked: list[str] = []

    def look(server: ServerRecord) -> bool:
        looked.append(server.info.name)
        return False

    world.health.eject_if_unresponsive = look  # type: ignore[method-assign]
    world.sweep()
    assert len(looked) == 1


def test_a_probe_that_failed_rests_its_cache_unless_it_was_heard_since() -> None:
    world = DispatcherEnvironment()
    home = world.find_home(5)
    probe = api.HealthCheckResult(home, api.Status.CONNECT_FAILED, 1.0, None, age_ms=500.0)
    world.handle_event(probe, after_ms=100.0)  # it answered 100 ms ago, after the probe
    assert world.find_home(5) == home
    world.handle_event(replace(probe, age_ms=10.0), after_ms=600.0)
    (sent,) = world.send_request(5)
    assert sent.server != home


def test_a_probe_that_succeeds_tells_the_load_and_proves_no_more() -> None:
    world = DispatcherEnvironment()
    home = world.find_home(5)
    server = world.servers[home]
    world.handle_event(api.HealthCheckResult(home, api.Status.TIMEOUT, 250.0), after_ms=100.0)
    world.handle_event(api.HealthCheckResult(home, api.Status.TIMEOUT, 250.0), after_ms=200.0)
    assert world.clock_ms < server.backoff_until_ms  # two in a row
    world.handle_event(api.HealthCheckResult(home, api.Status.OK, 1.0, {"util": 0.1}), after_ms=10.0)
    assert world.clock_ms < server.backoff_until_ms and server.spare_capacity_until_ms > world.clock_ms
    world.handle_event(
        api.HealthCheckResult(home, api.Status.OK, 1.0, {"util": 0.1}, age_ms=60_000.0), after_ms=9_000.0
    )
    assert server.spare_capacity_until_ms < world.clock_ms  # too old to tell of now
    world.handle_event(api.HealthCheckResult("nobody", api.Status.TIMEOUT, 1.0))
