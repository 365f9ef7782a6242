"""The director's own exclusive duties across processes: purges, the fleet's report, hand-on by name."""

import asyncio
import random
import re
import subprocess
import sys

from gladewalk.control.client import ControlError
from gladewalk.faultnet.fleet import Fleet
from gladewalk.faultnet.nemesis import apply
from gladewalk.faultnet.schedule import Fault
from gladewalk.leases.fenced_operations import Acts
from gladewalk.leases.fleet_report import FleetReport
from gladewalk.leases.messages import BODY_MOST, Acked, Act, Figures, Finished, Kept, Open, Order, Wanted
from gladewalk.leases.outputs import ORDERS, Out, Save, Send
from gladewalk.leases.purge_requests import OPEN_MOST, PAGE, Orders
from gladewalk.rehearsal.peers import ScriptedPeer, read_message, request
from tests.fleetworld import Fleets, until_true, wall_ms
from tests.test_ops import hit


def command(fleet: Fleet, *words: str) -> tuple[int, str]:
    """The command line, against one director's settings file (the last word names the director)."""
    *given, name = words
    done = subprocess.run(
        [sys.executable, "-m", "gladewalk", *given, "--config", str(fleet.folder / f"{name}.toml")],
        capture_output=True, text=True, timeout=30, check=False,
    )  # fmt: skip
    return done.returncode, (done.stdout + done.stderr).strip()


class Works(Fleets):
    async def purged(self, fleet: Fleet, ids: list[str], within_s: float = 8.0) -> bool:
        """Whether every hub has done every one of these purges."""
        return await until_true(lambda: all(set(ids) <= set(hub.purged) for hub in fleet.hubs), within_s)

    async def test_a_purge_ordered_anywhere_is_done_once_at_every_hub_whoever_dies(self) -> None:
        fleet = await self.start(3)
        holder = await self.held_since(wall_ms())
        other = next(name for name in fleet.names if name != holder)
        code, said = await asyncio.to_thread(command, fleet, "purge", "o:7f3a9c21", other)
        assert code == 0, said
        assert await self.purged(fleet, [said.partition(":")[0]])
        # Hubs that are down while it is ordered; the holder is killed before it could forward anything, and
        # the director that took the order right after its acknowledgement.
        for hub in fleet.hubs:
            hub.deaf = True
        ids = [(await fleet.ask(other, "purge", what=f"g:{n}"))["id"] for n in range(9)]

        async def acknowledged() -> None:
            for id in ids:
                while not (await fleet.ask(other, "order", id=id))["acknowledged"]:
                    await asyncio.sleep(0.02)

        await asyncio.wait_for(acknowledged(), 8.0)
        await fleet.kill(holder)
        await fleet.start(holder)
        await fleet.kill(other)
        for hub in fleet.hubs:
            hub.deaf = False
        assert await self.purged(fleet, ids, 15.0)
        for hub in fleet.hubs:
            assert [hub.purged[id][0] for id in ids] == [f"g:{n}" for n in range(9)]
        await fleet.start(other)  # it kept them over its death, and hears that they are done
        open_orders = 1
        while open_orders:
            await asyncio.sleep(0.1)
            try:
                open_orders = (await fleet.ask(other, "leases"))["works"]["orders_open"]
            except ControlError:
                continue
        assert self.verdict().safe, self.verdict()

    async def test_an_order_that_a_minority_alone_can_keep_is_not_acknowledged_until_it_heals(self) -> None:
        fleet = await self.start(3)
        holder = await self.held_since(wall_ms())  # it could forward at once: what hubs took needs no keepers
        alone = next(name for name in fleet.names if name != holder)
        parted = asyncio.ensure_future(apply(fleet, Fault(0.0, 4_000.0, "partition", (alone,))))
        await asyncio.sleep(0.2)
        code, said = await asyncio.to_thread(command, fleet, "purge", "--wait-s", "1", "o:1", alone)
        assert code == 1 and f"kept by {alone}" in said, said
        await parted
        assert await self.purged(fleet, [said.partition(":")[0]])
        assert self.verdict().safe, self.verdict()

    async def test_a_duty_is_handed_on_by_name_and_only_by_its_holder(self) -> None:
        fleet = await self.start(3)
        holder = await self.held_since(wall_ms())
        to, third = (name for name in fleet.names if name != holder)
        code, said = await asyncio.to_thread(command, fleet, "hand-on", "purge", "--to", to, third)
        assert code == 2 and f"purge is not held by {third}" in said, said
        code, said = await asyncio.to_thread(command, fleet, "hand-on", "purge", "--to", "n9", holder)
        assert code == 2 and "'n9' is no other director" in said, said
        begun = wall_ms()
        code, said = await asyncio.to_thread(command, fleet, "hand-on", "purge", "--to", to, holder)
        assert code == 0 and f"to {to}" in said, said
        acts = fleet.hubs[0].fence.acts
        assert await until_true(lambda: any(a.actor == to and a.accepted and a.at_ms > begun for a in acts))
        assert {a.actor for a in acts if a.accepted and a.at_ms > begun} <= {holder, to}
        code, said = await asyncio.to_thread(command, fleet, "leases", to)
        assert code == 0 and re.search(r"purge .*\b[1-9]", said), said
        assert self.verdict().safe, self.verdict()

    async def test_the_fleets_report_counts_what_was_served_and_names_who_is_missing(self) -> None:
        cache = await ScriptedPeer(hit).start()
        try:
            fleet = await self.start(3, peers=(cache,))
            for name, count in (("n0", 7), ("n1", 5)):
                serving = next(line for line in fleet.log_of(name) if line["event"] == "serving")
                for n in range(count):
                    reader, writer = await asyncio.open_connection(*serving["listen"])
                    writer.write(request(f"/invoke/lot-page/a{n}?nth=0"))
                    first, _, _ = await read_message(reader)
                    writer.close()
                    assert " 200 " in f"{first} ", first
            reports = fleet.collector.reports

            def told(served: int, missing: list[str]) -> bool:
                return bool(reports) and reports[-1]["totals"].get("served") == served \
                    and reports[-1]["missing"] == missing  # fmt: skip

            assert await until_true(lambda: told(12, [])), reports[-1:]
            assert fleet.collector.rows["n0"]["served"] == 7 and fleet.collector.rows["n1"]["served"] == 5
            await fleet.kill("n0")  # what it served was served; after its start it counts anew
            assert await until_true(lambda: told(12, ["n0"])), reports[-1:]
            await fleet.start("n0")
            assert await until_true(lambda: told(12, [])), reports[-1:]
            assert self.verdict().safe, self.verdict()
        finally:
            cache.stop()


# Without processes.


def restored(rows: dict[str, bytes]) -> Orders:
    return Orders("b", ("a", "b", "c"), ("@purge/0",), random.Random(2), rows)


def saved_in(orders: Orders, out: list[Out]) -> list[Out]:
    """What follows on a disk that takes all at once."""
    after: list[Out] = []
    for action in out:
        if isinstance(action, Save):
            if action.value is not None:
                orders.saved(action.key)
            after += action.then
        else:
            after.append(action)
    return after


def test_an_order_is_acknowledged_by_a_majority_kept_over_a_restart_and_forgotten_once_done() -> None:
    taker = Orders("a", ("a", "b", "c"), ("@purge/0", "@purge/1"), random.Random(1), {})
    order, out = taker.take("o:1", 0.0, 5.0)
    assert not taker.status(order.id)["acknowledged"] and not taker.to_do()  # not before it lasts here
    saved_in(taker, out)
    told = [a for a in taker.tick(0.0) if isinstance(a, Send)]
    assert [(a.to, a.message) for a in told] == [("b", order), ("c", order)]
    keeper = restored({})
    (save,) = keeper.order(order)
    assert isinstance(save, Save) and save.space == ORDERS and save.value is not None
    assert save.then == (Send("a", Kept(order.id, "b")),)  # said only once it lasts
    again = restored({order.id: save.value, "torn": b"\x93"})
    assert again.to_do() == [order] and again.order(order) == [Send("a", Kept(order.id, "b"))]
    taker.kept(Kept(order.id, "b"))
    assert taker.status(order.id)["acknowledged"] and taker.to_do() == [order]
    assert taker.taken(order.id, "@purge/0", 4) == []
    out = taker.taken(order.id, "@purge/1", 4)
    assert Send("b", Finished(order.id, 4)) in out and Save(ORDERS, order.id, None) in out
    assert taker.status(order.id)["state"] == "finished" and taker.finished(Finished(order.id, 4)) == []
    assert taker.order(order) == [Send("a", Finished(order.id, 4))]  # what comes late opens nothing
    assert again.finished(Finished(order.id, 4))[0] == Save(ORDERS, order.id, None) and not again.open


def test_a_holder_asks_page_by_page_until_a_majority_has_told_all_its_open_orders() -> None:
    keeper, holder = restored({}), Orders("a", ("a", "b", "c"), ("@purge/0",), random.Random(3), {})
    for n in range(2 * PAGE + 1):
        saved_in(keeper, keeper.order(Order(f"{n:02}", f"o:{n}", "c", float(n))))
    asked = holder.hold(0.0)
    assert [a.to for a in asked if isinstance(a, Send)] == ["b", "c"] and not holder.hold(1.0)
    assert isinstance(asked[0], Send)
    question, pages = asked[0].message, 0
    while True:
        assert isinstance(question, Wanted)
        (answer,) = keeper.wanted(question)
        assert isinstance(answer, Send) and isinstance(answer.message, Open)
        pages += 1
        said = saved_in(holder, holder.opened(answer.message, 2.0))
        assert Send("c", Kept(answer.message.orders[0].id, "a")) in said  # who took it hears of one more
        more = [a.message for a in said if isinstance(a, Send) and isinstance(a.message, Wanted)]
        if not more:
            break
        (question,) = more
    assert pages == 3 and [o.what for o in holder.to_do()] == [f"o:{n}" for n in range(2 * PAGE + 1)]
    assert holder.syncing is None and not holder.hold(3.0) and holder.hold(5_000.0)
    holder.let_go()
    assert holder.hold(5_001.0)  # another time that it holds begins anew


def test_what_is_no_order_is_refused_and_open_orders_are_bounded() -> None:
    orders = restored({})
    for bad in ("", "x" * 201, "a\nb"):
        try:
            orders.take(bad, 0.0, 0.0)
        except ValueError as why:
            assert "printable" in str(why)
        else:
            raise AssertionError(bad)
    for n in range(OPEN_MOST):
        orders.order(Order(f"{n}", "o:1", "c", 0.0))
    assert all(not isinstance(a, Save) for a in orders.order(Order("more", "o:1", "c", 0.0)))
    assert "more" not in orders.open


def test_acts_go_again_with_the_token_of_the_moment_until_each_sink_has_taken_them() -> None:
    acts = Acts("a", {"purge": ("@purge/0", "@purge/1")})
    assert acts.do("purge", "id", b"o:1", 0.0)
    first = [a for a in acts.due("purge", 3, 0.0, 9.0) if isinstance(a, Send)]
    assert [a.to for a in first] == ["@purge/0", "@purge/1"] and not list(acts.due("purge", 3, 1.0, 9.0))
    assert isinstance(first[0].message, Act) and first[0].message.token == 3
    taken = acts.acked(Acked("purge", 3, first[0].message.number, True, 3))
    assert taken is not None and taken.sink == "@purge/0" and acts.waits("purge", "id")
    assert acts.acked(Acked("purge", 3, first[0].message.number, True, 3)) is None  # said twice
    (again,) = acts.due("purge", 5, 10_000.0, 9.0)
    assert isinstance(again, Send) and isinstance(again.message, Act)
    assert (again.to, again.message.token) == ("@purge/1", 5)
    assert acts.acked(Acked("purge", 5, again.message.number, False, 7)) is None  # refused: it waits on
    acts.drop("purge")
    assert not acts.waits("purge", "id") and acts.next_due_ms("purge") == float("inf")


def test_a_report_adds_up_runs_bears_late_datagrams_and_fits_its_acts() -> None:
    names = tuple(f"director-{n:02}" for n in range(20))
    report = FleetReport(names[0], names, 1, 1_000.0, lambda: {"served": 1})
    report.own(0.0, 0.0)
    report.hear(Figures(names[1], 10, 100.0, {"served": 50}), 0.0)
    report.hear(Figures(names[1], 10, 90.0, {"served": 40}), 1.0)  # overtaken on its way
    report.hear(Figures(names[1], 20, 200.0, {"served": 5}), 2.0)  # started again
    report.hear(Figures(names[1], 10, 150.0, {"served": 60}), 3.0)  # of the run before: too late
    report.hear(Figures("stranger", 1, 1.0, {"served": 1_000}), 3.0)
    assert report.totals() == {"served": 56}
    assert report.missing(900.0) == list(names[2:]) and report.missing(1_500.0) == list(names)
    for name in names:
        report.hear(Figures(name, 30, 300.0, dict.fromkeys(("served", "refused", "failed"), 2**40)), 4.0)
    parts = report.parts(5.0, 5.0)
    assert len(parts) > 1 and all(len(body) < BODY_MOST for _, body in parts)
    assert len({id for id, _ in parts}) == len(parts)
