"""Three directors with the same servers that share tasks over UDP on loopback."""

import asyncio
import tempfile
import unittest
from collections import Counter
from pathlib import Path

from gladewalk import interface as api
from gladewalk.config.options import Options, build_options, read_option_tables
from gladewalk.config.platform import read_config
from gladewalk.director import Director
from gladewalk.duties.runner import TaskRunner
from gladewalk.rehearsal.coordinator import Coordinator
from gladewalk.rehearsal.director_harness import config_for, wait_until
from gladewalk.rehearsal.scripted_servers import ReceivedRequest, ScriptedServer

DIRECTORS = ("n0", "n1", "n2")
CHECK_INTERVAL_MS = 200.0
ALL_TASKS = sorted([*(f"load/c{number}" for number in range(4)), "alive/p"])


def options_in(folder: Path, seeds: list[str]) -> Options:
    keys = folder / "keys"
    keys.write_text("ab" * 32)
    keys.chmod(0o600)
    tables = read_option_tables(
        {
            "members": {"listen": "127.0.0.1:0", "seeds": seeds, "keys": "keys"},
            "duties": {"probe_ms": CHECK_INTERVAL_MS, "check_ms": 300.0},
        }
    )
    return build_options(tables, "t", folder)


def runner_of(director: Director) -> TaskRunner:
    assert director.task_runner is not None
    return director.task_runner


def all_owned_tasks(runners: list[TaskRunner]) -> list[str]:
    return sorted(task for runner in runners for task in runner.owned_tasks())


def started_count(runners: list[TaskRunner]) -> int:
    """Number of checks that all directors have started."""
    return sum(runner.counters["duties.done"] for runner in runners)


def ended_count(runners: list[TaskRunner], answered_only: bool = False) -> int:
    """Number of checks of all directors that have ended, with any result or only with a response."""
    statuses = [api.Status.OK] if answered_only else list(api.Status)
    names = [f"duties.ended.{status.value}" for status in statuses]
    return sum(runner.counters[name] for runner in runners for name in names)


def in_flight_count(runners: list[TaskRunner]) -> int:
    return started_count(runners) - ended_count(runners)


def record_results(director: Director) -> list[api.HealthCheckResult]:
    """Returns a list to which all results are added that the decision module receives from now on."""
    results: list[api.HealthCheckResult] = []
    handle_event = director.exchange.handle_event

    def record(event: api.Event) -> None:
        if isinstance(event, api.HealthCheckResult):
            results.append(event)
        handle_event(event)

    director.exchange.handle_event = record  # type: ignore[method-assign]
    return results


class SharedTasks(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.checks: Counter[str] = Counter()  # by server and path
        self.servers = [ScriptedServer(self.answer, f"c{number}") for number in range(4)]
        self.servers.append(ScriptedServer(self.answer, "p", "parent", "north"))
        for server in self.servers:
            await server.start()
        self.coordinator = await Coordinator().start()
        self.directors: list[Director] = []
        self.disconnected: Director | None = None
        self.results: list[list[api.HealthCheckResult]] = []
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        for name in DIRECTORS:
            await self.start_director(name, folder)

    async def asyncTearDown(self) -> None:
        for director in self.directors:
            director.front.close()
            director.coordinator_watch.close()
            if director.members is not None and director is not self.disconnected:
                director.members.leave()
        for server in self.servers:
            server.stop()
        self.coordinator.stop()

    async def answer(self, request: ReceivedRequest) -> None:
        self.checks[f"{request.server.uid}{request.path}"] += 1
        await request.respond(200, X_Meter="util:0.25;x0:0.5")

    async def start_director(self, name: str, folder: Path) -> None:
        seeds = [f"127.0.0.1:{runner_of(latest).peers.core.local.port}" for latest in self.directors[-1:]]
        config = config_for(self.servers, self.coordinator)
        options = options_in(folder, seeds)
        loop = asyncio.get_running_loop()
        director = Director(read_config({**config, "name": name}, {}), loop, None, options)
        await director.start()
        self.directors.append(director)
        self.results.append(record_results(director))

    async def test_check_results_are_shared_and_the_tasks_of_a_dead_director_are_taken_over(self) -> None:
        runners = [runner_of(director) for director in self.directors]
        await wait_until(lambda: all(len(runner.peers.core.live_weights()) == 3 for runner in runners))
        await wait_until(lambda: all_owned_tasks(runners) == ALL_TASKS)
        await wait_until(lambda: in_flight_count(runners) == 0)  # each director started as owner of all tasks
        self.checks.clear()
        for results in self.results:
            results.clear()
        started_before, answered_before = started_count(runners), ended_count(runners, answered_only=True)
        await asyncio.sleep(1.5)
        await wait_until(lambda: in_flight_count(runners) == 0)
        # One director sends each check, once; a check without a response may not have reached its server.
        self.assertLessEqual(sum(self.checks.values()), started_count(runners) - started_before)
        answered = ended_count(runners, answered_only=True) - answered_before
        self.assertGreaterEqual(sum(self.checks.values()), answered)
        # Three directors that don't share tasks would send three times as many checks.
        self.assertLess(max(self.checks.values()), 2 * 1_500.0 / CHECK_INTERVAL_MS)
        for results in self.results:  # all directors receive the results
            self.assertEqual({result.server for result in results}, {"c0", "c1", "c2", "c3", "p"})
            self.assertIn({"util": 0.25, "x0": 0.5}, [result.load_report for result in results])
        lost = max(self.directors, key=lambda director: len(runner_of(director).owned_tasks()))
        assert lost.members is not None
        lost.members.close()  # without announcing its departure: its tasks have to be taken over
        self.disconnected = lost
        runner_of(lost).task_types.clear()
        remaining = [runner for runner in runners if runner is not runner_of(lost)]
        await wait_until(lambda: all_owned_tasks(remaining) == ALL_TASKS)
        self.checks.clear()
        await wait_until(lambda: len(self.checks) == len(ALL_TASKS))
