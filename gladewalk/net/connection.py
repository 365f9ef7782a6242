"""A client's connection: HTTP/1.1, one request at a time, read completely before it is submitted.

Requests sent ahead (RFC 9112, section 9.3.2) wait their turn, and reading pauses meanwhile.
"""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import Callable
from typing import cast

import httptools

from ..core.exchange import ClientRequest, FinalAnswer, ResponseHead
from .connection_owner import ConnectionOwner
from .request_reader import MAX_HEADER_BYTES, RequestReader
from .requests import REASONS, BadRequestError, parse_request
from .sockets import MAX_FRAMING_BYTES, SocketPoll, data_age_ms, end_sending, is_peer_closed, socket_poll

MIN_WAIT_MS = 1.0  # what is left to a request whose time was up before it was read
MAX_LATENESS_MS = 500.0  # an answer that comes so long after its client's time still is one
MAX_PIPELINED = 8  # requests that a client may have sent ahead on one connection
LAST_CHUNK = b"0\r\n\r\n"  # ends a body in the chunked transfer coding
HEALTHY, UNREADY = 200, -503  # a health check's answer; the second is told from the statuses of bad input


def encode_chunk(data: bytes) -> bytes:
    """Returns a piece of a body, which must not be empty, as a chunk (RFC 9112, section 7.1)."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class ClientConnection(RequestReader, asyncio.Protocol):
    """One client's connection; it is the `ResponseWriter` of the request that it has open."""

    def __init__(self, front: ConnectionOwner[ClientConnection]) -> None:
        super().__init__(front)
        self.front = front
        self.exchange = front.exchange  # where requests are submitted
        self.transport: asyncio.Transport | None = None
        self.socket_poll: SocketPoll | None = None
        # State kept by the owner.
        self.is_open = False  # its transport has been made
        self.is_evicted = False  # it makes room for another
        self.state_table: dict[ClientConnection, float] | None = None  # the owner's table that it stands in
        # The open request.
        self.open_number: int | None = None
        self.open_request: ClientRequest | None = None
        self.client_deadline_ms = 0.0  # until when the client of the last request waits for its answer
        self._on_sent: Callable[[], None] | None = None  # called once the last response is not buffered here
        # Requests read but not submitted; an int is a status to answer.
        self.pipelined: deque[ClientRequest | int] = deque()
        self.has_received_request = False
        self.is_ending = False  # the last request or answer of this connection: further input is discarded
        self.is_reading_paused = self.is_writing_paused = False
        self._is_advancing = False
        self._came_ms = math.inf  # when the last bytes came, as far as that is asked
        self._may_read_late = True  # what is read next may have waited at the listener, or for a pause's end

    # Called by asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers with the owner."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transport does not inherit from it
        self.socket_poll = socket_poll(self.transport)
        self.front.connection_opened(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Ends the open request: its client has gone."""
        self.transport = None
        self.pipelined.clear()
        self._response_sent()
        if self.open_number is not None:
            number, self.open_number = self.open_number, None
            self._release_request()
            self.exchange.client_disconnected(number)
        self.front.connection_closed(self)

    def data_received(self, data: bytes) -> None:
        """Parses input, within bounds, and submits a request that is complete."""
        if self.is_ending:
            return
        is_late = self.front.read_turns.is_late() or self._may_read_late
        self._may_read_late = False
        self._came_ms = self.front.clock() - self._data_age_ms() if is_late else math.inf
        in_head = self.has_partial_request and not self.has_complete_head
        self.framing_bytes += len(data)
        try:
            self.parser.feed_data(data)
            if in_head and self.has_partial_request and not self.has_complete_head:  # no field may be endless
                self._count_bytes(len(data), MAX_HEADER_BYTES, 431)
            if self.has_partial_request and self.framing_bytes > MAX_FRAMING_BYTES:
                self._reject_input(413)
        except BadRequestError as error:
            self._reject_input(error.status)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__ or error.__cause__
            if not isinstance(cause, BadRequestError):
                raise
            self._reject_input(cause.status)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reject_input(400)
        self._advance()
        if self.pipelined and self.transport is not None:  # bounds memory: further requests stay unread
            self.is_reading_paused = True
            self.transport.pause_reading()
            self.front.watch_paused(self)

    def _data_age_ms(self) -> float:
        return 0.0 if self.transport is None else data_age_ms(self.transport)

    def eof_received(self) -> bool:
        """Closes the connection: a client that has closed its side waits for nothing."""
        return False

    def pause_writing(self) -> None:
        """Notes that the client does not read: the next request waits."""
        self.is_writing_paused = True

    def resume_writing(self) -> None:
        """The client has taken its answer: lets the next request begin."""
        self.is_writing_paused = False
        self._response_sent()
        self._advance()

    # Called by httptools, as the callbacks of `RequestReader`.

    def _continue_expected(self) -> None:
        if self.open_number is None and not self.pipelined:  # else it lands within another answer
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_message_complete(self) -> None:
        """The request is complete: it joins the queue of this connection."""
        self.is_ending = not self.parser.should_keep_alive()
        self.has_partial_request, self.has_received_request = False, True
        try:
            request = self._read_request()
            if not isinstance(request, int):
                request.arrived_ms = min(self._came_ms, self.front.clock())
            self.pipelined.append(request)
        except BadRequestError as error:
            self.pipelined.append(error.status)
        except httptools.HttpParserError:
            self.pipelined.append(400)
        if len(self.pipelined) > MAX_PIPELINED:
            raise BadRequestError(400)

    def _read_request(self) -> ClientRequest | int:
        """Returns the complete request, or the status that answers it; raises `BadRequestError`."""
        url = httptools.parse_url(self.url)
        path, query = (url.path or b"").decode("latin-1"), (url.query or b"").decode("latin-1")
        method = self.parser.get_method().decode("latin-1")
        if path == "/_health" and method == "GET":
            return HEALTHY if self.front.readiness.is_ready else UNREADY
        request = parse_request(method, path, query, self.headers, b"".join(self.body_pieces))
        return self.front.rejection_status(request) or request

    def _reject_input(self, status: int) -> None:
        """Answers input that cannot be parsed further; the connection closes after that."""
        self.pipelined.append(status)
        self.is_ending = True

    def request_timed_out(self) -> None:
        """Answers 408: a request that has begun to come is not complete in its time."""
        self._reject_input(408)
        self._advance()
        if self.pipelined:  # it has not even read its answers: nothing else would ever end it
            self.abort("answers_unread")

    # State.

    def is_input_empty(self) -> bool:
        """Whether nothing that the client has sent is unread."""
        return self._is_over() or self.socket_poll is None or not self.socket_poll.poll(0)

    def is_disconnected(self) -> bool:
        """Whether the client has closed, even if its last input is still unread.

        Avoids work for a client that has gone: nothing else reports its end while reading is paused, or
        before a request that was unread for long has been submitted.
        """
        return self._is_over() or (self.socket_poll is not None and is_peer_closed(self.socket_poll))

    def _is_over(self) -> bool:
        return self.transport is None or self.transport.is_closing()

    def is_sending(self, now_ms: float) -> bool:
        """Whether a part of the last answer is still buffered here, and its client may take it as one."""
        if self.transport is None or now_ms >= self.client_deadline_ms + MAX_LATENESS_MS:
            return False
        return self.transport.get_write_buffer_size() > 0

    def has_open_request(self, now_ms: float) -> bool:
        """Whether an answer is owed here, or would be for a request that has begun to come."""
        if self._is_over():
            return False
        is_coming = self.has_partial_request and not self.is_ending
        if self.open_number is not None or self.pipelined or is_coming:
            return True
        return self.is_sending(now_ms) or not (self.is_ending or self.is_input_empty())

    # The connection's end.

    def shut_down(self) -> None:
        """Closes the sending side; what the client still sends is discarded.

        Closing both sides over unread input would reset the connection, and with it the answer just written.
        No request that crosses this end is accepted, as its answer would not arrive.
        """
        self.is_ending = True
        if self.transport is not None and not self.transport.is_closing():
            self._end_sending_now()
            self.transport.resume_reading()
            self.transport.write_eof()
            self.front.start_lingering(self)

    def _end_sending_now(self) -> None:
        """Lets the client see the end at once, unless a part of an answer is still buffered here.

        The transport would tell it a turn of the loop later; a request that comes in between gets no answer.
        """
        if self.transport is not None and self.transport.get_write_buffer_size() == 0:
            end_sending(self.transport)

    def evict(self, reason: str) -> None:
        """Ends the connection at once to make room for another."""
        self.is_evicted = True
        self.abort(reason)

    def abort(self, reason: str) -> None:
        """Ends the connection at once, and with it what is open here."""
        if self.transport is not None:
            self._log_close(reason)
            self._end_sending_now()
            self.transport.abort()

    def _log_close(self, reason: str) -> None:
        """Logs a close that leaves something of the client's unanswered."""
        is_open = self.open_number is not None or bool(self.pipelined) or self.has_partial_request
        if is_open or not self.is_input_empty():
            trace_id = self.open_request.trace_id if self.open_request is not None else None
            self.exchange.request_log.connection_closed(reason, trace_id, len(self.pipelined))

    # One request at a time.

    def _advance(self) -> None:
        """Submits requests in order, one at a time, and none while the client leaves answers unread.

        Bounds the answers that are buffered for a client which keeps asking and reads nothing.
        """
        if self._is_advancing:
            return
        self._is_advancing = True  # an immediate answer comes back here
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
                self._answer_status(request)
            else:
                waited_ms = self.front.clock() - request.arrived_ms
                request.max_wait_ms = max(MIN_WAIT_MS, request.max_wait_ms - waited_ms)
                self.client_deadline_ms = self.front.clock() + request.max_wait_ms
                self._submit(request)
        self._is_advancing = False
        self.front.update_state(self)

    def _answer_status(self, status: int) -> None:
        """Answers a health check or a bad request."""
        if status == UNREADY:
            self.front.counters.add("clients.health_unready")
            self._write_status(503, ["Retry-After: 1"])
        else:
            if status != HEALTHY:
                self.front.counters.add(f"clients.bad_input_{status}")
            self._write_status(status)
        self._response_finished()

    def _submit(self, request: ClientRequest) -> None:
        self.open_request = request
        self.open_number = -1  # stands for the number until it is known: an answer may come before it
        number = self.exchange.submit(request, self)
        if self.open_number == -1:
            self.open_number = number

    def _release_request(self) -> None:
        request, self.open_request = self.open_request, None
        if request is not None:
            self.front.release_trace_id(request)

    # Called by the exchange: the response.

    def send_response(self, head: ResponseHead, body: bytes, on_sent: Callable[[], None]) -> None:
        """Writes a complete 200 or 304; `on_sent` is called once no more of it is buffered than usual."""
        lines = ["HTTP/1.1 304 Not Modified" if head.is_not_modified else "HTTP/1.1 200 OK"]
        if head.content_length is None and not head.is_not_modified:
            lines.append("Transfer-Encoding: chunked")
            body = (encode_chunk(body) if body else b"") + LAST_CHUNK
        elif not head.is_not_modified:
            lines.append(f"Content-Length: {len(body)}")
        if head.etag is not None:
            lines.append(f'ETag: "{head.etag}"')
        self._write(self._encode_head(lines) + body)
        self._await_sent(on_sent)
        self._response_finished()

    def _await_sent(self, on_sent: Callable[[], None]) -> None:
        self._on_sent = on_sent
        if not self.is_writing_paused:
            self._response_sent()

    def _response_sent(self) -> None:
        on_sent, self._on_sent = self._on_sent, None
        if on_sent is not None:
            on_sent()

    def send_final(self, final: FinalAnswer, retry_after_ms: float) -> None:
        """Writes a 503 with Retry-After (RFC 9110, section 10.2.3), or a 502."""
        if final is FinalAnswer.REJECTED:  # HTTP has whole seconds; 0 would read as 'at once'
            fields = [f"Retry-After: {max(1, math.ceil(retry_after_ms / 1000.0))}"]
            if retry_after_ms and self.front.sends_hold_off:
                fields.append(f"Hold-Off-Ms: {round(retry_after_ms)}")
            self._write_status(503, fields)
        else:
            self._write_status(502)
        self._response_finished()

    def _write(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.write(data)

    def _encode_head(self, lines: list[str]) -> bytes:
        if self._is_last_response():
            self.is_ending = True  # the client sends no more here: a request that crosses it is not accepted
            lines.append("Connection: close")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def _is_last_response(self) -> bool:
        """Whether this answer is the last; not while another request has come, or has begun to."""
        if self.pipelined or self.is_ending:
            return self.is_ending and not self.pipelined
        is_shutting_down = self.front.is_closing or self.front.readiness.is_draining
        return is_shutting_down and not self.has_partial_request and self.is_input_empty()

    def _write_status(self, status: int, fields: list[str] | None = None) -> None:
        reason = b"OK" if status == 200 else REASONS[status]
        lines = [f"HTTP/1.1 {status} {reason.decode()}", "Content-Length: 0", *(fields or ())]
        self._write(self._encode_head(lines))

    def _response_finished(self) -> None:
        self.open_number = None
        self._release_request()
        if self.transport is not None and not self.pipelined:
            if self.is_ending:
                self.shut_down()
            elif self.is_reading_paused:
                self.is_reading_paused = False
                self._may_read_late = True
                self.transport.resume_reading()
        self._advance()
