"""The decisions on HTTP/2 connections, without I/O: properties over drawn histories."""

import dataclasses

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from gladewalk.config.option_tables import Http2Options
from gladewalk.streams.keep_alive import KeepAlive, KeepAliveAction
from gladewalk.streams.negotiation import ProtocolNegotiation, ProtocolOffer
from gladewalk.streams.stream_allocator import ConnectionSlots, NextStep, StreamAllocator
from gladewalk.streams.stream_tracker import (
    ENHANCE_YOUR_CALM,
    NO_ERROR,
    REFUSED_STREAM,
    UNPROCESSED_REASONS,
    EndReason,
    StreamOutcome,
    StreamTracker,
    TransmissionProgress,
)
from gladewalk.streams.token_bucket import TokenBucket

PROFILE = settings(
    max_examples=120, stateful_step_count=40, derandomize=True, deadline=None, database=None,
    suppress_health_check=list(HealthCheck),
)  # fmt: skip


class TrackerMachine(RuleBasedStateMachine):
    """A connection to an honest server that runs what it likes; no processed stream may count as unprocessed.

    The server sees a prefix of the bytes. It runs any stream whose whole head it has seen, unless a GOAWAY of
    its own excluded it; it refuses only what it did not run.
    """

    def __init__(self) -> None:
        super().__init__()
        self.tracker = StreamTracker()
        self.written = self.taken = self.arrived = 0
        self.next = 1
        self.heads: dict[int, int] = {}  # stream -> where its head ends
        self.run: set[int] = set()
        self.refused: set[int] = set()
        self.last: int | None = None
        self.found: dict[int, StreamOutcome] = {}
        self.over = False

    def note(self, *found: StreamOutcome | None) -> None:
        for outcome in found:
            if outcome is not None:
                assert outcome.stream_id not in self.found, "two verdicts on one stream"
                self.found[outcome.stream_id] = outcome

    @precondition(lambda self: not self.over and self.last is None)
    @rule(head=st.integers(1, 50), body=st.integers(0, 50))
    def open(self, head: int, body: int) -> None:
        self.tracker.open_stream(self.next, self.written, self.written + head, not body)
        self.written += head
        self.heads[self.next] = self.written
        if body:
            self.written += body
            self.tracker.body_ended(self.next, self.written)
        self.next += 2

    @rule(part=st.floats(0, 1), arrived=st.floats(0, 1))
    def pass_on(self, part: float, arrived: float) -> None:
        """The kernel takes some more, and some more of that arrives."""
        self.taken += round((self.written - self.taken) * part)
        self.arrived += round((self.taken - self.arrived) * arrived)

    def reachable(self) -> list[int]:
        allowed = [n for n, end in self.heads.items() if end <= self.arrived and n not in self.refused]
        return [n for n in allowed if self.last is None or n <= self.last]

    @precondition(lambda self: not self.over)
    @rule(pick=st.integers(0, 30))
    def server_runs(self, pick: int) -> None:
        if can := self.reachable():
            self.run.add(can[pick % len(can)])

    @precondition(lambda self: not self.over)
    @rule(pick=st.integers(0, 30), code=st.sampled_from((NO_ERROR, 2, REFUSED_STREAM, 8, ENHANCE_YOUR_CALM)))
    def server_resets(self, pick: int, code: int) -> None:
        can = [n for n in self.reachable() if code != REFUSED_STREAM or n not in self.run]
        if can:
            stream = can[pick % len(can)]
            if code == REFUSED_STREAM:
                self.refused.add(stream)
            self.note(self.tracker.reset(stream, code, self.taken))

    @precondition(lambda self: not self.over)
    @rule(pick=st.integers(0, 30))
    def server_answers(self, pick: int) -> None:
        if can := [n for n in self.reachable() if n in self.run and n in self.tracker.streams]:
            self.tracker.response_started(can[pick % len(can)])
            if pick % 2:
                self.tracker.response_completed(can[pick % len(can)])

    @precondition(lambda self: not self.over)
    @rule(more=st.integers(0, 9), code=st.sampled_from((0, 2, 11, 99)))
    def server_goes(self, more: int, code: int) -> None:
        least = max(self.run, default=0)
        last = least + 2 * more
        if self.last is not None:
            last = min(last, self.last)
        self.last = last
        self.note(*self.tracker.goaway(last, code, self.taken))

    @precondition(lambda self: not self.over)
    @rule(pick=st.integers(0, 30))
    def we_give_up(self, pick: int) -> None:
        if open_now := list(self.tracker.streams):
            self.note(self.tracker.cancel(open_now[pick % len(open_now)], self.taken))

    @precondition(lambda self: not self.over)
    @rule(
        reason=st.sampled_from(
            (EndReason.CONNECTION_LOST, EndReason.KEEP_ALIVE_TIMEOUT, EndReason.PROTOCOL_ERROR)
        )
    )
    def connection_ends(self, reason: EndReason) -> None:
        self.over = True
        # Before the verdict the server may still run all that has arrived.
        self.run |= set(self.reachable())
        self.note(*self.tracker.connection_closed(reason, self.taken))
        assert not self.tracker.streams

    @invariant()
    def unprocessed_is_true(self) -> None:
        assert [f for f in self.found.values() if f.is_unprocessed and f.stream_id in self.run] == []
        assert all(f.is_unprocessed == (f.reason in UNPROCESSED_REASONS) for f in self.found.values())


class AllocatorMachine(RuleBasedStateMachine):
    """Connections whose servers change their limits at will; no stream is opened over a limit."""

    OPTIONS = Http2Options(max_connections=2, max_streams=6, calm_backoff_ms=50.0)

    def __init__(self) -> None:
        super().__init__()
        self.allocator = StreamAllocator(self.OPTIONS)
        self.now = 0.0
        self.streams: dict[int, list[int]] = {}
        self.alive: list[ConnectionSlots] = []
        self.drained: set[int] = set()

    def pick(self, n: int) -> ConnectionSlots | None:
        return self.alive[n % len(self.alive)] if self.alive else None

    @rule(waiting=st.integers(1, 20))
    def ask(self, waiting: int) -> None:
        found = self.allocator.choose(waiting, self.now)
        room = [s for s in self.alive if s.open_count < s.max_streams and s.number not in self.drained]
        if isinstance(found, ConnectionSlots):
            assert found is room[0], "the oldest with room comes first"
            self.streams[found.number].append(self.allocator.open_stream(found))
            assert len(self.streams[found.number]) <= found.max_streams <= self.OPTIONS.max_streams
        elif found is NextStep.OPEN:
            held = sum(s.number not in self.drained for s in self.alive) + self.allocator.dialling
            assert not room and held < self.OPTIONS.max_connections
            self.allocator.dial_begun()
        elif found is NextStep.REJECT:
            assert self.now < self.allocator.calm_until_ms
        else:
            assert not room

    @precondition(lambda self: self.allocator.dialling)
    @rule(limit=st.one_of(st.none(), st.integers(0, 9)))
    def joins(self, limit: int | None) -> None:
        self.allocator.dial_ended()
        slots = self.allocator.add_connection(limit, self.now)
        self.alive.append(slots)
        self.streams[slots.number] = []

    @precondition(lambda self: self.allocator.dialling)
    @rule()
    def dial_fails(self) -> None:
        self.allocator.dial_ended()

    @rule(n=st.integers(0, 9), limit=st.integers(0, 9))
    def limit_changes(self, n: int, limit: int) -> None:
        if slots := self.pick(n):
            self.allocator.set_max_streams(slots, limit)

    @rule(n=st.integers(0, 9), m=st.integers(0, 9))
    def stream_ends(self, n: int, m: int) -> None:
        if (slots := self.pick(n)) and (mine := self.streams[slots.number]):
            mine.pop(m % len(mine))
            self.allocator.close_stream(slots, self.now)

    @rule(n=st.integers(0, 9))
    def drains(self, n: int) -> None:
        if slots := self.pick(n):
            self.allocator.drain(slots, self.now)
            self.drained.add(slots.number)

    @rule(n=st.integers(0, 9))
    def is_lost(self, n: int) -> None:
        if slots := self.pick(n):
            self.alive.remove(slots)
            self.allocator.remove_connection(slots)

    @rule()
    def calm(self) -> None:
        self.allocator.calm_requested(self.now)

    @rule(by=st.floats(0, 400))
    def time_goes(self, by: float) -> None:
        self.now += by

    @invariant()
    def counts_agree(self) -> None:
        assert list(self.allocator.connections.values()) == self.alive
        for slots in self.alive:
            assert slots.open_count == len(self.streams[slots.number])
            assert len(set(self.streams[slots.number])) == slots.open_count
        for slots in self.allocator.closable_connections(self.now, 1e9):
            assert (
                not slots.open_count and slots.number in self.drained
            ) or self.now > self.OPTIONS.max_drain_ms


TestTracker = TrackerMachine.TestCase
TestTracker.settings = PROFILE
TestAllocator = AllocatorMachine.TestCase
TestAllocator.settings = PROFILE


def test_a_head_that_the_kernel_did_not_take_whole_never_ran() -> None:
    expected = {
        0: EndReason.NOT_TRANSMITTED,
        10: EndReason.NOT_TRANSMITTED,
        11: EndReason.HEAD_INCOMPLETE,
        19: EndReason.HEAD_INCOMPLETE,
        20: EndReason.CONNECTION_LOST,
        29: EndReason.CONNECTION_LOST,
        30: EndReason.CONNECTION_LOST,
    }
    progress = {
        20: TransmissionProgress.HEAD,
        29: TransmissionProgress.HEAD,
        30: TransmissionProgress.COMPLETE,
    }
    for taken, reason in expected.items():
        tracker = StreamTracker()
        tracker.open_stream(1, 10, 20, is_complete=False)
        tracker.body_ended(1, 30)
        (outcome,) = tracker.connection_closed(EndReason.CONNECTION_LOST, taken)
        assert outcome.reason is reason
        assert outcome.progress is progress.get(taken, outcome.progress)


def test_a_goaway_that_takes_its_promise_back_proves_nothing_more() -> None:
    tracker = StreamTracker()
    for stream in (1, 3, 5):
        tracker.open_stream(stream, 0, 1, is_complete=True)
    assert [f.stream_id for f in tracker.goaway(1, NO_ERROR, 9)] == [3, 5]
    assert (tracker.goaway(3, NO_ERROR, 9), tracker.raised_goaways, tracker.last_allowed_id) == ([], 1, 1)
    assert [f.is_unprocessed for f in tracker.connection_closed(EndReason.CONNECTION_LOST, 9)] == [False]


def test_calm_doubles_while_it_is_asked_for_and_ends_with_an_answer() -> None:
    allocator = StreamAllocator(Http2Options(calm_backoff_ms=100.0))
    now, spans = 0.0, []
    for _ in range(7):
        allocator.calm_requested(now)
        allocator.calm_requested(now)  # said by many streams at once: it counts once
        spans.append(allocator.calm_until_ms - now)
        assert allocator.choose(1, now) is NextStep.REJECT
        now = allocator.calm_until_ms
    assert spans == [100.0, 200.0, 400.0, 800.0, 1_600.0, 1_600.0, 1_600.0]
    allocator.response_completed(now)
    allocator.calm_requested(now)
    assert allocator.calm_until_ms - now == 100.0


def test_streams_that_nobody_wants_do_not_fill_a_connection_for_good() -> None:
    allocator = StreamAllocator(Http2Options())
    slots = allocator.add_connection(8, 0.0)
    for _ in range(8):
        allocator.open_stream(slots)
    for _ in range(3):
        allocator.abandon_stream(slots, 1.0)
    assert slots.draining_since_ms is None
    allocator.abandon_stream(slots, 2.0)
    assert slots.draining_since_ms == 2.0
    assert allocator.choose(1, 2.0) is NextStep.OPEN  # its successor
    for _ in range(8):
        allocator.close_stream(slots, 3.0, was_abandoned=True)
    assert allocator.closable_connections(3.0, 1e9) == [slots]


def test_a_draining_connection_is_cut_after_its_time() -> None:
    allocator = StreamAllocator(Http2Options(max_drain_ms=100.0))
    slots = allocator.add_connection(8, 0.0)
    allocator.open_stream(slots)
    allocator.drain(slots, 10.0)
    assert allocator.closable_connections(110.0, 1e9) == []
    assert allocator.closable_connections(110.1, 1e9) == [slots]


def test_offers_go_by_uid_then_model_and_a_fallback_lasts_its_time() -> None:
    options = Http2Options(mode="tls", by_model={"m": "h2c"}, by_uid={"u": "off"}, http1_fallback_ms=1_000.0)
    negotiation = ProtocolNegotiation(options)
    assert negotiation.offer("u", "m", 0.0) is ProtocolOffer.HTTP1
    assert negotiation.offer("v", "m", 0.0) is ProtocolOffer.H2C
    assert negotiation.offer("v", "n", 0.0) is ProtocolOffer.TLS
    negotiation.fall_back("v", "ALPN", 0.0)
    assert negotiation.offer("v", "n", 999.0) is ProtocolOffer.TLS_HTTP1
    assert negotiation.offer("v", "m", 999.0) is ProtocolOffer.HTTP1
    assert negotiation.offer("v", "m", 1_000.0) is ProtocolOffer.H2C
    assert negotiation.fallbacks == {}


def test_a_bucket_gives_its_burst_and_then_its_rate_whatever_the_clock_does() -> None:
    bucket = TokenBucket(3, 2.0, 0.0)
    assert [bucket.take(0.0) for _ in range(4)] == [True, True, True, False]
    assert [bucket.take(t) for t in (499.0, 500.0, 501.0, 400.0)] == [False, True, False, False]
    assert sum(bucket.take(1e6) for _ in range(9)) == 3


def test_only_who_owes_something_is_asked_and_any_word_will_do() -> None:
    keep_alive = KeepAlive(100.0, 50.0, 0.0)
    assert keep_alive.check(False, 1e6) is KeepAliveAction.NONE
    keep_alive.request_sent(1e6)
    assert keep_alive.check(True, 1e6 + 99.0) is KeepAliveAction.NONE
    assert keep_alive.check(True, 1e6 + 100.0) is KeepAliveAction.PING
    assert keep_alive.check(True, 1e6 + 149.0) is KeepAliveAction.NONE
    keep_alive.data_received(1e6 + 149.5)
    assert keep_alive.check(True, 1e6 + 240.0) is KeepAliveAction.NONE
    assert keep_alive.check(True, 1e6 + 250.0) is KeepAliveAction.PING
    keep_alive.request_sent(1e6 + 260.0)  # one more request does not put the verdict off
    assert keep_alive.check(True, 1e6 + 300.0) is KeepAliveAction.CLOSE


def test_options_are_compared_by_value() -> None:
    assert Http2Options() == Http2Options() != Http2Options(ping_after_ms=5.0)
    assert dataclasses.is_dataclass(StreamOutcome)
