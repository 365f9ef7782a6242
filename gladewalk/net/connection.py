"""A client's HTTP/1.1 connection: one request at a time, read completely before it is submitted.

Pipelined requests (RFC 9112, section 9.3.2) are queued, and reading is paused while there are any.
"""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import Callable
from typing import cast

import httptools

from ..core.exchange import ClientRequest, FinalAnswer, ResponseHead
from .bounded_reads import BoundedReads
from .connection_owner import ConnectionOwner
from .request_reader import RequestReader
from .requests import BadRequestError, parse_request
from .response_encoding import RETRY_AT_ONCE, rejection_fields, response_body, response_lines, status_lines
from .sockets import SocketPoll, data_age_ms, end_sending, is_peer_closed, socket_poll

MIN_WAIT_MS = 1.0  # the time given to a request whose deadline passed before it was read
MAX_LATENESS_MS = 500.0  # a response up to this long past the client's deadline still counts
MAX_UNSENT_BYTES = 64 * 1024  # of a response, while the next request may be submitted
MAX_PIPELINED = 8  # number of pipelined requests that one connection may have queued
HEALTHY, UNREADY = 200, -503  # health check results; the second differs from any status of bad input
NO_MEMORY = -507  # the request is rejected, as clients' input takes too much memory


class ClientConnection(RequestReader, BoundedReads):
    """One client's connection, which is also the `ResponseWriter` of its open request."""

    def __init__(self, front: ConnectionOwner[ClientConnection]) -> None:
        RequestReader.__init__(self, front)
        BoundedReads.__init__(self, front.read_turns)
        self.front = front
        self.exchange = front.exchange  # where requests are submitted
        self.socket_poll: SocketPoll | None = None
        # State kept by the owner.
        self.is_open = False  # its transport has been created
        self.is_evicted = False  # ended to make room for another connection
        self.state_table: dict[ClientConnection, float] | None = None  # the owner's table for its state
        # The open request.
        self.open_number: int | None = None
        self.open_request: ClientRequest | None = None
        self.client_deadline_ms = 0.0  # the client's deadline for the last submitted request
        # Requests read but not submitted; an int is a status to respond with.
        self.pipelined: deque[ClientRequest | int] = deque()
        self.has_received_request = False
        self.is_ending = False  # input is discarded: the last request was read or the last response begun
        self.is_reading_paused = self.is_writing_paused = False
        self.charged_bytes = 0  # of its input, in the ledger
        self._is_advancing = False
        self._input_received_ms = math.inf  # when the last input was received; inf if read without delay
        self._may_be_delayed = True  # the next input may have waited for the accept or the end of a pause

    # Called by asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers with the owner."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transport does not inherit from it
        self.socket_poll = socket_poll(self.transport)
        self.transport.set_write_buffer_limits(MAX_UNSENT_BYTES, 0)
        self.front.connection_opened(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Ends the open request, as its client has disconnected."""
        transport, self.transport = self.transport, None
        self.pipelined.clear()
        self.front.unsent_responses.end(transport)
        if self.open_number is not None:
            number, self.open_number = self.open_number, None
            self._release_request()
            self.exchange.client_disconnected(number)
        self.forget_request()
        self.has_partial_request = False
        self._update_charge()
        self.close_parser()
        self.front.connection_closed(self)

    def data_received(self, data: bytes) -> None:
        """Parses input, within limits, and submits a complete request."""
        if self.is_ending or self.parser is None:
            return
        is_delayed = self.front.read_iterations.may_be_delayed() or self._may_be_delayed
        self._may_be_delayed = False
        self._input_received_ms = self.front.clock() - self._data_age_ms() if is_delayed else math.inf
        status = self.parse(data)
        if status is not None:
            self._reject_input(status)
        self._advance()
        self._update_charge()
        if self.pipelined and self.transport is not None:  # limits memory: further requests stay unread
            self.is_reading_paused = True
            self.transport.pause_reading()
            self.front.watch_paused(self)

    def wants_input(self) -> bool:
        """Whether further requests are read now."""
        return not self.is_reading_paused

    def take_turn(self) -> None:
        """Continues to read, unless the client has left: what it sent before is not worth reading."""
        if self.open_number is None and self.is_disconnected():
            self.is_waiting_for_turn = False
            self.front.counters.add("clients.left_unread")
            self.abort("left_by_client")
        else:
            super().take_turn()

    def _update_charge(self) -> None:
        """Charges the memory that the client's input takes; over the limit, some input is rejected."""
        held = self.held_bytes()
        if self.pipelined:
            held += sum(self.request_bytes(item) for item in self.pipelined if not isinstance(item, int))
        if self.open_request is not None:
            held += self.request_bytes(self.open_request)
        if held != self.charged_bytes:
            change, self.charged_bytes = held - self.charged_bytes, held
            self.front.input_limit.charge(change)

    def request_bytes(self, request: ClientRequest) -> int:
        """Returns about how much memory a read request takes, beyond that of its connection."""
        return len(request.body)

    def can_reject_input(self) -> bool:
        """Whether it holds input that no server has been asked for: it can be rejected without harm."""
        is_receiving = self.has_partial_request and not self.is_ending
        return is_receiving or any(not isinstance(request, int) for request in self.pipelined)

    def reject_input(self) -> None:
        """Rejects the requests that are read in part or wait, to free the memory that they take."""
        waiting = len(self.pipelined)
        self.pipelined.clear()
        self.pipelined.extend([NO_MEMORY] * waiting)
        if self.has_partial_request and not self.is_ending:
            self._reject_input(NO_MEMORY)
        self._advance()
        self._update_charge()

    def _data_age_ms(self) -> float:
        return 0.0 if self.transport is None else data_age_ms(self.transport)

    def eof_received(self) -> bool:
        """Closes the connection: a client that has closed its side does not wait for a response."""
        return False

    def pause_writing(self) -> None:
        """Records that the client does not read; the next request waits."""
        self.is_writing_paused = True

    def resume_writing(self) -> None:
        """Starts the next request, as the client has read its response."""
        self.is_writing_paused = False
        if self.transport is not None:
            self.front.unsent_responses.check(self.transport)
        self._advance()

    # Called by httptools, as the callbacks of `RequestReader`.

    def _continue_expected(self) -> None:
        if self.open_number is None and not self.pipelined:  # not within another response
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_message_complete(self) -> None:
        """Adds the complete request to the queue of this connection, and keeps nothing else of it."""
        assert self.parser is not None
        self.is_ending = not self.parser.should_keep_alive()
        self.has_partial_request, self.has_received_request = False, True
        try:
            request = self._read_request()
            if not isinstance(request, int):
                request.arrived_ms = min(self._input_received_ms, self.front.clock())
            self.pipelined.append(request)
        except BadRequestError as error:
            self.pipelined.append(error.status)
        except httptools.HttpParserError:
            self.pipelined.append(400)
        self.forget_request()
        if len(self.pipelined) > MAX_PIPELINED:
            raise BadRequestError(400)

    def _read_request(self) -> ClientRequest | int:
        """Returns the complete request, or a status to respond with; raises `BadRequestError`."""
        assert self.parser is not None
        url = httptools.parse_url(self.url)
        path, query = (url.path or b"").decode("latin-1"), (url.query or b"").decode("latin-1")
        method = self.parser.get_method().decode("latin-1")
        if path == "/_health" and method == "GET":
            return HEALTHY if self.front.readiness.is_ready else UNREADY
        request = parse_request(method, path, query, self.headers, bytes(self.body))
        return self.front.rejection_status(request) or request

    def _reject_input(self, status: int) -> None:
        """Queues a status for input that is not parsed further; the connection then closes."""
        self.pipelined.append(status)
        self.is_ending = True
        self.has_partial_request = False
        self.forget_request()

    def request_timed_out(self) -> None:
        """Responds with 408, as a request was not received completely within its time limit."""
        self._reject_input(408)
        self._advance()
        if self.pipelined:  # the client does not read its responses: no other timer would end it
            self.abort("answers_unread")

    # State.

    def is_input_empty(self) -> bool:
        """Whether there is no unread input from the client."""
        if self._has_ended() or self.socket_poll is None:
            return True
        return not self.has_unhandled_read and not self.socket_poll.poll(0)

    def is_disconnected(self) -> bool:
        """Whether the client has disconnected, even if its last input is still unread.

        Avoids work for a disconnected client. No event reports the disconnect while reading is paused, or
        before a request that waited unread for long has been submitted.
        """
        return self._has_ended() or (self.socket_poll is not None and is_peer_closed(self.socket_poll))

    def _has_ended(self) -> bool:
        return self.transport is None or self.transport.is_closing()

    def is_sending(self, now_ms: float) -> bool:
        """Whether part of the last response is still buffered here and may still reach the client in time."""
        if self.transport is None or now_ms >= self.client_deadline_ms + MAX_LATENESS_MS:
            return False
        return self.transport.get_write_buffer_size() > 0

    def has_open_request(self, now_ms: float) -> bool:
        """Whether a response is outstanding, including one for a partly received or unread request."""
        if self._has_ended():
            return False
        is_receiving = self.has_partial_request and not self.is_ending
        if self.open_number is not None or self.pipelined or is_receiving:
            return True
        return self.is_sending(now_ms) or not (self.is_ending or self.is_input_empty())

    # The connection's end.

    def shut_down(self) -> None:
        """Closes the sending side; further input from the client is discarded.

        Closing both sides while input is unread would reset the connection and lose the last response.
        A request that is received from now on is not accepted, as its response could not be sent.
        """
        self.is_ending = True
        if self.transport is not None and not self.transport.is_closing():
            self._end_sending_now()
            self.is_reading_paused = False
            self.resume_reading()
            self.transport.write_eof()
            self.front.start_lingering(self)

    def _end_sending_now(self) -> None:
        """Shuts down the sending side at once, unless part of a response is still buffered here.

        The transport would do so one event-loop iteration later, and a request that the client sends in
        between would get no response.
        """
        if self.transport is not None and self.transport.get_write_buffer_size() == 0:
            end_sending(self.transport)

    def evict(self, reason: str) -> None:
        """Ends the connection at once to make room for another."""
        self.is_evicted = True
        self.abort(reason)

    def abort(self, reason: str) -> None:
        """Ends the connection and its open request at once."""
        if self.transport is not None:
            self._log_close(reason)
            self._end_sending_now()
            self.transport.abort()

    def _log_close(self, reason: str) -> None:
        """Logs a close that leaves a request or other input of the client without a response."""
        is_open = self.open_number is not None or bool(self.pipelined) or self.has_partial_request
        if is_open or not self.is_input_empty():
            trace_id = self.open_request.trace_id if self.open_request is not None else None
            self.exchange.request_log.connection_closed(reason, trace_id, len(self.pipelined))

    # One request at a time.

    def _advance(self) -> None:
        """Submits requests in order, one at a time, and none while the client does not read its responses.

        Limits the responses that are buffered for a client that keeps sending requests and reads nothing.
        """
        if self._is_advancing:
            return
        self._is_advancing = True  # an immediate response calls this method again
        while (
            self.open_number is None
            and self.pipelined
            and not self.is_writing_paused
            and self.transport is not None
        ):
            if self.is_disconnected():
                self.front.counters.add("clients.left_unread")
                self.pipelined.clear()
                self.abort("left_by_client")
                break
            request = self.pipelined.popleft()
            if not isinstance(request, int) and not self.front.claim_trace_id(request):
                request = 409
            if isinstance(request, int):
                self._send_status(request)
            else:
                waited_ms = self.front.clock() - request.arrived_ms
                request.max_wait_ms = max(MIN_WAIT_MS, request.max_wait_ms - waited_ms)
                self.client_deadline_ms = self.front.clock() + request.max_wait_ms
                self._submit(request)
        self._is_advancing = False
        self.front.update_state(self)

    def _send_status(self, status: int) -> None:
        """Responds to a health check or a bad request."""
        if status == UNREADY:
            self.front.counters.add("clients.health_unready")
            self._write_status(503, RETRY_AT_ONCE)
        elif status == NO_MEMORY:
            self.front.counters.add("clients.rejected_for_memory")
            self._write_status(503, RETRY_AT_ONCE)
        else:
            if status != HEALTHY:
                self.front.counters.add(f"clients.bad_input_{status}")
            self._write_status(status)
        self._response_finished()

    def _submit(self, request: ClientRequest) -> None:
        self.open_request = request
        self.open_number = -1  # placeholder, as the response may be sent before `submit` returns the number
        number = self.exchange.submit(request, self)
        if self.open_number == -1:
            self.open_number = number

    def _release_request(self) -> None:
        request, self.open_request = self.open_request, None
        if request is not None:
            self.front.release_trace_id(request)

    # Called by the exchange: the response.

    def send_response(self, head: ResponseHead, body: bytes, on_sent: Callable[[], None]) -> None:
        """Writes a complete 200 or 304; calls `on_sent` once it has left the write buffer."""
        lines = response_lines(head, len(body))
        self._write(self._encode_head(lines) + response_body(head, body))
        self.front.unsent_responses.add(self.transport, len(body), on_sent)
        self._response_finished()

    def send_final(self, final: FinalAnswer, retry_after_ms: float) -> None:
        """Writes a 503 with Retry-After, or a 502."""
        if final is FinalAnswer.REJECTED:
            has_hold_off = self.front.sends_hold_off
            self._write_status(503, rejection_fields(retry_after_ms, has_hold_off=has_hold_off))
        else:
            self._write_status(502)
        self._response_finished()

    def _write(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.write(data)

    def _encode_head(self, lines: list[str]) -> bytes:
        if self._is_last_response():
            self.is_ending = True  # a request that is received after this is not accepted
            lines.append("Connection: close")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def _is_last_response(self) -> bool:
        """Whether this response is the last: not if another request has been received, even in part."""
        if self.pipelined or self.is_ending:
            return self.is_ending and not self.pipelined
        is_shutting_down = self.front.is_closing or self.front.readiness.is_draining
        return is_shutting_down and not self.has_partial_request and self.is_input_empty()

    def _write_status(self, status: int, fields: list[str] | None = None) -> None:
        self._write(self._encode_head(status_lines(status, fields)))

    def _response_finished(self) -> None:
        self.open_number = None
        self._release_request()
        if self.transport is not None and not self.pipelined:
            if self.is_ending:
                self.shut_down()
            elif self.is_reading_paused:
                self.is_reading_paused = False
                self._may_be_delayed = True
                self.resume_reading()
        self._advance()
        self._update_charge()
