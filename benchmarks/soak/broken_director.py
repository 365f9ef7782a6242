"""Directors with one rule taken out, by name: the soak must fail each of them."""

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

LATE_ANSWER_S = 1.5
EXTRA_WAIT_MS = 1_000
LAST_BODIES: dict[int, bytes] = {}


def cut_broken_responses() -> None:
    """A response that breaks off ends its client's connection, as if it had been passed on."""
    take = Exchange._take_response

    def take_or_cut(self: Exchange, attempt: Attempt, status: api.Status) -> None:
        opened, has_begun = attempt.open_request, attempt.response is not None
        take(self, attempt, status)
        if has_begun and not opened.is_answered:
            self._close(opened)
            assert isinstance(opened.client, ClientConnection)
            opened.client.open_number = None
            opened.client.abort("broken")

    _replace(Exchange, "_take_response", take_or_cut)


def forget_deadlines() -> None:
    """No request is ended at its deadline."""

    def do_nothing(self: Exchange, opened: OpenRequest) -> None:
        return None

    _replace(Exchange, "_request_timed_out", do_nothing)


def delay_failures() -> None:
    """Failures are sent long after their time."""
    send = ClientConnection.send_final

    def send_late(self: ClientConnection, final: FinalAnswer, retry_after_ms: float) -> None:
        asyncio.get_running_loop().call_later(LATE_ANSWER_S, send, self, final, retry_after_ms)

    _replace(ClientConnection, "send_final", send_late)


def resend_writes() -> None:
    """Every request counts as harmless to send again."""
    _replace(RetryPolicy, "is_harmless", lambda self, pending, after_ms=0.0: True)


def reject_writes_that_ran() -> None:
    """Clients are told to try again whatever may have run."""
    _replace(RetryPolicy, "is_client_retry_harmless", lambda self, pending, after_ms=0.0: True)


def serve_departed_clients() -> None:
    """A client's end is not noticed, and its request is retried until it would be answered."""
    _replace(Exchange, "client_disconnected", lambda self, number: None)
    _replace(ClientConnection, "is_disconnected", lambda self: False)


def swap_bodies() -> None:
    """A client gets the body of the response before."""
    send = ClientConnection.send_response

    def send_other(
        self: ClientConnection, head: ResponseHead, body: bytes, on_sent: Callable[[], None]
    ) -> None:
        before, LAST_BODIES[0] = LAST_BODIES.get(0, body), body
        send(self, ResponseHead(head.is_not_modified, len(before), head.etag), before, on_sent)

    _replace(ClientConnection, "send_response", send_other)


def reuse_connections_at_once() -> None:
    """Connections do not rest: late second responses are taken for the next requests'."""
    _replace(ReuseDelay, "duration_ms", lambda self, now_ms: 0.0)


def omit_retry_after() -> None:
    """Rejections do not say when to come back."""
    write = ClientConnection._write_status
    _replace(ClientConnection, "_write_status", lambda self, status, fields=None: write(self, status))


def answer_twice() -> None:
    """Failures and rejections are sent twice."""
    send = ClientConnection._write_status

    def send_twice(self: ClientConnection, status: int, fields: list[str] | None = None) -> None:
        self.is_ending = True
        send(self, status, fields)
        self._write(b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n")

    _replace(ClientConnection, "_write_status", send_twice)


def exceed_deadlines() -> None:
    """Servers are told of more time than the client has left."""
    fields = protocol_fields.request_fields

    def with_more_time(attempt: Attempt, now_ms: float) -> list[tuple[str, str]]:
        return [
            (name, str(int(value) + EXTRA_WAIT_MS) if name == "X-Max-Ms" else value)
            for name, value in fields(attempt, now_ms)
        ]

    _replace(http1, "request_fields", with_more_time)


def ignore_drains() -> None:
    """Servers that drain are taken for ready."""
    apply = ServerRegistry.apply

    def apply_as_ready(self: ServerRegistry, event: api.EndpointList) -> None:
        for server in event.servers:
            if server.state is api.ServerState.DRAINING:
                object.__setattr__(server, "state", api.ServerState.READY)
        apply(self, event)

    _replace(ServerRegistry, "apply", apply_as_ready)


def ignore_purges() -> None:
    """Purges are not heeded."""
    _replace(Exchange, "purge", lambda self, event: None)


def crash_on_reload() -> None:
    """SIGHUP ends the process."""
    _replace(Director, "reload", lambda self: os._exit(1))


def leak_descriptors() -> None:
    """Each request leaves a descriptor open."""
    submit = Exchange.submit

    def submit_and_leak(self: Exchange, request: Any, client: Any) -> int:
        os.open(os.devnull, os.O_RDONLY)
        return submit(self, request, client)

    _replace(Exchange, "submit", submit_and_leak)


def _replace(owner: Any, name: str, value: Any) -> None:
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
