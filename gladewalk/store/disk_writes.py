"""The units of work that are written to the disk: a batch of records, and a compacted segment.

`SegmentedLog` prepares and completes both. `write` may run in another thread, since it uses nothing but the
file system.
"""

from __future__ import annotations

from dataclasses import dataclass

from .file_system import FileSystem
from .key_index import Change

TEMPORARY_FILE = "compacting.tmp"


@dataclass(slots=True)
class WriteBatch:
    """Records to be appended to a segment; `new_header` is given if they are its first ones."""

    segment: int
    file: str
    new_header: bytes | None
    encoded: list[bytes]
    changes: list[Change]
    is_synced: bool = True

    def write(self, file_system: FileSystem) -> None:
        """Appends the records and, if `is_synced`, makes them durable. Raises `OSError`."""
        if self.new_header is not None:
            file_system.create(self.file)
            file_system.append(self.file, self.new_header)
            # The header is made durable before any record is written: no record follows a torn header.
            file_system.sync(self.file)
            # The file's name is durable before any of its records is acknowledged.
            file_system.sync_directory()
        file_system.append(self.file, b"".join(self.encoded))
        if self.is_synced:
            file_system.sync(self.file)


@dataclass(slots=True)
class Compaction:
    """A segment that replaces all segments up to `through_segment`.

    A crash at any step leaves either all replaced segments, or the new one and some of the replaced ones;
    recovery then uses the new one in place of all segments that it covers.
    """

    through_segment: int
    file: str
    first_sequence: int
    header: bytes
    encoded: list[bytes]
    changes: list[Change]
    replaced_segments: list[int]
    replaced_files: list[str]

    def write(self, file_system: FileSystem) -> None:
        """Writes the new segment to a temporary file and renames that to its final name. Raises `OSError`."""
        file_system.create(TEMPORARY_FILE)
        file_system.append(TEMPORARY_FILE, self.header + b"".join(self.encoded))
        file_system.sync(TEMPORARY_FILE)
        file_system.rename(TEMPORARY_FILE, self.file)
        file_system.sync_directory()  # the new name is durable before any replaced file is removed

    def remove_replaced(self, file_system: FileSystem) -> None:
        """Removes the files of the replaced segments. Raises `OSError`."""
        for file in self.replaced_files:
            file_system.remove(file)
        file_system.sync_directory()
