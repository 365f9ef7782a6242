"""How long a server's HTTP/1.1 connections rest, unused, between a response and the next request.

Nothing in HTTP/1.1 ties a response to its request (RFC 9112, section 9.3): a second response that comes once
the connection carries its next request is taken for that one's, and each later response for the one after.
What comes while a connection rests belongs to no request, and ends the connection.
"""

from __future__ import annotations

import math

REUSE_DELAY_MS = 60.0  # second responses are expected up to 50 ms late; the rest is for the path's jitter
MAX_REUSE_DELAY_MS = 200.0
LATENESS_MARGIN = 2.0  # a server's rest is the lateness that it may have shown, times this
LATENESS_MEMORY_MS = 15_000.0


class ReuseDelay:
    """The delay of one server's connections: `REUSE_DELAY_MS`, or more once surplus bytes were later."""

    def __init__(self) -> None:
        self._learned_ms = REUSE_DELAY_MS
        self._learned_until_ms = -math.inf

    def duration_ms(self, now_ms: float) -> float:
        """Returns how long a connection rests after a response, in milliseconds."""
        return self._learned_ms if now_ms < self._learned_until_ms else REUSE_DELAY_MS

    def surplus_read(self, now_ms: float, max_lateness_ms: float) -> None:
        """Learns that bytes have come behind a complete response.

        Args:
            now_ms: The present, steady milliseconds.
            max_lateness_ms: The most by which a response of the server may have come late by this sign.
        """
        wanted_ms = min(MAX_REUSE_DELAY_MS, LATENESS_MARGIN * max_lateness_ms)
        self._learned_ms = max(self.duration_ms(now_ms), wanted_ms)
        self._learned_until_ms = now_ms + LATENESS_MEMORY_MS
