"""Members on a busy host whose event loops stall repeatedly: delayed timers cause no false deaths."""

import random

import msgspec
import pytest

from gladewalk.faultnet.expected_failures import expected_failures
from gladewalk.faultnet.membership_cases import CASES
from gladewalk.faultnet.schedule import FaultKind
from gladewalk.members.actions import ProbeOutcome, SendDatagram
from gladewalk.members.config import MembershipConfig
from gladewalk.members.history import unexpected_deaths
from gladewalk.members.loop_delay import DEFERRAL_MS, GRACE_FACTOR, HALF_LIFE_MS, MIN_DELAY_MS, LoopDelay
from gladewalk.members.messages import MemberState
from gladewalk.rehearsal.member_faults import run_schedule
from gladewalk.rehearsal.member_network import MemberNetwork, cluster


def busy_cluster(size: int, seed: int, max_stall_ms: float) -> MemberNetwork:
    """A cluster whose members each stall about every 0.7 s, for up to `max_stall_ms`.

    After a stall, a member runs its timers before it reads datagrams.
    """
    net, rng = cluster(size, seed), random.Random(seed)
    net.run(5_000.0)

    def stall(name: str) -> None:
        node = net.nodes[name]
        if node.is_up and net.now_ms >= node.paused_until_ms:
            net.pause(name, rng.uniform(0.1, 1.0) * max_stall_ms)
        net.schedule(rng.uniform(200.0, 1_200.0), lambda: stall(name))

    for name in list(net.nodes):
        stall(name)
    net.run(3_000.0)
    return net


@pytest.mark.parametrize("max_stall_ms", [200.0, 400.0, 580.0])
def test_a_link_blocked_one_way_causes_no_unexpected_deaths_on_a_busy_host(max_stall_ms: float) -> None:
    (case,) = (case for case in CASES if case.kind == FaultKind.LINK)
    for seed in range(6):
        net = busy_cluster(5, seed, max_stall_ms)
        begun_ms, names = net.now_ms, tuple(net.nodes)
        faults = case.faults(names)
        run_schedule(net, faults)
        net.run(12_000.0)
        expected = expected_failures(faults, names, begun_ms, MembershipConfig().max_stall_ms)
        assert not unexpected_deaths(net.observed, expected), seed


def test_a_delayed_timer_is_deferred_until_datagrams_are_read_and_never_twice_in_a_row() -> None:
    delay = LoopDelay(600.0)
    assert not delay.defers(1_000.0, 1_000.0 + MIN_DELAY_MS / 2) and delay.current_ms(1_010.0) == 0.0
    assert delay.defers(1_000.0, 1_100.0) and not delay.defers(1_105.0, 1_205.0)
    assert delay.current_ms(1_205.0) == 100.0 and delay.grace_ms(1_205.0) == GRACE_FACTOR * 100.0
    assert 45.0 < delay.current_ms(1_205.0 + HALF_LIFE_MS) < 55.0 and delay.current_ms(1e6) == 0.0
    assert delay.defers(2_000.0, 99_000.0) and delay.current_ms(99_000.0) == 600.0


def test_pending_datagrams_are_read_before_a_member_is_declared_dead() -> None:
    """A timer that runs late is deferred, so that an unread refutation is handled before the timer."""
    net = cluster(3, 1)
    net.run(5_000.0)
    core = net.nodes["m0"].core
    suspect = core.members.by_name["m1"]
    suspicion = msgspec.structs.replace(suspect.update, state=MemberState.SUSPECT, suspected_by="m0")
    core.gossip.apply(suspicion, net.now_ms)
    core.outbox.take()
    suspect.probe_outcome, suspect.is_probe_pending = ProbeOutcome.UNREACHABLE, False
    suspect.has_consulted_peers = True
    delayed_ms = suspect.suspicion_ends_ms + 200.0
    core.last_observed_ms = delayed_ms - 300.0  # too short a time to count as a stop of the process
    assert core.tick(delayed_ms) == [] and core.next_due_ms() == delayed_ms + DEFERRAL_MS
    refutation = msgspec.structs.replace(suspect.update, state=MemberState.ALIVE, incarnation=2**40)
    core.gossip.apply(refutation, delayed_ms + 1.0, "m2")
    core.tick(delayed_ms + DEFERRAL_MS)
    assert core.members.by_name["m1"].is_live


def test_a_refutation_is_returned_when_peers_are_consulted_before_a_member_is_declared_dead() -> None:
    net = cluster(5, 3)
    net.run(5_000.0)
    suspector, peer = net.nodes["m2"].core, net.nodes["m3"].core
    old = suspector.members.by_name["m0"].update
    newer = msgspec.structs.replace(old, incarnation=old.incarnation + 1)
    suspector.gossip.apply(
        msgspec.structs.replace(old, state=MemberState.SUSPECT, suspected_by="m2"), net.now_ms
    )
    peer.gossip.apply(newer, net.now_ms)
    suspector.outbox.take()
    suspector.suspicions.consult_peers(suspector.members.by_name["m0"], net.now_ms)
    queries = [action for action in suspector.outbox.take() if isinstance(action, SendDatagram)]
    assert len(queries) == 3
    assert all(suspector.members.by_name["m0"].update in action.message.updates for action in queries)
    address = net.nodes["m2"].address
    actions = peer.receive(queries[0].message, address, net.now_ms)
    sent = [action for action in actions if isinstance(action, SendDatagram)]
    responses = [action.message for action in sent if action.to == address]
    assert any(newer in message.updates for message in responses)
