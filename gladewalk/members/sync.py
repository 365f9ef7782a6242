"""State synchronization (anti-entropy): members compare and exchange their whole state over a stream.

    requester                            responder
    Digest(hash of its state)        ->
                                     <-  FullState(is_identical), if its own hash is the same
                                     <-  FullState(its state), otherwise
    FullState(its state)             ->

Two members with the same state exchange two short messages, independent of the number of members.
"""

from __future__ import annotations

import math

from .actions import Address, StartSync
from .context import ProtocolContext
from .member_list import update_hash
from .messages import Digest, FullState

MIN_JITTER = 0.75  # the interval is multiplied by a random factor from here to MIN_JITTER + JITTER_RANGE
JITTER_RANGE = 0.5


class StateSync:
    """Schedules synchronizations and builds their messages. Its only state is the schedule."""

    def __init__(self, context: ProtocolContext, now_ms: float) -> None:
        self._context = context
        self.next_ms = now_ms + context.config.sync_interval_ms * context.rng.random()
        self.last_started_ms = -math.inf

    def start(self, peer: Address, now_ms: float) -> None:
        """Starts a synchronization with a peer; the next scheduled one follows about an interval later."""
        self._schedule_next(now_ms)
        self.last_started_ms = now_ms
        self._context.outbox.put(StartSync(peer))

    def start_with_random_member(self, now_ms: float) -> None:
        """Starts a synchronization with a random live member, if there is one."""
        addresses = [member.address for member in self._context.members.live()]
        if addresses:
            self.start(self._context.rng.choice(addresses), now_ms)
        else:
            self._schedule_next(now_ms)

    def digest(self) -> int:
        """63-bit hash of all members and all task ownership claims; results of tasks are not included."""
        context = self._context
        return context.members.digest ^ update_hash(context.local.update) ^ context.dissemination.digest

    def full_state(self) -> FullState:
        """All member updates and the latest event of each task, as known by the local member."""
        context, local = self._context, self._context.local
        updates = [local.update, *(member.update for member in context.members.by_name.values())]
        return FullState(
            sender=local.name,
            run_id=local.run_id,
            health_score=local.health.score,
            updates=updates,
            events=list(context.dissemination.latest_events.values()),
        )

    def request(self) -> Digest:
        """First message of a synchronization."""
        local = self._context.local
        return Digest(sender=local.name, run_id=local.run_id, digest=self.digest())

    def respond(self, request: Digest) -> FullState:
        """Response to the first message."""
        local = self._context.local
        if request.digest == self.digest():
            return FullState(sender=local.name, run_id=local.run_id, is_identical=True)
        return self.full_state()

    def shift(self, by_ms: float) -> None:
        """Shifts all stored times, after the local clock jumped or the process was stopped."""
        self.next_ms += by_ms
        self.last_started_ms += by_ms

    def _schedule_next(self, now_ms: float) -> None:
        jitter = MIN_JITTER + JITTER_RANGE * self._context.rng.random()
        self.next_ms = now_ms + self._context.config.sync_interval_ms * jitter
