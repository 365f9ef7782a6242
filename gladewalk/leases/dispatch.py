"""Which side of a director a vote is for: its elector's or its candidate's. No I/O."""

from __future__ import annotations

from .candidate import Candidate
from .messages import Ask, Grant, Refuse, Sound, Standing, Vote
from .outputs import Out
from .voter import Elector


def hear(elector: Elector, candidate: Candidate, message: Vote, now_ms: float) -> list[Out]:
    if isinstance(message, Ask):
        return elector.ask(message, now_ms)
    if isinstance(message, Sound):
        return elector.sound(message, now_ms)
    if isinstance(message, Standing):  # a `Refuse` by its fields: told apart first
        return candidate.standing(message, now_ms)
    if isinstance(message, Grant):
        return candidate.grant(message, now_ms)
    if isinstance(message, Refuse):
        return candidate.refuse(message, now_ms)
    return elector.release(message, now_ms) + candidate.released(message, now_ms)
