"""Bounds for the times of events on a busy machine, where the soak's own event loop may read them late.

What the event loop reads in one iteration arrived after the previous iteration polled the system. So each
record of something read has two times: when it was read, and the earliest time at which it can have arrived.
The module also records how long processes waited for a processor.
"""

from __future__ import annotations

import asyncio
import os
import selectors
import socket
import threading
import time
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import SupportsIndex

MAX_SELECT_S = 0.01
ACCEPT_ITERATIONS = 3  # asyncio accepts a connection, sets it up in a task, and reports it
READ_LIMIT_BYTES = 1_000_000  # never reached: a paused read would hide when bytes arrived
SAMPLE_INTERVAL_S = 0.02
MIN_WAIT_S = 0.05  # shorter waits for a processor are not recorded
NS_PER_S = 1e9
SELF = "soak"


class ArrivalSelector(selectors.DefaultSelector):
    """A selector that records, for each iteration, the earliest time at which its events can have arrived.

    Attributes:
        empty_until_s: That time for the last iterations, the current one last; monotonic seconds.
    """

    def __init__(self) -> None:
        super().__init__()
        self._last_select_s = time.monotonic()
        self.empty_until_s = deque([self._last_select_s] * ACCEPT_ITERATIONS, maxlen=ACCEPT_ITERATIONS)

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Polls as the base class does, but waits for `MAX_SELECT_S` at most."""
        empty_until_s, self._last_select_s = self._last_select_s, time.monotonic()
        ready = super().select(0)
        if not ready and (timeout is None or timeout > 0):
            empty_until_s, self._last_select_s = self._last_select_s, time.monotonic()
            ready = super().select(MAX_SELECT_S if timeout is None else min(MAX_SELECT_S, timeout))
        self.empty_until_s.append(empty_until_s)
        return ready


class SoakLoop(asyncio.SelectorEventLoop):
    """The soak's event loop, which records when events can have arrived."""

    def __init__(self) -> None:
        self.arrival_selector = ArrivalSelector()
        super().__init__(self.arrival_selector)


def _empty_until_s() -> deque[float]:
    loop = asyncio.get_running_loop()
    assert isinstance(loop, SoakLoop)
    return loop.arrival_selector.empty_until_s


def earliest_arrival_s() -> float:
    """Returns the earliest time at which data read in this iteration can have arrived, monotonic seconds."""
    return _empty_until_s()[-1]


def earliest_accept_s() -> float:
    """Returns the same for a connection that got its transport in this iteration, and for its first bytes."""
    return _empty_until_s()[0]


class TimedReader(asyncio.StreamReader):
    """A stream that records the earliest time at which its last bytes, or its end, can have arrived.

    Attributes:
        earliest_arrival_s: That time, monotonic seconds.
    """

    earliest_arrival_s = 0.0

    @property
    def has_unread_bytes(self) -> bool:
        """Whether received bytes are still unread, as when the loop runs a timeout before the reader."""
        return bool(self._buffer)  # type: ignore[attr-defined]  # the base class has no public equivalent

    def feed_data(self, data: Iterable[SupportsIndex]) -> None:
        """Buffers received bytes and records when they can have arrived."""
        self.earliest_arrival_s = earliest_arrival_s()
        super().feed_data(data)

    def feed_eof(self) -> None:
        """Records when the end of the stream can have arrived."""
        self.earliest_arrival_s = earliest_arrival_s()
        super().feed_eof()

    def set_exception(self, error: Exception) -> None:
        """Records when an error that ends the stream can have arrived."""
        self.earliest_arrival_s = earliest_arrival_s()
        super().set_exception(error)


def has_ended(writer: asyncio.StreamWriter) -> bool:
    """Whether the peer has closed the connection, even if the loop has not read that yet."""
    connection = writer.get_extra_info("socket")
    try:
        with socket.socket(fileno=os.dup(connection.fileno())) as same:
            return same.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


async def open_timed_connection(host: str, port: int) -> tuple[TimedReader, asyncio.StreamWriter]:
    """Opens a connection whose reader records arrival times.

    Raises:
        OSError: It can't be opened.
    """
    loop = asyncio.get_running_loop()
    reader = TimedReader(READ_LIMIT_BYTES, loop)
    protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
    transport, _ = await loop.create_connection(lambda: protocol, host, port)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)


@dataclass(frozen=True, slots=True)
class ProcessorWait:
    """How long a process was ready to run but had no processor within a span of time; monotonic seconds.

    Linux counts a wait when it is over, so it may have begun long before the previous sample.
    """

    name: str
    from_s: float
    until_s: float
    waited_s: float
    ran_s: float

    def overlap_s(self, from_s: float, until_s: float) -> float:
        """Returns the most of the wait that can lie within a span of time."""
        return min(self.waited_s, max(0.0, min(self.until_s, until_s) - max(self.from_s, from_s)))

    def describe(self) -> str:
        """Returns the wait in one line."""
        return (
            f"{self.name} waited {self.waited_s * 1000:.0f} ms for a processor and ran"
            f" {self.ran_s * 1000:.0f} ms in {(self.until_s - self.from_s) * 1000:.0f} ms"
        )


class SchedulingMonitor(threading.Thread):
    """Samples `/proc/PID/schedstat` (proc(5)) of the soak and its directors.

    Attributes:
        waits: The waits of at least `MIN_WAIT_S` between two samples.
    """

    def __init__(self, process_ids: Callable[[], Mapping[str, int]]) -> None:
        super().__init__(daemon=True)
        self.waits: list[ProcessorWait] = []
        self._process_ids = process_ids
        self._is_over = threading.Event()
        self._last: dict[tuple[str, int], tuple[float, float, float]] = {}

    def run(self) -> None:
        """Samples until `finish` is called."""
        while not self._is_over.wait(SAMPLE_INTERVAL_S):
            for name, pid in {**self._process_ids(), SELF: os.getpid()}.items():
                self._sample(name, pid)

    def finish(self) -> None:
        """Ends the sampling."""
        self._is_over.set()
        self.join()

    def _sample(self, name: str, pid: int) -> None:
        try:
            ran, waited, _ = Path(f"/proc/{pid}/schedstat").read_text(encoding="ascii").split()
        except (OSError, ValueError):
            return
        now = (time.monotonic(), int(waited) / NS_PER_S, int(ran) / NS_PER_S)
        before = self._last.get((name, pid))
        self._last[name, pid] = now
        if before is not None and (waited_s := now[1] - before[1]) >= MIN_WAIT_S:
            from_s, ran_s = min(before[0], now[0] - waited_s), now[2] - before[2]
            self.waits.append(ProcessorWait(name, from_s, now[0], waited_s, ran_s))
