"""The objects that the state machines of the membership protocol share."""

from __future__ import annotations

import random
from dataclasses import dataclass

from .actions import Outbox
from .config import MembershipConfig
from .dissemination import Dissemination
from .local_member import LocalMember
from .loop_delay import LoopDelay
from .member_list import MemberList
from .message_builder import MessageBuilder
from .messages import MemberUpdate
from .pings import PingTracker

STOP_PERIODS = 3.0  # a process that did not run for this many ping periods is taken to have been stopped


@dataclass(slots=True, frozen=True)
class ProtocolContext:
    """One instance of each shared object; each object alone modifies its own state.

    `rng` is the only source of randomness: with a fixed seed and virtual time, a run can be reproduced.
    """

    config: MembershipConfig
    rng: random.Random
    local: LocalMember
    members: MemberList
    dissemination: Dissemination
    pings: PingTracker
    loop_delay: LoopDelay
    messages: MessageBuilder
    outbox: Outbox

    @property
    def member_count(self) -> int:
        """Number of live members, the local one included."""
        return self.members.live_count + 1


def create_context(update: MemberUpdate, config: MembershipConfig, rng: random.Random) -> ProtocolContext:
    """Creates the shared objects of a member that knows no other members yet."""
    local, members = LocalMember(update), MemberList()
    dissemination = Dissemination(config, lambda: len(members.by_name))
    return ProtocolContext(
        config=config,
        rng=rng,
        local=local,
        members=members,
        dissemination=dissemination,
        pings=PingTracker(config),
        loop_delay=LoopDelay(config.ping_period_ms * STOP_PERIODS),
        messages=MessageBuilder(local, members, dissemination, rng),
        outbox=Outbox(),
    )
