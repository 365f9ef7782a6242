"""Three directors that share tasks over UDP on loopback."""

import asyncio
import tempfile
import unittest
from collections import Counter
from pathlib import Path

from gladewalk import interface as api
from gladewalk.config.options import Options, build_options, read_option_tables
from gladewalk.config.platform import read_config
from gladewalk.director import Director
from gladewalk.rehearsal.peers import Coordinator, Heard, ScriptedPeer, config_for, until


class Divided(unittest.IsolatedAsyncioTestCase):
    """Three directors in this process, over UDP on loopback, in front of the same boxes."""

    def options(self, folder: Path, seeds: list[str]) -> Options:
        (folder / "keys").write_text("ab" * 32)
        (folder / "keys").chmod(0o600)
        tables = read_option_tables({
            "members": {"listen": "127.0.0.1:0", "seeds": seeds, "keys": "keys"},
            "duties": {"probe_ms": 200.0, "check_ms": 300.0},
        })  # fmt: skip
        return build_options(tables, "t", folder)

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
        found: dict[str, list[api.HealthCheckResult]] = {}
        for name in ("n0", "n1", "n2"):
            options = self.options(folder, seeds)
            director = Director(read_config({**config, "name": name}, {}), loop, None, options)
            await director.start()
            assert director.duties is not None
            seeds = [f"127.0.0.1:{director.duties.peers.core.local.port}"]
            directors.append(director)
            self.note_results(director, found.setdefault(name, []))
        runners = [director.duties for director in directors if director.duties is not None]
        await until(lambda: all(len(runner.peers.core.live_weights()) == 3 for runner in runners))
        every = sorted([*(f"load/c{n}" for n in range(4)), "alive/p"])
        await until(lambda: sorted(n for runner in runners for n in runner.owned_tasks()) == every)
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
            self.assertIn({"util": 0.25, "x0": 0.5}, [result.load_report for result in results])
        loser = max(range(3), key=lambda n: len(runners[n].owned_tasks()))
        lost = runners[loser]
        members = directors[loser].members
        assert members is not None
        members.close()  # it says no more; its share is to be taken over
        lost.shared.clear()
        rest = [runner for runner in runners if runner is not lost]
        await until(lambda: sorted(n for runner in rest for n in runner.owned_tasks()) == every)
        heard.clear()
        await until(lambda: len(heard) == 5)
        for director in directors:
            director.front.close()
            director.coordinator_watch.close()
            if director.members is not None and director.members is not members:
                director.members.leave()
        for peer in (*boxes, parent):
            peer.stop()
        coordinator.stop()

    def note_results(self, director: Director, results: list[api.HealthCheckResult]) -> None:
        feed = director.exchange.handle_event

        def note(event: api.Event) -> None:
            if isinstance(event, api.HealthCheckResult):
                results.append(event)
            feed(event)

        director.exchange.handle_event = note  # type: ignore[method-assign]
