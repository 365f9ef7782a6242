"""Failure detection in a simulated network: deaths, pauses, unreachable machines, loss and delay."""

from gladewalk.members.actions import MemberChange
from gladewalk.members.authenticator import DropReason
from gladewalk.members.config import MembershipConfig
from gladewalk.rehearsal.member_network import cluster
from tests.membership_checks import assert_no_deaths, settle

TAKEOVER_MS = 2_000.0  # the objective: by then all members know of a death


def test_members_find_one_another_and_nobody_is_suspected() -> None:
    for count in (2, 3, 5, 8, 24):
        net = cluster(count, seed=count)
        assert net.has_converged(), count
        net.run(20_000.0)
        assert net.changes(MemberChange.SUSPECTED) == []


def test_all_members_detect_a_death_within_2_s() -> None:
    for count in (2, 3, 4, 8):
        for seed in range(25):
            net = cluster(count, seed, settle_ms=2_500.0 + 37.0 * seed)
            killed = net.now_ms
            net.kill("m1")
            net.run(TAKEOVER_MS)
            found = net.changes(MemberChange.DIED, "m1", killed)
            assert len(found) == count - 1, (count, seed)
            assert net.has_converged()


def test_a_pause_shorter_than_the_stall_limit_takes_tasks_and_not_the_membership() -> None:
    for seed in range(20):
        net = cluster(4, seed)
        net.pause("m2", 6_000.0)
        net.run(3_000.0)
        assert {seen.observer for seen in net.changes(MemberChange.STALLED, "m2")} == {"m0", "m1", "m3"}
        for name in ("m0", "m1", "m3"):
            assert set(net.nodes[name].core.responsive_weights()) == {"m0", "m1", "m3"}
        settle(net)
        assert_no_deaths(net)
        assert len(net.nodes["m0"].core.responsive_weights()) == 4


def test_a_pause_longer_than_the_stall_limit_is_a_death_and_the_member_rejoins() -> None:
    for seed in range(20):
        net = cluster(4, seed)
        net.pause("m2", 15_000.0)
        net.run(9_500.0)
        assert_no_deaths(net)
        net.run(5_000.0)
        assert len(net.changes(MemberChange.DIED, "m2")) == 3
        settle(net)
        assert [death for death in net.changes(MemberChange.DIED) if death.observer == "m2"] == []


def test_a_stalled_member_that_is_killed_is_found_dead_before_the_stall_limit() -> None:
    net = cluster(4, 1)
    net.pause("m2", 9_000.0)
    net.run(2_000.0)
    net.kill("m2")
    net.run(4_000.0)
    assert len(net.changes(MemberChange.DIED, "m2")) == 3


def test_an_unreachable_machine_is_dead_once_the_suspicion_expires() -> None:
    for seed in range(20):
        net = cluster(5, seed)
        net.unreachable_machines.add("m3")
        net.kill("m3")
        net.run(3_000.0)
        assert len(net.changes(MemberChange.DIED, "m3")) == 4


def test_a_member_cut_off_one_way_is_held_dead_and_its_reports_kill_nobody() -> None:
    for out in (True, False):
        for seed in range(10):
            net = cluster(5, seed)
            net.is_blocked = lambda source, target, out=out: (source if out else target) == "m4"  # type: ignore[misc]
            net.run(10_000.0)
            deaths = net.changes(MemberChange.DIED)
            wrong = [death for death in deaths if "m4" not in (death.member, death.observer)]
            assert wrong == []
            if out:  # whom all hear and who hears nobody may be held either way
                assert "m4" not in net.live_as_seen_by("m0")
            net.is_blocked = lambda source, target: False
            settle(net)


def test_long_delays_cause_no_deaths() -> None:
    for seed in range(10):
        net = cluster(5, seed)
        net.delay_range_ms = (200.0, 400.0)
        net.run(30_000.0)
        assert_no_deaths(net)


def test_10_and_30_percent_of_loss_cause_no_deaths() -> None:
    for seed in range(10):
        for loss in (0.1, 0.3):
            net = cluster(5, seed)
            net.loss_rate = loss
            net.run(30_000.0)
            assert_no_deaths(net)


def test_a_stall_shorter_than_a_suspicion_causes_no_deaths() -> None:
    for seed in range(20):
        net = cluster(4, seed)
        net.pause("m2", 450.0)
        settle(net, 8_000.0)
        assert_no_deaths(net)


def test_indirect_pings_get_round_a_link_cut_one_way() -> None:
    for seed in range(10):
        net = cluster(5, seed)
        net.is_blocked = lambda source, target: (source, target) == ("m0", "m1")
        settle(net, 20_000.0)
        assert_no_deaths(net)


def test_loss_duplication_and_reordering_cause_no_deaths() -> None:
    for seed in range(8):
        net = cluster(5, seed)
        net.loss_rate, net.duplicate_rate, net.delay_range_ms = 0.1, 0.2, (0.2, 12.0)
        net.run(30_000.0)
        assert_no_deaths(net)
        assert net.dropped[DropReason.REPLAYED] > 0
        net.loss_rate = 0.3
        net.run(30_000.0)
        net.loss_rate = 0.0
        settle(net)


def test_missing_answers_worsen_the_local_health_first() -> None:
    """One whose messages are lost both ways slows down, and accuses later than it would."""
    net = cluster(6, 3, MembershipConfig())
    net.is_blocked = lambda source, target: "m0" in (source, target)
    net.run(1_500.0)
    assert net.nodes["m0"].core.health_score > 2
    assert net.nodes["m3"].core.health_score == 0
