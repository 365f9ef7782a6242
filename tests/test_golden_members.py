"""Compares messages, names and decisions of membership with golden data that was captured at 090a370.

The data holds datagrams, streams, views and log events. `python -m tests.test_golden_members` captures it
again, which is only right after a deliberate change of the protocol: during an upgrade, a fleet has directors
of both versions.
"""

import asyncio
import hashlib
import ipaddress
import json
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest
import structlog

from gladewalk.core.counters import Counters
from gladewalk.core.deadlines import Deadlines
from gladewalk.duties.view import membership_status
from gladewalk.faultnet.membership_cases import CASES
from gladewalk.members import messages
from gladewalk.members.actions import MemberChange, ProbeOutcome
from gladewalk.members.authenticator import DropReason, MessageAuthenticator, key_from_secret
from gladewalk.members.config import MembershipConfig
from gladewalk.members.dissemination import claim_hash
from gladewalk.members.member_list import update_hash
from gladewalk.members.messages import (
    Ack,
    ConfirmationAck,
    ConfirmationProbe,
    Digest,
    FullState,
    Join,
    MemberState,
    MemberUpdate,
    Nack,
    PartialState,
    Ping,
    PingRequest,
    UserEvent,
)
from gladewalk.members.stream import LENGTH_PREFIX
from gladewalk.members.swim import Membership
from gladewalk.members.transport import MembershipTransport
from gladewalk.rehearsal.member_faults import run_schedule
from gladewalk.rehearsal.member_network import MemberNetwork, cluster
from gladewalk.rehearsal.task_simulation import build_task_network

DATA = Path(__file__).parent / "golden" / "members.json"
NOW_MS = 1_764_576_000_123.0
NONCE = 0x0123_4567_89AB_CDEF
UPDATES = [
    MemberUpdate("a", "10.0.0.1", 7_946, 2**62 + 5, 1_764_576_000_000, MemberState.ALIVE, 2.5),
    MemberUpdate("b", "10.0.0.2", 7_947, 12, 13, MemberState.SUSPECT, 1.0, "a"),
    MemberUpdate("c", "2001:db8::1", 65_535, 1, 2, MemberState.DEAD),
    MemberUpdate("d", "", 0, 0, 2**63 - 1, MemberState.LEFT, 0.0),
]
EVENTS = [
    UserEvent("load/box-1", "a", 7, 1_764_576_000_000.5, "ok", 1.25, {"util": 0.25, "bid": 0.5}),
    UserEvent("load/box-2", "b", 2**40, 0.0),
    UserEvent("sources/origin", "c", 1, 5.0, "rejected", 3.0, None),
]
HEAD: dict[str, Any] = {
    "sender": "m0",
    "run_id": 2**61 + 1,
    "health_score": 3,
    "updates": UPDATES,
    "events": EVENTS,
}
DATAGRAMS: dict[str, messages.DatagramMessage] = {
    "ping": Ping(**HEAD, sequence=9, target="m1", target_run_id=77),
    "ping_bare": Ping(sender="m0", run_id=1, target="m1", target_run_id=0),
    "ack": Ack(**HEAD, sequence=9),
    "nack": Nack(**HEAD, sequence=10),
    "ping_request": PingRequest(
        **HEAD, sequence=11, target="m2", target_run_id=78, host="10.0.0.3", port=7_948
    ),
    "join": Join(**HEAD),
    "partial_state": PartialState(**HEAD, wants_reply=True, is_complete=False),
    "partial_state_bare": PartialState(sender="m0", run_id=1),
}
STREAMED: dict[str, messages.StreamMessage] = {
    "digest": Digest(**HEAD, digest=2**63 - 1),
    "full_state": FullState(**HEAD),
    "full_state_same": FullState(sender="m0", run_id=1, is_identical=True),
    "confirmation_probe": ConfirmationProbe(sender="m0", run_id=1, health_score=8, updates=[UPDATES[1]]),
    "confirmation_ack": ConfirmationAck(sender="m1", run_id=2, updates=[UPDATES[0]]),
}


def encoded_messages() -> dict[str, str]:
    return {name: messages.encode(message).hex() for name, message in {**DATAGRAMS, **STREAMED}.items()}


def signed_messages() -> dict[str, str]:
    """Messages signed with the first of two keys, at a fixed time and with a fixed nonce."""
    authenticator = MessageAuthenticator(
        (key_from_secret(b"k" * 32), key_from_secret(b"old key " * 5)), 30_000.0
    )
    datagram = authenticator.sign(messages.encode(DATAGRAMS["ping"]), NOW_MS, NONCE)
    second = authenticator.sign(messages.encode(DATAGRAMS["ack"]), NOW_MS + 1.0, NONCE + 1)
    authenticator.replace_keys((key_from_secret(b"old key " * 5),))
    rotated = authenticator.sign(messages.encode(DATAGRAMS["join"]), NOW_MS + 2.0, NONCE + 2)
    stream = authenticator.sign(messages.encode(STREAMED["full_state"]), NOW_MS, NONCE, 2**21)
    return {
        "key_ids": f"{key_from_secret(b'k' * 32).id.hex()} {key_from_secret(b'old key ' * 5).id.hex()}",
        "datagram": datagram.hex(),
        "second": second.hex(),
        "rotated": rotated.hex(),
        "stream": (LENGTH_PREFIX.pack(len(stream)) + stream).hex(),
    }


def enum_values_and_hashes() -> dict[str, Any]:
    return {
        "states": {state.name: int(state) for state in MemberState},
        "changes": {change.name: change.value for change in MemberChange},
        "outcomes": [outcome.value for outcome in ProbeOutcome],
        "drop_reasons": [reason.value for reason in DropReason],
        "update_hashes": [update_hash(update) for update in UPDATES],
        "event_hashes": [claim_hash(event) for event in EVENTS],
    }


def membership_view() -> Any:
    """The output of `gladewalk members --json` for a fleet with a stalled and a dead member."""
    net = build_task_network(5, 11)
    net.pause("m2", 6_000.0)
    net.kill("m3")
    net.run(2_700.0)
    net.is_blocked = lambda source, target: "m4" in (source, target)
    net.run(700.0)
    return json.loads(msgspec.json.encode(membership_status(net.runners["m0"])))


def log_and_counters() -> dict[str, Any]:
    """The log events and counters of one member's transport, with a fixed clock."""

    async def run_transport() -> dict[str, Any]:
        now, rng = [NOW_MS], random.Random(4)
        core = Membership("a", ("127.0.0.1", 0), (), MembershipConfig(), rng, NOW_MS)
        networks = (ipaddress.ip_network("127.0.0.0/8"),)
        authenticator, counters = MessageAuthenticator((key_from_secret(b"k" * 32),), 30_000.0), Counters()
        members = MembershipTransport(
            core, authenticator, networks, lambda: now[0], Deadlines(lambda when: None), counters
        )
        with structlog.testing.capture_logs() as lines:
            await members.listen()
            port = core.local.port
            now[0] += 100.0
            unknown_key = MessageAuthenticator((key_from_secret(b"x" * 32),), 30_000.0)
            known_key = MessageAuthenticator((key_from_secret(b"k" * 32),), 30_000.0)
            b = MemberUpdate("b", "127.0.0.1", 9, 7, 8, MemberState.ALIVE)
            join_datagram = known_key.sign(
                messages.encode(Join(sender="b", run_id=7, updates=[b])), now[0], 1
            )
            suspicion = MemberUpdate("b", "127.0.0.1", 9, 7, 8, MemberState.SUSPECT, suspected_by="c")
            suspicion_of_b = known_key.sign(
                messages.encode(Ack(sender="c", run_id=9, updates=[suspicion])), now[0], 2
            )
            own_suspicion = MemberUpdate(
                "a",
                "127.0.0.1",
                port,
                core.local.run_id,
                core.local.incarnation,
                MemberState.SUSPECT,
                suspected_by="b",
            )
            suspicion_of_a = known_key.sign(
                messages.encode(Ack(sender="b", run_id=7, updates=[own_suspicion])), now[0], 3
            )
            malformed = known_key.sign(b"junk", now[0], 4)
            for data, host in (
                (join_datagram, "127.0.0.1"),
                (join_datagram, "127.0.0.1"),
                (join_datagram, "10.9.9.9"),
                (suspicion_of_b, "127.0.0.1"),
                (b"noise", "127.0.0.1"),
                (bytes(2_000), "127.0.0.1"),
                (malformed, "127.0.0.1"),
                (unknown_key.sign(b"", now[0], 5), "127.0.0.1"),
                (suspicion_of_a, "127.0.0.1"),
                (known_key.sign(b"", now[0] - 1e6, 6), "127.0.0.1"),
                (join_datagram[:-1] + b"!", "127.0.0.1"),
            ):
                members.datagram_received(data, (host, 9))
            members.error_received(OSError())
            for name in (*core.members.by_name, "a", "unknown"):
                for change in MemberChange:
                    members.log_change(change, name)
            members.leave()
        counts = {name: count for name, count in counters.report().items() if name != "members.sent_bytes"}
        return {
            "log": [{**line, "port": 1} if "port" in line else line for line in lines],
            "counters": counts,
        }

    return json.loads(json.dumps(asyncio.run(run_transport())))  # type: ignore[no-any-return]


def record_datagrams(net: MemberNetwork) -> Any:
    """Returns a hash over every datagram from now on, with its time, sender and receiver."""
    datagram_hash, send_datagram = hashlib.sha256(), net.send

    def record(node: Any, data: bytes, to: Any) -> None:
        datagram_hash.update(repr((net.now_ms, node.name, to)).encode() + data)
        send_datagram(node, data, to)

    net.send = record  # type: ignore[method-assign]
    return datagram_hash


def history_hash(net: MemberNetwork) -> str:
    lines = [
        f"{observation.at_ms!r} {observation.observer} {observation.change.value} {observation.member}"
        for observation in net.observed
    ]
    return hashlib.sha256("\n".join(lines).encode()).hexdigest()


def fingerprint(kind: str, size: int, seed: int) -> list[Any]:
    """Hashes of all datagrams and changes of a run, which depend on all random draws, times and targets."""
    net = cluster(size, seed, settle_ms=1_000.0)
    datagram_hash = record_datagrams(net)
    net.run(1_000.0)
    member_names = tuple(net.nodes)
    for case in CASES:
        if case.kind == kind:
            run_schedule(net, case.faults(member_names))
            net.run(4_000.0)
    net.max_timer_delay_ms = 60.0
    net.run(2_000.0)
    return [
        datagram_hash.hexdigest(),
        history_hash(net),
        len(net.observed),
        sum(net.sent_datagrams.values()),
        sum(net.sent_bytes.values()),
    ]


RUNS = (
    ("loss", 5, 1),
    ("link", 5, 2),
    ("flap", 4, 3),
    ("delay", 6, 4),
    ("cut_out", 5, 5),
    ("pause", 5, 6),
    ("kill", 4, 7),
    ("partition", 7, 8),
    ("kill", 24, 9),
    ("cut_out", 80, 10),
)


def fingerprint_with_events() -> list[Any]:
    """The same with user events, for tasks that move while a member is killed and started again."""
    net = build_task_network(4, 12, servers=30, settle_ms=1_000.0)
    datagram_hash = record_datagrams(net)
    net.loss_rate = 0.1
    net.run(3_000.0)
    net.kill("m1")
    net.run(3_000.0)
    net.join("m1", ("m0",))
    net.run(4_000.0)
    return [
        datagram_hash.hexdigest(),
        history_hash(net),
        len(net.observed),
        sum(net.sent_datagrams.values()),
        sum(net.sent_bytes.values()),
    ]


def run_fingerprints() -> dict[str, list[Any]]:
    return {f"{kind} {size} {seed}": fingerprint(kind, size, seed) for kind, size, seed in RUNS}


PARTS: dict[str, Callable[[], Any]] = {
    "wire": encoded_messages,
    "sealed": signed_messages,
    "names": enum_values_and_hashes,
    "view": membership_view,
    "endpoint": log_and_counters,
    "run_with_events": fingerprint_with_events,
}


def golden() -> Any:
    return json.loads(DATA.read_text())


@pytest.mark.parametrize("part", PARTS)
def test_each_part_equals_its_golden_data(part: str) -> None:
    assert PARTS[part]() == golden()[part]


def test_golden_messages_are_decoded() -> None:
    encoded = golden()["wire"]
    assert {name: messages.decode(bytes.fromhex(encoded[name])) for name in DATAGRAMS} == DATAGRAMS
    assert {name: messages.decode_streamed(bytes.fromhex(encoded[name])) for name in STREAMED} == STREAMED


def test_golden_signed_messages_are_verified() -> None:
    signed = {name: bytes.fromhex(text) for name, text in golden()["sealed"].items() if name != "key_ids"}
    authenticator = MessageAuthenticator(
        (key_from_secret(b"old key " * 5), key_from_secret(b"k" * 32)), 30_000.0
    )
    assert authenticator.verify(signed["datagram"], NOW_MS) == messages.encode(DATAGRAMS["ping"])
    assert authenticator.verify(signed["second"], NOW_MS) == messages.encode(DATAGRAMS["ack"])
    assert authenticator.verify(signed["rotated"], NOW_MS) == messages.encode(DATAGRAMS["join"])
    assert authenticator.verify(signed["datagram"], NOW_MS) is DropReason.REPLAYED
    (length,) = LENGTH_PREFIX.unpack(signed["stream"][: LENGTH_PREFIX.size])
    stream = signed["stream"][LENGTH_PREFIX.size :]
    assert length == len(stream)
    verified = authenticator.verify(stream, NOW_MS, 2**21)
    assert isinstance(verified, bytes) and messages.decode_streamed(verified) == STREAMED["full_state"]


@pytest.mark.parametrize(("kind", "size", "seed"), RUNS)
def test_all_datagrams_and_changes_of_a_run_equal_the_golden_data(kind: str, size: int, seed: int) -> None:
    assert fingerprint(kind, size, seed) == golden()["runs"][f"{kind} {size} {seed}"]


if __name__ == "__main__":
    captured = {**{name: capture() for name, capture in PARTS.items()}, "runs": run_fingerprints()}
    DATA.write_text(json.dumps(captured, indent=1) + "\n")
