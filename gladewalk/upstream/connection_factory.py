"""How a server's connections are opened: the protocol it is offered, and TLS with its files."""

from __future__ import annotations

import asyncio
import ssl
from typing import TYPE_CHECKING, Any, cast

from ..config.option_tables import TlsOptions
from ..config.options import Options
from ..config.platform import ConfigError
from ..streams.negotiation import Negotiation, Offer
from .connection_group import Lane
from .http1 import CacheConnection
from .http2 import Http2Connection

if TYPE_CHECKING:
    from .pool import Caches
    from .upstream_server import Upstream

ALPN = {Offer.TLS: ["h2", "http/1.1"], Offer.TLS_HTTP1: ["http/1.1"]}


class First(asyncio.Protocol):
    """Stands in until TLS has shown which protocol the server chose (RFC 7301)."""

    def __init__(self, lane: Lane) -> None:
        self.lane = lane
        self.chosen: Http2Connection | CacheConnection | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        made = cast(asyncio.Transport, transport)
        session = made.get_extra_info("ssl_object")
        if session is not None and session.selected_alpn_protocol() != "h2":
            self.chosen = CacheConnection(self.lane.upstream)
        else:
            self.chosen = Http2Connection(self.lane, session is not None)
            self.lane.opened(self.chosen)
        made.set_protocol(self.chosen)
        self.chosen.connection_made(made)


def make_context(options: Options, offer: Offer) -> ssl.SSLContext:
    """TLS 1.2 at least, the server's name checked against the named CAs; `ConfigError` names the bad file."""
    tls: TlsOptions = options.tls
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(ALPN[offer])
    # RFC 9113, 9.2.1: neither compression nor renegotiation.
    context.options |= ssl.OP_NO_COMPRESSION | ssl.OP_NO_RENEGOTIATION
    key = "tls.ca"
    try:
        context.load_verify_locations(options.file(tls.ca))
        if tls.certificate:
            key = "tls.certificate"
            # No passphrase: guards against a prompt on the terminal of a daemon.
            context.load_cert_chain(options.file(tls.certificate), options.file(tls.key), password="")
    except (OSError, ValueError) as error:  # SSLError among them
        why = getattr(error, "strerror", None) or str(error)
        raise ConfigError(f"{options.path}: {key}: cannot be used: {why}") from error
    return context


class Shapes:
    """Terms, negotiation and TLS contexts that are in force together."""

    def __init__(self, options: Options, negotiation: Negotiation | None = None) -> None:
        self.options, self.terms = options, options.http2
        self.contexts: dict[Offer, ssl.SSLContext] = {}
        if options.tls.ca:
            self.contexts = {offer: make_context(options, offer) for offer in ALPN}
        self.negotiation = negotiation or Negotiation(self.terms)
        self.negotiation.terms = self.terms  # only once nothing can fail any more: the old stay in force

    def offer(self, upstream: Upstream, now_ms: float) -> Offer:
        return self.negotiation.offer(upstream.name, upstream.model, now_ms)

    def security(self, upstream: Upstream, now_ms: float) -> dict[str, Any]:
        offer = self.offer(upstream, now_ms)
        if not offer.secure:
            return {}
        name = self.options.tls.name.format(uid=upstream.name, model=upstream.model)
        return {"ssl": self.contexts[offer], "server_hostname": name}

    def first(self, lane: Lane) -> First:
        return First(lane)

    def lane(self, pool: Caches, upstream: Upstream) -> Lane:
        return Lane(pool, upstream, self.terms)
