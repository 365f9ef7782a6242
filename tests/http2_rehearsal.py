"""Helpers of the HTTP/2 tests: options, a director with stand-in servers, requests and certificates."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Callable, Coroutine
from functools import cache, wraps
from pathlib import Path
from typing import Any, ParamSpec

import trustme

from gladewalk.config.options import Options, build_options, read_option_tables
from gladewalk.director import Director
from gladewalk.rehearsal.director_harness import SETTINGS, DirectorHarness
from gladewalk.rehearsal.scripted_http2_server import Http2Request
from gladewalk.rehearsal.scripted_servers import ReceivedRequest, StandInServer
from gladewalk.rehearsal.write_soak import ticket
from gladewalk.upstream.pool import ConnectionPool

BYTES = bytes(range(256)) * 64
PATIENT_MS = 20_000.0  # a client's wait that is long enough even on a busy machine

Parameters = ParamSpec("Parameters")


def async_test(test: Callable[Parameters, Coroutine[Any, Any, None]]) -> Callable[Parameters, None]:
    """Runs a coroutine function as a test, in an event loop of its own."""

    @wraps(test)
    def run(*args: Parameters.args, **kwargs: Parameters.kwargs) -> None:
        asyncio.run(test(*args, **kwargs))

    return run


def options_for(mode: str = "h2c", tls: dict[str, Any] | None = None, **http2: Any) -> Options:
    """Returns the options that a file with these tables sets."""
    tables = read_option_tables({"http2": {"mode": mode, **http2}, "tls": tls or {}})
    return build_options(tables, "test.toml", Path("."))


def rehearse(
    *servers: StandInServer[Any],
    options: Options | None = None,
    connect_timeout_ms: float = 2_000.0,
    **http2: Any,
) -> DirectorHarness:
    """Returns a director that uses HTTP/2 for these servers, with a connect timeout for a busy machine."""
    limits = {**SETTINGS["limits"], "connect_timeout_ms": connect_timeout_ms}
    settings = {**SETTINGS, "limits": limits}
    return DirectorHarness(servers, settings=settings, options=options or options_for(**http2))


def director_of(rehearsal: DirectorHarness) -> Director:
    assert rehearsal.director is not None
    return rehearsal.director


def counters_of(rehearsal: DirectorHarness) -> dict[str, int]:
    return director_of(rehearsal).counters


def pool_of(rehearsal: DirectorHarness) -> ConnectionPool:
    return director_of(rehearsal).connection_pool


def serve(request: Http2Request) -> None:
    """Responds to a request to a stand-in server over HTTP/2."""
    request.respond(200, BYTES)


async def serve_http1(http1_request: ReceivedRequest) -> None:
    """Responds to a request to a stand-in server over HTTP/1.1."""
    await http1_request.respond(200, BYTES, X_Remark="mem")


async def write(
    rehearsal: DirectorHarness, number: int, body: bytes = b"10 boxes of hake", **arguments: Any
) -> int:
    """Sends a non-idempotent write with its own trace id; returns the status of its final answer."""
    path = f"/invoke/bid/{number:x}"
    return (await rehearsal.fetch(path, method="PUT", body=body, trace=ticket(number), **arguments))[0]


async def read(
    rehearsal: DirectorHarness, number: int, **arguments: Any
) -> tuple[int, dict[str, str], bytes]:
    """Sends a read with its own trace id: requests that are open at the same time need different ones."""
    return await rehearsal.fetch(f"/invoke/lot-page/{number:x}?nth=2", trace=ticket(number), **arguments)


@cache
def certificate_authority() -> trustme.CA:
    """Returns the CA of the test certificates."""
    return trustme.CA()


def server_context(
    *names: str, alpn: tuple[str, ...] = ("h2", "http/1.1"), client: bool = False
) -> ssl.SSLContext:
    """Returns a server's TLS context with a certificate for these names.

    `client`: the server requires a client certificate.
    """
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    certificate_authority().issue_cert(*names).configure_cert(context)
    context.set_alpn_protocols(list(alpn))
    if client:
        certificate_authority().configure_trust(context)
        context.verify_mode = ssl.CERT_REQUIRED
    return context
