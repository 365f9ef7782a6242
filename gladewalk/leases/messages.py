"""What directors say of leases, as msgpack arrays (one datagram each, sealed as members' are)."""

from __future__ import annotations

import msgspec


class Ask(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A candidate asks an elector for `duty` under `term`; a holder renews so, with its own term."""

    duty: str
    term: int
    candidate: str
    number: int  # of the candidate's round: answers to older rounds are ignored


class Grant(msgspec.Struct, frozen=True, array_like=True, tag=2):
    duty: str
    term: int
    candidate: str
    number: int
    elector: str


class Refuse(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """No, with what the elector knows: its highest term, who has it, for how much longer (a hint only)."""

    duty: str
    number: int
    elector: str
    highest: int
    holder: str
    left_ms: float


class Release(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The holder of `term` gives the duty up, to `to` if it names one; sent to every director."""

    duty: str
    term: int
    holder: str
    to: str = ""


Message = Ask | Grant | Refuse | Release
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """`msgspec.DecodeError` (a ValueError) for what is no message."""
    message: Message = _decoder.decode(data)
    return message
