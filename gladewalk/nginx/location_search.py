"""Which location a URI belongs to: nginx's search, compiled, in a time bounded by the table's size.

ngx_http_core_module, "location", and the order of `ngx_http_core_find_location`: an exact match ends the
search; else the longest prefix is remembered and *its* nested locations are searched, their regexes in the
order of the file; then, unless that prefix has `^~`, the regexes of this level; else the prefix stands.
"""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, field
from enum import Enum

from .regexes import Regex
from .table import Place
from .variables import State


class Found(Enum):
    """As nginx's own codes of the search."""

    NOTHING = 0
    EXACT = 1  # or a regex: the search is over
    PREFIX = 2  # the best so far: outer regexes go before it, unless `^~`
    WITH_SLASH = 3  # the URI wants a `/` at its end: a redirect


@dataclass(slots=True, eq=False)
class Location:
    """A compiled location; `place` is its row, `rules` what the router has compiled of it."""

    place: Place
    regex: Regex | None
    level: Level
    rules: object = None


class Level:
    """The locations beside one another in a server, or nested in one location."""

    def __init__(self) -> None:
        self.exact: dict[str, Location] = {}
        self.prefixes: dict[str, Location] = {}
        self.names: list[str] = []  # of the prefixes, sorted
        self.shorter: dict[str, str | None] = {}  # prefix -> the longest other one that it begins with
        self.with_slash: set[str] = set()
        self.regexes: list[Location] = []

    def add(self, location: Location) -> None:
        """`ValueError` for a second location of the same pattern."""
        place = location.place
        if location.regex is not None:
            self.regexes.append(location)
            return
        kind = self.exact if place.kind == "=" else self.prefixes
        if place.pattern in kind:
            raise ValueError(f"duplicate location '{place.pattern}'")
        kind[place.pattern] = location
        if place.pattern.endswith("/") and place.upstream:
            self.with_slash.add(place.pattern)

    def close(self) -> None:
        """Once all are there."""
        self.names = sorted(self.prefixes)
        stack: list[str] = []
        for name in self.names:
            while stack and not name.startswith(stack[-1]):
                stack.pop()
            self.shorter[name] = stack[-1] if stack else None
            stack.append(name)

    def longest(self, uri: str) -> Location | None:
        """The location of the longest prefix: the greatest name up to the URI, or one that it begins with."""
        place = bisect_right(self.names, uri)
        name = self.names[place - 1] if place else None
        while name is not None and not uri.startswith(name):
            name = self.shorter[name]
        return self.prefixes[name] if name is not None else None


@dataclass(slots=True)
class Search:
    """One search and, if wanted, what it looked at."""

    state: State
    trace: list[str] | None = None
    best: Location | None = None
    depth: int = field(default=0)

    def run(self, level: Level) -> Found:
        """Where the search ends; the location is `best`."""
        uri = self.state.uri
        found = self._static(level, uri)
        no_regex = False
        if found is Found.PREFIX:
            assert self.best is not None
            no_regex = self.best.place.kind == "^~"
            inner = self._nested(self.best)
            if inner in (Found.EXACT, Found.WITH_SLASH):
                return inner
        elif found is not Found.NOTHING:
            return found
        if no_regex:
            if level.regexes:
                self._say("  '^~': the regexes beside it are not looked at")
            return found
        for location in level.regexes:
            assert location.regex is not None
            matched = location.regex.match(uri)
            self._say(f"  {location.place.said}: {'matches' if matched else 'no'}  [{location.place.at}]")
            if matched is not None:
                self.state.captured(*matched)
                self.best = location
                self._nested(location)
                return Found.EXACT
        return found

    def _static(self, level: Level, uri: str) -> Found:
        location = level.exact.get(uri)
        if location is not None:
            self._say(f"  {location.place.said}: the very URI  [{location.place.at}]")
            self.best = location
            return Found.EXACT
        location = level.longest(uri)
        if uri + "/" in level.with_slash and (location is None or location.place.pattern != uri):
            self.best = level.prefixes.get(uri + "/") or level.exact[uri + "/"]
            self._say(f"  {self.best.place.said}: the URI with a '/' at its end  [{self.best.place.at}]")
            return Found.WITH_SLASH
        if location is None:
            return Found.NOTHING
        self._say(f"  {location.place.said}: the longest prefix here  [{location.place.at}]")
        self.best = location
        return Found.PREFIX

    def _nested(self, location: Location) -> Found:
        """The locations within one; `best` stays where none of them fits."""
        level = location.level
        if not level.names and not level.exact and not level.regexes:
            return Found.NOTHING
        return self.run(level)

    def _say(self, line: str) -> None:
        if self.trace is not None:
            self.trace.append(line)
