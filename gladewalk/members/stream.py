"""Full exchanges and knocks over TCP: sealed messages behind their length, each on a connection of its own.

    length (4)  sealed message        as in `authenticator`, up to `MAX_STREAM_MESSAGE_BYTES`

Nothing is decided here. Whoever is of another network, says what is no message of ours or is too slow is
counted and cut off without an answer.
"""

from __future__ import annotations

import asyncio
import struct
from typing import TYPE_CHECKING

from . import sync
from .actions import Address, ProbeOutcome, StartConfirmationProbe, StartSync
from .authenticator import DropReason
from .errors import MalformedMessageError
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

if TYPE_CHECKING:
    from .transport import Members

LENGTH = struct.Struct(">I")
BACKLOG = 1_024  # knocks at a process that is paused wait with the system, as many as all members make
EXCHANGE_S = 2.0  # for all of one exchange
ASKED_MOST = 16  # exchanges that others have open with us at a time: bounds memory and descriptors
KNOCKS_MOST = 64  # connections in all: beyond the exchanges, only knocks are answered


class Dropped(Exception):
    """The other side is not heard any further; the text names the counter."""


class Streams:
    """One member's listener for exchanges, and the exchanges that it begins."""

    def __init__(self, members: Members) -> None:
        self.members = members
        self.server: asyncio.Server | None = None
        self.asked: set[asyncio.StreamWriter] = set()
        self.begun: dict[Address, asyncio.Task[None]] = {}
        self.knocks: set[asyncio.Task[None]] = set()

    async def listen(self, host: str, port: int) -> int:
        """The port, which the system chooses for 0."""
        self.server = await asyncio.start_server(
            self._serve, host, port, limit=MAX_STREAM_MESSAGE_BYTES, backlog=BACKLOG
        )
        return int(self.server.sockets[0].getsockname()[1])

    def begin(self, wanted: StartSync) -> None:
        """One at a time with each member."""
        if wanted.to not in self.begun:
            task = asyncio.get_running_loop().create_task(self._ask(wanted.to))
            self.begun[wanted.to] = task
            task.add_done_callback(lambda _: self.begun.pop(wanted.to, None))

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for task in (*self.begun.values(), *self.knocks):
            task.cancel()
        for writer in self.asked:
            writer.close()

    def knock(self, wanted: StartConfirmationProbe) -> None:
        task = asyncio.get_running_loop().create_task(self._knock(wanted))
        self.knocks.add(task)
        task.add_done_callback(self.knocks.discard)

    async def _knock(self, wanted: StartConfirmationProbe) -> None:
        """Who answers at a suspect's port: its process, its system alone, or nobody (`suspicion`)."""
        members, writer, outcome = self.members, None, ProbeOutcome.UNREACHABLE
        try:
            async with asyncio.timeout(wanted.timeout_ms / 1_000.0):
                reader, writer = await self._connect(wanted.to)
                outcome = ProbeOutcome.SILENT
                self._write(writer, wanted.message)
                if isinstance(here := await self._read(reader), ConfirmationAck):
                    members.carry_out(members.core.take_in(here, members.clock()))
                    outcome = ProbeOutcome.RESPONDED
        except TimeoutError:
            pass  # as far as it came
        except (ConnectionRefusedError, ConnectionResetError, BrokenPipeError, asyncio.IncompleteReadError):
            outcome = ProbeOutcome.REFUSED
        except (OSError, Dropped):  # no way there, or somebody else is at that port
            outcome = ProbeOutcome.UNREACHABLE
        finally:
            if writer is not None:
                writer.close()
        members.counters.add(outcome.counter)
        members.carry_out(members.core.knocked(wanted.name, wanted.run_id, outcome, members.clock()))

    async def _connect(self, to: Address) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(*self.members.dial.get(to, to), limit=MAX_STREAM_MESSAGE_BYTES)

    async def _ask(self, to: Address) -> None:
        members, writer = self.members, None
        try:
            async with asyncio.timeout(EXCHANGE_S):
                reader, writer = await self._connect(to)
                self._write(writer, sync.ask(members.core))
                told = await self._read(reader)
                mine, out = sync.take(members.core, told, members.clock())
                if mine is not None:
                    self._write(writer, mine)
                    await writer.drain()
            members.counters.add("members.exchanges" if mine is not None else "members.exchanges_same")
            members.carry_out(out)
        except Dropped as why:
            members.counters.add(f"members.dropped.{why}")
        except (OSError, asyncio.IncompleteReadError):  # a time-out is an OSError
            members.counters.add("members.exchanges_failed")
            members.carry_out(members.core.exchange_failed(to))
        finally:
            if writer is not None:
                writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        members = self.members
        try:
            if not members.allowed(writer.get_extra_info("peername")[0]):
                raise Dropped("network")
            if len(self.asked) >= KNOCKS_MOST:
                raise Dropped("crowded")
            self.asked.add(writer)
            async with asyncio.timeout(EXCHANGE_S):
                asked = await self._read(reader)
                if not members.core.active:
                    return
                if isinstance(asked, ConfirmationProbe):
                    here, out = members.core.answer_knock(asked, members.clock())
                    self._write(writer, here)
                    return members.carry_out(out)
                if not isinstance(asked, Digest):
                    raise Dropped("malformed")
                if len(self.asked) > ASKED_MOST:
                    raise Dropped("crowded")
                mine = sync.answer(members.core, asked)
                self._write(writer, mine)
                if not mine.is_identical:
                    told = await self._read(reader)
                    if isinstance(told, FullState):
                        members.carry_out(members.core.take_in(told, members.clock()))
            members.counters.add("members.exchanges_asked")
        except Dropped as why:
            members.counters.add(f"members.dropped.{why}")
        except (OSError, asyncio.IncompleteReadError):
            members.counters.add("members.exchanges_broken")
        finally:
            self.asked.discard(writer)
            writer.close()

    def _write(self, writer: asyncio.StreamWriter, message: StreamMessage) -> None:
        sealed = self.members.sealed(encode(message), MAX_STREAM_MESSAGE_BYTES)
        writer.write(LENGTH.pack(len(sealed)) + sealed)

    async def _read(self, reader: asyncio.StreamReader) -> StreamMessage:
        """One message; `Dropped` for what is none of a member's."""
        (length,) = LENGTH.unpack(await reader.readexactly(LENGTH.size))
        if length > MAX_STREAM_MESSAGE_BYTES:
            raise Dropped(DropReason.OVERSIZED.value)
        members = self.members
        opened = members.seal.verify(
            await reader.readexactly(length), members.clock(), MAX_STREAM_MESSAGE_BYTES
        )
        if isinstance(opened, DropReason):
            raise Dropped(opened.value)
        try:
            return decode_streamed(opened)
        except MalformedMessageError as error:
            raise Dropped(DropReason.MALFORMED.value) from error
