"""PCRE, the syntax and the engine that nginx itself uses (PCRE2), with a bound on the work of one match.

Weighed: `re2` is linear in time and knows no look-around or back-references, so it would refuse files that
nginx takes; `regex` has a time-out by the clock, which gives another verdict on a busy machine; `re` reads
`(?<name>...)` as a fault. PCRE2 takes what nginx takes, and its match limit counts steps, not time.
"""

from __future__ import annotations

import pcre2

STEPS_MOST = 20_000  # of backtracking in one match: some 0.2 ms; nginx's own limit is ten million
PATTERN_MOST = 4_096  # bytes
LIMIT = f"(*LIMIT_MATCH={STEPS_MOST})(*LIMIT_DEPTH=2000)".encode()


class BadRegex(ValueError):
    """A pattern that does not compile; the text says why and where."""


class TooCostly(Exception):
    """A match that was given up at its bound: the request can't be routed."""


class Regex:
    """A compiled pattern over texts in latin-1, which stand for bytes."""

    __slots__ = ("caseless", "names", "pattern", "program")

    def __init__(self, pattern: str, caseless: bool = False) -> None:
        self.pattern, self.caseless = pattern, caseless
        # As UTF-8, which is how it stands in the file; a request's bytes stand in its text as latin-1.
        data = pattern.encode("utf-8", "surrogateescape")
        if len(data) > PATTERN_MOST:
            raise BadRegex(f"a regex of more than {PATTERN_MOST} bytes")
        if data.startswith(b"(*"):
            raise BadRegex("a pattern may not set the engine's own options")
        try:
            self.program = pcre2.compile(LIMIT + data, pcre2.IGNORECASE if caseless else 0)
        except pcre2.PatternError as error:
            place = max(0, getattr(error, "pos", 0) - len(LIMIT))
            raise BadRegex(f"'{pattern}' at {place}: {str(error).partition('; ')[2] or error}") from error
        self.names = tuple(self.program.groupindex)

    @property
    def groups(self) -> int:
        return int(self.program.groups)

    def match(self, text: str) -> tuple[tuple[str, ...], dict[str, str]] | None:
        """All of the match and its groups, and those with names; None if it doesn't match."""
        try:
            found = self.program.search(text.encode("latin-1", "replace"))
        except pcre2.LibraryError as error:
            raise TooCostly(f"'{self.pattern}': {error}") from error
        if found is None:
            return None
        groups = [found.group(0), *found.groups()]
        texts = tuple((group or b"").decode("latin-1") for group in groups)
        named = found.groupdict() if self.names else {}
        return texts, {name: (value or b"").decode("latin-1") for name, value in named.items()}
