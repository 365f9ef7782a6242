"""The list of a new configuration holds, whatever an earlier run stored under numbers of its own."""

from __future__ import annotations

import dataclasses
from pathlib import Path
from typing import Any

import msgspec
import pytest

from gladewalk.config.platform import read_address
from gladewalk.rehearsal.director_harness import wait_until
from gladewalk.store.epochs import Epoch, begins_epoch, describe_events
from gladewalk.store.file_system import StoreDirectory
from gladewalk.store.row_codecs import FEED_POSITION_KEY, FEED_SPACE, SERVER_SPACE, ServerRow
from gladewalk.store.segmented_log import SegmentedLog

from .runs import StoredRuns, Target, list_of, publish_and_apply, servers_of, target, without_coordinator
from .support import async_test

MOVED, RESTARTED = "127.0.4.99:9", 1_764_576_000_000
FIRST_LIST = [target("c0"), target("c1")]
CHANGES: dict[str, tuple[Target, list[Target]]] = {
    # What the first run is told of c1, and the list of the next start.
    "drains": (target("c1"), [target("c0"), target("c1", "DRAINING")]),
    "is gone": (target("c1"), [target("c0")]),
    "is deleted": (target("c1"), [target("c0"), target("c1", "DELETED")]),
    "has moved": (target("c1"), [target("c0"), target("c1", endpoint=MOVED)]),
    "has restarted": (target("c1"), [target("c0"), target("c1", boot_ms=RESTARTED)]),
    "serves again after a drain": (target("c1", "DRAINING"), FIRST_LIST),
    "serves again after it was deleted": (target("c1", "DELETED"), FIRST_LIST),
    "is back at its address": (target("c1", endpoint=MOVED), FIRST_LIST),
}


@pytest.mark.parametrize("change", CHANGES)
@async_test
async def test_no_stored_server_replaces_the_list_of_a_new_start_or_of_the_one_after(
    tmp_path: Path, change: str
) -> None:
    # Guards against work for a cache that drains or is gone by the list of the start (review/8).
    stored_entry, next_list = CHANGES[change]
    async with StoredRuns(tmp_path / "empty") as runs:
        expected = list_of((await runs.start_anew(*next_list))[0])
    async with StoredRuns(tmp_path) as runs:
        first, coordinator = await runs.start_anew(*FIRST_LIST)
        for _ in range(3):  # so that the stored numbers are above those of the next starts
            await publish_and_apply(first, coordinator, stored_entry)
        await runs.kill_when_stored(first)
        config = without_coordinator(runs.new_configuration(await runs.coordinator_with(*next_list)))
        second = await runs.start(config)
        assert list_of(second) == expected
        assert second.counters["store.servers_outdated"] == 1
        await runs.kill_when_stored(second)
        third = await runs.start(config)
        assert list_of(third) == expected
        runs.kill(third)
        fourth, _ = await runs.start_anew(*next_list)
        assert list_of(fourth) == expected


@async_test
async def test_a_kill_before_the_new_epoch_is_stored_brings_no_stored_server_back(tmp_path: Path) -> None:
    # Guards against rows of the first run that count at the third start, as the second stored nothing.
    async with StoredRuns(tmp_path) as runs:
        first, coordinator = await runs.start_anew(*FIRST_LIST)
        await publish_and_apply(first, coordinator, target("c1", "DRAINING"))
        await runs.kill_when_stored(first)
        config = without_coordinator(runs.new_configuration(await runs.coordinator_with(*FIRST_LIST)))
        for _ in range(2):
            restarted = await runs.start(config)
            assert servers_of(restarted)["c1"].info.state.value == "ready"
            runs.kill(restarted)


@async_test
async def test_a_drain_outlasts_a_kill_under_the_file_that_a_reload_has_brought(tmp_path: Path) -> None:
    # Guards against a drain that is forgotten because SIGHUP replaced the file of the start.
    async with StoredRuns(tmp_path) as runs:
        first, coordinator = await runs.start_anew(*FIRST_LIST)
        reloaded = runs.new_configuration(coordinator)
        first.apply(reloaded)
        await publish_and_apply(first, coordinator, target("c1", "DRAINING"))
        await runs.kill_when_stored(first)
        restarted = await runs.start(without_coordinator(reloaded))
        assert servers_of(restarted)["c1"].info.state.value == "draining"


@pytest.mark.parametrize("resumes_feed", [False, True])
@async_test
async def test_a_folder_of_a_version_without_epochs_opens_and_counts_with_resume_alone(
    tmp_path: Path, resumes_feed: bool
) -> None:
    # Guards against an old folder that is refused, or whose rows replace the list of a new start.
    directory = StoreDirectory(tmp_path / "store")
    log = SegmentedLog(directory, lambda: 0.0)
    log.put(SERVER_SPACE, "c1", msgspec.msgpack.encode([7, target("c1", "DRAINING")]))
    log.put(FEED_SPACE, FEED_POSITION_KEY, msgspec.msgpack.encode([7, 0]))
    log.commit()
    directory.close()
    async with StoredRuns(tmp_path, resume=resumes_feed) as runs:
        config = without_coordinator(runs.new_configuration(await runs.coordinator_with(*FIRST_LIST)))
        director = await runs.start(config)
        expected = "draining" if resumes_feed else "ready"
        assert servers_of(director)["c1"].info.state.value == expected
        assert director.endpoint_feed.last_index == (7 if resumes_feed else 1)


@async_test
async def test_a_stored_server_that_the_coordinator_does_not_tell_again_is_as_in_the_configuration(
    tmp_path: Path,
) -> None:
    # Guards against a drain of another count that lasts for good under the file of the run before.
    async with StoredRuns(tmp_path) as runs:
        first, coordinator = await runs.start_anew(*FIRST_LIST)
        config = first.config
        await publish_and_apply(first, coordinator, target("c1", "DRAINING"), target("c2"))
        await runs.kill_when_stored(first)
        anew = await runs.coordinator_with(*FIRST_LIST)
        second = await runs.start(dataclasses.replace(config, coordinator=read_address(anew.address)))
        assert servers_of(second)["c1"].info.state.value == "draining"  # until the coordinator is heard
        await wait_until(lambda: second.readiness.is_synced)
        ready = {"c0": ("ready", "127.0.4.1:9", 0.0), "c1": ("ready", "127.0.4.2:9", 0.0)}
        assert list_of(second) == ready
        assert second.counters["coordinator.not_told_again"] == 2
        await runs.kill_when_stored(second)
        third = await runs.start(without_coordinator(config))
        assert list_of(third) == ready


@async_test
async def test_a_stored_server_that_the_coordinator_tells_again_stays_as_it_was_told(tmp_path: Path) -> None:
    # Guards against a drain that is taken back by the first heartbeat after a kill.
    async with StoredRuns(tmp_path) as runs:
        first, coordinator = await runs.start_anew(*FIRST_LIST)
        await publish_and_apply(first, coordinator, target("c1", "DRAINING"))
        await runs.kill_when_stored(first)
        second = await runs.start(first.config)
        await wait_until(lambda: second.readiness.is_synced)
        coordinator.send_raw(b"2\n")
        await publish_and_apply(second, coordinator, target("c2"))
        assert servers_of(second)["c1"].info.state.value == "draining"
        assert second.counters["coordinator.not_told_again"] == 0


@async_test
async def test_with_resume_a_coordinator_that_counts_anew_brings_back_the_list_of_the_configuration(
    tmp_path: Path,
) -> None:
    # Guards against the list of a run before that stays when its numbers turn out to be another count's.
    async with StoredRuns(tmp_path, resume=True) as runs:
        first, coordinator = await runs.start_anew(*FIRST_LIST)
        for entry in (target("c1", "DRAINING"), target("c0", "DELETED"), target("c2")):
            await publish_and_apply(first, coordinator, entry)
        await runs.kill_when_stored(first)
        anew = await runs.coordinator_with(*FIRST_LIST)
        config = dataclasses.replace(first.config, coordinator=read_address(anew.address))
        second = await runs.start(config)
        assert anew.followed_from == [] and set(list_of(second)) == {"c1", "c2"}
        await wait_until(lambda: second.endpoint_feed.last_index == 1)
        ready = {"c0": ("ready", "127.0.4.1:9", 0.0), "c1": ("ready", "127.0.4.2:9", 0.0)}
        assert list_of(second) == ready
        await publish_and_apply(second, anew, target("c1", "DRAINING"))
        await runs.kill_when_stored(second)
        third = await runs.start(without_coordinator(config))
        assert list_of(third) == {**ready, "c1": ("draining", "127.0.4.2:9", 0.0)}
        assert third.endpoint_feed.last_index == 2


NEXT_EVENT = {"index": 2, "endpoints": {"rev": 2, "all": False, "targets": [target("c1", "DRAINING")]}}
FIRST_EVENT = {"index": 1, "endpoints": {"rev": 1, "all": True, "targets": FIRST_LIST}}
OTHER_FIRST_EVENT = {"index": 1, "endpoints": {"rev": 1, "all": True, "targets": FIRST_LIST[:1]}}
OTHER_NEXT_EVENT = {"index": 2, "endpoints": {"rev": 2, "all": False, "targets": [target("c1")]}}
FULL_LIST_EVENT = {**FIRST_EVENT, "index": 9}


@pytest.mark.parametrize(
    ("last_index", "events", "begins"),
    [
        (1, [FIRST_EVENT], False),
        (2, [FIRST_EVENT, NEXT_EVENT], False),
        (9, [FULL_LIST_EVENT], False),  # the coordinator no longer has the first events
        (1, [OTHER_FIRST_EVENT], True),
        (9, [OTHER_FIRST_EVENT], True),
        (2, [FIRST_EVENT, OTHER_NEXT_EVENT], True),  # the stored server has number 2, and another state
        (0, [], True),
    ],
)
def test_with_resume_a_count_goes_on_unless_a_number_has_another_event(
    last_index: int, events: list[dict[str, Any]], begins: bool
) -> None:
    # Guards against a position in one count that is taken for one in another.
    stored = Epoch(3, describe_events(5, 1, [FIRST_EVENT]))
    servers = [ServerRow(2, target("c1", "DRAINING"), epoch=3)]
    known = describe_events(6, last_index, events)
    assert begins_epoch(stored, servers, known, events, resumes_feed=True) is begins
    assert begins_epoch(stored, servers, known, events, resumes_feed=False)


@async_test
async def test_with_resume_a_position_of_another_count_is_not_followed_from(tmp_path: Path) -> None:
    # Guards against events 2 to 4 of a new count that are never requested, as the old one had got to 4.
    async with StoredRuns(tmp_path, resume=True) as runs:
        first, coordinator = await runs.start_anew(*FIRST_LIST)
        for _ in range(3):
            await publish_and_apply(first, coordinator, target("c1"))
        await runs.kill_when_stored(first)
        anew = await runs.coordinator_with(target("c0"), target("c1"), target("c2"))
        config = runs.new_configuration(anew)
        for entry in (target("c1", "DRAINING"), target("c2"), target("c2"), target("c0")):
            anew.publish(endpoints={"rev": 2, "all": False, "targets": [entry]})
        second = await runs.start(config)
        await wait_until(lambda: second.endpoint_feed.last_index == 5)
        assert anew.followed_from == [1]
        assert servers_of(second)["c1"].info.state.value == "draining"


DAY_MS = 86_400_000.0


@async_test
async def test_with_resume_a_deleted_server_of_the_configuration_is_gone_for_longer_than_a_day(
    tmp_path: Path,
) -> None:
    # Guards against a cache of an old file that serves again because its deletion has expired in the store.
    async with StoredRuns(tmp_path, resume=True) as runs:
        first, coordinator = await runs.start_anew(*FIRST_LIST)
        reloaded = runs.new_configuration(coordinator)
        await publish_and_apply(first, coordinator, target("c1", "DELETED"), target("c2"))
        await publish_and_apply(first, coordinator, target("c2", "DELETED"))
        first.apply(reloaded)
        await runs.kill_when_stored(first)
        directory = StoreDirectory(tmp_path / "store")
        later = SegmentedLog(directory, lambda: first.clock() + 2.0 * DAY_MS)
        assert set(later.items(SERVER_SPACE)) == {"c1"}  # the configuration does not list c2
        directory.close()
        assert set(list_of(await runs.start(without_coordinator(reloaded)))) == {"c0"}


@async_test
async def test_with_resume_the_usable_part_of_an_event_that_is_given_up_outlasts_a_kill(
    tmp_path: Path,
) -> None:
    # Guards against a drain that is never told again, as the position is past its event.
    async with StoredRuns(tmp_path, resume=True) as runs:
        first, coordinator = await runs.start_anew(*FIRST_LIST)
        unusable = target("c2", "UNKNOWN STATE")
        await publish_and_apply(first, coordinator, unusable, target("c1", "DRAINING"))
        await publish_and_apply(first, coordinator, target("c3"))
        await runs.kill_when_stored(first)
        second = await runs.start(without_coordinator(first.config))
        assert second.endpoint_feed.last_index == 3
        states = {uid: state for uid, (state, _, _) in list_of(second).items()}
        assert states == {"c0": "ready", "c1": "draining", "c3": "ready"}


@async_test
async def test_an_event_that_cannot_be_stored_is_requested_again_after_a_kill_and_ends_no_connection(
    tmp_path: Path,
) -> None:
    # Guards against a drain that is lost by a kill because its entry has a number that no row can hold.
    async with StoredRuns(tmp_path, resume=True) as runs:
        first, coordinator = await runs.start_anew(*FIRST_LIST)
        await publish_and_apply(first, coordinator, target("c1", "DRAINING", note=2**70))
        await publish_and_apply(first, coordinator, target("c3"))
        assert coordinator.followed_from == [1]
        await runs.kill_when_stored(first)
        second = await runs.start(first.config)
        await wait_until(lambda: second.endpoint_feed.last_index == 3)
        assert coordinator.followed_from == [1, 1]
        assert servers_of(second)["c1"].info.state.value == "draining"
