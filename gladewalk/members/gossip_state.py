"""Gossip state machine: applies member updates to the local view (SWIM, section 4.2).

An update with a later incarnation supersedes one with an earlier incarnation; at the same incarnation, the
worse state does. Only a suspected member itself can refute the suspicion, with a later incarnation.
"""

from __future__ import annotations

import math

import msgspec

from .actions import MemberChange, MemberChanged, ProbeOutcome
from .context import ProtocolContext
from .member_list import Member
from .messages import MemberState, MemberUpdate
from .probe_round import ProbeRound
from .suspicion import accepts_death_report
from .suspicion_monitor import SuspicionMonitor


def supersedes(new: MemberUpdate, old: MemberUpdate) -> bool:
    """Whether an update supersedes another of the same member.

    Only an update with a later incarnation can revive a run that was declared dead.
    """
    if new.incarnation != old.incarnation:
        return new.incarnation > old.incarnation
    return new.run_id == old.run_id and new.state > old.state


class GossipState:
    """Applies updates to the member list and the local member, and reports the changes.

    The only state that it keeps itself is when it last responded to a suspector of the local member.
    """

    def __init__(
        self, context: ProtocolContext, suspicions: SuspicionMonitor, probe_round: ProbeRound
    ) -> None:
        self._context, self._suspicions, self._probe_round = context, suspicions, probe_round
        self._last_suspector_response_ms = -math.inf

    def apply(
        self, update: MemberUpdate, now_ms: float, sender: str = "", is_sender_unhealthy: bool = False
    ) -> None:
        """Applies an update if it supersedes the known one.

        `sender` is the member that sent it, or empty for an observation of the local member.
        """
        context = self._context
        if update.name == context.local.name:
            self._apply_to_local_member(update, now_ms)
            return
        member = context.members.by_name.get(update.name)
        if member is None:
            if len(context.members.by_name) < context.config.max_members:
                self._add(update, now_ms)
            return
        if self._is_unaccepted_death_report(member, update, sender, is_sender_unhealthy, now_ms):
            self._dispute_death(member, update, sender, now_ms)
            return
        if update.state is MemberState.SUSPECT:
            if self._suspicions.confirm(member, update, now_ms, is_sender_unhealthy):
                return
            if sender and update.incarnation < member.update.incarnation:
                self._correct(sender, member)
        if supersedes(update, member.update):
            self._replace(member, update, now_ms)

    def suspect(self, member: Member, now_ms: float) -> None:
        """Marks a member as suspect that did not respond to the local member's pings."""
        suspicion = msgspec.structs.replace(
            member.update, state=MemberState.SUSPECT, suspected_by=self._context.local.name
        )
        self.apply(suspicion, now_ms)

    def declare_dead(self, member: Member, now_ms: float) -> None:
        """Declares a member dead after its suspicion has expired."""
        self.apply(msgspec.structs.replace(member.update, state=MemberState.DEAD), now_ms)

    def shift(self, by_ms: float) -> None:
        """Shifts all stored times, after the local clock jumped or the process was stopped."""
        self._last_suspector_response_ms += by_ms

    def _is_unaccepted_death_report(
        self, member: Member, update: MemberUpdate, sender: str, is_sender_unhealthy: bool, now_ms: float
    ) -> bool:
        is_death_report = sender and update.state is MemberState.DEAD and member.is_live
        if not is_death_report or not supersedes(update, member.update):
            return False
        return not accepts_death_report(member, self._context.config, is_sender_unhealthy, now_ms)

    def _dispute_death(self, member: Member, update: MemberUpdate, sender: str, now_ms: float) -> None:
        """Handles another member's death report as a suspicion; notifies the suspect and may probe it."""
        suspicion = msgspec.structs.replace(
            update, state=MemberState.SUSPECT, suspected_by=update.suspected_by or sender
        )
        is_repeated = self._suspicions.confirm(member, suspicion, now_ms)
        if not is_repeated and supersedes(suspicion, member.update):
            self._replace(member, suspicion, now_ms)
        member.is_death_disputed = True
        if not self._suspicions.was_notified_recently(member, now_ms):
            self._suspicions.notify(member, now_ms)
        if member.probe_outcome is ProbeOutcome.UNRESPONSIVE:  # it may have been killed since that probe
            self._suspicions.probe(member, now_ms)

    def _add(self, update: MemberUpdate, now_ms: float) -> None:
        member = self._context.members.add(update, now_ms)
        if member.is_suspect:
            self._suspicions.add_suspector(member, update, now_ms)
        if member.is_live:
            self._report(MemberChange.JOINED, update.name)
            self._probe_round.add(update.name)
        self._context.dissemination.queue_update(update)

    def _replace(self, member: Member, update: MemberUpdate, now_ms: float) -> None:
        old_state, was_live = member.update.state, member.is_live
        self._context.members.replace(member, update, now_ms)
        if member.is_suspect:
            self._suspicions.add_suspector(member, update, now_ms)
        self._context.dissemination.queue_update(update)
        self._report_transition(member, old_state, was_live, now_ms)

    def _report_transition(
        self, member: Member, old_state: MemberState, was_live: bool, now_ms: float
    ) -> None:
        name = member.name
        match member.update.state:
            case MemberState.ALIVE if not was_live:
                member.last_received_ms = now_ms
                self._report(MemberChange.JOINED, name)
            case MemberState.ALIVE if old_state is MemberState.SUSPECT:
                self._report(MemberChange.CLEARED, name)
            case MemberState.SUSPECT if old_state is not MemberState.SUSPECT:
                self._report(MemberChange.SUSPECTED, name)
            case MemberState.DEAD if was_live:
                self._report(MemberChange.DIED, name)
            case MemberState.LEFT if was_live:
                self._report(MemberChange.LEFT, name)

    def _report(self, change: MemberChange, name: str) -> None:
        self._context.outbox.put(MemberChanged(change, name))

    def _correct(self, sender: str, member: Member) -> None:
        """Sends the refutation directly to a member that repeats a refuted suspicion.

        Gossip may not have delivered the refutation to it.
        """
        suspector = self._context.members.by_name.get(sender)
        if suspector is not None and member.update.state is MemberState.ALIVE:
            correction = self._context.messages.single_update(member.update)
            self._context.outbox.send(suspector.address, correction)

    def _apply_to_local_member(self, update: MemberUpdate, now_ms: float) -> None:
        """Refutes a false update of the local member, under a later incarnation than that of the update."""
        context, local = self._context, self._context.local
        is_alive, is_other_run = update.state is MemberState.ALIVE, update.run_id != local.run_id
        if update.incarnation < local.update.incarnation:
            if not is_alive:  # refuted before, but the refutation has not reached all members
                context.dissemination.queue_update(local.update)
                self._respond_to_suspector(update, now_ms)
            return
        if is_alive and not is_other_run:
            return
        local.refute(update.incarnation)
        context.dissemination.queue_update(local.update)
        if is_other_run and is_alive and (update.host, update.port) != local.address:
            # An earlier run of this member, or another process of its name: only the latter responds.
            context.outbox.send((update.host, update.port), context.messages.join())
        if not is_alive and not is_other_run:
            self._respond_to_suspector(update, now_ms)
            self._report(MemberChange.REFUTED, local.name)
            local.health.worsen()  # its messages were not received: the fault may be on the local side

    def _respond_to_suspector(self, suspicion: MemberUpdate, now_ms: float) -> None:
        """Announces the local member to its suspector, directly and through others, once a ping period.

        If datagrams to the suspector are lost, the other members forward the announcement. A refutation that
        spreads by gossip alone may arrive after the suspector has declared the local member dead.
        """
        context = self._context
        suspector = context.members.by_name.get(suspicion.suspected_by)
        if suspector is None or not suspector.is_live:
            return
        if now_ms < self._last_suspector_response_ms + context.config.ping_period_ms:
            return
        self._last_suspector_response_ms = now_ms
        context.outbox.send(suspector.address, context.messages.announcement())
        for helper in self._suspicions.helpers(suspector):
            relayed = context.messages.relayed_announcement(suspector.update)
            context.outbox.send(helper.address, relayed)
