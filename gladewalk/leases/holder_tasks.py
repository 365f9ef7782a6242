"""What a director does under the duties that it holds: purges, the fleet's report, bare acts. No I/O.

    purge    an operator's orders, forwarded to every hub cache (`orders.py`)
    report   the fleet's figures, gathered and written to the collector (`report.py`)
    others   no more than the token, for a worker of one's own that waits for it at its sink

`tick` reads each duty's token just before what is sent under it, and everything goes with that token.
"""

from __future__ import annotations

from .candidate import Candidate
from .fenced_operations import Acts
from .fleet_report import FleetReport
from .messages import Acked, Figures, Finished, Kept, Message, Open, Order, Wanted
from .outputs import Out, Send
from .purge_requests import Orders

PURGE, REPORT = "purge", "report"


class Works:
    """`orders` and `report` are None where that duty is off."""

    def __init__(
        self, candidate: Candidate, acts: Acts, orders: Orders | None, report: FleetReport | None,
        act_ms: float, report_ms: float, now_ms: float,
    ) -> None:  # fmt: skip
        self.candidate, self.acts, self.orders, self.report = candidate, acts, orders, report
        self.act_ms, self.report_ms = act_ms, report_ms
        self.next_act_ms = self.next_report_ms = now_ms
        self.held: dict[str, int] = {}  # the duties that were held at the last tick, under which token

    def receive(self, message: Message, now_ms: float) -> list[Out]:
        orders = self.orders
        if isinstance(message, Acked):
            return self._acked(message, now_ms)
        if isinstance(message, Figures):
            if self.report is not None:
                self.report.hear(message, now_ms)
            return []
        if orders is None:
            return []
        if isinstance(message, Order):
            return orders.order(message)
        if isinstance(message, Kept):
            orders.kept(message)
            return []
        if isinstance(message, Finished):
            self.acts.drop(PURGE, message.id)
            return orders.finished(message)
        if isinstance(message, Wanted):
            return orders.wanted(message)
        return orders.opened(message, now_ms) if isinstance(message, Open) else []

    def tick(self, now_ms: float, wall_ms: float) -> list[Out]:
        out: list[Out] = [] if self.orders is None else self.orders.tick(now_ms)
        bare, reporting = now_ms >= self.next_act_ms, now_ms >= self.next_report_ms
        if bare:
            self.next_act_ms = now_ms + self.act_ms
        if reporting and self.report is not None:
            self.next_report_ms = now_ms + self.report_ms
            mine = self.report.own(now_ms, wall_ms)
            out += [Send(peer, mine) for peer in self.report.names if peer != self.report.name]
        for duty in self.candidate.duties:
            token = self.candidate.token(duty, now_ms)
            if token is None:
                if self.held.pop(duty, None) is not None:
                    self._let_go(duty)
                continue
            newly = self.held.get(duty) != token
            self.held[duty] = token
            if bare or newly:  # a new holder raises every sink's fence before it does anything
                out += self.acts.bare(duty, token, wall_ms)
            if duty == PURGE and self.orders is not None:
                out += self._forward(now_ms)
            if duty == REPORT and self.report is not None and reporting:
                self.acts.drop(REPORT)  # an older report that nobody took: the new one says it all
                for id, body in self.report.parts(now_ms, wall_ms):
                    self.acts.do(REPORT, id, body, now_ms)
            out += self.acts.due(duty, token, now_ms, wall_ms)
        return out

    def next_due_ms(self, now_ms: float) -> float:
        due = self.next_act_ms
        if self.report is not None:
            due = min(due, self.next_report_ms)
        if self.orders is not None:
            due = min(due, self.orders.next_due_ms())
        for duty in self.held:
            due = min(due, self.acts.next_due_ms(duty))
        return max(due, now_ms)

    def _forward(self, now_ms: float) -> list[Out]:
        assert self.orders is not None
        for order in self.orders.to_do():
            if not self.acts.waits(PURGE, order.id):
                self.acts.do(PURGE, order.id, order.what.encode(), now_ms)
        return self.orders.hold(now_ms)

    def _acked(self, told: Acked, now_ms: float) -> list[Out]:
        if not told.accepted:
            return self.candidate.fenced(told.duty, told.token, told.highest, now_ms)
        act = self.acts.acked(told)
        if act is None or act.duty != PURGE or self.orders is None:
            return []
        return self.orders.taken(act.id, act.sink, told.token)

    def _let_go(self, duty: str) -> None:
        self.acts.drop(duty)
        if duty == PURGE and self.orders is not None:
            self.orders.let_go()

    def order(self, what: str, now_ms: float, wall_ms: float) -> tuple[str, list[Out]]:
        """An operator's purge: its id; `ValueError` where it can't be taken."""
        if self.orders is None:
            raise ValueError("no hubs are set (leases.hubs): a purge has nowhere to go")
        order, out = self.orders.take(what, now_ms, wall_ms)
        return order.id, out

    def view(self) -> dict[str, object]:
        open_orders = len(self.orders.open) if self.orders is not None else 0
        finished = len(self.orders.done) if self.orders is not None else 0
        waiting = len(self.acts.pending)
        return {"orders_open": open_orders, "orders_finished": finished, "acts_waiting": waiting}
