"""Configuration of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class MembershipConfig:
    """Periods, timeouts and bounds of the protocol.

    All members know of a failure after about two ping periods, plus the duration of a suspicion, plus the
    time that gossip takes to spread.
    """

    ping_period_ms: float = 200.0
    ping_timeout_ms: float = 80.0  # for the ack of a direct ping; indirect pings have the rest of the period
    indirect_ping_members: int = 3  # members that ping a target on the local member's behalf
    min_suspicion_ms: float = 500.0  # duration of a suspicion that enough other members confirm
    max_suspicion_factor: float = 2.0  # times the minimum: duration of a suspicion without confirmations
    suspicion_confirmations: int = 2  # confirmations that shorten a suspicion to its minimum
    max_stall_ms: float = 10_000.0  # how long a member is kept that accepts connections but doesn't respond
    retransmit_factor: float = 3.0  # times log10(members + 2): transmissions of each piece of gossip
    sync_interval_ms: float = 5_000.0  # between state synchronizations with a random member
    departed_retention_ms: float = 60_000.0  # keeps departed members, so that old updates can't revive them
    max_members: int = 2_048
    max_events: int = 8_192  # tasks whose latest event is kept
