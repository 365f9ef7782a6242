"""What the exchanges and listeners of a site share with the platform's exchange of the same process."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..core.counters import Counters
from ..core.deadlines import Deadlines
from ..core.final_deadlines import FinalDeadlines
from ..core.memory_ledger import MemoryLedger


@dataclass(frozen=True, slots=True)
class SharedServices:
    """Clock, timers, accounts and log of one process.

    Attributes:
        clock: The current time in milliseconds.
        deadlines: The timers.
        counters: The event counters.
        log: Writes a line of the decision module.
        memory: The accounts of what the process holds for its peers.
        final_deadlines: Limits the deadlines of all requests at a stop.
    """

    clock: Callable[[], float]
    deadlines: Deadlines
    counters: Counters
    log: Callable[[str], None]
    memory: MemoryLedger
    final_deadlines: FinalDeadlines
