"""Responses to what a director sent before it was killed count for nothing after its restart."""

from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from gladewalk.config.options import build_options, read_option_tables
from gladewalk.core.clocks import AnchoredClock, InstantConverter, read_wall_clock
from gladewalk.core.counters import Counters
from gladewalk.core.deadlines import Deadlines
from gladewalk.leases.messages import (
    MAX_BODY_BYTES,
    FencedOperation,
    OperationResponse,
    PreVoteRequest,
    SyncRequest,
    SyncResponse,
    encode,
)
from gladewalk.leases.outputs import Output, Send
from gladewalk.leases.purge_requests import PurgeRequests
from gladewalk.leases.start import build_lease_service
from gladewalk.leases.transport import LeaseService
from gladewalk.members.messages import MAX_DATAGRAM_BYTES
from gladewalk.store.persistence import PersistenceService

SETTLE_MS = 5_000.0
TASK = "purge"


def messages(outputs: Iterable[Output]) -> list[Any]:
    return [output.message for output in outputs if isinstance(output, Send)]


@contextmanager
def run_of_director(folder: Path) -> Iterator[LeaseService]:
    """One run of director a: its lease service on the store that all runs share."""
    (folder / "keys").write_text("ab" * 32)
    (folder / "keys").chmod(0o600)
    peers = {name: f"127.0.0.1:{number}" for number, name in enumerate("abc", 1)}
    leases = {"listen": peers["a"], "keys": "keys", "hubs": ["127.0.0.1:9"], "peers": peers}
    tables = read_option_tables({"store": {"folder": "store"}, "leases": leases})
    options, clock, counters = build_options(tables, "t.toml", folder), AnchoredClock(), Counters()
    deadlines = Deadlines(lambda when_ms: None)
    store = PersistenceService(options, SETTLE_MS, clock, counters, lambda event, why: None, deadlines)
    instants = InstantConverter(clock, read_wall_clock)
    try:
        yield build_lease_service("a", options, store, clock, instants, deadlines, counters)[0]
    finally:
        store.directory.close()


def submit_purge(service: LeaseService, operation_id: str, token: int) -> FencedOperation:
    operations = service.holder_tasks.operations
    assert operations.submit(TASK, operation_id, b"o:1", 0.0)
    (operation,) = messages(operations.take_due(TASK, token, 0.0, 0.0))
    assert isinstance(operation, FencedOperation)
    return operation


def sync(service: LeaseService) -> tuple[PurgeRequests, SyncRequest]:
    purges = service.holder_tasks.purges
    assert purges is not None
    request = messages(purges.sync(0.0))[0]
    assert isinstance(request, SyncRequest)
    return purges, request


def test_a_late_response_of_a_hub_to_the_run_before_accepts_no_other_purge(tmp_path: Path) -> None:
    # Guards against a purge that is taken for accepted by a hub which never got it.
    with run_of_director(tmp_path) as first:
        sent_before = submit_purge(first, "purge-of-the-first-run", 3)
    with run_of_director(tmp_path) as second:
        submit_purge(second, "another-purge", 4)
        late = OperationResponse(TASK, sent_before.token, sent_before.number, True, sent_before.token)
        assert second.holder_tasks.operations.handle_acceptance(late) is None
        assert second.holder_tasks.operations.is_pending(TASK, "another-purge")


def test_a_late_page_for_the_run_before_completes_no_synchronisation(tmp_path: Path) -> None:
    # Guards against a holder that misses an acknowledged purge, as an old page counts for its majority.
    with run_of_director(tmp_path) as first:
        _, request_before = sync(first)
    with run_of_director(tmp_path) as second:
        purges, request = sync(second)
        purges.handle_sync_response(SyncResponse("b", request_before.round_number, []), 1.0)
        assert purges.sync_round is not None
        purges.handle_sync_response(SyncResponse("b", request.round_number, []), 1.0)
        assert purges.sync_round is None


def test_the_election_rounds_of_two_runs_have_different_numbers(tmp_path: Path) -> None:
    # Guards against a vote for the run before, whose promise ends earlier, that counts in a new round.
    numbers = []
    for _ in range(2):
        with run_of_director(tmp_path) as service:
            now_ms = service.candidate.next_due_ms()
            pre_vote = messages(service.candidate.tick(now_ms))[0]
            assert isinstance(pre_vote, PreVoteRequest)
            numbers.append(pre_vote.round_number)
    assert len(set(numbers)) == len(numbers)


def test_the_largest_operation_of_a_run_fits_into_a_datagram(tmp_path: Path) -> None:
    # Guards against an operation that is never sent because its number takes more bytes than before.
    with run_of_director(tmp_path) as service:
        number = submit_purge(service, "id", 1).number
        largest = FencedOperation(
            "t" * 64, 2**63 - 1, "h" * 64, 1e12, number, "i" * 64, b"b" * MAX_BODY_BYTES
        )
        assert service.authenticator.sign(encode(largest), 0.0, 0, MAX_DATAGRAM_BYTES)  # raises otherwise
