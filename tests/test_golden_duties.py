"""Compares messages, views and counters of shared tasks with golden data that was captured at 090a370."""

import hashlib
import json
from pathlib import Path
from typing import Any

import msgspec
import pytest

from gladewalk.duties.ownership import owner_of, rendezvous_score
from gladewalk.duties.view import membership_status
from gladewalk.members.authenticator import MessageAuthenticator, key_from_secret
from gladewalk.members.messages import UserEvent, decode, encode
from gladewalk.rehearsal.task_simulation import TaskNetwork, build_task_network

GOLDEN = json.loads((Path(__file__).parent / "golden" / "duties.json").read_text())
KEY = key_from_secret(b"k" * 32)
WALL_MS = 1_764_576_000_000.0
USER_EVENTS: dict[str, UserEvent] = {
    "claim": UserEvent("load/b0", "m0", 3, 0.0),
    "finding": UserEvent("load/b0", "m0", 3, 1_764_576_000_123.5, "ok", 1.5, {"util": 0.25, "x0": 0.5}),
    "silent": UserEvent("alive/p", "m1", 1, 1_764_576_000_123.5, "timeout", 250.0),
}


def ping(user_event: UserEvent) -> bytes:
    """A ping (tag 1) from m0, run 5, sequence 7, to m1, run 6, that carries a claim or a result."""
    return msgspec.msgpack.encode([1, "m0", 5, 7, 0, [], [user_event], "m1", 6])


@pytest.mark.parametrize("name", sorted(USER_EVENTS))
def test_claims_and_results_are_encoded_and_decoded_as_in_the_golden_data(name: str) -> None:
    encoded, datagram, signed = (
        bytes.fromhex(GOLDEN[part][name]) for part in ("news", "datagrams", "sealed")
    )
    assert msgspec.msgpack.encode(USER_EVENTS[name]) == encoded
    assert msgspec.msgpack.decode(encoded, type=UserEvent) == USER_EVENTS[name]
    assert ping(USER_EVENTS[name]) == datagram and encode(decode(datagram)) == datagram
    assert MessageAuthenticator((KEY,), 30_000.0).sign(datagram, WALL_MS, 77) == signed
    assert MessageAuthenticator((KEY,), 30_000.0).verify(signed, WALL_MS) == datagram


def scores_and_owners() -> dict[str, object]:
    """Results of the rendezvous hash: members of all versions must compute the same owner of a task."""
    members = {"a": 1.0, "b": 1.0, "c": 2.0}
    return {
        "scores": [rendezvous_score(f"load/b{n}", "m0", 1.0 + n) for n in range(4)],
        "owners": "".join(owner_of(f"d{n}", members) or "-" for n in range(200)),
    }


def test_the_rendezvous_hash_gives_the_golden_scores_and_owners() -> None:
    assert scores_and_owners() == GOLDEN["hash"]


def record_published_events(net: TaskNetwork) -> list[list[Any]]:
    """Returns a list to which all events that members publish from now on are added, in order."""
    published: list[list[Any]] = []
    for name, runner in net.runners.items():
        publish = runner.peers.publish_event

        def record(event: UserEvent, name: str = name, publish: Any = publish) -> None:
            published.append([round(net.now_ms, 6), name, msgspec.msgpack.encode(event).hex()])
            publish(event)

        runner.peers.publish_event = record  # type: ignore[method-assign]
    return published


def cluster_trace() -> dict[str, object]:
    """Four members in virtual time; one is killed, one is paused, and the killed one starts again."""
    net = build_task_network(4, 5, servers=8)
    published = record_published_events(net)
    net.run(2_000.0)
    net.kill("m1")
    net.run(4_000.0)
    net.pause("m2", 3_000.0)
    net.run(6_000.0)
    net.join("m1", ("m0",))
    net.run(6_000.0)
    check_rows = [[round(check.at_ms, 6), check.sender, check.server] for check in net.checks]
    view = msgspec.to_builtins(membership_status(net.runners["m0"]))
    counters = {name: dict(sorted(runner.counters.items())) for name, runner in net.runners.items()}
    return {
        "told": len(published), "told_sha256": hashlib.sha256(json.dumps(published).encode()).hexdigest(),
        "first_told": published[:12],
        "done": len(check_rows), "done_sha256": hashlib.sha256(json.dumps(check_rows).encode()).hexdigest(),
        "view": view, "counters": counters,
    }  # fmt: skip


def test_events_checks_view_and_counters_of_a_simulation_equal_the_golden_data() -> None:
    trace = json.loads(json.dumps(cluster_trace()))
    for part, expected in GOLDEN["cluster"].items():
        assert trace[part] == expected, part
    assert set(trace) == set(GOLDEN["cluster"])


def received_event_counters() -> dict[str, int]:
    """Counters after results that are passed to the decision module, and after results that are ignored."""
    net = build_task_network(2, 3, servers=2)
    runner = net.runners["m0"]
    runner.counters.clear()
    now = runner.clock()
    for user_event in (
        UserEvent("load/b0", "m1", 1_000, now, "ok", 1.0),
        UserEvent("load/b0", "m1", 2_000, now - 60_000.0, "ok", 1.0),
        UserEvent("load/b0", "m1", 3_000, now, "of a later version", 1.0),
        UserEvent("load/b0", "m1", 1, now, "ok", 1.0),
        UserEvent("load/stranger", "m1", 4_000, now, "ok", 1.0),
        UserEvent("none/b0", "m1", 4_000, now, "ok", 1.0),
    ):
        runner.handle_event(user_event)
    return dict(sorted(runner.counters.items()))


def test_received_results_are_counted_under_the_documented_counter_names() -> None:
    assert received_event_counters() == GOLDEN["heard_counters"]


def capture() -> dict[str, Any]:
    """Returns the golden data for the present code; `python -m tests.test_golden_duties` prints it."""
    datagrams = {name: ping(user_event) for name, user_event in USER_EVENTS.items()}
    return {
        "news": {name: msgspec.msgpack.encode(user_event).hex() for name, user_event in USER_EVENTS.items()},
        "datagrams": {name: data.hex() for name, data in datagrams.items()},
        "sealed": {
            name: MessageAuthenticator((KEY,), 30_000.0).sign(data, WALL_MS, 77).hex()
            for name, data in datagrams.items()
        },
        "hash": scores_and_owners(),
        "cluster": cluster_trace(),
        "heard_counters": received_event_counters(),
    }


if __name__ == "__main__":
    print(json.dumps(capture(), indent=1))
