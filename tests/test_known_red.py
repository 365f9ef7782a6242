"""The list of known failures excuses exactly the listed cases and reports the outcome of each."""

import pytest

from benchmarks.known_red import KnownRed, KnownRedError, read_known_red, soak_case
from benchmarks.soak.__main__ import SeedResult, has_unknown_failure, known_red_lines
from benchmarks.soak.checker import RULES

ENTRY = "soak lost 7 | python -m benchmarks.soak --seed 7 | once | 43"


def seed_result(seed: int, *broken: str) -> SeedResult:
    return SeedResult(seed, {rule: int(rule in broken) for rule in RULES}, {}, 0, [], [])


def test_an_entry_has_case_command_observation_and_issue() -> None:
    known = read_known_red(f"# a comment\n\n{ENTRY}\n")
    assert known == {
        "soak lost 7": KnownRed("soak lost 7", "python -m benchmarks.soak --seed 7", "once", "43")
    }


@pytest.mark.parametrize(
    "text", ["soak lost 7 | once | 43", "soak lost 7 | | once | 43", f"{ENTRY}\n{ENTRY}"]
)
def test_a_malformed_list_is_an_error(text: str) -> None:
    with pytest.raises(KnownRedError):
        read_known_red(text)


def test_only_the_listed_rule_of_the_listed_seed_may_fail() -> None:
    known = read_known_red(ENTRY)
    assert soak_case("lost", 7) in known
    assert not has_unknown_failure([seed_result(7, "lost"), seed_result(8)], known)
    assert has_unknown_failure([seed_result(7, "lost", "wrong")], known)
    assert has_unknown_failure([seed_result(8, "lost")], known)


def test_each_listed_case_that_was_run_is_reported_with_its_outcome() -> None:
    known = read_known_red(ENTRY)
    assert known_red_lines([seed_result(8, "lost")], known) == []
    (failed,) = known_red_lines([seed_result(7, "lost")], known)
    (passed,) = known_red_lines([seed_result(7)], known)
    assert failed.startswith("KNOWN-RED failed: soak lost 7 ")
    assert passed.startswith("KNOWN-RED passed: soak lost 7 ")
