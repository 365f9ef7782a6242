"""Changes that each make a director break one rule, by name; the soak must fail each of them."""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import Callable
from typing import Any

from gladewalk import daemon
from gladewalk import interface as api
from gladewalk.core.exchange import Attempt, Exchange, FinalAnswer, OpenRequest, ResponseHead
from gladewalk.director import Director
from gladewalk.net.connection import ClientConnection
from gladewalk.policy.retries import RetryPolicy
from gladewalk.registry.servers import ServerRegistry
from gladewalk.upstream import http1, protocol_fields
from gladewalk.upstream.reuse_delay import ReuseDelay

LATE_RESPONSE_S = 1.5
EXTRA_WAIT_MS = 1_000
LAST_BODIES: dict[int, bytes] = {}


def cut_broken_responses() -> None:
    """A cache's response that is cut off also ends the client's connection, as if it had been forwarded."""
    take_response = Exchange._take_response

    def take_response_or_cut(self: Exchange, attempt: Attempt, status: api.Status) -> None:
        opened, has_begun = attempt.open_request, attempt.response is not None
        take_response(self, attempt, status)
        if has_begun and not opened.is_answered:
            self._close(opened)
            assert isinstance(opened.client, ClientConnection)
            opened.client.open_number = None
            opened.client.abort("broken")

    _patch(Exchange, "_take_response", take_response_or_cut)


def forget_deadlines() -> None:
    """Requests do not end at their deadlines."""

    def do_nothing(self: Exchange, opened: OpenRequest) -> None:
        return None

    _patch(Exchange, "_request_timed_out", do_nothing)


def delay_failures() -> None:
    """Failures are sent 1.5 s late."""
    send = ClientConnection.send_final

    def send_delayed(self: ClientConnection, final: FinalAnswer, retry_after_ms: float) -> None:
        asyncio.get_running_loop().call_later(LATE_RESPONSE_S, send, self, final, retry_after_ms)

    _patch(ClientConnection, "send_final", send_delayed)


def resend_writes() -> None:
    """The director retries requests that may already have been executed."""
    _patch(RetryPolicy, "is_harmless", lambda self, pending, after_ms=0.0: True)


def reject_writes_that_ran() -> None:
    """Clients are told to retry requests that may already have been executed."""
    _patch(RetryPolicy, "is_client_retry_harmless", lambda self, pending, after_ms=0.0: True)


def serve_departed_clients() -> None:
    """The end of a client's connection is ignored, and its request is still retried."""
    _patch(Exchange, "client_disconnected", lambda self, number: None)
    _patch(ClientConnection, "is_disconnected", lambda self: False)


def swap_bodies() -> None:
    """A client gets the body of the previous response."""
    send = ClientConnection.send_response

    def send_previous_body(
        self: ClientConnection, head: ResponseHead, body: bytes, on_sent: Callable[[], None]
    ) -> None:
        previous_body, LAST_BODIES[0] = LAST_BODIES.get(0, body), body
        send(self, ResponseHead(head.is_not_modified, len(previous_body), head.etag), previous_body, on_sent)

    _patch(ClientConnection, "send_response", send_previous_body)


def reuse_connections_at_once() -> None:
    """Connections are reused at once, so a duplicate response is taken for that of the next request."""
    _patch(ReuseDelay, "duration_ms", lambda self, now_ms: 0.0)


def omit_retry_after() -> None:
    """Rejections have no Retry-After field."""
    write = ClientConnection._write_status
    _patch(ClientConnection, "_write_status", lambda self, status, fields=None: write(self, status))


def answer_twice() -> None:
    """Failures and rejections are sent twice."""
    send = ClientConnection._write_status

    def send_twice(self: ClientConnection, status: int, fields: list[str] | None = None) -> None:
        self.is_ending = True
        send(self, status, fields)
        self._write(b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n")

    _patch(ClientConnection, "_write_status", send_twice)


def exceed_deadlines() -> None:
    """Servers get a longer deadline than the client has left."""
    fields = protocol_fields.request_fields

    def with_more_time(attempt: Attempt, now_ms: float) -> list[tuple[str, str]]:
        return [
            (name, str(int(value) + EXTRA_WAIT_MS) if name == "X-Max-Ms" else value)
            for name, value in fields(attempt, now_ms)
        ]

    _patch(http1, "request_fields", with_more_time)


def ignore_drains() -> None:
    """Draining servers are treated as ready."""
    apply = ServerRegistry.apply

    def apply_as_ready(self: ServerRegistry, event: api.EndpointList) -> None:
        for server in event.servers:
            if server.state is api.ServerState.DRAINING:
                object.__setattr__(server, "state", api.ServerState.READY)
        apply(self, event)

    _patch(ServerRegistry, "apply", apply_as_ready)


def ignore_purges() -> None:
    """Purges are ignored."""
    _patch(Exchange, "purge", lambda self, event: None)


def crash_on_reload() -> None:
    """SIGHUP ends the process."""
    _patch(Director, "reload", lambda self: os._exit(1))


def leak_descriptors() -> None:
    """Each request leaves a descriptor open."""
    submit = Exchange.submit

    def submit_and_leak(self: Exchange, request: Any, client: Any) -> int:
        os.open(os.devnull, os.O_RDONLY)
        return submit(self, request, client)

    _patch(Exchange, "submit", submit_and_leak)


def _patch(owner: Any, name: str, value: Any) -> None:
    setattr(owner, name, value)


BROKEN: dict[str, Callable[[], None]] = {
    change.__name__: change
    for change in (
        cut_broken_responses, forget_deadlines, delay_failures, resend_writes, reject_writes_that_ran,
        serve_departed_clients, swap_bodies, omit_retry_after, answer_twice, exceed_deadlines, ignore_drains,
        ignore_purges, crash_on_reload, leak_descriptors, reuse_connections_at_once,
    )
}  # fmt: skip


if __name__ == "__main__":
    BROKEN[sys.argv[1]]()
    sys.exit(daemon.run())
