"""Exceptions of the embedded store."""

from __future__ import annotations

from ..errors import GladewalkError


class StoreError(GladewalkError):
    """Base class of the store's own errors; those of the file system are `OSError`."""


class StoreFileError(StoreError):
    """A file of the store can't be used; the error has the file, the offset in bytes and the reason."""

    def __init__(self, file: str, offset: int, reason: str) -> None:
        super().__init__(f"{file}: at byte {offset}: {reason}")
        self.file, self.offset, self.reason = file, offset, reason


class SegmentHeaderError(StoreFileError):
    """A file has no valid segment header: its creation was interrupted, or the header is corrupt."""


class UnsupportedFormatError(StoreFileError):
    """A file was written in a format version, or holds a record, that this program can't read."""


class AcknowledgedLossError(StoreFileError):
    """A record that was acknowledged as durable is missing or corrupt."""


class StoreLockedError(StoreFileError):
    """Another process holds the lock of the store's directory."""


class StoreFullError(StoreError):
    """A change was rejected: too many bytes are pending already, as the disk rejects writes."""


class PayloadTooLargeError(StoreError):
    """A record's payload exceeds `MAX_PAYLOAD_BYTES`."""
