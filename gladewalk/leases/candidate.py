"""Candidate and holder side of leases: elections, renewals and the fencing token of each task.

A candidate begins with a pre-vote (Ongaro, 2014, section 9.6), which binds no voter. Once a majority would
grant the lease, the candidate requests votes under the next term. With a majority of grants it holds the
lease for `hold_ms` on its own clock, counted from when it sent the request. Without the pre-vote, a request
that only a minority grants (since other voters have just started or messages were lost) would bind those
voters to a candidate that does not win, and the holder would have to raise its term past that candidate's
term again and again.

A holder reads `token()` immediately before each operation; the token is None once the lease has ended. A
holder that was paused, partitioned or outvoted therefore stops by its own clock, and resources reject its
earlier operations once they have accepted a later token (`fence.py`). No I/O: time and randomness are passed
in.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from .configuration import LeaseConfig, majority
from .messages import (
    ElectionMessage,
    LeaseRelease,
    PreVoteRequest,
    PreVoteResponse,
    VoteDenied,
    VoteGranted,
    VoteRequest,
)
from .outputs import EventKind, LeaseEvent, Output, Send
from .status import LeaseStatus

MAX_ROUND_FRACTION = 0.6  # longest wait of a round for slow responses, as a fraction of the lease
ROUND_TIMEOUT_FACTOR = 1.5  # round timeout as a multiple of the observed response time
EWMA_ALPHA = 0.1  # weight of a response that was faster than the average
# Random delay of candidates that know when the lease is free, as a fraction of the maximum retry delay.
SUCCESSION_SPREAD = 0.25
MAX_TIMED_ROUNDS = 16  # only the responses to this many latest rounds are timed


@dataclass(slots=True)
class ElectionRound:
    """One pre-vote (term 0) or one request for votes under `term`."""

    number: int
    term: int
    sent_at_ms: float
    granted_by: set[str] = field(default_factory=set)
    denied_by: set[str] = field(default_factory=set)
    remaining_ms: dict[str, float] = field(default_factory=dict)  # of a pre-vote: until it would grant


@dataclass(slots=True)
class LeaseState:
    """One task's lease as this candidate knows it; times are on its own clock."""

    term: int = 0  # under which the lease is held, 0 if it is not
    expires_at_ms: float = float("-inf")
    renewed_at_ms: float = float("-inf")  # when the last renewal was sent
    highest_term: int = 0  # seen in any message
    next_election_at_ms: float = 0.0
    election: ElectionRound | None = None  # in progress, at a candidate
    renewals: dict[int, ElectionRound] = field(default_factory=dict)  # sent by a holder, by round number
    changed_at_ms: float = 0.0  # when the lease was won or lost


class ResponseTimer:
    """Estimates the voters' response time: rises at once, falls by a weighted moving average."""

    def __init__(self) -> None:
        self.average_ms = 0.0
        self._sent_at_ms: dict[int, float] = {}  # by round number, the latest rounds only

    def note_sent(self, round_number: int, now_ms: float) -> None:
        """Begins to time the responses to a round."""
        self._sent_at_ms[round_number] = now_ms
        self._sent_at_ms.pop(round_number - MAX_TIMED_ROUNDS, None)

    def note_response(self, round_number: int, now_ms: float) -> None:
        """Adds a response; responses to rounds that are no longer timed are ignored."""
        sent_at_ms = self._sent_at_ms.get(round_number)
        if sent_at_ms is None:
            return
        elapsed_ms = now_ms - sent_at_ms
        average_ms = (1.0 - EWMA_ALPHA) * self.average_ms + EWMA_ALPHA * elapsed_ms
        self.average_ms = max(elapsed_ms, average_ms)


class LeaseCandidate:
    """One director's leases; `voters` are names of directors, usually including this one.

    The numbers of rounds follow `last_round_number`, which differs from run to run: the promise behind a vote
    for the run before ends earlier than one for a new round.
    """

    def __init__(
        self,
        name: str,
        voters: tuple[str, ...],
        tasks: tuple[str, ...],
        config: LeaseConfig,
        rng: random.Random,
        now_ms: float,
        last_round_number: int = 0,
    ) -> None:
        self.name, self.voters, self.config, self.random = name, voters, config, rng
        self.needed_votes = majority(len(voters))
        self.blocking_votes = len(voters) - self.needed_votes + 1  # this many denials rule out a majority
        self.last_round_number = last_round_number
        self.response_timer = ResponseTimer()
        self.leases = {
            task: LeaseState(
                next_election_at_ms=now_ms + rng.random() * config.max_retry_delay_ms, changed_at_ms=now_ms
            )
            for task in tasks
        }

    def token(self, task: str, now_ms: float) -> int | None:
        """Returns the fencing token to act under now, or None if the lease is not held."""
        lease = self.leases[task]
        return lease.term if lease.term and now_ms < lease.expires_at_ms else None

    def tick(self, now_ms: float) -> list[Output]:
        """Expires leases, abandons rounds that timed out, sends renewals, and begins elections."""
        outputs: list[Output] = []
        for task, lease in self.leases.items():
            if lease.term and now_ms >= lease.expires_at_ms:
                outputs += self._expire(task, lease, now_ms)
            if lease.election is not None and now_ms >= self._round_deadline_ms(lease.election):
                outputs += self._abandon_round(task, lease, now_ms)
            if lease.election is None:
                outputs += self._renew_or_elect(task, lease, now_ms)
        return outputs

    def next_due_ms(self) -> float:
        """Returns the latest time at which `tick` has to be called next."""
        return min((self._lease_due_ms(lease) for lease in self.leases.values()), default=float("inf"))

    def round_timeout_ms(self) -> float:
        """Returns how long a round waits for responses, in ms; longer if recent responses were slow."""
        wanted_ms = max(self.config.round_timeout_ms, ROUND_TIMEOUT_FACTOR * self.response_timer.average_ms)
        return min(wanted_ms, MAX_ROUND_FRACTION * self.config.lease_ms)

    def handle_pre_vote_response(self, response: PreVoteResponse, now_ms: float) -> list[Output]:
        """Requests votes once a majority would grant the lease, or waits until a majority might."""
        self._note_response(response.round_number, response.voter, now_ms)
        lease = self.leases.get(response.task)
        if lease is None:
            return []
        lease.highest_term = max(lease.highest_term, response.highest_term)
        pre_vote = lease.election
        if pre_vote is None or pre_vote.term or pre_vote.number != response.round_number:
            return []
        pre_vote.remaining_ms[response.voter] = response.remaining_ms
        if sum(left_ms <= 0.0 for left_ms in pre_vote.remaining_ms.values()) >= self.needed_votes:
            lease.election = self._new_round(lease.highest_term + 1, now_ms)
            return self._request_votes(response.task, lease.election)
        promised_ms = sorted(left_ms for left_ms in pre_vote.remaining_ms.values() if left_ms > 0.0)
        if len(promised_ms) >= self.blocking_votes:  # no majority until some of them end
            wait_ms = promised_ms[len(promised_ms) - self.blocking_votes]
            return self._abandon_round(response.task, lease, now_ms, wait_ms)
        return []

    def handle_vote_granted(self, granted: VoteGranted, now_ms: float) -> list[Output]:
        """Counts a vote; a majority wins or renews the lease, counted from when the round was sent."""
        self._note_response(granted.round_number, granted.voter, now_ms)
        lease = self.leases.get(granted.task)
        if lease is None:
            return []
        is_renewal = granted.round_number in lease.renewals
        votes = lease.renewals.get(granted.round_number, lease.election)
        if votes is None or (votes.number, votes.term) != (granted.round_number, granted.term):
            return []
        votes.granted_by.add(granted.voter)
        if len(votes.granted_by) < self.needed_votes:
            return []
        # Counted from when the request was sent, since every voter's promise began after that.
        expires_at_ms = votes.sent_at_ms + self.config.hold_ms
        lease.highest_term = max(lease.highest_term, votes.term)
        if is_renewal:
            del lease.renewals[granted.round_number]
        else:
            lease.election = None
            lease.renewed_at_ms, lease.changed_at_ms = votes.sent_at_ms, now_ms
        lease.expires_at_ms = max(lease.expires_at_ms, expires_at_ms) if lease.term else expires_at_ms
        if votes.term <= lease.term:
            return []
        kind = EventKind.RAISED if lease.term else EventKind.WON
        lease.term = votes.term
        return [LeaseEvent(kind, granted.task, votes.term, self.name)]

    def handle_vote_denied(self, denied: VoteDenied, now_ms: float) -> list[Output]:
        """Counts a denial; a round that can no longer win a majority is abandoned at once."""
        self._note_response(denied.round_number, denied.voter, now_ms)
        lease = self.leases.get(denied.task)
        if lease is None:
            return []
        # A higher term granted by one voter does not imply a majority for that term. A holder continues until
        # its lease expires, as it does if a majority denies its renewals.
        lease.highest_term = max(lease.highest_term, denied.highest_term)
        if lease.election is None or lease.election.number != denied.round_number:
            return []
        lease.election.denied_by.add(denied.voter)
        if len(lease.election.denied_by) >= self.blocking_votes:
            return self._abandon_round(denied.task, lease, now_ms, denied.remaining_ms)
        return []

    def handle_release(self, release: LeaseRelease, now_ms: float) -> list[Output]:
        """Schedules an election after another director's release; later if that names another successor."""
        lease = self.leases.get(release.task)
        if lease is None or lease.term:
            return []
        lease.highest_term = max(lease.highest_term, release.term)
        if lease.election is None and release.holder != self.name:
            is_eligible = release.successor in ("", self.name)
            delay_ms = 0.0 if is_eligible else self.config.promise_ms
            is_successor = release.successor == self.name
            spread_ms = 0.0 if is_successor else SUCCESSION_SPREAD * self.config.max_retry_delay_ms
            lease.next_election_at_ms = now_ms + delay_ms + self.random.random() * spread_ms
        return []

    def handle_fencing(self, task: str, term: int, highest_token: int, now_ms: float) -> list[Output]:
        """Ends the lease if a resource rejected `term` for a higher token, which only a later holder has."""
        lease = self.leases.get(task)
        if lease is None:
            return []
        lease.highest_term = max(lease.highest_term, highest_token)
        if lease.term != term or highest_token <= term:
            return []
        self._clear(lease, now_ms)
        lease.next_election_at_ms = now_ms + self.config.promise_ms
        return [LeaseEvent(EventKind.FENCED, task, term, self.name)]

    def step_down(self, task: str, now_ms: float, successor: str = "") -> list[Output]:
        """Releases a lease, so that another director may win it at once; does nothing if it is not held."""
        lease = self.leases[task]
        if not lease.term:
            return []
        outputs = self._release(task, lease, EventKind.RELEASED, now_ms, successor)
        lease.next_election_at_ms = now_ms + self.config.promise_ms  # gives another director time to win it
        return outputs

    def status(self, now_ms: float) -> dict[str, LeaseStatus]:
        """Describes the lease of each task."""
        return {
            task: LeaseStatus(
                token=self.token(task, now_ms) or 0,
                remaining_ms=max(lease.expires_at_ms - now_ms, 0.0),
                highest_term=lease.highest_term,
                in_state_ms=now_ms - lease.changed_at_ms,
            )
            for task, lease in sorted(self.leases.items())
        }

    def _round_deadline_ms(self, election: ElectionRound) -> float:
        return election.sent_at_ms + self.round_timeout_ms()

    def _lease_due_ms(self, lease: LeaseState) -> float:
        if lease.election is not None:
            return self._round_deadline_ms(lease.election)
        if lease.term:
            return min(lease.renewed_at_ms + self.config.renewal_interval_ms, lease.expires_at_ms)
        return lease.next_election_at_ms

    def _renew_or_elect(self, task: str, lease: LeaseState, now_ms: float) -> list[Output]:
        if lease.term:
            is_due = now_ms >= lease.renewed_at_ms + self.config.renewal_interval_ms
            return self._renew(task, lease, now_ms) if is_due else []
        if now_ms < lease.next_election_at_ms:
            return []
        lease.election = self._new_round(0, now_ms)
        return self._send_to_voters(PreVoteRequest(task, self.name, lease.election.number))

    def _new_round(self, term: int, now_ms: float) -> ElectionRound:
        self.last_round_number += 1
        self.response_timer.note_sent(self.last_round_number, now_ms)
        return ElectionRound(self.last_round_number, term, now_ms)

    def _request_votes(self, task: str, votes: ElectionRound) -> list[Output]:
        return self._send_to_voters(VoteRequest(task, votes.term, self.name, votes.number))

    def _send_to_voters(self, message: ElectionMessage) -> list[Output]:
        return [Send(voter, message) for voter in self.voters]

    def _renew(self, task: str, lease: LeaseState, now_ms: float) -> list[Output]:
        # If voters have granted a higher term to a candidate that did not win, the renewal uses a term above
        # that. Otherwise they would deny all renewals, and the majority would depend on the other voters.
        term = lease.term if lease.highest_term <= lease.term else lease.highest_term + 1
        renewal = self._new_round(term, now_ms)
        lease.renewals = {
            number: earlier
            for number, earlier in lease.renewals.items()
            if now_ms < earlier.sent_at_ms + self.config.hold_ms
        }
        lease.renewals[renewal.number] = renewal
        lease.renewed_at_ms = now_ms
        return self._request_votes(task, renewal)

    def _expire(self, task: str, lease: LeaseState, now_ms: float) -> list[Output]:
        # An expired lease is released as well. Otherwise voters that receive this director's messages, but
        # whose responses do not reach it, would keep their promise to a director that cannot hold the lease.
        outputs = self._release(task, lease, EventKind.EXPIRED, now_ms)
        lease.next_election_at_ms = now_ms + self.random.random() * self.config.max_retry_delay_ms
        return outputs

    def _release(
        self, task: str, lease: LeaseState, kind: EventKind, now_ms: float, successor: str = ""
    ) -> list[Output]:
        """Ends a held lease and notifies every voter, for its term and the terms of renewals in flight."""
        terms = sorted({lease.term, *(renewal.term for renewal in lease.renewals.values())})
        lease.highest_term = max(lease.highest_term, terms[-1])
        outputs: list[Output] = [LeaseEvent(kind, task, lease.term, self.name)]
        for term in terms:
            outputs += self._send_to_voters(LeaseRelease(task, term, self.name, successor))
        self._clear(lease, now_ms)
        return outputs

    def _clear(self, lease: LeaseState, now_ms: float) -> None:
        lease.term, lease.changed_at_ms, lease.election = 0, now_ms, None
        lease.renewals.clear()

    def _abandon_round(
        self, task: str, lease: LeaseState, now_ms: float, wait_ms: float = 0.0
    ) -> list[Output]:
        """Ends a round without a majority and releases its grants.

        Otherwise its voters would stay bound to a candidate that did not win, and a split vote would last for
        a whole promise. `wait_ms` is the time until the voters' promises end, 0 if that is not known.
        """
        election, lease.election = lease.election, None
        # Candidates that know when the promises end retry soon after that, each after its own random delay.
        # They wait half a lease at most, since a holder may release earlier and its message may be lost.
        spread_ms = max(self.config.max_retry_delay_ms, self.response_timer.average_ms)
        spread_ms *= SUCCESSION_SPREAD if wait_ms else 1.0
        delay_ms = min(wait_ms, self.config.lease_ms / 2.0)
        lease.next_election_at_ms = now_ms + delay_ms + self.random.random() * spread_ms
        if election is None or not election.term:  # a pre-vote binds no voter
            return []
        # A grant may have been lost on its way, so every voter that did not deny is notified. The release may
        # arrive after the next round's grant, so that round must use another term.
        lease.highest_term = max(lease.highest_term, election.term)
        release = LeaseRelease(task, election.term, self.name)
        return [Send(voter, release) for voter in self.voters if voter not in election.denied_by]

    def _note_response(self, round_number: int, voter: str, now_ms: float) -> None:
        if voter != self.name:
            self.response_timer.note_response(round_number, now_ms)
