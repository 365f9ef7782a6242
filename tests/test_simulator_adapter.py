"""The simulator adapter as a process, driven over its standard input."""

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).parent.parent
SETUP: dict[str, Any] = {
    "classes": [{"name": "page", "promise_ms": 400.0, "give_up_ms": 3000.0, "repeat": "repeatable"}],
    "kinds": ["box", "parent", "origin"],
    "limits": {"most_tries": 6},
    "my_zone": "e1",
    "zones": ["h1", "e1"],
    "specifics": {"upper_kind": 1, "origin_kind": 2, "hub_of": [0, 0], "instances_by_zone": [0, 1]},
    "a_new_key": 1,
}
ELEMENTS = [
    {"site": "e1", "scale": 8, "lifecycle": "up", "host": "c", "start_time_ms": None, "model": "box"},
    {"site": "h1", "scale": 30, "lifecycle": "up", "host": "p", "start_time_ms": None, "model": "parent"},
]
LAUNCH = {"op": "launch", "dispatcher_id": 3, "salt": 5, "setup": SETUP}
ENDPOINT_LIST = {
    "op": "directory_update", "dispatcher_id": 3, "kind": "Persisted", "stamp": 1, "elements": ELEMENTS,
}  # fmt: skip
REQUEST = {"op": "knock", "dispatcher_id": 3, "call": 9, "type": "page", "key": 4, "time_left_ms": 900.0}
MISS = {
    "op": "ended", "dispatcher_id": 3, "call": 9, "hop": 0, "host": "c", "result": "MISS",
    "time_taken_ms": 1.0, "done_flag": False, "detail": 0, "source_wait_ms": None, "telemetry": None,
}  # fmt: skip


def batch(at: float, *events: dict[str, Any]) -> str:
    lines = [{"op": "clock", "sim_time_ms": at}, *events, {"op": "flush"}]
    return "".join(json.dumps(line) + "\n" for line in lines)


def run(text: str) -> tuple[int, list[dict[str, Any]], str]:
    process = subprocess.run(
        [sys.executable, "-m", "gladewalk.simulator_adapter"],
        input=text, capture_output=True, text=True, cwd=ROOT, timeout=60, check=False,
    )  # fmt: skip
    return process.returncode, [json.loads(line) for line in process.stdout.splitlines()], process.stderr


def test_an_empty_batch_is_acknowledged() -> None:
    assert run(batch(1.0)) == (0, [{"op": "next"}], "")


def test_a_request_is_looked_up_then_filled() -> None:
    code, out, err = run(batch(1.0, LAUNCH, ENDPOINT_LIST) + batch(2.0, REQUEST) + batch(3.0, MISS))
    assert (code, err) == (0, "")
    actions = [m for m in out if m["op"] not in ("next", "defer")]
    assert [m["op"] for m in actions] == ["place", "fetch_through"]
    assert actions[1]["fill_from"] == "p" and actions[1]["dispatcher_id"] == 3


def test_a_killed_instance_can_be_launched_again() -> None:
    killed = {"op": "killed", "dispatcher_id": 3}
    code, out, _ = run(batch(1.0, LAUNCH, ENDPOINT_LIST) + batch(2.0, killed, LAUNCH, ENDPOINT_LIST, REQUEST))
    assert code == 0 and any(m["op"] == "place" for m in out)


@pytest.mark.parametrize(
    ("text", "expected_error"),
    [
        ("{nonsense\n", "line 1: not valid JSON"),
        (batch(1.0, {"op": "dance", "dispatcher_id": 3}), "unknown message 'dance'"),
        (batch(1.0, REQUEST), "instance 3 was never launched"),
        (batch(1.0, LAUNCH, {k: v for k, v in REQUEST.items() if k != "call"}), "field 'call'"),
        (batch(1.0, {**LAUNCH, "setup": {}}), "field 'classes'"),
        (batch(1.0, LAUNCH, {**ENDPOINT_LIST, "kind": "Odd"}), "unknown value 'Odd'"),
        ('{"op":"flush"}\n', "outside a batch"),
        ('{"op":"clock","sim_time_ms":1}\n', "inside a batch"),
    ],
)
def test_malformed_input_ends_the_process_with_one_line_of_error(text: str, expected_error: str) -> None:
    code, _, err = run(text)
    assert code == 2 and expected_error in err and "Traceback" not in err and err.count("\n") == 1


def test_an_exception_in_the_decision_module_is_reported_as_a_fault() -> None:
    invalid_launch = {**LAUNCH, "setup": {**SETUP, "classes": []}}
    _, out, _ = run(batch(1.0, invalid_launch))
    assert out[0]["op"] == "bug" and "classes" in out[0]["line"]


def test_identical_events_give_identical_actions() -> None:
    text = batch(1.0, LAUNCH, ENDPOINT_LIST) + "".join(
        batch(2.0 + n, {**REQUEST, "call": n, "key": n * 7919}) for n in range(50)
    )
    assert run(text) == run(text)
