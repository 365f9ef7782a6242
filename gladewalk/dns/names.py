"""The name form that carries a request, and the file that says where the DNS front listens.

    PART.[gGROUP.]OBJECT.CLASS.ZONE        3.g17.7f3a9c21e0b4d655.lot-video.cdn.example.

OBJECT is 1 to 16 hex digits, PART a decimal number, GROUP the object's purge group where the asker knows it.
A name without a group is taken to be in every group that was purged lately.
"""

from __future__ import annotations

import ipaddress
import re
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import dns.exception
import dns.name

from ..config import Address, ConfigError, read_address

PART = re.compile(rb"[0-9]{1,9}\Z")
GROUP = re.compile(rb"g([0-9]{1,5})\Z")
OBJECT = re.compile(rb"[0-9a-f]{1,16}\Z")


@dataclass(slots=True, frozen=True)
class Wanted:
    """What a name asks for."""

    class_name: str
    key: int
    part: int
    group: int | None


@dataclass(slots=True, frozen=True)
class DnsConfig:
    listen: Address
    zone: dns.name.Name
    own_address: str  # answered where the cache box must not be named
    transfers_per_answer: float  # how many transfers at a time one held answer may bring to a box
    wait_ms: float  # how long a question may wait for its answer


def read_name(name: dns.name.Name, zone: dns.name.Name, classes: frozenset[str]) -> Wanted | None:
    """The request that a name inside the zone carries; None if it is no name of the form."""
    labels = [label.lower() for label in name.relativize(zone).labels]
    group = None
    if len(labels) == 4:
        found = GROUP.match(labels.pop(1))
        if found is None:
            return None
        group = int(found[1])
    if len(labels) != 3:
        return None
    part, key, class_name = labels
    if not PART.match(part) or not OBJECT.match(key) or class_name.decode("latin-1") not in classes:
        return None
    return Wanted(class_name.decode(), int(key, 16), int(part), group)


def write_name(wanted: Wanted, zone: dns.name.Name) -> dns.name.Name:
    group = "" if wanted.group is None else f"g{wanted.group}."
    text = f"{wanted.part}.{group}{wanted.key:016x}.{wanted.class_name}"
    return dns.name.from_text(text, origin=zone)


def read_dns(raw: Mapping[str, Any], own_host: str, where: str) -> DnsConfig | None:
    """A table of settings; None where it says that the front is off. `where` begins the line of an error."""
    try:
        if not raw.get("enabled", True):
            return None
        config = DnsConfig(
            listen=read_address(raw.get("listen")),
            zone=dns.name.from_text(str(raw["zone"])),
            own_address=str(ipaddress.ip_address(str(raw.get("own_address") or own_host))),
            transfers_per_answer=float(raw.get("transfers_per_answer", 1.0)),
            wait_ms=float(raw.get("wait_ms", 1000.0)),
        )
    except KeyError as error:
        raise ConfigError(f"{where}: {error} is missing") from error
    except (ConfigError, ValueError, TypeError, dns.exception.DNSException) as error:
        raise ConfigError(f"{where}: {error}") from error
    if config.transfers_per_answer <= 0 or config.wait_ms <= 0:
        raise ConfigError(f"{where}: 'transfers_per_answer' and 'wait_ms' must be above 0")
    return config


def load_dns(path: str, own_host: str) -> DnsConfig | None:
    """The settings of a file that holds those of the DNS front alone."""
    try:
        return read_dns(tomllib.loads(Path(path).read_text(encoding="utf-8")), own_host, path)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror or error}") from error
    except ValueError as error:
        raise ConfigError(f"{path}: {error}") from error
