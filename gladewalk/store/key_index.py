"""What a store holds: the latest value of each key, until it expires. No I/O.

A key is a space and a text; values are bytes. Records are applied in whatever order their files are read: of
two for one key the one of the later sequence counts. Memory: some 400 bytes a key beside key and value
(`benchmarks/store.py` measures it).
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass

import msgspec

from .record_format import DELETE, PUT, Fault, Record

FOREVER = 0.0


class Item(msgspec.Struct, frozen=True, array_like=True):
    """A record's payload. `until_ms` by the Unix clock; 0: it does not expire."""

    space: str
    key: str
    value: bytes = b""
    until_ms: float = FOREVER


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Item)


def pack(item: Item) -> bytes:
    return _encoder.encode(item)


def unpack(record: Record, file: str, offset: int) -> Item:
    """A record's item; its CRC was good, so what can't be read was written by another version."""
    try:
        item: Item = _decoder.decode(record.payload)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise Fault(file, offset, f"a record of another form: {error}") from error
    return item


@dataclass(slots=True)
class Held:
    """A key's latest: `segment` is where its record lies, `size` its bytes there."""

    item: Item
    sequence: int
    segment: int
    size: int
    deleted: bool = False


class State:
    """The keys, and how much of each segment is still of use."""

    def __init__(self) -> None:
        self.held: dict[tuple[str, str], Held] = {}
        self.live: dict[int, int] = {}  # bytes of each segment's records that count
        self.sequence = 0
        self.ends: list[tuple[float, tuple[str, str]]] = []  # a heap of what expires, by when; some are stale

    def apply(self, record: Record, item: Item, segment: int, size: int) -> bool:
        """Whether it is the latest of its key; told records again change nothing."""
        self.sequence = max(self.sequence, record.sequence)
        slot = (item.space, item.key)
        known = self.held.get(slot)
        if known is not None and known.sequence > record.sequence:
            return False
        if known is not None:
            self.live[known.segment] = self.live.get(known.segment, 0) - known.size
        deleted = record.kind == DELETE
        self.held[slot] = Held(item, record.sequence, segment, size, deleted)
        self.live[segment] = self.live.get(segment, 0) + size
        if item.until_ms != FOREVER and not deleted and (known is None or known.sequence != record.sequence):
            heapq.heappush(self.ends, (item.until_ms, slot))
        return True

    def get(self, space: str, key: str, now_ms: float) -> bytes | None:
        held = self.held.get((space, key))
        if held is None or held.deleted or is_over(held.item, now_ms):
            return None
        return held.item.value

    def items(self, space: str, now_ms: float) -> dict[str, bytes]:
        """All that a space holds now, by key."""
        return {
            key: held.item.value
            for (of, key), held in self.held.items()
            if of == space and not held.deleted and not is_over(held.item, now_ms)
        }

    def drop_over(self, now_ms: float) -> int:
        """Forget what has expired, and deletions of it: how many. Their records are garbage from now on.

        A deletion is kept as long as an older segment may hold what it deletes: compaction forgets it.
        """
        count = 0
        while self.ends and self.ends[0][0] <= now_ms:
            _, slot = heapq.heappop(self.ends)
            held = self.held.get(slot)
            if held is not None and not held.deleted and is_over(held.item, now_ms):
                del self.held[slot]
                self.live[held.segment] = self.live.get(held.segment, 0) - held.size
                count += 1
        return count

    def kept_of(self, upto: int, now_ms: float) -> list[tuple[Record, Item]]:
        """What a compaction of all segments up to one has to write again, in the order of sequences.

        Deletions are left out: no older segment remains that could hold what they delete.
        """
        kept = [held for held in self.held.values() if held.segment <= upto and not held.deleted]
        alive = sorted((h for h in kept if not is_over(h.item, now_ms)), key=lambda held: held.sequence)
        return [(Record(PUT, held.sequence, 0, pack(held.item)), held.item) for held in alive]

    def forget_deleted(self, upto: int) -> None:
        """After a compaction up to a segment: deletions in it have nothing left to delete."""
        gone = [slot for slot, held in self.held.items() if held.deleted and held.segment <= upto]
        for slot in gone:
            del self.held[slot]


def is_over(item: Item, now_ms: float) -> bool:
    return item.until_ms != FOREVER and now_ms >= item.until_ms
