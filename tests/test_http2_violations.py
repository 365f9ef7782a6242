"""Servers that violate HTTP/2, over loopback."""

import asyncio
from typing import Any

import pytest
from hyperframe.frame import (
    ContinuationFrame,
    DataFrame,
    Frame,
    HeadersFrame,
    PingFrame,
    PushPromiseFrame,
    RstStreamFrame,
    SettingsFrame,
    WindowUpdateFrame,
)

from gladewalk.rehearsal.scripted_http2_server import ScriptedHttp2Server

from .http2_rehearsal import BYTES, PATIENT_MS, async_test, counters_of, rehearse, serve


def serialize(*frames: Frame) -> bytes:
    return b"".join(frame.serialize() for frame in frames)


def endless_head() -> bytes:
    head = HeadersFrame(1, data=b"\x88")
    return serialize(head, *(ContinuationFrame(1, data=b"") for _ in range(200)))


def header_table_bomb() -> bytes:
    """Returns a head that indexes a 4,000-byte field and repeats it 1,000 times (RFC 7541, section 6.1)."""
    field = b"\x40\x01a\x7f" + bytes([0xA1, 0x1E]) + b"x" * 4_000
    data = b"\x88" + field + b"\xbe" * 1_000
    return serialize(HeadersFrame(1, data=data, flags=["END_HEADERS"]))


OK_HEAD = HeadersFrame(1, data=b"\x88", flags=["END_HEADERS"])  # `:status: 200`
CONTROL_FRAME_LIMITS: dict[str, Any] = {"control_burst": 500, "control_per_s": 1.0}
VIOLATION_COUNTERS = ("h2.broke_rules", "caches.unreadable_answer", "h2.stray_frames")
VIOLATIONS = {
    "endless CONTINUATION": endless_head(),
    "a header bomb": header_table_bomb(),
    "a head above the limit": serialize(
        HeadersFrame(1, data=b"\x88\x00\x01a\x7f\xa1\x9c\x01" + b"x" * 16_000),
        ContinuationFrame(1, data=b"x" * 16_000),
        ContinuationFrame(1, data=b"x" * 16_000, flags=["END_HEADERS"]),
    ),
    "a flood of SETTINGS": serialize(*(SettingsFrame(0, settings={1: 4_096}) for _ in range(600))),
    "a flood of PING": serialize(*(PingFrame(0, opaque_data=b"12345678") for _ in range(600))),
    "a flood of empty DATA": serialize(OK_HEAD, *(DataFrame(1) for _ in range(600))),
    "a flood of window updates": serialize(*(WindowUpdateFrame(0, window_increment=1) for _ in range(600))),
    "a flood of resets": serialize(*(RstStreamFrame(1, error_code=8) for _ in range(600))),
    "a push promise": serialize(
        PushPromiseFrame(1, promised_stream_id=2, data=b"\x88", flags=["END_HEADERS"])
    ),
    "a frame on a stream that was never opened": serialize(DataFrame(77, data=b"x")),
    "DATA on a closed stream": serialize(
        HeadersFrame(1, data=b"\x88", flags=["END_HEADERS", "END_STREAM"]), DataFrame(1, data=b"x")
    ),
    "DATA before the head": serialize(DataFrame(1, data=b"x")),
    "the connection's window overflows": serialize(WindowUpdateFrame(0, window_increment=2**31 - 1)),
    "the stream's window overflows": serialize(WindowUpdateFrame(1, window_increment=2**31 - 1)),
    "a body beyond its length": serialize(
        HeadersFrame(1, data=b"\x88\x5c\x01" + b"3", flags=["END_HEADERS"]), DataFrame(1, data=b"four")
    ),
    "a frame too large": b"\xff\xff\xff\x00\x00\x00\x00\x00\x01",
    "noise": b"\x00\x01 noise " * 60,
    "a GOAWAY on a stream": b"\x00\x00\x08\x07\x00\x00\x00\x00\x01" + bytes(8),
}


@pytest.mark.parametrize("name", VIOLATIONS)
@async_test
async def test_a_violation_ends_the_connection_and_another_server_responds(name: str) -> None:
    bad = ScriptedHttp2Server(lambda request: request.connection.send_raw(VIOLATIONS[name]))
    good = ScriptedHttp2Server(serve, "c2", capacity=1e-6)
    async with rehearse(bad, good, **CONTROL_FRAME_LIMITS) as rehearsal:
        # The client gets another server's response, or an incomplete one if part of it was already forwarded.
        try:
            status, _, body = await rehearsal.fetch(wait_ms=PATIENT_MS)
            assert (status, body) == (200, b"" if "closed" in name else BYTES)
        except (asyncio.IncompleteReadError, ConnectionError):
            assert counters_of(rehearsal)["answers.cut"] == 1
        counters = counters_of(rehearsal)
        detected = sum(counters[counter] for counter in VIOLATION_COUNTERS)
        assert detected >= 1, counters
        assert (await rehearsal.fetch("/invoke/lot-page/5", wait_ms=PATIENT_MS))[0] // 100 == 2


@async_test
async def test_a_flood_of_frames_is_stopped_before_its_end() -> None:
    bad = ScriptedHttp2Server(
        lambda request: request.connection.send_raw(serialize(*(PingFrame(0) for _ in range(20_000))))
    )
    good = ScriptedHttp2Server(serve, "c2", capacity=1e-6)
    async with rehearse(bad, good, **CONTROL_FRAME_LIMITS) as rehearsal:
        assert (await rehearsal.fetch(wait_ms=PATIENT_MS))[0] == 200
        assert counters_of(rehearsal)["h2.broke_rules.Flood"] == 1
