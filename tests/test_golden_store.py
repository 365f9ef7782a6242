"""Golden data: stores that version 0.2.0 wrote are read, and are still written byte for byte like that."""

import asyncio
import errno
import json
from collections.abc import Sequence
from dataclasses import astuple
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner

from gladewalk import interface as api
from gladewalk.cli.commands import gladewalk
from gladewalk.config.options import build_options, read_option_tables
from gladewalk.core.counters import Counters
from gladewalk.core.deadlines import Deadlines
from gladewalk.policy import Dispatcher
from gladewalk.rehearsal.faulty_disk import FaultyDisk
from gladewalk.store import dns_lease_rows, maintenance, row_codecs, warm_start
from gladewalk.store.errors import StoreFileError
from gladewalk.store.persistence import PersistenceService
from gladewalk.store.recovery import recover_store, salvage_records
from gladewalk.store.segmented_log import LogConfig, SegmentedLog
from tests.store.support import disk_with, files_of

GOLDEN = json.loads((Path(__file__).parent / "golden" / "store.json").read_text())
NOW = 1_750_000_000_000.0
SETTLE_MS = 6_000.0
SMALL = LogConfig(600, 100_000)
PLAIN, COMPACTED = "0000000000000004.seg", "0000000000000002.c.seg"


def endpoint(uid: str, state: str, start_ms: float = 0.0) -> dict[str, Any]:
    return {"uid": uid, "model": "standard", "az": "edge-1", "state": state, "address": "127.0.0.1:9000",
            "capacity_hint": 8.0, "started_unix_ms": start_ms}  # fmt: skip


EVENTS: tuple[dict[str, Any], ...] = (
    {"index": 3, "endpoints": {"rev": 1, "all": True, "targets": [
        endpoint("c0", "SERVING"), endpoint("c1", "SERVING", NOW - 90_000.0), endpoint("c2", "SERVING")]}},
    {"index": 4, "endpoints": {"rev": 2, "targets": [endpoint("c1", "DRAINING")]}},
    {"index": 5, "evict": {"ref": "a1", "unix_ms": NOW - 500.0}},
    {"index": 6, "evict": {"shard": 7, "unix_ms": NOW + 9_000.0}},
    {"index": 7, "endpoints": {"rev": 3, "targets": [endpoint("c2", "DELETED")]}, "evict": {"unix_ms": NOW}},
    {"index": 8, "endpoints": {"rev": 4, "all": True, "targets": [endpoint("c0", "DRAINING")]}},
    {"index": 9, "evict": {"ref": "a1", "unix_ms": NOW - 20.0}},
)  # fmt: skip


def dispatcher_with_estimates() -> Dispatcher:
    page = api.RequestClass("page", 400.0, 3_000.0)
    core = Dispatcher(api.Settings(classes=(page,), zone="e", zones=("e",), hub_of_zone=(0,)), 1)
    servers = tuple(
        api.Server(name, api.Role.CACHE, "e", started_ms=start_ms, address=f"{name}:9")
        for name, start_ms in (("a", 0.0), ("b", NOW - 50_000.0))
    )
    core.handle(NOW, api.EndpointList(api.EndpointListKind.PERSISTED, servers))
    core.state.locations[7, 0] = {"a": NOW - 1_000.0, "b": NOW - 29_000.0}
    core.state.locations[8, 3] = {"b": NOW - 40_000.0}
    core.state.locations[2**60, 1] = {"b": NOW - 2.5}
    core.state.estimates.by_object[7, 0] = 55.0
    core.state.estimates.by_object[9, 2] = 1_234.5
    core.state.registry.servers["a"].fill_quota, core.state.registry.servers["b"].fill_quota = 9.0, 0.25
    core.state.registry.servers["b"].first_byte_ms = 17.5
    core.state.dns_lease_table().grant("a:9", "resolver", (7, 0), NOW + 200_000.0, 0.25)
    core.state.dns_lease_table().grant("b:9", "10.1.2.3", (2**60, 4), NOW + 60_000.0, 1.0)
    return core


def lease_rows(core: Dispatcher) -> list[tuple[str, str, bytes, float]]:
    rows = []
    for question, server in (
        (api.ResolveRequest(1, "page", 7, 3_000.0, "resolver", transfers=0.25), "a"),
        (api.ResolveRequest(2, "page", 2**60, 3_000.0, "10.1.2.3", part=4), "b"),
    ):
        lease = dns_lease_rows.find_lease(core, question, server)
        assert lease is not None
        rows.append(
            (
                dns_lease_rows.LEASE_SPACE,
                lease.row_key,
                dns_lease_rows.encode_lease(lease),
                lease.expires_at_ms,
            )
        )
    return rows


def warm_rows(core: Dispatcher) -> list[tuple[str, str, bytes, float]]:
    rows = [
        (
            warm_start.SNAPSHOT_SPACE,
            f"{warm_start.OBJECTS_KEY}-{n}",
            warm_start.encode_objects(core, n, NOW),
            NOW + warm_start.MAX_SNAPSHOT_AGE_MS,
        )
        for n in range(warm_start.PARTITION_COUNT)
    ]
    return [
        *rows,
        (
            warm_start.SNAPSHOT_SPACE,
            warm_start.SERVERS_KEY,
            warm_start.encode_servers(core, NOW),
            NOW + warm_start.MAX_SNAPSHOT_AGE_MS,
        ),
    ]


def event_rows(resumes_feed: bool) -> list[tuple[str, str, bytes | None, float]]:
    rows = []
    position = row_codecs.FeedPosition(0)
    for event in EVENTS:
        stored_rows = row_codecs.encode_event(event["index"], event, SETTLE_MS, NOW, resumes_feed)
        if row_codecs.has_full_list(event):
            stored_rows += row_codecs.delete_unlisted(event, ["c0", "c1", "c2"])
        position = row_codecs.next_position(event["index"], event, position)
        row = row_codecs.encode_position(position)
        rows += [(one.space, one.key, one.value, one.expires_at_ms) for one in (*stored_rows, row)]
    return rows


def as_text(rows: Sequence[tuple[str, str, bytes | None, float]]) -> list[list[Any]]:
    return [
        [space, key, None if value is None else value.hex(), expiry_ms]
        for space, key, value, expiry_ms in rows
    ]


def write_store() -> FaultyDisk:
    """Writes a store with records of every kind in plain segments after a compacted one, at a fixed time."""
    disk, core = FaultyDisk(), dispatcher_with_estimates()
    log = SegmentedLog(disk, lambda: NOW, SMALL)
    rows = [*event_rows(True), *lease_rows(core), *warm_rows(core)]
    for number, (space, key, value, expiry_ms) in enumerate(rows):
        if value is None:
            log.delete(space, key)
        else:
            log.put(space, key, value, expiry_ms)
        if number % 2:
            log.commit()
        if number == 16:
            log.compact(sorted(log.segments)[1])
    log.put("bytes", "\u00e9", b"\xff\x00" * 9)
    log.put("bytes", "over", b"x", NOW - 1.0)
    log.delete("bytes", "never there")
    log.commit()
    return disk


def hex_of(files: dict[str, bytes]) -> dict[str, str]:
    return {name: data.hex() for name, data in sorted(files.items())}


def golden_files() -> dict[str, bytes]:
    return {name: bytes.fromhex(text) for name, text in GOLDEN["files"].items()}


def values_by_space(log: SegmentedLog) -> dict[str, dict[str, str]]:
    spaces = sorted({space for space, _ in log.index.entries})
    return {space: {key: value.hex() for key, value in sorted(log.items(space).items())} for space in spaces}


def damaged_copies() -> dict[str, dict[str, bytes]]:
    """Returns torn, incomplete and corrupt copies of the store, one for each way of detection."""
    files = golden_files()
    newest = max(files)
    middle = len(files[PLAIN]) // 2

    def corrupt(name: str, offset: int) -> dict[str, bytes]:
        data = bytearray(files[name])
        data[offset] ^= 0x41
        return {**files, name: bytes(data)}

    return {
        "torn tail": {**files, newest: files[newest][:-5]},
        "torn first header": {**files, "00000000000000ff.seg": files[newest][:20]},
        "left over": {**files, "compacting.tmp": b"half"},
        "corrupt record": corrupt(PLAIN, middle),
        "corrupt last record": corrupt(newest, len(files[newest]) - 1),
        "corrupt header": corrupt(PLAIN, 12),
        "corrupt compacted record": corrupt(COMPACTED, len(files[COMPACTED]) - 1),
        "missing segment": {name: data for name, data in files.items() if name != PLAIN},
        "another number": {**files, "00000000000000ff.seg": files[newest]},
    }


def recover_and_salvage(files: dict[str, bytes]) -> dict[str, Any]:
    """Returns the results of recovery and salvage on these files."""
    salvaged = salvage_records(files)
    results: dict[str, Any] = {
        "salvaged": [
            salvaged.record_count,
            salvaged.losses,
            len(salvaged.index.entries),
            salvaged.index.last_sequence,
        ]
    }
    try:
        recovered = recover_store(files)
    except StoreFileError as error:
        return {**results, "fault": str(error)}
    log = SegmentedLog(disk_with(files), lambda: NOW, SMALL)
    return {
        **results, "sequence": recovered.index.last_sequence,
        "dropped": [list(astuple(one)) for one in recovered.dropped],
        "useless": recovered.obsolete_files, "next_number": recovered.next_number,
        "values": values_by_space(log),
    }  # fmt: skip


def test_the_rows_of_events_leases_and_the_snapshot_are_encoded_as_in_the_golden_data() -> None:
    core = dispatcher_with_estimates()
    rows: dict[str, Sequence[tuple[str, str, bytes | None, float]]] = {
        "events": event_rows(False),
        "lasting": event_rows(True),
        "leases": lease_rows(core),
        "warm": warm_rows(core),
    }
    for name, actual_rows in rows.items():
        assert as_text(actual_rows) == GOLDEN["rows"][name], name


def test_a_store_is_written_byte_for_byte_as_in_the_golden_data() -> None:
    assert hex_of(files_of(write_store())) == GOLDEN["files"]


def test_the_golden_store_is_read() -> None:
    log = SegmentedLog(disk_with(golden_files()), lambda: NOW, SMALL)
    assert values_by_space(log) == GOLDEN["values"]
    assert [log.index.last_sequence, log.durable_sequence, log.total_bytes, log.next_number] == GOLDEN[
        "figures"
    ]


def endpoints_of(servers: Sequence[row_codecs.ServerRow]) -> list[dict[str, Any]]:
    return [server.endpoint for server in servers]


def decode_golden_rows() -> dict[str, Any]:
    """Returns the rows of the golden store as each codec decodes and restores them."""
    log = SegmentedLog(disk_with(golden_files()), lambda: NOW, SMALL)
    purges = row_codecs.decode_purges(log.items(row_codecs.PURGE_SPACE), NOW + 1_000.0)
    position = row_codecs.decode_position(log.items(row_codecs.FEED_SPACE))
    servers = row_codecs.decode_servers(log.items(row_codecs.SERVER_SPACE)).values()
    core = dispatcher_with_estimates()
    core.state.locations.clear()
    core.state.estimates.by_object.clear()
    core.state.registry.servers["b"].fill_quota = 1.0
    counts = warm_start.restore_snapshot(core, log.items(warm_start.SNAPSHOT_SPACE), NOW + 1_000.0)
    return {
        "purges": sorted([list(astuple(one)) for one in purges], key=str),
        "position": [position.event_index, position.full_list_index],
        "servers": endpoints_of(row_codecs.newer_servers(servers, 0, 0, position.full_list_index)),
        "servers after 8": endpoints_of(row_codecs.newer_servers(servers, 0, 8)),
        "warm": list(counts),
        "memory": [[*key, dict(holders)] for key, holders in sorted(core.state.locations.items())],
        "sizes": [[*key, transfer_ms] for key, transfer_ms in sorted(core.state.estimates.by_object.items())],
        "shares": [core.state.registry.servers[name].fill_quota for name in "ab"],
        "leases": dns_lease_rows.restore_leases(core, log.items(dns_lease_rows.LEASE_SPACE), NOW + 61_000.0),
    }


def test_the_rows_of_the_golden_store_are_restored() -> None:
    assert decode_golden_rows() == GOLDEN["restored"]


@pytest.mark.parametrize("name", sorted(GOLDEN["damaged"]))
def test_a_damaged_store_is_truncated_or_rejected_with_the_same_texts(name: str) -> None:
    assert recover_and_salvage(damaged_copies()[name]) == GOLDEN["damaged"][name]


def test_each_kind_of_damage_is_in_the_golden_data() -> None:
    assert sorted(damaged_copies()) == sorted(GOLDEN["damaged"])


def write_files(files: dict[str, bytes], folder: Path) -> Path:
    folder.mkdir()
    for name, data in files.items():
        (folder / name).write_bytes(data)
    return folder


def tool_outputs(folder: Path) -> dict[str, Any]:
    """Returns exit code and output of each command on an intact store, torn ones and corrupt ones."""
    results: dict[str, Any] = {}
    copies = damaged_copies()
    stores = {
        "good": golden_files(),
        **{name: copies[name] for name in ("torn tail", "left over", "corrupt record", "corrupt header")},
    }
    for name, files in stores.items():
        path = write_files(files, folder / name.replace(" ", "-"))
        commands = (
            ["check"], ["dump"], ["repair"], ["compact"], ["repair", "--accept-loss"], ["check"], ["dump"],
        )  # fmt: skip
        for number, arguments in enumerate(commands):
            result = CliRunner().invoke(gladewalk, ["store", *arguments, str(path)])
            text = result.output.replace(str(path), "FOLDER")
            results[f"{name}, {number}: {' '.join(arguments)}"] = [result.exit_code, text.splitlines()]
        remaining_files = {one.name: one.read_bytes() for one in path.iterdir() if one.suffix == ".seg"}
        results[f"{name}, files"] = hex_of(remaining_files)
    return results


def test_the_commands_print_the_same_texts_and_leave_the_same_files(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(maintenance, "wall_clock_ms", lambda: NOW)
    assert tool_outputs(tmp_path) == GOLDEN["commands"]


def reject_append(disk: Any, name: str, data: bytes) -> None:
    raise OSError(errno.ENOSPC, "No space left on device")


class ServiceRun:
    """A run of the service, with its log events, counters, status and files."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.log_events: list[list[str]] = []
        self.counters = Counters()

    def open_service(self) -> PersistenceService:
        tables = read_option_tables({"store": {"folder": "store", "resume": True, "warm_ms": 0.0}})
        options = build_options(tables, "own.toml", self.folder)
        return PersistenceService(
            options, SETTLE_MS, lambda: NOW, self.counters, lambda *logged: self.log_events.append([*logged]),
            Deadlines(lambda when_ms: None),
        )  # fmt: skip

    async def wait_until_written(self, persistence: PersistenceService) -> None:
        while persistence.log.pending or persistence.log.in_flight is not None:
            await asyncio.sleep(0.001)

    async def run_service(self) -> dict[str, Any]:
        persistence = self.open_service()
        persistence.writer.start()
        for event in EVENTS:
            persistence.feed.record_event(event["index"], event)
            await self.wait_until_written(persistence)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(type(persistence.directory), "append", reject_append)
            assert not await persistence.writer.put("bytes", "refused", b"1")
            failing_status = msgspec.to_builtins(persistence.status())
        while persistence.writer.is_failing:
            await asyncio.sleep(0.01)
        service_status = msgspec.to_builtins(persistence.status())
        await persistence.close()
        files = {one.name: one.read_bytes() for one in (self.folder / "store").glob("*.seg")}
        with (self.folder / "store" / max(files)).open("ab") as file:
            file.write(b"half of a record")
        persistence = self.open_service()
        persistence.directory.close()
        return {
            "said": self.log_events, "counters": dict(sorted(self.counters.items())), "view": service_status,
            "failing": failing_status, "files": hex_of(files),
        }  # fmt: skip


def test_the_service_has_the_same_files_log_events_counters_and_status(tmp_path: Path) -> None:
    assert asyncio.run(ServiceRun(tmp_path).run_service()) == GOLDEN["service"]
