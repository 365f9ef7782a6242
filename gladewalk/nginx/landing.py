"""The result of routing a request: its landing, the upstream's request target, and the Location field."""

from __future__ import annotations

from dataclasses import dataclass

from .compiler import VirtualServer
from .location_rules import LocationRules
from .location_search import Location
from .table import LocationRow, ProxySettings
from .uri import UNSAFE_CHARS, percent_encode
from .variables import RequestState

MAX_URI_CHANGES = 10  # per request (NGX_HTTP_MAX_URI_CHANGES)
HTTP_PORT = 80
HTTPS_PORT = 443
CLOSE_CONNECTION = 444  # nginx's status for closing the connection without a response


@dataclass(slots=True)
class Landing:
    """The result of routing a request: an upstream with a request target, or a local response.

    Attributes:
        server: The virtual server.
        state: The state of the request after all rewrites.
        location: The location; None if the server itself sends the response or no location was found.
        upstream: The name of the upstream; "" for a local response.
        target: The request target that is sent to the upstream.
        status: The status of the local response; with `CLOSE_CONNECTION` no response is sent.
        text: The body of the local response.
        redirect: The Location field of the local response.
        shown_status: The status that `error_page` sends to the client instead of the response's own status.
        is_from_error_page: Whether an `error_page` was applied, which happens at most once for a request.
        uri_changes_left: The URI changes that are still allowed; after them the request ends with 500.
    """

    server: VirtualServer
    state: RequestState
    location: Location | None = None
    upstream: str = ""
    target: str = ""
    status: int = 0
    text: str = ""
    redirect: str = ""
    shown_status: int | None = None
    is_from_error_page: bool = False
    uri_changes_left: int = MAX_URI_CHANGES

    @property
    def location_row(self) -> LocationRow | None:
        """The table row of the location."""
        return self.location.row if self.location is not None else None

    @property
    def rules(self) -> LocationRules | None:
        """The compiled rules of the location."""
        return self.location.rules if self.location is not None else None

    @property
    def proxy(self) -> ProxySettings:
        """The proxy settings of the location; nginx's defaults without a location."""
        return self.location.row.proxy if self.location is not None else ProxySettings()


def upstream_target(state: RequestState, row: LocationRow, rules: LocationRules, is_uri_final: bool) -> str:
    """Returns the request target for the upstream (`ngx_http_proxy_create_request`).

    Args:
        state: The state of the request.
        row: The table row of the location.
        rules: The compiled rules of the location.
        is_uri_final: Whether a `rewrite ... break` set the URI, which then replaces the URI of `proxy_pass`.
    """
    args = f"?{state.args}" if state.args else ""
    if rules.uri is None or (not rules.uri.is_constant and rules.uri.text == ""):
        if state.is_uri_unchanged:
            return state.request.target.raw.partition("#")[0]
        return percent_encode(state.uri) + args
    if not rules.uri.is_constant or not rules.upstream.is_constant:
        # A URI of `proxy_pass` with variables replaces the request's URI as it is rendered. Unsafe characters
        # are encoded, because a decoded line break, which nginx would send, could smuggle a second request.
        return percent_encode(rules.uri.render(state), UNSAFE_CHARS)
    must_encode = state.request.target.is_encoded or state.is_internal
    if is_uri_final:
        return (percent_encode(state.uri) if must_encode else state.uri) + args
    rest = "" if row.is_regex or row.is_named else state.uri[len(row.pattern) :]
    return rules.uri.text + (percent_encode(rest) if must_encode else rest) + args


def redirect_location(landing: Landing, location: str) -> str:
    """Returns a Location field's value; a path becomes an absolute URL unless `absolute_redirect` is off."""
    row, request = landing.server.row, landing.state.request
    location = percent_encode(location, UNSAFE_CHARS)
    if not location.startswith("/") or not row.absolute_redirect:
        return location
    primary_name = landing.server.primary_name
    host = primary_name if row.name_in_redirect else request.host or primary_name
    standard_port = HTTPS_PORT if request.scheme == "https" else HTTP_PORT
    has_port = row.port_in_redirect and request.server_port != standard_port
    port = f":{request.server_port}" if has_port else ""
    return f"{request.scheme}://{host or request.server_address}{port}{location}"
