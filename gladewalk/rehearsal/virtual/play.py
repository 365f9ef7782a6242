"""A scenario played to the real director in virtual time: peers, clients, faults, the verdict."""

from __future__ import annotations

import asyncio
import bisect
import itertools
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ...config.platform import read_config
from ...director import Director
from ..coordinator import Coordinator
from ..director_harness import SETTINGS, config_for
from ..http_messages import encode_request
from .loop import VirtualLoop, rehearse
from .rules import LATE_MS, Broken, Record, Request, broken_rules
from .scenario import GROUPS, Fault, Scenario
from .servers import PURGE_DONE_S, ModelServer

CLASSES: dict[str, dict[str, Any]] = {str(cls["name"]): cls for cls in SETTINGS["classes"]}
AGAIN_MS = 20.0  # how long a client listens for a second answer
TOLD_LATE_MS = 7_000.0  # after this, an event counts as told though the feed is broken
Change = Callable[[Director], None]


@dataclass(slots=True)
class Verdict:
    """`outcomes`: by class, how many were served in time, late, refused, failed, broken."""

    broken: list[Broken]
    outcomes: dict[str, Counter[str]]
    trace: str
    events: int
    virtual_s: float
    wall_s: float
    record: Record

    @property
    def passed(self) -> bool:
        return not self.broken

    def report(self) -> dict[str, Any]:
        return {
            "passed": self.passed, "trace": self.trace, "events": self.events, "virtual_s": self.virtual_s,
            "wall_s": round(self.wall_s, 2),
            "outcomes": {cls: dict(sorted(ends.items())) for cls, ends in sorted(self.outcomes.items())},
            "broken": [{"rule": b.rule, "request": b.request, "at_ms": round(b.at_ms, 1), "why": b.why}
                       for b in self.broken],
        }  # fmt: skip


class Morning:
    """One playing of a scenario; `change` is done to every director before it starts (a mutant's doing)."""

    def __init__(
        self, loop: VirtualLoop, scenario: Scenario, change: Change | None = None,
        settings: dict[str, Any] | None = None,
    ) -> None:  # fmt: skip
        self.loop, self.scenario, self.change = loop, scenario, change
        self.settings = settings or SETTINGS
        self.record, self.clock = Record(), loop.unix_ms
        self.random = random.Random(loop.random.random())
        self.coordinator = Coordinator()
        self.servers: dict[str, ModelServer] = {}
        self.directors: dict[str, Director] = {}
        self.surge = 1.0
        self.feed_cut = 0
        weights = [1.0 / (n + 1) ** scenario.traffic.zipf for n in range(scenario.traffic.objects)]
        self.sums = list(itertools.accumulate(weights))

    async def run(self) -> Verdict:
        began = time.perf_counter()
        await self._start()
        faults = [asyncio.ensure_future(self._fault(fault)) for fault in self.scenario.fault]
        beats = asyncio.ensure_future(self._beat())
        await self._traffic()
        await asyncio.gather(*faults)
        beats.cancel()
        return Verdict(
            broken_rules(self.record), self._outcomes(), self.loop.trace(), self.loop.events,
            self.loop.time(), time.perf_counter() - began, self.record,
        )  # fmt: skip

    async def _start(self) -> None:
        fleet, loop = self.scenario.fleet, self.loop
        for n, (kind, count) in enumerate((("box", fleet.boxes), ("hub", fleet.hubs), ("store", 1))):
            model = ("standard", "parent", "origin")[n]
            for i in range(count):
                name = kind if kind == "store" else f"{kind}-{i}"
                slots = fleet.slots if kind == "box" else 50 * fleet.slots
                server = self.servers[name] = ModelServer(
                    name, model, f"10.{2 + n}.{i // 250}.{i % 250 + 1}", slots,
                    fleet.keeps * (10 if kind == "hub" else 1), self.servers, self.record, self.clock,
                    random.Random(self.random.random()),
                )  # fmt: skip
                await loop.as_party(name, server.peer.start())
        await loop.as_party("coordinator", self.coordinator.start())
        told = config_for([s.peer for s in self.servers.values()], self.coordinator, self.settings)
        for n in range(fleet.directors):
            name = f"director-{n}"
            own = {"name": name, "listen": f"10.1.0.{n + 1}:7001", "seed": f"{self.random.getrandbits(32):x}"}
            director = Director(read_config({**told, **own}, {}), loop, environment=loop.environment())
            if self.change is not None:
                self.change(director)
            self.directors[name] = director
            await loop.as_party(name, director.start())

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            self.coordinator.send_raw(b"%d\n" % len(self.coordinator.events))

    # Traffic.

    async def _traffic(self) -> None:
        traffic, clients = self.scenario.traffic, []
        names = list(traffic.shares)
        shares = list(itertools.accumulate(traffic.shares.values()))
        number = 0
        while self.loop.time() < self.scenario.seconds:
            await asyncio.sleep(self.random.expovariate(traffic.per_s * self.surge))
            number += 1
            cls = names[bisect.bisect(shares, self.random.random() * shares[-1])]
            clients.append(self.loop.as_party("client", self._client(self._ask(number, cls))))
        await asyncio.gather(*clients)

    def _ask(self, number: int, cls: str) -> Request:
        obj = bisect.bisect(self.sums, self.random.random() * self.sums[-1])
        part = self.random.randrange(4) if cls == "lot-video" else 0
        wait_ms = float(CLASSES[cls]["give_up_ms"]) * self.random.uniform(0.5, 1.0)
        name = self.random.choice(list(self.directors))
        asked = Request(f"{number:016x}", cls, f"{obj + 1:x}", part, (obj + 1) % GROUPS, name,
                        self.clock(), round(wait_ms))  # fmt: skip
        self.record.requests[asked.id] = asked
        return asked

    async def _client(self, asked: Request) -> None:
        director = self.directors[asked.director]
        write = CLASSES[asked.cls]["repeat"] == "once"
        path = f"/invoke/{asked.cls}/{asked.object}?nth={asked.part}"
        sent = encode_request(path, "PUT" if write else "GET", asked.wait_ms, b"bid" if write else b"",
                       trace=asked.id, X_Batch=str(asked.group))  # fmt: skip
        writer = None
        try:
            async with asyncio.timeout((asked.wait_ms + LATE_MS) / 1000.0):
                reader, writer = await asyncio.open_connection(*director.front.address)
                asked.at_ms = self.clock()
                writer.write(sent)
                await self._listen(asked, reader)
        except TimeoutError:
            pass  # it goes; if it has heard nothing, that is a rule's affair
        except (OSError, asyncio.IncompleteReadError) as error:
            asked.broken_ms = self.clock()
            asked.begun = asked.begun or bool(getattr(error, "partial", b""))
        finally:
            if writer is not None:
                writer.close()

    async def _listen(self, asked: Request, reader: asyncio.StreamReader) -> None:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            asked.begun = True
            lines = dict(line.partition(": ")[::2] for line in head.split("\r\n")[1:] if line)
            body = await reader.readexactly(int(lines.get("content-length", "0")))
            asked.ends.append((self.clock(), int(head.split(" ")[1]), body))
            asked.retry_after = asked.retry_after or "retry-after" in lines
            try:
                async with asyncio.timeout(AGAIN_MS / 1000.0):
                    more = await reader.read(1)
            except TimeoutError:
                return
            if not more:
                return
            asked.ends.append((self.clock(), 0, more))
            return

    def _outcomes(self) -> dict[str, Counter[str]]:
        outcomes: dict[str, Counter[str]] = {}
        for r in self.record.requests.values():
            ends = outcomes.setdefault(r.cls, Counter())
            if not r.ends:
                ends["broken" if r.broken_ms is not None else "lost"] += 1
                continue
            at_ms, status, _ = r.ends[0]
            good = status in (200, 304)
            late = at_ms - r.at_ms > float(CLASSES[r.cls]["promise_ms"])
            refused = "refused" if status in (429, 503) else "failed"
            ends[("late" if late else "served") if good else refused] += 1
        return outcomes

    # Faults.

    def _told_ms(self) -> float:
        return self.clock() + (TOLD_LATE_MS if self.feed_cut else 0.0)

    async def _fault(self, fault: Fault) -> None:
        await asyncio.sleep(fault.at_s)
        server = self.servers.get(fault.who)
        match fault.kind:
            case "surge":
                self.surge *= fault.amount
                await asyncio.sleep(fault.for_s)
                self.surge /= fault.amount
            case "purge":
                await self._purge(fault.amount)
            case "feed":
                pairs = [("coordinator", name) for name in self.directors]
                self.feed_cut += 1
                await self._cut(pairs, fault.for_s)
                self.feed_cut -= 1
            case "cut":
                parties = [*self.directors, *self.servers]
                await self._cut([p for x in parties for p in ((fault.who, x), (x, fault.who))], fault.for_s)
            case _ if server is not None:
                await self._at_server(fault, server)

    async def _cut(self, pairs: list[tuple[str, str]], for_s: float) -> None:
        for pair in pairs:
            self.loop.paths.cuts[pair] += 1
        await asyncio.sleep(for_s)
        for pair in pairs:
            self.loop.paths.cuts[pair] -= 1

    async def _at_server(self, fault: Fault, server: ModelServer) -> None:
        if fault.kind == "silent":
            server.silent += 1
            await asyncio.sleep(fault.for_s)
            server.silent -= 1
        elif fault.kind == "slow":
            server.slow *= fault.amount
            await asyncio.sleep(fault.for_s)
            server.slow /= fault.amount
        elif fault.kind in ("spoil", "reset"):
            setattr(server, fault.kind, getattr(server, fault.kind) + fault.amount)
            await asyncio.sleep(fault.for_s)
            setattr(server, fault.kind, max(0.0, getattr(server, fault.kind) - fault.amount))
        elif fault.kind == "drain":
            server.peer.state = "DRAINING"
            self.coordinator.publish_endpoints(server.peer)
            self.record.leaving[server.name] = self._told_ms(), float("inf")
            await asyncio.sleep(fault.for_s)
            server.peer.state = "SERVING"
            self.record.leaving[server.name] = self.record.leaving[server.name][0], self.clock()
            self.coordinator.publish_endpoints(server.peer)
        elif fault.kind == "restart":
            server.crash()
            await asyncio.sleep(fault.for_s)
            await self.loop.as_party(server.name, server.start_again())
            self.coordinator.publish_endpoints(server.peer)

    async def _purge(self, part: float) -> None:
        """A part of all groups: told at once, and dropped by every server in a time of its own."""
        for group in self.random.sample(range(GROUPS), max(1, round(part * GROUPS))):
            made_ms = self.clock()
            self.coordinator.publish(evict={"shard": group, "unix_ms": made_ms})
            self.record.purges.append((self._told_ms(), group, made_ms))
            for server in self.servers.values():
                self.loop.call_later(self.random.uniform(0.0, PURGE_DONE_S), server.purge, group, made_ms)


def play(
    scenario: Scenario, seed: int, change: Change | None = None, settings: dict[str, Any] | None = None
) -> Verdict:
    """The verdict on the director as it is, or as `change` and `settings` make it."""
    return rehearse(seed, lambda loop: Morning(loop, scenario, change, settings).run())[0]
