"""What the tests of HTTP/2 upstream share: settings, a rehearsal, bids and certificates."""

from __future__ import annotations

import ssl
from functools import cache
from pathlib import Path
from typing import Any

import trustme

from gladewalk.config.options import Options, build_options, read_option_tables
from gladewalk.rehearsal.director_harness import SETTINGS, DirectorHarness
from gladewalk.rehearsal.scripted_http2_server import Http2Request
from gladewalk.rehearsal.scripted_servers import StandInServer
from gladewalk.rehearsal.write_soak import ticket

BYTES = bytes(range(256)) * 64


def options_for(mode: str = "h2c", tls: dict[str, Any] | None = None, **http2: Any) -> Options:
    tables = read_option_tables({"http2": {"mode": mode, **http2}, "tls": tls or {}})
    return build_options(tables, "test.toml", Path("."))


def world(
    *peers: StandInServer[Any], options: Options | None = None, wait_ms: float = 2_000.0, **http2: Any
) -> DirectorHarness:
    """A director that speaks HTTP/2 to these peers; a busy machine gets time to connect."""
    settings = {**SETTINGS, "limits": {**SETTINGS["limits"], "connect_timeout_ms": wait_ms}}
    return DirectorHarness(peers, settings=settings, options=options or options_for(**http2))


def serve(asked: Http2Request) -> None:
    asked.answer(200, BYTES)


async def bid(world: DirectorHarness, number: int, body: bytes = b"10 boxes of hake", **more: Any) -> int:
    """One bid with a trace of its own: the status of its final answer."""
    path = f"/invoke/bid/{number:x}"
    return (await world.fetch(path, method="PUT", body=body, trace=ticket(number), **more))[0]


async def page(world: DirectorHarness, number: int, **more: Any) -> tuple[int, dict[str, str], bytes]:
    """One read with a trace of its own, as several that are open at a time must have."""
    return await world.fetch(f"/invoke/lot-page/{number:x}?nth=2", trace=ticket(number), **more)


@cache
def authority() -> trustme.CA:
    return trustme.CA()


def server_context(
    *names: str, alpn: tuple[str, ...] = ("h2", "http/1.1"), client: bool = False
) -> ssl.SSLContext:
    """A box's TLS, with a certificate for these names; `client`: it asks for the other side's."""
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    authority().issue_cert(*names).configure_cert(context)
    context.set_alpn_protocols(list(alpn))
    if client:
        authority().configure_trust(context)
        context.verify_mode = ssl.CERT_REQUIRED
    return context
