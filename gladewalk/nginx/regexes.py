"""PCRE, the syntax and the engine that nginx itself uses (PCRE2), with a bound on the work of one match.

Alternatives considered: `re2` is linear in time but knows no look-around or back-references, so it would
refuse files that nginx takes; `regex` has a time-out by the clock, which gives another verdict on a busy
machine; `re` does not parse `(?<name>...)`. PCRE2's match limit counts steps, not time.
"""

from __future__ import annotations

from typing import NamedTuple

import pcre2

from .errors import MatchLimitError, RegexError

MAX_MATCH_STEPS = 20_000  # of backtracking in one match: some 0.2 ms; nginx's own limit is ten million
MAX_MATCH_DEPTH = 2_000
MAX_PATTERN_BYTES = 4_096
LIMITS = f"(*LIMIT_MATCH={MAX_MATCH_STEPS})(*LIMIT_DEPTH={MAX_MATCH_DEPTH})".encode()


class RegexMatch(NamedTuple):
    """A match; groups that took no part are empty.

    Attributes:
        groups: The whole match, then the groups by number.
        names: The named groups.
    """

    groups: tuple[str, ...]
    names: dict[str, str]


class Regex:
    """A compiled pattern over texts in latin-1, which stand for bytes.

    Attributes:
        pattern: The pattern as it is written.
        is_case_insensitive: Whether letters match in either case.
        names: Of its named groups.
    """

    __slots__ = ("_program", "is_case_insensitive", "names", "pattern")

    def __init__(self, pattern: str, is_case_insensitive: bool = False) -> None:
        """Compiles a pattern; raises `RegexError`."""
        self.pattern, self.is_case_insensitive = pattern, is_case_insensitive
        # As UTF-8, which is how it stands in the file; a request's bytes stand in its text as latin-1.
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
        """Searches a text for the pattern; None if it is not found.

        Raises:
            MatchLimitError: The search was abandoned at its limit.
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
