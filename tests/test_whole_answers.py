"""Each request that was read gets one whole answer, however its cache's response breaks off or stalls."""

import asyncio
import json
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import httptools
import pytest

from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import DirectorHarness, config_for
from gladewalk.rehearsal.http_messages import encode_request
from gladewalk.rehearsal.scripted_servers import ReceivedRequest, ScriptedServer

from .program import start_program
from .server_scripts import BYTES, hit, running

PATH = "/invoke/lot-page/a1?nth=0"
SHORT_WAIT_MS = 400.0
LATE_S = 0.5  # an answer this long after the client's time earns nothing, a later one is lost
HEAD = f"HTTP/1.1 200 OK\r\nContent-Length: {len(BYTES)}\r\nTag: 4be0\r\n\r\n".encode()
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTag: 4be0\r\n\r\n"
HALF = BYTES[: len(BYTES) // 2]


@dataclass
class ClientResponse:
    """What a client read of an answer; `is_complete` once its end was parsed."""

    status: int = 0
    body: bytes = b""
    is_complete: bool = False
    has_more: bool = False  # bytes after its end


class AnswerParser:
    """Parses one answer as a client does (RFC 9112, section 6)."""

    def __init__(self) -> None:
        self.answer = ClientResponse()
        self.parser = httptools.HttpResponseParser(self)

    def on_headers_complete(self) -> None:
        self.answer.status = self.parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        self.answer.body += body

    def on_message_begin(self) -> None:
        self.answer.has_more = self.answer.is_complete

    def on_message_complete(self) -> None:
        self.answer.is_complete = True


async def read_answer(reader: asyncio.StreamReader) -> ClientResponse:
    """Reads up to an answer's end or the connection's."""
    parser = AnswerParser()
    try:
        while not parser.answer.is_complete and (data := await reader.read(65_536)):
            parser.parser.feed_data(data)
    except ConnectionError:
        pass
    return parser.answer


async def fetch_response(address: tuple[str, int], wait_ms: float = SHORT_WAIT_MS) -> ClientResponse:
    """One request on a connection of its own; fails if its answer comes after the time that counts."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(encode_request(PATH, wait_ms=wait_ms))
        async with asyncio.timeout(wait_ms / 1000.0 + LATE_S):
            return await read_answer(reader)
    finally:
        writer.close()


async def send_half(request: ReceivedRequest, head: bytes = HEAD) -> None:
    request.writer.write(head)
    request.writer.write(HALF if head == HEAD else b"%x\r\n%b\r\n" % (len(HALF), HALF))
    await request.writer.drain()


async def stall(request: ReceivedRequest) -> None:
    await send_half(request)
    await asyncio.Event().wait()


async def stall_chunked(request: ReceivedRequest) -> None:
    await send_half(request, CHUNKED_HEAD)
    await asyncio.Event().wait()


async def stall_after_head(request: ReceivedRequest) -> None:
    request.writer.write(HEAD)
    await asyncio.Event().wait()


async def reset_midway(request: ReceivedRequest) -> None:
    await send_half(request)
    await asyncio.sleep(0.02)
    request.writer.transport.abort()


async def close_midway(request: ReceivedRequest) -> None:
    await send_half(request, CHUNKED_HEAD)
    await asyncio.sleep(0.02)
    request.writer.close()


async def end_in_the_last_moment(request: ReceivedRequest) -> None:
    await send_half(request)
    await asyncio.sleep(0.97 * SHORT_WAIT_MS / 1000.0)  # 12 ms are left, the margin is 50 ms
    request.writer.write(BYTES[len(HALF) :])
    await asyncio.Event().wait()


async def go_on_for_too_long(request: ReceivedRequest) -> None:
    request.writer.write(HEAD)
    for start in range(0, len(BYTES), 512):
        request.writer.write(BYTES[start : start + 512])
        await asyncio.sleep(0.05)


async def spoil_midway(request: ReceivedRequest) -> None:
    await send_half(request, CHUNKED_HEAD)
    await asyncio.sleep(0.02)
    request.writer.write(b"noise\r\n")
    await asyncio.Event().wait()


Script = Callable[[ReceivedRequest], Awaitable[None]]
BROKEN: list[Script] = [
    stall, stall_chunked, stall_after_head, reset_midway, close_midway, end_in_the_last_moment,
    go_on_for_too_long, spoil_midway,
]  # fmt: skip
BREAKING_OFF: list[Script] = [reset_midway, close_midway, spoil_midway]


@pytest.mark.parametrize("script", BROKEN)
def test_a_broken_response_ends_in_one_whole_answer(script: Script) -> None:
    async def story() -> ClientResponse:
        async with running(ScriptedServer(script)) as (_, director):
            answer = await fetch_response(director.front.address)
            assert director.exchange.unanswered_count == 0
            assert director.counters["answers.cut"] == 0
            return answer

    answer = asyncio.run(story())
    assert answer.is_complete
    assert not answer.has_more
    assert answer.status in (200, 502, 503)
    assert answer.body == (BYTES if answer.status == 200 else b"")


@pytest.mark.parametrize("script", BREAKING_OFF)
def test_another_cache_answers_for_one_that_breaks_off(script: Script) -> None:
    async def story() -> ClientResponse:
        bad, good = ScriptedServer(script), ScriptedServer(hit, "c2", capacity=1e-6)
        async with running(bad, good) as (_, director):
            return await fetch_response(director.front.address, 3_000.0)

    assert asyncio.run(story()) == ClientResponse(200, BYTES, is_complete=True)


def test_a_process_gives_whole_answers_at_deadlines_and_at_its_stop(tmp_path: Path) -> None:
    """Real sockets and signals: bodies that stall, before and within a shutdown."""

    async def story() -> list[ClientResponse]:
        coordinator, cache = await Coordinator().start(), await ScriptedServer(stall).start()
        config_file = tmp_path / "director.json"
        config_file.write_text(json.dumps(config_for([cache], coordinator)), encoding="utf-8")
        director = await start_program(config_file)
        address = tuple((await director.event("serving"))["listen"])
        answers = [await fetch_response(address) for _ in range(3)]
        open_requests = [
            asyncio.ensure_future(fetch_response(address, wait_ms)) for wait_ms in (300.0, 3_000.0)
        ]
        while len(cache.received) < 5:
            await asyncio.sleep(0.01)
        director.send(signal.SIGTERM)
        answers += await asyncio.gather(*open_requests)
        assert (await director.finish())[0] == 0
        coordinator.stop()
        cache.stop()
        return answers

    assert [answer.is_complete for answer in asyncio.run(story())] == [True] * 5


def test_a_slow_reader_gets_its_answer_whole_and_holds_nobody_up() -> None:
    async def large(request: ReceivedRequest) -> None:
        await request.answer(200, bytes(240_000))

    async def story() -> tuple[ClientResponse, ClientResponse]:
        async with DirectorHarness([ScriptedServer(large)]) as world:
            assert world.director is not None
            reader, writer = await asyncio.open_connection(*world.director.front.address, limit=1024)
            writer.write(encode_request(PATH))
            await asyncio.sleep(0.1)
            other = await fetch_response(world.director.front.address, 3_000.0)
            slow = await read_answer(reader)
            writer.close()
            return slow, other

    for answer in asyncio.run(story()):
        assert answer == ClientResponse(200, bytes(240_000), is_complete=True)
