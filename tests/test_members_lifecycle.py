"""Joins, departures, restarts, partitions, wrong clocks and name conflicts in a simulated network."""

import random

from gladewalk.members.actions import MemberChange
from gladewalk.members.authenticator import DropReason
from gladewalk.rehearsal.member_network import MemberNetwork, MemberNode, cluster
from tests.membership_checks import assert_converges, assert_no_deaths


def test_a_departure_is_reported_as_such_and_not_as_a_death() -> None:
    net = cluster(5, 3)
    node = net.nodes["m3"]
    net.carry_out(node, node.core.leave())
    net.kill("m3")
    net.run(1_000.0)
    assert len(net.changes(MemberChange.LEFT, "m3")) == 4
    assert_converges(net)
    assert_no_deaths(net)


def test_members_partitioned_into_2_and_3_converge_within_five_ping_periods_of_its_end() -> None:
    for seed in range(30):
        net = cluster(5, seed)
        net.is_blocked = lambda source, target: (source in ("m0", "m1")) != (target in ("m0", "m1"))
        net.run(20_000.0)
        net.is_blocked = lambda source, target: False
        net.run(5 * net.config.ping_period_ms)
        assert net.has_converged(), seed
        sides = ({"m0", "m1"}, {"m2", "m3", "m4"})
        wrong = [
            death
            for death in net.changes(MemberChange.DIED)
            if any({death.observer, death.member} <= side for side in sides)
        ]
        assert wrong == []


def test_members_partitioned_into_2_and_2_converge_after_its_end() -> None:
    for seed in range(10):
        net = cluster(4, seed)
        sides = {"m0": 0, "m2": 0, "m1": 1, "m3": 1}
        net.is_blocked = lambda source, target, sides=sides: sides[source] != sides[target]  # type: ignore[misc]
        net.run(10_000.0)
        assert net.live_as_seen_by("m0") == {"m2"}
        assert net.live_as_seen_by("m3") == {"m1"}
        net.is_blocked = lambda source, target: False
        assert_converges(net)


def test_partitioned_members_rejoin_even_if_all_seeds_have_died_meanwhile() -> None:
    for seed in range(10):
        net = cluster(4, seed)
        net.is_blocked = lambda source, target: "m3" in (source, target)
        net.kill("m0")
        net.kill("m1")
        net.run(10_000.0)
        assert net.live_as_seen_by("m3") | net.live_as_seen_by("m2") == set()
        net.is_blocked = lambda source, target: False
        assert_converges(net)


def test_a_rolling_restart_converges() -> None:
    net = cluster(4, 5)
    for number in range(4):
        net.kill(f"m{number}")
        # No member has declared it dead yet; its new run must not be mistaken for the old one.
        net.run(300.0)
        net.start(f"m{number}", ("m0", "m1"))
        net.run(3_000.0)
    assert_converges(net)


def test_a_member_that_joins_and_dies_within_a_second_is_no_longer_live() -> None:
    net = cluster(4, 6)
    net.start("m4", ("m0",))
    net.run(700.0)
    net.kill("m4")
    assert_converges(net)
    assert net.live_as_seen_by("m2") == {"m0", "m1", "m3"}


def test_a_clock_that_jumps_within_the_accepted_window_causes_no_deaths() -> None:
    for jump_ms in (-10_000.0, 10_000.0):
        net = cluster(4, 7)
        net.nodes["m1"].clock_offset_ms = jump_ms
        assert_converges(net, 20_000.0)
        assert_no_deaths(net)


def test_a_member_whose_clock_is_outside_the_window_is_isolated_until_it_is_corrected() -> None:
    net = cluster(4, 8)
    net.nodes["m1"].clock_offset_ms = 3_600_000.0
    net.run(10_000.0)
    assert "m1" not in net.live_as_seen_by("m0")
    assert net.dropped[DropReason.STALE] > 0
    net.nodes["m1"].clock_offset_ms = 0.0
    assert_converges(net, 30_000.0)


def start_duplicate(net: MemberNetwork, name: str) -> MemberNode:
    """Starts another member with a name that is in use, at another address."""
    first = net.nodes.pop(name)
    duplicate = net.start(name, ("m0",), port=8_888)
    net.nodes[name], net.nodes["duplicate"] = first, duplicate
    return duplicate


def test_of_two_processes_with_the_same_name_the_first_keeps_it() -> None:
    net = cluster(4, 9)
    second = net.start("m2", ("m0", "m1"))
    assert net.nodes["m2"] is second  # at the same address, this is a restart
    net.run(5_000.0)
    original = MemberNetwork.start(net, "m9", ("m0",), port=7_777)
    net.run(3_000.0)
    duplicate = start_duplicate(net, "m9")
    net.run(10_000.0)
    assert (original.core.is_active, duplicate.core.is_active) == (True, False)
    assert [observation.change for observation in net.changes(MemberChange.NAME_TAKEN)] == [
        MemberChange.NAME_TAKEN
    ]
    assert net.nodes["m0"].core.members.by_name["m9"].address == original.address


def test_two_simulations_with_the_same_seed_are_the_same() -> None:
    def simulate(seed: int) -> list[str]:
        net = cluster(6, seed)
        net.loss_rate = 0.2
        net.kill("m1")
        net.run(10_000.0)
        return [*map(repr, net.observed), repr(net.sent_bytes)]

    assert simulate(5) == simulate(5)
    assert simulate(5) != simulate(6)


def run_random_faults(seed: int) -> MemberNetwork:
    draw = random.Random(seed)
    net = cluster(draw.choice((3, 4, 5)), seed, settle_ms=2_000.0)
    names = list(net.nodes)
    for _ in range(draw.randrange(3, 9)):
        name = draw.choice(names)
        match draw.randrange(7):
            case 0:
                net.kill(name)
            case 1:
                net.start(name, ("m0", "m1"))
            case 2:
                net.pause(name, draw.uniform(10.0, 4_000.0))
            case 3:
                net.loss_rate = draw.choice((0.0, 0.1, 0.3))
            case 4:
                is_one_way = draw.random() < 0.5
                net.is_blocked = lambda source, target, name=name, is_one_way=is_one_way: (  # type: ignore[misc]
                    source == name or (target == name and not is_one_way)
                )
            case 5:
                net.is_blocked = lambda source, target: False
            case 6:
                net.nodes[name].clock_offset_ms = draw.uniform(-5_000.0, 5_000.0)
        net.run(draw.uniform(0.0, 3_000.0))
    net.loss_rate, net.is_blocked = 0.0, lambda source, target: False
    net.run(25_000.0)
    return net


def test_members_converge_after_random_faults() -> None:
    for seed in range(150):
        net = run_random_faults(seed)
        assert net.has_converged(), (seed, {name: net.live_as_seen_by(name) for name in net.nodes})
