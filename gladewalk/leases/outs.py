"""What the lease core asks its driver to do, in order: a `Save` before the `Send` that follows it."""

from __future__ import annotations

from dataclasses import dataclass

from .messages import Message


@dataclass(slots=True, frozen=True)
class Send:
    to: str  # a director's name; where it is dialled is the driver's business
    message: Message


@dataclass(slots=True, frozen=True)
class Save:
    """Make durable that `term` of `duty` went to `holder`, before anything after it is sent."""

    duty: str
    term: int
    holder: str


@dataclass(slots=True, frozen=True)
class Event:
    """For the log: granted, refused, won, renewed, expired, released, fenced."""

    kind: str
    duty: str
    term: int
    who: str


Out = Send | Save | Event
