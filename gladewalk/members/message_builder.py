"""What a member says: its messages, with what rides along on them. No I/O, and nothing decided."""

from __future__ import annotations

import random

from .actions import Action, Address, SendDatagram
from .config import MembershipConfig
from .dissemination import GOSSIP_BYTES, Gossip
from .member_list import Member, Roll
from .messages import DatagramMessage, Join, MemberState, MemberUpdate, PartialState, Ping, encoded_size_bytes
from .probes import Pings

RUMOUR_LEAST = 20  # bytes: no more of them than so fit into a datagram


class Speaker:
    """Who we are, whom we know, and what is to be sent; `Membership` decides what and when."""

    def __init__(self, me: MemberUpdate, terms: MembershipConfig, rng: random.Random) -> None:
        self.me, self.terms, self.random = me, terms, rng
        self.roll = Roll()
        self.members = self.roll.members  # to be read; `roll` alone changes it
        self.health_score = 0  # 0: well; each missed answer adds to it, each answer takes from it
        self.pings = Pings(terms)
        self.gossip = Gossip(terms, lambda: len(self.members))
        self.out: list[Action] = []

    def _challenge(self, member: Member, now_ms: float) -> None:
        """A ping that tells it what is said of it, beside all other gossip."""
        known, member.challenged_ms = member.rumour, now_ms
        ping = Ping(
            sender=self.me.name,
            run_id=self.me.run_id,
            health_score=self.health_score,
            updates=[known],
            target=known.name,
            target_run_id=known.run_id,
        )
        self._put(SendDatagram(member.address, ping))

    def _tell_suspect(self, name: str) -> None:
        """Who is thought dead or suspect hears so first (Lifeguard's buddies), and can refute it."""
        member = self.members.get(name)
        if member is not None and member.rumour.state is not MemberState.ALIVE:
            self.gossip.spread(member.rumour)

    def _tell_of_me(self, to: Address) -> None:
        me = self.me
        self._put(
            SendDatagram(
                to,
                PartialState(sender=me.name, run_id=me.run_id, health_score=self.health_score, updates=[me]),
            )
        )

    def _tell_some(self, to: Address, reply: bool = False) -> None:
        """As much of what is known as a datagram holds, ourselves first, another part each time."""
        others = [member.rumour for member in self.members.values()]
        drawn = self.random.sample(others, min(len(others), GOSSIP_BYTES // RUMOUR_LEAST))
        part, room = [self.me], GOSSIP_BYTES - encoded_size_bytes(self.me)
        for rumour in drawn:
            if (room := room - encoded_size_bytes(rumour)) < 0:
                break
            part.append(rumour)
        whole = len(part) > len(others)
        roster = PartialState(
            sender=self.me.name,
            run_id=self.me.run_id,
            health_score=self.health_score,
            updates=part,
            wants_reply=reply,
            is_complete=whole,
        )
        self._put(SendDatagram(to, roster))

    def _send(self, to: Address, kind: type[DatagramMessage], **more: object) -> None:
        gossip = self.gossip.take_rumours()
        if self.me not in gossip and kind is Join:
            gossip.append(self.me)
        news = self.gossip.take_news(gossip)
        said = {"sender": self.me.name, "run_id": self.me.run_id, "health_score": self.health_score, **more}
        self._put(SendDatagram(to, kind(updates=gossip, events=news, **said)))  # type: ignore[arg-type]

    def _put(self, out: Action) -> None:
        self.out.append(out)

    def _take(self) -> list[Action]:
        out, self.out = self.out, []
        return out
