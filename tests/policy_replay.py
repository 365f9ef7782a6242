"""Replays a seeded random scenario through the simulator's wire protocol and returns the resulting actions.

The events depend only on the seed and the actions. So two versions of the decision module that make the same
decisions give the same lines, whatever their types and functions are called.
"""

from __future__ import annotations

import heapq
import io
import json
import random
from typing import Any

from gladewalk import simulator_adapter

MAX_TIME_MS = 60_000.0
CLASSES: list[dict[str, Any]] = [
    {"name": "page", "promise_ms": 300.0, "give_up_ms": 2500.0, "repeat": "repeatable", "importance": 1.0},
    {
        "name": "video", "promise_ms": 500.0, "give_up_ms": 4000.0, "repeat": "repeatable",
        "aim_stretch": 2.0, "importance": 3.0, "late_worth": 0.3,
    },
    {
        "name": "bid", "promise_ms": 250.0, "give_up_ms": 2000.0, "repeat": "by_key", "key_scope": "zone",
        "window_ms": 1500.0, "importance": 5.0,
    },
    {"name": "order", "promise_ms": 250.0, "give_up_ms": 2000.0, "repeat": "once", "importance": 5.0},
]  # fmt: skip
SETUP: dict[str, Any] = {
    "classes": CLASSES,
    "kinds": ["box", "parent", "origin"],
    "me": 2,
    "n_instances": 6,
    "limits": {
        "most_tries": 5, "may_duplicate": True, "cancel": True, "retry_after": True,
        "max_retry_after_ms": 800.0,
    },
    "my_zone": "e1",
    "zones": ["h1", "h2", "e1", "e2"],
    "discovery": "subscribe",
    "specifics": {
        "upper_kind": 1, "origin_kind": 2, "hub_of": [0, 1, 0, 1], "instances_by_zone": [0, 0, 3, 3],
        "link_in_kb_per_s": [90_000.0, 90_000.0, 60_000.0, 60_000.0], "client_kb_per_s": 4_000.0,
        "may_pass_by": True, "joins": True, "lateral": "any", "note_level": "all",
        "uncached": [False, False, True, True], "class_parts": [False, True, False, False],
        "lifetime_by_class_ms": [9_000.0, 0.0, 0.0, 0.0], "class_grace_ms": [2_000.0, 0.0, 0.0, 0.0],
        "stale_earns": [0.7, 0.0, 0.0, 0.0], "parent_floor": 0.1, "parent_cold_ms": 15_000.0,
        "parent_fall_multiple": 2.0, "obey_after_ms": 500.0, "purge_settles_ms": 6_000.0,
    },
    "invariants": {
        "cold_from": 0.2, "ramp_time_ms": 8_000.0, "fall_multiple": 2.5, "tip_after_ms": 1_000.0,
    },
}  # fmt: skip
VARIANTS: dict[str, dict[str, Any]] = {
    "sizes_listed": {},
    "sizes_learned": {"weights": "silent", "me": -1},
    "one_attempt_at_a_time": {"limits": {"most_tries": 3, "cancel": True}, "discovery": "list"},
    "caches_of_this_location_only": {
        "specifics": {**SETUP["specifics"], "lateral": "location", "may_pass_by": False, "joins": False}
    },
}
RESULTS = ("GOOD",) * 14 + ("MISS",) * 6 + ("FULL", "BAD", "LATE", "NOCONN", "RST", "NOP")


class ReplayEnvironment:
    """Servers with random outcomes, clients with random requests, and random changes of the endpoint list."""

    def __init__(self, seed: int, changes: dict[str, Any]) -> None:
        self.random = random.Random(seed)
        self.adapter = simulator_adapter.SimulatorAdapter()
        self.out = io.StringIO()
        self.queue: list[tuple[float, int, dict[str, Any]]] = []
        self.sequence = 0
        self.attempts: dict[int, int] = {}
        self.elements = [self._element(f"c{number}", "e1", "box", 4 + number) for number in range(5)]
        self.elements += [self._element(f"s{number}", "e2", "box", 6) for number in range(3)]
        self.elements += [self._element(f"p{number}", "h1", "parent", 20) for number in range(2)]
        self.elements += [self._element("q0", "h2", "parent", 20), self._element("o", "h1", "origin", 5)]
        self.schedule(0.0, {"op": "launch", "salt": seed, "setup": SETUP | changes})
        self.schedule(0.0, {"op": "directory_update", "kind": "Persisted", "elements": list(self.elements)})

    @staticmethod
    def _element(host: str, site: str, model: str, scale: int) -> dict[str, Any]:
        return {
            "host": host, "site": site, "model": model, "scale": scale, "lifecycle": "up",
            "start_time_ms": None, "block": scale % 2,
        }  # fmt: skip

    def schedule(self, at_ms: float, message: dict[str, Any]) -> None:
        self.sequence += 1
        heapq.heappush(self.queue, (at_ms, self.sequence, message | {"dispatcher_id": 0}))

    def schedule_requests(self, count: int) -> None:
        at_ms = 100.0
        for call in range(1, count + 1):
            at_ms += self.random.expovariate(1.0 / 12.0)
            kind = self.random.choices(CLASSES, (10, 6, 2, 1))[0]
            request = {
                "op": "knock", "call": call, "type": kind["name"], "key": int(self.random.paretovariate(0.6)),
                "time_left_ms": kind["give_up_ms"], "kbytes": round(self.random.uniform(20.0, 900.0), 1),
                "purge_group": self.random.randrange(4), "range_no": self.random.randrange(2),
                "bitmap": 2 * (self.random.random() < 0.05),
            }  # fmt: skip
            self.schedule(at_ms, request)
            if self.random.random() < 0.03:
                self.schedule(at_ms + self.random.uniform(1.0, 900.0), {"op": "client_gone", "call": call})

    def schedule_faults(self) -> None:
        for number in range(30):
            at_ms = self.random.uniform(1_000.0, 30_000.0)
            index = self.random.randrange(len(self.elements))
            state = self.random.choice(("up", "draining", "removed", "up"))
            started_ms = at_ms - 20.0 if number % 2 else None
            entry = self.elements[index] | {"lifecycle": state, "start_time_ms": started_ms}
            self.schedule(at_ms, {"op": "directory_update", "kind": "Partial", "elements": [entry]})
            recovered = self.elements[index] | {"start_time_ms": at_ms + 1_500.0}
            self.schedule(
                at_ms + 1_700.0, {"op": "directory_update", "kind": "Partial", "elements": [recovered]}
            )
            key = self.random.randrange(1, 9) if number % 3 else None
            self.schedule(at_ms, {"op": "replaced", "key": key, "bucket": number % 4, "copy_age_ms": 40.0})
            health_check = {
                "op": "health_result", "host": self.elements[index]["host"],
                "result": self.random.choice(("GOOD", "NOCONN", "LATE")), "time_taken_ms": 4.0,
                "telemetry": {"utilization": self.random.random(), "x1": self.random.random()},
            }  # fmt: skip
            self.schedule(at_ms + 3.0, health_check)
        self.schedule(12_000.0, {"op": "directory_update", "kind": "Error", "elements": []})
        self.schedule(
            15_000.0, {"op": "directory_update", "kind": "Complete", "elements": self.elements[:-2]}
        )
        self.schedule(
            17_000.0, {"op": "directory_update", "kind": "Complete", "elements": list(self.elements)}
        )

    def _respond(self, now_ms: float, action: dict[str, Any]) -> None:
        """Schedules the events that follow from an action."""
        if action["op"] == "defer":
            self.schedule(now_ms + action["sleep_for_ms"], {"op": "timer", "token": action["token"]})
        if action["op"] not in ("place", "fetch_through"):
            return
        hop = self.attempts.get(action["call"], 0)
        self.attempts[action["call"]] = hop + 1
        elapsed_ms = self.random.expovariate(1.0 / 120.0)
        is_hanging = action["host"] in ("c1", "p1") and 5_000.0 < now_ms < 9_000.0
        result = "LATE" if is_hanging else self.random.choice(RESULTS)
        is_fetch = action["op"] == "fetch_through"
        details = {"GOOD": (2, 2, 3, 4, 5) if is_fetch else (1, 1, 0), "MISS": (8, 9, 0), "BAD": (0, 7, 10)}
        detail = self.random.choice(details.get(result, (0, 6) if is_fetch else (0,)))
        elapsed_ms = 1_900.0 if is_hanging else elapsed_ms
        load = {"utilization": self.random.random(), "x1": self.random.random()}
        outcome = {
            "op": "ended", "call": action["call"], "hop": hop, "host": action["host"], "result": result,
            "time_taken_ms": elapsed_ms, "done_flag": result == "GOOD", "detail": detail,
            "source_wait_ms": elapsed_ms / 3.0 if is_fetch else None,
            "telemetry": load if self.random.random() < 0.2 else None,
        }  # fmt: skip
        if result == "GOOD" and elapsed_ms > 200.0:
            first = {key: outcome[key] for key in ("call", "hop", "host")}
            self.schedule(
                now_ms + elapsed_ms / 2.0, {"op": "streaming", "time_taken_ms": elapsed_ms / 2.0} | first
            )
        self.schedule(now_ms + elapsed_ms, outcome)

    def run(self) -> list[str]:
        """All actions as the adapter writes them."""
        lines = []
        while self.queue and self.queue[0][0] < MAX_TIME_MS:
            at_ms, _, message = heapq.heappop(self.queue)
            self.adapter.now_ms = at_ms
            for action in self.adapter.handle(message):
                lines.append(json.dumps(action, separators=(",", ":")))
                self._respond(at_ms, action)
        return lines


def replay(variant: str, seed: int, requests: int = 2_000) -> list[str]:
    """The actions of one random scenario under a variant of the settings."""
    environment = ReplayEnvironment(seed, VARIANTS[variant])
    environment.schedule_requests(requests)
    environment.schedule_faults()
    return environment.run()
