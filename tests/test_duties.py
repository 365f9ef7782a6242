"""Ownership of duties, without I/O; and three directors that share them on loopback."""

import asyncio
import random
import tempfile
import unittest
from collections import Counter
from pathlib import Path

from gladewalk import interface as api
from gladewalk.config import read
from gladewalk.director import Director
from gladewalk.duties.ownership import Claim, Ownership, owner_of
from gladewalk.options import Options, options_of, read_tables
from gladewalk.rehearsal.peers import Coordinator, Heard, ScriptedPeer, config_for, until

INTERVAL_MS = 1_000.0


def owners(*names: str) -> dict[str, Ownership]:
    return {n: Ownership(n, INTERVAL_MS, random.Random(n)) for n in names}


def test_a_share_goes_by_weight_and_a_death_moves_only_its_own_duties() -> None:
    members = {"a": 1.0, "b": 1.0, "c": 2.0}
    duties = [f"d{n}" for n in range(4_000)]
    before = {duty: owner_of(duty, members) for duty in duties}
    count = Counter(before.values())
    assert 0.46 < count["c"] / len(duties) < 0.54
    assert 0.21 < count["a"] / len(duties) < 0.29
    after = {duty: owner_of(duty, {"a": 1.0, "c": 2.0}) for duty in duties}
    assert all(after[duty] == before[duty] for duty in duties if before[duty] != "b")
    assert owner_of("d", {}) is None


def exchange(views: dict[str, Ownership], now: float) -> None:
    """All tell all of the claims that they hold, until nothing new is heard."""
    for _ in range(6):
        for teller in views.values():
            for duty, held in list(teller.held.items()):
                for hearer in views.values():
                    if hearer is not teller:
                        hearer.hear(duty, held.claim, teller.done_ms.get(duty), now)


def holders(views: dict[str, Ownership], duty: str) -> list[str]:
    return [name for name, view in views.items() if duty in view.held]


def test_a_joining_member_takes_its_share_without_a_gap() -> None:
    views = owners("a", "b", "c")
    duties = [f"d{n}" for n in range(60)]
    for name in ("a", "b"):
        views[name].set_duties(duties, 0.0)
        views[name].set_members({"a": 1.0, "b": 1.0}, 0.0)
    two = {name: views[name] for name in ("a", "b")}
    exchange(two, 0.0)
    assert all(len(holders(two, duty)) == 1 for duty in duties)
    for view in views.values():
        view.set_duties(duties, 10.0)
        view.set_members({"a": 1.0, "b": 1.0, "c": 1.0}, 10.0)
        assert all(holders(views, duty) for duty in duties), "somebody does it at every moment"
    exchange(views, 10.0)
    assert [holders(views, duty) for duty in duties] == [
        [owner_of(duty, {"a": 1.0, "b": 1.0, "c": 1.0})] for duty in duties
    ]


def test_of_two_who_believe_that_they_own_it_the_older_epoch_yields_and_its_finding_is_told_apart() -> None:
    views = owners("a", "b")
    for view in views.values():
        view.set_duties(["d"], 0.0)
    old, new = views["a"], views["b"]
    assert old.hear("d", Claim(3, "a"), None, 0.0)
    assert new.hear("d", Claim(3, "a"), 500.0, 0.0)
    claim = new.held["d"].claim  # it sees nobody else, and takes over
    assert claim == Claim(4, "b")
    old.set_members({"a": 1.0, "b": 1e6}, 0.0)
    assert old.hear("d", claim, None, 0.0)
    assert "d" not in old.held
    assert not new.hear("d", Claim(3, "a"), 900.0, 0.0)
    assert new.done_ms["d"] == 500.0


def test_a_takeover_keeps_the_rhythm_or_is_spread_and_never_a_burst() -> None:
    view = Ownership("a", INTERVAL_MS, random.Random(1))
    duties = [f"d{n}" for n in range(200)]
    view.members = {"a": 1.0, "b": 1e9}
    view.set_duties(duties, 0.0)
    for n, duty in enumerate(duties):  # half was done lately, half is overdue
        view.hear(duty, Claim(1, "b"), 900.0 if n % 2 else -5_000.0, 1_000.0)
    assert not view.held
    view.set_members({"a": 1.0}, 1_000.0)
    due = [view.held[duty].due_ms for duty in duties]
    assert {due[n] for n in range(1, 200, 2)} == {1_900.0}
    late = [due[n] for n in range(0, 200, 2)]
    assert min(late) >= 1_000.0 and max(late) <= 1_250.0
    assert max(Counter(int(at / 25) for at in late).values()) < 25


def test_after_a_stall_a_duty_is_done_once_and_not_for_each_time_missed() -> None:
    view = Ownership("a", INTERVAL_MS, random.Random(1))
    view.set_duties(["d"], 0.0)
    start = view.next_due()
    assert [len(view.due(start)), len(view.due(start + 10.0))] == [1, 0]
    assert [len(view.due(start + 7_300.0)), len(view.due(start + 7_301.0))] == [1, 0]
    assert view.next_due() == start + 8_300.0


def test_a_duty_that_is_no_more_is_forgotten() -> None:
    view = Ownership("a", INTERVAL_MS, random.Random(1))
    view.set_duties(["d", "e"], 0.0)
    view.due(5_000.0)
    view.set_duties(["e"], 6_000.0)
    assert (set(view.held), set(view.best), set(view.done_ms)) == ({"e"}, {"e"}, {"e"})
    assert not view.hear("d", Claim(9, "b"), None, 6_000.0)


class Divided(unittest.IsolatedAsyncioTestCase):
    """Three directors in this process, over UDP on loopback, in front of the same boxes."""

    def options(self, folder: Path, seeds: list[str]) -> Options:
        (folder / "keys").write_text("ab" * 32)
        (folder / "keys").chmod(0o600)
        tables = read_tables({
            "members": {"listen": "127.0.0.1:0", "seeds": seeds, "keys": "keys"},
            "duties": {"probe_ms": 200.0, "check_ms": 300.0},
        })  # fmt: skip
        return options_of(tables, "t", folder)

    async def test_one_probe_serves_all_and_a_dead_directors_share_is_taken_over(self) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        heard: Counter[str] = Counter()

        async def answer(ask: Heard) -> None:
            heard[f"{ask.peer.uid}{ask.path}"] += 1
            await ask.answer(200, X_Meter="util:0.25;x0:0.5")

        boxes = [ScriptedPeer(answer, f"c{n}") for n in range(4)]
        parent = ScriptedPeer(answer, "p", "parent", "north")
        coordinator = await Coordinator().start()
        for box in (*boxes, parent):
            await box.start()
        config = config_for([*boxes, parent], coordinator)
        loop, directors, seeds = asyncio.get_running_loop(), [], list[str]()
        found: dict[str, list[api.ProbeResult]] = {}
        for name in ("n0", "n1", "n2"):
            options = self.options(folder, seeds)
            director = Director(read({**config, "name": name}, {}), loop, None, options)
            await director.start()
            assert director.duties is not None
            seeds = [f"127.0.0.1:{director.duties.members.core.me.port}"]
            directors.append(director)
            self.note_results(director, found.setdefault(name, []))
        runners = [director.duties for director in directors if director.duties is not None]
        await until(lambda: all(len(runner.members.live()) == 3 for runner in runners))
        every = sorted([*(f"load/c{n}" for n in range(4)), "alive/p"])
        await until(lambda: sorted(n for runner in runners for n in runner.owned_names()) == every)
        heard.clear()
        for results in found.values():
            results.clear()
        before = sum(runner.counters["duties.done"] for runner in runners)
        await asyncio.sleep(1.5)
        done = sum(runner.counters["duties.done"] for runner in runners) - before
        self.assertAlmostEqual(sum(heard.values()), done, delta=6)  # each done once, by one director
        self.assertLess(max(heard.values()), 2 * 1_500.0 / 200.0)  # three directors would ask thrice as often
        for results in found.values():  # and all of them know
            self.assertEqual({result.server for result in results}, {"c0", "c1", "c2", "c3", "p"})
            self.assertIn({"util": 0.25, "x0": 0.5}, [result.load for result in results])
        loser = max(range(3), key=lambda n: len(runners[n].owned_names()))
        lost = runners[loser]
        assert lost.members.transport is not None
        lost.members.transport.abort()  # it says no more; its share is to be taken over
        lost.owned.clear()
        lost.duties.clear()
        rest = [runner for runner in runners if runner is not lost]
        await until(lambda: sorted(n for runner in rest for n in runner.owned_names()) == every)
        heard.clear()
        await until(lambda: len(heard) == 5)
        for director in directors:
            director.front.close()
            director.follower.close()
        for runner in rest:
            runner.members.leave()
        for peer in (*boxes, parent):
            peer.stop()
        coordinator.stop()

    def note_results(self, director: Director, results: list[api.ProbeResult]) -> None:
        feed = director.exchange.feed

        def note(event: api.Event) -> None:
            if isinstance(event, api.ProbeResult):
                results.append(event)
            feed(event)

        director.exchange.feed = note  # type: ignore[method-assign]
