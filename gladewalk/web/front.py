"""The client side: HTTP/1.1 requests, routed by an imported table to an upstream or to a local response.

The limits on heads, bodies, pipelined requests and connections, and the timeouts of clients, are those of the
platform's front (`net/clients.py`), whose classes the classes here extend.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import cast

from ..core.counters import Counters
from ..core.deadlines import Deadlines
from ..core.exchange import ClientRequest, FinalAnswer, ResponseHead
from ..net.clients import ClientFront
from ..net.connection import ClientConnection
from ..net.request_reader import FIELD_BYTES
from ..net.requests import BadRequestError
from ..net.response_encoding import LAST_CHUNK, encode_chunk
from ..nginx.errors import MalformedRequestError
from ..nginx.hosts import normalise_optional_host
from ..nginx.landing import CLOSE_CONNECTION, Landing
from ..nginx.router import Router
from ..nginx.uri import parse_target
from ..nginx.variables import Request
from .messages import (
    BODILESS_STATUSES,
    NON_IDEMPOTENT_METHODS,
    Fields,
    ProxyRequest,
    ProxyResponseHead,
    added_fields,
    reason_phrase,
    response_fields,
)
from .upstream_config import MAX_RESPONSE_MS, NON_IDEMPOTENT_SUFFIX, location_id, object_key
from .upstream_exchange import UpstreamExchange

LOCAL_CLASS = "-"  # request class of a request that gets a local response
FALLBACK_CLASS = "p0"  # for a request whose location has no request class in its upstream
SERVICE_UNAVAILABLE = 503
MIN_RETRY_AFTER_SECONDS = 1


@dataclass(slots=True, kw_only=True)
class RoutedRequest(ProxyRequest):
    """A request with the exchange of the upstream that it is routed to.

    Attributes:
        exchange: The upstream's exchange; None if the request gets a local response.
    """

    exchange: UpstreamExchange | None = None


class HttpClientConnection(ClientConnection):
    """One client's connection.

    Attributes:
        http_front: The listener that accepted the connection.
        all_fields: The fields of the request that is being read, in order, repeated ones too.
        landing: Where the routing table sends the open request.
        is_bodiless: Whether the open request is a HEAD, whose response has no body.
        is_chunked: Whether the response to the open request is sent chunked, because its length is unknown.
        upstream_exchange: The exchange of the open request.
    """

    keeps_all_fields = True

    def __init__(self, front: ClientFront) -> None:
        super().__init__(front)
        self.http_front = cast(HttpFront, front)
        self.all_fields: Fields = []
        self.landing: Landing | None = None
        self.is_bodiless = False
        self.is_chunked = False
        self.upstream_exchange: UpstreamExchange | None = None

    # Reading.

    def on_header(self, name: bytes, value: bytes) -> None:
        """Records a field of the head or the trailer."""
        super().on_header(name, value)
        self.all_fields.append((name.decode("latin-1"), value.decode("latin-1")))

    def forget_request(self) -> None:
        """Keeps nothing of a request that was read or rejected."""
        super().forget_request()
        self.all_fields = []

    def request_bytes(self, request: ClientRequest) -> int:
        """Returns about how much memory a read request takes, its fields included."""
        assert isinstance(request, RoutedRequest)
        return len(request.body) + len(request.fields) * FIELD_BYTES

    def _read_request(self) -> ClientRequest | int:
        """Returns the complete request with its landing.

        Raises:
            BadRequestError: The request is malformed or its method is not supported.
        """
        assert self.parser is not None
        method = self.parser.get_method().decode("latin-1")
        raw_target, raw_host = self._split_target()
        version = self.parser.get_http_version()
        if method == "CONNECT" or (b"upgrade" in self.headers and method == "PRI"):
            raise BadRequestError(405)
        if not raw_host and version == "1.1":
            raise BadRequestError(400)  # HTTP/1.1 requires Host (RFC 9112, section 3.2)
        front = self.http_front
        try:
            host = normalise_optional_host(raw_host)
            server = front.router.server_of(front.listen_key, host)
            target = parse_target(raw_target, server.row.merge_slashes)
        except MalformedRequestError as error:
            raise BadRequestError(400) from error
        body = bytes(self.body)
        fields = self._joined_fields()
        fields["content-length"] = str(len(body))
        peer = self.transport.get_extra_info("peername") if self.transport is not None else None
        client, client_port = peer[:2] if peer else ("127.0.0.1", 0)
        request = Request(
            method,
            target,
            host,
            fields,
            client,
            client_port,
            server_address=front.address[0],
            server_port=front.listen_port,
            protocol=f"HTTP/{version}",
        )
        return self._build_request(front.router.route(front.listen_key, request), method, body)

    def _joined_fields(self) -> dict[str, str]:
        """Returns the fields by their names in lower case; values of repeated fields are joined by commas."""
        fields: dict[str, str] = {}
        for name, value in self.all_fields:
            key = name.lower()
            fields[key] = f"{fields[key]}, {value}" if key in fields else value
        return fields

    def _split_target(self) -> tuple[str, str]:
        """Returns the target in origin form, and the host.

        The host of an absolute target replaces that of the Host field (RFC 9112, section 3.2.2).
        """
        raw = self.url.decode("latin-1")
        for scheme in ("http://", "https://"):
            if raw.lower().startswith(scheme):
                rest = raw[len(scheme) :]
                end = next((index for index, char in enumerate(rest) if char in "/?"), len(rest))
                path = rest[end:]
                return path if path.startswith("/") else "/" + path, rest[:end]
        return raw, self.headers.get(b"host", b"").decode("latin-1")

    def _build_request(self, landing: Landing, method: str, body: bytes) -> RoutedRequest:
        request = RoutedRequest(
            trace_id="",
            method="GET",
            class_name=LOCAL_CLASS,
            object_name="",
            key=0,
            part=0,
            max_wait_ms=MAX_RESPONSE_MS,
            body=body,
            verb=method,
            fields=self.all_fields,
            landing=landing,
            received_ms=self.http_front.clock(),
        )
        if landing.upstream:
            request.exchange = self.http_front.upstreams[landing.upstream]
            request.class_name = self._class_name(request.exchange, landing, method)
            request.key = object_key(landing)
        return request

    def _class_name(self, exchange: UpstreamExchange, landing: Landing, method: str) -> str:
        name = FALLBACK_CLASS
        if landing.location_row is not None:
            name = exchange.config.class_names.get(location_id(landing.location_row), FALLBACK_CLASS)
        return name + NON_IDEMPOTENT_SUFFIX if method in NON_IDEMPOTENT_METHODS else name

    # The open request.

    def _submit(self, request: ClientRequest) -> None:
        assert isinstance(request, RoutedRequest)
        # A pipelined request that was read before a reload may refer to an upstream that the reload retired.
        if request.exchange is not None and request.exchange.is_retired:
            front = self.http_front
            landing = front.router.route(front.listen_key, request.landing.state.request)
            request = self._build_request(landing, request.verb, request.body)
        self.landing = request.landing
        self.is_bodiless = request.verb == "HEAD"
        if request.exchange is None:
            self._respond_locally(request.landing)
            return
        self.exchange = self.upstream_exchange = request.exchange
        super()._submit(request)

    def _respond_locally(self, landing: Landing) -> None:
        """Writes the text, redirect or status that the routing table states, or closes the connection."""
        self.http_front.counters.add("web.answered_here")
        if landing.status == CLOSE_CONNECTION:
            self.open_number = None
            self._release_request()
            if self.transport is not None:
                self.transport.abort()
            return
        status = landing.shown_status or landing.status
        fields = added_fields(landing, status)
        if landing.redirect:
            fields.append(("Location", landing.redirect))
        if landing.text:
            fields.append(("Content-Type", "text/plain"))
        self._write_response(status, fields, landing.text.encode("latin-1", "replace"))
        self._response_finished()

    def _write_response(self, status: int, fields: Fields, body: bytes = b"") -> None:
        """Writes a complete response."""
        lines = [f"HTTP/1.1 {status} {reason_phrase(status)}"]
        if status not in BODILESS_STATUSES:
            lines.append(f"Content-Length: {len(body)}")
        lines += [f"{name}: {value}" for name, value in fields]
        sent_body = b"" if self.is_bodiless or status in BODILESS_STATUSES else body
        self._write(self._encode_head(lines) + sent_body)

    def _write_status(self, status: int, fields: list[str] | None = None) -> None:
        pairs = [(name, value) for name, _, value in (line.partition(": ") for line in fields or ())]
        self._write_response(status, pairs)

    # Called by the exchange: the response.

    def send_response(self, head: ResponseHead, body: bytes, on_sent: Callable[[], None]) -> None:
        """Writes a server's complete, buffered response."""
        self.start_response(head)
        self.write_body(body)
        self.front.unsent_responses.add(self.transport, len(body), on_sent)
        self._response_finished()

    def start_response(self, head: ResponseHead) -> None:
        """Writes the head of a server's response."""
        assert isinstance(head, ProxyResponseHead) and self.landing is not None
        status = self.landing.shown_status or head.status
        lines = [f"HTTP/1.1 {status} {reason_phrase(status)}"]
        has_body = not self.is_bodiless and status not in BODILESS_STATUSES
        self.is_chunked = has_body and head.content_length is None
        if self.is_chunked:
            lines.append("Transfer-Encoding: chunked")
        elif head.content_length is not None and status != 204:
            lines.append(f"Content-Length: {head.content_length}")
        for name, value in response_fields(self.landing, head.status, head.fields):
            lines.append(f"{name}: {value}")
        self._write(self._encode_head(lines))

    def write_body(self, data: bytes) -> None:
        """Writes a piece of the body, unless the request is a HEAD."""
        if not self.is_bodiless:
            self._write(encode_chunk(data) if self.is_chunked else data)

    def end_response(self) -> None:
        """Ends a streamed response."""
        if self.is_chunked:
            self._write(LAST_CHUNK)
        self._response_finished()

    def abort_response(self) -> None:
        """Aborts the connection, so that the client sees an incomplete response."""
        self.abort("response_incomplete")
        self.open_number = None
        self._release_request()

    def pause_writing(self) -> None:
        """Pauses the streamed response because the client does not read."""
        super().pause_writing()
        if self.open_number is not None and self.upstream_exchange is not None:
            self.upstream_exchange.set_reading(self.open_number, False)

    def resume_writing(self) -> None:
        """Resumes the streamed response and allows the next request to start."""
        if self.open_number is not None and self.upstream_exchange is not None:
            self.upstream_exchange.set_reading(self.open_number, True)
        super().resume_writing()

    def send_final(self, final: FinalAnswer, retry_after_ms: float) -> None:
        """Sends the final answer of a failed or rejected request, or resubmits it if `error_page` applies."""
        request, landing = self.open_request, self.landing
        assert isinstance(request, RoutedRequest) and landing is not None
        is_rejected = final is FinalAnswer.REJECTED
        status = SERVICE_UNAVAILABLE if is_rejected else request.failure_status
        if (
            not landing.is_from_error_page
            and self.http_front.router.apply_error_page(landing, status).is_from_error_page
        ):
            self._submit_to_error_page(request, landing)
            return
        fields: Fields = []
        if is_rejected:
            seconds = max(MIN_RETRY_AFTER_SECONDS, math.ceil(retry_after_ms / 1000.0))
            fields.append(("Retry-After", str(seconds)))
        self._write_response(status, fields + added_fields(landing, status))
        self._response_finished()

    def _submit_to_error_page(self, request: RoutedRequest, landing: Landing) -> None:
        """Submits the request again, as a new one, to the place that `error_page` names."""
        self.http_front.counters.add("web.error_pages")
        self.open_number = None
        self._release_request()
        self._submit(self._build_request(landing, landing.state.request.method, request.body))


class HttpFront(ClientFront):
    """One listener, which serves one `listen` of the routing table.

    Attributes:
        router: The router of the routing table in use.
        listen_key: The table's `listen`, `HOST:PORT`.
        upstreams: The exchange of each upstream, by its name.
        listen_port: The port of `listen_key`, which redirects and variables contain.
    """

    def __init__(
        self,
        router: Router,
        listen_key: str,
        upstreams: Mapping[str, UpstreamExchange],
        connection_limit: int,
        max_body_bytes: int,
        clock: Callable[[], float],
        deadlines: Deadlines,
        counters: Counters,
    ) -> None:
        first_exchange = next(iter(upstreams.values()))
        super().__init__(first_exchange, connection_limit, clock, deadlines, counters)
        self.set_table(router, listen_key, upstreams)
        self.connection_type, self.max_body_bytes = HttpClientConnection, max_body_bytes

    def set_table(self, router: Router, listen_key: str, upstreams: Mapping[str, UpstreamExchange]) -> None:
        """Serves requests that are read from now on by this `listen` of this table."""
        self.router, self.listen_key, self.upstreams = router, listen_key, upstreams
        self.listen_port = int(listen_key.rpartition(":")[2])

    def claim_trace_id(self, request: ClientRequest) -> bool:
        """Returns True: trace ids belong to the platform's protocol, and requests of this front have none."""
        return True

    def release_trace_id(self, request: ClientRequest) -> None:
        """Does nothing: the requests of this front have no trace ids."""
