"""State of the policy module that is restored after a restart: the warm-start snapshot and DNS leases."""

from __future__ import annotations

from gladewalk import interface as api
from gladewalk.policy import Dispatcher
from gladewalk.registry.records import PendingRequest
from gladewalk.store import warm_start
from gladewalk.store.dns_lease_rows import encode_lease, find_lease, restore_leases
from gladewalk.store.warm_start import encode_objects, encode_servers, restore_snapshot

from .support import NOW_MS


def dispatcher_at(now_ms: float, started_ms: float = 0.0) -> Dispatcher:
    """Returns a policy module with the servers a and b."""
    page = api.RequestClass("page", latency_objective_ms=400.0, deadline_ms=3_000.0)
    core = Dispatcher(api.Settings(classes=(page,), zone="e", zones=("e",), hub_of_zone=(0,)), 1)
    servers = tuple(
        api.Server(name, api.Role.CACHE, "e", started_ms=started_ms, address=name) for name in "ab"
    )
    core.handle(now_ms, api.EndpointList(api.EndpointListKind.PERSISTED, servers))
    return core


def test_a_warm_start_restores_only_what_is_recent_and_after_the_servers_starts() -> None:
    core = dispatcher_at(NOW_MS)
    core.state.locations[7, 0] = {"a": NOW_MS - 1_000.0, "b": NOW_MS - 29_000.0, "gone": NOW_MS}
    core.state.locations[8, 0] = {"b": NOW_MS - 40_000.0}
    core.state.estimates.by_object[7, 0] = 55.0
    servers = core.state.registry.servers
    servers["a"].fill_quota, servers["b"].fill_quota = 9.0, 1e9
    partitions = range(warm_start.PARTITION_COUNT)
    rows = {f"objects-{number}": encode_objects(core, number, NOW_MS) for number in partitions}
    rows |= {warm_start.SERVERS_KEY: encode_servers(core, NOW_MS), "objects-x": b"noise"}
    later = dispatcher_at(NOW_MS + 2_000.0)
    assert restore_snapshot(later, rows, NOW_MS + 2_000.0) == (1, 2)
    assert later.state.locations == {(7, 0): {"a": NOW_MS - 1_000.0}}
    assert later.state.estimates.by_object == {(7, 0): 55.0}
    servers = later.state.registry.servers
    assert (servers["a"].fill_quota, servers["b"].fill_quota) == (9.0, 64.0)
    much_later, earlier = dispatcher_at(NOW_MS + 700_000.0), dispatcher_at(NOW_MS - 60_000.0)
    assert (
        restore_snapshot(much_later, rows, NOW_MS + 700_000.0) == (0, 0)
        and not much_later.state.estimates.by_object
    )
    # The clock was set back: the ages in the snapshot can't be determined, and nothing is restored.
    assert restore_snapshot(earlier, rows, NOW_MS - 60_000.0) == (0, 0)
    after_server_start = dispatcher_at(NOW_MS + 2_000.0, started_ms=NOW_MS + 500.0)
    assert restore_snapshot(after_server_start, rows, NOW_MS + 2_000.0)[1] == 0
    request = api.Request(1, "page", 7, 3_000.0)
    pending_request = PendingRequest(request, after_server_start.state.classes["page"], NOW_MS + 2_000.0)
    after_server_start.state.now_ms = NOW_MS + 2_000.0
    # The location is from before the server's start: the policy module itself excludes it.
    assert [
        server.info.name for server in after_server_start.router.candidates.holders(pending_request)
    ] == []
    later.state.now_ms = NOW_MS + 2_000.0
    later.handle(NOW_MS + 2_000.0, api.Purge(7, -1, 100.0))
    purged_request = PendingRequest(request, later.state.classes["page"], NOW_MS + 2_000.0)
    assert later.router.candidates.holders(purged_request) == []  # a location from before a purge, likewise


def test_leases_are_restored_after_a_restart_until_they_expire() -> None:
    core = dispatcher_at(NOW_MS)
    question = api.ResolveRequest(1, "page", 7, 3_000.0, "resolver", transfers=0.25)
    core.state.dns_lease_table().grant("a", "resolver", (7, 0), NOW_MS + 200_000.0, 0.25)
    core.state.dns_lease_table().grant("a", "r2", (8, 0), NOW_MS + 100.0, 1.0)
    lease = find_lease(core, question, "a")
    assert lease is not None and find_lease(core, question, "b") is None
    rows = {lease.row_key: encode_lease(lease), "noise": b"x"}
    restarted = dispatcher_at(NOW_MS + 1_000.0)
    assert restore_leases(restarted, rows, NOW_MS + 1_000.0) == 1
    assert restarted.state.dns_lease_table().find("a", "resolver", (7, 0)) == (NOW_MS + 200_000.0, 0.25)
    assert len(restarted.state.dns_lease_table()) == 1
    assert restore_leases(dispatcher_at(NOW_MS), rows, NOW_MS + 200_000.0) == 0
    earlier = dispatcher_at(NOW_MS)
    assert restore_leases(earlier, rows, NOW_MS - 1e9) == 1  # the restored lease is cut to the longest lease
    found = earlier.state.dns_lease_table().find("a", "resolver", (7, 0))
    assert found is not None and found[0] == NOW_MS - 1e9 + 300_000.0
