"""Looks up host names in nginx's order of precedence (ngx_http_core_module, `server_name`).

The order is: the exact name, the longest wildcard `*.name`, the longest wildcard `name.*`, the first matching
regex. `.example.com` is short for `example.com` and `*.example.com`.
"""

from __future__ import annotations

from typing import Generic, TypeVar

from .errors import HostError, ServerNameError
from .regexes import Regex

ValueT = TypeVar("ValueT")
FORBIDDEN_IN_HOST = "/\\ \t\0"


class HostNameMap(Generic[ValueT]):
    """A map with exact host names, wildcards and regexes as its keys.

    A lookup by name or wildcard takes time proportional to the number of labels; regexes are tried in order.
    """

    def __init__(self) -> None:
        self._exact: dict[str, ValueT] = {}
        self._leading_wildcards: dict[str, ValueT] = {}  # keys without the leading `*.`
        self._trailing_wildcards: dict[str, ValueT] = {}  # keys without the trailing `.*`
        self._regexes: list[tuple[Regex, ValueT]] = []

    def add(self, name: str, value: ValueT) -> None:
        """Adds a name, a wildcard or `~regex`; a name that was added before keeps its first value.

        Raises:
            ServerNameError: The name has a `*` that is not a whole label at one end.
            RegexError: The regex does not compile.
        """
        if name.startswith("~"):
            self._regexes.append((Regex(name[1:]), value))
            return
        lower = name.lower().rstrip(".")
        if lower.startswith("."):
            self._exact.setdefault(lower[1:], value)
            self._leading_wildcards.setdefault(lower[1:], value)
        elif lower.startswith("*."):
            self._leading_wildcards.setdefault(_without_wildcard(lower[2:]), value)
        elif lower.endswith(".*"):
            self._trailing_wildcards.setdefault(_without_wildcard(lower[:-2]), value)
        else:
            self._exact.setdefault(_without_wildcard(lower), value)

    def find(self, name: str) -> ValueT | None:
        """Returns the value for a host name; the name must be in lower case and without a port."""
        found = self.find_name(name)
        return found if found is not None else self.find_regex(name)[0]

    def find_name(self, name: str) -> ValueT | None:
        """Returns the value for a host name by exact names and wildcards, without regexes."""
        if name in self._exact:
            return self._exact[name]
        labels = name.split(".")
        for count in range(1, len(labels)):
            rest = ".".join(labels[count:])
            if rest in self._leading_wildcards:
                return self._leading_wildcards[rest]
        for count in range(len(labels) - 1, 0, -1):
            rest = ".".join(labels[:count])
            if rest in self._trailing_wildcards:
                return self._trailing_wildcards[rest]
        return None

    def find_regex(self, name: str) -> tuple[ValueT | None, dict[str, str]]:
        """Returns the value of the first regex that matches and the match's named groups."""
        for regex, value in self._regexes:
            matched = regex.match(name)
            if matched is not None:
                return value, matched.names
        return None, {}


def _without_wildcard(rest: str) -> str:
    if "*" in rest:
        raise ServerNameError(f"'{rest}': a mask stands for whole labels at one end alone")
    return rest


def normalise_host(raw: str) -> str:
    """Returns a Host field in lower case, without its port and trailing dots; raises `HostError`."""
    text = raw.strip()
    if not text or any(char in text for char in FORBIDDEN_IN_HOST) or ".." in text:
        raise HostError(f"no host: {raw!r}")
    if text.startswith("["):
        host, bracket, rest = text.partition("]")
        if not bracket or (rest and not rest[1:].isdigit()):
            raise HostError(f"no host: {raw!r}")
        return (host + "]").lower()
    host, _, port = text.partition(":")
    if not host or (port and not port.isdigit()):
        raise HostError(f"no host: {raw!r}")
    return host.rstrip(".").lower()


def normalise_optional_host(raw: str) -> str:
    """Returns a Host field normalised by `normalise_host`, and "" for an empty field."""
    return normalise_host(raw) if raw else ""
