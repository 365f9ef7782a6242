"""`map` and `split_clients`: variables whose values are chosen by other variables.

nginx.org, ngx_http_map_module and ngx_http_split_clients_module.
"""

from __future__ import annotations

from .hosts import HostNames
from .regexes import Regex
from .variables import MapRule, State, Template

MASK = 0xFFFFFFFF


class Map(MapRule):
    """Exact values (in whichever case), or names with a mask if `hostnames`; then regexes in order."""

    def __init__(
        self, source: Template, exact: dict[str, Template], hosts: HostNames[Template] | None,
        regexes: tuple[tuple[Regex, Template], ...], default: Template,
    ) -> None:  # fmt: skip
        self.source, self.exact, self.hosts = source, exact, hosts
        self.regexes, self.default = regexes, default

    def value(self, state: State) -> str:
        text = self.source.fill(state)
        return self._chosen(text, state).fill(state)

    def _chosen(self, text: str, state: State) -> Template:
        lower = text.lower()
        if self.hosts is not None:
            found = self.hosts.find(lower.rstrip("."), regexes=False)
            if found is not None:
                return found
        elif lower in self.exact:
            return self.exact[lower]
        for regex, template in self.regexes:
            matched = regex.match(text)
            if matched is not None:
                state.captured(*matched)
                return template
        return self.default


class Split(MapRule):
    """Parts of a 32-bit hash's range, in order; what no part takes is empty."""

    def __init__(self, source: Template, parts: tuple[tuple[int, Template], ...]) -> None:
        self.source, self.parts = source, parts  # each with the value under which its range ends; 0: the rest

    def value(self, state: State) -> str:
        hashed = murmur2(self.source.fill(state).encode("latin-1", "replace"))
        for end, template in self.parts:
            if hashed < end or end == 0:
                return template.fill(state)
        return ""


def split_ends(percents: list[int | None]) -> list[int]:
    """The ends of ranges for parts in hundredths of a per cent; None stands for `*`, the rest."""
    total, ends = 0, []
    for percent in percents:
        if percent is None:
            ends.append(0)
            continue
        total += percent
        ends.append((0xFFFFFFFF * total) // 10_000)
    return ends


def murmur2(data: bytes) -> int:
    """MurmurHash2 of 32 bits with the length as its seed, which is what `split_clients` hashes by."""
    length = len(data)
    hashed, place = length & MASK, 0
    while length >= 4:
        k = int.from_bytes(data[place : place + 4], "little")
        k = (k * 0x5BD1E995) & MASK
        k ^= k >> 24
        k = (k * 0x5BD1E995) & MASK
        hashed = ((hashed * 0x5BD1E995) & MASK) ^ k
        place += 4
        length -= 4
    if length:
        hashed ^= int.from_bytes(data[place:], "little")
        hashed = (hashed * 0x5BD1E995) & MASK
    hashed ^= hashed >> 13
    hashed = (hashed * 0x5BD1E995) & MASK
    return hashed ^ (hashed >> 15)
