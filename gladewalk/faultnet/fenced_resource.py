"""Stand-in for a fenced resource: its fence, which records all operations, and the operations performed."""

from __future__ import annotations

import asyncio
import json
import random
import time
from dataclasses import dataclass
from typing import Any, cast

import msgspec

from ..leases.fence import Fence
from ..leases.holder_tasks import PURGE_TASK, REPORT_TASK
from ..leases.messages import FencedOperation, OperationResponse, decode, encode
from ..members.authenticator import AuthenticationKey, DropReason, MessageAuthenticator

CLOCK_WINDOW_MS = 30_000.0
NONCE_BITS = 64


@dataclass(slots=True, frozen=True)
class CompletedPurge:
    """A purge as it was performed first; repetitions don't change it."""

    target: str
    token: int
    holder: str


class FencedResource(asyncio.DatagramProtocol):
    """A hub cache that purges, or the collector of reports.

    The fence checks every operation first. An accepted purge is performed once for each id, however often it
    is received; the pages of a report are combined. While `is_unresponsive` is set, all datagrams are
    dropped, as by a hub that is down.
    """

    def __init__(self, keys: tuple[AuthenticationKey, ...]) -> None:
        self.fence = Fence()
        self.authenticator = MessageAuthenticator(keys, CLOCK_WINDOW_MS)
        self.random = random.SystemRandom()
        self.malformed_count = 0
        self.is_unresponsive = False
        self.purges: dict[str, CompletedPurge] = {}  # by id
        self.repeated_purge_count = 0
        self.reports: list[dict[str, Any]] = []  # the first page of each report, in order of receipt
        self.rows: dict[str, dict[str, Any]] = {}  # the latest row of each director, by its name
        self.transport: asyncio.DatagramTransport | None = None

    async def open(self) -> tuple[str, int]:
        """Listens on a free port of the loopback interface and returns its address."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        assert self.transport is not None
        return cast(tuple[str, int], self.transport.get_extra_info("sockname")[:2])

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport (asyncio's callback)."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, source: tuple[Any, ...]) -> None:
        """Handles one operation and responds to it, unless it is an accepted announcement of a token."""
        if self.is_unresponsive:
            return
        now_ms = time.time() * 1000.0
        operation = self._verify(data, now_ms)
        if operation is None:
            self.malformed_count += 1
            return
        is_accepted = self.fence.admit(
            operation.task, operation.token, operation.holder, operation.performed_at_ms, now_ms
        )
        if is_accepted and operation.operation_id:
            self._perform(operation)
        if operation.number or not is_accepted:
            highest_token = self.fence.highest_tokens.get(operation.task, 0)
            response = OperationResponse(
                operation.task, operation.token, operation.number, is_accepted, highest_token
            )
            sealed = self.authenticator.sign(encode(response), now_ms, self.random.getrandbits(NONCE_BITS))
            assert self.transport is not None
            self.transport.sendto(sealed, source)

    def close(self) -> None:
        """Closes the socket."""
        if self.transport is not None:
            self.transport.close()

    def _verify(self, data: bytes, now_ms: float) -> FencedOperation | None:
        verified = self.authenticator.verify(data, now_ms)
        if isinstance(verified, DropReason):
            return None
        try:
            message = decode(verified)
        except (msgspec.MsgspecError, ValueError):
            return None
        return message if isinstance(message, FencedOperation) else None

    def _perform(self, operation: FencedOperation) -> None:
        if operation.task == PURGE_TASK:
            completed = CompletedPurge(operation.body.decode(), operation.token, operation.holder)
            self.repeated_purge_count += operation.operation_id in self.purges
            self.purges.setdefault(operation.operation_id, completed)
        elif operation.task == REPORT_TASK:
            body = json.loads(operation.body)
            self.rows.update({row["name"]: row for row in body["rows"]})
            if body["part"] == 0:
                self.reports.append({**body, "token": operation.token, "actor": operation.holder})
