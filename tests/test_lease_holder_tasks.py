"""Purge requests, fenced operations and the fleet report, without I/O."""

import random
from collections.abc import Iterable

import pytest

from gladewalk.leases.fenced_operations import FencedOperationQueue
from gladewalk.leases.fleet_report import FleetReport
from gladewalk.leases.messages import (
    MAX_BODY_BYTES,
    Completed,
    DirectorMetrics,
    FencedOperation,
    OperationResponse,
    PurgeRequest,
    Replicated,
    SyncRequest,
    SyncResponse,
)
from gladewalk.leases.outputs import PURGE_SPACE, Output, Save, Send
from gladewalk.leases.purge_requests import (
    MAX_OPEN_REQUESTS,
    SYNC_PAGE_SIZE,
    PurgeRejectedError,
    PurgeRequests,
)
from gladewalk.leases.status import PurgeState


def sent(outputs: Iterable[Output]) -> list[Send]:
    return [output for output in outputs if isinstance(output, Send)]


def restored(rows: dict[str, bytes]) -> PurgeRequests:
    return PurgeRequests("b", ("a", "b", "c"), ("@purge/0",), random.Random(2), rows)


def carry_out_saves(purges: PurgeRequests, actions: list[Output]) -> list[Output]:
    """The outputs that are carried out on a disk on which every row is durable at once."""
    done: list[Output] = []
    for action in actions:
        if isinstance(action, Save):
            if action.value is not None:
                purges.mark_durable(action.key)
            done += action.on_durable
        else:
            done.append(action)
    return done


def test_a_purge_is_acknowledged_by_a_majority_kept_over_a_restart_and_deleted_once_completed() -> None:
    receiver = PurgeRequests("a", ("a", "b", "c"), ("@purge/0", "@purge/1"), random.Random(1), {})
    purge, actions = receiver.create("o:1", 0.0, 5.0)
    # It is neither acknowledged nor forwarded before it is durable here.
    assert not receiver.status(purge.request_id).is_acknowledged and not receiver.requests_to_forward()
    carry_out_saves(receiver, actions)
    assert sent(receiver.tick(0.0)) == [Send("b", purge), Send("c", purge)]
    replica = restored({})
    (save,) = replica.handle_request(purge)
    assert isinstance(save, Save) and save.space == PURGE_SPACE and save.value is not None
    # The replication is reported only once the row is durable.
    assert save.on_durable == (Send("a", Replicated(purge.request_id, "b")),)
    restarted = restored({purge.request_id: save.value, "torn": b"\x93"})
    assert restarted.requests_to_forward() == [purge]
    assert restarted.handle_request(purge) == [Send("a", Replicated(purge.request_id, "b"))]
    receiver.handle_replicated(Replicated(purge.request_id, "b"))
    assert receiver.status(purge.request_id).is_acknowledged and receiver.requests_to_forward() == [purge]
    assert receiver.handle_forwarded(purge.request_id, "@purge/0", 4) == []
    actions = receiver.handle_forwarded(purge.request_id, "@purge/1", 4)
    assert Send("b", Completed(purge.request_id, 4)) in actions
    assert Save(PURGE_SPACE, purge.request_id, None) in actions
    assert receiver.status(purge.request_id).state is PurgeState.COMPLETED
    assert receiver.handle_completed(Completed(purge.request_id, 4)) == []
    # A delayed message does not open a completed request again.
    assert receiver.handle_request(purge) == [Send("a", Completed(purge.request_id, 4))]
    deleted = restarted.handle_completed(Completed(purge.request_id, 4))[0]
    assert deleted == Save(PURGE_SPACE, purge.request_id, None) and not restarted.open


def test_a_holder_requests_pages_until_a_majority_has_sent_all_open_purges() -> None:
    replica, holder = restored({}), PurgeRequests("a", ("a", "b", "c"), ("@purge/0",), random.Random(3), {})
    for number in range(2 * SYNC_PAGE_SIZE + 1):
        request = PurgeRequest(f"{number:02}", f"o:{number}", "c", float(number))
        carry_out_saves(replica, replica.handle_request(request))
    sync_requests = holder.sync(0.0)
    assert [send.recipient for send in sent(sync_requests)] == ["b", "c"] and not holder.sync(1.0)
    sync_request, page_count = sent(sync_requests)[0].message, 0
    while True:
        assert isinstance(sync_request, SyncRequest)
        (response,) = replica.handle_sync_request(sync_request)
        assert isinstance(response, Send) and isinstance(response.message, SyncResponse)
        page_count += 1
        outputs = carry_out_saves(holder, holder.handle_sync_response(response.message, 2.0))
        # The director that received it is notified of one more replica.
        assert Send("c", Replicated(response.message.requests[0].request_id, "a")) in outputs
        more = [send.message for send in sent(outputs) if isinstance(send.message, SyncRequest)]
        if not more:
            break
        (sync_request,) = more
    targets = [request.target for request in holder.requests_to_forward()]
    assert page_count == 3 and targets == [f"o:{number}" for number in range(2 * SYNC_PAGE_SIZE + 1)]
    assert holder.sync_round is None and not holder.sync(3.0) and holder.sync(5_000.0)
    holder.reset_forwarding()
    assert holder.sync(5_001.0)  # after it has won the lease again, it synchronises anew


def test_invalid_purges_are_rejected_and_open_purges_are_limited() -> None:
    purges = restored({})
    for bad in ("", "x" * 201, "a\nb"):
        with pytest.raises(PurgeRejectedError, match="printable"):
            purges.create(bad, 0.0, 0.0)
    for number in range(MAX_OPEN_REQUESTS):
        purges.handle_request(PurgeRequest(f"{number}", "o:1", "c", 0.0))
    outputs = purges.handle_request(PurgeRequest("more", "o:1", "c", 0.0))
    assert not [output for output in outputs if isinstance(output, Save)]
    assert "more" not in purges.open


def test_operations_are_retried_with_the_current_token_until_each_resource_accepts_them() -> None:
    operations = FencedOperationQueue("a", {"purge": ("@purge/0", "@purge/1")})
    assert operations.submit("purge", "id", b"o:1", 0.0)
    first = sent(operations.take_due("purge", 3, 0.0, 9.0))
    assert [send.recipient for send in first] == ["@purge/0", "@purge/1"]
    assert not list(operations.take_due("purge", 3, 1.0, 9.0))
    assert isinstance(first[0].message, FencedOperation) and first[0].message.token == 3
    accepted = operations.handle_acceptance(OperationResponse("purge", 3, first[0].message.number, True, 3))
    assert accepted is not None and accepted.resource == "@purge/0" and operations.is_pending("purge", "id")
    repeated = OperationResponse("purge", 3, first[0].message.number, True, 3)
    assert operations.handle_acceptance(repeated) is None  # received twice
    (retried,) = operations.take_due("purge", 5, 10_000.0, 9.0)
    assert isinstance(retried, Send) and isinstance(retried.message, FencedOperation)
    assert (retried.recipient, retried.message.token) == ("@purge/1", 5)
    rejected = OperationResponse("purge", 5, retried.message.number, False, 7)
    assert operations.handle_acceptance(rejected) is None  # it stays pending
    operations.cancel("purge")
    assert not operations.is_pending("purge", "id") and operations.next_due_ms("purge") == float("inf")


def test_a_report_adds_up_incarnations_ignores_delayed_datagrams_and_fits_into_operations() -> None:
    names = tuple(f"director-{number:02}" for number in range(20))
    report = FleetReport(names[0], names, 1, 1_000.0, lambda: {"served": 1})
    report.record_own(0.0, 0.0)
    report.record(DirectorMetrics(names[1], 10, 100.0, {"served": 50}), 0.0)
    report.record(DirectorMetrics(names[1], 10, 90.0, {"served": 40}), 1.0)  # overtaken by a later datagram
    report.record(DirectorMetrics(names[1], 20, 200.0, {"served": 5}), 2.0)  # restarted
    # Metrics of the earlier incarnation are received too late to count.
    report.record(DirectorMetrics(names[1], 10, 150.0, {"served": 60}), 3.0)
    report.record(DirectorMetrics("stranger", 1, 1.0, {"served": 1_000}), 3.0)
    assert report.totals() == {"served": 56}
    assert report.missing(900.0) == list(names[2:]) and report.missing(1_500.0) == list(names)
    for name in names:
        report.record(
            DirectorMetrics(name, 30, 300.0, dict.fromkeys(("served", "refused", "failed"), 2**40)), 4.0
        )
    pages = report.build(5.0, 5.0)
    assert len(pages) > 1 and all(len(page.body) < MAX_BODY_BYTES for page in pages)
    assert len({page.operation_id for page in pages}) == len(pages)
