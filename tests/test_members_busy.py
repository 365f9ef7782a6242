"""Members on a busy host, whose loops stand still now and then: who is late finds nobody dead by it."""

import random
from typing import Any

import msgspec
import pytest

from gladewalk.faultnet.causes import causes_of
from gladewalk.faultnet.membership_cases import CASES
from gladewalk.members.actions import ProbeOutcome, SendDatagram
from gladewalk.members.config import MembershipConfig
from gladewalk.members.history import wrong_deaths
from gladewalk.members.loop_delay import FELT_MS, HALF_MS, HOPS, READ_MS, Lateness
from gladewalk.members.messages import MemberState
from gladewalk.rehearsal.member_network import cluster, play


def busy_cluster(size: int, seed: int, most_ms: float) -> Any:
    """Members that each stall for up to so long about every 0.7 s, and then run their timers first."""
    net, draw = cluster(size, seed), random.Random(seed)
    net.run(5_000.0)

    def stall(name: str) -> None:
        node = net.nodes[name]
        if node.up and net.now >= node.stopped_until:
            net.stop(name, draw.uniform(0.1, 1.0) * most_ms)
        net.after(draw.uniform(200.0, 1_200.0), lambda: stall(name))

    for name in list(net.nodes):
        stall(name)
    net.run(3_000.0)
    return net


@pytest.mark.parametrize("most_ms", [200.0, 400.0, 580.0])
def test_a_link_cut_one_way_costs_nobody_its_place_on_a_busy_host(most_ms: float) -> None:
    (case,) = (case for case in CASES if case.kind == "link")
    for seed in range(6):
        net = busy_cluster(5, seed, most_ms)
        begun, names = net.now, tuple(net.nodes)
        faults = case.faults(names)
        play(net, faults)
        net.run(12_000.0)
        assert not wrong_deaths(net.seen, causes_of(faults, names, begun, MembershipConfig().max_stall_ms)), (
            most_ms,
            seed,
        )


def test_a_late_timer_waits_until_what_has_come_is_read_and_never_twice_in_a_row() -> None:
    late = Lateness(600.0)
    assert not late.puts_off(1_000.0, 1_000.0 + FELT_MS / 2) and late.ms(1_010.0) == 0.0
    assert late.puts_off(1_000.0, 1_100.0) and not late.puts_off(1_105.0, 1_205.0)
    assert late.ms(1_205.0) == 100.0 and late.grace_ms(1_205.0) == HOPS * 100.0
    assert 45.0 < late.ms(1_205.0 + HALF_MS) < 55.0 and late.ms(1e6) == 0.0
    assert late.puts_off(2_000.0, 99_000.0) and late.ms(99_000.0) == 600.0  # a stop teaches no more than that


def test_a_member_reads_before_it_judges() -> None:
    """Its timer runs late, with the refutation unread: it is put off, and nobody is held dead."""
    net = cluster(3, 1)
    net.run(5_000.0)
    core = net.nodes["m0"].core
    victim = core.members["m1"]
    core.hear(msgspec.structs.replace(victim.rumour, state=MemberState.SUSPECT, suspected_by="m0"), net.now)
    core._take()
    victim.outcome, victim.knocking, victim.asked = ProbeOutcome.UNREACHABLE, False, True
    late = victim.dead_at_ms + 200.0
    core.last_ms = late - 300.0  # it was heard of a moment ago: no stop of ours
    assert core.tick(late) == [] and core.due() == late + READ_MS
    core.hear(
        msgspec.structs.replace(victim.rumour, state=MemberState.ALIVE, incarnation=2**40), late + 1.0, "m2"
    )
    core.tick(late + READ_MS)
    assert core.members["m1"].live


def test_who_holds_a_suspicion_that_was_refuted_is_corrected_and_asks_before_a_verdict() -> None:
    net = cluster(5, 3)
    net.run(5_000.0)
    judge, other = net.nodes["m2"].core, net.nodes["m3"].core
    old = judge.members["m0"].rumour
    newer = msgspec.structs.replace(old, incarnation=old.incarnation + 1)
    judge.hear(msgspec.structs.replace(old, state=MemberState.SUSPECT, suspected_by="m2"), net.now)
    other.hear(newer, net.now)
    judge._take()
    judge._ask_others(judge.members["m0"])
    asked = [out for out in judge._take() if isinstance(out, SendDatagram)]
    assert len(asked) == 3 and all(judge.members["m0"].rumour in out.message.updates for out in asked)
    told = other.receive(asked[0].message, net.nodes["m2"].address, net.now)
    answers = [
        out.message for out in told if isinstance(out, SendDatagram) and out.to == net.nodes["m2"].address
    ]
    assert any(newer in message.updates for message in answers)
