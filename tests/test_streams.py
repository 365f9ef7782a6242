"""Decisions about HTTP/2 connections, without I/O: properties over generated event sequences."""

import dataclasses

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from gladewalk.config.option_tables import Http2Options
from gladewalk.limits.token_bucket import TokenBucket
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

PROFILE = settings(
    max_examples=120, stateful_step_count=40, derandomize=True, deadline=None, database=None,
    suppress_health_check=list(HealthCheck),
)  # fmt: skip


FRACTIONS = st.sampled_from((0.0, 0.3, 0.7, 1.0, 1.0))
BODY_BYTES = st.sampled_from((0, 0, 0, 1, 20, 50))


class TrackerMachine(RuleBasedStateMachine):
    """A connection to a correct server; no stream that the server processed may count as unprocessed.

    The server receives a prefix of the sent bytes. It may process any stream whose whole head it has
    received, unless its own GOAWAY excludes the stream, and refuses only streams that it has not processed.
    After each connection, a new one is opened.
    """

    def __init__(self) -> None:
        super().__init__()
        self.start_connection()

    def start_connection(self) -> None:
        self.tracker = StreamTracker()
        self.sent_bytes = self.accepted_bytes = self.received_bytes = 0
        self.next_id = 1
        self.head_ends: dict[int, int] = {}  # by stream
        self.processed: set[int] = set()
        self.refused: set[int] = set()
        self.last_allowed_id: int | None = None
        self.outcomes: dict[int, StreamOutcome] = {}

    def record(self, *outcomes: StreamOutcome | None) -> None:
        for outcome in outcomes:
            if outcome is not None:
                assert outcome.stream_id not in self.outcomes, "two outcomes of one stream"
                self.outcomes[outcome.stream_id] = outcome

    @precondition(lambda self: self.last_allowed_id is None)
    @rule(
        requests=st.lists(st.tuples(st.integers(1, 50), BODY_BYTES), min_size=1, max_size=5),
        accepted_fraction=FRACTIONS,
        received_fraction=FRACTIONS,
    )
    def open(
        self, requests: list[tuple[int, int]], accepted_fraction: float, received_fraction: float
    ) -> None:
        """Sends requests, given as byte counts of head and body, and transmits part of their bytes."""
        for head_bytes, body_bytes in requests:
            head_end = self.sent_bytes + head_bytes
            self.tracker.open_stream(self.next_id, self.sent_bytes, head_end, not body_bytes)
            self.sent_bytes = self.head_ends[self.next_id] = head_end
            if body_bytes:
                self.sent_bytes += body_bytes
                self.tracker.body_ended(self.next_id, self.sent_bytes)
            self.next_id += 2
        self.transmit_bytes(accepted_fraction, received_fraction)

    @rule(accepted_fraction=FRACTIONS, received_fraction=FRACTIONS)
    def transmit(self, accepted_fraction: float, received_fraction: float) -> None:
        self.transmit_bytes(accepted_fraction, received_fraction)

    def transmit_bytes(self, accepted_fraction: float, received_fraction: float) -> None:
        """The kernel accepts a fraction of the unsent bytes, and the server receives a fraction of those."""
        self.accepted_bytes += round((self.sent_bytes - self.accepted_bytes) * accepted_fraction)
        self.received_bytes += round((self.accepted_bytes - self.received_bytes) * received_fraction)

    def processable(self) -> list[int]:
        return [
            stream_id
            for stream_id, head_end in self.head_ends.items()
            if head_end <= self.received_bytes
            and stream_id not in self.refused
            and (self.last_allowed_id is None or stream_id <= self.last_allowed_id)
        ]

    @rule(pick=st.integers(0, 30))
    def server_processes(self, pick: int) -> None:
        if streams := self.processable():
            self.processed.add(streams[pick % len(streams)])

    @rule(
        pick=st.integers(0, 30),
        code=st.sampled_from((REFUSED_STREAM, 8, ENHANCE_YOUR_CALM, 2, NO_ERROR)),
        is_processed_first=st.booleans(),
    )
    def server_resets(self, pick: int, code: int, is_processed_first: bool) -> None:
        is_refusal = code == REFUSED_STREAM
        streams = [
            stream_id for stream_id in self.processable() if not is_refusal or stream_id not in self.processed
        ]
        if streams:
            stream_id = streams[pick % len(streams)]
            if is_refusal:
                self.refused.add(stream_id)
            elif is_processed_first:
                self.processed.add(stream_id)
            self.record(self.tracker.reset(stream_id, code, self.accepted_bytes))

    @rule(pick=st.integers(0, 30), is_complete=st.booleans())
    def server_responds(self, pick: int, is_complete: bool) -> None:
        streams = [stream_id for stream_id in self.processable() if stream_id in self.tracker.streams]
        if streams:
            stream_id = streams[pick % len(streams)]
            self.processed.add(stream_id)
            self.tracker.response_started(stream_id)
            if is_complete:
                self.tracker.response_completed(stream_id)

    @rule(id_increment=st.integers(0, 9), code=st.sampled_from((0, 2, 11, 99)))
    def server_sends_goaway(self, id_increment: int, code: int) -> None:
        last_id = max(self.processed, default=0) + 2 * id_increment
        if self.last_allowed_id is not None:
            last_id = min(last_id, self.last_allowed_id)
        self.last_allowed_id = last_id
        self.record(*self.tracker.goaway(last_id, code, self.accepted_bytes))

    @rule(pick=st.integers(0, 30))
    def client_cancels(self, pick: int) -> None:
        if streams := list(self.tracker.streams):
            self.record(self.tracker.cancel(streams[pick % len(streams)], self.accepted_bytes))

    @rule(
        reason=st.sampled_from(
            (EndReason.CONNECTION_LOST, EndReason.KEEP_ALIVE_TIMEOUT, EndReason.PROTOCOL_ERROR)
        )
    )
    def connection_closes(self, reason: EndReason) -> None:
        # The server may still process all that it has received.
        self.processed |= set(self.processable())
        self.record(*self.tracker.connection_closed(reason, self.accepted_bytes))
        assert not self.tracker.streams
        self.unprocessed_streams_were_not_processed()
        self.start_connection()

    @invariant()
    def unprocessed_streams_were_not_processed(self) -> None:
        outcomes = self.outcomes.values()
        assert [o for o in outcomes if o.is_unprocessed and o.stream_id in self.processed] == []
        assert all(o.is_unprocessed == (o.reason in UNPROCESSED_REASONS) for o in outcomes)


class AllocatorMachine(RuleBasedStateMachine):
    """Connections whose servers change their stream limits at random; no stream is opened above a limit."""

    OPTIONS = Http2Options(max_connections=2, max_streams=6, calm_backoff_ms=50.0)

    def __init__(self) -> None:
        super().__init__()
        self.allocator = StreamAllocator(self.OPTIONS)
        self.now_ms = 0.0
        self.streams: dict[int, list[int]] = {}  # by connection
        self.open_slots: list[ConnectionSlots] = []
        self.drained: set[int] = set()

    def pick(self, pick: int) -> ConnectionSlots | None:
        return self.open_slots[pick % len(self.open_slots)] if self.open_slots else None

    @rule(waiting_count=st.integers(1, 20))
    def request(self, waiting_count: int) -> None:
        choice = self.allocator.choose(waiting_count, self.now_ms)
        available = [
            slots
            for slots in self.open_slots
            if slots.open_count < slots.max_streams and slots.number not in self.drained
        ]
        if isinstance(choice, ConnectionSlots):
            assert choice is available[0], "not the oldest connection with capacity"
            self.streams[choice.number].append(self.allocator.open_stream(choice))
            assert len(self.streams[choice.number]) <= choice.max_streams <= self.OPTIONS.max_streams
        elif choice is NextStep.OPEN:
            usable = sum(slots.number not in self.drained for slots in self.open_slots)
            assert not available and usable + self.allocator.dialling < self.OPTIONS.max_connections
            self.allocator.dial_begun()
        elif choice is NextStep.REJECT:
            assert self.now_ms < self.allocator.calm_until_ms
        else:
            assert not available

    @precondition(lambda self: self.allocator.dialling)
    @rule(max_streams=st.one_of(st.none(), st.integers(0, 9)))
    def connection_opens(self, max_streams: int | None) -> None:
        self.allocator.dial_ended()
        slots = self.allocator.add_connection(max_streams, self.now_ms)
        self.open_slots.append(slots)
        self.streams[slots.number] = []

    @precondition(lambda self: self.allocator.dialling)
    @rule()
    def dial_fails(self) -> None:
        self.allocator.dial_ended()

    @rule(pick=st.integers(0, 9), max_streams=st.integers(0, 9))
    def limit_changes(self, pick: int, max_streams: int) -> None:
        if slots := self.pick(pick):
            self.allocator.set_max_streams(slots, max_streams)

    @rule(pick=st.integers(0, 9), pick_stream=st.integers(0, 9))
    def stream_ends(self, pick: int, pick_stream: int) -> None:
        if (slots := self.pick(pick)) and (streams := self.streams[slots.number]):
            streams.pop(pick_stream % len(streams))
            self.allocator.close_stream(slots, self.now_ms)

    @rule(pick=st.integers(0, 9))
    def connection_drains(self, pick: int) -> None:
        if slots := self.pick(pick):
            self.allocator.drain(slots, self.now_ms)
            self.drained.add(slots.number)

    @rule(pick=st.integers(0, 9))
    def connection_closes(self, pick: int) -> None:
        if slots := self.pick(pick):
            self.open_slots.remove(slots)
            self.allocator.remove_connection(slots)

    @rule()
    def server_sends_enhance_your_calm(self) -> None:
        self.allocator.calm_requested(self.now_ms)

    @rule(duration_ms=st.floats(0, 400))
    def time_passes(self, duration_ms: float) -> None:
        self.now_ms += duration_ms

    @invariant()
    def counts_agree(self) -> None:
        assert list(self.allocator.connections.values()) == self.open_slots
        for slots in self.open_slots:
            assert slots.open_count == len(self.streams[slots.number])
            assert len(set(self.streams[slots.number])) == slots.open_count
        for slots in self.allocator.closable_connections(self.now_ms, 1e9):
            is_drained = not slots.open_count and slots.number in self.drained
            assert is_drained or self.now_ms > self.OPTIONS.max_drain_ms


TestTracker = TrackerMachine.TestCase
TestTracker.settings = settings(PROFILE, max_examples=400)
TestAllocator = AllocatorMachine.TestCase
TestAllocator.settings = PROFILE


def test_a_request_whose_head_the_kernel_did_not_accept_is_unprocessed() -> None:
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
    for accepted, reason in expected.items():
        tracker = StreamTracker()
        tracker.open_stream(1, 10, 20, is_complete=False)
        tracker.body_ended(1, 30)
        (outcome,) = tracker.connection_closed(EndReason.CONNECTION_LOST, accepted)
        assert outcome.reason is reason
        assert outcome.progress is progress.get(accepted, outcome.progress)


def test_a_goaway_with_a_higher_last_id_proves_nothing() -> None:
    tracker = StreamTracker()
    for stream in (1, 3, 5):
        tracker.open_stream(stream, 0, 1, is_complete=True)
    assert [outcome.stream_id for outcome in tracker.goaway(1, NO_ERROR, 9)] == [3, 5]
    assert (tracker.goaway(3, NO_ERROR, 9), tracker.raised_goaways, tracker.last_allowed_id) == ([], 1, 1)
    (outcome,) = tracker.connection_closed(EndReason.CONNECTION_LOST, 9)
    assert not outcome.is_unprocessed


def test_the_backoff_after_enhance_your_calm_doubles_and_is_reset_by_a_response() -> None:
    allocator = StreamAllocator(Http2Options(calm_backoff_ms=100.0))
    now, durations = 0.0, []
    for _ in range(7):
        allocator.calm_requested(now)
        allocator.calm_requested(now)  # received on several streams at once, it counts once
        durations.append(allocator.calm_until_ms - now)
        assert allocator.choose(1, now) is NextStep.REJECT
        now = allocator.calm_until_ms
    assert durations == [100.0, 200.0, 400.0, 800.0, 1_600.0, 1_600.0, 1_600.0]
    allocator.response_completed(now)
    allocator.calm_requested(now)
    assert allocator.calm_until_ms - now == 100.0


def test_a_connection_half_full_of_abandoned_streams_is_replaced() -> None:
    allocator = StreamAllocator(Http2Options())
    slots = allocator.add_connection(8, 0.0)
    for _ in range(8):
        allocator.open_stream(slots)
    for _ in range(3):
        allocator.abandon_stream(slots, 1.0)
    assert slots.draining_since_ms is None
    allocator.abandon_stream(slots, 2.0)
    assert slots.draining_since_ms == 2.0
    assert allocator.choose(1, 2.0) is NextStep.OPEN  # a connection that replaces it
    for _ in range(8):
        allocator.close_stream(slots, 3.0, was_abandoned=True)
    assert allocator.closable_connections(3.0, 1e9) == [slots]


def test_a_draining_connection_is_closed_after_its_limit() -> None:
    allocator = StreamAllocator(Http2Options(max_drain_ms=100.0))
    slots = allocator.add_connection(8, 0.0)
    allocator.open_stream(slots)
    allocator.drain(slots, 10.0)
    assert allocator.closable_connections(110.0, 1e9) == []
    assert allocator.closable_connections(110.1, 1e9) == [slots]


def test_the_offer_depends_on_uid_before_model_and_a_fallback_expires() -> None:
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


def test_a_token_bucket_admits_its_burst_then_its_rate_even_if_the_clock_is_set_back() -> None:
    bucket = TokenBucket(3, 2.0, 0.0)
    assert [bucket.take(0.0) for _ in range(4)] == [True, True, True, False]
    assert [bucket.take(t) for t in (499.0, 500.0, 501.0, 400.0)] == [False, True, False, False]
    assert sum(bucket.take(1e6) for _ in range(9)) == 3


def test_only_a_connection_with_an_outstanding_response_is_pinged_and_any_byte_counts_as_reply() -> None:
    keep_alive = KeepAlive(100.0, 50.0, 0.0)
    assert keep_alive.check(False, 1e6) is KeepAliveAction.NONE
    keep_alive.request_sent(1e6)
    assert keep_alive.check(True, 1e6 + 99.0) is KeepAliveAction.NONE
    assert keep_alive.check(True, 1e6 + 100.0) is KeepAliveAction.PING
    assert keep_alive.check(True, 1e6 + 149.0) is KeepAliveAction.NONE
    keep_alive.data_received(1e6 + 149.5)
    assert keep_alive.check(True, 1e6 + 240.0) is KeepAliveAction.NONE
    assert keep_alive.check(True, 1e6 + 250.0) is KeepAliveAction.PING
    keep_alive.request_sent(1e6 + 260.0)  # one more request does not extend the limit
    assert keep_alive.check(True, 1e6 + 300.0) is KeepAliveAction.CLOSE


def test_options_are_compared_by_value() -> None:
    assert Http2Options() == Http2Options() != Http2Options(ping_after_ms=5.0)
    assert dataclasses.is_dataclass(StreamOutcome)
