"""Blocks signals while their handlers are not installed, so that they do not end the process."""

from __future__ import annotations

import signal

HANDLED_SIGNALS = {signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGUSR1}


def block() -> None:
    """Keeps the handled signals pending in the kernel until `unblock`.

    The default action of SIGHUP and SIGUSR1 would kill a process that receives one of them while it starts or
    is about to end. A SIGTERM during the start would leave connections in the listener's queue unanswered.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def unblock() -> None:
    """Delivers pending signals; to be called once the handlers are installed."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
