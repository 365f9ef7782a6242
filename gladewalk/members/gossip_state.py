"""What a member makes of what it hears of others and of itself. No I/O; `Membership` decides when.

SWIM's rumours: a later incarnation outweighs an earlier one, at the same one the worse state counts, and only
the member itself can take a suspicion back, with a later incarnation.
"""

from __future__ import annotations

import msgspec

from .actions import (
    Address,
    MemberChange,
    MemberChanged,
    ProbeOutcome,
    SendDatagram,
    StartConfirmationProbe,
    StartSync,
)
from .loop_delay import Lateness
from .member_list import Member
from .message_builder import Speaker
from .messages import Ack, ConfirmationProbe, Join, MemberState, MemberUpdate, Message, PingRequest
from .suspicion import believes_death, knocks, least_ms, runs_out_ms

HEALTH_MOST = 8  # how far a member that misses answers may stretch its times (Lifeguard)


class Hearing(Speaker):
    """One member's view of the others, as rumours change it."""

    late: Lateness
    last_ms: float  # the time, as far as is known
    round: list[str]  # who is pinged next, from the end
    next_exchange_ms: float
    exchanged_ms: float  # when an exchange was last begun
    answered_ms: float  # when whoever accused us was last answered

    def hear(self, rumour: MemberUpdate, now_ms: float, sender: str = "", doubtful: bool = False) -> None:
        """One rumour: believed if it outweighs what is known. `sender`: who told it, if not ourselves."""
        if rumour.name == self.me.name:
            return self._hear_of_me(rumour)
        known = self.members.get(rumour.name)
        if known is None:
            if len(self.members) < self.terms.max_members:
                self._meet(rumour, now_ms)
            return
        if (
            sender
            and rumour.state is MemberState.DEAD
            and known.live
            and self._outweighs(rumour, known.rumour)
            and not believes_death(known, self.terms, doubtful, now_ms)
        ):
            return self._doubt_death(known, rumour, sender, now_ms)
        if rumour.state is MemberState.SUSPECT and self._confirms(known, rumour, doubtful):
            return
        if sender and rumour.state is MemberState.SUSPECT and rumour.incarnation < known.rumour.incarnation:
            self._correct(sender, known)
        if self._outweighs(rumour, known.rumour):
            self._believe(known, rumour, now_ms)

    def _doubt_death(self, known: Member, rumour: MemberUpdate, sender: str, now_ms: float) -> None:
        """Another's word against ours, or from one that doubts itself: the member is asked, not buried."""
        suspicion = msgspec.structs.replace(
            rumour, state=MemberState.SUSPECT, suspected_by=rumour.suspected_by or sender
        )
        if not self._confirms(known, suspicion) and self._outweighs(suspicion, known.rumour):
            self._believe(known, suspicion, now_ms)
        known.doubted = True
        if now_ms >= known.challenged_ms + self.terms.ping_period_ms:
            self._challenge(known, now_ms)
        if known.outcome is ProbeOutcome.SILENT:  # it may have been killed since we knocked
            self._knock(known)

    def _meet_again(self, member: Member, now_ms: float) -> None:
        """One that is held dead speaks: it hears so at once, and both sides tell all that they know."""
        if now_ms < member.challenged_ms + self.terms.ping_period_ms:
            return
        self._challenge(member, now_ms)
        # A whole exchange costs by the members: in a large fleet the first few that meet tell the rest.
        if now_ms >= self.exchanged_ms + self.terms.ping_period_ms * max(1.0, self.roll.live_count / 32.0):
            self._exchange_with(member.address, now_ms)

    def _outweighs(self, new: MemberUpdate, old: MemberUpdate) -> bool:
        """The later incarnation; at the same one the worse state. Only a later one revives a dead run."""
        if new.incarnation != old.incarnation:
            return new.incarnation > old.incarnation
        return new.run_id == old.run_id and new.state > old.state

    def _meet(self, rumour: MemberUpdate, now_ms: float) -> None:
        member = self.roll.add(rumour, now_ms)
        if rumour.state is MemberState.SUSPECT:
            self._accuse(member, rumour)
        if member.live:
            self._put(MemberChanged(MemberChange.JOINED, rumour.name))
            # Somewhere in the rest of the round, as SWIM has it: nobody waits for longer than a round.
            self.round.insert(self.random.randrange(len(self.round) + 1), rumour.name)
        self.gossip.spread(rumour)

    def _believe(self, known: Member, rumour: MemberUpdate, now_ms: float) -> None:
        was, was_live = known.rumour.state, known.live
        self.roll.set(known, rumour, now_ms)
        if rumour.state is MemberState.SUSPECT:
            self._accuse(known, rumour)
        self.gossip.spread(rumour)
        if rumour.state is MemberState.ALIVE and not was_live:
            known.heard_ms = now_ms
            self._put(MemberChanged(MemberChange.JOINED, rumour.name))
        elif rumour.state is MemberState.ALIVE and was is MemberState.SUSPECT:
            self._put(MemberChanged(MemberChange.CLEARED, rumour.name))
        elif rumour.state is MemberState.SUSPECT and was is not MemberState.SUSPECT:
            self._put(MemberChanged(MemberChange.SUSPECTED, rumour.name))
        elif was_live and rumour.state in (MemberState.DEAD, MemberState.LEFT):
            self._put(
                MemberChanged(
                    MemberChange.DIED if rumour.state is MemberState.DEAD else MemberChange.LEFT, rumour.name
                )
            )

    def _confirms(self, known: Member, rumour: MemberUpdate, doubtful: bool = False) -> bool:
        """Whether we have this suspicion already: one more who holds it shortens its time (Lifeguard)."""
        same = known.suspect and known.rumour.incarnation == rumour.incarnation
        new = (
            rumour.suspected_by not in known.accusers
            and len(known.accusers) <= self.terms.suspicion_confirmations
        )
        if same and new and not doubtful:
            self._accuse(known, rumour)
            self.gossip.spread(rumour)
        return same

    def _accuse(self, member: Member, rumour: MemberUpdate) -> None:
        """One more who suspects it: when that runs out, and a knock if we have not knocked yet."""
        member.accusers.add(rumour.suspected_by)
        count = self.roll.live_count + 1
        member.dead_at_ms = runs_out_ms(member, self.terms, count, self.health_score, self.pings.answer_ms)
        if member.outcome is None:
            self._knock(member)

    def _knock(self, member: Member, wait_ms: float = 0.0) -> None:
        count, rumour = self.roll.live_count + 1, member.rumour
        if member.knocking or not (member.doubted or knocks(member, self.me.name, count)):
            return
        member.knocking = True
        message = ConfirmationProbe(
            sender=self.me.name, run_id=self.me.run_id, health_score=self.health_score, updates=[rumour]
        )
        usual_ms = least_ms(self.terms, 1, self.pings.answer_ms) + self.late.grace_ms(self.last_ms)
        self._put(
            StartConfirmationProbe(member.address, rumour.name, rumour.run_id, wait_ms or usual_ms, message)
        )

    def _hear_of_me(self, rumour: MemberUpdate) -> None:
        """Refute what is untrue: with a higher incarnation than it was said with."""
        stale = rumour.run_id != self.me.run_id
        if rumour.incarnation < self.me.incarnation:
            if rumour.state is not MemberState.ALIVE:  # refuted long since, and somebody has missed it
                self.gossip.spread(self.me)
                self._answer_accuser(rumour)
            return
        if rumour.state is MemberState.ALIVE and not stale:
            return
        self.me = msgspec.structs.replace(self.me, incarnation=rumour.incarnation + 1)
        self.gossip.spread(self.me)
        address = rumour.host, rumour.port
        if stale and rumour.state is MemberState.ALIVE and address != (self.me.host, self.me.port):
            self._send(address, Join)  # our last run, or another under our name: it will tell
        if rumour.state is not MemberState.ALIVE and not stale:
            self._answer_accuser(rumour)
            self._put(MemberChanged(MemberChange.REFUTED, self.me.name))
            self._ail(1)  # others can't hear us: perhaps it is we who are slow

    def _same_name(self, message: Message, source: Address) -> None:
        """Another speaks under our name right now. The one that started first keeps it."""
        if message.run_id < self.me.run_id:
            self.active = False
            self._put(MemberChanged(MemberChange.NAME_TAKEN, self.me.name))
        else:  # it hears of us by this, and goes
            self._tell_of_me(source)

    def _correct(self, sender: str, known: Member) -> None:
        """Who still holds a suspicion that was refuted hears so at once: gossip may have passed it over."""
        accuser = self.members.get(sender)
        if accuser is not None and known.rumour.state is MemberState.ALIVE:
            self._carry(accuser, known.rumour)

    def _ask_others(self, suspect: Member) -> None:
        """Before a verdict: whoever knows better corrects us.

        Guards against a refutation that gossip did not bring: each member passes a rumour on a few times, to
        whom it meets, and one that cannot hear the suspect itself may be passed over.
        """
        suspect.asked = True
        for helper in self._helpers(suspect):
            self._carry(helper, suspect.rumour)
        if suspect.outcome is ProbeOutcome.UNREACHABLE:  # its path may have healed since we knocked
            self._knock(suspect, self.pings.timeout_ms(0) + self.late.ms(self.last_ms))

    def _helpers(self, but: Member) -> list[Member]:
        """Go-betweens: some of those that nobody suspects, and not the one that it is about."""
        others = [m for m in self.members.values() if m is not but and m.rumour.state is MemberState.ALIVE]
        return self.random.sample(others, min(len(others), self.terms.indirect_ping_members))

    def _carry(self, to: Member, rumour: MemberUpdate) -> None:
        """One rumour to one member; an answer to nothing, which nobody awaits."""
        me = self.me
        said = Ack(
            sender=me.name, run_id=me.run_id, health_score=self.health_score, updates=[rumour], sequence=0
        )
        self._put(SendDatagram(to.address, said))

    def _answer_accuser(self, rumour: MemberUpdate) -> None:
        """Who accuses us hears at once that we live: from us, and through others, once a period at most.

        Guards against a path that is cut one way, ours to the accuser: it is told what it can't hear from us,
        and a refutation that rode on gossip alone came now and then after its verdict.
        """
        accuser = self.members.get(rumour.suspected_by)
        if accuser is None or not accuser.live or self.last_ms < self.answered_ms + self.terms.ping_period_ms:
            return
        self.answered_ms = self.last_ms
        self._tell_of_me(accuser.address)
        for helper in self._helpers(accuser):
            ask = PingRequest(  # of no number: what comes back of it is not awaited
                sender=self.me.name,
                run_id=self.me.run_id,
                health_score=self.health_score,
                updates=[self.me],
                sequence=0,
                target=accuser.rumour.name,
                target_run_id=accuser.rumour.run_id,
                host=accuser.rumour.host,
                port=accuser.rumour.port,
            )
            self._put(SendDatagram(helper.address, ask))

    def _ail(self, by: int) -> None:
        self.health_score = min(HEALTH_MOST, self.health_score + by)

    def _exchange_with(self, to: Address | None, now_ms: float) -> None:
        self.next_exchange_ms = now_ms + self.terms.sync_interval_ms * (0.75 + 0.5 * self.random.random())
        if to is not None:
            self.exchanged_ms = now_ms
            self._put(StartSync(to))
