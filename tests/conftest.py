"""Marks the tests that KNOWN-RED.txt lists as expected failures and prints the outcome of each.

The listed tests run like all others, and only they may fail.
"""

import pytest

from benchmarks.known_red import SOAK, KnownRed, format_outcome, load_known_red

KNOWN_RED_ENTRIES = pytest.StashKey[dict[str, KnownRed]]()


def pytest_configure(config: pytest.Config) -> None:
    """Reads the list; a malformed list ends the test run."""
    config.stash[KNOWN_RED_ENTRIES] = {
        case: entry for case, entry in load_known_red().items() if not case.startswith(f"{SOAK} ")
    }


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Marks the listed tests; any other test that fails still fails the run."""
    for item in items:
        entry = config.stash[KNOWN_RED_ENTRIES].get(item.nodeid)
        if entry is not None:
            item.add_marker(pytest.mark.xfail(reason=f"KNOWN-RED: {entry.seen}", strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Prints each listed test with its outcome."""
    outcomes = {
        report.nodeid: outcome
        for kind, outcome in (("xfailed", "failed"), ("xpassed", "passed"))
        for report in terminalreporter.stats.get(kind, [])
    }
    for case, entry in config.stash[KNOWN_RED_ENTRIES].items():
        terminalreporter.write_line(format_outcome(entry, outcomes.get(case, "not run")))
