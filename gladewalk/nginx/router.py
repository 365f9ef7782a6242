"""Routes requests by a compiled table, in the order of nginx's phases.

The router chooses the server by listen address and host, executes the server's rewrite directives, finds the
location and executes the location's rewrite directives. While these change the URI, the location search is
repeated, at most ten times. Then access is checked, and the result is a local response, or an upstream with
the request target for it. Routing does no I/O and uses no randomness: it gives equal results for equal
requests.
"""

from __future__ import annotations

from .compiler import VirtualServer, compile_site
from .errors import MatchLimitError
from .landing import Landing, redirect_location, upstream_target
from .location_rules import ErrorPage, LocationRules
from .location_search import Location, LocationSearch, SearchResult
from .rewrite import REDIRECT_STATUSES, LocalResponse, execute_instructions
from .table import LocationRow, Site, UpstreamRow
from .uri import percent_encode
from .variables import Request, RequestState

Trace = list[str] | None  # the list that gets one line for each routing step; None disables tracing


class Router:
    """Routes requests by one compiled table.

    Attributes:
        site: The table.
        upstreams: The table's upstreams by name.
        listeners: The table's listeners by `HOST:PORT`.
    """

    def __init__(self, site: Site) -> None:
        """Compiles a table; raises `RoutingTableError`."""
        compiled = compile_site(site)
        self.site = site
        self.upstreams = {upstream.name: upstream for upstream in site.upstreams}
        self.listeners = compiled.listeners
        self._computed = compiled.computed

    def server_of(self, listen: str, host: str) -> VirtualServer:
        """Returns the server for a normalised host, or the default server of the listen address."""
        listener = self.listeners[listen]
        assert listener.default_server is not None
        return listener.servers.find(host) or listener.default_server

    def route(self, listen: str, request: Request, trace: Trace = None) -> Landing:
        """Returns the upstream or the local response that a request is routed to.

        Args:
            listen: A key of `listeners`.
            request: The request; its host must be normalised.
            trace: Gets one line for each routing step.
        """
        server = self.server_of(listen, request.host)
        state = RequestState(
            request,
            request.target.path,
            request.target.args,
            server_name=server.primary_name,
            computed=self._computed,
        )
        state.variables.update(self.listeners[listen].servers.find_regex(request.host)[1])
        if trace is not None:
            names = " ".join(server.row.names) or "no name"
            trace.append(f"server {names}, listen {listen}  [{server.row.defined_at}]")
        return self._run_server_phase(Landing(server, state), trace)

    def _run_server_phase(self, landing: Landing, trace: Trace) -> Landing:
        try:
            outcome = execute_instructions(landing.server.instructions, landing.state, trace)
            if outcome.response is not None:
                return self._respond(landing, outcome.response, trace)
            return self._find_location(landing, trace)
        except MatchLimitError as error:
            if trace is not None:
                trace.append(f"  given up: {error}")
            return self._respond(landing, LocalResponse(500), trace, is_final=True)

    def _find_location(self, landing: Landing, trace: Trace) -> Landing:
        """Finds the location and executes its phases, again after each rewrite that changes the URI."""
        state = landing.state
        while True:
            if trace is not None:
                trace.append(f"location for {state.uri}:")
            search = LocationSearch(state, trace)
            result = search.run(landing.server.locations)
            landing.location = search.best
            if result is SearchResult.NOT_FOUND or search.best is None:
                return self._respond(landing, LocalResponse(404), trace)
            if result is SearchResult.MISSING_SLASH:
                args = f"?{state.args}" if state.args else ""
                response = LocalResponse(301, location=percent_encode(state.uri) + "/" + args)
                return self._respond(landing, response, trace)
            if search.best.row.is_internal and not state.is_internal:
                return self._respond(landing, LocalResponse(404), trace)
            if not self._enter_location(landing, search.best, trace):
                return landing

    def _enter_location(self, landing: Landing, location: Location, trace: Trace) -> bool:
        """Executes a location's phases; returns whether the location search must be repeated."""
        state, row, rules = landing.state, location.row, location.rules
        if _is_body_too_large(landing):
            self._respond(landing, LocalResponse(413), trace)
            return False
        outcome = execute_instructions(rules.instructions, state, trace)
        if outcome.response is not None:
            self._respond(landing, outcome.response, trace)
            return False
        if outcome.is_uri_changed:
            return self._count_uri_change(landing, trace)
        method = "GET" if state.request.method == "HEAD" else state.request.method
        is_excepted = bool(row.excepted_methods) and method not in row.excepted_methods
        access = rules.excepted_access if is_excepted else rules.access
        if not access.allows(state.request.client_address):
            self._respond(landing, LocalResponse(403), trace)
            return False
        if rules.fallback is not None:
            return self._apply_fallback(landing, rules.fallback.render(state), trace)
        self._proxy(landing, row, rules, outcome.is_uri_final, trace)
        return False

    def _count_uri_change(self, landing: Landing, trace: Trace) -> bool:
        """Counts a change of the URI; returns whether the limit allows it, else responds with 500."""
        landing.uri_changes_left -= 1
        if landing.uri_changes_left >= 0:
            return True
        self._respond(landing, LocalResponse(500), trace, is_final=True)
        return False

    def _apply_fallback(self, landing: Landing, target: str, trace: Trace) -> bool:
        """Applies the last argument of `try_files`: a status, a named location or a new URI.

        Returns whether the location search must be repeated (ngx_http_core_module, "try_files").
        """
        if trace is not None:
            trace.append(f"try_files -> {target}")
        if target.startswith("="):
            self._respond(landing, LocalResponse(int(target[1:])), trace)
            return False
        if not self._count_uri_change(landing, trace):
            return False
        if target.startswith("@"):
            landing.state.is_internal = True
            self._enter_named_location(landing, target, trace)
            return False
        landing.state.redirect_internally(target, keeps_args=True)
        return True

    def _enter_named_location(self, landing: Landing, name: str, trace: Trace) -> Landing:
        location = landing.server.named_locations.get(name)
        if location is None:
            return self._respond(landing, LocalResponse(500), trace, is_final=True)
        landing.location = location
        must_search = self._enter_location(landing, location, trace)
        return self._find_location(landing, trace) if must_search else landing

    def _proxy(
        self, landing: Landing, row: LocationRow, rules: LocationRules, is_uri_final: bool, trace: Trace
    ) -> None:
        state = landing.state
        name = rules.upstream.render(state)
        upstream = self.upstreams.get(name)
        # The name is empty without `proxy_pass`. A variable's value that names no upstream gives 502 here;
        # nginx would resolve it by DNS.
        if upstream is None:
            self._respond(landing, LocalResponse(502 if row.upstream else 404), trace)
            return
        state.proxy_host = name
        landing.upstream, landing.status = name, 0
        landing.target = upstream_target(state, row, rules, is_uri_final)
        if trace is not None:
            trace += _describe_upstream(upstream, landing.target)

    # Local responses and error pages.

    def _respond(
        self, landing: Landing, response: LocalResponse, trace: Trace, is_final: bool = False
    ) -> Landing:
        """Ends routing with a local response, or applies the `error_page` of its status.

        The `error_page` is ignored if the response has a text, is a redirect or is marked `is_final`.
        """
        is_redirect = response.status in REDIRECT_STATUSES
        landing.upstream, landing.status, landing.text = "", response.status, response.text
        landing.redirect = redirect_location(landing, response.location) if is_redirect else ""
        if trace is not None:
            trace.append(f"answer {response.status} {landing.redirect or response.text}".rstrip())
        if is_final or response.text or is_redirect:
            return landing
        return self.apply_error_page(landing, response.status, trace)

    def apply_error_page(self, landing: Landing, status: int, trace: Trace = None) -> Landing:
        """Routes a request again by the `error_page` for the status of its response.

        Returns the landing unchanged if there is no page for the status, if an `error_page` was applied to
        the request before, or if no URI changes are left.
        """
        page = _error_page(landing, status)
        if page is None or landing.is_from_error_page or landing.uri_changes_left <= 0:
            return landing
        landing.is_from_error_page = True
        landing.uri_changes_left -= 1
        shown_status = page.row.response_status
        landing.shown_status = status if shown_status is None else shown_status or None
        state, target = landing.state, page.target.render(landing.state)
        if trace is not None:
            trace.append(f"error_page {status} -> {target}")
        if target.startswith(("http://", "https://")):
            landing.status = 302
            if shown_status is not None and shown_status in REDIRECT_STATUSES:
                landing.status = shown_status
            landing.redirect, landing.shown_status, landing.text = target, None, ""
            return landing
        try:
            if target.startswith("@"):
                state.is_internal = True
                return self._enter_named_location(landing, target, trace)
            if state.request.method != "HEAD":
                state.request.method = "GET"
            state.redirect_internally(target)
            return self._run_server_phase(landing, trace)
        except MatchLimitError:
            landing.status, landing.upstream = 500, ""
            return landing


def _error_page(landing: Landing, status: int) -> ErrorPage | None:
    """Returns the page for a status; a location that has any pages replaces all pages of the server."""
    pages = landing.rules.error_pages if landing.rules is not None else {}
    return (pages or landing.server.error_pages).get(status)


def _is_body_too_large(landing: Landing) -> bool:
    length = landing.state.request.fields.get("content-length", "0")
    return 0 < landing.proxy.max_body_bytes < (int(length) if length.isdigit() else 0)


def _describe_upstream(upstream: UpstreamRow, target: str) -> list[str]:
    """Returns the trace lines for an upstream and its servers."""
    lines = [f"upstream {upstream.name}, asked for {target}  [{upstream.defined_at}]"]
    for server in upstream.servers:
        states = (("down", server.is_down), ("backup", server.is_backup))
        flags = " ".join(word for word, is_set in states if is_set)
        description = f"  {server.address} weight {server.weight} {flags}".rstrip()
        lines.append(f"{description}  [{server.defined_at}]")
    return lines
