"""Strings with variables: parsed once, known ones alone, evaluated for a request.

A template is a tuple of texts and variable names. Which variables can be known is a closed list: an unknown
one is a fault at import, never an empty string at run time.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass, field

from .uri import Target

VARIABLE = re.compile(r"\$(?:\{([A-Za-z0-9_]+)\}|([A-Za-z0-9_]+))")
CAPTURE = re.compile(r"[0-9]\Z")
PLAIN = frozenset({
    "uri", "document_uri", "request_uri", "args", "query_string", "is_args", "host", "request_method",
    "scheme", "https", "request", "remote_addr", "binary_remote_addr", "realip_remote_addr", "remote_port",
    "server_name", "server_port", "server_addr", "server_protocol", "content_type", "content_length",
    "proxy_host", "proxy_port", "proxy_add_x_forwarded_for",
})  # fmt: skip
PREFIXED = ("arg_", "http_", "cookie_")
ROUNDS_MOST = 16  # a map's value may name another map, and so on: nginx, too, ends such a circle


class UnknownVariable(ValueError):
    """A variable that cannot be known here."""


@dataclass(slots=True)
class Request:
    """What is known of a request as it is routed. Field names are in lower case, with dashes."""

    method: str
    target: Target
    host: str = ""
    fields: Mapping[str, str] = field(default_factory=dict)
    client: str = "127.0.0.1"
    client_port: int = 0
    scheme: str = "http"
    server_addr: str = ""
    server_port: int = 80
    protocol: str = "HTTP/1.1"


@dataclass(slots=True)
class State:
    """A request on its way through the rules: what rewrites change, what regexes captured."""

    request: Request
    uri: str
    args: str
    server_name: str = ""
    proxy_host: str = ""
    internal: bool = False
    unparsed: bool = True  # the target as it came still stands for the URI: no rule has changed that
    own: dict[str, str] = field(default_factory=dict)  # by `set`, and named captures
    captures: tuple[str, ...] = ()  # $0, $1 ... of the last regex that matched
    maps: Mapping[str, MapRule] = field(default_factory=dict)
    depth: int = 0

    def captured(self, groups: tuple[str, ...], names: Mapping[str, str]) -> None:
        self.captures = groups
        self.own.update(names)

    def value(self, name: str) -> str:
        """A variable's value; what is not there in this request is empty, as in nginx."""
        if CAPTURE.match(name):
            return self.captures[int(name)] if int(name) < len(self.captures) else ""
        if name in self.own:
            return self.own[name]
        if name in self.maps:
            if self.depth >= ROUNDS_MOST:
                return ""
            self.depth += 1
            try:
                return self.maps[name].value(self)
            finally:
                self.depth -= 1
        return self._known(name)

    def _known(self, name: str) -> str:
        r = self.request
        match name:
            case "uri" | "document_uri":
                return self.uri
            case "request_uri":
                return r.target.raw
            case "args" | "query_string":
                return self.args
            case "is_args":
                return "?" if self.args else ""
            case "host":
                return r.host or self.server_name
            case "request_method":
                return r.method
            case "scheme":
                return r.scheme
            case "https":
                return "on" if r.scheme == "https" else ""
            case "remote_addr" | "realip_remote_addr" | "binary_remote_addr":
                return r.client
            case "remote_port":
                return str(r.client_port)
            case "server_name":
                return self.server_name
            case "server_port":
                return str(r.server_port)
            case "server_addr":
                return r.server_addr
            case "server_protocol":
                return r.protocol
            case "request":
                return f"{r.method} {r.target.raw} {r.protocol}"
            case "content_type" | "content_length":
                return r.fields.get(name.replace("_", "-"), "")
            case "proxy_host":
                return self.proxy_host
            case "proxy_port":
                _, colon, port = self.proxy_host.rpartition(":")
                return port if colon and port.isdigit() else "80"
            case "proxy_add_x_forwarded_for":
                before = r.fields.get("x-forwarded-for", "")
                return f"{before}, {r.client}" if before else r.client
        return self._prefixed(name)

    def _prefixed(self, name: str) -> str:
        kind, _, rest = name.partition("_")
        if kind == "http":
            return self.request.fields.get(rest.replace("_", "-").lower(), "")
        if kind == "arg":
            return argument(self.args, rest)
        if kind == "cookie":
            for pair in self.request.fields.get("cookie", "").split(";"):
                key, _, value = pair.strip().partition("=")
                if key == rest:
                    return value
        return ""


def argument(args: str, name: str) -> str:
    """The first of a query's arguments of that name, in whichever case, as it stands there."""
    for pair in args.split("&"):
        key, equals, value = pair.partition("=")
        if equals and key.lower() == name.lower():
            return value
    return ""


class MapRule:
    """What gives a variable of `map` or `split_clients` its value; see `maps`."""

    def value(self, state: State) -> str:
        raise NotImplementedError


@dataclass(slots=True, frozen=True)
class Template:
    """A string with variables. `parts` has texts at even places and variables' names at odd ones."""

    text: str
    parts: tuple[str, ...]

    @property
    def plain(self) -> bool:
        return len(self.parts) == 1

    @property
    def names(self) -> tuple[str, ...]:
        return self.parts[1::2]

    def fill(self, state: State) -> str:
        if self.plain:
            return self.parts[0]
        return "".join(state.value(part) if number % 2 else part for number, part in enumerate(self.parts))


def is_known(name: str, own: frozenset[str]) -> bool:
    """Whether a variable is one that can be known here, or one of the file's own."""
    if name in own or name in PLAIN or CAPTURE.match(name):
        return True
    return any(name.startswith(prefix) and len(name) > len(prefix) for prefix in PREFIXED)


def read_template(text: str, own: frozenset[str] = frozenset()) -> Template:
    """Parse a string; `UnknownVariable` for a variable that cannot be known, or a lone `$`."""
    parts: list[str] = []
    place = 0
    for found in VARIABLE.finditer(text):
        name = found[1] or found[2]
        if found[1] is None and name[0].isdigit():  # `$12` is `$1` and a 2
            end = found.start() + 2
            name = name[0]
        else:
            end = found.end()
        if not is_known(name, own):
            raise UnknownVariable(f"the variable ${name} can't be known here")
        parts += [text[place : found.start()], name]
        place = end
    rest = text[place:]
    if "$" in rest or any("$" in part for part in parts[::2]):
        raise UnknownVariable(f"'{text}': a lone '$'")
    return Template(text, (*parts, rest))
