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
from dataclasses import dataclass

import msgspec

from .gossip import GOSSIP_BYTES, Gossip
from .messages import Ack, Join, Message, Nack, News, Ping, PingFor, Roster, Rumour, Said, State, size_of
from .roll import Member, Roll
from .terms import Address, Change, Changed, Exchange, Heard, Out, Send, Terms

RUMOUR_LEAST = 20  # bytes: no more of them than so fit into a datagram
HEALTH_MOST = 8  # how far a member that misses answers may stretch its times (Lifeguard)


@dataclass(slots=True)
class Asking:
    """A ping whose answer is awaited."""

    name: str
    number: int
    sent_ms: float
    helped: bool = False  # go-betweens have been asked
    helpers: int = 0
    nacks: int = 0


@dataclass(slots=True)
class Errand:
    """A ping for another member."""

    asker: Address
    number: int
    due_ms: float


class Membership:
    """One member's view, and its part in the others'."""

    def __init__(
        self, name: str, address: Address, seeds: tuple[Address, ...], terms: Terms, rng: random.Random,
        now_ms: float, weight: float = 1.0,
    ) -> None:  # fmt: skip
        self.terms, self.random, self.seeds = terms, rng, seeds
        # A later start has the higher incarnation where clocks agree; where not, it refutes what it hears of
        # itself. Runs are in the order of starts, too, which tells of two with one name who was there first.
        run = (int(now_ms) << 20 | rng.getrandbits(20)) % 2**63
        self.me = Rumour(name, *address, run, int(now_ms), State.ALIVE, weight)
        self.roll = Roll()
        self.members = self.roll.members  # to be read; `roll` alone changes it
        self.health = 0  # 0: well; each missed answer adds to it, each answer takes from it
        self.round: list[str] = []
        self.asking: Asking | None = None
        self.errands: dict[int, Errand] = {}
        self.gossip = Gossip(terms, lambda: len(self.members))
        self.numbers = 0
        self.next_ping_ms = now_ms + rng.random() * terms.period_ms
        self.next_exchange_ms = now_ms + terms.exchange_ms * rng.random()
        self.exchanged_ms = -math.inf  # when an exchange was last begun
        self.next_seed_ms = self.next_challenge_ms = now_ms
        self.last_ms = now_ms
        self.active = True  # False: it left, or its name is taken
        self.out: list[Out] = []
        self.gossip.spread(self.me)

    # What comes in.

    def tick(self, now_ms: float) -> list[Out]:
        """Whatever is due by now. To be called at `due()`, or now and then."""
        self._keep_time(now_ms)
        if self.active:
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
        times = [
            self.next_ping_ms,
            self.next_exchange_ms,
            self.next_seed_ms,
            self.next_challenge_ms,
            self.roll.suspicion_ends_ms(),
            *(e.due_ms for e in self.errands.values()),
        ]
        if self.asking is not None and not self.asking.helped:
            times.append(self.asking.sent_ms + self._timeout())
        return min(times)

    def take_in(self, message: Message, now_ms: float) -> list[Out]:
        """A part of a full exchange."""
        self._keep_time(now_ms)
        if self.active and message.sender != self.me.name:
            self._take_in(message, now_ms)
        return self._take()

    def receive(self, message: Said, source: Address, now_ms: float) -> list[Out]:
        if not self.active:
            return []
        self._keep_time(now_ms)
        if message.sender == self.me.name:
            if message.run != self.me.run:
                self._same_name(message, source)
            return self._take()
        sender = self.members.get(message.sender)
        if sender is not None and sender.rumour.run == message.run:
            sender.heard_ms = now_ms
        elif sender is None and isinstance(message, Ping):  # it knows us, and we have forgotten it
            self._send(source, Join)
        self._take_in(message, now_ms)
        match message:
            case Ping() if message.target == self.me.name and message.target_run in (self.me.run, 0):
                self._tell_suspect(message.sender)
                self._send(source, Ack, number=message.number)
            case PingFor():
                self._run_errand(message, source, now_ms)
            case Ack():
                self._answered(message, now_ms)
            case Nack() if self.asking is not None and message.number == self.asking.number:
                self.asking.nacks += 1
            case Join() | Roster(reply=True):
                self._tell_some(source)
            case Roster(whole=False) if now_ms >= self.exchanged_ms + self.terms.exchange_ms / 2:
                self._exchange_with(source, now_ms)  # the rest of it, unless we have just asked somebody
        return self._take()

    def _take_in(self, message: Message, now_ms: float) -> None:
        """What rides along."""
        for rumour in message.gossip:
            self.hear(rumour, now_ms)
        for news in message.news:
            if self.gossip.learn(news):
                self._put(Heard(news))

    def bound(self, port: int) -> None:
        """The port that the system chose, where 0 was asked for."""
        self.me = msgspec.structs.replace(self.me, port=port)
        self.gossip.spread(self.me)

    def tell(self, news: News) -> None:
        """Let all members know, by what is sent in any case."""
        self.gossip.learn(news)

    def live(self) -> dict[str, float]:
        """The members that are taken to live, ourselves among them, by weight; none where we have no part."""
        if not self.active:
            return {}
        others = {member.rumour.name: member.rumour.weight for member in self.roll.live()}
        return {**others, self.me.name: self.me.weight}

    def leave(self, now_ms: float) -> list[Out]:
        """Say so to some of the others, who tell the rest."""
        self.me = msgspec.structs.replace(self.me, incarnation=self.me.incarnation + 1, state=State.LEFT)
        live = list(self.roll.live())
        for member in self.random.sample(live, min(len(live), 2 * self.terms.helpers)):
            self._tell_of_me(member.address)
        self.active = False
        return self._take()

    # What is heard of members.

    def hear(self, rumour: Rumour, now_ms: float) -> None:
        """One rumour: believed if it outweighs what is known."""
        if rumour.name == self.me.name:
            return self._hear_of_me(rumour)
        known = self.members.get(rumour.name)
        if known is None:
            if len(self.members) < self.terms.members_most:
                self._meet(rumour, now_ms)
            return
        if rumour.state is State.SUSPECT and self._confirms(known, rumour):
            return
        if self._outweighs(rumour, known.rumour):
            self._believe(known, rumour, now_ms)

    def _outweighs(self, new: Rumour, old: Rumour) -> bool:
        """The later incarnation; at the same one the worse state. Only a later one revives a dead run."""
        if new.incarnation != old.incarnation:
            return new.incarnation > old.incarnation
        return new.run == old.run and new.state > old.state

    def _meet(self, rumour: Rumour, now_ms: float) -> None:
        member = self.roll.add(rumour, now_ms)
        if rumour.state is State.SUSPECT:
            member.accusers.add(rumour.by)
            self._set_suspicion(member, now_ms)
        if member.live:
            self._put(Changed(Change.JOINED, rumour.name))
            # Somewhere in the rest of the round, as SWIM has it: nobody waits for longer than a round.
            self.round.insert(self.random.randrange(len(self.round) + 1), rumour.name)
        self.gossip.spread(rumour)

    def _believe(self, known: Member, rumour: Rumour, now_ms: float) -> None:
        was, was_live = known.rumour.state, known.live
        self.roll.set(known, rumour, now_ms)
        if rumour.state is State.SUSPECT:
            known.accusers.add(rumour.by)
            self._set_suspicion(known, now_ms)
        self.gossip.spread(rumour)
        if rumour.state is State.ALIVE and not was_live:
            known.heard_ms = now_ms
            self._put(Changed(Change.JOINED, rumour.name))
        elif rumour.state is State.ALIVE and was is State.SUSPECT:
            self._put(Changed(Change.CLEARED, rumour.name))
        elif rumour.state is State.SUSPECT and was is not State.SUSPECT:
            self._put(Changed(Change.SUSPECTED, rumour.name))
        elif was_live and rumour.state in (State.DEAD, State.LEFT):
            self._put(Changed(Change.DIED if rumour.state is State.DEAD else Change.LEFT, rumour.name))

    def _confirms(self, known: Member, rumour: Rumour) -> bool:
        """Whether we have this suspicion already: one more who holds it shortens its time (Lifeguard)."""
        same = known.rumour.state is State.SUSPECT and known.rumour.incarnation == rumour.incarnation
        if same and rumour.by not in known.accusers and len(known.accusers) <= self.terms.confirmations:
            known.accusers.add(rumour.by)
            self._set_suspicion(known, known.since_ms)
            self.gossip.spread(rumour)
        return same

    def _set_suspicion(self, member: Member, since_ms: float) -> None:
        """When a suspicion runs out: from the most down to the least as others confirm it (Lifeguard)."""
        count = self.roll.live_count + 1
        least = self.terms.suspicion_least_ms * max(1.0, math.log10(count))
        most = least * self.terms.suspicion_most * (1.0 + 0.15 * self.health)
        wanted = min(self.terms.confirmations, max(1, count - 2))
        share = math.log(max(1, len(member.accusers))) / math.log(wanted + 1) if wanted else 1.0
        member.dead_at_ms = since_ms + max(least, most - (most - least) * min(1.0, share))

    def _hear_of_me(self, rumour: Rumour) -> None:
        """Refute what is untrue: with a higher incarnation than it was said with."""
        stale = rumour.run != self.me.run
        if rumour.incarnation < self.me.incarnation:
            if rumour.state is not State.ALIVE:  # refuted long since, and somebody has missed it
                self.gossip.spread(self.me)
            return
        if rumour.state is State.ALIVE and not stale:
            return
        self.me = msgspec.structs.replace(self.me, incarnation=rumour.incarnation + 1)
        self.gossip.spread(self.me)
        address = rumour.host, rumour.port
        if stale and rumour.state is State.ALIVE and address != (self.me.host, self.me.port):
            self._send(address, Join)  # our last run, or another under our name: it will tell
        if rumour.state is not State.ALIVE and not stale:
            self._ail(1)  # others can't hear us: perhaps it is we who are slow

    def _same_name(self, message: Message, source: Address) -> None:
        """Another speaks under our name right now. The one that started first keeps it."""
        if message.run < self.me.run:
            self.active = False
            self._put(Changed(Change.NAME_TAKEN, self.me.name))
        else:  # it hears of us by this, and goes
            self._tell_of_me(source)

    # Pings.

    def _begin_period(self, now_ms: float) -> None:
        self._judge_answer(now_ms)
        while self.next_ping_ms <= now_ms:
            self.next_ping_ms += self.terms.period_ms * (1 + self.health)
        target = self._next_target()
        if target is None:
            return
        self.numbers += 1
        self.asking = Asking(target.rumour.name, self.numbers, now_ms)
        self._ping(target, self.numbers)

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
        self._send(member.address, Ping, number=number, target=rumour.name, target_run=rumour.run)

    def _challenge_accused(self, now_ms: float) -> None:
        """Whom we accuse hears so each period, however slow we have made ourselves: to refute it in time."""
        self.next_challenge_ms = now_ms + self.terms.period_ms
        for member in self.roll.suspects.values():
            if self.me.name in member.accusers:
                self._challenge(member)

    def _challenge(self, member: Member) -> None:
        """A ping that tells it what is said of it, beside all other gossip."""
        known = member.rumour
        ping = Ping(
            sender=self.me.name, run=self.me.run, gossip=[known], target=known.name, target_run=known.run
        )
        self._put(Send(member.address, ping))

    def _await_answer(self, now_ms: float) -> None:
        asking = self.asking
        if asking is None or asking.helped or now_ms < asking.sent_ms + self._timeout():
            return
        asking.helped = True
        target = self.members[asking.name]
        others = [m for n, m in self.members.items() if m.rumour.state is State.ALIVE and n != asking.name]
        chosen = self.random.sample(others, min(len(others), self.terms.helpers))
        asking.helpers = len(chosen)
        for helper in chosen:
            self._send(
                helper.address, PingFor, number=asking.number, target=asking.name,
                target_run=target.rumour.run, host=target.rumour.host, port=target.rumour.port,
            )  # fmt: skip

    def _judge_answer(self, now_ms: float) -> None:
        """The period is over without an answer: suspected, unless the fault may be ours."""
        asking, self.asking = self.asking, None
        if asking is None:
            return
        # Go-betweens that did not even say that they heard nothing: our own messages may be what is lost.
        self._ail(1 + max(0, asking.helpers - asking.nacks))
        member = self.members.get(asking.name)
        if member is not None and member.live:
            self.hear(msgspec.structs.replace(member.rumour, state=State.SUSPECT, by=self.me.name), now_ms)

    def _answered(self, message: Ack, now_ms: float) -> None:
        errand = self.errands.pop(message.number, None)
        if errand is not None:
            self._send(errand.asker, Ack, number=errand.number)
        if self.asking is not None and message.number == self.asking.number:
            self.asking = None
            self.health = max(0, self.health - 1)

    def _run_errand(self, message: PingFor, source: Address, now_ms: float) -> None:
        self.numbers += 1
        due = now_ms + self.terms.timeout_ms
        if len(self.errands) < self.terms.members_most:
            self.errands[self.numbers] = Errand(source, message.number, due)
        self._send(
            (message.host, message.port), Ping, number=self.numbers, target=message.target,
            target_run=message.target_run,
        )  # fmt: skip

    def _end_errands(self, now_ms: float) -> None:
        for number in [n for n, errand in self.errands.items() if now_ms >= errand.due_ms]:
            errand = self.errands.pop(number)
            self._send(errand.asker, Nack, number=errand.number)

    def _end_suspicions(self, now_ms: float) -> None:
        for member in [m for m in self.roll.suspects.values() if now_ms >= m.dead_at_ms]:
            self.hear(msgspec.structs.replace(member.rumour, state=State.DEAD), now_ms)
        for name in self.roll.long_gone(now_ms - self.terms.dead_kept_ms):
            self.roll.remove(name)
            self.gossip.forget_member(name)

    def _tell_suspect(self, name: str) -> None:
        """Who is thought dead or suspect hears so first (Lifeguard's buddies), and can refute it."""
        member = self.members.get(name)
        if member is not None and member.rumour.state is not State.ALIVE:
            self.gossip.spread(member.rumour)

    # Full exchanges.

    def _exchange(self, now_ms: float) -> None:
        """With one member, so that what was lost is made good."""
        live = [member.address for member in self.roll.live()]
        self._exchange_with(self.random.choice(live) if live else None, now_ms)

    def _exchange_with(self, to: Address | None, now_ms: float) -> None:
        self.next_exchange_ms = now_ms + self.terms.exchange_ms * (0.75 + 0.5 * self.random.random())
        if to is not None:
            self.exchanged_ms = now_ms
            self._put(Exchange(to))

    def exchange_failed(self, to: Address) -> list[Out]:
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
        self.next_seed_ms = now_ms + self.terms.period_ms * (5 if others else 2)
        lost = [seed for seed in self.seeds if seed != me and not self.roll.lives_at(seed)]
        for seed in self.random.sample(lost, min(len(lost), 1 if others else len(lost))):
            self._send(seed, Join)
        dead = [member.address for member in self.roll.gone.values() if member.rumour.state is State.DEAD]
        if dead:
            self._send(self.random.choice(dead), Join)

    def _tell_of_me(self, to: Address) -> None:
        self._put(Send(to, Roster(sender=self.me.name, run=self.me.run, gossip=[self.me])))

    def _tell_some(self, to: Address, reply: bool = False) -> None:
        """As much of what is known as a datagram holds, ourselves first, another part each time."""
        others = [member.rumour for member in self.members.values()]
        drawn = self.random.sample(others, min(len(others), GOSSIP_BYTES // RUMOUR_LEAST))
        part, room = [self.me], GOSSIP_BYTES - size_of(self.me)
        for rumour in drawn:
            if (room := room - size_of(rumour)) < 0:
                break
            part.append(rumour)
        whole = len(part) > len(others)
        roster = Roster(sender=self.me.name, run=self.me.run, gossip=part, reply=reply, whole=whole)
        self._put(Send(to, roster))

    # Small things.

    def _keep_time(self, now_ms: float) -> None:
        """Guards against a clock that was set back, and a loop that stalled: what is due moves along.

        Whoever slept must not find that all others are dead; it doubts itself.
        """
        by_ms = now_ms - self.last_ms
        self.last_ms = now_ms
        if by_ms < 0.0:
            self._shift(by_ms)
        elif by_ms > self.terms.period_ms * 3:
            self._shift(by_ms - self.terms.period_ms)
            self._ail(2)

    def _timeout(self) -> float:
        return self.terms.timeout_ms * (1 + self.health)

    def _ail(self, by: int) -> None:
        self.health = min(HEALTH_MOST, self.health + by)

    def _shift(self, by_ms: float) -> None:
        """Move all that is due, when our own time has stood still or gone astray."""
        self.next_ping_ms += by_ms
        self.next_exchange_ms += by_ms
        self.exchanged_ms += by_ms
        self.next_seed_ms += by_ms
        self.next_challenge_ms += by_ms
        if self.asking is not None:
            self.asking.sent_ms += by_ms
        for errand in self.errands.values():
            errand.due_ms += by_ms
        self.roll.shift(by_ms)

    def _send(self, to: Address, kind: type[Said], **more: object) -> None:
        gossip = self.gossip.take_rumours()
        if self.me not in gossip and kind is Join:
            gossip.append(self.me)
        news = self.gossip.take_news(gossip)
        message = kind(sender=self.me.name, run=self.me.run, gossip=gossip, news=news, **more)  # type: ignore[arg-type]
        self._put(Send(to, message))

    def _put(self, out: Out) -> None:
        self.out.append(out)

    def _take(self) -> list[Out]:
        out, self.out = self.out, []
        return out
