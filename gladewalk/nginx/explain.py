"""Explains how a request is routed, and finds the requests that two tables route differently."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from ..config.platform import ConfigError
from .errors import MalformedRequestError, NginxConfigError
from .hosts import normalise_optional_host
from .landing import Landing
from .router import Router
from .table import Site, load_site
from .translate import import_site
from .uri import parse_target
from .variables import Request

MAX_WORDS = 3  # the words of a request line: `[METHOD] [HOST] URI`


@dataclass(slots=True, frozen=True)
class RequestDescription:
    """A request as an operator describes it; an empty `listen` selects the table's first listen address."""

    uri: str
    host: str = ""
    method: str = "GET"
    client_address: str = "127.0.0.1"
    listen: str = ""

    def __str__(self) -> str:
        return f"{self.method} {self.host or '-'} {self.uri}"


@dataclass(slots=True, frozen=True)
class MovedRequest:
    """A request that two tables route differently, with a description of its landing by each of them."""

    request: RequestDescription
    previous: str
    current: str


def load_site_or_import(path: str) -> Site:
    """Loads a table (a path ending in `.toml`) or imports an nginx configuration; raises `ConfigError`."""
    if path.endswith(".toml"):
        return load_site(Path(path))
    try:
        return import_site(path)
    except NginxConfigError as error:
        raise ConfigError(str(error)) from error


def _choose_listen(router: Router, wanted: str) -> str:
    """Returns the wanted listen address, by default the first; raises `ConfigError` for an unknown one."""
    if wanted and wanted not in router.listeners:
        raise ConfigError(f"listen: {wanted} is none of {', '.join(router.listeners)}")
    return wanted or next(iter(router.listeners))


def route_request(router: Router, description: RequestDescription, trace: list[str] | None = None) -> Landing:
    """Routes one request.

    Raises:
        ConfigError: The request is malformed and would get a 400, or its listen address is unknown.
    """
    listen = _choose_listen(router, description.listen)
    port = int(listen.rpartition(":")[2])
    try:
        host = normalise_optional_host(description.host)
        target = parse_target(description.uri, router.server_of(listen, host).row.merge_slashes)
    except (MalformedRequestError, UnicodeEncodeError) as error:
        raise ConfigError(f"{description.uri}: 400: {error}") from error
    request = Request(
        description.method, target, host, {"host": host}, description.client_address, server_port=port
    )
    return router.route(listen, request, trace)


def describe_landing(landing: Landing) -> str:
    """Returns a description of a landing in one line."""
    if landing.upstream:
        return f"upstream {landing.upstream} {landing.target}"
    return f"answer {landing.status} {landing.redirect or landing.text}".rstrip()


def explain(router: Router, description: RequestDescription) -> list[str]:
    """Returns one line for each routing step of a request, and one for its landing; raises `ConfigError`."""
    trace = [str(description)]
    landing = route_request(router, description, trace)
    row = landing.location_row
    where = f" by {row.directive}  [{row.defined_at}]" if row is not None else ""
    return [*trace, f"=> {describe_landing(landing)}{where}"]


def moved_requests(
    previous: Router, current: Router, requests: Iterable[RequestDescription]
) -> list[MovedRequest]:
    """Returns the requests that `previous` and `current` route differently."""
    moved = []
    for description in requests:
        before, after = _landing_or_error(previous, description), _landing_or_error(current, description)
        if before != after:
            moved.append(MovedRequest(description, before, after))
    return moved


def _landing_or_error(router: Router, description: RequestDescription) -> str:
    try:
        return describe_landing(route_request(router, description))
    except ConfigError as error:
        return str(error)


def parse_requests(lines: Iterable[str]) -> list[RequestDescription]:
    """Parses lines of the form `[METHOD] [HOST] URI`; empty lines and lines that start with `#` are skipped.

    Raises:
        ConfigError: A line has another form.
    """
    requests = []
    for number, line in enumerate(lines, 1):
        words = line.split()
        if not words or words[0].startswith("#"):
            continue
        *rest, uri = words
        if not uri.startswith("/") or len(words) > MAX_WORDS:
            raise ConfigError(f"line {number}: not of the form [METHOD] [HOST] URI")
        method = rest[0] if rest and rest[0].isupper() else "GET"
        has_host = len(rest) == 2 or (len(rest) == 1 and not rest[0].isupper())
        host = rest[-1] if has_host and rest[-1] != "-" else ""
        requests.append(RequestDescription(uri, host, method))
    return requests
