"""Rehearses an imported site: `gladewalk rehearse SITE URI...`

Every server of every upstream is played by a stand-in on loopback; a director with the front stands before
them. Each URI is asked for as a client would, and one line says where it landed by the table, who answered,
and with what. A landing and an answer that disagree are told with exit code 1.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from ..nginx.explain import RequestDescription, describe_landing, route_request
from ..nginx.router import Router
from ..nginx.table import Site
from .webworld import Answer, WebWorld

CLOSED = Answer(444, {}, b"")


async def ask(world: WebWorld, asked: RequestDescription) -> Answer:
    """The answer to one request; a close without one as nginx's 444."""
    try:
        return await world.ask(asked.uri, asked.host or "localhost", asked.method, listen=asked.listen)
    except (asyncio.IncompleteReadError, ConnectionError):
        return CLOSED


async def rehearse(site: Site, requests: Iterable[RequestDescription]) -> tuple[list[str], bool]:
    """One line for each request, and whether each answer came from where its landing says."""
    router, lines, good = Router(site), [], True
    async with WebWorld(site) as world:
        for asked in requests:
            landing = route_request(router, asked)
            answer = await ask(world, asked)
            upstream = answer.by.rpartition("/")[0]
            agrees = upstream == landing.upstream and (bool(upstream) or answer.status == landing.status)
            who = f"{answer.status} from {answer.by or 'the director'}"
            lines.append(
                f"{asked}: {describe_landing(landing)}; {who}{'' if agrees else ' -- NOT AS THE TABLE SAYS'}"
            )
            good = good and agrees
    return lines, good


def run(site: Site, requests: Iterable[RequestDescription]) -> tuple[list[str], bool]:
    return asyncio.run(rehearse(site, requests))
