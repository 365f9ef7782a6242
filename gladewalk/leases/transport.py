"""Leases on UDP: datagrams, timers and saves around `Elector`, `Candidate` and `Works`, nothing decided.

Messages are sealed with the leases' key ring, those to sinks too. The lease clock is monotonic
(`time.monotonic`), times a rate that rehearsals set to play a clock that runs fast or slow; the loop's
deadlines are in Unix ms, so each wait is turned from the one into the other. What follows a save is carried
out once the embedded store says that it lasts; where the disk refuses, it never is.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any, Protocol, cast

import msgspec
import structlog

from ..core.counters import Counters
from ..core.deadlines import DeadlineKey, Deadlines
from ..members.authenticator import DropReason, MessageAuthenticator
from ..members.messages import MAX_DATAGRAM_BYTES
from .candidate import Candidate
from .elector import Elector
from .messages import Vote, decode, encode
from .outs import GRANTS, Event, Out, Save, Send
from .route import hear
from .works import Works

Address = tuple[str, int]
REFUSED_AGAIN_MS = 10_000.0  # candidates ask every quarter lease: one refused all along is a line so often
log = structlog.get_logger("gladewalk.leases")


class LeaseClock:
    """Monotonic ms at `rate` to true time."""

    def __init__(self, rate: float = 1.0) -> None:
        self.rate, self.start = rate, time.monotonic()

    def __call__(self) -> float:
        return (time.monotonic() - self.start) * 1000.0 * self.rate


class Rows(Protocol):
    """Where saves last: the embedded store's writer. A future tells whether a row does."""

    def put(self, space: str, key: str, value: bytes) -> asyncio.Future[bool]: ...
    def delete(self, space: str, key: str) -> asyncio.Future[bool]: ...


class Leases(asyncio.DatagramProtocol):
    """One director's part on one socket; `where` has the address of every director and sink by name."""

    def __init__(
        self, elector: Elector, candidate: Candidate, works: Works, where: dict[str, Address],
        seal: MessageAuthenticator, rows: Rows, clock: LeaseClock, wall: Callable[[], float],
        deadlines: Deadlines, counters: Counters,
    ) -> None:  # fmt: skip
        self.elector, self.candidate, self.works, self.where = elector, candidate, works, where
        self.seal, self.rows, self.clock, self.wall = seal, rows, clock, wall
        self.deadlines, self.counters = deadlines, counters
        self.transport: asyncio.DatagramTransport | None = None
        self.timer: DeadlineKey | None = None
        self.random = random.SystemRandom()
        self.refused_at: dict[tuple[str, str], float] = {}  # (duty, candidate) -> when it was last a line

    async def listen(self, address: Address) -> None:
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, local_addr=address)
        self._tick()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, source: tuple[Any, ...]) -> None:
        """Whatever is not a sealed lease message is counted and dropped."""
        opened = self.seal.verify(data, self.wall())
        if isinstance(opened, DropReason):
            return self.counters.add(f"leases.dropped.{opened.value}")
        try:
            message = decode(opened)
        except (msgspec.MsgspecError, ValueError):
            return self.counters.add("leases.dropped.malformed")
        now = self.clock()
        if isinstance(message, Vote):
            self.carry_out(hear(self.elector, self.candidate, message, now))
        else:
            self.carry_out(self.works.receive(message, now))

    def error_received(self, error: Exception) -> None:
        self.counters.add("leases.unreachable")  # as ICMP tells; a round or an act is tried again anyway

    def carry_out(self, out: list[Out] | tuple[Out, ...]) -> None:
        for action in out:
            if isinstance(action, Save):
                self._save(action)
            elif isinstance(action, Send):
                self._send(action.to, encode(action.message))
            else:
                self._note(action)
        self._arm()

    def _save(self, save: Save) -> None:
        put = self.rows.delete(save.space, save.key) if save.value is None else \
            self.rows.put(save.space, save.key, save.value)  # fmt: skip

        def told(future: asyncio.Future[bool]) -> None:
            if future.cancelled() or not future.result():
                return self.counters.add("leases.save_refused")
            if save.value is not None and save.space == GRANTS:
                self.elector.saved(save.key, save.value)
            elif save.value is not None and self.works.orders is not None:
                self.works.orders.saved(save.key)
            self.carry_out(save.then)

        put.add_done_callback(told)

    def _note(self, event: Event) -> None:
        self.counters.add(f"leases.{event.kind}")
        if event.kind == "refused":
            now, slot = self.clock(), (event.duty, event.who)
            if now < self.refused_at.get(slot, float("-inf")) + REFUSED_AGAIN_MS:
                return
            self.refused_at[slot] = now
        log.info(f"lease_{event.kind}", duty=event.duty, term=event.term, who=event.who)

    def _send(self, to: str, data: bytes) -> None:
        address = self.where.get(to)
        if address is None or self.transport is None or self.transport.is_closing():
            return
        sealed = self.seal.sign(data, self.wall(), self.random.getrandbits(64), MAX_DATAGRAM_BYTES)
        self.transport.sendto(sealed, address)

    def _arm(self) -> None:
        self.deadlines.drop(self.timer)
        self.timer = None
        if self.transport is None or self.transport.is_closing():
            return
        now = self.clock()
        due = min(self.candidate.next_due_ms(), self.works.next_due_ms(now))
        wait_ms = max(due - now, 0.0) / self.clock.rate
        self.timer = self.deadlines.add(self.wall() + wait_ms, self._tick)

    def _tick(self) -> None:
        self.timer = None
        now = self.clock()
        # The works read each token after the candidate has seen what time it is.
        self.carry_out(self.candidate.tick(now) + self.works.tick(now, self.wall()))

    def hand_on(self, duty: str, to: str = "") -> int:
        """Step down from `duty` now (for `to`, if named): the term that was held, 0 if none is held here."""
        if duty not in self.candidate.duties:
            return 0
        term = self.candidate.duties[duty].term
        out = self.candidate.step_down(duty, self.clock(), to)
        self.carry_out(out)
        return term if out else 0

    def order(self, what: str) -> str:
        """An operator's purge, told to all: its id. `ValueError` says why it can't be taken."""
        id, out = self.works.order(what, self.clock(), self.wall())
        self.carry_out(out)
        return id

    def stop(self) -> None:
        """A clean stop: every held duty handed on at once."""
        for duty in list(self.candidate.duties):
            self.hand_on(duty)
        if self.transport is not None:
            self.transport.close()
        self.deadlines.drop(self.timer)
        self.timer = None

    def view(self) -> dict[str, object]:
        now = self.clock()
        return {
            "name": self.candidate.name,
            "holding": self.candidate.view(now),
            "granting": self.elector.view(now),
            "works": self.works.view(),
        }
