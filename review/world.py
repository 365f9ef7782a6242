"""A small deployment: its settings, its objects with versions and purges, and sound caches, a parent and an origin.

Caches and parents drop copies from before a purge by themselves within `purge_settles_ms`, here after
`DROP_AFTER_MS`, and until then serve them to whoever accepts them, as the pages allow.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any

from standins import Call, Record, Server, unix_ms

DROP_AFTER_MS = 5000.0
FRESH_MS = {"lot-video": 0.0, "lot-page": 20000.0, "bid": 0.0}
OWN_CACHES = ("c1", "c2", "c3")  # of the director's location, edge-1
ANSWER_MS = 15.0  # what a stand-in takes for an answer


def settings(**changes: Any) -> dict[str, Any]:
    """The settings of a deployment with two locations, one hub, a parent and an origin, as one director gets them.

    The director is the only one of its location, edge-1; two more, which the cases don't need, would serve edge-2.
    The figures lie in the ranges of the site port-exchange.
    """
    def request_class(name: str, promise: float, give_up: float, worth: float, repeat: str) -> dict[str, Any]:
        return {
            "name": name, "promise_ms": promise, "give_up_ms": give_up, "importance": worth, "late_worth": 0.15,
            "repeat": repeat, "key_scope": "all", "window_ms": 5000.0, "streaming": False, "aim_stretch": 2.0,
        }  # fmt: skip

    return {
        "classes": [
            request_class("lot-video", 600.0, 5000.0, 2.0, "repeatable"),
            request_class("lot-page", 250.0, 3000.0, 1.0, "repeatable"),
            request_class("bid", 800.0, 3000.0, 3.0, "once"),
        ],
        "client_habits": {"marks_retry": False},
        "counted_by": "request",
        "discovery": "automatic",
        "feedback": {"fields": ["utilization", "x0"], "how": "piggyback"},
        "invariants": {
            "answer_slack_ms": 8.0, "ask_within_ms": 10000.0, "cold_from": 0.16, "drain_grace_ms": 250.0,
            "fall_multiple": 3.0, "ramp_time_ms": 18000.0, "tip_after_ms": 2000.0,
        },
        "kind_of_service": "edge",
        "kinds": ["standard", "parent", "origin"],
        "layers": ["lot-cache"],
        "limits": {
            "cancel": True, "conn_idle_ms": 15000.0, "connect_timeout_ms": 400.0, "max_retry_after_ms": 1000.0,
            "max_streams": 32, "may_duplicate": True, "may_probe": True, "most_tries": 6, "peers": False,
            "retry_after": False,
        },
        "me": 0,
        "my_zone": "edge-1",
        "n_instances": 3,
        "specifics": {
            "byte_fee": 0.06, "class_grace_ms": [0.0, 20000.0, 0.0], "class_parts": [True, False, False],
            "client_kb_per_s": 9500.0, "hub_of": [0, 0, 0], "instances_by_zone": [0, 1, 2], "joins": False,
            "lateral": "any", "lifetime_by_class_ms": [0.0, 20000.0, 0.0], "link_in_kb_per_s": [0.0, 0.0, 0.0],
            "may_pass_by": True, "note_level": "all", "obey_after_ms": 500.0, "origin_kind": 2,
            "origin_limit_factor": 0.0, "parent_cold_ms": 21000.0, "parent_fall_multiple": 2.0,
            "parent_floor": 0.076, "purge_settles_ms": 6000.0, "stale_earns": [0.7, 0.5, 0.7],
            "uncached": [False, False, True], "upper_kind": 1,
        },
        "tenants": [],
        "tick_ms": 2.0,
        "tier": 0,
        "weights": "nominal",
        "zones": ["north", "edge-1", "edge-2"],
        **changes,
    }  # fmt: skip


def configuration(listen: str, coordinator: str, known: dict[str, Any], own: dict[str, Any]) -> dict[str, Any]:
    """The file that the platform gives to a director."""
    return {
        "name": "d1", "listen": listen, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "coordinator": coordinator, "flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000,
        "known": known, "settings": own,
    }  # fmt: skip


@dataclass(slots=True)
class Copy:
    """A copy of an object, as the origin gave it out."""

    version: int
    made_ms: float


@dataclass(eq=False)
class World:
    """The objects at the origin, and the servers that may hold copies of them."""

    record: Record
    versions: dict[str, int] = field(default_factory=dict)
    purged_ms: dict[str, float] = field(default_factory=dict)  # by key, the object without its part
    holders: list[Holder] = field(default_factory=list)
    runs: list[tuple[float, str, str]] = field(default_factory=list)  # writes: when, X-Nonce, ticket
    reports_load: bool = True  # whether the settings say that answers hold load reports

    def give_out(self, name: str) -> Copy:
        """A copy as the origin gives it out now."""
        return Copy(self.versions.get(name.split("/")[1], 1), unix_ms())

    def body(self, name: str, copy: Copy) -> bytes:
        """The bytes of a copy, which differ from version to version."""
        return f"{name} version {copy.version}\n".encode() * 40

    def purge(self, key: str) -> float:
        """A new version at the origin; each holder drops its older copies after `DROP_AFTER_MS`."""
        at_ms = self.purged_ms[key] = unix_ms()
        self.versions[key] = self.versions.get(key, 1) + 1
        self.record.add("purged", key=key, at=f"{at_ms:.0f}")
        asyncio.get_running_loop().call_later(DROP_AFTER_MS / 1000.0, self._drop, key, at_ms)
        return at_ms

    def _drop(self, key: str, at_ms: float) -> None:
        for holder in self.holders:
            for name in [name for name in holder.copies if name.split("/")[1] == key]:
                if holder.copies[name].made_ms <= at_ms:
                    del holder.copies[name]


@dataclass(eq=False)
class Holder:
    """A sound cache or parent: serves a copy that is young enough, fills a miss from the named source."""

    world: World
    copies: dict[str, Copy] = field(default_factory=dict)
    servers: dict[str, Holder | None] = field(default_factory=dict)  # by uid; None is the origin

    def find(self, name: str, max_age_ms: float) -> Copy | None:
        """The copy held, if it is not older than this (0: any age)."""
        copy = self.copies.get(name)
        if copy is not None and (not max_age_ms or unix_ms() - copy.made_ms <= max_age_ms):
            return copy
        return None

    def fill(self, name: str, max_age_ms: float, source: str, held_only: bool) -> tuple[Copy | None, str]:
        """A copy from the source and the remark for it; None if the source has none and may not fetch it."""
        other = self.servers[source]
        if other is None:
            return self.world.give_out(name), "origin"
        copy = other.find(name, max_age_ms)
        if copy is not None:
            return copy, "parent"
        if held_only:
            return None, "absent"
        copy = other.copies[name] = self.world.give_out(name)
        return copy, "origin"

    async def serve(self, call: Call) -> None:
        """Answers one request as the protocol says."""
        name, headers = call.object, call.headers
        await asyncio.sleep(ANSWER_MS / 1000.0)
        fresh_ms = FRESH_MS.get(name.split("/")[0], 0.0)
        max_age_ms = float(headers.get("no-older-than", "0")) or fresh_ms
        copy, remark = self.find(name, max_age_ms), "mem"
        if copy is None and "miss-to" in headers:
            handling = headers.get("handling", "").split("+")
            copy, remark = self.fill(name, max_age_ms, headers["miss-to"], "have-only" in handling)
            if copy is not None and headers.get("store-as", "0") != "0":
                self.copies[name] = copy
        if copy is None:
            return await call.answer(404, X_Remark=remark if "miss-to" in headers else "absent")
        tag = f"v{copy.version}"
        fields = {"Tag": tag, "Made_At": round(copy.made_ms), "X_Remark": remark}
        if self.world.reports_load:
            fields["X_Meter"] = "utilization:0.2;x0:0.7"
        if headers.get("have") == tag:
            return await call.answer(304, **fields)
        return await call.answer(200, self.world.body(name, copy), **fields)


@dataclass(eq=False)
class Origin:
    """The origin: holds everything, and runs writes; drops repeats of a key for `window_ms` if that is set."""

    world: World
    window_ms: float = 0.0
    ran_ms: dict[str, float] = field(default_factory=dict)  # by key: when its request ran last

    def write(self, ticket: str, nonce: str) -> bool:
        """Runs a write now, unless it is a repeat within the window; whether it ran."""
        now_ms = unix_ms()
        if nonce and now_ms - self.ran_ms.get(nonce, float("-inf")) < self.window_ms:
            self.world.record.add("dropped", nonce=nonce, ticket=ticket, why="a repeat within the window")
            return False
        self.ran_ms[nonce] = now_ms
        self.world.runs.append((now_ms, nonce, ticket))
        self.world.record.add("RAN", nonce=nonce, ticket=ticket)
        return True

    async def serve(self, call: Call) -> None:
        """Answers one request that came straight to the origin."""
        await asyncio.sleep(ANSWER_MS / 1000.0)
        if call.method == "PUT":
            self.write(call.headers.get("x-ticket", ""), call.headers.get("x-nonce", ""))
            return await call.answer(200, b"done", X_Remark="mem")
        copy = self.world.give_out(call.object)
        await call.answer(
            200, self.world.body(call.object, copy), Tag=f"v{copy.version}", Made_At=round(copy.made_ms),
            X_Remark="mem",
        )  # fmt: skip


async def start_servers(world: World, origin: Origin) -> dict[str, Server]:
    """Starts the caches c1 to c3 of edge-1 and c4 to c9 of edge-2, the parent p1 and the origin o1."""
    holders: dict[str, Holder | None] = {f"c{number}": Holder(world) for number in range(1, 10)}
    holders["p1"] = Holder(world)
    holders["o1"] = None
    servers: dict[str, Server] = {}
    for uid, holder in holders.items():
        if holder is None:
            server = Server(uid, "origin", "north", world.record, origin.serve, capacity=40.0)
        else:
            holder.servers = holders
            world.holders.append(holder)
            model, zone = "standard", "edge-1" if uid in OWN_CACHES else "edge-2"
            if uid == "p1":
                model, zone = "parent", "north"
            server = Server(uid, model, zone, world.record, holder.serve, capacity=24.0 if uid == "p1" else 8.0)
        servers[uid] = await server.start()
    return servers
