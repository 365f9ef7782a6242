"""Keep-alive of a connection: when to send a PING, and when the connection is considered dead."""

from __future__ import annotations

from enum import Enum


class KeepAliveAction(Enum):
    """The action that the owner of a connection must take after a keep-alive check."""

    NONE = "none"
    PING = "ping"
    CLOSE = "close"  # no reply to the PING: the connection is considered dead


class KeepAlive:
    """Detects a dead connection by a PING after a time without received bytes, and a timeout for the reply.

    Any received byte counts as a reply, because a busy server may send other frames before the PING's
    acknowledgement. A connection on which no response is outstanding is not checked.

    Attributes:
        ping_after_ms: The time without received bytes after which a PING is sent.
        timeout_ms: How long after a PING without received bytes the connection is considered dead.
        received_ms: When the last byte was received.
        pinged_ms: When the PING that awaits its reply was sent; None if no reply is awaited.
    """

    def __init__(self, ping_after_ms: float, timeout_ms: float, now_ms: float) -> None:
        self.ping_after_ms, self.timeout_ms = ping_after_ms, timeout_ms
        self.received_ms = now_ms
        self.pinged_ms: float | None = None

    def data_received(self, now_ms: float) -> None:
        """Records that bytes were received, which also counts as the reply to a PING."""
        self.received_ms, self.pinged_ms = now_ms, None

    def request_sent(self, now_ms: float) -> None:
        """Restarts the time until a PING: before this request the server had no reason to send anything."""
        if self.pinged_ms is None:
            self.received_ms = max(self.received_ms, now_ms)

    def check(self, is_outstanding: bool, now_ms: float) -> KeepAliveAction:
        """Returns what to do now; `is_outstanding`: a response or the server's settings are outstanding."""
        if self.pinged_ms is not None:
            is_dead = now_ms - self.pinged_ms >= self.timeout_ms
            return KeepAliveAction.CLOSE if is_dead else KeepAliveAction.NONE
        if not is_outstanding or now_ms - self.received_ms < self.ping_after_ms:
            return KeepAliveAction.NONE
        self.pinged_ms = now_ms
        return KeepAliveAction.PING
