"""The membership protocol without I/O: it is passed messages and the time, and returns actions.

SWIM (Das, Gupta and Motivala, 2002) with Lifeguard's extensions (Dadgar, Phillips and Currey, 2017), a
confirmation probe before a member is declared dead (`suspicion`), and state synchronization (`sync`).
"""

from __future__ import annotations

import math
import random

from .actions import Action, Address, EventReceived, MemberChange, MemberChanged, ProbeOutcome
from .config import MembershipConfig
from .context import STOP_PERIODS, create_context
from .failure_detector import FailureDetector
from .gossip_state import GossipState
from .local_health import UNHEALTHY_SCORE
from .loop_delay import DEFERRAL_MS
from .member_list import Member
from .messages import (
    Ack,
    ConfirmationAck,
    ConfirmationProbe,
    DatagramMessage,
    Digest,
    FullState,
    Join,
    MemberState,
    MemberUpdate,
    Message,
    Nack,
    PartialState,
    Ping,
    PingRequest,
    StreamMessage,
    UserEvent,
)
from .probe_round import ProbeRound
from .rejoin import RejoinSchedule
from .suspicion_monitor import SuspicionMonitor
from .sync import StateSync

RUN_ID_RANDOM_BITS = 20
MAX_RUN_ID = 2**63
STOP_HEALTH_PENALTY = 2  # points by which a stop of the process worsens the local health
LEAVE_FACTOR = 2  # times the members of an indirect ping: how many members are notified of a departure
MEMBERS_PER_SYNC_PERIOD = 32.0  # larger fleets synchronize less often with revived members
ISOLATION_PERIODS = 2.0  # ping periods without any received message, after which deaths are not gossiped


class Membership:
    """One member's protocol: creates the parts of the protocol and passes messages and the time to them.

    Every method that takes `now_ms` (Unix ms of the local clock) returns the actions to carry out.
    `next_due_ms` returns when to call `tick` next. `is_active` becomes false when the member has left, or
    when an older process has its name; then the member no longer participates.
    """

    def __init__(
        self,
        name: str,
        address: Address,
        seeds: tuple[Address, ...],
        config: MembershipConfig,
        rng: random.Random,
        now_ms: float,
        weight: float = 1.0,
    ) -> None:
        self.config, self.seeds, self.is_active = config, seeds, True
        # Incarnations and run ids are derived from the clock, so that they rise from start to start. If the
        # clock was set back, the new run refutes the updates of its earlier run. Of two processes with the
        # same name, the one with the smaller run id counts as the one that started first.
        random_bits = rng.getrandbits(RUN_ID_RANDOM_BITS)
        run_id = (int(now_ms) << RUN_ID_RANDOM_BITS | random_bits) % MAX_RUN_ID
        update = MemberUpdate(name, *address, run_id, int(now_ms), MemberState.ALIVE, weight)
        self._context = context = create_context(update, config, rng)
        self.members, self.outbox = context.members, context.outbox
        self.dissemination, self.messages = context.dissemination, context.messages
        self.last_observed_ms = self._last_received_ms = now_ms
        probe_round = ProbeRound(context.members, rng)
        self.suspicions = SuspicionMonitor(context, now_ms)
        self.gossip = GossipState(context, self.suspicions, probe_round)
        self._detector = FailureDetector(context, self.gossip, probe_round, now_ms)
        self._sync = StateSync(context, now_ms)
        self._rejoin = RejoinSchedule(context, seeds, now_ms)
        self.dissemination.queue_update(update)

    # The local member's view.

    @property
    def local(self) -> MemberUpdate:
        """The local member's own update."""
        return self._context.local.update

    @property
    def health_score(self) -> int:
        """Local health: 0 is healthy, 8 the worst."""
        return self._context.local.health.score

    def live_weights(self) -> dict[str, float]:
        """Weights of all live members by name, including the local one; empty if inactive."""
        if not self.is_active:
            return {}
        others = {member.name: member.update.weight for member in self.members.live()}
        return {**others, self.local.name: self.local.weight}

    def responsive_weights(self) -> dict[str, float]:
        """Weights of the live members that are not stalled, by name."""
        stalled = {name for name, member in self.members.suspects.items() if member.is_stalled}
        return {name: weight for name, weight in self.live_weights().items() if name not in stalled}

    # Time.

    def next_due_ms(self) -> float:
        """When `tick` has to be called next; infinity if inactive."""
        if not self.is_active:
            return math.inf
        loop_delay = self._context.loop_delay
        if loop_delay.is_deferring:
            return self.last_observed_ms + DEFERRAL_MS
        return min(
            *self._detector.due_times_ms(self.last_observed_ms),
            self._sync.next_ms,
            self._rejoin.next_ms,
            self.suspicions.next_notification_ms,
            self.members.next_suspicion_end_ms() + loop_delay.grace_ms(self.last_observed_ms),
        )

    def tick(self, now_ms: float) -> list[Action]:
        """Performs all work that is due. On a busy host, pending messages are read first (`loop_delay`)."""
        due_ms = self.next_due_ms()
        self._observe_time(now_ms)
        if self.is_active and not self._context.loop_delay.defers(due_ms, now_ms):
            self._detector.send_overdue_nacks(now_ms)
            self._detector.request_indirect_pings(now_ms)
            self._resolve_expired_suspicions(now_ms)
            if now_ms >= self._detector.next_period_ms:
                self._detector.begin_period(now_ms)
            if now_ms >= self.suspicions.next_notification_ms:
                self.suspicions.notify_suspected_here(now_ms)
            if now_ms >= self._rejoin.next_ms:
                self._rejoin.contact(now_ms)
            if now_ms >= self._sync.next_ms:
                self._sync.start_with_random_member(now_ms)
        return self.outbox.take()

    # Messages.

    def receive(self, message: DatagramMessage, source: Address, now_ms: float) -> list[Action]:
        """Handles a message received in a datagram."""
        if not self.is_active:
            return []
        self._observe_time(now_ms)
        if message.sender == self.local.name:
            if message.run_id != self.local.run_id:
                self._resolve_name_conflict(message, source)
            return self.outbox.take()
        self._last_received_ms = now_ms
        self._note_sender(message, source, now_ms)
        self._apply_gossip(message, now_ms)
        self._handle(message, source, now_ms)
        return self.outbox.take()

    def receive_streamed(self, message: StreamMessage, now_ms: float) -> list[Action]:
        """Applies the gossip of a message received over a stream."""
        self._observe_time(now_ms)
        if self.is_active and message.sender != self.local.name:
            self._apply_gossip(message, now_ms)
        return self.outbox.take()

    def on_confirmation_probe(
        self, message: ConfirmationProbe, now_ms: float
    ) -> tuple[ConfirmationAck, list[Action]]:
        """Handles a confirmation probe; the response refutes the suspicion that the probe carries."""
        actions = self.receive_streamed(message, now_ms)
        return self.messages.confirmation_ack(), actions

    def on_probe_outcome(self, name: str, run_id: int, outcome: ProbeOutcome, now_ms: float) -> list[Action]:
        """Handles the outcome of a confirmation probe, after any `ConfirmationAck` has been received."""
        self._observe_time(now_ms)
        self.suspicions.on_probe_outcome(name, run_id, outcome, now_ms)
        return self.outbox.take()

    # State synchronization over a stream.

    def sync_request(self) -> Digest:
        """First message of a synchronization that the local member starts."""
        return self._sync.request()

    def sync_response(self, request: Digest) -> FullState:
        """Response to another member's first message."""
        return self._sync.respond(request)

    def on_sync_response(
        self, response: StreamMessage, now_ms: float
    ) -> tuple[FullState | None, list[Action]]:
        """Handles the response to `sync_request`; returns the final message, or None if the states match."""
        if not isinstance(response, FullState) or response.is_identical:
            return None, []
        reply = self._sync.full_state()  # before the responder's state is applied
        return reply, self.receive_streamed(response, now_ms)

    def on_sync_failed(self, peer: Address) -> list[Action]:
        """Sends a part of the state in a datagram, as the network may block streams but not datagrams."""
        if self.is_active:
            self.outbox.send(peer, self.messages.partial_state(wants_reply=True))
        return self.outbox.take()

    # The local member.

    def bind_port(self, port: int) -> None:
        """Sets the port that the operating system chose, if port 0 was configured."""
        self._context.local.bind_port(port)
        self.dissemination.queue_update(self.local)

    def publish_event(self, event: UserEvent) -> None:
        """Spreads a user event to all members, as gossip of messages that are sent anyway."""
        self.dissemination.learn_event(event)

    def forget_event(self, task: str) -> None:
        """Removes the event of a task that no longer exists."""
        self.dissemination.forget_event(task)

    def leave(self) -> list[Action]:
        """Announces the departure to some members, which spread it, and stops participating."""
        context = self._context
        context.local.leave()
        live = list(self.members.live())
        notified_count = min(len(live), LEAVE_FACTOR * self.config.indirect_ping_members)
        for member in context.rng.sample(live, notified_count):
            self.outbox.send(member.address, self.messages.announcement())
        self.is_active = False
        return self.outbox.take()

    # Internals.

    def _note_sender(self, message: DatagramMessage, source: Address, now_ms: float) -> None:
        sender = self.members.by_name.get(message.sender)
        if sender is not None and sender.update.run_id == message.run_id:
            sender.last_received_ms, sender.health_score = now_ms, message.health_score
            if sender.update.state is MemberState.DEAD:
                self._revive(sender, now_ms)
        elif sender is None and isinstance(message, Ping):  # it knows the local member, but isn't known here
            self.outbox.send(source, self.messages.join())

    def _revive(self, member: Member, now_ms: float) -> None:
        """Notifies a dead member from which a message was received, so that it refutes its death.

        Then synchronizes the state with it.
        """
        if self.suspicions.was_notified_recently(member, now_ms):
            return
        self.suspicions.notify(member, now_ms)
        # The cost of a synchronization grows with the number of members: after a partition of a large fleet,
        # the first few members that synchronize spread the state to the others by gossip.
        periods = max(1.0, self.members.live_count / MEMBERS_PER_SYNC_PERIOD)
        if now_ms >= self._sync.last_started_ms + self.config.ping_period_ms * periods:
            self._sync.start(member.address, now_ms)

    def _apply_gossip(self, message: Message, now_ms: float) -> None:
        is_unhealthy = message.health_score >= UNHEALTHY_SCORE
        for update in message.updates:
            self.gossip.apply(update, now_ms, message.sender, is_unhealthy)
        for event in message.events:
            if self.dissemination.learn_event(event):
                self.outbox.put(EventReceived(event))

    def _handle(self, message: DatagramMessage, source: Address, now_ms: float) -> None:
        match message:
            case Ping():
                self._respond_to_ping(message, source)
            case PingRequest():
                self._detector.on_ping_request(message, source, now_ms)
            case Ack():
                self._detector.on_ack(message, now_ms)
            case Nack():
                self._detector.on_nack(message)
            case Join() | PartialState(wants_reply=True):
                self.outbox.send(source, self.messages.partial_state())
            case PartialState(is_complete=False):
                if now_ms >= self._sync.last_started_ms + self.config.sync_interval_ms / 2:
                    self._sync.start(source, now_ms)

    def _respond_to_ping(self, ping: Ping, source: Address) -> None:
        """Responds to a ping whose target is this run, or any run (0) of the local member."""
        if ping.target == self.local.name and ping.target_run_id in (self.local.run_id, 0):
            self.messages.requeue_suspicion(ping.sender)
            self.outbox.send(source, self.messages.ack(ping.sequence))

    def _resolve_name_conflict(self, message: DatagramMessage, source: Address) -> None:
        """Handles another process with the local name: the one that started first keeps the name."""
        if message.run_id < self.local.run_id:
            self.is_active = False
            self.outbox.put(MemberChanged(MemberChange.NAME_TAKEN, self.local.name))
        else:  # the announcement makes the other process deactivate itself
            self.outbox.send(source, self.messages.announcement())

    def _resolve_expired_suspicions(self, now_ms: float) -> None:
        for member in self.suspicions.expired(now_ms):
            has_other_members = self._context.member_count > 2
            if self.suspicions.resolve_expired(member, now_ms):
                self._declare_dead(member, has_other_members, now_ms)
        for name in self.members.departed_before(now_ms - self.config.departed_retention_ms):
            self.members.remove(name)
            self.dissemination.discard_update(name)

    def _declare_dead(self, member: Member, has_other_members: bool, now_ms: float) -> None:
        self.gossip.declare_dead(member, now_ms)
        isolation_ms = ISOLATION_PERIODS * self._context.pings.period_ms(self.health_score)
        if has_other_members and now_ms > self._last_received_ms + isolation_ms:
            self.dissemination.discard_update(member.name)  # the local member itself may be cut off

    def _observe_time(self, now_ms: float) -> None:
        """Shifts all stored times if the clock was set back or the process was stopped.

        Time without a response during a stop must not count against other members. A stop worsens the local
        health.
        """
        elapsed_ms = now_ms - self.last_observed_ms
        self.last_observed_ms = now_ms
        if elapsed_ms < 0.0:
            self._shift(elapsed_ms)
        elif elapsed_ms > self.config.ping_period_ms * STOP_PERIODS:
            self._shift(elapsed_ms - self.config.ping_period_ms)
            self._context.local.health.worsen(STOP_HEALTH_PENALTY)

    def _shift(self, by_ms: float) -> None:
        self._last_received_ms += by_ms
        self.members.shift(by_ms)
        self.suspicions.shift(by_ms)
        self.gossip.shift(by_ms)
        self._detector.shift(by_ms)
        self._sync.shift(by_ms)
        self._rejoin.shift(by_ms)
