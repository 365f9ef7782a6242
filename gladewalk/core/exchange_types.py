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
    """A client's request as it was parsed; what is forwarded unchanged is kept as it came."""

    trace_id: str
    method: str
    class_name: str
    object_name: str
    key: int  # of the object: its name as a number
    part: int
    max_wait_ms: float
    size_kb: float = 0.0
    group: int = 0
    etag: str | None = None  # of the copy that the client has cached
    body: bytes = b""
    idempotency_key: str = ""  # the same for all of a client's attempts of one request
    is_retry: bool = False
    arrived_ms: float = 0.0  # when its last byte came, steady milliseconds


@dataclass(slots=True)
class ResponseHead:
    """The head of a successful response; `content_length` is None where the server sent none."""

    is_not_modified: bool
    content_length: int | None
    etag: str | None


class FinalAnswer(Enum):
    """How a request ends that gets no server's response; counted as `answers.<value>`."""

    REJECTED = "refused"
    FAILED = "failed"


class ResponseWriter(Protocol):
    """The client side of one open request: where its response is written."""

    def send_response(self, head: ResponseHead, body: bytes, on_sent: Callable[[], None]) -> None:
        """Sends a server's complete response.

        `on_sent` is called once, as soon as no more of it than usual is buffered for a slow client, or its
        connection has ended.
        """

    def send_final(self, final: FinalAnswer, retry_after_ms: float) -> None:
        """Answers a request that gets no server's response; 0 stands for no advice when to retry."""

    def is_disconnected(self) -> bool:
        """Whether the client has closed its connection, read from the socket's state."""


class ResolveResponder(Protocol):
    """The client side of one resolve request (where to fetch an object from)."""

    def resolved(self, servers: Sequence[tuple[str, Address]], ttl_ms: float) -> None:
        """Answers with servers by name and address; an empty sequence names the director itself."""

    def rejected(self) -> None:
        """Answers that no server can be named now."""


class UpstreamPool(Protocol):
    """The server side: connections to caches, parents and the origin."""

    def address(self, name: str) -> Address | None:
        """Returns where a server is dialled, None for an unknown one."""

    def set_address(self, name: str, address: Address | None, model: str = "") -> None:
        """Sets where a server of this model is dialled from now on; None removes it."""

    def keep_only(self, names: Collection[str]) -> None:
        """Removes every server that is not named."""

    def start(self, attempt: Attempt) -> None:
        """Sends an attempt's request, at once or as soon as it has a connection."""

    def cancel(self, attempt: Attempt) -> None:
        """Abandons an attempt silently: the exchange is not called about it any more."""

    def set_reading(self, attempt: Attempt, on: bool) -> None:
        """Resumes (`on`) or pauses reading an attempt's response, while there is no room to hold it."""

    def probe(self, name: str, done: Callable[[api.Status, float, Any], None], path: str = ...) -> None:
        """Sends a health check; `done` gets its status, duration in ms and load report."""

    def close_idle(self, name: str) -> None:
        """Closes a server's idle connections."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One request to one cache, parent or origin on behalf of a client's request."""

    open_request: OpenRequest
    number: int  # 0 for the first attempt of a request
    action: api.Lookup | api.Fetch
    started_ms: float
    deadline_ms: float
    timer: DeadlineKey | None = None
    carrier: Any = None  # the pool's own: the connection or queue entry that carries it
    response: ResponseBuffer | None = None  # what has arrived of its response, once its head has


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A client's request from its arrival until its last attempt has ended."""

    number: int
    request: ClientRequest
    client: ResponseWriter
    received_ms: float
    deadline_ms: float
    timer: DeadlineKey | None = None
    is_answered: bool = False
    attempt_count: int = 0
    attempts: dict[int, Attempt] = field(default_factory=dict)  # in flight, by number
    # What happened to it: ms since its arrival, the step, and what the step concerns.
    steps: list[tuple[float, str, tuple[object, ...]]] = field(default_factory=list)


@dataclass(slots=True)
class AttemptResult:
    """How an attempt ended, as the server side saw it."""

    status: api.Status
    detail: api.OutcomeDetail = api.OutcomeDetail.NONE
    source_wait_ms: float | None = None  # until the first byte of the fill's source
    load_report: dict[str, float] | None = None
