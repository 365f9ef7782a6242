"""HTTP messages between the front and an upstream's servers: which fields are forwarded, and how. No I/O.

RFC 9110, section 7.6 (connection fields are not forwarded); RFC 9112, section 6 (message body length).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from http import HTTPStatus

from ..core.exchange import AttemptResult, ClientRequest, ResponseHead
from ..nginx.landing import Landing, redirect_location
from ..nginx.table import ProxySettings

Fields = list[tuple[str, str]]

BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504
HOP_BY_HOP_FIELDS = frozenset({
    "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
})  # fmt: skip
REWRITTEN_FIELDS = HOP_BY_HOP_FIELDS | {"content-length", "expect", "host"}  # of a request
METHODS_WITH_BODY = ("POST", "PUT", "PATCH")  # they get a Content-Length even for an empty body
NON_IDEMPOTENT_METHODS = ("POST", "LOCK", "PATCH")  # those that nginx does not send again
ADD_HEADER_STATUSES = frozenset({200, 201, 204, 206, 301, 302, 303, 304, 307, 308})  # ngx_http_headers_module
BODILESS_STATUSES = frozenset({204, 304})
RETRYABLE_STATUSES = frozenset({500, 502, 503, 504, 403, 404, 429})  # those of `proxy_next_upstream`


@dataclass(slots=True, kw_only=True)
class ProxyRequest(ClientRequest):
    """An ordinary HTTP request; the core knows it by its class and its key.

    Attributes:
        verb: The request's method (`method` is the core's own).
        fields: The client's fields, in order.
        landing: Where the routing table sends it.
        received_ms: When it was complete.
        failure_status: The status for the client if no attempt succeeds.
        sent_count: Attempts whose request has been written.
    """

    landing: Landing
    verb: str = "GET"
    fields: Fields = field(default_factory=list)
    received_ms: float = 0.0
    failure_status: int = BAD_GATEWAY
    sent_count: int = 0

    @property
    def proxy(self) -> ProxySettings:
        """The proxy settings of the location."""
        return self.landing.proxy


@dataclass(slots=True)
class ProxyResponseHead(ResponseHead):
    """The head of a response that is passed on, whatever its status."""

    status: int = 200
    fields: Fields = field(default_factory=list)


@dataclass(slots=True)
class ProxyResult(AttemptResult):
    """The result of an attempt at an ordinary server.

    Attributes:
        condition: The word of `proxy_next_upstream` for this end, empty if it is never a failure.
        response_status: The status for the client if this is the last attempt.
    """

    condition: str = "error"
    response_status: int = BAD_GATEWAY


def reason_phrase(status: int) -> str:
    """Returns the registered reason phrase of a status, empty for an unknown one."""
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return ""


def sanitize_value(value: str) -> str:
    """Replaces control characters by blanks.

    A variable may hold a decoded line end, which would put a field of its own into the message.
    """
    return "".join(char if ord(char) >= 0x20 and ord(char) != 0x7F else " " for char in value)


def connection_options(fields: Iterable[tuple[str, str]]) -> frozenset[str]:
    """Returns the names that the Connection field lists, in lower case: fields of this connection alone."""
    names: set[str] = set()
    for name, value in fields:
        if name.lower() == "connection":
            names.update(option.strip().lower() for option in value.split(","))
    return frozenset(names)


def encode_request(request: ProxyRequest) -> bytes:
    """Encodes a request for a server: the client's fields that are forwarded, and the location's own."""
    landing = request.landing
    rules = landing.rules
    own: Fields = []
    replaced: set[str] = set()
    if rules is not None:
        for name, template in rules.set_fields:
            replaced.add(name.lower())
            value = sanitize_value(template.render(landing.state))
            if value:
                own.append((name, value))
    dropped = REWRITTEN_FIELDS | replaced | connection_options(request.fields)
    lines = [f"{request.verb} {landing.target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in own]
    if not any(name.lower() == "host" for name, _ in own):
        lines.append(f"Host: {landing.upstream}")
    lines += [f"{name}: {value}" for name, value in request.fields if name.lower() not in dropped]
    if request.body or request.verb in METHODS_WITH_BODY:
        lines.append(f"Content-Length: {len(request.body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1", "replace") + request.body


def response_fields(landing: Landing, status: int, fields: Fields) -> Fields:
    """Returns the fields of a server's response that go to the client, and the location's own."""
    hidden = set(landing.proxy.hide_fields)
    dropped = HOP_BY_HOP_FIELDS | {"content-length"} | connection_options(fields) | hidden
    passed = [(name, value) for name, value in fields if name.lower() not in dropped]
    if landing.proxy.redirect == "default":
        passed = [
            (name, rewrite_location(landing, value) if name.lower() == "location" else value)
            for name, value in passed
        ]
    return passed + added_fields(landing, status)


def added_fields(landing: Landing, status: int) -> Fields:
    """Returns the fields that `add_header` sets at the request's location, or at its server without one."""
    rules = landing.rules
    found = []
    for added in rules.added_fields if rules is not None else landing.server.added_fields:
        value = sanitize_value(added.value.render(landing.state))
        if value and (added.is_always or status in ADD_HEADER_STATUSES):
            found.append((added.name, value))
    return found


def rewrite_location(landing: Landing, location: str) -> str:
    """Rewrites a Location field that names the upstream (`proxy_redirect default`)."""
    row = landing.location_row
    if row is None or row.is_regex or row.is_named or "$" in row.upstream + (row.uri or ""):
        return location
    prefix = f"http://{row.upstream}{row.uri or ''}"
    rest = location[len(prefix) :]
    if not location.startswith(prefix) or (not row.uri and rest[:1] not in ("/", "")):
        return location
    return redirect_location(landing, (row.pattern if row.uri else "") + rest)


def condition_of_status(status: int) -> str:
    """Returns the word of `proxy_next_upstream` for a complete response, empty if it is never a failure."""
    return f"http_{status}" if status in RETRYABLE_STATUSES else ""
