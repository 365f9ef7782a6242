"""What a membership is set to, and what it tells: its changes and its sends."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .messages import ConfirmationProbe, DatagramMessage, UserEvent

Address = tuple[str, int]


@dataclass(slots=True, frozen=True)
class Terms:
    """Times in ms. Detection takes about two periods, the time of a suspicion and a spread of gossip."""

    period_ms: float = 200.0  # between pings
    timeout_ms: float = 80.0  # for a direct answer; go-betweens have the rest of the period
    helpers: int = 3  # go-betweens
    suspicion_least_ms: float = 500.0  # a suspicion that enough others confirmed
    suspicion_most: float = 2.0  # times that, for one that nobody confirms
    stall_ms: float = 10_000.0  # how long one is kept whose system answers for it and which says nothing
    confirmations: int = 2  # from which on it is the least
    retransmit: float = 3.0  # times log10(members + 1) that a rumour is sent on
    exchange_ms: float = 5_000.0  # between full exchanges with one member
    dead_kept_ms: float = 60_000.0  # how long the dead are remembered, so that no old rumour revives them
    members_most: int = 2_048  # bounds memory
    news_most: int = 8_192  # duties of which news are kept


class Change(Enum):
    JOINED = "joined"
    SUSPECTED = "suspected"
    CLEARED = "cleared"  # it was suspected, and lives
    STALLED = "stalled"  # its system answers for it, itself it does not: others do what it had to do
    REFUTED = "refuted"  # we were said to be suspect or dead, and have said otherwise
    DIED = "died"
    LEFT = "left"
    NAME_TAKEN = "name_taken"  # another runs under our name, and has done so for longer


class Outcome(Enum):
    """What came of knocking."""

    HERE = "here"
    GONE = "gone"
    SILENT = "silent"
    UNREACHABLE = "unreachable"


@dataclass(slots=True, frozen=True)
class Send:
    to: Address
    message: DatagramMessage


@dataclass(slots=True, frozen=True)
class Exchange:
    """Compare all that is known with the member at this address, over a stream (`sync`)."""

    to: Address


@dataclass(slots=True, frozen=True)
class Knocking:
    """Knock at a suspect's stream, with this message; what comes of it goes to `Membership.knocked`."""

    to: Address
    name: str
    run: int
    wait_ms: float
    message: ConfirmationProbe


@dataclass(slots=True, frozen=True)
class Changed:
    change: Change
    name: str


@dataclass(slots=True, frozen=True)
class Heard:
    """News from another member, told once for each that is later than what was known."""

    news: UserEvent


Out = Send | Exchange | Knocking | Changed | Heard
