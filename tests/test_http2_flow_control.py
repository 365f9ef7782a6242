"""HTTP/2 flow control in both directions, over loopback."""

import asyncio
import random

from h2.settings import SettingCodes

from gladewalk.core.exchange import ResponseHead
from gladewalk.core.response_buffer import ResponseBuffer
from gladewalk.rehearsal.director_harness import wait_until
from gladewalk.rehearsal.http_messages import encode_request
from gladewalk.rehearsal.scripted_http2_server import ScriptedHttp2Server
from gladewalk.rehearsal.write_soak import ticket

from .http2_rehearsal import async_test, director_of, read, rehearse, serve, write


@async_test
async def test_a_slow_client_delays_only_its_own_stream() -> None:
    large_body = bytes(240_000)
    server = ScriptedHttp2Server(lambda request: request.respond(200, large_body))
    async with rehearse(server, connections_most=1, stream_window=16_384) as rehearsal:
        slow_clients = []
        for n in range(6):
            address = director_of(rehearsal).front.address
            reader, writer = await asyncio.open_connection(*address, limit=1_024)
            writer.write(encode_request(f"/invoke/lot-video/{n:x}", trace=ticket(n)))
            slow_clients.append((reader, writer))
        await wait_until(lambda: len(server.received) == 6)
        for n in range(20, 32):  # over the same connection
            assert len((await read(rehearsal, n))[2]) == len(large_body)
        for reader, writer in slow_clients:
            await reader.readuntil(b"\r\n\r\n")
            assert len(await reader.readexactly(len(large_body))) == len(large_body)
            writer.close()
    assert (server.connections, server.protocol_errors) == (1, [])


@async_test
async def test_a_paused_stream_receives_no_more_than_its_window() -> None:
    server = ScriptedHttp2Server(lambda request: request.respond(200, bytes(240_000)))
    async with rehearse(server, stream_window=8_192) as rehearsal:
        reader, writer = await rehearsal.connect()
        exchange = director_of(rehearsal).exchange
        buffered = ResponseBuffer(
            ResponseHead(False, 1, None), reserved_bytes=exchange.memory.responses.limit_bytes
        )
        exchange.memory.responses.used_bytes = (
            buffered.reserved_bytes
        )  # the budget has no room for a response
        writer.write(encode_request("/invoke/lot-video/1"))
        await wait_until(lambda: bool(exchange.response_budget.waiting))
        ((attempt, response),) = exchange.response_budget.waiting.items()
        await wait_until(lambda: response.received_bytes() == 8_192)
        await asyncio.sleep(0.05)
        assert response.received_bytes() == 8_192
        assert list(server.open_connections[0].unsent_bodies) == [1]
        exchange.response_budget.release(buffered)
        await reader.readuntil(b"\r\n\r\n")
        assert len(await reader.readexactly(240_000)) == 240_000
        assert (attempt.response, exchange.memory.responses.used_bytes) == (None, 0)
        writer.close()


@async_test
async def test_a_large_write_is_sent_through_small_changing_and_negative_windows() -> None:
    body = random.Random(3).randbytes(48_000)
    server = ScriptedHttp2Server(
        lambda request: request.respond(200, b"taken"), settings={SettingCodes.INITIAL_WINDOW_SIZE: 1_000}
    )
    server.withholds_window = True
    async with rehearse(server, ScriptedHttp2Server(serve, "o", "origin", "north")) as rehearsal:
        status = asyncio.create_task(write(rehearsal, 1, body=body, wait_ms=30_000.0))
        await wait_until(lambda: bool(server.received) and len(server.received[0].body) == 1_000)
        connection = server.open_connections[0]
        connection.update_settings(initial_window_size=100)  # 1,000 bytes are used: the window is now -900
        connection.engine.increment_flow_control_window(950, 1)
        connection.flush()
        await wait_until(lambda: len(server.received[0].body) == 1_050)
        received_bytes = 1_050
        for step in (1, 333, 16_384):
            connection.engine.increment_flow_control_window(step, 1)
            connection.flush()
            received_bytes += step
            await wait_until(lambda: len(server.received[0].body) == received_bytes)  # noqa: B023 - awaited here
        connection.update_settings(initial_window_size=65_535)
        assert await status == 200
        assert server.processed[0].body == body
