"""The clocks, listening sockets and random numbers that a director uses, apart from the event loop.

A simulation replaces them all by virtual clocks, in-memory listeners and seeded random numbers.
"""

from __future__ import annotations

import random
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from ..config.platform import Address
from ..core.clocks import AnchoredClock, SteadyClock, WallClock, read_wall_clock


class Listener(Protocol):
    """The part of a listening socket that is used."""

    def accept(self) -> tuple[Any, Any]:
        """Returns a connection and its peer's address; raises `BlockingIOError` if none waits."""

    def close(self) -> None:
        """Stops listening."""

    def getsockname(self) -> Any:
        """Returns the address that the socket listens at."""

    def fileno(self) -> int:
        """Returns the descriptor, for the event loop."""


def open_listener(address: Address, backlog: int, inherited_fd: int | None) -> Listener:
    """Binds `address`, or uses the inherited listener `inherited_fd`, which is already bound."""
    if inherited_fd is not None:
        listener = socket.socket(fileno=inherited_fd)
    else:
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        listener = socket.create_server(address, family=family, backlog=backlog)
    listener.setblocking(False)
    return listener


@dataclass(slots=True, frozen=True)
class Environment:
    """The operating system's clocks, sockets and randomness, unless replaced."""

    clock: SteadyClock = field(default_factory=AnchoredClock)  # steady milliseconds, never stepped
    listen: Callable[[Address, int, int | None], Listener] = open_listener
    new_random: Callable[[], random.Random] = random.Random  # each seeded by the system
    wall_clock: WallClock = read_wall_clock  # only for instants exchanged with other machines


REAL_ENVIRONMENT = Environment()
