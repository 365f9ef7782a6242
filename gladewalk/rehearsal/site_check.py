"""Checks an imported site against stand-in servers: the command `gladewalk rehearse SITE URI...`.

Every server of every upstream is a stand-in on loopback, with a director and the site's front before them.
Each URI is requested as a client would, and one line says where it goes by the table, who answered, and with
what. The command ends with exit code 1 if the two disagree.
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
    """The lines of a check, one for each request, and whether every answer is as the table says."""

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
    router, lines, all_agree = Router(site), [], True
    async with SiteHarness(site) as harness:
        for request in requests:
            landing = route_request(router, request)
            response = await _fetch(harness, request)
            upstream = response.server.rpartition("/")[0]
            agrees = upstream == landing.upstream and (bool(upstream) or response.status == landing.status)
            who = f"{response.status} from {response.server or 'the director'}"
            verdict = "" if agrees else " -- NOT AS THE TABLE SAYS"
            lines.append(f"{request}: {describe_landing(landing)}; {who}{verdict}")
            all_agree = all_agree and agrees
    return SiteCheck(lines, all_agree)


def check_site(site: Site, requests: Iterable[RequestDescription]) -> SiteCheck:
    """Requests each URI of a site played on loopback, in an event loop of its own."""
    return asyncio.run(_check_site(site, requests))
