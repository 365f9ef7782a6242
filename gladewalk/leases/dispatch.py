"""Dispatches each election message to a director's voter, its candidate or both."""

from __future__ import annotations

from .candidate import LeaseCandidate
from .messages import (
    ElectionMessage,
    LeaseRelease,
    PreVoteRequest,
    PreVoteResponse,
    VoteDenied,
    VoteGranted,
    VoteRequest,
)
from .outputs import Output
from .voter import Voter


def dispatch_election_message(
    voter: Voter, candidate: LeaseCandidate, message: ElectionMessage, now_ms: float
) -> list[Output]:
    """Handles one message at `now_ms` on the director's lease clock and returns the resulting outputs."""
    match message:
        case VoteRequest():
            return voter.handle_vote_request(message, now_ms)
        case PreVoteRequest():
            return voter.handle_pre_vote(message, now_ms)
        case PreVoteResponse():
            return candidate.handle_pre_vote_response(message, now_ms)
        case VoteGranted():
            return candidate.handle_vote_granted(message, now_ms)
        case VoteDenied():
            return candidate.handle_vote_denied(message, now_ms)
        case LeaseRelease():
            return voter.handle_release(message, now_ms) + candidate.handle_release(message, now_ms)
