"""How many transfers at a time one answer to a resolver may bring, measured from its own questions. No I/O.

A resolver asks for a name again once its answer has run out and one of its clients wants the name. So of the
time in which a name was *not* held, the part that passes until it is asked for again tells how often clients
want it: re-asks over time unheld is the rate (for a Poisson stream the maximum-likelihood one; names that are
not asked for again count with all their time). By Little's law rate times the time of a transfer is how many
are under way at a time. A farm of resolvers behind one address asks again while an answer is held: time
unheld is then none, and the weight goes up, as it should.

A resolver that holds answers for minutes shows little by its questions: so nobody weighs less than what the
settings say for one of whom nothing is known.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

NAMES_MOST = 65_536  # names of resolvers that are watched at a time; the longest unasked go
RESOLVERS_MOST = 4_096
WATCH_MS = 60_000.0  # for how long a name that is not asked for again counts
FADE_MS = 300_000.0  # what was seen counts half after this
PRIOR_ASKS = 4.0  # how many re-asks what the settings say is worth


@dataclass(slots=True)
class Seen:
    """Of one resolver, faded: re-asks, and the time in which names were unheld."""

    asks: float = 0.0
    unheld_ms: float = 0.0
    at_ms: float = 0.0

    def fade(self, now_ms: float) -> None:
        part = 0.5 ** (max(0.0, now_ms - self.at_ms) / FADE_MS)
        self.asks, self.unheld_ms, self.at_ms = self.asks * part, self.unheld_ms * part, now_ms


class Weights:
    """`least`: of a resolver that nothing is known of; `most`: whatever is measured."""

    def __init__(self, least: float, most: float) -> None:
        self.least, self.most = least, max(least, most)
        self.seen: OrderedDict[str, Seen] = OrderedDict()
        self.until: OrderedDict[tuple[str, int], float] = OrderedDict()  # when each name's answer runs out

    def ask(self, resolver: str, name: int, now_ms: float) -> None:
        """A question. `name` is a hash of what was asked for."""
        until = self.until.get((resolver, name))
        if until is not None:
            self._count(resolver, 1.0, max(0.0, min(now_ms - until, WATCH_MS)), now_ms)

    def answered(self, resolver: str, name: int, ttl_ms: float, now_ms: float) -> None:
        """Its answer, and for how long it may be held."""
        self.until.pop((resolver, name), None)
        self.until[resolver, name] = now_ms + ttl_ms
        while self.until:
            (of, first), until = next(iter(self.until.items()))
            if len(self.until) <= NAMES_MOST and now_ms - until < WATCH_MS:
                break
            del self.until[of, first]
            self._count(of, 0.0, max(0.0, min(now_ms - until, WATCH_MS)), now_ms)

    def weight(self, resolver: str, transfer_ms: float, now_ms: float) -> float:
        """Of one answer for a class whose transfers take so long."""
        seen = self.seen.get(resolver)
        if seen is None:
            return self.least
        seen.fade(now_ms)
        # What the settings say, as if it had been seen: so few questions decide little.
        prior_ms = PRIOR_ASKS * transfer_ms / self.least
        rate = (seen.asks + PRIOR_ASKS) / (seen.unheld_ms + prior_ms)
        return max(self.least, min(self.most, rate * transfer_ms))

    def _count(self, resolver: str, asks: float, unheld_ms: float, now_ms: float) -> None:
        seen = self.seen.get(resolver)
        if seen is None:
            seen = self.seen[resolver] = Seen(at_ms=now_ms)
            if len(self.seen) > RESOLVERS_MOST:
                self.seen.popitem(last=False)
        self.seen.move_to_end(resolver)
        seen.fade(now_ms)
        seen.asks += asks
        seen.unheld_ms += unheld_ms
