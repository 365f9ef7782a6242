"""HTTP messages between the front and an upstream's servers: which fields are forwarded, and how.

RFC 9110, section 7.6 (connection fields are not forwarded); RFC 9112, section 6 (message body length).
This module does no I/O.
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
# Fields of a client's request that are not forwarded as received.
REWRITTEN_FIELDS = HOP_BY_HOP_FIELDS | {"content-length", "expect", "host"}
METHODS_WITH_BODY = ("POST", "PUT", "PATCH")  # sent with a Content-Length even if the body is empty
NON_IDEMPOTENT_METHODS = ("POST", "LOCK", "PATCH")  # those that nginx does not retry
# Statuses with which `add_header` applies without `always` (ngx_http_headers_module).
ADD_HEADER_STATUSES = frozenset({200, 201, 204, 206, 301, 302, 303, 304, 307, 308})
BODILESS_STATUSES = frozenset({204, 304})
RETRYABLE_STATUSES = frozenset({500, 502, 503, 504, 403, 404, 429})  # that `proxy_next_upstream` may list


@dataclass(slots=True, kw_only=True)
class ProxyRequest(ClientRequest):
    """An ordinary HTTP request; the core uses only its class and its key.

    Attributes:
        verb: The method in the client's request; `method` is one of the platform's, which the core uses.
        fields: The client's fields, in order.
        landing: Where the routing table sends it.
        received_ms: When the complete request was routed, steady milliseconds.
        failure_status: The status for the client if no attempt succeeds.
        sent_count: The number of attempts whose request has been written.
    """

    landing: Landing
    verb: str = "GET"
    fields: Fields = field(default_factory=list)
    received_ms: float = 0.0
    failure_status: int = BAD_GATEWAY
    sent_count: int = 0

    @property
    def proxy(self) -> ProxySettings:
        """The proxy settings of the location that the request is routed to."""
        return self.landing.proxy


@dataclass(slots=True)
class ProxyResponseHead(ResponseHead):
    """The head of a response of any status that is forwarded to the client."""

    status: int = 200
    fields: Fields = field(default_factory=list)


@dataclass(slots=True)
class ProxyResult(AttemptResult):
    """The result of an attempt at an ordinary server.

    Attributes:
        condition: The `proxy_next_upstream` condition of the result; empty if it is never a failure.
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

    A variable may contain a decoded line break, which would inject another field into the message.
    """
    return "".join(char if ord(char) >= 0x20 and ord(char) != 0x7F else " " for char in value)


def connection_options(fields: Iterable[tuple[str, str]]) -> frozenset[str]:
    """Returns the lower-case names in the Connection field: fields that must not be forwarded."""
    names: set[str] = set()
    for name, value in fields:
        if name.lower() == "connection":
            names.update(option.strip().lower() for option in value.split(","))
    return frozenset(names)


def encode_request(request: ProxyRequest) -> bytes:
    """Encodes a request for a server: the location's `proxy_set_header` fields, then the client's fields."""
    landing = request.landing
    rules = landing.rules
    location_fields: Fields = []
    replaced: set[str] = set()
    if rules is not None:
        for name, template in rules.set_fields:
            replaced.add(name.lower())
            value = sanitize_value(template.render(landing.state))
            if value:
                location_fields.append((name, value))
    dropped = REWRITTEN_FIELDS | replaced | connection_options(request.fields)
    lines = [f"{request.verb} {landing.target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in location_fields]
    if not any(name.lower() == "host" for name, _ in location_fields):
        lines.append(f"Host: {landing.upstream}")
    lines += [f"{name}: {value}" for name, value in request.fields if name.lower() not in dropped]
    if request.body or request.verb in METHODS_WITH_BODY:
        lines.append(f"Content-Length: {len(request.body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1", "replace") + request.body


def response_fields(landing: Landing, status: int, fields: Fields) -> Fields:
    """Returns the forwarded fields of a server's response, then the location's `add_header` fields."""
    hidden = set(landing.proxy.hide_fields)
    dropped = HOP_BY_HOP_FIELDS | {"content-length"} | connection_options(fields) | hidden
    forwarded = [(name, value) for name, value in fields if name.lower() not in dropped]
    if landing.proxy.redirect == "default":
        forwarded = [
            (name, rewrite_location(landing, value) if name.lower() == "location" else value)
            for name, value in forwarded
        ]
    return forwarded + added_fields(landing, status)


def added_fields(landing: Landing, status: int) -> Fields:
    """Returns the `add_header` fields of the request's location, or of its virtual server without one."""
    rules = landing.rules
    rendered = []
    for added in rules.added_fields if rules is not None else landing.server.added_fields:
        value = sanitize_value(added.value.render(landing.state))
        if value and (added.is_always or status in ADD_HEADER_STATUSES):
            rendered.append((added.name, value))
    return rendered


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
    """Returns the `proxy_next_upstream` condition of a complete response; empty if it is never a failure."""
    return f"http_{status}" if status in RETRYABLE_STATUSES else ""
