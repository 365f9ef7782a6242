"""State synchronization and confirmation probes over TCP.

    length (4, big endian)  authenticated message        as in `authenticator`, up to MAX_STREAM_MESSAGE_BYTES

Each synchronization and each probe uses a connection of its own. A peer that is outside the allowed networks,
sends a malformed message or is too slow is counted and disconnected without a response.
"""

from __future__ import annotations

import asyncio
import contextlib
import struct
from collections.abc import AsyncIterator, Callable
from typing import Protocol

from ..core.counters import Counters
from .actions import Action, Address, ProbeOutcome, StartConfirmationProbe
from .authenticator import DropReason
from .errors import MalformedMessageError, PeerDroppedError
from .messages import (
    MAX_STREAM_MESSAGE_BYTES,
    ConfirmationAck,
    ConfirmationProbe,
    Digest,
    FullState,
    StreamMessage,
    decode_streamed,
    encode,
)
from .swim import Membership

LENGTH_PREFIX = struct.Struct(">I")
LISTEN_BACKLOG = 1_024  # room for the probes of all other members while the process is paused
STREAM_TIMEOUT_SECONDS = 2.0  # for a whole synchronization, and for responding to a probe
MAX_SYNCS_SERVED = 16  # at the same time: limits memory and file descriptors
MAX_CONNECTIONS_SERVED = 64  # at the same time: above `MAX_SYNCS_SERVED`, only probes get a response


class StreamOwner(Protocol):
    """The methods and attributes that `StreamTransport` uses of the transport that owns it."""

    core: Membership
    clock: Callable[[], float]
    counters: Counters

    def is_allowed(self, host: str) -> bool:
        """Whether data from this host is accepted."""

    def reachable_address(self, address: Address) -> Address:
        """Address to connect to for a member that announces this address."""

    def sign(self, message: bytes, max_bytes: int) -> bytes:
        """Authenticates a message and counts it as sent."""

    def verify(self, data: bytes, max_bytes: int) -> bytes | DropReason:
        """Returns the message, or the reason to drop it."""

    def carry_out(self, actions: list[Action]) -> None:
        """Carries out the actions that the protocol returned."""


class StreamTransport:
    """Serves the streams of other members, and opens those of the local member."""

    def __init__(self, owner: StreamOwner) -> None:
        self._owner = owner
        self._server: asyncio.Server | None = None
        self._served: set[asyncio.StreamWriter] = set()
        self._syncs: dict[Address, asyncio.Task[None]] = {}
        self._probes: set[asyncio.Task[None]] = set()

    @property
    def is_syncing(self) -> bool:
        """Whether a synchronization that the local member started is in progress."""
        return bool(self._syncs)

    async def listen(self, host: str, port: int) -> int:
        """Starts to listen; returns the port, which the operating system chooses if `port` is 0."""
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=MAX_STREAM_MESSAGE_BYTES, backlog=LISTEN_BACKLOG
        )
        return int(self._server.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Stops listening, cancels all synchronizations and probes, and closes all connections."""
        if self._server is not None:
            self._server.close()
        for task in (*self._syncs.values(), *self._probes):
            task.cancel()
        for writer in self._served:
            writer.close()

    def start_sync(self, peer: Address) -> None:
        """Starts a synchronization, unless one with this peer is in progress."""
        if peer not in self._syncs:
            task = asyncio.get_running_loop().create_task(self._sync(peer))
            self._syncs[peer] = task
            task.add_done_callback(lambda _: self._syncs.pop(peer, None))

    def start_probe(self, probe: StartConfirmationProbe) -> None:
        """Sends a confirmation probe and reports its outcome to the protocol."""
        task = asyncio.get_running_loop().create_task(self._report_probe(probe))
        self._probes.add(task)
        task.add_done_callback(self._probes.discard)

    async def _report_probe(self, probe: StartConfirmationProbe) -> None:
        owner = self._owner
        outcome = await self._probe(probe)
        owner.counters.add(outcome.counter)
        owner.carry_out(owner.core.on_probe_outcome(probe.name, probe.run_id, outcome, owner.clock()))

    async def _probe(self, probe: StartConfirmationProbe) -> ProbeOutcome:
        """Finds out whether a suspect's process responds, or only its host, or neither."""
        owner, outcome = self._owner, ProbeOutcome.UNREACHABLE
        try:
            async with (
                asyncio.timeout(probe.timeout_ms / 1_000.0),
                self._connected(probe.to) as (
                    reader,
                    writer,
                ),
            ):
                outcome = ProbeOutcome.UNRESPONSIVE
                self._write(writer, probe.message)
                probe_response = await self._read(reader)
                if isinstance(probe_response, ConfirmationAck):
                    owner.carry_out(owner.core.receive_streamed(probe_response, owner.clock()))
                    outcome = ProbeOutcome.RESPONDED
        except TimeoutError:
            pass  # unresponsive if the connection was established, otherwise unreachable
        except (ConnectionRefusedError, ConnectionResetError, BrokenPipeError, asyncio.IncompleteReadError):
            outcome = ProbeOutcome.REFUSED
        except (OSError, PeerDroppedError):  # no route, or another program listens at the port
            outcome = ProbeOutcome.UNREACHABLE
        return outcome

    async def _sync(self, peer: Address) -> None:
        owner = self._owner
        try:
            async with asyncio.timeout(STREAM_TIMEOUT_SECONDS), self._connected(peer) as (reader, writer):
                self._write(writer, owner.core.sync_request())
                response = await self._read(reader)
                reply, actions = owner.core.on_sync_response(response, owner.clock())
                if reply is not None:
                    self._write(writer, reply)
                    await writer.drain()
            owner.counters.add("members.exchanges_same" if reply is None else "members.exchanges")
            owner.carry_out(actions)
        except PeerDroppedError as error:
            owner.counters.add(error.counter)
        except (OSError, asyncio.IncompleteReadError):  # TimeoutError is an OSError
            owner.counters.add("members.exchanges_failed")
            owner.carry_out(owner.core.on_sync_failed(peer))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        counters = self._owner.counters
        try:
            self._admit(writer)
            async with asyncio.timeout(STREAM_TIMEOUT_SECONDS):
                request = await self._read(reader)
                if not self._owner.core.is_active:
                    return
                if isinstance(request, ConfirmationProbe):
                    self._respond_to_probe(request, writer)
                    return
                await self._respond_to_sync(request, reader, writer)
            counters.add("members.exchanges_asked")
        except PeerDroppedError as error:
            counters.add(error.counter)
        except (OSError, asyncio.IncompleteReadError):
            counters.add("members.exchanges_broken")
        finally:
            self._served.discard(writer)
            writer.close()

    def _admit(self, writer: asyncio.StreamWriter) -> None:
        if not self._owner.is_allowed(writer.get_extra_info("peername")[0]):
            raise PeerDroppedError("network")
        if len(self._served) >= MAX_CONNECTIONS_SERVED:
            raise PeerDroppedError("crowded")
        self._served.add(writer)

    def _respond_to_probe(self, probe: ConfirmationProbe, writer: asyncio.StreamWriter) -> None:
        ack, actions = self._owner.core.on_confirmation_probe(probe, self._owner.clock())
        self._write(writer, ack)
        self._owner.carry_out(actions)

    async def _respond_to_sync(
        self, request: StreamMessage, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        owner = self._owner
        if not isinstance(request, Digest):
            raise PeerDroppedError("malformed")
        if len(self._served) > MAX_SYNCS_SERVED:
            raise PeerDroppedError("crowded")
        response = owner.core.sync_response(request)
        self._write(writer, response)
        if response.is_identical:
            return
        reply = await self._read(reader)
        if isinstance(reply, FullState):
            owner.carry_out(owner.core.receive_streamed(reply, owner.clock()))

    @contextlib.asynccontextmanager
    async def _connected(
        self, peer: Address
    ) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
        host, port = self._owner.reachable_address(peer)
        reader, writer = await asyncio.open_connection(host, port, limit=MAX_STREAM_MESSAGE_BYTES)
        try:
            yield reader, writer
        finally:
            writer.close()

    def _write(self, writer: asyncio.StreamWriter, message: StreamMessage) -> None:
        signed = self._owner.sign(encode(message), MAX_STREAM_MESSAGE_BYTES)
        writer.write(LENGTH_PREFIX.pack(len(signed)) + signed)

    async def _read(self, reader: asyncio.StreamReader) -> StreamMessage:
        """Reads one message; raises `PeerDroppedError` if it is not accepted."""
        (length,) = LENGTH_PREFIX.unpack(await reader.readexactly(LENGTH_PREFIX.size))
        if length > MAX_STREAM_MESSAGE_BYTES:
            raise PeerDroppedError(DropReason.OVERSIZED.value)
        verified = self._owner.verify(await reader.readexactly(length), MAX_STREAM_MESSAGE_BYTES)
        if isinstance(verified, DropReason):
            raise PeerDroppedError(verified.value)
        try:
            return decode_streamed(verified)
        except MalformedMessageError as error:
            raise PeerDroppedError(DropReason.MALFORMED.value) from error
