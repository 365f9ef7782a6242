"""One request and its answer on a shared connection, and what its end means in the module's words."""

from __future__ import annotations

from typing import TYPE_CHECKING

from h2.errors import ErrorCodes

from .. import interface as api
from ..streams.stream_tracker import Finding, Reason
from .work_items import Job

if TYPE_CHECKING:
    from .http2 import Http2Connection

STATUSES = {  # of an attempt whose stream ended without an answer, where nothing proves that it never ran
    Reason.RESET: api.Status.RESET,
    Reason.LOST: api.Status.RESET,
    Reason.SILENT: api.Status.RESET,
    Reason.BROKE_RULES: api.Status.ERROR,
    Reason.GIVEN_UP: api.Status.CANCELLED,
}


def status_of(finding: Finding) -> api.Status:
    """How an attempt has ended, in the module's words: with proof, it never ran and may be sent anew."""
    if finding.reason is Reason.REFUSED:
        return api.Status.REJECTED  # the server lives, and has no room
    if finding.never_ran:
        return api.Status.NOT_SENT
    if finding.reason is Reason.RESET and finding.code == ErrorCodes.INTERNAL_ERROR:
        return api.Status.ERROR
    return STATUSES[finding.reason]


class Stream:
    """One request and its answer."""

    __slots__ = (
        "body", "connection", "headers", "job", "number", "passing", "size", "status", "uncredited",
        "withheld",
    )  # fmt: skip

    def __init__(self, connection: Http2Connection, number: int, job: Job) -> None:
        self.connection, self.number = connection, number
        self.job: Job | None = job
        self.body = memoryview(b"")  # of the request, what has not been sent
        self.status = self.size = 0
        self.headers: dict[bytes, bytes] = {}
        self.passing = False
        self.withheld = False  # the client is slow: its window is not opened again
        self.uncredited = 0  # bytes received for which the window has not been opened again

    # The pool's calls: a stream is a carrier.

    def drop(self, job: Job) -> None:
        self.job = None
        self.connection.give_up(self)

    def flow(self, job: Job, on: bool) -> None:
        self.withheld = not on
        if on:
            self.connection.credit(self)
            self.connection.flush()
