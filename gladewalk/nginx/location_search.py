"""Finds the location for a URI in nginx's order of precedence, over a compiled index.

The time of a search is bounded by the size of the table. The order follows ngx_http_core_module, "location",
and `ngx_http_core_find_location`:

1. An exact match ends the search.
2. Otherwise the longest matching prefix is remembered, and the locations nested in that prefix are searched,
   their regexes in the order of the file.
3. Then the regexes of this level are tried, unless that prefix has `^~`.
4. If no regex matches, the remembered prefix is the result.
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
    """The result of a search; the members correspond to the return codes in nginx's source."""

    NOT_FOUND = 0
    FINAL = 1  # an exact match or a regex match, which ends the search at all levels
    PREFIX = 2  # a prefix match, which the regexes of an outer level override unless the prefix has `^~`
    MISSING_SLASH = 3  # the URI with a `/` appended matches a pattern, so the response is a redirect


@dataclass(slots=True, eq=False)
class Location:
    """A compiled location; `regex` is None unless the pattern is a regex."""

    row: LocationRow
    regex: Regex | None
    nested: LocationSet
    rules: LocationRules


class LocationSet:
    """The locations of one level: those directly in a server, or directly in one location.

    Call `add` for each location, then `finish` once before the first lookup.
    """

    def __init__(self) -> None:
        self._exact: dict[str, Location] = {}
        self._prefixes: dict[str, Location] = {}
        self._sorted_prefixes: list[str] = []
        # For each prefix, the longest other prefix that it starts with.
        self._shorter_prefix: dict[str, str | None] = {}
        # Patterns of proxied locations that end with `/`; a URI that lacks only that `/` is redirected.
        self._slash_redirects: set[str] = set()
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
            self._slash_redirects.add(row.pattern)

    def finish(self) -> None:
        """Builds the index of prefixes: the sorted list, and the next shorter prefix for each."""
        self._sorted_prefixes = sorted(self._prefixes)
        enclosing: list[str] = []
        for prefix in self._sorted_prefixes:
            while enclosing and not prefix.startswith(enclosing[-1]):
                enclosing.pop()
            self._shorter_prefix[prefix] = enclosing[-1] if enclosing else None
            enclosing.append(prefix)

    def is_empty(self) -> bool:
        """Returns whether the level has no locations."""
        return not self._prefixes and not self._exact and not self.regexes

    def exact_match(self, uri: str) -> Location | None:
        """Returns the `=` location whose pattern equals the URI."""
        return self._exact.get(uri)

    def longest_prefix(self, uri: str) -> Location | None:
        """Returns the location with the longest prefix that matches the URI.

        The search starts at the last prefix in sort order that is not greater than the URI. If the URI does
        not start with it, the next shorter prefix of that prefix is tried, and so on.
        """
        index = bisect_right(self._sorted_prefixes, uri)
        prefix = self._sorted_prefixes[index - 1] if index else None
        while prefix is not None and not uri.startswith(prefix):
            prefix = self._shorter_prefix[prefix]
        return self._prefixes[prefix] if prefix is not None else None

    def slash_redirect(self, uri: str) -> Location | None:
        """Returns the location that the URI is redirected to because only a `/` at its end is missing."""
        pattern = uri + "/"
        if pattern not in self._slash_redirects:
            return None
        return self._prefixes.get(pattern) or self._exact[pattern]


@dataclass(slots=True)
class LocationSearch:
    """One search for the location of a request.

    Attributes:
        state: The state of the request; receives the captures of a regex that matches.
        trace: Gets one line for each location that is found or tried; None disables tracing.
        best: The best location found so far, and after `run` the result.
    """

    state: RequestState
    trace: list[str] | None = None
    best: Location | None = None

    def run(self, level: LocationSet) -> SearchResult:
        """Searches a level and the locations nested in it; sets `best` to the location."""
        result = self._match_static(level, self.state.uri)
        if result is SearchResult.PREFIX:
            assert self.best is not None
            prefix = self.best
            nested_result = self._search_nested(prefix)
            if nested_result in (SearchResult.FINAL, SearchResult.MISSING_SLASH):
                return nested_result
            if prefix.row.modifier == "^~":
                if level.regexes:
                    self._add_trace_line("  '^~': the regexes beside it are not looked at")
                return result
        elif result is not SearchResult.NOT_FOUND:
            return result
        return SearchResult.FINAL if self._match_regexes(level) else result

    def _match_regexes(self, level: LocationSet) -> bool:
        for location in level.regexes:
            assert location.regex is not None
            matched = location.regex.match(self.state.uri)
            verdict = "matches" if matched else "no"
            self._add_trace_line(f"  {location.row.directive}: {verdict}  [{location.row.defined_at}]")
            if matched is not None:
                self.state.set_captures(matched)
                self.best = location
                self._search_nested(location)
                return True
        return False

    def _match_static(self, level: LocationSet, uri: str) -> SearchResult:
        exact = level.exact_match(uri)
        if exact is not None:
            return self._record_match(exact, "the very URI", SearchResult.FINAL)
        prefix = level.longest_prefix(uri)
        redirect = level.slash_redirect(uri)
        if redirect is not None and (prefix is None or prefix.row.pattern != uri):
            return self._record_match(redirect, "the URI with a '/' at its end", SearchResult.MISSING_SLASH)
        if prefix is None:
            return SearchResult.NOT_FOUND
        return self._record_match(prefix, "the longest prefix here", SearchResult.PREFIX)

    def _record_match(self, location: Location, why: str, result: SearchResult) -> SearchResult:
        self._add_trace_line(f"  {location.row.directive}: {why}  [{location.row.defined_at}]")
        self.best = location
        return result

    def _search_nested(self, location: Location) -> SearchResult:
        """Searches the locations nested in a location; `best` is unchanged if none of them matches."""
        return SearchResult.NOT_FOUND if location.nested.is_empty() else self.run(location.nested)

    def _add_trace_line(self, line: str) -> None:
        if self.trace is not None:
            self.trace.append(line)
