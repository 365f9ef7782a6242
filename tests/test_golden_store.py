"""Stores as version 0.2.0 wrote them: read as they are, and written again equal byte for byte."""

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


def target(uid: str, state: str, started: float = 0.0) -> dict[str, Any]:
    return {"uid": uid, "model": "standard", "az": "edge-1", "state": state, "address": "127.0.0.1:9000",
            "capacity_hint": 8.0, "started_unix_ms": started}  # fmt: skip


EVENTS: tuple[dict[str, Any], ...] = (
    {"index": 3, "endpoints": {"rev": 1, "all": True, "targets": [
        target("c0", "SERVING"), target("c1", "SERVING", NOW - 90_000.0), target("c2", "SERVING")]}},
    {"index": 4, "endpoints": {"rev": 2, "targets": [target("c1", "DRAINING")]}},
    {"index": 5, "evict": {"ref": "a1", "unix_ms": NOW - 500.0}},
    {"index": 6, "evict": {"shard": 7, "unix_ms": NOW + 9_000.0}},
    {"index": 7, "endpoints": {"rev": 3, "targets": [target("c2", "DELETED")]}, "evict": {"unix_ms": NOW}},
    {"index": 8, "endpoints": {"rev": 4, "all": True, "targets": [target("c0", "DRAINING")]}},
    {"index": 9, "evict": {"ref": "a1", "unix_ms": NOW - 20.0}},
)  # fmt: skip


def core_with_knowledge() -> Dispatcher:
    page = api.RequestClass("page", 400.0, 3_000.0)
    core = Dispatcher(api.Settings(classes=(page,), zone="e", zones=("e",), hub_of_zone=(0,)), 1)
    servers = tuple(
        api.Server(name, api.Role.CACHE, "e", started_ms=started, address=f"{name}:9")
        for name, started in (("a", 0.0), ("b", NOW - 50_000.0))
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


def event_rows(lasting: bool) -> list[tuple[str, str, bytes | None, float]]:
    rows = []
    position = row_codecs.FeedPosition(0)
    for event in EVENTS:
        kept = row_codecs.encode_event(event["index"], event, SETTLE_MS, NOW, lasting)
        if row_codecs.has_full_list(event):
            kept += row_codecs.delete_unlisted(event, ["c0", "c1", "c2"])
        position = row_codecs.next_position(event["index"], event, position)
        row = row_codecs.encode_position(position)
        rows += [(one.space, one.key, one.value, one.expires_at_ms) for one in (*kept, row)]
    return rows


def as_text(rows: Sequence[tuple[str, str, bytes | None, float]]) -> list[list[Any]]:
    return [[space, key, None if value is None else value.hex(), until] for space, key, value, until in rows]


def written() -> FaultyDisk:
    """Records of every kind in plain segments, a compacted one before them, all of it by one clock."""
    disk, core = FaultyDisk(), core_with_knowledge()
    log = SegmentedLog(disk, lambda: NOW, SMALL)
    rows = [*event_rows(True), *lease_rows(core), *warm_rows(core)]
    for number, (space, key, value, until) in enumerate(rows):
        if value is None:
            log.delete(space, key)
        else:
            log.put(space, key, value, until)
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
    """A torn tail, a torn header, and bytes that have rotted in each place that is found in its own way."""
    files = golden_files()
    newest = max(files)
    middle = len(files[PLAIN]) // 2

    def spoilt(name: str, place: int) -> dict[str, bytes]:
        data = bytearray(files[name])
        data[place] ^= 0x41
        return {**files, name: bytes(data)}

    return {
        "torn tail": {**files, newest: files[newest][:-5]},
        "torn first header": {**files, "00000000000000ff.seg": files[newest][:20]},
        "left over": {**files, "compacting.tmp": b"half"},
        "corrupt record": spoilt(PLAIN, middle),
        "corrupt last record": spoilt(newest, len(files[newest]) - 1),
        "corrupt header": spoilt(PLAIN, 12),
        "corrupt compacted record": spoilt(COMPACTED, len(files[COMPACTED]) - 1),
        "missing segment": {name: data for name, data in files.items() if name != PLAIN},
        "another number": {**files, "00000000000000ff.seg": files[newest]},
    }


def read_back(files: dict[str, bytes]) -> dict[str, Any]:
    """What recovery says of these files, and what salvage makes of them."""
    saved = salvage_records(files)
    told: dict[str, Any] = {
        "salvaged": [saved.record_count, saved.losses, len(saved.index.entries), saved.index.last_sequence]
    }
    try:
        found = recover_store(files)
    except StoreFileError as fault:
        return {**told, "fault": str(fault)}
    log = SegmentedLog(disk_with(files), lambda: NOW, SMALL)
    return {
        **told, "sequence": found.index.last_sequence,
        "dropped": [list(astuple(one)) for one in found.dropped],
        "useless": found.obsolete_files, "next_number": found.next_number, "values": values_by_space(log),
    }  # fmt: skip


def test_the_rows_of_events_leases_and_the_snapshot_are_written_as_they_were() -> None:
    core = core_with_knowledge()
    rows: dict[str, Sequence[tuple[str, str, bytes | None, float]]] = {
        "events": event_rows(False),
        "lasting": event_rows(True),
        "leases": lease_rows(core),
        "warm": warm_rows(core),
    }
    for name, written_now in rows.items():
        assert as_text(written_now) == GOLDEN["rows"][name], name


def test_a_store_is_written_as_it_was_byte_for_byte() -> None:
    assert hex_of(files_of(written())) == GOLDEN["files"]


def test_a_store_that_was_written_is_read() -> None:
    log = SegmentedLog(disk_with(golden_files()), lambda: NOW, SMALL)
    assert values_by_space(log) == GOLDEN["values"]
    assert [log.index.last_sequence, log.durable_sequence, log.total_bytes, log.next_number] == GOLDEN[
        "figures"
    ]


def restored() -> dict[str, Any]:
    """What each codec makes of the rows of the golden store."""
    log = SegmentedLog(disk_with(golden_files()), lambda: NOW, SMALL)
    purges = row_codecs.decode_purges(log.items(row_codecs.PURGE_SPACE), NOW + 1_000.0)
    position = row_codecs.decode_position(log.items(row_codecs.FEED_SPACE))
    servers = log.items(row_codecs.SERVER_SPACE)
    core = core_with_knowledge()
    core.state.locations.clear()
    core.state.estimates.by_object.clear()
    core.state.registry.servers["b"].fill_quota = 1.0
    counts = warm_start.restore_snapshot(core, log.items(warm_start.SNAPSHOT_SPACE), NOW + 1_000.0)
    return {
        "purges": sorted([list(astuple(one)) for one in purges], key=str),
        "position": [position.event_index, position.full_list_index],
        "servers": row_codecs.decode_servers(servers, 0, position.full_list_index),
        "servers after 8": row_codecs.decode_servers(servers, 8),
        "warm": list(counts),
        "memory": [[*key, dict(seen)] for key, seen in sorted(core.state.locations.items())],
        "sizes": [[*key, took] for key, took in sorted(core.state.estimates.by_object.items())],
        "shares": [core.state.registry.servers[name].fill_quota for name in "ab"],
        "leases": dns_lease_rows.restore_leases(core, log.items(dns_lease_rows.LEASE_SPACE), NOW + 61_000.0),
    }


def test_the_rows_that_were_written_are_believed_as_they_were() -> None:
    assert restored() == GOLDEN["restored"]


@pytest.mark.parametrize("name", sorted(GOLDEN["damaged"]))
def test_a_damaged_store_is_cut_or_refused_in_the_same_words(name: str) -> None:
    assert read_back(damaged_copies()[name]) == GOLDEN["damaged"][name]


def test_every_damage_has_its_golden_record() -> None:
    assert sorted(damaged_copies()) == sorted(GOLDEN["damaged"])


def lay(files: dict[str, bytes], folder: Path) -> Path:
    folder.mkdir()
    for name, data in files.items():
        (folder / name).write_bytes(data)
    return folder


def tool_outputs(folder: Path) -> dict[str, Any]:
    """Exit code and output of each command on a good store, a cut one and a damaged one."""
    told: dict[str, Any] = {}
    copies = damaged_copies()
    stores = {
        "good": golden_files(),
        **{name: copies[name] for name in ("torn tail", "left over", "corrupt record", "corrupt header")},
    }
    for name, files in stores.items():
        path = lay(files, folder / name.replace(" ", "-"))
        commands = (
            ["check"], ["dump"], ["repair"], ["compact"], ["repair", "--accept-loss"], ["check"], ["dump"],
        )  # fmt: skip
        for number, words in enumerate(commands):
            done = CliRunner().invoke(gladewalk, ["store", *words, str(path)])
            text = done.output.replace(str(path), "FOLDER")
            told[f"{name}, {number}: {' '.join(words)}"] = [done.exit_code, text.splitlines()]
        left = {one.name: one.read_bytes() for one in path.iterdir() if one.suffix == ".seg"}
        told[f"{name}, files"] = hex_of(left)
    return told


def test_the_commands_print_and_leave_what_they_did(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(maintenance, "wall_clock_ms", lambda: NOW)
    assert tool_outputs(tmp_path) == GOLDEN["commands"]


def refuse(disk: Any, name: str, data: bytes) -> None:
    raise OSError(errno.ENOSPC, "No space left on device")


class Followed:
    """What a run of the service says, counts, shows and leaves."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.said: list[list[str]] = []
        self.counters = Counters()

    def opened(self) -> PersistenceService:
        tables = read_option_tables({"store": {"folder": "store", "resume": True, "warm_ms": 0.0}})
        options = build_options(tables, "own.toml", self.folder)
        return PersistenceService(
            options, SETTLE_MS, lambda: NOW, self.counters, lambda *said: self.said.append([*said]),
            Deadlines(lambda when_ms: None),
        )  # fmt: skip

    async def settled(self, persistence: PersistenceService) -> None:
        while persistence.log.pending or persistence.log.in_flight is not None:
            await asyncio.sleep(0.001)

    async def play(self) -> dict[str, Any]:
        persistence = self.opened()
        persistence.writer.start()
        for event in EVENTS:
            persistence.record_event(event["index"], event)
            await self.settled(persistence)
        with pytest.MonkeyPatch.context() as patched:
            patched.setattr(type(persistence.directory), "append", refuse)
            assert not await persistence.writer.put("bytes", "refused", b"1")
            failing = msgspec.to_builtins(persistence.status())
        while persistence.writer.is_failing:
            await asyncio.sleep(0.01)
        view = msgspec.to_builtins(persistence.status())
        await persistence.close()
        files = {one.name: one.read_bytes() for one in (self.folder / "store").glob("*.seg")}
        with (self.folder / "store" / max(files)).open("ab") as file:
            file.write(b"half of a record")
        persistence = self.opened()
        persistence.directory.close()
        return {
            "said": self.said, "counters": dict(sorted(self.counters.items())), "view": view,
            "failing": failing, "files": hex_of(files),
        }  # fmt: skip


def test_the_service_writes_says_counts_and_shows_what_it_did(tmp_path: Path) -> None:
    assert asyncio.run(Followed(tmp_path).play()) == GOLDEN["service"]
