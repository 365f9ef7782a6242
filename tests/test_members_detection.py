"""Failure detection in a simulated network: deaths, pauses, unreachable machines, loss and delay."""

from gladewalk.members.actions import MemberChange
from gladewalk.members.authenticator import DropReason
from gladewalk.members.config import MembershipConfig
from gladewalk.rehearsal.member_network import cluster
from tests.membership_checks import assert_converges, assert_no_deaths

TAKEOVER_MS = 2_000.0  # objective: the time by which all members know of a death


def test_members_find_one_another_and_none_is_suspected() -> None:
    for count in (2, 3, 5, 8, 24):
        net = cluster(count, seed=count)
        assert net.has_converged(), count
        net.run(20_000.0)
        assert net.changes(MemberChange.SUSPECTED) == []


def test_all_members_detect_a_death_within_2_s() -> None:
    for count in (2, 3, 4, 8):
        for seed in range(25):
            net = cluster(count, seed, settle_ms=2_500.0 + 37.0 * seed)
            killed_ms = net.now_ms
            net.kill("m1")
            net.run(TAKEOVER_MS)
            detections = net.changes(MemberChange.DIED, "m1", killed_ms)
            assert len(detections) == count - 1, (count, seed)
            assert net.has_converged()


def test_a_member_paused_for_less_than_the_stall_limit_loses_its_tasks_and_stays_a_member() -> None:
    for seed in range(20):
        net = cluster(4, seed)
        net.pause("m2", 6_000.0)
        net.run(3_000.0)
        assert {observation.observer for observation in net.changes(MemberChange.STALLED, "m2")} == {
            "m0",
            "m1",
            "m3",
        }
        for name in ("m0", "m1", "m3"):
            assert set(net.nodes[name].core.responsive_weights()) == {"m0", "m1", "m3"}
        assert_converges(net)
        assert_no_deaths(net)
        assert len(net.nodes["m0"].core.responsive_weights()) == 4


def test_a_member_paused_for_longer_than_the_stall_limit_is_declared_dead_and_rejoins() -> None:
    for seed in range(20):
        net = cluster(4, seed)
        net.pause("m2", 15_000.0)
        net.run(9_500.0)
        assert_no_deaths(net)
        net.run(5_000.0)
        assert len(net.changes(MemberChange.DIED, "m2")) == 3
        assert_converges(net)
        assert [death for death in net.changes(MemberChange.DIED) if death.observer == "m2"] == []


def test_a_stalled_member_that_is_killed_is_declared_dead_before_the_stall_limit() -> None:
    net = cluster(4, 1)
    net.pause("m2", 9_000.0)
    net.run(2_000.0)
    net.kill("m2")
    net.run(4_000.0)
    assert len(net.changes(MemberChange.DIED, "m2")) == 3


def test_a_member_on_an_unreachable_machine_is_declared_dead_once_the_suspicion_expires() -> None:
    for seed in range(20):
        net = cluster(5, seed)
        net.unreachable_machines.add("m3")
        net.kill("m3")
        net.run(3_000.0)
        assert len(net.changes(MemberChange.DIED, "m3")) == 4


def test_a_member_blocked_one_way_is_declared_dead_and_its_reports_cause_no_other_deaths() -> None:
    for is_outgoing in (True, False):
        for seed in range(10):
            net = cluster(5, seed)
            net.is_blocked = lambda source, target, is_outgoing=is_outgoing: (  # type: ignore[misc]
                (source if is_outgoing else target) == "m4"
            )
            net.run(10_000.0)
            deaths = net.changes(MemberChange.DIED)
            wrong = [death for death in deaths if "m4" not in (death.member, death.observer)]
            assert wrong == []
            if is_outgoing:  # a member that sends but receives nothing may be considered live or dead
                assert "m4" not in net.live_as_seen_by("m0")
            net.is_blocked = lambda source, target: False
            assert_converges(net)


def test_long_delays_cause_no_deaths() -> None:
    for seed in range(10):
        net = cluster(5, seed)
        net.delay_range_ms = (200.0, 400.0)
        net.run(30_000.0)
        assert_no_deaths(net)


def test_a_loss_of_10_and_30_percent_causes_no_deaths() -> None:
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
        assert_converges(net, 8_000.0)
        assert_no_deaths(net)


def test_indirect_pings_avoid_deaths_when_a_link_is_blocked_one_way() -> None:
    for seed in range(10):
        net = cluster(5, seed)
        net.is_blocked = lambda source, target: (source, target) == ("m0", "m1")
        assert_converges(net, 20_000.0)
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
        assert_converges(net)


def test_missing_acks_worsen_the_local_health_first() -> None:
    """A member whose messages are lost in both directions extends its timeouts and suspects others later."""
    net = cluster(6, 3, MembershipConfig())
    net.is_blocked = lambda source, target: "m0" in (source, target)
    net.run(1_500.0)
    assert net.nodes["m0"].core.health_score > 2
    assert net.nodes["m3"].core.health_score == 0
