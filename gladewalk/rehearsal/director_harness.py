"""Runs a director in the test's process, with stand-in servers and a stand-in coordinator."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Self

from ..config.platform import read_config
from ..director import Director
from ..dns.settings import DnsConfig
from ..errors import GladewalkError
from .coordinator import Coordinator
from .http_messages import encode_request, parse_status, read_message
from .scripted_servers import StandInServer

if TYPE_CHECKING:
    from ..config.options import Options

POLL_INTERVAL_S = 0.005
DEFAULT_PATH = "/invoke/lot-page/a1?nth=0"


def class_settings(
    name: str, promise_ms: float, give_up_ms: float, repeat: str, **changes: Any
) -> dict[str, Any]:
    """Returns the settings of a request class; `changes` replaces or adds keys."""
    return {
        "name": name,
        "promise_ms": promise_ms,
        "give_up_ms": give_up_ms,
        "repeat": repeat,
        "importance": 1.0,
        "late_worth": 0.0,
        "key_scope": "all",
        "window_ms": 0.0,
        "streaming": False,
        **changes,
    }


SETTINGS: dict[str, Any] = {
    "classes": [
        class_settings("lot-video", 600.0, 5000.0, "repeatable"),
        class_settings("lot-page", 250.0, 3000.0, "repeatable"),
        class_settings("bid", 800.0, 3000.0, "once", importance=3.0),
    ],
    "discovery": "automatic",
    "feedback": {"how": "silent"},
    "kinds": ["standard", "parent", "origin"],
    "me": -1,  # no number of its own: its place among the directors is drawn
    "my_zone": "edge-1",
    "n_instances": 1,
    "weights": "nominal",
    "zones": ["north", "edge-1"],
    "limits": {
        "most_tries": 6,
        "may_duplicate": True,
        "cancel": True,
        "conn_idle_ms": 15000.0,
        "connect_timeout_ms": 400.0,
        "max_retry_after_ms": 1000.0,
        "may_probe": True,
        "peers": False,
        "retry_after": False,
    },
    "invariants": {
        "answer_slack_ms": 0.0,
        "drain_grace_ms": 250.0,
        "cold_from": 0.16,
        "ramp_time_ms": 18000.0,
        "fall_multiple": 3.0,
        "tip_after_ms": 2000.0,
    },
    "specifics": {
        "byte_fee": 0.0,
        "class_grace_ms": [0.0, 0.0, 0.0],
        "class_parts": [False, False, False],
        "client_kb_per_s": 0.0,
        "hub_of": [0, 0],
        "instances_by_zone": [0, 1],
        "joins": False,
        "lateral": "silent",
        "lifetime_by_class_ms": [0.0, 20000.0, 0.0],
        "link_in_kb_per_s": [0.0, 0.0],
        "may_pass_by": True,
        "note_level": "all",
        "obey_after_ms": 500.0,
        "origin_kind": 2,
        "origin_limit_factor": 0.0,
        "parent_cold_ms": 0.0,
        "parent_fall_multiple": 1.0,
        "parent_floor": 1.0,
        "purge_settles_ms": 6000.0,
        "root_fall_ms": 0.0,
        "stale_earns": [0.0, 0.0, 0.0],
        "uncached": [False, False, True],
        "upper_kind": 1,
    },
}
"""Settings of a small deployment, with every key that a director needs."""


class WaitExpiredError(GladewalkError, TimeoutError):
    """The condition of `wait_until` did not become true in time."""


def config_for(
    servers: Sequence[StandInServer[Any]], coordinator: Coordinator, settings: Mapping[str, Any] = SETTINGS
) -> dict[str, Any]:
    """Returns a director's platform configuration, with these servers in its persisted endpoint list."""
    if not coordinator.events:
        coordinator.publish_endpoints(*servers, is_complete=True)
    return {
        "name": "n1",
        "listen": "127.0.0.1:0",
        "seed": "1f",
        "limits": {"sockets": 256, "memory_mb": 64},
        "coordinator": coordinator.address,
        "settings": settings,
        "known": {"index": len(coordinator.events), "updates": coordinator.events},
    }


@dataclass(slots=True, eq=False)
class DirectorHarness:
    """Starts a director with its stand-in servers and coordinator; `async with` starts and stops them all."""

    servers: Sequence[StandInServer[Any]]
    coordinator: Coordinator = field(default_factory=Coordinator)
    settings: Mapping[str, Any] = field(default_factory=lambda: SETTINGS)
    dns: DnsConfig | None = None
    options: Options | None = None
    director: Director | None = None
    _client_writers: list[asyncio.StreamWriter] = field(default_factory=list)

    async def __aenter__(self) -> Self:
        await self.coordinator.start()
        for server in self.servers:
            await server.start()
        config = read_config(config_for(self.servers, self.coordinator, self.settings), {})
        self.director = Director(config, asyncio.get_running_loop(), self.dns, self.options)
        await self.director.start()
        return self

    async def __aexit__(self, *error: object) -> None:
        director = self._running()
        director.front.close()
        director.coordinator_watch.close()
        if director.dns is not None:
            director.dns.close()
        self.coordinator.stop()
        for server in self.servers:
            server.stop()
        for writer in self._client_writers:
            writer.close()

    def _running(self) -> Director:
        assert self.director is not None, "the harness must be entered by `async with`"
        return self.director

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a client's connection to the director."""
        reader, writer = await asyncio.open_connection(*self._running().front.address)
        self._client_writers.append(writer)
        return reader, writer

    async def fetch(self, path: str = DEFAULT_PATH, **more: Any) -> tuple[int, dict[str, str], bytes]:
        """Sends one request on a new connection and returns status, headers and body.

        `more` contains further arguments of `encode_request`.
        """
        reader, writer = await self.connect()
        try:
            writer.write(encode_request(path, **more))
            status_line, headers, body = await read_message(reader)
            return parse_status(status_line), headers, body
        finally:
            writer.close()


async def wait_until(is_true: Callable[[], bool], max_wait_s: float = 20.0) -> None:
    """Waits until a condition is true, so that tests need no fixed delays that a busy machine could exceed.

    Raises:
        WaitExpiredError: The condition is still false after `max_wait_s`.
    """
    end_s = time.monotonic() + max_wait_s
    while not is_true():
        if time.monotonic() > end_s:
            raise WaitExpiredError(f"the condition is still false after {max_wait_s:g} s")
        await asyncio.sleep(POLL_INTERVAL_S)
