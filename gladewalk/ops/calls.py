"""The operators' calls at the second address, each answered from the director's own state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..interface import ServerState
from ..net.admin import AdminFront, Answer
from .figures import Now, stats

if TYPE_CHECKING:
    from ..director import Director


def now_of(director: Director) -> Now:
    """What is so now: requests owed; caches listed, and those the module rests or that drain."""
    core, now_ms = director.exchange.core, director.exchange.clock()
    listed = [s for s in core.state.registry.servers.values() if s.info.state is not ServerState.GONE]
    avoided = sum(s.info.state is not ServerState.READY or now_ms < s.backoff_until_ms for s in listed)
    return Now(pending=director.exchange.unanswered_count, members=len(listed), members_unavailable=avoided)


def admin_front(director: Director) -> AdminFront:
    """The second address's routes: readiness, figures and the drain."""
    readiness = director.readiness

    def ready() -> tuple[int, bytes]:
        return (200, b"ready\n") if readiness.ready() else (503, b"not ready\n")

    def figures() -> tuple[int, bytes]:
        return 200, stats(director.counters, director.exchange.core.state.classes, now_of(director))

    def drain_start() -> tuple[int, bytes]:
        readiness.start_drain(director.exchange.clock())
        director.log.info("drain", on=True)
        return 200, b"draining\n"

    def drain_stop() -> tuple[int, bytes]:
        readiness.stop_drain()
        director.log.info("drain", on=False)
        return 200, b"ready\n" if readiness.ready() else b"not ready\n"

    routes: dict[str, dict[str, Answer]] = {
        "/ops/readiness": {"GET": ready},
        "/ops/stats": {"GET": figures},
        "/ops/drain/start": {"PUT": drain_start},
        "/ops/drain/stop": {"PUT": drain_stop},
    }
    return AdminFront(routes, director.exchange.clock, director.deadlines, director.counters)
