"""Compiles and matches regexes with PCRE2, the engine that nginx uses, and limits the steps of one match.

Alternatives considered: `re2` takes linear time but supports neither look-around nor back-references, so it
would refuse configurations that nginx accepts. `regex` has a time-out in wall-clock time, so that the result
of a match could depend on the load of the machine. `re` does not parse `(?<name>...)`. PCRE2's match limit
counts steps instead of time.
"""

from __future__ import annotations

from typing import NamedTuple

import pcre2

from .errors import MatchLimitError, RegexError

MAX_MATCH_STEPS = 20_000  # backtracking steps of one match, about 0.2 ms; nginx's limit is ten million
MAX_MATCH_DEPTH = 2_000
MAX_PATTERN_BYTES = 4_096
LIMITS = f"(*LIMIT_MATCH={MAX_MATCH_STEPS})(*LIMIT_DEPTH={MAX_MATCH_DEPTH})".encode()


class RegexMatch(NamedTuple):
    """A match; a group that did not take part in the match is "".

    Attributes:
        groups: The whole match, then the groups by number.
        names: The text of each named group, by its name.
    """

    groups: tuple[str, ...]
    names: dict[str, str]


class Regex:
    """A compiled pattern; matches texts whose characters each represent one byte (latin-1).

    Attributes:
        pattern: The pattern as it is written in the file.
        is_case_insensitive: Whether the case of letters is ignored.
        names: The names of the pattern's named groups.
    """

    __slots__ = ("_program", "is_case_insensitive", "names", "pattern")

    def __init__(self, pattern: str, is_case_insensitive: bool = False) -> None:
        """Compiles a pattern; raises `RegexError`."""
        self.pattern, self.is_case_insensitive = pattern, is_case_insensitive
        # The pattern is encoded as UTF-8, as in the file. A request's text is latin-1, one character a byte.
        # So the bytes of the file are matched with the bytes that were received.
        data = pattern.encode("utf-8", "surrogateescape")
        if len(data) > MAX_PATTERN_BYTES:
            raise RegexError(f"a regex of more than {MAX_PATTERN_BYTES} bytes")
        if data.startswith(b"(*"):
            raise RegexError("a pattern may not set the engine's own options")
        try:
            self._program = pcre2.compile(LIMITS + data, pcre2.IGNORECASE if is_case_insensitive else 0)
        except pcre2.PatternError as error:
            position = max(0, getattr(error, "pos", 0) - len(LIMITS))
            reason = str(error).partition("; ")[2] or error
            raise RegexError(f"'{pattern}' at {position}: {reason}") from error
        self.names = tuple(self._program.groupindex)

    def match(self, text: str) -> RegexMatch | None:
        """Searches a text for the pattern; returns None if it is not found.

        Raises:
            MatchLimitError: The search reached a limit and was aborted.
        """
        try:
            found = self._program.search(text.encode("latin-1", "replace"))
        except pcre2.LibraryError as error:
            raise MatchLimitError(f"'{self.pattern}': {error}") from error
        if found is None:
            return None
        groups = tuple((group or b"").decode("latin-1") for group in (found.group(0), *found.groups()))
        named = found.groupdict() if self.names else {}
        names = {name: (value or b"").decode("latin-1") for name, value in named.items()}
        return RegexMatch(groups, names)
