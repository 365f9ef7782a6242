"""Shared tasks in virtual time: runner, ownership and membership as in production, with injected faults."""

from collections import Counter

import pytest
from hypothesis import settings as profile
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule, run_state_machine_as_test

from gladewalk.duties.rate_limit import HealthCheckRateLimit
from gladewalk.members.actions import MemberChange
from gladewalk.members.authenticator import key_from_secret
from gladewalk.rehearsal.task_simulation import TaskNetwork, build_task_network


def test_a_rate_limit_extends_all_intervals_equally_and_bounds_bursts() -> None:
    rate_limit = HealthCheckRateLimit(40.0, 0.0)
    assert [rate_limit.interval_stretch(per_s) for per_s in (0.0, 40.0, 100.0)] == [1.0, 1.0, 2.5]
    assert rate_limit.allowance(0.0) == 10  # the checks of a quarter of a second
    rate_limit.spend(10)
    assert [rate_limit.allowance(at) for at in (0.0, 24.0, 25.0, 20.0, 60_000.0)] == [0, 0, 1, 1, 10]
    assert HealthCheckRateLimit(0.0, 0.0).interval_stretch(1e9) == 1.0
    # 40 servers at 250 ms need 160 checks a second: twice the limit.
    net = build_task_network(4, 2, servers=40, interval_ms=250.0, checks_per_second=80.0)
    start = net.now_ms
    net.run(10_000.0)
    assert 0.45 < net.check_rates(start)[0] <= net.check_rates(start)[-1] < 0.55
    net.kill("m1")  # the other members take over a quarter of all tasks, which are overdue
    net.run(10_000.0)
    per_second = Counter(int(check.at_ms // 1_000.0) for check in net.checks if check.at_ms >= start)
    assert max(per_second.values()) <= 100  # the limit, and a full token bucket of each member


def assert_converges(net: TaskNetwork, ms: float = 15_000.0) -> None:
    """Runs for this virtual time and asserts that members agree, and each task has one owner and its rate."""
    net.run(ms)
    assert net.has_converged()
    assert not [(server, net.owners(server)) for server in net.servers if len(net.owners(server)) != 1]
    start = net.now_ms
    net.run(10.0 * net.interval_ms)
    rates = net.check_rates(start)
    assert 0.85 < rates[0] <= rates[-1] < 1.15, rates


@pytest.mark.parametrize(("seed", "ms"), [(1, 6_000.0), (2, 1_500.0), (3, 2_400.0)])
def test_a_paused_member_gets_its_tasks_back_and_the_member_that_took_them_over_yields(
    seed: int, ms: float
) -> None:
    net = build_task_network(4, seed)
    servers_of_m2 = [server for server in net.servers if net.owners(server) == ["m2"]]
    net.pause("m2", ms)
    net.run(ms - 1.0)
    owner_lists = [net.owners(server) for server in servers_of_m2]
    if ms > 2_000.0:  # others have taken over its tasks, so these have two owners until it resumes
        assert all(len(owner_names) == 2 for owner_names in owner_lists), owner_lists
    assert_converges(net)
    assert not [change for change in net.changes(MemberChange.DIED) if change.observer == "m2"]
    assert servers_of_m2 == [server for server in net.servers if net.owners(server) == ["m2"]]


@pytest.mark.parametrize("count", [2, 4, 8])
def test_every_server_is_checked_within_2_s_of_the_death_of_the_member_that_checked_it(count: int) -> None:
    for seed in range(12):
        net = build_task_network(count, seed, interval_ms=500.0)
        net.run(41.0 * seed)
        servers_of_m1 = [server for server in net.servers if net.owners(server) == ["m1"]]
        killed_ms = net.now_ms
        net.kill("m1")
        net.run(2_000.0)
        checked = {check.server for check in net.checks if check.at_ms > killed_ms and check.sender != "m1"}
        assert set(servers_of_m1) <= checked, (count, seed)
        assert_converges(net, 5_000.0)


def test_each_side_of_a_partition_checks_all_servers_and_both_divide_them_again_after_its_end() -> None:
    net = build_task_network(4, 7)
    sides = {"m0": 0, "m2": 0, "m1": 1, "m3": 1}
    net.is_blocked = lambda source, target: sides[source] != sides[target]
    net.run(6_000.0)
    start = net.now_ms
    net.run(10_000.0)
    rates = net.check_rates(start)
    assert 1.7 < rates[0] <= rates[-1] < 2.3, rates  # each server is checked by one member of each side
    net.is_blocked = lambda source, target: False
    assert_converges(net, 20_000.0)


def test_tasks_have_single_owners_again_despite_a_link_blocked_one_way() -> None:
    net = build_task_network(4, 8)
    net.is_blocked = lambda source, target: (source, target) == ("m0", "m1")
    assert_converges(net, 20_000.0)


def test_checks_go_on_during_a_rolling_restart_and_the_death_of_a_joining_member() -> None:
    net = build_task_network(4, 9)
    start = net.now_ms
    for number in range(4):
        net.join(f"m{number}", ("m0", "m1"))
        net.run(2_500.0)
    net.join("m4", ("m0",))
    net.run(800.0)
    net.kill("m4")
    assert net.longest_gap_ms(start) < 3_000.0
    assert_converges(net)


@pytest.mark.parametrize("jump_ms", [-4_000.0, 4_000.0])
def test_tasks_have_single_owners_after_a_clock_jumps_within_the_accepted_window(jump_ms: float) -> None:
    net = build_task_network(4, 10)
    net.nodes["m1"].clock_offset_ms = jump_ms
    assert_converges(net)


def test_a_member_whose_name_is_taken_owns_no_tasks() -> None:
    net = build_task_network(3, 11)
    first = net.nodes["m2"]
    del net.nodes["m2"]
    duplicate = net.start("m2", ("m0",), port=7_777)
    net.nodes["m2"], net.nodes["duplicate"] = first, duplicate
    net.run(10_000.0)
    assert (first.core.is_active, duplicate.core.is_active) == (True, False)
    assert net.has_one_owner_each()


@pytest.mark.parametrize("seed", range(3))
def test_every_server_is_checked_under_loss_duplication_and_reordering(seed: int) -> None:
    net = build_task_network(4, seed)
    net.loss_rate, net.duplicate_rate, net.delay_range_ms = 0.3, 0.2, (0.2, 15.0)
    start = net.now_ms
    net.run(60_000.0)
    rates = net.check_rates(start)
    assert 0.8 < rates[0] <= rates[-1] < 1.6, rates
    assert net.longest_gap_ms(start) < 4_000.0
    net.loss_rate = 0.0
    assert_converges(net)


def test_a_key_rotation_during_a_takeover_causes_no_further_deaths() -> None:
    net = build_task_network(4, 12)
    old, new = net.nodes["m0"].authenticator.signing_key, key_from_secret(b"n" * 32)
    start = net.now_ms
    net.kill("m3")
    for ring in ((old, new), (new, old), (new,)):
        for name in ("m0", "m1", "m2"):
            net.nodes[name].authenticator.replace_keys(ring)
            net.run(250.0)
    assert_converges(net)
    assert net.longest_gap_ms(start) < 3_000.0
    assert {change.member for change in net.changes(MemberChange.DIED)} == {"m3"}


class Faults(RuleBasedStateMachine):
    """Random faults in random order; after they end, each server is checked by one member again.

    The names of rules and arguments keep their alphabetical order, on which the generated faults depend.
    """

    names = st.sampled_from(("m0", "m1", "m2", "m3"))

    @initialize(seed=st.integers(0, 1_000))
    def begin(self, seed: int) -> None:
        self.net = build_task_network(4, seed, servers=5, settle_ms=3_000.0)

    @rule(name=names)
    def kill(self, name: str) -> None:
        self.net.kill(name)

    @rule(name=names)
    def start(self, name: str) -> None:
        self.net.join(name, ("m0", "m1"))

    @rule(name=names, ms=st.sampled_from((100.0, 700.0, 1_500.0, 5_000.0)))
    def stop(self, name: str, ms: float) -> None:
        self.net.pause(name, ms)

    @rule(loss=st.sampled_from((0.0, 0.1, 0.3)), duplication=st.sampled_from((0.0, 0.3)))
    def lose_datagrams(self, loss: float, duplication: float) -> None:
        self.net.loss_rate, self.net.duplicate_rate = loss, duplication

    @rule(name=names, one_way=st.booleans())
    def block_datagrams(self, name: str, one_way: bool) -> None:
        self.net.is_blocked = lambda source, target: source == name or (target == name and not one_way)

    @rule(ms=st.sampled_from((50.0, 400.0, 2_000.0)))
    def wait(self, ms: float) -> None:
        self.net.run(ms)

    def teardown(self) -> None:
        net = getattr(self, "net", None)
        if net is None:
            return
        net.loss_rate, net.is_blocked = 0.0, lambda source, target: False
        if not any(node.is_up for node in net.nodes.values()):
            net.join("m0", ("m1",))
        net.run(25_000.0)
        start = net.now_ms
        net.run(5_000.0)
        assert net.has_converged(), {name: net.live_as_seen_by(name) for name in net.nodes}
        assert net.has_one_owner_each(), [(server, net.owners(server)) for server in net.servers]
        assert net.check_rates(start)[0] >= 0.8 and net.check_rates(start)[-1] <= 1.2, net.check_rates(start)


def test_each_server_is_checked_by_one_member_after_random_faults() -> None:
    run_state_machine_as_test(
        Faults, settings=profile(max_examples=60, stateful_step_count=12, deadline=None, derandomize=True)
    )
