"""Voter side of a lease election: each lease is promised to one candidate, under a term and for a time.

A term is granted to only one candidate, and only if it is above every term that this voter granted before, so
two majorities for one term cannot exist. The holder of the highest term may be granted a higher one at any
time: a holder raises its term past one that another candidate was granted by some voters, but not by a
majority. A term for another candidate is granted only after the last promise, plus the grant margin, has
ended on this voter's clock. After a start nothing new is promised for one promise time, since a promise made
before the start may still be valid.

The highest term of each task and its holder are kept over a restart: a grant of a new term is sent once its
row is durable (`Save.on_durable`), and until the driver calls `mark_durable` every further grant of that term
waits for a row of its own, like a Paxos acceptor's promise (Lamport, 2001, section 2.2). No I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from .configuration import LeaseConfig
from .messages import LeaseRelease, PreVoteRequest, PreVoteResponse, VoteDenied, VoteGranted, VoteRequest
from .outputs import (
    GRANT_SPACE,
    EventKind,
    GrantRecord,
    LeaseEvent,
    Output,
    Save,
    Send,
    decode_grant,
    encode_row,
)
from .status import PromiseStatus

NEVER_MS = float("-inf")


@dataclass(slots=True)
class Promise:
    """The last promise of one task's lease; times are on the voter's clock."""

    term: int = 0  # the highest granted, 0 if none was
    holder: str = ""
    durable_term: int = 0
    expires_at_ms: float = NEVER_MS
    successor: str = ""  # named by the last release; others wait until `reserved_until_ms`
    reserved_until_ms: float = NEVER_MS


def decode_grants(rows: Mapping[str, bytes]) -> dict[str, GrantRecord]:
    """Decodes stored grants by task; rows of another form are not grants and are skipped."""
    grants = {}
    for task, row in rows.items():
        try:
            grants[task] = decode_grant(row)
        except msgspec.MsgspecError:
            continue
    return grants


class Voter:
    """Responds to vote requests, pre-votes and releases; `restored` has the durable grants by task."""

    def __init__(
        self, name: str, config: LeaseConfig, now_ms: float, restored: Mapping[str, GrantRecord]
    ) -> None:
        self.name, self.config = name, config
        self.no_new_promise_until_ms = now_ms + config.promise_ms
        self.promises = {
            task: Promise(grant.term, grant.holder, grant.term) for task, grant in restored.items()
        }

    def handle_vote_request(self, request: VoteRequest, now_ms: float) -> list[Output]:
        """Grants or denies a term."""
        promise = self.promises.setdefault(request.task, Promise())
        if request.term == promise.term and request.candidate == promise.holder:
            # A renewal, or a request of a holder whose promise ended (or was lost by a restart) while this
            # voter granted no higher term: the same grant again, which conflicts with no other promise.
            promise.expires_at_ms = now_ms + self.config.promise_ms
            return self._grant(request, promise)
        remaining_ms = self._remaining_ms(promise, request.candidate, now_ms)
        if request.term > promise.term and not remaining_ms:
            promise.term, promise.holder = request.term, request.candidate
            promise.expires_at_ms = now_ms + self.config.promise_ms
            event = LeaseEvent(EventKind.GRANTED, request.task, request.term, request.candidate)
            return self._grant(request, promise, event)
        denial = VoteDenied(
            request.task, request.round_number, self.name, promise.term, promise.holder, remaining_ms
        )
        event = LeaseEvent(EventKind.REFUSED, request.task, request.term, request.candidate)
        return [Send(request.candidate, denial), event]

    def handle_pre_vote(self, request: PreVoteRequest, now_ms: float) -> list[Output]:
        """Responds with whether a vote request would be granted; promises nothing."""
        promise = self.promises.get(request.task, Promise())
        remaining_ms = self._remaining_ms(promise, request.candidate, now_ms)
        response = PreVoteResponse(
            request.task, request.round_number, self.name, promise.term, promise.holder, remaining_ms
        )
        return [Send(request.candidate, response)]

    def handle_release(self, release: LeaseRelease, now_ms: float) -> list[Output]:
        """Ends a promise early; a release by anyone but the holder of the highest term is ignored."""
        promise = self.promises.get(release.task)
        if promise is None or (promise.term, promise.holder) != (release.term, release.holder):
            return []
        promise.expires_at_ms = now_ms  # the holder stopped before it sent the release
        if release.successor:
            promise.successor = release.successor
            promise.reserved_until_ms = now_ms + self.config.promise_ms
        return [LeaseEvent(EventKind.RELEASED, release.task, release.term, release.holder)]

    def mark_durable(self, task: str, row: bytes) -> None:
        """Notes that a row which this voter saved is durable."""
        promise = self.promises[task]
        promise.durable_term = max(promise.durable_term, decode_grant(row).term)

    def status(self, now_ms: float) -> dict[str, PromiseStatus]:
        """Describes the last promise of each task."""
        return {
            task: PromiseStatus(promise.term, promise.holder, max(promise.expires_at_ms - now_ms, 0.0))
            for task, promise in sorted(self.promises.items())
        }

    def _remaining_ms(self, promise: Promise, candidate: str, now_ms: float) -> float:
        """Returns how long until a higher term may be granted to this candidate, in ms."""
        # Only the holder may have a valid promise, and a higher term for the same holder conflicts with none.
        if candidate == promise.holder:
            return 0.0
        reserved_until_ms = promise.reserved_until_ms if candidate != promise.successor else NEVER_MS
        return max(
            promise.expires_at_ms - now_ms,
            self.no_new_promise_until_ms - now_ms,
            reserved_until_ms - now_ms,
            0.0,
        )

    def _grant(self, request: VoteRequest, promise: Promise, *events: Output) -> list[Output]:
        granted = VoteGranted(request.task, request.term, request.candidate, request.round_number, self.name)
        outputs = (Send(request.candidate, granted), *events)
        if promise.durable_term >= promise.term:
            return list(outputs)
        row = encode_row(GrantRecord(promise.term, promise.holder))
        return [Save(GRANT_SPACE, request.task, row, outputs)]
