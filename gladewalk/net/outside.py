"""What a director takes from outside beside its event loop: the time, listeners, randomness that is nobody's.

One seam, so that a rehearsal can put its own in their place: a virtual clock, connections in memory, a seed.
"""

from __future__ import annotations

import random
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from ..config.platform import Address


class Listener(Protocol):
    """What is used of a listening socket; `accept` raises `BlockingIOError` where nobody waits."""

    def accept(self) -> tuple[Any, Any]: ...
    def close(self) -> None: ...
    def getsockname(self) -> Any: ...
    def fileno(self) -> int: ...


def unix_ms() -> float:
    return time.time() * 1000.0


def listen_at(address: Address, backlog: int, inherited_fd: int | None) -> Listener:
    """Bind `address`, or take up the listener inherited as `inherited_fd`, which is never bound anew."""
    if inherited_fd is not None:
        listener = socket.socket(fileno=inherited_fd)
    else:
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        listener = socket.create_server(address, family=family, backlog=backlog)
    listener.setblocking(False)
    return listener


@dataclass(slots=True, frozen=True)
class Outside:
    """The real ones, unless said otherwise."""

    clock: Callable[[], float] = unix_ms  # Unix ms
    listen: Callable[[Address, int, int | None], Listener] = listen_at
    fresh: Callable[[], random.Random] = random.Random  # seeded by the system


REAL = Outside()
