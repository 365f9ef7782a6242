"""Control queries of leases: the status of leases, a hand-on, a purge and its status."""

from __future__ import annotations

from typing import Any

from ..control.queries import Query
from ..control.server import ControlServer, UnsupportedQueryError
from .purge_requests import PurgeRejectedError
from .status import HandOnResult, PurgeReceipt, PurgeStatus
from .transport import LeaseService

Arguments = dict[str, Any]  # of a query, as its JSON has them


def add_views(control: ControlServer, leases: LeaseService) -> None:
    """Adds the queries of leases and purges; each raises `UnsupportedQueryError` if it can't be done."""

    def hand_on(arguments: Arguments) -> HandOnResult:
        return _hand_on(leases, str(arguments.get("duty", "")), str(arguments.get("to", "")))

    def purge(arguments: Arguments) -> PurgeReceipt:
        try:
            return PurgeReceipt(leases.request_purge(str(arguments.get("what", ""))))
        except PurgeRejectedError as error:
            raise UnsupportedQueryError(str(error)) from error

    def purge_status(arguments: Arguments) -> PurgeStatus:
        purges = leases.holder_tasks.purges
        if purges is None:
            raise UnsupportedQueryError("no hub caches are configured (leases.hubs)")
        return purges.status(str(arguments.get("id", "")))

    control.handlers[Query.LEASES] = lambda arguments: leases.status()
    control.handlers[Query.HAND_ON] = hand_on
    control.handlers[Query.PURGE] = purge
    control.handlers[Query.PURGE_STATUS] = purge_status


def _hand_on(leases: LeaseService, task: str, successor: str) -> HandOnResult:
    candidate = leases.candidate
    if task not in candidate.leases:
        raise UnsupportedQueryError(f"no duty {task!r}: there are {', '.join(sorted(candidate.leases))}")
    if successor and (successor not in candidate.voters or successor == candidate.name):
        raise UnsupportedQueryError(f"{successor!r} is no other director of leases.peers")
    term = leases.hand_on(task, successor)
    if not term:
        promise = leases.voter.promises.get(task)
        last = f"{promise.holder} is its last known holder" if promise else "no holder is known"
        raise UnsupportedQueryError(f"{task} is not held by {candidate.name}; {last}")
    return HandOnResult(task, term, successor)
