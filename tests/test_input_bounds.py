"""What a director holds of its clients' input, over all connections, and what it rejects beyond that."""

import asyncio
import gc
import socket
import time
import weakref
from typing import Any

import pytest

from gladewalk.config.platform import ConfigError, read_config
from gladewalk.core.memory_watch import MemoryWatch
from gladewalk.limits.memory_plan import BYTES_PER_MB, TARGET_FRACTION, plan_memory
from gladewalk.net.bounded_reads import READ_BYTES
from gladewalk.net.clients import FIRST_BYTE_TIMEOUT_MS
from gladewalk.net.request_reader import MAX_BLANK_BYTES, MAX_FIELDS
from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import config_for, wait_until
from gladewalk.rehearsal.http_messages import encode_request, read_message
from gladewalk.rehearsal.scripted_servers import ScriptedServer

from .server_scripts import hit, running

BODY = b"x" * 40_000
OPEN_WRITE = encode_request("/invoke/bid/b1", "PUT")[:-2] + b"Content-Length: 60000\r\n\r\n"


def servers() -> list[ScriptedServer]:
    return [ScriptedServer(hit), ScriptedServer(hit, uid="o", model="origin", zone="north")]


def test_a_large_write_in_two_pieces_gets_one_response() -> None:
    """Guards against counting a body's second piece as empty lines."""

    async def scenario() -> tuple[list[int], bytes]:
        async with running(*servers()) as (harness, _):
            reader, writer = await harness.connect()
            statuses = []
            for number in (1, 2):
                request = encode_request(f"/invoke/bid/b{number}", "PUT", body=BODY, trace=f"{number:016x}")
                writer.write(request[:50])
                await asyncio.sleep(0.05)
                writer.write(request[50:])
                statuses.append((await read_message(reader)).status)
            await asyncio.sleep(0.05)
            writer.write_eof()
            return statuses, await reader.read()

    assert asyncio.run(scenario()) == ([200, 200], b"")


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"\r\n" * MAX_BLANK_BYTES, 400),
        (OPEN_WRITE[:-2] + b"".join(b"f%d: x\r\n" % number for number in range(MAX_FIELDS)), 431),
    ],
)
def test_input_that_costs_more_than_its_bytes_is_rejected(data: bytes, status: int) -> None:
    async def scenario() -> tuple[int, int]:
        async with running(*servers()) as (harness, director):
            reader, writer = await harness.connect()
            writer.write(data)
            return (await read_message(reader)).status, director.counters[f"clients.bad_input_{status}"]

    assert asyncio.run(scenario()) == (status, 1)


def test_the_largest_unfinished_write_is_rejected_first_when_input_takes_too_much_memory() -> None:
    async def scenario() -> tuple[int, str, int, list[int]]:
        async with running(*servers()) as (harness, director):
            account = director.exchange.memory.client_input
            account.limit_bytes = 3 * len(BODY)
            large_reader, large = await harness.connect()
            large.write(OPEN_WRITE + b"x" * 59_000)
            await wait_until(lambda: account.used_bytes >= 59_000)
            small_reader, small = await harness.connect()
            small.write(encode_request("/invoke/bid/b2", "PUT", body=BODY, trace=f"{2:016x}")[:-1])
            await wait_until(lambda: account.used_bytes >= 59_000 + len(BODY) - 1)
            other_reader, other = await harness.connect()
            other.write(encode_request("/invoke/bid/b3", "PUT", body=BODY, trace=f"{3:016x}")[:-1])
            rejected = await read_message(large_reader)
            small.write(b"x")
            other.write(b"x")
            served = [(await read_message(reader)).status for reader in (small_reader, other_reader)]
            await wait_until(lambda: not account.used_bytes)
            count = director.counters["clients.rejected_for_memory"]
            return (rejected.status, rejected.headers["retry-after"], count, served)

    assert asyncio.run(scenario()) == (503, "1", 1, [200, 200])


def test_one_read_of_a_flooding_client_is_bounded() -> None:
    async def scenario() -> int:
        async with running(*servers()) as (harness, director):
            sizes: list[int] = []
            connection_type = director.front.connection_type

            class Watched(connection_type):  # type: ignore[misc, valid-type]
                def data_received(self, data: bytes) -> None:
                    sizes.append(len(data))
                    super().data_received(data)

            director.front.connection_type = Watched
            reader, writer = await harness.connect()
            writer.write(encode_request("/invoke/bid/b1", "PUT", body=BODY))
            await read_message(reader)
            return max(sizes)

    assert asyncio.run(scenario()) <= READ_BYTES


@pytest.mark.parametrize("data", [b"GET /x HTTP/1.1\r\nbroken", b"\r\n" * MAX_BLANK_BYTES, OPEN_WRITE])
def test_a_closed_connection_leaves_nothing_to_the_garbage_collector(data: bytes) -> None:
    """Guards against reference cycles, which keep the input of thousands of connections for a while."""

    async def scenario() -> list[object]:
        async with running(*servers()) as (harness, director):
            _, writer = await harness.connect()
            writer.write(data)
            await wait_until(lambda: len(director.front.connections) == 1)
            seen = [weakref.ref(connection) for connection in director.front.connections]
            await asyncio.sleep(0.05)
            writer.transport.abort()
            await wait_until(lambda: not director.front.connections)
            await asyncio.sleep(0.05)
            return [one() for one in seen]

    gc.disable()
    try:
        assert asyncio.run(scenario()) == [None]
    finally:
        gc.enable()


def test_connections_full_of_slow_requests_make_room_for_another_request() -> None:
    async def scenario() -> tuple[int, int]:
        async with running(*servers()) as (harness, director):
            front = director.front
            connection_type = front.connection_type

            class Sending(connection_type):  # type: ignore[misc, valid-type]
                def is_input_empty(self) -> bool:
                    return not self.has_partial_request and super().is_input_empty()

            front.connection_type = Sending
            while front._is_accepting:  # connections that wait for long before they send may be evicted
                _, writer = await harness.connect()
                writer.write(OPEN_WRITE + b"x")
                await asyncio.sleep(0.001)
            started_s = time.monotonic()
            status, _, _ = await harness.fetch()
            assert time.monotonic() - started_s < FIRST_BYTE_TIMEOUT_MS / 1000.0
            return status, min(1, front.counters["clients.rejected_for_room"])

    assert asyncio.run(scenario()) == (200, 1)


def test_a_connection_that_was_closed_unused_takes_no_place() -> None:
    async def scenario() -> tuple[int, int]:
        async with running(*servers()) as (harness, director):
            front = director.front
            for _ in range(20):
                socket.create_connection(front.address).close()
            await wait_until(lambda: front.counters["clients.left_unused"] == 20)
            assert (await harness.fetch())[0] == 200
            return front.descriptor_count, front.counters["clients.connected"]

    assert asyncio.run(scenario())[1] == 1


@pytest.mark.parametrize("process_count", [1, 2])
@pytest.mark.parametrize("descriptors", [64, 256, 1_024, 4_096])
@pytest.mark.parametrize("memory_mb", [32, 48, 64, 96, 192, 2_048])
def test_the_shares_of_the_memory_fit_its_target(
    memory_mb: int, descriptors: int, process_count: int
) -> None:
    plan = plan_memory(memory_mb, descriptors, process_count)
    shares = plan.client_input_bytes + plan.response_bytes + plan.feed_line_bytes
    assert plan.target_bytes * process_count <= TARGET_FRACTION * memory_mb * BYTES_PER_MB
    assert 8 <= plan.client_connections <= descriptors // 3
    if memory_mb / process_count >= 64:
        assert 30 * BYTES_PER_MB + shares <= plan.target_bytes


def test_a_line_names_what_is_held_when_the_memory_reaches_each_warning_fraction() -> None:
    lines: list[dict[str, Any]] = []
    resident_mb = [0.0]
    watch = MemoryWatch(
        100.0,
        lambda: int(resident_mb[0] * BYTES_PER_MB),
        lambda: {"clients": 3},
        lambda event, **fields: lines.append({"event": event, **fields}),
    )
    for resident_mb[0] in (50.0, 71.0, 69.0, 72.0, 91.0, 92.0, 60.0, 75.0):
        watch.check()
    assert [line["resident_mb"] for line in lines] == [71.0, 91.0, 75.0]
    assert lines[0] == {"event": "memory_high", "resident_mb": 71.0, "limit_mb": 100.0, "clients": 3}


def test_a_memory_limit_that_no_director_fits_in_is_rejected_with_its_key() -> None:
    raw = config_for([], Coordinator([{"index": 1}], address="127.0.0.1:1"))
    with pytest.raises(ConfigError, match=r"^limits: memory_mb: 23 is less than 24$"):
        read_config({**raw, "limits": {"sockets": 256, "memory_mb": 23}}, {})
