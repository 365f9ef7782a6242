"""Token bucket, for control frames that a server may send, resets that are sent, and request log lines."""

from __future__ import annotations


class TokenBucket:
    """Admits up to `burst` events at once and `per_s` events per second over time."""

    def __init__(self, burst: float, per_s: float, now_ms: float) -> None:
        self.burst, self.per_s = float(burst), per_s
        self._tokens, self._filled_ms = float(burst), now_ms

    def take(self, now_ms: float) -> bool:
        """Takes a token for one event; returns False if there is none."""
        if now_ms > self._filled_ms:
            refill = (now_ms - self._filled_ms) / 1000.0 * self.per_s
            self._tokens = min(self.burst, self._tokens + refill)
            self._filled_ms = now_ms
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
