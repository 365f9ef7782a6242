"""Random orders of changes, commits, compactions, kills and power losses, compared with a dictionary."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule, run_state_machine_as_test

from gladewalk.rehearsal.faulty_disk import FaultyDisk
from gladewalk.store.segmented_log import SegmentedLog

from .support import NOW_MS, SMALL


class StoreMachine(RuleBasedStateMachine):
    """Put, delete, expire, commit, compact, kill, power loss and reopen, compared with a dictionary."""

    keys = st.sampled_from("abcde")

    @initialize()
    def open_store(self) -> None:
        self.disk, self.now_ms = FaultyDisk(), NOW_MS
        self.durable: dict[str, tuple[bytes, float]] = {}
        self.pending: list[tuple[str, tuple[bytes, float] | None]] = []
        self.log = SegmentedLog(self.disk, lambda: self.now_ms, SMALL)

    @rule(key=keys, size=st.integers(0, 200), lifetime_ms=st.sampled_from((0.0, 50.0)))
    def put(self, key: str, size: int, lifetime_ms: float) -> None:
        value = (bytes([size % 256]) * size, self.now_ms + lifetime_ms if lifetime_ms else 0.0)
        self.log.put("s", key, *value)
        self.pending.append((key, value))

    @rule(key=keys)
    def delete(self, key: str) -> None:
        self.log.delete("s", key)
        self.pending.append((key, None))

    @rule()
    def commit(self) -> None:
        self.log.commit()
        self.acknowledge_pending()

    @rule(fraction=st.floats(0.0, 1.0))
    def compact(self, fraction: float) -> None:
        numbers = sorted(self.log.segments)
        if numbers:
            self.log.compact(numbers[int(fraction * (len(numbers) - 1))])
            self.acknowledge_pending()

    @rule(duration_ms=st.sampled_from((1.0, 60.0)))
    def wait(self, duration_ms: float) -> None:
        self.now_ms += duration_ms
        self.log.choose_compaction()  # drops expired entries

    @rule(seed=st.integers(0, 10_000))
    def lose_power(self, seed: int) -> None:
        self.reopen(self.disk.after_power_loss(seed))

    @rule()
    def kill(self) -> None:
        self.reopen(self.disk.after_kill())

    def acknowledge_pending(self) -> None:
        """Applies all pending changes to the dictionary: they are acknowledged."""
        for key, value in self.pending:
            if value is None:
                self.durable.pop(key, None)
            else:
                self.durable[key] = value
        self.pending.clear()

    def reopen(self, disk: FaultyDisk) -> None:
        """Reopens the store: it has all acknowledged changes, and no others, as those were never written."""
        self.disk, self.log = disk, SegmentedLog(disk, lambda: self.now_ms, SMALL)
        self.pending.clear()
        self.check()

    def check(self) -> None:
        expected = {
            key: value
            for key, (value, expires_at_ms) in self.durable.items()
            if not expires_at_ms or self.now_ms < expires_at_ms
        }
        assert self.log.items("s") == expected

    def teardown(self) -> None:
        if hasattr(self, "log"):
            self.log.commit()
            self.acknowledge_pending()
            self.check()


def test_any_order_of_operations_keeps_all_acknowledged_changes() -> None:
    run_state_machine_as_test(
        StoreMachine,
        settings=settings(max_examples=150, stateful_step_count=30, deadline=None, derandomize=True),
    )
