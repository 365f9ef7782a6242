"""Parses and normalises request targets as nginx does before it searches a location.

nginx.org, ngx_http_core_module, "location": "The matching is performed against a normalized URI, after
decoding the text encoded in the '%XX' form, resolving references to relative path components '.' and '..',
and possible compression of two or more adjacent slashes into a single slash."

Each character of a text represents one byte (latin-1).
"""

from __future__ import annotations

from dataclasses import dataclass

from .errors import RequestTargetError

HEX_DIGITS = frozenset(b"0123456789abcdefABCDEF")
# Control characters, blank and DEL. A decoded path may have them; a request line or a field must not.
UNSAFE_CHARS = frozenset({*range(0x21), 0x7F})
ESCAPED_IN_URI = frozenset({*UNSAFE_CHARS, *range(0x80, 0x100), ord("#"), ord("%"), ord("?")})
# Values that are put into a query have `&` and `+` encoded as well (NGX_ESCAPE_ARGS).
ESCAPED_IN_ARGS = ESCAPED_IN_URI | {ord("&"), ord("+")}
MAX_TARGET_BYTES = 16 * 1024
PERCENT = ord("%")


@dataclass(slots=True, frozen=True)
class Target:
    """A request target.

    Attributes:
        raw: The target as it was received.
        path: The path, decoded and normalised.
        args: The query as it was received, without the `?`.
        is_encoded: Whether the path had encoded characters; if so, it is encoded again when it is forwarded.
    """

    raw: str
    path: str
    args: str
    is_encoded: bool


def parse_target(raw: str, merge_slashes: bool = True) -> Target:
    """Parses a target in origin form, `/path?args`; raises `RequestTargetError`."""
    if not raw.startswith("/") or len(raw) > MAX_TARGET_BYTES:
        raise RequestTargetError("a target begins with '/'")
    if any(ord(char) in UNSAFE_CHARS for char in raw):
        raise RequestTargetError("a sign that no target may have")
    without_fragment, _, _ = raw.partition("#")
    path, _, args = without_fragment.partition("?")
    normalised = normalise_path(percent_decode(path), merge_slashes)
    return Target(raw, normalised, args, "%" in path)


def percent_decode(text: str) -> str:
    """Decodes `%XX`; raises `RequestTargetError` for `%00` and for a `%` without two digits."""
    if "%" not in text:
        return text
    data, decoded, position = text.encode("latin-1"), bytearray(), 0
    while position < len(data):
        if data[position] != PERCENT:
            decoded.append(data[position])
            position += 1
            continue
        digits = data[position + 1 : position + 3]
        if len(digits) < 2 or not HEX_DIGITS.issuperset(digits):
            raise RequestTargetError("'%' without two digits behind it")
        value = int(digits, 16)
        if value == 0:
            raise RequestTargetError("'%00' in a path")
        decoded.append(value)
        position += 3
    return decoded.decode("latin-1")


def normalise_path(path: str, merge_slashes: bool = True) -> str:
    """Resolves `.` and `..` segments and, with `merge_slashes`, replaces runs of slashes by one slash.

    Raises:
        RequestTargetError: A `..` leads above the root.
    """
    if "//" not in path and "/." not in path:
        return path
    segments = path.split("/")[1:]
    resolved: list[str] = []
    last = len(segments) - 1
    for index, segment in enumerate(segments):
        if segment == "" and merge_slashes and index < last:
            continue
        if segment not in (".", ".."):
            resolved.append(segment)
            continue
        if segment == "..":
            if not resolved:
                raise RequestTargetError("a path that leaves the root")
            resolved.pop()
        if index == last:
            resolved.append("")
    return "/" + "/".join(resolved)


def percent_encode(path: str, escaped: frozenset[int] = ESCAPED_IN_URI) -> str:
    """Percent-encodes a decoded path for use in a request line (NGX_ESCAPE_URI)."""
    if not any(ord(char) in escaped for char in path):
        return path
    return "".join(f"%{ord(char):02X}" if ord(char) in escaped else char for char in path)
