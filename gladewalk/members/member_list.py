"""The roll of the other members: each with what is known of it, and what is asked of all of them at once.

How many live, who is suspect, who is gone, who is at an address and the hash of it all are kept up with each
change. Guards against a look at every member at every tick and message: a member then costs the same however
many others there are.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass, field

from .actions import Address, ProbeOutcome
from .messages import MemberState, MemberUpdate, stable_hash


@dataclass(slots=True)
class Member:
    """What is known of another member."""

    rumour: MemberUpdate
    since_ms: float  # in this state
    heard_ms: float  # last directly
    accusers: set[str] = field(default_factory=set)  # who said that it is suspect
    dead_at_ms: float = math.inf  # when a suspicion runs out
    knocking: bool = False  # what came of knocking at it is not known yet
    outcome: ProbeOutcome | None = None  # of the last knock since it was suspected
    asked: bool = False  # others were asked whether they know better, before it is held dead
    doubted: bool = False  # another's word of its death was not taken: we knock ourselves before it is dead
    stalled: bool = False  # a suspect that keeps its place and does none of its duties
    challenged_ms: float = -math.inf  # when it was last told what is said of it
    health_score: int = 0  # how far it doubts itself, as it said last

    @property
    def address(self) -> Address:
        return self.rumour.host, self.rumour.port

    @property
    def suspect(self) -> bool:
        return self.rumour.state is MemberState.SUSPECT

    @property
    def live(self) -> bool:
        """Taken to live: a suspect is, until it is found dead."""
        return self.rumour.state in (MemberState.ALIVE, MemberState.SUSPECT)


def hash_of(rumour: MemberUpdate) -> int:
    """63 bits of what two members must agree on: neither the weight nor who accuses it."""
    said = (rumour.name, rumour.run_id, rumour.incarnation, int(rumour.state), rumour.host, rumour.port)
    return stable_hash(said)


class Roll:
    """All members but oneself, by name. Rumours are set through it alone."""

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.suspects: dict[str, Member] = {}
        self.gone: dict[str, Member] = {}  # dead or left, the longest gone first
        self.at: dict[Address, str] = {}  # who was last heard of at an address
        self.digest = 0  # of all rumours, in whatever order they came

    @property
    def live_count(self) -> int:
        return len(self.members) - len(self.gone)

    def live(self) -> Iterator[Member]:
        return (member for member in self.members.values() if member.live)

    def lives_at(self, address: Address) -> bool:
        member = self.members.get(self.at.get(address, ""))
        return member is not None and member.live and member.address == address

    def add(self, rumour: MemberUpdate, now_ms: float) -> Member:
        """One that nothing was known of."""
        member = self.members[rumour.name] = Member(rumour, now_ms, now_ms)
        self._enter(member)
        return member

    def set(self, member: Member, rumour: MemberUpdate, now_ms: float) -> None:
        """Something newer of one that is known: its state begins anew."""
        self._strike(member)
        member.rumour, member.since_ms = rumour, now_ms
        member.accusers, member.dead_at_ms = set(), math.inf
        member.outcome, member.stalled, member.doubted, member.asked = None, False, False, False
        self._enter(member)

    def remove(self, name: str) -> None:
        member = self.members.pop(name)
        self._strike(member)
        if self.at.get(member.address) == name:
            del self.at[member.address]

    def suspicion_ends_ms(self) -> float:
        """When the next suspicion runs out."""
        return min((member.dead_at_ms for member in self.suspects.values()), default=math.inf)

    def long_gone(self, before_ms: float) -> list[str]:
        """Who has been gone since before then."""
        names = []
        for name, member in self.gone.items():
            if member.since_ms >= before_ms:
                break
            names.append(name)
        return names

    def shift(self, by_ms: float) -> None:
        """Move all that is due, as our own time stood still or went astray."""
        for member in self.members.values():
            member.since_ms += by_ms
            member.heard_ms += by_ms
            member.dead_at_ms += by_ms

    def _enter(self, member: Member) -> None:
        rumour = member.rumour
        self.digest ^= hash_of(rumour)
        self.at[member.address] = rumour.name
        if rumour.state is MemberState.SUSPECT:
            self.suspects[rumour.name] = member
        elif not member.live:
            self.gone[rumour.name] = member

    def _strike(self, member: Member) -> None:
        rumour = member.rumour
        self.digest ^= hash_of(rumour)
        self.suspects.pop(rumour.name, None)
        self.gone.pop(rumour.name, None)
