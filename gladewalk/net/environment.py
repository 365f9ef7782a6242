"""What a director takes from its environment beside the event loop: clocks, listening sockets, randomness.

Simulation replaces all of it: virtual clocks, listeners in memory, seeded random numbers.
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
        """Returns the address that is listened at."""

    def fileno(self) -> int:
        """Returns the descriptor, for the event loop."""


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
    """The operating system's clocks, sockets and randomness, unless replaced."""

    clock: SteadyClock = field(default_factory=AnchoredClock)  # steady ms, never stepped
    listen: Callable[[Address, int, int | None], Listener] = open_listener
    new_random: Callable[[], random.Random] = random.Random  # each seeded by the system
    wall_clock: WallClock = read_wall_clock  # for instants of other machines alone


REAL_ENVIRONMENT = Environment()
