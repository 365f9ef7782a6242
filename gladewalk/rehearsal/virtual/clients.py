"""Simulated clients, which send the scenario's requests, each on its own connection."""

from __future__ import annotations

import asyncio
import bisect
import itertools
import random
from collections.abc import Mapping

from ...director import Director
from ..director_harness import SETTINGS
from ..http_messages import encode_request, parse_status, read_head
from .loop import VirtualLoop
from .rules import MAX_LATENESS_MS, History, ObservedRequest, ObservedResponse
from .scenario import GROUP_COUNT, Scenario

DUPLICATE_RESPONSE_MS = 20.0  # how long a client waits for surplus bytes after a complete response
VIDEO_CLASS, VIDEO_PARTS = "lot-video", 4
MIN_WAIT_FRACTION = 0.5  # shortest wait, as a fraction of the class's longest
WRITE_BODY = b"bid"
CLIENT_HOST = "client"

REQUEST_CLASSES = {str(settings["name"]): settings for settings in SETTINGS["classes"]}


class ClientTraffic:
    """Sends requests as a Poisson process for the scenario's duration and records what clients observe.

    Args:
        loop: The event loop in which clients run, in the name of the host `client`.
        scenario: Describes the traffic.
        directors: The directors that requests are sent to, by name.
        history: Records the requests and the responses that clients observe.
        rng: Source of all random draws.
    """

    def __init__(
        self,
        loop: VirtualLoop,
        scenario: Scenario,
        directors: Mapping[str, Director],
        history: History,
        rng: random.Random,
    ) -> None:
        self._loop, self._scenario = loop, scenario
        self._directors, self._history, self._rng = directors, history, rng
        self.surge_factor = 1.0
        traffic = scenario.traffic
        weights = [1.0 / (rank + 1) ** traffic.zipf_exponent for rank in range(traffic.objects)]
        self._cumulative_weights = list(itertools.accumulate(weights))
        self._class_names = list(traffic.class_shares)
        self._cumulative_shares = list(itertools.accumulate(traffic.class_shares.values()))

    async def run(self) -> None:
        """Sends requests until the scenario's end, then waits until all clients are done."""
        clients = []
        number = 0
        while self._loop.time() < self._scenario.duration_s:
            rate_per_s = self._scenario.traffic.requests_per_s * self.surge_factor
            await asyncio.sleep(self._rng.expovariate(rate_per_s))
            number += 1
            class_name = self._class_names[self._draw_index(self._cumulative_shares)]
            request = self._new_request(number, class_name)
            clients.append(self._loop.run_as(CLIENT_HOST, self._send(request)))
        await asyncio.gather(*clients)

    def _draw_index(self, cumulative: list[float]) -> int:
        return bisect.bisect(cumulative, self._rng.random() * cumulative[-1])

    def _new_request(self, number: int, class_name: str) -> ObservedRequest:
        object_number = self._draw_index(self._cumulative_weights) + 1
        part = self._rng.randrange(VIDEO_PARTS) if class_name == VIDEO_CLASS else 0
        longest_wait_ms = float(REQUEST_CLASSES[class_name]["give_up_ms"])
        wait_ms = longest_wait_ms * self._rng.uniform(MIN_WAIT_FRACTION, 1.0)
        request = ObservedRequest(
            id=f"{number:016x}",
            class_name=class_name,
            object_name=f"{object_number:x}",
            part=part,
            group=object_number % GROUP_COUNT,
            director=self._rng.choice(list(self._directors)),
            sent_at_ms=self._loop.unix_ms(),
            wait_ms=round(wait_ms),
        )
        self._history.requests[request.id] = request
        return request

    async def _send(self, request: ObservedRequest) -> None:
        """Sends a request and waits for its response until the time at which it would count as lost."""
        address = self._directors[request.director].front.address
        data = encode(request)
        writer = None
        try:
            async with asyncio.timeout((request.wait_ms + MAX_LATENESS_MS) / 1000.0):
                reader, writer = await asyncio.open_connection(*address)
                request.sent_at_ms = self._loop.unix_ms()
                writer.write(data)
                await self._receive(request, reader)
        except TimeoutError:
            pass  # the client closes its connection; a request without a response violates a rule
        except (OSError, asyncio.IncompleteReadError) as error:
            request.broken_at_ms = self._loop.unix_ms()
            if getattr(error, "partial", b""):
                request.has_response_begun = True
        finally:
            if writer is not None:
                writer.close()

    async def _receive(self, request: ObservedRequest, reader: asyncio.StreamReader) -> None:
        status_line, headers = await read_head(reader)
        request.has_response_begun = True
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        response = ObservedResponse(self._loop.unix_ms(), parse_status(status_line), body)
        request.responses.append(response)
        request.has_retry_after = "retry-after" in headers
        try:
            async with asyncio.timeout(DUPLICATE_RESPONSE_MS / 1000.0):
                surplus = await reader.read(1)
        except TimeoutError:
            return
        if surplus:
            request.responses.append(ObservedResponse(self._loop.unix_ms(), 0, surplus))


def encode(request: ObservedRequest) -> bytes:
    """Encodes a request; requests of a class that must not be repeated are writes."""
    is_write = REQUEST_CLASSES[request.class_name]["repeat"] == "once"
    return encode_request(
        f"/invoke/{request.class_name}/{request.object_name}?nth={request.part}",
        "PUT" if is_write else "GET",
        request.wait_ms,
        WRITE_BODY if is_write else b"",
        trace=request.id,
        X_Batch=str(request.group),
    )
