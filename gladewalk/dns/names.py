"""Names that exist in a zone by rule: routed names, and the empty names between them and the apex.

    PART.[gGROUP.]OBJECT.CLASS.ZONE        3.g17.7f3a9c21e0b4d655.lot-video.cdn.example.
    _http._tcp.PART.[gGROUP.]OBJECT.CLASS.ZONE       the same, for SRV (RFC 2782)
    b-HEX.ZONE                             the address in the hex digits, since an SRV target must be a name

OBJECT is 1 to 16 hex digits, PART a decimal number, GROUP the object's purge group if the client knows it.
A name without a group is assumed to be in every recently purged group. The names between a routed name and
the apex exist and have no records (RFC 8020): resolvers that minimise query names (RFC 9156) query them
first. No I/O.
"""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Callable
from dataclasses import dataclass

import dns.name

PART_PATTERN = re.compile(rb"[0-9]{1,9}\Z")
GROUP_PATTERN = re.compile(rb"g([0-9]{1,5})\Z")
OBJECT_PATTERN = re.compile(rb"[0-9a-f]{1,16}\Z")
ADDRESS_PATTERN = re.compile(rb"b-([0-9a-f]{8}|[0-9a-f]{32})\Z")

Labels = tuple[bytes, ...]  # relative to the zone, in lower case, the leftmost first


@dataclass(slots=True, frozen=True)
class ObjectName:
    """The part of an object that a routed name identifies."""

    class_name: str
    key: int
    part: int
    group: int | None


@dataclass(slots=True, frozen=True)
class RoutedName:
    """A name whose address the dispatcher chooses.

    Attributes:
        target: The part of an object that the name identifies.
        is_service: The name begins with `_http._tcp`, and is queried for SRV records (RFC 2782).
    """

    target: ObjectName
    is_service: bool = False


@dataclass(slots=True, frozen=True)
class AddressName:
    """A name made from one address."""

    address: str


@dataclass(slots=True, frozen=True)
class DirectorName:
    """Any other name below an open class: it resolves to the director itself."""


@dataclass(slots=True, frozen=True)
class EmptyNonTerminal:
    """A name that exists and has no records (RFC 8499, section 7)."""


RuleName = RoutedName | AddressName | DirectorName | EmptyNonTerminal


def _no_address(address: str) -> bool:
    return False


def _any_address(address: str) -> bool:
    return True


@dataclass(slots=True, frozen=True)
class NamingRules:
    """The rules by which names exist in a zone.

    Attributes:
        classes: Names of the request classes.
        open_classes: Classes below which any name but those of objects resolves to the director itself.
        is_known_address: Returns whether an address is a server's or the director's: its name exists.
        is_ready_address: Returns whether a known address may be given out: not while its server drains.
    """

    classes: frozenset[str]
    open_classes: frozenset[str] = frozenset()
    is_known_address: Callable[[str], bool] = _no_address
    is_ready_address: Callable[[str], bool] = _any_address

    def classify(self, labels: Labels) -> RuleName | None:
        """Returns the kind of a name; None if the name does not exist by rule."""
        if labels[:2] == (b"_http", b"_tcp"):
            inner = self._plain_routed(labels[2:])
            return RoutedName(inner.target, is_service=True) if inner is not None else None
        if labels[:1] == (b"_tcp",):
            return EmptyNonTerminal() if self._plain_routed(labels[1:]) is not None else None
        if len(labels) == 1 and (found := ADDRESS_PATTERN.match(labels[0])):
            address = str(ipaddress.ip_address(bytes.fromhex(found[1].decode())))
            return AddressName(address) if self.is_known_address(address) else None
        if not labels or labels[-1].decode("latin-1") not in self.classes:
            return None
        return self._classify_below_class(labels[:-1], labels[-1].decode("latin-1"))

    def _plain_routed(self, labels: Labels) -> RoutedName | None:
        """Returns a routed name other than a service name; None if the labels are not one."""
        inner = self.classify(labels)
        return inner if isinstance(inner, RoutedName) and not inner.is_service else None

    def _classify_below_class(self, labels: Labels, class_name: str) -> RuleName | None:
        if not labels:
            return EmptyNonTerminal()
        if not OBJECT_PATTERN.match(labels[-1]):
            return DirectorName() if class_name in self.open_classes else None
        if len(labels) == 1 or (len(labels) == 2 and GROUP_PATTERN.match(labels[0])):
            return EmptyNonTerminal()
        group = None
        if len(labels) == 3:
            found = GROUP_PATTERN.match(labels[1])
            if found is None:
                return None
            group = int(found[1])
        if len(labels) > 3 or not PART_PATTERN.match(labels[0]):
            return None
        return RoutedName(ObjectName(class_name, int(labels[-1], 16), int(labels[0]), group))


def relative_labels(name: dns.name.Name, zone: dns.name.Name) -> Labels:
    """Returns the labels of a name within a zone, relative to the zone and in lower case."""
    return tuple(label.lower() for label in name.relativize(zone).labels)


def address_name(address: str, zone: dns.name.Name) -> dns.name.Name:
    """Returns the name in a zone that resolves to an address."""
    packed = ipaddress.ip_address(address).packed.hex()
    return dns.name.Name((f"b-{packed}".encode(), *zone.labels))


def format_object_name(target: ObjectName, zone: dns.name.Name) -> dns.name.Name:
    """Returns the name in a zone that routes requests for a part of an object."""
    group = "" if target.group is None else f"g{target.group}."
    text = f"{target.part}.{group}{target.key:016x}.{target.class_name}"
    return dns.name.from_text(text, origin=zone)
