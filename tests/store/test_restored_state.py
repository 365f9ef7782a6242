"""What of the policy module's state counts after a restart: the warm-start snapshot and DNS leases."""

from __future__ import annotations

from gladewalk import interface as api
from gladewalk.policy import Dispatcher
from gladewalk.registry.records import PendingRequest
from gladewalk.store import warm_start
from gladewalk.store.dns_lease_rows import encode_lease, find_lease, restore_leases
from gladewalk.store.warm_start import encode_objects, encode_servers, restore_snapshot

from .support import NOW_MS


def core_at(now_ms: float, started_ms: float = 0.0) -> Dispatcher:
    """A policy module that knows the servers a and b."""
    page = api.RequestClass("page", latency_objective_ms=400.0, deadline_ms=3_000.0)
    core = Dispatcher(api.Settings(classes=(page,), zone="e", zones=("e",), hub_of_zone=(0,)), 1)
    servers = tuple(
        api.Server(name, api.Role.CACHE, "e", started_ms=started_ms, address=name) for name in "ab"
    )
    core.handle(now_ms, api.EndpointList(api.EndpointListKind.PERSISTED, servers))
    return core


def test_a_warm_start_counts_only_as_far_as_its_age_and_the_servers_starts_allow() -> None:
    core = core_at(NOW_MS)
    core.state.locations[7, 0] = {"a": NOW_MS - 1_000.0, "b": NOW_MS - 29_000.0, "gone": NOW_MS}
    core.state.locations[8, 0] = {"b": NOW_MS - 40_000.0}
    core.state.estimates.by_object[7, 0] = 55.0
    servers = core.state.registry.servers
    servers["a"].fill_quota, servers["b"].fill_quota = 9.0, 1e9
    partitions = range(warm_start.PARTITION_COUNT)
    rows = {f"objects-{number}": encode_objects(core, number, NOW_MS) for number in partitions}
    rows |= {warm_start.SERVERS_KEY: encode_servers(core, NOW_MS), "objects-x": b"noise"}
    later = core_at(NOW_MS + 2_000.0)
    assert restore_snapshot(later, rows, NOW_MS + 2_000.0) == (1, 2)
    assert later.state.locations == {(7, 0): {"a": NOW_MS - 1_000.0}}
    assert later.state.estimates.by_object == {(7, 0): 55.0}
    servers = later.state.registry.servers
    assert (servers["a"].fill_quota, servers["b"].fill_quota) == (9.0, 64.0)
    old, back = core_at(NOW_MS + 700_000.0), core_at(NOW_MS - 60_000.0)
    assert restore_snapshot(old, rows, NOW_MS + 700_000.0) == (0, 0) and not old.state.estimates.by_object
    # The clock was set back: nothing ages as it should.
    assert restore_snapshot(back, rows, NOW_MS - 60_000.0) == (0, 0)
    started = core_at(NOW_MS + 2_000.0, started_ms=NOW_MS + 500.0)
    assert restore_snapshot(started, rows, NOW_MS + 2_000.0)[1] == 0
    request = api.Request(1, "page", 7, 3_000.0)
    opened = PendingRequest(request, started.state.classes["page"], NOW_MS + 2_000.0)
    started.state.now_ms = NOW_MS + 2_000.0
    # Seen before its start: the module's own check.
    assert [server.info.name for server in started.router.candidates.holders(opened)] == []
    later.state.now_ms = NOW_MS + 2_000.0
    later.handle(NOW_MS + 2_000.0, api.Purge(7, -1, 100.0))
    purged = PendingRequest(request, later.state.classes["page"], NOW_MS + 2_000.0)
    assert later.router.candidates.holders(purged) == []  # and before a purge


def test_leases_count_again_after_a_restart_until_they_expire() -> None:
    core = core_at(NOW_MS)
    question = api.ResolveRequest(1, "page", 7, 3_000.0, "resolver", transfers=0.25)
    core.state.dns_lease_table().grant("a", "resolver", (7, 0), NOW_MS + 200_000.0, 0.25)
    core.state.dns_lease_table().grant("a", "r2", (8, 0), NOW_MS + 100.0, 1.0)
    lease = find_lease(core, question, "a")
    assert lease is not None and find_lease(core, question, "b") is None
    rows = {lease.row_key: encode_lease(lease), "noise": b"x"}
    again = core_at(NOW_MS + 1_000.0)
    assert restore_leases(again, rows, NOW_MS + 1_000.0) == 1
    assert again.state.dns_lease_table().find("a", "resolver", (7, 0)) == (NOW_MS + 200_000.0, 0.25)
    assert len(again.state.dns_lease_table()) == 1
    assert restore_leases(core_at(NOW_MS), rows, NOW_MS + 200_000.0) == 0
    back = core_at(NOW_MS)
    assert restore_leases(back, rows, NOW_MS - 1e9) == 1  # no clock makes a lease longer than a lease
    found = back.state.dns_lease_table().find("a", "resolver", (7, 0))
    assert found is not None and found[0] == NOW_MS - 1e9 + 300_000.0
