"""Message authentication: forgery, replay, time window, key rings, and size limits of messages."""

import random
import tempfile
from pathlib import Path

import pytest

from gladewalk.config.platform import ConfigError
from gladewalk.members.actions import SendDatagram
from gladewalk.members.authenticator import (
    OVERHEAD_BYTES,
    DropReason,
    MessageAuthenticator,
    key_from_secret,
    load_key_ring,
)
from gladewalk.members.errors import MalformedMessageError
from gladewalk.members.messages import (
    MAX_DATAGRAM_BYTES,
    MemberState,
    MemberUpdate,
    Ping,
    decode,
    encode,
)
from gladewalk.rehearsal.member_network import START_MS, MemberNetwork, cluster
from tests.membership_checks import assert_converges, assert_no_deaths

KEY = key_from_secret(b"k" * 32)
PING = encode(Ping(sender="a", run_id=1, sequence=2, target="b", target_run_id=3))


@pytest.fixture
def signer() -> MessageAuthenticator:
    return MessageAuthenticator((KEY,), 1_000.0)


@pytest.fixture
def verifier() -> MessageAuthenticator:
    return MessageAuthenticator((KEY,), 1_000.0)


def test_a_message_changed_at_any_byte_is_dropped(
    signer: MessageAuthenticator, verifier: MessageAuthenticator
) -> None:
    good = signer.sign(PING, START_MS, 7)
    for index in range(len(good)):
        bad = good[:index] + bytes([good[index] ^ 1]) + good[index + 1 :]
        assert isinstance(verifier.verify(bad, START_MS), DropReason), index
    for length in range(len(good)):
        assert isinstance(verifier.verify(good[:length], START_MS), DropReason), length
    assert verifier.verify(good, START_MS) == PING


def test_stale_future_and_replayed_datagrams_are_dropped(
    signer: MessageAuthenticator, verifier: MessageAuthenticator
) -> None:
    good = signer.sign(PING, START_MS, 7)
    assert verifier.verify(good, START_MS + 1_001.0) is DropReason.STALE
    assert verifier.verify(good, START_MS - 1_001.0) is DropReason.STALE
    assert verifier.verify(good, START_MS + 999.0) == PING
    assert verifier.verify(good, START_MS + 999.0) is DropReason.REPLAYED
    assert verifier.verify(bytes(MAX_DATAGRAM_BYTES + 1), START_MS) is DropReason.OVERSIZED
    again = signer.sign(PING, START_MS, 8)  # the same message signed with a new nonce is no replay
    assert verifier.verify(again, START_MS) == PING


def test_no_message_is_accepted_while_the_store_of_replay_tags_is_full(signer: MessageAuthenticator) -> None:
    small = MessageAuthenticator((KEY,), 1_000.0, max_replay_tags=2)
    signed = [signer.sign(PING, START_MS, nonce) for nonce in range(3)]
    results = [small.verify(data, START_MS) for data in (*signed, signed[0])]
    assert results == [PING, PING, DropReason.REPLAYED, DropReason.REPLAYED]
    later = signer.sign(PING, START_MS + 2_500.0, 9)
    assert small.verify(later, START_MS + 2_500.0) == PING


def test_a_key_rotation_under_loss_causes_no_deaths() -> None:
    old, new = key_from_secret(b"o" * 32), key_from_secret(b"n" * 32)
    net = MemberNetwork(4)
    for number in range(4):
        net.start(f"m{number}", ("m0",) if number else (), keys=(old,))
    net.run(4_000.0)
    net.loss_rate = 0.1
    for ring in ((old, new), (new, old), (new,)):  # append the new key, sign with it, remove the old key
        for node in net.nodes.values():
            node.authenticator.replace_keys(ring)
            net.run(1_500.0)
    assert_converges(net)
    assert_no_deaths(net)
    assert net.dropped[DropReason.UNKNOWN_KEY] == 0


def test_the_partial_state_of_a_large_fleet_fits_into_a_datagram() -> None:
    net = cluster(40, 2, settle_ms=4_000.0)
    for node in net.nodes.values():
        (action,) = node.core.on_sync_failed(("10.0.0.1", 1))
        assert isinstance(action, SendDatagram)
        size_bytes = len(encode(action.message)) + OVERHEAD_BYTES
        assert size_bytes <= MAX_DATAGRAM_BYTES


def test_decoding_corrupted_messages_raises_only_malformed_message_errors() -> None:
    rng = random.Random(1)
    update = MemberUpdate("b", "10.0.0.1", 1, 2, 3, MemberState.ALIVE)
    good = encode(Ping(sender="a", run_id=1, target="b", target_run_id=3, updates=[update]))
    for _ in range(3_000):
        data = bytearray(good)
        for _ in range(rng.randrange(1, 4)):
            data[rng.randrange(len(data))] = rng.randrange(256)
        try:
            decode(bytes(data[: rng.randrange(1, len(data) + 1)]))
        except MalformedMessageError:
            continue


def test_invalid_key_ring_files_are_rejected_and_no_key_is_shown() -> None:
    secret = "ab" * 32
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "keys"
        for text, mode, expected_error in (
            (secret, 0o644, "others than its owner may read it"),
            ("", 0o600, "no key"),
            ("zz" * 32, 0o600, "key 1 is not"),
            ("ab" * 31, 0o600, "key 1 is not"),
            (f"{secret}\n{secret}", 0o600, "twice"),
        ):
            path.write_text(text)
            path.chmod(mode)
            with pytest.raises(ConfigError) as caught:
                load_key_ring(path)
            assert expected_error in str(caught.value)
            assert secret[:8] not in str(caught.value)
        path.write_text(f"# the second key is to be removed\n{secret}\n{'cd' * 40}\n")
        path.chmod(0o600)
        keys = load_key_ring(path)
    assert [len(key.secret) for key in keys] == [32, 40]
    assert secret[:8] not in repr(keys) + str(keys[0])
