"""Leases in virtual time: voter, candidate, fence, checker, and seeded schedules of faults."""

import random
from concurrent.futures import ProcessPoolExecutor

from gladewalk.leases.candidate import LeaseCandidate
from gladewalk.leases.configuration import LeaseConfig
from gladewalk.leases.dispatch import dispatch_election_message
from gladewalk.leases.fence import Fence, OperationRecord
from gladewalk.leases.history import Verdict, check_history
from gladewalk.leases.messages import (
    ElectionMessage,
    LeaseRelease,
    Message,
    PreVoteRequest,
    PreVoteResponse,
    VoteDenied,
    VoteGranted,
    VoteRequest,
    decode,
    encode,
)
from gladewalk.leases.outputs import GRANT_SPACE, GrantRecord, Output, Save, Send, decode_grant, encode_row
from gladewalk.leases.voter import Voter
from gladewalk.rehearsal.lease_faults import Fault, FaultKind
from gladewalk.rehearsal.lease_simulation import LeaseSimulation, run_schedule, run_with_skewed_clocks

CONFIG = LeaseConfig()
RETRY_MS = CONFIG.max_retry_delay_ms
SCHEDULES, SEEDS_PER_PART = 10_000, 500


def saved_grant(out: list[Output]) -> GrantRecord:
    """What is saved before a grant that follows."""
    (save,) = out
    assert isinstance(save, Save) and save.space == GRANT_SPACE and save.value is not None
    assert isinstance(save.on_durable[0], Send) and isinstance(save.on_durable[0].message, VoteGranted)
    return decode_grant(save.value)


def carry_out_saves(voter: Voter, out: list[Output]) -> list[Output]:
    """What is done on a disk that takes all at once."""
    done: list[Output] = []
    for action in out:
        if isinstance(action, Save) and action.value is not None:
            voter.mark_durable(action.key, action.value)
            done += action.on_durable
        else:
            done.append(action)
    return done


def message_of(out: list[Output]) -> Message:
    """The message of the first output, which is sent at once."""
    assert isinstance(out[0], Send)
    return out[0].message


def test_a_voter_grants_a_term_once_and_another_only_after_the_promise_and_its_margin() -> None:
    voter, promise_ms = Voter("e", CONFIG, 0.0, {}), CONFIG.promise_ms
    assert isinstance(message_of(voter.handle_vote_request(VoteRequest("d", 1, "a", 1), 10.0)), VoteDenied)
    # The grant is what follows the save, and nothing else is sent; nor again before the row is durable.
    for round_number in (1, 2):
        out = voter.handle_vote_request(VoteRequest("d", 1, "a", round_number), promise_ms)
        assert saved_grant(out) == GrantRecord(1, "a")
    voter.mark_durable("d", encode_row(GrantRecord(1, "a")))
    (again,) = voter.handle_vote_request(VoteRequest("d", 1, "a", 3), promise_ms)
    assert isinstance(again, Send) and isinstance(again.message, VoteGranted)
    refused = message_of(voter.handle_vote_request(VoteRequest("d", 2, "b", 1), 2 * promise_ms - 1.0))
    assert isinstance(refused, VoteDenied)
    assert (refused.highest_term, refused.holder, refused.remaining_ms) == (1, "a", 1.0)
    other = message_of(voter.handle_vote_request(VoteRequest("d", 1, "b", 2), 2 * promise_ms))
    assert isinstance(other, VoteDenied)
    out = voter.handle_vote_request(VoteRequest("d", 2, "b", 2), 2 * promise_ms)
    assert saved_grant(out) == GrantRecord(2, "b")


def test_a_restarted_voter_keeps_its_terms_and_promises_nothing_new_for_a_whole_promise() -> None:
    voter = Voter("e", CONFIG, 0.0, {"d": GrantRecord(7, "a")})
    refused = message_of(voter.handle_vote_request(VoteRequest("d", 8, "b", 1), CONFIG.promise_ms - 1.0))
    assert isinstance(refused, VoteDenied) and refused.highest_term == 7
    # Its one possible promise was to a: a renewal conflicts with nobody.
    renewed = message_of(voter.handle_vote_request(VoteRequest("d", 7, "a", 1), 1.0))
    assert isinstance(renewed, VoteGranted)
    other = message_of(voter.handle_vote_request(VoteRequest("d", 7, "b", 2), 5_000.0))
    assert isinstance(other, VoteDenied)


def test_a_release_frees_the_promise_at_once_and_a_named_successor_comes_first() -> None:
    voter = Voter("e", CONFIG, -CONFIG.promise_ms, {})
    voter.handle_vote_request(VoteRequest("d", 1, "a", 1), 0.0)
    assert voter.handle_release(LeaseRelease("d", 1, "x"), 1.0) == []  # not the holder: nothing
    voter.handle_release(LeaseRelease("d", 1, "a", successor="c"), 1.0)
    other = message_of(voter.handle_vote_request(VoteRequest("d", 2, "b", 1), 2.0))
    assert isinstance(other, VoteDenied)
    assert saved_grant(voter.handle_vote_request(VoteRequest("d", 2, "c", 1), 2.0)) == GrantRecord(2, "c")


def settle(candidate: LeaseCandidate, voters: list[Voter], out: list[Output], now: float) -> None:
    """Every message and answer, without loss or delay."""
    waiting = list(out)
    while waiting:
        action = waiting.pop(0)
        if not isinstance(action, Send) or isinstance(action.message, LeaseRelease):
            continue
        voter = next((voter for voter in voters if voter.name == action.recipient), None)
        if isinstance(action.message, VoteRequest | PreVoteRequest):
            if voter is not None:
                waiting += carry_out_saves(
                    voter, dispatch_election_message(voter, candidate, action.message, now)
                )
        else:
            assert isinstance(action.message, ElectionMessage)
            waiting += dispatch_election_message(voters[0], candidate, action.message, now + 1.0)


def test_a_majority_gives_a_token_that_ends_a_margin_before_the_promises_and_renewals_keep_it() -> None:
    names = ("a", "b", "c")
    voters = [Voter(name, CONFIG, -CONFIG.promise_ms, {}) for name in names]
    candidate = LeaseCandidate("a", names, ("d",), CONFIG, random.Random(1), 0.0)
    settle(candidate, voters[:2], candidate.tick(RETRY_MS), RETRY_MS)  # c is away: two suffice
    assert candidate.token("d", RETRY_MS + 2.0) == 1
    assert candidate.token("d", RETRY_MS + CONFIG.hold_ms + 2.0) is None
    now = RETRY_MS
    for _ in range(10):
        now += CONFIG.renewal_interval_ms
        settle(candidate, voters[:2], candidate.tick(now), now)
    assert candidate.token("d", now + CONFIG.hold_ms - 1.0) == 1
    assert candidate.token("d", now + CONFIG.hold_ms + 2.0) is None


def test_a_pre_vote_binds_nobody_and_no_one_is_asked_while_a_majority_is_bound() -> None:
    names = ("a", "b", "c")
    candidate = LeaseCandidate("a", names, ("d",), CONFIG, random.Random(1), 0.0)
    voters = [Voter(name, CONFIG, -CONFIG.promise_ms, {}) for name in names]
    for voter in voters[:2]:
        carry_out_saves(voter, voter.handle_vote_request(VoteRequest("d", 6, "z", 1), 0.0))
    settle(candidate, voters, candidate.tick(RETRY_MS), RETRY_MS)
    assert [voter.promises["d"].holder for voter in voters[:2]] == ["z", "z"] and not voters[2].promises
    left = CONFIG.promise_ms - RETRY_MS  # of both; no later than half a lease is it tried again
    assert left > CONFIG.lease_ms / 2.0 and candidate.leases["d"].highest_term == 6
    later = candidate.next_due_ms()
    assert CONFIG.lease_ms / 2.0 <= later - RETRY_MS <= CONFIG.lease_ms / 2.0 + RETRY_MS
    settle(candidate, voters, candidate.tick(CONFIG.promise_ms + RETRY_MS), CONFIG.promise_ms + 1.0)
    assert candidate.token("d", CONFIG.promise_ms + RETRY_MS + 2.0) == 7


def asked_of(candidate: LeaseCandidate, now: float) -> VoteRequest:
    """A candidate's ask, after a majority said that it would grant it."""
    (pre_vote, *_) = candidate.tick(now)
    assert isinstance(pre_vote, Send) and isinstance(pre_vote.message, PreVoteRequest)
    number = pre_vote.message.round_number
    assert candidate.handle_pre_vote_response(PreVoteResponse("d", number, "a", 0, "", 0.0), now) == []
    (asked, *_) = candidate.handle_pre_vote_response(PreVoteResponse("d", number, "b", 0, "", 0.0), now)
    assert isinstance(asked, Send) and isinstance(asked.message, VoteRequest)
    return asked.message


def test_a_round_without_a_majority_hands_its_grants_back_and_asks_next_under_a_higher_term() -> None:
    names = ("a", "b", "c")
    candidate = LeaseCandidate("a", names, ("d",), CONFIG, random.Random(1), 0.0)
    asked = asked_of(candidate, RETRY_MS)
    candidate.handle_vote_granted(VoteGranted("d", 1, "a", asked.round_number, "a"), RETRY_MS)
    candidate.handle_vote_denied(VoteDenied("d", asked.round_number, "b", 1, "b", 0.0), RETRY_MS)
    back = candidate.tick(RETRY_MS + CONFIG.round_timeout_ms)
    assert back == [
        Send(voter, LeaseRelease("d", 1, "a")) for voter in ("a", "c")
    ]  # c may have granted, unheard
    assert asked_of(candidate, RETRY_MS * 3 + CONFIG.round_timeout_ms).term == 2


def test_a_holders_renewal_counts_however_late_its_answers_come_and_never_after_its_lease() -> None:
    names = ("a", "b", "c")
    candidate = LeaseCandidate("a", names, ("d",), CONFIG, random.Random(1), 0.0)
    asked, now = asked_of(candidate, RETRY_MS), RETRY_MS
    for voter in ("a", "b"):
        candidate.handle_vote_granted(VoteGranted("d", 1, "a", asked.round_number, voter), now)
    numbers = []
    for turn in (1, 2):
        (renewal, *_) = candidate.tick(now + turn * CONFIG.renewal_interval_ms)
        assert isinstance(renewal, Send) and isinstance(renewal.message, VoteRequest)
        numbers.append(renewal.message.round_number)
    for voter in ("b", "c"):  # answers to the first, after the second was sent
        candidate.handle_vote_granted(VoteGranted("d", 1, "a", numbers[0], voter), now + 650.0)
    until = now + CONFIG.renewal_interval_ms + CONFIG.hold_ms
    assert candidate.token("d", until - 1.0) == 1
    out = candidate.tick(until)  # over: it has stopped, and frees who still hears it
    assert Send("b", LeaseRelease("d", 1, "a")) in out
    candidate.handle_vote_granted(VoteGranted("d", 1, "a", numbers[1], "b"), until + 1.0)
    candidate.handle_vote_granted(VoteGranted("d", 1, "a", numbers[1], "c"), until + 1.0)
    assert candidate.token("d", until + 2.0) is None


def test_where_answers_take_long_rounds_wait_longer_but_never_a_whole_lease() -> None:
    candidate = LeaseCandidate("a", ("a", "b", "c"), ("d",), CONFIG, random.Random(1), 0.0)
    (pre_vote, *_) = candidate.tick(RETRY_MS)
    assert isinstance(pre_vote, Send) and isinstance(pre_vote.message, PreVoteRequest)
    late = RETRY_MS + 300.0
    sent = [output.message for output in candidate.tick(late) if isinstance(output, Send)]
    assert not [message for message in sent if isinstance(message, VoteRequest)]
    candidate.handle_pre_vote_response(
        PreVoteResponse("d", pre_vote.message.round_number, "b", 0, "", 0.0), late
    )
    assert candidate.round_timeout_ms() == 450.0
    candidate.handle_pre_vote_response(
        PreVoteResponse("d", pre_vote.message.round_number, "c", 0, "", 0.0), late + 5_000.0
    )
    assert candidate.round_timeout_ms() == 0.6 * CONFIG.lease_ms


def test_terms_that_let_a_grantor_promise_another_while_one_still_holds_are_refused() -> None:
    assert CONFIG.validation_error() is None
    assert LeaseConfig(stop_margin_ms=0.0, grant_margin_ms=0.0).validation_error() == (
        "grant_margin_ms: too small for the drift; another could be promised while one still holds"
    )
    assert LeaseConfig(stop_margin_ms=1_000.0).validation_error() == "stop_margin_ms: leaves no time to hold"


def test_messages_go_through_their_encoding_unchanged() -> None:
    for message in (
        VoteRequest("d", 3, "a", 9),
        VoteGranted("d", 3, "a", 9, "b"),
        VoteDenied("d", 9, "b", 4, "c", 12.5),
        LeaseRelease("d", 3, "a", "c"),
        PreVoteRequest("d", "a", 9),
        PreVoteResponse("d", 9, "b", 4, "c", 12.5),
    ):
        assert decode(encode(message)) == message


def test_the_fence_refuses_a_lower_token_and_the_checker_finds_what_a_broken_resource_lets_through() -> None:
    fence = Fence()
    assert fence.admit("d", 2, "a", 0.0, 1.0) and not fence.admit("d", 1, "b", -1.0, 2.0)
    assert fence.admit("d", 2, "a", 3.0, 3.0) and fence.rejected_count == 1
    assert check_history(fence.records).is_safe
    broken = [OperationRecord("d", 2, "a", 0.0, 1.0, True), OperationRecord("d", 1, "b", -1.0, 2.0, True)]
    verdict = check_history(broken)
    assert verdict.stale_accepted == 1 and verdict.overlaps == 0
    crossing = [
        OperationRecord("d", 1, "a", 0.0, 1.0, True),
        OperationRecord("d", 2, "b", 5.0, 6.0, True),
        OperationRecord("d", 1, "a", 6.0, 7.0, False),
    ]
    assert check_history(crossing).overlaps == 1
    assert check_history([OperationRecord("d", 1, "a", 0.0, 1.0, False)]).unexplained_rejections == 1


def test_the_longest_gap_without_a_holder_leaves_out_what_is_excused() -> None:
    records = [OperationRecord("d", 1, "a", at_ms, at_ms, True) for at_ms in (0.0, 100.0, 2_100.0)]
    assert check_history(records, end_ms=2_200.0).max_gap_ms == 2_000.0
    assert check_history(records, end_ms=2_200.0, excused=[(500.0, 1_500.0)]).max_gap_ms == 1_000.0


def story(
    director_count: int, faults: list[Fault], length_ms: float = 8_000.0, seed: int = 5
) -> tuple[LeaseSimulation, Verdict]:
    simulation = LeaseSimulation(seed, director_count)
    simulation.schedule(faults)
    simulation.start()
    simulation.run_until(length_ms)
    return simulation, check_history(simulation.fence.records, length_ms, simulation.excused)


def holder(simulation: LeaseSimulation, task: str = "purge") -> str:
    holders = [
        name
        for name, director in simulation.directors.items()
        if director.is_up and director.candidate.token(task, director.clock(simulation.now_ms))
    ]
    assert len(holders) <= 1
    return holders[0] if holders else ""


def first_holder(director_count: int) -> str:
    simulation, _ = story(director_count, [], length_ms=3_000.0)
    return holder(simulation)


def holders_between(simulation: LeaseSimulation, start_ms: float, end_ms: float) -> set[str]:
    """Whose operations the resource accepted."""
    return {
        record.holder
        for record in simulation.fence.records
        if record.is_accepted and start_ms < record.received_at_ms < end_ms
    }


def test_a_holder_paused_past_its_lease_is_fenced_where_it_acts_and_stops() -> None:
    victim = first_holder(3)
    simulation, verdict = story(3, [Fault(3_000.0, 2_500.0, FaultKind.PAUSE, (victim,))])
    assert verdict.is_safe and verdict.max_gap_ms < 2_000.0
    late = [
        record for record in simulation.fence.records if record.holder == victim and not record.is_accepted
    ]
    assert late, "what it wrote after the pause, with what it read before, is refused"
    assert holder(simulation) != victim or simulation.directors[victim].candidate.token("purge", 0.0) is None


def test_one_sided_cuts_either_way_hand_the_lease_on_and_leave_one_holder() -> None:
    for kind in (FaultKind.CUT_OUTBOUND, FaultKind.CUT_INBOUND):
        victim = first_holder(5)
        simulation, verdict = story(5, [Fault(3_000.0, 4_000.0, kind, (victim,))])
        assert verdict.is_safe and verdict.max_gap_ms < 2_500.0, (kind, verdict)
        holders = holders_between(simulation, 4_500.0, 7_000.0)
        assert holders and victim not in holders, (kind, holders)


def test_a_minority_side_keeps_no_holder_while_the_majority_elects_one() -> None:
    victim = first_holder(5)
    side = (victim, next(name for name in ("d0", "d1", "d2") if name != victim))
    simulation, verdict = story(5, [Fault(3_000.0, 4_000.0, FaultKind.PARTITION, side)])
    assert verdict.is_safe and verdict.max_gap_ms < 2_000.0
    holders = holders_between(simulation, 4_500.0, 7_000.0)
    assert holders and not holders & set(side)


def test_with_a_majority_gone_there_is_no_holder_rather_than_two_and_one_comes_back_after() -> None:
    simulation, verdict = story(
        5, [Fault(3_000.0, 3_000.0, FaultKind.KILL, ("d0", "d1", "d2"))], length_ms=10_000.0
    )
    assert verdict.is_safe
    assert not holders_between(simulation, 4_200.0, 6_000.0)
    assert holders_between(simulation, 9_000.0, float("inf"))


def test_a_clean_stop_hands_on_at_once_and_a_torn_grant_is_not_given_twice() -> None:
    victim = first_holder(3)
    _simulation, verdict = story(3, [Fault(3_000.0, 2_000.0, FaultKind.CLEAN_STOP, (victim,))])
    assert verdict.is_safe and verdict.max_gap_ms < 500.0
    _, torn = story(
        3,
        [
            Fault(3_000.0, 500.0, FaultKind.TORN_GRANT, (victim,)),
            Fault(3_200.0, 500.0, FaultKind.TORN_GRANT, ("d1",)),
        ],
    )
    assert torn.is_safe


class PermissiveFence(Fence):
    """A resource that does not check tokens."""

    def admit(
        self, task: str, token: int, holder: str, performed_at_ms: float, received_at_ms: float
    ) -> bool:
        self.records.append(OperationRecord(task, token, holder, performed_at_ms, received_at_ms, True))
        return True


def play_seeds(seeds: range, fence_type: type[Fence]) -> list[Verdict]:
    return [run_schedule(seed, 3 + 2 * (seed % 2), fence=fence_type()) for seed in seeds]


def play_many(count: int, fence_type: type[Fence] = Fence) -> list[Verdict]:
    """Plays so many seeds in several processes."""
    parts = [range(first, first + SEEDS_PER_PART) for first in range(0, count, SEEDS_PER_PART)]
    with ProcessPoolExecutor(max_workers=8) as pool:
        verdicts = pool.map(play_seeds, parts, [fence_type] * len(parts))
        return [verdict for part in verdicts for verdict in part]


def test_ten_thousand_seeded_schedules_keep_one_holder_and_broken_copies_are_found() -> None:
    verdicts = play_many(SCHEDULES)
    assert len(verdicts) == SCHEDULES
    assert sum(verdict.overlaps for verdict in verdicts) == 0
    assert sum(verdict.stale_accepted + verdict.unexplained_rejections for verdict in verdicts) == 0
    assert sum(verdict.rejections for verdict in verdicts) > 0  # fencing was called upon
    broken = play_many(2_000, PermissiveFence)
    assert sum(verdict.stale_accepted > 0 for verdict in broken) > 0


def test_clocks_skewed_to_the_bound_keep_holders_apart_and_without_the_margins_they_do_not() -> None:
    assert all(run_with_skewed_clocks(seed).is_safe for seed in range(300))
    broken = LeaseConfig(stop_margin_ms=0.0, grant_margin_ms=0.0)
    assert sum(run_with_skewed_clocks(seed, config=broken).overlaps > 0 for seed in range(300)) > 0
