"""Leases at the control socket: who holds what, a lease handed on, a purge and its state."""

from __future__ import annotations

from typing import Any

import msgspec

from ..control.server import ControlServer, UnsupportedQueryError
from .purge_requests import PurgeRejectedError
from .transport import LeaseService


def add_views(control: ControlServer, leases: LeaseService) -> None:
    """Adds the queries `leases`, `hand_on`, `purge` and `order` to the control socket."""
    candidate, purges = leases.candidate, leases.holder_tasks.purges

    def hand_on(arguments: dict[str, Any]) -> dict[str, Any]:
        task, successor = str(arguments.get("duty", "")), str(arguments.get("to", ""))
        if task not in candidate.leases:
            raise UnsupportedQueryError(f"no duty {task!r}: there are {', '.join(sorted(candidate.leases))}")
        if successor and (successor not in candidate.voters or successor == candidate.name):
            raise UnsupportedQueryError(f"{successor!r} is no other director of leases.peers")
        term = leases.hand_on(task, successor)
        if not term:
            promise = leases.voter.promises.get(task)
            last = f"{promise.holder} had it last, as far as is known" if promise else "nobody is known to"
            raise UnsupportedQueryError(f"{task} is not held by {candidate.name}; {last}")
        return {"duty": task, "term": term, "to": successor}

    def purge(arguments: dict[str, Any]) -> dict[str, Any]:
        try:
            return {"id": leases.request_purge(str(arguments.get("what", "")))}
        except PurgeRejectedError as error:
            raise UnsupportedQueryError(str(error)) from error

    def purge_status(arguments: dict[str, Any]) -> dict[str, Any]:
        if purges is None:
            raise UnsupportedQueryError("no hubs are set (leases.hubs)")
        status: dict[str, Any] = msgspec.to_builtins(purges.status(str(arguments.get("id", ""))))
        return status

    control.handlers["leases"] = lambda arguments: msgspec.to_builtins(leases.status())
    control.handlers["hand_on"] = hand_on
    control.handlers["purge"] = purge
    control.handlers["order"] = purge_status
