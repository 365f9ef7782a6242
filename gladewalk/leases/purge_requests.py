"""An operator's purges on their way to every hub cache, whoever holds the duty meanwhile. No I/O.

An order is told to every director and kept by each in its store; the operator has its acknowledgement once a
majority keeps it. Who holds the duty asks all for their open orders and forwards what it learns: a majority
that answers shares a director with the majority that kept, so no acknowledged order is missed, whoever has
died. Forwarding is done at least once: a purge done twice harms nobody, and hubs know an order by its id.
Once every hub has taken it, it is finished: told to all, and kept no more.
"""

from __future__ import annotations

import heapq
import random
from collections import OrderedDict
from dataclasses import dataclass, field

import msgspec

from .configuration import majority
from .messages import WHAT_MOST, Finished, Kept, Open, Order, Wanted
from .outputs import ORDERS, Event, Out, Save, Send, pack

TELL_MS = 200.0  # until who has not said that it keeps an order is told again
TELL_MOST_MS = 10_000.0  # the longest wait between two tellings
SYNC_MS = 250.0  # until a round of asking for open orders that has no majority yet is asked again
RESYNC_MS = 2_000.0  # a holder asks anew, for orders whose telling was lost
PAGE = 4  # orders in a datagram
WINDOW = 64  # orders on their way to the hubs at a time
OPEN_MOST = 4_096  # open orders: further ones are refused
DONE_KEPT = 8_192  # finished ones remembered, so that what comes late does not open them again


@dataclass(slots=True)
class Held:
    """An open order and who is known to keep it; told again at `due_ms` if this director took it."""

    order: Order
    keepers: set[str] = field(default_factory=set)
    due_ms: float = float("inf")
    wait_ms: float = TELL_MS
    took: set[str] = field(default_factory=set)  # the sinks that have taken it from this holder


@dataclass(slots=True)
class Syncing:
    number: int
    due_ms: float
    whole: set[str] = field(default_factory=set)  # who has told all of its open orders


class Orders:
    """One director's; `peers` are all directors by name, this one among them."""

    def __init__(
        self, name: str, peers: tuple[str, ...], sinks: tuple[str, ...], rng: random.Random,
        restored: dict[str, bytes],
    ) -> None:  # fmt: skip
        self.name, self.peers, self.sinks, self.random = name, peers, sinks, rng
        self.need = majority(len(peers))
        self.open: dict[str, Held] = {}
        self.done: OrderedDict[str, int] = OrderedDict()  # id -> token it was finished under
        self.syncing: Syncing | None = None
        self.synced_ms = float("-inf")  # when a majority had last told all of its open orders
        self.numbers = 0
        decoder = msgspec.msgpack.Decoder(Order)
        for row in restored.values():
            try:
                order = decoder.decode(row)
            except msgspec.MsgspecError:
                continue
            self.open[order.id] = Held(order, {name})

    # At the director that an operator asks.

    def take(self, what: str, now_ms: float, wall_ms: float) -> tuple[Order, list[Out]]:
        """A new order and what follows; `ValueError` says why there can be none."""
        if not 0 < len(what) <= WHAT_MOST or not what.isprintable():
            raise ValueError(f"a purge names 1 to {WHAT_MOST} printable characters")
        if len(self.open) >= OPEN_MOST:
            raise ValueError(f"{OPEN_MOST} orders are open already: the hubs do not take them")
        order = Order(f"{self.random.getrandbits(64):016x}", what, self.name, wall_ms)
        held = self.open[order.id] = Held(order, due_ms=now_ms)
        return order, [self._save(held), Event("ordered", order.id, 0, self.name)]

    def status(self, id: str) -> dict[str, object]:
        """Of one order: who keeps it, and under which token it was finished (0: not yet)."""
        held = self.open.get(id)
        if held is not None:
            keepers, state = sorted(held.keepers), "open"
        else:
            keepers, state = [], "finished" if id in self.done else "unknown"
        return {"id": id, "state": state, "keepers": keepers, "token": self.done.get(id, 0),
                "acknowledged": state == "finished" or len(keepers) >= self.need}  # fmt: skip

    # At every director.

    def order(self, told: Order) -> list[Out]:
        if told.id in self.done:
            return [Send(told.by, Finished(told.id, self.done[told.id]))]
        held = self.open.get(told.id)
        if held is not None and self.name in held.keepers:
            return [Send(told.by, Kept(told.id, self.name))]
        if held is None:
            if len(self.open) >= OPEN_MOST:
                return [Event("order_refused", told.id, 0, told.by)]
            held = self.open[told.id] = Held(told)
        return [self._save(held, Send(told.by, Kept(told.id, self.name)))]

    def saved(self, id: str) -> None:
        """A save of an order now lasts here."""
        if id in self.open:
            self.open[id].keepers.add(self.name)

    def kept(self, told: Kept) -> None:
        if told.id in self.open and told.keeper in self.peers:
            self.open[told.id].keepers.add(told.keeper)

    def finished(self, told: Finished) -> list[Out]:
        if told.id in self.done:
            return []
        self.done[told.id] = told.token
        while len(self.done) > DONE_KEPT:
            self.done.popitem(last=False)
        if self.open.pop(told.id, None) is None:
            return []
        return [Save(ORDERS, told.id, None), Event("forwarded", told.id, told.token, self.name)]

    def wanted(self, told: Wanted) -> list[Out]:
        ids = sorted(id for id, held in self.open.items() if id > told.after and self.name in held.keepers)
        page = [self.open[id].order for id in ids[:PAGE]]
        return [Send(told.asker, Open(self.name, told.number, page, len(ids) > PAGE))]

    # At the holder.

    def opened(self, told: Open, now_ms: float) -> list[Out]:
        """Another's open orders, in answer to a holder."""
        out: list[Out] = []
        for order in told.orders:
            if order.id in self.done:  # it missed the end of this one
                out.append(Send(told.keeper, Finished(order.id, self.done[order.id])))
            else:
                out += [a for a in self.order(order) if not isinstance(a, Send)]
                self.kept(Kept(order.id, told.keeper))
        if self.syncing is not None and told.number == self.syncing.number:
            if told.more:
                out.append(Send(told.keeper, Wanted(self.name, told.number, told.orders[-1].id)))
            elif told.keeper in self.peers:
                self.syncing.whole.add(told.keeper)
                if len(self.syncing.whole) >= self.need:
                    self.syncing, self.synced_ms = None, now_ms
        return out

    def hold(self, now_ms: float) -> list[Out]:
        """While the duty is held here: ask for what others keep, first at once and then now and then."""
        if self.syncing is None and now_ms < self.synced_ms + RESYNC_MS:
            return []
        if self.syncing is not None and now_ms < self.syncing.due_ms:
            return []
        self.numbers += 1
        # A new round begins the count anew: an answer counts for the round that asked for it.
        self.syncing = Syncing(self.numbers, now_ms + SYNC_MS, {self.name})
        return [Send(peer, Wanted(self.name, self.numbers)) for peer in self.peers if peer != self.name]

    def to_do(self) -> list[Order]:
        """What is to be forwarded now and lasts here: the oldest, `WINDOW` at most."""
        held = (h.order for h in self.open.values() if self.name in h.keepers)
        return heapq.nsmallest(WINDOW, held, key=lambda order: (order.at_ms, order.id))

    def taken(self, id: str, sink: str, token: int) -> list[Out]:
        """A hub has taken this order; with the last of them it is finished."""
        held = self.open.get(id)
        if held is None:
            return []
        held.took.add(sink)
        if not held.took.issuperset(self.sinks):
            return []
        done = Finished(id, token)
        return [*self.finished(done), *(Send(peer, done) for peer in self.peers if peer != self.name)]

    def let_go(self) -> None:
        """The duty is not held here any more: what hubs took from this holder counts for nothing."""
        self.syncing, self.synced_ms = None, float("-inf")
        for held in self.open.values():
            held.took.clear()

    # In time.

    def tick(self, now_ms: float) -> list[Out]:
        """Orders taken here are told again to who has not said that it keeps them."""
        out: list[Out] = []
        for held in self.open.values():
            if now_ms < held.due_ms:
                continue
            if self.name not in held.keepers:  # its save failed or is under way: tried again
                out.append(self._save(held))
            missing = [peer for peer in self.peers if peer not in held.keepers and peer != self.name]
            out += [Send(peer, held.order) for peer in missing]
            held.due_ms = now_ms + held.wait_ms if missing or out else float("inf")
            held.wait_ms = min(held.wait_ms * 2.0, TELL_MOST_MS)
        return out

    def next_due_ms(self) -> float:
        return min((held.due_ms for held in self.open.values()), default=float("inf"))

    def _save(self, held: Held, *then: Out) -> Save:
        return Save(ORDERS, held.order.id, pack(held.order), then)
