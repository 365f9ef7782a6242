"""Contacts seeds and dead members periodically, so that members that a partition separated rejoin."""

from __future__ import annotations

from .actions import Address
from .context import ProtocolContext
from .messages import MemberState

ALONE_PERIODS = 2.0  # ping periods between two contacts while no other member is live
SEED_PERIODS = 5.0  # ping periods between two contacts while no known member is dead
MIN_DEAD_PERIODS = 2.0  # the least number of ping periods between two contacts while a known member is dead
MEMBERS_PER_PERIOD = 8.0  # one period per this many live members, if that is more: they share the work


class RejoinSchedule:
    """Sends join requests to seeds that are not live members, and to dead members.

    The only state that it keeps itself is when it does so next. `seeds` may include the local address.
    """

    def __init__(self, context: ProtocolContext, seeds: tuple[Address, ...], now_ms: float) -> None:
        self._context, self._seeds = context, seeds
        self.next_ms = now_ms

    def contact(self, now_ms: float) -> None:
        """Contacts one missing seed (all of them while no member is live) and one dead member."""
        context = self._context
        dead = [
            member for member in context.members.departed.values() if member.update.state is MemberState.DEAD
        ]
        live_count = context.members.live_count
        self.next_ms = now_ms + context.config.ping_period_ms * self._periods(live_count, bool(dead))
        own = context.local.address
        missing = [seed for seed in self._seeds if seed != own and not context.members.is_live_at(seed)]
        for seed in context.rng.sample(missing, min(len(missing), 1 if live_count else len(missing))):
            context.outbox.send(seed, context.messages.join())
        if dead:  # the seeds may all be dead; the request carries the update that the member is to refute
            member = context.rng.choice(dead)
            context.outbox.send(member.address, context.messages.join_with(member.update))

    def shift(self, by_ms: float) -> None:
        """Shifts all stored times, after the local clock jumped or the process was stopped."""
        self.next_ms += by_ms

    @staticmethod
    def _periods(live_count: int, has_dead: bool) -> float:
        if not live_count:
            return ALONE_PERIODS
        return max(MIN_DEAD_PERIODS, live_count / MEMBERS_PER_PERIOD) if has_dead else SEED_PERIODS
