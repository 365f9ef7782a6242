"""What the control socket can ask of leases: who holds what, a duty handed on, a purge and how it fares."""

from __future__ import annotations

from typing import Any

from ..control.server import ControlServer, UnsupportedQueryError
from .transport import Leases


def add_views(control: ControlServer, leases: Leases) -> None:
    def hand_on(given: dict[str, Any]) -> dict[str, Any]:
        duty, to = str(given.get("duty", "")), str(given.get("to", ""))
        if duty not in leases.candidate.duties:
            known = ", ".join(sorted(leases.candidate.duties))
            raise UnsupportedQueryError(f"no duty {duty!r}: there are {known}")
        if to and (to not in leases.candidate.electors or to == leases.candidate.name):
            raise UnsupportedQueryError(f"{to!r} is no other director of leases.peers")
        term = leases.hand_on(duty, to)
        if not term:
            promise = leases.elector.promises.get(duty)
            last = f"{promise.holder} had it last, as far as is known" if promise else "nobody is known to"
            raise UnsupportedQueryError(f"{duty} is not held by {leases.candidate.name}; {last}")
        return {"duty": duty, "term": term, "to": to}

    def purge(given: dict[str, Any]) -> dict[str, Any]:
        try:
            return {"id": leases.order(str(given.get("what", "")))}
        except ValueError as why:
            raise UnsupportedQueryError(str(why)) from why

    def order(given: dict[str, Any]) -> dict[str, Any]:
        if leases.works.orders is None:
            raise UnsupportedQueryError("no hubs are set (leases.hubs)")
        return leases.works.orders.status(str(given.get("id", "")))

    control.handlers["leases"] = lambda given: leases.view()
    control.handlers["hand_on"] = hand_on
    control.handlers["purge"] = purge
    control.handlers["order"] = order
