"""How long a server's HTTP/1.1 connection stays unused between a response and the next request.

Nothing in HTTP/1.1 ties a response to its request (RFC 9112, section 9.3). If a server sends a duplicate
response after the connection has carried the next request, that response is taken for the next request's, and
each later response for that of the request after it. Bytes that are received during the reuse delay belong to
no request, and the connection is closed.
"""

from __future__ import annotations

import math

REUSE_DELAY_MS = 60.0  # duplicate responses are expected after up to 50 ms; 10 ms are for network jitter
MAX_REUSE_DELAY_MS = 200.0
SURPLUS_MARGIN_FACTOR = 2.0  # an extended delay is this multiple of the longest time shown by surplus bytes
EXTENDED_DELAY_DURATION_MS = 15_000.0  # how long an extended delay applies after the last surplus bytes


class ReuseDelay:
    """The reuse delay of one server's connections: `REUSE_DELAY_MS`, extended after later surplus bytes."""

    def __init__(self) -> None:
        self._extended_ms = REUSE_DELAY_MS
        self._extended_until_ms = -math.inf

    def duration_ms(self, now_ms: float) -> float:
        """Returns how long a connection is not reused after a response, in milliseconds."""
        return self._extended_ms if now_ms < self._extended_until_ms else REUSE_DELAY_MS

    def record_surplus_bytes(self, now_ms: float, max_elapsed_ms: float) -> None:
        """Extends the delay after bytes were received that follow a complete response.

        Args:
            now_ms: The current time, steady milliseconds.
            max_elapsed_ms: The longest time after a complete response at which, by this evidence, a duplicate
                response may have been received.
        """
        wanted_ms = min(MAX_REUSE_DELAY_MS, SURPLUS_MARGIN_FACTOR * max_elapsed_ms)
        self._extended_ms = max(self.duration_ms(now_ms), wanted_ms)
        self._extended_until_ms = now_ms + EXTENDED_DELAY_DURATION_MS
