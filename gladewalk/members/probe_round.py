"""Order in which members are pinged: round-robin, in a new random order each round (SWIM, section 4.3)."""

from __future__ import annotations

import random

from .member_list import Member, MemberList


class ProbeRound:
    """Members not yet pinged in this round; each member is pinged at least once within two rounds."""

    def __init__(self, members: MemberList, rng: random.Random) -> None:
        self._members, self._rng = members, rng
        self._names: list[str] = []  # the last name is pinged next

    def add(self, name: str) -> None:
        """Inserts a new member at a random position of the current round."""
        self._names.insert(self._rng.randrange(len(self._names) + 1), name)

    def next_target(self) -> Member | None:
        """Returns the next live member, from a new round if this one is over; None if there is none."""
        for _ in range(2):
            while self._names:
                member = self._members.by_name.get(self._names.pop())
                if member is not None and member.is_live:
                    return member
            self._names = [member.name for member in self._members.live()]
            self._rng.shuffle(self._names)
        return None
