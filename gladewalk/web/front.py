"""The front's clients: any HTTP/1.1 request, routed by an imported table, answered by an upstream or here.

The guards against what clients may send are those of the platform's front (`net/clients.py`), which this one
are made of: bounds on heads, bodies and requests ahead, times to ask in, a connection limit, one answer to
each request.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from typing import cast

from ..core.counters import Counters
from ..core.deadlines import Deadlines
from ..core.exchange import ClientRequest, FinalAnswer, ResponseHead
from ..net.clients import ClientFront
from ..net.connection import ClientConnection
from ..net.requests import BadRequestError
from ..nginx.router import Landing, Router, read_host
from ..nginx.uri import BadTarget, read_target
from ..nginx.variables import Request
from .messages import NOBODY, ONCE, Fields, WebAsk, WebHead, added_fields, answer_fields, reason
from .upstream_config import WHOLE_MOST_MS, key_of, place_key
from .upstream_exchange import Balanced

MISSING = "-"  # the class of a request that is answered here
CLOSE = 444  # nginx's code for a close without an answer


class WebClient(ClientConnection):
    """One client's connection."""

    def __init__(self, front: ClientFront) -> None:
        super().__init__(front)
        self.web = cast(WebFront, front)
        self.all_fields: Fields = []
        self.landing: Landing | None = None  # of the request that is open
        self.bodiless = False

    # Reading.

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self.all_fields = []

    def on_header(self, name: bytes, value: bytes) -> None:
        super().on_header(name, value)
        self.all_fields.append((name.decode("latin-1"), value.decode("latin-1")))

    def _read_request(self) -> ClientRequest | int:
        """A request with where it lands; `BadRequestError` for one that can't be read."""
        verb = self.parser.get_method().decode("latin-1")
        raw, host = self._target()
        if verb == "CONNECT" or (b"upgrade" in self.headers and verb == "PRI"):
            raise BadRequestError(405)
        if not host and self.parser.get_http_version() == "1.1":
            raise BadRequestError(400)  # RFC 9112, 3.2
        try:
            clean = read_host(host)
            server = self.web.router.server_of(self.web.listen_key, clean)
            target = read_target(raw, server.row.merge_slashes)
        except (BadTarget, ValueError) as error:
            raise BadRequestError(400) from error
        fields: dict[str, str] = {}
        for name, value in self.all_fields:
            lower = name.lower()
            fields[lower] = f"{fields[lower]}, {value}" if lower in fields else value
        body = b"".join(self.body_pieces)
        fields["content-length"] = str(len(body))
        client = self.transport.get_extra_info("peername") if self.transport is not None else None
        request = Request(
            verb, target, clean, fields, client[0] if client else "127.0.0.1", client[1] if client else 0,
            server_addr=self.web.address[0], server_port=self.web.port_told,
            protocol=f"HTTP/{self.parser.get_http_version()}",
        )  # fmt: skip
        landing = self.web.router.route(self.web.listen_key, request)
        return self.ask_of(landing, verb, body)

    def _target(self) -> tuple[str, str]:
        """The target in origin form and the host: of an absolute target its own (RFC 9112, 3.2.2)."""
        raw = self.url.decode("latin-1")
        host = self.headers.get(b"host", b"").decode("latin-1")
        for scheme in ("http://", "https://"):
            if raw.lower().startswith(scheme):
                rest = raw[len(scheme) :]
                cut = next((n for n, sign in enumerate(rest) if sign in "/?"), len(rest))
                path = rest[cut:]
                return path if path.startswith("/") else "/" + path, rest[:cut]
        return raw, host

    def ask_of(self, landing: Landing, verb: str, body: bytes) -> WebAsk:
        ask = WebAsk(
            trace_id="", method="GET", class_name=MISSING, object_name="", key=0, part=0,
            max_wait_ms=WHOLE_MOST_MS, body=body, verb=verb, fields=self.all_fields, landing=landing,
            since_ms=self.web.clock(),
        )  # fmt: skip
        if landing.upstream:
            balanced = self.web.upstreams[landing.upstream]
            ask.balanced = balanced
            name = balanced.plan.classes.get(place_key(landing.place), "p0") if landing.place else "p0"
            ask.class_name = name + "!" if verb in ONCE else name
            ask.key = key_of(landing)
        return ask

    # One request at a time.

    def _submit(self, ask: ClientRequest) -> None:
        assert isinstance(ask, WebAsk) and ask.landing is not None
        if ask.balanced is not None and ask.balanced.retired:  # it waited while another table was taken
            request = ask.landing.state.request
            ask = self.ask_of(self.web.router.route(self.web.listen_key, request), ask.verb, ask.body)
        landing = self.landing = ask.landing
        self.bodiless = ask.verb == "HEAD"
        assert landing is not None
        if not landing.upstream:
            return self._answer_here(landing)
        self.exchange = ask.balanced
        super()._submit(ask)

    def _answer_here(self, landing: Landing) -> None:
        """An answer that the table makes: a text, a redirect, a refusal, or a close."""
        status = landing.shown or landing.status
        self.web.counters.add("web.answered_here")
        if landing.status == CLOSE:
            self.open_number = None
            self._release_request()
            if self.transport is not None:
                self.transport.abort()
            return
        fields = added_fields(landing, status)
        if landing.redirect:
            fields.append(("Location", landing.redirect))
        if landing.text:
            fields.append(("Content-Type", "text/plain"))
        self._whole(status, fields, landing.text.encode("latin-1", "replace"))
        self._response_finished()

    def _whole(self, status: int, fields: Fields, body: bytes = b"") -> None:
        lines = [f"HTTP/1.1 {status} {reason(status)}"]
        if status not in NOBODY:
            lines.append(f"Content-Length: {len(body)}")
        lines += [f"{name}: {value}" for name, value in fields]
        shown = b"" if self.bodiless or status in NOBODY else body
        self._write(self._encode_head(lines) + shown)

    def _write_status(self, status: int, fields: list[str] | None = None) -> None:
        pairs = [(name, value) for name, _, value in (line.partition(": ") for line in fields or ())]
        self._whole(status, pairs)

    # The exchange's calls

    def start_response(self, head: ResponseHead) -> None:
        assert isinstance(head, WebHead) and self.landing is not None
        status = self.landing.shown or head.status
        lines = [f"HTTP/1.1 {status} {reason(status)}"]
        without = self.bodiless or status in NOBODY
        self.is_chunked = head.content_length is None and not without
        if self.is_chunked:
            lines.append("Transfer-Encoding: chunked")
        elif head.content_length is not None and status != 204:
            lines.append(f"Content-Length: {head.content_length}")
        for name, value in answer_fields(self.landing, head.status, head.fields):
            lines.append(f"{name}: {value}")
        self._write(self._encode_head(lines))

    def write_body(self, data: bytes) -> None:
        if not self.bodiless:
            super().write_body(data)

    def send_final(self, final: FinalAnswer, retry_after_ms: float) -> None:
        ask, landing = self.open_request, self.landing
        assert isinstance(ask, WebAsk) and landing is not None
        status = 503 if final is FinalAnswer.REJECTED else ask.failed
        if not landing.from_error and self.web.router.on_error(landing, status).from_error:
            return self._elsewhere(ask, landing)
        seconds = max(1, math.ceil(retry_after_ms / 1000.0))
        more = [("Retry-After", str(seconds))] if final is FinalAnswer.REJECTED else []
        self._whole(status, more + added_fields(landing, status))
        self._response_finished()

    def _elsewhere(self, ask: WebAsk, landing: Landing) -> None:
        """An `error_page` sends the request on: it is another request of its exchange."""
        self.web.counters.add("web.error_pages")
        self.open_number = None
        self._release_request()
        self._submit(self.ask_of(landing, landing.state.request.method, ask.body))


class WebFront(ClientFront):
    """One of our listeners, which stands for one of the table's."""

    def __init__(
        self, router: Router, listen_key: str, upstreams: Mapping[str, Balanced],
        connection_limit: int, body_most: int,
        clock: Callable[[], float], deadlines: Deadlines, counters: Counters,
    ) -> None:  # fmt: skip
        first = next(iter(upstreams.values()))
        super().__init__(first, connection_limit, clock, deadlines, counters)
        self.router, self.listen_key, self.upstreams = router, listen_key, upstreams
        self.connection_type, self.max_body_bytes = WebClient, body_most
        self.port_told = int(listen_key.rpartition(":")[2])

    def claim_trace_id(self, ask: ClientRequest) -> bool:
        return True  # ids of requests are the platform's

    def release_trace_id(self, ask: ClientRequest) -> None:
        pass
