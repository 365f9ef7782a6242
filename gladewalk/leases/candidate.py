"""Candidate and holder side of leases: elections, renewals and the fencing token of each task.

A candidate first holds a pre-vote (Ongaro, 2014, section 9.6), which binds no voter. Once a majority would
grant the lease it asks for votes under the next term; with a majority of grants it holds the lease for
`hold_ms` on its own clock from when it asked. Without the pre-vote, a request that only a few voters grant
(one that has just started, one that a message was lost to) binds them to a candidate that never holds, and
the holder has to raise its term past it again and again.

Whatever a holder does it does with `token()` read just before, which is None once the lease is over: a
holder that was paused, cut off or outvoted stops by its own clock, and what it sent before is fenced at the
resource (`fence.py`). No I/O: time and randomness are passed in.
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

MAX_ROUND_FRACTION = 0.6  # of a lease: the longest that a round waits where responses are slow
ROUND_TIMEOUT_FACTOR = 1.5  # of the observed response time
EWMA_ALPHA = 0.1  # weight of a response that was faster than the average
SUCCESSION_SPREAD = 0.25  # of the retry delay: spread of candidates that know when the lease is free
MAX_TIMED_ROUNDS = 16  # latest rounds whose responses are timed


@dataclass(slots=True)
class ElectionRound:
    """One pre-vote (term 0) or one request for votes under `term`."""

    number: int
    term: int
    sent_at_ms: float
    granted_by: set[str] = field(default_factory=set)
    denied_by: set[str] = field(default_factory=set)
    remaining_ms: dict[str, float] = field(default_factory=dict)  # pre-vote: until each voter would grant


@dataclass(slots=True)
class LeaseState:
    """One task's lease as this candidate knows it; times are on its own clock."""

    term: int = 0  # held, or 0
    expires_at_ms: float = float("-inf")
    renewed_at_ms: float = float("-inf")  # when the last renewal was sent
    highest_term: int = 0  # seen anywhere
    next_election_at_ms: float = 0.0
    election: ElectionRound | None = None  # of a candidate
    renewals: dict[int, ElectionRound] = field(default_factory=dict)  # of a holder, by number
    since_ms: float = 0.0  # when it was won or lost


class ResponseTimer:
    """Estimates the voters' response time: up at once, down by a moving average."""

    def __init__(self) -> None:
        self.average_ms = 0.0
        self._sent_at_ms: dict[int, float] = {}  # by round number, the latest rounds only

    def note_sent(self, round_number: int, now_ms: float) -> None:
        """Begins to time a round's responses."""
        self._sent_at_ms[round_number] = now_ms
        self._sent_at_ms.pop(round_number - MAX_TIMED_ROUNDS, None)

    def note_response(self, round_number: int, now_ms: float) -> None:
        """Adds a response; those to rounds that are no longer timed are ignored."""
        sent_at_ms = self._sent_at_ms.get(round_number)
        if sent_at_ms is None:
            return
        elapsed_ms = now_ms - sent_at_ms
        average_ms = (1.0 - EWMA_ALPHA) * self.average_ms + EWMA_ALPHA * elapsed_ms
        self.average_ms = max(elapsed_ms, average_ms)


class LeaseCandidate:
    """One director's leases; `voters` are names of directors, this one among them as a rule."""

    def __init__(
        self,
        name: str,
        voters: tuple[str, ...],
        tasks: tuple[str, ...],
        config: LeaseConfig,
        rng: random.Random,
        now_ms: float,
    ) -> None:
        self.name, self.voters, self.config, self.random = name, voters, config, rng
        self.needed_votes = majority(len(voters))
        self.blocking_votes = len(voters) - self.needed_votes + 1  # so many denials leave no majority
        self.last_round_number = 0
        self.response_timer = ResponseTimer()
        self.leases = {
            task: LeaseState(
                next_election_at_ms=now_ms + rng.random() * config.max_retry_delay_ms, since_ms=now_ms
            )
            for task in tasks
        }

    def token(self, task: str, now_ms: float) -> int | None:
        """Returns the fencing token to act under now, or None if the lease is not held."""
        lease = self.leases[task]
        return lease.term if lease.term and now_ms < lease.expires_at_ms else None

    def tick(self, now_ms: float) -> list[Output]:
        """Expires leases, gives up rounds that took too long, renews, and begins elections."""
        outputs: list[Output] = []
        for task, lease in self.leases.items():
            if lease.term and now_ms >= lease.expires_at_ms:
                outputs += self._expire(task, lease, now_ms)
            if lease.election is not None and now_ms >= self._round_deadline_ms(lease.election):
                outputs += self._give_up_round(task, lease, now_ms)
            if lease.election is None:
                outputs += self._renew_or_elect(task, lease, now_ms)
        return outputs

    def next_due_ms(self) -> float:
        """Returns when `tick` has something to do at the latest."""
        return min((self._lease_due_ms(lease) for lease in self.leases.values()), default=float("inf"))

    def round_timeout_ms(self) -> float:
        """Returns how long a round waits for responses, in ms: longer where they were seen to be slow."""
        wanted_ms = max(self.config.round_timeout_ms, ROUND_TIMEOUT_FACTOR * self.response_timer.average_ms)
        return min(wanted_ms, MAX_ROUND_FRACTION * self.config.lease_ms)

    def handle_pre_vote_response(self, response: PreVoteResponse, now_ms: float) -> list[Output]:
        """Asks for votes once a majority would grant, or waits until one might."""
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
        if len(promised_ms) >= self.blocking_votes:  # no majority before the first of them are free
            wait_ms = promised_ms[len(promised_ms) - self.blocking_votes]
            return self._give_up_round(response.task, lease, now_ms, wait_ms)
        return []

    def handle_vote_granted(self, granted: VoteGranted, now_ms: float) -> list[Output]:
        """Counts a vote; with a majority the lease is won or renewed, from when the round was sent."""
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
        # Counted from when it was sent: every voter's promise began later.
        expires_at_ms = votes.sent_at_ms + self.config.hold_ms
        lease.highest_term = max(lease.highest_term, votes.term)
        if is_renewal:
            del lease.renewals[granted.round_number]
        else:
            lease.election = None
            lease.renewed_at_ms, lease.since_ms = votes.sent_at_ms, now_ms
        lease.expires_at_ms = max(lease.expires_at_ms, expires_at_ms) if lease.term else expires_at_ms
        if votes.term <= lease.term:
            return []
        kind = EventKind.RAISED if lease.term else EventKind.WON
        lease.term = votes.term
        return [LeaseEvent(kind, granted.task, votes.term, self.name)]

    def handle_vote_denied(self, denied: VoteDenied, now_ms: float) -> list[Output]:
        """Counts a denial; a round that can win no majority is given up at once."""
        self._note_response(denied.round_number, denied.voter, now_ms)
        lease = self.leases.get(denied.task)
        if lease is None:
            return []
        # One voter that granted a higher term proves nothing of a majority: a holder goes on until its lease
        # runs out, which happens if a majority denies its renewals.
        lease.highest_term = max(lease.highest_term, denied.highest_term)
        if lease.election is None or lease.election.number != denied.round_number:
            return []
        lease.election.denied_by.add(denied.voter)
        if len(lease.election.denied_by) >= self.blocking_votes:
            return self._give_up_round(denied.task, lease, now_ms, denied.remaining_ms)
        return []

    def handle_release(self, release: LeaseRelease, now_ms: float) -> list[Output]:
        """Schedules an election after another director's release, later if it names another successor."""
        lease = self.leases.get(release.task)
        if lease is None or lease.term:
            return []
        lease.highest_term = max(lease.highest_term, release.term)
        if lease.election is None and release.holder != self.name:
            is_open = release.successor in ("", self.name)
            delay_ms = 0.0 if is_open else self.config.promise_ms
            is_successor = release.successor == self.name
            spread_ms = 0.0 if is_successor else SUCCESSION_SPREAD * self.config.max_retry_delay_ms
            lease.next_election_at_ms = now_ms + delay_ms + self.random.random() * spread_ms
        return []

    def handle_fencing(self, task: str, term: int, highest_token: int, now_ms: float) -> list[Output]:
        """Gives the lease up if a resource rejected `term` for a higher token: a later holder exists."""
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
        """Gives a held lease up, so that another director may take it at once; nothing if it is not held."""
        lease = self.leases[task]
        if not lease.term:
            return []
        outputs = self._release(task, lease, EventKind.RELEASED, now_ms, successor)
        lease.next_election_at_ms = now_ms + self.config.promise_ms  # another takes it first
        return outputs

    def status(self, now_ms: float) -> dict[str, LeaseStatus]:
        """Describes the lease of each task."""
        return {
            task: LeaseStatus(
                token=self.token(task, now_ms) or 0,
                remaining_ms=max(lease.expires_at_ms - now_ms, 0.0),
                highest_term=lease.highest_term,
                in_state_ms=now_ms - lease.since_ms,
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
        # Past a higher term that some voters granted to a candidate which did not win: else they deny this
        # holder's renewals for good, and the majority depends on the rest.
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
        # Released as well: else voters that hear this director and that it does not hear keep the lease
        # promised to it for nothing.
        outputs = self._release(task, lease, EventKind.EXPIRED, now_ms)
        lease.next_election_at_ms = now_ms + self.random.random() * self.config.max_retry_delay_ms
        return outputs

    def _release(
        self, task: str, lease: LeaseState, kind: EventKind, now_ms: float, successor: str = ""
    ) -> list[Output]:
        """Ends a held lease and notifies every voter, for its term and those of renewals under way."""
        terms = sorted({lease.term, *(renewal.term for renewal in lease.renewals.values())})
        lease.highest_term = max(lease.highest_term, terms[-1])
        outputs: list[Output] = [LeaseEvent(kind, task, lease.term, self.name)]
        for term in terms:
            outputs += self._send_to_voters(LeaseRelease(task, term, self.name, successor))
        self._clear(lease, now_ms)
        return outputs

    def _clear(self, lease: LeaseState, now_ms: float) -> None:
        lease.term, lease.since_ms, lease.election = 0, now_ms, None
        lease.renewals.clear()

    def _give_up_round(
        self, task: str, lease: LeaseState, now_ms: float, wait_ms: float = 0.0
    ) -> list[Output]:
        """Ends a round without a majority and hands back its grants.

        Else its voters stay bound to a candidate that never holds, and a split vote lasts a whole promise.
        `wait_ms`: until the voters' promises are free, 0 if that is not known.
        """
        election, lease.election = lease.election, None
        # Candidates that know when the promises end come soon after, each at its own moment; but no later
        # than half a lease, since a holder may release before and its message be lost.
        spread_ms = max(self.config.max_retry_delay_ms, self.response_timer.average_ms)
        spread_ms *= SUCCESSION_SPREAD if wait_ms else 1.0
        delay_ms = min(wait_ms, self.config.lease_ms / 2.0)
        lease.next_election_at_ms = now_ms + delay_ms + self.random.random() * spread_ms
        if election is None or not election.term:  # a pre-vote bound nobody
            return []
        # A grant may have been given and lost: whoever did not deny is notified. A release may arrive after a
        # later round's grant: that round must be of another term.
        lease.highest_term = max(lease.highest_term, election.term)
        release = LeaseRelease(task, election.term, self.name)
        return [Send(voter, release) for voter in self.voters if voter not in election.denied_by]

    def _note_response(self, round_number: int, voter: str, now_ms: float) -> None:
        if voter != self.name:
            self.response_timer.note_response(round_number, now_ms)
