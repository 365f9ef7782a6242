"""Each request gets one complete response, even if a cache's response is truncated or stalls."""

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
MAX_LATENESS_S = 0.5  # a response this long after the deadline has no value, a later one is lost
HEAD = f"HTTP/1.1 200 OK\r\nContent-Length: {len(BYTES)}\r\nTag: 4be0\r\n\r\n".encode()
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTag: 4be0\r\n\r\n"
FIRST_HALF = BYTES[: len(BYTES) // 2]


@dataclass
class ClientResponse:
    """The part of a response that a client has read; `is_complete` once its end has been parsed."""

    status: int = 0
    body: bytes = b""
    is_complete: bool = False
    has_surplus: bool = False  # bytes followed its end


class ResponseParser:
    """Parses one response as a client does (RFC 9112, section 6)."""

    def __init__(self) -> None:
        self.response = ClientResponse()
        self.parser = httptools.HttpResponseParser(self)

    def on_headers_complete(self) -> None:
        self.response.status = self.parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        self.response.body += body

    def on_message_begin(self) -> None:
        self.response.has_surplus = self.response.is_complete

    def on_message_complete(self) -> None:
        self.response.is_complete = True


async def read_response(reader: asyncio.StreamReader) -> ClientResponse:
    """Reads up to the end of a response or of the connection."""
    parser = ResponseParser()
    try:
        while not parser.response.is_complete and (data := await reader.read(65_536)):
            parser.parser.feed_data(data)
    except ConnectionError:
        pass
    return parser.response


async def fetch_response(address: tuple[str, int], wait_ms: float = SHORT_WAIT_MS) -> ClientResponse:
    """Sends a request on a new connection; fails if the response is more than `MAX_LATENESS_S` late."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(encode_request(PATH, wait_ms=wait_ms))
        async with asyncio.timeout(wait_ms / 1000.0 + MAX_LATENESS_S):
            return await read_response(reader)
    finally:
        writer.close()


async def send_half(request: ReceivedRequest, head: bytes = HEAD) -> None:
    request.writer.write(head)
    request.writer.write(FIRST_HALF if head == HEAD else b"%x\r\n%b\r\n" % (len(FIRST_HALF), FIRST_HALF))
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


async def end_just_before_the_deadline(request: ReceivedRequest) -> None:
    await send_half(request)
    await asyncio.sleep(0.97 * SHORT_WAIT_MS / 1000.0)  # 12 ms are left, the margin is 50 ms
    request.writer.write(BYTES[len(FIRST_HALF) :])
    await asyncio.Event().wait()


async def send_past_the_deadline(request: ReceivedRequest) -> None:
    request.writer.write(HEAD)
    for start in range(0, len(BYTES), 512):
        request.writer.write(BYTES[start : start + 512])
        await asyncio.sleep(0.05)


async def corrupt_midway(request: ReceivedRequest) -> None:
    await send_half(request, CHUNKED_HEAD)
    await asyncio.sleep(0.02)
    request.writer.write(b"noise\r\n")
    await asyncio.Event().wait()


Script = Callable[[ReceivedRequest], Awaitable[None]]
FAULTY_SCRIPTS: list[Script] = [
    stall, stall_chunked, stall_after_head, reset_midway, close_midway, end_just_before_the_deadline,
    send_past_the_deadline, corrupt_midway,
]  # fmt: skip
TRUNCATING_SCRIPTS: list[Script] = [reset_midway, close_midway, corrupt_midway]


@pytest.mark.parametrize("script", FAULTY_SCRIPTS)
def test_a_faulty_response_leads_to_one_complete_response(script: Script) -> None:
    async def scenario() -> ClientResponse:
        async with running(ScriptedServer(script)) as (_, director):
            response = await fetch_response(director.front.address)
            assert director.exchange.unanswered_count == 0
            assert director.counters["answers.cut"] == 0
            return response

    response = asyncio.run(scenario())
    assert response.is_complete
    assert not response.has_surplus
    assert response.status in (200, 502, 503)
    assert response.body == (BYTES if response.status == 200 else b"")


@pytest.mark.parametrize("script", TRUNCATING_SCRIPTS)
def test_another_cache_serves_the_request_after_a_truncated_response(script: Script) -> None:
    async def scenario() -> ClientResponse:
        bad, good = ScriptedServer(script), ScriptedServer(hit, "c2", capacity=1e-6)
        async with running(bad, good) as (_, director):
            return await fetch_response(director.front.address, 3_000.0)

    assert asyncio.run(scenario()) == ClientResponse(200, BYTES, is_complete=True)


def test_a_process_sends_complete_responses_at_deadlines_and_at_shutdown(tmp_path: Path) -> None:
    """Bodies stall before and during a shutdown, with real sockets and signals."""

    async def scenario() -> list[ClientResponse]:
        coordinator, cache = await Coordinator().start(), await ScriptedServer(stall).start()
        config_file = tmp_path / "director.json"
        config_file.write_text(json.dumps(config_for([cache], coordinator)), encoding="utf-8")
        director = await start_program(config_file)
        address = tuple((await director.event("serving"))["listen"])
        responses = [await fetch_response(address) for _ in range(3)]
        open_requests = [
            asyncio.ensure_future(fetch_response(address, wait_ms)) for wait_ms in (300.0, 3_000.0)
        ]
        while len(cache.received) < 5:
            await asyncio.sleep(0.01)
        director.send(signal.SIGTERM)
        responses += await asyncio.gather(*open_requests)
        assert (await director.finish())[0] == 0
        coordinator.stop()
        cache.stop()
        return responses

    assert [response.is_complete for response in asyncio.run(scenario())] == [True] * 5


def test_a_slow_reader_gets_a_complete_response_and_delays_no_other_client() -> None:
    async def large(request: ReceivedRequest) -> None:
        await request.respond(200, bytes(240_000))

    async def scenario() -> tuple[ClientResponse, ClientResponse]:
        async with DirectorHarness([ScriptedServer(large)]) as harness:
            assert harness.director is not None
            reader, writer = await asyncio.open_connection(*harness.director.front.address, limit=1024)
            writer.write(encode_request(PATH))
            await asyncio.sleep(0.1)
            other = await fetch_response(harness.director.front.address, 3_000.0)
            slow = await read_response(reader)
            writer.close()
            return slow, other

    for response in asyncio.run(scenario()):
        assert response == ClientResponse(200, bytes(240_000), is_complete=True)
