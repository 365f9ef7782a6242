"""From a suspicion to a verdict: when it runs out, and what then speaks for life or death. No I/O.

A silence has four causes that want different answers, and datagrams alone cannot tell them apart. So whoever
suspects a member knocks at its stream's port, which the system answers for it:

    here          its datagrams are lost; it is told of the suspicion and refutes it
    gone          the system refuses: no process is there. Dead once the least time of a suspicion is over
    silent        the system accepts and the process says nothing: paused or stalled. It keeps its place for
                  `stall_ms`; what it has to do is done by others as soon as a suspicion would have run out
    unreachable   no word from its machine: cut off or crashed, dead when the suspicion runs out

And who was heard from since it was suspected is not found dead: it is told, so that it can refute.
"""

from __future__ import annotations

import math
from enum import Enum

from .actions import ProbeOutcome
from .config import MembershipConfig
from .member_list import Member

KNOCK_ALL = 64  # members up to which all knock at a suspect; in larger fleets only who accuses it by itself
KNOCK_AGAIN_MS = 2_000.0  # a stalled member may be killed meanwhile
DOUBTFUL = 4  # health from which on a member's word about others weighs less
PENDING_MS = 50.0


class Verdict(Enum):
    WAIT = "wait"
    TELL = "tell"  # it was heard from: it must hear what is said of it
    KNOCK = "knock"  # and wait what comes of it
    STALLED = "stalled"
    DEAD = "dead"


def least_ms(terms: MembershipConfig, count: int, answer_ms: float) -> float:
    """How long a suspicion lasts that enough others confirmed; never less than a word and its answer take."""
    return max(terms.min_suspicion_ms * max(1.0, math.log10(count)), 3.0 * answer_ms)


def runs_out_ms(member: Member, terms: MembershipConfig, count: int, health: int, answer_ms: float) -> float:
    """From the most down to the least as others confirm it (Lifeguard). `count`: members, ourselves too."""
    least = least_ms(terms, count, answer_ms)
    most = least * terms.max_suspicion_factor * (1.0 + 0.15 * health)
    wanted = min(terms.suspicion_confirmations, max(1, count - 2))
    share = math.log(max(1, len(member.accusers))) / math.log(wanted + 1) if wanted else 1.0
    return member.since_ms + max(least, most - (most - least) * min(1.0, share))


def knocks(member: Member, me: str, count: int) -> bool:
    """Whether we knock at a suspect: all do in a small fleet, in a large one who accuses it."""
    return count <= KNOCK_ALL or me in member.accusers


def believes_death(member: Member, terms: MembershipConfig, doubtful: bool, now_ms: float) -> bool:
    """Whether another's word that a member is dead is taken; else it is a suspicion of ours from now.

    Not of one that we did not suspect until then, nor of one that we heard from since: after a partition each
    side tells the other of its dead, who live. They are asked, and find a moment to say otherwise.
    """
    if not member.suspect:
        return False
    if member.outcome in (ProbeOutcome.REFUSED, ProbeOutcome.UNREACHABLE):
        return True  # we found no life there either
    if member.outcome is ProbeOutcome.SILENT and now_ms < member.since_ms + terms.max_stall_ms:
        return False
    new = now_ms < member.since_ms + terms.min_suspicion_ms
    return not doubtful and not new and member.heard_ms <= member.since_ms


def verdict_of(
    member: Member, terms: MembershipConfig, me: str, count: int, now_ms: float
) -> tuple[Verdict, float]:
    """Of a suspect whose time has run out, and when to ask again (ms from now)."""
    least = terms.min_suspicion_ms
    if member.heard_ms > member.since_ms:
        return Verdict.TELL, least
    if member.knocking:
        return Verdict.WAIT, PENDING_MS
    left = member.since_ms + terms.max_stall_ms - now_ms
    if member.outcome is ProbeOutcome.SILENT and left > 0.0:
        return Verdict.STALLED, min(left, KNOCK_AGAIN_MS)
    if member.outcome is None and (member.doubted or knocks(member, me, count)):
        return Verdict.KNOCK, PENDING_MS
    if member.outcome is None and left > 0.0:
        return Verdict.WAIT, left  # its accusers find out; if they die too, it is held dead in the end
    return Verdict.DEAD, 0.0
