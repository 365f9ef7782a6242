"""Dissemination of member updates and user events by piggybacking (SWIM, sections 4.1 and 4.2).

Each update or event is transmitted about `retransmit_factor * log10(members)` times, the least often
transmitted ones first. A member that receives none of these transmissions gets it by state synchronization.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from itertools import chain
from typing import Generic, TypeVar

from .config import MembershipConfig
from .messages import MemberUpdate, UserEvent, encoded_size_bytes, stable_hash

MAX_GOSSIP_BYTES = 1_000  # per message; leaves room for the message's own fields and its authentication
Item = TypeVar("Item", MemberUpdate, UserEvent)


class TransmitQueue(Generic[Item]):
    """Queue of gossip by key, ordered by number of transmissions and then by age, the oldest first.

    Items are kept in one ordered level for each number of transmissions. So the cost of building a message
    depends on how many items it carries, and not on how many are queued.
    """

    def __init__(self) -> None:
        self._levels: list[dict[str, Item]] = [{}]
        self._level_by_key: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._level_by_key)

    def put(self, key: str, item: Item) -> None:
        """Queues an item in place of any older one of its key, with no transmissions yet."""
        self.discard(key)
        self._levels[0][key] = item
        self._level_by_key[key] = 0

    def discard(self, key: str) -> None:
        """Removes the item of a key, if there is one."""
        level = self._level_by_key.pop(key, None)
        if level is not None:
            del self._levels[level][key]

    def clear(self) -> None:
        """Removes all items."""
        self._levels = [{}]
        self._level_by_key = {}

    def take(self, max_bytes: int, max_transmissions: int) -> list[Item]:
        """Returns items for one message; removes those that have then had `max_transmissions`."""
        chosen: list[tuple[str, Item]] = []
        for key, item in chain.from_iterable(level.items() for level in self._levels):
            max_bytes -= encoded_size_bytes(item)
            if max_bytes < 0:
                break
            chosen.append((key, item))
        for key, item in chosen:
            self._count_transmission(key, item, max_transmissions)
        return [item for _, item in chosen]

    def _count_transmission(self, key: str, item: Item, max_transmissions: int) -> None:
        level = self._level_by_key[key] + 1
        self.discard(key)
        if level >= max_transmissions:
            return
        if level == len(self._levels):
            self._levels.append({})
        self._levels[level][key] = item
        self._level_by_key[key] = level


def claim_hash(event: UserEvent) -> int:
    """63-bit hash of a task's ownership claim: task, epoch and owner."""
    return stable_hash((event.task, event.epoch, event.owner))


class Dissemination:
    """Gossip queued for transmission, and the latest user event of each task.

    `member_count` returns the number of known members, from which the number of transmissions is computed.
    """

    def __init__(self, config: MembershipConfig, member_count: Callable[[], int]) -> None:
        self.queued_updates: TransmitQueue[MemberUpdate] = TransmitQueue()
        self.queued_events: TransmitQueue[UserEvent] = TransmitQueue()
        self.latest_events: dict[str, UserEvent] = {}  # by task, transmitted or not
        self.digest = 0  # XOR of the hashes of all claims: independent of the order in which they arrived
        self._config, self._member_count = config, member_count

    def queue_update(self, update: MemberUpdate) -> None:
        """Queues a member update in place of any older one of that member."""
        self.queued_updates.put(update.name, update)

    def discard_update(self, name: str) -> None:
        """Stops the transmission of a member's update."""
        self.queued_updates.discard(name)

    def learn_event(self, event: UserEvent) -> bool:
        """Queues an event if it supersedes the latest known event of its task; returns whether it does.

        The first event of a task is dropped if events of `max_events` tasks are known already.
        """
        known = self.latest_events.get(event.task)
        if known is None:
            if len(self.latest_events) >= self._config.max_events:
                return False
            self.digest ^= claim_hash(event)
        elif event.precedence <= known.precedence:
            return False
        elif (known.epoch, known.owner) != (event.epoch, event.owner):
            self.digest ^= claim_hash(event) ^ claim_hash(known)
        self.latest_events[event.task] = event
        self.queued_events.put(event.task, event)
        return True

    def forget_event(self, task: str) -> None:
        """Removes a task's event and stops its transmission."""
        if (known := self.latest_events.pop(task, None)) is not None:
            self.digest ^= claim_hash(known)
        self.queued_events.discard(task)

    def take_updates(self) -> list[MemberUpdate]:
        """Returns the updates for the next message, at most `MAX_GOSSIP_BYTES`."""
        return self.queued_updates.take(MAX_GOSSIP_BYTES, self._max_transmissions())

    def take_events(self, updates: list[MemberUpdate]) -> list[UserEvent]:
        """Returns the events that fit into a message together with these updates."""
        if not self.queued_events:
            return []
        remaining_bytes = MAX_GOSSIP_BYTES - sum(map(encoded_size_bytes, updates))
        return self.queued_events.take(remaining_bytes, self._max_transmissions())

    def _max_transmissions(self) -> int:
        return math.ceil(self._config.retransmit_factor * math.log10(self._member_count() + 2))
