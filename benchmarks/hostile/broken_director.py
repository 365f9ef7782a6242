"""Changes that each take one limit out of a director, by name; the hostile forms must fail each of them.

python -m benchmarks.hostile.broken_director NAME
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable
from typing import Any

from gladewalk import daemon
from gladewalk import interface as api
from gladewalk.core.exchange import Attempt, Exchange
from gladewalk.net import clients, request_reader
from gladewalk.net.address_holders import AddressHolders
from gladewalk.net.bounded_reads import BoundedReads, ReadTurns
from gladewalk.net.connection import ClientConnection
from gladewalk.net.input_limit import InputLimit
from gladewalk.net.request_reader import RequestReader
from gladewalk.registry.execution_log import ExecutionLog
from gladewalk.upstream import http1

UNLIMITED = 1 << 40
KEPT: list[bytes] = []


def keep_pieces_of_bodies() -> None:
    """Each piece of a body is kept as an object of its own."""
    add = RequestReader.on_body

    def add_and_keep(self: RequestReader, body: bytes) -> None:
        KEPT.append(b"%b." % body)
        add(self, body)

    _patch(RequestReader, "on_body", add_and_keep)
    _patch(InputLimit, "charge", lambda self, change: None)


def forget_input() -> None:
    """Input of clients is not limited over all connections, nor are heads; all fields are kept."""
    _patch(request_reader, "MAX_FIELDS", UNLIMITED)
    _patch(request_reader, "MAX_HEADER_BYTES", UNLIMITED)
    _patch(ClientConnection, "keeps_all_fields", True)
    _patch(InputLimit, "charge", lambda self, change: None)


def keep_pieces_of_responses() -> None:
    """Each piece of a response is kept as an object of its own."""
    add = Exchange.response_body

    def add_and_keep(self: Exchange, attempt: Attempt, data: bytes) -> None:
        KEPT.append(b"%b." % data)
        add(self, attempt, data)

    _patch(Exchange, "response_body", add_and_keep)


def keep_fields_of_responses() -> None:
    """Fields of a response are not limited in number."""
    _patch(http1, "MAX_FIELDS", UNLIMITED)
    _patch(http1, "MAX_HEAD_BYTES", UNLIMITED)


def read_without_turns() -> None:
    """A connection reads for as long as its peer sends."""
    _patch(ReadTurns, "is_exhausted", property(lambda self: False))
    _patch(request_reader, "MAX_BLANK_BYTES", UNLIMITED)


def handle_whole_reads() -> None:
    """A large read is handled at once, however long it takes."""
    read_without_turns()
    _patch(BoundedReads, "slice_bytes", lambda self: UNLIMITED)


def set_up_dead_connections() -> None:
    """All waiting connections are accepted and set up in one callback, dead ones too."""
    _patch(clients, "has_left_unused", lambda peer: False)
    _patch(clients, "ACCEPT_BUDGET_MS", float(UNLIMITED))


def forget_ids() -> None:
    """The ids of writes that may have run are forgotten."""
    _patch(ExecutionLog, "recall", lambda self, pending, now_ms: None)


def trust_addresses() -> None:
    """A server keeps its place when another one is listed at its address."""

    def keep(self: AddressHolders, servers: Iterable[api.Server], *, is_complete: bool) -> tuple[Any, ...]:
        return tuple(servers)

    _patch(AddressHolders, "resolve", keep)


def _patch(owner: Any, name: str, value: Any) -> None:
    setattr(owner, name, value)


BROKEN: dict[str, Callable[[], None]] = {
    change.__name__: change
    for change in (
        keep_pieces_of_bodies, forget_input, keep_pieces_of_responses,
        keep_fields_of_responses, read_without_turns, handle_whole_reads, set_up_dead_connections,
        forget_ids, trust_addresses,
    )
}  # fmt: skip


if __name__ == "__main__":
    BROKEN[sys.argv[1]]()
    sys.exit(daemon.run())
