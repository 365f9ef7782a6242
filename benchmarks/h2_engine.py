"""CPU of the protocol library alone, for one request and its response through the engine without sockets.

    python -m benchmarks.h2_engine [--count 3000] [--bytes 16384]

The server side uses the same library, and only the client's calls are timed.
"""

from __future__ import annotations

import argparse
import sys
import time

from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.events import RequestReceived
from hpack import NeverIndexedHeaderTuple

from gladewalk.config.option_tables import Http2Options
from gladewalk.rehearsal.scripted_http2_server import RESPONSE_HEADERS
from gladewalk.upstream.http2_engine import Http2Engine


def main() -> int:
    """Runs the benchmark; returns the exit code."""
    parser = argparse.ArgumentParser(description="CPU of one request in the protocol library.")
    parser.add_argument("--count", type=int, default=3_000)
    parser.add_argument("--bytes", type=int, default=16_384)
    options = parser.parse_args()
    client = Http2Engine(Http2Options(), lambda: 0.0, lambda name: None)
    server = H2Connection(H2Configuration(client_side=False, header_encoding="utf-8"))
    server.initiate_connection()
    body = bytes(options.bytes)
    spent_seconds = {"request": 0.0, "answer": 0.0}
    server.receive_data(client.data_to_send())
    client.receive_data(server.data_to_send())
    for number in range(options.count):
        stream_id = 2 * number + 1
        started = time.perf_counter()
        client.send_headers(
            stream_id,
            [(":method", "GET"), (":scheme", "http"), (":authority", "app.svc"),
             NeverIndexedHeaderTuple(":path", f"/o/lot-page/{number:x}/0"),
             NeverIndexedHeaderTuple("x-ticket", f"{number:016x}"),
             NeverIndexedHeaderTuple("x-max-ms", "2940")],
            end_stream=True,
        )  # fmt: skip
        request = client.data_to_send()
        spent_seconds["request"] += time.perf_counter() - started
        for event in server.receive_data(request):
            if isinstance(event, RequestReceived):
                head = [(":status", "200"), *RESPONSE_HEADERS.items(), ("content-length", str(len(body)))]
                server.send_headers(stream_id, head)
                for start in range(0, len(body), 16_384):
                    piece = body[start : start + 16_384]
                    server.send_data(stream_id, piece, end_stream=start + 16_384 >= len(body))
        response = server.data_to_send()
        started = time.perf_counter()
        client.receive_data(response)
        client.increment_flow_control_window(len(body))
        spent_seconds["answer"] += time.perf_counter() - started
        server.receive_data(client.data_to_send())
    for part, seconds in spent_seconds.items():
        print(f"{part}: {seconds / options.count * 1e6:.0f} us")
    return 0


if __name__ == "__main__":
    sys.exit(main())
