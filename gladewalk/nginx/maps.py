"""Evaluates the variables of `map` and `split_clients`, whose values depend on other variables.

Source: nginx.org, ngx_http_map_module and ngx_http_split_clients_module.
"""

from __future__ import annotations

from collections.abc import Sequence

from .hosts import HostNameMap
from .regexes import Regex
from .variables import RequestState, Template

UINT32_MAX = 0xFFFFFFFF
MURMUR2_MULTIPLIER = 0x5BD1E995
MURMUR2_SHIFT = 24
WHOLE_IN_HUNDREDTHS = 10_000  # 100 %, in hundredths of a per cent
REST = 0  # the range end that marks the part `*`, which takes the rest of the hash range


class MapVariable:
    """A variable of `map`: looks up exact values, ignoring case, or host names; then tries regexes.

    The regexes are tried in the order of the file.
    """

    def __init__(
        self,
        source: Template,
        exact: dict[str, Template],
        host_names: HostNameMap[Template] | None,
        regexes: tuple[tuple[Regex, Template], ...],
        default: Template,
    ) -> None:
        """Creates the variable; a map with `hostnames` uses `host_names`, every other map uses `exact`."""
        self._source, self._exact, self._host_names = source, exact, host_names
        self._regexes, self._default = regexes, default

    def value(self, state: RequestState) -> str:
        """Returns the value for a request."""
        return self._choose(self._source.render(state), state).render(state)

    def _choose(self, text: str, state: RequestState) -> Template:
        lower = text.lower()
        if self._host_names is not None:
            found = self._host_names.find_name(lower.rstrip("."))
            if found is not None:
                return found
        elif lower in self._exact:
            return self._exact[lower]
        for regex, template in self._regexes:
            matched = regex.match(text)
            if matched is not None:
                state.set_captures(matched)
                return template
        return self._default


class SplitVariable:
    """A variable of `split_clients`: the part of the hash range that a 32-bit hash is in gives the value.

    The value is empty for a hash that is in none of the parts.
    """

    def __init__(self, source: Template, parts: tuple[tuple[int, Template], ...]) -> None:
        """Creates the variable from its parts: the exclusive end of each range, or `REST`, and the value."""
        self._source, self._parts = source, parts

    def value(self, state: RequestState) -> str:
        """Returns the value for a request."""
        hashed = murmur2(self._source.render(state).encode("latin-1", "replace"))
        for end, template in self._parts:
            if hashed < end or end == REST:
                return template.render(state)
        return ""


def split_range_ends(hundredths: Sequence[int | None]) -> list[int]:
    """Returns the ends of the hash ranges for parts in hundredths of a per cent; None is the rest (`*`)."""
    total, ends = 0, []
    for part in hundredths:
        if part is None:
            ends.append(REST)
            continue
        total += part
        ends.append((UINT32_MAX * total) // WHOLE_IN_HUNDREDTHS)
    return ends


def murmur2(data: bytes) -> int:
    """Returns the 32-bit MurmurHash2 with the length as its seed, the hash that `split_clients` uses."""
    hashed = len(data) & UINT32_MAX
    aligned_length = len(data) - len(data) % 4
    for position in range(0, aligned_length, 4):
        word = int.from_bytes(data[position : position + 4], "little")
        word = (word * MURMUR2_MULTIPLIER) & UINT32_MAX
        word ^= word >> MURMUR2_SHIFT
        word = (word * MURMUR2_MULTIPLIER) & UINT32_MAX
        hashed = ((hashed * MURMUR2_MULTIPLIER) & UINT32_MAX) ^ word
    if aligned_length < len(data):
        hashed ^= int.from_bytes(data[aligned_length:], "little")
        hashed = (hashed * MURMUR2_MULTIPLIER) & UINT32_MAX
    hashed ^= hashed >> 13
    hashed = (hashed * MURMUR2_MULTIPLIER) & UINT32_MAX
    return hashed ^ (hashed >> 15)
