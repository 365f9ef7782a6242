"""Flow control in both directions, over loopback."""

import asyncio
import random

from h2.settings import SettingCodes

from gladewalk.core.exchange import Attempt, ResponseHead
from gladewalk.rehearsal.h2box import H2Box
from gladewalk.rehearsal.peers import request, until
from gladewalk.rehearsal.write_soak import ticket

from .http2_rehearsal import async_test, director_of, read, rehearse, serve, write


@async_test
async def test_a_slow_client_delays_only_its_own_stream() -> None:
    big = bytes(240_000)
    server = H2Box(lambda asked: asked.answer(200, big))
    async with rehearse(server, connections_most=1, stream_window=16_384) as rehearsal:
        slow = []
        for n in range(6):
            address = director_of(rehearsal).front.address
            reader, writer = await asyncio.open_connection(*address, limit=1_024)
            writer.write(request(f"/invoke/lot-video/{n:x}", trace=ticket(n)))
            slow.append((reader, writer))
        await until(lambda: len(server.heard) == 6)
        for n in range(20, 32):  # over the same connection
            assert len((await read(rehearsal, n))[2]) == len(big)
        for reader, writer in slow:
            await reader.readuntil(b"\r\n\r\n")
            assert len(await reader.readexactly(len(big))) == len(big)
            writer.close()
    assert (server.connections, server.breaches) == (1, [])


@async_test
async def test_a_paused_stream_receives_no_more_than_its_window() -> None:
    server = H2Box(lambda asked: asked.answer(200, bytes(240_000)))
    async with rehearse(server, stream_window=8_192) as rehearsal:
        reader, writer = await rehearsal.client()
        exchange = director_of(rehearsal).exchange
        real = exchange.response_started

        def start_then_pause(attempt: Attempt, head: ResponseHead) -> bool:
            is_forwarded = real(attempt, head)
            exchange.flow(attempt.open_request.number, False)
            return is_forwarded

        exchange.response_started = start_then_pause  # type: ignore[method-assign]
        writer.write(request("/invoke/lot-video/1"))
        await reader.readuntil(b"\r\n\r\n")
        (opened,) = exchange.open_requests.values()
        assert len(await reader.readexactly(8_192)) == 8_192
        await asyncio.sleep(0.05)
        assert len(reader._buffer) == 0  # type: ignore[attr-defined]
        assert list(server.lines[0].unsent) == [1]
        exchange.flow(opened.number, True)
        assert len(await reader.readexactly(240_000 - 8_192)) == 240_000 - 8_192
        writer.close()


@async_test
async def test_a_large_write_is_sent_through_small_changing_and_negative_windows() -> None:
    body = random.Random(3).randbytes(48_000)
    server = H2Box(
        lambda asked: asked.answer(200, b"taken"), settings={SettingCodes.INITIAL_WINDOW_SIZE: 1_000}
    )
    server.withholds = True
    async with rehearse(server, H2Box(serve, "o", "origin", "north")) as rehearsal:
        status = asyncio.create_task(write(rehearsal, 1, body=body, wait_ms=30_000.0))
        await until(lambda: bool(server.heard) and len(server.heard[0].body) == 1_000)
        connection = server.lines[0]
        connection.settings(initial_window_size=100)  # 1,000 are used: the window is now 900 below 0
        connection.engine.increment_flow_control_window(950, 1)
        connection.flush()
        await until(lambda: len(server.heard[0].body) == 1_050)
        received_bytes = 1_050
        for step in (1, 333, 16_384):
            connection.engine.increment_flow_control_window(step, 1)
            connection.flush()
            received_bytes += step
            await until(lambda: len(server.heard[0].body) == received_bytes)  # noqa: B023 - awaited here
        connection.settings(initial_window_size=65_535)
        assert await status == 200
        assert server.ran[0].body == body
