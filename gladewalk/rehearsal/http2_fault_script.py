"""A script for `ScriptedHttp2Server` that breaks requests and connections at random, from a seed."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from h2.errors import ErrorCodes

from .scripted_http2_server import GRACEFUL_LAST_STREAM_ID, Http2Request

IMMEDIATE_RESPONSE_RATE = 0.5  # fraction of responses that are sent without delay
MAX_BYTES_UNTIL_ABORT = 120  # bytes that are still read before a connection is aborted
LOWERED_STREAM_LIMITS = (0, 1, 2, 5)
SHRUNK_WINDOWS = (0, 1, 100)  # bytes
DEFAULT_WINDOW = 65_535  # bytes (RFC 9113, section 6.5.2)


class Http2FaultScript:
    """Injects a fault into a fraction of the requests; every fault conforms to the protocol.

    The other requests get a response, some after a delay. A GOAWAY names the highest stream that was or may
    yet be processed; a refused stream is never processed.

    Args:
        seed: Seed of all draws.
        fault_rate: The fraction of requests that get a fault.
        body: The body of responses.
        max_delay_s: The longest delay of delayed responses and actions.
    """

    def __init__(
        self, seed: int, fault_rate: float, body: bytes = b"done", max_delay_s: float = 0.004
    ) -> None:
        self._rng = random.Random(seed)
        self._fault_rate, self._body, self._max_delay_s = fault_rate, body, max_delay_s
        self.fault_counts: dict[str, int] = {}
        self.shed_tickets: list[str] = []  # tickets of requests rejected with 503 and X-Shed
        # Reports and recorded counts use these names.
        self._faults: tuple[tuple[str, Callable[[Http2Request], None]], ...] = (
            ("drop_before", self._abort_unprocessed),
            ("cut_within", self._abort_within_request),
            ("drop_after", self._abort_processed),
            ("drop_within_answer", self._abort_within_response),
            ("refuse", self._refuse),
            ("go_before", self._go_away_unprocessed),
            ("go_after", self._go_away_processed),
            ("go_gracefully", self._shut_down_gracefully),
            ("lower_limit", self._lower_stream_limit),
            ("shrink_windows", self._shrink_windows),
            ("reset_unrun", self._cancel_unprocessed),
            ("reset_run", self._reset_processed),
            ("refuse_crowd", self._shed),
        )

    def __call__(self, request: Http2Request) -> None:
        """Responds to a request, or injects a fault."""
        connection = request.connection
        if connection.is_going_away and request.stream_id > connection.last_processed_id:
            return  # above the stream id of the GOAWAY: the request is ignored
        if self._rng.random() >= self._fault_rate:
            self._respond(request)
            return
        name, fault = self._rng.choice(self._faults)
        self.fault_counts[name] = self.fault_counts.get(name, 0) + 1
        fault(request)

    def _respond(self, request: Http2Request) -> None:
        if self._rng.random() < IMMEDIATE_RESPONSE_RATE:
            request.respond(200, self._body)
            return
        # A GOAWAY sent before the response must include this stream.
        request.connection.note_processing(request.stream_id)
        self._later(lambda: self._respond_if_open(request))

    def _respond_if_open(self, request: Http2Request) -> None:
        if not request.is_closed and not request.connection.is_closed:
            request.respond(200, self._body)

    def _later(self, call: Callable[[], None]) -> None:
        asyncio.get_running_loop().call_later(self._rng.random() * self._max_delay_s, call)

    def _abort_unprocessed(self, request: Http2Request) -> None:
        request.connection.abort()

    def _abort_within_request(self, request: Http2Request) -> None:
        byte_count = self._rng.randrange(1, MAX_BYTES_UNTIL_ABORT)
        if (
            request.connection.bytes_until_abort is None
        ):  # an earlier limit stays: bytes after it are not read
            request.connection.bytes_until_abort = byte_count
        self._respond(request)

    def _abort_processed(self, request: Http2Request) -> None:
        request.process()
        request.connection.abort()

    def _abort_within_response(self, request: Http2Request) -> None:
        request.process()
        request.send_headers(200, len(self._body) + 1)
        request.connection.send_body(request, self._body, False)
        self._later(request.connection.abort)

    def _refuse(self, request: Http2Request) -> None:
        request.reset(ErrorCodes.REFUSED_STREAM)

    def _shed(self, request: Http2Request) -> None:
        self.shed_tickets.append(request.ticket)
        request.respond(503, may_process=False, x_shed="1")

    def _go_away_unprocessed(self, request: Http2Request) -> None:
        """Ignores this stream and all streams above it; streams below continue."""
        request.connection.send_goaway(request.connection.last_processed_id)
        request.connection.is_going_away = True

    def _go_away_processed(self, request: Http2Request) -> None:
        connection = request.connection
        request.process()
        connection.send_goaway(connection.last_processed_id)
        connection.is_going_away = True
        self._later(connection.close)

    def _shut_down_gracefully(self, request: Http2Request) -> None:
        connection = request.connection
        connection.send_goaway(GRACEFUL_LAST_STREAM_ID)
        self._respond(request)

        def send_final_goaway() -> None:
            if not connection.is_going_away:
                connection.send_goaway(connection.last_processed_id)
                connection.is_going_away = True

        self._later(send_final_goaway)

    def _lower_stream_limit(self, request: Http2Request) -> None:
        connection = request.connection
        connection.update_settings(max_concurrent_streams=self._rng.choice(LOWERED_STREAM_LIMITS))
        configured_limit = connection.server.max_concurrent_streams
        self._later(lambda: connection.update_settings(max_concurrent_streams=configured_limit))
        self._respond(request)

    def _shrink_windows(self, request: Http2Request) -> None:
        connection = request.connection
        connection.update_settings(initial_window_size=self._rng.choice(SHRUNK_WINDOWS))
        self._later(lambda: connection.update_settings(initial_window_size=DEFAULT_WINDOW))
        self._respond(request)

    def _cancel_unprocessed(self, request: Http2Request) -> None:
        request.reset(ErrorCodes.CANCEL)

    def _reset_processed(self, request: Http2Request) -> None:
        request.process()
        request.reset(ErrorCodes.INTERNAL_ERROR)
