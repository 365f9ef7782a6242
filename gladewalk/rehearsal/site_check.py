"""Checks an imported site against stand-in servers: the command `gladewalk rehearse SITE URI...`.

All servers of all upstreams are stand-ins on loopback, behind a director with the site's front. Each URI is
requested as by a client; one line reports its destination according to the table, the server that responded
and the status. The command ends with exit code 1 if a response does not match the table.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import NamedTuple

from ..nginx.explain import RequestDescription, describe_landing, route_request
from ..nginx.router import Router
from ..nginx.table import Site
from .site_harness import SiteHarness, SiteResponse

CLOSED = SiteResponse(444, {}, b"")  # nginx's status for a connection closed without a response


class SiteCheck(NamedTuple):
    """The lines of a check, one per request, and whether every response matches the table."""

    lines: list[str]
    agrees: bool


async def _fetch(site: SiteHarness, request: RequestDescription) -> SiteResponse:
    try:
        return await site.fetch(
            request.uri, request.host or "localhost", request.method, listen=request.listen
        )
    except (asyncio.IncompleteReadError, ConnectionError):
        return CLOSED


async def _check_site(site: Site, requests: Iterable[RequestDescription]) -> SiteCheck:
    router, lines, all_match = Router(site), [], True
    async with SiteHarness(site) as harness:
        for request in requests:
            landing = route_request(router, request)
            response = await _fetch(harness, request)
            upstream = response.server.rpartition("/")[0]
            matches = upstream == landing.upstream and (bool(upstream) or response.status == landing.status)
            responder = f"{response.status} from {response.server or 'the director'}"
            verdict = "" if matches else " -- NOT AS THE TABLE SAYS"
            lines.append(f"{request}: {describe_landing(landing)}; {responder}{verdict}")
            all_match = all_match and matches
    return SiteCheck(lines, all_match)


def check_site(site: Site, requests: Iterable[RequestDescription]) -> SiteCheck:
    """Runs a site on loopback in a new event loop and checks the response to each request."""
    return asyncio.run(_check_site(site, requests))
