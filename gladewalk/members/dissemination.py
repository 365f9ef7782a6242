"""What rides along on messages: rumours of members and news of duties, each a bounded number of times.

SWIM, 4.1: what was sent least often goes first, and each piece about `retransmit * log10(members)` times, so
that mostly all have it. What is lost all the same, full exchanges make good.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from itertools import chain
from typing import Generic, TypeVar

from .config import MembershipConfig
from .messages import MemberUpdate, UserEvent, encoded_size_bytes, stable_hash

GOSSIP_BYTES = 1_000  # of rumours in a message: the rest is for the message itself and its seal
T = TypeVar("T", MemberUpdate, UserEvent)


class Told(Generic[T]):
    """What is still being told, by key: least often told first, and of these the oldest.

    One ordered level for each number of times, so that a message costs what it carries and not what waits:
    with thousands of duties there are thousands of pieces.
    """

    def __init__(self) -> None:
        self.levels: list[dict[str, T]] = [{}]
        self.level_of: dict[str, int] = {}

    def put(self, key: str, piece: T) -> None:
        """New, or something newer of the same: told from the beginning."""
        self.drop(key)
        self.levels[0][key] = piece
        self.level_of[key] = 0

    def drop(self, key: str) -> None:
        level = self.level_of.pop(key, None)
        if level is not None:
            del self.levels[level][key]

    def take(self, room: int, often: int) -> list[T]:
        """As many as fit into so many bytes; each is dropped once it was told often enough."""
        chosen: list[tuple[str, T]] = []
        for key, piece in chain.from_iterable(level.items() for level in self.levels):
            room -= encoded_size_bytes(piece)
            if room < 0:
                break
            chosen.append((key, piece))
        for key, piece in chosen:
            level = self.level_of[key] + 1
            self.drop(key)
            if level >= often:
                continue
            if level == len(self.levels):
                self.levels.append({})
            self.levels[level][key] = piece
            self.level_of[key] = level
        return [piece for _, piece in chosen]


def claim_hash(news: UserEvent) -> int:
    """63 bits of who holds a duty, under which claim."""
    return stable_hash((news.task, news.epoch, news.owner))


class Gossip:
    """Rumours and news that are still being told, and the latest news of each duty."""

    def __init__(self, terms: MembershipConfig, members: Callable[[], int]) -> None:
        self.terms, self.members = terms, members
        self.rumours: Told[MemberUpdate] = Told()
        self.fresh: Told[UserEvent] = Told()
        self.events: dict[str, UserEvent] = {}  # the latest of each duty, told or not
        self.digest = 0  # of who claims what, in whatever order it came

    def spread(self, rumour: MemberUpdate) -> None:
        self.rumours.put(rumour.name, rumour)

    def forget_member(self, name: str) -> None:
        self.rumours.drop(name)

    def learn(self, news: UserEvent) -> bool:
        """Whether it is later than what was known of its duty; then it is told on."""
        known = self.events.get(news.task)
        if known is not None and news.precedence <= known.precedence:
            return False
        if known is None and len(self.events) >= self.terms.max_events:
            return False
        if known is None or (known.epoch, known.owner) != (news.epoch, news.owner):
            self.digest ^= claim_hash(news) ^ (claim_hash(known) if known is not None else 0)
        self.events[news.task] = news
        self.fresh.put(news.task, news)
        return True

    def forget_news(self, duty: str) -> None:
        if (known := self.events.pop(duty, None)) is not None:
            self.digest ^= claim_hash(known)
        self.fresh.drop(duty)

    def take_rumours(self) -> list[MemberUpdate]:
        return self.rumours.take(GOSSIP_BYTES, self._often())

    def take_news(self, beside: list[MemberUpdate]) -> list[UserEvent]:
        """News that fit beside these rumours."""
        if not self.fresh.level_of:
            return []
        return self.fresh.take(GOSSIP_BYTES - sum(map(encoded_size_bytes, beside)), self._often())

    def _often(self) -> int:
        return math.ceil(self.terms.retransmit_factor * math.log10(self.members() + 2))
