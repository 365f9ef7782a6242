"""Request targets as nginx reads them: decoded, dots and doubled slashes resolved, before any location is
sought.

nginx.org, ngx_http_core_module, "location": "The matching is performed against a normalized URI, after
decoding the text encoded in the '%XX' form, resolving references to relative path components '.' and '..',
and possible compression of two or more adjacent slashes into a single slash."
"""

from __future__ import annotations

from dataclasses import dataclass

HEX = frozenset(b"0123456789abcdefABCDEF")
ESCAPED = frozenset({*range(0x21), 0x7F, *range(0x80, 0x100), ord("#"), ord("%"), ord("?")})
# What no request line and no field may hold, whatever the rules made of a decoded path.
UNSAFE = frozenset({*range(0x21), 0x7F})
# In a query's parameter or anything else put into a new query: `&` and `+` as well (NGX_ESCAPE_ARGS).
ESCAPED_ARGS = ESCAPED | {ord("&"), ord("+")}
TARGET_MOST = 16 * 1024


class BadTarget(ValueError):
    """A target that nginx answers with 400."""


@dataclass(slots=True, frozen=True)
class Target:
    """`raw` as it came, `path` decoded (bytes in latin-1), `args` as they came, without the `?`."""

    raw: str
    path: str
    args: str
    quoted: bool  # something in the path was encoded: what is sent on is encoded anew


def read_target(raw: str, merge_slashes: bool = True) -> Target:
    """A target in origin form, `/path?args`; `BadTarget` for one that can't be read."""
    if not raw.startswith("/") or len(raw) > TARGET_MOST:
        raise BadTarget("a target begins with '/'")
    if any(ord(sign) <= 0x20 or ord(sign) == 0x7F for sign in raw):
        raise BadTarget("a sign that no target may have")
    whole, _, _ = raw.partition("#")
    text, _, args = whole.partition("?")
    decoded = decode(text)
    return Target(raw, resolve(decoded, merge_slashes), args, "%" in text)


def decode(text: str) -> str:
    """`%XX` as the byte it stands for. `%00` and what is no pair of digits are faults."""
    if "%" not in text:
        return text
    data, out, place = text.encode("latin-1"), bytearray(), 0
    while place < len(data):
        sign = data[place]
        if sign != 0x25:
            out.append(sign)
            place += 1
            continue
        pair = data[place + 1 : place + 3]
        if len(pair) < 2 or not HEX.issuperset(pair):
            raise BadTarget("'%' without two digits behind it")
        value = int(pair, 16)
        if value == 0:
            raise BadTarget("'%00' in a path")
        out.append(value)
        place += 3
    return out.decode("latin-1")


def resolve(path: str, merge_slashes: bool = True) -> str:
    """Dots and, if wanted, doubled slashes resolved; a path that leaves the root is a fault."""
    if "//" not in path and "/." not in path:
        return path
    parts = path.split("/")[1:]
    out: list[str] = []
    last = len(parts) - 1
    for number, part in enumerate(parts):
        if part == "" and merge_slashes and number < last:
            continue
        if part == ".":
            if number == last:
                out.append("")
        elif part == "..":
            if not out:
                raise BadTarget("a path that leaves the root")
            out.pop()
            if number == last:
                out.append("")
        else:
            out.append(part)
    return "/" + "/".join(out)


def escape(path: str, signs: frozenset[int] = ESCAPED) -> str:
    """A decoded path as it may stand in a request line again (NGX_ESCAPE_URI)."""
    if not any(ord(sign) in signs for sign in path):
        return path
    return "".join(f"%{ord(sign):02X}" if ord(sign) in signs else sign for sign in path)
