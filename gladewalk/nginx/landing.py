"""Where a request lands, and what its upstream or its redirect is given then."""

from __future__ import annotations

from dataclasses import dataclass

from .compiler import VirtualServer
from .location_rules import LocationRules
from .location_search import Location
from .table import LocationRow, ProxySettings
from .uri import UNSAFE_CHARS, percent_encode
from .variables import RequestState

MAX_URI_CHANGES = 10  # of one request (NGX_HTTP_MAX_URI_CHANGES)
HTTP_PORT = 80
HTTPS_PORT = 443
CLOSE_CONNECTION = 444  # nginx's code for a close without a response


@dataclass(slots=True)
class Landing:
    """Where a request lands: an `upstream` that is asked for `target`, or a local response.

    Attributes:
        server: The virtual server.
        state: The request after all rewrites.
        location: The location; None if the server itself has answered or none was found.
        status: Of the local response; `CLOSE_CONNECTION`: none is sent.
        text: Its body.
        redirect: Its Location field.
        shown_status: What the client is told in place of the response's own status, set by `error_page`.
        is_from_error_page: Whether an `error_page` has sent it here, which happens once.
        uri_changes_left: Before the request ends with 500.
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
        """The row of the location."""
        return self.location.row if self.location is not None else None

    @property
    def rules(self) -> LocationRules | None:
        """The rules of the location."""
        return self.location.rules if self.location is not None else None

    @property
    def proxy(self) -> ProxySettings:
        """The proxy settings of the location, nginx's defaults without one."""
        return self.location.row.proxy if self.location is not None else ProxySettings()


def upstream_target(state: RequestState, row: LocationRow, rules: LocationRules, is_uri_final: bool) -> str:
    """Returns the target for the upstream (`ngx_http_proxy_create_request`).

    Args:
        state: The request.
        row: The location's row.
        rules: The location's rules.
        is_uri_final: Whether a `rewrite ... break` has set the URI, which replaces all of it.
    """
    args = f"?{state.args}" if state.args else ""
    if rules.uri is None or (not rules.uri.is_constant and rules.uri.text == ""):
        if state.is_uri_unchanged:
            return state.request.target.raw.partition("#")[0]
        return percent_encode(state.uri) + args
    if not rules.uri.is_constant or not rules.upstream.is_constant:  # with variables it is sent as rendered
        # A decoded line end, which nginx would write as it is, could smuggle a second request.
        return percent_encode(rules.uri.render(state), UNSAFE_CHARS)
    must_encode = state.request.target.is_encoded or state.is_internal
    if is_uri_final:
        return (percent_encode(state.uri) if must_encode else state.uri) + args
    rest = "" if row.is_regex or row.is_named else state.uri[len(row.pattern) :]
    return rules.uri.text + (percent_encode(rest) if must_encode else rest) + args


def redirect_location(landing: Landing, location: str) -> str:
    """Returns a Location field: absolute, unless the file has `absolute_redirect off` or it already is."""
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
