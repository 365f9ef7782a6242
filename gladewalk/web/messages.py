"""HTTP messages between the front and an upstream's servers: which fields pass, and how. No I/O.

RFC 9110, 7.6 (fields of a connection are not passed on); RFC 9112, 6 (how a body's end is told).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from ..core.exchange import AttemptResult, ClientRequest, ResponseHead
from ..nginx.router import Landing, Rules, redirect_of

Fields = list[tuple[str, str]]
HOP = frozenset({
    "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
})  # fmt: skip
OWN = HOP | {"content-length", "expect", "host"}
ONCE = ("POST", "LOCK", "PATCH")  # nginx's methods that are not sent again once they were sent
ADDED_ON = frozenset({200, 201, 204, 206, 301, 302, 303, 304, 307, 308})  # ngx_http_headers_module
NOBODY = frozenset({204, 304})


@dataclass(slots=True)
class WebAsk(ClientRequest):
    """An ordinary request. The core knows it by its class and key; the rest is for the wire."""

    verb: str = "GET"
    fields: Fields = field(default_factory=list)
    landing: Landing | None = None
    since_ms: float = 0.0
    balanced: Any = None  # the `Balanced` of the upstream where it landed
    failed: int = 502  # what the client is told if no attempt succeeds
    sends: int = 0


@dataclass(slots=True)
class WebHead(ResponseHead):
    """The start of any answer that is passed on, whatever its status."""

    status: int = 200
    fields: Fields = field(default_factory=list)


@dataclass(slots=True)
class WebEnd(AttemptResult):
    """`condition`: the word that `proxy_next_upstream` has for this end; `code` what the client is told."""

    condition: str = "error"
    code: int = 502


def reason(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return ""


def clean(value: str) -> str:
    """Guards against a decoded line end that a variable would put into a message."""
    return "".join(sign if ord(sign) >= 0x20 and ord(sign) != 0x7F else " " for sign in value)


def named_by_connection(fields: Iterable[tuple[str, str]]) -> frozenset[str]:
    """The fields that the Connection field names: of this connection alone."""
    names: set[str] = set()
    for name, value in fields:
        if name.lower() == "connection":
            names.update(word.strip().lower() for word in value.split(","))
    return frozenset(names)


def request_bytes(ask: WebAsk) -> bytes:
    """A request as it goes to a server: the client's fields but its connection's, and the file's own."""
    landing = ask.landing
    assert landing is not None
    rules = landing.location.rules if landing.location is not None else None
    own: Fields = []
    replaced: set[str] = set()
    if isinstance(rules, Rules):
        for name, template in rules.fields:
            replaced.add(name.lower())
            value = clean(template.fill(landing.state))
            if value:
                own.append((name, value))
    left = OWN | replaced | named_by_connection(ask.fields)
    lines = [f"{ask.verb} {landing.target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in own]
    if not any(name.lower() == "host" for name, _ in own):
        lines.append(f"Host: {landing.upstream}")
    lines += [f"{name}: {value}" for name, value in ask.fields if name.lower() not in left]
    if ask.body or ask.verb in ("POST", "PUT", "PATCH"):
        lines.append(f"Content-Length: {len(ask.body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1", "replace") + ask.body


def answer_fields(landing: Landing, status: int, fields: Fields) -> Fields:
    """The fields of an answer that go to the client."""
    left = HOP | {"content-length"} | named_by_connection(fields) | set(landing.terms.hide_fields)
    passed = [(name, value) for name, value in fields if name.lower() not in left]
    if landing.terms.redirect == "default":
        passed = [(n, redirected(landing, v) if n.lower() == "location" else v) for n, v in passed]
    return passed + added_fields(landing, status)


def added_fields(landing: Landing, status: int) -> Fields:
    """`add_header` of the location where the request landed, or of its server if it came to none."""
    rules = landing.location.rules if landing.location is not None else None
    found = []
    for name, template, always in rules.added if isinstance(rules, Rules) else landing.server.added:
        value = clean(template.fill(landing.state))
        if value and (always or status in ADDED_ON):
            found.append((name, value))
    return found


def redirected(landing: Landing, location: str) -> str:
    """`proxy_redirect default`: what names the upstream names the location again."""
    place = landing.place
    if place is None or place.kind in ("~", "~*", "@") or "$" in place.upstream + (place.uri or ""):
        return location
    begin = f"http://{place.upstream}{place.uri or ''}"
    if not location.startswith(begin) or (not place.uri and location[len(begin) :][:1] not in ("/", "")):
        return location
    path = (place.pattern if place.uri else "") + location[len(begin) :]
    return redirect_of(landing, path)


def condition_of(status: int) -> str:
    """The word of `proxy_next_upstream` for a whole answer; empty: it is never a failure."""
    return f"http_{status}" if status in (500, 502, 503, 504, 403, 404, 429) else ""
