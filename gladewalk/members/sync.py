"""Full exchanges between two members, without I/O: what datagrams lost is made good over a stream.

    who asks                         who is asked
    Digest(hash of all it knows) ->
                                 <-  Whole(same) if its own hash is the same: that is all
                                 <-  Whole(all that it knows)
    Whole(all that it knows)     ->

In quiet times both know the same, and an exchange costs two short messages however many members there are.
"""

from __future__ import annotations

from .actions import Action
from .member_list import hash_of
from .messages import Digest, FullState, StreamMessage
from .swim import Membership


def digest_of(core: Membership) -> int:
    """63 bits of all members and of who claims what; findings, which are ever new, don't count."""
    return core.roll.digest ^ hash_of(core.me) ^ core.gossip.digest


def whole_of(core: Membership) -> FullState:
    """All that a member knows."""
    rumours = [core.me, *(member.rumour for member in core.members.values())]
    news = list(core.gossip.events.values())
    return FullState(
        sender=core.me.name,
        run_id=core.me.run_id,
        health_score=core.health_score,
        updates=rumours,
        events=news,
    )


def ask(core: Membership) -> Digest:
    """What an exchange begins with."""
    return Digest(sender=core.me.name, run_id=core.me.run_id, digest=digest_of(core))


def answer(core: Membership, asked: Digest) -> FullState:
    if asked.digest == digest_of(core):
        return FullState(sender=core.me.name, run_id=core.me.run_id, is_identical=True)
    return whole_of(core)


def take(core: Membership, told: StreamMessage, now_ms: float) -> tuple[FullState | None, list[Action]]:
    """Whoever asked hears the answer: what it says back, if anything, and what follows here."""
    if not isinstance(told, FullState) or told.is_identical:
        return None, []
    mine = whole_of(core)  # before what we hear: it needs nothing back that it has just told
    return mine, core.take_in(told, now_ms)
