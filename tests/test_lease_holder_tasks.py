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


def carry_out_saves(purges: PurgeRequests, out: list[Output]) -> list[Output]:
    """What follows on a disk that takes all at once."""
    after: list[Output] = []
    for action in out:
        if isinstance(action, Save):
            if action.value is not None:
                purges.mark_durable(action.key)
            after += action.on_durable
        else:
            after.append(action)
    return after


def test_a_purge_is_acknowledged_by_a_majority_kept_over_a_restart_and_forgotten_once_done() -> None:
    receiver = PurgeRequests("a", ("a", "b", "c"), ("@purge/0", "@purge/1"), random.Random(1), {})
    purge, out = receiver.create("o:1", 0.0, 5.0)
    # Not before it is durable here.
    assert not receiver.status(purge.request_id).is_acknowledged and not receiver.requests_to_forward()
    carry_out_saves(receiver, out)
    assert sent(receiver.tick(0.0)) == [Send("b", purge), Send("c", purge)]
    replica = restored({})
    (save,) = replica.handle_request(purge)
    assert isinstance(save, Save) and save.space == PURGE_SPACE and save.value is not None
    assert save.on_durable == (Send("a", Replicated(purge.request_id, "b")),)  # only once it is durable
    again = restored({purge.request_id: save.value, "torn": b"\x93"})
    assert again.requests_to_forward() == [purge]
    assert again.handle_request(purge) == [Send("a", Replicated(purge.request_id, "b"))]
    receiver.handle_replicated(Replicated(purge.request_id, "b"))
    assert receiver.status(purge.request_id).is_acknowledged and receiver.requests_to_forward() == [purge]
    assert receiver.handle_forwarded(purge.request_id, "@purge/0", 4) == []
    out = receiver.handle_forwarded(purge.request_id, "@purge/1", 4)
    assert Send("b", Completed(purge.request_id, 4)) in out
    assert Save(PURGE_SPACE, purge.request_id, None) in out
    assert receiver.status(purge.request_id).state is PurgeState.COMPLETED
    assert receiver.handle_completed(Completed(purge.request_id, 4)) == []
    # What arrives late opens nothing.
    assert receiver.handle_request(purge) == [Send("a", Completed(purge.request_id, 4))]
    deleted = again.handle_completed(Completed(purge.request_id, 4))[0]
    assert deleted == Save(PURGE_SPACE, purge.request_id, None) and not again.open


def test_a_holder_asks_page_by_page_until_a_majority_has_sent_all_its_open_purges() -> None:
    replica, holder = restored({}), PurgeRequests("a", ("a", "b", "c"), ("@purge/0",), random.Random(3), {})
    for number in range(2 * SYNC_PAGE_SIZE + 1):
        request = PurgeRequest(f"{number:02}", f"o:{number}", "c", float(number))
        carry_out_saves(replica, replica.handle_request(request))
    asked = holder.sync(0.0)
    assert [send.recipient for send in sent(asked)] == ["b", "c"] and not holder.sync(1.0)
    question, pages = sent(asked)[0].message, 0
    while True:
        assert isinstance(question, SyncRequest)
        (answer,) = replica.handle_sync_request(question)
        assert isinstance(answer, Send) and isinstance(answer.message, SyncResponse)
        pages += 1
        outputs = carry_out_saves(holder, holder.handle_sync_response(answer.message, 2.0))
        # The director that received it hears of one more replica.
        assert Send("c", Replicated(answer.message.requests[0].request_id, "a")) in outputs
        more = [send.message for send in sent(outputs) if isinstance(send.message, SyncRequest)]
        if not more:
            break
        (question,) = more
    targets = [request.target for request in holder.requests_to_forward()]
    assert pages == 3 and targets == [f"o:{number}" for number in range(2 * SYNC_PAGE_SIZE + 1)]
    assert holder.sync_round is None and not holder.sync(3.0) and holder.sync(5_000.0)
    holder.reset_forwarding()
    assert holder.sync(5_001.0)  # another time that it holds begins anew


def test_what_is_no_purge_is_rejected_and_open_purges_are_bounded() -> None:
    purges = restored({})
    for bad in ("", "x" * 201, "a\nb"):
        with pytest.raises(PurgeRejectedError, match="printable"):
            purges.create(bad, 0.0, 0.0)
    for number in range(MAX_OPEN_REQUESTS):
        purges.handle_request(PurgeRequest(f"{number}", "o:1", "c", 0.0))
    outputs = purges.handle_request(PurgeRequest("more", "o:1", "c", 0.0))
    assert not [output for output in outputs if isinstance(output, Save)]
    assert "more" not in purges.open


def test_operations_are_retried_with_the_token_of_the_moment_until_each_resource_accepts_them() -> None:
    operations = FencedOperationQueue("a", {"purge": ("@purge/0", "@purge/1")})
    assert operations.submit("purge", "id", b"o:1", 0.0)
    first = sent(operations.take_due("purge", 3, 0.0, 9.0))
    assert [send.recipient for send in first] == ["@purge/0", "@purge/1"]
    assert not list(operations.take_due("purge", 3, 1.0, 9.0))
    assert isinstance(first[0].message, FencedOperation) and first[0].message.token == 3
    taken = operations.handle_acceptance(OperationResponse("purge", 3, first[0].message.number, True, 3))
    assert taken is not None and taken.resource == "@purge/0" and operations.is_pending("purge", "id")
    repeated = OperationResponse("purge", 3, first[0].message.number, True, 3)
    assert operations.handle_acceptance(repeated) is None  # received twice
    (again,) = operations.take_due("purge", 5, 10_000.0, 9.0)
    assert isinstance(again, Send) and isinstance(again.message, FencedOperation)
    assert (again.recipient, again.message.token) == ("@purge/1", 5)
    rejected = OperationResponse("purge", 5, again.message.number, False, 7)
    assert operations.handle_acceptance(rejected) is None  # it waits on
    operations.cancel("purge")
    assert not operations.is_pending("purge", "id") and operations.next_due_ms("purge") == float("inf")


def test_a_report_adds_up_incarnations_bears_late_datagrams_and_fits_its_operations() -> None:
    names = tuple(f"director-{number:02}" for number in range(20))
    report = FleetReport(names[0], names, 1, 1_000.0, lambda: {"served": 1})
    report.record_own(0.0, 0.0)
    report.record(DirectorMetrics(names[1], 10, 100.0, {"served": 50}), 0.0)
    report.record(DirectorMetrics(names[1], 10, 90.0, {"served": 40}), 1.0)  # overtaken on its way
    report.record(DirectorMetrics(names[1], 20, 200.0, {"served": 5}), 2.0)  # started again
    report.record(
        DirectorMetrics(names[1], 10, 150.0, {"served": 60}), 3.0
    )  # of the incarnation before: too late
    report.record(DirectorMetrics("stranger", 1, 1.0, {"served": 1_000}), 3.0)
    assert report.totals() == {"served": 56}
    assert report.missing(900.0) == list(names[2:]) and report.missing(1_500.0) == list(names)
    for name in names:
        report.record(
            DirectorMetrics(name, 30, 300.0, dict.fromkeys(("served", "refused", "failed"), 2**40)), 4.0
        )
    parts = report.build(5.0, 5.0)
    assert len(parts) > 1 and all(len(part.body) < MAX_BODY_BYTES for part in parts)
    assert len({part.operation_id for part in parts}) == len(parts)
