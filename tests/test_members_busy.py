"""Members on a busy host, whose loops stand still now and then: who is late finds nobody dead by it."""

import random
from typing import Any

import msgspec
import pytest

from gladewalk.faultnet.expected_failures import expected_failures
from gladewalk.faultnet.membership_cases import CASES
from gladewalk.faultnet.schedule import FaultKind
from gladewalk.members.actions import ProbeOutcome, SendDatagram
from gladewalk.members.config import MembershipConfig
from gladewalk.members.history import unexpected_deaths
from gladewalk.members.loop_delay import GRACE_FACTOR, HALF_LIFE_MS, MIN_DELAY_MS, READ_MS, LoopDelay
from gladewalk.members.messages import MemberState
from gladewalk.rehearsal.member_faults import play
from gladewalk.rehearsal.member_network import cluster


def busy_cluster(size: int, seed: int, most_ms: float) -> Any:
    """Members that each stall for up to so long about every 0.7 s, and then run their timers first."""
    net, draw = cluster(size, seed), random.Random(seed)
    net.run(5_000.0)

    def stall(name: str) -> None:
        node = net.nodes[name]
        if node.is_up and net.now_ms >= node.paused_until_ms:
            net.pause(name, draw.uniform(0.1, 1.0) * most_ms)
        net.schedule(draw.uniform(200.0, 1_200.0), lambda: stall(name))

    for name in list(net.nodes):
        stall(name)
    net.run(3_000.0)
    return net


@pytest.mark.parametrize("most_ms", [200.0, 400.0, 580.0])
def test_a_link_cut_one_way_costs_nobody_its_place_on_a_busy_host(most_ms: float) -> None:
    (case,) = (case for case in CASES if case.kind == FaultKind.LINK)
    for seed in range(6):
        net = busy_cluster(5, seed, most_ms)
        begun, names = net.now_ms, tuple(net.nodes)
        faults = case.faults(names)
        play(net, faults)
        net.run(12_000.0)
        assert not unexpected_deaths(
            net.observed, expected_failures(faults, names, begun, MembershipConfig().max_stall_ms)
        ), (
            most_ms,
            seed,
        )


def test_a_late_timer_waits_until_what_has_come_is_read_and_never_twice_in_a_row() -> None:
    late = LoopDelay(600.0)
    assert not late.defers(1_000.0, 1_000.0 + MIN_DELAY_MS / 2) and late.current_ms(1_010.0) == 0.0
    assert late.defers(1_000.0, 1_100.0) and not late.defers(1_105.0, 1_205.0)
    assert late.current_ms(1_205.0) == 100.0 and late.grace_ms(1_205.0) == GRACE_FACTOR * 100.0
    assert 45.0 < late.current_ms(1_205.0 + HALF_LIFE_MS) < 55.0 and late.current_ms(1e6) == 0.0
    assert late.defers(2_000.0, 99_000.0) and late.current_ms(99_000.0) == 600.0


def test_a_member_reads_before_it_judges() -> None:
    """Its timer runs late, with the refutation unread: it is put off, and nobody is held dead."""
    net = cluster(3, 1)
    net.run(5_000.0)
    core = net.nodes["m0"].core
    victim = core.members.by_name["m1"]
    core.gossip.apply(
        msgspec.structs.replace(victim.update, state=MemberState.SUSPECT, suspected_by="m0"), net.now_ms
    )
    core.outbox.take()
    victim.probe_outcome, victim.is_probe_pending, victim.has_consulted_peers = (
        ProbeOutcome.UNREACHABLE,
        False,
        True,
    )
    late = victim.suspicion_ends_ms + 200.0
    core.last_turn_ms = late - 300.0  # it was heard of a moment ago: no stop of ours
    assert core.tick(late) == [] and core.next_due_ms() == late + READ_MS
    core.gossip.apply(
        msgspec.structs.replace(victim.update, state=MemberState.ALIVE, incarnation=2**40), late + 1.0, "m2"
    )
    core.tick(late + READ_MS)
    assert core.members.by_name["m1"].is_live


def test_who_holds_a_suspicion_that_was_refuted_is_corrected_and_asks_before_a_verdict() -> None:
    net = cluster(5, 3)
    net.run(5_000.0)
    judge, other = net.nodes["m2"].core, net.nodes["m3"].core
    old = judge.members.by_name["m0"].update
    newer = msgspec.structs.replace(old, incarnation=old.incarnation + 1)
    judge.gossip.apply(msgspec.structs.replace(old, state=MemberState.SUSPECT, suspected_by="m2"), net.now_ms)
    other.gossip.apply(newer, net.now_ms)
    judge.outbox.take()
    judge.suspicions.consult_peers(judge.members.by_name["m0"], net.now_ms)
    asked = [out for out in judge.outbox.take() if isinstance(out, SendDatagram)]
    assert len(asked) == 3 and all(judge.members.by_name["m0"].update in out.message.updates for out in asked)
    told = other.receive(asked[0].message, net.nodes["m2"].address, net.now_ms)
    answers = [
        out.message for out in told if isinstance(out, SendDatagram) and out.to == net.nodes["m2"].address
    ]
    assert any(newer in message.updates for message in answers)
