"""Leases in virtual time: voter, candidate, fence, history checker, and seeded schedules of faults."""

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


def saved_grant(outputs: list[Output]) -> GrantRecord:
    """The row that is saved before its grant is sent."""
    (save,) = outputs
    assert isinstance(save, Save) and save.space == GRANT_SPACE and save.value is not None
    assert isinstance(save.on_durable[0], Send) and isinstance(save.on_durable[0].message, VoteGranted)
    return decode_grant(save.value)


def carry_out_saves(voter: Voter, outputs: list[Output]) -> list[Output]:
    """The outputs that are carried out on a disk on which every row is durable at once."""
    done: list[Output] = []
    for action in outputs:
        if isinstance(action, Save) and action.value is not None:
            voter.mark_durable(action.key, action.value)
            done += action.on_durable
        else:
            done.append(action)
    return done


def message_of(outputs: list[Output]) -> Message:
    """The message of the first output, which is sent without a save before it."""
    assert isinstance(outputs[0], Send)
    return outputs[0].message


def test_a_voter_grants_a_term_once_and_the_next_term_only_after_the_promise_and_its_margin() -> None:
    voter, promise_ms = Voter("e", CONFIG, 0.0, {}), CONFIG.promise_ms
    assert isinstance(message_of(voter.handle_vote_request(VoteRequest("d", 1, "a", 1), 10.0)), VoteDenied)
    # Only the grant follows the save. Until the row is durable, a repeated grant is saved first as well.
    for round_number in (1, 2):
        outputs = voter.handle_vote_request(VoteRequest("d", 1, "a", round_number), promise_ms)
        assert saved_grant(outputs) == GrantRecord(1, "a")
    voter.mark_durable("d", encode_row(GrantRecord(1, "a")))
    (repeated,) = voter.handle_vote_request(VoteRequest("d", 1, "a", 3), promise_ms)
    assert isinstance(repeated, Send) and isinstance(repeated.message, VoteGranted)
    denied = message_of(voter.handle_vote_request(VoteRequest("d", 2, "b", 1), 2 * promise_ms - 1.0))
    assert isinstance(denied, VoteDenied)
    assert (denied.highest_term, denied.holder, denied.remaining_ms) == (1, "a", 1.0)
    other = message_of(voter.handle_vote_request(VoteRequest("d", 1, "b", 2), 2 * promise_ms))
    assert isinstance(other, VoteDenied)
    outputs = voter.handle_vote_request(VoteRequest("d", 2, "b", 2), 2 * promise_ms)
    assert saved_grant(outputs) == GrantRecord(2, "b")


def test_a_restarted_voter_keeps_its_terms_and_promises_nothing_new_for_one_promise_time() -> None:
    voter = Voter("e", CONFIG, 0.0, {"d": GrantRecord(7, "a")})
    denied = message_of(voter.handle_vote_request(VoteRequest("d", 8, "b", 1), CONFIG.promise_ms - 1.0))
    assert isinstance(denied, VoteDenied) and denied.highest_term == 7
    # It can only have made a promise to a, so a's renewal conflicts with no promise.
    renewed = message_of(voter.handle_vote_request(VoteRequest("d", 7, "a", 1), 1.0))
    assert isinstance(renewed, VoteGranted)
    other = message_of(voter.handle_vote_request(VoteRequest("d", 7, "b", 2), 5_000.0))
    assert isinstance(other, VoteDenied)


def test_a_release_ends_the_promise_at_once_and_reserves_the_lease_for_a_named_successor() -> None:
    voter = Voter("e", CONFIG, -CONFIG.promise_ms, {})
    voter.handle_vote_request(VoteRequest("d", 1, "a", 1), 0.0)
    assert voter.handle_release(LeaseRelease("d", 1, "x"), 1.0) == []  # not from the holder: ignored
    voter.handle_release(LeaseRelease("d", 1, "a", successor="c"), 1.0)
    other = message_of(voter.handle_vote_request(VoteRequest("d", 2, "b", 1), 2.0))
    assert isinstance(other, VoteDenied)
    assert saved_grant(voter.handle_vote_request(VoteRequest("d", 2, "c", 1), 2.0)) == GrantRecord(2, "c")


def deliver_all(candidate: LeaseCandidate, voters: list[Voter], outputs: list[Output], now: float) -> None:
    """Delivers every message and response, without loss or delay."""
    undelivered = list(outputs)
    while undelivered:
        action = undelivered.pop(0)
        if not isinstance(action, Send) or isinstance(action.message, LeaseRelease):
            continue
        voter = next((voter for voter in voters if voter.name == action.recipient), None)
        if isinstance(action.message, VoteRequest | PreVoteRequest):
            if voter is not None:
                undelivered += carry_out_saves(
                    voter, dispatch_election_message(voter, candidate, action.message, now)
                )
        else:
            assert isinstance(action.message, ElectionMessage)
            undelivered += dispatch_election_message(voters[0], candidate, action.message, now + 1.0)


def test_a_majority_grants_a_token_that_expires_a_margin_before_the_promises_and_renewals_extend_it() -> None:
    names = ("a", "b", "c")
    voters = [Voter(name, CONFIG, -CONFIG.promise_ms, {}) for name in names]
    candidate = LeaseCandidate("a", names, ("d",), CONFIG, random.Random(1), 0.0)
    deliver_all(candidate, voters[:2], candidate.tick(RETRY_MS), RETRY_MS)  # c does not respond: two suffice
    assert candidate.token("d", RETRY_MS + 2.0) == 1
    assert candidate.token("d", RETRY_MS + CONFIG.hold_ms + 2.0) is None
    now = RETRY_MS
    for _ in range(10):
        now += CONFIG.renewal_interval_ms
        deliver_all(candidate, voters[:2], candidate.tick(now), now)
    assert candidate.token("d", now + CONFIG.hold_ms - 1.0) == 1
    assert candidate.token("d", now + CONFIG.hold_ms + 2.0) is None


def test_a_pre_vote_binds_no_voter_and_no_votes_are_requested_while_a_majority_is_bound() -> None:
    names = ("a", "b", "c")
    candidate = LeaseCandidate("a", names, ("d",), CONFIG, random.Random(1), 0.0)
    voters = [Voter(name, CONFIG, -CONFIG.promise_ms, {}) for name in names]
    for voter in voters[:2]:
        carry_out_saves(voter, voter.handle_vote_request(VoteRequest("d", 6, "z", 1), 0.0))
    deliver_all(candidate, voters, candidate.tick(RETRY_MS), RETRY_MS)
    assert [voter.promises["d"].holder for voter in voters[:2]] == ["z", "z"] and not voters[2].promises
    # The remaining time of both voters' promises; the candidate retries after half a lease at most.
    promise_left_ms = CONFIG.promise_ms - RETRY_MS
    assert promise_left_ms > CONFIG.lease_ms / 2.0 and candidate.leases["d"].highest_term == 6
    retry_at_ms = candidate.next_due_ms()
    assert CONFIG.lease_ms / 2.0 <= retry_at_ms - RETRY_MS <= CONFIG.lease_ms / 2.0 + RETRY_MS
    deliver_all(candidate, voters, candidate.tick(CONFIG.promise_ms + RETRY_MS), CONFIG.promise_ms + 1.0)
    assert candidate.token("d", CONFIG.promise_ms + RETRY_MS + 2.0) == 7


def request_votes(candidate: LeaseCandidate, now: float) -> VoteRequest:
    """A candidate's vote request, after a majority responded to its pre-vote that it would grant one."""
    (pre_vote, *_) = candidate.tick(now)
    assert isinstance(pre_vote, Send) and isinstance(pre_vote.message, PreVoteRequest)
    number = pre_vote.message.round_number
    assert candidate.handle_pre_vote_response(PreVoteResponse("d", number, "a", 0, "", 0.0), now) == []
    (vote_request, *_) = candidate.handle_pre_vote_response(
        PreVoteResponse("d", number, "b", 0, "", 0.0), now
    )
    assert isinstance(vote_request, Send) and isinstance(vote_request.message, VoteRequest)
    return vote_request.message


def test_a_round_without_a_majority_releases_its_grants_and_the_next_round_uses_a_higher_term() -> None:
    names = ("a", "b", "c")
    candidate = LeaseCandidate("a", names, ("d",), CONFIG, random.Random(1), 0.0)
    vote_request = request_votes(candidate, RETRY_MS)
    candidate.handle_vote_granted(VoteGranted("d", 1, "a", vote_request.round_number, "a"), RETRY_MS)
    candidate.handle_vote_denied(VoteDenied("d", vote_request.round_number, "b", 1, "b", 0.0), RETRY_MS)
    releases = candidate.tick(RETRY_MS + CONFIG.round_timeout_ms)
    # c is notified too: its grant may have been lost.
    assert releases == [Send(voter, LeaseRelease("d", 1, "a")) for voter in ("a", "c")]
    assert request_votes(candidate, RETRY_MS * 3 + CONFIG.round_timeout_ms).term == 2


def test_delayed_responses_to_a_renewal_count_but_not_after_the_lease_has_expired() -> None:
    names = ("a", "b", "c")
    candidate = LeaseCandidate("a", names, ("d",), CONFIG, random.Random(1), 0.0)
    vote_request, now = request_votes(candidate, RETRY_MS), RETRY_MS
    for voter in ("a", "b"):
        candidate.handle_vote_granted(VoteGranted("d", 1, "a", vote_request.round_number, voter), now)
    numbers = []
    for renewal_number in (1, 2):
        (renewal, *_) = candidate.tick(now + renewal_number * CONFIG.renewal_interval_ms)
        assert isinstance(renewal, Send) and isinstance(renewal.message, VoteRequest)
        numbers.append(renewal.message.round_number)
    for voter in ("b", "c"):  # responses to the first renewal, after the second was sent
        candidate.handle_vote_granted(VoteGranted("d", 1, "a", numbers[0], voter), now + 650.0)
    expires_at_ms = now + CONFIG.renewal_interval_ms + CONFIG.hold_ms
    assert candidate.token("d", expires_at_ms - 1.0) == 1
    # The lease has expired: the holder has stopped, and releases the promises of voters it can reach.
    outputs = candidate.tick(expires_at_ms)
    assert Send("b", LeaseRelease("d", 1, "a")) in outputs
    candidate.handle_vote_granted(VoteGranted("d", 1, "a", numbers[1], "b"), expires_at_ms + 1.0)
    candidate.handle_vote_granted(VoteGranted("d", 1, "a", numbers[1], "c"), expires_at_ms + 1.0)
    assert candidate.token("d", expires_at_ms + 2.0) is None


def test_rounds_wait_longer_for_slow_responses_but_never_a_whole_lease() -> None:
    candidate = LeaseCandidate("a", ("a", "b", "c"), ("d",), CONFIG, random.Random(1), 0.0)
    (pre_vote, *_) = candidate.tick(RETRY_MS)
    assert isinstance(pre_vote, Send) and isinstance(pre_vote.message, PreVoteRequest)
    response_at_ms = RETRY_MS + 300.0
    sent = [output.message for output in candidate.tick(response_at_ms) if isinstance(output, Send)]
    assert not [message for message in sent if isinstance(message, VoteRequest)]
    candidate.handle_pre_vote_response(
        PreVoteResponse("d", pre_vote.message.round_number, "b", 0, "", 0.0), response_at_ms
    )
    assert candidate.round_timeout_ms() == 450.0
    candidate.handle_pre_vote_response(
        PreVoteResponse("d", pre_vote.message.round_number, "c", 0, "", 0.0), response_at_ms + 5_000.0
    )
    assert candidate.round_timeout_ms() == 0.6 * CONFIG.lease_ms


def test_durations_that_would_allow_two_holders_at_once_are_rejected() -> None:
    assert CONFIG.validation_error() is None
    assert LeaseConfig(stop_margin_ms=0.0, grant_margin_ms=0.0).validation_error() == (
        "grant_margin_ms: too small for the drift; another could be promised while one still holds"
    )
    assert LeaseConfig(stop_margin_ms=1_000.0).validation_error() == "stop_margin_ms: leaves no time to hold"


def test_messages_are_unchanged_after_encoding_and_decoding() -> None:
    for message in (
        VoteRequest("d", 3, "a", 9),
        VoteGranted("d", 3, "a", 9, "b"),
        VoteDenied("d", 9, "b", 4, "c", 12.5),
        LeaseRelease("d", 3, "a", "c"),
        PreVoteRequest("d", "a", 9),
        PreVoteResponse("d", 9, "b", 4, "c", 12.5),
    ):
        assert decode(encode(message)) == message


def test_the_fence_rejects_a_lower_token_and_the_checker_reports_a_resource_that_accepts_one() -> None:
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


def test_the_longest_gap_without_a_holder_does_not_count_excluded_spans() -> None:
    records = [OperationRecord("d", 1, "a", at_ms, at_ms, True) for at_ms in (0.0, 100.0, 2_100.0)]
    assert check_history(records, end_ms=2_200.0).max_gap_ms == 2_000.0
    assert check_history(records, end_ms=2_200.0, excluded_spans=[(500.0, 1_500.0)]).max_gap_ms == 1_000.0


def run_faults(
    director_count: int, faults: list[Fault], length_ms: float = 8_000.0, seed: int = 5
) -> tuple[LeaseSimulation, Verdict]:
    simulation = LeaseSimulation(seed, director_count)
    simulation.schedule(faults)
    simulation.start()
    simulation.run_until(length_ms)
    return simulation, check_history(simulation.fence.records, length_ms, simulation.excused)


def current_holder(simulation: LeaseSimulation, task: str = "purge") -> str:
    holders = [
        name
        for name, director in simulation.directors.items()
        if director.is_up and director.candidate.token(task, director.clock(simulation.now_ms))
    ]
    assert len(holders) <= 1
    return holders[0] if holders else ""


def first_holder(director_count: int) -> str:
    simulation, _ = run_faults(director_count, [], length_ms=3_000.0)
    return current_holder(simulation)


def holders_between(simulation: LeaseSimulation, start_ms: float, end_ms: float) -> set[str]:
    """The holders whose operations the resource accepted between two times."""
    return {
        record.holder
        for record in simulation.fence.records
        if record.is_accepted and start_ms < record.received_at_ms < end_ms
    }


def test_a_holder_paused_past_its_lease_is_rejected_by_the_fence_and_stops() -> None:
    victim = first_holder(3)
    simulation, verdict = run_faults(3, [Fault(3_000.0, 2_500.0, FaultKind.PAUSE, (victim,))])
    assert verdict.is_safe and verdict.max_gap_ms < 2_000.0
    rejected = [
        record for record in simulation.fence.records if record.holder == victim and not record.is_accepted
    ]
    assert rejected, "operations after the pause, under the token read before it, are rejected"
    assert (
        current_holder(simulation) != victim
        or simulation.directors[victim].candidate.token("purge", 0.0) is None
    )


def test_a_one_way_cut_in_either_direction_moves_the_lease_and_leaves_one_holder() -> None:
    for kind in (FaultKind.CUT_OUTBOUND, FaultKind.CUT_INBOUND):
        victim = first_holder(5)
        simulation, verdict = run_faults(5, [Fault(3_000.0, 4_000.0, kind, (victim,))])
        assert verdict.is_safe and verdict.max_gap_ms < 2_500.0, (kind, verdict)
        holders = holders_between(simulation, 4_500.0, 7_000.0)
        assert holders and victim not in holders, (kind, holders)


def test_the_minority_of_a_partition_has_no_holder_while_the_majority_elects_one() -> None:
    victim = first_holder(5)
    side = (victim, next(name for name in ("d0", "d1", "d2") if name != victim))
    simulation, verdict = run_faults(5, [Fault(3_000.0, 4_000.0, FaultKind.PARTITION, side)])
    assert verdict.is_safe and verdict.max_gap_ms < 2_000.0
    holders = holders_between(simulation, 4_500.0, 7_000.0)
    assert holders and not holders & set(side)


def test_without_a_majority_there_is_no_holder_and_one_is_elected_once_a_majority_returns() -> None:
    simulation, verdict = run_faults(
        5, [Fault(3_000.0, 3_000.0, FaultKind.KILL, ("d0", "d1", "d2"))], length_ms=10_000.0
    )
    assert verdict.is_safe
    assert not holders_between(simulation, 4_200.0, 6_000.0)
    assert holders_between(simulation, 9_000.0, float("inf"))


def test_a_clean_stop_releases_the_lease_at_once_and_a_torn_grant_is_not_granted_twice() -> None:
    victim = first_holder(3)
    _simulation, verdict = run_faults(3, [Fault(3_000.0, 2_000.0, FaultKind.CLEAN_STOP, (victim,))])
    assert verdict.is_safe and verdict.max_gap_ms < 500.0
    _, torn = run_faults(
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


def run_seeds(seeds: range, fence_type: type[Fence]) -> list[Verdict]:
    return [run_schedule(seed, 3 + 2 * (seed % 2), fence=fence_type()) for seed in seeds]


def run_many_seeds(count: int, fence_type: type[Fence] = Fence) -> list[Verdict]:
    """Runs the schedules of `count` seeds in several processes."""
    parts = [range(first, first + SEEDS_PER_PART) for first in range(0, count, SEEDS_PER_PART)]
    with ProcessPoolExecutor(max_workers=8) as pool:
        verdicts = pool.map(run_seeds, parts, [fence_type] * len(parts))
        return [verdict for part in verdicts for verdict in part]


def test_ten_thousand_seeded_schedules_keep_one_holder_and_a_broken_fence_is_detected() -> None:
    verdicts = run_many_seeds(SCHEDULES)
    assert len(verdicts) == SCHEDULES
    assert sum(verdict.overlaps for verdict in verdicts) == 0
    assert sum(verdict.stale_accepted + verdict.unexplained_rejections for verdict in verdicts) == 0
    assert sum(verdict.rejections for verdict in verdicts) > 0  # the fence had operations to reject
    broken = run_many_seeds(2_000, PermissiveFence)
    assert sum(verdict.stale_accepted > 0 for verdict in broken) > 0


def test_clocks_at_the_drift_bound_do_not_allow_two_holders_but_do_so_without_the_margins() -> None:
    assert all(run_with_skewed_clocks(seed).is_safe for seed in range(300))
    broken = LeaseConfig(stop_margin_ms=0.0, grant_margin_ms=0.0)
    assert sum(run_with_skewed_clocks(seed, config=broken).overlaps > 0 for seed in range(300)) > 0
