"""Actions that the protocol returns for its transport to carry out, including reported changes and events."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .messages import ConfirmationProbe, DatagramMessage, UserEvent

Address = tuple[str, int]


class MemberChange(Enum):
    """A change in the local view of a member, or of the local member itself."""

    JOINED = "joined"
    SUSPECTED = "suspected"
    CLEARED = "cleared"  # a suspicion was refuted
    STALLED = "stalled"  # its host accepts connections, its process does not respond: others take its tasks
    REFUTED = "refuted"  # the local member was reported suspect or dead, and has refuted the report
    DIED = "died"
    LEFT = "left"
    NAME_TAKEN = "name_taken"  # an older process has the local name: the local member deactivates itself

    @property
    def log_event(self) -> str:
        """Name of the log event for this change."""
        return f"member_{self.value}"

    @property
    def counter(self) -> str:
        """Name of the counter for this change."""
        return f"members.{self.value}"


class ProbeOutcome(Enum):
    """Result of a confirmation probe of a suspected member's stream port."""

    RESPONDED = "here"
    REFUSED = "gone"  # no process listens at the port
    UNRESPONSIVE = "silent"  # its host accepted the connection, its process did not respond in time
    UNREACHABLE = "unreachable"

    @property
    def counter(self) -> str:
        """Name of the counter for this outcome."""
        return f"members.knock_{self.value}"


@dataclass(slots=True, frozen=True)
class SendDatagram:
    """Send a message to an address; whether it arrives is not reported."""

    to: Address
    message: DatagramMessage


@dataclass(slots=True, frozen=True)
class StartSync:
    """Synchronize the state with the member at this address over a stream."""

    to: Address


@dataclass(slots=True, frozen=True)
class StartConfirmationProbe:
    """Send a confirmation probe over a stream; report its outcome to `Membership.on_probe_outcome`."""

    to: Address
    name: str
    run_id: int
    timeout_ms: float
    message: ConfirmationProbe


@dataclass(slots=True, frozen=True)
class MemberChanged:
    """Report that the member of this name changed."""

    change: MemberChange
    name: str


@dataclass(slots=True, frozen=True)
class EventReceived:
    """Report a user event from another member that supersedes the latest known event of its task."""

    event: UserEvent


Action = SendDatagram | StartSync | StartConfirmationProbe | MemberChanged | EventReceived


class Outbox:
    """Collects the actions that the transport is to carry out, in order."""

    def __init__(self) -> None:
        self._actions: list[Action] = []

    def put(self, action: Action) -> None:
        """Appends an action."""
        self._actions.append(action)

    def send(self, to: Address, message: DatagramMessage) -> None:
        """Appends an action that sends a datagram."""
        self._actions.append(SendDatagram(to, message))

    def take(self) -> list[Action]:
        """Removes and returns all collected actions."""
        actions, self._actions = self._actions, []
        return actions
