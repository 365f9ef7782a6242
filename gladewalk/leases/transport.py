"""Connects the lease state machines to a UDP socket, timers and the embedded store; makes no decisions.

All messages, including those to fenced resources, are signed with the leases' key ring. The lease clock is
`time.monotonic` times a rate, by which rehearsals simulate a clock that runs fast or slow; the event loop's
deadlines are in Unix ms, so each wait is converted. The outputs that follow a save are carried out once the
store reports the row as durable, and never if the disk rejects the row.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Sequence
from typing import Any, Protocol, cast

import msgspec
import structlog

from ..core.clocks import InstantConverter, SteadyClock
from ..core.counters import Counters
from ..core.deadlines import DeadlineKey, Deadlines
from ..members.authenticator import DropReason, MessageAuthenticator
from ..members.messages import MAX_DATAGRAM_BYTES
from .candidate import LeaseCandidate
from .dispatch import dispatch_election_message
from .holder_tasks import LeaseHolderTasks
from .messages import ElectionMessage, decode, encode
from .outputs import GRANT_SPACE, EventKind, LeaseEvent, Output, Save, Send
from .status import ServiceStatus
from .voter import Voter

Address = tuple[str, int]
REFUSAL_LOG_INTERVAL_MS = 10_000.0  # a candidate that is always denied sends one every quarter of a lease
NONCE_BITS = 64
log = structlog.get_logger("gladewalk.leases")


class LeaseClock:
    """Monotonic clock in ms that runs at `rate` relative to true time."""

    def __init__(self, rate: float = 1.0) -> None:
        self.rate, self._started_at_seconds = rate, time.monotonic()

    def __call__(self) -> float:
        """Returns the time in ms since this clock was made."""
        return (time.monotonic() - self._started_at_seconds) * 1000.0 * self.rate


class RowWriter(Protocol):
    """The part of the embedded store that leases need; each future has whether the row is durable."""

    def put(self, space: str, key: str, value: bytes) -> asyncio.Future[bool]:
        """Writes a row."""

    def delete(self, space: str, key: str) -> asyncio.Future[bool]:
        """Deletes a row."""


class LeaseService(asyncio.DatagramProtocol):
    """One director's part in all leases; `addresses` has every director and fenced resource by name."""

    def __init__(
        self,
        voter: Voter,
        candidate: LeaseCandidate,
        holder_tasks: LeaseHolderTasks,
        addresses: dict[str, Address],
        authenticator: MessageAuthenticator,
        rows: RowWriter,
        clock: LeaseClock,
        steady_clock: SteadyClock,
        instants: InstantConverter,
        deadlines: Deadlines,
        counters: Counters,
    ) -> None:
        self.voter, self.candidate, self.holder_tasks = voter, candidate, holder_tasks
        self.addresses, self.authenticator, self.rows = addresses, authenticator, rows
        self.clock, self.steady_clock, self.instants = clock, steady_clock, instants
        self.deadlines, self.counters = deadlines, counters
        self.transport: asyncio.DatagramTransport | None = None
        self.random = random.SystemRandom()
        self._timer: DeadlineKey | None = None
        self._refusals_logged_at_ms: dict[tuple[str, str], float] = {}  # by task and candidate

    async def listen(self, address: Address) -> None:
        """Opens the socket and begins to take part; raises `OSError` if the address cannot be bound."""
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, local_addr=address)
        self._tick()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport (asyncio's callback)."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, source: tuple[Any, ...]) -> None:
        """Handles one datagram; counts and drops any that is not an authentic lease message."""
        verified = self.authenticator.verify(data, self.steady_clock())
        if isinstance(verified, DropReason):
            return self.counters.add(f"leases.dropped.{verified.value}")
        try:
            message = decode(verified)
        except (msgspec.MsgspecError, ValueError):
            return self.counters.add("leases.dropped.malformed")
        now_ms = self.clock()
        if isinstance(message, ElectionMessage):
            self._carry_out(dispatch_election_message(self.voter, self.candidate, message, now_ms))
        else:
            self._carry_out(self.holder_tasks.handle(message, now_ms))

    def error_received(self, error: Exception) -> None:
        """Counts an address that ICMP reports as unreachable; lost messages are sent again anyway."""
        self.counters.add("leases.unreachable")

    def hand_on(self, task: str, successor: str = "") -> int:
        """Releases the lease of `task`, for `successor` if named; returns its term, 0 if it was not held."""
        if task not in self.candidate.leases:
            return 0
        term = self.candidate.leases[task].term
        outputs = self.candidate.step_down(task, self.clock(), successor)
        self._carry_out(outputs)
        return term if outputs else 0

    def request_purge(self, target: str) -> str:
        """Accepts an operator's purge and returns its id; raises `PurgeRejectedError` with the reason."""
        wall_ms = self.instants.current_instant().unix_ms
        request_id, outputs = self.holder_tasks.request_purge(target, self.clock(), wall_ms)
        self._carry_out(outputs)
        return request_id

    def stop(self) -> None:
        """Releases every held lease and closes the socket."""
        for task in list(self.candidate.leases):
            self.hand_on(task)
        if self.transport is not None:
            self.transport.close()
        self._cancel_timer()

    def status(self) -> ServiceStatus:
        """Describes all leases, for `gladewalk leases`."""
        now_ms = self.clock()
        return ServiceStatus(
            director=self.candidate.name,
            leases=self.candidate.status(now_ms),
            promises=self.voter.status(now_ms),
            tasks=self.holder_tasks.status(),
        )

    def _carry_out(self, outputs: Sequence[Output]) -> None:
        for output in outputs:
            match output:
                case Save():
                    self._save(output)
                case Send():
                    self._send(output.recipient, encode(output.message))
                case LeaseEvent():
                    self._record_event(output)
        self._schedule_tick()

    def _save(self, save: Save) -> None:
        if save.value is None:
            written = self.rows.delete(save.space, save.key)
        else:
            written = self.rows.put(save.space, save.key, save.value)

        def on_written(future: asyncio.Future[bool]) -> None:
            if future.cancelled() or not future.result():
                self.counters.add("leases.save_refused")
                return
            self._mark_durable(save)
            self._carry_out(save.on_durable)

        written.add_done_callback(on_written)

    def _mark_durable(self, save: Save) -> None:
        if save.value is None:
            return
        if save.space == GRANT_SPACE:
            self.voter.mark_durable(save.key, save.value)
        elif self.holder_tasks.purges is not None:
            self.holder_tasks.purges.mark_durable(save.key)

    def _record_event(self, event: LeaseEvent) -> None:
        self.counters.add(event.kind.counter)
        if event.kind is EventKind.REFUSED:
            now_ms, refusal = self.clock(), (event.subject, event.director)
            logged_at_ms = self._refusals_logged_at_ms.get(refusal, float("-inf"))
            if now_ms < logged_at_ms + REFUSAL_LOG_INTERVAL_MS:
                return
            self._refusals_logged_at_ms[refusal] = now_ms
        log.info(event.kind.value, duty=event.subject, term=event.term, who=event.director)

    def _send(self, recipient: str, payload: bytes) -> None:
        address = self.addresses.get(recipient)
        if address is None or self.transport is None or self.transport.is_closing():
            return
        nonce = self.random.getrandbits(NONCE_BITS)
        datagram = self.authenticator.sign(payload, self.steady_clock(), nonce, MAX_DATAGRAM_BYTES)
        self.transport.sendto(datagram, address)

    def _schedule_tick(self) -> None:
        self._cancel_timer()
        if self.transport is None or self.transport.is_closing():
            return
        now_ms = self.clock()
        due_ms = min(self.candidate.next_due_ms(), self.holder_tasks.next_due_ms(now_ms))
        wait_ms = max(due_ms - now_ms, 0.0) / self.clock.rate
        self._timer = self.deadlines.add(self.steady_clock() + wait_ms, self._tick)

    def _cancel_timer(self) -> None:
        self.deadlines.drop(self._timer)
        self._timer = None

    def _tick(self) -> None:
        self._timer = None
        now_ms = self.clock()
        # The candidate's tick expires leases before the holder's tasks read their tokens.
        outputs = self.candidate.tick(now_ms)
        outputs += self.holder_tasks.tick(now_ms, self.instants.current_instant().unix_ms)
        self._carry_out(outputs)
