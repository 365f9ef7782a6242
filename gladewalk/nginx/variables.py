"""Strings with variables, which are parsed once and evaluated for each request.

The list of known variables is closed: a string with an unknown variable is an error at import, instead of an
empty value at run time.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from .errors import UnknownVariableError
from .regexes import RegexMatch
from .uri import Target

VARIABLE = re.compile(r"\$(?:\{([A-Za-z0-9_]+)\}|([A-Za-z0-9_]+))")
CAPTURE = re.compile(r"[0-9]\Z")
VARIABLE_PREFIXES = ("arg_", "http_", "cookie_")
# The limit of nested evaluations of maps whose values use other maps. It ends a cycle of maps; nginx ends
# such a cycle, too.
MAX_EVALUATION_DEPTH = 16
DEFAULT_PROXY_PORT = "80"


@dataclass(slots=True)
class Request:
    """The request that is routed; the names in `fields` are in lower case, with dashes."""

    method: str
    target: Target
    host: str = ""
    fields: Mapping[str, str] = field(default_factory=dict)
    client_address: str = "127.0.0.1"
    client_port: int = 0
    scheme: str = "http"
    server_address: str = ""
    server_port: int = 80
    protocol: str = "HTTP/1.1"


class ComputedVariable(Protocol):
    """A variable of `map` or `split_clients`, whose value is computed from other variables."""

    def value(self, state: RequestState) -> str:
        """Returns the value for a request."""


@dataclass(slots=True)
class RequestState:
    """The state of one request while it is routed: the current URI, variables and captures.

    Attributes:
        request: The request as it was received.
        uri: The current path, decoded.
        args: The current query.
        server_name: The first name of the virtual server that is neither a regex nor a wildcard, or "".
        proxy_host: The name of the upstream that was chosen last.
        is_internal: Whether a rewrite or an internal redirect has happened; `internal` locations require it.
        is_uri_unchanged: Whether no rule has changed the URI, so that the raw target can be forwarded.
        variables: The variables that `set` and named groups of regexes have set.
        captures: `$0`, `$1` ... of the last regex that matched.
        computed: The variables of `map` and `split_clients`.
    """

    request: Request
    uri: str
    args: str
    server_name: str = ""
    proxy_host: str = ""
    is_internal: bool = False
    is_uri_unchanged: bool = True
    variables: dict[str, str] = field(default_factory=dict)
    captures: tuple[str, ...] = ()
    computed: Mapping[str, ComputedVariable] = field(default_factory=dict)
    _depth: int = 0

    def set_captures(self, matched: RegexMatch) -> None:
        """Sets the captures and the variables of the named groups from a regex match."""
        self.captures = matched.groups
        self.variables.update(matched.names)

    def redirect_internally(self, target: str, keeps_args: bool = False) -> None:
        """Replaces the URI and the query by those of an internal redirect's target.

        With `keeps_args` the current query is kept if the target has none.
        """
        self.is_internal, self.is_uri_unchanged = True, False
        self.uri, question_mark, args = target.partition("?")
        if question_mark or not keeps_args:
            self.args = args

    def value(self, name: str) -> str:
        """Returns a variable's value; "" if the request lacks the field, argument or cookie, as in nginx."""
        if CAPTURE.match(name):
            return self.captures[int(name)] if int(name) < len(self.captures) else ""
        if name in self.variables:
            return self.variables[name]
        if name in self.computed:
            return self._compute(name)
        if name in BUILTIN_VARIABLES:
            return BUILTIN_VARIABLES[name](self)
        return self._prefixed_value(name)

    def _compute(self, name: str) -> str:
        if self._depth >= MAX_EVALUATION_DEPTH:
            return ""
        self._depth += 1
        try:
            return self.computed[name].value(self)
        finally:
            self._depth -= 1

    def _prefixed_value(self, name: str) -> str:
        kind, _, rest = name.partition("_")
        if kind == "http":
            return self.request.fields.get(rest.replace("_", "-").lower(), "")
        if kind == "arg":
            return query_argument(self.args, rest)
        if kind == "cookie":
            return cookie_value(self.request.fields.get("cookie", ""), rest)
        return ""


def _proxy_port(state: RequestState) -> str:
    _, colon, port = state.proxy_host.rpartition(":")
    return port if colon and port.isdigit() else DEFAULT_PROXY_PORT


def _proxy_add_x_forwarded_for(state: RequestState) -> str:
    received = state.request.fields.get("x-forwarded-for", "")
    client = state.request.client_address
    return f"{received}, {client}" if received else client


def _request_line(state: RequestState) -> str:
    request = state.request
    return f"{request.method} {request.target.raw} {request.protocol}"


# The supported variables of ngx_http_core_module ("Embedded Variables") and of ngx_http_proxy_module.
BUILTIN_VARIABLES: dict[str, Callable[[RequestState], str]] = {
    "uri": lambda state: state.uri,
    "document_uri": lambda state: state.uri,
    "request_uri": lambda state: state.request.target.raw,
    "args": lambda state: state.args,
    "query_string": lambda state: state.args,
    "is_args": lambda state: "?" if state.args else "",
    "host": lambda state: state.request.host or state.server_name,
    "request_method": lambda state: state.request.method,
    "scheme": lambda state: state.request.scheme,
    "https": lambda state: "on" if state.request.scheme == "https" else "",
    "request": _request_line,
    "remote_addr": lambda state: state.request.client_address,
    "binary_remote_addr": lambda state: state.request.client_address,
    "realip_remote_addr": lambda state: state.request.client_address,
    "remote_port": lambda state: str(state.request.client_port),
    "server_name": lambda state: state.server_name,
    "server_port": lambda state: str(state.request.server_port),
    "server_addr": lambda state: state.request.server_address,
    "server_protocol": lambda state: state.request.protocol,
    "content_type": lambda state: state.request.fields.get("content-type", ""),
    "content_length": lambda state: state.request.fields.get("content-length", ""),
    "proxy_host": lambda state: state.proxy_host,
    "proxy_port": _proxy_port,
    "proxy_add_x_forwarded_for": _proxy_add_x_forwarded_for,
}


def query_argument(args: str, name: str) -> str:
    """Returns the value of the first query argument with a name, ignoring case, without decoding it."""
    for pair in args.split("&"):
        key, equals, value = pair.partition("=")
        if equals and key.lower() == name.lower():
            return value
    return ""


def cookie_value(cookies: str, name: str) -> str:
    """Returns the value of the first cookie with a name in a Cookie field, or ""."""
    for pair in cookies.split(";"):
        key, _, value = pair.strip().partition("=")
        if key == name:
            return value
    return ""


@dataclass(slots=True, frozen=True)
class Template:
    """A string with variables.

    Attributes:
        text: The string as it is written in the file.
        parts: Literal texts at even indexes, names of variables at odd indexes.
    """

    text: str
    parts: tuple[str, ...]

    @property
    def is_constant(self) -> bool:
        """Whether the string has no variables."""
        return len(self.parts) == 1

    def render(self, state: RequestState) -> str:
        """Returns the string with each variable replaced by its value."""
        if self.is_constant:
            return self.parts[0]
        return "".join(state.value(part) if index % 2 else part for index, part in enumerate(self.parts))


def is_known_variable(name: str, custom: frozenset[str]) -> bool:
    """Returns whether a variable is supported; `custom` are the variables that the file defines."""
    if name in custom or name in BUILTIN_VARIABLES or CAPTURE.match(name):
        return True
    return any(name.startswith(prefix) and len(name) > len(prefix) for prefix in VARIABLE_PREFIXES)


def parse_template(text: str, custom: frozenset[str] = frozenset()) -> Template:
    """Parses a string with variables.

    Raises:
        UnknownVariableError: A variable is not supported, or a `$` has no name after it.
    """
    parts: list[str] = []
    position = 0
    for found in VARIABLE.finditer(text):
        name, end = found[1] or found[2], found.end()
        if found[1] is None and name[0].isdigit():  # `$12` is the capture `$1` followed by the text "2"
            name, end = name[0], found.start() + 2
        if not is_known_variable(name, custom):
            raise UnknownVariableError(f"the variable ${name} can't be known here")
        parts += [text[position : found.start()], name]
        position = end
    rest = text[position:]
    if "$" in rest or any("$" in part for part in parts[::2]):
        raise UnknownVariableError(f"'{text}': a lone '$'")
    return Template(text, (*parts, rest))
