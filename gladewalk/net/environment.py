"""What a director takes from its environment beside the event loop: the clock, listening sockets, randomness.

Simulation replaces all three: a virtual clock, listeners in memory, seeded random numbers.
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
    """The part of a listening socket that is used."""

    def accept(self) -> tuple[Any, Any]:
        """Returns a connection and its peer's address; raises `BlockingIOError` if none waits."""

    def close(self) -> None:
        """Stops listening."""

    def getsockname(self) -> Any:
        """Returns the address that is listened at."""

    def fileno(self) -> int:
        """Returns the descriptor, for the event loop."""


def unix_ms() -> float:
    """Returns the current Unix time in milliseconds."""
    return time.time() * 1000.0


def open_listener(address: Address, backlog: int, inherited_fd: int | None) -> Listener:
    """Binds `address`, or adopts the listener inherited as `inherited_fd`, which is never bound again."""
    if inherited_fd is not None:
        listener = socket.socket(fileno=inherited_fd)
    else:
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        listener = socket.create_server(address, family=family, backlog=backlog)
    listener.setblocking(False)
    return listener


@dataclass(slots=True, frozen=True)
class Environment:
    """The operating system's clock, sockets and randomness, unless replaced."""

    clock: Callable[[], float] = unix_ms  # Unix ms
    listen: Callable[[Address, int, int | None], Listener] = open_listener
    new_random: Callable[[], random.Random] = random.Random  # each seeded by the system


REAL_ENVIRONMENT = Environment()
