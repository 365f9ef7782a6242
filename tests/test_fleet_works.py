"""The director's own exclusive duties across processes: purges, the fleet's report, hand-on by name."""

import asyncio
import random
import re
import subprocess
import sys

import pytest

from gladewalk.control.client import ControlError
from gladewalk.faultnet.fleet import Fleet
from gladewalk.faultnet.nemesis import apply
from gladewalk.faultnet.schedule import Fault
from gladewalk.leases.fenced_operations import FencedOperationQueue
from gladewalk.leases.fleet_report import FleetReport
from gladewalk.leases.messages import (
    MAX_BODY_BYTES,
    Completed,
    DirectorMetrics,
    FencedOperation,
    OperationResponse,
    PurgeRequest,
    Replicated,
    SyncRequest,
    SyncResponse,
)
from gladewalk.leases.outputs import PURGE_SPACE, Output, Save, Send
from gladewalk.leases.purge_requests import (
    MAX_OPEN_REQUESTS,
    SYNC_PAGE_SIZE,
    PurgeRejectedError,
    PurgeRequests,
)
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
        return await until_true(lambda: all(set(ids) <= set(hub.purges) for hub in fleet.hubs), within_s)

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
            hub.is_deaf = True
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
            hub.is_deaf = False
        assert await self.purged(fleet, ids, 15.0)
        for hub in fleet.hubs:
            assert [hub.purges[id].target for id in ids] == [f"g:{n}" for n in range(9)]
        await fleet.start(other)  # it kept them over its death, and hears that they are done
        open_orders = 1
        while open_orders:
            await asyncio.sleep(0.1)
            try:
                open_orders = (await fleet.ask(other, "leases"))["works"]["orders_open"]
            except ControlError:
                continue
        assert self.verdict().is_safe, self.verdict()

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
        assert self.verdict().is_safe, self.verdict()

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
        records = fleet.hubs[0].fence.records
        assert await until_true(
            lambda: any(a.holder == to and a.is_accepted and a.received_at_ms > begun for a in records)
        )
        assert {a.holder for a in records if a.is_accepted and a.received_at_ms > begun} <= {holder, to}
        code, said = await asyncio.to_thread(command, fleet, "leases", to)
        assert code == 0 and re.search(r"purge .*\b[1-9]", said), said
        assert self.verdict().is_safe, self.verdict()

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
            assert self.verdict().is_safe, self.verdict()
        finally:
            cache.stop()


# Without processes.


def restored(rows: dict[str, bytes]) -> PurgeRequests:
    return PurgeRequests("b", ("a", "b", "c"), ("@purge/0",), random.Random(2), rows)


def saved_in(purges: PurgeRequests, out: list[Output]) -> list[Output]:
    """What follows on a disk that takes all at once."""
    after: list[Output] = []
    for action in out:
        if isinstance(action, Save):
            if action.value is not None:
                purges.mark_durable(action.key)
            after += action.on_durable
        else:
            after.append(action)
    return after


def test_a_purge_is_acknowledged_by_a_majority_kept_over_a_restart_and_forgotten_once_done() -> None:
    receiver = PurgeRequests("a", ("a", "b", "c"), ("@purge/0", "@purge/1"), random.Random(1), {})
    purge, out = receiver.create("o:1", 0.0, 5.0)
    # Not before it is durable here.
    assert not receiver.status(purge.request_id)["acknowledged"] and not receiver.requests_to_forward()
    saved_in(receiver, out)
    told = [a for a in receiver.tick(0.0) if isinstance(a, Send)]
    assert [(a.recipient, a.message) for a in told] == [("b", purge), ("c", purge)]
    replica = restored({})
    (save,) = replica.handle_request(purge)
    assert isinstance(save, Save) and save.space == PURGE_SPACE and save.value is not None
    assert save.on_durable == (Send("a", Replicated(purge.request_id, "b")),)  # said only once it lasts
    again = restored({purge.request_id: save.value, "torn": b"\x93"})
    assert again.requests_to_forward() == [purge]
    assert again.handle_request(purge) == [Send("a", Replicated(purge.request_id, "b"))]
    receiver.handle_replicated(Replicated(purge.request_id, "b"))
    assert receiver.status(purge.request_id)["acknowledged"] and receiver.requests_to_forward() == [purge]
    assert receiver.handle_forwarded(purge.request_id, "@purge/0", 4) == []
    out = receiver.handle_forwarded(purge.request_id, "@purge/1", 4)
    assert Send("b", Completed(purge.request_id, 4)) in out
    assert Save(PURGE_SPACE, purge.request_id, None) in out
    assert receiver.status(purge.request_id)["state"] == "finished"
    assert receiver.handle_completed(Completed(purge.request_id, 4)) == []
    # What arrives late opens nothing.
    assert receiver.handle_request(purge) == [Send("a", Completed(purge.request_id, 4))]
    deleted = again.handle_completed(Completed(purge.request_id, 4))[0]
    assert deleted == Save(PURGE_SPACE, purge.request_id, None) and not again.open


def test_a_holder_asks_page_by_page_until_a_majority_has_told_all_its_open_purges() -> None:
    replica, holder = restored({}), PurgeRequests("a", ("a", "b", "c"), ("@purge/0",), random.Random(3), {})
    for n in range(2 * SYNC_PAGE_SIZE + 1):
        saved_in(replica, replica.handle_request(PurgeRequest(f"{n:02}", f"o:{n}", "c", float(n))))
    asked = holder.sync(0.0)
    assert [a.recipient for a in asked if isinstance(a, Send)] == ["b", "c"] and not holder.sync(1.0)
    assert isinstance(asked[0], Send)
    question, pages = asked[0].message, 0
    while True:
        assert isinstance(question, SyncRequest)
        (answer,) = replica.handle_sync_request(question)
        assert isinstance(answer, Send) and isinstance(answer.message, SyncResponse)
        pages += 1
        said = saved_in(holder, holder.handle_sync_response(answer.message, 2.0))
        # The director that received it hears of one more replica.
        assert Send("c", Replicated(answer.message.requests[0].request_id, "a")) in said
        more = [a.message for a in said if isinstance(a, Send) and isinstance(a.message, SyncRequest)]
        if not more:
            break
        (question,) = more
    assert pages == 3 and [o.target for o in holder.requests_to_forward()] == [
        f"o:{n}" for n in range(2 * SYNC_PAGE_SIZE + 1)
    ]
    assert holder.sync_round is None and not holder.sync(3.0) and holder.sync(5_000.0)
    holder.reset_forwarding()
    assert holder.sync(5_001.0)  # another time that it holds begins anew


def test_what_is_no_purge_is_rejected_and_open_purges_are_bounded() -> None:
    purges = restored({})
    for bad in ("", "x" * 201, "a\nb"):
        with pytest.raises(PurgeRejectedError, match="printable"):
            purges.create(bad, 0.0, 0.0)
    for n in range(MAX_OPEN_REQUESTS):
        purges.handle_request(PurgeRequest(f"{n}", "o:1", "c", 0.0))
    assert all(not isinstance(a, Save) for a in purges.handle_request(PurgeRequest("more", "o:1", "c", 0.0)))
    assert "more" not in purges.open


def test_operations_are_retried_with_the_token_of_the_moment_until_each_resource_accepts_them() -> None:
    operations = FencedOperationQueue("a", {"purge": ("@purge/0", "@purge/1")})
    assert operations.submit("purge", "id", b"o:1", 0.0)
    first = [a for a in operations.take_due("purge", 3, 0.0, 9.0) if isinstance(a, Send)]
    assert [a.recipient for a in first] == ["@purge/0", "@purge/1"] and not list(
        operations.take_due("purge", 3, 1.0, 9.0)
    )
    assert isinstance(first[0].message, FencedOperation) and first[0].message.token == 3
    taken = operations.handle_acceptance(OperationResponse("purge", 3, first[0].message.number, True, 3))
    assert taken is not None and taken.resource == "@purge/0" and operations.is_pending("purge", "id")
    repeated = OperationResponse("purge", 3, first[0].message.number, True, 3)
    assert operations.handle_acceptance(repeated) is None  # said twice
    (again,) = operations.take_due("purge", 5, 10_000.0, 9.0)
    assert isinstance(again, Send) and isinstance(again.message, FencedOperation)
    assert (again.recipient, again.message.token) == ("@purge/1", 5)
    assert (
        operations.handle_acceptance(OperationResponse("purge", 5, again.message.number, False, 7)) is None
    )  # refused: it waits on
    operations.cancel("purge")
    assert not operations.is_pending("purge", "id") and operations.next_due_ms("purge") == float("inf")


def test_a_report_adds_up_runs_bears_late_datagrams_and_fits_its_acts() -> None:
    names = tuple(f"director-{n:02}" for n in range(20))
    report = FleetReport(names[0], names, 1, 1_000.0, lambda: {"served": 1})
    report.record_own(0.0, 0.0)
    report.record(DirectorMetrics(names[1], 10, 100.0, {"served": 50}), 0.0)
    report.record(DirectorMetrics(names[1], 10, 90.0, {"served": 40}), 1.0)  # overtaken on its way
    report.record(DirectorMetrics(names[1], 20, 200.0, {"served": 5}), 2.0)  # started again
    report.record(DirectorMetrics(names[1], 10, 150.0, {"served": 60}), 3.0)  # of the run before: too late
    report.record(DirectorMetrics("stranger", 1, 1.0, {"served": 1_000}), 3.0)
    assert report.totals() == {"served": 56}
    assert report.missing(900.0) == list(names[2:]) and report.missing(1_500.0) == list(names)
    for name in names:
        report.record(
            DirectorMetrics(name, 30, 300.0, dict.fromkeys(("served", "refused", "failed"), 2**40)), 4.0
        )
    parts = report.build(5.0, 5.0)
    assert len(parts) > 1 and all(len(part.body) < MAX_BODY_BYTES for part in parts)
    assert len({part.operation_id for part in parts}) == len(parts)
