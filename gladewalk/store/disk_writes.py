"""The units of work that go to the disk: a batch of records, and a compacted segment.

Both are prepared and completed by `SegmentedLog`; `write` may run in another thread, since it touches nothing
but the file system.
"""

from __future__ import annotations

from dataclasses import dataclass

from .file_system import FileSystem
from .key_index import Change

TEMPORARY_FILE = "compacting.tmp"


@dataclass(slots=True)
class WriteBatch:
    """Records on their way to a segment, which begins with them if `new_header` is given."""

    segment: int
    file: str
    new_header: bytes | None
    encoded: list[bytes]
    changes: list[Change]
    is_synced: bool = True

    def write(self, file_system: FileSystem) -> None:
        """Appends the records and, where `is_synced`, makes them durable. Raises `OSError`."""
        if self.new_header is not None:
            file_system.create(self.file)
            file_system.append(self.file, self.new_header)
            file_system.sync(self.file)  # so a torn header proves that no record was ever behind it
            file_system.sync_directory()  # before anything in it is acknowledged
        file_system.append(self.file, b"".join(self.encoded))
        if self.is_synced:
            file_system.sync(self.file)


@dataclass(slots=True)
class Compaction:
    """A segment that replaces all segments up to `through_segment`.

    A crash at any step leaves the replaced segments, or the new one beside some of them; recovery takes the
    new one for all that it covers.
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
        """Writes the new segment beside the old ones and renames it into force. Raises `OSError`."""
        file_system.create(TEMPORARY_FILE)
        file_system.append(TEMPORARY_FILE, self.header + b"".join(self.encoded))
        file_system.sync(TEMPORARY_FILE)
        file_system.rename(TEMPORARY_FILE, self.file)
        file_system.sync_directory()  # before anything that it replaces is removed

    def remove_replaced(self, file_system: FileSystem) -> None:
        """Removes the files of the replaced segments. Raises `OSError`."""
        for file in self.replaced_files:
            file_system.remove(file)
        file_system.sync_directory()
