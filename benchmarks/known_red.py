"""Reads KNOWN-RED.txt: tests and cases of the soak that fail because of a real fault not yet fixed.

Each line is one entry, "case | command and seed | what was seen | issue". A case is the id of a test as
pytest prints it, or `soak RULE SEED`: a rule of the soak's checker that the run of this seed breaks.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from gladewalk.errors import GladewalkError

KNOWN_RED_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
SOAK = "soak"
FORM = "case | command and seed | what was seen | issue"


class KnownRedError(GladewalkError, ValueError):
    """A line of the list is malformed, or a case is listed twice."""


@dataclass(frozen=True, slots=True)
class KnownRed:
    """One entry of the list."""

    case: str
    command: str
    seen: str
    issue: str


def read_known_red(text: str) -> dict[str, KnownRed]:
    """Returns the entries by their cases.

    Raises:
        KnownRedError: A line is malformed, or a case is listed twice.
    """
    known: dict[str, KnownRed] = {}
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != FORM.count("|") + 1 or not all(fields):
            raise KnownRedError(f"KNOWN-RED.txt: line is not of the form '{FORM}': {line}")
        entry = KnownRed(*fields)
        if entry.case in known:
            raise KnownRedError(f"KNOWN-RED.txt: case is listed twice: {entry.case}")
        known[entry.case] = entry
    return known


def load_known_red() -> dict[str, KnownRed]:
    """Returns the entries of the project's list by their cases."""
    return read_known_red(KNOWN_RED_FILE.read_text(encoding="utf-8"))


def soak_case(rule: str, seed: int) -> str:
    """Returns the name of the case in which a seed of the soak breaks a rule."""
    return f"{SOAK} {rule} {seed}"


def format_outcome(entry: KnownRed, outcome: str) -> str:
    """Returns the line that reports the outcome of a listed case."""
    return f"KNOWN-RED {outcome}: {entry.case} | {entry.command} | {entry.seen} | issue {entry.issue}"
