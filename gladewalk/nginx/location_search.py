"""The search of the location for a URI: nginx's order, compiled, in a time bounded by the table's size.

ngx_http_core_module, "location", and the order of `ngx_http_core_find_location`: an exact match ends the
search; else the longest prefix is remembered and *its* nested locations are searched, their regexes in the
order of the file; then, unless that prefix has `^~`, the regexes of this level; else the prefix stands.
"""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass
from enum import Enum

from .errors import DuplicateLocationError
from .location_rules import LocationRules
from .regexes import Regex
from .table import LocationRow
from .variables import RequestState


class SearchResult(Enum):
    """How a search ends, as nginx's own codes tell it."""

    NOT_FOUND = 0
    EXACT = 1  # or a regex: the search is over
    PREFIX = 2  # the best so far: outer regexes go before it, unless `^~`
    MISSING_SLASH = 3  # the URI lacks a `/` at its end: a redirect


@dataclass(slots=True, eq=False)
class Location:
    """A compiled location; `regex` is None for a prefix, an exact or a named one."""

    row: LocationRow
    regex: Regex | None
    nested: LocationSet
    rules: LocationRules


class LocationSet:
    """The locations beside one another in a server, or nested in one location; `add` all, then `finish`."""

    def __init__(self) -> None:
        self._exact: dict[str, Location] = {}
        self._prefixes: dict[str, Location] = {}
        self._sorted_prefixes: list[str] = []
        self._shorter_prefix: dict[str, str | None] = {}  # the longest other prefix that it begins with
        self._redirecting: set[str] = set()  # patterns with a `/` at their end that a URI may lack
        self.regexes: list[Location] = []

    def add(self, location: Location) -> None:
        """Adds a location; raises `DuplicateLocationError`."""
        row = location.row
        if location.regex is not None:
            self.regexes.append(location)
            return
        patterns = self._exact if row.modifier == "=" else self._prefixes
        if row.pattern in patterns:
            raise DuplicateLocationError(f"duplicate location '{row.pattern}'")
        patterns[row.pattern] = location
        if row.pattern.endswith("/") and row.upstream:
            self._redirecting.add(row.pattern)

    def finish(self) -> None:
        """Builds the index of prefixes."""
        self._sorted_prefixes = sorted(self._prefixes)
        enclosing: list[str] = []
        for prefix in self._sorted_prefixes:
            while enclosing and not prefix.startswith(enclosing[-1]):
                enclosing.pop()
            self._shorter_prefix[prefix] = enclosing[-1] if enclosing else None
            enclosing.append(prefix)

    def is_empty(self) -> bool:
        """Returns whether there is no location."""
        return not self._prefixes and not self._exact and not self.regexes

    def exact_match(self, uri: str) -> Location | None:
        """Returns the location of `=` with this URI."""
        return self._exact.get(uri)

    def longest_prefix(self, uri: str) -> Location | None:
        """Returns the location of the longest prefix.

        It is the greatest prefix that sorts up to the URI, or one of those which that one begins with.
        """
        index = bisect_right(self._sorted_prefixes, uri)
        prefix = self._sorted_prefixes[index - 1] if index else None
        while prefix is not None and not uri.startswith(prefix):
            prefix = self._shorter_prefix[prefix]
        return self._prefixes[prefix] if prefix is not None else None

    def redirecting(self, uri: str) -> Location | None:
        """Returns the location whose pattern is the URI with a `/` at its end, if it redirects there."""
        pattern = uri + "/"
        if pattern not in self._redirecting:
            return None
        return self._prefixes.get(pattern) or self._exact[pattern]


@dataclass(slots=True)
class LocationSearch:
    """One search.

    Attributes:
        state: The request; captures of regexes are set in it.
        trace: Where a line is added for each location that is looked at; None: nowhere.
        best: The location that was found.
    """

    state: RequestState
    trace: list[str] | None = None
    best: Location | None = None

    def run(self, level: LocationSet) -> SearchResult:
        """Searches a level and what is nested in it; the location is `best`."""
        result = self._match_static(level, self.state.uri)
        if result is SearchResult.PREFIX:
            assert self.best is not None
            prefix = self.best
            nested_result = self._search_nested(prefix)
            if nested_result in (SearchResult.EXACT, SearchResult.MISSING_SLASH):
                return nested_result
            if prefix.row.modifier == "^~":
                if level.regexes:
                    self._add_line("  '^~': the regexes beside it are not looked at")
                return result
        elif result is not SearchResult.NOT_FOUND:
            return result
        return SearchResult.EXACT if self._match_regexes(level) else result

    def _match_regexes(self, level: LocationSet) -> bool:
        for location in level.regexes:
            assert location.regex is not None
            matched = location.regex.match(self.state.uri)
            verdict = "matches" if matched else "no"
            self._add_line(f"  {location.row.directive}: {verdict}  [{location.row.defined_at}]")
            if matched is not None:
                self.state.set_captures(matched)
                self.best = location
                self._search_nested(location)
                return True
        return False

    def _match_static(self, level: LocationSet, uri: str) -> SearchResult:
        exact = level.exact_match(uri)
        if exact is not None:
            return self._found(exact, "the very URI", SearchResult.EXACT)
        prefix = level.longest_prefix(uri)
        redirecting = level.redirecting(uri)
        if redirecting is not None and (prefix is None or prefix.row.pattern != uri):
            return self._found(redirecting, "the URI with a '/' at its end", SearchResult.MISSING_SLASH)
        if prefix is None:
            return SearchResult.NOT_FOUND
        return self._found(prefix, "the longest prefix here", SearchResult.PREFIX)

    def _found(self, location: Location, why: str, result: SearchResult) -> SearchResult:
        self._add_line(f"  {location.row.directive}: {why}  [{location.row.defined_at}]")
        self.best = location
        return result

    def _search_nested(self, location: Location) -> SearchResult:
        """Searches the locations within one; `best` stays where none of them matches."""
        return SearchResult.NOT_FOUND if location.nested.is_empty() else self.run(location.nested)

    def _add_line(self, line: str) -> None:
        if self.trace is not None:
            self.trace.append(line)
