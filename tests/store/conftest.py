"""Fixtures of the store's tests."""

from __future__ import annotations

import pytest

from gladewalk.rehearsal.faulty_disk import FaultyDisk

from .support import History


@pytest.fixture
def disk() -> FaultyDisk:
    """An empty disk without faults."""
    return FaultyDisk()


@pytest.fixture
def history() -> History:
    """A store with every kind of record, and each of its acknowledged states."""
    return History()
