"""Signals that come before their handlers are installed, or after these are gone, wait and end nothing."""

from __future__ import annotations

import signal

HANDLED_SIGNALS = {signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGUSR1}


def block() -> None:
    """Keeps the handled signals pending in the kernel until `unblock`.

    A SIGHUP or SIGUSR1 while a process starts or is about to end would else kill it, which is their default
    action; a SIGTERM at the start would leave connections at the listener unanswered.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def unblock() -> None:
    """Delivers what is pending; the handlers are installed."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
