"""Recovery of stores that were truncated, corrupted or written in another format version."""

from __future__ import annotations

import struct
from unittest.mock import patch

import crc32c
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gladewalk.rehearsal.faulty_disk import FaultyDisk
from gladewalk.store import record_format
from gladewalk.store.errors import StoreFileError, UnsupportedFormatError
from gladewalk.store.record_format import HEADER, SegmentHeader, decode_header, encode_header
from gladewalk.store.recovery import recover_store
from gladewalk.store.segmented_log import LogConfig

from .support import History, disk_with, files_of, newest_file, open_log, values_in


def test_a_file_truncated_at_any_byte_has_an_acknowledged_state_or_is_rejected(history: History) -> None:
    files, newest = files_of(history.disk), newest_file(history.log)
    values_by_sequence = dict(history.acknowledged)
    assert len(files) >= 4 and any(name.endswith(".c.seg") for name in files)
    for name, data in files.items():
        for size in range(len(data)):
            try:
                reopened = open_log(disk_with({**files, name: data[:size]}))
            except StoreFileError as error:
                assert name != newest, (name, size, error)
                continue
            assert name == newest, f"{name} truncated at {size} went unnoticed"
            # The newest file may end anywhere: it then has an acknowledged state, or a part of one batch.
            sequence = reopened.index.last_sequence
            if sequence in values_by_sequence:
                assert values_in(reopened) == values_by_sequence[sequence], size
            else:  # between two acknowledgements: the values of the earlier one, and a part of the batch
                values_before = values_by_sequence[
                    max(earlier for earlier in values_by_sequence if earlier <= sequence)
                ]
                values_left = values_in(reopened)
                assert sum(values_left.get(key) != value for key, value in values_before.items()) <= 2
            assert size == len(data) or reopened.recovered.dropped or sequence in values_by_sequence


def test_a_corrupt_byte_is_rejected_by_file_and_offset_or_was_in_the_newest_record(history: History) -> None:
    files, newest = files_of(history.disk), newest_file(history.log)
    last_states = [values for _, values in history.acknowledged[-3:]]
    rejected_count = 0
    for name, data in files.items():
        for byte_index in range(0, len(data), 3):
            corrupt = data[:byte_index] + bytes([data[byte_index] ^ 0x41]) + data[byte_index + 1 :]
            try:
                reopened = open_log(disk_with({**files, name: corrupt}))
            except StoreFileError as error:
                rejected_count += 1
                assert error.file in files and 0 <= error.offset <= len(files[error.file])
                continue
            assert name == newest and reopened.recovered.dropped
            assert values_in(reopened) in last_states, (name, byte_index)  # only the last batch may be lost
    assert rejected_count > 300


def test_a_purge_acknowledged_just_before_a_torn_write_is_in_force_after_it(disk: FaultyDisk) -> None:
    log = open_log(disk)
    log.put("purge", "object", b"now")
    log.commit()
    log.put("purge", "later", b"x" * 50)  # written, but not acknowledged
    name = newest_file(log)
    acknowledged_bytes = len(disk.files[name].data)
    log.commit()
    data = bytes(disk.files[name].data)
    for size in range(acknowledged_bytes, len(data)):
        reopened = open_log(disk_with({name: data[:size]}), LogConfig())
        assert values_in(reopened) == {("purge", "object"): b"now"}
        assert bool(reopened.recovered.dropped) == (size > acknowledged_bytes)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(data=st.data())
def test_recovery_of_random_damage_raises_only_the_stores_own_error(data: st.DataObject) -> None:
    files = files_of(History().disk)
    name = data.draw(st.sampled_from(sorted(files)))
    content = bytearray(files[name])
    for byte_index, value in data.draw(
        st.lists(st.tuples(st.integers(0, 10_000), st.integers(0, 255)), max_size=6)
    ):
        content[byte_index % len(content)] = value
    noise = data.draw(st.binary(max_size=60))
    byte_index = data.draw(st.integers(0, len(content)))
    corrupted = bytes(content[:byte_index]) + noise + bytes(content[byte_index:])
    try:
        recover_store({**files, name: corrupted, "other": noise})
    except StoreFileError as error:
        assert str(error).startswith(error.file)


def test_the_next_format_is_rejected_by_its_version() -> None:
    header = bytearray(encode_header(SegmentHeader(1)))
    assert decode_header(bytes(header), "f") == SegmentHeader(1)
    header[8:10] = struct.pack("<H", 2)
    header[HEADER.size - 4 :] = struct.pack("<I", crc32c.crc32c(bytes(header[: HEADER.size - 4])))
    with pytest.raises(
        UnsupportedFormatError, match="f: at byte 8: written in format 2, this program reads 1"
    ):
        decode_header(bytes(header), "f")


def test_a_store_of_an_older_format_is_read_continued_and_rewritten_in_the_new_one(disk: FaultyDisk) -> None:
    old = open_log(disk)
    for number in range(20):
        old.put("purge", f"k{number}", b"old")
        old.commit()
    with patch.multiple(record_format, FORMAT_VERSION=2, READABLE_VERSIONS=frozenset((1, 2))):
        extended_disk = disk_with(files_of(disk))
        new = open_log(extended_disk)
        new.put("purge", "k0", b"new")
        new.commit()
        assert len(values_in(new)) == 20
        mixed_disk = disk_with(files_of(extended_disk))
        mixed = open_log(mixed_disk)
        assert values_in(mixed) == values_in(new)
        mixed.compact(max(mixed.segments))
    with pytest.raises(UnsupportedFormatError, match="written in format 2, this program reads 1"):
        open_log(disk_with(files_of(mixed_disk)))
    with patch.multiple(record_format, FORMAT_VERSION=2, READABLE_VERSIONS=frozenset((2,))):
        # No record of the old format is left.
        assert values_in(open_log(disk_with(files_of(mixed_disk)))) == values_in(new)
