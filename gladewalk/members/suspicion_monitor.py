"""Tracks suspicions from the first suspector until they are refuted or expire."""

from __future__ import annotations

from .actions import MemberChange, MemberChanged, ProbeOutcome, StartConfirmationProbe
from .context import ProtocolContext
from .member_list import Member
from .messages import MemberUpdate
from .suspicion import (
    SuspicionDecision,
    decide_expired_suspicion,
    expiry_ms,
    may_probe,
    min_duration_ms,
)


class SuspicionMonitor:
    """Sets the suspicion fields of `Member`: suspectors, expiry, probes, notifications.

    It declares no member dead itself: `resolve_expired` returns to its caller whether to do so.
    """

    def __init__(self, context: ProtocolContext, now_ms: float) -> None:
        self._context = context
        self.next_notification_ms = now_ms

    def add_suspector(self, member: Member, update: MemberUpdate, now_ms: float) -> None:
        """Adds a suspector of a member, so that the suspicion expires sooner; probes the member."""
        context = self._context
        member.suspectors.add(update.suspected_by)
        member.suspicion_ends_ms = expiry_ms(
            member,
            context.config,
            context.member_count,
            context.local.health.score,
            context.pings.round_trip_ms,
        )
        if member.probe_outcome is None:
            self.probe(member, now_ms)

    def confirm(
        self, member: Member, update: MemberUpdate, now_ms: float, is_sender_unhealthy: bool = False
    ) -> bool:
        """Returns whether the update repeats the current suspicion, which a new suspector confirms."""
        is_same = member.is_suspect and member.update.incarnation == update.incarnation
        is_new = (
            update.suspected_by not in member.suspectors
            and len(member.suspectors) <= self._context.config.suspicion_confirmations
        )
        if is_same and is_new and not is_sender_unhealthy:
            self.add_suspector(member, update, now_ms)
            self._context.dissemination.queue_update(update)
        return is_same

    def probe(self, member: Member, now_ms: float, timeout_ms: float | None = None) -> None:
        """Starts a confirmation probe, unless one is pending or only others are to probe this suspect."""
        context = self._context
        is_allowed = member.is_death_disputed or may_probe(member, context.local.name, context.member_count)
        if member.is_probe_pending or not is_allowed:
            return
        member.is_probe_pending = True
        if timeout_ms is None:
            timeout_ms = min_duration_ms(context.config, 1, context.pings.round_trip_ms)
            timeout_ms += context.loop_delay.grace_ms(now_ms)
        update = member.update
        message = context.messages.confirmation_probe(update)
        context.outbox.put(
            StartConfirmationProbe(member.address, update.name, update.run_id, timeout_ms, message)
        )

    def on_probe_outcome(self, name: str, run_id: int, outcome: ProbeOutcome, now_ms: float) -> None:
        """Records the outcome of a confirmation probe of this run of a member."""
        member = self._context.members.by_name.get(name)
        if member is None:
            return
        member.is_probe_pending = False
        if member.update.run_id != run_id or not member.is_suspect:
            return
        member.probe_outcome = outcome
        if outcome is ProbeOutcome.RESPONDED:
            member.last_received_ms = now_ms
        elif outcome is ProbeOutcome.REFUSED:
            duration_ms = min_duration_ms(
                self._context.config, self._context.member_count, self._context.pings.round_trip_ms
            )
            member.suspicion_ends_ms = min(member.suspicion_ends_ms, member.state_since_ms + duration_ms)

    def notify(self, member: Member, now_ms: float) -> None:
        """Notifies a member that it is suspected or reported dead, so that it can refute this."""
        member.last_notified_ms = now_ms
        self._context.outbox.send(member.address, self._context.messages.notification(member))

    def was_notified_recently(self, member: Member, now_ms: float) -> bool:
        """Whether the member was notified within the last ping period."""
        return now_ms < member.last_notified_ms + self._context.config.ping_period_ms

    def notify_suspected_here(self, now_ms: float) -> None:
        """Notifies every member that the local member itself suspects; due once a ping period.

        The period is the configured one even if the local health is bad: a refutation must arrive before the
        suspicion expires.
        """
        self.next_notification_ms = now_ms + self._context.config.ping_period_ms
        for member in self._context.members.suspects.values():
            if self._context.local.name in member.suspectors:
                self.notify(member, now_ms)

    def expired(self, now_ms: float) -> list[Member]:
        """Returns the suspects whose suspicion has expired, including the extension for a busy host."""
        latest_ms = now_ms - self._context.loop_delay.grace_ms(now_ms)
        suspects = self._context.members.suspects.values()
        return [member for member in suspects if latest_ms >= member.suspicion_ends_ms]

    def resolve_expired(self, member: Member, now_ms: float) -> bool:
        """Handles an expired suspicion; returns whether the member is to be declared dead now."""
        context = self._context
        decision, retry_ms = decide_expired_suspicion(
            member, context.config, context.local.name, context.member_count, now_ms
        )
        member.suspicion_ends_ms = now_ms + retry_ms
        match decision:
            case SuspicionDecision.NOTIFY:
                # The suspicion starts again: evidence from before the received message no longer counts.
                member.state_since_ms, member.probe_outcome = now_ms, None
                self.notify(member, now_ms)
                self.probe(member, now_ms)
            case SuspicionDecision.PROBE:
                self.probe(member, now_ms)
            case SuspicionDecision.STALLED:
                self._mark_stalled(member)
                self.probe(member, now_ms)
            case SuspicionDecision.DEAD if context.member_count > 2 and not member.has_consulted_peers:
                self.consult_peers(member, now_ms)
                member.suspicion_ends_ms = now_ms + context.pings.timeout_ms(0)
            case SuspicionDecision.DEAD:
                return True
        return False

    def consult_peers(self, suspect: Member, now_ms: float) -> None:
        """Sends the suspicion to some members before a death is declared; those with a refutation return it.

        Gossip may not have delivered the refutation: each member transmits it only a few times, to random
        members.
        """
        context = self._context
        suspect.has_consulted_peers = True
        for peer in self.helpers(suspect):
            context.outbox.send(peer.address, context.messages.single_update(suspect.update))
        if suspect.probe_outcome is ProbeOutcome.UNREACHABLE:  # it may be reachable again since the probe
            timeout_ms = context.pings.timeout_ms(0) + context.loop_delay.current_ms(now_ms)
            self.probe(suspect, now_ms, timeout_ms)

    def helpers(self, excluded: Member) -> list[Member]:
        """Draws as many members that are not suspect as the configuration sets for indirect pings."""
        context = self._context
        return context.members.sample_alive(excluded, context.config.indirect_ping_members, context.rng)

    def shift(self, by_ms: float) -> None:
        """Shifts all stored times, after the local clock jumped or the process was stopped."""
        self.next_notification_ms += by_ms

    def _mark_stalled(self, member: Member) -> None:
        if not member.is_stalled:
            member.is_stalled = True
            self._context.outbox.put(MemberChanged(MemberChange.STALLED, member.name))
