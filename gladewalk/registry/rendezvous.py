"""Weighted rendezvous hashing (Thaler and Ravishankar, 1998; Schindelhauer and Schomaker, 2005).

All dispatchers that know the same servers map an object to the same server, without communication.
"""

from __future__ import annotations

import math

MASK_64 = (1 << 64) - 1
MAX_UNIT = 1.0 - 2.0**-53


def mix64(value: int) -> int:
    """A stable 64-bit hash of an integer: the finalizer of SplitMix64 (Steele et al., 2014)."""
    value = (value + 0x9E3779B97F4A7C15) & MASK_64
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & MASK_64
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & MASK_64
    return value ^ (value >> 31)


def server_salt(name: str) -> int:
    """The server's input to the hash."""
    return mix64(int.from_bytes(name.encode(), "big") & MASK_64 ^ mix64(len(name)))


def object_seed(key: int, part: int) -> int:
    """The object's input to the hash."""
    return mix64(key * 1_000_003 + part)


def weighted_score(seed: int, salt: int, weight: float) -> float:
    """A server's score for an object, whose home is the server with the highest score.

    Each server is home to a fraction of all objects that is proportional to its weight.
    """
    unit = (mix64(seed ^ salt) + 0.5) / 2.0**64
    return weight / -math.log(min(unit, MAX_UNIT))
