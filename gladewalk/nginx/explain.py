"""Why a request lands where it does, and which requests would land elsewhere under another table."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from ..config.platform import ConfigError
from .parser import NginxError
from .router import Landing, Router, read_host
from .table import Site, load_site
from .translate import import_site
from .uri import BadTarget, read_target
from .variables import Request


@dataclass(slots=True, frozen=True)
class Asked:
    """A request as an operator names it."""

    uri: str
    host: str = ""
    method: str = "GET"
    client: str = "127.0.0.1"
    listen: str = ""

    def __str__(self) -> str:
        return f"{self.method} {self.host or '-'} {self.uri}"


def load_any(path: str) -> Site:
    """A table that was written (`.toml`), or nginx's own file, imported; `ConfigError` for what can't be."""
    if path.endswith(".toml"):
        return load_site(Path(path))
    try:
        return import_site(path)
    except NginxError as error:
        raise ConfigError(str(error)) from error


def listen_of(router: Router, wanted: str) -> str:
    """The listen that is named, or the only one, or the first."""
    if wanted and wanted not in router.listeners:
        raise ConfigError(f"listen: {wanted} is none of {', '.join(router.listeners)}")
    return wanted or next(iter(router.listeners))


def land(router: Router, asked: Asked, trace: list[str] | None = None) -> Landing:
    """Route one request; `ConfigError` for one that would be answered 400 before any routing."""
    listen = listen_of(router, asked.listen)
    port = int(listen.rpartition(":")[2])
    try:
        host = read_host(asked.host)
        server = router.server_of(listen, host)
        target = read_target(asked.uri, server.row.merge_slashes)
    except (BadTarget, ValueError) as error:
        raise ConfigError(f"{asked.uri}: 400: {error}") from error
    request = Request(asked.method, target, host, {"host": host}, asked.client, server_port=port)
    return router.route(listen, request, trace)


def told(landing: Landing) -> str:
    """A landing in one line."""
    if landing.upstream:
        return f"upstream {landing.upstream} {landing.target}"
    return f"answer {landing.status} {landing.redirect or landing.text}".rstrip()


def explain(router: Router, asked: Asked) -> list[str]:
    """Every step of the way, in order, and where it ends."""
    trace = [str(asked)]
    landing = land(router, asked, trace)
    place = landing.place
    where = f" by {place.said}  [{place.at}]" if place is not None else ""
    return [*trace, f"=> {told(landing)}{where}"]


def diff(old: Router, new: Router, requests: Iterable[Asked]) -> list[tuple[Asked, str, str]]:
    """The requests that would land elsewhere, with where they did and where they would."""
    found = []
    for asked in requests:
        ends = []
        for router in (old, new):
            try:
                ends.append(told(land(router, asked)))
            except ConfigError as error:
                ends.append(str(error))
        if ends[0] != ends[1]:
            found.append((asked, ends[0], ends[1]))
    return found


def read_requests(lines: Iterable[str]) -> list[Asked]:
    """`[METHOD] [HOST] URI` a line; a URI begins with `/`, what is empty or a comment is passed over."""
    found = []
    for number, line in enumerate(lines, 1):
        words = line.split()
        if not words or words[0].startswith("#"):
            continue
        if not words[-1].startswith("/") or len(words) > 3:
            raise ConfigError(f"line {number}: not of the form [METHOD] [HOST] URI")
        method = words[0] if len(words) > 1 and words[0].isupper() else "GET"
        host = words[-2] if len(words) == 3 or (len(words) == 2 and not words[0].isupper()) else ""
        found.append(Asked(words[-1], "" if host == "-" else host, method))
    return found
