"""Leases on UDP: datagrams, timers and acts around `Elector` and `Candidate`, and nothing decided.

Messages are sealed with the members' key ring. The lease clock is monotonic (`time.monotonic`), times a rate
that rehearsals set to play a clock that runs fast or slow; the loop's deadlines are in Unix ms, so each wait
is turned from the one into the other. A held duty's act is a datagram to its sink, carrying the token read
just before it was sent.
"""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Callable
from typing import Any, cast

import msgspec
import structlog

from ..counters import Counters
from ..deadlines import Deadlines, Key
from ..members.messages import DATAGRAM_MOST
from ..members.seal import Refused, Seal
from .candidate import Candidate
from .elector import Elector
from .keep import Keep
from .messages import Ask, Grant, Refuse, decode, encode
from .outs import Event, Out, Save, Send

Address = tuple[str, int]
log = structlog.get_logger("gladewalk.leases")


class LeaseClock:
    """Monotonic ms at `rate` to true time."""

    def __init__(self, rate: float = 1.0) -> None:
        self.rate, self.start = rate, time.monotonic()

    def __call__(self) -> float:
        return (time.monotonic() - self.start) * 1000.0 * self.rate


class Leases(asyncio.DatagramProtocol):
    """One director's elector and candidate on one socket; `sinks` are where each duty's acts go."""

    def __init__(
        self, elector: Elector, candidate: Candidate, peers: dict[str, Address], sinks: dict[str, Address],
        seal: Seal, keep: Keep | None, clock: LeaseClock, wall: Callable[[], float], deadlines: Deadlines,
        counters: Counters, act_ms: float,
    ) -> None:  # fmt: skip
        self.elector, self.candidate, self.peers, self.sinks = elector, candidate, peers, sinks
        self.seal, self.keep, self.clock, self.wall = seal, keep, clock, wall
        self.deadlines, self.counters, self.act_ms = deadlines, counters, act_ms
        self.transport: asyncio.DatagramTransport | None = None
        self.timer: Key | None = None
        self.random = random.SystemRandom()
        self.next_act_ms = 0.0

    async def listen(self, address: Address) -> None:
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, local_addr=address)
        self._tick()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, source: tuple[Any, ...]) -> None:
        """Whatever is not a sealed lease message is counted and dropped."""
        opened = self.seal.open(data, self.wall())
        if isinstance(opened, Refused):
            return self.counters.add(f"leases.dropped.{opened.value}")
        try:
            message = decode(opened)
        except (msgspec.DecodeError, msgspec.ValidationError):
            return self.counters.add("leases.dropped.malformed")
        now = self.clock()
        if isinstance(message, Ask):
            out = self.elector.ask(message, now)
        elif isinstance(message, Grant):
            out = self.candidate.grant(message, now)
        elif isinstance(message, Refuse):
            out = self.candidate.refuse(message, now)
        else:
            out = self.elector.release(message, now) + self.candidate.released(message, now)
        self.carry_out(out)

    def carry_out(self, out: list[Out]) -> None:
        for action in out:
            if isinstance(action, Save):
                if self.keep is not None:
                    self.keep.save(action.duty, action.term, action.holder)
            elif isinstance(action, Send):
                self._send(action.to, encode(action.message))
            elif isinstance(action, Event):
                self.counters.add(f"leases.{action.kind}")
                if action.kind != "refused":  # candidates ask every quarter lease: counted, not written
                    log.info(f"lease_{action.kind}", duty=action.duty, term=action.term, who=action.who)
        self._arm()

    def _send(self, to: str, data: bytes) -> None:
        address = self.peers.get(to)
        if address is None or self.transport is None or self.transport.is_closing():
            return
        sealed = self.seal.seal(data, self.wall(), self.random.getrandbits(64), DATAGRAM_MOST)
        self.transport.sendto(sealed, address)

    def _arm(self) -> None:
        self.deadlines.drop(self.timer)
        now = self.clock()
        due = min(self.candidate.next_due_ms(), self.next_act_ms)
        wait_ms = max(due - now, 0.0) / self.clock.rate
        self.timer = self.deadlines.add(self.wall() + wait_ms, self._tick)

    def _tick(self) -> None:
        self.timer = None
        now = self.clock()
        out = self.candidate.tick(now)
        if now >= self.next_act_ms:
            self.next_act_ms = now + self.act_ms
            self._act(now)
        self.carry_out(out)

    def _act(self, now: float) -> None:
        for duty, sink in self.sinks.items():
            token = self.candidate.token(duty, now)
            if token is None or self.transport is None:
                continue
            act = {"duty": duty, "token": token, "actor": self.candidate.name, "done_ms": self.wall()}
            self.transport.sendto(json.dumps(act).encode(), sink)
            self.counters.add("leases.acts")

    def hand_on(self, duty: str, to: str = "") -> bool:
        """Step down from `duty` now (for `to`, if named); False if it is not held here."""
        out = self.candidate.step_down(duty, self.clock(), to) if duty in self.candidate.duties else []
        self.carry_out(out)
        return bool(out)

    def stop(self) -> None:
        """A clean stop: every held duty handed on at once."""
        for duty in list(self.candidate.duties):
            self.hand_on(duty)
        self.deadlines.drop(self.timer)
        if self.transport is not None:
            self.transport.close()
        if self.keep is not None:
            self.keep.close()

    def view(self) -> dict[str, object]:
        now = self.clock()
        return {
            "name": self.candidate.name,
            "holding": self.candidate.view(now),
            "granting": self.elector.view(now),
        }
