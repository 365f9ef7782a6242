"""The directors' lease-holder tasks across processes: purges, the fleet's report, hand-on by name."""

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
    """The command line, against one director's settings file (the last word names the director)."""
    *given, name = words
    done = subprocess.run(
        [sys.executable, "-m", "gladewalk", *given, "--config", str(fleet.folder / f"{name}.toml")],
        capture_output=True, text=True, timeout=30, check=False,
    )  # fmt: skip
    return done.returncode, (done.stdout + done.stderr).strip()


class Works(FleetTestCase):
    async def purged(self, fleet: Fleet, ids: list[str], within_s: float = 8.0) -> bool:
        """Whether every hub has done every one of these purges."""
        return await wait_until_true(lambda: all(set(ids) <= set(hub.purges) for hub in fleet.hubs), within_s)

    async def test_a_purge_ordered_anywhere_is_done_once_at_every_hub_whoever_dies(self) -> None:
        fleet = await self.start_lease_fleet(3)
        holder = await self.wait_for_holder(unix_now_ms())
        other = next(name for name in fleet.names if name != holder)
        code, said = await asyncio.to_thread(command, fleet, "purge", "o:7f3a9c21", other)
        assert code == 0, said
        assert await self.purged(fleet, [said.partition(":")[0]])
        # Hubs that are down while it is ordered; the holder is killed before it could forward anything, and
        # the director that took the order right after its acknowledgement.
        for hub in fleet.hubs:
            hub.is_unresponsive = True
        ids = [(await fleet.query(other, "purge", what=f"g:{number}"))["id"] for number in range(9)]

        async def acknowledged() -> None:
            for id in ids:
                while not (await fleet.query(other, "order", id=id))["acknowledged"]:
                    await asyncio.sleep(0.02)

        await asyncio.wait_for(acknowledged(), 8.0)
        await fleet.kill(holder)
        await fleet.start(holder)
        await fleet.kill(other)
        for hub in fleet.hubs:
            hub.is_unresponsive = False
        assert await self.purged(fleet, ids, 15.0)
        for hub in fleet.hubs:
            assert [hub.purges[id].target for id in ids] == [f"g:{number}" for number in range(9)]
        await fleet.start(other)  # it kept them over its death, and hears that they are done
        open_orders = 1
        while open_orders:
            await asyncio.sleep(0.1)
            try:
                open_orders = (await fleet.query(other, "leases"))["works"]["orders_open"]
            except ControlError:
                continue
        assert self.verdict().is_safe, self.verdict()

    async def test_an_order_that_a_minority_alone_can_keep_is_not_acknowledged_until_it_heals(self) -> None:
        fleet = await self.start_lease_fleet(3)
        holder = await self.wait_for_holder(
            unix_now_ms()
        )  # it could forward at once: what hubs took needs no keepers
        alone = next(name for name in fleet.names if name != holder)
        parted = asyncio.ensure_future(
            inject_fault(fleet, Fault(0.0, 4_000.0, FaultKind.PARTITION, (alone,)))
        )
        await asyncio.sleep(0.2)
        code, said = await asyncio.to_thread(command, fleet, "purge", "--wait-s", "1", "o:1", alone)
        assert code == 1 and f"kept by {alone}" in said, said
        await parted
        assert await self.purged(fleet, [said.partition(":")[0]])
        assert self.verdict().is_safe, self.verdict()

    async def test_a_lease_is_handed_on_by_name_and_only_by_its_holder(self) -> None:
        fleet = await self.start_lease_fleet(3)
        holder = await self.wait_for_holder(unix_now_ms())
        to, third = (name for name in fleet.names if name != holder)
        code, said = await asyncio.to_thread(command, fleet, "hand-on", "purge", "--to", to, third)
        assert code == 2 and f"purge is not held by {third}" in said, said
        code, said = await asyncio.to_thread(command, fleet, "hand-on", "purge", "--to", "n9", holder)
        assert code == 2 and "'n9' is no other director" in said, said
        begun = unix_now_ms()
        code, said = await asyncio.to_thread(command, fleet, "hand-on", "purge", "--to", to, holder)
        assert code == 0 and f"to {to}" in said, said
        records = fleet.hubs[0].fence.records
        assert await wait_until_true(
            lambda: any(
                record.holder == to and record.is_accepted and record.received_at_ms > begun
                for record in records
            )
        )
        assert self.holders_between(begun, float("inf")) <= {holder, to}
        code, said = await asyncio.to_thread(command, fleet, "leases", to)
        assert code == 0 and re.search(r"purge .*\b[1-9]", said), said
        assert self.verdict().is_safe, self.verdict()

    async def test_the_fleets_report_counts_what_was_served_and_names_who_is_missing(self) -> None:
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

            def told(served: int, missing: list[str]) -> bool:
                return bool(reports) and reports[-1]["totals"].get("served") == served \
                    and reports[-1]["missing"] == missing  # fmt: skip

            assert await wait_until_true(lambda: told(12, [])), reports[-1:]
            assert fleet.collector.rows["n0"]["served"] == 7 and fleet.collector.rows["n1"]["served"] == 5
            await fleet.kill("n0")  # what it served was served; after its start it counts anew
            assert await wait_until_true(lambda: told(12, ["n0"])), reports[-1:]
            await fleet.start("n0")
            assert await wait_until_true(lambda: told(12, [])), reports[-1:]
            assert self.verdict().is_safe, self.verdict()
        finally:
            cache.stop()
