"""Messages, views and counter names of shared duties as 090a370 wrote them: read, and written alike."""

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
NEWS: dict[str, UserEvent] = {
    "claim": UserEvent("load/b0", "m0", 3, 0.0),
    "finding": UserEvent("load/b0", "m0", 3, 1_764_576_000_123.5, "ok", 1.5, {"util": 0.25, "x0": 0.5}),
    "silent": UserEvent("alive/p", "m1", 1, 1_764_576_000_123.5, "timeout", 250.0),
}


def ping(news: UserEvent) -> bytes:
    """A ping (tag 1) of m0, run 5, number 7, to m1, run 6, that carries a claim or a finding."""
    return msgspec.msgpack.encode([1, "m0", 5, 7, 0, [], [news], "m1", 6])


@pytest.mark.parametrize("name", sorted(NEWS))
def test_claims_and_findings_are_read_and_written_as_they_were(name: str) -> None:
    row, datagram, sealed = (bytes.fromhex(GOLDEN[part][name]) for part in ("news", "datagrams", "sealed"))
    assert msgspec.msgpack.encode(NEWS[name]) == row
    assert msgspec.msgpack.decode(row, type=UserEvent) == NEWS[name]
    assert ping(NEWS[name]) == datagram and encode(decode(datagram)) == datagram
    assert MessageAuthenticator((KEY,), 30_000.0).sign(datagram, WALL_MS, 77) == sealed
    assert MessageAuthenticator((KEY,), 30_000.0).verify(sealed, WALL_MS) == datagram


def owners() -> dict[str, object]:
    """The rendezvous hash: every member must find the same owner, whichever version it runs."""
    members = {"a": 1.0, "b": 1.0, "c": 2.0}
    return {
        "scores": [rendezvous_score(f"load/b{n}", "m0", 1.0 + n) for n in range(4)],
        "owners": "".join(owner_of(f"d{n}", members) or "-" for n in range(200)),
    }


def test_the_hash_gives_every_duty_to_whom_it_gave_it() -> None:
    assert owners() == GOLDEN["hash"]


def told_of(net: TaskNetwork) -> list[list[Any]]:
    """Every claim and finding that a member hands to the others, in order."""
    told: list[list[Any]] = []
    for name, runner in net.runners.items():
        tell = runner.peers.publish_event

        def note(event: UserEvent, name: str = name, tell: Any = tell) -> None:
            told.append([round(net.now_ms, 6), name, msgspec.msgpack.encode(event).hex()])
            tell(event)

        runner.peers.publish_event = note  # type: ignore[method-assign]
    return told


def cluster_trace() -> dict[str, object]:
    """Four members in virtual time; one dies, one stalls, one starts again."""
    net = build_task_network(4, 5, servers=8)
    told = told_of(net)
    net.run(2_000.0)
    net.kill("m1")
    net.run(4_000.0)
    net.pause("m2", 3_000.0)
    net.run(6_000.0)
    net.join("m1", ("m0",))
    net.run(6_000.0)
    done = [[round(one.at_ms, 6), one.sender, one.server] for one in net.checks]
    view = msgspec.to_builtins(membership_status(net.runners["m0"]))
    counters = {name: dict(sorted(runner.counters.items())) for name, runner in net.runners.items()}
    return {
        "told": len(told), "told_sha256": hashlib.sha256(json.dumps(told).encode()).hexdigest(),
        "first_told": told[:12],
        "done": len(done), "done_sha256": hashlib.sha256(json.dumps(done).encode()).hexdigest(),
        "view": view, "counters": counters,
    }  # fmt: skip


def test_members_in_virtual_time_claim_probe_show_and_count_what_they_did() -> None:
    trace = json.loads(json.dumps(cluster_trace()))
    for part, golden in GOLDEN["cluster"].items():
        assert trace[part] == golden, part
    assert set(trace) == set(GOLDEN["cluster"])


def heard_counters() -> dict[str, int]:
    """What a member counts of findings that it does not hand to the module, or does."""
    net = build_task_network(2, 3, servers=2)
    runner = net.runners["m0"]
    runner.counters.clear()
    now = runner.clock()
    for news in (
        UserEvent("load/b0", "m1", 1_000, now, "ok", 1.0),
        UserEvent("load/b0", "m1", 2_000, now - 60_000.0, "ok", 1.0),
        UserEvent("load/b0", "m1", 3_000, now, "of a later version", 1.0),
        UserEvent("load/b0", "m1", 1, now, "ok", 1.0),
        UserEvent("load/stranger", "m1", 4_000, now, "ok", 1.0),
        UserEvent("none/b0", "m1", 4_000, now, "ok", 1.0),
    ):
        runner.handle_event(news)
    return dict(sorted(runner.counters.items()))


def test_findings_are_counted_under_the_names_of_the_operators_page() -> None:
    assert heard_counters() == GOLDEN["heard_counters"]


def capture() -> dict[str, Any]:
    """What the golden data hold, as the present code makes it: `python -m tests.test_golden_duties`."""
    datagrams = {name: ping(news) for name, news in NEWS.items()}
    return {
        "news": {name: msgspec.msgpack.encode(news).hex() for name, news in NEWS.items()},
        "datagrams": {name: data.hex() for name, data in datagrams.items()},
        "sealed": {
            name: MessageAuthenticator((KEY,), 30_000.0).sign(data, WALL_MS, 77).hex()
            for name, data in datagrams.items()
        },
        "hash": owners(),
        "cluster": cluster_trace(),
        "heard_counters": heard_counters(),
    }


if __name__ == "__main__":
    print(json.dumps(capture(), indent=1))
