"""Which protocol is offered to a server, by its name, its model and the protocols it is known to support."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ..config.option_tables import Http2Options


class ProtocolOffer(Enum):
    """How a server's next connection is opened."""

    HTTP1 = "http1"  # without TLS
    H2C = "h2c"  # HTTP/2 without TLS, with prior knowledge (RFC 9113, section 3.3)
    TLS = "tls"  # ALPN offers `h2` before `http/1.1` (RFC 9113, section 3.2)
    TLS_HTTP1 = "tls_http1"  # ALPN offers only `http/1.1`

    @property
    def is_tls(self) -> bool:
        """Whether the connection is opened with TLS."""
        return self in (ProtocolOffer.TLS, ProtocolOffer.TLS_HTTP1)

    @property
    def is_multiplexed(self) -> bool:
        """Whether HTTP/2 is offered."""
        return self in (ProtocolOffer.H2C, ProtocolOffer.TLS)


@dataclass(slots=True)
class Http1Fallback:
    """A server's temporary fallback to HTTP/1.1, with its reason."""

    until_ms: float
    reason: str


class ProtocolNegotiation:
    """Chooses each server's offer; a fallback lasts `http1_fallback_ms`, then HTTP/2 is offered again."""

    def __init__(self, options: Http2Options) -> None:
        self.options = options
        self.fallbacks: dict[str, Http1Fallback] = {}

    def offer(self, uid: str, model: str, now_ms: float) -> ProtocolOffer:
        """Returns how the next connection of a server is opened."""
        mode = self.options.mode_of(uid, model)
        if mode == "off":
            return ProtocolOffer.HTTP1
        fallback = self.fallbacks.get(uid)
        if fallback is not None and now_ms >= fallback.until_ms:
            del self.fallbacks[uid]
            fallback = None
        if mode == "tls":
            return ProtocolOffer.TLS if fallback is None else ProtocolOffer.TLS_HTTP1
        return ProtocolOffer.H2C if fallback is None else ProtocolOffer.HTTP1

    def fall_back(self, uid: str, reason: str, now_ms: float) -> None:
        """Starts a server's fallback, caused by ALPN, HTTP_1_1_REQUIRED or a rejected preface."""
        self.fallbacks[uid] = Http1Fallback(now_ms + self.options.http1_fallback_ms, reason)

    def forget(self, uid: str) -> None:
        """Removes the fallback of a server that was removed or has a new address: HTTP/2 is offered again."""
        self.fallbacks.pop(uid, None)
