"""What meets in the exchange: requests, attempts, their ends, and what each side is asked to do."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from .. import interface as api
from ..config.platform import Address
from .deadlines import Key


@dataclass(slots=True)
class Ask:
    """A client's request as it was read; what is passed on unchanged is kept as it came."""

    trace: str
    method: str
    class_name: str
    object_name: str
    key: int
    part: int
    wait_ms: float
    size_kb: float = 0.0
    group: int = 0
    tag: str | None = None  # of the copy that the client holds
    body: bytes = b""
    replay_key: str = ""  # the same for all of a client's tries of one request
    is_retry: bool = False


@dataclass(slots=True)
class Head:
    """The start of a good answer: `length` is None where the cache did not tell it."""

    unchanged: bool
    length: int | None
    tag: str | None


class Final(Enum):
    REFUSED = "refused"
    FAILED = "failed"


class Client(Protocol):
    """What the exchange asks of the client side, for one request."""

    def begin(self, head: Head) -> None: ...
    def body(self, data: bytes) -> None: ...
    def end(self) -> None: ...
    def cut(self) -> None:
        """An answer that has begun cannot be finished: let the client see that."""

    def finish(self, final: Final, retry_after_ms: float) -> None: ...
    def has_left(self) -> bool:
        """Whether it has closed, though nothing has told of its end yet."""


class Asker(Protocol):
    """What the exchange asks of the client side, for one question where to fetch an object."""

    def named(self, boxes: Sequence[tuple[str, Address]], ttl_ms: float) -> None:
        """Caches and their addresses; none: the director itself."""

    def refused(self) -> None: ...


class Upstreams(Protocol):
    """What the exchange asks of the server side."""

    def address(self, name: str) -> Address | None: ...
    def locate(self, name: str, address: Address | None, model: str = "") -> None:
        """Where to dial a server of this model from now on; None: it is gone."""

    def keep_only(self, names: Collection[str]) -> None: ...
    def start(self, attempt: Attempt) -> None: ...
    def stop(self, attempt: Attempt) -> None:
        """Give an attempt up without a word; nothing of it is heard any more."""

    def flow(self, attempt: Attempt, on: bool) -> None: ...
    def probe(self, name: str, done: Callable[[api.Status, float, Any], None], path: str = ...) -> None: ...
    def close_idle(self, name: str) -> None: ...


@dataclass(slots=True, eq=False)
class Attempt:
    """One request to one cache, parent or origin."""

    taken: Taken
    number: int
    order: api.Lookup | api.Fetch
    sent_ms: float
    deadline_ms: float
    due: Key | None = None
    carrier: Any = None  # the server side's own


@dataclass(slots=True, eq=False)
class Taken:
    """A request that was taken; it stays until all its attempts have ended."""

    number: int
    ask: Ask
    client: Client
    since_ms: float
    deadline_ms: float
    due: Key | None = None
    answered: bool = False
    winner: Attempt | None = None  # whose answer is being passed on
    sends: int = 0
    out: dict[int, Attempt] = field(default_factory=dict)


@dataclass(slots=True)
class End:
    """How an attempt ended, as the server side saw it."""

    status: api.Status
    note: api.OutcomeDetail = api.OutcomeDetail.NONE
    waited_ms: float | None = None
    load: dict[str, float] | None = None
