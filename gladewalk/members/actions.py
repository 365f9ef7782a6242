"""Actions that the protocol asks its transport to carry out, and the changes and events that it reports."""

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
    STALLED = "stalled"  # its system accepts connections, its process does not answer: others take its tasks
    REFUTED = "refuted"  # the local member was called suspect or dead, and has refuted it
    DIED = "died"
    LEFT = "left"
    NAME_TAKEN = "name_taken"  # an older process runs under the local name: the local member stands down

    @property
    def log_event(self) -> str:
        """Name of its event in the log."""
        return f"member_{self.value}"

    @property
    def counter(self) -> str:
        """Name of its counter."""
        return f"members.{self.value}"


class ProbeOutcome(Enum):
    """Result of a confirmation probe of a suspected member's stream port."""

    RESPONDED = "here"
    REFUSED = "gone"  # no process listens there
    UNRESPONSIVE = "silent"  # the system accepted the connection, the process did not answer in time
    UNREACHABLE = "unreachable"

    @property
    def counter(self) -> str:
        """Name of its counter."""
        return f"members.knock_{self.value}"


@dataclass(slots=True, frozen=True)
class SendDatagram:
    """Send a message to an address; nothing is reported back."""

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
    """Report a change of the member of this name."""

    change: MemberChange
    name: str


@dataclass(slots=True, frozen=True)
class EventReceived:
    """Report a user event from another member, once for each that supersedes what was known of its task."""

    event: UserEvent


Action = SendDatagram | StartSync | StartConfirmationProbe | MemberChanged | EventReceived


class Outbox:
    """Collects actions in the order in which they are to be carried out."""

    def __init__(self) -> None:
        self._actions: list[Action] = []

    def put(self, action: Action) -> None:
        """Appends an action."""
        self._actions.append(action)

    def send(self, to: Address, message: DatagramMessage) -> None:
        """Appends the sending of a datagram."""
        self._actions.append(SendDatagram(to, message))

    def take(self) -> list[Action]:
        """Removes and returns all collected actions."""
        actions, self._actions = self._actions, []
        return actions
