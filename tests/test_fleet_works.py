"""The tasks of lease holders across processes: purges, the fleet's report, hand-on to a named director."""

import asyncio
import re
import subprocess
import sys

from gladewalk.control.client import ControlError
from gladewalk.faultnet.fleet import Fleet
from gladewalk.faultnet.nemesis import inject_fault
from gladewalk.faultnet.schedule import Fault, FaultKind
from gladewalk.rehearsal.http_messages import encode_request, read_message
from gladewalk.rehearsal.scripted_servers import ScriptedServer
from tests.fleet_test_case import FleetTestCase, unix_now_ms, wait_until_true
from tests.test_ops import hit


def command(fleet: Fleet, *words: str) -> tuple[int, str]:
    """Runs the command line with the settings of the director named by the last word."""
    *arguments, name = words
    done = subprocess.run(
        [sys.executable, "-m", "gladewalk", *arguments, "--config", str(fleet.folder / f"{name}.toml")],
        capture_output=True, text=True, timeout=30, check=False,
    )  # fmt: skip
    return done.returncode, (done.stdout + done.stderr).strip()


class FleetTasks(FleetTestCase):
    async def wait_until_purged(self, fleet: Fleet, ids: list[str], within_s: float = 8.0) -> bool:
        """Waits until every hub has accepted all these purges; returns whether it did in time."""
        return await wait_until_true(lambda: all(set(ids) <= set(hub.purges) for hub in fleet.hubs), within_s)

    async def test_a_purge_requested_at_any_director_is_accepted_once_by_every_hub_after_kills(self) -> None:
        fleet = await self.start_lease_fleet(3)
        holder = await self.wait_for_holder(unix_now_ms())
        other = next(name for name in fleet.names if name != holder)
        code, output = await asyncio.to_thread(command, fleet, "purge", "o:7f3a9c21", other)
        assert code == 0, output
        assert await self.wait_until_purged(fleet, [output.partition(":")[0]])
        # The hubs drop everything while purges are requested. The holder is killed before it can forward one,
        # and the director that received the requests right after their acknowledgement.
        for hub in fleet.hubs:
            hub.is_unresponsive = True
        ids = [(await fleet.query(other, "purge", what=f"g:{number}"))["id"] for number in range(9)]

        async def wait_until_acknowledged() -> None:
            for id in ids:
                while not (await fleet.query(other, "order", id=id))["acknowledged"]:
                    await asyncio.sleep(0.02)

        await asyncio.wait_for(wait_until_acknowledged(), 8.0)
        await fleet.kill(holder)
        await fleet.start(holder)
        await fleet.kill(other)
        for hub in fleet.hubs:
            hub.is_unresponsive = False
        assert await self.wait_until_purged(fleet, ids, 15.0)
        for hub in fleet.hubs:
            assert [hub.purges[id].target for id in ids] == [f"g:{number}" for number in range(9)]
        await fleet.start(other)  # it stored them before it was killed, and is notified of their completion
        open_purges = 1
        while open_purges:
            await asyncio.sleep(0.1)
            try:
                open_purges = (await fleet.query(other, "leases"))["works"]["orders_open"]
            except ControlError:
                continue
        assert self.verdict().is_safe, self.verdict()

    async def test_a_purge_stored_by_a_minority_is_not_acknowledged_during_a_partition(self) -> None:
        fleet = await self.start_lease_fleet(3)
        # The request is not made at the holder, which could forward it at once, without replicas.
        holder = await self.wait_for_holder(unix_now_ms())
        isolated = next(name for name in fleet.names if name != holder)
        partition_fault = asyncio.ensure_future(
            inject_fault(fleet, Fault(0.0, 4_000.0, FaultKind.PARTITION, (isolated,)))
        )
        await asyncio.sleep(0.2)
        code, output = await asyncio.to_thread(command, fleet, "purge", "--wait-s", "1", "o:1", isolated)
        assert code == 1 and f"kept by {isolated}" in output, output
        await partition_fault
        assert await self.wait_until_purged(fleet, [output.partition(":")[0]])
        assert self.verdict().is_safe, self.verdict()

    async def test_a_lease_is_handed_on_to_a_named_director_and_only_by_its_holder(self) -> None:
        fleet = await self.start_lease_fleet(3)
        holder = await self.wait_for_holder(unix_now_ms())
        successor, third = (name for name in fleet.names if name != holder)
        code, output = await asyncio.to_thread(command, fleet, "hand-on", "purge", "--to", successor, third)
        assert code == 2 and f"purge is not held by {third}" in output, output
        code, output = await asyncio.to_thread(command, fleet, "hand-on", "purge", "--to", "n9", holder)
        assert code == 2 and "'n9' is no other director" in output, output
        started_at_ms = unix_now_ms()
        code, output = await asyncio.to_thread(command, fleet, "hand-on", "purge", "--to", successor, holder)
        assert code == 0 and f"to {successor}" in output, output
        records = fleet.hubs[0].fence.records
        assert await wait_until_true(
            lambda: any(
                record.holder == successor and record.is_accepted and record.received_at_ms > started_at_ms
                for record in records
            )
        )
        assert self.holders_between(started_at_ms, float("inf")) <= {holder, successor}
        code, output = await asyncio.to_thread(command, fleet, "leases", successor)
        assert code == 0 and re.search(r"purge .*\b[1-9]", output), output
        assert self.verdict().is_safe, self.verdict()

    async def test_the_fleet_report_counts_served_requests_and_lists_missing_directors(self) -> None:
        cache = await ScriptedServer(hit).start()
        try:
            fleet = await self.start_lease_fleet(3, servers=(cache,))
            for name, count in (("n0", 7), ("n1", 5)):
                serving = next(line for line in fleet.read_log(name) if line["event"] == "serving")
                for number in range(count):
                    reader, writer = await asyncio.open_connection(*serving["listen"])
                    writer.write(encode_request(f"/invoke/lot-page/a{number}?nth=0"))
                    first, _, _ = await read_message(reader)
                    writer.close()
                    assert " 200 " in f"{first} ", first
            reports = fleet.collector.reports

            def has_reported(served: int, missing: list[str]) -> bool:
                return bool(reports) and reports[-1]["totals"].get("served") == served \
                    and reports[-1]["missing"] == missing  # fmt: skip

            assert await wait_until_true(lambda: has_reported(12, [])), reports[-1:]
            assert fleet.collector.rows["n0"]["served"] == 7 and fleet.collector.rows["n1"]["served"] == 5
            await fleet.kill("n0")  # its earlier counts stay in the totals after its restart
            assert await wait_until_true(lambda: has_reported(12, ["n0"])), reports[-1:]
            await fleet.start("n0")
            assert await wait_until_true(lambda: has_reported(12, [])), reports[-1:]
            assert self.verdict().is_safe, self.verdict()
        finally:
            cache.stop()
