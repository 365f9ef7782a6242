"""The protocols and TLS contexts with which connections to servers are opened, by the options file."""

from __future__ import annotations

import asyncio
import ssl
from typing import Any, cast

from ..config.option_tables import TlsOptions
from ..config.options import Options
from ..config.platform import ConfigError
from ..streams.negotiation import ProtocolNegotiation, ProtocolOffer
from .connection_group import ConnectionGroup, GroupPool
from .http1 import Http1Connection
from .http2 import Http2Connection
from .upstream_server import UpstreamServer

ALPN_PROTOCOLS = {ProtocolOffer.TLS: ["h2", "http/1.1"], ProtocolOffer.TLS_HTTP1: ["http/1.1"]}


class ProtocolSelector(asyncio.Protocol):
    """The protocol of a new connection until the server has selected one by ALPN (RFC 7301).

    Attributes:
        connection: The connection for the selected protocol, from `connection_made` on.
    """

    def __init__(self, group: ConnectionGroup) -> None:
        self.group = group
        self.connection: Http2Connection | Http1Connection | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called when the connection and its TLS are open; without TLS, HTTP/2 is used by prior knowledge."""
        opened = cast(asyncio.Transport, transport)
        tls = opened.get_extra_info("ssl_object")
        if tls is not None and tls.selected_alpn_protocol() != "h2":
            self.connection = Http1Connection(self.group.server)
        else:
            self.connection = Http2Connection(self.group, tls is not None)
            self.group.connection_opened(self.connection)
        opened.set_protocol(self.connection)
        self.connection.connection_made(opened)


def build_tls_context(options: Options, offer: ProtocolOffer) -> ssl.SSLContext:
    """Returns a client's context for TLS 1.2 or later; it verifies servers' names by the configured CAs.

    Raises `ConfigError`, which names the option whose file cannot be used.
    """
    tls: TlsOptions = options.tls
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(ALPN_PROTOCOLS[offer])
    # RFC 9113, section 9.2.1, forbids compression and renegotiation.
    context.options |= ssl.OP_NO_COMPRESSION | ssl.OP_NO_RENEGOTIATION
    key = "tls.ca"
    try:
        context.load_verify_locations(options.resolve_path(tls.ca))
        if tls.certificate:
            key = "tls.certificate"
            # An empty passphrase prevents OpenSSL from prompting for one on the daemon's terminal.
            context.load_cert_chain(
                options.resolve_path(tls.certificate), options.resolve_path(tls.key), password=""
            )
    except (OSError, ValueError) as error:  # SSLError is an OSError
        reason = getattr(error, "strerror", None) or str(error)
        raise ConfigError(f"{options.path}: {key}: cannot be used: {reason}") from error
    return context


class ConnectionFactory:
    """The HTTP/2 options, the protocol negotiation and the TLS contexts of one options file.

    `negotiation` is that of the former factory, so that known fallbacks are kept. Raises `ConfigError` for a
    file that cannot be used; the former options then stay in force.
    """

    def __init__(self, options: Options, negotiation: ProtocolNegotiation | None = None) -> None:
        self.options, self.http2_options = options, options.http2
        self.tls_contexts: dict[ProtocolOffer, ssl.SSLContext] = {}
        if options.tls.ca:
            self.tls_contexts = {offer: build_tls_context(options, offer) for offer in ALPN_PROTOCOLS}
        self.negotiation = negotiation or ProtocolNegotiation(self.http2_options)
        self.negotiation.options = self.http2_options  # last, after all steps that can fail

    def offer(self, server: UpstreamServer, now_ms: float) -> ProtocolOffer:
        """Returns how the server's next connection is opened."""
        return self.negotiation.offer(server.name, server.model, now_ms)

    def tls_arguments(self, server: UpstreamServer, now_ms: float) -> dict[str, Any]:
        """Returns the arguments of `create_connection` for TLS; none for a server without TLS."""
        offer = self.offer(server, now_ms)
        if not offer.is_tls:
            return {}
        name = self.options.tls.name.format(uid=server.name, model=server.model)
        return {"ssl": self.tls_contexts[offer], "server_hostname": name}

    def new_selector(self, group: ConnectionGroup) -> ProtocolSelector:
        """Returns the initial protocol of a new connection of a group."""
        return ProtocolSelector(group)

    def new_group(self, pool: GroupPool, server: UpstreamServer) -> ConnectionGroup:
        """Returns the connection group of a server that is reached over HTTP/2 from now on."""
        return ConnectionGroup(pool, server, self.http2_options)
