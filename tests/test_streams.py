"""The decisions on shared connections, without I/O: properties over drawn histories."""

import dataclasses

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from gladewalk.config.option_tables import Http2Options
from gladewalk.streams.keep_alive import Bucket, Liveness, Pulse
from gladewalk.streams.negotiation import Negotiation, Offer
from gladewalk.streams.stream_allocator import Next, Shared, Sharing
from gladewalk.streams.stream_tracker import (
    ENHANCE_YOUR_CALM,
    NO_ERROR,
    PROOFS,
    REFUSED_STREAM,
    Finding,
    Ledger,
    Reached,
    Reason,
)

PROFILE = settings(
    max_examples=120, stateful_step_count=40, derandomize=True, deadline=None, database=None,
    suppress_health_check=list(HealthCheck),
)  # fmt: skip


class LedgerMachine(RuleBasedStateMachine):
    """A connection to an honest server that runs what it likes; no run stream may be found 'never ran'.

    The server sees a prefix of the bytes. It runs any stream whose whole head it has seen, unless a GOAWAY of
    its own excluded it; it refuses only what it did not run.
    """

    def __init__(self) -> None:
        super().__init__()
        self.ledger = Ledger()
        self.written = self.taken = self.arrived = 0
        self.next = 1
        self.heads: dict[int, int] = {}  # stream -> where its head ends
        self.run: set[int] = set()
        self.refused: set[int] = set()
        self.last: int | None = None
        self.found: dict[int, Finding] = {}
        self.over = False

    def note(self, *found: Finding | None) -> None:
        for finding in found:
            if finding is not None:
                assert finding.stream not in self.found, "two verdicts on one stream"
                self.found[finding.stream] = finding

    @precondition(lambda self: not self.over and self.last is None)
    @rule(head=st.integers(1, 50), body=st.integers(0, 50))
    def open(self, head: int, body: int) -> None:
        self.ledger.opened(self.next, self.written, self.written + head, not body)
        self.written += head
        self.heads[self.next] = self.written
        if body:
            self.written += body
            self.ledger.body_ended(self.next, self.written)
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
            self.note(self.ledger.reset(stream, code, self.taken))

    @precondition(lambda self: not self.over)
    @rule(pick=st.integers(0, 30))
    def server_answers(self, pick: int) -> None:
        if can := [n for n in self.reachable() if n in self.run and n in self.ledger.lines]:
            self.ledger.answer_began(can[pick % len(can)])
            if pick % 2:
                self.ledger.answered(can[pick % len(can)])

    @precondition(lambda self: not self.over)
    @rule(more=st.integers(0, 9), code=st.sampled_from((0, 2, 11, 99)))
    def server_goes(self, more: int, code: int) -> None:
        least = max(self.run, default=0)
        last = least + 2 * more
        if self.last is not None:
            last = min(last, self.last)
        self.last = last
        self.note(*self.ledger.goaway(last, code, self.taken))

    @precondition(lambda self: not self.over)
    @rule(pick=st.integers(0, 30))
    def we_give_up(self, pick: int) -> None:
        if open_now := list(self.ledger.lines):
            self.note(self.ledger.given_up(open_now[pick % len(open_now)], self.taken))

    @precondition(lambda self: not self.over)
    @rule(reason=st.sampled_from((Reason.LOST, Reason.SILENT, Reason.BROKE_RULES)))
    def connection_ends(self, reason: Reason) -> None:
        self.over = True
        # Before the verdict the server may still run all that has arrived.
        self.run |= set(self.reachable())
        self.note(*self.ledger.closed(reason, self.taken))
        assert not self.ledger.lines

    @invariant()
    def never_ran_is_true(self) -> None:
        assert [f for f in self.found.values() if f.never_ran and f.stream in self.run] == []
        assert all(f.never_ran == (f.reason in PROOFS) for f in self.found.values())


class SharingMachine(RuleBasedStateMachine):
    """Connections whose servers change their limits at will; no stream is opened over a limit."""

    TERMS = Http2Options(max_connections=2, max_streams=6, calm_backoff_ms=50.0)

    def __init__(self) -> None:
        super().__init__()
        self.sharing = Sharing(self.TERMS)
        self.now = 0.0
        self.streams: dict[int, list[int]] = {}
        self.alive: list[Shared] = []
        self.drained: set[int] = set()

    def pick(self, n: int) -> Shared | None:
        return self.alive[n % len(self.alive)] if self.alive else None

    @rule(waiting=st.integers(1, 20))
    def ask(self, waiting: int) -> None:
        found = self.sharing.choose(waiting, self.now)
        room = [s for s in self.alive if s.open < s.limit and s.number not in self.drained]
        if isinstance(found, Shared):
            assert found is room[0], "the oldest with room comes first"
            self.streams[found.number].append(self.sharing.started(found))
            assert len(self.streams[found.number]) <= found.limit <= self.TERMS.max_streams
        elif found is Next.OPEN:
            held = sum(s.number not in self.drained for s in self.alive) + self.sharing.dialling
            assert not room and held < self.TERMS.max_connections
            self.sharing.dial_begun()
        elif found is Next.REFUSE:
            assert self.now < self.sharing.calm_until
        else:
            assert not room

    @precondition(lambda self: self.sharing.dialling)
    @rule(limit=st.one_of(st.none(), st.integers(0, 9)))
    def joins(self, limit: int | None) -> None:
        self.sharing.dial_ended()
        shared = self.sharing.joined(limit, self.now)
        self.alive.append(shared)
        self.streams[shared.number] = []

    @precondition(lambda self: self.sharing.dialling)
    @rule()
    def dial_fails(self) -> None:
        self.sharing.dial_ended()

    @rule(n=st.integers(0, 9), limit=st.integers(0, 9))
    def limit_changes(self, n: int, limit: int) -> None:
        if shared := self.pick(n):
            self.sharing.limited(shared, limit)

    @rule(n=st.integers(0, 9), m=st.integers(0, 9))
    def stream_ends(self, n: int, m: int) -> None:
        if (shared := self.pick(n)) and (mine := self.streams[shared.number]):
            mine.pop(m % len(mine))
            self.sharing.ended(shared, self.now)

    @rule(n=st.integers(0, 9))
    def drains(self, n: int) -> None:
        if shared := self.pick(n):
            self.sharing.drain(shared, self.now)
            self.drained.add(shared.number)

    @rule(n=st.integers(0, 9))
    def is_lost(self, n: int) -> None:
        if shared := self.pick(n):
            self.alive.remove(shared)
            self.sharing.left(shared)

    @rule()
    def calm(self) -> None:
        self.sharing.asked_for_calm(self.now)

    @rule(by=st.floats(0, 400))
    def time_goes(self, by: float) -> None:
        self.now += by

    @invariant()
    def counts_agree(self) -> None:
        assert list(self.sharing.connections.values()) == self.alive
        for shared in self.alive:
            assert shared.open == len(self.streams[shared.number])
            assert len(set(self.streams[shared.number])) == shared.open
        for shared in self.sharing.to_close(self.now, 1e9):
            assert (not shared.open and shared.number in self.drained) or self.now > self.TERMS.max_drain_ms


TestLedger = LedgerMachine.TestCase
TestLedger.settings = PROFILE
TestSharing = SharingMachine.TestCase
TestSharing.settings = PROFILE


def test_a_head_that_the_kernel_did_not_take_whole_never_ran() -> None:
    expected = {0: Reason.NOT_TAKEN, 10: Reason.NOT_TAKEN, 11: Reason.HEAD_NOT_WHOLE,
                19: Reason.HEAD_NOT_WHOLE, 20: Reason.LOST, 29: Reason.LOST, 30: Reason.LOST}  # fmt: skip
    reached = {20: Reached.HEAD, 29: Reached.HEAD, 30: Reached.WHOLE}
    for taken, reason in expected.items():
        ledger = Ledger()
        ledger.opened(1, 10, 20, whole=False)
        ledger.body_ended(1, 30)
        (finding,) = ledger.closed(Reason.LOST, taken)
        assert finding.reason is reason
        assert finding.reached is reached.get(taken, finding.reached)


def test_a_goaway_that_takes_its_promise_back_proves_nothing_more() -> None:
    ledger = Ledger()
    for stream in (1, 3, 5):
        ledger.opened(stream, 0, 1, whole=True)
    assert [f.stream for f in ledger.goaway(1, NO_ERROR, 9)] == [3, 5]
    assert (ledger.goaway(3, NO_ERROR, 9), ledger.raised, ledger.last_allowed) == ([], 1, 1)
    assert [f.never_ran for f in ledger.closed(Reason.LOST, 9)] == [False]


def test_calm_doubles_while_it_is_asked_for_and_ends_with_an_answer() -> None:
    sharing = Sharing(Http2Options(calm_backoff_ms=100.0))
    now, spans = 0.0, []
    for _ in range(7):
        sharing.asked_for_calm(now)
        sharing.asked_for_calm(now)  # said by many streams at once: it counts once
        spans.append(sharing.calm_until - now)
        assert sharing.choose(1, now) is Next.REFUSE
        now = sharing.calm_until
    assert spans == [100.0, 200.0, 400.0, 800.0, 1_600.0, 1_600.0, 1_600.0]
    sharing.answered(now)
    sharing.asked_for_calm(now)
    assert sharing.calm_until - now == 100.0


def test_streams_that_nobody_wants_do_not_fill_a_connection_for_good() -> None:
    sharing = Sharing(Http2Options())
    shared = sharing.joined(8, 0.0)
    for _ in range(8):
        sharing.started(shared)
    for _ in range(3):
        sharing.abandoned(shared, 1.0)
    assert shared.draining_since is None
    sharing.abandoned(shared, 2.0)
    assert shared.draining_since == 2.0
    assert sharing.choose(1, 2.0) is Next.OPEN  # its successor
    for _ in range(8):
        sharing.ended(shared, 3.0, abandoned=True)
    assert sharing.to_close(3.0, 1e9) == [shared]


def test_a_draining_connection_is_cut_after_its_time() -> None:
    sharing = Sharing(Http2Options(max_drain_ms=100.0))
    shared = sharing.joined(8, 0.0)
    sharing.started(shared)
    sharing.drain(shared, 10.0)
    assert sharing.to_close(110.0, 1e9) == []
    assert sharing.to_close(110.1, 1e9) == [shared]


def test_offers_go_by_uid_then_model_and_a_fallback_lasts_its_time() -> None:
    terms = Http2Options(mode="tls", by_model={"m": "h2c"}, by_uid={"u": "off"}, http1_fallback_ms=1_000.0)
    negotiation = Negotiation(terms)
    assert negotiation.offer("u", "m", 0.0) is Offer.HTTP1
    assert negotiation.offer("v", "m", 0.0) is Offer.H2C
    assert negotiation.offer("v", "n", 0.0) is Offer.TLS
    negotiation.speaks_http1("v", "ALPN", 0.0)
    assert negotiation.offer("v", "n", 999.0) is Offer.TLS_HTTP1
    assert negotiation.offer("v", "m", 999.0) is Offer.HTTP1
    assert negotiation.offer("v", "m", 1_000.0) is Offer.H2C
    assert negotiation.fallbacks == {}


def test_a_bucket_gives_its_burst_and_then_its_rate_whatever_the_clock_does() -> None:
    bucket = Bucket(3, 2.0, 0.0)
    assert [bucket.take(0.0) for _ in range(4)] == [True, True, True, False]
    assert [bucket.take(t) for t in (499.0, 500.0, 501.0, 400.0)] == [False, True, False, False]
    assert sum(bucket.take(1e6) for _ in range(9)) == 3


def test_only_who_owes_something_is_asked_and_any_word_will_do() -> None:
    live = Liveness(100.0, 50.0, 0.0)
    assert live.pulse(False, 1e6) is Pulse.QUIET
    live.woke(1e6)
    assert live.pulse(True, 1e6 + 99.0) is Pulse.QUIET
    assert live.pulse(True, 1e6 + 100.0) is Pulse.PING
    assert live.pulse(True, 1e6 + 149.0) is Pulse.QUIET
    live.heard(1e6 + 149.5)
    assert live.pulse(True, 1e6 + 240.0) is Pulse.QUIET
    assert live.pulse(True, 1e6 + 250.0) is Pulse.PING
    live.woke(1e6 + 260.0)  # one more request does not put the verdict off
    assert live.pulse(True, 1e6 + 300.0) is Pulse.DEAD


def test_terms_are_compared_by_value() -> None:
    assert Http2Options() == Http2Options() != Http2Options(ping_after_ms=5.0)
    assert dataclasses.is_dataclass(Finding)
