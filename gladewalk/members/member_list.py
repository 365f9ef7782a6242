"""The list of the other members and the indexes over it.

Counts, suspects, departed members, addresses and the digest are updated with each change, so that the cost of
a tick or a message does not depend on the number of members.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from .actions import Address, ProbeOutcome
from .messages import MemberState, MemberUpdate, stable_hash


@dataclass(slots=True)
class Member:
    """Local view of another member; times are in ms.

    `MemberList` sets `update` and resets the fields of a suspicion: `suspectors` and all fields below it,
    which `SuspicionMonitor` writes. `Membership` sets `last_received_ms` and `health_score`.
    """

    update: MemberUpdate
    state_since_ms: float
    last_received_ms: float  # when the last message from the member itself was received
    health_score: int = 0  # its own local health, as last reported by it
    suspectors: set[str] = field(default_factory=set)  # members that suspect it
    suspicion_ends_ms: float = math.inf
    is_probe_pending: bool = False
    probe_outcome: ProbeOutcome | None = None  # of the last confirmation probe during this suspicion
    has_consulted_peers: bool = False  # others were queried for a later incarnation before declaring it dead
    is_death_disputed: bool = False  # a report of its death was not accepted: the local member probes it
    is_stalled: bool = False  # it stays a member, but its periodic tasks are assigned to others
    last_notified_ms: float = -math.inf  # when the suspicion or death report was last sent to it

    @property
    def name(self) -> str:
        """Name of the member."""
        return self.update.name

    @property
    def address(self) -> Address:
        """Address at which the member was last announced."""
        return self.update.host, self.update.port

    @property
    def is_suspect(self) -> bool:
        """Whether the member is suspected of having failed."""
        return self.update.state is MemberState.SUSPECT

    @property
    def is_live(self) -> bool:
        """Whether the member counts as live: alive, or suspect and not yet declared dead."""
        return self.update.state in (MemberState.ALIVE, MemberState.SUSPECT)


def update_hash(update: MemberUpdate) -> int:
    """63-bit hash of the fields that all members must agree on: all but the weight and the suspector."""
    return stable_hash(
        (update.name, update.run_id, update.incarnation, int(update.state), update.host, update.port)
    )


class MemberList:
    """All members except the local one. Only this class sets their updates."""

    def __init__(self) -> None:
        self.by_name: dict[str, Member] = {}
        self.suspects: dict[str, Member] = {}
        self.departed: dict[str, Member] = {}  # dead or left, the earliest departure first
        self.digest = 0  # XOR of the hashes of all updates: independent of the order in which they arrived
        self._name_by_address: dict[Address, str] = {}

    @property
    def live_count(self) -> int:
        """Number of live members, without the local one."""
        return len(self.by_name) - len(self.departed)

    def live(self) -> Iterator[Member]:
        """Iterates over the live members."""
        return (member for member in self.by_name.values() if member.is_live)

    def is_live_at(self, address: Address) -> bool:
        """Whether a live member was last announced at this address."""
        member = self.by_name.get(self._name_by_address.get(address, ""))
        return member is not None and member.is_live and member.address == address

    def sample_alive(self, excluded: Member, max_count: int, rng: random.Random) -> list[Member]:
        """Draws up to `max_count` members that are not suspect, other than `excluded`."""
        others = [
            member
            for member in self.by_name.values()
            if member is not excluded and member.update.state is MemberState.ALIVE
        ]
        return rng.sample(others, min(len(others), max_count))

    def add(self, update: MemberUpdate, now_ms: float) -> Member:
        """Adds a new member."""
        member = self.by_name[update.name] = Member(update, now_ms, now_ms)
        self._index(member)
        return member

    def replace(self, member: Member, update: MemberUpdate, now_ms: float) -> None:
        """Sets the update of a known member and resets its suspicion."""
        self._remove_from_indexes(member)
        member.update, member.state_since_ms = update, now_ms
        member.suspectors, member.suspicion_ends_ms = set(), math.inf
        member.probe_outcome = None
        member.is_stalled = member.is_death_disputed = member.has_consulted_peers = False
        self._index(member)

    def remove(self, name: str) -> None:
        """Removes a member from the list."""
        member = self.by_name.pop(name)
        self._remove_from_indexes(member)
        if self._name_by_address.get(member.address) == name:
            del self._name_by_address[member.address]

    def next_suspicion_end_ms(self) -> float:
        """When the next suspicion expires; infinity if there is none."""
        return min((member.suspicion_ends_ms for member in self.suspects.values()), default=math.inf)

    def departed_before(self, time_ms: float) -> list[str]:
        """Names of the members that departed before this time."""
        names = []
        for name, member in self.departed.items():
            if member.state_since_ms >= time_ms:
                break
            names.append(name)
        return names

    def shift(self, by_ms: float) -> None:
        """Shifts all stored times, after the local clock jumped or the process was stopped."""
        for member in self.by_name.values():
            member.state_since_ms += by_ms
            member.last_received_ms += by_ms
            member.suspicion_ends_ms += by_ms

    def _index(self, member: Member) -> None:
        update = member.update
        self.digest ^= update_hash(update)
        self._name_by_address[member.address] = update.name
        if member.is_suspect:
            self.suspects[update.name] = member
        elif not member.is_live:
            self.departed[update.name] = member

    def _remove_from_indexes(self, member: Member) -> None:
        self.digest ^= update_hash(member.update)
        self.suspects.pop(member.name, None)
        self.departed.pop(member.name, None)
