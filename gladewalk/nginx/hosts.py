"""Names of hosts in nginx's order: exact, longest `*.name`, longest `name.*`, first regex.

ngx_http_core_module, "server_name".

`.example.com` stands for `example.com` and `*.example.com`.
"""

from __future__ import annotations

from typing import Generic, TypeVar

from .regexes import Regex

T = TypeVar("T")


class BadName(ValueError):
    """A name that can't be a server's, or that is given twice."""


class HostNames(Generic[T]):
    """Values by names of hosts, found in a time that grows with the name's labels alone, but for regexes."""

    def __init__(self) -> None:
        self.exact: dict[str, T] = {}
        self.heads: dict[str, T] = {}  # by what follows `*.`
        self.tails: dict[str, T] = {}  # by what stands before `.*`
        self.regexes: list[tuple[Regex, T]] = []

    def add(self, name: str, value: T) -> None:
        """`BadName` for a mask in the middle; a name that is there already stays: the first wins."""
        if name.startswith("~"):
            return self.regexes.append((Regex(name[1:]), value))
        lower = name.lower().rstrip(".")
        if lower.startswith("."):
            self.exact.setdefault(lower[1:], value)
            self.heads.setdefault(lower[1:], value)
        elif lower.startswith("*."):
            self._masked(lower[2:])
            self.heads.setdefault(lower[2:], value)
        elif lower.endswith(".*"):
            self._masked(lower[:-2])
            self.tails.setdefault(lower[:-2], value)
        else:
            self._masked(lower)
            self.exact.setdefault(lower, value)

    def _masked(self, rest: str) -> None:
        if "*" in rest:
            raise BadName(f"'{rest}': a mask stands for whole labels at one end alone")

    def find(self, name: str, regexes: bool = True) -> T | None:
        """What a host's name, in lower case and without a port, belongs to."""
        if name in self.exact:
            return self.exact[name]
        labels = name.split(".")
        for number in range(1, len(labels)):
            rest = ".".join(labels[number:])
            if rest in self.heads:
                return self.heads[rest]
        for number in range(len(labels) - 1, 0, -1):
            rest = ".".join(labels[:number])
            if rest in self.tails:
                return self.tails[rest]
        return self.find_regex(name)[0] if regexes else None

    def find_regex(self, name: str) -> tuple[T | None, dict[str, str]]:
        for regex, value in self.regexes:
            matched = regex.match(name)
            if matched is not None:
                return value, matched[1]
        return None, {}


def clean_host(raw: str) -> str:
    """A Host field without its port and last dot, in lower case; `ValueError` for one that can't be."""
    text = raw.strip()
    if not text or any(sign in text for sign in "/\\ \t\0") or ".." in text:
        raise ValueError(f"no host: {raw!r}")
    if text.startswith("["):
        host, bracket, rest = text.partition("]")
        if not bracket or (rest and not rest[1:].isdigit()):
            raise ValueError(f"no host: {raw!r}")
        return (host + "]").lower()
    host, _, port = text.partition(":")
    if not host or (port and not port.isdigit()):
        raise ValueError(f"no host: {raw!r}")
    return host.rstrip(".").lower()
