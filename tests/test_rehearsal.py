"""The rehearsal kit: scenarios, its rule checkers against broken directors, the search and its shrinking."""

import os
import subprocess
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import msgspec
import pytest

from gladewalk.config.platform import ConfigError
from gladewalk.rehearsal.virtual.hunt import hunt, shrink
from gladewalk.rehearsal.virtual.play import CLASSES, play
from gladewalk.rehearsal.virtual.quiet import quiet
from gladewalk.rehearsal.virtual.rules import Made, Record, Request, Sent, broken_rules, story
from gladewalk.rehearsal.virtual.scenario import Fault, Scenario, check, draw, dump, load
from tests.mutants import DRAIN, MUTANTS, all_ready, listing, scenario

ROOT = Path(__file__).parent.parent
READY = sorted((ROOT / "scenarios").glob("*.toml"))
SEEDS = (1, 2)
DRAWN = range(1, 49)


def rules_broken(n: int, seed: int) -> set[str]:
    quiet()
    mutant = MUTANTS[n]
    return {one.rule for one in play(mutant.scenario, seed, mutant.change, mutant.settings).broken}


def unbroken(n: int, seed: int) -> set[str]:
    """The rules that the director as it is breaks in the mutant's own scenario."""
    quiet()
    return {one.rule for one in play(MUTANTS[n].scenario, seed).broken}


def drawn(seed: int) -> list[str]:
    quiet()
    return [f"{seed}: {one}" for one in play(draw(seed), seed).broken]


def ready(path: Path) -> list[str]:
    quiet()
    verdict = play(load(path, tuple(CLASSES)), 1)
    assert sum(sum(ends.values()) for ends in verdict.outcomes.values()) == len(verdict.record.requests) > 300
    return [f"{path.name}: {one}" for one in verdict.broken]


def test_every_broken_director_is_failed_by_its_rule_and_the_unbroken_one_by_none() -> None:
    each = [(n, seed) for n in range(len(MUTANTS)) for seed in SEEDS]
    with ProcessPoolExecutor(max_workers=8) as pool:
        found = pool.map(rules_broken, *zip(*each, strict=True))
        good = pool.map(unbroken, *zip(*each, strict=True))
        survived = [(MUTANTS[n].name, seed, rules) for (n, seed), rules in zip(each, found, strict=True)
                    if MUTANTS[n].rule not in rules]  # fmt: skip
        wronged = [(n, seed, rules) for (n, seed), rules in zip(each, good, strict=True) if rules]
    assert survived == [] and wronged == []


def test_the_director_as_it_is_passes_every_ready_scenario_and_drawn_ones() -> None:
    assert len(READY) >= 12
    with ProcessPoolExecutor(max_workers=8) as pool:
        assert [one for some in pool.map(ready, READY) for one in some] == []
        assert [one for some in pool.map(drawn, DRAWN) for one in some] == []


def test_a_failing_scenario_is_shrunk_to_the_fault_that_it_needs() -> None:
    quiet()
    more = [Fault(at_s=2.0, kind="slow", for_s=3.0, who="store", amount=2.0),
            Fault(at_s=4.0, kind="silent", for_s=3.0, who="hub-0"), *DRAIN[:1]]  # fmt: skip
    least = shrink(scenario(more), 1, "drains kept", listing(all_ready))
    assert [fault.kind for fault in least.fault] == ["drain"] and least.fault[0].for_s < DRAIN[0].for_s
    seed = next(n for n in range(100) if [f.kind for f in draw(n).fault].count("drain") == 1)
    found = hunt([seed], listing(all_ready))
    assert [(one.seed, one.rule) for one in found] == [(seed, "drains kept")]
    assert [fault.kind for fault in found[0].shrunk.fault] == ["drain"]


def test_a_scenario_that_cannot_be_played_is_one_line_naming_its_key() -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "s.toml"
        for text, told in (
            ("seconds = 0.0\n", "seconds: expected `float` > 0.0"),
            ("[fleet]\nboxs = 3\n", "fleet.boxs: no such setting"),
            ("[traffic.shares]\nvideo = 1.0\n", "traffic.shares.video: no such class; there are "),
            ("[traffic.shares]\nbid = 0.0\n", "traffic.shares: nothing is asked for"),
            ("[[fault]]\nat_s = 1.0\nkind = 'quake'\n", "fault[0].kind: invalid enum value 'quake'"),
            ("[[fault]]\nat_s = 1.0\nkind = 'silent'\nwho = 'box-9'\n", "fault[0].who: no server 'box-9'"),
            ("[[fault]]\nat_s = 1.0\nkind = 'drain'\nwho = 'hub-0'\n", "fault[0].who: only a box is drained"),
            ("[[fault]]\nat_s = 58.0\nkind = 'surge'\n", "fault[0].for_s: it would last longer"),
            ("[[fault]]\nat_s = 5.0\nkind = 'purge'\namount = 2.0\n", "fault[0].amount: a part, at most 1"),
            ("seconds = = 1\n", "Invalid value"),
        ):
            path.write_text(text)
            with pytest.raises(ConfigError) as raised:
                load(path, tuple(CLASSES))
            assert str(raised.value).startswith(f"{path}: {told}"), raised.value
        for seed in range(200):  # what is drawn can be written, read and played
            path.write_text(dump(draw(seed)))
            assert load(path, tuple(CLASSES)) == draw(seed)
            check(draw(seed), tuple(CLASSES))
    assert msgspec.structs.replace(draw(1), seconds=30.0) == draw(1) != draw(2)


def test_the_command_line_plays_explains_and_tells_by_its_exit_code() -> None:
    def command(*words: str) -> tuple[int, str]:
        done = subprocess.run(
            [sys.executable, "-m", "gladewalk", *words], cwd=ROOT, capture_output=True, text=True,
            timeout=120, check=False, env={**os.environ, "COLUMNS": "120"},
        )  # fmt: skip
        return done.returncode, done.stdout + done.stderr

    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "short.toml"
        path.write_text("seconds = 5.0\n[traffic]\nper_s = 10.0\n")
        code, said = command("play", str(path), "--seed", "4")
        assert code == 0 and "no rule broken" in said and "lot-video" in said, said
        first, again = (command("play", str(path), "--seed", "4", "--json") for _ in range(2))
        assert msgspec.json.decode(first[1])["trace"] == msgspec.json.decode(again[1])["trace"]
        code, said = command("play", str(path), "--seed", "4", "--explain", f"{1:016x}")
        assert code == 0 and "asked of director-" in said and "answered 200" in said, said
        path.write_text("seconds = -1.0\n")
        code, said = command("play", str(path))
        assert code == 2 and said.startswith(f"gladewalk: {path}: seconds: "), said


def test_each_rule_finds_what_it_is_for_in_a_record_written_by_hand() -> None:
    def asked(id: str, **more: object) -> Request:
        return Request(id, "lot-page", "a", 0, 7, "n1", 0.0, 1_000.0, **more)  # type: ignore[arg-type]

    record = Record()
    record.requests["twice"] = asked("twice", ends=[(5.0, 200, b"x"), (6.0, 200, b"x")])
    record.requests["never"] = asked("never")
    record.requests["torn"] = asked("torn", broken_ms=5.0, begun=True)  # failed, as its client can tell
    record.requests["shut"] = asked("shut", broken_ms=5.0)
    record.requests["old"] = asked("old", ends=[(3_000.0, 200, b"old")])
    record.requests["bare"] = asked("bare", ends=[(5.0, 503, b"")])
    record.sent = [Sent(2_000.0, "old", "box-1", "hub-0", "GET"), Sent(1.0, "ghost", "box-0", "", "GET"),
                   *(Sent(float(n), "many", "box-0", "", "GET") for n in range(7))]  # fmt: skip
    record.requests["many"] = asked("many", ends=[(5.0, 502, b"")])
    record.made = [Made("twice", "box-0", b"x", 0.0), Made("old", "box-1", b"old", 100.0)]
    record.ran["bid"] = 2
    record.leaving["hub-0"] = 1_000.0, 9_000.0
    record.purges = [(1_000.0, 7, 900.0)]
    found = {(one.rule, one.request) for one in broken_rules(record)}
    assert found == {
        ("one final answer", "twice"), ("one final answer", "never"), ("one final answer", "shut"),
        ("drains kept", "old"),
        ("purges kept", "old"), ("no double effect", "bid"), ("attempts bounded", "many"),
        ("nothing invented", "ghost"), ("refusals worded", "bare"),
    }  # fmt: skip
    assert len(story(record, "old")) == 3 and story(record, "nobody") == []
    assert broken_rules(Record()) == [] and Scenario().fault == []
