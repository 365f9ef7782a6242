"""Membership without I/O: messages and the time go in, messages and changes come out.

SWIM (Das, Gupta, Motivala 2002): each period one member, in a shuffled round, is pinged; if it does not
answer, some others are asked to ping it; if they hear nothing either it is suspected, and dead once nobody
has refuted that in time. What is known rides on these messages, each rumour a bounded number of times.
Lifeguard (Dadgar, Phillips, Currey 2017): who misses answers doubts itself first and gives others more
time; a suspicion that several confirm runs out sooner. Full exchanges with one member now and then (`sync`)
repair what was lost.
"""

from __future__ import annotations

import math
import random

import msgspec

from .actions import Action, Address, EventReceived, MemberChange, MemberChanged, ProbeOutcome, SendDatagram
from .config import MembershipConfig
from .gossip_state import Hearing
from .loop_delay import READ_MS, Lateness
from .member_list import Member
from .messages import (
    Ack,
    ConfirmationAck,
    ConfirmationProbe,
    DatagramMessage,
    Join,
    MemberState,
    MemberUpdate,
    Message,
    Nack,
    PartialState,
    Ping,
    PingRequest,
    UserEvent,
)
from .suspicion import DOUBTFUL, Verdict, least_ms, verdict_of

STOP_PERIODS = 3.0  # without a turn for so many periods we were stopped, and doubt ourselves


class Membership(Hearing):
    """One member's view, and its part in the others'."""

    def __init__(
        self,
        name: str,
        address: Address,
        seeds: tuple[Address, ...],
        terms: MembershipConfig,
        rng: random.Random,
        now_ms: float,
        weight: float = 1.0,
    ) -> None:
        self.seeds = seeds
        # A later start has the higher incarnation where clocks agree; where not, it refutes what it hears of
        # itself. Runs are in the order of starts, too, which tells of two with one name who was there first.
        run = (int(now_ms) << 20 | rng.getrandbits(20)) % 2**63
        super().__init__(
            MemberUpdate(name, *address, run, int(now_ms), MemberState.ALIVE, weight), terms, rng
        )
        self.round = []
        self.next_ping_ms = now_ms + rng.random() * terms.ping_period_ms
        self.next_exchange_ms = now_ms + terms.sync_interval_ms * rng.random()
        self.exchanged_ms = -math.inf  # when an exchange was last begun
        self.next_seed_ms = self.next_challenge_ms = now_ms
        self.last_ms = self.heard_any_ms = now_ms
        self.answered_ms = -math.inf
        self.late = Lateness(terms.ping_period_ms * STOP_PERIODS)
        self.active = True  # False: it left, or its name is taken
        self.gossip.spread(self.me)

    # What comes in.

    def tick(self, now_ms: float) -> list[Action]:
        """Whatever is due by now. To be called at `due()`, or now and then.

        Guards against a busy host: where the timer ran late, what came meanwhile is read before anybody is
        judged by what did not come.
        """
        due_ms = self.due()
        self._keep_time(now_ms)
        if self.active and not self.late.puts_off(due_ms, now_ms):
            self._end_errands(now_ms)
            self._await_answer(now_ms)
            self._end_suspicions(now_ms)
            if now_ms >= self.next_ping_ms:
                self._begin_period(now_ms)
            if now_ms >= self.next_challenge_ms:
                self._challenge_accused(now_ms)
            if now_ms >= self.next_seed_ms:
                self._seek(now_ms)
            if now_ms >= self.next_exchange_ms:
                self._exchange(now_ms)
        return self._take()

    def due(self) -> float:
        """When `tick` has something to do next."""
        if not self.active:
            return math.inf
        if self.late.reading:
            return self.last_ms + READ_MS
        times = [
            self.next_ping_ms,
            self.next_exchange_ms,
            self.next_seed_ms,
            self.next_challenge_ms,
            self.roll.suspicion_ends_ms() + self.late.grace_ms(self.last_ms),
            *(ms + self.late.ms(self.last_ms) for ms in self.pings.due_ms(self.health_score)),
        ]
        return min(times)

    def take_in(self, message: Message, now_ms: float) -> list[Action]:
        """A part of a full exchange."""
        self._keep_time(now_ms)
        if self.active and message.sender != self.me.name:
            self._take_in(message, now_ms)
        return self._take()

    def answer_knock(self, message: ConfirmationProbe, now_ms: float) -> tuple[ConfirmationAck, list[Action]]:
        """Somebody wants to know whether we live: what it has heard of us is refuted in the answer."""
        out = self.take_in(message, now_ms)
        return ConfirmationAck(
            sender=self.me.name, run_id=self.me.run_id, health_score=self.health_score, updates=[self.me]
        ), out

    def knocked(self, name: str, run: int, outcome: ProbeOutcome, now_ms: float) -> list[Action]:
        """What came of knocking at a suspect; a `ConfirmationAck` has been taken in before."""
        self._keep_time(now_ms)
        member = self.members.get(name)
        if member is None:
            return []
        member.knocking = False
        if member.rumour.run_id == run and member.suspect:
            member.outcome = outcome
            if outcome is ProbeOutcome.RESPONDED:
                member.heard_ms = now_ms
            elif outcome is ProbeOutcome.REFUSED:
                least = least_ms(self.terms, self.roll.live_count + 1, self.pings.answer_ms)
                member.dead_at_ms = min(member.dead_at_ms, member.since_ms + least)
        return self._take()

    def receive(self, message: DatagramMessage, source: Address, now_ms: float) -> list[Action]:
        if not self.active:
            return []
        self._keep_time(now_ms)
        if message.sender == self.me.name:
            if message.run_id != self.me.run_id:
                self._same_name(message, source)
            return self._take()
        sender = self.members.get(message.sender)
        self.heard_any_ms = now_ms
        if sender is not None and sender.rumour.run_id == message.run_id:
            sender.heard_ms, sender.health_score = now_ms, message.health_score
            if sender.rumour.state is MemberState.DEAD:
                self._meet_again(sender, now_ms)
        elif sender is None and isinstance(message, Ping):  # it knows us, and we have forgotten it
            self._send(source, Join)
        self._take_in(message, now_ms)
        match message:
            case Ping() if message.target == self.me.name and message.target_run_id in (self.me.run_id, 0):
                self._tell_suspect(message.sender)
                self._send(source, Ack, sequence=message.sequence)
            case PingRequest():
                self._run_errand(message, source, now_ms)
            case Ack():
                self._answered(message, now_ms)
            case Nack() if (asking := self.pings.asking) is not None and message.sequence == asking.sequence:
                asking.nacks += 1
            case Join() | PartialState(wants_reply=True):
                self._tell_some(source)
            case PartialState(is_complete=False) if (
                now_ms >= self.exchanged_ms + self.terms.sync_interval_ms / 2
            ):
                self._exchange_with(source, now_ms)  # the rest of it, unless we have just asked somebody
        return self._take()

    def _take_in(self, message: Message, now_ms: float) -> None:
        """What rides along."""
        doubtful = message.health_score >= DOUBTFUL
        for rumour in message.updates:
            self.hear(rumour, now_ms, message.sender, doubtful)
        for news in message.events:
            if self.gossip.learn(news):
                self._put(EventReceived(news))

    def bound(self, port: int) -> None:
        """The port that the system chose, where 0 was asked for."""
        self.me = msgspec.structs.replace(self.me, port=port)
        self.gossip.spread(self.me)

    def tell(self, news: UserEvent) -> None:
        """Let all members know, by what is sent in any case."""
        self.gossip.learn(news)

    def live(self) -> dict[str, float]:
        """The members that are taken to live, ourselves among them, by weight; none where we have no part."""
        if not self.active:
            return {}
        others = {member.rumour.name: member.rumour.weight for member in self.roll.live()}
        return {**others, self.me.name: self.me.weight}

    def fit(self) -> dict[str, float]:
        """Those of `live` that do what they have to do: without the stalled."""
        stalled = {name for name, member in self.roll.suspects.items() if member.stalled}
        return {name: weight for name, weight in self.live().items() if name not in stalled}

    def leave(self, now_ms: float) -> list[Action]:
        """Say so to some of the others, who tell the rest."""
        self.me = msgspec.structs.replace(
            self.me, incarnation=self.me.incarnation + 1, state=MemberState.LEFT
        )
        live = list(self.roll.live())
        for member in self.random.sample(live, min(len(live), 2 * self.terms.indirect_ping_members)):
            self._tell_of_me(member.address)
        self.active = False
        return self._take()

    # Pings.

    def _begin_period(self, now_ms: float) -> None:
        self._judge_answer(now_ms)
        while self.next_ping_ms <= now_ms:
            self.next_ping_ms += self.pings.period_ms(self.health_score)
        target = self._next_target()
        if target is not None:
            self._ping(target, self.pings.ask(target.rumour.name, now_ms))

    def _next_target(self) -> Member | None:
        """Members in turn, each round in another order."""
        for _ in range(2):
            while self.round:
                member = self.members.get(self.round.pop())
                if member is not None and member.live:
                    return member
            self.round = [member.rumour.name for member in self.roll.live()]
            self.random.shuffle(self.round)
        return None

    def _ping(self, member: Member, number: int) -> None:
        rumour = member.rumour
        self._tell_suspect(rumour.name)
        self._send(member.address, Ping, sequence=number, target=rumour.name, target_run_id=rumour.run_id)

    def _challenge_accused(self, now_ms: float) -> None:
        """Whom we accuse hears so each period, however slow we have made ourselves: to refute it in time."""
        self.next_challenge_ms = now_ms + self.terms.ping_period_ms
        for member in self.roll.suspects.values():
            if self.me.name in member.accusers:
                self._challenge(member, now_ms)

    def _await_answer(self, now_ms: float) -> None:
        asking = self.pings.asking
        patience_ms = self.pings.timeout_ms(self.health_score) + self.late.ms(now_ms)
        if asking is None or asking.helped or now_ms < asking.sent_ms + patience_ms:
            return
        asking.helped = True
        target = self.members[asking.name]
        chosen = self._helpers(target)
        asking.helpers = len(chosen)
        for helper in chosen:
            self._send(
                helper.address,
                PingRequest,
                sequence=asking.sequence,
                target=asking.name,
                target_run_id=target.rumour.run_id,
                host=target.rumour.host,
                port=target.rumour.port,
            )

    def _judge_answer(self, now_ms: float) -> None:
        """The period is over without an answer: suspected, unless the fault may be ours."""
        asking, self.pings.asking = self.pings.asking, None
        if asking is None:
            return
        member = self.members.get(asking.name)
        if member is not None and member.heard_ms >= asking.sent_ms:
            return self._ail(1)  # we hear it: what is lost is what we say, or its answer
        # Go-betweens that did not even say that they heard nothing: our own messages may be what is lost.
        self._ail(1 + max(0, asking.helpers - asking.nacks))
        if member is not None and member.live:
            self.hear(
                msgspec.structs.replace(member.rumour, state=MemberState.SUSPECT, suspected_by=self.me.name),
                now_ms,
            )

    def _answered(self, message: Ack, now_ms: float) -> None:
        errand = self.pings.errands.pop(message.sequence, None)
        if errand is not None:
            self._send(errand.asker, Ack, sequence=errand.sequence)
        if self.pings.answered(message.sequence, now_ms):
            self.health_score = max(0, self.health_score - 1)

    def _run_errand(self, message: PingRequest, source: Address, now_ms: float) -> None:
        number = self.pings.run_errand(source, message.sequence, now_ms)
        self._send(
            (message.host, message.port),
            Ping,
            sequence=number,
            target=message.target,
            target_run_id=message.target_run_id,
        )

    def _end_errands(self, now_ms: float) -> None:
        for errand in self.pings.ended_errands(now_ms):
            self._send(errand.asker, Nack, sequence=errand.sequence)

    def _end_suspicions(self, now_ms: float) -> None:
        by_ms = now_ms - self.late.grace_ms(now_ms)
        for member in [m for m in self.roll.suspects.values() if by_ms >= m.dead_at_ms]:
            self._judge(member, now_ms)
        for name in self.roll.long_gone(now_ms - self.terms.departed_retention_ms):
            self.roll.remove(name)
            self.gossip.forget_member(name)

    def _judge(self, member: Member, now_ms: float) -> None:
        """A suspicion has run out."""
        count = self.roll.live_count + 1
        verdict, again_ms = verdict_of(member, self.terms, self.me.name, count, now_ms)
        member.dead_at_ms = now_ms + again_ms
        if verdict is Verdict.TELL:
            member.since_ms, member.outcome = now_ms, None  # what speaks for it must be heard anew
            self._challenge(member, now_ms)
            self._knock(member)
        elif verdict is Verdict.KNOCK:
            self._knock(member)
        elif verdict is Verdict.STALLED:
            if not member.stalled:
                member.stalled = True
                self._put(MemberChanged(MemberChange.STALLED, member.rumour.name))
            self._knock(member)
        elif verdict is Verdict.DEAD and count > 2 and not member.asked:
            self._ask_others(member)
            member.dead_at_ms = now_ms + self.pings.timeout_ms(0)
        elif verdict is Verdict.DEAD:
            self.hear(msgspec.structs.replace(member.rumour, state=MemberState.DEAD), now_ms)
            if count > 2 and now_ms > self.heard_any_ms + 2.0 * self.pings.period_ms(self.health_score):
                self.gossip.forget_member(member.rumour.name)  # it may be we who are cut off: told to nobody

    # Full exchanges.

    def _exchange(self, now_ms: float) -> None:
        """With one member, so that what was lost is made good."""
        live = [member.address for member in self.roll.live()]
        self._exchange_with(self.random.choice(live) if live else None, now_ms)

    def exchange_failed(self, to: Address) -> list[Action]:
        """Guards against a path that passes datagrams alone: then a part of what is known goes that way."""
        if self.active:
            self._tell_some(to, reply=True)
        return self._take()

    def _seek(self, now_ms: float) -> None:
        """Ask the seeds that are not among the live, one at a time; all of them while nobody is known.

        Guards against a partition that both sides took for deaths: someone must go on asking. One of the dead
        is asked, too, as long as it is remembered: the seeds may all be dead in truth.
        """
        others, me = self.roll.live_count, (self.me.host, self.me.port)
        dead = [member for member in self.roll.gone.values() if member.rumour.state is MemberState.DEAD]
        # All who live share the asking of the dead: the larger the fleet, the seldomer each.
        periods = max(2.0, others / 8.0) if dead else 5.0
        self.next_seed_ms = now_ms + self.terms.ping_period_ms * (periods if others else 2.0)
        lost = [seed for seed in self.seeds if seed != me and not self.roll.lives_at(seed)]
        for seed in self.random.sample(lost, min(len(lost), 1 if others else len(lost))):
            self._send(seed, Join)
        if dead:  # it hears what is said of it in the same breath, and can refute it at once
            one = self.random.choice(dead)
            told = [self.me, one.rumour]
            join = Join(
                sender=self.me.name, run_id=self.me.run_id, health_score=self.health_score, updates=told
            )
            self._put(SendDatagram(one.address, join))

    # Small things.

    def _keep_time(self, now_ms: float) -> None:
        """Guards against a clock that was set back, and a loop that stalled: what is due moves along.

        Whoever slept must not find that all others are dead; it doubts itself.
        """
        by_ms = now_ms - self.last_ms
        self.last_ms = now_ms
        if by_ms < 0.0:
            self._shift(by_ms)
        elif by_ms > self.terms.ping_period_ms * STOP_PERIODS:
            self._shift(by_ms - self.terms.ping_period_ms)
            self._ail(2)

    def _shift(self, by_ms: float) -> None:
        """Move all that is due, when our own time has stood still or gone astray."""
        self.next_ping_ms += by_ms
        self.next_exchange_ms += by_ms
        self.exchanged_ms += by_ms
        self.answered_ms += by_ms
        self.next_seed_ms += by_ms
        self.next_challenge_ms += by_ms
        self.heard_any_ms += by_ms
        self.pings.shift(by_ms)
        self.roll.shift(by_ms)
