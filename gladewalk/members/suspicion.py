"""Rules of a suspicion: how long it lasts, and what to do once it has expired. Pure functions.

A missing ack has four possible causes that require different decisions, and that can't be distinguished by
datagrams alone. A member that suspects another therefore sends a confirmation probe to its stream port, where
the suspect's operating system accepts the connection even if its process does not respond:

    responded     its datagrams are lost; the probe notifies it of the suspicion, which it refutes
    refused       no process listens there: it is dead after the minimum duration of a suspicion
    unresponsive  connected, but no response: the process is paused or stalled. It stays a member for
                  `max_stall_ms`; its periodic tasks move to others once a suspicion would have expired
    unreachable   partitioned or down: it is dead when the suspicion expires

A member from which a message was received since it was suspected is not declared dead, but notified of the
suspicion, so that it can refute it.
"""

from __future__ import annotations

import math
from enum import Enum, auto

from .actions import ProbeOutcome
from .config import MembershipConfig
from .member_list import Member

MAX_MEMBERS_ALL_PROBE = 64  # in larger fleets, only the suspectors of a member probe it
STALL_REPROBE_MS = 2_000.0  # time between probes of a stalled member, which may be killed meanwhile
RETRY_MS = 50.0  # time until a decision that waits for a probe is made again
HEALTH_FACTOR = 0.15  # part by which each point of the health score extends an unconfirmed suspicion
ROUND_TRIPS = 3.0  # a suspicion lasts for at least this many round trips, so that it can be refuted


class SuspicionDecision(Enum):
    """How to handle an expired suspicion."""

    WAIT = auto()
    NOTIFY = auto()  # a message was received from the member: notify it of the suspicion
    PROBE = auto()  # send a confirmation probe and wait for its outcome
    STALLED = auto()
    DEAD = auto()


def min_duration_ms(config: MembershipConfig, member_count: int, round_trip_ms: float) -> float:
    """Duration of a suspicion that enough others confirmed; grows with log10 of the members (Lifeguard)."""
    scaled_ms = config.min_suspicion_ms * max(1.0, math.log10(member_count))
    return max(scaled_ms, ROUND_TRIPS * round_trip_ms)


def expiry_ms(
    member: Member, config: MembershipConfig, member_count: int, health_score: int, round_trip_ms: float
) -> float:
    """When a suspicion expires: after the maximum duration, reduced to the minimum as others confirm it.

    This is Lifeguard's LHA-Suspicion. `member_count` includes the local member.
    """
    shortest_ms = min_duration_ms(config, member_count, round_trip_ms)
    longest_ms = shortest_ms * config.max_suspicion_factor * (1.0 + HEALTH_FACTOR * health_score)
    needed = min(config.suspicion_confirmations, max(1, member_count - 2))
    confirmed = math.log(max(1, len(member.suspectors))) / math.log(needed + 1) if needed else 1.0
    duration_ms = longest_ms - (longest_ms - shortest_ms) * min(1.0, confirmed)
    return member.state_since_ms + max(shortest_ms, duration_ms)


def may_probe(member: Member, local_name: str, member_count: int) -> bool:
    """Whether the local member probes a suspect: always in a small fleet, otherwise if it is a suspector."""
    return member_count <= MAX_MEMBERS_ALL_PROBE or local_name in member.suspectors


def accepts_death_report(
    member: Member, config: MembershipConfig, is_sender_unhealthy: bool, now_ms: float
) -> bool:
    """Whether another member's report of a death is accepted; otherwise it counts as a suspicion.

    After a partition, each side reports the live members of the other side as dead. A report is therefore not
    accepted if the member was not suspect here before, or if a message was received from it since then. Such
    a member is probed first.
    """
    if not member.is_suspect:
        return False
    if member.probe_outcome in (ProbeOutcome.REFUSED, ProbeOutcome.UNREACHABLE):
        return True
    if (
        member.probe_outcome is ProbeOutcome.UNRESPONSIVE
        and now_ms < member.state_since_ms + config.max_stall_ms
    ):
        return False
    is_recent = now_ms < member.state_since_ms + config.min_suspicion_ms
    return not is_sender_unhealthy and not is_recent and member.last_received_ms <= member.state_since_ms


def decide_expired_suspicion(
    member: Member, config: MembershipConfig, local_name: str, member_count: int, now_ms: float
) -> tuple[SuspicionDecision, float]:
    """Decides on an expired suspicion; returns the decision and the time in ms until the next one."""
    if member.last_received_ms > member.state_since_ms:
        return SuspicionDecision.NOTIFY, config.min_suspicion_ms
    if member.is_probe_pending:
        return SuspicionDecision.WAIT, RETRY_MS
    stall_remaining_ms = member.state_since_ms + config.max_stall_ms - now_ms
    if member.probe_outcome is ProbeOutcome.UNRESPONSIVE and stall_remaining_ms > 0.0:
        return SuspicionDecision.STALLED, min(stall_remaining_ms, STALL_REPROBE_MS)
    if member.probe_outcome is None:
        if member.is_death_disputed or may_probe(member, local_name, member_count):
            return SuspicionDecision.PROBE, RETRY_MS
        # Its suspectors probe it. If they die, it is declared dead after the time that a stall may last.
        if stall_remaining_ms > 0.0:
            return SuspicionDecision.WAIT, stall_remaining_ms
    return SuspicionDecision.DEAD, 0.0
