"""The names that the zone has by rule: those that carry a request, and what lies between them and the apex.

    PART.[gGROUP.]OBJECT.CLASS.ZONE        3.g17.7f3a9c21e0b4d655.lot-video.cdn.example.
    _http._tcp.PART.[gGROUP.]OBJECT.CLASS.ZONE       the same, for SRV
    b-HEX.ZONE                             the address that the hex digits say, as SRV needs a name for a box

OBJECT is 1 to 16 hex digits, PART a decimal number, GROUP the object's purge group where the asker knows it.
A name without a group is taken to be in every group that was purged lately. Names between exist and are empty
(RFC 8020): resolvers that minimise names ask for them first. No I/O.
"""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Callable
from dataclasses import dataclass

import dns.name

PART = re.compile(rb"[0-9]{1,9}\Z")
GROUP = re.compile(rb"g([0-9]{1,5})\Z")
OBJECT = re.compile(rb"[0-9a-f]{1,16}\Z")
BOX = re.compile(rb"b-([0-9a-f]{8}|[0-9a-f]{32})\Z")

Labels = tuple[bytes, ...]  # relative to the zone, in lower case, the leftmost first


@dataclass(slots=True, frozen=True)
class Wanted:
    """What a name asks for."""

    class_name: str
    key: int
    part: int
    group: int | None


@dataclass(slots=True, frozen=True)
class Routed:
    """A name whose address the core decides. `service`: it is asked for by SRV (RFC 2782)."""

    wanted: Wanted
    service: bool = False


@dataclass(slots=True, frozen=True)
class Box:
    """A name for one address."""

    address: str


@dataclass(slots=True, frozen=True)
class Own:
    """Any other name below an open class: the director itself fetches what is asked for there."""


@dataclass(slots=True, frozen=True)
class Empty:
    """An empty non-terminal: it exists, and has no data."""


Virtual = Routed | Box | Own | Empty


@dataclass(slots=True, frozen=True)
class Rules:
    """What the names of a zone depend on."""

    classes: frozenset[str]
    open_classes: frozenset[str] = frozenset()
    is_box: Callable[[str], bool] = lambda address: False  # whether an address is one of ours

    def read(self, labels: Labels) -> Virtual | None:
        """What a name is by rule; None if by rule there is none."""
        if labels[:2] == (b"_http", b"_tcp"):
            inner = self.read(labels[2:])
            return Routed(inner.wanted, True) if isinstance(inner, Routed) and not inner.service else None
        if labels[:1] == (b"_tcp",):
            inner = self.read(labels[1:])
            return Empty() if isinstance(inner, Routed) and not inner.service else None
        if len(labels) == 1 and (found := BOX.match(labels[0])):
            address = str(ipaddress.ip_address(bytes.fromhex(found[1].decode())))
            return Box(address) if self.is_box(address) else None
        if not labels or labels[-1].decode("latin-1") not in self.classes:
            return None
        return self._below_class(labels[:-1], labels[-1].decode("latin-1"))

    def _below_class(self, rest: Labels, class_name: str) -> Virtual | None:
        if not rest:
            return Empty()
        if not OBJECT.match(rest[-1]):
            return Own() if class_name in self.open_classes else None
        if len(rest) == 1 or (len(rest) == 2 and GROUP.match(rest[0])):
            return Empty()
        group = None
        if len(rest) == 3:
            found = GROUP.match(rest[1])
            if found is None:
                return None
            group = int(found[1])
        if len(rest) > 3 or not PART.match(rest[0]):
            return None
        return Routed(Wanted(class_name, int(rest[-1], 16), int(rest[0]), group))


def labels_of(name: dns.name.Name, zone: dns.name.Name) -> Labels:
    """A name within a zone, relative to it."""
    return tuple(label.lower() for label in name.relativize(zone).labels)


def box_name(address: str, zone: dns.name.Name) -> dns.name.Name:
    packed = ipaddress.ip_address(address).packed.hex()
    return dns.name.Name((f"b-{packed}".encode(), *zone.labels))


def write_name(wanted: Wanted, zone: dns.name.Name) -> dns.name.Name:
    group = "" if wanted.group is None else f"g{wanted.group}."
    text = f"{wanted.part}.{group}{wanted.key:016x}.{wanted.class_name}"
    return dns.name.from_text(text, origin=zone)
