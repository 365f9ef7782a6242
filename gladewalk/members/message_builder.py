"""Builds outgoing SWIM messages and attaches pending gossip (Das et al., 2002, section 4.1)."""

from __future__ import annotations

import random
from typing import Any

from .dissemination import MAX_GOSSIP_BYTES, Dissemination
from .local_member import LocalMember
from .member_list import Member, MemberList
from .messages import (
    Ack,
    ConfirmationAck,
    ConfirmationProbe,
    Join,
    MemberState,
    MemberUpdate,
    Nack,
    PartialState,
    Ping,
    PingRequest,
    encoded_size_bytes,
)

MIN_UPDATE_BYTES = 20  # limits the number of updates that are drawn for a datagram
NO_SEQUENCE = 0  # for messages to which no response is expected


class MessageBuilder:
    """Builds messages from the local member, the member list and pending gossip.

    It only reads these, except that `Dissemination` counts each transmission; it sends nothing itself.
    """

    def __init__(
        self, local: LocalMember, members: MemberList, dissemination: Dissemination, rng: random.Random
    ) -> None:
        self._local, self._members = local, members
        self._dissemination, self._rng = dissemination, rng

    # Messages that carry pending gossip.

    def ping(self, target: str, target_run_id: int, sequence: int) -> Ping:
        """Builds a direct ping of a member."""
        return Ping(
            **self._header(), **self._gossip(), target=target, target_run_id=target_run_id, sequence=sequence
        )

    def ack(self, sequence: int) -> Ack:
        """Builds the response to a ping."""
        return Ack(**self._header(), **self._gossip(), sequence=sequence)

    def nack(self, sequence: int) -> Nack:
        """Builds the response to a ping request whose target did not respond."""
        return Nack(**self._header(), **self._gossip(), sequence=sequence)

    def ping_request(self, target: MemberUpdate, sequence: int) -> PingRequest:
        """Builds a request to ping a member on the local member's behalf."""
        return PingRequest(**self._header(), **self._gossip(), **self._target(target), sequence=sequence)

    def join(self) -> Join:
        """Builds a request for the receiver's member list; it always carries the local member's update."""
        updates = self._dissemination.take_updates()
        if self._local.update not in updates:
            updates.append(self._local.update)
        events = self._dissemination.take_events(updates)
        return Join(**self._header(), updates=updates, events=events)

    def requeue_suspicion(self, name: str) -> None:
        """Queues the update of a suspect or dead member again, so that the next message to it carries it.

        This is Lifeguard's buddy system: the member is notified with that message and can refute at once.
        """
        member = self._members.by_name.get(name)
        if member is not None and member.update.state is not MemberState.ALIVE:
            self._dissemination.queue_update(member.update)

    # Messages that carry chosen updates and no pending gossip.

    def notification(self, member: Member) -> Ping:
        """Builds a ping that notifies a member of its own suspicion or death; no response is expected."""
        update = member.update
        return Ping(**self._header(), updates=[update], target=update.name, target_run_id=update.run_id)

    def single_update(self, update: MemberUpdate) -> Ack:
        """Builds an unsolicited ack that carries one update."""
        return Ack(**self._header(), updates=[update], sequence=NO_SEQUENCE)

    def announcement(self) -> PartialState:
        """Builds a message that carries only the local member's update."""
        return PartialState(**self._header(), updates=[self._local.update])

    def relayed_announcement(self, target: MemberUpdate) -> PingRequest:
        """Builds a ping request with the local member's update, which the helper's ping forwards."""
        updates = [self._local.update]
        return PingRequest(**self._header(), updates=updates, **self._target(target), sequence=NO_SEQUENCE)

    def join_with(self, update: MemberUpdate) -> Join:
        """Builds a join request to a member declared dead, with the update that it is to refute."""
        return Join(**self._header(), updates=[self._local.update, update])

    def partial_state(self, wants_reply: bool = False) -> PartialState:
        """Builds as much of the member list as a datagram holds: the local member and a random sample."""
        others = [member.update for member in self._members.by_name.values()]
        drawn = self._rng.sample(others, min(len(others), MAX_GOSSIP_BYTES // MIN_UPDATE_BYTES))
        updates = [self._local.update]
        remaining_bytes = MAX_GOSSIP_BYTES - encoded_size_bytes(self._local.update)
        for update in drawn:
            remaining_bytes -= encoded_size_bytes(update)
            if remaining_bytes < 0:
                break
            updates.append(update)
        is_complete = len(updates) > len(others)
        return PartialState(
            **self._header(), updates=updates, wants_reply=wants_reply, is_complete=is_complete
        )

    def confirmation_probe(self, update: MemberUpdate) -> ConfirmationProbe:
        """Builds a probe of a suspect's stream port, with the suspicion."""
        return ConfirmationProbe(**self._header(), updates=[update])

    def confirmation_ack(self) -> ConfirmationAck:
        """Builds the response to a confirmation probe, with the local member's update."""
        return ConfirmationAck(**self._header(), updates=[self._local.update])

    def _header(self) -> dict[str, Any]:
        local = self._local
        return {"sender": local.name, "run_id": local.run_id, "health_score": local.health.score}

    def _gossip(self) -> dict[str, Any]:
        updates = self._dissemination.take_updates()
        return {"updates": updates, "events": self._dissemination.take_events(updates)}

    @staticmethod
    def _target(update: MemberUpdate) -> dict[str, Any]:
        return {
            "target": update.name,
            "target_run_id": update.run_id,
            "host": update.host,
            "port": update.port,
        }
