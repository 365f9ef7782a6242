"""SWIM's failure detector: a ping each period, indirect pings on a timeout, then suspicion (section 3.1)."""

from __future__ import annotations

from .actions import Address
from .context import ProtocolContext
from .gossip_state import GossipState
from .messages import Ack, Nack, PingRequest
from .probe_round import ProbeRound


class FailureDetector:
    """Pings one member each period and suspects it if it doesn't respond.

    The only state that it keeps itself is when the next period begins.
    """

    def __init__(
        self, context: ProtocolContext, gossip: GossipState, probe_round: ProbeRound, now_ms: float
    ) -> None:
        self._context, self._gossip, self._probe_round = context, gossip, probe_round
        self.next_period_ms = now_ms + context.rng.random() * context.config.ping_period_ms

    def due_times_ms(self, now_ms: float) -> list[float]:
        """Times of the next period and of the timeouts of pending pings."""
        context = self._context
        delay_ms = context.loop_delay.current_ms(now_ms)
        timeouts_ms = context.pings.due_times_ms(context.local.health.score)
        return [self.next_period_ms, *(timeout_ms + delay_ms for timeout_ms in timeouts_ms)]

    def begin_period(self, now_ms: float) -> None:
        """Evaluates the ping of the last period and pings the next member."""
        context = self._context
        self._evaluate_pending_ping(now_ms)
        while self.next_period_ms <= now_ms:
            self.next_period_ms += context.pings.period_ms(context.local.health.score)
        target = self._probe_round.next_target()
        if target is None:
            return
        sequence = context.pings.start(target.name, now_ms)
        context.messages.requeue_suspicion(target.name)
        ping = context.messages.ping(target.name, target.update.run_id, sequence)
        context.outbox.send(target.address, ping)

    def request_indirect_pings(self, now_ms: float) -> None:
        """Requests some members to ping the target once the ack of the direct ping is overdue."""
        context, pending = self._context, self._context.pings.pending
        if pending is None or pending.has_requested_indirect_pings:
            return
        timeout_ms = context.pings.timeout_ms(context.local.health.score)
        if now_ms < pending.sent_ms + timeout_ms + context.loop_delay.current_ms(now_ms):
            return
        pending.has_requested_indirect_pings = True
        target = context.members.by_name[pending.name]
        helpers = context.members.sample_alive(target, context.config.indirect_ping_members, context.rng)
        pending.helper_count = len(helpers)
        for helper in helpers:
            request = context.messages.ping_request(target.update, pending.sequence)
            context.outbox.send(helper.address, request)

    def send_overdue_nacks(self, now_ms: float) -> None:
        """Sends a nack for each ping request whose target has not responded in time."""
        for ping in self._context.pings.take_overdue_indirect(now_ms):
            nack = self._context.messages.nack(ping.requester_sequence)
            self._context.outbox.send(ping.requester, nack)

    def on_ping_request(self, request: PingRequest, requester: Address, now_ms: float) -> None:
        """Pings a target on another member's behalf."""
        sequence = self._context.pings.start_indirect(requester, request.sequence, now_ms)
        ping = self._context.messages.ping(request.target, request.target_run_id, sequence)
        self._context.outbox.send((request.host, request.port), ping)

    def on_ack(self, ack: Ack, now_ms: float) -> None:
        """Forwards the ack of an indirect ping to its requester, or ends the pending ping."""
        context = self._context
        indirect = context.pings.take_indirect(ack.sequence)
        if indirect is not None:
            context.outbox.send(indirect.requester, context.messages.ack(indirect.requester_sequence))
        if context.pings.on_ack(ack.sequence, now_ms):
            context.local.health.improve()

    def on_nack(self, nack: Nack) -> None:
        """Counts a helper that received no ack from the target and reported this."""
        self._context.pings.on_nack(nack.sequence)

    def shift(self, by_ms: float) -> None:
        """Shifts all stored times, after the local clock jumped or the process was stopped."""
        self.next_period_ms += by_ms
        self._context.pings.shift(by_ms)

    def _evaluate_pending_ping(self, now_ms: float) -> None:
        """Suspects the target of an unanswered ping, unless the fault may be on the local side."""
        context = self._context
        pending, context.pings.pending = context.pings.pending, None
        if pending is None:
            return
        member = context.members.by_name.get(pending.name)
        if member is not None and member.last_received_ms >= pending.sent_ms:
            context.local.health.worsen()  # it sent other messages: only the ping or its ack was lost
            return
        # If helpers don't even send a nack, the local member's own messages may be lost (Lifeguard).
        missing_nacks = max(0, pending.helper_count - pending.nack_count)
        context.local.health.worsen(1 + missing_nacks)
        if member is not None and member.is_live:
            self._gossip.suspect(member, now_ms)
