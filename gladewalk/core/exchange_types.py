"""Exchange types: client requests, upstream attempts, their results, and the protocols of both sides.

The exchange sits between a client side (`ResponseWriter`, `ResolveResponder`) and a server side
(`UpstreamPool`). Times are milliseconds, instants Unix milliseconds.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from .. import interface as api
from ..config.platform import Address
from .deadlines import DeadlineKey
from .response_buffer import ResponseBuffer


@dataclass(slots=True)
class ClientRequest:
    """A client's parsed request; values that are forwarded unchanged are kept as received."""

    trace_id: str
    method: str
    class_name: str
    object_name: str
    key: int  # the object's name as a number
    part: int
    max_wait_ms: float
    size_kb: float = 0.0
    group: int = 0
    etag: str | None = None  # of the copy in the client's cache
    body: bytes = b""
    idempotency_key: str = ""  # the same each time the client sends this request
    is_retry: bool = False
    arrived_ms: float = 0.0  # when its last byte was received, in steady milliseconds


@dataclass(slots=True)
class ResponseHead:
    """The head of a successful response; `content_length` is None if the server sent none."""

    is_not_modified: bool
    content_length: int | None
    etag: str | None


class FinalAnswer(Enum):
    """The final answer to a request that gets no server's response; counted as `answers.<value>`."""

    REJECTED = "refused"
    FAILED = "failed"


class ResponseWriter(Protocol):
    """The client side of one open request, to which its response is written."""

    def send_response(self, head: ResponseHead, body: bytes, on_sent: Callable[[], None]) -> None:
        """Sends a server's complete response.

        `on_sent` is called once: when it has left the write buffer, or when the connection has ended.
        """

    def send_final(self, final: FinalAnswer, retry_after_ms: float) -> None:
        """Sends the final answer of a request without a server's response; 0: no advice when to retry."""

    def is_disconnected(self) -> bool:
        """Whether the client has closed its connection, according to the state of the socket."""


class ResolveResponder(Protocol):
    """The client side of one resolve request, which asks where to fetch an object from."""

    def resolved(self, servers: Sequence[tuple[str, Address]], ttl_ms: float) -> None:
        """Answers with the names and addresses of servers; an empty sequence means the director itself."""

    def rejected(self) -> None:
        """Answers that no server is available at the moment."""


class UpstreamPool(Protocol):
    """The server side: connections to caches, parents and the origin."""

    def address(self, name: str) -> Address | None:
        """Returns the address of a server, None for an unknown one."""

    def set_address(self, name: str, address: Address | None, model: str = "") -> None:
        """Sets the address and model of a server; the address None removes the server."""

    def keep_only(self, names: Collection[str]) -> None:
        """Removes every server that is not among `names`."""

    def start(self, attempt: Attempt) -> None:
        """Sends an attempt's request, at once or as soon as a connection is available."""

    def cancel(self, attempt: Attempt) -> None:
        """Abandons an attempt; the pool makes no further call to the exchange for it."""

    def set_reading(self, attempt: Attempt, on: bool) -> None:
        """Resumes (`on`) or pauses reading an attempt's response, as the memory budget allows."""

    def probe(self, name: str, done: Callable[[api.Status, float, Any], None], path: str = ...) -> None:
        """Sends a health check; `done` receives its status, its duration in ms and the load report."""

    def close_idle(self, name: str) -> None:
        """Closes a server's idle connections."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One request to one cache, parent or origin, made for a client's request."""

    open_request: OpenRequest
    number: int  # 0 for the first attempt of a request
    decision: api.Lookup | api.Fetch  # of the decision module
    started_ms: float
    deadline_ms: float
    timer: DeadlineKey | None = None
    carrier: Any = None  # set by the pool: the connection or queue entry that carries the attempt
    response: ResponseBuffer | None = (
        None  # the part of the response received so far, once its head is complete
    )

    def to_outcome(self, result: AttemptResult, now_ms: float) -> api.Outcome:
        """Returns its end as the decision module gets it."""
        opened = self.open_request
        return api.Outcome(
            id=opened.number,
            attempt=self.number,
            server=self.decision.server,
            status=result.status,
            elapsed_ms=now_ms - self.started_ms,
            is_answered=opened.is_answered,
            detail=result.detail,
            source_wait_ms=result.source_wait_ms,
            load_report=result.load_report,
        )


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A client's request, from the time it is received until its last attempt has ended."""

    number: int
    request: ClientRequest
    client: ResponseWriter
    received_ms: float
    deadline_ms: float
    timer: DeadlineKey | None = None
    is_answered: bool = False
    attempt_count: int = 0
    attempts: dict[int, Attempt] = field(default_factory=dict)  # in flight, by number
    # The steps of its processing: ms since it was received, the step's name and the step's details.
    steps: list[tuple[float, str, tuple[object, ...]]] = field(default_factory=list)

    def to_event(self, now_ms: float) -> api.Request:
        """Returns the request as the decision module gets it, with the time that it has left."""
        request = self.request
        return api.Request(
            id=self.number,
            class_name=request.class_name,
            key=request.key,
            time_left_ms=self.deadline_ms - now_ms,
            size_kb=request.size_kb,
            group=request.group,
            part=request.part,
            is_client_retry=request.is_retry,
            is_write=request.method == "PUT",
            idempotency_key=request.idempotency_key,
            trace_id=request.trace_id,
        )


@dataclass(slots=True)
class AttemptResult:
    """How an attempt ended, as reported by the server side."""

    status: api.Status
    detail: api.OutcomeDetail = api.OutcomeDetail.NONE
    source_wait_ms: float | None = None  # time until the first byte from the source of the fill
    load_report: dict[str, float] | None = None
