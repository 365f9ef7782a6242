"""Keep-alive of a connection: when to send a PING, and when its server counts as dead."""

from __future__ import annotations

from enum import Enum


class KeepAliveAction(Enum):
    """What a keep-alive check asks for."""

    NONE = "none"
    PING = "ping"
    CLOSE = "close"  # the server counts as dead


class KeepAlive:
    """Detects a dead connection: a PING after silence, and a limit for any reply to it.

    Any byte is a sign of life, as a busy server need not answer a PING first. A connection on which no
    response is outstanding is not checked.

    Attributes:
        ping_after_ms: Silence before a PING is sent.
        timeout_ms: Silence after the PING before the connection counts as dead.
        received_ms: When the last byte was received.
        pinged_ms: When the PING that waits for its reply was sent; None where none does.
    """

    def __init__(self, ping_after_ms: float, timeout_ms: float, now_ms: float) -> None:
        self.ping_after_ms, self.timeout_ms = ping_after_ms, timeout_ms
        self.received_ms = now_ms
        self.pinged_ms: float | None = None

    def data_received(self, now_ms: float) -> None:
        """Records a sign of life."""
        self.received_ms, self.pinged_ms = now_ms, None

    def request_sent(self, now_ms: float) -> None:
        """Starts the time of silence: the server had no reason to send anything before."""
        if self.pinged_ms is None:
            self.received_ms = max(self.received_ms, now_ms)

    def check(self, is_outstanding: bool, now_ms: float) -> KeepAliveAction:
        """Returns what is to be done now; `is_outstanding`: the server owes a response or its settings."""
        if self.pinged_ms is not None:
            is_dead = now_ms - self.pinged_ms >= self.timeout_ms
            return KeepAliveAction.CLOSE if is_dead else KeepAliveAction.NONE
        if not is_outstanding or now_ms - self.received_ms < self.ping_after_ms:
            return KeepAliveAction.NONE
        self.pinged_ms = now_ms
        return KeepAliveAction.PING
