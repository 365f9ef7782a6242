"""Writes that may not run twice, from clients that leave and from ids that come again."""

import asyncio
import contextlib
from collections import Counter

import pytest

from benchmarks.hostile.process import director_under_limits
from gladewalk.rehearsal.http_messages import encode_request, parse_status, read_message
from gladewalk.rehearsal.scripted_servers import ReceivedRequest, ScriptedServer

WORK_S = 0.4
TRACE_ID = "00000000000000ab"
WRITE = encode_request("/invoke/bid/b1?nth=0", "PUT", 3_000.0, b"bid", trace=TRACE_ID)


async def play(leaves_after_s: float | None, is_whole_before: bool = True) -> tuple[int, list[int]]:
    """Sends the same write on two connections; returns how often it ran and the statuses.

    Args:
        leaves_after_s: When the first client closes its connection; None if it stays.
        is_whole_before: Whether the second client comes once the first write is at a server.
    """
    runs: Counter[str] = Counter()

    async def run(request: ReceivedRequest) -> None:
        if request.method == "PUT":
            runs[request.headers["x-ticket"]] += 1
            await asyncio.sleep(WORK_S)
        await request.respond(200, b"taken")

    async def send(address: tuple[str, int], stays_s: float) -> int | None:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(WRITE)
        status = None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(stays_s):
                status = parse_status((await read_message(reader)).start_line)
        writer.close()
        return status

    servers = [ScriptedServer(run, uid=f"c{number}") for number in range(3)]
    origin = ScriptedServer(run, uid="o", model="origin", zone="north")
    async with director_under_limits([*servers, origin], 192.0, 1_024) as director:
        stays_s = 10.0 if leaves_after_s is None else leaves_after_s
        first = asyncio.create_task(send(director.address, stays_s))
        await asyncio.sleep(0.1 if leaves_after_s is None and is_whole_before else 0.0)
        if leaves_after_s is not None:
            await first
            await asyncio.sleep(0.02)
        second = await send(director.address, 10.0)
        statuses = [await first, second]
        return runs[TRACE_ID], [status for status in statuses if status is not None]


def test_a_write_whose_client_left_does_not_run_again_under_its_id() -> None:
    run_count, statuses = asyncio.run(play(leaves_after_s=0.1))
    assert run_count == 1 and len(statuses) == 1 and statuses[0] not in (429, 503)


@pytest.mark.parametrize("is_whole_before", [True, False])
def test_a_write_on_two_connections_at_once_runs_once_and_both_get_a_final_answer(
    is_whole_before: bool,
) -> None:
    run_count, statuses = asyncio.run(play(None, is_whole_before))
    assert run_count == 1
    assert len(statuses) == 2 and 200 in statuses
    assert not {429, 503} & set(statuses)
