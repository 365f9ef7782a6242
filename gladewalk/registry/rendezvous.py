"""Weighted rendezvous hashing: which of several servers an object belongs to, agreed without a word."""

from __future__ import annotations

import math

MASK = (1 << 64) - 1


def mix(value: int) -> int:
    """A stable 64-bit mix of an integer (the splitmix64 finaliser)."""
    value = (value + 0x9E3779B97F4A7C15) & MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & MASK
    return value ^ (value >> 31)


def salt_of(name: str) -> int:
    """A server's own part of the hash."""
    return mix(int.from_bytes(name.encode(), "big") & MASK ^ mix(len(name)))


def seed_of(key: int, part: int) -> int:
    """An object's own part of the hash."""
    return mix(key * 1_000_003 + part)


def score(seed: int, salt: int, weight: float) -> float:
    """The server with the highest score has the object: each for its weight's part of all objects."""
    unit = (mix(seed ^ salt) + 0.5) / 2.0**64
    return weight / -math.log(min(unit, 1.0 - 2.0**-53))
