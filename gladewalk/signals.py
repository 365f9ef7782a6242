"""Signals that come before their handlers are there, or after these have gone: they wait, and end nothing."""

from __future__ import annotations

import signal

HEEDED = {signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGUSR1}


def hold() -> None:
    """From now on they wait with the system until `release`.

    Guards against a SIGHUP or SIGUSR1 while a process starts or has nearly ended, where the system's own way
    is to kill it; and against a SIGTERM while connections are already waiting at the listener, unanswered.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HEEDED)


def release() -> None:
    """Their handlers are there: what has come meanwhile comes now."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HEEDED)
