"""nginx's own forms of values: times, sizes, flags, addresses.

nginx.org, "Configuration file measurement units".
"""

from __future__ import annotations

import ipaddress
import re

DAY = 86_400_000.0
UNITS = {
    "y": 365 * DAY, "M": 30 * DAY, "w": 7 * DAY, "d": DAY, "h": DAY / 24, "m": 60_000.0, "s": 1_000.0,
    "ms": 1.0, "": 1_000.0,
}  # fmt: skip
ORDER = ("y", "M", "w", "d", "h", "m", "s", "ms")
TIME = re.compile(r"(\d{1,12})(ms|[yMwdhms]|)\s*")
SIZES = {"": 1, "k": 1024, "m": 1024**2, "g": 1024**3}
SIZE = re.compile(r"(\d{1,15})([kKmMgG]?)\Z")

Network = ipaddress.IPv4Network | ipaddress.IPv6Network


class BadValue(ValueError):
    """A value of no such form; the text says why."""


def read_ms(text: str) -> float:
    """`1m30s`, `500ms`, `10` (seconds): in ms. Units come once each, the greater first."""
    place, total, last = 0, 0.0, -1
    while place < len(text):
        found = TIME.match(text, place)
        if found is None:
            raise BadValue(f"'{text}' is not a time")
        unit = found[2]
        rank = ORDER.index(unit) if unit else ORDER.index("s")
        if rank <= last or (not unit and found.end() < len(text)):
            raise BadValue(f"'{text}' is not a time")
        total, last, place = total + int(found[1]) * UNITS[unit], rank, found.end()
    if not text:
        raise BadValue("a time is missing")
    return total


def read_size(text: str) -> int:
    """`64k`, `1m`: in bytes."""
    found = SIZE.match(text)
    if found is None:
        raise BadValue(f"'{text}' is not a size")
    return int(found[1]) * SIZES[found[2].lower()]


def read_flag(text: str) -> bool:
    if text.lower() not in ("on", "off"):
        raise BadValue(f"'{text}' is neither on nor off")
    return text.lower() == "on"


def read_count(text: str) -> int:
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        raise BadValue(f"'{text}' is not a whole number")
    return int(text)


def read_network(text: str) -> str:
    """An address or a network of `allow` and `deny`, as text of a form; `all` stays."""
    if text == "all":
        return text
    if text == "unix:":
        raise BadValue("clients over Unix sockets are not served")
    try:
        return str(ipaddress.ip_network(text, strict=False))
    except ValueError as error:
        raise BadValue(f"'{text}' is no address and no network") from error


def read_endpoint(text: str, port: int = 80) -> str:
    """`HOST[:PORT]` with a literal address, as `HOST:PORT`; IPv6 stays in its brackets."""
    if text.startswith("unix:"):
        raise BadValue("Unix sockets are not dialled")
    host, colon, tail = text.rpartition(":")
    if not colon or text.endswith("]"):
        host, tail = text, str(port)
    try:
        address = ipaddress.ip_address(host.strip("[]"))
        number = read_count(tail)
    except ValueError as error:
        raise BadValue(f"'{text}' is not a literal address: names are not looked up") from error
    if not 0 < number < 65_536:
        raise BadValue(f"'{text}': no such port")
    return f"[{address}]:{number}" if address.version == 6 else f"{address}:{number}"
