"""Which protocol a server is offered, by its name and model, and what it has shown that it speaks."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ..config.option_tables import Http2Options


class Offer(Enum):
    """How a server's next connection is opened."""

    HTTP1 = "http1"  # in the clear, one request at a time
    H2C = "h2c"  # HTTP/2 in the clear with prior knowledge (RFC 9113, 3.3)
    TLS = "tls"  # ALPN offers `h2` before `http/1.1` (RFC 9113, 3.2)
    TLS_HTTP1 = "tls_http1"  # ALPN offers `http/1.1` alone

    @property
    def secure(self) -> bool:
        return self in (Offer.TLS, Offer.TLS_HTTP1)

    @property
    def shared(self) -> bool:
        """Whether its connections are expected to be shared."""
        return self in (Offer.H2C, Offer.TLS)


@dataclass(slots=True)
class Fallback:
    until_ms: float
    why: str


class Negotiation:
    """Offers for all servers; a fallback is remembered for the stated time, then HTTP/2 is tried again."""

    def __init__(self, terms: Http2Options) -> None:
        self.terms = terms
        self.fallbacks: dict[str, Fallback] = {}

    def offer(self, uid: str, model: str, now_ms: float) -> Offer:
        mode = self.terms.mode_of(uid, model)
        if mode == "off":
            return Offer.HTTP1
        fallback = self.fallbacks.get(uid)
        if fallback is not None and now_ms >= fallback.until_ms:
            del self.fallbacks[uid]
            fallback = None
        if mode == "tls":
            return Offer.TLS if fallback is None else Offer.TLS_HTTP1
        return Offer.H2C if fallback is None else Offer.HTTP1

    def speaks_http1(self, uid: str, why: str, now_ms: float) -> None:
        """By ALPN, by HTTP_1_1_REQUIRED, or by an answer to our preface that is none of HTTP/2."""
        self.fallbacks[uid] = Fallback(now_ms + self.terms.http1_fallback_ms, why)

    def forget(self, uid: str) -> None:
        """The server is gone, or has moved: who stands there now is asked anew."""
        self.fallbacks.pop(uid, None)
